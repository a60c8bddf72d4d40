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
from sardinehill.daemon import peers
from sardinehill.daemon import view
from sardinehill.daemon import wall_clock
from sardinehill.wire import accounts as accounts_wire
from sardinehill.wire import forwards
from sardinehill.wire import kinds

ASK_TIMEOUT_S = 0.5
# How often it is looked whether an awaited grant has come.
GRANT_POLL_S = 0.05
# How long a request waits for the grant of its shard.
GRANT_WAIT_S = 0.3
# News younger than this confirms that a service was never served.
CONFIRMED_AGE_S = 1.0
# A home's beginning that moves by more than this is another beginning.
HOME_CHANGE_S = 0.5
# What a kept answer takes besides its body.
ANSWER_OVERHEAD_BYTES = 1024

Covers = Callable[[str, str, int, str], bool]
Send = Callable[
    [forward_messages.ForwardRequest], Awaitable[forward_messages.ForwardAnswer]
]

_RETRY_DETAIL = (
    "this Idempotency-Key may belong to a request that ran before; nothing"
    " was sent now"
)


def needs_memory(request: forward_messages.ForwardRequest) -> bool:
    """Returns whether a repeat of a request must not run again."""
    return bool(request.idempotency_key) and not retries.is_idempotent(
        request.method
    )


def at_home(request: forward_messages.ForwardRequest) -> bool:
    """Returns whether a request was sent to its home, not to a gateway."""
    return not request.key and not request.upstream


@dataclasses.dataclass(frozen=True)
class _Awaited:
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


class Duplicates:
    """Stands between the other daemons' requests and this one's gateway."""

    def __init__(
        self,
        knowledge: view.View,
        bus: peers.PeerBus,
        send: Send,
        send_undivided: Send,
        covers: Covers,
        held_for_s: Callable[[str], float | None],
        age_s: Callable[[], float],
    ) -> None:
        """Takes over the handling of forwarded requests.

        Args:
          knowledge: the daemon's view.
          bus: brings forwarded requests and asks other daemons.
          send: hands a request to this daemon's gateway.
          send_undivided: sends a request of a service not divided by key.
          covers: tells whether this daemon may send for a shard or a key now.
          held_for_s: tells for how long this daemon alone has held a duty.
          age_s: for how long the store may have had something newer than the
            view.
        """
        self._view = knowledge
        self._bus = bus
        self._send = send
        self._send_undivided = send_undivided
        self._covers = covers
        self._held_for_s = held_for_s
        self._age_s = age_s
        self._unserved_s: dict[str, float] = {}
        self._seen_scopes: dict[str, set[str]] = {}
        self._awaited: dict[str, _Awaited] = {}
        self._timer: asyncio.Task[None] | None = None
        self._home_since_s: dict[str, float] = {}
        self._clock = wall_clock.WallClock()
        self._memory: deduplication.DeduplicationTable[
            forward_messages.ForwardAnswer
        ] = deduplication.DeduplicationTable()
        self._flights: dict[
            deduplication.RequestIdentity,
            asyncio.Future[forward_messages.ForwardAnswer],
        ] = {}
        self._split_keys: dict[str, dict[str, float]] = {}
        self._assignments: dict[str, placement.ShardAssignment] = {}
        self._tasks: set[asyncio.Future[forward_messages.ForwardAnswer]] = set()
        bus.register(kinds.Kind.FORWARD, self._handle_forward)
        bus.register(kinds.Kind.DUPLICATE_LOOKUP, self._handle_question)

    def start(self) -> None:
        """Begins to look for awaited grants."""
        self._timer = asyncio.ensure_future(self._poll_forever())

    async def close(self) -> None:
        """Lets every request in flight end."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._timer is not None:
            self._timer.cancel()

    async def run(
        self, request: forward_messages.ForwardRequest
    ) -> forward_messages.ForwardAnswer:
        """Runs a request unless it is the repeat of another."""
        # A request of an undivided service that names its upstream comes from
        # its home or needs none.
        if not needs_memory(request) or not (request.key or at_home(request)):
            return await self._send(request)
        name = deduplication.RequestIdentity(
            request.account, request.idempotency_key
        )
        if request.key:
            scope = self._scope(request)
            await self._wait_for_charge(scope)
        else:
            scope = deduplication.undivided_scope(request.service, name)
            self._follow_home(request.service, scope)
        arrival = self._memory.begin_request(
            scope, name, _fingerprint(request), self._clock.now_s()
        )
        if arrival.action is deduplication.RequestAction.JOIN:
            return await self._join(name, request)
        if arrival.action in (
            deduplication.RequestAction.RUN,
            deduplication.RequestAction.ASK_PREVIOUS,
        ):
            return await self._fly(scope, name, request, arrival)
        return _settled(arrival, request)

    async def _join(
        self,
        name: deduplication.RequestIdentity,
        request: forward_messages.ForwardRequest,
    ) -> forward_messages.ForwardAnswer:
        answer = await asyncio.shield(self._flights[name])
        return dataclasses.replace(answer, request_id=request.request_id)

    async def _fly(
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
        self._flights[name] = flight
        self._tasks.add(flight)
        flight.add_done_callback(self._tasks.discard)
        flight.add_done_callback(lambda _: self._flights.pop(name, None))
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
            arrival = self._memory.resolve(
                name, recollection, self._clock.now_s()
            )
            if arrival.action is not deduplication.RequestAction.RUN:
                return _settled(arrival, request)
        verdict = errors.Verdict.MAY_HAVE_RUN
        answer = None
        try:
            send = self._send_undivided if at_home(request) else self._send
            answer = await send(request)
            verdict = answer.verdict
            return answer
        finally:
            size_bytes = ANSWER_OVERHEAD_BYTES
            if answer is not None:
                size_bytes += len(answer.body)
            self._memory.finish(name, verdict, answer, size_bytes)

    async def _ask_previous(
        self, scope: str, name: deduplication.RequestIdentity
    ) -> accounts_wire.Recollection | None:
        previous = self._memory.previous_owner(scope)
        if previous is None:
            return None
        question = accounts_wire.DuplicateQuestion(scope, name)
        try:
            payload = await self._bus.ask(
                previous,
                kinds.Kind.DUPLICATE_LOOKUP,
                accounts_wire.encode_question(question),
                ASK_TIMEOUT_S,
            )
            return accounts_wire.decode_recollection(payload)
        except errors.PeerError:
            return None

    async def _handle_forward(self, sender: str, payload: bytes) -> bytes:
        request = forwards.decode_request(payload)
        return forwards.encode_answer(await self.run(request))

    def _handle_question(self, sender: str, payload: bytes) -> bytes:
        question = accounts_wire.decode_question(payload)
        service = question.scope.partition("/")[0]
        self._follow_assignment(service)
        found = self._memory.lookup(
            question.scope, question.name, self._clock.now_s()
        )
        return accounts_wire.encode_recollection(found)

    def on_news(self, kind: str, name: str) -> None:
        """Follows the view at once, so that no assignment is missed."""
        if kind == "assignment":
            self._follow_assignment(name)

    def _follow_home(self, service: str, scope: str) -> None:
        held_for_s = self._held_for_s(scope)
        if held_for_s is None:
            self._home_since_s.pop(scope, None)
            self._memory.release_scope(scope)
            return
        since_s = self._clock.now_s() - held_for_s
        # The two clocks are read one after the other; a duty that was lost
        # and came back begins at least a licence later.
        known_s = self._home_since_s.get(scope)
        if known_s is None or since_s > known_s + HOME_CHANGE_S:
            self._memory.release_scope(scope)
            # Held since before the service was first served: it saw it all.
            unserved_s = self._unserved_s.get(service, 0.0)
            first = since_s <= unserved_s
            self._memory.acquire_scope(scope, 0.0 if first else since_s)
            self._home_since_s[scope] = since_s

    def _scope(self, request: forward_messages.ForwardRequest) -> str:
        """Returns the scope of a request on a service divided by key."""
        assignment = self._follow_assignment(request.service)
        if assignment is None:
            return _shard_scope(request.service, 0)
        split_keys = self._split_keys.get(request.service, {})
        if request.key in split_keys:
            return _key_scope(request.service, request.key)
        shard = placement.shard_of(request.key, len(assignment.owners))
        return _shard_scope(request.service, shard)

    def _follow_assignment(
        self, service: str
    ) -> placement.ShardAssignment | None:
        newest = self._view.assignments.get(service)
        known = self._assignments.get(service)
        if newest is None or newest is known:
            return newest
        self._assignments[service] = newest
        now_s = self._clock.now_s()
        split_keys = self._follow_split_keys(newest, now_s)
        seen = self._seen_scopes.setdefault(service, set())
        before = _scopes_of(known, split_keys) if known else {}
        after = _scopes_of(newest, split_keys)
        own_name = self._view.settings.name
        for scope in before.keys() - after.keys():
            self._lose(scope)
        for scope, (gateway, awaited) in after.items():
            if gateway != own_name:
                self._lose(scope)
                continue
            if not self._memory.owns_scope(scope):
                before_gateway = before[scope][0] if scope in before else None
                is_first = service in self._unserved_s and scope not in seen
                self._await_grant(scope, awaited, before_gateway, is_first)
        seen.update(after)
        self._take_granted()
        return newest

    def _await_grant(
        self,
        scope: str,
        awaited: _Awaited,
        before_gateway: str | None,
        is_first: bool,
    ) -> None:
        previous = before_gateway
        if before_gateway == self._view.settings.name:
            # The assignment changed again before the grant came. Whoever was
            # in charge last is still the one to ask: to forget it refused
            # fresh requests for as long as a zone's moves lasted.
            waiting = self._awaited.get(scope)
            previous = waiting.previous if waiting else None
            is_first = waiting.is_first if waiting else is_first
        self._awaited[scope] = dataclasses.replace(
            awaited, previous=previous, is_first=is_first
        )

    def _lose(self, scope: str) -> None:
        self._awaited.pop(scope, None)
        self._memory.release_scope(scope)

    def _note_unserved(self) -> None:
        """Notes the services that nobody has ever served, as is confirmed.

        A memory of such a service knows of every request from the start, so
        that a new service need not refuse its first requests.
        """
        if self._view.config is None or self._age_s() > CONFIRMED_AGE_S:
            return
        for service in self._view.config.services:
            if service not in self._view.assignments:
                self._unserved_s[service] = self._clock.now_s()

    def _take_granted(self) -> None:
        """Begins to be in charge where the grant has come.

        Not with the assignment: until the grant the daemon before may still
        run requests, and ids that it saw would be taken for fresh.
        """
        now_s = self._clock.now_s()
        for scope, awaited in list(self._awaited.items()):
            if self._covers(
                awaited.service, awaited.upstream, awaited.shard, awaited.key
            ):
                del self._awaited[scope]
                since_s = 0.0 if awaited.is_first else now_s
                self._memory.acquire_scope(scope, since_s, awaited.previous)

    async def _wait_for_charge(self, scope: str) -> None:
        waited_s = 0.0
        while scope in self._awaited and waited_s < GRANT_WAIT_S:
            await asyncio.sleep(GRANT_POLL_S)
            waited_s += GRANT_POLL_S

    async def _poll_forever(self) -> None:
        while True:
            self._note_unserved()
            self._take_granted()
            await asyncio.sleep(GRANT_POLL_S)

    def _follow_split_keys(
        self, assignment: placement.ShardAssignment, now_s: float
    ) -> list[str]:
        """Returns the keys that are, or lately were, out of their shard.

        A key that is put back into its shard stays a scope of its own until
        every request that ran elsewhere is forgotten: the shard's gateway
        was in charge of the shard all the time, but not of this key.
        """
        service = assignment.service
        kept_until_s = self._split_keys.setdefault(service, {})
        for key in assignment.hot_owners:
            if key not in kept_until_s:
                shard = placement.shard_of(key, len(assignment.owners))
                self._memory.split(
                    _shard_scope(service, shard), _key_scope(service, key)
                )
            kept_until_s[key] = now_s + deduplication.RETENTION_S
        for key in [
            k for k, until_s in kept_until_s.items() if until_s < now_s
        ]:
            del kept_until_s[key]
            self._memory.release_scope(_key_scope(service, key))
        return list(kept_until_s)


def _scopes_of(
    assignment: placement.ShardAssignment, split_keys: list[str]
) -> dict[str, tuple[str | None, _Awaited]]:
    """Returns each scope with its gateway and what makes it in charge."""
    service = assignment.service
    found: dict[str, tuple[str | None, _Awaited]] = {}
    for shard, owner in enumerate(assignment.owners):
        if owner >= 0:
            name = assignment.upstreams[owner]
            found[_shard_scope(service, shard)] = (
                assignment.gateways.get(name),
                _Awaited(service, name, shard, ""),
            )
    for key in split_keys:
        owner_name = placement.owner_of(assignment, key)
        if owner_name is not None:
            shard = placement.shard_of(key, len(assignment.owners))
            found[_key_scope(service, key)] = (
                assignment.gateways.get(owner_name),
                _Awaited(service, owner_name, shard, key),
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


def _settled(
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
        _RETRY_DETAIL,
    )
