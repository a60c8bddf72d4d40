"""Tells peers that read slowly from peers that are gone.

What is sent to a peer waits until the peer has acknowledged it. A peer that
reads slowly closes its receive window, and its host goes on answering the
kernel's probes. A host that has vanished answers nothing. The kernel's
`TCP_USER_TIMEOUT` does not tell one from the other: it also counts the time for
which the window holds back what waits.
"""

import dataclasses

# A host that owes an acknowledgement and sends none for this long has vanished.
# Two repetitions or probes of the kernel fall into it.
MAX_UNACKNOWLEDGED_S = 1.5
# A connection that this side has ended stays open for this long after the peer
# has taken all, so that the peer may end it first, and for longer while the
# peer is still sending.
TAKEN_WAIT_S = 1.0
MAX_TAKEN_WAIT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class SendState:
    """What the kernel and the transport know of what is sent to a peer.

    Attributes:
      waiting_bytes: what the peer has not acknowledged, sent or not.
      owes_acknowledgement: whether the peer has been sent something, or a probe
        of its window, that it has not answered.
      heard_ago_s: how long ago the peer has last acknowledged anything.
    """

    waiting_bytes: int
    owes_acknowledgement: bool
    heard_ago_s: float


class SendProgress:
    """Follows how a peer takes what is written to its connection.

    All times are of one clock, which is handed in.

    Public attributes:
      waiting_bytes: what the peer has not acknowledged, as far as is known.
      progressed_s: when the peer was last seen to have taken something, or when
        something was written after it had taken all.
    """

    def __init__(
        self,
        now_s: float,
        max_unacknowledged_s: float = MAX_UNACKNOWLEDGED_S,
    ):
        """Creates the state of a connection to which nothing was written.

        Args:
          now_s: the time.
          max_unacknowledged_s: how long the peer's host may owe an
            acknowledgement and send none.
        """
        self._max_unacknowledged_s = max_unacknowledged_s
        self.waiting_bytes = 0
        self.progressed_s = now_s
        self._written_bytes = 0
        self._taken_bytes = 0
        # Since when something has been waiting, and what was taken before.
        self._waiting_since_s = now_s
        self._taken_before_bytes = 0
        self._owing_since_s: float | None = None

    def note_written(self, size_bytes: int, now_s: float) -> None:
        """Records that something was written to the connection."""
        if not self.waiting_bytes:
            self.progressed_s = now_s
            self._waiting_since_s = now_s
            self._taken_before_bytes = self._written_bytes
        self._written_bytes += size_bytes
        self.waiting_bytes += size_bytes

    def update(self, state: SendState, now_s: float) -> None:
        """Records what is known of the connection now."""
        taken_bytes = self._written_bytes - state.waiting_bytes
        if taken_bytes > self._taken_bytes:
            self._taken_bytes = taken_bytes
            self.progressed_s = now_s
        self.waiting_bytes = state.waiting_bytes
        if not state.owes_acknowledgement:
            self._owing_since_s = None
        elif (
            self._owing_since_s is None
            or state.heard_ago_s < now_s - self._owing_since_s
        ):
            # What is owed now may have been sent after what was acknowledged.
            self._owing_since_s = now_s

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long the peer has taken nothing of what waits."""
        return now_s - self.progressed_s if self.waiting_bytes else 0.0

    def is_slower_than(
        self, bytes_per_s: float, min_time_s: float, now_s: float
    ) -> bool:
        """Returns whether the peer takes less than a rate of what waits.

        Args:
          bytes_per_s: the rate.
          min_time_s: how long something must have been waiting.
          now_s: the time.
        """
        waited_s = now_s - self._waiting_since_s
        if not self.waiting_bytes or waited_s < min_time_s:
            return False
        taken_bytes = self._taken_bytes - self._taken_before_bytes
        return taken_bytes < bytes_per_s * waited_s

    def may_close(self, received_s: float, now_s: float) -> bool:
        """Returns whether a connection that this side has ended may be closed.

        Args:
          received_s: when the peer has last sent something.
          now_s: the time.
        """
        if self.waiting_bytes:
            return False
        return (
            now_s - max(self.progressed_s, received_s) >= TAKEN_WAIT_S
            or now_s - self.progressed_s >= MAX_TAKEN_WAIT_S
        )

    def is_gone(self, now_s: float) -> bool:
        """Returns whether the peer's host has stopped to answer."""
        return (
            self._owing_since_s is not None
            and now_s - self._owing_since_s >= self._max_unacknowledged_s
        )
