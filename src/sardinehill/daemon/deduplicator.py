"""Prevents a repeated request from running twice.

Each forwarded request passes through this module before it reaches the gateway.
`core.deduplication` makes the decisions. This module tracks which scopes this
daemon owns, queries their previous owners, and lets a repeated request wait for
the answer to the one in flight.
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
# How often pending scopes are checked for their grants.
GRANT_POLL_INTERVAL_S = 0.05
# How long a request waits for the grant of its shard.
MAX_GRANT_WAIT_S = 0.3
# Only a replica younger than this can confirm that a service has no assignment
# yet.
MAX_CONFIRMED_REPLICA_AGE_S = 1.0
# If the start of a scope's ownership moves by more than this, the scope was
# lost and acquired again.
MIN_OWNERSHIP_CHANGE_S = 0.5
# The memory that a stored answer takes in addition to its body.
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
    """Returns whether a request must not run more than once."""
    return bool(request.idempotency_key) and not retries.is_idempotent(
        request.method
    )


def is_for_scope_owner(request: forward_messages.ForwardRequest) -> bool:
    """Returns whether a request was sent to its scope owner, not a gateway."""
    return not request.key and not request.upstream


@dataclasses.dataclass(frozen=True)
class _PendingScope:
    """A scope that this daemon owns as soon as it has the grant.

    Attributes:
      service: the service's name.
      upstream: the upstream that the scope is assigned to.
      shard: the shard, or the shard of the key.
      key: the key if it is a scope of its own, otherwise empty.
      previous: the daemon that owned the scope before, if known.
      is_first: whether no daemon has owned the scope before.
    """

    service: str
    upstream: str
    shard: int
    key: str
    previous: str | None = None
    is_first: bool = False


class Deduplicator:
    """Passes forwarded requests to the gateway, each at most once."""

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
        """Registers the handlers of forwarded requests and lookups.

        Args:
          view: the daemon's view of the fleet.
          bus: carries messages between daemons.
          send: passes a request to this daemon's gateway.
          send_undivided: sends a request of a service not divided by key.
          has_grant: returns whether this daemon may send for a shard or a key
            now.
          scope_held_for_s: returns for how many seconds no other daemon can
            have held a scope, or None if one may still hold it.
          replica_age_s: returns for how long the store may have had newer
            objects than the view.
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
        """Starts to check periodically for the grants of pending scopes."""
        self._poll_task = asyncio.ensure_future(self._poll_forever())

    async def close(self) -> None:
        """Waits for requests in flight and stops the periodic check."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._poll_task is not None:
            self._poll_task.cancel()

    async def run(
        self, request: forward_messages.ForwardRequest
    ) -> forward_messages.ForwardAnswer:
        """Runs a request unless it repeats another one."""
        # A request of an undivided service that names its upstream comes from
        # its scope owner or needs no deduplication.
        if not needs_deduplication(request) or not (
            request.key or is_for_scope_owner(request)
        ):
            return await self._send(request)
        identity = deduplication.RequestIdentity(
            request.account, request.idempotency_key
        )
        if request.key:
            scope = self._keyed_scope(request)
            await self._wait_for_ownership(scope)
        else:
            scope = deduplication.undivided_scope(request.service, identity)
            self._update_undivided_scope(request.service, scope)
        decision = self._table.begin_request(
            scope, identity, _fingerprint(request), self._clock.now_s()
        )
        if decision.action is deduplication.RequestAction.JOIN:
            return await self._join_in_flight(identity, request)
        if decision.action in (
            deduplication.RequestAction.RUN,
            deduplication.RequestAction.ASK_PREVIOUS,
        ):
            return await self._start(scope, identity, request, decision)
        return _answer_without_sending(decision, request)

    async def _join_in_flight(
        self,
        identity: deduplication.RequestIdentity,
        request: forward_messages.ForwardRequest,
    ) -> forward_messages.ForwardAnswer:
        answer = await asyncio.shield(self._in_flight[identity])
        return dataclasses.replace(answer, request_id=request.request_id)

    async def _start(
        self,
        scope: str,
        identity: deduplication.RequestIdentity,
        request: forward_messages.ForwardRequest,
        decision: deduplication.RequestDecision[forward_messages.ForwardAnswer],
    ) -> forward_messages.ForwardAnswer:
        # The request runs in its own task, because the caller may disconnect,
        # and its repeat must still find the request in flight or its answer.
        task = asyncio.ensure_future(
            self._resolve_and_send(scope, identity, request, decision)
        )
        self._in_flight[identity] = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self._in_flight.pop(identity, None))
        return await asyncio.shield(task)

    async def _resolve_and_send(
        self,
        scope: str,
        identity: deduplication.RequestIdentity,
        request: forward_messages.ForwardRequest,
        decision: deduplication.RequestDecision[forward_messages.ForwardAnswer],
    ) -> forward_messages.ForwardAnswer:
        if decision.action is deduplication.RequestAction.ASK_PREVIOUS:
            lookup = await self._ask_previous(scope, identity)
            decision = self._table.resolve(
                identity, lookup, self._clock.now_s()
            )
            if decision.action is not deduplication.RequestAction.RUN:
                return _answer_without_sending(decision, request)
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
            self._table.finish(identity, verdict, answer, size_bytes)

    async def _ask_previous(
        self, scope: str, identity: deduplication.RequestIdentity
    ) -> accounts_wire.DuplicateLookupResult | None:
        previous = self._table.previous_owner(scope)
        if previous is None:
            return None
        query = accounts_wire.DuplicateQuery(scope, identity)
        try:
            payload = await self._bus.ask(
                previous,
                message_kinds.MessageKind.DUPLICATE_LOOKUP,
                accounts_wire.encode_duplicate_query(query),
                LOOKUP_TIMEOUT_S,
            )
            return accounts_wire.decode_lookup_result(payload)
        except errors.PeerError:
            return None

    async def _handle_forward(self, sender: str, payload: bytes) -> bytes:
        request = forwards.decode_request(payload)
        return forwards.encode_answer(await self.run(request))

    def _handle_lookup(self, sender: str, payload: bytes) -> bytes:
        query = accounts_wire.decode_duplicate_query(payload)
        service = query.scope.partition("/")[0]
        self._apply_assignment(service)
        result = self._table.lookup(
            query.scope, query.identity, self._clock.now_s()
        )
        return accounts_wire.encode_lookup_result(result)

    def on_object_changed(self, kind: str, name: str) -> None:
        """Applies a new assignment at once, so that none is missed."""
        if kind == "assignment":
            self._apply_assignment(name)

    def _update_undivided_scope(self, service: str, scope: str) -> None:
        held_for_s = self._scope_held_for_s(scope)
        if held_for_s is None:
            self._owned_since_s.pop(scope, None)
            self._table.release_scope(scope)
            return
        since_s = self._clock.now_s() - held_for_s
        # The two clocks aren't read at the same instant, so the computed start
        # varies slightly. A scope that was lost and acquired again starts later
        # by at least one lending lease.
        owned_since_s = self._owned_since_s.get(scope)
        if (
            owned_since_s is None
            or since_s > owned_since_s + MIN_OWNERSHIP_CHANGE_S
        ):
            self._table.release_scope(scope)
            # A daemon that has owned the scope since before the service was
            # first served has seen all its requests.
            unserved_s = self._unserved_at_s.get(service, 0.0)
            is_first = since_s <= unserved_s
            self._table.acquire_scope(scope, 0.0 if is_first else since_s)
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
        for scope, (gateway, pending_scope) in after.items():
            if gateway != own_name:
                self._release_scope(scope)
                continue
            if not self._table.owns_scope(scope):
                before_gateway = before[scope][0] if scope in before else None
                is_first = service in self._unserved_at_s and scope not in seen
                self._add_pending_scope(
                    scope, pending_scope, before_gateway, is_first
                )
        seen.update(after)
        self._acquire_granted_scopes()
        return newest

    def _add_pending_scope(
        self,
        scope: str,
        pending_scope: _PendingScope,
        before_gateway: str | None,
        is_first: bool,
    ) -> None:
        previous = before_gateway
        if before_gateway == self._view.settings.name:
            # The assignment changed again before the grant arrived. The
            # previous owner must still be asked; otherwise fresh requests would
            # be refused for as long as it takes to move a whole zone.
            pending = self._pending_scopes.get(scope)
            previous = pending.previous if pending else None
            is_first = pending.is_first if pending else is_first
        self._pending_scopes[scope] = dataclasses.replace(
            pending_scope, previous=previous, is_first=is_first
        )

    def _release_scope(self, scope: str) -> None:
        self._pending_scopes.pop(scope, None)
        self._table.release_scope(scope)

    def _record_unserved_services(self) -> None:
        """Records the services that are confirmed to have no assignment yet.

        The deduplication table of such a service contains every request from
        the start, so a new service needn't refuse its first requests.
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
        """Acquires the pending scopes whose grants have arrived.

        The assignment alone isn't enough. Until the grant arrives, the previous
        owner may still run requests, and their ids would be considered fresh
        here.
        """
        now_s = self._clock.now_s()
        for scope, pending_scope in list(self._pending_scopes.items()):
            if self._has_grant(
                pending_scope.service,
                pending_scope.upstream,
                pending_scope.shard,
                pending_scope.key,
            ):
                del self._pending_scopes[scope]
                since_s = 0.0 if pending_scope.is_first else now_s
                self._table.acquire_scope(
                    scope, since_s, pending_scope.previous
                )

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
        """Returns the keys that are, or recently were, split from their shard.

        A key that returns to its shard remains a scope of its own until the
        retention time of the requests that ran elsewhere has passed. The
        shard's gateway has owned the shard all the time, but not this key.
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
    """Returns the gateway and the pending scope of each scope."""
    service = assignment.service
    scopes: dict[str, tuple[str | None, _PendingScope]] = {}
    for shard, owner in enumerate(assignment.owners):
        if owner >= 0:
            owner_name = assignment.upstreams[owner]
            scopes[_shard_scope(service, shard)] = (
                assignment.gateways.get(owner_name),
                _PendingScope(service, owner_name, shard, ""),
            )
    for key in split_keys:
        key_owner = placement.owner_of(assignment, key)
        if key_owner is not None:
            shard = placement.shard_of(key, len(assignment.owners))
            scopes[_key_scope(service, key)] = (
                assignment.gateways.get(key_owner),
                _PendingScope(service, key_owner, shard, key),
            )
    return scopes


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
    decision: deduplication.RequestDecision[forward_messages.ForwardAnswer],
    request: forward_messages.ForwardRequest,
) -> forward_messages.ForwardAnswer:
    """Returns the answer to a request that is not sent."""
    action = decision.action
    if (
        action is deduplication.RequestAction.REPLAY
        and decision.answer is not None
    ):
        return dataclasses.replace(
            decision.answer, request_id=request.request_id
        )
    if action is deduplication.RequestAction.MISMATCH:
        return forward_messages.refusal_answer(
            request.request_id,
            errors.Reason.MALFORMED,
            errors.Verdict.NOT_RUN,
            "this Idempotency-Key was used for a different request",
        )
    if action is deduplication.RequestAction.NOT_OWNER:
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
