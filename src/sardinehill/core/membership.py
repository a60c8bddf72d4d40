"""Defines the member list, the probing overlay and failure detection.

The committed member list is one object in the platform's store. Each member is
probed by a fixed number of other members, its monitors. These are its
predecessors on several rings, each of which is ordered by a different hash. A
member therefore sends and receives the same number of heartbeats in a fleet of
11 daemons as in one of 640.

The rings keep the set of peers small and fixed. All-to-all heartbeats would
need 640 connections per daemon for control traffic alone. Heartbeats in the
store would need one write per second and daemon, more than the store's rate
limit. Random probing as in SWIM would send each probe to a different daemon,
which needs a new connection and handshake over authenticated TCP.

A monitor only raises alarms. A member is removed when a majority of its
monitors raise one, so a single cut or flapping link removes no member.
"""

from collections.abc import Iterable
import dataclasses
import functools
import itertools

import xxhash

from sardinehill.core import fleet

REGION_RING_COUNT = 5
FLEET_RING_COUNT = 2
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.6
SILENCE_BEFORE_ALARM_S = 2.0
# With a limit of two and one message in ten lost, the alarms alone use up the
# coordinators' network budget.
FAILED_PROBES_BEFORE_ALARM = 3
# A daemon whose timer fires this late was itself paused, so the answers that it
# missed in that time say nothing about other members.
LOCAL_PAUSE_THRESHOLD_S = 1.5
# Members of a smaller region get their monitors from the whole fleet.
MIN_MONITORED_REGION_MEMBERS = 3


@dataclasses.dataclass(frozen=True)
class MemberList:
    """The committed member list.

    Attributes:
      version: the store's version of the list, which only increases.
      hosts: the members, ordered by name.
      writer_id: the daemon that wrote this version.
      nonce: identifies this write, so that a writer whose reply was lost can
        recognize it.
    """

    version: int = 0
    hosts: tuple[fleet.DaemonHost, ...] = ()
    writer_id: str = ""
    nonce: str = ""

    @functools.cached_property
    def by_name(self) -> dict[str, fleet.DaemonHost]:
        """The members by name."""
        return {host.name: host for host in self.hosts}

    def incarnation_of(self, name: str) -> int | None:
        """Returns a member's incarnation, or None if it is not a member."""
        host = self.by_name.get(name)
        return None if host is None else host.incarnation


@dataclasses.dataclass(frozen=True)
class Alarm:
    """A monitor's report that a member does not answer its probes.

    Attributes:
      reporter: the monitor's name.
      subject: the member's name.
      incarnation: the incarnation that the monitor probed.
    """

    reporter: str
    subject: str
    incarnation: int


class Overlay:
    """The graph of who probes whom under one member list."""

    def __init__(self, members: MemberList):
        region_of = {host.name: host.region for host in members.hosts}
        names = sorted(region_of)
        self._monitors: dict[str, tuple[str, ...]] = {}
        for region in sorted(set(region_of.values())):
            inside = [name for name in names if region_of[name] == region]
            pool = inside
            if len(inside) < MIN_MONITORED_REGION_MEMBERS:
                pool = names
            rings = _rings(pool, region, REGION_RING_COUNT)
            self._monitors.update(_predecessors(rings, inside))
        # Heartbeats between regions replicate data but raise no alarms,
        # because a partitioned region has not failed.
        self._senders: dict[str, tuple[str, ...]] = {}
        if len(set(region_of.values())) > 1:
            rings = _rings(names, "fleet", FLEET_RING_COUNT)
            self._senders = _predecessors(rings, names)
        self._subjects = _inverse(self._monitors)
        self._receivers = _inverse(self._senders)

    def monitors_of(self, name: str) -> tuple[str, ...]:
        """Returns the members whose alarms count against a member."""
        return self._monitors.get(name, ())

    def subjects_of(self, name: str) -> tuple[str, ...]:
        """Returns the members that a member monitors."""
        return self._subjects.get(name, ())

    def probe_targets_of(self, name: str) -> tuple[str, ...]:
        """Returns all members that a member sends heartbeats to."""
        receivers = self._receivers.get(name, ())
        return _distinct(self.subjects_of(name), receivers)

    def neighbors_of(self, name: str) -> tuple[str, ...]:
        """Returns all members with which a member exchanges versions."""
        senders = self._senders.get(name, ())
        return _distinct(
            self.probe_targets_of(name), self.monitors_of(name), senders
        )

    def next_hop(self, name: str, root: str) -> str | None:
        """Returns a member's first neighbor on a shortest path to `root`.

        Returns:
          The neighbor's name, or None if `root` is the member itself or is not
          reachable from it.
        """
        towards_root: dict[str, str] = {}
        frontier = [root]
        while frontier and name not in towards_root:
            next_frontier = []
            for reached in frontier:
                for neighbor in self.neighbors_of(reached):
                    if neighbor != root and neighbor not in towards_root:
                        towards_root[neighbor] = reached
                        next_frontier.append(neighbor)
            frontier = next_frontier
        return towards_root.get(name)


@dataclasses.dataclass
class ProbeState:
    """The probing state of one member.

    Attributes:
      incarnation: the member's incarnation in the member list.
      answered_at_s: when the last valid answer arrived.
      failed_probes: number of probes that have failed since then.
      next_probe_at_s: when the next probe is due.
    """

    incarnation: int
    answered_at_s: float
    failed_probes: int = 0
    next_probe_at_s: float = 0.0


class FailureDetector:
    """Tracks one daemon's probes and raises alarms for silent subjects."""

    def __init__(self, name: str, probe_interval_s: float = PROBE_INTERVAL_S):
        self.name = name
        self.members = MemberList()
        self.overlay = Overlay(self.members)
        self._probe_interval_s = probe_interval_s
        self._probes: dict[str, ProbeState] = {}
        self._subjects: frozenset[str] = frozenset()
        self._ticked_at_s: float | None = None

    def set_members(self, members: MemberList, now_s: float) -> bool:
        """Adopts a member list if it is newer and returns whether it was."""
        if members.version <= self.members.version:
            return False
        self.members = members
        self.overlay = Overlay(members)
        self._subjects = frozenset(self.overlay.subjects_of(self.name))
        probed = self.overlay.probe_targets_of(self.name)
        states: dict[str, ProbeState] = {}
        for index, subject in enumerate(probed):
            incarnation = members.by_name[subject].incarnation
            probe = self._probes.get(subject)
            if probe is None or probe.incarnation != incarnation:
                # The first probes are spread over the interval, so that a new
                # list does not make each daemon send all probes at once.
                offset_s = self._probe_interval_s * index / len(probed)
                probe = ProbeState(incarnation, now_s, 0, now_s + offset_s)
            states[subject] = probe
        self._probes = states
        return True

    def due_probes(self, now_s: float) -> list[str]:
        """Returns the members to probe now and schedules their next probes."""
        self._reset_after_local_pause(now_s)
        names = []
        for name, probe in self._probes.items():
            if probe.next_probe_at_s <= now_s:
                probe.next_probe_at_s = now_s + self._probe_interval_s
                names.append(name)
        return names

    def record_answer(
        self, name: str, answered_as: str, incarnation: int, now_s: float
    ) -> None:
        """Records an answer to a probe.

        An answer under another name comes from a new host at a reused address,
        and an answer with a lower incarnation predates a restart. Neither
        shows that the member is alive, so both count as failures.
        """
        probe = self._probes.get(name)
        if probe is None:
            return
        if answered_as != name or incarnation < probe.incarnation:
            probe.failed_probes += 1
            return
        probe.answered_at_s = now_s
        probe.failed_probes = 0

    def record_failure(self, name: str, now_s: float) -> None:
        """Records a failed probe and schedules the next one immediately."""
        probe = self._probes.get(name)
        if probe is not None:
            probe.failed_probes += 1
            probe.next_probe_at_s = now_s

    def active_alarms(self, now_s: float) -> list[Alarm]:
        """Returns the current alarms, each one until its subject answers."""
        silent = [
            name
            for name in self._subjects
            if _is_silent(self._probes[name], now_s)
        ]
        # If all of several subjects are silent, this daemon has more likely
        # lost its own link than all of them have failed at once.
        if len(self._subjects) > 1 and len(silent) == len(self._subjects):
            return []
        return [
            Alarm(self.name, name, self._probes[name].incarnation)
            for name in sorted(silent)
        ]

    def _reset_after_local_pause(self, now_s: float) -> None:
        ticked_at_s = self._ticked_at_s
        self._ticked_at_s = now_s
        if ticked_at_s is None or now_s - ticked_at_s < LOCAL_PAUSE_THRESHOLD_S:
            return
        for probe in self._probes.values():
            probe.answered_at_s = now_s
            probe.failed_probes = 0


def _is_silent(probe: ProbeState, now_s: float) -> bool:
    return (
        now_s - probe.answered_at_s >= SILENCE_BEFORE_ALARM_S
        and probe.failed_probes >= FAILED_PROBES_BEFORE_ALARM
    )


def _rings(names: Iterable[str], label: str, count: int) -> list[list[str]]:
    listed = list(names)
    return [
        sorted(
            listed,
            key=lambda name: (
                xxhash.xxh3_64_intdigest(f"{label}\0{ring}\0{name}".encode()),
                name,
            ),
        )
        for ring in range(count)
    ]


def _predecessors(
    rings: list[list[str]], names: Iterable[str]
) -> dict[str, tuple[str, ...]]:
    positions = [{name: at for at, name in enumerate(ring)} for ring in rings]
    return {
        name: _distinct_predecessors(rings, positions, name) for name in names
    }


def _distinct_predecessors(
    rings: list[list[str]], positions: list[dict[str, int]], name: str
) -> tuple[str, ...]:
    found: dict[str, None] = {}
    for ring, position in zip(rings, positions, strict=True):
        # If another ring has already contributed this predecessor, the one
        # before it is used, because the member would otherwise have fewer
        # monitors than rings. In a small fleet, every member thus monitors
        # every other.
        for distance in range(1, len(ring)):
            predecessor = ring[position[name] - distance]
            if predecessor not in found:
                found[predecessor] = None
                break
    return tuple(found)


def _inverse(
    relation: dict[str, tuple[str, ...]],
) -> dict[str, tuple[str, ...]]:
    inverse: dict[str, list[str]] = {}
    for name, others in relation.items():
        for other in others:
            inverse.setdefault(other, []).append(name)
    return {name: tuple(others) for name, others in inverse.items()}


def _distinct(*groups: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(itertools.chain.from_iterable(groups)))
