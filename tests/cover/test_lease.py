"""Tests of the controller's lease in the store."""

import dataclasses

import pytest

from sardinehill.core import lease

TIMING = lease.LeaseTiming()
OTHER_LEASE = lease.LeaseRecord(version=7, term=3, holder="other", nonce="x")


@pytest.fixture
def candidate() -> lease.LeaseState:
    return lease.LeaseState("me", TIMING)


def take_over(candidate: lease.LeaseState, now_s: float) -> lease.WriteLease:
    command = lease.step(candidate, now_s, 0, f"nonce-{now_s}")
    assert isinstance(command, lease.WriteLease)
    return command


def test_a_lease_seen_unchanged_for_its_ttl_is_taken_with_a_new_term(
    candidate: lease.LeaseState,
) -> None:
    lease.on_read(candidate, OTHER_LEASE, 10.0)
    assert isinstance(lease.step(candidate, 10.5, 0, "early"), lease.ReadLease)
    lease.on_read(candidate, OTHER_LEASE, 10.5)
    command = take_over(candidate, 10.0 + TIMING.ttl_s * 1.1)
    assert command.expected_version == OTHER_LEASE.version
    assert command.record.term == OTHER_LEASE.term + 1


def test_write_with_a_lost_reply_counts_only_after_read_back(
    candidate: lease.LeaseState,
) -> None:
    lease.on_read(candidate, OTHER_LEASE, 0.0)
    command = take_over(candidate, 2.0)
    lease.on_reply_lost(candidate, 2.4)
    assert candidate.term == 0
    written = dataclasses.replace(command.record, version=8)
    lease.on_read(candidate, written, 3.0)
    assert candidate.term == OTHER_LEASE.term + 1
    assert candidate.valid_until_s == 2.0 + TIMING.ttl_s


def test_restarted_daemon_does_not_reuse_its_old_lease(
    candidate: lease.LeaseState,
) -> None:
    lease.on_read(candidate, dataclasses.replace(OTHER_LEASE, holder="me"), 0.0)
    assert candidate.term == 0


def test_a_resigned_lease_is_taken_without_waiting(
    candidate: lease.LeaseState,
) -> None:
    lease.on_read(candidate, OTHER_LEASE, 0.0)
    command = take_over(candidate, 2.0)
    lease.on_written(
        candidate, dataclasses.replace(command.record, version=8), 2.0
    )
    resigned = lease.resign(candidate, "last")
    assert resigned is not None
    assert candidate.term == 0
    successor = lease.LeaseState("next", TIMING)
    lease.on_read(
        successor, dataclasses.replace(resigned.record, version=9), 2.1
    )
    assert take_over(successor, 2.1).record.term == OTHER_LEASE.term + 2


def test_deleted_lease_is_recreated_above_every_seen_term(
    candidate: lease.LeaseState,
) -> None:
    lease.on_read(candidate, OTHER_LEASE, 0.0)
    lease.on_read(candidate, lease.ABSENT, 0.2)
    candidate.highest_seen_term = 57
    command = take_over(candidate, 0.4)
    assert command.expected_version == 0
    assert command.record.term == 58
