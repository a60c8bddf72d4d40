"""The cold-start ramp of one upstream, as its gateway keeps it.

An upstream that has just started bears a trickle. The ramp says how many
requests may be in flight at it, starts at that trickle and doubles only on
evidence: enough good answers, spread over a least time, at a latency which
no longer falls. Time alone never raises it.
"""

import dataclasses
import math
import statistics

_LATENCY_SAMPLES = 64
_KNOWN_INCARNATIONS = 8
_NOISE_DEVIATIONS = 4.0


@dataclasses.dataclass(frozen=True)
class RampPolicy:
    """What one upstream bears, and how much evidence each step needs.

    Attributes:
      cold_start_requests: requests in flight that a cold upstream bears.
      full_requests: requests in flight that end the ramp.
      good_answers: good answers that a step needs for each request that the
        step allows in flight.
      step_min_s: the least time of a step.
      confirm_s: how long an answer proves that the upstream did not restart.
      settle_s: how long requests of a lost gateway may still be running.
      refusal_pause_s: how long nothing is sent after a refusal for coldness.
      suspicion_answers: good answers that disprove a suspicion.
      resets_in_burst: lost connections within `burst_s` that mean a restart.
      burst_s: the span over which lost connections are counted.
      jump_ratio: latency over the usual one that counts as a jump.
      jump_answers: answers in a row that make a jump.
      jump_floor_s: latency under which nothing counts as a jump.
      cold_ratio: latency of a cold upstream over the usual one, at most, while
        no cold start was seen.
      steady_ratio: latency over that of the stretch before, under which the
        upstream is still warming.
      veto_s: how long a health report that says cold holds a step back.
      veto_max_s: the age of a ramp from which such reports are passed over.
    """

    cold_start_requests: int
    full_requests: int
    good_answers: int = 10
    step_min_s: float = 0.5
    confirm_s: float = 1.0
    settle_s: float = 2.0
    refusal_pause_s: float = 0.25
    suspicion_answers: int = 4
    resets_in_burst: int = 2
    burst_s: float = 1.0
    jump_ratio: float = 2.2
    jump_answers: int = 3
    jump_floor_s: float = 0.01
    cold_ratio: float = 5.0
    steady_ratio: float = 0.7
    veto_s: float = 2.5
    veto_max_s: float = 30.0


@dataclasses.dataclass(frozen=True)
class Handover:
    """What a gateway tells the next one about an upstream.

    Attributes:
      incarnation: the upstream's incarnation in the last answer.
      limit_requests: requests in flight that the ramp allowed.
      in_flight: requests that the old gateway still waits for.
      in_flight_s: seconds until the last of those has ended.
      usual_latency_s: the usual latency, or 0 when unknown.
    """

    incarnation: str
    limit_requests: int
    in_flight: int
    in_flight_s: float
    usual_latency_s: float


class Ramp:
    """How many requests may be in flight at one upstream.

    Three degrees of doubt are kept apart. A *restart* (a new incarnation, a
    refusal for coldness, a burst of lost connections) begins the ramp anew.
    A *suspicion* (one lost connection, a latency jump, a health report that
    says cold) allows the trickle until answers at the usual latency disprove
    it; beginning anew on each of these would let one straggling moment cost
    an upstream two seconds of service. *Silence* (no answer for a while)
    allows the trickle until one answer shows the incarnation: an idle
    upstream can restart without a connection being lost.
    """

    def __init__(
        self,
        policy: RampPolicy,
        now_s: float,
        handover: Handover | None = None,
    ):
        """Starts as if the upstream were cold, unless a handover says more.

        Args:
          policy: what the upstream bears.
          now_s: the time at which this daemon became the gateway.
          handover: the old gateway's knowledge; None when it was lost. Then
            its requests may still be running, so nothing is sent until they
            must have ended.
        """
        self._policy = policy
        self._limit = policy.cold_start_requests
        self._incarnation: str | None = None
        self._past_incarnations: list[str] = []
        self._suspect = False
        self._last_answer_s = -math.inf
        self._paused_until_s = now_s
        self._suspect_s = now_s
        self._suspicion_good = 0
        self._veto_until_s = now_s
        self._ramp_began_s = now_s
        self._lost_s: list[float] = []
        self._slow_latencies_s: list[float] = []
        self._slow_since_s = now_s
        self._deviation_s = 0.0
        self._seen_cold_ratio = 0.0
        self._usual_latency_s = 0.0
        self._previous_step_s: float | None = None
        self._foreign = policy.full_requests
        self._foreign_until_s = now_s + policy.settle_s
        self._begin_step(now_s)
        if handover is not None:
            self._take_over(handover, now_s)

    @classmethod
    def first(cls, policy: RampPolicy, now_s: float) -> "Ramp":
        """Returns the ramp of an upstream that no daemon has sent to yet."""
        nothing_in_flight = Handover("", 0, 0, 0.0, 0.0)
        return cls(policy, now_s, nothing_in_flight)

    @property
    def incarnation(self) -> str | None:
        """The upstream's incarnation in the newest answer, if any."""
        return self._incarnation

    @property
    def limit_requests(self) -> int:
        """The ramp's own step, before doubt is taken off."""
        return self._limit

    @property
    def warm(self) -> bool:
        """Whether the ramp has ended."""
        return self._limit >= self._policy.full_requests

    @property
    def usual_latency_s(self) -> float:
        """The usual latency of good answers, or 0 before there is one."""
        return self._usual_latency_s

    def allowance(self, now_s: float) -> int:
        """Returns how many requests may be in flight now."""
        if now_s < self._paused_until_s:
            return 0
        allowed = self._limit
        if self._suspect or not self._confirmed(now_s):
            allowed = min(allowed, self._policy.cold_start_requests)
        if now_s < self._foreign_until_s:
            allowed -= self._foreign
        return max(0, allowed)

    def answered(
        self, now_s: float, incarnation: str, latency_s: float
    ) -> bool:
        """Takes in a good answer; returns whether it showed a restart.

        An answer to a request that was sent before a doubt arose says
        nothing about it, whenever the answer comes.
        """
        if incarnation in self._past_incarnations:
            return False
        restarted = self._learn_incarnation(now_s, incarnation)
        self._last_answer_s = now_s
        if restarted:
            return True
        if self._jumped(now_s, latency_s):
            return False
        sent_s = now_s - latency_s
        self._settle_suspicion(sent_s)
        self._learn_latency(latency_s)
        if sent_s >= self._step_began_s:
            self._good += 1
            self._step_latencies_s.append(latency_s)
            del self._step_latencies_s[:-_LATENCY_SAMPLES]
            self._try_step(now_s)
        return False

    def refused_cold(self, now_s: float) -> None:
        """Takes in an upstream's refusal because it is cold."""
        self.restarted(now_s)
        self._paused_until_s = now_s + self._policy.refusal_pause_s

    def refused(self, now_s: float, incarnation: str) -> bool:
        """Takes in another refusal; returns whether it showed a restart.

        It tells the incarnation, but a refusal is no evidence of warmth.
        """
        if incarnation in self._past_incarnations:
            return False
        restarted = self._learn_incarnation(now_s, incarnation)
        if self._limit <= self._policy.cold_start_requests:
            self._begin_step(now_s)
        return restarted

    def connection_lost(self, now_s: float) -> None:
        """Takes in a connection that the upstream reset or closed early."""
        self._raise_suspicion(now_s)
        since_s = now_s - self._policy.burst_s
        self._lost_s = [lost_s for lost_s in self._lost_s if lost_s > since_s]
        self._lost_s.append(now_s)
        if len(self._lost_s) >= self._policy.resets_in_burst:
            self.restarted(now_s)

    def reported_cold(self, now_s: float) -> None:
        """Takes in a health report that says cold.

        Reports lag and mislead, so a report only raises a suspicion, which
        answers at the usual latency disprove, and holds a step back for a
        bounded time. That a report says ready is never taken in: it would
        end the ramp without evidence.
        """
        self._raise_suspicion(now_s)
        self._veto_until_s = now_s + self._policy.veto_s

    def restarted(self, now_s: float) -> None:
        """Begins the ramp anew."""
        self._limit = self._policy.cold_start_requests
        self._ramp_began_s = now_s
        self._suspect = False
        self._slow_latencies_s.clear()
        self._lost_s.clear()
        self._previous_step_s = None
        self._begin_step(now_s)

    def hand_over(
        self, now_s: float, in_flight: int, in_flight_s: float
    ) -> Handover:
        """Returns what the next gateway has to know.

        Args:
          now_s: the time; nothing is sent from here on.
          in_flight: requests that this gateway still waits for.
          in_flight_s: seconds until the last of those has ended.
        """
        if now_s < self._foreign_until_s:
            in_flight += self._foreign
            in_flight_s = max(in_flight_s, self._foreign_until_s - now_s)
        suspected = self._suspect or self._incarnation is None
        cold = self._policy.cold_start_requests
        return Handover(
            incarnation=self._incarnation or "",
            limit_requests=cold if suspected else self._limit,
            in_flight=in_flight,
            in_flight_s=in_flight_s,
            usual_latency_s=self._usual_latency_s,
        )

    def _take_over(self, handover: Handover, now_s: float) -> None:
        self._foreign = handover.in_flight
        self._foreign_until_s = now_s + handover.in_flight_s
        if not handover.incarnation:
            return
        self._incarnation = handover.incarnation
        self._usual_latency_s = handover.usual_latency_s
        # The limit counts from the first answer on: the upstream may have
        # restarted while the handover was under way.
        self._limit = max(
            self._policy.cold_start_requests,
            min(handover.limit_requests, self._policy.full_requests),
        )

    def _confirmed(self, now_s: float) -> bool:
        silence_s = now_s - self._last_answer_s
        return silence_s <= max(
            self._policy.confirm_s, 3 * self._usual_latency_s
        )

    def _learn_incarnation(self, now_s: float, incarnation: str) -> bool:
        if incarnation == self._incarnation:
            return False
        first_seen = self._incarnation is None
        if self._incarnation is not None:
            self._past_incarnations.append(self._incarnation)
            del self._past_incarnations[:-_KNOWN_INCARNATIONS]
        self._incarnation = incarnation
        if first_seen:
            return False
        self.restarted(now_s)
        return True

    def _raise_suspicion(self, now_s: float) -> None:
        self._suspect = True
        self._suspect_s = now_s
        self._suspicion_good = 0

    def _jumped(self, now_s: float, latency_s: float) -> bool:
        usual_s = self._usual_latency_s
        threshold_s = max(
            self._policy.jump_floor_s,
            usual_s * self._policy.jump_ratio,
            usual_s + _NOISE_DEVIATIONS * self._deviation_s,
        )
        if usual_s <= 0 or latency_s <= threshold_s:
            self._learn_deviation(latency_s)
            self._slow_latencies_s.clear()
            return False
        if not self._slow_latencies_s:
            self._slow_since_s = now_s
        self._slow_latencies_s.append(latency_s)
        self._learn_cold_ratio(latency_s / usual_s)
        if len(self._slow_latencies_s) < self._policy.jump_answers:
            return True
        if min(self._slow_latencies_s) <= usual_s * self._cold_ratio():
            self._suspect_a_fall(now_s)
        self._try_accept_slowness(now_s)
        return True

    def _learn_deviation(self, latency_s: float) -> None:
        """Learns how far answers stray when nothing has happened.

        A few slow answers before a usual one were noise, and raise the bar
        for the next ones: on a busy host every moment would else be a jump.
        Only the first of a row count, or one straggling moment would hide a
        fall that follows it.
        """
        usual_s = self._usual_latency_s
        for slow_s in self._slow_latencies_s[: self._policy.jump_answers]:
            strayed_s = slow_s - usual_s
            self._deviation_s += 0.1 * (strayed_s - self._deviation_s)
        strayed_s = abs(latency_s - usual_s)
        self._deviation_s += 0.02 * (strayed_s - self._deviation_s)

    def _suspect_a_fall(self, now_s: float) -> None:
        if not self._suspect:
            self._raise_suspicion(now_s)
            # What was in flight at the fall tells nothing of the trickle.
            self._slow_latencies_s.clear()
            self._slow_since_s = now_s
        self._suspicion_good = 0

    def _try_accept_slowness(self, now_s: float) -> None:
        """Takes a lasting slowness for the usual latency, by evidence.

        The evidence is that of a first start: two stretches of answers of
        which the second is no faster. Without it an upstream whose requests
        have grown heavier would stay at a trickle; with fewer answers a cold
        one would be called usual.
        """
        stretch = self._policy.good_answers * self._policy.cold_start_requests
        seen = self._slow_latencies_s
        if len(seen) < 2 * stretch:
            return
        if now_s - self._slow_since_s < 2 * self._policy.step_min_s:
            return
        half = len(seen) // 2
        earlier_s = statistics.median(seen[:half])
        later_s = statistics.median(seen[half:])
        seen.clear()
        self._slow_since_s = now_s
        if later_s < earlier_s * self._policy.steady_ratio:
            return
        self._usual_latency_s = later_s
        self._previous_step_s = later_s
        self._suspect = False

    def _cold_ratio(self) -> float:
        """Returns the slowness up to which an upstream may be cold.

        A straggler is far slower than a cold start makes an upstream. At a
        trickle it would serve a third of what it still can, and the queue of
        its keys would be three times as long; a cold one would fall over.
        """
        if self._seen_cold_ratio > 0:
            return 1.6 * self._seen_cold_ratio
        return self._policy.cold_ratio

    def _learn_cold_ratio(self, ratio: float) -> None:
        if self._suspect or self._limit > self._policy.cold_start_requests:
            return
        if self._seen_cold_ratio <= 0:
            self._seen_cold_ratio = ratio
        self._seen_cold_ratio += 0.2 * (ratio - self._seen_cold_ratio)

    def _settle_suspicion(self, sent_s: float) -> None:
        if not self._suspect or sent_s < self._suspect_s:
            return
        self._suspicion_good += 1
        if self._suspicion_good < self._policy.suspicion_answers:
            return
        self._suspect = False
        self._suspicion_good = 0

    def _learn_latency(self, latency_s: float) -> None:
        if self._usual_latency_s <= 0:
            self._usual_latency_s = latency_s
            return
        # A cold upstream answers slowly, so a fall is learnt faster than a
        # rise: otherwise cold answers would set the usual latency.
        weight = 0.1 if latency_s < self._usual_latency_s else 0.05
        self._usual_latency_s += weight * (latency_s - self._usual_latency_s)

    def _begin_step(self, now_s: float) -> None:
        self._step_began_s = now_s
        self._good = 0
        self._step_latencies_s: list[float] = []

    def _try_step(self, now_s: float) -> None:
        if self.warm or self._suspect:
            return
        if self._good < self._policy.good_answers * self._limit:
            return
        if now_s - self._step_began_s < self._policy.step_min_s:
            return
        if self._vetoed(now_s):
            return
        typical_s = statistics.median(self._step_latencies_s)
        previous_s = self._previous_step_s
        self._previous_step_s = typical_s
        self._begin_step(now_s)
        # The first stretch after a start has nothing to be compared with.
        if previous_s is None:
            return
        if typical_s < previous_s * self._policy.steady_ratio:
            return
        self._limit = min(self._policy.full_requests, self._limit * 2)

    def _vetoed(self, now_s: float) -> bool:
        ramp_age_s = now_s - self._ramp_began_s
        return (
            now_s < self._veto_until_s and ramp_age_s < self._policy.veto_max_s
        )
