"""Runs this daemon as the leader of the fleet or as one of its followers.

The lease is one object in the store and is written only when the leader
changes. Followers detect by themselves whether the leader is alive: each keeps
a link to it, sends several reports a second and receives the leader table in
return.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
from typing import Any

from sardinehill import errors
from sardinehill import events
from sardinehill.core import cold_lending
from sardinehill.core import fleet_messages
from sardinehill.core import named_limits
from sardinehill.core import quota_lending
from sardinehill.core import quota_shares
from sardinehill.front import election
from sardinehill.front import followers
from sardinehill.front import known_leader
from sardinehill.front import leader_client
from sardinehill.front import leader_tasks
from sardinehill.front import leader_term
from sardinehill.front import loan_messages
from sardinehill.front import peer_links
from sardinehill.front import peer_registry
from sardinehill.front import store_replication
from sardinehill.front import store_view
from sardinehill.front import store_watch
from sardinehill.platform import store as store_module
from sardinehill.wire import envelopes
from sardinehill.wire import fleet
from sardinehill.wire import message_kinds

RETRY_INTERVAL_S = 0.1
# Changes of the leader table within this time are sent together.
TABLE_PUSH_DELAY_S = 0.004
# A table takes this much longer to send for each follower, so that sending it
# takes at most a fixed part of the leader's time.
TABLE_PUSH_DELAY_PER_FOLLOWER_S = 0.0002
# One in this many periodic tables includes the lendable tokens.
LENDABLE_PUSH_INTERVAL_COUNT = 4
# These go to this many followers. The next leader gets them from one of these
# if it is none itself.
LENDABLE_FOLLOWERS = 12
# One in this many periodic tables, and each one after a change, includes the
# limits that upstreams name.
LIMITS_PUSH_INTERVAL_COUNT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _TableNews:
    """What is equal in the tables that are sent to all daemons at one time.

    Attributes:
      documents_age_s: for how long the documents may have been outdated.
      limits: the limits that upstreams name; empty if they are not included.
    """

    documents_age_s: float
    limits: list[fleet_messages.LimitNews]


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
    ):
        self._name = name
        self._address = address
        self._store = store
        self._view = view
        self._watch = watch
        self._clock_s = clock_s
        self._take_report = take_report
        self._on_table = on_table
        self._quota = quota
        self._cold_bound = cold_bound
        self._limits = limits
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
        self._serial = 0
        self._cached_spans_serial = -1
        self._cached_spans: dict[str, list[fleet_messages.OwnerSpan]] | None = (
            None
        )
        self._push_scheduled = False
        self._includes_lendable = False
        self._includes_limits = False
        self._stopping = False
        view.subscribe(self._on_view_changed)

    @property
    def peer_count(self) -> int:
        """The number of registered daemons, as far as known."""
        return len(self._registry.peer_addresses)

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
                    self._encoded_summary(),
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
        self._followers.remove_link(link)

    def _handle_table(self, table: fleet_messages.LeaderTable) -> None:
        previous_term = self._known_leader.term
        is_applied = self._known_leader.apply_table(table)
        if self._term is not None and self._known_leader.term > previous_term:
            self._term.ended.set()
        if is_applied:
            self.replication.apply_table(table)
            self._on_table(table)
            self._schedule_push()

    def _handle_report(
        self, link: peer_links.PeerLink, report: fleet_messages.DaemonReport
    ) -> None:
        term = self._term
        if term is not None and report.term > self._known_leader.term:
            term.ended.set()
            return
        self._limits.record_news(report.limits, self._loop_time_s())
        needs_table = self._followers.note_report(report, link)
        if term is not None and self._tasks is not None:
            term.note_report(report.daemon, report.address)
            self._tasks.apply_report(report)
            if report.store_reachable:
                term.note_store_reached(report.daemon)
                self._hand_over_if_store_lost(term)
        if needs_table or term is None:
            self._followers.send_table(
                report.daemon,
                self._table_for(report.daemon, self._news(needs_table)),
            )

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
            group.create_task(self._registry.register())
            group.create_task(self._lead_or_follow())

    async def _lead_or_follow(self) -> None:
        while True:
            try:
                # Outdated ones only delay this daemon: the lease and the peers
                # are read again before it leads.
                await self._registry.read_lease(may_be_stale=True)
                self._known_leader.note_term(self._registry.lease.term)
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
        report.limits = self._limits.take_unreported(self._loop_time_s())
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
        )
        own_tasks = self._new_tasks(term)
        self._term, self._tasks = term, own_tasks
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
                running = [
                    group.create_task(coroutine)
                    for coroutine in (
                        term.announce(self._send_summary),
                        term.check_lease(),
                        self._watch.run_probe(self._schedule_push),
                        self._push_periodically(own_tasks),
                        own_tasks.run(group),
                    )
                ]
                await term.ended.wait()
                for task in running:
                    task.cancel()
                own_tasks.cancel()
        finally:
            self._term = self._tasks = None
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
            self._on_spans_changed,
            term.ended.set,
            self._clock_s,
            self._quota,
            quota_lending.Lender(self._quota, start),
            self._cold_bound,
            is_restart
            or (previous_table is not None and previous_table.resigned),
            self._limits,
        )

    async def _push_periodically(
        self, own_tasks: leader_tasks.LeaderTasks
    ) -> None:
        for push_index in itertools.count():
            self._includes_lendable = (
                push_index % LENDABLE_PUSH_INTERVAL_COUNT == 0
            )
            self._includes_limits |= (
                push_index % LIMITS_PUSH_INTERVAL_COUNT == 0
            )
            self._push()
            self._includes_lendable = False
            own_tasks.apply_report(self._make_report())
            self._note_changed_limits(own_tasks)
            await asyncio.sleep(leader_client.REPORT_INTERVAL_S)

    def _note_changed_limits(self, own_tasks: leader_tasks.LeaderTasks) -> None:
        """Tells all daemons of limits that have changed, and plans for them."""
        self._limits.forget(self._view.upstreams, self._loop_time_s())
        if self._limits.has_changed:
            self._limits.has_changed = False
            self._includes_limits = True
            self._schedule_push()
            own_tasks.replan()

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
        """Resigns if this daemon leads, and never leads again."""
        self._stopping = True
        self.resign()

    # the leader table

    def _on_view_changed(self) -> None:
        if self._tasks is not None:
            self._tasks.replan()

    def _on_spans_changed(self) -> None:
        self._serial += 1
        self._schedule_push()

    def _schedule_push(self) -> None:
        if not self._push_scheduled:
            self._push_scheduled = True
            asyncio.get_running_loop().call_later(
                TABLE_PUSH_DELAY_S
                + TABLE_PUSH_DELAY_PER_FOLLOWER_S * len(self._followers),
                self._push,
            )

    def _push(self) -> None:
        self._push_scheduled = False
        # One for all daemons, as equal tables are encoded once.
        news = self._news(self._includes_limits)
        self._includes_limits = False
        if self._term is not None:
            table = self._table_for(self._name, news)
            self._known_leader.set_own_table(table)
            self._on_table(table)
        self._followers.broadcast_tables(
            lambda name: self._table_for(name, news)
        )

    def _news(self, includes_limits: bool) -> _TableNews:
        now_s = self._loop_time_s()
        limits = self._limits.all_news(now_s) if includes_limits else []
        return _TableNews(self._view.documents_age_s(), limits)

    def _table_for(
        self, name: str, news: _TableNews
    ) -> fleet_messages.LeaderTable:
        """Returns the complete table to send to the daemon `name`."""
        table = self._summary()
        table.limits = news.limits
        if self._term is None or self._tasks is None:
            known = self._known_leader.table
            if known is not None and not self._known_leader.needs_spans:
                table.spans = known.spans
            return table
        table.documents_age_s = news.documents_age_s
        if self._term.resigned:
            table.successor = self._term.successor()
        table.spans = self._spans(self._tasks)
        table.shares = self._tasks.quota_shares(name, table.daemons)
        if self._term.resigned or (
            self._includes_lendable
            and name in self._followers.first(LENDABLE_FOLLOWERS)
        ):
            table.lendable = self._tasks.lendable()
        return table

    def _spans(
        self, own_tasks: leader_tasks.LeaderTasks
    ) -> dict[str, list[fleet_messages.OwnerSpan]] | None:
        """Returns the owners by service, rebuilt only after a change."""
        if self._cached_spans_serial != self._serial:
            self._cached_spans_serial, self._cached_spans = (
                self._serial,
                own_tasks.table_spans(),
            )
        return self._cached_spans

    def _summary(self) -> fleet_messages.LeaderTable:
        """Returns what this daemon knows of the leader, without spans."""
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
        table = self._summary()
        if self._term is not None:
            table.documents_age_s = self._view.documents_age_s()
        return fleet.encode_table(table)

    def _send_summary(self, link: peer_links.PeerLink) -> None:
        link.send(
            message_kinds.MessageKind.LEADER_TABLE, self._encoded_summary()
        )

    def status(self) -> dict[str, Any]:
        """Returns gauges of this daemon's role, term and leader tasks."""
        own_tasks = self._tasks
        return {
            "leads": int(self._term is not None),
            "term": self._known_leader.term,
            "followers": len(self._followers),
            "orders": own_tasks.orders_sent if own_tasks else 0,
            "moved_keys": own_tasks.moved_keys if own_tasks else 0,
        }
