"""Simulates a network of peer protocols and the store that they use."""

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
# Frame length field, envelope, and the headers of TCP and IP.
FRAME_OVERHEAD_BYTES = 4 + 64 + 52


@dataclasses.dataclass
class Store:
    """Simulates the member list in the store, with conditional updates.

    Attributes:
      members: the current member list.
      revision: the store's current revision.
      is_available: whether the store processes writes.
      loses_replies: whether replies to successful writes are lost.
      history: all written member lists.
    """

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
        self,
        hosts: tuple[fleet.DaemonHost, ...],
        expected: int,
        writer: str = "",
    ) -> membership.MemberList | None:
        """Writes a list.

        Returns:
          The written list, or None for a conflict, an outage or a lost reply.
        """
        if not self.is_available or expected != self.members.version:
            return None
        self.revision += 1
        self.members = membership.MemberList(self.revision, hosts, writer)
        self.history.append(self.members)
        return None if self.loses_replies else self.members


@dataclasses.dataclass
class Daemon:
    """A daemon's protocol, its faults and its traffic.

    Attributes:
      protocol: the protocol under test.
      accepted: items that were accepted since the last message or offer.
      is_paused: whether the daemon neither ticks nor receives messages for now.
      is_alive: whether the daemon has not been killed.
      sent_bytes: bytes sent, if the network measures them.
      received_bytes: bytes received, if the network measures them.
      accepted_at_s: when each item was first accepted, by name and version.
    """

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
    """Delivers messages between daemons tick by tick.

    Attributes:
      now_s: the simulated time.
      store: the store.
      daemons: the daemons by name.
      cut_links: pairs of sender and recipient whose messages are lost.
      loss_ratio: the fraction of messages that are lost at random.
      random: the source of random losses.
      measures_bytes: whether sent and received bytes are counted.
    """

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
        for host in hosts:
            self.start(host)

    def start(self, host: fleet.DaemonHost) -> Daemon:
        """Adds a daemon, or replaces the one with the same name."""
        accepted: list[replica.Item] = []
        daemon = Daemon(
            peer_protocol.PeerProtocol(host, accepted.append), accepted
        )
        daemon.protocol.set_contacts(sorted(self.daemons))
        self.daemons[host.name] = daemon
        for other in self.daemons.values():
            other.protocol.set_contacts(sorted(self.daemons))
        return daemon

    def commit_all(self) -> None:
        """Writes a list of all daemons to the store and gives it to each."""
        hosts = tuple(d.protocol.host for d in self.daemons.values())
        ordered = tuple(sorted(hosts, key=lambda host: host.name))
        members = self.store.write(ordered, self.store.members.version)
        assert members is not None
        for daemon in self.daemons.values():
            daemon.protocol.set_members(members, self.now_s)

    def offer(self, name: str, item: replica.Item) -> None:
        """Gives an item of the store to one daemon."""
        daemon = self.daemons[name]
        self._send(name, daemon.protocol.offer(item))
        self._record_accepted(daemon)

    def run(
        self, seconds: float, each_tick: Callable[[], None] | None = None
    ) -> None:
        """Advances the simulated time.

        Args:
          seconds: the duration, rounded to whole ticks.
          each_tick: called after each tick.
        """
        for _ in range(round(seconds / TICK_S)):
            self.now_s += TICK_S
            self._tick_all()
            if each_tick is not None:
                each_tick()

    def is_running(self, name: str) -> bool:
        """Returns whether a daemon is alive and not paused."""
        daemon = self.daemons.get(name)
        return daemon is not None and daemon.is_alive and not daemon.is_paused

    def _tick_all(self) -> None:
        for name, daemon in list(self.daemons.items()):
            if not self.is_running(name):
                continue
            self._send(name, daemon.protocol.tick(self.now_s))
            self._use_store(daemon)
        # Each hop takes the latency of a link, which limits the number of hops
        # in a tick. The remaining messages wait for the next tick.
        for _ in range(round(TICK_S / LATENCY_S)):
            if not self._in_flight:
                break
            self._deliver()

    def _use_store(self, daemon: Daemon) -> None:
        if not self.store.is_available:
            return
        protocol = daemon.protocol
        # Daemons read the member list here directly. In a real fleet, some
        # daemons watch it and replication carries its changes to the others.
        protocol.set_members(self.store.members, self.now_s)
        hosts = protocol.proposed_hosts(self.now_s)
        if hosts is None:
            return
        members = self.store.write(
            hosts, protocol.members.version, protocol.host.name
        )
        if members is not None:
            protocol.set_members(members, self.now_s)

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
