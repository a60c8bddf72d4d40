"""Claims about which upstream owns which keys."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sardinehill.core import key_plan
from sardinehill.core import key_use
from sardinehill.core import keyspace

A, B, C = ("a", 1), ("b", 1), ("c", 1)
EVEN = {life: key_plan.Capacity(3, 1.0) for life in (A, B, C)}
POLICY = key_plan.PlanPolicy()


def weights(use=None, base=0.5):
    return key_plan.Weights(use or {}, base / keyspace.KEY_COUNT)


def planned(assignment, capacities, use=None):
    moves = key_plan.plan(assignment, capacities, weights(use), POLICY)
    keyspace.apply_moves(assignment, moves)
    return assignment


def confirm_all(assignment, now_s=0.0):
    for span in assignment.spans:
        span.former = None
        span.live = True
        span.holds_until_s = now_s + 2.5


def load_of(assignment, life, use):
    table = weights(use)
    return sum(
        table.of(span.first, span.last)
        for span in assignment.spans
        if span.owner == life
    )


def covers_all(assignment):
    expected = 0
    for span in assignment.spans:
        if span.first != expected:
            return False
        expected = span.last + 1
    return expected == keyspace.KEY_COUNT


def test_the_first_plan_divides_unused_keys_evenly():
    assignment = planned(keyspace.empty(), EVEN)
    assert covers_all(assignment)
    shares = [load_of(assignment, life, None) / 0.5 for life in EVEN]
    assert min(shares) > 0.2


def test_a_slow_upstream_gets_less_than_a_fast_one():
    capacities = {A: key_plan.Capacity(3, 0.5), B: key_plan.Capacity(3, 2.0)}
    use = dict.fromkeys(range(0, keyspace.KEY_COUNT, 256), 0.01)
    assignment = planned(keyspace.empty(), capacities, use)
    for _ in range(20):
        confirm_all(assignment)
        planned(assignment, capacities, use)
    assert load_of(assignment, A, use) > 2 * load_of(assignment, B, use)


def test_a_popular_key_ends_alone_on_the_fastest_upstream():
    capacities = {**EVEN, C: key_plan.Capacity(3, 0.6)}
    use = dict.fromkeys(range(0, keyspace.KEY_COUNT, 64), 0.004)
    assignment = planned(keyspace.empty(), capacities, use)
    use[100] = 4.0
    for _ in range(20):
        confirm_all(assignment)
        planned(assignment, capacities, use)
    assert keyspace.find(assignment.spans, 100).owner == C
    assert load_of(assignment, C, use) < 4.0 + 0.5


def test_a_rounding_error_below_no_load_costs_nothing():
    assert key_plan.Capacity(3, 1.0).cost(-1e-17) == 0.0


def test_nothing_moves_while_the_load_is_even():
    use = dict.fromkeys(range(0, keyspace.KEY_COUNT, 512), 0.01)
    assignment = planned(keyspace.empty(), EVEN, use)
    for _ in range(20):
        confirm_all(assignment)
        planned(assignment, EVEN, use)
    confirm_all(assignment)
    assert key_plan.plan(assignment, EVEN, weights(use), POLICY) == []


def test_keys_of_an_upstream_that_left_all_get_another_owner():
    assignment = planned(keyspace.empty(), EVEN)
    confirm_all(assignment)
    planned(assignment, {A: EVEN[A], B: EVEN[B]})
    assert {span.owner for span in assignment.spans} <= {A, B}


def test_a_span_that_waits_for_a_former_owner_is_not_moved_again():
    assignment = keyspace.Assignment(
        [keyspace.Span(0, keyspace.KEY_COUNT - 1, A, 1)], 1
    )
    assignment.spans[0].holds_until_s = 5.0
    keyspace.apply_moves(assignment, [keyspace.Move(0, 10, B)])
    moved = keyspace.apply_moves(assignment, [keyspace.Move(0, 10, C)])
    assert moved == []
    assert assignment.spans[0].owner == B


def test_an_assignment_read_back_is_what_was_written():
    assignment = planned(keyspace.empty(), EVEN)
    confirm_all(assignment)
    keyspace.apply_moves(assignment, [keyspace.Move(5, 9, ("new", 7))])
    document = keyspace.to_document(assignment)
    again = keyspace.from_document(document, 9.0)
    assert keyspace.to_document(again) == document
    assert again.top_epoch == assignment.top_epoch


@pytest.mark.parametrize(
    "document",
    [
        None,
        {},
        {"spans": [], "topEpoch": 1},
        {"spans": [[0, 5, 1, None, None]], "topEpoch": 1},
        {"spans": [[0, 65535, 1, "a", None]], "topEpoch": "x"},
        {"spans": [[1, 65535, 1, None, None]], "topEpoch": 1},
    ],
)
def test_a_broken_assignment_is_refused(document):
    with pytest.raises(ValueError):
        keyspace.from_document(document, 0.0)


@given(st.lists(st.integers(-1, keyspace.KEY_COUNT + 1), max_size=30))
def test_splitting_never_loses_a_key(keys):
    assignment = planned(keyspace.empty(), EVEN)
    for key in keys:
        keyspace.split_at(assignment, key)
        assert covers_all(assignment)


@given(st.integers(0, 2**32))
def test_weights_agree_with_a_plain_sum(seed):
    rng = random.Random(seed)
    use = {rng.randrange(keyspace.KEY_COUNT): rng.random() for _ in range(50)}
    table = weights(use, base=1.0)
    first = rng.randrange(keyspace.KEY_COUNT)
    last = rng.randrange(first, keyspace.KEY_COUNT)
    plain = sum(load for key, load in use.items() if first <= key <= last)
    plain += (last - first + 1) / keyspace.KEY_COUNT
    assert table.of(first, last) == pytest.approx(plain)
    wanted = rng.random() * plain
    assert table.of(table.first_for(first, last, wanted), last) <= max(
        wanted + 1e-9, table.of(last, last)
    )
    assert table.of(first, table.last_for(first, last, wanted)) <= max(
        wanted + 1e-9, table.of(first, first)
    )


def test_a_key_that_becomes_popular_shows_within_a_second():
    use = key_use.KeyUse(0.0)
    for tick in range(4):
        use.add([7] * 15, 0.09, 0.25 * (tick + 1))
    assert use.loads(1.0)[7] > 2.0


def test_the_use_of_a_key_is_forgotten():
    use = key_use.KeyUse(0.0)
    use.add([7] * 100, 0.1, 0.0)
    assert use.loads(60.0).get(7, 0.0) < 0.01
