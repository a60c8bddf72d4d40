"""Measures what control costs a daemon, and how it grows.

`python -m bench.capacity daemons` varies the number of daemons, `upstreams`,
`shards`, `accounts` and `changes` each vary one thing with a fixed number of
daemons, and `in-force` times changes until every daemon has them in force.
Daemons run idle: no caller sends anything.
"""

import argparse
import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import aiohttp

from bench import slopes
from sardinehill.adapters import platform

DAEMON_SIZES = (4, 8, 16, 32, 64)
FIXED_DAEMONS = 8
UPSTREAM_SIZES = (0, 100, 200, 400, 800)
SHARD_SIZES = (0, 1024, 4096, 16384, 65536)
ACCOUNT_SIZES = (0, 100, 200, 400, 800)
CHANGES_A_MINUTE = (0, 30, 60, 120, 240)
IN_FORCE_CHANGES = 50
SETTLE_S = 4.0
WINDOW_S = 10.0
JOIN_LIMIT_S = 90.0
ZONES = 6
REGIONS = 3
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MEASURES = (
    "processor_percent",
    "resident_mb",
    "sent_bytes_per_s",
    "received_bytes_per_s",
    "store_calls_per_s",
)

HOST_TEXT = """
[host]
name = {name}
availability_zone = zone-{zone}
region = region-{region}

[addresses]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0

[platform]
url = {store_url}
account_key_secret = hash-secret-of-the-benchmark

[peers]
secrets = peer-secret-of-the-benchmark
"""

FLEET_TEXT = """
[fleet]
availability_zones = {zones}
{sections}
# {remark}
"""

ACCOUNT_TEXT = """
[account account-{number}]
rate_per_s = 10
burst_requests = 10
"""


@dataclasses.dataclass
class Daemon:
    """A daemon's process and where it reports."""

    name: str
    process: subprocess.Popen[bytes]
    report: pathlib.Path

    def records(self) -> list[dict[str, Any]]:
        """Returns what it reported so far."""
        lines = self.report.read_text().split("\n")
        return [json.loads(line) for line in lines[:-1]]

    def sample(self) -> dict[str, Any]:
        """Returns its newest sample."""
        return [r for r in self.records() if "members" in r][-1]

    def processor_s(self) -> float:
        """Returns the processor time it has used."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def resident_mb(self) -> float:
        """Returns the memory it holds, shared pages included."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [x for x in status.split("\n") if x.startswith("VmRSS")]
        return int(line.split()[1]) / 1024


@dataclasses.dataclass
class Fleet:
    """Running daemons, their store, and where they write."""

    store_url: str
    daemons: list[Daemon]


def _fleet_text(accounts: int = 0, remark: str = "") -> str:
    zones = ", ".join(f"zone-{zone}" for zone in range(ZONES))
    sections = "".join(
        ACCOUNT_TEXT.format(number=number) for number in range(accounts)
    )
    return FLEET_TEXT.format(zones=zones, sections=sections, remark=remark)


def _start_store(directory: pathlib.Path) -> tuple[Any, str]:
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "standins.store"),
            *("--journal", str(directory / "store")),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    _, ip, port = process.stdout.readline().split()
    return process, f"http://{ip}:{port}"


def _start_daemon(
    directory: pathlib.Path, number: int, store_url: str
) -> Daemon:
    name = f"host-{number:03}"
    settings_file = directory / f"{name}.ini"
    settings_file.write_text(
        HOST_TEXT.format(
            name=name,
            zone=number % ZONES,
            region=number % REGIONS,
            store_url=store_url,
        )
    )
    report = directory / f"{name}.report"
    report.touch()
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "bench.capacity_daemon"),
            *(str(settings_file), str(report)),
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    return Daemon(name, process, report)


@contextlib.contextmanager
def running_fleet(size: int) -> Iterator[Fleet]:
    """Yields a fleet in which every daemon knows all others."""
    with tempfile.TemporaryDirectory() as place:
        directory = pathlib.Path(place)
        store, store_url = _start_store(directory)
        asyncio.run(_put(store_url, "config", "fleet", _config(_fleet_text())))
        daemons = [_start_daemon(directory, n, store_url) for n in range(size)]
        try:
            _wait_until_joined(daemons)
            time.sleep(SETTLE_S)
            yield Fleet(store_url, daemons)
        finally:
            processes = [daemon.process for daemon in daemons]
            for process in [*processes, store]:
                process.kill()
                process.wait()


def _wait_until_joined(daemons: list[Daemon]) -> None:
    end_s = time.monotonic() + JOIN_LIMIT_S
    while time.monotonic() < end_s:
        time.sleep(1.0)
        records = [daemon.records() for daemon in daemons]
        if all(
            each and each[-1].get("members") == len(daemons) for each in records
        ):
            return
    raise RuntimeError(f"{len(daemons)} daemons did not join in time")


def _config(text: str) -> dict[str, Any]:
    return {"text": text}


async def _put(
    store_url: str, kind: str, name: str, value: dict[str, Any]
) -> int:
    client = platform.PlatformClient(store_url)
    try:
        found = await client.get(kind, name)
        version = 0 if found is None else found.version
        return await client.put(kind, name, value, version)
    finally:
        await client.close()


async def _put_hosts(store_url: str, count: int) -> None:
    async with aiohttp.ClientSession() as session:
        for number in range(count):
            host = {
                "name": f"upstream-{number}",
                "address": f"127.0.0.1:{20000 + number}",
                "availability_zone": f"zone-{number % ZONES}",
                "service": "without-a-section",
                "state": "live",
            }
            control = f"{store_url}/-/control"
            async with session.post(control, json={"put_host": host}):
                pass


def measure(
    fleet: Fleet, during: Callable[[], None] | None = None
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
        with running_fleet(size) as fleet:
            found[size] = measure(fleet)
        _print_row(size, found[size])
    return found


def _vary(
    sizes: tuple[int, ...],
    apply: Callable[[Fleet, int], Callable[[], None] | None],
) -> dict[int, dict[str, float]]:
    found = {}
    for size in sizes:
        with running_fleet(FIXED_DAEMONS) as fleet:
            during = apply(fleet, size)
            time.sleep(SETTLE_S)
            found[size] = measure(fleet, during)
        _print_row(size, found[size])
    return found


def _apply_upstreams(fleet: Fleet, count: int) -> None:
    asyncio.run(_put_hosts(fleet.store_url, count))


def _apply_shards(fleet: Fleet, count: int) -> None:
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
    asyncio.run(_put(fleet.store_url, "assignment", "of-the-bench", value))


def _apply_accounts(fleet: Fleet, count: int) -> None:
    text = _fleet_text(accounts=count)
    asyncio.run(_put(fleet.store_url, "config", "fleet", _config(text)))


def _apply_changes(fleet: Fleet, a_minute: int) -> Callable[[], None]:
    def change() -> None:
        count = round(a_minute * WINDOW_S / 60)
        end_s = time.monotonic() + WINDOW_S
        for number in range(count):
            text = _fleet_text(remark=f"change {number}")
            asyncio.run(_put(fleet.store_url, "config", "fleet", _config(text)))
            left_s = end_s - time.monotonic()
            time.sleep(max(0.0, left_s / (count - number)))

    return change


def _time_in_force(size: int) -> None:
    times_s = []
    with running_fleet(size) as fleet:
        for number in range(IN_FORCE_CHANGES):
            text = _fleet_text(remark=f"change {number}")
            written_s = time.monotonic()
            version = asyncio.run(
                _put(fleet.store_url, "config", "fleet", _config(text))
            )
            time.sleep(0.3)
            times_s.append(_worst_in_force_s(fleet, version) - written_s)
    times_s.sort()
    middle = statistics.median(times_s)
    print(
        f"{size} daemons, {len(times_s)} changes: p50 {middle * 1000:.1f} ms, "
        f"worst {times_s[-1] * 1000:.1f} ms"
    )


def _worst_in_force_s(fleet: Fleet, version: int) -> float:
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
    tuple[tuple[int, ...], Callable[[Fleet, int], Callable[[], None] | None]],
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
