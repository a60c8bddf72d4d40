"""One daemon's part in membership and news: messages in, messages out.

Nothing here waits or sends. The daemon calls `tick` several times a second,
hands each message of a peer to `receive`, and sends what either returns. Any
message may be lost, doubled or late.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

import xxhash

from sardinehill.core import duties
from sardinehill.core import fleet
from sardinehill.core import membership
from sardinehill.core import news
from sardinehill.core import peer_messages
from sardinehill.core import steward

TICK_INTERVAL_S = 0.2
# An item that was asked for and did not come is asked of another peer.
BODY_TIMEOUT_S = 0.4
# With older news than this, a member asks a link at once.
# Heartbeats alone added up to a second of age for each hop from a watcher.
PULL_AGE_S = 0.9
# One that asked in vain waits twice as long each time, up to this: where nobody
# knows anything fresher, all would answer for all.
LONGEST_PULL_PAUSE_S = 1.6
SILENT_HOP_AGE_S = 2.0
# A wish to the stewards that is not granted is told to more of them.
WIDER_AFTER_S = 5.0
# Daemons a second that write themselves into the list without a steward.
OWN_JOINS_PER_S = 5.0
# Bodies in one message; larger answers are cut into several messages.
BODIES_BYTES = 256 * 1024
# A daemon that is not in the list tells this many peers a second.
CONTACTS = 2
LONGEST_AGE_MS = 2**31 - 1


@dataclasses.dataclass
class OpenProbe:
    """A heartbeat that was not answered yet.

    Attributes:
      name: the member that was probed.
      incarnation: the incarnation that was probed.
      sent_at_s: when it was sent.
    """

    name: str
    incarnation: int
    sent_at_s: float


@dataclasses.dataclass
class OpenWant:
    """An item that was asked for.

    Attributes:
      notice: the newest version that a peer told.
      asked_at_s: when a peer was last asked.
      tellers: peers that have it and were not asked yet.
    """

    notice: news.Notice
    asked_at_s: float
    tellers: list[str]


class Member:
    """The state of one daemon among the others.

    Attributes:
      host: this daemon.
      news: what it knows.
      duties: who holds which duty under the newest list it knows.
      leaving: whether it wants to be a member no more.
    """

    def __init__(
        self,
        host: fleet.DaemonHost,
        accepted: Callable[[news.Item], None],
    ):
        """Makes a member that knows nothing yet.

        Args:
          host: this daemon.
          accepted: called with each item that is newer than what was known.
        """
        self.host = host
        self.news = news.NewsTable()
        self.leaving = False
        self.duties = duties.DutyTable(membership.Members())
        self._accepted = accepted
        self._monitor = membership.Monitor(host.name)
        self._steward = steward.Steward(host.name)
        self._probes: dict[int, OpenProbe] = {}
        self._last_probe_id = 0
        self._wants: dict[tuple[str, str], OpenWant] = {}
        self._contacts: list[str] = []
        self._told_at_s = float("-inf")
        self._ticked_at_s = float("-inf")
        self._absent_since_s: float | None = None
        self._fresh_at_s: dict[str, float] = {}
        self._next_hop: str | None = None
        self._pulled_at_s = float("-inf")
        self._pulled_fresh_at_s = float("-inf")
        self._pull_pause_s = 0.0
        self._wishing_since_s: float | None = None

    @property
    def members(self) -> membership.Members:
        """The newest member list that this daemon knows."""
        return self._monitor.members

    @property
    def is_member(self) -> bool:
        """Whether the list has this daemon as it runs now."""
        return self.members.by_name.get(self.host.name) == self.host

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon watches the store for others."""
        return self.host.name in self.duties.watchers()

    def set_members(self, members: membership.Members, now_s: float) -> bool:
        """Takes a newer list over, and returns whether it was newer."""
        before = self.members
        if not self._monitor.set_members(members, now_s):
            return False
        self._steward.observed(before, members, now_s)
        if self.is_member:
            self._absent_since_s = None
        self.duties = duties.DutyTable(members)
        links = set(self._monitor.overlay.links_of(self.host.name))
        self._next_hop = None
        for watcher in self.duties.watchers()[:1]:
            self._next_hop = self._monitor.overlay.next_hop(
                self.host.name, watcher
            )
        self._fresh_at_s = {
            name: fresh_at_s
            for name, fresh_at_s in self._fresh_at_s.items()
            if name in links
        }
        return True

    def set_contacts(self, names: Iterable[str]) -> None:
        """Sets the daemons to turn to while the list is of no use."""
        contacts = [name for name in names if name != self.host.name]
        # The same contacts keep their order, which turns with each use.
        if set(contacts) != set(self._contacts):
            self._contacts = contacts

    def heard_platform_hosts(self, live: Iterable[str], now_s: float) -> None:
        """Takes the platform's list of live daemon hosts, a mere hint."""
        self._steward.heard_platform_hosts(live, self.members, now_s)

    def unreachable(self, now_s: float) -> list[str]:
        """Returns the members that this daemon's own probes do not reach."""
        return [alarm.subject for alarm in self._monitor.alarms(now_s)]

    def tick(self, now_s: float) -> list[peer_messages.Outgoing]:
        """Returns what there is to send now."""
        if now_s - self._ticked_at_s >= membership.OWN_PAUSE_S:
            # Stewards had no time to grant a wish that a frozen daemon did
            # not tell, so the time of the pause does not count.
            self._absent_since_s = None
        self._ticked_at_s = now_s
        self._expire_probes(now_s)
        outgoing = self._heartbeats(now_s)
        outgoing += self._overdue_wants(now_s)
        if now_s - self._told_at_s >= membership.PROBE_INTERVAL_S:
            self._told_at_s = now_s
            outgoing += self._tell_stewards(now_s)
            outgoing += self._probe_suspects(now_s)
        self._note_absence(now_s)
        return outgoing

    def offer(self, item: news.Item) -> list[peer_messages.Outgoing]:
        """Takes an item, and returns the notices for its links if newer."""
        if not self.news.offer(item):
            return []
        self._wants.pop((item.kind, item.name), None)
        self._accepted(item)
        message = peer_messages.Notices((item.notice,))
        links = self._monitor.overlay.links_of(self.host.name)
        return [peer_messages.Outgoing(link, message) for link in links]

    def receive(
        self, sender: str, message: peer_messages.Message, now_s: float
    ) -> list[peer_messages.Outgoing]:
        """Takes a peer's message and returns the answers to send."""
        match message:
            case peer_messages.Heartbeat():
                return self._heard_heartbeat(sender, message, now_s)
            case peer_messages.HeartbeatAnswer():
                return self._heard_answer(sender, message, now_s)
            case peer_messages.Notices():
                return self._heard_notices(sender, message, now_s)
            case peer_messages.Want():
                return self._send_bodies(sender, message)
            case peer_messages.Bodies():
                return self._heard_bodies(sender, message)
            case peer_messages.Alarms():
                for alarm in message.alarms:
                    self._steward.heard_alarm(alarm, now_s)
            case peer_messages.Join():
                self._steward.heard_join(message.host, now_s)
            case peer_messages.Leave():
                self._steward.heard_leave(message.name, message.incarnation)
        return []

    def proposal(self, now_s: float) -> tuple[fleet.DaemonHost, ...] | None:
        """Returns the hosts of a new list to write now, or None."""
        proposed = self._steward.proposal(
            self.duties, self._monitor.overlay, now_s
        )
        if proposed is not None or not self._must_join_itself(now_s):
            return proposed
        hosts = dict(self.members.by_name)
        hosts[self.host.name] = self.host
        return tuple(hosts[name] for name in sorted(hosts))

    def _heartbeats(self, now_s: float) -> list[peer_messages.Outgoing]:
        names = self._monitor.due(now_s)
        if not self.is_member and now_s - self._told_at_s >= 1.0:
            names += self._next_contacts()
        names += self._pull_from(now_s, set(names))
        return [self._probe(name, now_s) for name in names]

    def _pull_from(self, now_s: float, chosen: set[str]) -> list[str]:
        if not self._may_pull(now_s):
            return []
        # The way to the first watcher is asked, and not the freshest link:
        # two members that took each other for the freshest kept asking each
        # other. The freshest one is asked too while the next hop is silent.
        asked = [] if self._next_hop is None else [self._next_hop]
        if not asked or not self._tells_lately(asked[0], now_s):
            asked += sorted(
                self._fresh_at_s, key=lambda link: self._fresh_at_s[link]
            )[-1:]
        return [name for name in dict.fromkeys(asked) if name not in chosen]

    def _may_pull(self, now_s: float) -> bool:
        if self.news.age_s(now_s) < PULL_AGE_S:
            return False
        fresh_at_s = self.news.fresh_at_s
        if now_s - self._pulled_at_s < self._pull_pause_s:
            return False
        if fresh_at_s > self._pulled_fresh_at_s:
            self._pull_pause_s = 0.0
        else:
            self._pull_pause_s = min(
                max(2 * self._pull_pause_s, TICK_INTERVAL_S),
                LONGEST_PULL_PAUSE_S,
            )
        self._pulled_at_s = now_s
        self._pulled_fresh_at_s = fresh_at_s
        return True

    def _tells_lately(self, name: str, now_s: float) -> bool:
        fresh_at_s = self._fresh_at_s.get(name, now_s)
        return now_s - fresh_at_s < SILENT_HOP_AGE_S

    def _next_contacts(self) -> list[str]:
        # The list turns, so that a daemon whose first contacts are dead
        # reaches a live one after a few rounds.
        chosen = self._contacts[:CONTACTS]
        self._contacts = self._contacts[CONTACTS:] + chosen
        return chosen

    def _probe(self, name: str, now_s: float) -> peer_messages.Outgoing:
        self._last_probe_id += 1
        incarnation = self.members.incarnation_of(name) or 0
        self._probes[self._last_probe_id] = OpenProbe(name, incarnation, now_s)
        heartbeat = peer_messages.Heartbeat(
            probe_id=self._last_probe_id,
            expected_name=name,
            incarnation=self.host.incarnation,
            digest=self.news.digest,
        )
        return peer_messages.Outgoing(name, heartbeat)

    def _expire_probes(self, now_s: float) -> None:
        for probe_id, probe in list(self._probes.items()):
            if now_s - probe.sent_at_s < membership.PROBE_TIMEOUT_S:
                break
            del self._probes[probe_id]
            self._monitor.failed(probe.name, now_s)
            self._steward.own_probe(probe.name, probe.incarnation, False)

    def _heard_heartbeat(
        self, sender: str, heartbeat: peer_messages.Heartbeat, now_s: float
    ) -> list[peer_messages.Outgoing]:
        if heartbeat.digest != self.news.digest:
            self._pull_pause_s = 0.0
        age_s = self.news.age_s(now_s)
        age_ms = LONGEST_AGE_MS
        if age_s * 1000 < LONGEST_AGE_MS:
            age_ms = math.ceil(age_s * 1000)
        answer = peer_messages.HeartbeatAnswer(
            probe_id=heartbeat.probe_id,
            name=self.host.name,
            incarnation=self.host.incarnation,
            digest=self.news.digest,
            age_ms=age_ms,
        )
        return [peer_messages.Outgoing(sender, answer)]

    def _heard_answer(
        self, sender: str, answer: peer_messages.HeartbeatAnswer, now_s: float
    ) -> list[peer_messages.Outgoing]:
        probe = self._probes.pop(answer.probe_id, None)
        if probe is None or probe.name != sender:
            return []
        self._monitor.answered(
            probe.name, answer.name, answer.incarnation, now_s
        )
        same = (
            answer.name == probe.name
            and answer.incarnation >= probe.incarnation
        )
        self._steward.own_probe(probe.name, probe.incarnation, same)
        self._fresh_at_s[sender] = probe.sent_at_s - answer.age_ms / 1000
        if answer.digest == self.news.digest:
            # One that never heard of the store has no age to tell.
            if answer.age_ms < LONGEST_AGE_MS:
                self.news.hear_age(
                    answer.digest, answer.age_ms / 1000, probe.sent_at_s
                )
            return []
        everything = tuple(self.news.notices())
        table = peer_messages.Notices(everything, complete=True)
        return [peer_messages.Outgoing(sender, table)]

    def _heard_notices(
        self, sender: str, told: peer_messages.Notices, now_s: float
    ) -> list[peer_messages.Outgoing]:
        outgoing = []
        to_ask = []
        for notice in self.news.lacking(told.notices):
            if self._should_ask(sender, notice, now_s):
                to_ask.append(notice)
        if to_ask:
            want = peer_messages.Want(tuple(to_ask))
            outgoing.append(peer_messages.Outgoing(sender, want))
        if told.complete:
            there = {(n.kind, n.name): n.version for n in told.notices}
            newer = tuple(
                notice
                for notice in self.news.notices()
                if notice.version > there.get((notice.kind, notice.name), 0)
            )
            if newer:
                answer = peer_messages.Notices(newer)
                outgoing.append(peer_messages.Outgoing(sender, answer))
        return outgoing

    def _should_ask(
        self, sender: str, notice: news.Notice, now_s: float
    ) -> bool:
        want = self._wants.get((notice.kind, notice.name))
        if want is None or want.notice.version < notice.version:
            self._wants[notice.kind, notice.name] = OpenWant(notice, now_s, [])
            return True
        if want.notice.version == notice.version:
            want.tellers.append(sender)
        return False

    def _overdue_wants(self, now_s: float) -> list[peer_messages.Outgoing]:
        outgoing = []
        for key, want in list(self._wants.items()):
            if now_s - want.asked_at_s < BODY_TIMEOUT_S:
                continue
            if not want.tellers:
                # Forgotten, so that the next digest asks for it anew.
                del self._wants[key]
                continue
            want.asked_at_s = now_s
            teller = want.tellers.pop(0)
            ask = peer_messages.Want((want.notice,))
            outgoing.append(peer_messages.Outgoing(teller, ask))
        return outgoing

    def _send_bodies(
        self, sender: str, want: peer_messages.Want
    ) -> list[peer_messages.Outgoing]:
        outgoing = []
        batch: list[news.Item] = []
        batch_bytes = 0
        for item in self.news.bodies(want.notices):
            if batch and batch_bytes + len(item.body) > BODIES_BYTES:
                bodies = peer_messages.Bodies(tuple(batch))
                outgoing.append(peer_messages.Outgoing(sender, bodies))
                batch, batch_bytes = [], 0
            batch.append(item)
            batch_bytes += len(item.body)
        if batch:
            bodies = peer_messages.Bodies(tuple(batch))
            outgoing.append(peer_messages.Outgoing(sender, bodies))
        return outgoing

    def _heard_bodies(
        self, sender: str, bodies: peer_messages.Bodies
    ) -> list[peer_messages.Outgoing]:
        outgoing = []
        for item in bodies.items:
            outgoing += [out for out in self.offer(item) if out.to != sender]
        return outgoing

    def _tell_stewards(self, now_s: float) -> list[peer_messages.Outgoing]:
        messages: list[peer_messages.Message] = []
        alarms = tuple(self._monitor.alarms(now_s))
        if alarms:
            messages.append(peer_messages.Alarms(alarms))
        if self.leaving:
            if self.members.incarnation_of(self.host.name) is not None:
                leave = peer_messages.Leave(
                    self.host.name, self.host.incarnation
                )
                messages.append(leave)
        elif not self.is_member:
            messages.append(peer_messages.Join(self.host))
        stewards = self._stewards_to_tell(bool(messages), now_s)
        outgoing = [
            peer_messages.Outgoing(name, message)
            for message in messages
            for name in stewards
        ]
        return self._keep_own(outgoing, now_s)

    def _stewards_to_tell(self, wishing: bool, now_s: float) -> tuple[str, ...]:
        # Those that were told first may all be gone, so a wish that is not
        # granted is told to more and more.
        if not wishing:
            self._wishing_since_s = None
            return ()
        if self._wishing_since_s is None:
            self._wishing_since_s = now_s
        waited_s = now_s - self._wishing_since_s
        rounds = 1 + int(waited_s / WIDER_AFTER_S)
        count = rounds * duties.STEWARD_COUNT
        return self.duties.holders(duties.STEWARD_DUTY, count)

    def _keep_own(
        self, outgoing: list[peer_messages.Outgoing], now_s: float
    ) -> list[peer_messages.Outgoing]:
        for out in outgoing:
            if out.to == self.host.name:
                self.receive(self.host.name, out.message, now_s)
        return [out for out in outgoing if out.to != self.host.name]

    def _probe_suspects(self, now_s: float) -> list[peer_messages.Outgoing]:
        suspects = self._steward.suspects(self._monitor.overlay, self.members)
        return [self._probe(name, now_s) for name in suspects]

    def _note_absence(self, now_s: float) -> None:
        if self.is_member or self.leaving:
            self._absent_since_s = None
        elif self._absent_since_s is None:
            self._absent_since_s = now_s

    def _must_join_itself(self, now_s: float) -> bool:
        if self._absent_since_s is None:
            return False
        absent_s = now_s - self._absent_since_s
        if not self.members.hosts:
            return True
        # Spread by name, so that a fleet that was replaced as a whole does
        # not write the one object all at once.
        hashed = xxhash.xxh3_64_intdigest(self.host.name.encode())
        share = hashed / 2**64
        window_s = len(self.members.hosts) / OWN_JOINS_PER_S
        delay_s = steward.UNSERVED_BEFORE_OWN_JOIN_S + share * window_s
        return absent_s >= delay_s
