"""Models upstreams that hold keys, the network to them, and the store.

Time passes only when all tasks wait.
"""

import asyncio
import dataclasses
import json

from sardinehill import errors
from sardinehill import http1
from sardinehill.core import key_orders
from sardinehill.core import routes
from sardinehill.platform import store as store_module


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop whose time passes at once when all tasks wait."""

    def __init__(self):
        super().__init__()
        self._now_s = 10.0
        self._selector = self

    def time(self):
        return self._now_s

    def select(self, timeout_s):
        assert timeout_s is not None, "no task would ever run again"
        self._now_s += timeout_s
        return []

    def _process_events(self, events):
        pass


@dataclasses.dataclass(eq=False)
class Life:
    """One start of an upstream, with what it holds by the platform's rules."""

    name: str
    born: int
    address: str
    is_up: bool = True
    ended_s: float = 0.0
    epochs: dict = dataclasses.field(default_factory=dict)
    holds_until_s: dict = dataclasses.field(default_factory=dict)
    connections: list = dataclasses.field(default_factory=list)

    def entry(self):
        return routes.Upstream(
            self.name, self.born, "stock", self.address, "z", 3, False, 0.0
        )

    def holds(self, part, now_s):
        return self.is_up and now_s < self.holds_until_s.get(part, 0.0)


class Connection:
    """A connection of one leader to one life."""

    def __init__(self, world, life):
        self._world = world
        self._life = life
        self._pending = None
        self._arrival = None
        self._exchanges = 0
        self.usable = True
        life.connections.append(self)

    def is_reusable(self, now_s, idle_timeout_s):
        return self.usable

    def lose(self):
        self.usable = False
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(
                http1.ConnectionFailedError("connection lost", written=True)
            )

    def close(self):
        """Resets the connection: what is not delivered soon is discarded."""
        self.lose()
        margin_s = key_orders.IN_FLIGHT_MARGIN_S
        if self._arrival and (
            self._arrival.when() > self._world.loop.time() + margin_s
        ):
            self._arrival.cancel()

    async def exchange(self, request, **_options):
        if not self.usable:
            raise http1.ConnectionFailedError("closed", written=False)
        loop = self._world.loop
        self._pending = pending = loop.create_future()
        fate = self._world.fates[self._life.name]
        self._exchanges += 1
        delay_s = {"slow": 0.3, "held": 0.5, "cut": 5.0}
        if fate == "stray" and self._exchanges > 1:
            delay_s["stray"] = 0.5
            loop.call_later(0.01, self._answer, pending, 200)
        self._arrival = loop.call_later(
            delay_s.get(fate, 0.001), self._arrive, request, fate, pending
        )
        try:
            return await pending
        except asyncio.CancelledError:
            self.close()
            raise

    def _arrive(self, request, fate, pending):
        delay_s = self._world.carry_out_delay_s if fate == "late" else 0.0
        loop = self._world.loop
        loop.call_later(
            delay_s, self._carry_out, request, fate, pending, loop.time()
        )

    def _carry_out(self, request, fate, pending, arrived_s):
        if not self._life.is_up:
            return
        status = self._world.carry_out(self._life, request, arrived_s)
        if pending.done():
            # An answer that nobody waits for ends the connection.
            self.close()
        elif fate not in ("lost", "late"):
            self._answer(pending, status)

    def _answer(self, pending, status):
        if not pending.done():
            pending.set_result(http1.Response(status=status, keep_alive=True))


class Store:
    """The assignment and the term in the store, with copies to restore."""

    def __init__(self):
        self.era = 1
        self.stored = None
        self.term = 0
        self.copies = [(None, 0)]
        self.fate = "answers"

    def put(self, stored):
        self.stored = stored
        self.copies.append((stored, self.term))


class StoreClient:
    """One leader's access to the store."""

    def __init__(self, store):
        self._store = store
        self._era = store.era
        self.is_cut = False

    @property
    def fate(self):
        return "down" if self.is_cut else self._store.fate

    @property
    def era(self):
        if self.fate != "down":
            self._era = self._store.era
        return self._era

    async def get(self, kind, name):
        await self._delay()
        return self._store.stored

    async def create(self, kind, name, spec):
        return await self._write(0, spec)

    async def replace(self, kind, name, spec, revision):
        return await self._write(revision, spec)

    async def _delay(self):
        fate = self.fate
        await asyncio.sleep(0.5 if fate == "slow" else 0.002)
        if fate == "down":
            raise errors.StoreUnavailableError("down")

    async def _write(self, revision, spec):
        await self._delay()
        # The spec is JSON there, so later changes don't reach it.
        spec = json.loads(json.dumps(spec))
        if self.fate == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(2.0, self._put_if_at, revision, spec)
            raise errors.StoreUnavailableError("no answer")
        stored = self._put_if_at(revision, spec)
        if self.fate == "answer-lost":
            raise errors.StoreUnavailableError("no answer")
        if stored is None:
            raise errors.StoreConflictError("conflict", 0)
        return stored

    def _put_if_at(self, revision, spec):
        known = self._store.stored
        if revision != (known.revision if known else 0):
            return None
        stored = store_module.StoredObject("k", "stock", revision + 1, spec, {})
        self._store.put(stored)
        return stored
