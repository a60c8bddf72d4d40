"""Who leads, how the others follow, and what a leader tells them.

The lease is one object in the store that changes only when the leader does.
Whether a leader lives is seen by those that follow it: each keeps a link to
it, reports several times a second and gets the table back.
"""

import asyncio
from collections.abc import Callable
import itertools
from typing import Any

from sardinehill import errors
from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.core import quota_lending
from sardinehill.core import quota_shares
from sardinehill.front import election
from sardinehill.front import followers
from sardinehill.front import known_leader
from sardinehill.front import leader_client
from sardinehill.front import leader_tasks
from sardinehill.front import leader_term as term_module
from sardinehill.front import peer_links
from sardinehill.front import peer_registry
from sardinehill.front import store_replication
from sardinehill.front import store_view as view_module
from sardinehill.front import store_watch
from sardinehill.platform import store as store_module
from sardinehill.wire import envelopes
from sardinehill.wire import fleet
from sardinehill.wire import kinds

RETRY_INTERVAL_S = 0.1
# A leader without the store hands over to one that reaches it after so long.
STORE_LOST_HANDOVER_S = 1.0
TABLE_PUSH_DELAY_S = 0.004
# What can be lent is told with one in so many beats.
LENDABLE_PUSH_INTERVAL_COUNT = 4


class Leadership:
    """This daemon's part in having one leader.

    Public attributes:
      replication: its part in spreading what the store says.
    """

    def __init__(
        self,
        name: str,
        address: str,
        core_share: float,
        store: store_module.StoreClient,
        view: view_module.StoreView,
        watch: store_watch.StoreWatch,
        clock_s: Callable[[], float],
        take_report: Callable[[], fleet_messages.DaemonReport],
        on_table: Callable[[fleet_messages.LeaderTable], None],
        allowance: quota_shares.FleetQuota,
    ):
        self._name = name
        self._address = address
        self._store = store
        self._view = view
        self._watch = watch
        self._clock_s = clock_s
        self._take_report = take_report
        self._on_table = on_table
        self._allowance = allowance
        self._registry = peer_registry.PeerRegistry(
            name, address, core_share, store
        )
        self._known_leader = known_leader.KnownLeader(name, clock_s)
        self._election = election.Election(
            name, self._known_leader, self._registry
        )
        self._followers = followers.Followers()
        self._leader_client = leader_client.LeaderClient(
            name,
            self._known_leader,
            self._registry,
            self.receive,
            self._make_report,
            self._on_leader_silent,
        )
        self.replication = store_replication.StoreReplication(
            view,
            watch,
            self._leader_client.fetch_documents,
            self._followers.broadcast_change,
        )
        self._term: term_module.LeaderTerm | None = None
        self._tasks: leader_tasks.LeaderTasks | None = None
        self._serial = 0
        self._cached_spans_serial = -1
        self._cached_spans: dict[str, list[fleet_messages.OwnerSpan]] | None = (
            None
        )
        self._push_scheduled = False
        self._includes_lendable = False
        self._stopping = False
        view.subscribe(self._on_view_changed)

    # messages from peers

    def receive(
        self, link: peer_links.PeerLink, envelope: envelopes.Envelope
    ) -> None:
        """Handles a message of a peer.

        Raises:
          PeerFrameError: the message is garbage.
        """
        payload = envelope.payload
        match envelope.kind:
            case kinds.Kind.REPORT:
                self._handle_report(link, fleet.decode_report(payload))
            case kinds.Kind.TABLE:
                self._handle_table(fleet.decode_table(payload))
            case kinds.Kind.NEWS_CHANGE:
                self.replication.apply_change(fleet.decode_news_change(payload))
            case kinds.Kind.LEADER_QUERY:
                self._send_answer(
                    link, envelope, kinds.Kind.TABLE, self._encoded_summary()
                )
            case kinds.Kind.NEWS_QUERY:
                news = self.replication.documents_for(
                    fleet.decode_news_query(payload)
                )
                self._send_answer(
                    link, envelope, kinds.Kind.NEWS, fleet.encode_news(news)
                )
            case kinds.Kind.LOAN_QUERY:
                lent = self._lend(fleet.decode_wishes(payload))
                self._send_answer(
                    link, envelope, kinds.Kind.LOANS, fleet.encode_loans(lent)
                )

    def _send_answer(
        self,
        link: peer_links.PeerLink,
        question: envelopes.Envelope,
        kind: kinds.Kind,
        payload: bytes,
    ) -> None:
        link.send(kind, payload, question.message_id, is_answer=True)

    def link_lost(self, link: peer_links.PeerLink) -> None:
        """Forgets a follower whose link has ended."""
        self._followers.remove_link(link)

    def _handle_table(self, table: fleet_messages.LeaderTable) -> None:
        before = self._known_leader.term
        is_taken = self._known_leader.apply_table(table)
        if self._term is not None and self._known_leader.term > before:
            self._term.ended.set()
        if is_taken:
            self.replication.apply_table(table)
            self._on_table(table)
            self._push_soon()

    def _handle_report(
        self, link: peer_links.PeerLink, report: fleet_messages.DaemonReport
    ) -> None:
        term = self._term
        if term is not None and report.term > self._known_leader.term:
            term.ended.set()
            return
        self._followers.note_report(report.daemon, link)
        if term is not None and self._tasks is not None:
            term.note_report(report.daemon, report.address)
            self._tasks.apply_report(report)
            if report.store_reachable:
                self._hand_over_if_cut_off(term)
        self._followers.send_table(
            report.daemon, self._table_for(report.daemon)
        )

    def _hand_over_if_cut_off(self, term: term_module.LeaderTerm) -> None:
        # It reached the store when it took the lease, whatever was before.
        lost_s = min(self._view.store_lost_for_s(), term.age_s())
        if lost_s > STORE_LOST_HANDOVER_S:
            self.resign()

    # tokens

    def _lend(
        self, wishes: list[fleet_messages.TokenRequest]
    ) -> list[fleet_messages.TokenLoan]:
        if self._term is None or self._tasks is None:
            return []
        return self._tasks.lend(wishes, self._term.daemon_count())

    async def borrow(
        self, wishes: list[fleet_messages.TokenRequest]
    ) -> list[fleet_messages.TokenLoan]:
        """Asks whoever leads for tokens of client accounts.

        Raises:
          PeerLostError: no leader is followed, or it does not answer.
        """
        if self._term is not None:
            return self._lend(wishes)
        return await self._leader_client.borrow(wishes)

    # following and leading

    async def run(self) -> None:
        """Follows a leader, or leads, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._registry.register())
            group.create_task(self._lead_or_follow())

    async def _lead_or_follow(self) -> None:
        while True:
            try:
                await self._election.read_lease()
                await self._registry.read_peers()
                break
            except errors.StoreError:
                # Without the store peers cannot be found, nor a lease taken.
                await asyncio.sleep(RETRY_INTERVAL_S)
        while True:
            try:
                await self._lead_or_follow_once()
            except Exception as error:
                # Whatever went wrong, a daemon without a leader tries again.
                events.log_failure(events.TASK_FAILED, error, task="leadership")
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _lead_or_follow_once(self) -> None:
        if await self._leader_client.follow():
            return
        if self._stopping:
            await asyncio.sleep(RETRY_INTERVAL_S)
        elif (
            await self._election.try_to_lead()
            and self._registry.lease.term == (self._known_leader.term)
        ):
            await self._lead()

    def _make_report(self) -> fleet_messages.DaemonReport:
        report = self._take_report()
        report.term = self._known_leader.term
        report.store_reachable = self._view.store_answered_recently()
        return report

    def _on_leader_silent(self) -> None:
        self.replication.leader_lost()

    async def _lead(self) -> None:
        term = term_module.LeaderTerm(
            self._name,
            self._registry,
            self._election,
            self._followers,
            self._clock_s,
        )
        own = self._new_tasks(term)
        self._term, self._tasks = term, own
        self._serial += 1
        self.replication.became_leader()
        events.log(
            events.LEASE_TAKEN,
            service="all",
            term=self._known_leader.term,
            revision=self._registry.lease_revision,
            peers=len(self._registry.peer_addresses),
        )
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(part)
                    for part in (
                        term.announce(self._send_summary),
                        term.check_lease(),
                        self._watch.run_probe(self._push_soon),
                        self._push_periodically(own),
                        own.run(group),
                    )
                ]
                await term.ended.wait()
                for task in tasks:
                    task.cancel()
                own.cancel()
        finally:
            self._term = self._tasks = None
            self.replication.leader_lost()
            events.log(
                events.LEASE_LOST, service="all", term=self._known_leader.term
            )

    def _new_tasks(
        self, term: term_module.LeaderTerm
    ) -> leader_tasks.LeaderTasks:
        start = quota_lending.lending_start(
            self._clock_s(), self._known_leader.table, self._election.is_restart
        )
        return leader_tasks.LeaderTasks(
            self._known_leader.term,
            self._store,
            self._view,
            term.may_send_orders,
            term.is_exclusive,
            self._on_spans_changed,
            term.ended.set,
            self._clock_s,
            self._allowance,
            quota_lending.Lender(self._allowance, start),
        )

    async def _push_periodically(self, own: leader_tasks.LeaderTasks) -> None:
        for beat in itertools.count():
            self._includes_lendable = beat % LENDABLE_PUSH_INTERVAL_COUNT == 0
            self._push()
            self._includes_lendable = False
            own.apply_report(self._make_report())
            await asyncio.sleep(leader_client.REPORT_INTERVAL_S)

    def resign(self) -> None:
        """Stops leading; the others choose a new leader at once."""
        term = self._term
        if term is None or term.resigned:
            return
        events.log(
            events.LEASE_RESIGNED, service="all", term=self._known_leader.term
        )
        term.resigned = True
        self._push()
        term.ended.set()

    def stop(self) -> None:
        """Lays the duty down and never takes it again."""
        self._stopping = True
        self.resign()

    # the table

    def _on_view_changed(self) -> None:
        if self._tasks is not None:
            self._tasks.replan()

    def _on_spans_changed(self) -> None:
        self._serial += 1
        self._push_soon()

    def _push_soon(self) -> None:
        if not self._push_scheduled:
            self._push_scheduled = True
            asyncio.get_running_loop().call_later(
                TABLE_PUSH_DELAY_S, self._push
            )

    def _push(self) -> None:
        self._push_scheduled = False
        if self._term is not None:
            table = self._table_for(self._name)
            self._known_leader.set_own_table(table)
            self._on_table(table)
        self._followers.broadcast_tables(self._table_for)

    def _table_for(self, name: str) -> fleet_messages.LeaderTable:
        """Returns the whole table that a daemon is to have."""
        table = self._summary()
        if self._term is None or self._tasks is None:
            known = self._known_leader.table
            table.spans = known.spans if known is not None else None
            return table
        table.spans = self._spans(self._tasks)
        table.shares = self._tasks.quota_shares(name, table.daemons)
        if self._includes_lendable or self._term.resigned:
            table.lendable = self._tasks.lendable()
        return table

    def _spans(
        self, own: leader_tasks.LeaderTasks
    ) -> dict[str, list[fleet_messages.OwnerSpan]] | None:
        """Returns the owners, made anew only when something has changed."""
        if self._cached_spans_serial != self._serial:
            self._cached_spans_serial, self._cached_spans = (
                self._serial,
                own.table_spans(),
            )
        return self._cached_spans

    def _summary(self) -> fleet_messages.LeaderTable:
        """Returns what this daemon can tell of the leader, without spans."""
        if self._term is None:
            return self._known_leader.summary()
        return fleet_messages.LeaderTable(
            self._known_leader.term,
            self._name,
            self._address,
            self._serial,
            self._term.daemon_count(),
            self._view.store_reachable,
            resigned=self._term.resigned,
            store_revisions=self.replication.change_revisions(),
        )

    def _encoded_summary(self) -> bytes:
        return fleet.encode_table(self._summary())

    def _send_summary(self, link: peer_links.PeerLink) -> None:
        link.send(kinds.Kind.TABLE, self._encoded_summary())

    def status(self) -> dict[str, Any]:
        """Returns figures for the metrics address."""
        own = self._tasks
        return {
            "leads": int(self._term is not None),
            "term": self._known_leader.term,
            "followers": len(self._followers),
            "orders": own.orders_sent if own else 0,
            "moved_keys": own.moved_keys if own else 0,
        }
