"""Claims about an upstream's lane."""

import pytest

from sardinehill import errors
from sardinehill.core import fleet
from sardinehill.core import lane
from sardinehill.core import messages
from sardinehill.core import ramp

_SERVICE = fleet.Service("prenota", divided_by_key=True, queue_requests=100)
_UNKNOWN = ramp.Handover("", 0, 0, 0.0, 0.0)


class _Driver:
    """Pushes requests and answers them in order, on a time of its own."""

    def __init__(self, handover: ramp.Handover | None = _UNKNOWN):
        self.now_s = 100.0
        self.lane: lane.Lane[str] = lane.Lane(_SERVICE, self.now_s, handover)
        self.sent: list[str] = []
        self.refused: list[errors.Reason] = []
        self._number = 0

    def push(self, time_left_s: float = 5.0) -> str:
        self._number += 1
        name = f"request-{self._number}"
        _, refused = self.lane.push(
            "venue", 1.0, name, self.now_s + time_left_s, self.now_s
        )
        self.refused += [one.reason for one in refused]
        self.pump()
        return name

    def pump(self) -> None:
        while True:
            name, refused = self.lane.take(self.now_s)
            self.refused += [one.reason for one in refused]
            if name is None:
                return
            self.lane.began(name, self.now_s, self.now_s + 5.0)
            self.sent.append(name)

    def end(self, fate: lane.Fate = lane.Fate.ANSWERED) -> str:
        name = self.sent.pop(0)
        self.lane.ended(name, self.now_s, fate, "a")
        self.pump()
        return name

    def serve(self, count: int, latency_s: float) -> None:
        for _ in range(count):
            if not self.sent:
                self.push()
            self.now_s += latency_s
            self.end()


@pytest.fixture
def warm() -> _Driver:
    driver = _Driver()
    driver.serve(400, 0.01)
    assert driver.lane.ramp.warm
    return driver


def test_a_cold_upstream_gets_one_request_at_a_time():
    driver = _Driver()
    for _ in range(10):
        driver.push()
    assert len(driver.sent) == 1
    driver.now_s += 0.01
    driver.end()
    assert len(driver.sent) == 1


def test_a_warm_upstream_gets_its_slots_and_a_small_queue(warm):
    for _ in range(50):
        warm.push()
        assert len(warm.sent) <= 4
    assert len(warm.sent) >= 3


def test_a_lost_request_keeps_its_place_until_its_fate_is_known(warm):
    for _ in range(10):
        warm.push()
    before = len(warm.sent)
    lost = warm.end(lane.Fate.TIMED_OUT)
    assert warm.lane.in_flight(warm.now_s) == before
    assert warm.lane.orphans(warm.now_s) == [lost]
    warm.lane.orphan_ended(lost)
    assert warm.lane.in_flight(warm.now_s) == before - 1


def test_a_cancel_that_comes_too_late_frees_the_place_after_a_while(warm):
    warm.push()
    lost = warm.end(lane.Fate.TIMED_OUT)
    warm.lane.orphan_cancelled(lost, warm.now_s)
    later_s = warm.now_s + lane.CANCEL_SETTLES_S
    assert warm.lane.in_flight(later_s - 0.01) == 1
    assert warm.lane.in_flight(later_s) == 0


def test_a_request_that_can_not_be_answered_in_time_is_refused_early(warm):
    for _ in range(100):
        warm.push(time_left_s=0.1)
    assert errors.Reason.QUEUE_FULL in warm.refused
    assert len(warm.refused) > 50


def test_an_overload_leaves_no_refusals_behind(warm):
    warm.serve(100, 2.0)
    while warm.sent:
        warm.end()
    warm.refused.clear()
    warm.push(time_left_s=0.5)
    assert warm.sent
    assert not warm.refused


def test_a_slow_moment_is_forgotten_after_a_silence(warm):
    warm.serve(5, 0.5)
    while warm.sent:
        warm.end()
    assert warm.lane.latency_s(warm.now_s) > 0.1
    later_s = warm.now_s + lane.FORGET_LATENCY_S + 0.1
    assert warm.lane.latency_s(later_s) == pytest.approx(0.01, rel=0.5)


def test_a_frozen_upstream_looks_slower_by_the_second(warm):
    warm.push()
    assert warm.lane.latency_s(warm.now_s + 3.0) == pytest.approx(3.0)


def test_a_closed_lane_sends_nothing_and_refuses_what_waits(warm):
    for _ in range(10):
        warm.push()
    in_flight = len(warm.sent)
    refused = warm.lane.close(errors.Reason.NOT_GATEWAY)
    assert len(refused) == 10 - in_flight
    warm.end()
    assert len(warm.sent) == in_flight - 1
    handover = warm.lane.hand_over(warm.now_s)
    assert handover.in_flight == in_flight - 1
    assert handover.incarnation == "a"


def test_an_upstream_that_does_not_listen_is_left_alone_for_a_moment(warm):
    warm.push()
    warm.end(lane.Fate.NOT_SENT)
    warm.push()
    assert not warm.sent
    warm.now_s += 0.3
    warm.pump()
    assert len(warm.sent) == 1


@pytest.mark.parametrize("fate", list(lane.Fate))
def test_only_a_proof_that_nothing_ran_sends_a_request_again(fate):
    answer = messages.refusal(
        "a", errors.Reason.SHED, errors.Verdict.MAY_HAVE_RUN
    )
    outcome = lane.Outcome(fate, answer)
    proven = fate in (lane.Fate.SHED, lane.Fate.COLD, lane.Fate.NOT_SENT)
    assert lane.may_send_again(outcome, 1) is proven
    assert not lane.may_send_again(outcome, lane.SENDINGS_MAX)
