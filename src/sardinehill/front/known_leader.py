"""Holds what a daemon knows of the current leader."""

import asyncio
from collections.abc import Callable
import dataclasses

from sardinehill.core import fleet_messages
from sardinehill.core import owner_spans
from sardinehill.front import peer_registry

# A leader that has been silent for this long counts as lost.
LEADER_TIMEOUT_S = 0.8
_NEVER_S = -1e9
_MAX_AGE_S = 1e6


class KnownLeader:
    """Holds the leader of the highest known term and its newest table.

    Public attributes:
      term: the highest known term of any leader.
      table: the newest table with its spans, or None.
      next_leader: the leader to follow next, or None.
      newer_term: set when a table of a higher term arrives.
      leader_gone: set when the leader resigns or the followed daemon does not
        hear it any more.
      needs_spans: whether all spans are needed, as a table is missing that
        later changes of the spans refer to.
    """

    def __init__(self, name: str, clock_s: Callable[[], float]):
        self._name = name
        self._clock_s = clock_s
        self._heard_s = _NEVER_S
        self._follow_began_s = _NEVER_S
        self._reported_s = clock_s()
        # The term and serial of the spans in the table.
        self._spans_version = (0, 0)
        self.needs_spans = False
        self.term = 0
        self.table: fleet_messages.LeaderTable | None = None
        self.next_leader: peer_registry.LeaderLease | None = None
        self.newer_term = asyncio.Event()
        self.leader_gone = asyncio.Event()

    @property
    def has_heard_leader(self) -> bool:
        """Whether a leader has been heard since this daemon started."""
        return self._heard_s > 0

    def silent_s(self) -> float:
        """Returns how long the followed leader has been silent.

        The time before this daemon began to follow it does not count.
        """
        return self._clock_s() - max(self._heard_s, self._follow_began_s)

    def note_reported(self) -> None:
        """Records that this daemon reports to the leader itself now."""
        self._reported_s = self._clock_s()

    def unreported_s(self) -> float:
        """Returns how long this daemon has not reported to a leader itself."""
        return self._clock_s() - self._reported_s

    def restart_timeout(self) -> None:
        """Starts the silence timeout anew for a newly followed leader."""
        self._follow_began_s = self._clock_s()

    def note_term(self, term: int) -> None:
        """Raises the highest known term to `term` if it is higher."""
        self.term = max(self.term, term)

    def take_next_leader(
        self, lease: peer_registry.LeaderLease
    ) -> peer_registry.LeaderLease:
        """Returns the next leader and clears it; defaults to the lease."""
        target, self.next_leader = self.next_leader or lease, None
        self.newer_term.clear()
        return target

    def follow_next(self, summary_table: fleet_messages.LeaderTable) -> None:
        """Sets the leader that a peer reported as the next one to follow."""
        self.next_leader = peer_registry.LeaderLease(
            summary_table.term,
            summary_table.leader,
            summary_table.leader_address,
        )

    def is_leader_alive(
        self, summary_table: fleet_messages.LeaderTable
    ) -> bool:
        """Returns whether a peer hears another daemon as this term's leader."""
        return (
            summary_table.term == self.term
            and summary_table.leader not in ("", self._name)
            and summary_table.age_s < LEADER_TIMEOUT_S / 2
            and not summary_table.resigned
        )

    @property
    def has_resigned(self) -> bool:
        """Whether the leader of the highest known term has resigned."""
        table = self.table
        return table is not None and table.resigned and table.term == self.term

    @property
    def successor(self) -> str:
        """The daemon named by a resigned leader; empty if there is none."""
        if self.table is None or not self.has_resigned:
            return ""
        return self.table.successor

    def apply_table(self, table: fleet_messages.LeaderTable) -> bool:
        """Applies a table unless its term, serial or age is outdated.

        Returns:
          Whether the table was applied.
        """
        if table.term < self.term:
            return False
        if table.age_s > LEADER_TIMEOUT_S and table.term == self.term:
            # The followed daemon neither leads nor hears the leader.
            self.leader_gone.set()
            return False
        if table.term > self.term and table.leader != self._name:
            self.term = table.term
            self.follow_next(table)
            self.newer_term.set()
        self._heard_s = max(self._heard_s, self._clock_s() - table.age_s)
        known = self.table
        if known is not None and known.term == table.term:
            if table.serial < known.serial:
                return False
            if not table.lendable:
                table.lendable = known.lendable
        self._complete_spans(table)
        self._complete_schedulers(table)
        self.table = table
        if table.resigned:
            self.leader_gone.set()
        return True

    def _complete_spans(self, table: fleet_messages.LeaderTable) -> None:
        """Adds the known spans, with their changes, to a table without spans.

        The known spans are kept if the changes refer to others.
        """
        version = (table.term, table.serial)
        if table.spans is not None:
            self._spans_version = version
            self.needs_spans = False
            return
        table.spans = self.table.spans if self.table is not None else None
        changes, table.span_changes = table.span_changes, None
        if changes is None:
            return
        base_version = (table.term, changes.base_serial)
        if table.spans is None or self._spans_version != base_version:
            self.needs_spans = True
            return
        table.spans = owner_spans.apply_changes(table.spans, changes)
        self._spans_version = version

    def _complete_schedulers(self, table: fleet_messages.LeaderTable) -> None:
        """Adds the known schedulers to a table that does not list them.

        None are left if a leader of an earlier release leads, as it would not
        replace those that are lost. A table of the same term may have come
        through a daemon of such a release.
        """
        known = self.table
        if known is not None and known.term == table.term:
            table.designates_schedulers |= known.designates_schedulers
        if table.schedulers is not None:
            return
        if not table.designates_schedulers:
            table.schedulers = []
        elif known is not None:
            table.schedulers = known.schedulers

    def previous_table(self) -> fleet_messages.LeaderTable | None:
        """Returns the last table of the term before the highest known one.

        Returns None if that term's leader was not heard. A table of a still
        earlier term says nothing about what its successor did.
        """
        if self.table is None or self.table.term != self.term - 1:
            return None
        return self.table

    def adopt_lendable(
        self, summary_tables: list[fleet_messages.LeaderTable]
    ) -> None:
        """Takes the lendable tokens of this term from the newest summary.

        The leader sends them to a few followers only.

        Args:
          summary_tables: what peers know of the leader, the newest first.
        """
        if self.table is None or self.table.lendable:
            return
        for summary_table in summary_tables:
            if summary_table.term == self.term and summary_table.lendable:
                self.table.lendable = summary_table.lendable
                return

    def set_own_table(self, table: fleet_messages.LeaderTable) -> None:
        """Sets a table that this daemon made as the leader."""
        self._complete_schedulers(table)
        self.table = table
        self._heard_s = self._clock_s()

    def summary(self) -> fleet_messages.LeaderTable:
        """Returns what this daemon knows of the leader, without spans."""
        if self.table is None:
            return fleet_messages.LeaderTable(
                self.term, "", "", 0, 0, age_s=_MAX_AGE_S
            )
        return dataclasses.replace(
            self.table,
            term=self.term,
            spans=None,
            shares={},
            limits=[],
            suspects=[],
            leaving=[],
            schedulers=None,
            # Peers take this for evidence that the leader is alive, so it must
            # not depend on when this daemon began to follow it.
            age_s=min(self._clock_s() - self._heard_s, _MAX_AGE_S),
        )
