"""Which daemon holds which duty, worked out from the member list alone.

Every daemon with the same member list names the same holder, so a duty is
looked up without a message. Holders by rendezvous hashing were weighed
against a table in the store, which costs a write for each change, and against
a hash ring, which spreads few duties unevenly over few members.

A holder named here is a candidate and not an owner: two daemons with
different member lists may name different ones. Whatever must be exclusive
is guarded by a lease or by the epoch of the member list besides.
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
    """The holders of duties under one member list, kept once worked out."""

    def __init__(self, members: membership.MemberList):
        self.members = members
        self._ranked: dict[tuple[str, str], tuple[str, ...]] = {}
        self._holders: dict[tuple[str, int], tuple[str, ...]] = {}

    def ranked_members(
        self, role: str, preferred_zone: str = ""
    ) -> tuple[str, ...]:
        """Returns all members for a duty, the holder first.

        Args:
          role: the duty's name, for instance `bucket/aretusa`.
          preferred_zone: a zone whose members go before all others, if given.
        """
        found = self._ranked.get((role, preferred_zone))
        if found is None:
            found = _ranked(role, self.members.hosts, preferred_zone)
            self._ranked[role, preferred_zone] = found
        return found

    def holder(self, role: str, preferred_zone: str = "") -> str | None:
        """Returns the holder of a duty, or None without any member."""
        return next(iter(self.ranked_members(role, preferred_zone)), None)

    def holders(self, role: str, count: int) -> tuple[str, ...]:
        """Returns up to `count` holders, in as many zones as there are."""
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
        """Returns the members that may write the member list, first first."""
        return self.holders(COORDINATOR_ROLE, COORDINATOR_COUNT)

    def store_watchers(self) -> tuple[str, ...]:
        """Returns the members that watch the store for all others."""
        return self.holders(STORE_WATCHER_ROLE, STORE_WATCHER_COUNT)

    def bucket_holder(self, account: str) -> str | None:
        """Returns the member that lends a client account's tokens."""
        return self.holder(f"bucket/{account}")

    def first_controller_candidate(self, service: str) -> str | None:
        """Returns the first candidate for a service's controller lease."""
        return self.holder(f"controller/{service}")


def _score(duty: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{name}\0{duty}".encode()), name


def _ranked(
    duty: str, hosts: Sequence[fleet.DaemonHost], near_zone: str
) -> tuple[str, ...]:
    ordered = sorted(
        hosts,
        key=lambda host: (
            bool(near_zone) and host.availability_zone == near_zone,
            _score(duty, host.name),
        ),
        reverse=True,
    )
    return tuple(host.name for host in ordered)


def _in_distinct_zones(
    ranked: Sequence[str], zone_of: dict[str, str], count: int
) -> tuple[str, ...]:
    # A second holder in a zone would be lost together with the first, so
    # each zone gives one before any zone gives two.
    chosen: list[str] = []
    waiting = list(ranked)
    while waiting and len(chosen) < count:
        seen: set[str] = set()
        passed_over: list[str] = []
        for name in waiting:
            if zone_of[name] in seen or len(chosen) >= count:
                passed_over.append(name)
                continue
            seen.add(zone_of[name])
            chosen.append(name)
        waiting = passed_over
    return tuple(chosen)
