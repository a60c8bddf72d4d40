"""A lease kept in the store, judged by each candidate's own clock.

The holder renews by conditional update and counts its time from the moment
it sent the write. A candidate counts from the moment it first saw a version,
which is later than that write, so the candidate's count always ends after the
holder's as long as both clocks run at nearly the same rate. Clocks are never
compared, and the store's clock is not used at all.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LeaseTiming:
    """How long a lease lasts and how often it is touched.

    Attributes:
      ttl_s: seconds that one renewal lasts.
      renew_interval_s: seconds between renewals.
      poll_interval_s: seconds between a first candidate's looks at the lease.
      max_poll_interval_s: the longest time between a last candidate's looks.
      clock_drift_ratio: by how much two clocks' rates may differ.
    """

    ttl_s: float = 1.2
    renew_interval_s: float = 0.4
    poll_interval_s: float = 0.15
    max_poll_interval_s: float = 30.0
    clock_drift_ratio: float = 0.02


@dataclasses.dataclass(frozen=True)
class LeaseRecord:
    """The lease as the store keeps it.

    Attributes:
      version: the store's version, 0 for a lease that does not exist.
      term: grows by one whenever the lease goes to another process.
      holder: the name of the daemon that holds it.
      nonce: unique for each write, also among those of one holder.
    """

    version: int
    term: int
    holder: str
    nonce: str


@dataclasses.dataclass(frozen=True)
class ReadLease:
    """The daemon shall read the lease."""


@dataclasses.dataclass(frozen=True)
class WriteLease:
    """The daemon shall write the lease if its version is still `expected`."""

    expected_version: int
    record: LeaseRecord


LeaseCommand = ReadLease | WriteLease

ABSENT = LeaseRecord(version=0, term=0, holder="", nonce="")


@dataclasses.dataclass
class LeaseState:
    """What one process knows about one lease.

    Attributes:
      daemon_name: the name of the daemon.
      timing: durations.
      last_record: the newest record read or written, None before the first.
      last_record_since_s: own clock when `seen` was first known.
      write_sent_s: when each of this process's writes was sent, by its nonce.
      term: the term under which this process holds the lease, 0 if it does
        not. The holder's name is not asked: a restarted daemon has the same
        name, knows nothing of its predecessor's orders and needs a new term.
      valid_until_s: until when the store's word lasts for `term`.
      store_call_pending: whether a read or write is on its way.
      needs_read: whether a write's reply was lost since the last read.
      next_call_s: when the next command is due.
      highest_seen_term: the highest term met elsewhere. It is above the lease's own
        when the store lost the lease or was set back; a new holder then
        begins above it, or nobody would take its orders.
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
    """Returns how often the candidate of this rank looks at the lease.

    The interval grows with the rank, so that the reads of all candidates
    together grow with the logarithm of the fleet and not with the fleet.
    """
    return min(
        timing.max_poll_interval_s, timing.poll_interval_s * max(1, rank)
    )


def has_expired(lease: LeaseState, now_s: float, rank: int) -> bool:
    """Tells whether the holder seen last can no longer rely on the lease."""
    if lease.last_record is None:
        return False
    # A holder that resigned leaves its name empty; nobody has to be waited
    # for, and the term stays on record.
    if lease.last_record.version == 0 or not lease.last_record.holder:
        return True
    wait_s = lease.timing.ttl_s * (1.0 + lease.timing.clock_drift_ratio)
    # Lower ranks go first, so that most takeovers cost the store one write
    # and not one conflict for each candidate.
    wait_s += lease.timing.poll_interval_s * min(rank, 3)
    return now_s - lease.last_record_since_s > wait_s


def step(
    lease: LeaseState, now_s: float, rank: int, nonce: str
) -> LeaseCommand | None:
    """Returns what to ask of the store now, if anything.

    Args:
      lease: the state, changed in place.
      now_s: own clock, just read.
      rank: this daemon's place among the candidates, 0 for the first.
      nonce: a text that was never used before.

    Returns:
      A command; its outcome must come back through one of the functions
      below before another command is given.
    """
    if lease.store_call_pending or now_s < lease.next_call_s:
        return None
    lease.store_call_pending = True
    if lease.needs_read or lease.last_record is None:
        return ReadLease()
    if lease.term:
        lease.next_call_s = now_s + lease.timing.renew_interval_s
        above = lease.highest_seen_term > lease.term
        term = lease.highest_seen_term + 1 if above else lease.term
        return _write(lease, term, now_s, nonce)
    if has_expired(lease, now_s, rank):
        term = max(lease.last_record.term, lease.highest_seen_term) + 1
        return _write(lease, term, now_s, nonce)
    lease.next_call_s = now_s + candidate_poll_interval_s(lease.timing, rank)
    return ReadLease()


def _write(
    lease: LeaseState, term: int, now_s: float, nonce: str
) -> WriteLease:
    assert lease.last_record is not None
    lease.write_sent_s[nonce] = now_s
    record = LeaseRecord(
        lease.last_record.version, term, lease.daemon_name, nonce
    )
    return WriteLease(lease.last_record.version, record)


def on_read(lease: LeaseState, record: LeaseRecord, now_s: float) -> None:
    """Takes in what a read returned; `ABSENT` when there is no lease."""
    lease.store_call_pending = False
    lease.needs_read = False
    _see(lease, record, now_s)


def on_written(lease: LeaseState, record: LeaseRecord, now_s: float) -> None:
    """Takes in an acknowledged write, with the version it was given."""
    lease.store_call_pending = False
    _see(lease, record, now_s)


def on_conflict(lease: LeaseState, now_s: float) -> None:
    """Takes in that a write found another version; it is read next."""
    lease.store_call_pending = False
    lease.needs_read = True
    lease.next_call_s = now_s


def on_reply_lost(lease: LeaseState, now_s: float) -> None:
    """Takes in that a reply was lost, so the write may have taken effect.

    The write is neither counted nor written off: the next read settles it by
    its nonce, and the licence then counts from when the write was sent.
    """
    lease.store_call_pending = False
    lease.needs_read = True
    lease.next_call_s = now_s + lease.timing.poll_interval_s


def _see(lease: LeaseState, record: LeaseRecord, now_s: float) -> None:
    # Replies may overtake each other; an older version tells nothing new. But
    # an absent lease may have been deleted, and then no version comes back.
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
    # Writes sent before this one can no longer take effect: they expected
    # a version that has gone. Later ones may still be on their way.
    lease.write_sent_s = {
        nonce: at_s
        for nonce, at_s in lease.write_sent_s.items()
        if at_s >= sent_s
    }


def resign(lease: LeaseState, nonce: str) -> WriteLease | None:
    """Gives the lease up; returns the write that says so, if it was held."""
    if lease.term == 0 or lease.last_record is None:
        return None
    record = LeaseRecord(lease.last_record.version, lease.term, "", nonce)
    lease.term = 0
    lease.valid_until_s = float("-inf")
    lease.write_sent_s = {}
    return WriteLease(lease.last_record.version, record)
