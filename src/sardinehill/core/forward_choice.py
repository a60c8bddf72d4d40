"""Selects the peers that a daemon without upstreams sends requests through."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Container
import dataclasses

from sardinehill.core import exchange_messages

# The number of peers whose links are kept open for forwarding.
MAX_SERVING_PEERS = 8
# Traffic between availability zones is billed. A peer whose zone adds some is
# compared as if it had this many more requests in flight.
CROSS_ZONE_REQUESTS = 4
# Requests under way through one peer.
MAX_IN_FLIGHT_PER_PEER = 64
# A peer that does not forward is asked again after this time.
PEER_PAUSE_S = 1.0
# A peer that says that it is busy gets no requests for this time.
BUSY_PAUSE_S = 0.05


@dataclasses.dataclass(slots=True)
class _ServingPeer:
    """A peer that forwards requests.

    Attributes:
      zone: its availability zone.
      in_flight: this daemon's requests that are under way through it.
      busy_until_s: it gets no requests before this time.
    """

    zone: str
    in_flight: int = 0
    busy_until_s: float = float("-inf")


class ForwardChoice:
    """What is known of the peers as forwarders.

    All times are of one monotonic clock, in seconds.
    """

    def __init__(self, uniform: Callable[[], float]):
        """Creates an object that knows no peer.

        Args:
          uniform: returns random numbers from 0 to 1.
        """
        self._uniform = uniform
        self._serving: dict[str, _ServingPeer] = {}
        self._paused_until_s: dict[str, float] = {}

    # finding peers

    @property
    def wants_more(self) -> bool:
        """Whether further peers should be asked."""
        return len(self._serving) < MAX_SERVING_PEERS

    @property
    def serving(self) -> Collection[str]:
        """The names of the peers that forward requests."""
        return self._serving.keys()

    def peers_to_ask(self, listed: Collection[str], now_s: float) -> list[str]:
        """Returns the peers that may be asked now, in random order.

        Args:
          listed: the names of all other daemons.
          now_s: the current time.
        """
        self._paused_until_s = {
            name: until_s
            for name, until_s in self._paused_until_s.items()
            if until_s > now_s
        }
        candidates = [
            name
            for name in listed
            if name not in self._serving and name not in self._paused_until_s
        ]
        return sorted(candidates, key=lambda name: self._uniform())

    def add(self, name: str, zone: str) -> bool:
        """Adds a peer that forwards; returns False if there are enough."""
        if name in self._serving or not self.wants_more:
            return False
        self._serving[name] = _ServingPeer(zone)
        return True

    def remove(self, name: str, now_s: float) -> None:
        """Removes a peer that does not forward, and pauses it."""
        self._serving.pop(name, None)
        self._paused_until_s[name] = now_s + PEER_PAUSE_S

    # requests

    def choose(self, zones: Container[str], now_s: float) -> str | None:
        """Selects the peer with the fewest requests and counts one more for it.

        The caller calls `end` when the request has ended.

        Args:
          zones: the availability zones of this daemon and of the upstream.
            Peers in other zones add traffic between zones.
          now_s: the current time.

        Returns:
          The peer's name, or None if no peer takes requests now.
        """
        available = [
            name
            for name, peer in self._serving.items()
            if now_s >= peer.busy_until_s
            and peer.in_flight < MAX_IN_FLIGHT_PER_PEER
        ]
        if not available:
            return None

        def preference(name: str) -> tuple[int, float, str]:
            peer = self._serving[name]
            surcharge = 0 if peer.zone in zones else CROSS_ZONE_REQUESTS
            return peer.in_flight + surcharge, self._uniform(), name

        name = min(available, key=preference)
        self._serving[name].in_flight += 1
        return name

    def end(self, name: str) -> None:
        """Records that a request through a peer has ended."""
        peer = self._serving.get(name)
        if peer is not None and peer.in_flight > 0:
            peer.in_flight -= 1

    def record_not_sent(
        self,
        name: str,
        reason: exchange_messages.NotSentReason,
        now_s: float,
    ) -> None:
        """Records that a peer did not send a request."""
        if reason is exchange_messages.NotSentReason.BUSY:
            if name in self._serving:
                self._serving[name].busy_until_s = now_s + BUSY_PAUSE_S
        elif reason.concerns_peer:
            self.remove(name, now_s)
