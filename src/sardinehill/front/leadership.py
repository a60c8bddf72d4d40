"""Runs this daemon as the leader of the fleet or as one of its followers.

The lease is one object in the store and is written only when the leader
changes. Followers detect by themselves whether the leader is alive: each keeps
a link to it, sends several reports a second and receives the leader table in
return.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import itertools
from typing import Any

from sardinehill import errors
from sardinehill import events
from sardinehill.core import crash_suspects
from sardinehill.core import fleet_messages
from sardinehill.core import leaving_upstreams
from sardinehill.core import quota_lending
from sardinehill.core import quota_shares
from sardinehill.core.load import cold_lending
from sardinehill.core.load import named_limits
from sardinehill.front import election
from sardinehill.front import followers
from sardinehill.front import known_leader
from sardinehill.front import leader_client
from sardinehill.front import leader_tables
from sardinehill.front import leader_tasks
from sardinehill.front import leader_term
from sardinehill.front import loan_messages
from sardinehill.front import peer_links
from sardinehill.front import peer_registry
from sardinehill.front import reach_monitor
from sardinehill.front import store_replication
from sardinehill.front import store_view
from sardinehill.front import store_watch
from sardinehill.front.load import designated_schedulers
from sardinehill.platform import store as store_module
from sardinehill.wire import envelopes
from sardinehill.wire import fleet
from sardinehill.wire import message_kinds

RETRY_INTERVAL_S = 0.1


class Leadership:
    """Follows the fleet's leader, or leads while this daemon holds the lease.

    Public attributes:
      replication: passes stored documents on between daemons.
    """

    def __init__(
        self,
        name: str,
        address: str,
        core_share: float,
        store: store_module.StoreClient,
        view: store_view.StoreView,
        watch: store_watch.StoreWatch,
        clock_s: Callable[[], float],
        take_report: Callable[[], fleet_messages.DaemonReport],
        on_table: Callable[[fleet_messages.LeaderTable], None],
        quota: quota_shares.FleetQuota,
        cold_bound: cold_lending.ColdBound,
        limits: named_limits.NamedLimits,
        suspects: crash_suspects.CrashSuspects,
        leaving: leaving_upstreams.LeavingUpstreams,
        reach: reach_monitor.ReachMonitor,
        schedulers: designated_schedulers.DesignatedSchedulers,
    ):
        self._name = name
        self._reach = reach
        self._store = store
        self._view = view
        self._watch = watch
        self._clock_s = clock_s
        self._take_report = take_report
        self._on_table = on_table
        self._quota = quota
        self._cold_bound = cold_bound
        self._limits = limits
        self._suspects = suspects
        self._leaving = leaving
        self._schedulers = schedulers
        # The term of the leader that was last told of all suspects and of all
        # upstreams that leave.
        self._reported_term = 0
        self._registry = peer_registry.PeerRegistry(
            name, address, core_share, store
        )
        self._known_leader = known_leader.KnownLeader(name, clock_s)
        self._election = election.Election(
            name,
            self._known_leader,
            self._registry,
            clock_s,
            reach.is_cut_off,
        )
        self._followers = followers.Followers()
        self._leader_client = leader_client.LeaderClient(
            name,
            self._known_leader,
            self._registry,
            self.receive,
            self._make_report,
            self._on_leader_silent,
            self._election.query_peers,
        )
        self.replication = store_replication.StoreReplication(
            view,
            watch,
            self._leader_client.fetch_documents,
            self._followers.broadcast_change,
        )
        self._term: leader_term.LeaderTerm | None = None
        self._tasks: leader_tasks.LeaderTasks | None = None
        self._tables = leader_tables.LeaderTables(
            name,
            address,
            view,
            self._known_leader,
            self._followers,
            limits,
            suspects,
            leaving,
            schedulers,
            self.replication.change_versions,
            on_table,
        )
        self._stopping = False
        view.subscribe(self._on_view_changed)

    @property
    def leads(self) -> bool:
        """Whether this daemon leads the fleet."""
        return self._term is not None

    @property
    def peer_count(self) -> int:
        """The number of registered daemons, as far as known."""
        return len(self._registry.peer_addresses)

    @property
    def peer_addresses(self) -> Mapping[str, str]:
        """The addresses of the registered daemons by name, with this one."""
        return self._registry.peer_addresses

    async def refresh_peers(self) -> None:
        """Reads the registered daemons again, if the store answers."""
        with contextlib.suppress(errors.StoreError):
            await self._registry.read_peers()

    # messages from peers

    def receive(
        self, link: peer_links.PeerLink, envelope: envelopes.Envelope
    ) -> None:
        """Handles a message from a peer.

        Raises:
          PeerFrameError: the message is malformed.
        """
        payload = envelope.payload
        match envelope.kind:
            case message_kinds.MessageKind.DAEMON_REPORT:
                self._handle_report(link, fleet.decode_report(payload))
            case message_kinds.MessageKind.LEADER_TABLE:
                self._handle_table(fleet.decode_table(payload))
            case message_kinds.MessageKind.STORE_CHANGE:
                self.replication.apply_change(
                    fleet.decode_store_change(payload)
                )
            case message_kinds.MessageKind.LEADER_QUERY:
                self._send_answer(
                    link,
                    envelope,
                    message_kinds.MessageKind.LEADER_TABLE,
                    self._tables.encoded_summary(),
                )
            case message_kinds.MessageKind.STORE_STATE_QUERY:
                query = fleet.decode_store_state_query(payload)
                state = self.replication.documents_for(query)
                self._send_answer(
                    link,
                    envelope,
                    message_kinds.MessageKind.STORE_STATE,
                    fleet.encode_store_state(state, query.protocol_version),
                )
            case request_kind if request_kind in loan_messages.LOAN_KINDS:
                loan_kind = loan_messages.LOAN_KINDS[request_kind]
                loans = self._lend(
                    loan_kind, fleet.decode_token_requests(payload)
                )
                self._send_answer(
                    link,
                    envelope,
                    loan_messages.MESSAGES[loan_kind].loans,
                    fleet.encode_token_loans(loans),
                )

    def _send_answer(
        self,
        link: peer_links.PeerLink,
        query: envelopes.Envelope,
        kind: message_kinds.MessageKind,
        payload: bytes,
    ) -> None:
        link.send(kind, payload, query.message_id, is_answer=True)

    def link_lost(self, link: peer_links.PeerLink) -> None:
        """Removes the follower whose link has closed."""
        removed = self._followers.remove_link(link)
        if self._schedulers.remove(removed) and self._term is not None:
            self._update_schedulers(self._term)

    def _handle_table(self, table: fleet_messages.LeaderTable) -> None:
        previous_term = self._known_leader.term
        previous_table = self._known_leader.table
        is_applied = self._known_leader.apply_table(table)
        if self._term is not None and self._known_leader.term > previous_term:
            self._term.ended.set()
        if is_applied:
            self.replication.apply_table(table)
            self._on_table(table)
            self._note_changed_suspects()
            if (
                previous_table is None
                or previous_table.schedulers != table.schedulers
            ):
                self._tables.note_changed_schedulers()
            self._tables.schedule_push()

    def _handle_report(
        self, link: peer_links.PeerLink, report: fleet_messages.DaemonReport
    ) -> None:
        term = self._term
        if term is not None and report.term > self._known_leader.term:
            term.ended.set()
            return
        now_s = self._loop_time_s()
        self._limits.record_news(report.limits, now_s)
        self._suspects.record_news(
            report.suspects, now_s, is_passed_on=term is None
        )
        self._leaving.record_news(
            report.leaving, now_s, is_passed_on=term is None
        )
        needs_table = self._followers.note_report(report, link)
        if term is not None and self._tasks is not None:
            if report.term == self._known_leader.term:
                # Others may go back to the leader of the term that they name.
                term.note_report(
                    report.daemon, report.address, report.upstreams_reachable
                )
            self._schedulers.note_report(report)
            self._tasks.apply_report(report)
            self._note_leaving(self._tasks)
            if term.should_hand_over_if_cut_off(self._reach.cut_off_for_s()):
                self.resign()
            if report.store_reachable:
                term.note_store_reached(report.daemon)
                self._hand_over_if_store_lost(term)
        if needs_table or term is None:
            self._tables.send(report.daemon, is_first=needs_table)

    def _hand_over_if_store_lost(self, term: leader_term.LeaderTerm) -> None:
        # This daemon reached the store when it took the lease, so an outage
        # counts at most from the start of the term.
        lost_s = min(self._view.store_lost_for_s(), term.age_s())
        if term.should_hand_over(lost_s):
            self.resign()

    # token loans

    def _lend(
        self,
        kind: fleet_messages.LoanKind,
        requests: list[fleet_messages.TokenRequest],
    ) -> list[fleet_messages.TokenLoan]:
        if self._term is None or self._tasks is None:
            return []
        return self._tasks.lend(kind, requests, self._term.daemon_count())

    async def borrow(
        self,
        kind: fleet_messages.LoanKind,
        requests: list[fleet_messages.TokenRequest],
    ) -> list[fleet_messages.TokenLoan]:
        """Borrows tokens of a limit that the fleet shares from the leader.

        Raises:
          PeerLostError: no leader is followed, or it does not answer.
        """
        if self._term is not None:
            return self._lend(kind, requests)
        return await self._leader_client.borrow(kind, requests)

    # following and leading

    async def run(self) -> None:
        """Follows the leader, or leads, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._registry.register(lambda: self._view.era))
            group.create_task(self._lead_or_follow())

    async def _lead_or_follow(self) -> None:
        while True:
            try:
                # Reports to the leader of an outdated lease would confirm its
                # term, though another one leads already.
                await self._registry.read_lease()
                self._known_leader.note_term(self._registry.lease.term)
                # Outdated peers only delay this daemon: they are read again
                # before it leads.
                await self._registry.read_peers(may_be_stale=True)
                break
            except errors.StoreError:
                # Finding peers and taking the lease both need the store.
                await asyncio.sleep(RETRY_INTERVAL_S)
        while True:
            try:
                await self._lead_or_follow_once()
            except Exception as error:
                # A daemon without a leader retries after any failure.
                events.log_with_traceback(
                    events.TASK_FAILED, error, task="leadership"
                )
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _lead_or_follow_once(self) -> None:
        if await self._leader_client.follow():
            return
        if self._stopping:
            await asyncio.sleep(RETRY_INTERVAL_S)
        elif (
            await self._election.try_to_lead()
            and self._registry.lease.term == self._known_leader.term
        ):
            await self._lead()

    def _make_report(self) -> fleet_messages.DaemonReport:
        report = self._take_report()
        report.term = self._known_leader.term
        report.protocol_version = fleet_messages.PROTOCOL_VERSION
        report.needs_spans = self._known_leader.needs_spans
        report.store_reachable = self._view.store_answered_recently()
        report.upstreams_reachable = not self._reach.is_cut_off()
        now_s = self._loop_time_s()
        report.limits = self._limits.take_unreported(now_s)
        self._limits.forget(self._view.upstreams, now_s)
        if self._reported_term != report.term:
            self._reported_term = report.term
            self._suspects.report_all()
            self._leaving.report_all()
        report.suspects = self._suspects.take_unreported(now_s)
        self._suspects.forget(now_s)
        report.leaving = self._leaving.take_unreported(now_s)
        self._leaving.forget(self._view.upstreams, now_s)
        return report

    def _loop_time_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _on_leader_silent(self) -> None:
        self.replication.leader_lost()

    async def _lead(self) -> None:
        term = leader_term.LeaderTerm(
            self._name,
            self._registry,
            self._election,
            self._followers,
            self._clock_s,
            lambda: own_tasks.keys_exclude_earlier(),
            lambda: own_tasks.refuses_half_of_keys(),
        )
        own_tasks = self._new_tasks(term)
        self._term, self._tasks = term, own_tasks
        known_table = self._known_leader.table
        self._schedulers.begin_term(
            known_table.schedulers if known_table is not None else None
        )
        self._tables.begin_term(term, own_tasks)
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
                running = [
                    group.create_task(coroutine)
                    for coroutine in (
                        term.watch_pauses(),
                        term.announce(self._send_summary),
                        term.check_lease(),
                        self._watch.run_probe(self._tables.schedule_push),
                        self._push_periodically(term, own_tasks),
                        own_tasks.run(group),
                    )
                ]
                await term.ended.wait()
                for task in running:
                    task.cancel()
                own_tasks.cancel()
        finally:
            self._term = self._tasks = None
            self._tables.end_term()
            self.replication.leader_lost()
            events.log(
                events.LEASE_LOST, service="all", term=self._known_leader.term
            )

    def _new_tasks(
        self, term: leader_term.LeaderTerm
    ) -> leader_tasks.LeaderTasks:
        previous_table = self._known_leader.previous_table()
        is_restart = self._election.is_restart
        start = quota_lending.lending_start(
            self._clock_s(), previous_table, is_restart
        )
        return leader_tasks.LeaderTasks(
            self._known_leader.term,
            self._store,
            self._view,
            term.may_send_orders,
            term.is_exclusive,
            self._tables.note_changed_spans,
            term.ended.set,
            self._clock_s,
            self._quota,
            quota_lending.Lender(self._quota, start),
            self._cold_bound,
            is_restart
            or (previous_table is not None and previous_table.resigned),
            self._limits,
            self._leaving,
            self._reach.hears_upstreams,
            term.holds_present_lease,
            term.has_settled,
            term.has_support,
            term.store_silent_s,
            term.excludes_earlier,
            balances_closely=lambda: bool(self._schedulers.entries),
        )

    async def _push_periodically(
        self, term: leader_term.LeaderTerm, own_tasks: leader_tasks.LeaderTasks
    ) -> None:
        for push_index in itertools.count():
            self._tables.push_periodic(push_index)
            own_tasks.apply_report(self._make_report())
            self._note_changed_limits(own_tasks)
            self._note_changed_suspects()
            self._note_leaving(own_tasks)
            self._update_schedulers(term)
            await asyncio.sleep(leader_client.REPORT_INTERVAL_S)

    def _update_schedulers(self, term: leader_term.LeaderTerm) -> None:
        """Tells all daemons if others are to schedule requests."""
        if self._schedulers.update(term.daemon_count()):
            self._tables.note_changed_schedulers()

    def _note_changed_suspects(self) -> None:
        """Tells the daemons that follow this one of changed suspects."""
        if self._suspects.has_changed:
            self._suspects.has_changed = False
            self._tables.note_changed_suspects()

    def _note_changed_limits(self, own_tasks: leader_tasks.LeaderTasks) -> None:
        """Tells all daemons of limits that have changed, and plans for them."""
        if self._limits.has_changed:
            self._limits.has_changed = False
            self._tables.note_changed_limits()
            own_tasks.replan()

    def _note_leaving(self, own_tasks: leader_tasks.LeaderTasks) -> None:
        """Tells all daemons of upstreams that leave, and plans without them."""
        if self._leaving.has_unpublished:
            self._tables.schedule_push()
            own_tasks.exchange_leaving()

    def resign(self) -> None:
        """Stops leading; the others choose a new leader at once."""
        term = self._term
        if term is None or term.resigned:
            return
        events.log(
            events.LEASE_RESIGNED, service="all", term=self._known_leader.term
        )
        term.resigned = True
        self._tables.push()
        term.ended.set()

    def stop(self) -> None:
        """Resigns if this daemon leads, and never leads again."""
        self._stopping = True
        self.resign()

    def _on_view_changed(self) -> None:
        if self._tasks is not None:
            self._tasks.replan()

    def _send_summary(self, link: peer_links.PeerLink) -> None:
        link.send(
            message_kinds.MessageKind.LEADER_TABLE,
            self._tables.encoded_summary(),
        )

    def status(self) -> dict[str, Any]:
        """Returns gauges of this daemon's role, term and leader tasks."""
        own_tasks = self._tasks
        term = self._term
        return {
            "leads": int(self._term is not None),
            "term": self._known_leader.term,
            "followers": len(self._followers),
            "voters": term.voter_count if term else 0,
            "exclusive": int(term.is_exclusive()) if term else 0,
            "orders": own_tasks.orders_sent if own_tasks else 0,
            "moved_keys": own_tasks.moved_keys if own_tasks else 0,
        }
