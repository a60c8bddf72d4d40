"""A short queue before one upstream, fair by client account.

Start-time fair queueing: the oldest request of each account has a virtual
start, which lies one cost divided by the account's weight after the start of
the account's previous one, and the lowest start goes first. A request gets
its start only once it is the oldest of its account, so that one that is
refused or removed costs its account nothing. An account that sends ten times
its share lengthens only its own line.

Deficit round robin was the alternative: it needs no heap, but a quantum must
be chosen for costs that differ by account, and an account that wakes up waits
for a whole round, where here it goes next.
"""

import collections
import dataclasses
import heapq
import itertools
from typing import Generic
from typing import TypeVar

from sardinehill import errors

T = TypeVar("T")

# Discarded entries may outnumber live ones by this factor before a heap is
# rebuilt, which keeps both the memory and the cost of a push bounded.
STALE_FACTOR = 4


@dataclasses.dataclass(eq=False)
class Waiting(Generic[T]):
    """One request in the queue.

    Attributes:
      account: the client account that it runs for.
      item: what the owner of the queue put in.
      deadline_s: the time by which its answer must be on the way.
      cost: upstream work that it stands for, relative to other requests.
      order: tells requests apart in order of arrival.
      queued: False once it was taken, refused or removed.
    """

    account: str
    item: T
    deadline_s: float
    cost: float
    order: int
    queued: bool = True


@dataclasses.dataclass(frozen=True)
class Refused(Generic[T]):
    """A request that leaves the queue without having been sent.

    Attributes:
      item: what the owner of the queue put in.
      reason: why it is refused; the verdict is always NOT_RUN.
      retry_after_s: seconds until the account's line may have room.
    """

    item: T
    reason: errors.Reason
    retry_after_s: float = 0.0
    verdict: errors.Verdict = errors.Verdict.NOT_RUN


@dataclasses.dataclass
class _Line(Generic[T]):
    """The requests of one account that wait, oldest first.

    Attributes:
      account: the client account.
      weight: its share relative to other accounts.
      start: the virtual start of its oldest request.
      turn: the one entry among the heads that is not stale.
      waiting: its requests; those in the middle may have left already.
      count: how many of them wait.
    """

    account: str
    weight: float
    start: float = 0.0
    turn: int = -1
    waiting: collections.deque[Waiting[T]] = dataclasses.field(
        default_factory=collections.deque
    )
    count: int = 0

    def backlog(self) -> float:
        """Returns how many requests wait, in relation to the weight."""
        return self.count / self.weight


class FairQueue(Generic[T]):
    """The queue at one upstream's gateway."""

    def __init__(self, capacity_requests: int):
        """Makes an empty queue.

        Args:
          capacity_requests: requests of all accounts that may wait.
        """
        self._capacity_requests = capacity_requests
        self._lines: dict[str, _Line[T]] = {}
        self._order = itertools.count()
        self._virtual_time = 0.0
        self._heads: list[tuple[float, int, str]] = []
        self._deadlines: list[tuple[float, int, Waiting[T]]] = []
        self._backlogs: list[tuple[float, int, str]] = []
        self._size = 0
        self._active_weight = 0.0

    def __len__(self) -> int:
        return self._size

    def waiting_of(self, account: str) -> int:
        """Returns how many requests of an account wait."""
        line = self._lines.get(account)
        return line.count if line else 0

    def push(
        self,
        account: str,
        weight: float,
        item: T,
        deadline_s: float,
        now_s: float,
        cost: float = 1.0,
        interval_s: float = 0.0,
        service_s: float = 0.0,
    ) -> tuple[Waiting[T] | None, list[Refused[T]]]:
        """Adds a request, and refuses what then has no place.

        Args:
          account: the client account that it runs for.
          weight: the account's share relative to other accounts, above 0.
          item: what `pop` is to return.
          deadline_s: the time by which its answer must be on the way.
          now_s: the time now.
          cost: upstream work that it stands for.
          interval_s: seconds between two requests leaving the queue; 0 when
            that is not known, which refuses nothing early.
          service_s: seconds that an upstream works on one request.

        Returns:
          The place in the queue, None when this request was refused itself,
          and all requests refused. A full queue refuses the newest request of
          the longest line, so that one account cannot keep the others out.
        """
        wait_s = self.wait_s(account, weight, interval_s)
        if now_s + wait_s + service_s > deadline_s:
            reason = (
                errors.Reason.DEADLINE_PASSED
                if now_s >= deadline_s
                else errors.Reason.QUEUE_FULL
            )
            return None, [Refused(item, reason, wait_s)]
        place = self._append(account, weight, item, deadline_s, cost)
        refused: list[Refused[T]] = []
        if self._size > self._capacity_requests:
            victim = self._newest_of_longest_line()
            self._discard(victim)
            refused.append(
                Refused(
                    victim.item,
                    errors.Reason.QUEUE_FULL,
                    self.wait_s(victim.account, 0.0, interval_s),
                )
            )
        return (place if place.queued else None), refused

    def pop(
        self, now_s: float, service_s: float = 0.0
    ) -> tuple[T | None, list[Refused[T]]]:
        """Takes the next request that can still meet its deadline.

        Returns:
          The request, None when none waits, and those refused on the way
          because no answer could come before their deadline.
        """
        refused = self.expire(now_s, service_s)
        line = self._next_line()
        if line is None:
            return None, refused
        place = line.waiting[0]
        self._virtual_time = max(self._virtual_time, line.start)
        line.start += place.cost / line.weight
        line.turn = -1
        self._discard(place)
        if line.count:
            self._take_turn(line)
        return place.item, refused

    def expire(self, now_s: float, service_s: float = 0.0) -> list[Refused[T]]:
        """Refuses every request whose deadline can no longer be met."""
        refused = []
        while self._deadlines:
            deadline_s, _, place = self._deadlines[0]
            if place.queued and deadline_s >= now_s + service_s:
                break
            heapq.heappop(self._deadlines)
            if place.queued:
                self._discard(place)
                refused.append(
                    Refused(place.item, errors.Reason.DEADLINE_PASSED)
                )
        return refused

    def remove(self, place: Waiting[T]) -> bool:
        """Removes a cancelled request; False when it has left already.

        True is a proof that the request was not sent.
        """
        if not place.queued:
            return False
        self._discard(place)
        return True

    def drain(self, reason: errors.Reason) -> list[Refused[T]]:
        """Refuses everything that waits, for instance on a handover."""
        refused = []
        for line in list(self._lines.values()):
            for place in list(line.waiting):
                if place.queued:
                    self._discard(place)
                    refused.append(Refused(place.item, reason))
        return refused

    def wait_s(self, account: str, weight: float, interval_s: float) -> float:
        """Returns the wait to expect for one more request of an account."""
        line = self._lines.get(account)
        ahead = line.count if line else 0
        own_weight = line.weight if line else weight
        active_weight = self._active_weight
        if not ahead:
            active_weight += own_weight
        if own_weight <= 0:
            return 0.0
        fair_wait = ahead * active_weight / own_weight * interval_s
        return min(fair_wait, self._size * interval_s)

    def _append(
        self,
        account: str,
        weight: float,
        item: T,
        deadline_s: float,
        cost: float,
    ) -> Waiting[T]:
        line = self._lines.get(account)
        if line is None:
            line = self._lines[account] = _Line(account, weight)
        place = Waiting(account, item, deadline_s, cost, next(self._order))
        line.waiting.append(place)
        line.count += 1
        self._size += 1
        if line.count == 1:
            self._wake(line, weight)
        heapq.heappush(self._deadlines, (deadline_s, place.order, place))
        self._note_backlog(line)
        self._compact()
        return place

    def _wake(self, line: _Line[T], weight: float) -> None:
        line.weight = weight
        self._active_weight += weight
        # An account that slept gets no credit for the time it sent nothing,
        # and one that emptied its line a moment ago still pays for that.
        line.start = max(self._virtual_time, line.start)
        self._take_turn(line)

    def _take_turn(self, line: _Line[T]) -> None:
        line.turn = next(self._order)
        heapq.heappush(self._heads, (line.start, line.turn, line.account))

    def _next_line(self) -> _Line[T] | None:
        while self._heads:
            _, turn, account = heapq.heappop(self._heads)
            line = self._lines.get(account)
            if line is not None and line.turn == turn:
                return line
        return None

    def _discard(self, place: Waiting[T]) -> None:
        place.queued = False
        line = self._lines[place.account]
        line.count -= 1
        self._size -= 1
        while line.waiting and not line.waiting[0].queued:
            line.waiting.popleft()
        while line.waiting and not line.waiting[-1].queued:
            line.waiting.pop()
        if line.count:
            self._note_backlog(line)
            return
        line.turn = -1
        self._active_weight -= line.weight
        self._forget_idle(line)

    def _forget_idle(self, line: _Line[T]) -> None:
        if not self._size:
            self._lines.clear()
            self._virtual_time = 0.0
            self._active_weight = 0.0
        elif line.start <= self._virtual_time:
            # Forgetting a line sooner would let an account that empties it
            # start again without having paid for what it sent.
            del self._lines[line.account]

    def _note_backlog(self, line: _Line[T]) -> None:
        entry = (-line.backlog(), next(self._order), line.account)
        heapq.heappush(self._backlogs, entry)

    def _newest_of_longest_line(self) -> Waiting[T]:
        while True:
            backlog, _, account = self._backlogs[0]
            line = self._lines.get(account)
            if line is not None and line.count and -backlog == line.backlog():
                return line.waiting[-1]
            heapq.heappop(self._backlogs)

    def _compact(self) -> None:
        limit = STALE_FACTOR * (self._size + 16)
        if len(self._heads) > limit:
            self._heads = [
                (line.start, line.turn, line.account)
                for line in self._lines.values()
                if line.count
            ]
            heapq.heapify(self._heads)
        if len(self._deadlines) > limit:
            self._deadlines = [
                entry for entry in self._deadlines if entry[2].queued
            ]
            heapq.heapify(self._deadlines)
        if len(self._backlogs) > limit:
            self._backlogs = []
            for line in self._lines.values():
                if line.count:
                    self._note_backlog(line)
        if len(self._lines) > limit:
            self._forget_paid()

    def _forget_paid(self) -> None:
        self._lines = {
            account: line
            for account, line in self._lines.items()
            if line.count or line.start > self._virtual_time
        }
