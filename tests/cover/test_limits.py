"""Claims about concurrency limits and requests in flight."""

import hypothesis
from hypothesis import strategies as st
import pytest

from sardinehill.core import limits

_POLICY = limits.LimitPolicy(slots=3, queue_requests=1)


@pytest.fixture
def limit() -> limits.AdaptiveLimit:
    return limits.AdaptiveLimit(_POLICY)


def test_a_used_limit_grows_to_the_slots_and_the_small_queue(limit):
    for _ in range(100):
        limit.answered(0.005, 0.005, limit.requests)
    assert limit.requests == 4


def test_an_unused_limit_stays(limit):
    for _ in range(100):
        limit.answered(0.005, 0.005, 1)
    assert limit.requests == 3


def test_slowness_gives_up_the_queue_but_no_slot(limit):
    for _ in range(100):
        limit.answered(0.005, 0.005, limit.requests)
    for _ in range(100):
        limit.answered(0.05, 0.005, limit.requests)
    assert limit.requests == 3


def test_a_burst_of_refusals_cuts_once(limit):
    for _ in range(10):
        limit.shed(5.0)
    assert limit.requests == 2


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.booleans(), st.floats(0, 10), st.integers(0, 10), st.floats(0, 1)
        )
    )
)
def test_the_limit_stays_within_its_bounds(events):
    limit = limits.AdaptiveLimit(_POLICY)
    now_s = 0.0
    for shed, latency_s, in_flight, elapsed_s in events:
        now_s += elapsed_s
        if shed:
            limit.shed(now_s)
        else:
            limit.answered(latency_s, 0.005, in_flight)
        assert 1 <= limit.requests <= 4


def test_an_abandoned_request_counts_until_its_fate_is_known():
    ledger = limits.InFlight(orphan_s=10.0)
    ledger.sent("a", 0.0, 1.0)
    ledger.abandoned("a", 1.0)
    assert ledger.count(5.0) == 1
    assert ledger.orphans(5.0) == ["a"]
    ledger.ended("a")
    assert ledger.count(5.0) == 0


def test_an_abandoned_request_ends_at_last():
    ledger = limits.InFlight(orphan_s=10.0)
    ledger.sent("a", 0.0, 1.0)
    ledger.abandoned("a", 0.5)
    assert ledger.count(10.9) == 1
    assert ledger.count(11.0) == 0


def test_a_restart_ends_what_was_abandoned_and_nothing_else():
    ledger = limits.InFlight()
    ledger.sent("a", 0.0, 1.0)
    ledger.sent("b", 0.0, 1.0)
    ledger.abandoned("a", 0.5)
    ledger.upstream_restarted()
    assert ledger.count(0.5) == 1


def test_the_ledger_knows_its_oldest_and_its_last():
    ledger = limits.InFlight()
    assert ledger.oldest_age_s(1.0) == 0.0
    ledger.sent("a", 1.0, 5.0)
    ledger.sent("b", 2.0, 4.0)
    assert ledger.oldest_age_s(3.0) == 2.0
    assert ledger.longest_left_s(3.0) == 2.0
