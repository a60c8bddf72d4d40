"""Tests of a start beside odd documents of the daemons' own kinds."""

import pytest

from tests.common import platform_fleet


@pytest.fixture
def fleet(tmp_path):
    fleet = platform_fleet.PlatformFleet(tmp_path, daemons=1, upstreams=1)
    try:
        fleet.run(fleet.wait_until_served(fleet.daemons[0]))
        fleet.run(fleet.daemons[0].kill())
        yield fleet
    finally:
        fleet.close()


async def assert_served_after_start(fleet):
    daemon = fleet.daemons[0]
    await daemon.start()
    await fleet.wait_until_served(daemon)
    assert not daemon.events("task-failed")


@pytest.mark.parametrize(
    "spec",
    [None, [], {"address": 5}, {"address": "x", "coreShare": "y"}],
)
def test_malformed_registration_does_not_keep_keys_from_being_served(
    fleet, spec
):
    async def scenario():
        await fleet.store.put("sardinehill-daemons", "front-9", spec=spec)
        await assert_served_after_start(fleet)

    fleet.run(scenario())


# Guards against this failure: a lease whose term is no number made each daemon
# fail before it could lead or follow, for as long as the lease stood there.
@pytest.mark.parametrize("term", ["x", None, []])
def test_malformed_lease_does_not_keep_daemons_without_a_leader(fleet, term):
    async def scenario():
        await fleet.store.put(
            "sardinehill-leases", "leader", spec={"term": term}
        )
        await assert_served_after_start(fleet)

    fleet.run(scenario())
