"""Tests of daemons whose store comes back from an earlier copy."""

import asyncio
import time

import pytest

from tests.common import owner_checks
from tests.common import platform_fleet

# All daemons have to follow a change within this time.
APPLY_S = 2.0
# Keys of an upstream that leaves have moved after this time.
MOVE_S = 2.0
# After this time all keys have to be served again.
RECOVERY_S = 10.0
ASSIGNMENTS = "sardinehill-assignments"
LEASES = "sardinehill-leases"


@pytest.fixture
def fleet(tmp_path):
    fleet = platform_fleet.PlatformFleet(tmp_path, daemons=3)
    try:
        for daemon in fleet.daemons:
            fleet.run(fleet.wait_until_served(daemon))
        yield fleet
    finally:
        fleet.close()


def leader_of(fleet):
    lease = fleet.store.spec(LEASES, "leader")
    return next(
        daemon for daemon in fleet.daemons if daemon.name == lease["holder"]
    )


async def restore(fleet, copy, outage_s=1.5):
    """Makes the store unavailable, then lets it come back from a copy."""
    fleet.store.faults.busy = True
    await asyncio.sleep(outage_s)
    await fleet.store.restore(copy)
    fleet.store.faults.busy = False


async def move_keys(fleet):
    """Makes one upstream leave and another join, so that keys move."""
    before = fleet.store.spec(ASSIGNMENTS, "prenota")["topEpoch"]
    await fleet.add_upstream("i-new")
    await fleet.register("i-0", state="draining")
    await asyncio.sleep(MOVE_S)
    assert fleet.store.spec(ASSIGNMENTS, "prenota")["topEpoch"] > before


async def statuses(fleet, **arguments):
    replies = await asyncio.gather(
        *(
            fleet.send_request(daemon, "/stock/a", 7, "r", **arguments)
            for daemon in fleet.daemons
        )
    )
    return [reply.status for reply in replies]


def test_change_after_a_restore_is_in_force_on_all_daemons(fleet):
    async def scenario():
        copy = fleet.store.take_copy()
        for version in range(8, 28):
            await fleet.put_config(version)
        await asyncio.sleep(1.0)
        await restore(fleet, copy)
        await asyncio.sleep(0.5)
        await fleet.put_config(27)
        await fleet.put_config(28, keys=("another-key",))
        await asyncio.sleep(APPLY_S)
        assert await statuses(fleet) == [401] * 3
        assert await statuses(fleet, account_key="another-key") == [200] * 3

    fleet.run(scenario())


def test_store_is_not_listed_over_and_over_after_a_restore(fleet):
    async def scenario():
        copy = fleet.store.take_copy()
        for version in range(8, 28):
            await fleet.put_config(version)
        await asyncio.sleep(1.0)
        await restore(fleet, copy)
        await asyncio.sleep(1.0)
        calls = fleet.store.calls
        await asyncio.sleep(1.0)
        assert fleet.store.calls - calls < 30

    fleet.run(scenario())


def test_epochs_do_not_go_back_when_the_leader_is_lost_in_a_restore(fleet):
    async def scenario():
        copy = fleet.store.take_copy()
        await move_keys(fleet)
        leader = leader_of(fleet)
        fleet.store.faults.busy = True
        await leader.kill()
        await restore(fleet, copy, outage_s=0.8)
        await fleet.register("i-new")
        await fleet.register("i-0", state="draining")
        others = [daemon for daemon in fleet.daemons if daemon is not leader]
        for daemon in others:
            await fleet.wait_until_served(daemon, timeout_s=RECOVERY_S)
        await asyncio.sleep(1.0)
        owner_checks.check_owners(fleet)

    fleet.run(scenario())


def test_epochs_do_not_go_back_when_all_daemons_are_lost_in_a_restore(fleet):
    async def scenario():
        copy = fleet.store.take_copy()
        await move_keys(fleet)
        fleet.store.faults.busy = True
        for daemon in fleet.daemons:
            await daemon.kill()
        await restore(fleet, copy, outage_s=0.1)
        await fleet.register("i-new")
        await fleet.register("i-0", state="draining")
        for daemon in fleet.daemons:
            await daemon.start()
        for daemon in fleet.daemons:
            await fleet.wait_until_served(daemon, timeout_s=RECOVERY_S)
        await asyncio.sleep(1.0)
        owner_checks.check_owners(fleet)

    fleet.run(scenario())


def test_leader_writes_again_what_a_restored_store_has_lost(fleet):
    async def scenario():
        copy = fleet.store.take_copy()
        await move_keys(fleet)
        spans = fleet.store.spec(ASSIGNMENTS, "prenota")["spans"]
        owners = {(first, last): owner for first, last, _, owner, _ in spans}
        await restore(fleet, copy)
        await fleet.register("i-new")
        await fleet.register("i-0", state="draining")
        await asyncio.sleep(APPLY_S)
        assert len(await statuses(fleet)) == 3
        found = fleet.store.spec(ASSIGNMENTS, "prenota")["spans"]
        assert {
            (first, last): owner for first, last, _, owner, _ in found
        } == owners
        leader = leader_of(fleet)
        await leader.kill()
        others = [daemon for daemon in fleet.daemons if daemon is not leader]
        started_s = time.monotonic()
        for daemon in others:
            await fleet.wait_until_served(daemon, timeout_s=RECOVERY_S)
        assert time.monotonic() - started_s < RECOVERY_S
        owner_checks.check_owners(fleet)

    fleet.run(scenario())


def test_daemon_is_registered_again_after_a_restore(fleet):
    async def scenario():
        late = fleet.daemons[0]
        await late.kill()
        leader = leader_of(fleet)
        registered = fleet.store.spec("sardinehill-daemons", late.name)
        await fleet.store.remove("sardinehill-daemons", late.name)
        copy = fleet.store.take_copy()
        await late.start()
        await fleet.wait_until_served(late)
        assert fleet.store.spec("sardinehill-daemons", late.name)
        await restore(fleet, copy)
        await asyncio.sleep(APPLY_S)
        found = fleet.store.spec("sardinehill-daemons", late.name)
        assert found["address"] == registered["address"]
        assert leader.name

    fleet.run(scenario())
