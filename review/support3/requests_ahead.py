"""Shows that clients that send ahead are refused for good; it is no case.

The rule is DENIED, and the disruption that clients send further requests before
an answer. With `TROUBLE=0` they send each one after the answer to the one
before. Exits with 1 if the rule was broken, 0 if it held.
"""

import asyncio
import collections
import pathlib
import time

import fleet as fleet_module
import pipelining

RUN_S = 15.0
CLIENTS = 12
# How many requests a client sends before the first has been answered.
AHEAD = 6
# With the other headers well under `maxHeaderBytes`, which is 16384.
COOKIE = "c" * 8000
PAUSE_S = 0.25
SERVICES = [
    {
        "name": "catalogue",
        "healthPath": "/health",
        "maxConns": 570,
        "coldStartS": 3,
        "coldPerS": 11,
    }
]
ROUTES = [
    {
        "name": "r-lookup",
        "pathPrefix": "/lookup/",
        "service": "catalogue",
        "kind": "idempotent",
        "timeoutS": 2,
        "targetLatencyS": 0.6,
        "priority": 2,
        "maxAttempts": 2,
    }
]


async def case(fleet: fleet_module.Fleet, has_trouble: bool) -> int:
    """Sends the same requests ahead, or one after the other without trouble."""
    for index in range(6):
        await fleet.add_server(
            f"i-{index}", "catalogue", "pa-1", False, slots=8, work_s=0.01
        )
    await fleet.put_config(7, ROUTES, SERVICES)
    await fleet.start()
    await fleet.wait_until_served("/lookup/a")
    statuses: collections.Counter[int] = collections.Counter()
    end_s = time.monotonic() + RUN_S

    async def act_as_client(number: int) -> None:
        daemon = fleet.daemons[number % len(fleet.daemons)]
        while time.monotonic() < end_s:
            outcomes = await pipelining.send_batch(
                fleet,
                daemon,
                "/lookup/a",
                AHEAD,
                {"Cookie": COOKIE},
                has_trouble,
            )
            statuses.update(outcome.status for outcome in outcomes)
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(act_as_client(n) for n in range(CLIENTS)))
    total = statuses.total()
    denied = sum(
        count
        for status, count in statuses.items()
        if 300 <= status < 500 and status not in (408, 421, 429)
    )
    allowed = 5 + total / 500
    print(f"{dict(statuses)}: {denied} denied of {total}, {allowed} allowed")
    fleet.record.write(
        "result", statuses=dict(statuses), denied=denied, allowed=allowed
    )
    if total < 200:
        raise fleet_module.CouldNotRunError("too few requests were answered")
    return fleet_module.BROKEN if denied > allowed else fleet_module.HELD


if __name__ == "__main__":
    fleet_module.main(str(pathlib.Path(__file__).parent), case)
