"""Tests of the hedging of requests."""

import pytest

from sardinehill.core import fleet
from sardinehill.core import hedging

_POLICY = hedging.HedgePolicy(budget_ratio=0.05, burst_hedges=10.0)


@pytest.fixture
def hedger() -> hedging.Hedger:
    return hedging.Hedger(_POLICY, 0.0)


@pytest.mark.parametrize(
    ("divided", "wanted", "method", "allowed"),
    [
        (False, True, "GET", True),
        (False, True, "get", True),
        (False, True, "POST", False),
        (False, True, "PUT", False),
        (False, False, "GET", False),
        (True, True, "GET", False),
    ],
)
def test_only_safe_methods_on_undivided_services_are_hedged(
    divided, wanted, method, allowed
):
    service = fleet.ServiceConfig("stock", divided_by_key=divided, hedge=wanted)
    assert hedging.may_hedge(service, method) is allowed


def test_hedges_stay_within_their_share_and_burst(hedger):
    hedges = 0
    for _ in range(10000):
        hedger.record_request()
        hedges += hedger.try_spend()
    assert hedges <= 10000 * _POLICY.budget_ratio + _POLICY.burst_hedges
    assert hedges >= 10000 * _POLICY.budget_ratio - 1


def test_nothing_is_hedged_before_latencies_are_known(hedger):
    assert hedger.delay_s(0.0) is None


def test_a_quarter_of_slow_answers_does_not_move_the_delay(hedger):
    for number in range(1000):
        hedger.record_answer(0.0, 0.1 if number % 4 == 0 else 0.01)
    assert hedger.delay_s(0.0) == pytest.approx(0.03, rel=0.02)


def test_old_latencies_expire(hedger):
    for _ in range(100):
        hedger.record_answer(0.0, 1.0)
    for _ in range(100):
        hedger.record_answer(15.0, 0.01)
    assert hedger.delay_s(15.0) == pytest.approx(0.01, rel=0.02)
