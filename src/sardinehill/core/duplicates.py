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
REMEMBER_S = 300.0
# A caller may repeat a request for this long under an id without a time. It
# bounds how long a daemon that took over from a lost one must refuse such ids.
REPEAT_S = 30.0
# How far ahead of a daemon's clock the time in an id may lie.
CALLER_AHEAD_S = 1.0
# How far the wall clocks of two daemons may lie apart.
FLEET_SKEW_S = 0.25
# An id made later than this after a memory began was never seen before it.
# The skew counts twice: once where the id's time was first compared, and once
# where the memory's own beginning was read.
MARGIN_S = CALLER_AHEAD_S + 2 * FLEET_SKEW_S
# The memory that an entry takes besides its answer.
ENTRY_OVERHEAD_BYTES = 400


@dataclasses.dataclass(frozen=True)
class RequestName:
    """What a caller calls its request, unique within its account.

    Attributes:
      account: the client account.
      idempotency_key: the caller's own id of the request.
    """

    account: str
    idempotency_key: str


class Finding(enum.Enum):
    """What is known of a request that has just arrived.

    Attributes:
      RUN: it is fresh and may be sent; `finish` must be called afterwards.
      JOIN: the same request is in flight; its answer serves both.
      REPLAY: it ran, and its answer is at hand.
      ASK: the daemon that was in charge before may know; then `resolve`.
      UNKNOWN: it may have run; nothing may be sent.
      MISMATCH: the id was used for a different request; nothing was run.
      NOT_IN_CHARGE: another daemon is in charge; nothing was run.
    """

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    ASK = "ask"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    NOT_IN_CHARGE = "not-in-charge"


class Seen(enum.Enum):
    """What a daemon that was in charge before knows of a request."""

    NOT_SEEN = "not-seen"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclasses.dataclass(frozen=True)
class Recollection(Generic[A]):
    """The answer of a daemon that was in charge before.

    Attributes:
      seen: what it knows of the request.
      since_s: since when it remembers every request of the scope; None when
        it still is in charge or never was, so that it proves nothing.
      answer: the upstream's answer, when it ran and is still kept.
    """

    seen: Seen
    since_s: float | None
    answer: A | None = None


@dataclasses.dataclass(frozen=True)
class Arrival(Generic[A]):
    """The finding on a request, with the answer to replay."""

    finding: Finding
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
class _Charge:
    since_s: float
    previous: str | None


# Scopes of a service that is not divided by key, spread over all daemons.
HOME_SCOPES = 32


def home_scope(service: str, name: RequestName) -> str:
    """Returns the scope of a request on a service not divided by key.

    No upstream's gateway sees all of them, so one daemon for each scope does:
    the holder of the duty of this name.
    """
    text = f"{name.account}\0{name.idempotency_key}"
    return f"{service}/home/{placement.shard_of(text, HOME_SCOPES)}"


def created_s(idempotency_key: str) -> float | None:
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


def is_from_the_future(idempotency_key: str, now_s: float) -> bool:
    """Returns whether an id must be refused where it is first taken.

    Without this check a caller whose clock is an hour ahead would have each
    repeat taken for a fresh request for an hour.
    """
    made_s = created_s(idempotency_key)
    return made_s is not None and made_s > now_s + CALLER_AHEAD_S


class DuplicateMemory(Generic[A]):
    """What one daemon remembers of the requests that it was in charge of."""

    def __init__(
        self,
        remember_s: float = REMEMBER_S,
        capacity_entries: int = 100_000,
        capacity_bytes: int = 32 * 1024 * 1024,
    ):
        """Makes an empty memory.

        Args:
          remember_s: seconds after which a request is forgotten.
          capacity_entries: requests kept at most.
          capacity_bytes: bytes of answers and entries kept at most.
        """
        self._remember_s = remember_s
        self._capacity_entries = capacity_entries
        self._capacity_bytes = capacity_bytes
        self._entries: collections.OrderedDict[RequestName, _Entry[A]] = (
            collections.OrderedDict()
        )
        self._answered: collections.deque[RequestName] = collections.deque()
        self._charges: dict[str, _Charge] = {}
        self._past_charges: dict[str, float] = {}
        self._size_bytes = 0
        # Forgotten to make room: ids made up to the one time, and ids without
        # a time that were first seen up to the other. One bound for both
        # would need the margin of the clocks on top, and then a memory that
        # is full refuses fresh requests.
        self._forgotten_made_s = 0.0
        self._forgotten_seen_s = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def size_bytes(self) -> int:
        """The bytes taken by entries and answers, as accounted."""
        return self._size_bytes

    def take_charge(
        self, scope: str, now_s: float, previous: str | None = None
    ) -> None:
        """Begins to be in charge of a scope.

        Args:
          scope: what all requests of pass this daemon from now on.
          now_s: a time at which no other daemon was in charge any longer.
          previous: the daemon that was in charge before, if it can be asked.
        """
        if scope in self._charges:
            return
        self._past_charges.pop(scope, None)
        self._charges[scope] = _Charge(now_s, previous)

    def give_up(self, scope: str) -> None:
        """Ends being in charge; what was seen is still told to others."""
        charge = self._charges.pop(scope, None)
        if charge is not None:
            self._past_charges[scope] = charge.since_s

    def split(self, scope: str, part: str) -> None:
        """Treats a part of a scope as a scope of its own from now on.

        Whoever is in charge of the whole was in charge of the part.
        """
        charge = self._charges.get(scope)
        if charge is not None and part not in self._charges:
            self._past_charges.pop(part, None)
            self._charges[part] = dataclasses.replace(charge)

    def in_charge(self, scope: str) -> bool:
        """Returns whether this daemon is in charge of a scope."""
        return scope in self._charges

    def previous(self, scope: str) -> str | None:
        """Returns the daemon to ask after the finding ASK."""
        charge = self._charges.get(scope)
        return charge.previous if charge else None

    def arrive(
        self, scope: str, name: RequestName, fingerprint: bytes, now_s: float
    ) -> Arrival[A]:
        """Tells what to do with a request.

        Args:
          scope: the scope that the request belongs to.
          name: the caller's name for it.
          fingerprint: a digest of all that makes it the same request.
          now_s: the time now.
        """
        self._forget_old(now_s)
        charge = self._charges.get(scope)
        if charge is None:
            return Arrival(Finding.NOT_IN_CHARGE)
        entry = self._entries.get(name)
        if entry is not None:
            return self._repeated(entry, fingerprint)
        if self._is_fresh(name, charge.since_s, now_s):
            self._remember(name, fingerprint, now_s)
            return Arrival(Finding.RUN)
        if charge.previous is None:
            return Arrival(Finding.UNKNOWN)
        self._remember(name, fingerprint, now_s)
        return Arrival(Finding.ASK)

    def resolve(
        self,
        name: RequestName,
        recollection: Recollection[A] | None,
        now_s: float,
    ) -> Arrival[A]:
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
            self._end(name, entry, _State.MAY_HAVE_RUN)
            return Arrival(Finding.UNKNOWN)
        if recollection.seen is Seen.NOT_SEEN:
            since_s = recollection.since_s
            if since_s is not None and self._is_fresh(name, since_s, now_s):
                return Arrival(Finding.RUN)
        if recollection.seen is Seen.RAN and recollection.answer is not None:
            self._end(name, entry, _State.RAN, recollection.answer)
            return Arrival(Finding.REPLAY, recollection.answer)
        self._end(name, entry, _State.MAY_HAVE_RUN)
        return Arrival(Finding.UNKNOWN)

    def finish(
        self,
        name: RequestName,
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
            self._drop(name)
        elif verdict is errors.Verdict.RAN:
            self._end(name, entry, _State.RAN, answer, answer_bytes)
        else:
            self._end(name, entry, _State.MAY_HAVE_RUN)

    def recollect(
        self, scope: str, name: RequestName, now_s: float
    ) -> Recollection[A]:
        """Answers the daemon that is in charge now."""
        self._forget_old(now_s)
        since_s = self._past_charges.get(scope)
        if since_s is not None:
            since_s = self._reaches_back_to_s(since_s, now_s)
        entry = self._entries.get(name)
        if entry is None:
            return Recollection(Seen.NOT_SEEN, since_s)
        if entry.state is _State.RAN:
            return Recollection(Seen.RAN, since_s, entry.answer)
        return Recollection(Seen.MAY_HAVE_RUN, since_s)

    def _repeated(self, entry: _Entry[A], fingerprint: bytes) -> Arrival[A]:
        if entry.fingerprint != fingerprint:
            return Arrival(Finding.MISMATCH)
        if entry.state is _State.IN_FLIGHT:
            return Arrival(Finding.JOIN)
        if entry.state is _State.RAN and entry.answer is not None:
            return Arrival(Finding.REPLAY, entry.answer)
        return Arrival(Finding.UNKNOWN)

    def _is_fresh(
        self, name: RequestName, since_s: float, now_s: float
    ) -> bool:
        made_s = created_s(name.idempotency_key)
        if made_s is not None:
            began_s = max(since_s, now_s - self._remember_s)
            return made_s > max(began_s + MARGIN_S, self._forgotten_made_s)
        # An id without a time is fresh once its repeats must have come here.
        began_s = max(since_s, self._forgotten_seen_s)
        return now_s - began_s >= REPEAT_S + FLEET_SKEW_S

    def _reaches_back_to_s(self, since_s: float, now_s: float) -> float:
        return max(
            since_s,
            self._forgotten_made_s,
            self._forgotten_seen_s,
            now_s - self._remember_s,
        )

    def _remember(
        self, name: RequestName, fingerprint: bytes, now_s: float
    ) -> None:
        self._entries[name] = _Entry(fingerprint, now_s)
        self._size_bytes += ENTRY_OVERHEAD_BYTES
        self._make_room()

    def _end(
        self,
        name: RequestName,
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
        self._make_room()

    def _make_room(self) -> None:
        # Answers go first: without its answer a repeat is still recognised,
        # without its entry it could run again.
        while self._size_bytes > self._capacity_bytes and self._answered:
            self._drop_answer(self._answered.popleft())
        while self._over_capacity():
            name = self._oldest_ended()
            if name is None:
                return
            self._note_forgotten(name)
            self._drop(name)

    def _note_forgotten(self, name: RequestName) -> None:
        made_s = created_s(name.idempotency_key)
        if made_s is not None:
            self._forgotten_made_s = max(self._forgotten_made_s, made_s)
            return
        first_seen_s = self._entries[name].first_seen_s
        self._forgotten_seen_s = max(self._forgotten_seen_s, first_seen_s)

    def _over_capacity(self) -> bool:
        return (
            len(self._entries) > self._capacity_entries
            or self._size_bytes > self._capacity_bytes
        )

    def _oldest_ended(self) -> RequestName | None:
        for name, entry in self._entries.items():
            if entry.state is not _State.IN_FLIGHT:
                return name
        return None

    def _drop_answer(self, name: RequestName) -> None:
        entry = self._entries.get(name)
        if entry is None:
            return
        entry.answer = None
        self._size_bytes -= entry.answer_bytes
        entry.answer_bytes = 0

    def _drop(self, name: RequestName) -> None:
        entry = self._entries.pop(name)
        self._size_bytes -= entry.answer_bytes + ENTRY_OVERHEAD_BYTES

    def _forget_old(self, now_s: float) -> None:
        while self._entries:
            name, entry = next(iter(self._entries.items()))
            too_young = entry.first_seen_s > now_s - self._remember_s
            if too_young or entry.state is _State.IN_FLIGHT:
                return
            self._drop(name)
