"""Claims about owners of keys, with real processes that are hurt."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import signal
import time

import pytest

from sardinehill import errors
from tests.common import ownership_fleet

# Longer than the lease and the longest grant together.
PAST_LEASE_EXPIRY_S = 4.5
SERVICE_RECOVERY_TIMEOUT_S = 5.0

Scenario = Callable[[ownership_fleet.Fleet], Awaitable[None]]
RunScenario = Callable[[Scenario], None]


@pytest.fixture(scope="module")
def run_scenario(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[RunScenario]:
    """Yields a function that plays a story and then checks the owners.

    All stories are played by one fleet, so what one of them leaves behind is
    met by the next, as in the life of a real fleet.
    """
    with asyncio.Runner() as runner:
        # Child processes are watched by the runner's loop, so it is made
        # before the deployment is.
        runner.get_loop()
        fleet = runner.run(_make_fleet(tmp_path_factory.mktemp("ownership")))

        async def whole(story: Scenario) -> None:
            await story(fleet)
            served_s = await fleet.wait_served(time.monotonic())
            assert served_s < SERVICE_RECOVERY_TIMEOUT_S
            fleet.check_one_owner()

        try:
            runner.run(fleet.start(keys=12))
            yield lambda story: runner.run(whole(story))
        finally:
            runner.run(fleet.close())


async def _make_fleet(directory: pathlib.Path) -> ownership_fleet.Fleet:
    return ownership_fleet.Fleet(directory, ownership_fleet.shape())


async def freeze_process(
    process_name: str, fleet: ownership_fleet.Fleet
) -> None:
    """Stops a process past its lease and lets it go on."""
    its = fleet.deployment
    process = its.daemons.get(process_name) or its.upstreams[process_name]
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(PAST_LEASE_EXPIRY_S)
    process.signal(signal.SIGCONT)
    await asyncio.sleep(1.0)


def test_resumed_controller_reclaims_no_ownership(play: RunScenario) -> None:
    async def story(fleet: ownership_fleet.Fleet) -> None:
        await freeze_process(await fleet.deployment.controller(), fleet)

    play(story)


def test_resumed_upstream_runs_nothing_for_moved_keys(
    play: RunScenario,
) -> None:
    async def story(fleet: ownership_fleet.Fleet) -> None:
        await freeze_process("prenota-1", fleet)

    play(story)


def test_controller_and_upstream_frozen_together_keep_one_owner_per_key(
    play: RunScenario,
) -> None:
    async def story(fleet: ownership_fleet.Fleet) -> None:
        controller = await fleet.deployment.controller()
        await asyncio.gather(
            freeze_process(controller, fleet),
            freeze_process("prenota-2", fleet),
        )

    play(story)


def test_controller_killed_during_a_move_leaves_each_key_one_owner(
    play: RunScenario,
) -> None:
    async def story(fleet: ownership_fleet.Fleet) -> None:
        controller = await fleet.deployment.controller()
        await fleet.deployment.take_out(["pa-2"], [])
        await fleet.deployment.daemons[controller].kill()
        await fleet.wait_served(time.monotonic())
        place = list(fleet.deployment.daemons).index(controller)
        await fleet.deployment.start_daemon(controller, place)
        await fleet.deployment.take_out([], [])

    play(story)


def test_service_continues_during_a_store_outage(play: RunScenario) -> None:
    async def story(fleet: ownership_fleet.Fleet) -> None:
        before = await fleet.deployment.read("assignment", "prenota")
        await fleet.deployment.control_store(outage="reset")
        since_s = time.monotonic()
        await asyncio.sleep(PAST_LEASE_EXPIRY_S)
        assert (
            max(fleet.monitor.gaps_s(since_s)) < SERVICE_RECOVERY_TIMEOUT_S / 2
        )
        await fleet.deployment.control_store(outage="")
        after = await fleet.deployment.read("assignment", "prenota")
        assert after["owners"] == before["owners"]

    play(story)


def test_lost_store_replies_leave_each_key_one_owner(
    play: RunScenario,
) -> None:
    async def story(fleet: ownership_fleet.Fleet) -> None:
        await fleet.deployment.control_store(lose_replies=5)
        # The test's own write may be among those that lose their reply.
        with contextlib.suppress(errors.StoreError):
            await fleet.deployment.take_out(["pa-1"], [])
        await asyncio.sleep(2.0)
        await fleet.deployment.control_store(lose_replies=0)
        await fleet.deployment.take_out([], [])

    play(story)
