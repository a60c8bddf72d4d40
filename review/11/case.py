"""Requests that have run are answered with the promise that they have not."""

import asyncio
import collections
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support3"))

import fleet as fleet_module  # noqa: E402

SEED = 1
RUN_S = 15.0
SERVERS = 7
# One server of seven is the share of `srv_grey`, and 0.4 its dose.
GREY = 1
GREY_RATIO = 0.4
PAUSE_S = 0.03
MAX_RETRIES = 2
# The statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)
SERVICES = [
    {
        "name": "conti",
        "healthPath": "/health",
        "maxConns": 110,
        "coldStartS": 3,
        "coldPerS": 11,
    }
]
ROUTES = [
    {
        "name": "r-bill",
        "pathPrefix": "/bill/",
        "service": "conti",
        "kind": "non_idempotent",
        "timeoutS": 1.2,
        "targetLatencyS": 0.2,
        "priority": 0,
        "maxAttempts": 2,
    }
]


class GreyServers:
    """Servers that fail part of their requests at the end of the work."""

    def __init__(self) -> None:
        self._random = random.Random(SEED)
        self.failed: dict[str, int] = {}
        self.runs: collections.Counter[str] = collections.Counter()

    async def note(
        self,
        server: fleet_module.Server,
        request: fleet_module.Message,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Counts what a sound server runs."""
        self.runs[request.start[1]] += 1
        return False

    async def fail(
        self,
        server: fleet_module.Server,
        request: fleet_module.Message,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Runs a request, and says then that it has failed."""
        self.runs[request.start[1]] += 1
        if self._random.random() >= GREY_RATIO:
            return False
        await asyncio.sleep(server.work_s)
        request_id = request.headers["x-request-id"]
        status = self._random.choice((429, 408))
        self.failed[request_id] = status
        server.record.write("failed", id=request_id, status=status)
        # It has run, so the answer has the stamp and no `X-Not-Executed`.
        writer.write(
            fleet_module.answer(
                status,
                {
                    "X-Request-Id": request_id,
                    "X-Response-Stamp": f"{server.name}.{request_id}",
                },
                b"the booking is made, the partner's limit is reached",
            )
        )
        return True


async def case(fleet: fleet_module.Fleet, has_trouble: bool) -> int:
    """Books, and repeats a booking only after a promise, as clients do."""
    grey = GreyServers()
    for index in range(SERVERS):
        server = await fleet.add_server(f"i-{index}", "conti", "pa-1", False)
        is_grey = has_trouble and index < GREY
        server.spoil = grey.fail if is_grey else grey.note
    await fleet.put_config(7, ROUTES, SERVICES)
    await fleet.start()
    await fleet.wait_until_served("/bill/ready")
    promised: list[str] = []
    bookings = 0

    async def book(number: int) -> None:
        for attempt in range(1 + MAX_RETRIES):
            daemon = fleet.daemons[(number + attempt) % len(fleet.daemons)]
            outcome = await fleet.send(
                daemon, f"/bill/{number}", method="POST", body=b"table=4"
            )
            if outcome.status not in PROMISES:
                return
            if outcome.id in grey.failed:
                promised.append(outcome.id)
            await asyncio.sleep(
                float(outcome.headers.get("retry-after", "0.05"))
            )

    tasks = []
    end_s = time.monotonic() + RUN_S
    while time.monotonic() < end_s:
        bookings += 1
        tasks.append(asyncio.create_task(book(bookings)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)
    twice = sum(
        count > 1 for path, count in grey.runs.items() if path != "/bill/ready"
    )
    statuses = collections.Counter(outcome.status for outcome in fleet.outcomes)
    print(
        f"{bookings} bookings, answers {dict(statuses)}: {len(promised)}"
        f" requests were run and answered 408 or 429; {twice} bookings were"
        " made more than once"
    )
    fleet.record.write(
        "result", bookings=bookings, promised=promised, twice=twice
    )
    if statuses[200] < 100:
        raise fleet_module.CouldNotRunError("too little was answered")
    return fleet_module.BROKEN if promised else fleet_module.HELD


if __name__ == "__main__":
    fleet_module.main(str(FOLDER), case)
