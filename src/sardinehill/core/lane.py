"""All decisions about one upstream at its gateway, joined in one state.

A lane is the queue before an upstream, the requests in flight at it, its
concurrency limit and its cold-start ramp. The daemon asks it what to send
and tells it what became of each request.
"""

import dataclasses
import enum
from typing import Generic
from typing import TypeVar

from sardinehill import errors
from sardinehill.core import fair_queue
from sardinehill.core import fleet
from sardinehill.core import limits
from sardinehill.core import messages
from sardinehill.core import ramp

T = TypeVar("T")

AT_UPSTREAM_QUEUE_REQUESTS = 1
# What an answer's way home may take of the time that is left for it.
WAY_HOME_S = 0.01
CANCEL_SETTLES_S = 1.0
SENDINGS_MAX = 3
FORGET_LATENCY_S = 1.0
# Time kept for an answer, over the latency of late, before it is too late.
SERVICE_MARGIN = 1.5


class Fate(enum.Enum):
    """What became of one sending of a request to an upstream."""

    ANSWERED = "answered"
    SHED = "shed"
    COLD = "cold"
    OTHERWISE_NOT_RUN = "otherwise-not-run"
    NOT_SENT = "not-sent"
    LOST = "lost"
    TIMED_OUT = "timed-out"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The fate of one sending, and the answer that it gives the caller.

    Attributes:
      fate: what became of it.
      answer: the answer to pass on.
      incarnation: the upstream's, empty when no whole answer came.
    """

    fate: Fate
    answer: messages.ForwardAnswer
    incarnation: str = ""


def may_send_again(outcome: Outcome, sendings: int) -> bool:
    """Returns whether a request goes back into its lane's queue.

    Only a proof that nothing ran allows it. A lane has the one upstream that
    may run the request, so waiting in its queue costs nobody anything, where
    a refusal would make the caller come back through the whole fleet.
    """
    proven = outcome.fate in (Fate.SHED, Fate.COLD, Fate.NOT_SENT)
    return proven and sendings < SENDINGS_MAX


def ramp_policy(service: fleet.Service) -> ramp.RampPolicy:
    """Returns the cold-start ramp of a service's upstreams."""
    full = service.slots + AT_UPSTREAM_QUEUE_REQUESTS
    return ramp.RampPolicy(
        cold_start_requests=min(service.cold_start_requests, full),
        full_requests=full,
    )


class Lane(Generic[T]):
    """The queue, the requests in flight and the limits of one upstream."""

    def __init__(
        self,
        service: fleet.Service,
        now_s: float,
        handover: ramp.Handover | None = None,
    ):
        """Makes a lane with an empty queue.

        Args:
          service: the upstream's service.
          now_s: when this daemon became the gateway.
          handover: what the old gateway said, or None when it was lost.
        """
        self._queue: fair_queue.FairQueue[T] = fair_queue.FairQueue(
            service.queue_requests
        )
        self._limit = limits.AdaptiveLimit(
            limits.LimitPolicy(service.slots, AT_UPSTREAM_QUEUE_REQUESTS)
        )
        self._in_flight = limits.InFlight(orphan_s=CANCEL_SETTLES_S)
        self._recent_latency_s = 0.0
        self._answered_s = now_s
        self._open = True
        self.ramp = ramp.Ramp(ramp_policy(service), now_s, handover)

    @property
    def is_open(self) -> bool:
        """Whether this daemon may still send to the upstream."""
        return self._open

    def allowed(self, now_s: float) -> int:
        """Returns how many requests may be in flight now."""
        return min(self.ramp.allowance(now_s), self._limit.requests)

    def waiting(self, now_s: float) -> int:
        """Returns requests in the queue and in flight."""
        return len(self._queue) + self._in_flight.count(now_s)

    def queued(self) -> int:
        """Returns how many requests wait in the queue."""
        return len(self._queue)

    def in_flight(self, now_s: float) -> int:
        """Returns how many requests the upstream may be working on."""
        return self._in_flight.count(now_s)

    def latency_s(self, now_s: float) -> float:
        """Returns the latency of late; a frozen upstream's grows by itself.

        A slow moment is forgotten after a silence: an upstream that nobody
        chooses for its latency gives no answers by which it could show that
        the moment is over.
        """
        oldest_s = self._in_flight.oldest_age_s(now_s)
        return max(self._latency_lately_s(now_s), oldest_s)

    def _latency_lately_s(self, now_s: float) -> float:
        recent_s = self._recent_latency_s
        if now_s - self._answered_s > FORGET_LATENCY_S:
            return min(recent_s, self.ramp.usual_latency_s or recent_s)
        return recent_s

    def _service_s(self, now_s: float) -> float:
        """Returns the time to keep for an answer once a request is sent.

        It is 0 at an idle upstream: latency is learnt from answers alone, so
        a latency over every deadline would refuse each request that could
        show that it has fallen, and go on after the overload that caused it.
        """
        if self._in_flight.count(now_s) == 0:
            return 0.0
        return self._latency_lately_s(now_s) * SERVICE_MARGIN

    def push(
        self,
        account: str,
        weight: float,
        item: T,
        deadline_s: float,
        now_s: float,
    ) -> tuple[fair_queue.Waiting[T] | None, list[fair_queue.Refused[T]]]:
        """Puts a request into the queue, and refuses what has no place.

        A request whose answer could not come in time is refused at once: an
        upstream that works on answers nobody waits for serves no one, and
        the caller learns early that nothing ran.
        """
        latency_s = self.latency_s(now_s)
        return self._queue.push(
            account,
            weight,
            item,
            deadline_s - WAY_HOME_S,
            now_s,
            interval_s=latency_s / max(1, self.allowed(now_s)),
            service_s=self._service_s(now_s),
        )

    def take(
        self, now_s: float
    ) -> tuple[T | None, list[fair_queue.Refused[T]]]:
        """Returns the request to send now, and those refused meanwhile."""
        room = self.allowed(now_s) - self._in_flight.count(now_s)
        if not self._open or room <= 0:
            return None, self._queue.expire(now_s)
        return self._queue.pop(now_s, self._service_s(now_s))

    def remove(self, place: fair_queue.Waiting[T]) -> bool:
        """Removes a cancelled request; True proves that it was not sent."""
        return self._queue.remove(place)

    def began(self, request_id: str, now_s: float, deadline_s: float) -> None:
        """Counts a request, before its first byte is written."""
        self._in_flight.sent(request_id, now_s, deadline_s)

    def ended(
        self, request_id: str, now_s: float, fate: Fate, incarnation: str
    ) -> None:
        """Takes in what became of a request that was sent."""
        latency_s = self._in_flight.age_s(request_id, now_s)
        in_flight = self._in_flight.count(now_s)
        if fate in (Fate.LOST, Fate.TIMED_OUT):
            self._in_flight.abandoned(request_id, now_s)
        else:
            self._in_flight.ended(request_id)
        restarted = False
        if fate is Fate.ANSWERED:
            restarted = self.ramp.answered(now_s, incarnation, latency_s)
            usual_s = self.ramp.usual_latency_s
            self._limit.answered(latency_s, usual_s, in_flight)
            self._learn_latency(latency_s)
            self._answered_s = now_s
        elif fate is Fate.SHED:
            self._limit.shed(now_s)
            restarted = self.ramp.refused(now_s, incarnation)
        elif fate is Fate.COLD:
            self.ramp.refused_cold(now_s)
        elif fate is Fate.OTHERWISE_NOT_RUN:
            restarted = self.ramp.refused(now_s, incarnation)
        elif fate is Fate.NOT_SENT:
            # Nothing listens, so nothing is gained by trying at once again.
            self.ramp.refused_cold(now_s)
        elif fate is Fate.LOST:
            self.ramp.connection_lost(now_s)
        if restarted:
            self._in_flight.upstream_restarted()

    def orphans(self, now_s: float) -> list[str]:
        """Returns ids of requests that nobody waits for any more."""
        return self._in_flight.orphans(now_s)

    def orphan_ended(self, request_id: str) -> None:
        """Takes in that the upstream does not work on a request any more."""
        self._in_flight.ended(request_id)

    def orphan_cancelled(self, request_id: str, now_s: float) -> None:
        """Takes in that the upstream knows of the cancel, but still runs."""
        self._in_flight.ends_by(request_id, now_s + CANCEL_SETTLES_S)

    def close(self, reason: errors.Reason) -> list[fair_queue.Refused[T]]:
        """Stops sending for good, and refuses what waits."""
        self._open = False
        return self._queue.drain(reason)

    def drain(self, reason: errors.Reason) -> list[fair_queue.Refused[T]]:
        """Refuses what waits; the upstream was taken out."""
        return self._queue.drain(reason)

    def hand_over(self, now_s: float) -> ramp.Handover:
        """Returns what the next gateway has to know; call `close` first."""
        return self.ramp.hand_over(
            now_s,
            self._in_flight.count(now_s),
            self._in_flight.longest_left_s(now_s) + CANCEL_SETTLES_S,
        )

    def _learn_latency(self, latency_s: float) -> None:
        if self._recent_latency_s <= 0:
            self._recent_latency_s = latency_s
            return
        self._recent_latency_s += 0.3 * (latency_s - self._recent_latency_s)
