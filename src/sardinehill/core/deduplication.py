"""Recognises a caller's repeated request by its Idempotency-Key.

One daemon at a time is in charge of a scope, such as a shard: all requests of
that scope pass it, and its memory joins a repeat to the one in flight or
replays the answer. The hard question is what to do with an id that is not in
the memory when the daemon took charge only a moment ago: it is a fresh
request, or the repeat of one that a lost daemon ran.

Ids that carry their time of creation (UUID version 7) answer it. An id made
after the memory began cannot have been seen by an earlier one. The first
daemon that takes a request refuses an id from the future, so this holds
whatever the caller's clock shows; only the daemons' clocks must agree to
within `FLEET_SKEW_S`. Other ids answer it once the memory is older than the
time within which a caller may repeat a request.

An explicit mark for a repeat was weighed and given up: a library or a proxy
on the caller's side that repeats by itself does not set it, and then the
request runs twice. Asking every daemon which ids it forwarded was given up
too: a daemon that was lost together with its memory cannot be asked, and
640 answers for one booking cost too much. Only the daemon that was in charge
before is asked.

All times are seconds of wall clock time since 1970.
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

# A request is remembered for this long after its first attempt.
RETENTION_S = 300.0
# A caller may repeat a request for this long under an id without a time. It
# bounds how long a daemon that took over from a lost one must refuse such ids.
REPEAT_WINDOW_S = 30.0
# How far ahead of a daemon's clock the time in an id may lie.
MAX_ID_LEAD_S = 1.0
# How far the wall clocks of two daemons may lie apart.
MAX_FLEET_CLOCK_SKEW_S = 0.25
# An id made later than this after a memory began was never seen before it.
# The skew counts twice: once where the id's time was first compared, and once
# where the memory's own beginning was read.
CLOCK_MARGIN_S = MAX_ID_LEAD_S + 2 * MAX_FLEET_CLOCK_SKEW_S
# The memory that an entry takes besides its answer.
ENTRY_OVERHEAD_BYTES = 400


@dataclasses.dataclass(frozen=True)
class RequestIdentity:
    """What a caller calls its request, unique within its account.

    Attributes:
      account: the client account.
      idempotency_key: the caller's own id of the request.
    """

    account: str
    idempotency_key: str


class RequestAction(enum.Enum):
    """What is known of a request that has just arrived.

    Attributes:
      RUN: it is fresh and may be sent; `finish` must be called afterwards.
      JOIN: the same request is in flight; its answer serves both.
      REPLAY: it ran, and its answer is at hand.
      ASK_PREVIOUS: the daemon that was in charge before may know; then `resolve`.
      UNKNOWN: it may have run; nothing may be sent.
      MISMATCH: the id was used for a different request; nothing was run.
      NOT_OWNER: another daemon is in charge; nothing was run.
    """

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    ASK_PREVIOUS = "ask"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    NOT_OWNER = "not-in-charge"


class LookupStatus(enum.Enum):
    """What a daemon that was in charge before knows of a request."""

    NOT_SEEN = "not-seen"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclasses.dataclass(frozen=True)
class LookupResult(Generic[A]):
    """The answer of a daemon that was in charge before.

    Attributes:
      status: what it knows of the request.
      complete_since_s: since when it remembers every request of the scope; None when
        it still is in charge or never was, so that it proves nothing.
      answer: the upstream's answer, when it ran and is still kept.
    """

    status: LookupStatus
    complete_since_s: float | None
    answer: A | None = None


@dataclasses.dataclass(frozen=True)
class RequestDecision(Generic[A]):
    """The finding on a request, with the answer to replay."""

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


# Scopes of a service that is not divided by key, spread over all daemons.
UNDIVIDED_SCOPE_COUNT = 32


def undivided_scope(service: str, name: RequestIdentity) -> str:
    """Returns the scope of a request on a service not divided by key.

    No upstream's gateway sees all of them, so one daemon for each scope does:
    the holder of the duty of this name.
    """
    text = f"{name.account}\0{name.idempotency_key}"
    return f"{service}/home/{placement.shard_of(text, UNDIVIDED_SCOPE_COUNT)}"


def creation_time_s(idempotency_key: str) -> float | None:
    """Returns the time within a UUID of version 7, or None for other ids."""
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
    """Returns whether an id must be refused where it is first taken.

    Without this check a caller whose clock is an hour ahead would have each
    repeat taken for a fresh request for an hour.
    """
    made_s = creation_time_s(idempotency_key)
    return made_s is not None and made_s > now_s + MAX_ID_LEAD_S


class DeduplicationTable(Generic[A]):
    """What one daemon remembers of the requests that it was in charge of."""

    def __init__(
        self,
        retention_s: float = RETENTION_S,
        capacity_entries: int = 100_000,
        capacity_bytes: int = 32 * 1024 * 1024,
    ):
        """Makes an empty memory.

        Args:
          retention_s: seconds after which a request is forgotten.
          capacity_entries: requests kept at most.
          capacity_bytes: bytes of answers and entries kept at most.
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
        # Forgotten to make room: ids made up to the one time, and ids without
        # a time that were first seen up to the other. One bound for both
        # would need the margin of the clocks on top, and then a memory that
        # is full refuses fresh requests.
        self._evicted_created_s = 0.0
        self._evicted_seen_s = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def size_bytes(self) -> int:
        """The bytes taken by entries and answers, as accounted."""
        return self._size_bytes

    def acquire_scope(
        self, scope: str, now_s: float, previous: str | None = None
    ) -> None:
        """Begins to be in charge of a scope.

        Args:
          scope: what all requests of pass this daemon from now on.
          now_s: a time at which no other daemon was in charge any longer.
          previous: the daemon that was in charge before, if it can be asked.
        """
        if scope in self._owned_scopes:
            return
        self._released_scopes.pop(scope, None)
        self._owned_scopes[scope] = _ScopeOwnership(now_s, previous)

    def release_scope(self, scope: str) -> None:
        """Ends being in charge; what was seen is still told to others."""
        charge = self._owned_scopes.pop(scope, None)
        if charge is not None:
            self._released_scopes[scope] = charge.since_s

    def split(self, scope: str, part: str) -> None:
        """Treats a part of a scope as a scope of its own from now on.

        Whoever is in charge of the whole was in charge of the part.
        """
        charge = self._owned_scopes.get(scope)
        if charge is not None and part not in self._owned_scopes:
            self._released_scopes.pop(part, None)
            self._owned_scopes[part] = dataclasses.replace(charge)

    def owns_scope(self, scope: str) -> bool:
        """Returns whether this daemon is in charge of a scope."""
        return scope in self._owned_scopes

    def previous_owner(self, scope: str) -> str | None:
        """Returns the daemon to ask after the finding ASK."""
        charge = self._owned_scopes.get(scope)
        return charge.previous_owner if charge else None

    def begin_request(
        self,
        scope: str,
        name: RequestIdentity,
        fingerprint: bytes,
        now_s: float,
    ) -> RequestDecision[A]:
        """Tells what to do with a request.

        Args:
          scope: the scope that the request belongs to.
          name: the caller's name for it.
          fingerprint: a digest of all that makes it the same request.
          now_s: the time now.
        """
        self._expire_entries(now_s)
        charge = self._owned_scopes.get(scope)
        if charge is None:
            return RequestDecision(RequestAction.NOT_OWNER)
        entry = self._entries.get(name)
        if entry is not None:
            return self._decide_repeat(entry, fingerprint)
        if self._is_fresh(name, charge.since_s, now_s):
            self._add_entry(name, fingerprint, now_s)
            return RequestDecision(RequestAction.RUN)
        if charge.previous_owner is None:
            return RequestDecision(RequestAction.UNKNOWN)
        self._add_entry(name, fingerprint, now_s)
        return RequestDecision(RequestAction.ASK_PREVIOUS)

    def resolve(
        self,
        name: RequestIdentity,
        recollection: LookupResult[A] | None,
        now_s: float,
    ) -> RequestDecision[A]:
        """Settles a request after the daemon in charge before was asked.

        Args:
          name: the request, for which `arrive` found ASK.
          recollection: the answer, or None when none came.
          now_s: the time now.

        Returns:
          RUN, REPLAY or UNKNOWN. After RUN `finish` must be called; the other
          two are kept, so that requests which joined meanwhile get the same.
        """
        entry = self._entries[name]
        if recollection is None:
            self._end_entry(name, entry, _State.MAY_HAVE_RUN)
            return RequestDecision(RequestAction.UNKNOWN)
        if recollection.status is LookupStatus.NOT_SEEN:
            since_s = recollection.complete_since_s
            if since_s is not None and self._is_fresh(name, since_s, now_s):
                return RequestDecision(RequestAction.RUN)
        if (
            recollection.status is LookupStatus.RAN
            and recollection.answer is not None
        ):
            self._end_entry(name, entry, _State.RAN, recollection.answer)
            return RequestDecision(RequestAction.REPLAY, recollection.answer)
        self._end_entry(name, entry, _State.MAY_HAVE_RUN)
        return RequestDecision(RequestAction.UNKNOWN)

    def finish(
        self,
        name: RequestIdentity,
        verdict: errors.Verdict,
        answer: A | None = None,
        answer_bytes: int = 0,
    ) -> None:
        """Notes how a request ended for which RUN was found.

        One that did not run is forgotten: its repeat is free to run.
        """
        entry = self._entries.get(name)
        if entry is None:
            return
        if verdict is errors.Verdict.NOT_RUN:
            self._remove_entry(name)
        elif verdict is errors.Verdict.RAN:
            self._end_entry(name, entry, _State.RAN, answer, answer_bytes)
        else:
            self._end_entry(name, entry, _State.MAY_HAVE_RUN)

    def lookup(
        self, scope: str, name: RequestIdentity, now_s: float
    ) -> LookupResult[A]:
        """Answers the daemon that is in charge now."""
        self._expire_entries(now_s)
        since_s = self._released_scopes.get(scope)
        if since_s is not None:
            since_s = self._complete_since_s(since_s, now_s)
        entry = self._entries.get(name)
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
        self, name: RequestIdentity, since_s: float, now_s: float
    ) -> bool:
        made_s = creation_time_s(name.idempotency_key)
        if made_s is not None:
            began_s = max(since_s, now_s - self._retention_s)
            return made_s > max(
                began_s + CLOCK_MARGIN_S, self._evicted_created_s
            )
        # An id without a time is fresh once its repeats must have come here.
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
        self, name: RequestIdentity, fingerprint: bytes, now_s: float
    ) -> None:
        self._entries[name] = _Entry(fingerprint, now_s)
        self._size_bytes += ENTRY_OVERHEAD_BYTES
        self._evict_over_capacity()

    def _end_entry(
        self,
        name: RequestIdentity,
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
            self._answered.append(name)
        self._evict_over_capacity()

    def _evict_over_capacity(self) -> None:
        # Answers go first: without its answer a repeat is still recognised,
        # without its entry it could run again.
        while self._size_bytes > self._capacity_bytes and self._answered:
            self._drop_answer(self._answered.popleft())
        while self._over_capacity():
            name = self._oldest_ended()
            if name is None:
                return
            self._record_eviction(name)
            self._remove_entry(name)

    def _record_eviction(self, name: RequestIdentity) -> None:
        made_s = creation_time_s(name.idempotency_key)
        if made_s is not None:
            self._evicted_created_s = max(self._evicted_created_s, made_s)
            return
        first_seen_s = self._entries[name].first_seen_s
        self._evicted_seen_s = max(self._evicted_seen_s, first_seen_s)

    def _over_capacity(self) -> bool:
        return (
            len(self._entries) > self._capacity_entries
            or self._size_bytes > self._capacity_bytes
        )

    def _oldest_ended(self) -> RequestIdentity | None:
        for name, entry in self._entries.items():
            if entry.state is not _State.IN_FLIGHT:
                return name
        return None

    def _drop_answer(self, name: RequestIdentity) -> None:
        entry = self._entries.get(name)
        if entry is None:
            return
        entry.answer = None
        self._size_bytes -= entry.answer_bytes
        entry.answer_bytes = 0

    def _remove_entry(self, name: RequestIdentity) -> None:
        entry = self._entries.pop(name)
        self._size_bytes -= entry.answer_bytes + ENTRY_OVERHEAD_BYTES

    def _expire_entries(self, now_s: float) -> None:
        while self._entries:
            name, entry = next(iter(self._entries.items()))
            too_young = entry.first_seen_s > now_s - self._retention_s
            if too_young or entry.state is _State.IN_FLIGHT:
                return
            self._remove_entry(name)
