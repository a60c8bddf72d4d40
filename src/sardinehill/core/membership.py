"""Which daemons are members, and who finds out that one is gone.

The committed member list is one object in the platform's store. Between the
daemons, each member is probed by a fixed number of others, its monitors: its
predecessors on several rings, each ordered by another hash. So a member sends
and receives the same number of heartbeats in a fleet of 11 and of 640.

Three other ways were weighed. All-to-all heartbeats grow with the fleet and
need 640 connections a daemon for control alone. Heartbeats kept in the store
need one write a second for each daemon, more than its rate. Random probing
as in SWIM has the same bounds as the rings, but each probe meets another
daemon, which over authenticated TCP means a new connection and handshake.

A monitor only raises an alarm. A member is removed when a majority of its
monitors raise one, so one cut or flapping link removes nobody.
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
# With two, a fleet that loses one message in ten raised so many alarms that
# they alone filled the stewards' share of the network.
FAILED_PROBES_BEFORE_ALARM = 3
# A daemon whose timer was this late was itself frozen: what it did not hear
# in that time says nothing about the others.
LOCAL_PAUSE_THRESHOLD_S = 1.5
# Below this many members a region lends its monitors from the whole fleet.
MIN_MONITORED_REGION_MEMBERS = 3


@dataclasses.dataclass(frozen=True)
class MemberList:
    """The committed member list.

    Attributes:
      version: the store's version of the list; it only grows.
      hosts: the members, ordered by name.
      writer_id: the daemon that wrote this version.
      nonce: tells this write from every other when a reply was lost.
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
        """Returns a member's incarnation, or None for no member."""
        host = self.by_name.get(name)
        return None if host is None else host.incarnation


@dataclasses.dataclass(frozen=True)
class Alarm:
    """A monitor's word that it does not reach a member.

    Attributes:
      reporter: the monitor's name.
      subject: the member's name.
      incarnation: the incarnation that the monitor probed.
    """

    reporter: str
    subject: str
    incarnation: int


class Overlay:
    """Who probes whom under one member list."""

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
        # Heartbeats across regions carry news and raise no alarms: a region
        # that is cut off is not a region that is gone.
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
        """Returns the members that a member raises alarms for."""
        return self._subjects.get(name, ())

    def probe_targets_of(self, name: str) -> tuple[str, ...]:
        """Returns all members that a member sends heartbeats to."""
        receivers = self._receivers.get(name, ())
        return _distinct(self.subjects_of(name), receivers)

    def neighbors_of(self, name: str) -> tuple[str, ...]:
        """Returns all members that a member exchanges news with."""
        senders = self._senders.get(name, ())
        return _distinct(
            self.probe_targets_of(name), self.monitors_of(name), senders
        )

    def next_hop(self, name: str, root: str) -> str | None:
        """Returns the link of a member on a shortest way to another one."""
        came_from: dict[str, str] = {}
        edge = [root]
        while edge and name not in came_from:
            following = []
            for reached in edge:
                for link in self.neighbors_of(reached):
                    if link != root and link not in came_from:
                        came_from[link] = reached
                        following.append(link)
            edge = following
        return came_from.get(name)


@dataclasses.dataclass
class ProbeState:
    """What a monitor knows of one member that it probes.

    Attributes:
      incarnation: the incarnation of the member list.
      answered_at_s: when the last good answer came.
      failed_probes: probes that failed since then.
      next_probe_at_s: when the next probe is due.
    """

    incarnation: int
    answered_at_s: float
    failed_probes: int = 0
    next_probe_at_s: float = 0.0


class FailureDetector:
    """One daemon's probes of its subjects."""

    def __init__(self, name: str, probe_interval_s: float = PROBE_INTERVAL_S):
        self.name = name
        self.members = MemberList()
        self.overlay = Overlay(self.members)
        self._probe_interval_s = probe_interval_s
        self._probes: dict[str, ProbeState] = {}
        self._subjects: frozenset[str] = frozenset()
        self._ticked_at_s: float | None = None

    def set_members(self, members: MemberList, now_s: float) -> bool:
        """Takes a newer member list over; an older one changes nothing."""
        if members.version <= self.members.version:
            return False
        self.members = members
        self.overlay = Overlay(members)
        self._subjects = frozenset(self.overlay.subjects_of(self.name))
        probed = self.overlay.probe_targets_of(self.name)
        kept: dict[str, ProbeState] = {}
        for index, subject in enumerate(probed):
            incarnation = members.by_name[subject].incarnation
            probe = self._probes.get(subject)
            if probe is None or probe.incarnation != incarnation:
                # First probes are spread over the interval, so that a new
                # list does not make every daemon send all of its at once.
                offset_s = self._probe_interval_s * index / len(probed)
                probe = ProbeState(incarnation, now_s, 0, now_s + offset_s)
            kept[subject] = probe
        self._probes = kept
        return True

    def due_probes(self, now_s: float) -> list[str]:
        """Returns the members to probe now and plans their next probes."""
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
        """Takes an answer to a probe.

        An answer under another name comes from a new host at a reused
        address, and one with a lower incarnation from before a restart:
        neither shows that the member lives.
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
        """Takes the failure of a probe and plans the next one at once."""
        probe = self._probes.get(name)
        if probe is not None:
            probe.failed_probes += 1
            probe.next_probe_at_s = now_s

    def active_alarms(self, now_s: float) -> list[Alarm]:
        """Returns the alarms that stand now; repeated until they end."""
        silent = [
            name
            for name in self._subjects
            if _is_silent(self._probes[name], now_s)
        ]
        # A monitor that hears none of several subjects more likely lost its
        # own link than saw all of them die at once.
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
    places = [{name: at for at, name in enumerate(ring)} for ring in rings]
    return {name: _distinct_predecessors(rings, places, name) for name in names}


def _distinct_predecessors(
    rings: list[list[str]], places: list[dict[str, int]], name: str
) -> tuple[str, ...]:
    found: dict[str, None] = {}
    for ring, place in zip(rings, places, strict=True):
        # A predecessor that another ring gave already would leave the member
        # with fewer monitors than rings, so the one before it is taken. Small
        # fleets need this; there, all members monitor all.
        for distance in range(1, len(ring)):
            predecessor = ring[place[name] - distance]
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
