"""What one daemon knows of each upstream's room, and how it chooses.

Every daemon sends to upstreams directly, so each counts only its own requests
and learns of the others' from the load that upstreams tell in their answers.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

LATENCY_RETENTION_RATIO = 0.85
FAILURE_RETENTION_RATIO = 0.8
# An upstream's word on its load counts for so long, fading evenly.
LOAD_REPORT_TTL_S = 0.4
# How much worse an upstream is taken to be for each failed request.
FAILURE_COST_FACTOR = 4.0
FIRST_EJECTION_S = 0.4
MAX_EJECTION_S = 3.0
# After an upstream said that it is full, it gets nothing for so long.
FULL_PAUSE_S = 0.03
# Choices vary by so much, lest all daemons find the same upstream best.
CHOICE_NOISE_RATIO = 0.25
COLD_SEND_WINDOW_S = 1.05
# An upstream that resets a new connection has more than it takes; it gets one
# request at a time for so long.
RESET_SINGLE_REQUEST_S = 1.0
# Upstreams keep connections of daemons that lost power for some seconds, so all
# daemons together open only this part of what one accepts.
USABLE_CONNECTIONS_RATIO = 0.5


def connection_limit(accepted: int, daemons: int) -> int:
    """Returns how many connections one daemon may have to an upstream.

    Args:
      accepted: how many the upstream takes from all daemons.
      daemons: how many there are.
    """
    return max(1, int(accepted * USABLE_CONNECTIONS_RATIO) // max(daemons, 1))


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """One upstream's life, as one daemon sees it.

    Attributes:
      slots: how many requests the upstream runs at once.
      in_flight: this daemon's requests that it has not answered.
      slowness: its latency against the route's mean over all upstreams.
      host_slowness: what it last said of its machine.
      failure_ratio: how many of its answers were failures, smoothed.
      other_requests: requests of other daemons that it last told of.
      load_reported_s: when it last told of its load.
      blocked_until_s: it gets nothing before.
      single_request_until_s: it gets one request at a time before.
      cold_until_s: until then it is cold.
      ejections: how often in a row it could not be reached.
      cold_send_times_s: when requests were sent to it while cold, newest last.
    """

    slots: int
    in_flight: int = 0
    slowness: float = 1.0
    host_slowness: float = 1.0
    failure_ratio: float = 0.0
    other_requests: float = 0.0
    load_reported_s: float = -LOAD_REPORT_TTL_S
    blocked_until_s: float = 0.0
    single_request_until_s: float = 0.0
    cold_until_s: float = 0.0
    ejections: int = 0
    cold_send_times_s: list[float] = dataclasses.field(default_factory=list)

    def record_send(self, now_s: float) -> None:
        """Notes that a request is on its way."""
        self.in_flight += 1
        if now_s < self.cold_until_s:
            self.cold_send_times_s.append(now_s)

    def record_end(self) -> None:
        """Notes that a request is no longer under way."""
        self.in_flight -= 1

    def record_answer(
        self, latency_s: float, mean_latency_s: float, ok: bool
    ) -> None:
        """Learns from an answer.

        Args:
          latency_s: from sending to the whole answer.
          mean_latency_s: the route's mean over all upstreams.
          ok: whether it was no failure of the upstream.
        """
        self.ejections = 0
        self.failure_ratio *= FAILURE_RETENTION_RATIO
        if not ok:
            self.failure_ratio += 1 - FAILURE_RETENTION_RATIO
            return
        ratio = min(latency_s / max(mean_latency_s, 1e-4), 10.0)
        self.slowness += (1 - LATENCY_RETENTION_RATIO) * (ratio - self.slowness)

    def record_load_report(
        self, running: int, waiting: int, slowness: float, now_s: float
    ) -> None:
        """Learns what the upstream says of its load."""
        self.other_requests = max(0.0, running + waiting - self.in_flight)
        self.host_slowness = slowness
        self.load_reported_s = now_s

    def record_full(self, now_s: float) -> None:
        """Notes that the upstream refused a request for want of room."""
        self.blocked_until_s = max(self.blocked_until_s, now_s + FULL_PAUSE_S)

    def record_connection_reset(self, now_s: float) -> None:
        """Notes that the upstream has reset a new connection."""
        self.record_full(now_s)
        self.single_request_until_s = now_s + RESET_SINGLE_REQUEST_S

    def record_unreachable(self, now_s: float) -> None:
        """Notes that the upstream could not be reached."""
        pause_s = min(FIRST_EJECTION_S * 2**self.ejections, MAX_EJECTION_S)
        self.ejections += 1
        self.blocked_until_s = max(self.blocked_until_s, now_s + pause_s)

    def estimated_requests(self, now_s: float) -> float:
        """Returns how many requests are likely at the upstream."""
        age_s = now_s - self.load_reported_s
        fading = max(0.0, 1.0 - age_s / LOAD_REPORT_TTL_S)
        return self.in_flight + self.other_requests * fading

    def expected_latency_ratio(self, now_s: float) -> float:
        """Returns the expected latency of one more request, route's mean 1."""
        excess = max(0.0, self.estimated_requests(now_s) + 1 - self.slots)
        age_s = now_s - self.load_reported_s
        machine = self.host_slowness if age_s < LOAD_REPORT_TTL_S else 1.0
        speed = self.slowness * (0.5 + 0.5 * machine)
        failures = 1 + FAILURE_COST_FACTOR * self.failure_ratio
        return speed * (1 + excess / self.slots) * failures

    def may_send(
        self, now_s: float, max_in_flight: int, max_cold_sends: int
    ) -> bool:
        """Returns whether one more request may be sent now.

        Args:
          now_s: the time.
          max_in_flight: how many requests this daemon may have there at once.
          max_cold_sends: how many it may send there in a second while it is cold.
        """
        if now_s < self.single_request_until_s:
            max_in_flight = 1
        if now_s < self.blocked_until_s or self.in_flight >= max_in_flight:
            return False
        if now_s >= self.cold_until_s:
            return True
        oldest_s = now_s - COLD_SEND_WINDOW_S
        self.cold_send_times_s = [
            at for at in self.cold_send_times_s if at > oldest_s
        ]
        return len(self.cold_send_times_s) < max_cold_sends


def choose_upstream(
    candidates: Iterable[tuple[str, UpstreamState, float]],
    now_s: float,
    uniform: Callable[[], float],
) -> str | None:
    """Returns the upstream with the least expected latency, or None.

    Args:
      candidates: names, rooms, and factors by which latencies count.
      now_s: the time.
      uniform: a source of numbers from 0 to 1.
    """
    best: str | None = None
    best_cost = float("inf")
    for name, room, factor in candidates:
        noise = 1 + CHOICE_NOISE_RATIO * uniform()
        cost = room.expected_latency_ratio(now_s) * factor * noise
        if cost < best_cost:
            best, best_cost = name, cost
    return best


class WindowedRetryBudget:
    """Repeats that one daemon may send to one service's upstreams.

    The fleet's bound counts requests in a sliding window. Each daemon keeps
    to its own requests' part of it and an even part of the slack.
    """

    def __init__(self, ratio: float, slack_retries: float, window_s: float):
        self._ratio = ratio
        self._slack_retries = slack_retries
        self._window_s = window_s
        self._requests: list[float] = []
        self._retries: list[float] = []

    def record_request(self, now_s: float) -> None:
        """Notes a request for the service."""
        self._requests.append(now_s)
        if len(self._requests) > 4096:
            self._trim(now_s)

    def try_spend(self, now_s: float, daemons: int) -> bool:
        """Takes one repeat, if the budget has one."""
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
