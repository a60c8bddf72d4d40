"""Tests of the limits on store calls."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sardinehill.core import store_budget


@given(st.lists(st.floats(0.0, 0.2), min_size=1, max_size=200))
def test_calls_never_exceed_rate_and_burst(gaps_s: list[float]) -> None:
    budget = store_budget.CallBudget(rate_per_s=10.0, burst_calls=5.0)
    now_s = 0.0
    starts = []
    for gap_s in gaps_s:
        now_s += gap_s
        starts.append(now_s + budget.reserve_call_wait_s(now_s))
    for index, start_s in enumerate(starts):
        for later in range(index, len(starts)):
            allowed = 5.0 + 10.0 * (starts[later] - start_s) + 1e-6
            assert later - index + 1 <= allowed + 1.0


def test_backoff_bound_doubles_up_to_the_maximum() -> None:
    bounds = []

    def _uniform(low: float, high: float) -> float:
        assert low == 0.0
        bounds.append(high)
        return high

    backoff = store_budget.Backoff(_uniform)
    for _ in range(12):
        backoff.record_failure()
    assert bounds[0] == store_budget.INITIAL_BACKOFF_S
    assert bounds[1] == 2 * bounds[0]
    assert bounds[-1] == store_budget.MAX_BACKOFF_S
    assert backoff.is_failing
    backoff.record_success()
    assert not backoff.is_failing
    backoff.record_failure()
    assert bounds[-1] == store_budget.INITIAL_BACKOFF_S


def test_recovery_of_640_daemons_stays_within_the_rate() -> None:
    window_s = store_budget.recovery_window_s(640, 5)
    buckets = [0] * (int(window_s) + 1)
    for daemon in range(640):
        uniform = store_budget.seeded_uniform(f"d{daemon}")
        buckets[int(uniform(0.0, window_s))] += 5
    # The counts of a uniform draw per second vary by a few standard deviations.
    assert max(buckets) < 1.5 * store_budget.FLEET_RECOVERY_CALLS_PER_S


def test_writes_of_one_object_are_coalesced_and_serialized() -> None:
    queue = store_budget.WriteQueue()
    queue.put("status", "a", b"1")
    queue.put("status", "a", b"2")
    assert queue.replaced_writes == 1
    assert queue.take() == ("status", "a", b"2")
    queue.put("status", "a", b"3")
    assert queue.take() is None
    queue.put("status", "b", b"1")
    assert queue.take() == ("status", "b", b"1")
    queue.finish("status", "a")
    assert queue.take() == ("status", "a", b"3")


def test_waiting_calls_are_served_in_order() -> None:
    budget = store_budget.CallBudget(rate_per_s=1.0, burst_calls=1.0)
    waits = [budget.reserve_call_wait_s(0.0) for _ in range(3)]
    assert waits == pytest.approx([0.0, 1.0, 2.0])


def test_640_daemons_call_an_unavailable_store_slowly() -> None:
    longest_s = store_budget.fleet_max_backoff_s(640)
    waits = []
    for daemon in range(640):
        uniform = store_budget.seeded_uniform(f"d{daemon}")
        backoff = store_budget.Backoff(uniform, longest_s)
        waits += [backoff.record_failure() for _ in range(20)][10:]
    calls_per_s = len(waits) / (sum(waits) / 640)
    assert calls_per_s < 1.2 * store_budget.FLEET_OUTAGE_CALLS_PER_S
    assert store_budget.fleet_max_backoff_s(11) == store_budget.MAX_BACKOFF_S
