"""Tests the ejection of upstreams with a state machine."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill.core import outliers

_POLICY = outliers.OutlierPolicy()
_NAMES = [f"u{number}" for number in range(10)]


class OutlierMachine(stateful.RuleBasedStateMachine):
    """Lets upstreams fail, slow down and recover in any order."""

    make_detector = staticmethod(outliers.OutlierDetector)

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.detector = self.make_detector(_POLICY)
        self.detector.set_upstreams(_NAMES)
        self.in_flight = dict.fromkeys(_NAMES, 0)
        self.names = list(_NAMES)

    @stateful.rule(count=st.integers(1, 20), data=st.data())
    def send(self, count, data):
        for _ in range(count):
            usable = self.detector.usable_upstreams(self.now_s)
            assert usable, "no usable upstream"
            name = data.draw(st.sampled_from(usable))
            ejected = self.detector.ejected_upstreams(self.now_s)
            # If all upstreams are ejected, requests are sent to them anyway.
            if set(ejected) != set(self.names):
                assert name not in ejected, "sent to an ejected upstream"
            others = [
                n
                for n in usable
                if n not in self.detector.recovering_upstreams()
            ]
            if others and name in self.detector.recovering_upstreams():
                assert self.in_flight[name] == 0, (
                    "a recovering upstream got a second request"
                )
            self.in_flight[name] += 1
            self.detector.record_send(name)

    @stateful.rule(
        name=st.sampled_from(_NAMES),
        result=st.sampled_from(["good", "slow", "failed"]),
        count=st.integers(1, 5),
    )
    def end(self, name, result, count):
        for _ in range(count):
            if name not in self.names:
                return
            if self.in_flight[name]:
                self.in_flight[name] -= 1
                self.detector.record_end(name)
            if result == "failed":
                self.detector.record_failure(name, self.now_s)
            else:
                latency_s = 0.005 if result == "good" else 0.2
                self.detector.record_success(name, self.now_s, latency_s)

    @stateful.rule(names=st.sets(st.sampled_from(_NAMES)))
    def everything_fails(self, names):
        for name in names:
            for _ in range(_POLICY.consecutive_failures):
                self.detector.record_failure(name, self.now_s)

    @stateful.rule(name=st.sampled_from(_NAMES), age_s=st.floats(0, 10))
    def freeze(self, name, age_s):
        self.detector.check_overdue(name, self.now_s, age_s)

    @stateful.rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 11.0]))
    def wait(self, seconds):
        self.now_s += seconds

    @stateful.rule(names=st.sets(st.sampled_from(_NAMES), min_size=1))
    def change_upstreams(self, names):
        self.names = sorted(names)
        self.detector.set_upstreams(self.names)
        for name in _NAMES:
            if name not in names:
                self.in_flight[name] = 0

    @stateful.invariant()
    def ejected_ratio_is_bounded(self):
        ejected = self.detector.ejected_upstreams(self.now_s)
        if len(self.names) == len(_NAMES):
            max_excluded = len(_NAMES) * _POLICY.max_ejected_ratio
            recovering = self.detector.recovering_upstreams()
            excluded = set(recovering) | set(ejected)
            assert len(excluded) <= max_excluded, (
                "too many upstreams are excluded"
            )
        assert self.detector.usable_upstreams(self.now_s), "no usable upstream"


SETTINGS = hypothesis.settings(
    max_examples=100,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    print_blob=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_a_service_always_keeps_enough_upstreams():
    stateful.run_state_machine_as_test(OutlierMachine, settings=SETTINGS)


class _EjectsWithoutBound(outliers.OutlierDetector):
    def _may_eject(self):
        return True


class _IgnoresRecoveringUpstreams(outliers.OutlierDetector):
    now_s = 0.0

    def record_failure(self, name, now_s):
        self.now_s = now_s
        super().record_failure(name, now_s)

    def _may_eject(self):
        return len(self.ejected_upstreams(self.now_s)) < 4


class _RecoversAtOnce(outliers.OutlierDetector):
    def _is_usable(self, record, now_s):
        return now_s >= record.ejected_until_s


class _EjectsNothing(outliers.OutlierDetector):
    def usable_upstreams(self, now_s):
        return sorted(self._records)


@pytest.mark.parametrize(
    "mutant",
    [
        _EjectsWithoutBound,
        _IgnoresRecoveringUpstreams,
        _RecoversAtOnce,
        _EjectsNothing,
    ],
)
def test_a_faulty_detector_is_detected(mutant):
    class Machine(OutlierMachine):
        make_detector = staticmethod(mutant)

    settings = hypothesis.settings(
        SETTINGS, max_examples=1000, phases=[hypothesis.Phase.generate]
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Machine, settings=settings)
