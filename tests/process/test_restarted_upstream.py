"""Tests of upstreams that start again on hosts whose clocks went back."""

import asyncio
import time

import pytest

from sardinehill.core import keyspace
from tests.common import owner_checks
from tests.common import platform_fleet

# The target: keys are served again this long after a loss.
SERVED_AGAIN_S = 5.0
# How long an upstream is away before it starts again.
AWAY_S = 0.9
SAMPLED_KEYS = range(0, keyspace.KEY_COUNT, 128)
NAME = "i-0"
# An hour before its first start.
BORN_MS = platform_fleet.FIRST_BORN_MS - 3_600_000


@pytest.fixture
def fleet(tmp_path):
    fleet = platform_fleet.PlatformFleet(tmp_path, daemons=2, upstreams=3)
    try:
        for daemon in fleet.daemons:
            fleet.run(fleet.wait_until_served(daemon))
        yield fleet
    finally:
        fleet.close()


async def wait_until_it_holds_all(fleet, timeout_s):
    """Returns whether one upstream holds all keys in time."""
    due_s = time.monotonic() + timeout_s
    while time.monotonic() < due_s:
        if all(fleet.upstreams[NAME].holds(key) for key in SAMPLED_KEYS):
            return True
        await asyncio.sleep(0.05)
    return False


@pytest.mark.parametrize("is_removed", [False, True])
def test_upstream_with_an_earlier_start_time_gets_keys(fleet, is_removed):
    # All others leave, so that it must get all keys whatever their load.
    async def scenario():
        await fleet.stop_upstream(NAME)
        await asyncio.sleep(AWAY_S)
        if is_removed:
            await fleet.store.remove("servers", NAME)
            await asyncio.sleep(0.2)
        await fleet.restart_upstream(NAME, BORN_MS)
        for name in ("i-1", "i-2"):
            await fleet.register(name, state="draining")
        assert await wait_until_it_holds_all(fleet, SERVED_AGAIN_S)
        for daemon in fleet.daemons:
            await fleet.wait_until_served(daemon)
        owner_checks.check_owners(fleet)

    fleet.run(scenario())
