"""When a daemon reads the platform's store itself."""

import enum

# Older news than this and a daemon that is no watcher looks for itself: its
# peers may be cut off while the store is not.
FALLBACK_AGE_S = 2.2
# Calls of one pass over all kinds.
CALLS_OF_A_PASS = 6


class Reading(enum.Enum):
    """What a daemon does about the store at the moment.

    `WATCH` reads all the time and for all, `PASS` reads everything once, and
    `REST` leaves it to the watchers.
    """

    WATCH = "watch"
    PASS = "pass"
    REST = "rest"


def reading(is_watcher: bool, age_s: float) -> Reading:
    """Returns what a daemon with news of a certain age should do."""
    if is_watcher:
        return Reading.WATCH
    if age_s > FALLBACK_AGE_S:
        return Reading.PASS
    return Reading.REST


def must_write_hosts(
    rank: int, differing_since_s: float | None, now_s: float, delay_s: float
) -> bool:
    """Returns whether a watcher should write the list of hosts it saw.

    Watchers may be answered by lists of different age. Only the first one
    writes, and another one steps in when the first has left a difference for
    long: else two of them would undo each other's writes without end.
    """
    if differing_since_s is None:
        return False
    return now_s - differing_since_s >= rank * delay_s
