"""Tests that each key keeps one owner while real processes fail."""

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
def directory(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """Returns the directory of the fleet that all scenarios share."""
    return tmp_path_factory.mktemp("ownership")


@pytest.fixture(scope="module")
def run_scenario(
    directory: pathlib.Path,
) -> Iterator[RunScenario]:
    """Yields a function that runs a scenario and then checks the owners.

    All scenarios run on the same fleet, so the state that one leaves behind
    is the initial state of the next, as in a real fleet.
    """
    with asyncio.Runner() as runner:
        # The runner's loop watches child processes, so it is created before
        # the deployment.
        runner.get_loop()
        fleet = runner.run(_make_fleet(directory))

        async def run_and_check(scenario: Scenario) -> None:
            await scenario(fleet)
            served_s = await fleet.wait_served(time.monotonic())
            assert served_s < SERVICE_RECOVERY_TIMEOUT_S
            fleet.check_one_owner()

        try:
            runner.run(fleet.start(keys=12))
            yield lambda scenario: runner.run(run_and_check(scenario))
        finally:
            runner.run(fleet.close())


async def _make_fleet(directory: pathlib.Path) -> ownership_fleet.Fleet:
    return ownership_fleet.Fleet(directory, ownership_fleet.shape())


async def freeze_process(
    process_name: str, fleet: ownership_fleet.Fleet
) -> None:
    """Freezes a process until its lease has expired, then resumes it."""
    deployment = fleet.deployment
    process = (
        deployment.daemons.get(process_name)
        or deployment.upstreams[process_name]
    )
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(PAST_LEASE_EXPIRY_S)
    process.signal(signal.SIGCONT)
    await asyncio.sleep(1.0)


def test_resumed_controller_reclaims_no_ownership(
    run_scenario: RunScenario,
) -> None:
    async def scenario(fleet: ownership_fleet.Fleet) -> None:
        await freeze_process(await fleet.deployment.controller(), fleet)

    run_scenario(scenario)


def test_resumed_upstream_runs_nothing_for_moved_keys(
    run_scenario: RunScenario,
) -> None:
    async def scenario(fleet: ownership_fleet.Fleet) -> None:
        await freeze_process("prenota-1", fleet)

    run_scenario(scenario)


def test_controller_and_upstream_frozen_together_keep_one_owner_per_key(
    run_scenario: RunScenario,
) -> None:
    async def scenario(fleet: ownership_fleet.Fleet) -> None:
        controller = await fleet.deployment.controller()
        await asyncio.gather(
            freeze_process(controller, fleet),
            freeze_process("prenota-2", fleet),
        )

    run_scenario(scenario)


def test_controller_killed_during_a_move_leaves_each_key_one_owner(
    run_scenario: RunScenario,
) -> None:
    async def scenario(fleet: ownership_fleet.Fleet) -> None:
        controller = await fleet.deployment.controller()
        await fleet.deployment.take_out(["pa-2"], [])
        await fleet.deployment.daemons[controller].kill()
        await fleet.wait_served(time.monotonic())
        index = list(fleet.deployment.daemons).index(controller)
        await fleet.deployment.start_daemon(controller, index)
        await fleet.deployment.take_out([], [])

    run_scenario(scenario)


def test_service_continues_during_a_store_outage(
    run_scenario: RunScenario,
) -> None:
    async def scenario(fleet: ownership_fleet.Fleet) -> None:
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

    run_scenario(scenario)


def test_lost_store_replies_leave_each_key_one_owner(
    run_scenario: RunScenario,
) -> None:
    async def scenario(fleet: ownership_fleet.Fleet) -> None:
        await fleet.deployment.control_store(lose_replies=5)
        # The test's own write may also lose its reply.
        with contextlib.suppress(errors.StoreError):
            await fleet.deployment.take_out(["pa-1"], [])
        await asyncio.sleep(2.0)
        await fleet.deployment.control_store(lose_replies=0)
        await fleet.deployment.take_out([], [])

    run_scenario(scenario)
