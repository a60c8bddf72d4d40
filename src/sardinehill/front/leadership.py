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
from sardinehill.core import loans
from sardinehill.core import shares
from sardinehill.front import bus
from sardinehill.front import duties
from sardinehill.front import election
from sardinehill.front import followers
from sardinehill.front import following
from sardinehill.front import known_leader
from sardinehill.front import registry
from sardinehill.front import spreading
from sardinehill.front import store_watch
from sardinehill.front import term as term_module
from sardinehill.front import view as view_module
from sardinehill.platform import store as store_module
from sardinehill.wire import envelopes
from sardinehill.wire import fleet
from sardinehill.wire import kinds

RETRY_S = 0.1
# A leader without the store hands over to one that reaches it after so long.
STORE_LOST_HANDOVER_S = 1.0
PUSH_DELAY_S = 0.004
# What can be lent is told with one in so many beats.
LENDABLE_BEATS = 4


class Leadership:
    """This daemon's part in having one leader.

    Public attributes:
      spreading: its part in spreading what the store says.
    """

    def __init__(
        self,
        name: str,
        address: str,
        core_share: float,
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
        self._watch = watch
        self._clock_s = clock_s
        self._take_counts = take_report
        self._on_table = on_table
        self._allowance = allowance
        self._registry = registry.Registry(name, address, core_share, store)
        self._known = known_leader.KnownLeader(name, clock_s)
        self._election = election.Election(name, self._known, self._registry)
        self._followers = followers.Followers()
        self._following = following.Following(
            name,
            self._known,
            self._registry,
            self.receive,
            self._report,
            self._leader_silent,
        )
        self.spreading = spreading.Spreading(
            view,
            watch,
            self._following.ask_for_news,
            self._followers.tell,
        )
        self._term: term_module.Term | None = None
        self._duties: duties.Duties | None = None
        self._serial = 0
        self._spans_serial = -1
        self._newest_spans: dict[str, list[fleet_messages.TableSpan]] | None = (
            None
        )
        self._pushing = False
        self._tells_lendable = False
        self._stopping = False
        view.subscribe(self._view_changed)

    # messages from peers

    def receive(self, link: bus.Link, envelope: envelopes.Envelope) -> None:
        """Handles a message of a peer.

        Raises:
          PeerFrameError: the message is garbage.
        """
        payload = envelope.payload
        match envelope.kind:
            case kinds.Kind.REPORT:
                self._take_in(link, fleet.decode_report(payload))
            case kinds.Kind.TABLE:
                self._hear(fleet.decode_table(payload))
            case kinds.Kind.NEWS_CHANGE:
                self.spreading.hear_change(fleet.decode_news_change(payload))
            case kinds.Kind.LEADER_QUERY:
                self._answer(
                    link, envelope, kinds.Kind.TABLE, self._encoded_outline()
                )
            case kinds.Kind.NEWS_QUERY:
                news = self.spreading.news_for(fleet.decode_news_query(payload))
                self._answer(
                    link, envelope, kinds.Kind.NEWS, fleet.encode_news(news)
                )
            case kinds.Kind.LOAN_QUERY:
                lent = self._lend(fleet.decode_wishes(payload))
                self._answer(
                    link, envelope, kinds.Kind.LOANS, fleet.encode_loans(lent)
                )

    def _answer(
        self,
        link: bus.Link,
        question: envelopes.Envelope,
        kind: kinds.Kind,
        payload: bytes,
    ) -> None:
        link.send(kind, payload, question.message_id, is_answer=True)

    def link_lost(self, link: bus.Link) -> None:
        """Forgets a follower whose link has ended."""
        self._followers.lost(link)

    def _hear(self, table: fleet_messages.Table) -> None:
        before = self._known.term
        is_taken = self._known.hear(table)
        if self._term is not None and self._known.term > before:
            self._term.ended.set()
        if is_taken:
            self.spreading.hear_table(table)
            self._on_table(table)
            self._push_soon()

    def _take_in(self, link: bus.Link, report: fleet_messages.Report) -> None:
        term = self._term
        if term is not None and report.term > self._known.term:
            term.ended.set()
            return
        self._followers.heard(report.daemon, link)
        if term is not None and self._duties is not None:
            term.heard(report.daemon, report.address)
            self._duties.use_report(report)
            if report.store_reachable:
                self._hand_over_if_cut_off(term)
        self._followers.push(report.daemon, self._table_for(report.daemon))

    def _hand_over_if_cut_off(self, term: term_module.Term) -> None:
        # It reached the store when it took the lease, whatever was before.
        lost_s = min(self._view.store_lost_for_s(), term.age_s())
        if lost_s > STORE_LOST_HANDOVER_S:
            self.resign()

    # tokens

    def _lend(
        self, wishes: list[fleet_messages.Wish]
    ) -> list[fleet_messages.Loan]:
        if self._term is None or self._duties is None:
            return []
        return self._duties.lend(wishes, self._term.daemons())

    async def borrow(
        self, wishes: list[fleet_messages.Wish]
    ) -> list[fleet_messages.Loan]:
        """Asks whoever leads for tokens of client accounts.

        Raises:
          PeerLostError: no leader is followed, or it does not answer.
        """
        if self._term is not None:
            return self._lend(wishes)
        return await self._following.borrow(wishes)

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
                await asyncio.sleep(RETRY_S)
        while True:
            try:
                await self._lead_or_follow_once()
            except Exception as error:
                # Whatever went wrong, a daemon without a leader tries again.
                events.log_failure(events.TASK_FAILED, error, task="leadership")
                await asyncio.sleep(RETRY_S)

    async def _lead_or_follow_once(self) -> None:
        if await self._following.follow():
            return
        if self._stopping:
            await asyncio.sleep(RETRY_S)
        elif await self._election.stand() and self._registry.lease.term == (
            self._known.term
        ):
            await self._lead()

    def _report(self) -> fleet_messages.Report:
        report = self._take_counts()
        report.term = self._known.term
        report.store_reachable = self._view.store_answered_lately()
        return report

    def _leader_silent(self) -> None:
        self.spreading.leader_lost()

    async def _lead(self) -> None:
        term = term_module.Term(
            self._name,
            self._registry,
            self._election,
            self._followers,
            self._clock_s,
        )
        own = self._new_duties(term)
        self._term, self._duties = term, own
        self._serial += 1
        self.spreading.leads()
        events.log(
            events.LEASE_TAKEN,
            service="all",
            term=self._known.term,
            revision=self._registry.lease_revision,
            peers=len(self._registry.peers),
        )
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(part)
                    for part in (
                        term.announce(self._send_outline),
                        term.check_lease(),
                        self._watch.check(self._push_soon),
                        self._beat(own),
                        own.run(group),
                    )
                ]
                await term.ended.wait()
                for task in tasks:
                    task.cancel()
                own.cancel()
        finally:
            self._term = self._duties = None
            self.spreading.leader_lost()
            events.log(events.LEASE_LOST, service="all", term=self._known.term)

    def _new_duties(self, term: term_module.Term) -> duties.Duties:
        start = loans.start(
            self._clock_s(), self._known.table, self._election.is_restart
        )
        return duties.Duties(
            self._known.term,
            self._store,
            self._view,
            term.is_licensed,
            term.is_settled,
            self._spans_changed,
            term.ended.set,
            self._clock_s,
            self._allowance,
            loans.Lender(self._allowance, start),
        )

    async def _beat(self, own: duties.Duties) -> None:
        for beat in itertools.count():
            self._tells_lendable = beat % LENDABLE_BEATS == 0
            self._push()
            self._tells_lendable = False
            own.use_report(self._report())
            await asyncio.sleep(following.REPORT_INTERVAL_S)

    def resign(self) -> None:
        """Stops leading; the others choose a new leader at once."""
        term = self._term
        if term is None or term.resigned:
            return
        events.log(events.LEASE_RESIGNED, service="all", term=self._known.term)
        term.resigned = True
        self._push()
        term.ended.set()

    def stop(self) -> None:
        """Lays the duty down and never takes it again."""
        self._stopping = True
        self.resign()

    # the table

    def _view_changed(self) -> None:
        if self._duties is not None:
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
        if self._term is not None:
            table = self._table_for(self._name)
            self._known.set_own(table)
            self._on_table(table)
        self._followers.push_all(self._table_for)

    def _table_for(self, name: str) -> fleet_messages.Table:
        """Returns the whole table that a daemon is to have."""
        table = self._outline()
        if self._term is None or self._duties is None:
            known = self._known.table
            table.spans = known.spans if known is not None else None
            return table
        table.spans = self._spans(self._duties)
        table.shares = self._duties.shares_of(name, table.daemons)
        if self._tells_lendable or self._term.resigned:
            table.lendable = self._duties.lendable()
        return table

    def _spans(
        self, own: duties.Duties
    ) -> dict[str, list[fleet_messages.TableSpan]] | None:
        """Returns the owners, made anew only when something has changed."""
        if self._spans_serial != self._serial:
            self._spans_serial, self._newest_spans = self._serial, own.spans()
        return self._newest_spans

    def _outline(self) -> fleet_messages.Table:
        """Returns what this daemon can tell of the leader, without spans."""
        if self._term is None:
            return self._known.outline()
        return fleet_messages.Table(
            self._known.term,
            self._name,
            self._address,
            self._serial,
            self._term.daemons(),
            self._view.store_reachable,
            resigned=self._term.resigned,
            news_revisions=self.spreading.revisions(),
        )

    def _encoded_outline(self) -> bytes:
        return fleet.encode_table(self._outline())

    def _send_outline(self, link: bus.Link) -> None:
        link.send(kinds.Kind.TABLE, self._encoded_outline())

    def status(self) -> dict[str, Any]:
        """Returns figures for the metrics address."""
        own = self._duties
        return {
            "leads": int(self._term is not None),
            "term": self._known.term,
            "followers": len(self._followers),
            "orders": own.orders if own else 0,
            "moved_keys": own.moved_keys if own else 0,
        }
