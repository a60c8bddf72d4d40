"""Decides when and how the member list changes.

A few members, the coordinators, hold the role of writing the member list. They
need no lease: the list changes by a conditional update, so if two coordinators
write at the same time, one of them fails and reads the list again. Joining
daemons don't normally write the list themselves, because 200 simultaneous
restarts would cause 200 conflicting updates of one object.
"""

from collections.abc import Iterable
import dataclasses

from sardinehill.core import fleet
from sardinehill.core import member_roles
from sardinehill.core import membership

ALARM_LIFETIME_S = 2.5
JOIN_REQUEST_LIFETIME_S = 2.5
# Coordinators wait in proportion to their rank, so that usually only the first
# one writes.
WRITE_DELAY_PER_RANK_S = 2.0
# Changes within this time are combined, so that a rolling restart takes few
# writes.
MIN_LIST_CHANGE_INTERVAL_S = 0.5
# With a single alarm, one broken link could remove a member.
MIN_REMOVAL_QUORUM = 2
INITIAL_REJOIN_DELAY_S = 1.0
MAX_REJOIN_DELAY_S = 60.0
# A removal no longer delays a rejoin after this time without another removal.
REMOVAL_HISTORY_S = 600.0
# Probes that one coordinator sends to suspects.
MAX_SUSPECT_PROBES_PER_S = 8
# The platform's host list lags behind, so a host must be missing from it for
# this long.
UNLISTED_BEFORE_REMOVAL_S = 10.0
# The platform's list is wrong if it lacks a member that has written the member
# list within this time. A daemon that was cut off from it, and so removed,
# writes itself in again and is removed again well within this time.
WRITER_LIVENESS_S = 30.0
# A daemon that no coordinator has added after this time, plus a delay that is
# derived from its name, adds itself.
SELF_JOIN_DELAY_S = 6.0


@dataclasses.dataclass
class RemovalRecord:
    """The recent removals of a member that did not ask to leave.

    Attributes:
      count: consecutive removals, each within `REMOVAL_HISTORY_S` of the last.
      removed_at_s: the time of the last removal.
    """

    count: int
    removed_at_s: float


@dataclasses.dataclass(frozen=True)
class PendingJoin:
    """A join request that has not been answered by a list change yet.

    Attributes:
      host: the daemon that wants to join.
      received_at_s: when its latest request arrived.
    """

    host: fleet.DaemonHost
    received_at_s: float


class MembershipCoordinator:
    """Collects the evidence for changes of the member list on one daemon.

    Every daemon has one. Members write in the order of their rank for the
    coordinator role, each later rank after a longer delay.
    """

    def __init__(self, name: str):
        self.name = name
        self._alarms: dict[tuple[str, str, int], float] = {}
        self._joins: dict[str, PendingJoin] = {}
        self._leaves: dict[str, int] = {}
        self._removals: dict[str, RemovalRecord] = {}
        self._change_pending_since_s: float | None = None
        self._changed_at_s = float("-inf")
        self._unlisted_since_s: dict[str, float] = {}
        self._list_written_s: dict[str, float] = {}
        self._failed_own_probes: set[tuple[str, int]] = set()

    def receive_alarm(self, alarm: membership.Alarm, now_s: float) -> None:
        """Records a monitor's alarm, valid for `ALARM_LIFETIME_S`."""
        key = (alarm.reporter, alarm.subject, alarm.incarnation)
        self._alarms[key] = now_s

    def receive_join(self, host: fleet.DaemonHost, now_s: float) -> None:
        """Records a join request, valid for `JOIN_REQUEST_LIFETIME_S`."""
        known = self._joins.get(host.name)
        if known is None or known.host.incarnation <= host.incarnation:
            self._joins[host.name] = PendingJoin(host, now_s)

    def receive_leave(self, name: str, incarnation: int) -> None:
        """Records a daemon's request to be removed from the list."""
        self._leaves[name] = max(incarnation, self._leaves.get(name, 0))
        joining = self._joins.get(name)
        if joining is not None and joining.host.incarnation <= incarnation:
            del self._joins[name]

    def update_platform_hosts(
        self,
        live: Iterable[str],
        members: membership.MemberList,
        now_s: float,
    ) -> None:
        """Records the platform's list of live hosts.

        The list lags behind, so it is only a hint.
        """
        listed = set(live)
        self._unlisted_since_s = {
            host.name: self._unlisted_since_s.get(host.name, now_s)
            for host in members.hosts
            if host.name not in listed
        }

    def record_probe(self, name: str, incarnation: int, answered: bool) -> None:
        """Records the result of this daemon's own probe of a member."""
        if answered:
            self._failed_own_probes.discard((name, incarnation))
        else:
            self._failed_own_probes.add((name, incarnation))

    def suspects_to_probe(
        self, overlay: membership.Overlay, members: membership.MemberList
    ) -> list[str]:
        """Returns the members that this daemon should probe itself."""
        # Only members with an alarm or missing from the platform's list are
        # examined: this runs each second, and the member list may have
        # hundreds of entries.
        candidates = {subject for _, subject, _ in self._alarms}
        candidates.update(self._unlisted_since_s)
        candidates.discard(self.name)
        found = [
            host.name
            for name in sorted(candidates)
            if (host := members.by_name.get(name)) is not None
            and (
                name in self._unlisted_since_s
                or self._has_quorum(host, overlay)
            )
        ]
        return found[:MAX_SUSPECT_PROBES_PER_S]

    def proposed_hosts(
        self,
        table: member_roles.RoleTable,
        overlay: membership.Overlay,
        now_s: float,
    ) -> tuple[fleet.DaemonHost, ...] | None:
        """Returns the hosts that the list should hold, or None for no change.

        A single change removes at most a third of the members, but may always
        remove one, so that majorities of two consecutive lists overlap.
        """
        members = table.members
        self._discard_expired(members, now_s)
        to_remove = self._members_to_remove(members, overlay, now_s)
        to_add = self._hosts_to_add(members, now_s)
        if not to_remove and not to_add:
            self._change_pending_since_s = None
            return None
        if not self._may_propose(table, now_s):
            return None
        hosts = {
            host.name: host
            for host in members.hosts
            if host.name not in to_remove
        }
        hosts.update({host.name: host for host in to_add})
        return tuple(hosts[name] for name in sorted(hosts))

    def record_list_change(
        self,
        before: membership.MemberList,
        after: membership.MemberList,
        now_s: float,
    ) -> None:
        """Records a change of the list, whichever daemon wrote it."""
        self._changed_at_s = now_s
        # The writer of the first list that a daemon reads may be long gone.
        if before.version and after.writer_id != self.name:
            self._list_written_s[after.writer_id] = now_s
        self._change_pending_since_s = None
        for host in before.hosts:
            if host.name in after.by_name or host.name in self._leaves:
                continue
            previous = self._removals.get(host.name)
            count = 1 if previous is None else previous.count + 1
            self._removals[host.name] = RemovalRecord(count, now_s)

    def _may_propose(self, table: member_roles.RoleTable, now_s: float) -> bool:
        if self._change_pending_since_s is None:
            self._change_pending_since_s = now_s
        ranked = table.holders(
            member_roles.COORDINATOR_ROLE, len(table.members.hosts)
        )
        if self.name not in ranked:
            return False
        # All ranks may write, not only the first three, because all of those
        # may have failed.
        delay_s = ranked.index(self.name) * WRITE_DELAY_PER_RANK_S
        return (
            now_s - self._change_pending_since_s >= delay_s
            and now_s - self._changed_at_s >= MIN_LIST_CHANGE_INTERVAL_S
        )

    def _members_to_remove(
        self,
        members: membership.MemberList,
        overlay: membership.Overlay,
        now_s: float,
    ) -> list[str]:
        max_removals = max(1, len(members.hosts) // 3)
        suspected = {name for name, _ in self._failed_own_probes}
        removable = [
            name
            for name in sorted(suspected.union(self._leaves))
            if (host := members.by_name.get(name)) is not None
            and self._should_remove(host, members, overlay, now_s)
        ]
        return removable[:max_removals]

    def _should_remove(
        self,
        host: fleet.DaemonHost,
        members: membership.MemberList,
        overlay: membership.Overlay,
        now_s: float,
    ) -> bool:
        if self._leaves.get(host.name, -1) >= host.incarnation:
            return True
        if (host.name, host.incarnation) not in self._failed_own_probes:
            return False
        unlisted_since_s = self._unlisted_since_s.get(host.name, now_s)
        if (
            now_s - unlisted_since_s >= UNLISTED_BEFORE_REMOVAL_S
            and not self._lacks_list_writer()
        ):
            return self._all_live_monitors_alarmed(host, members, overlay)
        return self._has_quorum(host, overlay)

    def _lacks_list_writer(self) -> bool:
        """Returns whether the platform's list lacks a member that is live.

        A daemon that is cut off cannot tell this from a fleet that was replaced
        as a whole by its own probes.
        """
        return not self._unlisted_since_s.keys().isdisjoint(
            self._list_written_s
        )

    def _all_live_monitors_alarmed(
        self,
        host: fleet.DaemonHost,
        members: membership.MemberList,
        overlay: membership.Overlay,
    ) -> bool:
        # The platform's list may omit a live member while this daemon's own
        # link to it is cut, so its monitors must agree. Those that are gone as
        # well don't count, because otherwise a completely replaced fleet would
        # never remove its dead members.
        return all(
            (monitor, host.name, host.incarnation) in self._alarms
            for monitor in overlay.monitors_of(host.name)
            if monitor != self.name and not self._is_gone(monitor, members)
        )

    def _is_gone(self, name: str, members: membership.MemberList) -> bool:
        """Returns whether the platform does not list a member that is silent.

        The platform's list may omit live members, so one that answers this
        daemon is not gone.
        """
        incarnation = members.incarnation_of(name)
        return (
            name in self._unlisted_since_s
            and incarnation is not None
            and (name, incarnation) in self._failed_own_probes
        )

    def _has_quorum(
        self, host: fleet.DaemonHost, overlay: membership.Overlay
    ) -> bool:
        monitors = overlay.monitors_of(host.name)
        alarm_count = sum(
            (monitor, host.name, host.incarnation) in self._alarms
            for monitor in monitors
        )
        return alarm_count >= max(MIN_REMOVAL_QUORUM, len(monitors) // 2 + 1)

    def _hosts_to_add(
        self, members: membership.MemberList, now_s: float
    ) -> list[fleet.DaemonHost]:
        return [
            pending.host
            for pending in self._joins.values()
            if members.by_name.get(pending.host.name) != pending.host
            and now_s >= self._earliest_rejoin_s(pending.host.name)
        ]

    def _earliest_rejoin_s(self, name: str) -> float:
        # A member with flapping links would be removed and added repeatedly,
        # and its roles would move each time, so its rejoin is delayed.
        removal = self._removals.get(name)
        if removal is None:
            return float("-inf")
        doublings = min(removal.count - 1, 16)
        delay_s = INITIAL_REJOIN_DELAY_S * 2.0**doublings
        return removal.removed_at_s + min(delay_s, MAX_REJOIN_DELAY_S)

    def _discard_expired(
        self, members: membership.MemberList, now_s: float
    ) -> None:
        self._alarms = {
            key: raised_at_s
            for key, raised_at_s in self._alarms.items()
            if now_s - raised_at_s < ALARM_LIFETIME_S
        }
        self._joins = {
            name: pending
            for name, pending in self._joins.items()
            if now_s - pending.received_at_s < JOIN_REQUEST_LIFETIME_S
            and (members.incarnation_of(name) or 0) <= pending.host.incarnation
        }
        self._leaves = {
            name: incarnation
            for name, incarnation in self._leaves.items()
            if members.incarnation_of(name) is not None
        }
        self._removals = {
            name: removal
            for name, removal in self._removals.items()
            if now_s - removal.removed_at_s < REMOVAL_HISTORY_S
        }
        self._list_written_s = {
            name: written_s
            for name, written_s in self._list_written_s.items()
            if now_s - written_s < WRITER_LIVENESS_S
        }
        self._failed_own_probes = {
            (name, incarnation)
            for name, incarnation in self._failed_own_probes
            if members.incarnation_of(name) == incarnation
        }
