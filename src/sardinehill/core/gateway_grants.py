"""What one daemon may do as a gateway, and what it still has in flight."""

import collections
import dataclasses

from sardinehill.core import grants
from sardinehill.core import load_estimation
from sardinehill.core import placement


@dataclasses.dataclass(frozen=True)
class FencingToken:
    """The grant that a request relies on.

    Attributes:
      shard: the shard of the request's key.
      term: the grant's term.
      sequence: the grant's sequence.
    """

    shard: int
    term: int
    sequence: int


class GatewayGrants:
    """The grants of one daemon, by service and upstream."""

    def __init__(self, incarnation: str):
        """Makes a book without grants.

        Args:
          incarnation: unique for each start of the daemon.
        """
        self._incarnation = incarnation
        self._held: dict[tuple[str, str], grants.HeldGrant] = {}
        self._running: dict[
            tuple[str, str], collections.Counter[tuple[int, str]]
        ] = {}
        self._counts: dict[tuple[str, str], load_estimation.UsageCounter] = {}

    def offer(
        self, service: str, grant: grants.Grant, clock_ms: int
    ) -> grants.GrantAnswer:
        """Takes a controller's grant, or refuses it."""
        place = (service, grant.target.upstream)
        held = self._held.setdefault(place, grants.HeldGrant(self._incarnation))
        outside = sum(
            count
            for (shard, key), count in self._running.get(place, {}).items()
            if not _allows(grant, shard, key)
        )
        return grants.try_accept(held, grant, clock_ms, outside)

    def take_usage_report(
        self, service: str, upstream: str
    ) -> load_estimation.UsageReport:
        """Returns what was counted for an upstream since the last report."""
        counts = self._counts.pop((service, upstream), None)
        return (
            load_estimation.UsageReport() if counts is None else counts.flush()
        )

    def fencing_token(
        self,
        service: str,
        upstream: str,
        key: str,
        shard_count: int,
        clock_ms: int,
    ) -> FencingToken | None:
        """Returns the grant that covers a key now, or None.

        An empty key stands for a service that is not divided by key: being
        the upstream's gateway is then all that is needed.
        """
        held = self._held.get((service, upstream))
        if held is None or held.grant is None:
            return None
        grant = held.grant
        if clock_ms >= grants.expires_ms(grant):
            return None
        shard = placement.shard_of(key, shard_count) if key else -1
        if not _allows(grant, shard, key):
            return None
        return FencingToken(shard, grant.term, grant.sequence)

    def covers(
        self,
        service: str,
        upstream: str,
        shard: int,
        key: str,
        clock_ms: int,
    ) -> bool:
        """Tells whether a grant covers a shard, or a key out of its shard."""
        held = self._held.get((service, upstream))
        if held is None or held.grant is None:
            return False
        if clock_ms >= grants.expires_ms(held.grant):
            return False
        return _allows(held.grant, shard, key)

    def is_gateway(self, service: str, upstream: str, clock_ms: int) -> bool:
        """Tells whether this daemon is an upstream's gateway now."""
        held = self._held.get((service, upstream))
        return held is not None and grants.holds(
            held, grants.GATEWAY_ROLE, 1, clock_ms
        )

    def begin_request(
        self, service: str, upstream: str, shard: int, key: str
    ) -> None:
        """Notes that a request goes to the upstream."""
        place = (service, upstream)
        running = self._running.setdefault(place, collections.Counter())
        running[(shard, key)] += 1
        if shard < 0:
            return
        held = self._held.get(place)
        grant = None if held is None else held.grant
        is_split = grant is not None and key in grant.units
        counts = self._counts.setdefault(place, load_estimation.UsageCounter())
        counts.add(shard, key, is_split)

    def end_request(
        self, service: str, upstream: str, shard: int, key: str
    ) -> None:
        """Notes that a request is over, whatever became of it."""
        running = self._running[(service, upstream)]
        running[(shard, key)] -= 1
        if running[(shard, key)] <= 0:
            del running[(shard, key)]


def _allows(grant: grants.Grant, shard: int, key: str) -> bool:
    if grants.GATEWAY_ROLE not in grant.units:
        return False
    if shard < 0:
        return True
    if key in grant.units:
        return True
    return shard in grant.units and key not in grant.except_keys
