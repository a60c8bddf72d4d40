"""Tests of what a leader concludes from the outcomes of its orders."""

import dataclasses

import pytest

from sardinehill.core import key_orders
from sardinehill.core import keyspace

A, B = ("a", 1), ("b", 1)
HOLD_S = 2.4
# When a later leader reads the owners, until when an order of an earlier leader
# may take effect as it knows then, and as it knows once it leads alone.
READ_S = 10.0
KNOWN_AT_FIRST_S = 14.6
KNOWN_LATER_S = 17.0


def take_over():
    """Returns the assignment of a leader that has just read it."""
    stored = keyspace.empty_assignment()
    keyspace.apply_moves(
        stored, [keyspace.KeyMove(0, keyspace.KEY_COUNT - 1, A)]
    )
    assignment = keyspace.from_document(
        keyspace.to_document(stored), KNOWN_AT_FIRST_S
    )
    keyspace.renew_epochs(assignment)
    return assignment


def create_grant(assignment, now_s=READ_S):
    return key_orders.create_grant(
        assignment.spans[0], now_s, now_s + 0.7, HOLD_S
    )


def move_to(assignment, owner):
    planned = dataclasses.replace(
        assignment,
        spans=[dataclasses.replace(span) for span in assignment.spans],
    )
    move = keyspace.KeyMove(0, keyspace.KEY_COUNT - 1, owner)
    transfers = keyspace.apply_moves(planned, [move])
    keyspace.apply_transfers(assignment, transfers)


def test_an_unsent_grant_keeps_how_long_an_earlier_leaders_orders_may_last():
    assignment = take_over()
    grant = create_grant(assignment)
    key_orders.extend_for_previous_leader(
        assignment, KNOWN_LATER_S, KNOWN_LATER_S
    )
    key_orders.record_grant_outcome(
        assignment, grant, key_orders.GrantOutcome.UNSENT, READ_S + 0.3, HOLD_S
    )
    move_to(assignment, B)
    span = assignment.spans[0]
    assert not key_orders.former_owner_no_longer_holds(
        span, KNOWN_LATER_S - 0.1, is_elsewhere=False
    )
    assert key_orders.former_owner_no_longer_holds(
        span, KNOWN_LATER_S, is_elsewhere=False
    )


@pytest.mark.parametrize(
    "outcome", [key_orders.GrantOutcome.UNSENT, key_orders.GrantOutcome.REFUSED]
)
def test_a_release_does_not_count_while_an_earlier_leader_may_grant_again(
    outcome,
):
    assignment = take_over()
    grant = create_grant(assignment)
    move_to(assignment, B)
    key_orders.record_grant_outcome(
        assignment, grant, outcome, READ_S + 0.3, HOLD_S
    )
    span = assignment.spans[0]
    release = key_orders.create_release(span, READ_S + 0.4)
    key_orders.record_release_outcome(assignment, release, True, None)
    assert not key_orders.former_owner_no_longer_holds(
        span, KNOWN_AT_FIRST_S - 0.1, is_elsewhere=False
    )
    assert key_orders.former_owner_no_longer_holds(
        span, KNOWN_AT_FIRST_S, is_elsewhere=False
    )


def test_keys_of_an_owner_that_confirmed_a_late_grant_move_after_its_release():
    assignment = take_over()
    grant = create_grant(assignment)
    move_to(assignment, B)
    key_orders.record_grant_outcome(
        assignment,
        grant,
        key_orders.GrantOutcome.ACCEPTED,
        READ_S + 0.3,
        HOLD_S,
    )
    span = assignment.spans[0]
    release = key_orders.create_release(span, READ_S + 0.32)
    key_orders.record_release_outcome(assignment, release, True, None)
    assert not key_orders.former_owner_no_longer_holds(
        span, READ_S + 0.33, is_elsewhere=False
    )
    fence = key_orders.create_fence(
        assignment, span, READ_S + 0.35, READ_S + 0.4, HOLD_S
    )
    key_orders.record_fence_outcome(
        assignment, fence, key_orders.GrantOutcome.ACCEPTED, READ_S + 0.36
    )
    release = key_orders.create_release(span, READ_S + 0.4)
    key_orders.record_release_outcome(assignment, release, True, None)
    assert key_orders.former_owner_no_longer_holds(
        span, READ_S + 0.5, is_elsewhere=False
    )


def test_former_owner_that_has_seen_the_epoch_is_not_waited_for_once_more():
    # Earlier leaders' grants have no effect on it when the last one ends.
    assignment = take_over()
    move_to(assignment, B)
    span = assignment.spans[0]
    fence = key_orders.create_fence(
        assignment, span, READ_S + 0.1, READ_S + 0.4, HOLD_S
    )
    key_orders.record_fence_outcome(
        assignment, fence, key_orders.GrantOutcome.ACCEPTED, READ_S + 0.1
    )
    key_orders.extend_for_previous_leader(assignment, READ_S + 9, READ_S + 8)
    release = key_orders.create_release(span, READ_S + 0.2)
    key_orders.record_release_outcome(assignment, release, True, None)
    assert key_orders.former_owner_no_longer_holds(
        span, READ_S + 0.3, is_elsewhere=False
    )
