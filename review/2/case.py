"""Some answers of some backends are bytes without end."""

import asyncio
import pathlib
import random
import signal
import sys
import time

CASE = pathlib.Path(__file__).parent
sys.path.insert(0, str(CASE.parent))

from support import fleet as fleet_module  # noqa: E402

BACKENDS = 20
# `fleetbench kinds` gives `garble` a share of 0.5 of the backends; the site
# file spoils up to 0.05 of their answers. The pages set no limit for bytes
# without end.
FAULTY = 10
ENDLESS_RATIO = 0.05
# A tenth of a machine's link of 1,000 Mbit/s.
ENDLESS_BYTES_PER_S = 12_000_000
# The requests to a daemon, of as many clients.
REQUESTS_PER_S = 90.0
CLIENTS = 24
TROUBLE_S = 65.0
# The settings of the users' pages: limits.memoryMb=300.
MEMORY_MB = 300
RESTART_S = 0.5
MACHINES = 2
# RULES.md, LOST: "more than three times".
MAX_LOST = 3
# The share of the requests that may be repeated is about that of the site.
KINDS = [("GET", "/lohu930/2f")] * 3 + [("POST", "/pufi791/2f")]


def memory_mb(pid: int) -> float:
    """Returns the memory that a process occupies."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def limit_memory(
    fleet: fleet_module.Fleet,
    daemon: fleet_module.Daemon,
    ends: dict[str, int],
    peaks: dict[str, float],
) -> None:
    """Does what the platform does with a process over its memory limit."""
    while True:
        await asyncio.sleep(0.01)
        assert daemon.process is not None
        used_mb = memory_mb(daemon.process.pid)
        peaks[daemon.name] = max(peaks[daemon.name], used_mb)
        if used_mb > MEMORY_MB:
            daemon.signal(signal.SIGKILL)
            daemon.process.wait()
        if daemon.process.poll() is not None:
            ends[daemon.name] += 1
            fleet.note(
                "daemon-ended", daemon=daemon.name, memory_mb=round(used_mb)
            )
            await asyncio.sleep(RESTART_S)
            daemon.start(fleet.directory)


async def send_requests(
    fleet: fleet_module.Fleet,
    daemon: fleet_module.Daemon,
    name: str,
    until_s: float,
) -> list[int]:
    """Sends a client's requests over a connection that it keeps."""
    connection = fleet_module.KeptConnection(fleet, daemon)
    statuses = []
    while time.monotonic() < until_s:
        method, path = random.choice(KINDS)
        statuses.append(
            await connection.request(
                f"{daemon.name}-{name}-{len(statuses)}",
                random.randrange(65536),
                method,
                path,
            )
        )
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S / CLIENTS))
    connection.close()
    return statuses


def lost_requests(lines: list[dict[str, object]]) -> list[str]:
    """Returns the requests that the rule LOST counts.

    They came over a kept connection, ran at a backend that did not spoil the
    answer, and their connection was closed without an answer.
    """
    spoilt = {line["id"] for line in lines if line["what"] == "endless"}
    ran = {line["id"] for line in lines if line["what"] == "run"}
    kept = {
        line["id"]
        for line in lines
        if line["what"] == "sent" and line.get("kept")
    }
    return [
        str(line["id"])
        for line in lines
        if line["what"] == "answered"
        and line.get("ended") == "closed"
        and line["id"] in kept & ran - spoilt
    ]


async def run(
    fleet: fleet_module.Fleet, ends: dict[str, int], peaks: dict[str, float]
) -> list[int]:
    """Plays the case."""
    await fleet.start_store(fleet_module.config())
    flag = fleet.directory / "trouble"
    for index in range(BACKENDS):
        settings = {}
        if index < FAULTY:
            settings = {
                "trouble_file": str(flag),
                "endless_ratio": ENDLESS_RATIO,
                "endless_bytes_per_s": ENDLESS_BYTES_PER_S,
            }
        fleet.add_backend(index, "prenota", True, work_s=0.09, **settings)
    fleet.add_backend(BACKENDS, "conti", False)
    for _ in range(MACHINES):
        fleet.add_daemon()
    await fleet.wait_until_ready()
    await fleet.wait_until_served()
    watching = []
    for daemon in fleet.daemons:
        ends[daemon.name], peaks[daemon.name] = 0, 0.0
        watching.append(
            asyncio.ensure_future(limit_memory(fleet, daemon, ends, peaks))
        )
    if fleet_module.TROUBLE:
        flag.touch()
    until_s = time.monotonic() + TROUBLE_S
    clients = [
        asyncio.ensure_future(send_requests(fleet, daemon, f"{index}", until_s))
        for daemon in fleet.daemons
        for index in range(CLIENTS)
    ]
    statuses = [
        status for sent in await asyncio.gather(*clients) for status in sent
    ]
    for task in watching:
        task.cancel()
    return statuses


def main() -> int:
    """Plays and judges the case; returns the exit status."""
    fleet = fleet_module.Fleet(CASE)
    verdict = "the case could not run"
    status = 2
    ends: dict[str, int] = {}
    peaks: dict[str, float] = {}
    try:
        statuses = fleet_module.play(run(fleet, ends, peaks))
        lost = lost_requests(fleet.lines())
        status = 1 if len(lost) > MAX_LOST else 0
        counts = {code: statuses.count(code) for code in sorted(set(statuses))}
        endless = sum(line["what"] == "endless" for line in fleet.lines())
        verdict = (
            f"LOST: {len(lost)} requests from kept connections that sound "
            f"backends ran have no answer; processes over {MEMORY_MB} MB ended "
            f"{ends} times; peaks "
            f"{ ({name: round(peak) for name, peak in peaks.items()}) } MB; "
            f"{endless} answers without end; answers by status (0: none) "
            f"{counts}; {'broken' if status else 'held'}"
        )
    except fleet_module.UnableError as error:
        verdict = f"the case could not run: {error}"
    finally:
        fleet.close(verdict)
    print(verdict)
    return status


if __name__ == "__main__":
    fleet_module.exit_with(main)
