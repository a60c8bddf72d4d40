"""When a daemon reads the platform's store itself."""

import enum

# Older news than this and a daemon that is no watcher looks for itself: its
# peers may be cut off while the store is not.
DIRECT_READ_AGE_S = 2.2
# A watch proves nothing newer up to when it was asked, so the first watcher's
# news is as old as two short waits at most.
SHORT_WATCH_WAIT_S = 0.5
LONG_WATCH_WAIT_S = 3.0
WATCH_TAKEOVER_AGE_S = 1.2
# Calls of one pass over all kinds.
CALLS_PER_FULL_READ = 6


class ReadMode(enum.Enum):
    """What a daemon does about the store at the moment.

    `WATCH` reads all the time and for all, `PASS` reads everything once, and
    `REST` leaves it to the watchers.
    """

    WATCH = "watch"
    FULL_READ = "pass"
    IDLE = "rest"


def read_mode(is_watcher: bool, age_s: float) -> ReadMode:
    """Returns what a daemon with news of a certain age should do."""
    if is_watcher:
        return ReadMode.WATCH
    if age_s > DIRECT_READ_AGE_S:
        return ReadMode.FULL_READ
    return ReadMode.IDLE


def watch_wait_s(rank: int, age_s: float) -> float:
    """Returns how long a watch of a watcher should wait for a change.

    A change ends every watch at once. A watch that ends without one shows
    that there was none, and only the first watcher needs to show it often;
    another one takes over when news grows old all the same.
    """
    if rank == 0 or age_s > WATCH_TAKEOVER_AGE_S:
        return SHORT_WATCH_WAIT_S
    return LONG_WATCH_WAIT_S


def should_write_hosts(
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
