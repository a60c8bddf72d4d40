"""Limits the requests in flight at an upstream that has just started.

A cold upstream can serve only a few requests at once. Its gateway keeps a ramp
for it, whose limit starts at the cold-start limit and doubles only on evidence:
enough good answers, spread over a minimum time, at a latency that no longer
falls. Time alone never raises it.
"""

import dataclasses
import math
import statistics

_STEP_LATENCY_SAMPLES = 64
_MAX_PAST_INCARNATIONS = 8
# A latency must exceed the baseline by this many mean deviations to be a jump.
_JUMP_DEVIATIONS = 4.0


@dataclasses.dataclass(frozen=True)
class RampPolicy:
    """The request limits of an upstream and the evidence for each step.

    Attributes:
      cold_start_requests: requests in flight that a cold upstream can serve.
      full_requests: requests in flight at which the ramp ends.
      step_answers_per_request: good answers that a step needs for each request
        that the step allows in flight.
      step_min_s: the minimum duration of a step.
      confirmation_ttl_s: how long an answer proves that the upstream has not
        restarted.
      lost_gateway_drain_s: how long requests of a lost gateway may still be
        running.
      cold_refusal_pause_s: how long nothing is sent after the upstream refused
        a request because it is cold.
      suspicion_clear_answers: good answers that clear a suspicion.
      reset_burst_count: lost connections within `reset_burst_window_s` that
        count as a restart.
      reset_burst_window_s: the window over which lost connections are counted.
      latency_jump_ratio: latency relative to the baseline that counts as a
        jump.
      latency_jump_answers: consecutive slow answers that count as a jump.
      latency_jump_floor_s: latency below which nothing counts as a jump.
      cold_latency_ratio: the highest latency of a cold upstream relative to the
        baseline, used until a cold start has been observed.
      stable_latency_ratio: latency relative to that of the previous step below
        which the upstream is still warming up.
      cold_report_veto_s: how long a health report that says cold prevents the
        next step.
      cold_report_veto_max_age_s: the age of a ramp from which such reports are
        ignored.
    """

    cold_start_requests: int
    full_requests: int
    step_answers_per_request: int = 10
    step_min_s: float = 0.5
    confirmation_ttl_s: float = 1.0
    lost_gateway_drain_s: float = 2.0
    cold_refusal_pause_s: float = 0.25
    suspicion_clear_answers: int = 4
    reset_burst_count: int = 2
    reset_burst_window_s: float = 1.0
    latency_jump_ratio: float = 2.2
    latency_jump_answers: int = 3
    latency_jump_floor_s: float = 0.01
    cold_latency_ratio: float = 5.0
    stable_latency_ratio: float = 0.7
    cold_report_veto_s: float = 2.5
    cold_report_veto_max_age_s: float = 30.0


@dataclasses.dataclass(frozen=True)
class Handover:
    """What a gateway tells the next gateway of an upstream.

    Attributes:
      incarnation: the upstream's incarnation in the last answer.
      limit_requests: requests in flight that the ramp allowed.
      in_flight: requests that the old gateway still waits for.
      in_flight_remaining_s: seconds until the last of those has ended.
      baseline_latency_s: the baseline latency, or 0 when unknown.
    """

    incarnation: str
    limit_requests: int
    in_flight: int
    in_flight_remaining_s: float
    baseline_latency_s: float


class Ramp:
    """Limits the requests in flight at one upstream.

    Three kinds of evidence reduce the limit:

    - A *restart* (a new incarnation, a refusal because the upstream is cold, or
      a burst of lost connections) restarts the ramp.
    - A *suspicion* (one lost connection, a latency jump, or a health report
      that says cold) applies the cold-start limit until answers at the baseline
      latency clear it. Restarting the ramp instead would let one slow moment
      cost an upstream two seconds of service.
    - *Silence* (no answer for a while) applies the cold-start limit until one
      answer shows the incarnation, because an idle upstream can restart without
      a connection being lost.
    """

    def __init__(
        self,
        policy: RampPolicy,
        now_s: float,
        handover: Handover | None = None,
    ):
        """Starts at the cold-start limit unless a handover says otherwise.

        Args:
          policy: the request limits and the evidence for each step.
          now_s: the time at which this daemon became the gateway.
          handover: what the old gateway knew, or None when that gateway was
            lost. Without it the old gateway's requests may still be running, so
            nothing is sent until they must have ended.
        """
        self._policy = policy
        self._limit = policy.cold_start_requests
        self._incarnation: str | None = None
        self._past_incarnations: list[str] = []
        self._is_suspected = False
        self._last_answer_s = -math.inf
        self._paused_until_s = now_s
        self._suspected_at_s = now_s
        self._clearing_answers = 0
        self._veto_until_s = now_s
        self._ramp_began_s = now_s
        self._connection_losses_s: list[float] = []
        self._slow_latencies_s: list[float] = []
        self._slow_since_s = now_s
        self._latency_deviation_s = 0.0
        self._observed_cold_ratio = 0.0
        self._baseline_latency_s = 0.0
        self._previous_step_latency_s: float | None = None
        self._inherited_requests = policy.full_requests
        self._inherited_until_s = now_s + policy.lost_gateway_drain_s
        self._begin_step(now_s)
        if handover is not None:
            self._apply_handover(handover, now_s)

    @classmethod
    def for_new_upstream(cls, policy: RampPolicy, now_s: float) -> "Ramp":
        """Returns the ramp of an upstream that no daemon has sent to yet."""
        nothing_in_flight = Handover("", 0, 0, 0.0, 0.0)
        return cls(policy, now_s, nothing_in_flight)

    @property
    def incarnation(self) -> str | None:
        """The upstream's incarnation in the newest answer, if any."""
        return self._incarnation

    @property
    def limit_requests(self) -> int:
        """The limit of the current step, before any reduction."""
        return self._limit

    @property
    def is_warm(self) -> bool:
        """Whether the ramp has ended."""
        return self._limit >= self._policy.full_requests

    @property
    def baseline_latency_s(self) -> float:
        """The smoothed latency of good answers, or 0 before the first one."""
        return self._baseline_latency_s

    def allowed_in_flight(self, now_s: float) -> int:
        """Returns how many requests may be in flight now."""
        if now_s < self._paused_until_s:
            return 0
        allowed = self._limit
        if self._is_suspected or not self._is_confirmed(now_s):
            allowed = min(allowed, self._policy.cold_start_requests)
        if now_s < self._inherited_until_s:
            allowed -= self._inherited_requests
        return max(0, allowed)

    def record_answer(
        self, now_s: float, incarnation: str, latency_s: float
    ) -> bool:
        """Records a good answer and returns whether it showed a restart.

        An answer to a request that was sent before a suspicion was raised does
        not count toward clearing it, whenever the answer arrives.
        """
        if incarnation in self._past_incarnations:
            return False
        restarted = self._learn_incarnation(now_s, incarnation)
        self._last_answer_s = now_s
        if restarted:
            return True
        if self._is_latency_jump(now_s, latency_s):
            return False
        sent_s = now_s - latency_s
        self._try_clear_suspicion(sent_s)
        self._learn_latency(latency_s)
        if sent_s >= self._step_began_s:
            self._step_answers += 1
            self._step_latencies_s.append(latency_s)
            del self._step_latencies_s[:-_STEP_LATENCY_SAMPLES]
            self._try_advance(now_s)
        return False

    def record_cold_refusal(self, now_s: float) -> None:
        """Records that the upstream refused a request because it is cold."""
        self.restart(now_s)
        self._paused_until_s = now_s + self._policy.cold_refusal_pause_s

    def record_refusal(self, now_s: float, incarnation: str) -> bool:
        """Records any other refusal and returns whether it showed a restart.

        The refusal shows the incarnation, but it is no evidence that the
        upstream is warm.
        """
        if incarnation in self._past_incarnations:
            return False
        restarted = self._learn_incarnation(now_s, incarnation)
        if self._limit <= self._policy.cold_start_requests:
            self._begin_step(now_s)
        return restarted

    def record_connection_loss(self, now_s: float) -> None:
        """Records a connection that the upstream reset or closed early."""
        self._raise_suspicion(now_s)
        since_s = now_s - self._policy.reset_burst_window_s
        self._connection_losses_s = [
            lost_s for lost_s in self._connection_losses_s if lost_s > since_s
        ]
        self._connection_losses_s.append(now_s)
        if len(self._connection_losses_s) >= self._policy.reset_burst_count:
            self.restart(now_s)

    def record_cold_report(self, now_s: float) -> None:
        """Records a health report that says cold.

        Reports lag and can be wrong, so a report only raises a suspicion, which
        answers at the baseline latency clear, and prevents the next step for a
        bounded time. A report that says ready is ignored, because it would end
        the ramp without evidence.
        """
        self._raise_suspicion(now_s)
        self._veto_until_s = now_s + self._policy.cold_report_veto_s

    def restart(self, now_s: float) -> None:
        """Restarts the ramp at the cold-start limit."""
        self._limit = self._policy.cold_start_requests
        self._ramp_began_s = now_s
        self._is_suspected = False
        self._slow_latencies_s.clear()
        self._connection_losses_s.clear()
        self._previous_step_latency_s = None
        self._begin_step(now_s)

    def make_handover(
        self, now_s: float, in_flight: int, in_flight_remaining_s: float
    ) -> Handover:
        """Returns what the next gateway needs to know.

        Args:
          now_s: the current time; nothing is sent from now on.
          in_flight: requests that this gateway still waits for.
          in_flight_remaining_s: seconds until the last of those has ended.
        """
        if now_s < self._inherited_until_s:
            in_flight += self._inherited_requests
            in_flight_remaining_s = max(
                in_flight_remaining_s, self._inherited_until_s - now_s
            )
        suspected = self._is_suspected or self._incarnation is None
        cold = self._policy.cold_start_requests
        return Handover(
            incarnation=self._incarnation or "",
            limit_requests=cold if suspected else self._limit,
            in_flight=in_flight,
            in_flight_remaining_s=in_flight_remaining_s,
            baseline_latency_s=self._baseline_latency_s,
        )

    def _apply_handover(self, handover: Handover, now_s: float) -> None:
        self._inherited_requests = handover.in_flight
        self._inherited_until_s = now_s + handover.in_flight_remaining_s
        if not handover.incarnation:
            return
        self._incarnation = handover.incarnation
        self._baseline_latency_s = handover.baseline_latency_s
        # The limit applies from the first answer on, because the upstream may
        # have restarted during the handover.
        self._limit = max(
            self._policy.cold_start_requests,
            min(handover.limit_requests, self._policy.full_requests),
        )

    def _is_confirmed(self, now_s: float) -> bool:
        silence_s = now_s - self._last_answer_s
        return silence_s <= max(
            self._policy.confirmation_ttl_s, 3 * self._baseline_latency_s
        )

    def _learn_incarnation(self, now_s: float, incarnation: str) -> bool:
        if incarnation == self._incarnation:
            return False
        first_seen = self._incarnation is None
        if self._incarnation is not None:
            self._past_incarnations.append(self._incarnation)
            del self._past_incarnations[:-_MAX_PAST_INCARNATIONS]
        self._incarnation = incarnation
        if first_seen:
            return False
        self.restart(now_s)
        return True

    def _raise_suspicion(self, now_s: float) -> None:
        self._is_suspected = True
        self._suspected_at_s = now_s
        self._clearing_answers = 0

    def _is_latency_jump(self, now_s: float, latency_s: float) -> bool:
        baseline_s = self._baseline_latency_s
        threshold_s = max(
            self._policy.latency_jump_floor_s,
            baseline_s * self._policy.latency_jump_ratio,
            baseline_s + _JUMP_DEVIATIONS * self._latency_deviation_s,
        )
        if baseline_s <= 0 or latency_s <= threshold_s:
            self._learn_deviation(latency_s)
            self._slow_latencies_s.clear()
            return False
        if not self._slow_latencies_s:
            self._slow_since_s = now_s
        self._slow_latencies_s.append(latency_s)
        self._learn_cold_ratio(latency_s / baseline_s)
        if len(self._slow_latencies_s) < self._policy.latency_jump_answers:
            return True
        if min(self._slow_latencies_s) <= baseline_s * self._max_cold_ratio():
            self._suspect_cold(now_s)
        self._try_accept_baseline(now_s)
        return True

    def _learn_deviation(self, latency_s: float) -> None:
        """Updates how far latencies deviate while nothing is wrong.

        A few slow answers followed by a normal one were noise. They raise the
        jump threshold, because on a busy host every slow moment would otherwise
        count as a jump. Only the first answers of a slow sequence count,
        because a long sequence would otherwise raise the threshold so far that
        a later return to cold is not detected.
        """
        baseline_s = self._baseline_latency_s
        for slow_s in self._slow_latencies_s[
            : self._policy.latency_jump_answers
        ]:
            deviation_s = slow_s - baseline_s
            self._latency_deviation_s += 0.1 * (
                deviation_s - self._latency_deviation_s
            )
        deviation_s = abs(latency_s - baseline_s)
        self._latency_deviation_s += 0.02 * (
            deviation_s - self._latency_deviation_s
        )

    def _suspect_cold(self, now_s: float) -> None:
        if not self._is_suspected:
            self._raise_suspicion(now_s)
            # Answers to requests that were in flight when the limit fell say
            # nothing about the latency at the cold-start limit.
            self._slow_latencies_s.clear()
            self._slow_since_s = now_s
        self._clearing_answers = 0

    def _try_accept_baseline(self, now_s: float) -> None:
        """Accepts a lasting slowness as the new baseline latency.

        The evidence required is that of a first start: two consecutive samples
        of answers, of which the second is not much faster. Without this, an
        upstream whose requests have become more expensive would stay at the
        cold-start limit. With fewer answers, the latency of a cold upstream
        would become the baseline.
        """
        sample_size = (
            self._policy.step_answers_per_request
            * self._policy.cold_start_requests
        )
        latencies_s = self._slow_latencies_s
        if len(latencies_s) < 2 * sample_size:
            return
        if now_s - self._slow_since_s < 2 * self._policy.step_min_s:
            return
        half = len(latencies_s) // 2
        earlier_s = statistics.median(latencies_s[:half])
        later_s = statistics.median(latencies_s[half:])
        latencies_s.clear()
        self._slow_since_s = now_s
        if later_s < earlier_s * self._policy.stable_latency_ratio:
            return
        self._baseline_latency_s = later_s
        self._previous_step_latency_s = later_s
        self._is_suspected = False

    def _max_cold_ratio(self) -> float:
        """Returns the highest latency ratio at which an upstream may be cold.

        A straggler is far slower than a cold upstream. At the cold-start limit
        a straggler would serve only a third of what it still can, and the queue
        of its keys would be three times as long. A cold upstream without that
        limit would fail.
        """
        if self._observed_cold_ratio > 0:
            return 1.6 * self._observed_cold_ratio
        return self._policy.cold_latency_ratio

    def _learn_cold_ratio(self, ratio: float) -> None:
        if self._is_suspected or self._limit > self._policy.cold_start_requests:
            return
        if self._observed_cold_ratio <= 0:
            self._observed_cold_ratio = ratio
        self._observed_cold_ratio += 0.2 * (ratio - self._observed_cold_ratio)

    def _try_clear_suspicion(self, sent_s: float) -> None:
        if not self._is_suspected or sent_s < self._suspected_at_s:
            return
        self._clearing_answers += 1
        if self._clearing_answers < self._policy.suspicion_clear_answers:
            return
        self._is_suspected = False
        self._clearing_answers = 0

    def _learn_latency(self, latency_s: float) -> None:
        if self._baseline_latency_s <= 0:
            self._baseline_latency_s = latency_s
            return
        # A cold upstream answers slowly, so the baseline follows a decrease
        # faster than an increase. Otherwise answers of a cold upstream would
        # set the baseline.
        weight = 0.1 if latency_s < self._baseline_latency_s else 0.05
        self._baseline_latency_s += weight * (
            latency_s - self._baseline_latency_s
        )

    def _begin_step(self, now_s: float) -> None:
        self._step_began_s = now_s
        self._step_answers = 0
        self._step_latencies_s: list[float] = []

    def _try_advance(self, now_s: float) -> None:
        if self.is_warm or self._is_suspected:
            return
        if (
            self._step_answers
            < self._policy.step_answers_per_request * self._limit
        ):
            return
        if now_s - self._step_began_s < self._policy.step_min_s:
            return
        if self._is_vetoed(now_s):
            return
        median_s = statistics.median(self._step_latencies_s)
        previous_s = self._previous_step_latency_s
        self._previous_step_latency_s = median_s
        self._begin_step(now_s)
        # The first step after a start has no earlier latency to compare with.
        if previous_s is None:
            return
        if median_s < previous_s * self._policy.stable_latency_ratio:
            return
        self._limit = min(self._policy.full_requests, self._limit * 2)

    def _is_vetoed(self, now_s: float) -> bool:
        ramp_age_s = now_s - self._ramp_began_s
        return (
            now_s < self._veto_until_s
            and ramp_age_s < self._policy.cold_report_veto_max_age_s
        )
