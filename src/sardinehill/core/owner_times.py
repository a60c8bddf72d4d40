"""Since when each shard has had its owner, as one daemon saw it."""

import dataclasses

from sardinehill.core import placement


@dataclasses.dataclass(frozen=True)
class KeyOwnership:
    """Who owns a key, by the newest assignment that is known.

    Attributes:
      upstream: the owner, empty while there is none.
      shard: the key's shard; a hot key keeps the number of its shard.
      gateway: the daemon that the owner's requests pass through.
      term: the term under which the assignment was written.
      version: the assignment's version.
      since_s: the wall time at which this daemon first saw this owner.
    """

    upstream: str
    shard: int
    gateway: str
    term: int
    version: int
    since_s: float


class OwnerTimes:
    """Remembers, per shard and hot key, when its owner was first seen."""

    def __init__(self) -> None:
        self._assignments: dict[str, placement.ShardAssignment] = {}
        self._shard_since_s: dict[str, list[float]] = {}
        self._key_since_s: dict[str, dict[str, float]] = {}

    def observe(
        self, assignment: placement.ShardAssignment, now_s: float
    ) -> None:
        """Takes a newer assignment; an older one is ignored."""
        service = assignment.service
        before = self._assignments.get(service)
        if before is not None and before.version >= assignment.version:
            return
        self._assignments[service] = assignment
        shard_count = len(assignment.owners)
        since_s = self._shard_since_s.get(service, [])
        if before is None or len(before.owners) != shard_count:
            self._shard_since_s[service] = [now_s] * shard_count
        else:
            for shard in range(shard_count):
                if _owner(before, shard) != _owner(assignment, shard):
                    since_s[shard] = now_s
        known = self._key_since_s.get(service, {})
        self._key_since_s[service] = {
            key: known[key]
            if before is not None and before.hot_owners.get(key) == owner
            else now_s
            for key, owner in assignment.hot_owners.items()
        }

    def find(self, service: str, key: str) -> KeyOwnership | None:
        """Returns who owns a key, or None for an unknown service."""
        assignment = self._assignments.get(service)
        if assignment is None or not assignment.owners:
            return None
        shard = placement.shard_of(key, len(assignment.owners))
        upstream = placement.owner_of(assignment, key) or ""
        since_s = self._key_since_s[service].get(
            key, self._shard_since_s[service][shard]
        )
        return KeyOwnership(
            upstream=upstream,
            shard=shard,
            gateway=assignment.gateways.get(upstream, ""),
            term=assignment.term,
            version=assignment.version,
            since_s=since_s,
        )


def _owner(assignment: placement.ShardAssignment, shard: int) -> str:
    index = assignment.owners[shard]
    return "" if index < 0 else assignment.upstreams[index]
