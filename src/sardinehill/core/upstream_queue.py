"""Decides at the gateway which requests are sent to one upstream.

An upstream queue combines the fair queue of waiting requests, the requests in
flight, the concurrency limit and the cold-start ramp of one upstream. The
daemon asks it which request to send next and reports the result of each.
"""

import dataclasses
import enum
from typing import Generic
from typing import TypeVar

from sardinehill import errors
from sardinehill.core import concurrency_limit
from sardinehill.core import fair_queue
from sardinehill.core import fleet
from sardinehill.core import forward_messages
from sardinehill.core import ramp

T = TypeVar("T")

UPSTREAM_BACKLOG_REQUESTS = 1
# Time reserved for the answer to travel back before the deadline.
RETURN_MARGIN_S = 0.01
# How long a request still counts as in flight after its deadline or its
# cancellation, if the upstream does not report its end.
CANCEL_SETTLE_TIMEOUT_S = 1.0
MAX_SEND_ATTEMPTS = 3
# How long after the last answer a recent latency above the baseline is used.
RECENT_LATENCY_TTL_S = 1.0
# Time reserved for an answer, relative to the recent latency. A request with
# less time left is refused.
SERVICE_TIME_MARGIN_RATIO = 1.5


class SendDisposition(enum.Enum):
    """How sending a request to an upstream ended.

    Attributes:
      ANSWERED: the upstream answered.
      SHED: the upstream refused it because of load.
      COLD: the upstream refused it because it is cold.
      OTHER_NOT_RUN: the upstream refused it for another reason.
      NOT_SENT: no connection could be made.
      LOST: the connection was lost, or the answer was not valid.
      TIMED_OUT: no complete answer arrived before the deadline.
    """

    ANSWERED = "answered"
    SHED = "shed"
    COLD = "cold"
    OTHER_NOT_RUN = "otherwise-not-run"
    NOT_SENT = "not-sent"
    LOST = "lost"
    TIMED_OUT = "timed-out"


@dataclasses.dataclass(frozen=True)
class SendResult:
    """The disposition of one send and the answer for the caller.

    Attributes:
      disposition: how the send ended.
      answer: the answer to pass on.
      incarnation: the upstream's incarnation, empty when no complete answer
        came.
    """

    disposition: SendDisposition
    answer: forward_messages.ForwardAnswer
    incarnation: str = ""


def may_requeue(result: SendResult, attempts: int) -> bool:
    """Returns whether a request goes back into its upstream's queue.

    This requires proof that nothing ran. Only one upstream may run the request,
    so waiting in its queue costs nothing, whereas a refusal would make the
    caller retry through the whole fleet.
    """
    proven_not_run = result.disposition in (
        SendDisposition.SHED,
        SendDisposition.COLD,
        SendDisposition.NOT_SENT,
    )
    return proven_not_run and attempts < MAX_SEND_ATTEMPTS


def ramp_policy(service: fleet.ServiceConfig) -> ramp.RampPolicy:
    """Returns the cold-start ramp policy of a service's upstreams."""
    full = service.slots + UPSTREAM_BACKLOG_REQUESTS
    return ramp.RampPolicy(
        cold_start_requests=min(service.cold_start_requests, full),
        full_requests=full,
    )


class UpstreamQueue(Generic[T]):
    """The queue, the requests in flight and the limits of one upstream."""

    def __init__(
        self,
        service: fleet.ServiceConfig,
        now_s: float,
        handover: ramp.Handover | None = None,
    ):
        """Creates an empty queue.

        Args:
          service: the upstream's service.
          now_s: when this daemon became the gateway.
          handover: what the old gateway reported, or None when it was lost.
        """
        self._queue: fair_queue.FairQueue[T] = fair_queue.FairQueue(
            service.queue_requests
        )
        self._limit = concurrency_limit.AdaptiveLimit(
            concurrency_limit.AdaptiveLimitPolicy(
                service.slots, UPSTREAM_BACKLOG_REQUESTS
            )
        )
        self._in_flight = concurrency_limit.InFlightRequests(
            orphan_ttl_s=CANCEL_SETTLE_TIMEOUT_S
        )
        self._recent_latency_s = 0.0
        self._last_answer_s = now_s
        self._open = True
        self.ramp = ramp.Ramp(ramp_policy(service), now_s, handover)

    @property
    def is_open(self) -> bool:
        """Whether this daemon may still send to the upstream."""
        return self._open

    def allowed_in_flight(self, now_s: float) -> int:
        """Returns how many requests may be in flight now."""
        return min(
            self.ramp.allowed_in_flight(now_s), self._limit.limit_requests
        )

    def pending_requests(self, now_s: float) -> int:
        """Returns how many requests are queued or in flight."""
        return len(self._queue) + self._in_flight.count(now_s)

    def queued_requests(self) -> int:
        """Returns how many requests wait in the queue."""
        return len(self._queue)

    def in_flight_requests(self, now_s: float) -> int:
        """Returns how many requests the upstream may be working on."""
        return self._in_flight.count(now_s)

    def latency_s(self, now_s: float) -> float:
        """Returns the recent latency, which grows while an upstream is frozen.

        A high latency expires when no answers arrive. Otherwise an upstream
        that is not selected because of its latency could never show that it has
        recovered.
        """
        oldest_s = self._in_flight.oldest_age_s(now_s)
        return max(self._current_latency_s(now_s), oldest_s)

    def _current_latency_s(self, now_s: float) -> float:
        recent_s = self._recent_latency_s
        if now_s - self._last_answer_s > RECENT_LATENCY_TTL_S:
            return min(recent_s, self.ramp.baseline_latency_s or recent_s)
        return recent_s

    def _expected_service_s(self, now_s: float) -> float:
        """Returns the time to reserve for an answer once a request is sent.

        It is 0 at an idle upstream. Latency is learned only from answers, so a
        latency above every deadline would otherwise refuse each request that
        could show a lower one, and refusals would outlast the overload that
        caused them.
        """
        if self._in_flight.count(now_s) == 0:
            return 0.0
        return self._current_latency_s(now_s) * SERVICE_TIME_MARGIN_RATIO

    def push(
        self,
        account: str,
        weight: float,
        item: T,
        deadline_s: float,
        now_s: float,
    ) -> tuple[
        fair_queue.QueuedRequest[T] | None, list[fair_queue.RefusedRequest[T]]
    ]:
        """Queues a request and refuses those that no longer fit.

        A request whose answer could not arrive in time is refused at once. An
        upstream gains nothing by working on answers that nobody waits for, and
        the caller learns early that nothing ran.
        """
        latency_s = self.latency_s(now_s)
        return self._queue.push(
            account,
            weight,
            item,
            deadline_s - RETURN_MARGIN_S,
            now_s,
            departure_interval_s=latency_s
            / max(1, self.allowed_in_flight(now_s)),
            service_time_s=self._expected_service_s(now_s),
        )

    def pop(
        self, now_s: float
    ) -> tuple[T | None, list[fair_queue.RefusedRequest[T]]]:
        """Returns the request to send now and those refused meanwhile."""
        spare_requests = self.allowed_in_flight(now_s) - self._in_flight.count(
            now_s
        )
        if not self._open or spare_requests <= 0:
            return None, self._queue.expire(now_s)
        return self._queue.pop(now_s, self._expected_service_s(now_s))

    def remove(self, request: fair_queue.QueuedRequest[T]) -> bool:
        """Removes a cancelled request; True proves that it was not sent."""
        return self._queue.remove(request)

    def record_send(
        self, request_id: str, now_s: float, deadline_s: float
    ) -> None:
        """Counts a request as in flight.

        This must be called before the request's first byte is written.
        """
        self._in_flight.add(request_id, now_s, deadline_s)

    def record_result(
        self,
        request_id: str,
        now_s: float,
        disposition: SendDisposition,
        incarnation: str,
    ) -> None:
        """Records how a request that was sent has ended."""
        latency_s = self._in_flight.age_s(request_id, now_s)
        in_flight = self._in_flight.count(now_s)
        if disposition in (SendDisposition.LOST, SendDisposition.TIMED_OUT):
            self._in_flight.abandon(request_id, now_s)
        else:
            self._in_flight.remove(request_id)
        restarted = False
        if disposition is SendDisposition.ANSWERED:
            restarted = self.ramp.record_answer(now_s, incarnation, latency_s)
            baseline_s = self.ramp.baseline_latency_s
            self._limit.record_answer(latency_s, baseline_s, in_flight)
            self._learn_latency(latency_s)
            self._last_answer_s = now_s
        elif disposition is SendDisposition.SHED:
            self._limit.record_shed(now_s)
            restarted = self.ramp.record_refusal(now_s, incarnation)
        elif disposition is SendDisposition.COLD:
            self.ramp.record_cold_refusal(now_s)
        elif disposition is SendDisposition.OTHER_NOT_RUN:
            restarted = self.ramp.record_refusal(now_s, incarnation)
        elif disposition is SendDisposition.NOT_SENT:
            # Nothing is listening, so an immediate retry would fail as well.
            self.ramp.record_cold_refusal(now_s)
        elif disposition is SendDisposition.LOST:
            self.ramp.record_connection_loss(now_s)
        if restarted:
            self._in_flight.clear_orphans()

    def orphan_ids(self, now_s: float) -> list[str]:
        """Returns ids of requests in flight that nobody waits for any more."""
        return self._in_flight.orphan_ids(now_s)

    def record_orphan_end(self, request_id: str) -> None:
        """Records that the upstream no longer works on a request."""
        self._in_flight.remove(request_id)

    def record_orphan_cancel(self, request_id: str, now_s: float) -> None:
        """Records that a cancelled request is still running."""
        self._in_flight.limit_orphan_end(
            request_id, now_s + CANCEL_SETTLE_TIMEOUT_S
        )

    def close(
        self, reason: errors.Reason
    ) -> list[fair_queue.RefusedRequest[T]]:
        """Stops sending permanently and refuses the queued requests."""
        self._open = False
        return self._queue.drain(reason)

    def drain(
        self, reason: errors.Reason
    ) -> list[fair_queue.RefusedRequest[T]]:
        """Refuses the queued requests of an upstream that was taken out."""
        return self._queue.drain(reason)

    def make_handover(self, now_s: float) -> ramp.Handover:
        """Returns what the next gateway needs to know; call `close` first."""
        return self.ramp.make_handover(
            now_s,
            self._in_flight.count(now_s),
            self._in_flight.drain_time_s(now_s) + CANCEL_SETTLE_TIMEOUT_S,
        )

    def _learn_latency(self, latency_s: float) -> None:
        if self._recent_latency_s <= 0:
            self._recent_latency_s = latency_s
            return
        self._recent_latency_s += 0.3 * (latency_s - self._recent_latency_s)
