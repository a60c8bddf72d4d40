"""Distinguishes an outage of the store from a network partition.

While the store answers no daemon, it accepts no changes, so the replicas stay
current. While it answers other daemons, a replica may become outdated. The two
cases are distinguished by a poll of the members: each one is asked to try the
store, and if a majority fails after the poll was sent, the poller's replica
counts as confirmed at the time of the poll. On the minority side of a partition
no such majority is found, and the replicas become outdated.

Only the first daemons by rank poll the members, because the number of messages
would grow with the square of the fleet if all did. The other daemons adopt the
poller's age from the answers to their heartbeats.
"""

from collections.abc import Iterable

# While the store answers, the first watcher's replica is younger than this. The
# sum of this age, the poll and the propagation to other daemons must stay
# below `account_keys.MAX_CONFIRMATION_AGE_S`.
POLL_AGE_S = 1.3
# Daemons of lower rank poll later, in case those before them have failed. Their
# replicas are older even in an idle fleet, because updates reach them over
# several hops.
LOWER_RANK_POLL_AGE_S = 2.0
POLL_DELAY_PER_RANK_S = 0.05
# A store that takes longer counts as unavailable, because replicas would become
# too old otherwise.
STORE_ATTEMPT_TIMEOUT_S = 0.6
POLL_TIMEOUT_S = 0.8


def poll_age_s(rank: int) -> float:
    """Returns the age of its replica above which a daemon polls the members.

    Args:
      rank: the daemon's rank for the store watcher role; 0 is the first.
    """
    if rank == 0:
        return POLL_AGE_S
    return LOWER_RANK_POLL_AGE_S + rank * POLL_DELAY_PER_RANK_S


def is_outage(failed: Iterable[str], members: Iterable[str]) -> bool:
    """Returns whether a majority of the members failed to reach the store.

    Args:
      failed: daemons whose own attempt failed after they were polled.
      members: the member list.
    """
    listed = set(members)
    return len(listed.intersection(failed)) > len(listed) // 2
