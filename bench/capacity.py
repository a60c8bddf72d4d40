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
from bench import slopes

DAEMON_SIZES = (4, 8, 16, 32, 64)
FIXED_DAEMONS = 8
UPSTREAM_SIZES = (0, 100, 200, 400, 800)
SHARD_SIZES = (0, 1024, 4096, 16384, 65536)
ACCOUNT_SIZES = (0, 100, 200, 400, 800)
CHANGES_A_MINUTE = (0, 30, 60, 120, 240)
IN_FORCE_CHANGES = 50
WINDOW_S = 10.0
MEASURES = (
    "processor_percent",
    "resident_mb",
    "sent_bytes_per_s",
    "received_bytes_per_s",
    "store_calls_per_s",
)


def measure(
    fleet: idle_fleet.Fleet, during: Callable[[], None] | None = None
) -> dict[str, float]:
    """Returns the mean cost of a daemon over the window."""
    started_s = time.monotonic()
    before = [(d.processor_s(), d.sample()) for d in fleet.daemons]
    if during is not None:
        during()
    left_s = started_s + WINDOW_S - time.monotonic()
    time.sleep(max(0.0, left_s))
    elapsed_s = time.monotonic() - started_s
    rows = []
    for daemon, (processor_s, first) in zip(fleet.daemons, before, strict=True):
        last = daemon.sample()
        sampled_s = last["at_s"] - first["at_s"]
        used_s = daemon.processor_s() - processor_s
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
        name: statistics.fmean(row[name] for row in rows) for name in MEASURES
    }
    means["store_calls_per_s"] *= len(rows)
    means["worst_processor_percent"] = max(
        row["processor_percent"] for row in rows
    )
    means["worst_sent_bytes_per_s"] = max(
        row["sent_bytes_per_s"] for row in rows
    )
    return means


def _vary_daemons(sizes: tuple[int, ...]) -> dict[int, dict[str, float]]:
    found = {}
    for size in sizes:
        with idle_fleet.running_fleet(size) as fleet:
            found[size] = measure(fleet)
        _print_row(size, found[size])
    return found


def _vary(
    sizes: tuple[int, ...],
    apply: Callable[[idle_fleet.Fleet, int], Callable[[], None] | None],
) -> dict[int, dict[str, float]]:
    found = {}
    for size in sizes:
        with idle_fleet.running_fleet(FIXED_DAEMONS) as fleet:
            during = apply(fleet, size)
            time.sleep(idle_fleet.SETTLE_S)
            found[size] = measure(fleet, during)
        _print_row(size, found[size])
    return found


def _apply_upstreams(fleet: idle_fleet.Fleet, count: int) -> None:
    asyncio.run(idle_fleet.put_hosts(fleet.store_url, count))


def _apply_shards(fleet: idle_fleet.Fleet, count: int) -> None:
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
        idle_fleet.put(fleet.store_url, "assignment", "of-the-bench", value)
    )


def _apply_accounts(fleet: idle_fleet.Fleet, count: int) -> None:
    text = idle_fleet.fleet_text(accounts=count)
    asyncio.run(
        idle_fleet.put(
            fleet.store_url, "config", "fleet", idle_fleet.config(text)
        )
    )


def _apply_changes(
    fleet: idle_fleet.Fleet, a_minute: int
) -> Callable[[], None]:
    def change() -> None:
        count = round(a_minute * WINDOW_S / 60)
        end_s = time.monotonic() + WINDOW_S
        for number in range(count):
            text = idle_fleet.fleet_text(remark=f"change {number}")
            asyncio.run(
                idle_fleet.put(
                    fleet.store_url, "config", "fleet", idle_fleet.config(text)
                )
            )
            left_s = end_s - time.monotonic()
            time.sleep(max(0.0, left_s / (count - number)))

    return change


def _time_in_force(size: int) -> None:
    times_s = []
    with idle_fleet.running_fleet(size) as fleet:
        for number in range(IN_FORCE_CHANGES):
            text = idle_fleet.fleet_text(remark=f"change {number}")
            written_s = time.monotonic()
            version = asyncio.run(
                idle_fleet.put(
                    fleet.store_url, "config", "fleet", idle_fleet.config(text)
                )
            )
            time.sleep(0.3)
            times_s.append(_worst_in_force_s(fleet, version) - written_s)
    times_s.sort()
    middle = statistics.median(times_s)
    print(
        f"{size} daemons, {len(times_s)} changes: p50 {middle * 1000:.1f} ms, "
        f"worst {times_s[-1] * 1000:.1f} ms"
    )


def _worst_in_force_s(fleet: idle_fleet.Fleet, version: int) -> float:
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
    for name in MEASURES:
        line = slopes.fit(xs, [found[x][name] for x in xs])
        print(
            f"{name}: {line.intercept:.4f} + ({line.slope:.6f} +- "
            f"{line.slope_error:.6f}) * x"
        )


_VARIED: dict[
    str,
    tuple[
        tuple[int, ...],
        Callable[[idle_fleet.Fleet, int], Callable[[], None] | None],
    ],
] = {
    "upstreams": (UPSTREAM_SIZES, _apply_upstreams),
    "shards": (SHARD_SIZES, _apply_shards),
    "accounts": (ACCOUNT_SIZES, _apply_accounts),
    "changes": (CHANGES_A_MINUTE, _apply_changes),
}


def main() -> None:
    """Reads the command line and prints points and slopes."""
    parser = argparse.ArgumentParser(prog="bench.capacity")
    parser.add_argument("what", choices=["daemons", "in-force", *_VARIED])
    parser.add_argument("--sizes", type=int, nargs="*", default=[])
    options = parser.parse_args()
    sizes = tuple(options.sizes)
    if options.what == "in-force":
        for size in sizes or (11,):
            _time_in_force(size)
    elif options.what == "daemons":
        _print_slopes(_vary_daemons(sizes or DAEMON_SIZES))
    else:
        default, apply = _VARIED[options.what]
        _print_slopes(_vary(sizes or default, apply))


if __name__ == "__main__":
    main()
