"""Runs a fleet of idle daemons as real processes, for benchmarks and tests."""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

import aiohttp

from sardinehill.adapters import platform

SETTLE_TIME_S = 4.0
JOIN_TIMEOUT_S = 90.0
ZONE_COUNT = 6
REGION_COUNT = 3
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

HOST_SETTINGS_TEMPLATE = """
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
bootstrap = {bootstrap}
"""

FLEET_CONFIG_TEMPLATE = """
[fleet]
availability_zones = {zones}
{sections}
# {remark}
"""

ACCOUNT_SECTION_TEMPLATE = """
[account account-{number}]
rate_per_s = 10
burst_requests = 10
"""


@dataclasses.dataclass
class DaemonProcess:
    """Represents a daemon's process and its report file.

    Attributes:
      name: the host's name.
      process: the process, started from `bench.capacity_daemon`.
      report_file: one JSON record on each line; see `bench.capacity_daemon`.
      earlier_records: how many of them an earlier process of the host wrote.
    """

    name: str
    process: subprocess.Popen[bytes]
    report_file: pathlib.Path
    earlier_records: int = 0

    def records(self) -> list[dict[str, Any]]:
        """Returns the records written so far."""
        lines = self.report_file.read_text().split("\n")
        return [json.loads(line) for line in lines[:-1]]

    def latest_sample(self) -> dict[str, Any]:
        """Returns the newest record that has the daemon's counters."""
        return [record for record in self.records() if "members" in record][-1]

    def versions_in_force(self) -> dict[str, int]:
        """Returns the newest version of each object in force here."""
        return {
            record["changed"]: record["version"]
            for record in self.records()[self.earlier_records :]
            if "changed" in record
        }

    def cpu_time_s(self) -> float:
        """Returns the CPU time used since the start of the process."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def resident_mb(self) -> float:
        """Returns the resident memory in MiB, shared pages included."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [
            each for each in status.split("\n") if each.startswith("VmRSS")
        ]
        return int(line.split()[1]) / 1024


@dataclasses.dataclass
class IdleFleet:
    """Holds running daemons, their store and the directory of their files."""

    store_url: str
    daemons: list[DaemonProcess]
    directory: pathlib.Path


def fleet_config_text(accounts: int = 0, remark: str = "") -> str:
    """Returns a fleet configuration with some accounts and a comment."""
    zones = ", ".join(f"zone-{zone}" for zone in range(ZONE_COUNT))
    sections = "".join(
        ACCOUNT_SECTION_TEMPLATE.format(number=number)
        for number in range(accounts)
    )
    return FLEET_CONFIG_TEMPLATE.format(
        zones=zones, sections=sections, remark=remark
    )


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


def start_daemon(
    directory: pathlib.Path, number: int, store_url: str, bootstrap: str = ""
) -> DaemonProcess:
    """Starts the daemon of one host; equal numbers mean the same host."""
    name = f"host-{number:03}"
    settings_file = directory / f"{name}.ini"
    settings_file.write_text(
        HOST_SETTINGS_TEMPLATE.format(
            name=name,
            zone=number % ZONE_COUNT,
            region=number % REGION_COUNT,
            store_url=store_url,
            bootstrap=bootstrap,
        )
    )
    report = directory / f"{name}.report"
    report.touch()
    earlier_records = report.read_text().count("\n")
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "bench.capacity_daemon"),
            *(str(settings_file), str(report)),
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    return DaemonProcess(name, process, report, earlier_records)


@contextlib.contextmanager
def running_fleet(size: int) -> Iterator[IdleFleet]:
    """Yields a fleet in which every daemon knows all others.

    Raises:
      RuntimeError: the daemons did not join within `JOIN_TIMEOUT_S`.
    """
    with tempfile.TemporaryDirectory() as temporary:
        directory = pathlib.Path(temporary)
        store, store_url = _start_store(directory)
        asyncio.run(
            put_object(
                store_url, "config", "fleet", config_value(fleet_config_text())
            )
        )
        daemons = [start_daemon(directory, n, store_url) for n in range(size)]
        try:
            _wait_until_joined(daemons)
            time.sleep(SETTLE_TIME_S)
            yield IdleFleet(store_url, daemons, directory)
        finally:
            # A test may have replaced some of the first processes.
            processes = [daemon.process for daemon in daemons]
            for process in [*processes, store]:
                process.kill()
                process.wait()


def _wait_until_joined(daemons: list[DaemonProcess]) -> None:
    deadline_s = time.monotonic() + JOIN_TIMEOUT_S
    while time.monotonic() < deadline_s:
        time.sleep(1.0)
        records = [daemon.records() for daemon in daemons]
        if all(
            entries and entries[-1].get("members") == len(daemons)
            for entries in records
        ):
            return
    raise RuntimeError(f"{len(daemons)} daemons did not join in time")


def config_value(text: str) -> dict[str, Any]:
    """Returns the stored value of a fleet configuration."""
    return {"text": text}


async def put_object(
    store_url: str, kind: str, name: str, value: dict[str, Any]
) -> int:
    """Overwrites an object and returns its new version."""
    client = platform.PlatformClient(store_url)
    try:
        stored = await client.get(kind, name)
        version = 0 if stored is None else stored.version
        return await client.put(kind, name, value, version)
    finally:
        await client.close()


async def set_store_faults(store_url: str, **faults: Any) -> None:
    """Sets faults of the store stand-in; see `StoreFaults` for the names."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"{store_url}/-/control", json=faults),
    ):
        pass


async def put_upstream_hosts(store_url: str, count: int) -> None:
    """Adds `count` upstreams of a service that is not configured."""
    async with aiohttp.ClientSession() as session:
        for number in range(count):
            host = {
                "name": f"upstream-{number}",
                "address": f"127.0.0.1:{20000 + number}",
                "availability_zone": f"zone-{number % ZONE_COUNT}",
                "service": "without-a-section",
                "state": "live",
            }
            control_url = f"{store_url}/-/control"
            async with session.post(control_url, json={"put_host": host}):
                pass
