"""Who leads, how the others follow, and what a leader tells them.

The lease is one object in the store that changes only when the leader does.
Whether a leader lives is seen by those that follow it: each keeps a link to
it, reports several times a second and gets the table back. A leader acts only
while the store or a majority of the daemons it knows has confirmed its term a
short time ago.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
import itertools
import secrets
from typing import Any

from sardinehill import errors
from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.core import loans
from sardinehill.core import shares
from sardinehill.front import bus
from sardinehill.front import duties
from sardinehill.front import orders
from sardinehill.front import registry
from sardinehill.front import spreading
from sardinehill.front import store_watch
from sardinehill.front import view as view_module
from sardinehill.platform import store as store_module
from sardinehill.wire import envelopes
from sardinehill.wire import fleet
from sardinehill.wire import kinds

REPORT_INTERVAL_S = 0.25
# A leader that was silent for so long is taken as lost.
LEADER_SILENCE_S = 0.8
# A daemon that has not reported for so long is not counted.
FOLLOWER_SILENCE_S = 1.0
# One that is not heard is taken to serve callers for so long.
SERVING_UNHEARD_S = 5.0
QUERY_TIMEOUT_S = 0.15
# Candidates take their turns this far apart.
TURN_S = 0.12
RETRY_S = 0.1
# A registration of a daemon that nobody has heard for so long is removed.
FORGET_DAEMON_S = 10.0
LEASE_CHECK_S = 1.0
# A leader without the store hands over to one that reaches it after so long.
STORE_LOST_HANDOVER_S = 1.0
DIRECT_RETRY_S = 1.0
PUSH_DELAY_S = 0.004
# What can be lent is told with one in so many beats.
LENDABLE_BEATS = 4
# A link that only announces a leader is kept until its frame has arrived.
ANNOUNCE_LINK_S = 0.05


@dataclasses.dataclass
class _Follower:
    """A daemon that reports to this one."""

    link: bus.Link
    heard_s: float
    serial_sent: int = -1
    store_reachable: bool = True


class Leadership:
    """This daemon's part in having one leader.

    Public attributes:
      table: the newest table with its spans, or None.
      leads: whether this daemon is the leader.
    """

    def __init__(
        self,
        name: str,
        address: str,
        store: store_module.Store,
        view: view_module.View,
        watch: store_watch.StoreWatch,
        clock_s: Callable[[], float],
        take_report: Callable[[], fleet_messages.Report],
        on_table: Callable[[fleet_messages.Table], None],
        allowance: shares.Allowance,
    ):
        self._name = name
        self._address = address
        self._store = store
        self._view = view
        self._clock_s = clock_s
        self._take_report = take_report
        self._on_table = on_table
        self._allowance = allowance
        self._link: bus.Link | None = None
        self._is_restart = False
        self._tells_lendable = False
        self._term = 0
        self._registry = registry.Registry(name, address, store)
        self._followers: dict[str, _Follower] = {}
        self._heard: dict[str, float] = {}
        self._serial = 0
        self._pushing = False
        self._table_heard_s = -1e9
        self._confirmed_s = -1e9
        self._led_since_s = -1e9
        self._settled_majority = False
        self._ended_peers: set[str] = set()
        self._deposed = asyncio.Event()
        self._new_leader = asyncio.Event()
        self._no_leader = asyncio.Event()
        self._leader_hint: registry.Lease | None = None
        self._resigning = False
        self._stopping = False
        self.table: fleet_messages.Table | None = None
        self.leads = False
        self._duties = self._new_duties()
        self._watch = watch
        self.spreading = spreading.Spreading(
            view, watch, self._ask_for_news, self._tell_followers
        )
        view.subscribe(self._view_changed)

    # messages from peers

    def receive(self, link: bus.Link, envelope: envelopes.Envelope) -> None:
        """Handles a message of a peer.

        Raises:
          PeerFrameError: the message is garbage.
        """
        if envelope.kind == kinds.Kind.REPORT:
            self._take_in(link, fleet.decode_report(envelope.payload))
        elif envelope.kind == kinds.Kind.TABLE:
            self._hear(fleet.decode_table(envelope.payload))
        elif envelope.kind == kinds.Kind.LEADER_QUERY:
            link.send(
                kinds.Kind.TABLE,
                fleet.encode_table(self._outline()),
                envelope.message_id,
                is_answer=True,
            )
        elif envelope.kind == kinds.Kind.LOAN_QUERY:
            wishes = fleet.decode_wishes(envelope.payload)
            link.send(
                kinds.Kind.LOANS,
                fleet.encode_loans(self._lend(wishes)),
                envelope.message_id,
                is_answer=True,
            )
        elif envelope.kind == kinds.Kind.NEWS_QUERY:
            query = fleet.decode_news_query(envelope.payload)
            link.send(
                kinds.Kind.NEWS,
                fleet.encode_news(self.spreading.news_for(query)),
                envelope.message_id,
                is_answer=True,
            )
        elif envelope.kind == kinds.Kind.NEWS_CHANGE:
            self.spreading.hear_change(
                fleet.decode_news_change(envelope.payload)
            )

    def link_lost(self, link: bus.Link) -> None:
        """Forgets a follower whose link has ended."""
        for name, follower in list(self._followers.items()):
            if follower.link is link:
                del self._followers[name]

    def _lend(
        self, wishes: list[fleet_messages.Wish]
    ) -> list[fleet_messages.Loan]:
        return self._duties.lend(wishes, self._daemons()) if self.leads else []

    async def borrow(
        self, wishes: list[fleet_messages.Wish]
    ) -> list[fleet_messages.Loan]:
        """Asks whoever leads for tokens of client accounts.

        Raises:
          PeerLostError: no leader is followed, or it does not answer.
        """
        if self.leads:
            return self._lend(wishes)
        link = self._link
        if link is None or not link.is_open:
            raise errors.PeerLostError("no leader is followed")
        answer = await link.ask(
            kinds.Kind.LOAN_QUERY,
            fleet.encode_wishes(wishes),
            QUERY_TIMEOUT_S,
        )
        return fleet.decode_loans(answer.payload)

    def _tell_followers(self, change: fleet_messages.NewsChange) -> None:
        payload = fleet.encode_news_change(change)
        for follower in self._followers.values():
            follower.link.send(kinds.Kind.NEWS_CHANGE, payload)

    async def _ask_for_news(
        self, query: fleet_messages.NewsQuery
    ) -> fleet_messages.News | None:
        """Asks whom it follows, then peers in turn, for what they have read."""
        link = self._link
        if link is not None and link.is_open:
            try:
                answer = await link.ask(
                    kinds.Kind.NEWS_QUERY,
                    fleet.encode_news_query(query),
                    QUERY_TIMEOUT_S,
                )
                return fleet.decode_news(answer.payload)
            except errors.PeerError as error:
                events.log(
                    events.PEER_UNREACHABLE, address="leader", error=str(error)
                )
        for address in self._addresses_to_ask():
            try:
                answer = await bus.ask_once(
                    address,
                    self._name,
                    kinds.Kind.NEWS_QUERY,
                    fleet.encode_news_query(query),
                    QUERY_TIMEOUT_S,
                )
                news = fleet.decode_news(answer.payload)
            except errors.PeerError:
                continue
            if news.config or news.upstreams or news.zones:
                return news
        return None

    def _addresses_to_ask(self) -> list[str]:
        addresses = [
            address
            for name, address in self._registry.peers.items()
            if name != self._name
        ]
        addresses.sort(key=lambda address: secrets.randbits(16))
        return addresses[:3]

    # following

    async def run(self) -> None:
        """Follows a leader, or leads, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._registry.register())
            group.create_task(self._lead_or_follow())

    async def _lead_or_follow(self) -> None:
        while True:
            try:
                await self._read_lease()
                await self._registry.read_peers()
                break
            except errors.StoreError:
                # Without the store peers cannot be found, nor a lease taken.
                await asyncio.sleep(RETRY_S)
        while True:
            try:
                if not await self._follow():
                    await self._stand()
            except Exception as error:
                # Whatever went wrong, a daemon without a leader tries again.
                events.log_failure(events.TASK_FAILED, error, task="leadership")
                await asyncio.sleep(RETRY_S)

    async def _read_lease(self) -> None:
        await self._registry.read_lease()
        self._term = max(self._term, self._registry.lease.term)

    async def _follow(self) -> bool:
        """Follows the leader that is known; returns whether it did.

        Returns False at once when there is none, or when it is this daemon.
        """
        target = self._leader_hint or self._registry.lease
        self._leader_hint = None
        self._new_leader.clear()
        if not target.holder or target.holder == self._name:
            return False
        followed = await self._follow_at(target.address, target.term)
        if self._leader_hint is not None:
            return True
        return followed and await self._follow_through_peer()

    async def _follow_at(self, address: str, term: int) -> bool:
        """Keeps a link to a leader, or to a peer that hears it.

        Returns:
          Whether the leader was heard at all.
        """
        lost = asyncio.Event()
        self._no_leader.clear()
        began_s = self._clock_s()
        heard_before_s = self._table_heard_s
        try:
            link = await bus.connect(
                address,
                self._name,
                self.receive,
                lambda _link: lost.set(),
            )
        except errors.PeerError:
            return heard_before_s > 0
        events.log(events.LEADER_FOLLOWED, address=address, term=term)
        self._table_heard_s = max(heard_before_s, began_s)
        self._link = link
        try:
            while not lost.is_set() and self._leader_hint is None:
                self._send_report(link)
                try:
                    async with asyncio.timeout(REPORT_INTERVAL_S):
                        await self._first_of(
                            lost, self._new_leader, self._no_leader
                        )
                except TimeoutError:
                    pass
                if self._no_leader.is_set():
                    break
                silent_s = self._clock_s() - self._table_heard_s
                if silent_s > spreading.SILENCE_S:
                    self.spreading.leader_lost()
                if silent_s > LEADER_SILENCE_S:
                    break
                if self.table is not None and self.table.resigned:
                    break
        finally:
            self._link = None
            link.close()
            self.spreading.leader_lost()
        if self._leader_hint is None:
            events.log(
                events.LEADER_LOST,
                address=address,
                term=self._term,
                silent_s=round(self._clock_s() - self._table_heard_s, 3),
            )
        return True

    async def _first_of(self, *flags: asyncio.Event) -> None:
        tasks = [asyncio.ensure_future(flag.wait()) for flag in flags]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    def _send_report(self, link: bus.Link) -> None:
        report = self._take_report()
        report.term = self._term
        report.store_reachable = self._view.store_reachable
        link.send(kinds.Kind.REPORT, fleet.encode_report(report))

    async def _follow_through_peer(self) -> bool:
        """Follows by way of a peer that still hears the leader.

        Returns False when nobody hears it.
        """
        for outline, address in await self._ask_who_leads():
            if outline.term > self._term:
                self._leader_hint = registry.Lease(
                    outline.term, outline.leader, outline.leader_address
                )
                return True
            if (
                outline.term == self._term
                and outline.age_s < LEADER_SILENCE_S / 2
                and not outline.resigned
                and outline.leader != self._name
            ):
                await self._follow_for(address, outline.term)
                self._leader_hint = registry.Lease(
                    outline.term, outline.leader, outline.leader_address
                )
                return True
        return False

    async def _follow_for(self, address: str, term: int) -> None:
        """Follows through a peer for a while, then tries the leader again."""
        try:
            async with asyncio.timeout(DIRECT_RETRY_S):
                await self._follow_at(address, term)
        except TimeoutError:
            return

    async def _ask_who_leads(
        self,
    ) -> list[tuple[fleet_messages.Table, str]]:
        async def ask(address: str) -> tuple[fleet_messages.Table, str] | None:
            try:
                answer = await bus.ask_once(
                    address,
                    self._name,
                    kinds.Kind.LEADER_QUERY,
                    b"",
                    QUERY_TIMEOUT_S,
                )
                return fleet.decode_table(answer.payload), address
            except errors.PeerError:
                return None

        questions = [
            asyncio.ensure_future(ask(address))
            for name, address in self._registry.peers.items()
            if name != self._name
        ]
        if not questions:
            return []
        # Hosts without power do not even refuse; nobody waits for them.
        done, late = await asyncio.wait(questions, timeout=QUERY_TIMEOUT_S)
        for question in late:
            question.cancel()
        answers = [question.result() for question in done]
        found = [answer for answer in answers if answer is not None]
        found.sort(key=lambda item: (-item[0].term, item[0].age_s))
        return found

    def _hear(self, table: fleet_messages.Table) -> None:
        """Takes in a table, unless it is of an older leader or state."""
        if table.term < self._term:
            return
        if table.age_s > LEADER_SILENCE_S and table.term == self._term:
            # Who is followed does not lead, nor does it hear who does.
            self._no_leader.set()
            return
        now_s = self._clock_s()
        if table.term > self._term and table.leader != self._name:
            self._term = table.term
            if self.leads:
                self._deposed.set()
            self._leader_hint = registry.Lease(
                table.term, table.leader, table.leader_address
            )
            self._new_leader.set()
        self._table_heard_s = max(self._table_heard_s, now_s - table.age_s)
        known = self.table
        if known is not None and known.term == table.term:
            if table.serial < known.serial:
                return
            if not table.lendable:
                table.lendable = known.lendable
            if table.spans is None:
                table.spans = known.spans
        elif table.spans is None and known is not None:
            table.spans = known.spans
        self.table = table
        self.spreading.hear_table(table)
        self._on_table(table)
        self._push_soon()

    def _outline(self) -> fleet_messages.Table:
        """Returns what this daemon knows of the leader, without spans."""
        if self.leads:
            return fleet_messages.Table(
                self._term,
                self._name,
                self._address,
                self._serial,
                self._daemons(),
                self._view.store_reachable,
                resigned=self._resigning,
                news_revisions=self.spreading.revisions(),
            )
        known = self.table
        if known is None:
            return fleet_messages.Table(self._term, "", "", 0, 0, age_s=1e6)
        return dataclasses.replace(
            known,
            term=self._term,
            spans=None,
            shares={},
            age_s=min(self._clock_s() - self._table_heard_s, 1e6),
        )

    # becoming the leader

    async def _stand(self) -> None:
        """Takes the lease if nobody else leads or is about to."""
        if self._stopping:
            await asyncio.sleep(RETRY_S)
            return
        try:
            await self._registry.read_peers()
        except errors.StoreError:
            # Those that are known already can still be asked.
            await asyncio.sleep(RETRY_S)
        known = await self._ask_who_leads()
        for outline, _ in known:
            if outline.term > self._term or (
                outline.term == self._term
                and outline.leader not in ("", self._name)
                and outline.age_s < LEADER_SILENCE_S / 2
                and not outline.resigned
            ):
                self._leader_hint = registry.Lease(
                    outline.term, outline.leader, outline.leader_address
                )
                return
        self._is_restart = self.table is None and all(
            outline.age_s > FORGET_DAEMON_S for outline, _ in known
        )
        await self._wait_for_turn(len(known))
        if self._leader_hint is not None:
            return
        before = self._registry.lease
        try:
            await self._read_lease()
            if self._registry.lease.term > before.term:
                return
            taken = await self._registry.take_lease(self._term + 1)
            self._term = max(self._term, self._registry.lease.term)
            if taken:
                await self._registry.read_peers()
        except errors.StoreError:
            await asyncio.sleep(RETRY_S)
            return
        if taken:
            await self._lead()

    async def _wait_for_turn(self, answered: int) -> None:
        ranked = sorted(
            self._registry.peers,
            key=lambda name: hashlib.blake2b(
                f"{self._term} {name}".encode(), digest_size=8
            ).digest(),
        )
        rank = ranked.index(self._name) if self._name in ranked else 0
        # Only those that answered can be ahead, so the wait is bounded.
        rank = min(rank, answered)
        if (
            self._registry.lease.holder == self._name
            or not self._registry.lease.holder
        ):
            rank = min(rank, 1)
        try:
            async with asyncio.timeout(rank * TURN_S):
                await self._new_leader.wait()
        except TimeoutError:
            return

    # leading

    async def _lead(self) -> None:
        self.leads = True
        self.spreading.leads()
        self._deposed.clear()
        self._confirmed_s = self._led_since_s = self._clock_s()
        self._settled_majority = False
        self._ended_peers = set()
        self._heard = {}
        self._serial += 1
        self._duties = self._new_duties()
        self._resigning = False
        events.log(
            events.LEASE_TAKEN,
            service="all",
            term=self._term,
            revision=self._registry.lease_revision,
            peers=len(self._registry.peers),
        )
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(self._announce()),
                    group.create_task(self._beat()),
                    group.create_task(self._check_lease()),
                    group.create_task(self._watch.check(self._push_soon)),
                    group.create_task(self._duties.run(group)),
                ]
                await self._deposed.wait()
                for task in tasks:
                    task.cancel()
                self._duties.cancel()
        finally:
            self.leads = False
            self.spreading.leader_lost()
            self._duties = self._new_duties()
            events.log(events.LEASE_LOST, service="all", term=self._term)

    def _new_duties(self) -> duties.Duties:
        return duties.Duties(
            self._term,
            self._store,
            self._view,
            self._is_licensed,
            self._is_settled,
            self._spans_changed,
            self._deposed.set,
            self._clock_s,
            self._allowance,
            loans.Lender(
                self._allowance,
                loans.start(self._clock_s(), self.table, self._is_restart),
            ),
        )

    def _majority(self) -> int:
        return len(self._registry.peers) // 2 + 1

    def _heard_lately(self, within_s: float) -> int:
        now_s = self._clock_s()
        return 1 + sum(
            1
            for name, heard_s in self._heard.items()
            if name != self._name and now_s - heard_s < within_s
        )

    def _daemons(self) -> int:
        """Returns among how many daemons allowances are divided.

        One that is not heard may still serve callers, so it is counted for a
        while; a new leader counts all that are registered.
        """
        count = self._heard_lately(SERVING_UNHEARD_S)
        if self._clock_s() - self._led_since_s < SERVING_UNHEARD_S:
            count = max(count, len(self._registry.peers))
        return max(1, count)

    def _is_licensed(self) -> bool:
        if not self.leads or self._resigning or self._deposed.is_set():
            return False
        if self._clock_s() - self._confirmed_s < orders.LICENCE_S:
            return True
        return self._heard_lately(orders.LICENCE_S) >= self._majority()

    def _is_settled(self) -> bool:
        """Returns whether no earlier leader can have its licence renewed.

        The store confirms only this term, and a majority follows it.
        """
        gone = len(self._ended_peers - self._heard.keys())
        if self._heard_lately(FOLLOWER_SILENCE_S) + gone >= self._majority():
            self._settled_majority = True
        return self._settled_majority

    async def _announce(self) -> None:
        """Tells registered daemons who leads now, until enough follow.

        One whose port refuses connections has ended, so it follows no
        earlier leader either.
        """

        async def tell(name: str, address: str) -> None:
            try:
                link = await bus.connect(
                    address, self._name, self.receive, self.link_lost
                )
            except errors.PeerNotSentError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    self._ended_peers.add(name)
                return
            self._ended_peers.discard(name)
            link.send(kinds.Kind.TABLE, fleet.encode_table(self._outline()))
            await asyncio.sleep(ANNOUNCE_LINK_S)
            link.close()

        while not self._is_settled():
            await asyncio.gather(
                *(
                    tell(name, address)
                    for name, address in self._registry.peers.items()
                    if name not in self._followers and name != self._name
                )
            )
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _beat(self) -> None:
        for beat in itertools.count():
            self._tells_lendable = beat % LENDABLE_BEATS == 0
            self._push()
            self._tells_lendable = False
            self._report_to_self()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _report_to_self(self) -> None:
        report = self._take_report()
        self._duties.use_report(report)

    async def _check_lease(self) -> None:
        """Confirms the term by the store when too few daemons do."""
        forget_due_s = self._clock_s() + FORGET_DAEMON_S
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self._heard_lately(FOLLOWER_SILENCE_S) < self._majority():
                asked_s = self._clock_s()
                try:
                    await self._read_lease()
                except errors.StoreError:
                    continue
                if not self._registry.holds_lease:
                    self._deposed.set()
                    return
                self._confirmed_s = asked_s
            if self._clock_s() > forget_due_s:
                forget_due_s = self._clock_s() + FORGET_DAEMON_S
                await self._forget_daemons()

    async def _forget_daemons(self) -> None:
        """Removes the registrations of daemons that nobody has heard."""
        now_s = self._clock_s()
        await self._registry.forget(
            [
                name
                for name in self._registry.peers
                if name != self._name
                and now_s - self._heard.get(name, -1e9) > FORGET_DAEMON_S
            ]
        )

    def _take_in(self, link: bus.Link, report: fleet_messages.Report) -> None:
        now_s = self._clock_s()
        if report.term > self._term and self.leads:
            self._deposed.set()
            return
        follower = self._followers.get(report.daemon)
        if follower is None or follower.link is not link:
            follower = _Follower(link, now_s)
            self._followers[report.daemon] = follower
        follower.heard_s = now_s
        follower.store_reachable = report.store_reachable
        if self.leads:
            self._heard[report.daemon] = now_s
            self._registry.peers.setdefault(report.daemon, report.address)
            self._duties.use_report(report)
            self._hand_over_if_cut_off(link, follower)
        self._push_to(report.daemon, follower)

    def _hand_over_if_cut_off(
        self, link: bus.Link, follower: _Follower
    ) -> None:
        if (
            follower.store_reachable
            and self._view.store_lost_for_s() > STORE_LOST_HANDOVER_S
            and not self._resigning
        ):
            self.resign()

    def resign(self) -> None:
        """Stops leading; the others choose a new leader at once."""
        if not self.leads:
            return
        events.log(events.LEASE_RESIGNED, service="all", term=self._term)
        self._resigning = True
        self._push()
        self._deposed.set()

    def stop(self) -> None:
        """Lays the duty down and never takes it again."""
        self._stopping = True
        self.resign()

    # the table

    def _view_changed(self) -> None:
        self._duties.upstreams_changed()

    def _spans_changed(self) -> None:
        self._serial += 1
        self._push_soon()

    def _push_soon(self) -> None:
        if not self._pushing:
            self._pushing = True
            asyncio.get_running_loop().call_later(PUSH_DELAY_S, self._push)

    def _push(self) -> None:
        self._pushing = False
        if self.leads:
            table = self._outline()
            table.spans = self._duties.spans()
            table.shares = self._duties.shares_of(self._name, table.daemons)
            self.table = table
            self._table_heard_s = self._clock_s()
            self._on_table(table)
        for name, follower in list(self._followers.items()):
            self._push_to(name, follower)

    def _push_to(self, name: str, follower: _Follower) -> None:
        table = self._outline()
        if self.leads:
            table.shares = self._duties.shares_of(name, table.daemons)
            if self._tells_lendable or self._resigning:
                table.lendable = self._duties.lendable()
            spans: dict[str, list[fleet_messages.TableSpan]] | None
            spans = self._duties.spans()
        else:
            spans = self.table.spans if self.table is not None else None
        marker = (table.term << 32) + table.serial
        if follower.serial_sent != marker and spans:
            table.spans = spans
            follower.serial_sent = marker
        follower.link.send(kinds.Kind.TABLE, fleet.encode_table(table))

    def status(self) -> dict[str, Any]:
        """Returns figures for the metrics address."""
        return {
            "leads": int(self.leads),
            "term": self._term,
            "followers": len(self._followers),
            "orders": self._duties.orders,
            "moved_keys": self._duties.moved_keys,
        }
