"""Recognizes a caller's repeated requests by their Idempotency-Key.

One daemon at a time owns a scope, such as a shard. All requests of the scope
pass through it, and its deduplication table joins a repeat to the request in
flight or replays the answer. If the owner has acquired the scope only recently,
an id that is missing from the table belongs either to a fresh request or to the
repeat of one that a failed daemon ran.

Ids that contain their creation time (UUID version 7) resolve this. No earlier
owner can have seen an id that was created after the current one acquired the
scope. The first daemon that receives a request refuses an id from the future,
so this holds however wrong the caller's clock is, provided that the daemons'
clocks agree to within `MAX_FLEET_CLOCK_SKEW_S`. An id without a creation time
is fresh once the scope has been owned for longer than the time within which a
caller may repeat a request.

Callers don't mark repeats explicitly, because a library or proxy on the
caller's side that retries on its own would not set the mark, and the request
would run twice. Only the previous owner is asked about an unknown id. Asking
every daemon would not help if a daemon failed together with its table, and 640
answers per booking would cost too much.

All times are wall clock times in seconds since 1970.
"""

import collections
import dataclasses
import enum
from typing import Generic
from typing import TypeVar
import uuid

from sardinehill import errors
from sardinehill.core import placement

A = TypeVar("A")

# An entry is kept for this long after the request first arrived.
RETENTION_S = 300.0
# A caller may repeat a request with an id without a creation time for this
# long. The successor of a failed daemon must refuse such ids for this time.
REPEAT_WINDOW_S = 30.0
# How far the creation time in an id may be ahead of a daemon's clock.
MAX_ID_LEAD_S = 1.0
# The maximum difference between the wall clocks of two daemons.
MAX_FLEET_CLOCK_SKEW_S = 0.25
# No earlier owner has seen an id that was created later than this after the
# current one acquired the scope. The skew counts twice: once for the daemon
# that first compared the id's time, and once for the owner whose clock gave the
# time of the acquisition.
CLOCK_MARGIN_S = MAX_ID_LEAD_S + 2 * MAX_FLEET_CLOCK_SKEW_S
# The memory that an entry takes in addition to its answer.
ENTRY_OVERHEAD_BYTES = 400


@dataclasses.dataclass(frozen=True)
class RequestIdentity:
    """The identity of a caller's request.

    Attributes:
      account: the client account.
      idempotency_key: the caller's id of the request, unique in the account.
    """

    account: str
    idempotency_key: str


class RequestAction(enum.Enum):
    """How to proceed with a request that has just arrived.

    Attributes:
      RUN: it is fresh and may be sent; `finish` must be called afterwards.
      JOIN: the same request is in flight; its answer serves both.
      REPLAY: it has run, and its answer is available.
      ASK_PREVIOUS: the previous owner may know the request and must be asked;
        `resolve` must be called afterwards.
      UNKNOWN: it may have run; it must not be sent.
      MISMATCH: the id was used for a different request; it must not be sent.
      NOT_OWNER: another daemon owns the scope; it must not be sent from here.
    """

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    ASK_PREVIOUS = "ask"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    NOT_OWNER = "not-in-charge"


class LookupStatus(enum.Enum):
    """What a previous owner of a scope knows about a request."""

    NOT_SEEN = "not-seen"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclasses.dataclass(frozen=True)
class LookupResult(Generic[A]):
    """A previous owner's answer about a request.

    Attributes:
      status: what the previous owner knows about the request.
      complete_since_s: since when its table contains every request of the
        scope. None if it still owns the scope or never did; then a missing
        entry proves nothing.
      answer: the upstream's answer, if the request ran and the answer is kept.
    """

    status: LookupStatus
    complete_since_s: float | None
    answer: A | None = None


@dataclasses.dataclass(frozen=True)
class RequestDecision(Generic[A]):
    """The action for a request, with the answer to replay if there is one."""

    action: RequestAction
    answer: A | None = None


class _State(enum.Enum):
    IN_FLIGHT = "in-flight"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclasses.dataclass
class _Entry(Generic[A]):
    fingerprint: bytes
    first_seen_s: float
    state: _State = _State.IN_FLIGHT
    answer: A | None = None
    answer_bytes: int = 0


@dataclasses.dataclass
class _ScopeOwnership:
    since_s: float
    previous_owner: str | None


# Number of scopes of each undivided service, which are spread over all daemons.
UNDIVIDED_SCOPE_COUNT = 32


def undivided_scope(service: str, identity: RequestIdentity) -> str:
    """Returns the scope of a request for an undivided service.

    No gateway receives all requests of an undivided service. All requests of
    one scope therefore pass through the holder of the role with the scope's
    name.
    """
    text = f"{identity.account}\0{identity.idempotency_key}"
    return f"{service}/home/{placement.shard_of(text, UNDIVIDED_SCOPE_COUNT)}"


def creation_time_s(idempotency_key: str) -> float | None:
    """Returns the creation time in a UUID version 7, or None for other ids.

    The time is in seconds since 1970.
    """
    if len(idempotency_key) != 36:
        return None
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000.0


def is_created_in_future(idempotency_key: str, now_s: float) -> bool:
    """Returns whether the first daemon that receives an id must refuse it.

    Without this check, each repeat by a caller whose clock is an hour ahead
    would count as a fresh request for an hour.
    """
    created_s = creation_time_s(idempotency_key)
    return created_s is not None and created_s > now_s + MAX_ID_LEAD_S


class DeduplicationTable(Generic[A]):
    """One daemon's entries for requests of the scopes that it owns or owned."""

    def __init__(
        self,
        retention_s: float = RETENTION_S,
        capacity_entries: int = 100_000,
        capacity_bytes: int = 32 * 1024 * 1024,
    ):
        """Creates an empty table.

        Args:
          retention_s: seconds after which an entry expires.
          capacity_entries: the maximum number of entries.
          capacity_bytes: the maximum size of answers and entries together.
        """
        self._retention_s = retention_s
        self._capacity_entries = capacity_entries
        self._capacity_bytes = capacity_bytes
        self._entries: collections.OrderedDict[RequestIdentity, _Entry[A]] = (
            collections.OrderedDict()
        )
        self._answered: collections.deque[RequestIdentity] = collections.deque()
        self._owned_scopes: dict[str, _ScopeOwnership] = {}
        self._released_scopes: dict[str, float] = {}
        self._size_bytes = 0
        # The newest creation time among evicted ids, and the newest time at
        # which an evicted id without a creation time was first seen. A common
        # bound would have to include the clock margin, and a full table would
        # then refuse fresh requests.
        self._evicted_created_s = 0.0
        self._evicted_seen_s = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def size_bytes(self) -> int:
        """The accounted size of entries and answers in bytes."""
        return self._size_bytes

    def acquire_scope(
        self, scope: str, now_s: float, previous: str | None = None
    ) -> None:
        """Acquires a scope; its requests must now pass through this daemon.

        Args:
          scope: the scope.
          now_s: a time at which no other daemon owned the scope anymore.
          previous: the previous owner, if it can be asked.
        """
        if scope in self._owned_scopes:
            return
        self._released_scopes.pop(scope, None)
        self._owned_scopes[scope] = _ScopeOwnership(now_s, previous)

    def release_scope(self, scope: str) -> None:
        """Releases a scope; `lookup` still answers for its requests."""
        ownership = self._owned_scopes.pop(scope, None)
        if ownership is not None:
            self._released_scopes[scope] = ownership.since_s

    def split(self, scope: str, part: str) -> None:
        """Makes a part of an owned scope a scope of its own.

        The part inherits the acquisition time and the previous owner.
        """
        ownership = self._owned_scopes.get(scope)
        if ownership is not None and part not in self._owned_scopes:
            self._released_scopes.pop(part, None)
            self._owned_scopes[part] = dataclasses.replace(ownership)

    def owns_scope(self, scope: str) -> bool:
        """Returns whether this daemon owns a scope."""
        return scope in self._owned_scopes

    def previous_owner(self, scope: str) -> str | None:
        """Returns the daemon to ask after the action ASK_PREVIOUS."""
        ownership = self._owned_scopes.get(scope)
        return ownership.previous_owner if ownership else None

    def begin_request(
        self,
        scope: str,
        identity: RequestIdentity,
        fingerprint: bytes,
        now_s: float,
    ) -> RequestDecision[A]:
        """Decides how to proceed with a request that has arrived.

        Args:
          scope: the scope that the request belongs to.
          identity: the identity of the request.
          fingerprint: a digest of all parts that must be equal in a repeat.
          now_s: the current time.
        """
        self._expire_entries(now_s)
        ownership = self._owned_scopes.get(scope)
        if ownership is None:
            return RequestDecision(RequestAction.NOT_OWNER)
        entry = self._entries.get(identity)
        if entry is not None:
            return self._decide_repeat(entry, fingerprint)
        if self._is_fresh(identity, ownership.since_s, now_s):
            self._add_entry(identity, fingerprint, now_s)
            return RequestDecision(RequestAction.RUN)
        if ownership.previous_owner is None:
            return RequestDecision(RequestAction.UNKNOWN)
        self._add_entry(identity, fingerprint, now_s)
        return RequestDecision(RequestAction.ASK_PREVIOUS)

    def resolve(
        self,
        identity: RequestIdentity,
        result: LookupResult[A] | None,
        now_s: float,
    ) -> RequestDecision[A]:
        """Decides how to proceed after the previous owner was asked.

        Args:
          identity: the request for which `begin_request` returned ASK_PREVIOUS.
          result: the previous owner's answer, or None without an answer.
          now_s: the current time.

        Returns:
          RUN, REPLAY or UNKNOWN. `finish` must be called after RUN. The other
          two are stored, so that requests that have joined get the same result.
        """
        entry = self._entries[identity]
        if result is None:
            self._end_entry(identity, entry, _State.MAY_HAVE_RUN)
            return RequestDecision(RequestAction.UNKNOWN)
        if result.status is LookupStatus.NOT_SEEN:
            since_s = result.complete_since_s
            if since_s is not None and self._is_fresh(identity, since_s, now_s):
                return RequestDecision(RequestAction.RUN)
        if result.status is LookupStatus.RAN and result.answer is not None:
            self._end_entry(identity, entry, _State.RAN, result.answer)
            return RequestDecision(RequestAction.REPLAY, result.answer)
        self._end_entry(identity, entry, _State.MAY_HAVE_RUN)
        return RequestDecision(RequestAction.UNKNOWN)

    def finish(
        self,
        identity: RequestIdentity,
        verdict: errors.Verdict,
        answer: A | None = None,
        answer_bytes: int = 0,
    ) -> None:
        """Records the outcome of a request whose action was RUN.

        The entry of a request that did not run is removed, so that a repeat can
        run.
        """
        entry = self._entries.get(identity)
        if entry is None:
            return
        if verdict is errors.Verdict.NOT_RUN:
            self._remove_entry(identity)
        elif verdict is errors.Verdict.RAN:
            self._end_entry(identity, entry, _State.RAN, answer, answer_bytes)
        else:
            self._end_entry(identity, entry, _State.MAY_HAVE_RUN)

    def lookup(
        self, scope: str, identity: RequestIdentity, now_s: float
    ) -> LookupResult[A]:
        """Answers the current owner's question about a request."""
        self._expire_entries(now_s)
        since_s = self._released_scopes.get(scope)
        if since_s is not None:
            since_s = self._complete_since_s(since_s, now_s)
        entry = self._entries.get(identity)
        if entry is None:
            return LookupResult(LookupStatus.NOT_SEEN, since_s)
        if entry.state is _State.RAN:
            return LookupResult(LookupStatus.RAN, since_s, entry.answer)
        return LookupResult(LookupStatus.MAY_HAVE_RUN, since_s)

    def _decide_repeat(
        self, entry: _Entry[A], fingerprint: bytes
    ) -> RequestDecision[A]:
        if entry.fingerprint != fingerprint:
            return RequestDecision(RequestAction.MISMATCH)
        if entry.state is _State.IN_FLIGHT:
            return RequestDecision(RequestAction.JOIN)
        if entry.state is _State.RAN and entry.answer is not None:
            return RequestDecision(RequestAction.REPLAY, entry.answer)
        return RequestDecision(RequestAction.UNKNOWN)

    def _is_fresh(
        self, identity: RequestIdentity, since_s: float, now_s: float
    ) -> bool:
        created_s = creation_time_s(identity.idempotency_key)
        if created_s is not None:
            began_s = max(since_s, now_s - self._retention_s)
            return created_s > max(
                began_s + CLOCK_MARGIN_S, self._evicted_created_s
            )
        # An id without a creation time is fresh once this daemon has received
        # all requests of the scope for the whole repeat window.
        began_s = max(since_s, self._evicted_seen_s)
        return now_s - began_s >= REPEAT_WINDOW_S + MAX_FLEET_CLOCK_SKEW_S

    def _complete_since_s(self, since_s: float, now_s: float) -> float:
        return max(
            since_s,
            self._evicted_created_s,
            self._evicted_seen_s,
            now_s - self._retention_s,
        )

    def _add_entry(
        self, identity: RequestIdentity, fingerprint: bytes, now_s: float
    ) -> None:
        self._entries[identity] = _Entry(fingerprint, now_s)
        self._size_bytes += ENTRY_OVERHEAD_BYTES
        self._evict_over_capacity()

    def _end_entry(
        self,
        identity: RequestIdentity,
        entry: _Entry[A],
        state: _State,
        answer: A | None = None,
        answer_bytes: int = 0,
    ) -> None:
        entry.state = state
        if answer is not None:
            entry.answer = answer
            entry.answer_bytes = answer_bytes
            self._size_bytes += answer_bytes
            self._answered.append(identity)
        self._evict_over_capacity()

    def _evict_over_capacity(self) -> None:
        # Answers are evicted first. Without its answer, a repeat is still
        # recognized; without its entry, it could run again.
        while self._size_bytes > self._capacity_bytes and self._answered:
            self._drop_answer(self._answered.popleft())
        while self._over_capacity():
            identity = self._oldest_ended()
            if identity is None:
                return
            self._record_eviction(identity)
            self._remove_entry(identity)

    def _record_eviction(self, identity: RequestIdentity) -> None:
        created_s = creation_time_s(identity.idempotency_key)
        if created_s is not None:
            self._evicted_created_s = max(self._evicted_created_s, created_s)
            return
        first_seen_s = self._entries[identity].first_seen_s
        self._evicted_seen_s = max(self._evicted_seen_s, first_seen_s)

    def _over_capacity(self) -> bool:
        return (
            len(self._entries) > self._capacity_entries
            or self._size_bytes > self._capacity_bytes
        )

    def _oldest_ended(self) -> RequestIdentity | None:
        for identity, entry in self._entries.items():
            if entry.state is not _State.IN_FLIGHT:
                return identity
        return None

    def _drop_answer(self, identity: RequestIdentity) -> None:
        entry = self._entries.get(identity)
        if entry is None:
            return
        entry.answer = None
        self._size_bytes -= entry.answer_bytes
        entry.answer_bytes = 0

    def _remove_entry(self, identity: RequestIdentity) -> None:
        entry = self._entries.pop(identity)
        self._size_bytes -= entry.answer_bytes + ENTRY_OVERHEAD_BYTES

    def _expire_entries(self, now_s: float) -> None:
        while self._entries:
            identity, entry = next(iter(self._entries.items()))
            is_too_recent = entry.first_seen_s > now_s - self._retention_s
            if is_too_recent or entry.state is _State.IN_FLIGHT:
                return
            self._remove_entry(identity)
