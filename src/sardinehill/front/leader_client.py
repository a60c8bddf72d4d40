"""Follows a leader: a link that carries reports to it and tables back."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import secrets

from sardinehill import errors
from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.front import election
from sardinehill.front import known_leader
from sardinehill.front import peer_links
from sardinehill.front import peer_registry
from sardinehill.front import store_replication
from sardinehill.wire import envelopes
from sardinehill.wire import fleet
from sardinehill.wire import kinds

REPORT_INTERVAL_S = 0.25
QUERY_TIMEOUT_S = 0.15
# Who follows through a peer tries the leader itself this often.
LEADER_RETRY_INTERVAL_S = 1.0
MAX_PEERS_QUERIED = 3


class LeaderClient:
    """This daemon's link to whom it follows."""

    def __init__(
        self,
        name: str,
        known: known_leader.KnownLeader,
        listed: peer_registry.PeerRegistry,
        receive: Callable[[peer_links.PeerLink, envelopes.Envelope], None],
        take_report: Callable[[], fleet_messages.DaemonReport],
        on_leader_silent: Callable[[], None],
    ):
        self._name = name
        self._known_leader = known
        self._registry = listed
        self._receive = receive
        self._take_report = take_report
        self._on_leader_silent = on_leader_silent
        self._link: peer_links.PeerLink | None = None

    async def follow(self) -> bool:
        """Follows the leader that is known until it is lost.

        Returns:
          False when there is none, when it is this daemon, or when nobody
          hears it any more.
        """
        target = self._known_leader.take_next_leader(self._registry.lease)
        if not target.holder or target.holder == self._name:
            return False
        followed = await self._follow_address(target.address, target.term)
        if self._known_leader.next_leader is not None:
            return True
        return followed and await self._follow_via_peer()

    async def _follow_address(self, address: str, term: int) -> bool:
        """Keeps a link to a leader, or to a peer that hears it.

        Returns:
          Whether a leader was heard at all.
        """
        lost = asyncio.Event()
        self._known_leader.leader_gone.clear()
        was_heard = self._known_leader.has_heard_leader
        try:
            link = await peer_links.connect(
                address, self._name, self._receive, lambda _link: lost.set()
            )
        except errors.PeerError:
            return was_heard
        events.log(events.LEADER_FOLLOWED, address=address, term=term)
        self._known_leader.restart_timeout()
        self._link = link
        try:
            await self._report_until_lost(link, lost)
        finally:
            self._link = None
            link.close()
            self._on_leader_silent()
        if self._known_leader.next_leader is None:
            events.log(
                events.LEADER_LOST,
                address=address,
                term=self._known_leader.term,
                silent_s=round(self._known_leader.silent_s(), 3),
            )
        return True

    async def _report_until_lost(
        self, link: peer_links.PeerLink, lost: asyncio.Event
    ) -> None:
        while not lost.is_set() and self._known_leader.next_leader is None:
            report = self._take_report()
            link.send(kinds.Kind.REPORT, fleet.encode_report(report))
            try:
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await _first_of(
                        lost,
                        self._known_leader.newer_term,
                        self._known_leader.leader_gone,
                    )
            except TimeoutError:
                pass
            if self._known_leader.leader_gone.is_set():
                return
            silent_s = self._known_leader.silent_s()
            if silent_s > store_replication.LEADER_FRESH_S:
                self._on_leader_silent()
            if silent_s > known_leader.LEADER_TIMEOUT_S:
                return
            table = self._known_leader.table
            if table is not None and table.resigned:
                return

    async def _follow_via_peer(self) -> bool:
        """Follows by way of a peer that still hears the leader.

        Returns False when nobody hears it.
        """
        told = await election.query_leaders(
            self._name, self._registry.peer_addresses
        )
        for outline, address in told:
            if outline.term > self._known_leader.term:
                self._known_leader.follow_next(outline)
                return True
            if self._known_leader.is_leader_alive(outline):
                await self._follow_peer_briefly(address, outline.term)
                self._known_leader.follow_next(outline)
                return True
        return False

    async def _follow_peer_briefly(self, address: str, term: int) -> None:
        """Follows through a peer for a while, then tries the leader again."""
        try:
            async with asyncio.timeout(LEADER_RETRY_INTERVAL_S):
                await self._follow_address(address, term)
        except TimeoutError:
            return

    # questions to whom this daemon follows

    async def borrow(
        self, wishes: list[fleet_messages.TokenRequest]
    ) -> list[fleet_messages.TokenLoan]:
        """Asks the leader for tokens of client accounts.

        Raises:
          PeerLostError: no leader is followed, or it does not answer.
        """
        link = self._link
        if link is None or not link.is_open:
            raise errors.PeerLostError("no leader is followed")
        answer = await link.ask(
            kinds.Kind.LOAN_QUERY, fleet.encode_wishes(wishes), QUERY_TIMEOUT_S
        )
        return fleet.decode_loans(answer.payload)

    async def fetch_documents(
        self, query: fleet_messages.StoreStateQuery
    ) -> fleet_messages.StoreState | None:
        """Asks whom it follows, then peers in turn, for what they have read."""
        question = fleet.encode_news_query(query)
        link = self._link
        if link is not None and link.is_open:
            asked = link.ask(kinds.Kind.NEWS_QUERY, question, QUERY_TIMEOUT_S)
            news = await _newer_documents("leader", asked)
            if news is not None:
                return news
        for address in self._random_peers():
            asked = peer_links.ask_once(
                address,
                self._name,
                kinds.Kind.NEWS_QUERY,
                question,
                QUERY_TIMEOUT_S,
            )
            news = await _newer_documents(address, asked)
            if news is not None:
                return news
        return None

    def _random_peers(self) -> list[str]:
        addresses = [
            address
            for name, address in self._registry.peer_addresses.items()
            if name != self._name
        ]
        addresses.sort(key=lambda address: secrets.randbits(16))
        return addresses[:MAX_PEERS_QUERIED]


async def _newer_documents(
    address: str, asked: Awaitable[envelopes.Envelope]
) -> fleet_messages.StoreState | None:
    """Returns what a peer has read that is newer, or None."""
    try:
        news = fleet.decode_news((await asked).payload)
    except errors.PeerError as error:
        events.log(
            events.PEER_UNREACHABLE, address=address, error=str(error)[:200]
        )
        return None
    return news if news.config or news.upstreams or news.zones else None


async def _first_of(*flags: asyncio.Event) -> None:
    tasks = [asyncio.ensure_future(flag.wait()) for flag in flags]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
