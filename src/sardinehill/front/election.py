"""How a daemon becomes the leader: it takes the lease if nobody else leads."""

import asyncio
import hashlib

from sardinehill import errors
from sardinehill.core import fleet_messages
from sardinehill.front import known_leader
from sardinehill.front import peer_links
from sardinehill.front import peer_registry
from sardinehill.wire import fleet
from sardinehill.wire import kinds

QUERY_TIMEOUT_S = 0.15
# Candidates take their turns this far apart.
RANK_DELAY_S = 0.12
# One with less of a core than others lets them go first.
LOW_CORE_SHARE_RANK = 3
STORE_RETRY_S = 0.1
# A leader of whom a peer heard so long ago has lent nothing since.
RESTART_SILENCE_S = 10.0

LeaderAnswers = list[tuple[fleet_messages.LeaderTable, str]]


async def query_leaders(name: str, peers: dict[str, str]) -> LeaderAnswers:
    """Asks all peers whom they hear lead.

    Args:
      name: this daemon, which is not asked.
      peers: where each daemon is reached.

    Returns:
      Outlines of tables and the addresses of the peers that told them, the
      highest term and the newest word first.
    """

    async def ask(
        address: str,
    ) -> tuple[fleet_messages.LeaderTable, str] | None:
        try:
            answer = await peer_links.ask_once(
                address, name, kinds.Kind.LEADER_QUERY, b"", QUERY_TIMEOUT_S
            )
            return fleet.decode_table(answer.payload), address
        except errors.PeerError:
            return None

    questions = [
        asyncio.ensure_future(ask(address))
        for peer, address in peers.items()
        if peer != name
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


class Election:
    """This daemon's part in choosing a leader.

    Public attributes:
      is_restart: whether no daemon knew of a leader at the last election.
    """

    def __init__(
        self,
        name: str,
        known: known_leader.KnownLeader,
        listed: peer_registry.PeerRegistry,
    ):
        self._name = name
        self._known_leader = known
        self._registry = listed
        self.is_restart = False

    async def read_lease(self) -> None:
        """Reads the lease.

        Raises:
          StoreError: it could not be read.
        """
        await self._registry.read_lease()
        self._known_leader.note_term(self._registry.lease.term)

    async def try_to_lead(self) -> bool:
        """Takes the lease if nobody else leads or is about to."""
        try:
            await self._registry.read_peers()
        except errors.StoreError:
            # Those that are known already can still be asked.
            await asyncio.sleep(STORE_RETRY_S)
        told = await query_leaders(self._name, self._registry.peer_addresses)
        for outline, _ in told:
            if (
                outline.term > self._known_leader.term
                or self._known_leader.is_leader_alive(outline)
            ):
                self._known_leader.follow_next(outline)
                return False
        self.is_restart = self._known_leader.table is None and all(
            outline.age_s > RESTART_SILENCE_S for outline, _ in told
        )
        await self._wait_for_turn(len(told))
        if self._known_leader.next_leader is not None:
            return False
        try:
            return await self._take_lease()
        except errors.StoreError:
            await asyncio.sleep(STORE_RETRY_S)
            return False

    async def _take_lease(self) -> bool:
        before = self._registry.lease
        await self.read_lease()
        if self._registry.lease.term > before.term:
            return False
        taken = await self._registry.acquire_lease(self._known_leader.term + 1)
        self._known_leader.note_term(self._registry.lease.term)
        if taken:
            await self._registry.read_peers()
        return taken

    def _rank(self, name: str) -> tuple[float, bytes]:
        """Returns what daemons are ordered by; the lowest leads first.

        Leading takes processor time, so those that have more of it go first.
        """
        drawn = hashlib.blake2b(
            f"{self._known_leader.term} {name}".encode(), digest_size=8
        ).digest()
        return -self._registry.core_shares.get(name, 0.0), drawn

    async def _wait_for_turn(self, answered: int) -> None:
        ranked = sorted(self._registry.peer_addresses, key=self._rank)
        rank = ranked.index(self._name) if self._name in ranked else 0
        # Only those that answered can be ahead, so the wait is bounded.
        rank = min(rank, answered)
        if self._registry.lease.holder in ("", self._name):
            rank = min(rank, 1)
        shares = self._registry.core_shares
        if shares[self._name] < max(shares.values()):
            rank = max(rank, LOW_CORE_SHARE_RANK)
        try:
            async with asyncio.timeout(rank * RANK_DELAY_S):
                await self._known_leader.newer_term.wait()
        except TimeoutError:
            return
