"""Orders the requests that wait for a slot of one group."""

import bisect
from collections.abc import Hashable
from collections.abc import Iterator
import dataclasses
import heapq

from sardinehill.core.load import slot_demand
from sardinehill.core.load import slot_messages

RequestKey = tuple[Hashable, int]


@dataclasses.dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for a slot.

    Attributes:
      daemon: the sender.
      request: the request.
      number: orders requests by arrival.
      arrived_s: when it arrived.
      deadline_s: when it must have been answered.
      objective_s: when its latency objective is missed.
      expected_start_s: when it is expected to be granted a slot.
      order_key: its place among the requests of its class.
      is_on_time: whether its class is that of requests that can still meet
        their objective.
      is_waiting: whether it still waits.
    """

    daemon: Hashable
    request: slot_messages.SlotRequest
    number: int
    arrived_s: float
    deadline_s: float
    objective_s: float
    expected_start_s: float = 0.0
    order_key: float = 0.0
    is_on_time: bool = False
    is_waiting: bool = True

    @property
    def key(self) -> RequestKey:
        """What identifies it in messages."""
        return self.daemon, self.request.request_id


_Class = list[tuple[float, int, WaitingRequest]]


@dataclasses.dataclass(slots=True)
class _PriorityQueue:
    """The waiting requests of one priority, in three classes.

    Attributes:
      returned: those whose caller was refused before and has come back, by
        slack to the deadline.
      on_time: those that can still meet their objective, by slack to it.
      late: the others, by slack to the deadline.
    """

    returned: _Class = dataclasses.field(default_factory=list)
    on_time: _Class = dataclasses.field(default_factory=list)
    late: _Class = dataclasses.field(default_factory=list)

    def __len__(self) -> int:
        return len(self.returned) + len(self.on_time) + len(self.late)

    def __iter__(self) -> Iterator[WaitingRequest]:
        for requests in (self.returned, self.on_time, self.late):
            for _, _, waiting in requests:
                yield waiting

    def class_of(self, waiting: WaitingRequest) -> _Class:
        """Returns the class that a request is in."""
        if waiting.request.has_returned:
            return self.returned
        return self.on_time if waiting.is_on_time else self.late


class SlotQueue:
    """The waiting requests of one group."""

    def __init__(self) -> None:
        self._by_key: dict[RequestKey, WaitingRequest] = {}
        self._by_priority: dict[int, _PriorityQueue] = {}
        self._priorities: list[int] = []
        self._deadlines: list[tuple[float, int, WaitingRequest]] = []

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self._by_key

    def get(self, key: RequestKey) -> WaitingRequest | None:
        """Returns a waiting request, or None if there is none of that key."""
        return self._by_key.get(key)

    def add(self, waiting: WaitingRequest, now_s: float) -> None:
        """Adds a request."""
        request = waiting.request
        latest_start_s = waiting.objective_s - request.work_s
        waiting.is_on_time = (
            not request.has_returned and latest_start_s >= now_s
        )
        waiting.order_key = (
            latest_start_s
            if waiting.is_on_time
            else waiting.deadline_s - request.work_s
        )
        queue = self._by_priority.get(request.priority)
        if queue is None:
            queue = self._by_priority[request.priority] = _PriorityQueue()
            bisect.insort(self._priorities, request.priority)
        self._by_key[waiting.key] = waiting
        _insert(queue, waiting)
        heapq.heappush(
            self._deadlines, (waiting.deadline_s, waiting.number, waiting)
        )

    def remove(self, waiting: WaitingRequest) -> None:
        """Removes a request that waits."""
        waiting.is_waiting = False
        del self._by_key[waiting.key]
        queue = self._by_priority[waiting.request.priority]
        _remove(queue, waiting)
        if len(self._deadlines) > 2 * len(self._by_key) + 16:
            self._deadlines = [
                item for item in self._deadlines if item[2].is_waiting
            ]
            heapq.heapify(self._deadlines)

    def set_deadline(self, waiting: WaitingRequest, deadline_s: float) -> None:
        """Lets the deadline of a waiting request come earlier."""
        waiting.deadline_s = deadline_s
        heapq.heappush(self._deadlines, (deadline_s, -waiting.number, waiting))

    def remove_daemon(self, daemon: Hashable) -> None:
        """Removes all requests of one sender."""
        for waiting in list(self._by_key.values()):
            if waiting.daemon == daemon:
                self.remove(waiting)

    def update_classes(
        self, slowness: float, queue_wait_s: float, now_s: float
    ) -> None:
        """Moves requests that can no longer meet their objective.

        Args:
          slowness: how long work takes, relative to the usual time.
          queue_wait_s: how long requests wait at the upstream.
          now_s: the current time.
        """
        for queue in self._by_priority.values():
            while queue.on_time:
                waiting = queue.on_time[0][2]
                needed_s = waiting.request.work_s * slowness
                needed_s *= slot_demand.DURATION_MARGIN
                needed_s += 2 * slot_demand.TRANSIT_S + queue_wait_s
                if now_s + needed_s <= waiting.objective_s:
                    break
                del queue.on_time[0]
                waiting.is_on_time = False
                waiting.order_key = waiting.deadline_s - waiting.request.work_s
                _insert(queue, waiting)

    def priorities(self) -> list[int]:
        """Returns the priorities that have waiting requests, by urgency."""
        return [
            priority
            for priority in self._priorities
            if len(self._by_priority[priority])
        ]

    def of_priority(self, priority: int) -> _PriorityQueue:
        """Returns the waiting requests of one priority in their order."""
        return self._by_priority[priority]

    def next_deadline_s(self) -> float | None:
        """Returns the earliest deadline of a waiting request."""
        while self._deadlines and not self._deadlines[0][2].is_waiting:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def past_deadline(self, now_s: float) -> list[WaitingRequest]:
        """Returns the waiting requests whose deadline has passed."""
        # A request whose deadline was set earlier is found twice.
        passed: dict[WaitingRequest, None] = {}
        while True:
            deadline_s = self.next_deadline_s()
            if deadline_s is None or deadline_s > now_s:
                return list(passed)
            passed[heapq.heappop(self._deadlines)[2]] = None


def _insert(queue: _PriorityQueue, waiting: WaitingRequest) -> None:
    bisect.insort(
        queue.class_of(waiting), (waiting.order_key, waiting.number, waiting)
    )


def _remove(queue: _PriorityQueue, waiting: WaitingRequest) -> None:
    requests = queue.class_of(waiting)
    # A tuple of two sorts before the one of three that it begins.
    place = (waiting.order_key, waiting.number)
    del requests[bisect.bisect_left(requests, place)]
