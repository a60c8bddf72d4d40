"""An odd entry of another writer ends all daemons, again and again."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support3"))

import fleet as fleet_module  # noqa: E402

# Most machines of the site have as much.
MEMORY_MB = 160
DAEMONS = 4
QUIET_S = 4.0
TROUBLE_S = 20.0
# The object, with its names and brackets, stays below `valueBytes`.
UNREADABLE_BYTES = 1_040_000
# What stands for them in the stand-in's memory.
MARK = "RAWVALUE"
# The rule's figures.
MAX_ENDS = 2
MACHINES = 2
SERVICES = [
    {
        "name": "placefinder",
        "healthPath": "/health",
        "maxConns": 490,
        "coldStartS": 3,
        "coldPerS": 7.2,
    }
]
ROUTES = [
    {
        "name": "r-search",
        "pathPrefix": "/search/",
        "service": "placefinder",
        "kind": "idempotent",
        "timeoutS": 1.2,
        "targetLatencyS": 0.2,
        "priority": 1,
        "maxAttempts": 2,
    }
]


async def send_steadily(
    fleet: fleet_module.Fleet, seconds: float
) -> list[fleet_module.Outcome]:
    """Sends 40 requests a second to the daemons in turn."""
    tasks = []
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        daemon = fleet.daemons[len(tasks) % len(fleet.daemons)]
        tasks.append(
            asyncio.create_task(fleet.send(daemon, "/search/a", limit_s=1.2))
        )
        await asyncio.sleep(0.025)
    return list(await asyncio.gather(*tasks))


async def write_odd_entry(fleet: fleet_module.Fleet, has_trouble: bool) -> None:
    """Writes the entry of another writer at each heartbeat, as servers do."""
    long_text = b"\xfe" * UNREADABLE_BYTES + "\U0001f600".encode()
    text = long_text if has_trouble else b"\xfe"
    fleet.store.raw[MARK] = b'"' + text + b'"'
    number = 0
    while True:
        number += 1
        await fleet.store.put(
            "servers",
            "i-other",
            spec={"address": MARK},
            status={"seqNo": number},
        )
        fleet.record.write("odd-entry", number=number, bytes=len(text))
        await asyncio.sleep(fleet_module.HEARTBEAT_S)


async def case(fleet: fleet_module.Fleet, has_trouble: bool) -> int:
    """Counts how often the daemons end while the entry is written.

    Without trouble, the entry is as unreadable, but short.
    """
    for index in range(12):
        await fleet.add_server(
            f"i-{index}",
            "placefinder",
            ("accra-a", "tema-b", "kasoa-c")[index % 3],
            False,
            slots=2,
            queue=8,
        )
    await fleet.put_config(7, ROUTES, SERVICES)
    await fleet.start()
    await fleet.wait_until_served("/search/a")
    before = await send_steadily(fleet, QUIET_S)
    writer = asyncio.create_task(write_odd_entry(fleet, has_trouble))
    during = await send_steadily(fleet, TROUBLE_S)
    writer.cancel()
    ends = [daemon.own_ends for daemon in fleet.daemons]
    served = [
        sum(outcome.status == 200 for outcome in outcomes) / len(outcomes)
        for outcomes in (before, during)
    ]
    peaks_mb = [daemon.peak_mb for daemon in fleet.daemons]
    print(
        f"ends: {ends}, peaks: {peaks_mb} MB of {MEMORY_MB}, served before and"
        f" during: {served[0]:.3f}, {served[1]:.3f}"
    )
    fleet.record.write("result", ends=ends, peaks_mb=peaks_mb, served=served)
    if served[0] < 0.9:
        raise fleet_module.CouldNotRunError("the quiet time was not served")
    ended = sum(count > MAX_ENDS for count in ends)
    return fleet_module.BROKEN if ended >= MACHINES else fleet_module.HELD


if __name__ == "__main__":
    fleet_module.main(
        str(FOLDER),
        case,
        daemons=DAEMONS,
        zones=("accra-a", "tema-b", "kasoa-c"),
        memory_mb=MEMORY_MB,
    )
