"""One term of a leader: by what right it acts, and who follows it."""

import asyncio
from collections.abc import Callable

from sardinehill import errors
from sardinehill.front import election
from sardinehill.front import followers as followers_module
from sardinehill.front import order_sender
from sardinehill.front import peer_links
from sardinehill.front import peer_registry

# A daemon that has not reported for so long is not counted.
FOLLOWER_TIMEOUT_S = 1.0
# One that is not heard is taken to serve callers for so long.
SERVING_TIMEOUT_S = 5.0
ANNOUNCE_INTERVAL_S = 0.25
# A link that only announces a leader is kept until its frame has arrived.
ANNOUNCE_LINK_OPEN_S = 0.05
LEASE_CHECK_INTERVAL_S = 1.0
# A registration of a daemon that nobody has heard for so long is removed.
REGISTRATION_EXPIRY_S = 10.0
_NEVER_S = -1e9


class LeaderTerm:
    """A leader acts only while its term was confirmed a short time ago.

    The store confirms it, or a majority of the daemons that are registered.

    Public attributes:
      resigned: whether the leader has laid its duty down.
      ended: set when the term has ended.
    """

    def __init__(
        self,
        name: str,
        listed: peer_registry.PeerRegistry,
        choice: election.Election,
        followers: followers_module.Followers,
        clock_s: Callable[[], float],
    ):
        self._name = name
        self._registry = listed
        self._election = choice
        self._followers = followers
        self._clock_s = clock_s
        self._began_s = self._confirmed_s = clock_s()
        self._heard_s: dict[str, float] = {}
        self._is_exclusive = False
        self._ended_peers: set[str] = set()
        self.resigned = False
        self.ended = asyncio.Event()

    def age_s(self) -> float:
        """Returns how long ago the term began."""
        return self._clock_s() - self._began_s

    def note_report(self, daemon: str, address: str) -> None:
        """Notes that a daemon has reported."""
        self._heard_s[daemon] = self._clock_s()
        self._registry.peer_addresses.setdefault(daemon, address)

    def _majority(self) -> int:
        return len(self._registry.peer_addresses) // 2 + 1

    def _count_heard(self, within_s: float) -> int:
        now_s = self._clock_s()
        return 1 + sum(
            1
            for name, heard_s in self._heard_s.items()
            if name != self._name and now_s - heard_s < within_s
        )

    def daemon_count(self) -> int:
        """Returns among how many daemons allowances are divided.

        One that is not heard may still serve callers, so it is counted for a
        while; a new leader counts all that are registered.
        """
        count = self._count_heard(SERVING_TIMEOUT_S)
        if self.age_s() < SERVING_TIMEOUT_S:
            count = max(count, len(self._registry.peer_addresses))
        return max(1, count)

    def may_send_orders(self) -> bool:
        """Returns whether orders may be sent now."""
        if self.resigned or self.ended.is_set():
            return False
        if self._clock_s() - self._confirmed_s < order_sender.TERM_VALIDITY_S:
            return True
        return (
            self._count_heard(order_sender.TERM_VALIDITY_S) >= self._majority()
        )

    def is_exclusive(self) -> bool:
        """Returns whether no earlier leader can have its licence renewed.

        The store confirms only this term, and a majority follows it.
        """
        gone = len(self._ended_peers - self._heard_s.keys())
        if self._count_heard(FOLLOWER_TIMEOUT_S) + gone >= self._majority():
            self._is_exclusive = True
        return self._is_exclusive

    async def announce(
        self, send_announcement: Callable[[peer_links.PeerLink], None]
    ) -> None:
        """Tells registered daemons who leads now, until enough follow.

        One whose port refuses connections has ended, so it follows no
        earlier leader either.

        Args:
          send_announcement: sends the news over a link.
        """

        async def tell(name: str, address: str) -> None:
            try:
                link = await peer_links.connect(
                    address, self._name, lambda *_: None, lambda _: None
                )
            except errors.PeerNotSentError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    self._ended_peers.add(name)
                return
            self._ended_peers.discard(name)
            send_announcement(link)
            await asyncio.sleep(ANNOUNCE_LINK_OPEN_S)
            link.close()

        while not self.is_exclusive():
            await asyncio.gather(
                *(
                    tell(name, address)
                    for name, address in self._registry.peer_addresses.items()
                    if name not in self._followers and name != self._name
                )
            )
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def check_lease(self) -> None:
        """Confirms the term by the store when too few daemons do."""
        forget_due_s = self._clock_s() + REGISTRATION_EXPIRY_S
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            if self._count_heard(FOLLOWER_TIMEOUT_S) < self._majority():
                asked_s = self._clock_s()
                try:
                    await self._election.read_lease()
                except errors.StoreError:
                    # The next look may reach it; the licence runs out else.
                    continue
                if not self._registry.holds_lease:
                    self.ended.set()
                    return
                self._confirmed_s = asked_s
            if self._clock_s() > forget_due_s:
                forget_due_s = self._clock_s() + REGISTRATION_EXPIRY_S
                await self._registry.remove_peers(self._silent_peers())

    def _silent_peers(self) -> list[str]:
        now_s = self._clock_s()
        return [
            name
            for name in self._registry.peer_addresses
            if name != self._name
            and now_s - self._heard_s.get(name, _NEVER_S)
            > REGISTRATION_EXPIRY_S
        ]
