"""Implements the membership and replication protocol of one daemon.

The protocol performs no input or output. The daemon calls `tick` several
times a second, passes each message from a peer to `receive`, and sends the
messages that either call returns. Messages may be lost, duplicated or delayed.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

import xxhash

from sardinehill.core import fleet
from sardinehill.core import member_roles
from sardinehill.core import membership
from sardinehill.core import membership_coordinator
from sardinehill.core import peer_messages
from sardinehill.core import replica

TICK_INTERVAL_S = 0.2
# After this time without an answer, the item is requested from another peer.
BODY_REQUEST_TIMEOUT_S = 0.4
# A member whose replica is older than this sends an extra heartbeat at once,
# because periodic heartbeats alone add up to one second of age per hop from a
# watcher.
MIN_PULL_AGE_S = 0.9
# The pause between pulls doubles up to this limit while pulls bring nothing
# newer. Otherwise all members would keep polling each other while no member
# has fresher data.
MAX_PULL_BACKOFF_S = 1.6
# While the next hop's replica is older than this, the freshest neighbor is
# polled as well.
STALE_NEXT_HOP_AGE_S = 2.0
# A request to the coordinators goes to more of them after each such interval in
# which it stays open.
COORDINATOR_ESCALATION_S = 5.0
# Rate at which all daemons together add themselves to the member list when no
# coordinator does it.
SELF_JOINS_PER_S = 5.0
# Total body size in one message; larger answers are split into several.
MAX_BODIES_MESSAGE_BYTES = 256 * 1024
# Contacts to which a daemon outside the member list sends a heartbeat each
# second.
CONTACTS_PER_ROUND = 2
# The highest age in a heartbeat's answer, which also stands for an unknown age.
MAX_REPORTED_AGE_MS = 2**31 - 1


@dataclasses.dataclass
class PendingProbe:
    """A heartbeat that has not been answered yet.

    Attributes:
      name: the probed member.
      incarnation: the probed incarnation; 0 if the list lacks the member.
      sent_at_s: when the heartbeat was sent.
    """

    name: str
    incarnation: int
    sent_at_s: float


@dataclasses.dataclass
class PendingBodyRequest:
    """An item whose body was requested and has not arrived yet.

    Attributes:
      notice: the newest version that a peer has announced.
      requested_at_s: when the body was last requested.
      untried_peers: peers that announced this version and have not been asked.
    """

    notice: replica.VersionNotice
    requested_at_s: float
    untried_peers: list[str]


class PeerProtocol:
    """The protocol state of one daemon.

    Attributes:
      host: this daemon.
      replica: this daemon's replica of the store's objects.
      roles: the holder of each role under the newest known member list.
      leaving: whether this daemon asks to be removed from the member list.
    """

    def __init__(
        self,
        host: fleet.DaemonHost,
        on_accepted: Callable[[replica.Item], None],
    ):
        """Creates a protocol with an empty replica and member list.

        Args:
          host: this daemon.
          on_accepted: called with each item that is newer than the known one.
        """
        self.host = host
        self.replica = replica.Replica()
        self.leaving = False
        self.roles = member_roles.RoleTable(membership.MemberList())
        self._on_accepted = on_accepted
        self._detector = membership.FailureDetector(host.name)
        self._coordinator = membership_coordinator.MembershipCoordinator(
            host.name
        )
        self._probes: dict[int, PendingProbe] = {}
        self._last_probe_id = 0
        self._body_requests: dict[tuple[str, str], PendingBodyRequest] = {}
        self._contacts: list[str] = []
        self._coordinators_notified_at_s = float("-inf")
        self._ticked_at_s = float("-inf")
        self._absent_since_s: float | None = None
        self._fresh_at_s: dict[str, float] = {}
        self._next_hop: str | None = None
        self._pulled_at_s = float("-inf")
        self._pulled_fresh_at_s = float("-inf")
        self._pull_backoff_s = 0.0
        self._request_pending_since_s: float | None = None

    @property
    def members(self) -> membership.MemberList:
        """The newest member list that this daemon knows."""
        return self._detector.members

    @property
    def is_member(self) -> bool:
        """Whether the member list contains this daemon's current incarnation.

        The listed address, zone and region must match as well.
        """
        return self.members.by_name.get(self.host.name) == self.host

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon watches the store on behalf of the fleet."""
        return self.host.name in self.roles.store_watchers()

    def set_members(self, members: membership.MemberList, now_s: float) -> bool:
        """Adopts a member list if it is newer and returns whether it was."""
        before = self.members
        if not self._detector.set_members(members, now_s):
            return False
        self._coordinator.record_list_change(before, members, now_s)
        if self.is_member:
            self._absent_since_s = None
        self.roles = member_roles.RoleTable(members)
        neighbors = set(self._detector.overlay.neighbors_of(self.host.name))
        self._next_hop = None
        for watcher in self.roles.store_watchers()[:1]:
            self._next_hop = self._detector.overlay.next_hop(
                self.host.name, watcher
            )
        self._fresh_at_s = {
            name: fresh_at_s
            for name, fresh_at_s in self._fresh_at_s.items()
            if name in neighbors
        }
        return True

    def set_contacts(self, names: Iterable[str]) -> None:
        """Sets the daemons to contact while this daemon is not a member."""
        contacts = [name for name in names if name != self.host.name]
        # An unchanged set keeps its order, so that the rotation continues.
        if set(contacts) != set(self._contacts):
            self._contacts = contacts

    def update_platform_hosts(self, live: Iterable[str], now_s: float) -> None:
        """Records the platform's list of live daemon hosts.

        The list lags behind, so it is only a hint.
        """
        self._coordinator.update_platform_hosts(live, self.members, now_s)

    def unreachable_members(self, now_s: float) -> list[str]:
        """Returns the members that do not answer this daemon's own probes."""
        return [alarm.subject for alarm in self._detector.active_alarms(now_s)]

    def tick(self, now_s: float) -> list[peer_messages.OutgoingMessage]:
        """Returns the messages that are due now."""
        if now_s - self._ticked_at_s >= membership.LOCAL_PAUSE_THRESHOLD_S:
            # A paused daemon sent no join requests, so the coordinators could
            # not add it. The duration of the pause must not count as absence.
            self._absent_since_s = None
        self._ticked_at_s = now_s
        self._expire_probes(now_s)
        outgoing = self._due_heartbeats(now_s)
        outgoing += self._retry_body_requests(now_s)
        if (
            now_s - self._coordinators_notified_at_s
            >= membership.PROBE_INTERVAL_S
        ):
            self._coordinators_notified_at_s = now_s
            outgoing += self._notify_coordinators(now_s)
            outgoing += self._probe_suspects(now_s)
        self._track_absence(now_s)
        return outgoing

    def offer(self, item: replica.Item) -> list[peer_messages.OutgoingMessage]:
        """Adds an item to the replica if it is newer.

        Returns:
          The version notices for the neighbors; empty if the item is not newer.
        """
        if not self.replica.offer(item):
            return []
        self._body_requests.pop((item.kind, item.name), None)
        self._on_accepted(item)
        message = peer_messages.VersionNotices((item.version_notice,))
        neighbors = self._detector.overlay.neighbors_of(self.host.name)
        return [
            peer_messages.OutgoingMessage(neighbor, message)
            for neighbor in neighbors
        ]

    def receive(
        self, sender: str, message: peer_messages.Message, now_s: float
    ) -> list[peer_messages.OutgoingMessage]:
        """Handles a peer's message and returns the messages to send."""
        match message:
            case peer_messages.Heartbeat():
                return self._receive_heartbeat(sender, message, now_s)
            case peer_messages.HeartbeatAnswer():
                return self._receive_answer(sender, message, now_s)
            case peer_messages.VersionNotices():
                return self._receive_notices(sender, message, now_s)
            case peer_messages.BodyRequest():
                return self._send_bodies(sender, message)
            case peer_messages.ItemBodies():
                return self._receive_bodies(sender, message)
            case peer_messages.Alarms():
                for alarm in message.alarms:
                    self._coordinator.receive_alarm(alarm, now_s)
            case peer_messages.JoinRequest():
                self._coordinator.receive_join(message.host, now_s)
            case peer_messages.LeaveRequest():
                self._coordinator.receive_leave(
                    message.name, message.incarnation
                )
        return []

    def proposed_hosts(
        self, now_s: float
    ) -> tuple[fleet.DaemonHost, ...] | None:
        """Returns the hosts of a new member list to write now, or None."""
        proposed = self._coordinator.proposed_hosts(
            self.roles, self._detector.overlay, now_s
        )
        if proposed is not None or not self._should_self_join(now_s):
            return proposed
        hosts = dict(self.members.by_name)
        hosts[self.host.name] = self.host
        return tuple(hosts[name] for name in sorted(hosts))

    def _due_heartbeats(
        self, now_s: float
    ) -> list[peer_messages.OutgoingMessage]:
        names = self._detector.due_probes(now_s)
        if (
            not self.is_member
            and now_s - self._coordinators_notified_at_s >= 1.0
        ):
            names += self._next_contacts()
        names += self._pull_targets(now_s, set(names))
        return [self._probe(name, now_s) for name in names]

    def _pull_targets(self, now_s: float, chosen: set[str]) -> list[str]:
        if not self._begin_pull(now_s):
            return []
        # The next hop towards the first watcher is polled instead of the
        # freshest neighbor, because two members that are each other's
        # freshest neighbor would only poll each other. While the next hop's
        # data is stale, the freshest neighbor is polled as well.
        targets = [] if self._next_hop is None else [self._next_hop]
        if not targets or not self._is_recently_fresh(targets[0], now_s):
            targets += sorted(
                self._fresh_at_s,
                key=lambda neighbor: self._fresh_at_s[neighbor],
            )[-1:]
        return [name for name in dict.fromkeys(targets) if name not in chosen]

    def _begin_pull(self, now_s: float) -> bool:
        if self.replica.age_s(now_s) < MIN_PULL_AGE_S:
            return False
        fresh_at_s = self.replica.fresh_at_s
        if now_s - self._pulled_at_s < self._pull_backoff_s:
            return False
        if fresh_at_s > self._pulled_fresh_at_s:
            self._pull_backoff_s = 0.0
        else:
            self._pull_backoff_s = min(
                max(2 * self._pull_backoff_s, TICK_INTERVAL_S),
                MAX_PULL_BACKOFF_S,
            )
        self._pulled_at_s = now_s
        self._pulled_fresh_at_s = fresh_at_s
        return True

    def _is_recently_fresh(self, name: str, now_s: float) -> bool:
        fresh_at_s = self._fresh_at_s.get(name, now_s)
        return now_s - fresh_at_s < STALE_NEXT_HOP_AGE_S

    def _next_contacts(self) -> list[str]:
        # The contacts rotate, so that a daemon whose first contacts are dead
        # reaches a live one after a few rounds.
        chosen = self._contacts[:CONTACTS_PER_ROUND]
        self._contacts = self._contacts[CONTACTS_PER_ROUND:] + chosen
        return chosen

    def _probe(self, name: str, now_s: float) -> peer_messages.OutgoingMessage:
        self._last_probe_id += 1
        incarnation = self.members.incarnation_of(name) or 0
        self._probes[self._last_probe_id] = PendingProbe(
            name, incarnation, now_s
        )
        heartbeat = peer_messages.Heartbeat(
            probe_id=self._last_probe_id,
            expected_name=name,
            incarnation=self.host.incarnation,
            digest=self.replica.digest,
        )
        return peer_messages.OutgoingMessage(name, heartbeat)

    def _expire_probes(self, now_s: float) -> None:
        for probe_id, probe in list(self._probes.items()):
            if now_s - probe.sent_at_s < membership.PROBE_TIMEOUT_S:
                break
            del self._probes[probe_id]
            self._detector.record_failure(probe.name, now_s)
            self._coordinator.record_probe(probe.name, probe.incarnation, False)

    def _receive_heartbeat(
        self, sender: str, heartbeat: peer_messages.Heartbeat, now_s: float
    ) -> list[peer_messages.OutgoingMessage]:
        if heartbeat.digest != self.replica.digest:
            self._pull_backoff_s = 0.0
        age_s = self.replica.age_s(now_s)
        age_ms = MAX_REPORTED_AGE_MS
        if age_s * 1000 < MAX_REPORTED_AGE_MS:
            age_ms = math.ceil(age_s * 1000)
        answer = peer_messages.HeartbeatAnswer(
            probe_id=heartbeat.probe_id,
            name=self.host.name,
            incarnation=self.host.incarnation,
            digest=self.replica.digest,
            age_ms=age_ms,
        )
        return [peer_messages.OutgoingMessage(sender, answer)]

    def _receive_answer(
        self, sender: str, answer: peer_messages.HeartbeatAnswer, now_s: float
    ) -> list[peer_messages.OutgoingMessage]:
        probe = self._probes.pop(answer.probe_id, None)
        if probe is None or probe.name != sender:
            return []
        self._detector.record_answer(
            probe.name, answer.name, answer.incarnation, now_s
        )
        is_same = (
            answer.name == probe.name
            and answer.incarnation >= probe.incarnation
        )
        self._coordinator.record_probe(probe.name, probe.incarnation, is_same)
        self._fresh_at_s[sender] = probe.sent_at_s - answer.age_ms / 1000
        if answer.digest == self.replica.digest:
            # The maximum means that the peer's replica was never confirmed.
            if answer.age_ms < MAX_REPORTED_AGE_MS:
                self.replica.adopt_peer_age(
                    answer.digest, answer.age_ms / 1000, probe.sent_at_s
                )
            return []
        all_notices = tuple(self.replica.notices())
        table = peer_messages.VersionNotices(all_notices, complete=True)
        return [peer_messages.OutgoingMessage(sender, table)]

    def _receive_notices(
        self, sender: str, received: peer_messages.VersionNotices, now_s: float
    ) -> list[peer_messages.OutgoingMessage]:
        outgoing = []
        to_request = []
        for notice in self.replica.missing_versions(received.notices):
            if self._should_request_body(sender, notice, now_s):
                to_request.append(notice)
        if to_request:
            request = peer_messages.BodyRequest(tuple(to_request))
            outgoing.append(peer_messages.OutgoingMessage(sender, request))
        if received.complete:
            peer_versions = {
                (n.kind, n.name): n.version for n in received.notices
            }
            newer = tuple(
                notice
                for notice in self.replica.notices()
                if notice.version
                > peer_versions.get((notice.kind, notice.name), 0)
            )
            if newer:
                answer = peer_messages.VersionNotices(newer)
                outgoing.append(peer_messages.OutgoingMessage(sender, answer))
        return outgoing

    def _should_request_body(
        self, sender: str, notice: replica.VersionNotice, now_s: float
    ) -> bool:
        request = self._body_requests.get((notice.kind, notice.name))
        if request is None or request.notice.version < notice.version:
            self._body_requests[notice.kind, notice.name] = PendingBodyRequest(
                notice, now_s, []
            )
            return True
        if request.notice.version == notice.version:
            request.untried_peers.append(sender)
        return False

    def _retry_body_requests(
        self, now_s: float
    ) -> list[peer_messages.OutgoingMessage]:
        outgoing = []
        for key, request in list(self._body_requests.items()):
            if now_s - request.requested_at_s < BODY_REQUEST_TIMEOUT_S:
                continue
            if not request.untried_peers:
                # The next heartbeat with a different digest requests it again.
                del self._body_requests[key]
                continue
            request.requested_at_s = now_s
            peer = request.untried_peers.pop(0)
            retry = peer_messages.BodyRequest((request.notice,))
            outgoing.append(peer_messages.OutgoingMessage(peer, retry))
        return outgoing

    def _send_bodies(
        self, sender: str, request: peer_messages.BodyRequest
    ) -> list[peer_messages.OutgoingMessage]:
        outgoing = []
        batch: list[replica.Item] = []
        batch_bytes = 0
        for item in self.replica.bodies(request.notices):
            if (
                batch
                and batch_bytes + len(item.body) > MAX_BODIES_MESSAGE_BYTES
            ):
                bodies = peer_messages.ItemBodies(tuple(batch))
                outgoing.append(peer_messages.OutgoingMessage(sender, bodies))
                batch, batch_bytes = [], 0
            batch.append(item)
            batch_bytes += len(item.body)
        if batch:
            bodies = peer_messages.ItemBodies(tuple(batch))
            outgoing.append(peer_messages.OutgoingMessage(sender, bodies))
        return outgoing

    def _receive_bodies(
        self, sender: str, bodies: peer_messages.ItemBodies
    ) -> list[peer_messages.OutgoingMessage]:
        outgoing = []
        for item in bodies.items:
            outgoing += [
                out for out in self.offer(item) if out.recipient != sender
            ]
        return outgoing

    def _notify_coordinators(
        self, now_s: float
    ) -> list[peer_messages.OutgoingMessage]:
        messages: list[peer_messages.Message] = []
        alarms = tuple(self._detector.active_alarms(now_s))
        if alarms:
            messages.append(peer_messages.Alarms(alarms))
        if self.leaving:
            if self.members.incarnation_of(self.host.name) is not None:
                leave = peer_messages.LeaveRequest(
                    self.host.name, self.host.incarnation
                )
                messages.append(leave)
        elif not self.is_member:
            messages.append(peer_messages.JoinRequest(self.host))
        coordinators = self._coordinators_to_notify(bool(messages), now_s)
        outgoing = [
            peer_messages.OutgoingMessage(name, message)
            for message in messages
            for name in coordinators
        ]
        return self._deliver_local(outgoing, now_s)

    def _coordinators_to_notify(
        self, has_requests: bool, now_s: float
    ) -> tuple[str, ...]:
        # The coordinators that were notified first may all have failed, so a
        # request that stays open goes to more members over time.
        if not has_requests:
            self._request_pending_since_s = None
            return ()
        if self._request_pending_since_s is None:
            self._request_pending_since_s = now_s
        waited_s = now_s - self._request_pending_since_s
        rounds = 1 + int(waited_s / COORDINATOR_ESCALATION_S)
        count = rounds * member_roles.COORDINATOR_COUNT
        return self.roles.holders(member_roles.COORDINATOR_ROLE, count)

    def _deliver_local(
        self, outgoing: list[peer_messages.OutgoingMessage], now_s: float
    ) -> list[peer_messages.OutgoingMessage]:
        for out in outgoing:
            if out.recipient == self.host.name:
                self.receive(self.host.name, out.message, now_s)
        return [out for out in outgoing if out.recipient != self.host.name]

    def _probe_suspects(
        self, now_s: float
    ) -> list[peer_messages.OutgoingMessage]:
        suspects = self._coordinator.suspects_to_probe(
            self._detector.overlay, self.members
        )
        return [self._probe(name, now_s) for name in suspects]

    def _track_absence(self, now_s: float) -> None:
        if self.is_member or self.leaving:
            self._absent_since_s = None
        elif self._absent_since_s is None:
            self._absent_since_s = now_s

    def _should_self_join(self, now_s: float) -> bool:
        if self._absent_since_s is None:
            return False
        absent_s = now_s - self._absent_since_s
        if not self.members.hosts:
            return True
        # The delay is spread by a hash of the name, so that the daemons of a
        # completely replaced fleet do not all write the list at the same time.
        name_hash = xxhash.xxh3_64_intdigest(self.host.name.encode())
        share = name_hash / 2**64
        window_s = len(self.members.hosts) / SELF_JOINS_PER_S
        delay_s = membership_coordinator.SELF_JOIN_DELAY_S + share * window_s
        return absent_s >= delay_s
