"""Tests of the ramp that limits requests to a cold upstream."""

import pytest

from sardinehill.core import ramp

_POLICY = ramp.RampPolicy(cold_start_requests=1, full_requests=4)


def _serve(
    upstream_ramp: ramp.Ramp,
    now_s: float,
    seconds: float,
    latency_s: float = 0.01,
    incarnation: str = "a",
) -> float:
    """Answers one request after another and returns the final time."""
    end_s = now_s + seconds
    while now_s < end_s:
        now_s += latency_s
        upstream_ramp.record_answer(now_s, incarnation, latency_s)
    return now_s


@pytest.fixture
def warm() -> tuple[ramp.Ramp, float]:
    upstream_ramp = ramp.Ramp.for_new_upstream(_POLICY, 0.0)
    return upstream_ramp, _serve(upstream_ramp, 0.0, 5.0)


def test_an_upstream_that_answers_steadily_is_warm_in_two_seconds():
    upstream_ramp = ramp.Ramp.for_new_upstream(_POLICY, 0.0)
    _serve(upstream_ramp, 0.0, 2.0)
    assert upstream_ramp.is_warm


def test_time_alone_raises_nothing():
    upstream_ramp = ramp.Ramp.for_new_upstream(_POLICY, 0.0)
    upstream_ramp.record_answer(1.0, "a", 0.01)
    assert upstream_ramp.allowed_in_flight(1.0) == 1
    assert upstream_ramp.allowed_in_flight(10000.0) == 1


def test_many_answers_at_once_raise_nothing():
    upstream_ramp = ramp.Ramp.for_new_upstream(_POLICY, 0.0)
    for _ in range(1000):
        upstream_ramp.record_answer(0.1, "a", 0.01)
    assert upstream_ramp.allowed_in_flight(0.1) == 1


def test_latency_that_still_falls_holds_the_ramp():
    upstream_ramp = ramp.Ramp.for_new_upstream(_POLICY, 0.0)
    now_s = 0.0
    latency_s = 0.3
    while latency_s > 0.01:
        now_s = _serve(upstream_ramp, now_s, 10 * latency_s, latency_s)
        assert upstream_ramp.allowed_in_flight(now_s) == 1
        latency_s *= 0.5


def test_a_new_incarnation_restarts_the_ramp(warm):
    upstream_ramp, now_s = warm
    assert upstream_ramp.allowed_in_flight(now_s) == 4
    assert upstream_ramp.record_answer(now_s, "b", 0.01)
    assert upstream_ramp.allowed_in_flight(now_s) == 1
    assert upstream_ramp.limit_requests == 1


def test_a_late_answer_of_the_previous_incarnation_changes_nothing(warm):
    upstream_ramp, now_s = warm
    upstream_ramp.record_answer(now_s, "b", 0.01)
    assert not upstream_ramp.record_answer(now_s, "a", 0.01)
    assert upstream_ramp.incarnation == "b"


def test_a_cold_refusal_pauses_and_restarts_the_ramp(warm):
    upstream_ramp, now_s = warm
    upstream_ramp.record_cold_refusal(now_s)
    assert upstream_ramp.allowed_in_flight(now_s) == 0
    later_s = now_s + _POLICY.cold_refusal_pause_s
    assert upstream_ramp.allowed_in_flight(later_s) == 1


def test_one_lost_connection_does_not_restart_the_ramp(warm):
    upstream_ramp, now_s = warm
    upstream_ramp.record_connection_loss(now_s)
    assert upstream_ramp.allowed_in_flight(now_s) == 1
    now_s = _serve(upstream_ramp, now_s, 0.05)
    assert upstream_ramp.allowed_in_flight(now_s) == 4


def test_answers_to_earlier_requests_do_not_clear_a_suspicion(warm):
    upstream_ramp, now_s = warm
    upstream_ramp.record_connection_loss(now_s)
    for _ in range(10):
        upstream_ramp.record_answer(now_s + 0.005, "a", 0.01)
    assert upstream_ramp.allowed_in_flight(now_s + 0.005) == 1
    for _ in range(10):
        upstream_ramp.record_answer(now_s + 0.02, "a", 0.01)
    assert upstream_ramp.allowed_in_flight(now_s + 0.02) == 4


def test_a_burst_of_lost_connections_restarts_the_ramp(warm):
    upstream_ramp, now_s = warm
    for _ in range(_POLICY.reset_burst_count):
        upstream_ramp.record_connection_loss(now_s)
    now_s = _serve(upstream_ramp, now_s, 0.05)
    assert upstream_ramp.allowed_in_flight(now_s) == 1


def test_a_latency_jump_limits_requests_until_it_is_over(warm):
    upstream_ramp, now_s = warm
    for _ in range(_POLICY.latency_jump_answers):
        now_s += 0.04
        upstream_ramp.record_answer(now_s, "a", 0.04)
    assert upstream_ramp.allowed_in_flight(now_s) == 1
    now_s = _serve(upstream_ramp, now_s, 0.05)
    assert upstream_ramp.allowed_in_flight(now_s) == 4


def test_latency_noise_raises_the_jump_threshold(warm):
    upstream_ramp, now_s = warm
    for _ in range(30):
        for latency_s in (0.04, 0.04, 0.01):
            now_s += latency_s
            upstream_ramp.record_answer(now_s, "a", latency_s)
    for _ in range(_POLICY.latency_jump_answers):
        now_s += 0.04
        upstream_ramp.record_answer(now_s, "a", 0.04)
    assert upstream_ramp.allowed_in_flight(now_s) == 4


def test_becoming_cold_after_a_latency_spike_is_detected(warm):
    upstream_ramp, now_s = warm
    now_s = _serve(upstream_ramp, now_s, 0.8, 0.1)
    now_s = _serve(upstream_ramp, now_s, 1.0, 0.01)
    _serve(upstream_ramp, now_s, 0.2, 0.035)
    assert upstream_ramp.allowed_in_flight(now_s + 0.2) == 1


def test_lasting_slowness_becomes_the_baseline_latency(warm):
    upstream_ramp, now_s = warm
    now_s = _serve(upstream_ramp, now_s, 0.7, 0.04)
    assert upstream_ramp.allowed_in_flight(now_s) == 1
    now_s = _serve(upstream_ramp, now_s, 1.3, 0.04)
    assert upstream_ramp.allowed_in_flight(now_s) == 4


def test_a_slowdown_beyond_a_cold_start_keeps_its_slots(warm):
    upstream_ramp, now_s = warm
    now_s = _serve(upstream_ramp, now_s, 2.0, 0.1)
    assert upstream_ramp.allowed_in_flight(now_s) == 4


def test_an_observed_cold_start_sets_the_cold_latency_ratio(warm):
    upstream_ramp, now_s = warm
    now_s = _serve(upstream_ramp, now_s, 0.5, 0.1, "b")
    now_s = _serve(upstream_ramp, now_s, 4.0, 0.01, "b")
    assert upstream_ramp.allowed_in_flight(now_s) == 4
    now_s = _serve(upstream_ramp, now_s, 0.5, 0.1, "b")
    assert upstream_ramp.allowed_in_flight(now_s) == 1


def test_silence_limits_requests_until_one_answer(warm):
    upstream_ramp, now_s = warm
    now_s += _POLICY.confirmation_ttl_s + 0.1
    assert upstream_ramp.allowed_in_flight(now_s) == 1
    upstream_ramp.record_answer(now_s, "a", 0.01)
    assert upstream_ramp.allowed_in_flight(now_s) == 4


def test_a_cold_report_delays_the_ramp_for_a_bounded_time():
    upstream_ramp = ramp.Ramp.for_new_upstream(_POLICY, 0.0)
    now_s = 0.0
    for _ in range(20):
        upstream_ramp.record_cold_report(now_s)
        now_s = _serve(upstream_ramp, now_s, 1.0)
        assert upstream_ramp.limit_requests == 1
    for _ in range(40):
        upstream_ramp.record_cold_report(now_s)
        now_s = _serve(upstream_ramp, now_s, 1.0)
    assert upstream_ramp.is_warm


def test_a_gateway_with_a_handover_resumes_after_one_answer(warm):
    old, now_s = warm
    new = ramp.Ramp(_POLICY, now_s, old.make_handover(now_s, 0, 0.0))
    assert new.allowed_in_flight(now_s) == 1
    new.record_answer(now_s + 0.01, "a", 0.01)
    assert new.allowed_in_flight(now_s + 0.01) == 4


def test_a_gateway_without_a_handover_waits_for_the_lost_gateways_requests():
    upstream_ramp = ramp.Ramp(_POLICY, 0.0)
    assert (
        upstream_ramp.allowed_in_flight(_POLICY.lost_gateway_drain_s - 0.01)
        == 0
    )
    assert upstream_ramp.allowed_in_flight(_POLICY.lost_gateway_drain_s) == 1


def test_requests_of_the_old_gateway_count_until_they_must_have_ended(warm):
    old, now_s = warm
    new = ramp.Ramp(_POLICY, now_s, old.make_handover(now_s, 3, 1.0))
    assert new.allowed_in_flight(now_s) == 0
    new.record_answer(now_s + 0.01, "a", 0.01)
    assert new.allowed_in_flight(now_s + 0.01) == 1
    assert new.allowed_in_flight(now_s + 1.0) == 4


def test_a_second_handover_keeps_the_first_gateways_requests(warm):
    first, now_s = warm
    second = ramp.Ramp(_POLICY, now_s, first.make_handover(now_s, 2, 1.0))
    third = ramp.Ramp(_POLICY, now_s, second.make_handover(now_s, 0, 0.0))
    third.record_answer(now_s, "a", 0.01)
    assert third.allowed_in_flight(now_s + 0.5) == 2
