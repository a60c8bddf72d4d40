"""Implements a lease in the store that each daemon times by its own clock.

The holder renews by conditional update and counts the ttl from when it sent
the write. A candidate counts from when it first saw the version, which is
later than that write. So the lease ends for the holder before it ends for a
candidate, as long as both clocks run at nearly the same rate. Clocks are never
compared, and the store's clock is not used at all.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LeaseTiming:
    """How long a lease lasts and how often it is read and written.

    Attributes:
      ttl_s: seconds that one renewal lasts.
      renew_interval_s: seconds between renewals.
      poll_interval_s: seconds between reads of the lease by the first
        candidate.
      max_poll_interval_s: the longest time between reads by any candidate.
      clock_drift_ratio: how much the rates of two clocks may differ.
    """

    ttl_s: float = 1.2
    renew_interval_s: float = 0.4
    poll_interval_s: float = 0.15
    max_poll_interval_s: float = 30.0
    clock_drift_ratio: float = 0.02


@dataclasses.dataclass(frozen=True)
class LeaseRecord:
    """The lease as it is stored.

    Attributes:
      version: the store's version, 0 for a lease that does not exist.
      term: the term, which grows whenever another process takes the lease.
      holder: the name of the daemon that holds it, or empty after it resigned.
      nonce: a text that is unique for each write, even of the same holder.
    """

    version: int
    term: int
    holder: str
    nonce: str


@dataclasses.dataclass(frozen=True)
class ReadLease:
    """Command to read the lease from the store."""


@dataclasses.dataclass(frozen=True)
class WriteLease:
    """Command to write the lease if its version is `expected_version`."""

    expected_version: int
    record: LeaseRecord


LeaseCommand = ReadLease | WriteLease

ABSENT = LeaseRecord(version=0, term=0, holder="", nonce="")


@dataclasses.dataclass
class LeaseState:
    """What one process knows about one lease.

    Times are by the process's own clock.

    Attributes:
      daemon_name: the name of the daemon.
      timing: durations.
      last_record: the newest record read or written, None before the first.
      last_record_since_s: when `last_record` was first seen.
      write_sent_s: when each write of this process was sent, by nonce.
      term: the term under which this process holds the lease, 0 if it does
        not. It does not depend on the holder's name: a restarted daemon has
        the same name, but knows nothing of the orders that were sent before,
        so it needs a new term.
      valid_until_s: when the lease expires for this process, if it holds it.
      store_call_pending: whether a read or write is in flight.
      needs_read: whether the lease must be read, after a conflict or a lost
        reply.
      next_call_s: when the next command is due.
      highest_seen_term: the highest term seen anywhere. It is above the
        lease's own term if the store lost the lease or was restored to an
        older state. A new holder then starts above it, since its orders would
        be refused otherwise.
    """

    daemon_name: str
    timing: LeaseTiming
    last_record: LeaseRecord | None = None
    last_record_since_s: float = 0.0
    write_sent_s: dict[str, float] = dataclasses.field(default_factory=dict)
    term: int = 0
    valid_until_s: float = float("-inf")
    store_call_pending: bool = False
    needs_read: bool = False
    next_call_s: float = float("-inf")
    highest_seen_term: int = 0


def candidate_poll_interval_s(timing: LeaseTiming, rank: int) -> float:
    """Returns the interval at which the candidate of a rank reads the lease.

    It grows with the rank, so that the rate of all candidates' reads together
    grows with the logarithm of the fleet's size.
    """
    return min(
        timing.max_poll_interval_s, timing.poll_interval_s * max(1, rank)
    )


def has_expired(lease: LeaseState, now_s: float, rank: int) -> bool:
    """Tells whether the lease has expired for the holder seen last."""
    if lease.last_record is None:
        return False
    # A holder that resigned left an empty name, so there is no need to wait;
    # the record keeps the term.
    if lease.last_record.version == 0 or not lease.last_record.holder:
        return True
    wait_s = lease.timing.ttl_s * (1.0 + lease.timing.clock_drift_ratio)
    # Lower ranks try first, so that most takeovers cost one write instead of a
    # conflict for each candidate.
    wait_s += lease.timing.poll_interval_s * min(rank, 3)
    return now_s - lease.last_record_since_s > wait_s


def step(
    lease: LeaseState, now_s: float, rank: int, nonce: str
) -> LeaseCommand | None:
    """Returns the store command that is due now, or None.

    Args:
      lease: the state, changed in place.
      now_s: own clock, just read.
      rank: this daemon's rank among the candidates, 0 for the first.
      nonce: a text that was never used before.

    Returns:
      A command, or None. The command's outcome must be passed to one of the
      functions below; no further command is returned before that.
    """
    if lease.store_call_pending or now_s < lease.next_call_s:
        return None
    lease.store_call_pending = True
    if lease.needs_read or lease.last_record is None:
        return ReadLease()
    if lease.term:
        lease.next_call_s = now_s + lease.timing.renew_interval_s
        is_outdated = lease.highest_seen_term > lease.term
        term = lease.highest_seen_term + 1 if is_outdated else lease.term
        return _write_command(lease, term, now_s, nonce)
    if has_expired(lease, now_s, rank):
        term = max(lease.last_record.term, lease.highest_seen_term) + 1
        return _write_command(lease, term, now_s, nonce)
    lease.next_call_s = now_s + candidate_poll_interval_s(lease.timing, rank)
    return ReadLease()


def _write_command(
    lease: LeaseState, term: int, now_s: float, nonce: str
) -> WriteLease:
    assert lease.last_record is not None
    lease.write_sent_s[nonce] = now_s
    record = LeaseRecord(
        lease.last_record.version, term, lease.daemon_name, nonce
    )
    return WriteLease(lease.last_record.version, record)


def on_read(lease: LeaseState, record: LeaseRecord, now_s: float) -> None:
    """Records the result of a read; `ABSENT` means that there is no lease."""
    lease.store_call_pending = False
    lease.needs_read = False
    _observe(lease, record, now_s)


def on_written(lease: LeaseState, record: LeaseRecord, now_s: float) -> None:
    """Records an acknowledged write, with the version that it was given."""
    lease.store_call_pending = False
    _observe(lease, record, now_s)


def on_conflict(lease: LeaseState, now_s: float) -> None:
    """Records that a write found another version; a read comes next."""
    lease.store_call_pending = False
    lease.needs_read = True
    lease.next_call_s = now_s


def on_reply_lost(lease: LeaseState, now_s: float) -> None:
    """Records that a reply was lost, so the write may have taken effect.

    The next read shows by its nonce whether it has. If so, the lease counts
    from when the write was sent.
    """
    lease.store_call_pending = False
    lease.needs_read = True
    lease.next_call_s = now_s + lease.timing.poll_interval_s


def _observe(lease: LeaseState, record: LeaseRecord, now_s: float) -> None:
    # Replies may be reordered, so an older version is ignored. A version of 0
    # is not ignored, because the lease may have been deleted.
    known_version = (
        0 if lease.last_record is None else lease.last_record.version
    )
    if 0 < record.version < known_version:
        return
    if lease.last_record is None or record.version != lease.last_record.version:
        lease.last_record = record
        lease.last_record_since_s = now_s
    sent_s = lease.write_sent_s.get(record.nonce)
    if sent_s is None:
        lease.term = 0
        return
    lease.term = record.term
    lease.valid_until_s = sent_s + lease.timing.ttl_s
    # Writes sent before this one can no longer take effect, since the version
    # that they expect is gone. Later ones may still be in flight.
    lease.write_sent_s = {
        nonce: at_s
        for nonce, at_s in lease.write_sent_s.items()
        if at_s >= sent_s
    }


def resign(lease: LeaseState, nonce: str) -> WriteLease | None:
    """Gives up the lease and returns the write that releases it, if held."""
    if lease.term == 0 or lease.last_record is None:
        return None
    record = LeaseRecord(lease.last_record.version, lease.term, "", nonce)
    lease.term = 0
    lease.valid_until_s = float("-inf")
    lease.write_sent_s = {}
    return WriteLease(lease.last_record.version, record)
