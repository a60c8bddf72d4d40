"""Follows the leader over a link that carries reports and leader tables."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import secrets

from sardinehill import errors
from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.front import election
from sardinehill.front import known_leader
from sardinehill.front import loan_messages
from sardinehill.front import peer_links
from sardinehill.front import peer_registry
from sardinehill.front import store_replication
from sardinehill.wire import envelopes
from sardinehill.wire import fleet
from sardinehill.wire import message_kinds

REPORT_INTERVAL_S = 0.25
QUERY_TIMEOUT_S = 0.15
# A daemon that follows via a peer tries the leader itself this often.
LEADER_RETRY_INTERVAL_S = 1.0
MAX_PEERS_QUERIED = 3
# After this long without a report to a leader itself, the registration may have
# been removed; see `leader_term.REGISTRATION_EXPIRY_S`.
MAX_UNREPORTED_S = 5.0


class LeaderClient:
    """Keeps this daemon's link to the leader or to a peer that hears it."""

    def __init__(
        self,
        name: str,
        leader: known_leader.KnownLeader,
        registry: peer_registry.PeerRegistry,
        receive: Callable[[peer_links.PeerLink, envelopes.Envelope], None],
        take_report: Callable[[], fleet_messages.DaemonReport],
        on_leader_silent: Callable[[], None],
        query_peers: Callable[[], Awaitable[election.LeaderAnswers]],
    ):
        self._name = name
        self._known_leader = leader
        self._registry = registry
        self._receive = receive
        self._take_report = take_report
        self._on_leader_silent = on_leader_silent
        self._query_peers = query_peers
        self._link: peer_links.PeerLink | None = None

    async def follow(self) -> bool:
        """Follows the known leader until it is lost.

        Returns:
          False when no leader is known, when it is this daemon, or when no
          peer hears it any more.
        """
        target = self._known_leader.take_next_leader(self._registry.lease)
        if not target.holder or target.holder == self._name:
            return False
        was_heard = await self._follow_address(
            target.address, target.term, is_leader=True
        )
        if self._known_leader.next_leader is not None:
            return True
        if self._known_leader.has_resigned:
            return False
        return was_heard and await self._follow_via_peer()

    async def _follow_address(
        self, address: str, term: int, is_leader: bool
    ) -> bool:
        """Reports to a leader, or to a peer that hears it, until it is lost.

        Args:
          address: where the leader or the peer is reached.
          term: the leader's term.
          is_leader: whether it is the leader's own address.

        Returns:
          Whether the link was opened or a leader had been heard before.
        """
        link_closed = asyncio.Event()
        self._known_leader.leader_gone.clear()
        was_heard = self._known_leader.has_heard_leader
        try:
            link = await peer_links.connect(
                address,
                self._name,
                self._receive,
                lambda _link: link_closed.set(),
            )
        except errors.PeerError:
            return was_heard
        events.log(events.LEADER_FOLLOWED, address=address, term=term)
        self._known_leader.restart_timeout()
        if is_leader and self._was_unheard():
            self._registry.note_absence()
        self._link = link
        try:
            await self._report_until_lost(link, link_closed, is_leader)
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

    def _was_unheard(self) -> bool:
        return self._known_leader.unreported_s() > MAX_UNREPORTED_S

    async def _report_until_lost(
        self,
        link: peer_links.PeerLink,
        link_closed: asyncio.Event,
        is_leader: bool,
    ) -> None:
        while (
            not link_closed.is_set() and self._known_leader.next_leader is None
        ):
            if is_leader:
                self._known_leader.note_reported()
            report = self._take_report()
            link.send(
                message_kinds.MessageKind.DAEMON_REPORT,
                fleet.encode_report(report),
            )
            try:
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await _wait_for_any(
                        link_closed,
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
        """Follows via a peer that still hears the leader.

        Returns:
          False when no peer hears it.
        """
        answers = await self._query_peers()
        for summary, address in answers:
            if summary.term > self._known_leader.term:
                self._known_leader.follow_next(summary)
                return True
            if self._known_leader.is_leader_alive(summary):
                await self._follow_peer_briefly(address, summary.term)
                if self._known_leader.next_leader is None:
                    self._known_leader.follow_next(summary)
                return True
        return False

    async def _follow_peer_briefly(self, address: str, term: int) -> None:
        """Follows via a peer for `LEADER_RETRY_INTERVAL_S` at most."""
        try:
            async with asyncio.timeout(LEADER_RETRY_INTERVAL_S):
                await self._follow_address(address, term, is_leader=False)
        except TimeoutError:
            return

    # queries to the leader and peers

    async def borrow(
        self,
        kind: fleet_messages.LoanKind,
        requests: list[fleet_messages.TokenRequest],
    ) -> list[fleet_messages.TokenLoan]:
        """Borrows tokens of a limit that the fleet shares from the leader.

        Raises:
          PeerLostError: no leader is followed, or it does not answer.
        """
        link = self._link
        if link is None or not link.is_open:
            raise errors.PeerLostError("no leader is followed")
        answer = await link.ask(
            loan_messages.MESSAGES[kind].requests,
            fleet.encode_token_requests(requests),
            QUERY_TIMEOUT_S,
        )
        return fleet.decode_token_loans(answer.payload)

    async def fetch_documents(
        self, query: fleet_messages.StoreStateQuery
    ) -> fleet_messages.StoreState | None:
        """Asks for stored documents that are newer than this daemon's.

        The daemon that is followed is asked first, then random peers in turn.

        Args:
          query: the versions that this daemon has.

        Returns:
          The first answer with newer documents, or None.
        """
        query_payload = fleet.encode_store_state_query(query)
        link = self._link
        if link is not None and link.is_open:
            pending_answer = link.ask(
                message_kinds.MessageKind.STORE_STATE_QUERY,
                query_payload,
                QUERY_TIMEOUT_S,
            )
            state = await _newer_documents("leader", pending_answer)
            if state is not None:
                return state
        for address in self._random_peers():
            pending_answer = peer_links.ask_once(
                address,
                self._name,
                message_kinds.MessageKind.STORE_STATE_QUERY,
                query_payload,
                QUERY_TIMEOUT_S,
            )
            state = await _newer_documents(address, pending_answer)
            if state is not None:
                return state
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
    address: str, pending_answer: Awaitable[envelopes.Envelope]
) -> fleet_messages.StoreState | None:
    """Returns a peer's answer if it has newer documents, otherwise None."""
    try:
        state = fleet.decode_store_state((await pending_answer).payload)
    except errors.PeerError as error:
        events.log(
            events.PEER_UNREACHABLE, address=address, error=str(error)[:200]
        )
        return None
    return state if state.config or state.upstreams or state.zones else None


async def _wait_for_any(*flags: asyncio.Event) -> None:
    tasks = [asyncio.ensure_future(flag.wait()) for flag in flags]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
