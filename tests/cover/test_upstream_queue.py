"""Tests of the queue, the limits and the ramp of one upstream."""

import pytest

from sardinehill import errors
from sardinehill.core import fleet
from sardinehill.core import forward_messages
from sardinehill.core import ramp
from sardinehill.core import upstream_queue

_SERVICE = fleet.ServiceConfig(
    "prenota", divided_by_key=True, queue_requests=100
)
_UNKNOWN = ramp.Handover("", 0, 0, 0.0, 0.0)


class _Driver:
    """Pushes requests and answers them in order, on its own clock."""

    def __init__(self, handover: ramp.Handover | None = _UNKNOWN):
        self.now_s = 100.0
        self.queue: upstream_queue.UpstreamQueue[str] = (
            upstream_queue.UpstreamQueue(_SERVICE, self.now_s, handover)
        )
        self.sent: list[str] = []
        self.refused: list[errors.Reason] = []
        self._number = 0

    def push(self, time_left_s: float = 5.0) -> str:
        self._number += 1
        name = f"request-{self._number}"
        _, refused = self.queue.push(
            "venue", 1.0, name, self.now_s + time_left_s, self.now_s
        )
        self.refused += [request.reason for request in refused]
        self.pump()
        return name

    def pump(self) -> None:
        while True:
            name, refused = self.queue.pop(self.now_s)
            self.refused += [request.reason for request in refused]
            if name is None:
                return
            self.queue.record_send(name, self.now_s, self.now_s + 5.0)
            self.sent.append(name)

    def end(
        self,
        disposition: upstream_queue.SendDisposition = (
            upstream_queue.SendDisposition.ANSWERED
        ),
    ) -> str:
        name = self.sent.pop(0)
        self.queue.record_result(name, self.now_s, disposition, "a")
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
    assert driver.queue.ramp.is_warm
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


def test_a_lost_request_counts_as_in_flight_until_it_ends(warm):
    for _ in range(10):
        warm.push()
    before = len(warm.sent)
    lost = warm.end(upstream_queue.SendDisposition.TIMED_OUT)
    assert warm.queue.in_flight_requests(warm.now_s) == before
    assert warm.queue.orphan_ids(warm.now_s) == [lost]
    warm.queue.record_orphan_end(lost)
    assert warm.queue.in_flight_requests(warm.now_s) == before - 1


def test_a_late_cancel_frees_the_slot_after_the_settle_timeout(warm):
    warm.push()
    lost = warm.end(upstream_queue.SendDisposition.TIMED_OUT)
    warm.queue.record_orphan_cancel(lost, warm.now_s)
    later_s = warm.now_s + upstream_queue.CANCEL_SETTLE_TIMEOUT_S
    assert warm.queue.in_flight_requests(later_s - 0.01) == 1
    assert warm.queue.in_flight_requests(later_s) == 0


def test_a_request_that_can_not_be_answered_in_time_is_refused_early(warm):
    for _ in range(100):
        warm.push(time_left_s=0.1)
    assert errors.Reason.QUEUE_FULL in warm.refused
    assert len(warm.refused) > 50


def test_requests_are_accepted_after_an_overload(warm):
    warm.serve(100, 2.0)
    while warm.sent:
        warm.end()
    warm.refused.clear()
    warm.push(time_left_s=0.5)
    assert warm.sent
    assert not warm.refused


def test_a_high_latency_expires_without_answers(warm):
    warm.serve(5, 0.5)
    while warm.sent:
        warm.end()
    assert warm.queue.latency_s(warm.now_s) > 0.1
    later_s = warm.now_s + upstream_queue.RECENT_LATENCY_TTL_S + 0.1
    assert warm.queue.latency_s(later_s) == pytest.approx(0.01, rel=0.5)


def test_latency_of_a_frozen_upstream_grows_with_time(warm):
    warm.push()
    assert warm.queue.latency_s(warm.now_s + 3.0) == pytest.approx(3.0)


def test_a_closed_queue_sends_nothing_and_refuses_what_waits(warm):
    for _ in range(10):
        warm.push()
    in_flight = len(warm.sent)
    refused = warm.queue.close(errors.Reason.NOT_GATEWAY)
    assert len(refused) == 10 - in_flight
    warm.end()
    assert len(warm.sent) == in_flight - 1
    handover = warm.queue.make_handover(warm.now_s)
    assert handover.in_flight == in_flight - 1
    assert handover.incarnation == "a"


def test_nothing_is_sent_for_a_while_after_a_connection_failure(warm):
    warm.push()
    warm.end(upstream_queue.SendDisposition.NOT_SENT)
    warm.push()
    assert not warm.sent
    warm.now_s += 0.3
    warm.pump()
    assert len(warm.sent) == 1


@pytest.mark.parametrize("disposition", list(upstream_queue.SendDisposition))
def test_only_requests_proven_not_run_are_requeued(disposition):
    answer = forward_messages.refusal_answer(
        "a", errors.Reason.SHED, errors.Verdict.MAY_HAVE_RUN
    )
    result = upstream_queue.SendResult(disposition, answer)
    proven_not_run = disposition in (
        upstream_queue.SendDisposition.SHED,
        upstream_queue.SendDisposition.COLD,
        upstream_queue.SendDisposition.NOT_SENT,
    )
    assert upstream_queue.may_requeue(result, 1) is proven_not_run
    assert not upstream_queue.may_requeue(
        result, upstream_queue.MAX_SEND_ATTEMPTS
    )
