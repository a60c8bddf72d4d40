"""Claims about the controller's lease."""

import dataclasses

import pytest

from sardinehill.core import lease

TIMING = lease.LeaseTiming()
HELD = lease.LeaseRecord(version=7, term=3, holder="other", nonce="x")


@pytest.fixture
def candidate() -> lease.Lease:
    return lease.Lease("me", TIMING)


def take_over(candidate: lease.Lease, now_s: float) -> lease.WriteLease:
    command = lease.tick(candidate, now_s, 0, f"nonce-{now_s}")
    assert isinstance(command, lease.WriteLease)
    return command


def test_a_lease_seen_unchanged_for_its_ttl_is_taken_with_a_new_term(
    candidate: lease.Lease,
) -> None:
    lease.on_read(candidate, HELD, 10.0)
    assert isinstance(lease.tick(candidate, 10.5, 0, "early"), lease.ReadLease)
    lease.on_read(candidate, HELD, 10.5)
    command = take_over(candidate, 10.0 + TIMING.ttl_s * 1.1)
    assert command.expected == HELD.version
    assert command.record.term == HELD.term + 1


def test_a_lost_reply_counts_only_once_read_back(
    candidate: lease.Lease,
) -> None:
    lease.on_read(candidate, HELD, 0.0)
    command = take_over(candidate, 2.0)
    lease.on_lost(candidate, 2.4)
    assert candidate.term == 0
    written = dataclasses.replace(command.record, version=8)
    lease.on_read(candidate, written, 3.0)
    assert candidate.term == HELD.term + 1
    assert candidate.store_until_s == 2.0 + TIMING.ttl_s


def test_a_restarted_daemon_does_not_take_its_old_lease_for_its_own(
    candidate: lease.Lease,
) -> None:
    lease.on_read(candidate, dataclasses.replace(HELD, holder="me"), 0.0)
    assert candidate.term == 0


def test_a_resigned_lease_is_taken_without_waiting(
    candidate: lease.Lease,
) -> None:
    lease.on_read(candidate, HELD, 0.0)
    command = take_over(candidate, 2.0)
    lease.on_written(
        candidate, dataclasses.replace(command.record, version=8), 2.0
    )
    resigned = lease.resign(candidate, "last")
    assert resigned is not None
    assert candidate.term == 0
    successor = lease.Lease("next", TIMING)
    lease.on_read(
        successor, dataclasses.replace(resigned.record, version=9), 2.1
    )
    assert take_over(successor, 2.1).record.term == HELD.term + 2


def test_a_deleted_lease_is_made_anew_above_every_term_met(
    candidate: lease.Lease,
) -> None:
    lease.on_read(candidate, HELD, 0.0)
    lease.on_read(candidate, lease.ABSENT, 0.2)
    candidate.floor_term = 57
    command = take_over(candidate, 0.4)
    assert command.expected == 0
    assert command.record.term == 58
