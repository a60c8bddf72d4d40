"""Tests of what many messages may hold together."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sardinehill.core import byte_budget

FREE_BYTES = byte_budget.FREE_BYTES_PER_MESSAGE
CAPACITY_BYTES = 10 * FREE_BYTES
SIZES = st.integers(0, 2 * CAPACITY_BYTES)
STEPS = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from(["try", "release"]), SIZES),
    max_size=40,
)


@given(STEPS)
@settings(derandomize=True, deadline=None)
def test_messages_never_hold_more_than_the_budget_and_what_is_free(steps):
    budget = byte_budget.ByteBudget(CAPACITY_BYTES)
    shares = [byte_budget.ByteShare(budget) for _ in range(4)]
    sizes = [0] * 4
    for index, action, size in steps:
        if action == "release":
            shares[index].release()
            sizes[index] = 0
        elif shares[index].try_hold(size):
            sizes[index] = size
        beyond_free = [max(size - FREE_BYTES, 0) for size in sizes]
        assert budget.held_bytes == sum(beyond_free) <= CAPACITY_BYTES
    for share in shares:
        share.release()
    assert budget.held_bytes == 0


@given(SIZES)
@settings(derandomize=True, deadline=None)
def test_small_message_is_never_refused(held):
    budget = byte_budget.ByteBudget(CAPACITY_BYTES)
    byte_budget.ByteShare(budget).hold(held)
    assert byte_budget.ByteShare(budget).try_hold(FREE_BYTES)


def test_what_is_held_beyond_the_budget_is_waited_for():
    budget = byte_budget.ByteBudget(CAPACITY_BYTES)
    unsent = byte_budget.ByteShare(budget)
    unsent.hold(2 * CAPACITY_BYTES)
    new = byte_budget.ByteShare(budget)
    assert not new.try_hold(FREE_BYTES + 1)
    unsent.release()
    assert new.try_hold(FREE_BYTES + 1)


# Guards against this failure: each of many callers sent a body that was too
# small to be counted, and together they exceeded the daemon's memory.
def test_small_messages_are_bounded_together():
    budget = byte_budget.ByteBudget(CAPACITY_BYTES)
    shares = [byte_budget.ByteShare(budget) for _ in range(100)]
    held = sum(share.try_hold(FREE_BYTES) for share in shares)
    assert held * FREE_BYTES == 2 * CAPACITY_BYTES
    for share in shares:
        share.release()
    assert budget.held_bytes == budget.small_bytes == 0


def test_small_messages_beyond_their_part_leave_less_to_large_ones():
    budget = byte_budget.ByteBudget(CAPACITY_BYTES)
    shares = [byte_budget.ByteShare(budget) for _ in range(12)]
    assert all(share.try_hold(FREE_BYTES) for share in shares)
    large = byte_budget.ByteShare(budget)
    assert not large.try_hold(9 * FREE_BYTES)
    assert large.try_hold(8 * FREE_BYTES)
