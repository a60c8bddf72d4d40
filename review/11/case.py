"""A server takes keys with an epoch below that of their next owner.

With ONLY=repeat or ONLY=late, only one of the two things happens to its orders.
"""

import asyncio
import json
import os
import pathlib
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support3"))

import fleet as fleet_module  # noqa: E402

# The time from the first served request to the trouble.
QUIET_S = 12.0
# The trouble lasts for so long; the server begins to drain in the middle.
TROUBLE_S = 5.0
# How long after their arrival grants are carried out.
LATE_S = 2.1
AFTER_S = 6.0
SERVICES = [
    {
        "name": "prenota",
        "healthPath": "/health",
        "maxConns": 110,
        "coldStartS": 3,
        "coldPerS": 11,
        "sharded": True,
        "warmS": 5,
    }
]
ROUTES = [
    {
        "name": "r-stock",
        "pathPrefix": "/stock/",
        "service": "prenota",
        "kind": "idempotent",
        "timeoutS": 1,
        "targetLatencyS": 0.3,
        "priority": 2,
        "maxAttempts": 2,
    }
]
KEYS = (0, 30000, 65535)


class Epochs:
    """The highest epoch with which each server has had each key."""

    def __init__(self, record: fleet_module.Record):
        self._record = record
        self._by_server: dict[str, list[int]] = {}
        self.broken: list[dict[str, Any]] = []

    def note_taken(
        self, server: str, first: int, last: int, epoch: int, left_s: float
    ) -> None:
        """Records that a server takes keys, and whether the rule allows it."""
        keys = slice(first, last + 1)
        for other, epochs in self._by_server.items():
            highest = max(epochs[keys])
            if other != server and highest >= epoch:
                found = {
                    "server": server,
                    "first": first,
                    "last": last,
                    "epoch": epoch,
                    "other": other,
                    "other_epoch": highest,
                    "left_s": round(left_s, 3),
                }
                self.broken.append(found)
                self._record.write("epoch-below", **found)
        own = self._by_server.setdefault(server, [0] * fleet_module.KEY_COUNT)
        own[keys] = [max(known, epoch) for known in own[keys]]


class OrderedServer(fleet_module.Server):
    """A server that may repeat answers to orders and carry orders out late."""

    epochs: Epochs
    repeats = False
    is_late = False

    async def _handle(
        self, request: fleet_module.Message, writer: asyncio.StreamWriter
    ) -> None:
        expected = request.headers.get("x-expect-instance", self.name)
        if request.start[1] != "/grant" or expected != self.name:
            await super()._handle(request, writer)
            return
        order = json.loads(request.body)
        arrived_s = time.monotonic()
        self.record.write("grant-arrives", server=self.name, **order)
        has_answered = getattr(writer, "has_answered_grant", False)
        if self.repeats and has_answered:
            # The answer to the grant before comes a second time.
            self.record.write("second-answer", server=self.name)
            writer.write(fleet_module.answer(200))
            if not self.is_late:
                # The answer to this one comes behind it.
                writer.write(self._take(order, arrived_s))
                return
        if self.is_late and (has_answered or not self.repeats):
            # It gets no answer, and its time counts from its arrival.
            asyncio.get_running_loop().call_later(
                LATE_S, self._take, order, arrived_s
            )
            return
        answer = self._take(order, arrived_s)
        writer.has_answered_grant = True  # type: ignore[attr-defined]
        writer.write(answer)

    def _take(self, order: dict[str, Any], arrived_s: float) -> bytes:
        left_s = arrived_s + order["holdS"] - time.monotonic()
        if left_s <= 0:
            return fleet_module.answer(200)
        answer = self._order("/grant", {**order, "holdS": left_s})
        if answer.startswith(b"HTTP/1.1 200"):
            self.epochs.note_taken(
                self.name, order["from"], order["to"], order["fence"], left_s
            )
        return answer


async def case(fleet: fleet_module.Fleet, has_trouble: bool) -> int:
    """Empties a server while its orders are in trouble."""
    OrderedServer.epochs = Epochs(fleet.record)
    for index in range(4):
        await fleet.add_server(f"i-{index}", "prenota", "pa-1", True)
    await fleet.put_config(7, ROUTES, SERVICES)
    await fleet.start()
    await fleet.wait_until_served("/stock/a", KEYS)
    await asyncio.sleep(QUIET_S)
    leaving = fleet.servers["i-0"]
    assert isinstance(leaving, OrderedServer)
    only = os.environ.get("ONLY")
    if has_trouble:
        leaving.repeats = only != "late"
        leaving.is_late = only != "repeat"
    fleet.record.write("trouble", server=leaving.name, has_trouble=has_trouble)
    await asyncio.sleep(TROUBLE_S / 2)
    await leaving.drain()
    fleet.record.write("draining", server=leaving.name)
    await asyncio.sleep(TROUBLE_S / 2)
    leaving.repeats = leaving.is_late = False
    await asyncio.sleep(AFTER_S)
    await fleet.wait_until_served("/stock/a", KEYS)
    broken = OrderedServer.epochs.broken
    print(f"{len(broken)} grants were taken with an epoch below another's")
    for found in broken[:3]:
        print(json.dumps(found))
    fleet.record.write("result", broken=len(broken))
    return fleet_module.BROKEN if broken else fleet_module.HELD


if __name__ == "__main__":
    fleet_module.Server = OrderedServer  # type: ignore[misc]
    fleet_module.main(str(FOLDER), case)
