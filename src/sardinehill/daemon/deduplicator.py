"""Keeps a repeated request from running twice, in front of the gateway.

What is decided stands in `core.duplicates`; this module knows which scopes
this daemon is in charge of, asks the daemon before, and lets repeats wait.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib

from sardinehill import errors
from sardinehill.core import deduplication
from sardinehill.core import forward_messages
from sardinehill.core import placement
from sardinehill.core import retries
from sardinehill.daemon import fleet_view
from sardinehill.daemon import peer_bus
from sardinehill.daemon import wall_clock
from sardinehill.wire import accounts as accounts_wire
from sardinehill.wire import forwards
from sardinehill.wire import message_kinds

LOOKUP_TIMEOUT_S = 0.5
# How often it is looked whether an awaited grant has come.
GRANT_POLL_INTERVAL_S = 0.05
# How long a request waits for the grant of its shard.
MAX_GRANT_WAIT_S = 0.3
# News younger than this confirms that a service was never served.
MAX_CONFIRMED_REPLICA_AGE_S = 1.0
# A home's beginning that moves by more than this is another beginning.
MIN_OWNERSHIP_CHANGE_S = 0.5
# What a kept answer takes besides its body.
ANSWER_OVERHEAD_BYTES = 1024

HasGrant = Callable[[str, str, int, str], bool]
SendRequest = Callable[
    [forward_messages.ForwardRequest], Awaitable[forward_messages.ForwardAnswer]
]

_UNKNOWN_DUPLICATE_DETAIL = (
    "this Idempotency-Key may belong to a request that ran before; nothing"
    " was sent now"
)


def needs_deduplication(request: forward_messages.ForwardRequest) -> bool:
    """Returns whether a repeat of a request must not run again."""
    return bool(request.idempotency_key) and not retries.is_idempotent(
        request.method
    )


def is_for_scope_owner(request: forward_messages.ForwardRequest) -> bool:
    """Returns whether a request was sent to its home, not to a gateway."""
    return not request.key and not request.upstream


@dataclasses.dataclass(frozen=True)
class _PendingScope:
    """A scope that this daemon is to be in charge of once it has the grant.

    Attributes:
      service: the service's name.
      upstream: the upstream that owns the scope.
      shard: the shard, or that of the key.
      key: the key when it is a scope of its own, else empty.
      previous: the daemon that was in charge before, if that is known.
      is_first: whether nobody was ever in charge before.
    """

    service: str
    upstream: str
    shard: int
    key: str
    previous: str | None = None
    is_first: bool = False


class Deduplicator:
    """Stands between the other daemons' requests and this one's gateway."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        bus: peer_bus.PeerBus,
        send: SendRequest,
        send_undivided: SendRequest,
        has_grant: HasGrant,
        scope_held_for_s: Callable[[str], float | None],
        replica_age_s: Callable[[], float],
    ) -> None:
        """Takes over the handling of forwarded requests.

        Args:
          view: the daemon's view.
          bus: brings forwarded requests and asks other daemons.
          send: hands a request to this daemon's gateway.
          send_undivided: sends a request of a service not divided by key.
          has_grant: tells whether this daemon may send for a shard or a key now.
          scope_held_for_s: tells for how long this daemon alone has held a duty.
          replica_age_s: for how long the store may have had something newer than the
            view.
        """
        self._view = view
        self._bus = bus
        self._send = send
        self._send_undivided = send_undivided
        self._has_grant = has_grant
        self._scope_held_for_s = scope_held_for_s
        self._replica_age_s = replica_age_s
        self._unserved_at_s: dict[str, float] = {}
        self._seen_scopes: dict[str, set[str]] = {}
        self._pending_scopes: dict[str, _PendingScope] = {}
        self._poll_task: asyncio.Task[None] | None = None
        self._owned_since_s: dict[str, float] = {}
        self._clock = wall_clock.WallClock()
        self._table: deduplication.DeduplicationTable[
            forward_messages.ForwardAnswer
        ] = deduplication.DeduplicationTable()
        self._in_flight: dict[
            deduplication.RequestIdentity,
            asyncio.Future[forward_messages.ForwardAnswer],
        ] = {}
        self._split_keys_until_s: dict[str, dict[str, float]] = {}
        self._assignments: dict[str, placement.ShardAssignment] = {}
        self._tasks: set[asyncio.Future[forward_messages.ForwardAnswer]] = set()
        bus.register(message_kinds.MessageKind.FORWARD, self._handle_forward)
        bus.register(
            message_kinds.MessageKind.DUPLICATE_LOOKUP, self._handle_lookup
        )

    def start(self) -> None:
        """Begins to look for awaited grants."""
        self._poll_task = asyncio.ensure_future(self._poll_forever())

    async def close(self) -> None:
        """Lets every request in flight end."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._poll_task is not None:
            self._poll_task.cancel()

    async def run(
        self, request: forward_messages.ForwardRequest
    ) -> forward_messages.ForwardAnswer:
        """Runs a request unless it is the repeat of another."""
        # A request of an undivided service that names its upstream comes from
        # its home or needs none.
        if not needs_deduplication(request) or not (
            request.key or is_for_scope_owner(request)
        ):
            return await self._send(request)
        name = deduplication.RequestIdentity(
            request.account, request.idempotency_key
        )
        if request.key:
            scope = self._keyed_scope(request)
            await self._wait_for_ownership(scope)
        else:
            scope = deduplication.undivided_scope(request.service, name)
            self._update_undivided_scope(request.service, scope)
        arrival = self._table.begin_request(
            scope, name, _fingerprint(request), self._clock.now_s()
        )
        if arrival.action is deduplication.RequestAction.JOIN:
            return await self._join_in_flight(name, request)
        if arrival.action in (
            deduplication.RequestAction.RUN,
            deduplication.RequestAction.ASK_PREVIOUS,
        ):
            return await self._start(scope, name, request, arrival)
        return _answer_without_sending(arrival, request)

    async def _join_in_flight(
        self,
        name: deduplication.RequestIdentity,
        request: forward_messages.ForwardRequest,
    ) -> forward_messages.ForwardAnswer:
        answer = await asyncio.shield(self._in_flight[name])
        return dataclasses.replace(answer, request_id=request.request_id)

    async def _start(
        self,
        scope: str,
        name: deduplication.RequestIdentity,
        request: forward_messages.ForwardRequest,
        arrival: deduplication.RequestDecision[forward_messages.ForwardAnswer],
    ) -> forward_messages.ForwardAnswer:
        # A task of its own: the caller may leave, and its repeat must still
        # find the request in flight and then its answer.
        flight = asyncio.ensure_future(
            self._resolve_and_send(scope, name, request, arrival)
        )
        self._in_flight[name] = flight
        self._tasks.add(flight)
        flight.add_done_callback(self._tasks.discard)
        flight.add_done_callback(lambda _: self._in_flight.pop(name, None))
        return await asyncio.shield(flight)

    async def _resolve_and_send(
        self,
        scope: str,
        name: deduplication.RequestIdentity,
        request: forward_messages.ForwardRequest,
        arrival: deduplication.RequestDecision[forward_messages.ForwardAnswer],
    ) -> forward_messages.ForwardAnswer:
        if arrival.action is deduplication.RequestAction.ASK_PREVIOUS:
            recollection = await self._ask_previous(scope, name)
            arrival = self._table.resolve(
                name, recollection, self._clock.now_s()
            )
            if arrival.action is not deduplication.RequestAction.RUN:
                return _answer_without_sending(arrival, request)
        verdict = errors.Verdict.MAY_HAVE_RUN
        answer = None
        try:
            send = (
                self._send_undivided
                if is_for_scope_owner(request)
                else self._send
            )
            answer = await send(request)
            verdict = answer.verdict
            return answer
        finally:
            size_bytes = ANSWER_OVERHEAD_BYTES
            if answer is not None:
                size_bytes += len(answer.body)
            self._table.finish(name, verdict, answer, size_bytes)

    async def _ask_previous(
        self, scope: str, name: deduplication.RequestIdentity
    ) -> accounts_wire.DuplicateLookupResult | None:
        previous = self._table.previous_owner(scope)
        if previous is None:
            return None
        question = accounts_wire.DuplicateQuery(scope, name)
        try:
            payload = await self._bus.ask(
                previous,
                message_kinds.MessageKind.DUPLICATE_LOOKUP,
                accounts_wire.encode_duplicate_query(question),
                LOOKUP_TIMEOUT_S,
            )
            return accounts_wire.decode_lookup_result(payload)
        except errors.PeerError:
            return None

    async def _handle_forward(self, sender: str, payload: bytes) -> bytes:
        request = forwards.decode_request(payload)
        return forwards.encode_answer(await self.run(request))

    def _handle_lookup(self, sender: str, payload: bytes) -> bytes:
        question = accounts_wire.decode_duplicate_query(payload)
        service = question.scope.partition("/")[0]
        self._apply_assignment(service)
        found = self._table.lookup(
            question.scope, question.identity, self._clock.now_s()
        )
        return accounts_wire.encode_lookup_result(found)

    def on_object_changed(self, kind: str, name: str) -> None:
        """Follows the view at once, so that no assignment is missed."""
        if kind == "assignment":
            self._apply_assignment(name)

    def _update_undivided_scope(self, service: str, scope: str) -> None:
        held_for_s = self._scope_held_for_s(scope)
        if held_for_s is None:
            self._owned_since_s.pop(scope, None)
            self._table.release_scope(scope)
            return
        since_s = self._clock.now_s() - held_for_s
        # The two clocks are read one after the other; a duty that was lost
        # and came back begins at least a licence later.
        known_s = self._owned_since_s.get(scope)
        if known_s is None or since_s > known_s + MIN_OWNERSHIP_CHANGE_S:
            self._table.release_scope(scope)
            # Held since before the service was first served: it saw it all.
            unserved_s = self._unserved_at_s.get(service, 0.0)
            first = since_s <= unserved_s
            self._table.acquire_scope(scope, 0.0 if first else since_s)
            self._owned_since_s[scope] = since_s

    def _keyed_scope(self, request: forward_messages.ForwardRequest) -> str:
        """Returns the scope of a request on a service divided by key."""
        assignment = self._apply_assignment(request.service)
        if assignment is None:
            return _shard_scope(request.service, 0)
        split_keys = self._split_keys_until_s.get(request.service, {})
        if request.key in split_keys:
            return _key_scope(request.service, request.key)
        shard = placement.shard_of(request.key, len(assignment.owners))
        return _shard_scope(request.service, shard)

    def _apply_assignment(
        self, service: str
    ) -> placement.ShardAssignment | None:
        newest = self._view.assignments.get(service)
        known = self._assignments.get(service)
        if newest is None or newest is known:
            return newest
        self._assignments[service] = newest
        now_s = self._clock.now_s()
        split_keys = self._update_split_keys(newest, now_s)
        seen = self._seen_scopes.setdefault(service, set())
        before = _scopes_of(known, split_keys) if known else {}
        after = _scopes_of(newest, split_keys)
        own_name = self._view.settings.name
        for scope in before.keys() - after.keys():
            self._release_scope(scope)
        for scope, (gateway, awaited) in after.items():
            if gateway != own_name:
                self._release_scope(scope)
                continue
            if not self._table.owns_scope(scope):
                before_gateway = before[scope][0] if scope in before else None
                is_first = service in self._unserved_at_s and scope not in seen
                self._add_pending_scope(
                    scope, awaited, before_gateway, is_first
                )
        seen.update(after)
        self._acquire_granted_scopes()
        return newest

    def _add_pending_scope(
        self,
        scope: str,
        awaited: _PendingScope,
        before_gateway: str | None,
        is_first: bool,
    ) -> None:
        previous = before_gateway
        if before_gateway == self._view.settings.name:
            # The assignment changed again before the grant came. Whoever was
            # in charge last is still the one to ask: to forget it refused
            # fresh requests for as long as a zone's moves lasted.
            waiting = self._pending_scopes.get(scope)
            previous = waiting.previous if waiting else None
            is_first = waiting.is_first if waiting else is_first
        self._pending_scopes[scope] = dataclasses.replace(
            awaited, previous=previous, is_first=is_first
        )

    def _release_scope(self, scope: str) -> None:
        self._pending_scopes.pop(scope, None)
        self._table.release_scope(scope)

    def _record_unserved_services(self) -> None:
        """Notes the services that nobody has ever served, as is confirmed.

        A memory of such a service knows of every request from the start, so
        that a new service need not refuse its first requests.
        """
        if (
            self._view.config is None
            or self._replica_age_s() > MAX_CONFIRMED_REPLICA_AGE_S
        ):
            return
        for service in self._view.config.services:
            if service not in self._view.assignments:
                self._unserved_at_s[service] = self._clock.now_s()

    def _acquire_granted_scopes(self) -> None:
        """Begins to be in charge where the grant has come.

        Not with the assignment: until the grant the daemon before may still
        run requests, and ids that it saw would be taken for fresh.
        """
        now_s = self._clock.now_s()
        for scope, awaited in list(self._pending_scopes.items()):
            if self._has_grant(
                awaited.service, awaited.upstream, awaited.shard, awaited.key
            ):
                del self._pending_scopes[scope]
                since_s = 0.0 if awaited.is_first else now_s
                self._table.acquire_scope(scope, since_s, awaited.previous)

    async def _wait_for_ownership(self, scope: str) -> None:
        waited_s = 0.0
        while scope in self._pending_scopes and waited_s < MAX_GRANT_WAIT_S:
            await asyncio.sleep(GRANT_POLL_INTERVAL_S)
            waited_s += GRANT_POLL_INTERVAL_S

    async def _poll_forever(self) -> None:
        while True:
            self._record_unserved_services()
            self._acquire_granted_scopes()
            await asyncio.sleep(GRANT_POLL_INTERVAL_S)

    def _update_split_keys(
        self, assignment: placement.ShardAssignment, now_s: float
    ) -> list[str]:
        """Returns the keys that are, or lately were, out of their shard.

        A key that is put back into its shard stays a scope of its own until
        every request that ran elsewhere is forgotten: the shard's gateway
        was in charge of the shard all the time, but not of this key.
        """
        service = assignment.service
        kept_until_s = self._split_keys_until_s.setdefault(service, {})
        for key in assignment.hot_owners:
            if key not in kept_until_s:
                shard = placement.shard_of(key, len(assignment.owners))
                self._table.split(
                    _shard_scope(service, shard), _key_scope(service, key)
                )
            kept_until_s[key] = now_s + deduplication.RETENTION_S
        for key in [
            k for k, until_s in kept_until_s.items() if until_s < now_s
        ]:
            del kept_until_s[key]
            self._table.release_scope(_key_scope(service, key))
        return list(kept_until_s)


def _scopes_of(
    assignment: placement.ShardAssignment, split_keys: list[str]
) -> dict[str, tuple[str | None, _PendingScope]]:
    """Returns each scope with its gateway and what makes it in charge."""
    service = assignment.service
    found: dict[str, tuple[str | None, _PendingScope]] = {}
    for shard, owner in enumerate(assignment.owners):
        if owner >= 0:
            name = assignment.upstreams[owner]
            found[_shard_scope(service, shard)] = (
                assignment.gateways.get(name),
                _PendingScope(service, name, shard, ""),
            )
    for key in split_keys:
        owner_name = placement.owner_of(assignment, key)
        if owner_name is not None:
            shard = placement.shard_of(key, len(assignment.owners))
            found[_key_scope(service, key)] = (
                assignment.gateways.get(owner_name),
                _PendingScope(service, owner_name, shard, key),
            )
    return found


def _key_scope(service: str, key: str) -> str:
    return f"{service}/key/{key}"


def _shard_scope(service: str, shard: int) -> str:
    return f"{service}/{shard}"


def _fingerprint(request: forward_messages.ForwardRequest) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.service, request.key, request.method, request.path):
        digest.update(part.encode("utf-8", "surrogatepass") + b"\0")
    digest.update(request.body)
    return digest.digest()


def _answer_without_sending(
    arrival: deduplication.RequestDecision[forward_messages.ForwardAnswer],
    request: forward_messages.ForwardRequest,
) -> forward_messages.ForwardAnswer:
    """Returns the answer where nothing is sent."""
    finding = arrival.action
    if (
        finding is deduplication.RequestAction.REPLAY
        and arrival.answer is not None
    ):
        return dataclasses.replace(
            arrival.answer, request_id=request.request_id
        )
    if finding is deduplication.RequestAction.MISMATCH:
        return forward_messages.refusal_answer(
            request.request_id,
            errors.Reason.MALFORMED,
            errors.Verdict.NOT_RUN,
            "this Idempotency-Key was used for a different request",
        )
    if finding is deduplication.RequestAction.NOT_OWNER:
        return forward_messages.refusal_answer(
            request.request_id,
            errors.Reason.NOT_GATEWAY,
            errors.Verdict.NOT_RUN,
        )
    return forward_messages.refusal_answer(
        request.request_id,
        errors.Reason.DUPLICATE_UNKNOWN,
        errors.Verdict.MAY_HAVE_RUN,
        _UNKNOWN_DUPLICATE_DETAIL,
    )
