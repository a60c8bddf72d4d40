"""Tests of concurrency limits and of the requests in flight."""

import hypothesis
from hypothesis import strategies as st
import pytest

from sardinehill.core import concurrency_limit

_POLICY = concurrency_limit.AdaptiveLimitPolicy(slots=3, backlog_requests=1)


@pytest.fixture
def limit() -> concurrency_limit.AdaptiveLimit:
    return concurrency_limit.AdaptiveLimit(_POLICY)


def test_a_used_limit_grows_to_the_slots_and_the_backlog(limit):
    for _ in range(100):
        limit.record_answer(0.005, 0.005, limit.limit_requests)
    assert limit.limit_requests == 4


def test_an_unused_limit_stays(limit):
    for _ in range(100):
        limit.record_answer(0.005, 0.005, 1)
    assert limit.limit_requests == 3


def test_slowness_removes_the_backlog_but_no_slot(limit):
    for _ in range(100):
        limit.record_answer(0.005, 0.005, limit.limit_requests)
    for _ in range(100):
        limit.record_answer(0.05, 0.005, limit.limit_requests)
    assert limit.limit_requests == 3


def test_a_burst_of_refusals_cuts_once(limit):
    for _ in range(10):
        limit.record_shed(5.0)
    assert limit.limit_requests == 2


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.booleans(), st.floats(0, 10), st.integers(0, 10), st.floats(0, 1)
        )
    )
)
def test_the_limit_stays_within_its_bounds(events):
    limit = concurrency_limit.AdaptiveLimit(_POLICY)
    now_s = 0.0
    for shed, latency_s, in_flight, elapsed_s in events:
        now_s += elapsed_s
        if shed:
            limit.record_shed(now_s)
        else:
            limit.record_answer(latency_s, 0.005, in_flight)
        assert 1 <= limit.limit_requests <= 4


def test_an_abandoned_request_counts_until_it_ends():
    in_flight_requests = concurrency_limit.InFlightRequests(orphan_ttl_s=10.0)
    in_flight_requests.add("a", 0.0, 1.0)
    in_flight_requests.abandon("a", 1.0)
    assert in_flight_requests.count(5.0) == 1
    assert in_flight_requests.orphan_ids(5.0) == ["a"]
    in_flight_requests.remove("a")
    assert in_flight_requests.count(5.0) == 0


def test_an_abandoned_request_expires():
    in_flight_requests = concurrency_limit.InFlightRequests(orphan_ttl_s=10.0)
    in_flight_requests.add("a", 0.0, 1.0)
    in_flight_requests.abandon("a", 0.5)
    assert in_flight_requests.count(10.9) == 1
    assert in_flight_requests.count(11.0) == 0


def test_a_restart_clears_only_abandoned_requests():
    in_flight_requests = concurrency_limit.InFlightRequests()
    in_flight_requests.add("a", 0.0, 1.0)
    in_flight_requests.add("b", 0.0, 1.0)
    in_flight_requests.abandon("a", 0.5)
    in_flight_requests.clear_orphans()
    assert in_flight_requests.count(0.5) == 1


def test_oldest_age_and_drain_time_of_requests_in_flight():
    in_flight_requests = concurrency_limit.InFlightRequests()
    assert in_flight_requests.oldest_age_s(1.0) == 0.0
    in_flight_requests.add("a", 1.0, 5.0)
    in_flight_requests.add("b", 2.0, 4.0)
    assert in_flight_requests.oldest_age_s(3.0) == 2.0
    assert in_flight_requests.drain_time_s(3.0) == 2.0
