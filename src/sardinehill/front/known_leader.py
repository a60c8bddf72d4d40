"""What a daemon knows of the leader, whoever that is."""

import asyncio
from collections.abc import Callable
import dataclasses

from sardinehill.core import fleet_messages
from sardinehill.front import peer_registry

# A leader that was silent for so long is taken as lost.
LEADER_TIMEOUT_S = 0.8
_NEVER_S = -1e9
_MAX_AGE_S = 1e6


class KnownLeader:
    """The newest leader that was heard of, and its newest table.

    Public attributes:
      term: the highest term of any leader.
      table: the newest table with its spans, or None.
      next_leader: a leader to follow next, or None.
      newer_term: set when a leader of a higher term is heard.
      leader_gone: set when whoever is followed hears no leader, or lays it down.
    """

    def __init__(self, name: str, clock_s: Callable[[], float]):
        self._name = name
        self._clock_s = clock_s
        self._heard_s = _NEVER_S
        self.term = 0
        self.table: fleet_messages.LeaderTable | None = None
        self.next_leader: peer_registry.LeaderLease | None = None
        self.newer_term = asyncio.Event()
        self.leader_gone = asyncio.Event()

    @property
    def has_heard_leader(self) -> bool:
        """Whether any leader has been heard since this daemon started."""
        return self._heard_s > 0

    def silent_s(self) -> float:
        """Returns how long ago the leader itself spoke."""
        return self._clock_s() - self._heard_s

    def restart_timeout(self) -> None:
        """Gives a leader that is followed from now on time to speak."""
        self._heard_s = max(self._heard_s, self._clock_s())

    def note_term(self, term: int) -> None:
        """Notes that there is or was a leader of a term."""
        self.term = max(self.term, term)

    def take_next_leader(
        self, lease: peer_registry.LeaderLease
    ) -> peer_registry.LeaderLease:
        """Returns whom to follow: a leader heard of, or the lease's holder."""
        target, self.next_leader = self.next_leader or lease, None
        self.newer_term.clear()
        return target

    def follow_next(self, outline: fleet_messages.LeaderTable) -> None:
        """Notes a leader that a peer has told of."""
        self.next_leader = peer_registry.LeaderLease(
            outline.term, outline.leader, outline.leader_address
        )

    def is_leader_alive(self, outline: fleet_messages.LeaderTable) -> bool:
        """Returns whether a peer hears another daemon lead in this term."""
        return (
            outline.term == self.term
            and outline.leader not in ("", self._name)
            and outline.age_s < LEADER_TIMEOUT_S / 2
            and not outline.resigned
        )

    def apply_table(self, table: fleet_messages.LeaderTable) -> bool:
        """Takes in a table, unless it is of an older leader or state.

        Returns:
          Whether it was taken in.
        """
        if table.term < self.term:
            return False
        if table.age_s > LEADER_TIMEOUT_S and table.term == self.term:
            # Who is followed does not lead, nor does it hear who does.
            self.leader_gone.set()
            return False
        if table.term > self.term and table.leader != self._name:
            self.term = table.term
            self.follow_next(table)
            self.newer_term.set()
        self._heard_s = max(self._heard_s, self._clock_s() - table.age_s)
        known = self.table
        if known is not None:
            is_same_term = known.term == table.term
            if is_same_term and table.serial < known.serial:
                return False
            if is_same_term and not table.lendable:
                table.lendable = known.lendable
            if table.spans is None:
                table.spans = known.spans
        self.table = table
        if table.resigned:
            self.leader_gone.set()
        return True

    def set_own_table(self, table: fleet_messages.LeaderTable) -> None:
        """Takes in a table that this daemon has made as the leader."""
        self.table = table
        self._heard_s = self._clock_s()

    def summary(self) -> fleet_messages.LeaderTable:
        """Returns what this daemon can tell of the leader, without spans."""
        if self.table is None:
            return fleet_messages.LeaderTable(
                self.term, "", "", 0, 0, age_s=_MAX_AGE_S
            )
        return dataclasses.replace(
            self.table,
            term=self.term,
            spans=None,
            shares={},
            age_s=min(self.silent_s(), _MAX_AGE_S),
        )
