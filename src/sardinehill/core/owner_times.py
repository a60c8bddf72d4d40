"""Tracks since when each shard and hot key has had its present owner."""

import dataclasses

from sardinehill.core import placement


@dataclasses.dataclass(frozen=True)
class KeyOwnership:
    """The ownership of a key in the newest known assignment.

    Attributes:
      upstream: the owner, or empty if there is none.
      shard: the key's shard, also for a hot key that is placed apart from it.
      gateway: the daemon that is the owner's gateway.
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
    """Records when the owner of each shard and hot key was first seen."""

    def __init__(self) -> None:
        self._assignments: dict[str, placement.ShardAssignment] = {}
        self._shard_since_s: dict[str, list[float]] = {}
        self._key_since_s: dict[str, dict[str, float]] = {}

    def observe(
        self, assignment: placement.ShardAssignment, now_s: float
    ) -> None:
        """Records an assignment if it is newer than the known one."""
        service = assignment.service
        previous = self._assignments.get(service)
        if previous is not None and previous.version >= assignment.version:
            return
        self._assignments[service] = assignment
        shard_count = len(assignment.owners)
        since_s = self._shard_since_s.get(service, [])
        if previous is None or len(previous.owners) != shard_count:
            self._shard_since_s[service] = [now_s] * shard_count
        else:
            for shard in range(shard_count):
                if _owner(previous, shard) != _owner(assignment, shard):
                    since_s[shard] = now_s
        previous_since_s = self._key_since_s.get(service, {})
        self._key_since_s[service] = {
            key: previous_since_s[key]
            if previous is not None and previous.hot_owners.get(key) == owner
            else now_s
            for key, owner in assignment.hot_owners.items()
        }

    def find(self, service: str, key: str) -> KeyOwnership | None:
        """Returns the ownership of a key, or None for an unknown service."""
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
