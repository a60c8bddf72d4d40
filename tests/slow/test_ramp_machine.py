"""Tests one upstream's ramp over successive gateways."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill.core import ramp

_POLICY = ramp.RampPolicy(
    cold_start_requests=1, full_requests=4, step_answers_per_request=4
)
_WARM_LATENCY_S = 0.005
_COLD_LATENCY_S = 0.025
_LATENCY_RATIO_PER_ANSWER = 0.7
_REQUEST_TIMEOUT_S = 1.0


@dataclasses.dataclass
class Request:
    """A request in flight at the upstream."""

    gateway: int
    sent_s: float


class RampMachine(stateful.RuleBasedStateMachine):
    """Sends as the ramp allows to an upstream that turns cold at any time.

    After a restart, the upstream is cold until it has answered often enough. A
    gateway can detect a fall back to cold only by a refusal or several slow
    answers, so the limit is checked only after that.
    """

    make_ramp = staticmethod(ramp.Ramp)
    make_new_ramp = staticmethod(ramp.Ramp.for_new_upstream)

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.incarnation = 1
        self.latency_s = _COLD_LATENCY_S
        self.in_flight: list[Request] = []
        self.gateway = 0
        self.cold_is_visible = True
        self.slow_answers = 0
        self.ramp = self.make_new_ramp(_POLICY, self.now_s)

    def _own_in_flight(self) -> int:
        return sum(r.gateway == self.gateway for r in self.in_flight)

    def _expire(self) -> None:
        """Removes former gateways' requests past their deadline.

        The upstream drops a request at its deadline.
        """
        self.in_flight = [
            r
            for r in self.in_flight
            if self.now_s - r.sent_s < _REQUEST_TIMEOUT_S
            or r.gateway == self.gateway
        ]

    @stateful.rule(count=st.integers(1, 6))
    def send(self, count):
        for _ in range(count):
            if self._own_in_flight() >= self.ramp.allowed_in_flight(self.now_s):
                return
            self.in_flight.append(Request(self.gateway, self.now_s))
            cold = self.latency_s > _WARM_LATENCY_S
            if cold and self.cold_is_visible:
                limit = _POLICY.cold_start_requests
                assert len(self.in_flight) <= limit, (
                    "too many requests at a cold upstream"
                )

    @stateful.rule(count=st.integers(1, 12))
    def serve(self, count):
        """Sends and answers one request after another."""
        for _ in range(count):
            self.send(1)
            self.answer()

    @stateful.rule()
    def warm_up(self):
        """Serves until the ramp has ended, if the upstream is healthy."""
        if self.ramp.is_warm:
            return
        for _ in range(6):
            self.serve(15)
            self.wait(0.6)
        self.serve(1)

    @stateful.rule()
    def answer(self):
        if not self.in_flight:
            return
        request = self.in_flight.pop(0)
        self.now_s += self.latency_s
        latency_s = self.now_s - request.sent_s
        if request.gateway == self.gateway:
            self._count_slow(latency_s)
            self.ramp.record_answer(
                self.now_s, str(self.incarnation), latency_s
            )
        self.latency_s = max(
            _WARM_LATENCY_S, self.latency_s * _LATENCY_RATIO_PER_ANSWER
        )
        self._expire()

    def _count_slow(self, latency_s: float) -> None:
        """Marks the cold upstream as visible after several slow answers.

        A single slow answer is no sign, since any upstream can be slow at
        times.
        """
        slow = latency_s > 3 * _WARM_LATENCY_S
        self.slow_answers = self.slow_answers + 1 if slow else 0
        if self.slow_answers >= _POLICY.latency_jump_answers:
            self.cold_is_visible = True

    @stateful.rule(seconds=st.sampled_from([0.01, 0.3, 0.6, 1.5]))
    def wait(self, seconds):
        self.now_s += seconds
        self._expire()

    @stateful.rule()
    def restart(self):
        """Restarts the upstream; its gateway sees the connections close."""
        lost = max(1, self._own_in_flight())
        self.in_flight.clear()
        self.incarnation += 1
        self.latency_s = _COLD_LATENCY_S
        self.cold_is_visible = True
        for _ in range(lost):
            self.ramp.record_connection_loss(self.now_s)

    @stateful.rule()
    def restart_while_idle(self):
        """Restarts the idle upstream without closing a connection."""
        if self.in_flight:
            return
        self.now_s += _POLICY.confirmation_ttl_s + 0.01
        self.incarnation += 1
        self.latency_s = _COLD_LATENCY_S
        self.cold_is_visible = True

    @stateful.rule()
    def fall_cold(self):
        """Makes the upstream cold without any sign that a gateway can see."""
        self.latency_s = _COLD_LATENCY_S
        self.cold_is_visible = False
        self.slow_answers = 0

    @stateful.rule()
    def refuse_cold(self):
        if not self._own_in_flight() or self.latency_s <= _WARM_LATENCY_S:
            return
        own = [r for r in self.in_flight if r.gateway == self.gateway]
        self.in_flight.remove(own[-1])
        self.cold_is_visible = True
        self.ramp.record_cold_refusal(self.now_s)

    @stateful.rule(first_answers=st.integers(0, 2), moved=st.booleans())
    def restart_while_warm(self, first_answers, moved):
        self.warm_up()
        while self.in_flight:
            self.answer()
        if moved:
            self.hand_over()
        self.restart_while_idle()
        self.serve(first_answers)
        self.send(4)

    @stateful.rule()
    def fall_and_refuse(self):
        self.warm_up()
        self.fall_cold()
        self.send(4)
        self.refuse_cold()
        self.wait(0.3)

    @stateful.rule()
    def hand_over(self):
        left_s = [
            request.sent_s + _REQUEST_TIMEOUT_S - self.now_s
            for request in self.in_flight
            if request.gateway == self.gateway
        ]
        handover = self.ramp.make_handover(
            self.now_s, len(left_s), max([0.0, *left_s])
        )
        self.gateway += 1
        self._expire()
        self.ramp = self.make_ramp(_POLICY, self.now_s, handover)

    @stateful.rule()
    def lose_gateway(self):
        self.gateway += 1
        self._expire()
        self.cold_is_visible = True
        self.ramp = self.make_ramp(_POLICY, self.now_s)


SETTINGS = hypothesis.settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    print_blob=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_a_cold_upstream_never_exceeds_its_request_limit():
    stateful.run_state_machine_as_test(RampMachine, settings=SETTINGS)


class _IgnoresTheLostGateway(ramp.Ramp):
    def __init__(self, policy, now_s, handover=None):
        nothing = ramp.Handover("", 0, 0, 0.0, 0.0)
        super().__init__(policy, now_s, handover or nothing)


class _IgnoresInheritedRequests(ramp.Ramp):
    def allowed_in_flight(self, now_s):
        self._inherited_requests = 0
        return super().allowed_in_flight(now_s)


class _TrustsAHandoverWithoutAnAnswer(ramp.Ramp):
    def __init__(self, policy, now_s, handover=None):
        super().__init__(policy, now_s, handover)
        self._last_answer_s = now_s


class _AdvancesByTimeAlone(ramp.Ramp):
    def allowed_in_flight(self, now_s):
        if now_s - self._step_began_s > self._policy.step_min_s:
            self._limit = min(self._policy.full_requests, self._limit * 2)
            self._begin_step(now_s)
        return super().allowed_in_flight(now_s)


class _AdvancesOnAnyAnswer(ramp.Ramp):
    def _try_advance(self, now_s):
        self._limit = min(self._policy.full_requests, self._limit * 2)


class _IgnoresIncarnations(ramp.Ramp):
    def record_answer(self, now_s, incarnation, latency_s):
        return super().record_answer(now_s, "always", latency_s)


class _IgnoresSilence(ramp.Ramp):
    def _is_confirmed(self, now_s):
        return True


class _IgnoresLostConnections(ramp.Ramp):
    def record_connection_loss(self, now_s):
        pass


class _IgnoresColdRefusals(ramp.Ramp):
    def record_cold_refusal(self, now_s):
        pass


class _IgnoresLatencyJumps(ramp.Ramp):
    def _is_latency_jump(self, now_s, latency_s):
        return False


@pytest.mark.parametrize(
    "mutant",
    [
        _IgnoresTheLostGateway,
        _IgnoresInheritedRequests,
        _TrustsAHandoverWithoutAnAnswer,
        _AdvancesByTimeAlone,
        _AdvancesOnAnyAnswer,
        _IgnoresIncarnations,
        _IgnoresSilence,
        _IgnoresLostConnections,
        _IgnoresColdRefusals,
        _IgnoresLatencyJumps,
    ],
)
def test_a_faulty_ramp_is_detected(mutant):
    class Machine(RampMachine):
        make_ramp = staticmethod(mutant)
        make_new_ramp = staticmethod(mutant.for_new_upstream)

    settings = hypothesis.settings(
        SETTINGS, max_examples=3000, phases=[hypothesis.Phase.generate]
    )
    with pytest.raises(
        AssertionError, match="too many requests at a cold upstream"
    ):
        stateful.run_state_machine_as_test(Machine, settings=settings)
