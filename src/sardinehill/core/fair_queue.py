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
MAX_STALE_RATIO = 4


@dataclasses.dataclass(eq=False)
class QueuedRequest(Generic[T]):
    """One request in the queue.

    Attributes:
      account: the client account that it runs for.
      item: what the owner of the queue put in.
      deadline_s: the time by which its answer must be on the way.
      cost: upstream work that it stands for, relative to other requests.
      sequence: tells requests apart in order of arrival.
      queued: False once it was taken, refused or removed.
    """

    account: str
    item: T
    deadline_s: float
    cost: float
    sequence: int
    queued: bool = True


@dataclasses.dataclass(frozen=True)
class RefusedRequest(Generic[T]):
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
class _AccountQueue(Generic[T]):
    """The requests of one account that wait, oldest first.

    Attributes:
      account: the client account.
      weight: its share relative to other accounts.
      start: the virtual start of its oldest request.
      heap_entry_id: the one entry among the heads that is not stale.
      requests: its requests; those in the middle may have left already.
      count: how many of them wait.
    """

    account: str
    weight: float
    start: float = 0.0
    heap_entry_id: int = -1
    requests: collections.deque[QueuedRequest[T]] = dataclasses.field(
        default_factory=collections.deque
    )
    count: int = 0

    def weighted_length(self) -> float:
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
        self._account_queues: dict[str, _AccountQueue[T]] = {}
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._start_heap: list[tuple[float, int, str]] = []
        self._deadline_heap: list[tuple[float, int, QueuedRequest[T]]] = []
        self._length_heap: list[tuple[float, int, str]] = []
        self._size = 0
        self._active_weight = 0.0

    def __len__(self) -> int:
        return self._size

    def queued_for(self, account: str) -> int:
        """Returns how many requests of an account wait."""
        line = self._account_queues.get(account)
        return line.count if line else 0

    def push(
        self,
        account: str,
        weight: float,
        item: T,
        deadline_s: float,
        now_s: float,
        cost: float = 1.0,
        departure_interval_s: float = 0.0,
        service_time_s: float = 0.0,
    ) -> tuple[QueuedRequest[T] | None, list[RefusedRequest[T]]]:
        """Adds a request, and refuses what then has no place.

        Args:
          account: the client account that it runs for.
          weight: the account's share relative to other accounts, above 0.
          item: what `pop` is to return.
          deadline_s: the time by which its answer must be on the way.
          now_s: the time now.
          cost: upstream work that it stands for.
          departure_interval_s: seconds between two requests leaving the queue; 0 when
            that is not known, which refuses nothing early.
          service_time_s: seconds that an upstream works on one request.

        Returns:
          The place in the queue, None when this request was refused itself,
          and all requests refused. A full queue refuses the newest request of
          the longest line, so that one account cannot keep the others out.
        """
        wait_s = self.expected_wait_s(account, weight, departure_interval_s)
        if now_s + wait_s + service_time_s > deadline_s:
            reason = (
                errors.Reason.DEADLINE_PASSED
                if now_s >= deadline_s
                else errors.Reason.QUEUE_FULL
            )
            return None, [RefusedRequest(item, reason, wait_s)]
        place = self._append(account, weight, item, deadline_s, cost)
        refused: list[RefusedRequest[T]] = []
        if self._size > self._capacity_requests:
            victim = self._newest_of_longest_queue()
            self._discard(victim)
            refused.append(
                RefusedRequest(
                    victim.item,
                    errors.Reason.QUEUE_FULL,
                    self.expected_wait_s(
                        victim.account, 0.0, departure_interval_s
                    ),
                )
            )
        return (place if place.queued else None), refused

    def pop(
        self, now_s: float, service_time_s: float = 0.0
    ) -> tuple[T | None, list[RefusedRequest[T]]]:
        """Takes the next request that can still meet its deadline.

        Returns:
          The request, None when none waits, and those refused on the way
          because no answer could come before their deadline.
        """
        refused = self.expire(now_s, service_time_s)
        line = self._next_account_queue()
        if line is None:
            return None, refused
        place = line.requests[0]
        self._virtual_time = max(self._virtual_time, line.start)
        line.start += place.cost / line.weight
        line.heap_entry_id = -1
        self._discard(place)
        if line.count:
            self._schedule(line)
        return place.item, refused

    def expire(
        self, now_s: float, service_time_s: float = 0.0
    ) -> list[RefusedRequest[T]]:
        """Refuses every request whose deadline can no longer be met."""
        refused = []
        while self._deadline_heap:
            deadline_s, _, place = self._deadline_heap[0]
            if place.queued and deadline_s >= now_s + service_time_s:
                break
            heapq.heappop(self._deadline_heap)
            if place.queued:
                self._discard(place)
                refused.append(
                    RefusedRequest(place.item, errors.Reason.DEADLINE_PASSED)
                )
        return refused

    def remove(self, place: QueuedRequest[T]) -> bool:
        """Removes a cancelled request; False when it has left already.

        True is a proof that the request was not sent.
        """
        if not place.queued:
            return False
        self._discard(place)
        return True

    def drain(self, reason: errors.Reason) -> list[RefusedRequest[T]]:
        """Refuses everything that waits, for instance on a handover."""
        refused = []
        for line in list(self._account_queues.values()):
            for place in list(line.requests):
                if place.queued:
                    self._discard(place)
                    refused.append(RefusedRequest(place.item, reason))
        return refused

    def expected_wait_s(
        self, account: str, weight: float, departure_interval_s: float
    ) -> float:
        """Returns the wait to expect for one more request of an account."""
        line = self._account_queues.get(account)
        ahead = line.count if line else 0
        own_weight = line.weight if line else weight
        active_weight = self._active_weight
        if not ahead:
            active_weight += own_weight
        if own_weight <= 0:
            return 0.0
        fair_wait = ahead * active_weight / own_weight * departure_interval_s
        return min(fair_wait, self._size * departure_interval_s)

    def _append(
        self,
        account: str,
        weight: float,
        item: T,
        deadline_s: float,
        cost: float,
    ) -> QueuedRequest[T]:
        line = self._account_queues.get(account)
        if line is None:
            line = self._account_queues[account] = _AccountQueue(
                account, weight
            )
        place = QueuedRequest(
            account, item, deadline_s, cost, next(self._sequence)
        )
        line.requests.append(place)
        line.count += 1
        self._size += 1
        if line.count == 1:
            self._activate(line, weight)
        heapq.heappush(self._deadline_heap, (deadline_s, place.sequence, place))
        self._push_length(line)
        self._compact()
        return place

    def _activate(self, line: _AccountQueue[T], weight: float) -> None:
        line.weight = weight
        self._active_weight += weight
        # An account that slept gets no credit for the time it sent nothing,
        # and one that emptied its line a moment ago still pays for that.
        line.start = max(self._virtual_time, line.start)
        self._schedule(line)

    def _schedule(self, line: _AccountQueue[T]) -> None:
        line.heap_entry_id = next(self._sequence)
        heapq.heappush(
            self._start_heap, (line.start, line.heap_entry_id, line.account)
        )

    def _next_account_queue(self) -> _AccountQueue[T] | None:
        while self._start_heap:
            _, turn, account = heapq.heappop(self._start_heap)
            line = self._account_queues.get(account)
            if line is not None and line.heap_entry_id == turn:
                return line
        return None

    def _discard(self, place: QueuedRequest[T]) -> None:
        place.queued = False
        line = self._account_queues[place.account]
        line.count -= 1
        self._size -= 1
        while line.requests and not line.requests[0].queued:
            line.requests.popleft()
        while line.requests and not line.requests[-1].queued:
            line.requests.pop()
        if line.count:
            self._push_length(line)
            return
        line.heap_entry_id = -1
        self._active_weight -= line.weight
        self._remove_if_settled(line)

    def _remove_if_settled(self, line: _AccountQueue[T]) -> None:
        if not self._size:
            self._account_queues.clear()
            self._virtual_time = 0.0
            self._active_weight = 0.0
        elif line.start <= self._virtual_time:
            # Forgetting a line sooner would let an account that empties it
            # start again without having paid for what it sent.
            del self._account_queues[line.account]

    def _push_length(self, line: _AccountQueue[T]) -> None:
        entry = (-line.weighted_length(), next(self._sequence), line.account)
        heapq.heappush(self._length_heap, entry)

    def _newest_of_longest_queue(self) -> QueuedRequest[T]:
        while True:
            backlog, _, account = self._length_heap[0]
            line = self._account_queues.get(account)
            if (
                line is not None
                and line.count
                and -backlog == line.weighted_length()
            ):
                return line.requests[-1]
            heapq.heappop(self._length_heap)

    def _compact(self) -> None:
        limit = MAX_STALE_RATIO * (self._size + 16)
        if len(self._start_heap) > limit:
            self._start_heap = [
                (line.start, line.heap_entry_id, line.account)
                for line in self._account_queues.values()
                if line.count
            ]
            heapq.heapify(self._start_heap)
        if len(self._deadline_heap) > limit:
            self._deadline_heap = [
                entry for entry in self._deadline_heap if entry[2].queued
            ]
            heapq.heapify(self._deadline_heap)
        if len(self._length_heap) > limit:
            self._length_heap = []
            for line in self._account_queues.values():
                if line.count:
                    self._push_length(line)
        if len(self._account_queues) > limit:
            self._remove_settled_queues()

    def _remove_settled_queues(self) -> None:
        self._account_queues = {
            account: line
            for account, line in self._account_queues.items()
            if line.count or line.start > self._virtual_time
        }
