"""Tracks each upstream's state at one daemon and selects among upstreams.

Every daemon sends to upstreams directly, so it counts only its own requests and
learns of other daemons' requests from the load that upstreams report in their
answers.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

LATENCY_RETENTION_RATIO = 0.85
FAILURE_RETENTION_RATIO = 0.8
# The weight of the earlier slowness when a reported one is averaged in.
HOST_SLOWNESS_RETENTION_RATIO = 0.85
# Requests are sent to a busy upstream while their expected latency is at most
# this part of their latency objective.
OBJECTIVE_RATIO = 0.9
# This many requests may wait for a slot however long that takes, so that a slot
# that becomes free is used at once.
MIN_QUEUED_REQUESTS = 2
# The number of requests beyond its slots that an upstream may have from all
# daemons together.
MAX_QUEUED_REQUESTS = 5
# A load report counts for at least this time, with linearly decreasing weight.
# It counts for longer if the upstream needs longer to serve its queue.
MIN_LOAD_REPORT_TTL_S = 0.4
MAX_LOAD_REPORT_TTL_S = 4.0
# The relative increase in expected latency at a failure ratio of 1.
FAILURE_COST_FACTOR = 4.0
# An upstream that could not be reached gets no requests for at least this time.
# The pause starts with this value and doubles with each further failure to
# reach the upstream, until `record_answer` is called.
MIN_UNREACHABLE_PAUSE_S = 0.4
# The longest pause after a failure to reach an upstream.
MAX_UNREACHABLE_PAUSE_S = 3.0
# After a failure that is not the upstream's own, it gets no requests for this
# time.
LOST_PATH_PAUSE_S = 0.1
# After an upstream reported that it is full, it gets nothing for this time.
FULL_PAUSE_S = 0.03
# The random variation of expected latencies. It prevents all daemons from
# selecting the same upstream.
CHOICE_NOISE_RATIO = 0.25
# How much longer work takes at a cold upstream.
COLD_COST_FACTOR = 2.5
# An upstream that resets a new connection has reached its connection limit. It
# gets one request at a time for this time.
RESET_SINGLE_REQUEST_S = 1.0
# A reset without an answer counts as a queue of this many requests, and for at
# least this time.
RESET_QUEUE_REQUESTS = 2 * MAX_QUEUED_REQUESTS
RESET_REPORT_TTL_S = 1.0
# Upstreams keep the connections of daemons that lost power for some seconds, so
# all daemons together open only this ratio of what one upstream accepts.
USABLE_CONNECTIONS_RATIO = 0.5


def connection_limit(accepted: int, daemons: int) -> int:
    """Returns how many connections one daemon may have to an upstream.

    Args:
      accepted: how many connections the upstream accepts from all daemons.
      daemons: how many daemons there are.
    """
    return max(1, int(accepted * USABLE_CONNECTIONS_RATIO) // max(daemons, 1))


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """One incarnation of an upstream, as one daemon sees it.

    Attributes:
      slots: how many requests the upstream runs at once.
      in_flight: the requests that this daemon has sent and that it has not
        answered.
      forwarded_in_flight: those of them that are sent for peers.
      slowness: its smoothed latency relative to the route's mean over all
        upstreams.
      host_slowness: the slowness that it last reported for its host.
      mean_host_slowness: the smoothed slowness that it reports, or None.
      failure_ratio: the smoothed ratio of failures among its answers.
      other_requests: requests of other daemons in its last load report.
      load_reported_s: when it last reported its load.
      load_report_ttl_s: how long that report counts.
      blocked_until_s: it gets no requests before this time.
      single_request_until_s: it gets one request at a time before this time.
      cold_until_s: it is cold until this time.
      consecutive_unreachable: how often it could not be reached since the last
        call of `record_answer`, if any.
      no_cold_sends_until_s: while it is cold, it gets no requests before this
        time, because the fleet's sends to it are used up.
      refuses_until_s: it has refused a request and wants none before this time.
      no_limited_sends_until_s: while it names a limit, it gets no requests
        before this time, because the fleet's sends are used up.
    """

    slots: int
    in_flight: int = 0
    forwarded_in_flight: int = 0
    slowness: float = 1.0
    host_slowness: float = 1.0
    mean_host_slowness: float | None = None
    failure_ratio: float = 0.0
    other_requests: float = 0.0
    load_reported_s: float = -MAX_LOAD_REPORT_TTL_S
    load_report_ttl_s: float = MIN_LOAD_REPORT_TTL_S
    blocked_until_s: float = 0.0
    single_request_until_s: float = 0.0
    cold_until_s: float = 0.0
    consecutive_unreachable: int = 0
    no_cold_sends_until_s: float = 0.0
    refuses_until_s: float = 0.0
    no_limited_sends_until_s: float = 0.0

    def record_send(self) -> None:
        """Records that a request is being sent."""
        self.in_flight += 1

    def is_cold(self, now_s: float) -> bool:
        """Returns whether it is cold, so that each send must be lent."""
        return now_s < self.cold_until_s

    def is_refusing(self, now_s: float) -> bool:
        """Returns whether it has said that it wants no requests now."""
        return now_s < self.refuses_until_s

    def record_end(self) -> None:
        """Records that a request is no longer in flight."""
        self.in_flight -= 1

    def record_forward(self) -> None:
        """Records that a peer's request is being sent."""
        self.in_flight += 1
        self.forwarded_in_flight += 1

    def record_forward_end(self) -> None:
        """Records that a peer's request is no longer in flight."""
        self.in_flight -= 1
        self.forwarded_in_flight -= 1

    def record_reached(self) -> None:
        """Records that the upstream has answered."""
        self.consecutive_unreachable = 0

    def record_answer(
        self, latency_s: float, mean_latency_s: float, ok: bool
    ) -> None:
        """Updates latency and failure ratio from an answer.

        Args:
          latency_s: the time from sending to the complete answer.
          mean_latency_s: the route's mean over all upstreams.
          ok: whether the answer is not a failure of the upstream.
        """
        self.record_reached()
        self.failure_ratio *= FAILURE_RETENTION_RATIO
        if not ok:
            self.failure_ratio += 1 - FAILURE_RETENTION_RATIO
            return
        ratio = min(latency_s / max(mean_latency_s, 1e-4), 10.0)
        self.slowness += (1 - LATENCY_RETENTION_RATIO) * (ratio - self.slowness)

    def record_load_report(
        self,
        running: int,
        waiting: int,
        slowness: float,
        service_time_s: float,
        now_s: float,
    ) -> None:
        """Records the load that the upstream reports.

        Args:
          running: how many requests it is running.
          waiting: how many requests wait for a slot.
          slowness: how long work takes there, relative to the usual time.
          service_time_s: the usual time that a request takes.
          now_s: the current time.
        """
        self.other_requests = max(0.0, running + waiting - self.in_flight)
        self.host_slowness = slowness
        if self.mean_host_slowness is None:
            self.mean_host_slowness = slowness
        self.mean_host_slowness += (1 - HOST_SLOWNESS_RETENTION_RATIO) * (
            slowness - self.mean_host_slowness
        )
        self.load_reported_s = now_s
        drain_s = self.other_requests * service_time_s * slowness / self.slots
        self.load_report_ttl_s = min(
            max(drain_s, MIN_LOAD_REPORT_TTL_S), MAX_LOAD_REPORT_TTL_S
        )

    def record_full(self, now_s: float) -> None:
        """Records that the upstream refused a request because it is full."""
        self.blocked_until_s = max(self.blocked_until_s, now_s + FULL_PAUSE_S)

    def record_retry_after(self, now_s: float, retry_after_s: float) -> None:
        """Records that the upstream wants no requests for a time."""
        self.refuses_until_s = max(self.refuses_until_s, now_s + retry_after_s)

    def record_reset(self, now_s: float, on_new_connection: bool) -> None:
        """Records that the upstream has reset a connection without an answer.

        Some upstreams do this when their queue is full, and reset any
        connection beyond their limit.
        """
        self.record_full(now_s)
        self.other_requests = max(
            self.other_requests, float(self.slots + RESET_QUEUE_REQUESTS)
        )
        self.load_reported_s = now_s
        self.load_report_ttl_s = max(self.load_report_ttl_s, RESET_REPORT_TTL_S)
        if on_new_connection:
            self.single_request_until_s = now_s + RESET_SINGLE_REQUEST_S

    def record_unreachable(self, now_s: float) -> None:
        """Records that the upstream could not be reached."""
        pause_s = min(
            MIN_UNREACHABLE_PAUSE_S * 2**self.consecutive_unreachable,
            MAX_UNREACHABLE_PAUSE_S,
        )
        self.consecutive_unreachable += 1
        self.blocked_until_s = max(self.blocked_until_s, now_s + pause_s)

    def record_lost_path(self, now_s: float) -> None:
        """Records that it could not be reached as this daemon is cut off.

        The pause is short, as open connections to it may live on.
        """
        self.blocked_until_s = max(
            self.blocked_until_s, now_s + LOST_PATH_PAUSE_S
        )

    def forget_failures(self) -> None:
        """Forgets what followed from failures to reach the upstream.

        Those were not the upstream's own.
        """
        self.consecutive_unreachable = 0
        self.failure_ratio = 0.0
        self.blocked_until_s = 0.0
        self.single_request_until_s = 0.0
        self.other_requests = 0.0

    def estimated_requests(self, now_s: float) -> float:
        """Returns the estimated number of requests at the upstream."""
        age_s = now_s - self.load_reported_s
        weight = max(0.0, 1.0 - age_s / self.load_report_ttl_s)
        return self.in_flight + self.other_requests * weight

    def expected_latency_ratio(self, now_s: float) -> float:
        """Returns the expected latency of one more request.

        The unit is the route's mean latency over all upstreams.
        """
        excess = max(0.0, self.estimated_requests(now_s) + 1 - self.slots)
        age_s = now_s - self.load_reported_s
        is_recent = age_s < MIN_LOAD_REPORT_TTL_S
        host_slowness = self.host_slowness if is_recent else 1.0
        slowness = self.slowness * (0.5 + 0.5 * host_slowness)
        failure_factor = 1 + FAILURE_COST_FACTOR * self.failure_ratio
        cold_factor = COLD_COST_FACTOR if self.is_cold(now_s) else 1.0
        return (
            slowness * (1 + excess / self.slots) * failure_factor * cold_factor
        )

    def has_room(
        self, now_s: float, service_time_s: float, objective_s: float
    ) -> bool:
        """Returns whether one more request would be answered soon enough.

        It is sent if a slot is free or will soon be. Otherwise its latency is
        estimated from the requests that are already there.

        Args:
          now_s: the current time.
          service_time_s: the usual time that the request takes, without waits.
          objective_s: the request's latency objective.
        """
        requests = self.estimated_requests(now_s)
        if requests < self.slots + MIN_QUEUED_REQUESTS:
            return True
        if requests >= self.slots + MAX_QUEUED_REQUESTS:
            return False
        slowness = self.mean_host_slowness or 1.0
        latency_s = service_time_s * slowness * (requests + 1) / self.slots
        return latency_s <= objective_s * OBJECTIVE_RATIO

    def may_send(self, now_s: float, max_in_flight: int) -> bool:
        """Returns whether one more request may be sent now.

        Args:
          now_s: the current time.
          max_in_flight: how many requests of this daemon's own callers may be
            in flight there. A peer counts its requests itself.
        """
        if now_s < self.single_request_until_s:
            max_in_flight = 1
        if now_s < max(self.blocked_until_s, self.refuses_until_s):
            return False
        if self.in_flight - self.forwarded_in_flight >= max_in_flight:
            return False
        return not self.is_cold(now_s) or now_s >= self.no_cold_sends_until_s


def choose_upstream(
    candidates: Iterable[tuple[str, UpstreamState, float]],
    now_s: float,
    uniform: Callable[[], float],
) -> str | None:
    """Returns the upstream with the lowest expected latency, or None.

    Args:
      candidates: names, states, and factors applied to expected latencies.
      now_s: the current time.
      uniform: returns random numbers from 0 to 1.
    """
    best: str | None = None
    best_cost = float("inf")
    for name, state, factor in candidates:
        noise = 1 + CHOICE_NOISE_RATIO * uniform()
        cost = state.expected_latency_ratio(now_s) * factor * noise
        if cost < best_cost:
            best, best_cost = name, cost
    return best


class WindowedRetryBudget:
    """The retries that one daemon may send to one service's upstreams.

    The fleet's limit counts requests in a sliding window. Each daemon uses the
    part earned by its own requests and an equal part of the slack.
    """

    def __init__(self, ratio: float, slack_retries: float, window_s: float):
        self._ratio = ratio
        self._slack_retries = slack_retries
        self._window_s = window_s
        self._requests: list[float] = []
        self._retries: list[float] = []

    def record_request(self, now_s: float) -> None:
        """Records a request for the service."""
        self._requests.append(now_s)
        if len(self._requests) > 4096:
            self._trim(now_s)

    def try_spend(self, now_s: float, daemons: int) -> bool:
        """Spends one retry; returns False when the budget is exhausted."""
        self._trim(now_s)
        allowed = len(self._requests) * self._ratio
        allowed += self._slack_retries / max(daemons, 1)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_s)
        return True

    def _trim(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            index = 0
            while index < len(times) and times[index] < oldest_s:
                index += 1
            del times[:index]
