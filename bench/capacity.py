"""Measures the control overhead of idle daemons and how it scales.

Run as `python -m bench.capacity WHAT [--sizes N ...]`. `daemons` varies the
number of daemons. `upstreams`, `shards`, `accounts` and `changes` each vary
one quantity with a fixed number of daemons. `in-force` measures the time from
a configuration change until it is in force on every daemon. No caller sends
requests.
"""

import argparse
import asyncio
from collections.abc import Callable
import statistics
import time

from bench import idle_fleet
from bench import line_fit

DAEMON_COUNTS = (4, 8, 16, 32, 64)
FIXED_DAEMON_COUNT = 8
UPSTREAM_COUNTS = (0, 100, 200, 400, 800)
SHARD_COUNTS = (0, 1024, 4096, 16384, 65536)
ACCOUNT_COUNTS = (0, 100, 200, 400, 800)
CHANGES_PER_MINUTE = (0, 30, 60, 120, 240)
TIMED_CHANGE_COUNT = 50
MEASUREMENT_WINDOW_S = 10.0
METRIC_NAMES = (
    "processor_percent",
    "resident_mb",
    "sent_bytes_per_s",
    "received_bytes_per_s",
    "store_calls_per_s",
)


def mean_daemon_cost(
    fleet: idle_fleet.IdleFleet, action: Callable[[], None] | None = None
) -> dict[str, float]:
    """Returns the mean cost of one daemon over the measurement window.

    Args:
      fleet: the daemons to measure.
      action: called once at the beginning of the window; it may last until
        the end of the window.

    Returns:
      Values by the names in `METRIC_NAMES`, and the worst daemon's processor
      use and sent bytes. The store's call rate is the sum over all daemons.
    """
    start_s = time.monotonic()
    before = [
        (daemon.cpu_time_s(), daemon.latest_sample())
        for daemon in fleet.daemons
    ]
    if action is not None:
        action()
    remaining_s = start_s + MEASUREMENT_WINDOW_S - time.monotonic()
    time.sleep(max(0.0, remaining_s))
    elapsed_s = time.monotonic() - start_s
    rows = []
    for daemon, (cpu_before_s, first) in zip(
        fleet.daemons, before, strict=True
    ):
        last = daemon.latest_sample()
        sampling_s = last["at_s"] - first["at_s"]
        cpu_used_s = daemon.cpu_time_s() - cpu_before_s
        rows.append(
            {
                "processor_percent": 100 * cpu_used_s / elapsed_s,
                "resident_mb": daemon.resident_mb(),
                **{
                    f"{name}_per_s": (last[name] - first[name]) / sampling_s
                    for name in ("sent_bytes", "received_bytes", "store_calls")
                },
            }
        )
    means = {
        name: statistics.fmean(row[name] for row in rows)
        for name in METRIC_NAMES
    }
    means["store_calls_per_s"] *= len(rows)
    means["worst_processor_percent"] = max(
        row["processor_percent"] for row in rows
    )
    means["worst_sent_bytes_per_s"] = max(
        row["sent_bytes_per_s"] for row in rows
    )
    return means


def _measure_daemon_counts(
    sizes: tuple[int, ...],
) -> dict[int, dict[str, float]]:
    results = {}
    for size in sizes:
        with idle_fleet.running_fleet(size) as fleet:
            results[size] = mean_daemon_cost(fleet)
        _print_row(size, results[size])
    return results


def _measure_quantities(
    sizes: tuple[int, ...],
    apply: Callable[[idle_fleet.IdleFleet, int], Callable[[], None] | None],
) -> dict[int, dict[str, float]]:
    results = {}
    for size in sizes:
        with idle_fleet.running_fleet(FIXED_DAEMON_COUNT) as fleet:
            action = apply(fleet, size)
            time.sleep(idle_fleet.SETTLE_TIME_S)
            results[size] = mean_daemon_cost(fleet, action)
        _print_row(size, results[size])
    return results


def _add_upstreams(fleet: idle_fleet.IdleFleet, count: int) -> None:
    asyncio.run(idle_fleet.put_upstream_hosts(fleet.store_url, count))


def _write_assignment(fleet: idle_fleet.IdleFleet, count: int) -> None:
    if count == 0:
        return
    value = {
        "term": 1,
        "upstreams": [f"upstream-{number}" for number in range(20)],
        "owners": [shard % 20 for shard in range(count)],
        "gateways": {},
        "hot_owners": {},
        "writer_id": "bench",
        "nonce": "bench",
    }
    asyncio.run(
        idle_fleet.put_object(
            fleet.store_url, "assignment", "of-the-bench", value
        )
    )


def _add_accounts(fleet: idle_fleet.IdleFleet, count: int) -> None:
    text = idle_fleet.fleet_config_text(accounts=count)
    asyncio.run(
        idle_fleet.put_object(
            fleet.store_url, "config", "fleet", idle_fleet.config_value(text)
        )
    )


def _make_config_changes(
    fleet: idle_fleet.IdleFleet, changes_per_minute: int
) -> Callable[[], None]:
    def make_changes() -> None:
        count = round(changes_per_minute * MEASUREMENT_WINDOW_S / 60)
        end_s = time.monotonic() + MEASUREMENT_WINDOW_S
        for number in range(count):
            text = idle_fleet.fleet_config_text(remark=f"change {number}")
            asyncio.run(
                idle_fleet.put_object(
                    fleet.store_url,
                    "config",
                    "fleet",
                    idle_fleet.config_value(text),
                )
            )
            remaining_s = end_s - time.monotonic()
            time.sleep(max(0.0, remaining_s / (count - number)))

    return make_changes


def _time_config_changes(size: int) -> None:
    times_s = []
    with idle_fleet.running_fleet(size) as fleet:
        for number in range(TIMED_CHANGE_COUNT):
            text = idle_fleet.fleet_config_text(remark=f"change {number}")
            write_s = time.monotonic()
            version = asyncio.run(
                idle_fleet.put_object(
                    fleet.store_url,
                    "config",
                    "fleet",
                    idle_fleet.config_value(text),
                )
            )
            time.sleep(0.3)
            times_s.append(_last_in_force_s(fleet, version) - write_s)
    times_s.sort()
    p50_s = statistics.median(times_s)
    print(
        f"{size} daemons, {len(times_s)} changes: p50 {p50_s * 1000:.1f} ms, "
        f"worst {times_s[-1] * 1000:.1f} ms"
    )


def _last_in_force_s(fleet: idle_fleet.IdleFleet, version: int) -> float:
    """Returns when the last daemon reported the version in force."""
    last_s = 0.0
    for daemon in fleet.daemons:
        for _ in range(100):
            times_s = [
                record["at_s"]
                for record in daemon.records()
                if record.get("changed") == "config/fleet"
                and record["version"] >= version
            ]
            if times_s:
                break
            time.sleep(0.1)
        last_s = max(last_s, times_s[0])
    return last_s


def _print_row(size: int, row: dict[str, float]) -> None:
    cells = "  ".join(f"{name} {value:.3f}" for name, value in row.items())
    print(f"{size:6}  {cells}", flush=True)


def _print_slopes(results: dict[int, dict[str, float]]) -> None:
    xs = list(results)
    for name in METRIC_NAMES:
        line = line_fit.fit_line(xs, [results[x][name] for x in xs])
        print(
            f"{name}: {line.intercept:.4f} + ({line.slope:.6f} +- "
            f"{line.slope_error:.6f}) * x"
        )


# The default sizes of each varied quantity, and the function that applies one.
_EXPERIMENTS: dict[
    str,
    tuple[
        tuple[int, ...],
        Callable[[idle_fleet.IdleFleet, int], Callable[[], None] | None],
    ],
] = {
    "upstreams": (UPSTREAM_COUNTS, _add_upstreams),
    "shards": (SHARD_COUNTS, _write_assignment),
    "accounts": (ACCOUNT_COUNTS, _add_accounts),
    "changes": (CHANGES_PER_MINUTE, _make_config_changes),
}


def main() -> None:
    """Runs one experiment and prints its points and fitted lines."""
    parser = argparse.ArgumentParser(prog="bench.capacity")
    parser.add_argument("what", choices=["daemons", "in-force", *_EXPERIMENTS])
    parser.add_argument("--sizes", type=int, nargs="*", default=[])
    options = parser.parse_args()
    sizes = tuple(options.sizes)
    if options.what == "in-force":
        for size in sizes or (11,):
            _time_config_changes(size)
    elif options.what == "daemons":
        _print_slopes(_measure_daemon_counts(sizes or DAEMON_COUNTS))
    else:
        default_sizes, apply = _EXPERIMENTS[options.what]
        _print_slopes(_measure_quantities(sizes or default_sizes, apply))


if __name__ == "__main__":
    main()
