"""When the member list changes, and to what.

A few members, the stewards, hold the duty to write the member list. They need
no lease: the list changes by a conditional update, so of two stewards that act
at once one loses and reads again. Writing by the joining daemons themselves
was weighed and lost, since 200 restarts at once would fight over one object.
"""

from collections.abc import Iterable
import dataclasses

from sardinehill.core import fleet
from sardinehill.core import member_roles
from sardinehill.core import membership

ALARM_LIFETIME_S = 2.5
JOIN_REQUEST_LIFETIME_S = 2.5
# Stewards wait by their rank, so that usually the first one writes.
WRITE_DELAY_PER_RANK_S = 2.0
# Changes wait for each other, so that a rolling restart costs few writes.
MIN_LIST_CHANGE_INTERVAL_S = 0.5
# Below two alarms a removal would rest on one link alone.
MIN_REMOVAL_QUORUM = 2
INITIAL_REJOIN_DELAY_S = 1.0
MAX_REJOIN_DELAY_S = 60.0
# A removal is forgiven after this time without another.
REMOVAL_HISTORY_S = 600.0
# Probes a second that a steward sends to suspects.
MAX_SUSPECT_PROBES_PER_S = 8
# The platform's list lags, so a host missing from it must stay missing.
UNLISTED_BEFORE_REMOVAL_S = 10.0
# A joining daemon that no steward serves writes itself after this time.
SELF_JOIN_DELAY_S = 6.0


@dataclasses.dataclass
class RemovalRecord:
    """A member's latest removals for silence.

    Attributes:
      count: removals in a row.
      removed_at_s: the time of the last one.
    """

    count: int
    removed_at_s: float


@dataclasses.dataclass(frozen=True)
class PendingJoin:
    """A daemon's wish to be a member.

    Attributes:
      host: the daemon.
      received_at_s: when it last said so.
    """

    host: fleet.DaemonHost
    received_at_s: float


class MembershipCoordinator:
    """What one daemon knows that may change the member list."""

    def __init__(self, name: str):
        self.name = name
        self._alarms: dict[tuple[str, str, int], float] = {}
        self._joins: dict[str, PendingJoin] = {}
        self._leaves: dict[str, int] = {}
        self._removals: dict[str, RemovalRecord] = {}
        self._change_pending_since_s: float | None = None
        self._changed_at_s = float("-inf")
        self._unlisted_since_s: dict[str, float] = {}
        self._failed_own_probes: set[tuple[str, int]] = set()

    def receive_alarm(self, alarm: membership.Alarm, now_s: float) -> None:
        """Takes a monitor's alarm, which stands for a short time."""
        key = (alarm.reporter, alarm.subject, alarm.incarnation)
        self._alarms[key] = now_s

    def receive_join(self, host: fleet.DaemonHost, now_s: float) -> None:
        """Takes a daemon's wish to be a member, which stands a short time."""
        known = self._joins.get(host.name)
        if known is None or known.host.incarnation <= host.incarnation:
            self._joins[host.name] = PendingJoin(host, now_s)

    def receive_leave(self, name: str, incarnation: int) -> None:
        """Takes a daemon's wish to be a member no more."""
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
        """Takes the platform's list of hosts, which lags and only hints."""
        listed = set(live)
        self._unlisted_since_s = {
            host.name: self._unlisted_since_s.get(host.name, now_s)
            for host in members.hosts
            if host.name not in listed
        }

    def record_probe(self, name: str, incarnation: int, answered: bool) -> None:
        """Takes the result of this steward's own probe of a suspect."""
        if answered:
            self._failed_own_probes.discard((name, incarnation))
        else:
            self._failed_own_probes.add((name, incarnation))

    def suspects_to_probe(
        self, overlay: membership.Overlay, members: membership.MemberList
    ) -> list[str]:
        """Returns the members that this steward should probe itself."""
        # Only members that something speaks against are looked at: this runs
        # each second, and the list may have hundreds of members.
        against = {subject for _, subject, _ in self._alarms}
        against.update(self._unlisted_since_s)
        against.discard(self.name)
        found = [
            host.name
            for name in sorted(against)
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

        At most a third of the list, and at least one member, is removed at
        once, so that the majorities of two lists in a row meet.
        """
        members = table.members
        self._discard_expired(members, now_s)
        removed = self._members_to_remove(members, overlay, now_s)
        joined = self._hosts_to_add(members, now_s)
        if not removed and not joined:
            self._change_pending_since_s = None
            return None
        if not self._may_propose(table, now_s):
            return None
        hosts = {
            host.name: host
            for host in members.hosts
            if host.name not in removed
        }
        hosts.update({host.name: host for host in joined})
        return tuple(hosts[name] for name in sorted(hosts))

    def record_list_change(
        self,
        before: membership.MemberList,
        after: membership.MemberList,
        now_s: float,
    ) -> None:
        """Takes note of a change of the list, whoever wrote it."""
        self._changed_at_s = now_s
        self._change_pending_since_s = None
        for host in before.hosts:
            if host.name in after.by_name or host.name in self._leaves:
                continue
            earlier = self._removals.get(host.name)
            count = 1 if earlier is None else earlier.count + 1
            self._removals[host.name] = RemovalRecord(count, now_s)

    def _may_propose(self, table: member_roles.RoleTable, now_s: float) -> bool:
        if self._change_pending_since_s is None:
            self._change_pending_since_s = now_s
        ranked = table.holders(
            member_roles.COORDINATOR_ROLE, len(table.members.hosts)
        )
        if self.name not in ranked:
            return False
        # Not the first three only: all of them may be gone.
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
        most = max(1, len(members.hosts) // 3)
        suspected = {name for name, _ in self._failed_own_probes}
        gone = [
            name
            for name in sorted(suspected.union(self._leaves))
            if (host := members.by_name.get(name)) is not None
            and self._should_remove(host, overlay, now_s)
        ]
        return gone[:most]

    def _should_remove(
        self,
        host: fleet.DaemonHost,
        overlay: membership.Overlay,
        now_s: float,
    ) -> bool:
        if self._leaves.get(host.name, -1) >= host.incarnation:
            return True
        if (host.name, host.incarnation) not in self._failed_own_probes:
            return False
        unlisted_since_s = self._unlisted_since_s.get(host.name, now_s)
        if now_s - unlisted_since_s >= UNLISTED_BEFORE_REMOVAL_S:
            return self._all_listed_monitors_alarmed(host, overlay)
        return self._has_quorum(host, overlay)

    def _all_listed_monitors_alarmed(
        self, host: fleet.DaemonHost, overlay: membership.Overlay
    ) -> bool:
        # The list may be wrong about a live member, and this steward's own
        # link to it may be cut at the same time; its monitors would know.
        # Monitors that are missing from the list too have no say, or a fleet
        # replaced as a whole would keep its dead members for ever.
        return all(
            (monitor, host.name, host.incarnation) in self._alarms
            for monitor in overlay.monitors_of(host.name)
            if monitor not in self._unlisted_since_s and monitor != self.name
        )

    def _has_quorum(
        self, host: fleet.DaemonHost, overlay: membership.Overlay
    ) -> bool:
        monitors = overlay.monitors_of(host.name)
        raised = sum(
            (monitor, host.name, host.incarnation) in self._alarms
            for monitor in monitors
        )
        return raised >= max(MIN_REMOVAL_QUORUM, len(monitors) // 2 + 1)

    def _hosts_to_add(
        self, members: membership.MemberList, now_s: float
    ) -> list[fleet.DaemonHost]:
        return [
            wish.host
            for wish in self._joins.values()
            if members.by_name.get(wish.host.name) != wish.host
            and now_s >= self._earliest_rejoin_s(wish.host.name)
        ]

    def _earliest_rejoin_s(self, name: str) -> float:
        # A member whose links flap would be added and removed without end,
        # and each time its duties would move, so its return is slowed.
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
            key: heard_at_s
            for key, heard_at_s in self._alarms.items()
            if now_s - heard_at_s < ALARM_LIFETIME_S
        }
        self._joins = {
            name: wish
            for name, wish in self._joins.items()
            if now_s - wish.received_at_s < JOIN_REQUEST_LIFETIME_S
            and (members.incarnation_of(name) or 0) <= wish.host.incarnation
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
        self._failed_own_probes = {
            (name, incarnation)
            for name, incarnation in self._failed_own_probes
            if members.incarnation_of(name) == incarnation
        }
