"""Measures what control costs a daemon, and how it grows.

`python -m bench.capacity daemons` varies the number of daemons, `upstreams`,
`shards`, `accounts` and `changes` each vary one thing with a fixed number of
daemons, and `in-force` times changes until every daemon has them in force.
Daemons run idle: no caller sends anything.
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
    """Returns the mean cost of a daemon over the window."""
    started_s = time.monotonic()
    before = [(d.cpu_time_s(), d.latest_sample()) for d in fleet.daemons]
    if action is not None:
        action()
    left_s = started_s + MEASUREMENT_WINDOW_S - time.monotonic()
    time.sleep(max(0.0, left_s))
    elapsed_s = time.monotonic() - started_s
    rows = []
    for daemon, (processor_s, first) in zip(fleet.daemons, before, strict=True):
        last = daemon.latest_sample()
        sampled_s = last["at_s"] - first["at_s"]
        used_s = daemon.cpu_time_s() - processor_s
        rows.append(
            {
                "processor_percent": 100 * used_s / elapsed_s,
                "resident_mb": daemon.resident_mb(),
                **{
                    f"{name}_per_s": (last[name] - first[name]) / sampled_s
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
    found = {}
    for size in sizes:
        with idle_fleet.running_fleet(size) as fleet:
            found[size] = mean_daemon_cost(fleet)
        _print_row(size, found[size])
    return found


def _measure_quantities(
    sizes: tuple[int, ...],
    apply: Callable[[idle_fleet.IdleFleet, int], Callable[[], None] | None],
) -> dict[int, dict[str, float]]:
    found = {}
    for size in sizes:
        with idle_fleet.running_fleet(FIXED_DAEMON_COUNT) as fleet:
            during = apply(fleet, size)
            time.sleep(idle_fleet.SETTLE_TIME_S)
            found[size] = mean_daemon_cost(fleet, during)
        _print_row(size, found[size])
    return found


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
    fleet: idle_fleet.IdleFleet, a_minute: int
) -> Callable[[], None]:
    def change() -> None:
        count = round(a_minute * MEASUREMENT_WINDOW_S / 60)
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
            left_s = end_s - time.monotonic()
            time.sleep(max(0.0, left_s / (count - number)))

    return change


def _time_config_changes(size: int) -> None:
    times_s = []
    with idle_fleet.running_fleet(size) as fleet:
        for number in range(TIMED_CHANGE_COUNT):
            text = idle_fleet.fleet_config_text(remark=f"change {number}")
            written_s = time.monotonic()
            version = asyncio.run(
                idle_fleet.put_object(
                    fleet.store_url,
                    "config",
                    "fleet",
                    idle_fleet.config_value(text),
                )
            )
            time.sleep(0.3)
            times_s.append(_last_in_force_s(fleet, version) - written_s)
    times_s.sort()
    middle = statistics.median(times_s)
    print(
        f"{size} daemons, {len(times_s)} changes: p50 {middle * 1000:.1f} ms, "
        f"worst {times_s[-1] * 1000:.1f} ms"
    )


def _last_in_force_s(fleet: idle_fleet.IdleFleet, version: int) -> float:
    worst_s = 0.0
    for daemon in fleet.daemons:
        for _ in range(100):
            at_s = [
                record["at_s"]
                for record in daemon.records()
                if record.get("changed") == "config/fleet"
                and record["version"] >= version
            ]
            if at_s:
                break
            time.sleep(0.1)
        worst_s = max(worst_s, at_s[0])
    return worst_s


def _print_row(size: int, row: dict[str, float]) -> None:
    cells = "  ".join(f"{name} {value:.3f}" for name, value in row.items())
    print(f"{size:6}  {cells}", flush=True)


def _print_slopes(found: dict[int, dict[str, float]]) -> None:
    xs = list(found)
    for name in METRIC_NAMES:
        line = line_fit.fit_line(xs, [found[x][name] for x in xs])
        print(
            f"{name}: {line.intercept:.4f} + ({line.slope:.6f} +- "
            f"{line.slope_error:.6f}) * x"
        )


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
    """Reads the command line and prints points and slopes."""
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
        default, apply = _EXPERIMENTS[options.what]
        _print_slopes(_measure_quantities(sizes or default, apply))


if __name__ == "__main__":
    main()
