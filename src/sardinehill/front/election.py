"""Elects the leader: a daemon takes the lease if no other daemon leads."""

import asyncio
from collections.abc import Callable
import hashlib
import random

from sardinehill import errors
from sardinehill import events
from sardinehill.core import electorates
from sardinehill.core import fencing
from sardinehill.core import fleet_messages
from sardinehill.core import leader_confirmation
from sardinehill.front import known_leader
from sardinehill.front import peer_links
from sardinehill.front import peer_registry
from sardinehill.wire import fleet
from sardinehill.wire import message_kinds

QUERY_TIMEOUT_S = 0.15
# A daemon asks at most this many peers who leads: half of them are those that
# would lead before the others, the rest are random.
MAX_PEERS_ASKED = 16
# Before a candidate takes the lease, it waits for this time multiplied by its
# rank.
RANK_DELAY_S = 0.12
# A daemon with a smaller core share than another one waits for this time before
# it becomes a candidate, so that daemons with more processor time go first.
LOW_CORE_SHARE_DELAY_S = 0.36
# A daemon that a resigned leader has named as its successor takes the lease at
# once. The others become candidates only after this time.
SUCCESSOR_DELAY_S = 0.3
# A daemon that reaches no upstream waits for this time before it becomes a
# candidate, so that daemons that reach some go first.
CUT_OFF_DELAY_S = 1.2
STORE_RETRY_S = 0.1
# If no peer has heard from a leader for this long, no tokens were lent in that
# time and the whole fleet counts as restarted.
RESTART_SILENCE_S = 10.0

LeaderAnswers = list[tuple[fleet_messages.LeaderTable, str]]


async def query_leaders(name: str, peers: dict[str, str]) -> LeaderAnswers:
    """Asks peers which leader they know.

    Args:
      name: this daemon, which is not asked.
      peers: the address of each daemon by name.

    Returns:
      Pairs of a table summary and the address of the peer that sent it, by
      descending term and then by ascending age.
    """

    async def ask(
        address: str,
    ) -> tuple[fleet_messages.LeaderTable, str] | None:
        try:
            answer = await peer_links.ask_once(
                address,
                name,
                message_kinds.MessageKind.LEADER_QUERY,
                b"",
                QUERY_TIMEOUT_S,
            )
            return fleet.decode_table(answer.payload), address
        except errors.PeerError:
            return None

    queries = [
        asyncio.ensure_future(ask(address))
        for peer, address in peers.items()
        if peer != name
    ]
    if not queries:
        return []
    # A host without power does not even refuse the connection, so the wait is
    # limited for all peers together.
    done, unanswered = await asyncio.wait(queries, timeout=QUERY_TIMEOUT_S)
    for query in unanswered:
        query.cancel()
    answers = [query.result() for query in done]
    received = [answer for answer in answers if answer is not None]
    received.sort(key=lambda item: (-item[0].term, item[0].age_s))
    return received


class Election:
    """Takes the lease for this daemon when no other daemon leads.

    Public attributes:
      is_restart: whether, at the last election, this daemon had no leader
        table and no peer had heard from a leader within `RESTART_SILENCE_S`.
      lease_asked_s: when this daemon last asked the store for the lease.
    """

    def __init__(
        self,
        name: str,
        leader: known_leader.KnownLeader,
        registry: peer_registry.PeerRegistry,
        clock_s: Callable[[], float],
        is_cut_off: Callable[[], bool] = lambda: False,
    ):
        self._name = name
        self._known_leader = leader
        self._registry = registry
        self._clock_s = clock_s
        self._is_cut_off = is_cut_off
        self.is_restart = False
        self.lease_asked_s = clock_s()
        # The lease whose electorate was last refused.
        self._refused_revision = 0

    async def read_lease(self) -> None:
        """Reads the lease from the store and notes its term.

        Raises:
          StoreError: the lease could not be read.
        """
        await self._registry.read_lease()
        self._known_leader.note_term(self._registry.lease.term)

    async def try_to_lead(self) -> bool:
        """Takes the lease unless another daemon leads or is about to.

        Returns:
          Whether this daemon holds the lease now.
        """
        if self._is_cut_off():
            await self._wait_for_newer_term(CUT_OFF_DELAY_S)
        elif self._known_leader.successor == self._name:
            self.is_restart = False
            return await self._try_to_take_lease()
        elif self._known_leader.successor:
            await self._wait_for_newer_term(SUCCESSOR_DELAY_S)
        else:
            await self._wait_for_larger_hosts()
        if self._known_leader.next_leader is not None:
            return False
        try:
            await self._registry.read_peers()
        except errors.StoreError:
            # The peers read earlier can still be asked.
            await asyncio.sleep(STORE_RETRY_S)
        answers = await self.query_peers()
        for summary, _ in answers:
            if (
                summary.term > self._known_leader.term
                or self._known_leader.is_leader_alive(summary)
            ):
                self._known_leader.follow_next(summary)
                return False
        self.is_restart = self._known_leader.table is None and all(
            summary.age_s > RESTART_SILENCE_S for summary, _ in answers
        )
        self._known_leader.adopt_lendable([summary for summary, _ in answers])
        await self._wait_for_turn({address for _, address in answers})
        if self._known_leader.next_leader is not None:
            return False
        return await self._try_to_take_lease()

    async def _try_to_take_lease(self) -> bool:
        try:
            return await self._take_lease()
        except errors.StoreError:
            await asyncio.sleep(STORE_RETRY_S)
            return False

    async def _take_lease(self) -> bool:
        # The lease that was read last may be older than the known leader's.
        known_term = self._known_leader.term
        await self.read_lease()
        if self._registry.lease.term > known_term:
            return False
        era = self._registry.lease_era
        electorate = await self._electorate_to_take_over()
        if electorate is None:
            return False
        self.lease_asked_s = self._clock_s()
        is_acquired = await self._registry.acquire_lease(
            fencing.next_term(self._known_leader.term, era), electorate
        )
        self._known_leader.note_term(self._registry.lease.term)
        if is_acquired:
            await self._registry.read_peers()
        # A lease that was read before the store was restored may not be the one
        # that was replaced.
        return is_acquired and self._registry.store_era == era

    async def _electorate_to_take_over(
        self,
    ) -> electorates.Electorate | None:
        """Returns the electorate for this daemon's lease.

        Returns None if the stored one is malformed: whoever confirms the
        earlier leader is not known then.

        Raises:
          StoreError: the registered daemons are needed and could not be read.
        """
        lease = self._registry.lease
        if lease.electorate_error:
            if self._refused_revision != self._registry.lease_revision:
                self._refused_revision = self._registry.lease_revision
                events.log(
                    events.ELECTORATE_REFUSED,
                    revision=self._registry.lease_revision,
                    error=lease.electorate_error,
                )
            await asyncio.sleep(STORE_RETRY_S)
            return None
        is_outdated = fencing.era_of(lease.term) < self._registry.lease_era
        if lease.electorate is None or is_outdated:
            await self._registry.read_peers()
        return leader_confirmation.electorate_to_take_over(
            lease.electorate,
            frozenset(self._registry.peer_addresses),
            is_outdated,
        )

    def _rank(self, name: str) -> tuple[float, bytes]:
        """Returns the sort key of a candidate; the lowest goes first.

        Leading takes processor time, so daemons with more of it go first.
        Equal daemons are ordered by a hash that differs between terms.
        """
        tie_breaker = hashlib.blake2b(
            f"{self._known_leader.term} {name}".encode(), digest_size=8
        ).digest()
        return -self._registry.core_shares.get(name, 0.0), tie_breaker

    async def query_peers(self) -> LeaderAnswers:
        """Asks up to `MAX_PEERS_ASKED` peers which leader they know.

        Returns:
          The result of `query_leaders`.
        """
        addresses = self._registry.peer_addresses
        names = sorted(
            (name for name in addresses if name != self._name), key=self._rank
        )
        first = names[: MAX_PEERS_ASKED // 2]
        others = names[len(first) :]
        others = random.sample(
            others, min(len(others), MAX_PEERS_ASKED - len(first))
        )
        return await query_leaders(
            self._name, {name: addresses[name] for name in [*first, *others]}
        )

    async def _wait_for_larger_hosts(self) -> None:
        shares = self._registry.core_shares
        if shares[self._name] < max(shares.values()):
            await self._wait_for_newer_term(LOW_CORE_SHARE_DELAY_S)

    async def _wait_for_turn(self, answering_addresses: set[str]) -> None:
        """Waits for the daemons that are alive and have a lower rank."""
        own_rank = self._rank(self._name)
        rank = sum(
            address in answering_addresses and self._rank(name) < own_rank
            for name, address in self._registry.peer_addresses.items()
        )
        if self._registry.lease.holder in ("", self._name):
            rank = min(rank, 1)
        await self._wait_for_newer_term(rank * RANK_DELAY_S)

    async def _wait_for_newer_term(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._known_leader.newer_term.wait()
        except TimeoutError:
            return
