"""Claims about the cold-start ramp."""

import pytest

from sardinehill.core import ramp

_POLICY = ramp.RampPolicy(cold_start_requests=1, full_requests=4)


def _serve(
    subject: ramp.Ramp,
    now_s: float,
    seconds: float,
    latency_s: float = 0.01,
    incarnation: str = "a",
) -> float:
    """Answers one request after another, and returns the time."""
    end_s = now_s + seconds
    while now_s < end_s:
        now_s += latency_s
        subject.answered(now_s, incarnation, latency_s)
    return now_s


@pytest.fixture
def warm() -> tuple[ramp.Ramp, float]:
    subject = ramp.Ramp.first(_POLICY, 0.0)
    return subject, _serve(subject, 0.0, 5.0)


def test_an_upstream_that_answers_steadily_is_warm_in_two_seconds():
    subject = ramp.Ramp.first(_POLICY, 0.0)
    _serve(subject, 0.0, 2.0)
    assert subject.warm


def test_time_alone_raises_nothing():
    subject = ramp.Ramp.first(_POLICY, 0.0)
    subject.answered(1.0, "a", 0.01)
    assert subject.allowance(1.0) == 1
    assert subject.allowance(10000.0) == 1


def test_many_answers_at_once_raise_nothing():
    subject = ramp.Ramp.first(_POLICY, 0.0)
    for _ in range(1000):
        subject.answered(0.1, "a", 0.01)
    assert subject.allowance(0.1) == 1


def test_latency_that_still_falls_holds_the_ramp():
    subject = ramp.Ramp.first(_POLICY, 0.0)
    now_s = 0.0
    latency_s = 0.3
    while latency_s > 0.01:
        now_s = _serve(subject, now_s, 10 * latency_s, latency_s)
        assert subject.allowance(now_s) == 1
        latency_s *= 0.5


def test_a_new_incarnation_begins_anew(warm):
    subject, now_s = warm
    assert subject.allowance(now_s) == 4
    assert subject.answered(now_s, "b", 0.01)
    assert subject.allowance(now_s) == 1
    assert subject.limit_requests == 1


def test_a_late_answer_of_the_last_incarnation_changes_nothing(warm):
    subject, now_s = warm
    subject.answered(now_s, "b", 0.01)
    assert not subject.answered(now_s, "a", 0.01)
    assert subject.incarnation == "b"


def test_a_refusal_for_coldness_stops_and_begins_anew(warm):
    subject, now_s = warm
    subject.refused_cold(now_s)
    assert subject.allowance(now_s) == 0
    later_s = now_s + _POLICY.refusal_pause_s
    assert subject.allowance(later_s) == 1


def test_one_lost_connection_costs_a_few_answers_and_no_ramp(warm):
    subject, now_s = warm
    subject.connection_lost(now_s)
    assert subject.allowance(now_s) == 1
    now_s = _serve(subject, now_s, 0.05)
    assert subject.allowance(now_s) == 4


def test_answers_to_requests_sent_before_a_doubt_do_not_settle_it(warm):
    subject, now_s = warm
    subject.connection_lost(now_s)
    for _ in range(10):
        subject.answered(now_s + 0.005, "a", 0.01)
    assert subject.allowance(now_s + 0.005) == 1
    for _ in range(10):
        subject.answered(now_s + 0.02, "a", 0.01)
    assert subject.allowance(now_s + 0.02) == 4


def test_a_burst_of_lost_connections_begins_anew(warm):
    subject, now_s = warm
    for _ in range(_POLICY.resets_in_burst):
        subject.connection_lost(now_s)
    now_s = _serve(subject, now_s, 0.05)
    assert subject.allowance(now_s) == 1


def test_a_latency_jump_allows_a_trickle_until_it_is_over(warm):
    subject, now_s = warm
    for _ in range(_POLICY.jump_answers):
        now_s += 0.04
        subject.answered(now_s, "a", 0.04)
    assert subject.allowance(now_s) == 1
    now_s = _serve(subject, now_s, 0.05)
    assert subject.allowance(now_s) == 4


def test_noise_raises_the_bar_for_what_is_a_jump(warm):
    subject, now_s = warm
    for _ in range(30):
        for latency_s in (0.04, 0.04, 0.01):
            now_s += latency_s
            subject.answered(now_s, "a", latency_s)
    for _ in range(_POLICY.jump_answers):
        now_s += 0.04
        subject.answered(now_s, "a", 0.04)
    assert subject.allowance(now_s) == 4


def test_a_fall_soon_after_a_straggling_moment_is_seen(warm):
    subject, now_s = warm
    now_s = _serve(subject, now_s, 0.8, 0.1)
    now_s = _serve(subject, now_s, 1.0, 0.01)
    _serve(subject, now_s, 0.2, 0.035)
    assert subject.allowance(now_s + 0.2) == 1


def test_a_lasting_slowness_becomes_the_usual_latency(warm):
    subject, now_s = warm
    now_s = _serve(subject, now_s, 0.7, 0.04)
    assert subject.allowance(now_s) == 1
    now_s = _serve(subject, now_s, 1.3, 0.04)
    assert subject.allowance(now_s) == 4


def test_a_straggler_that_no_cold_start_explains_keeps_its_slots(warm):
    subject, now_s = warm
    now_s = _serve(subject, now_s, 2.0, 0.1)
    assert subject.allowance(now_s) == 4


def test_a_cold_start_that_was_seen_tells_how_slow_a_cold_one_is(warm):
    subject, now_s = warm
    now_s = _serve(subject, now_s, 0.5, 0.1, "b")
    now_s = _serve(subject, now_s, 4.0, 0.01, "b")
    assert subject.allowance(now_s) == 4
    now_s = _serve(subject, now_s, 0.5, 0.1, "b")
    assert subject.allowance(now_s) == 1


def test_silence_allows_a_trickle_until_one_answer(warm):
    subject, now_s = warm
    now_s += _POLICY.confirm_s + 0.1
    assert subject.allowance(now_s) == 1
    subject.answered(now_s, "a", 0.01)
    assert subject.allowance(now_s) == 4


def test_a_cold_report_holds_the_ramp_for_a_bounded_time():
    subject = ramp.Ramp.first(_POLICY, 0.0)
    now_s = 0.0
    for _ in range(20):
        subject.reported_cold(now_s)
        now_s = _serve(subject, now_s, 1.0)
        assert subject.limit_requests == 1
    for _ in range(40):
        subject.reported_cold(now_s)
        now_s = _serve(subject, now_s, 1.0)
    assert subject.warm


def test_a_gateway_that_was_told_goes_on_after_one_answer(warm):
    old, now_s = warm
    new = ramp.Ramp(_POLICY, now_s, old.hand_over(now_s, 0, 0.0))
    assert new.allowance(now_s) == 1
    new.answered(now_s + 0.01, "a", 0.01)
    assert new.allowance(now_s + 0.01) == 4


def test_a_gateway_that_was_not_told_waits_for_the_lost_ones_requests():
    subject = ramp.Ramp(_POLICY, 0.0)
    assert subject.allowance(_POLICY.settle_s - 0.01) == 0
    assert subject.allowance(_POLICY.settle_s) == 1


def test_requests_of_the_old_gateway_count_until_they_must_have_ended(warm):
    old, now_s = warm
    new = ramp.Ramp(_POLICY, now_s, old.hand_over(now_s, 3, 1.0))
    assert new.allowance(now_s) == 0
    new.answered(now_s + 0.01, "a", 0.01)
    assert new.allowance(now_s + 0.01) == 1
    assert new.allowance(now_s + 1.0) == 4


def test_a_handover_passed_on_at_once_keeps_older_requests(warm):
    first, now_s = warm
    second = ramp.Ramp(_POLICY, now_s, first.hand_over(now_s, 2, 1.0))
    third = ramp.Ramp(_POLICY, now_s, second.hand_over(now_s, 0, 0.0))
    third.answered(now_s, "a", 0.01)
    assert third.allowance(now_s + 0.5) == 2
