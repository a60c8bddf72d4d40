"""Measures gaps in service during failures and moves, and the idle cost.

Run as `python -m bench.ownership loss-of-daemon|loss-of-upstream|zone-out|
calls [--rounds N] [--upstreams N]`. The first three print lines for each
round and a summary. `calls` prints the store's call counts and the daemons'
processor use.
"""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import statistics
import tempfile
import time

from tests.common import ownership_fleet

SETTLE_TIME_S = 4.0
CALL_COUNT_WINDOW_S = 10.0


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _print_quantiles(name: str, values: list[float]) -> None:
    print(
        f"{name}: n={len(values)} p50={statistics.median(values):.3f}"
        f" p99={_quantile(values, 0.99):.3f} worst={max(values):.3f} s",
        flush=True,
    )


async def _run_with_fleet(
    measure: Callable[[ownership_fleet.Fleet], Awaitable[None]],
    upstreams: int,
    daemons: int = 5,
    keys: int = 24,
) -> None:
    with tempfile.TemporaryDirectory() as directory:
        fleet = ownership_fleet.Fleet(
            pathlib.Path(directory),
            ownership_fleet.shape(daemons, upstreams),
        )
        try:
            await fleet.start(keys)
            await asyncio.sleep(SETTLE_TIME_S)
            await measure(fleet)
            fleet.check_one_owner()
            print("one owner: no violation", flush=True)
        finally:
            await fleet.close()


async def measure_daemon_loss(rounds: int, upstreams: int) -> None:
    """Kills the controller and other daemons in turn and restarts each."""

    async def measure(fleet: ownership_fleet.Fleet) -> None:
        longest_gaps_s: dict[str, list[float]] = {"controller": [], "other": []}
        names = list(fleet.deployment.daemons)
        for number in range(rounds):
            controller = await fleet.deployment.controller()
            others = [name for name in names if name != controller]
            role = "controller" if number % 2 else "other"
            victim = controller if number % 2 else others[number % len(others)]
            since_s = time.monotonic()
            await fleet.deployment.daemons[victim].kill()
            await asyncio.sleep(5.0)
            gap_s = max(fleet.monitor.gaps_s(since_s))
            longest_gaps_s[role].append(gap_s)
            print(f"{role} {victim}: longest gap {gap_s:.3f} s", flush=True)
            index = names.index(victim)
            await fleet.deployment.start_daemon(victim, index)
            await asyncio.sleep(SETTLE_TIME_S)
        for role, values in longest_gaps_s.items():
            _print_quantiles(f"longest gap of any key, {role} killed", values)

    await _run_with_fleet(measure, upstreams)


async def measure_upstream_loss(rounds: int, upstreams: int) -> None:
    """Kills and restarts upstreams, so that their keys move to others."""

    async def measure(fleet: ownership_fleet.Fleet) -> None:
        longest_gaps_s = []
        names = list(fleet.deployment.upstreams)
        for number in range(rounds):
            victim = names[number % len(names)]
            since_s = time.monotonic()
            await fleet.deployment.upstreams[victim].kill()
            await asyncio.sleep(5.0)
            gaps_s = fleet.monitor.gaps_s(since_s)
            longest_gaps_s.append(max(gaps_s))
            _print_quantiles(f"gap of each key, {victim} killed", gaps_s)
            print(f"refusals so far {fleet.monitor.refused}", flush=True)
            await fleet.deployment.restart_warm(victim)
            await asyncio.sleep(SETTLE_TIME_S)
        _print_quantiles(
            "longest gap of any key, upstream killed", longest_gaps_s
        )

    await _run_with_fleet(measure, upstreams)


async def measure_zone_out(rounds: int, upstreams: int) -> None:
    """Takes a zone out of service and back in while all keys are in use."""

    async def measure(fleet: ownership_fleet.Fleet) -> None:
        all_gaps_s: list[float] = []
        for _ in range(rounds):
            for zones in (["pa-1"], []):
                since_s = time.monotonic()
                await fleet.deployment.take_out(zones, [])
                await asyncio.sleep(6.0)
                gaps_s = fleet.monitor.gaps_s(since_s)
                all_gaps_s.extend(gaps_s)
                _print_quantiles(f"gap of each key, zones out {zones}", gaps_s)
        _print_quantiles("gap of each key, all rounds", all_gaps_s)
        print(f"refusals {fleet.monitor.refused}")

    await _run_with_fleet(measure, upstreams)


async def measure_idle_cost(rounds: int, upstreams: int) -> None:
    """Measures the store calls and the processor use of an idle fleet."""
    del rounds

    async def measure(fleet: ownership_fleet.Fleet) -> None:
        await fleet.stop_monitor()
        controller = await fleet.deployment.controller()
        before = await fleet.deployment.store_stats()
        cpu_before_s = {
            name: _cpu_time_s(process.pid)
            for name, process in fleet.deployment.daemons.items()
        }
        await asyncio.sleep(CALL_COUNT_WINDOW_S)
        after = await fleet.deployment.store_stats()
        assert controller == await fleet.deployment.controller()
        print(f"store before {before}\nstore after {after}")
        for name, process in fleet.deployment.daemons.items():
            share = (
                _cpu_time_s(process.pid) - cpu_before_s[name]
            ) / CALL_COUNT_WINDOW_S
            role = "controller" if name == controller else "other"
            print(f"{name} ({role}): {100 * share:.2f}% of a core")

    await _run_with_fleet(measure, upstreams, daemons=3, keys=1)


def _cpu_time_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / 100.0


def main() -> None:
    """Runs the measurement named on the command line."""
    parser = argparse.ArgumentParser(prog="bench.ownership")
    measurements = {
        "loss-of-daemon": measure_daemon_loss,
        "loss-of-upstream": measure_upstream_loss,
        "zone-out": measure_zone_out,
        "calls": measure_idle_cost,
    }
    parser.add_argument("work", choices=measurements)
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--upstreams", type=int, default=6)
    options = parser.parse_args()
    asyncio.run(measurements[options.work](options.rounds, options.upstreams))


if __name__ == "__main__":
    main()
