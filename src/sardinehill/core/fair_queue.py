"""Queues requests for one upstream, fairly among client accounts.

The queue uses start-time fair queueing. The oldest request of each account has
a virtual start time, which follows the start of the account's previous request
by that request's cost divided by the account's weight. The request with the
lowest start goes first. A request gets its start only once it is the oldest of
its account, so that a refused or removed request costs its account nothing. An
account that sends ten times its share lengthens only its own queue.

Compared with deficit round robin, this needs a heap, but no quantum for costs
that differ by account, and an account that becomes active goes next instead of
waiting for a whole round.
"""

import collections
import dataclasses
import heapq
import itertools
from typing import Generic
from typing import TypeVar

from sardinehill import errors

T = TypeVar("T")

# A push rebuilds each heap that has more than this many entries per request,
# counting 16 more requests than are queued. This bounds both the memory and the
# cost of a push. If there are more account queues than that, the push removes
# those that are empty and settled.
MAX_HEAP_ENTRIES_RATIO = 4


@dataclasses.dataclass(eq=False)
class QueuedRequest(Generic[T]):
    """One request in the queue.

    Attributes:
      account: the client account that the request belongs to.
      item: the item that the owner of the queue has pushed.
      deadline_s: the time by which the upstream must have answered.
      cost: the upstream work of the request, relative to other requests.
      sequence: the position in order of arrival.
      queued: False once the request was popped, refused or removed.
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
      item: the item that the owner of the queue has pushed.
      reason: why it is refused.
      retry_after_s: seconds until the account's queue may have space.
      verdict: always NOT_RUN.
    """

    item: T
    reason: errors.Reason
    retry_after_s: float = 0.0
    verdict: errors.Verdict = errors.Verdict.NOT_RUN


@dataclasses.dataclass
class _AccountQueue(Generic[T]):
    """The queued requests of one account, oldest first.

    Attributes:
      account: the client account.
      weight: its share relative to other accounts.
      start: the virtual start of its oldest request.
      heap_entry_id: the id of its one valid entry in the heap of starts.
      requests: its requests; those in the middle may already have left.
      count: how many requests are queued.
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
        """Returns the number of queued requests divided by the weight."""
        return self.count / self.weight


class FairQueue(Generic[T]):
    """The queue at one upstream's gateway."""

    def __init__(self, capacity_requests: int):
        """Creates an empty queue.

        Args:
          capacity_requests: how many requests of all accounts may be queued.
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
        """Returns how many requests of an account are queued."""
        queue = self._account_queues.get(account)
        return queue.count if queue else 0

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
        """Adds a request and refuses those that no longer fit.

        Args:
          account: the client account that the request belongs to.
          weight: the account's share relative to other accounts, above 0.
          item: the item that `pop` returns.
          deadline_s: the time by which the upstream must have answered.
          now_s: the current time.
          cost: the upstream work of the request.
          departure_interval_s: seconds between two requests leaving the queue,
            or 0 when unknown, in which case no request is refused early.
          service_time_s: seconds that the upstream works on one request.

        Returns:
          The queued request, or None when it was refused itself, and all
          requests refused. A full queue refuses the newest request of the
          longest account queue relative to its weight, so that one account
          cannot keep the others out.
        """
        wait_s = self.expected_wait_s(account, weight, departure_interval_s)
        if now_s + wait_s + service_time_s > deadline_s:
            reason = (
                errors.Reason.DEADLINE_PASSED
                if now_s >= deadline_s
                else errors.Reason.QUEUE_FULL
            )
            return None, [RefusedRequest(item, reason, wait_s)]
        request = self._append(account, weight, item, deadline_s, cost)
        refused: list[RefusedRequest[T]] = []
        if self._size > self._capacity_requests:
            newest = self._newest_of_longest_queue()
            self._discard(newest)
            refused.append(
                RefusedRequest(
                    newest.item,
                    errors.Reason.QUEUE_FULL,
                    self.expected_wait_s(
                        newest.account, 0.0, departure_interval_s
                    ),
                )
            )
        return (request if request.queued else None), refused

    def pop(
        self, now_s: float, service_time_s: float = 0.0
    ) -> tuple[T | None, list[RefusedRequest[T]]]:
        """Removes the next request that can still meet its deadline.

        Returns:
          The request, or None when none is queued, and the requests refused
          because no answer could arrive before their deadline.
        """
        refused = self.expire(now_s, service_time_s)
        queue = self._next_account_queue()
        if queue is None:
            return None, refused
        request = queue.requests[0]
        self._virtual_time = max(self._virtual_time, queue.start)
        queue.start += request.cost / queue.weight
        queue.heap_entry_id = -1
        self._discard(request)
        if queue.count:
            self._schedule(queue)
        return request.item, refused

    def expire(
        self, now_s: float, service_time_s: float = 0.0
    ) -> list[RefusedRequest[T]]:
        """Refuses every request whose deadline can no longer be met."""
        refused = []
        while self._deadline_heap:
            deadline_s, _, request = self._deadline_heap[0]
            if request.queued and deadline_s >= now_s + service_time_s:
                break
            heapq.heappop(self._deadline_heap)
            if request.queued:
                self._discard(request)
                refused.append(
                    RefusedRequest(request.item, errors.Reason.DEADLINE_PASSED)
                )
        return refused

    def remove(self, request: QueuedRequest[T]) -> bool:
        """Removes a cancelled request; returns False when it has left already.

        True proves that the request was not sent.
        """
        if not request.queued:
            return False
        self._discard(request)
        return True

    def drain(self, reason: errors.Reason) -> list[RefusedRequest[T]]:
        """Refuses all queued requests, for instance on a handover."""
        refused = []
        for queue in list(self._account_queues.values()):
            for request in list(queue.requests):
                if request.queued:
                    self._discard(request)
                    refused.append(RefusedRequest(request.item, reason))
        return refused

    def expected_wait_s(
        self, account: str, weight: float, departure_interval_s: float
    ) -> float:
        """Returns the expected wait of one more request of an account."""
        queue = self._account_queues.get(account)
        ahead = queue.count if queue else 0
        own_weight = queue.weight if queue else weight
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
        queue = self._account_queues.get(account)
        if queue is None:
            queue = self._account_queues[account] = _AccountQueue(
                account, weight
            )
        request = QueuedRequest(
            account, item, deadline_s, cost, next(self._sequence)
        )
        queue.requests.append(request)
        queue.count += 1
        self._size += 1
        if queue.count == 1:
            self._activate(queue, weight)
        heapq.heappush(
            self._deadline_heap, (deadline_s, request.sequence, request)
        )
        self._push_length(queue)
        self._compact()
        return request

    def _activate(self, queue: _AccountQueue[T], weight: float) -> None:
        queue.weight = weight
        self._active_weight += weight
        # An idle account gets no credit for the time it sent nothing, and an
        # account whose queue has just become empty is still charged for its
        # requests.
        queue.start = max(self._virtual_time, queue.start)
        self._schedule(queue)

    def _schedule(self, queue: _AccountQueue[T]) -> None:
        queue.heap_entry_id = next(self._sequence)
        heapq.heappush(
            self._start_heap, (queue.start, queue.heap_entry_id, queue.account)
        )

    def _next_account_queue(self) -> _AccountQueue[T] | None:
        while self._start_heap:
            _, heap_entry_id, account = heapq.heappop(self._start_heap)
            queue = self._account_queues.get(account)
            if queue is not None and queue.heap_entry_id == heap_entry_id:
                return queue
        return None

    def _discard(self, request: QueuedRequest[T]) -> None:
        request.queued = False
        queue = self._account_queues[request.account]
        queue.count -= 1
        self._size -= 1
        while queue.requests and not queue.requests[0].queued:
            queue.requests.popleft()
        while queue.requests and not queue.requests[-1].queued:
            queue.requests.pop()
        if queue.count:
            self._push_length(queue)
            return
        queue.heap_entry_id = -1
        self._active_weight -= queue.weight
        self._remove_if_settled(queue)

    def _remove_if_settled(self, queue: _AccountQueue[T]) -> None:
        if not self._size:
            self._account_queues.clear()
            self._virtual_time = 0.0
            self._active_weight = 0.0
        elif queue.start <= self._virtual_time:
            # If the queue were removed sooner, an account that empties it could
            # start again without being charged for what it sent.
            del self._account_queues[queue.account]

    def _push_length(self, queue: _AccountQueue[T]) -> None:
        entry = (-queue.weighted_length(), next(self._sequence), queue.account)
        heapq.heappush(self._length_heap, entry)

    def _newest_of_longest_queue(self) -> QueuedRequest[T]:
        while True:
            negative_length, _, account = self._length_heap[0]
            queue = self._account_queues.get(account)
            if (
                queue is not None
                and queue.count
                and -negative_length == queue.weighted_length()
            ):
                return queue.requests[-1]
            heapq.heappop(self._length_heap)

    def _compact(self) -> None:
        limit = MAX_HEAP_ENTRIES_RATIO * (self._size + 16)
        if len(self._start_heap) > limit:
            self._start_heap = [
                (queue.start, queue.heap_entry_id, queue.account)
                for queue in self._account_queues.values()
                if queue.count
            ]
            heapq.heapify(self._start_heap)
        if len(self._deadline_heap) > limit:
            self._deadline_heap = [
                entry for entry in self._deadline_heap if entry[2].queued
            ]
            heapq.heapify(self._deadline_heap)
        if len(self._length_heap) > limit:
            self._length_heap = []
            for queue in self._account_queues.values():
                if queue.count:
                    self._push_length(queue)
        if len(self._account_queues) > limit:
            self._remove_settled_queues()

    def _remove_settled_queues(self) -> None:
        self._account_queues = {
            account: queue
            for account, queue in self._account_queues.items()
            if queue.count or queue.start > self._virtual_time
        }
