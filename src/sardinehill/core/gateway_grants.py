"""Tracks one daemon's grants as a gateway and its requests in flight."""

import collections
import dataclasses

from sardinehill.core import grants
from sardinehill.core import load_estimation
from sardinehill.core import placement


@dataclasses.dataclass(frozen=True)
class FencingToken:
    """The grant under which a request is sent to an upstream.

    Attributes:
      shard: the shard of the request's key; -1 for an undivided service.
      term: the grant's term.
      sequence: the grant's sequence.
    """

    shard: int
    term: int
    sequence: int


class GatewayGrants:
    """The grants, requests in flight and usage counts of one daemon.

    All of them are kept by service and upstream.
    """

    def __init__(self, incarnation: str):
        """Creates an object without grants.

        Args:
          incarnation: an id that is unique for each start of the daemon.
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
        """Accepts or refuses a controller's grant.

        Args:
          service: the service's name.
          grant: the offered grant.
          clock_ms: this daemon's clock, in milliseconds.

        Returns:
          The answer, which includes the number of requests in flight that the
          grant does not cover.
        """
        upstream_key = (service, grant.target.upstream)
        held = self._held.setdefault(
            upstream_key, grants.HeldGrant(self._incarnation)
        )
        uncovered = sum(
            count
            for (shard, key), count in self._running.get(
                upstream_key, {}
            ).items()
            if not _allows(grant, shard, key)
        )
        return grants.try_accept(held, grant, clock_ms, uncovered)

    def take_usage_report(
        self, service: str, upstream: str
    ) -> load_estimation.UsageReport:
        """Returns and resets the request counts of an upstream."""
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
        """Returns the token of the grant that covers a key now, or None.

        An empty key means that the service is not divided by key. In that case
        it is sufficient to be the upstream's gateway.
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
        """Returns whether a grant covers a shard or a key split from it."""
        held = self._held.get((service, upstream))
        if held is None or held.grant is None:
            return False
        if clock_ms >= grants.expires_ms(held.grant):
            return False
        return _allows(held.grant, shard, key)

    def is_gateway(self, service: str, upstream: str, clock_ms: int) -> bool:
        """Returns whether this daemon is an upstream's gateway now."""
        held = self._held.get((service, upstream))
        return held is not None and grants.holds(
            held, grants.GATEWAY_ROLE, 1, clock_ms
        )

    def begin_request(
        self, service: str, upstream: str, shard: int, key: str
    ) -> None:
        """Records and counts a request that is sent to an upstream."""
        upstream_key = (service, upstream)
        running = self._running.setdefault(upstream_key, collections.Counter())
        running[(shard, key)] += 1
        if shard < 0:
            return
        held = self._held.get(upstream_key)
        grant = None if held is None else held.grant
        is_split = grant is not None and key in grant.units
        counts = self._counts.setdefault(
            upstream_key, load_estimation.UsageCounter()
        )
        counts.add(shard, key, is_split)

    def end_request(
        self, service: str, upstream: str, shard: int, key: str
    ) -> None:
        """Records that a request has ended, whatever its outcome."""
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
