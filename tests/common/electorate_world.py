"""Simulates daemons that elect leaders, their store and their upstreams.

The decisions are those of the shipped code: `core/leader_confirmation` through
`front/leader_term`, `core/key_support` through `front/assignment_manager`, and
`front/order_sender` for the keys. This module only stands in for sockets and
timers. Calls are answered at once, and time passes in ticks.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import functools
import json
from typing import Any

from sardinehill import errors
from sardinehill.core import electorates
from sardinehill.core import keyspace
from sardinehill.core import routes
from sardinehill.core import store_versions
from sardinehill.front import assignment_manager
from sardinehill.front import assignment_store
from sardinehill.front import election
from sardinehill.front import followers
from sardinehill.front import key_owners
from sardinehill.front import known_leader
from sardinehill.front import leader_client
from sardinehill.front import leader_term
from sardinehill.front import order_sender
from sardinehill.front import peer_registry
from sardinehill.platform import store as store_module

SERVICE = "stock"
RANGE_COUNT = 4
RANGE_KEYS = keyspace.KEY_COUNT // RANGE_COUNT
TICK_S = 0.25
START_S = 1000.0
# A clock of an upstream that measures a grant may run this much slower.
SLOW_CLOCK_RATIO = 1.02
# A grant that got no answer may still arrive after this time.
LATE_GRANT_S = 0.5
# A leader that plans waits for this long for owners to confirm its epochs.
PLAN_DELAY_S = assignment_manager.CONFIRM_TIMEOUT_S
MAX_COPIES = 6

Link = frozenset[str]


class KeyHeldTwiceError(AssertionError):
    """Raised when two upstreams hold the same keys."""


class KeysNotServedError(AssertionError):
    """Raised when keys are without an owner for too long."""


class Timers(asyncio.AbstractEventLoop):
    """As much of an event loop as `asyncio.sleep` needs, by a world's clock."""

    def __init__(self, clock_s: Callable[[], float]) -> None:
        self._clock_s = clock_s
        self._handles: list[asyncio.TimerHandle] = []

    def time(self) -> float:
        return self._clock_s()

    def get_debug(self) -> bool:
        return False

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def call_later(
        self, delay: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(self.time() + delay, callback, args, self)
        self._handles.append(handle)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        return

    def run_due(self) -> None:
        """Calls what is due."""
        now_s = self.time()
        due = [handle for handle in self._handles if handle.when() <= now_s]
        self._handles = [
            handle for handle in self._handles if handle.when() > now_s
        ]
        for handle in due:
            if not handle.cancelled():
                handle._run()

    def step(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine until it waits or ends, with this loop running."""
        asyncio._set_running_loop(self)
        try:
            return coroutine.send(None)
        finally:
            asyncio._set_running_loop(None)


class WaitsError(RuntimeError):
    """Raised when a call waits that is expected to be answered at once."""


def run_at_once(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Returns the result of a coroutine that does not wait.

    Raises:
      WaitsError: it waits.
    """
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    coroutine.close()
    raise WaitsError(repr(coroutine))


class Tasks:
    """Runs coroutines in the order of their creation."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._ready: list[Coroutine[Any, Any, None]] = []
        self._waiting: list[
            tuple[asyncio.Future[Any], Coroutine[Any, Any, None]]
        ] = []

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._ready.append(coroutine)

    def run(self) -> None:
        """Runs all tasks until they end or wait for a timer."""
        waiting, self._waiting = self._waiting, []
        for future, coroutine in waiting:
            if future.done():
                self._ready.append(coroutine)
            else:
                self._waiting.append((future, coroutine))
        while self._ready:
            coroutine = self._ready.pop(0)
            try:
                future = self._timers.step(coroutine)
            except StopIteration:
                continue
            self._waiting.append((future, coroutine))

    def close(self) -> None:
        """Ends all tasks."""
        for coroutine in self._ready:
            coroutine.close()
        for _, coroutine in self._waiting:
            coroutine.close()
        self._ready, self._waiting = [], []


@dataclasses.dataclass
class Upstream:
    """An upstream, which holds ranges of keys until they lapse."""

    name: str
    is_alive: bool = True
    epochs: list[int] = dataclasses.field(
        default_factory=lambda: [0] * RANGE_COUNT
    )
    held_until_s: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * RANGE_COUNT
    )

    def listed(self) -> routes.Upstream:
        return routes.Upstream(
            self.name, 1, SERVICE, self.name, "z", 3, False, 0.0, 0
        )

    def forget(self) -> None:
        """Loses all epochs and holds, as after a restart."""
        self.epochs = [0] * RANGE_COUNT
        self.held_until_s = [0.0] * RANGE_COUNT


@dataclasses.dataclass(frozen=True)
class LateGrant:
    """A grant that was not answered and arrives later."""

    due_s: float
    upstream: str
    order: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class LateWrite:
    """A write of the lease that was not answered and is carried out later."""

    spec: Any
    revision: int


Objects = dict[tuple[str, str], store_module.StoredObject]


class Store:
    """The store, whose writes are conditional on revisions."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.objects: Objects = {}
        self.copies: list[tuple[Objects, int]] = [({}, 1)]
        self.late_writes: list[LateWrite] = []
        # What happens to the next write of the lease.
        self.lease_outcome = "answered"

    def write(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> store_module.StoredObject:
        """Writes an object whose revision is the given one; 0 creates it."""
        stored = self.objects.get((kind, name))
        found = stored.revision if stored is not None else 0
        if found != revision:
            raise errors.StoreConflictError(f"{kind}/{name}", found)
        self.revision += 1
        written = store_module.StoredObject(
            kind, name, self.revision, spec, None
        )
        self.objects[kind, name] = written
        return written

    def take_copy(self) -> None:
        self.copies = [
            *self.copies[1 - MAX_COPIES :],
            (dict(self.objects), self.revision),
        ]

    def restore(self, age: int) -> None:
        """Goes back to a copy, which begins an era; the latest has age 0."""
        index = max(0, len(self.copies) - 1 - age)
        objects, self.revision = self.copies[index]
        self.objects = dict(objects)
        self.copies = self.copies[: index + 1]
        self.late_writes.clear()
        self.era += 1

    def carry_out_late_write(self) -> None:
        if self.late_writes:
            late = self.late_writes.pop(0)
            try:
                self.write(
                    peer_registry.LEASES_KIND,
                    peer_registry.LEASE_NAME,
                    late.spec,
                    late.revision,
                )
            except errors.StoreConflictError:
                return


class StoreClient:
    """One daemon's connection to the store."""

    def __init__(self, world: "World", name: str):
        self._world = world
        self._name = name
        self.era = 0

    def _reached_store(self) -> Store:
        if self._name in self._world.cut_from_store:
            raise errors.StoreError("cut off")
        self.era = self._world.store.era
        return self._world.store

    async def get(self, kind: str, name: str) -> Any:
        return self._reached_store().objects.get((kind, name))

    async def list_objects(
        self, kind: str, may_be_stale: bool = False
    ) -> tuple[list[Any], store_versions.StoreVersion]:
        store = self._reached_store()
        objects = [
            item for key, item in store.objects.items() if key[0] == kind
        ]
        return objects, store_versions.StoreVersion(store.era, store.revision)

    async def create(self, kind: str, name: str, spec: Any) -> Any:
        return await self.replace(kind, name, spec, 0)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Any:
        store = self._reached_store()
        outcome = "answered"
        if kind == peer_registry.LEASES_KIND:
            outcome, store.lease_outcome = store.lease_outcome, "answered"
        if outcome in ("late", "late-unread"):
            store.late_writes.append(LateWrite(spec, revision))
        else:
            written = store.write(kind, name, spec, revision)
        match outcome:
            case "answered":
                return written
            case "lost" | "late":
                raise errors.StoreUnavailableError("no answer")
            case _:
                # The object cannot be read back, either.
                raise errors.StoreError("no answer")

    async def delete(self, kind: str, name: str, revision: int) -> None:
        store = self._reached_store()
        stored = store.objects.get((kind, name))
        if stored is not None and stored.revision == revision:
            store.revision += 1
            del store.objects[kind, name]


class Owners(key_owners.KeyOwners):
    """Sends one leader's orders to the upstreams of a world."""

    def __init__(self, world: "World", daemon: str):
        super().__init__(SERVICE, world.listed, frozenset, world.now_s)
        self._world = world
        self._daemon = daemon

    def abandon_orders(self) -> None:
        return

    def opens_connection(self, owner: key_owners.KeyOwner) -> bool:
        return owner.failing_since_s is not None

    async def send_order(
        self,
        owner: key_owners.KeyOwner,
        request: bytes,
        timeout_s: float,
        may_send: Any,
        on_new_connection: bool = False,
    ) -> key_owners.OrderResult:
        if on_new_connection or not owner.opened_connections:
            owner.opened_connections += 1
        if not may_send():
            return key_owners.OrderResult(error="overtaken", superseded=True)
        return dataclasses.replace(
            self._world.deliver(self._daemon, owner.incarnation[0], request),
            at_connection=owner.opened_connections,
        )


class Daemon:
    """One start of a daemon's process."""

    def __init__(self, world: "World", name: str):
        self.world = world
        self.name = name
        self.client = StoreClient(world, name)
        self.registry = peer_registry.PeerRegistry(
            name,
            name,
            1.0,
            self.client,  # type: ignore[arg-type]
        )
        self.known = known_leader.KnownLeader(name, world.clock_s)
        self.election = election.Election(
            name, self.known, self.registry, world.clock_s
        )
        self.has_started = False
        self.registered_era = 0
        self.leader = ""
        self.heard_s = world.now_s
        self.reported_s = world.now_s
        self.candidate_since_s: float | None = None
        self.store_lost_since_s: float | None = None
        self.term: leader_term.LeaderTerm | None = None
        self.keys: Keys | None = None
        self.check_due_s = 0.0
        self.removal_due_s = 0.0

    # the daemon itself

    def tick(self) -> None:
        self._note_store()
        if not self.has_started:
            self._start()
            return
        self._register()
        if self.term is not None:
            self._lead(self.term)
        else:
            self._follow()

    def reaches_store(self) -> bool:
        return self.name not in self.world.cut_from_store

    def _note_store(self) -> None:
        if self.reaches_store():
            self.client.era = self.world.store.era
            self.store_lost_since_s = None
        elif self.store_lost_since_s is None:
            self.store_lost_since_s = self.world.now_s

    def _start(self) -> None:
        try:
            run_at_once(self.election.read_lease())
            run_at_once(self.registry.read_peers(may_be_stale=True))
        except errors.StoreError:
            return
        self.has_started = True
        self.leader = self.registry.lease.holder
        self.heard_s = self.world.now_s

    def _register(self) -> None:
        is_due = (
            self.registered_era < self.client.era
            or self.registry._may_be_removed
        )
        if not is_due or not self.reaches_store():
            return
        self.registry._may_be_removed = False
        spec = {
            "address": self.name,
            "coreShare": 1.0,
            "life": self.registry._incarnation,
        }
        run_at_once(self.registry._write_registration(spec))
        self.registered_era = self.client.era

    # following

    def _follow(self) -> None:
        leader = self.world.reached(self.name, self.leader)
        if leader is not None:
            self._report_to(leader)
        now_s = self.world.now_s
        if now_s - self.heard_s <= known_leader.LEADER_TIMEOUT_S:
            self.candidate_since_s = None
            return
        if self._ask_peers():
            return
        if self.candidate_since_s is None:
            self.candidate_since_s = now_s
        wait_s = self.world.rank(self.name) * election.RANK_DELAY_S
        if now_s - self.candidate_since_s >= wait_s and self.reaches_store():
            self._try_to_lead()

    def _report_to(self, leader: "Daemon") -> None:
        now_s = self.world.now_s
        if now_s - self.reported_s > leader_client.MAX_UNREPORTED_S:
            self.registry.note_absence()
        self.reported_s = now_s
        term = leader.term
        if term is None:
            return
        if self.known.term > leader.known.term:
            term.ended.set()
            return
        if self.known.term == leader.known.term:
            term.note_report(self.name, self.name)
        self.known.note_term(leader.known.term)
        self.heard_s = now_s
        if self.reaches_store():
            term.note_store_reached(self.name)
            leader.hand_over_if_store_lost(term, self)

    def hand_over_if_store_lost(
        self, term: leader_term.LeaderTerm, successor: "Daemon"
    ) -> None:
        lost_since_s = self.store_lost_since_s
        lost_s = (
            self.world.now_s - lost_since_s if lost_since_s is not None else 0.0
        )
        if term.should_hand_over(min(lost_s, term.age_s())):
            term.resigned = True
            term.ended.set()
            successor.heard_s = -1e9
            successor.candidate_since_s = -1e9

    def _ask_peers(self) -> bool:
        """Returns whether a peer knows a leader that this daemon may follow."""
        for peer in self.world.reached_peers(self.name):
            is_newer = peer.known.term > self.known.term
            age_s = self.world.now_s - peer.heard_s
            is_alive = (
                peer.known.term == self.known.term
                and peer.leader != self.name
                and (peer.term is not None or age_s < 0.4)
            )
            if is_newer or is_alive:
                self.known.note_term(peer.known.term)
                if self.leader != peer.leader:
                    self.follow(peer.leader, peer.known.term)
                return True
        return False

    def follow(self, leader: str, term: int) -> None:
        """Follows a leader that a peer has named."""
        self.known.note_term(term)
        self.leader = leader
        self.heard_s = self.world.now_s
        self.candidate_since_s = None

    def _try_to_lead(self) -> None:
        self.candidate_since_s = None
        try:
            run_at_once(self.registry.read_peers())
            has_lease = run_at_once(self.election._take_lease())
        except errors.StoreError:
            return
        lease = self.registry.lease
        if has_lease and lease.term == self.known.term:
            self._begin_term()
        elif lease.holder != self.name and lease.holder != self.leader:
            self.follow(lease.holder, self.known.term)

    # leading

    def _begin_term(self) -> None:
        now_s = self.world.now_s
        self.leader = self.name
        self.term = self.world.term_class(
            self.name,
            self.registry,
            self.election,
            followers.Followers(),
            self.world.clock_s,
            self.keys_exclude_earlier,
            self.refuses_half_of_keys,
        )
        self.keys = Keys(self.world, self, self.term)
        self.check_due_s = now_s + leader_term.LEASE_CHECK_INTERVAL_S
        self.removal_due_s = now_s + leader_term.REGISTRATION_EXPIRY_S

    def keys_exclude_earlier(self) -> bool:
        return self.keys is not None and self.keys.manager.is_exclusive()

    def refuses_half_of_keys(self) -> bool:
        return (
            self.keys is not None and self.keys.manager.refuses_half_of_keys()
        )

    def _lead(self, term: leader_term.LeaderTerm) -> None:
        self.heard_s = self.world.now_s
        term.note_running()
        self._announce(term)
        self._check_lease(term)
        if self.keys is not None and not term.ended.is_set():
            self.keys.tick()
        if term.ended.is_set():
            self.end_term()

    def end_term(self) -> None:
        """Stops leading."""
        if self.keys is not None:
            self.keys.close()
        self.term = self.keys = None

    def _announce(self, term: leader_term.LeaderTerm) -> None:
        if term._is_followed_by_majority():
            return
        for peer in self.world.reached_peers(self.name):
            if peer.known.term < self.known.term:
                if peer.term is not None:
                    peer.term.ended.set()
                peer.follow(self.name, self.known.term)

    def _check_lease(self, term: leader_term.LeaderTerm) -> None:
        """Does what `LeaderTerm.check_lease` does between its pauses."""
        now_s = self.world.now_s
        is_lost = not term.holds_present_lease()
        if is_lost and not term._outlasts_restore():
            return
        if now_s < self.check_due_s and not is_lost:
            return
        self.check_due_s = now_s + leader_term.LEASE_CHECK_INTERVAL_S
        if is_lost or term._needs_lease():
            try:
                run_at_once(term._confirm_lease())
            except errors.StoreError:
                term._is_superseded()
                return
            if term.ended.is_set():
                return
        run_at_once(term._change_electorate())
        if not term.ended.is_set() and now_s > self.removal_due_s:
            self.removal_due_s = now_s + leader_term.REGISTRATION_EXPIRY_S
            run_at_once(self.registry.remove_peers(term._silent_peers()))


class Keys:
    """The keys of the service during one term."""

    def __init__(
        self, world: "World", daemon: Daemon, term: leader_term.LeaderTerm
    ):
        self._world = world
        self._term = term
        self._tasks = Tasks(world.timers)
        self._owners = Owners(world, daemon.name)
        self._store = assignment_store.AssignmentStore(
            SERVICE,
            daemon.known.term,
            daemon.client,  # type: ignore[arg-type]
            term.ended.set,
            functools.partial(world.hears_upstreams, daemon.name),
            term.holds_present_lease,
            term.has_settled,
        )
        self.manager = assignment_manager.AssignmentManager(
            SERVICE,
            self._store,
            self._owners,
            term.may_send_orders,
            term.is_exclusive,
            _ignore,
            world.clock_s,
            _ignore,  # type: ignore[arg-type]
            term.has_support,
            term.store_silent_s,
            term.excludes_earlier,
        )
        self._orders: order_sender.OrderSender | None = None
        self._plan_due_s = 0.0

    def tick(self) -> None:
        if self._orders is None:
            self._read()
        if self._orders is not None:
            if self._world.now_s >= self._plan_due_s:
                self._plan_due_s = (
                    self._world.now_s + assignment_manager.PLAN_INTERVAL_S
                )
                self._plan(self._orders.assignment)
            self._orders.send_due()
            self._tasks.run()

    def _read(self) -> None:
        now_s = self._world.now_s
        assignment = run_at_once(
            self._store.read(
                order_sender.earlier_orders_end_s(now_s),
                order_sender.earlier_orders_arrived_s(now_s),
            )
        )
        if assignment is None:
            return
        _split_into_ranges(assignment)
        keyspace.renew_epochs(assignment)
        if run_at_once(self._store.write(assignment)):
            self._begin_orders(assignment)

    def _begin_orders(self, assignment: keyspace.KeyAssignment) -> None:
        self.manager._assignment = assignment
        self._plan_due_s = self._world.now_s + PLAN_DELAY_S
        self._orders = order_sender.OrderSender(
            SERVICE,
            assignment,
            self._owners,
            self._tasks,  # type: ignore[arg-type]
            self.manager._may_send_orders,
            self.manager.is_exclusive,
            _ignore,
            self._plan_now,
            self._plan_now,
            _ignore,
            self._raise_epoch,
            self._world.clock_s,
            self.manager._support,
        )

    def close(self) -> None:
        """Ends all orders under way."""
        self._tasks.close()

    def _plan_now(self) -> None:
        self._plan_due_s = 0.0

    def _raise_epoch(self, grant: Any) -> None:
        self._tasks.create_task(self.manager._raise_epoch(grant))

    def _plan(self, assignment: keyspace.KeyAssignment) -> None:
        if self._store.is_lost:
            run_at_once(self._store.write_again(assignment))
            return
        if self._store.is_trusted_late:
            run_at_once(self._store.write(assignment))
            return
        moves = self._moves(assignment)
        if not moves:
            return
        planned = assignment_manager._copy(assignment)
        transfers = keyspace.apply_moves(planned, moves)
        if transfers and run_at_once(self._store.write(planned)):
            keyspace.apply_transfers(assignment, transfers)

    def _moves(
        self, assignment: keyspace.KeyAssignment
    ) -> list[keyspace.KeyMove]:
        """Returns one move to the usable upstream with the fewest ranges."""
        usable = self._owners.capacities(self._world.now_s, lambda _: 1.0)
        if not usable:
            return []
        counts = {
            item: sum(span.owner == item for span in assignment.spans)
            for item in sorted(usable)
        }
        least = min(counts, key=counts.__getitem__)
        for span in assignment.spans:
            is_homeless = span.owner not in usable
            if keyspace.may_move(span) and (
                is_homeless or counts[span.owner] - counts[least] > 1
            ):
                return [keyspace.KeyMove(span.first, span.last, least)]
        return []


def _split_into_ranges(assignment: keyspace.KeyAssignment) -> None:
    for index in range(1, RANGE_COUNT):
        keyspace.split_at(assignment, index * RANGE_KEYS)


def _ignore(*_: Any) -> None:
    return


class World:
    """Daemons, a store and upstreams, and which of them reach each other."""

    def __init__(
        self,
        daemons: int = 3,
        upstreams: int = 2,
        term_class: type[leader_term.LeaderTerm] = leader_term.LeaderTerm,
        tick_s: float = TICK_S,
    ):
        self.now_s = START_S
        self.tick_s = tick_s
        self.term_class = term_class
        self.timers = Timers(self.clock_s)
        self.store = Store()
        self.cut_from_store: set[str] = set()
        self.cut_links: set[Link] = set()
        self.upstreams = {
            f"u{index}": Upstream(f"u{index}") for index in range(upstreams)
        }
        self.daemons: dict[str, Daemon] = {}
        self.late_grants: list[LateGrant] = []
        self.grants_come_late = False
        self.new_names = 0
        for _ in range(daemons):
            self.add_daemon()

    def clock_s(self) -> float:
        return self.now_s

    # what happens in the world

    def add_daemon(self) -> str:
        name = f"d{self.new_names}"
        self.new_names += 1
        self.start_daemon(name)
        return name

    def start_daemon(self, name: str) -> None:
        """Starts a daemon, or ends and restarts it under its name."""
        self.remove_daemon(name)
        self.daemons[name] = Daemon(self, name)

    def remove_daemon(self, name: str) -> None:
        daemon = self.daemons.pop(name, None)
        if daemon is not None:
            daemon.end_term()

    def close(self) -> None:
        """Ends all daemons."""
        for name in list(self.daemons):
            self.remove_daemon(name)

    def cut(self, first: str, second: str) -> None:
        self.cut_links.add(frozenset((first, second)))

    def cut_sides(self, side: set[str], other: set[str]) -> None:
        for first in side:
            for second in other:
                self.cut(first, second)

    def heal(self) -> None:
        self.cut_links.clear()
        self.cut_from_store.clear()
        self.grants_come_late = False
        self.store.lease_outcome = "answered"

    def lose_power(self) -> None:
        """Restarts everything but the store."""
        for upstream in self.upstreams.values():
            upstream.forget()
        self.late_grants.clear()
        for name in list(self.daemons):
            self.start_daemon(name)

    # who reaches whom

    def is_linked(self, first: str, second: str) -> bool:
        return frozenset((first, second)) not in self.cut_links

    def reached(self, name: str, peer: str) -> Daemon | None:
        daemon = self.daemons.get(peer)
        if daemon is None or peer == name or not daemon.has_started:
            return None
        return daemon if self.is_linked(name, peer) else None

    def reached_peers(self, name: str) -> list[Daemon]:
        peers = [self.reached(name, peer) for peer in sorted(self.daemons)]
        return [peer for peer in peers if peer is not None]

    def rank(self, name: str) -> int:
        return sum(peer.name < name for peer in self.reached_peers(name))

    def listed(self) -> dict[str, routes.Upstream]:
        return {
            name: upstream.listed() for name, upstream in self.upstreams.items()
        }

    def hears_upstreams(self, name: str) -> bool:
        return any(
            upstream.is_alive and self.is_linked(name, upstream.name)
            for upstream in self.upstreams.values()
        )

    # orders

    def deliver(
        self, daemon: str, upstream: str, request: bytes
    ) -> key_owners.OrderResult:
        """Delivers an order, or lets it arrive late without an answer."""
        target = self.upstreams[upstream]
        if not target.is_alive or not self.is_linked(daemon, upstream):
            return key_owners.OrderResult(error="unreachable")
        head, _, body = request.partition(b"\r\n\r\n")
        order = json.loads(body)
        if head.startswith(b"POST /release"):
            for index in _ranges(order):
                target.held_until_s[index] = 0.0
            return key_owners.OrderResult(status=200, written=True)
        if self.grants_come_late:
            due_s = self.now_s + LATE_GRANT_S
            self.late_grants.append(LateGrant(due_s, upstream, order))
            return key_owners.OrderResult(error="no answer", written=True)
        status = self._accept(target, order)
        return key_owners.OrderResult(status=status, written=True)

    def _accept(self, target: Upstream, order: dict[str, Any]) -> int:
        ranges = _ranges(order)
        if any(target.epochs[index] > order["fence"] for index in ranges):
            return 409
        for index in ranges:
            target.epochs[index] = order["fence"]
            target.held_until_s[index] = (
                self.now_s + order["holdS"] * SLOW_CLOCK_RATIO
            )
        self.check()
        return 200

    # time

    def run(self, duration_s: float) -> None:
        """Lets time pass."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s - 1e-6:
            self.tick()

    def tick(self) -> None:
        self.timers.run_due()
        due = [late for late in self.late_grants if late.due_s <= self.now_s]
        for late in due:
            self.late_grants.remove(late)
            target = self.upstreams[late.upstream]
            if target.is_alive:
                self._accept(target, late.order)
        for name in sorted(self.daemons):
            self.daemons[name].tick()
        self.check()
        self.now_s += self.tick_s

    def holders(self, index: int) -> list[str]:
        return [
            name
            for name, upstream in self.upstreams.items()
            if upstream.is_alive and upstream.held_until_s[index] > self.now_s
        ]

    def check(self) -> None:
        """Checks that no range of keys has two holders.

        Raises:
          KeyHeldTwiceError: one has.
        """
        for index in range(RANGE_COUNT):
            holders = self.holders(index)
            if len(holders) > 1:
                raise KeyHeldTwiceError(
                    f"range {index} at {self.now_s - START_S:.2f} s: {holders},"
                    f" leaders {self.describe_leaders()}"
                )

    def is_served(self) -> bool:
        return all(self.holders(index) for index in range(RANGE_COUNT))

    def check_served_within(self, limit_s: float) -> float:
        """Returns after what time all keys were held again.

        Raises:
          KeysNotServedError: that took too long.
        """
        began_s = self.now_s
        while not self.is_served():
            if self.now_s - began_s > limit_s:
                raise KeysNotServedError(
                    f"after {limit_s} s; leaders {self.describe_leaders()}"
                )
            self.tick()
        return self.now_s - began_s

    def electorates(self) -> list[electorates.Electorate]:
        """Returns the electorates of the lease and of all leaders."""
        found = [
            daemon.term._confirmation.electorate
            for daemon in self.leaders()
            if daemon.term is not None
        ]
        lease = self.store.objects.get(
            (peer_registry.LEASES_KIND, peer_registry.LEASE_NAME)
        )
        if lease is not None:
            found.append(
                electorates.Electorate(
                    frozenset(lease.spec["voters"]),
                    frozenset(lease.spec.get("previousVoters", ())),
                )
            )
        return found

    def leaders(self) -> list[Daemon]:
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.term is not None
        ]

    def describe_leaders(self) -> list[tuple[str, int, bool, list[str]]]:
        return [
            (
                daemon.name,
                daemon.known.term,
                daemon.term._confirmation.is_exclusive,
                sorted(daemon.term._confirmation.electorate.all_voters),
            )
            for daemon in self.leaders()
            if daemon.term is not None
        ]


def _ranges(order: dict[str, Any]) -> range:
    return range(order["from"] // RANGE_KEYS, order["to"] // RANGE_KEYS + 1)
