"""Claims about the budget of store calls."""

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
        starts.append(now_s + budget.wait_s(now_s))
    for index, start_s in enumerate(starts):
        for later in range(index, len(starts)):
            allowed = 5.0 + 10.0 * (starts[later] - start_s) + 1e-6
            assert later - index + 1 <= allowed + 1.0


def test_waits_grow_and_are_drawn_anew() -> None:
    bounds = []

    def _uniform(low: float, high: float) -> float:
        assert low == 0.0
        bounds.append(high)
        return high

    backoff = store_budget.Backoff(_uniform)
    for _ in range(12):
        backoff.failed()
    assert bounds[0] == store_budget.FIRST_BACKOFF_S
    assert bounds[1] == 2 * bounds[0]
    assert bounds[-1] == store_budget.LONGEST_BACKOFF_S
    assert backoff.failing
    backoff.succeeded()
    assert not backoff.failing
    backoff.failed()
    assert bounds[-1] == store_budget.FIRST_BACKOFF_S


def test_640_daemons_return_within_the_rate() -> None:
    window_s = store_budget.recovery_window_s(640, 5)
    buckets = [0] * (int(window_s) + 1)
    for daemon in range(640):
        uniform = store_budget.seeded_uniform(f"d{daemon}")
        buckets[int(uniform(0.0, window_s))] += 5
    # Whole seconds of a uniform draw differ by a few standard deviations.
    assert max(buckets) < 1.5 * store_budget.RECOVERY_CALLS_PER_S


def test_writes_of_one_object_are_folded_and_not_overlapped() -> None:
    queue = store_budget.WriteQueue()
    queue.put("status", "a", b"1")
    queue.put("status", "a", b"2")
    assert queue.folded == 1
    assert queue.take() == ("status", "a", b"2")
    queue.put("status", "a", b"3")
    assert queue.take() is None
    queue.put("status", "b", b"1")
    assert queue.take() == ("status", "b", b"1")
    queue.finished("status", "a")
    assert queue.take() == ("status", "a", b"3")


def test_a_waiting_call_keeps_its_place() -> None:
    budget = store_budget.CallBudget(rate_per_s=1.0, burst_calls=1.0)
    waits = [budget.wait_s(0.0) for _ in range(3)]
    assert waits == pytest.approx([0.0, 1.0, 2.0])


def test_640_daemons_ask_a_dead_store_slowly() -> None:
    longest_s = store_budget.longest_backoff_s(640)
    waits = []
    for daemon in range(640):
        uniform = store_budget.seeded_uniform(f"d{daemon}")
        backoff = store_budget.Backoff(uniform, longest_s)
        waits += [backoff.failed() for _ in range(20)][10:]
    calls_per_s = len(waits) / (sum(waits) / 640)
    assert calls_per_s < 1.2 * store_budget.OUTAGE_CALLS_PER_S
    assert store_budget.longest_backoff_s(11) == store_budget.LONGEST_BACKOFF_S
