"""A network of plain lists between pure members, and a store beside it."""

from collections.abc import Callable
import dataclasses
import random

from sardinehill.adapters import peers
from sardinehill.core import fleet
from sardinehill.core import membership
from sardinehill.core import peer_messages
from sardinehill.core import peer_protocol
from sardinehill.core import replica

TICK_S = peer_protocol.TICK_INTERVAL_S
LATENCY_S = 0.005
# Frame length, envelope and the headers of TCP and IP.
FRAME_OVERHEAD_BYTES = 4 + 64 + 52


@dataclasses.dataclass
class Store:
    """The one object that members write, changed by conditional updates."""

    members: membership.MemberList = dataclasses.field(
        default_factory=membership.MemberList
    )
    revision: int = 0
    is_available: bool = True
    loses_replies: bool = False
    history: list[membership.MemberList] = dataclasses.field(
        default_factory=list
    )

    def write(
        self, hosts: tuple[fleet.DaemonHost, ...], expected: int
    ) -> membership.MemberList | None:
        """Writes a list, or returns None for a conflict or an outage."""
        if not self.is_available or expected != self.members.version:
            return None
        self.revision += 1
        self.members = membership.MemberList(self.revision, hosts)
        self.history.append(self.members)
        return None if self.loses_replies else self.members


@dataclasses.dataclass
class Daemon:
    """A member and how the network treats it."""

    protocol: peer_protocol.PeerProtocol
    accepted: list[replica.Item]
    is_paused: bool = False
    is_alive: bool = True
    sent_bytes: int = 0
    received_bytes: int = 0
    accepted_at_s: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )


def daemon_host(
    name: str, zone: str = "z", region: str = "r", incarnation: int = 1
) -> fleet.DaemonHost:
    address = fleet.Address("127.0.0.1", 1000)
    return fleet.DaemonHost(name, address, zone, region, incarnation)


class Network:
    """Carries messages between members tick by tick."""

    def __init__(
        self,
        hosts: list[fleet.DaemonHost],
        seed: int = 1,
        loss_ratio: float = 0.0,
        measures_bytes: bool = False,
    ):
        self.now_s = 0.0
        self.store = Store()
        self.daemons: dict[str, Daemon] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.loss_ratio = loss_ratio
        self.random = random.Random(seed)
        self.measures_bytes = measures_bytes
        self._in_flight: list[tuple[str, str, peer_messages.Message]] = []
        for one in hosts:
            self.start(one)

    def start(self, one: fleet.DaemonHost) -> Daemon:
        """Adds a daemon, in place of one with its name."""
        accepted: list[replica.Item] = []
        daemon = Daemon(
            peer_protocol.PeerProtocol(one, accepted.append), accepted
        )
        daemon.protocol.set_contacts(sorted(self.daemons))
        self.daemons[one.name] = daemon
        for other in self.daemons.values():
            other.protocol.set_contacts(sorted(self.daemons))
        return daemon

    def commit_all(self) -> None:
        """Commits a list of all daemons and tells it to all."""
        hosts = tuple(d.protocol.host for d in self.daemons.values())
        ordered = tuple(sorted(hosts, key=lambda one: one.name))
        members = self.store.write(ordered, self.store.members.version)
        assert members is not None
        for daemon in self.daemons.values():
            daemon.protocol.set_members(members, self.now_s)

    def offer(self, name: str, item: replica.Item) -> None:
        """Hands an item of the store to one daemon."""
        daemon = self.daemons[name]
        self._send(name, daemon.protocol.offer(item))
        self._record_accepted(daemon)

    def run(
        self, seconds: float, each_tick: Callable[[], None] | None = None
    ) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.now_s += TICK_S
            self._tick_all()
            if each_tick is not None:
                each_tick()

    def is_running(self, name: str) -> bool:
        """Returns whether a daemon is alive and not frozen."""
        daemon = self.daemons.get(name)
        return daemon is not None and daemon.is_alive and not daemon.is_paused

    def _tick_all(self) -> None:
        for name, daemon in list(self.daemons.items()):
            if not self.is_running(name):
                continue
            self._send(name, daemon.protocol.tick(self.now_s))
            self._use_store(daemon)
        # Messages hop at most this often within a tick, each hop taking the
        # latency of a link, so the rest waits for the next tick.
        for _ in range(round(TICK_S / LATENCY_S)):
            if not self._in_flight:
                break
            self._deliver()

    def _use_store(self, daemon: Daemon) -> None:
        if not self.store.is_available:
            return
        one = daemon.protocol
        # Stands for the watch of one object, which news carries to all.
        one.set_members(self.store.members, self.now_s)
        hosts = one.proposed_hosts(self.now_s)
        if hosts is None:
            return
        members = self.store.write(hosts, one.members.version)
        if members is not None:
            one.set_members(members, self.now_s)

    def _deliver(self) -> None:
        arriving, self._in_flight = self._in_flight, []
        for sender, to, message in arriving:
            daemon = self.daemons.get(to)
            if daemon is None or not self.is_running(to):
                continue
            if (sender, to) in self.cut_links:
                continue
            if self.random.random() < self.loss_ratio:
                continue
            if self.measures_bytes:
                daemon.received_bytes += _size_bytes(message)
            answers = daemon.protocol.receive(sender, message, self.now_s)
            self._record_accepted(daemon)
            self._send(to, answers)

    def _send(
        self, name: str, outgoing: list[peer_messages.OutgoingMessage]
    ) -> None:
        for out in outgoing:
            if self.measures_bytes:
                size_bytes = _size_bytes(out.message)
                self.daemons[name].sent_bytes += size_bytes
            self._in_flight.append((name, out.recipient, out.message))

    def _record_accepted(self, daemon: Daemon) -> None:
        for item in daemon.accepted:
            key = (item.name, item.version)
            daemon.accepted_at_s.setdefault(key, self.now_s)
        daemon.accepted.clear()


def _size_bytes(message: peer_messages.Message) -> int:
    return len(peers.encode(message)[1]) + FRAME_OVERHEAD_BYTES
