"""Limits the requests in flight at one upstream, and counts them.

All requests of an upstream pass through one gateway, so the gateway's own count
of requests in flight is exact. Load reports are not used here, because they
lag, and those of a straggler understate its load.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class AdaptiveLimitPolicy:
    """The bounds of an upstream's concurrency limit.

    Attributes:
      slots: requests that the upstream works on at once.
      backlog_requests: requests in flight beyond the slots, which keep a slot
        from idling while an answer and the next request travel.
      shed_factor: the factor applied to the limit on a refusal because of load.
      shed_cut_interval_s: the minimum time between two such cuts, since one
        overload causes a burst of refusals.
      slow_latency_ratio: latency relative to the baseline above which the
        backlog is dropped.
    """

    slots: int
    backlog_requests: int = 1
    shed_factor: float = 0.7
    shed_cut_interval_s: float = 0.1
    slow_latency_ratio: float = 2.5


class AdaptiveLimit:
    """A concurrency limit that follows refusals and latency.

    A refusal because of load cuts the limit, down to one request. Slowness
    alone cuts it to the slots and no further: a straggler serves as many
    requests at once as before, only slower, so a smaller limit would lengthen
    its queue without speeding up a single answer.
    """

    def __init__(self, policy: AdaptiveLimitPolicy):
        self._policy = policy
        self._limit = float(policy.slots)
        self._last_cut_s = -math.inf

    @property
    def limit_requests(self) -> int:
        """The current limit of requests in flight, at least 1."""
        return max(1, int(self._limit))

    def record_answer(
        self, latency_s: float, baseline_latency_s: float, in_flight: int
    ) -> None:
        """Records a good answer.

        Args:
          latency_s: its latency.
          baseline_latency_s: the upstream's baseline latency, or 0 if unknown.
          in_flight: requests in flight when it was sent, itself included.
        """
        threshold_s = baseline_latency_s * self._policy.slow_latency_ratio
        if baseline_latency_s > 0 and latency_s > threshold_s:
            self._limit = min(self._limit, float(self._policy.slots))
            return
        # A limit that was not reached says nothing about a higher one.
        if in_flight < self.limit_requests:
            return
        ceiling = self._policy.slots + self._policy.backlog_requests
        self._limit = min(float(ceiling), self._limit + 1 / self._limit)

    def record_shed(self, now_s: float) -> None:
        """Records that the upstream refused a request because of load."""
        if now_s - self._last_cut_s < self._policy.shed_cut_interval_s:
            return
        self._last_cut_s = now_s
        self._limit = max(1.0, self._limit * self._policy.shed_factor)


@dataclasses.dataclass
class _SentRequest:
    sent_s: float
    ends_s: float


class InFlightRequests:
    """The requests that an upstream may be working on.

    A request whose caller has gone or whose deadline has passed still counts
    until the upstream reports its end, or until it must have ended: an upstream
    that was frozen continues to process everything that was sent to it.
    """

    def __init__(self, orphan_ttl_s: float = 10.0):
        """Starts with no requests.

        Args:
          orphan_ttl_s: how long an abandoned request counts when the upstream
            does not report its end.
        """
        self._orphan_ttl_s = orphan_ttl_s
        self._sent: dict[str, _SentRequest] = {}
        self._orphans: dict[str, _SentRequest] = {}

    def add(self, request_id: str, now_s: float, deadline_s: float) -> None:
        """Counts a request.

        This must be called before the request's first byte is written.
        """
        self._sent[request_id] = _SentRequest(now_s, deadline_s)

    def remove(self, request_id: str) -> None:
        """Removes a request that was answered or never reached the upstream."""
        self._sent.pop(request_id, None)
        self._orphans.pop(request_id, None)

    def abandon(self, request_id: str, now_s: float) -> None:
        """Keeps counting a request that nobody waits for any more."""
        sent = self._sent.pop(request_id, None)
        if sent is not None:
            ends_s = max(sent.ends_s, now_s) + self._orphan_ttl_s
            self._orphans[request_id] = _SentRequest(sent.sent_s, ends_s)

    def clear_orphans(self) -> None:
        """Drops abandoned requests after a restart of the upstream."""
        self._orphans.clear()

    def orphan_ids(self, now_s: float) -> list[str]:
        """Returns the ids of abandoned requests that still count."""
        self._expire(now_s)
        return list(self._orphans)

    def count(self, now_s: float) -> int:
        """Returns how many requests the upstream may be working on."""
        self._expire(now_s)
        return len(self._sent) + len(self._orphans)

    def age_s(self, request_id: str, now_s: float) -> float:
        """Returns the time since a request was sent.

        It is 0 for a request that is unknown or abandoned.
        """
        sent = self._sent.get(request_id)
        return 0.0 if sent is None else now_s - sent.sent_s

    def limit_orphan_end(self, request_id: str, time_s: float) -> None:
        """Lowers the time by which an abandoned request must have ended."""
        orphan = self._orphans.get(request_id)
        if orphan is not None:
            orphan.ends_s = min(orphan.ends_s, time_s)

    def oldest_age_s(self, now_s: float) -> float:
        """Returns the age of the oldest request that is waited for, or 0."""
        if not self._sent:
            return 0.0
        oldest_s = min(sent.sent_s for sent in self._sent.values())
        return now_s - oldest_s

    def drain_time_s(self, now_s: float) -> float:
        """Returns the seconds until the last request must have ended."""
        requests = [*self._sent.values(), *self._orphans.values()]
        return max(
            (max(0.0, sent.ends_s - now_s) for sent in requests),
            default=0.0,
        )

    def _expire(self, now_s: float) -> None:
        expired = [
            request_id
            for request_id, orphan in self._orphans.items()
            if orphan.ends_s <= now_s
        ]
        for request_id in expired:
            del self._orphans[request_id]
