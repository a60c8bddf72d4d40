"""Telling an outage of the store from being cut off from it.

While the store answers nobody, nothing can be accepted that a daemon would
have to hear of, so what it knows stays the newest. While the store answers
others, it may not. The difference is a majority of the member list: each of
its daemons is asked to try the store, and when a majority failed after the
question was sent, what all of them know counts as read at that time. On the
smaller side of a partition no majority is found, and news grows old there.

Asking by each daemon was weighed: its messages grow with the square of the
fleet. So the first daemons by rank ask, and the rest hear of it by the age
that every heartbeat's answer carries.
"""

from collections.abc import Iterable

# A watcher's news is younger than this while the store answers. With the tries
# and the way to the others it must stay within what account keys allow.
POLL_AGE_S = 1.3
# Others ask later, in case those before them are gone: their news has come
# over some hops and so is older in an idle fleet already.
LOWER_RANK_POLL_AGE_S = 2.0
POLL_DELAY_PER_RANK_S = 0.05
# A store that is this slow is down: news would grow too old otherwise.
STORE_ATTEMPT_TIMEOUT_S = 0.6
POLL_TIMEOUT_S = 0.8


def should_poll(age_s: float, rank: int) -> bool:
    """Returns whether a daemon should ask the others about the store."""
    if rank == 0:
        return age_s > POLL_AGE_S
    return age_s > LOWER_RANK_POLL_AGE_S + rank * POLL_DELAY_PER_RANK_S


def is_outage(failed: Iterable[str], members: Iterable[str]) -> bool:
    """Returns whether a majority of the members failed to reach the store.

    Args:
      failed: daemons whose own attempt failed after they were asked.
      members: the member list.
    """
    listed = set(members)
    return len(listed.intersection(failed)) > len(listed) // 2
