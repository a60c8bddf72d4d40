"""Derives which daemon holds which role from the member list alone.

All daemons with the same member list compute the same holder, so looking up a
role takes no message. Roles are assigned by rendezvous hashing: a table in the
store would cost a write for each change, and a hash ring would spread few
roles unevenly over few members.

The holder of a role is a candidate and not an exclusive owner: two daemons
with different member lists may compute different holders. Roles that must be
exclusive are also protected by a lease or by the epoch of the member list.
"""

from collections.abc import Sequence

import xxhash

from sardinehill.core import fleet
from sardinehill.core import membership

COORDINATOR_ROLE = "members"
STORE_WATCHER_ROLE = "watch"
COORDINATOR_COUNT = 3
STORE_WATCHER_COUNT = 3


class RoleTable:
    """Computes and caches the holders of roles under one member list."""

    def __init__(self, members: membership.MemberList):
        self.members = members
        self._ranked: dict[tuple[str, str], tuple[str, ...]] = {}
        self._holders: dict[tuple[str, int], tuple[str, ...]] = {}

    def ranked_members(
        self, role: str, preferred_zone: str = ""
    ) -> tuple[str, ...]:
        """Returns all members in their order for a role, the holder first.

        Args:
          role: the role's name, for instance `bucket/aretusa`.
          preferred_zone: a zone whose members come before all others, or empty.
        """
        members = self._ranked.get((role, preferred_zone))
        if members is None:
            members = _ranked(role, self.members.hosts, preferred_zone)
            self._ranked[role, preferred_zone] = members
        return members

    def holder(self, role: str, preferred_zone: str = "") -> str | None:
        """Returns the holder of a role, or None if there are no members."""
        return next(iter(self.ranked_members(role, preferred_zone)), None)

    def holders(self, role: str, count: int) -> tuple[str, ...]:
        """Returns up to `count` holders, spread over all zones if possible."""
        found = self._holders.get((role, count))
        if found is None:
            zone_of = {
                host.name: host.availability_zone for host in self.members.hosts
            }
            found = _in_distinct_zones(
                self.ranked_members(role), zone_of, count
            )
            self._holders[role, count] = found
        return found

    def coordinators(self) -> tuple[str, ...]:
        """Returns the membership coordinators, the first candidate first.

        They may write the member list.
        """
        return self.holders(COORDINATOR_ROLE, COORDINATOR_COUNT)

    def store_watchers(self) -> tuple[str, ...]:
        """Returns the members that watch the store on behalf of all members."""
        return self.holders(STORE_WATCHER_ROLE, STORE_WATCHER_COUNT)

    def bucket_holder(self, account: str) -> str | None:
        """Returns the member that lends a client account's tokens."""
        return self.holder(f"bucket/{account}")

    def first_controller_candidate(self, service: str) -> str | None:
        """Returns the first candidate for a service's controller lease."""
        return self.holder(f"controller/{service}")


def _score(role: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{name}\0{role}".encode()), name


def _ranked(
    role: str, hosts: Sequence[fleet.DaemonHost], preferred_zone: str
) -> tuple[str, ...]:
    ranked_hosts = sorted(
        hosts,
        key=lambda host: (
            bool(preferred_zone) and host.availability_zone == preferred_zone,
            _score(role, host.name),
        ),
        reverse=True,
    )
    return tuple(host.name for host in ranked_hosts)


def _in_distinct_zones(
    ranked: Sequence[str], zone_of: dict[str, str], count: int
) -> tuple[str, ...]:
    # Holders in the same zone are lost together, so no zone gets a second
    # holder before each zone has one.
    chosen: list[str] = []
    remaining = list(ranked)
    while remaining and len(chosen) < count:
        zones_used: set[str] = set()
        deferred: list[str] = []
        for name in remaining:
            if zone_of[name] in zones_used or len(chosen) >= count:
                deferred.append(name)
                continue
            zones_used.add(zone_of[name])
            chosen.append(name)
        remaining = deferred
    return tuple(chosen)
