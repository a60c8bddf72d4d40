"""Decides when a daemon reads the platform's store itself."""

import enum

# A daemon that is not a watcher reads the store itself once its replica is
# older than this, because its peers may be unreachable while the store is not.
DIRECT_READ_AGE_S = 2.2
# A watch that ends without a change confirms the state at the time of its
# request, so the first watcher's replica is at most two short waits old.
SHORT_WATCH_WAIT_S = 0.5
LONG_WATCH_WAIT_S = 3.0
# A watcher other than the first uses short waits while its replica is older
# than this.
WATCH_TAKEOVER_AGE_S = 1.2
# Store calls that one read of all kinds takes.
CALLS_PER_FULL_READ = 6


class ReadMode(enum.Enum):
    """How a daemon currently reads the store.

    Attributes:
      WATCH: it watches all kinds continuously on behalf of the fleet.
      FULL_READ: it reads all kinds once.
      IDLE: it leaves the store to the watchers.
    """

    WATCH = "watch"
    FULL_READ = "pass"
    IDLE = "rest"


def read_mode(is_watcher: bool, age_s: float) -> ReadMode:
    """Returns how a daemon whose replica has a given age should read."""
    if is_watcher:
        return ReadMode.WATCH
    if age_s > DIRECT_READ_AGE_S:
        return ReadMode.FULL_READ
    return ReadMode.IDLE


def watch_wait_s(rank: int, age_s: float) -> float:
    """Returns how long a watcher's watch should wait for a change.

    A change ends every watch immediately. A watch that ends without a change
    shows that there was none. Only the first watcher needs to show this often;
    another one takes over if the replicas become too old nevertheless.
    """
    if rank == 0 or age_s > WATCH_TAKEOVER_AGE_S:
        return SHORT_WATCH_WAIT_S
    return LONG_WATCH_WAIT_S


def should_write_hosts(
    rank: int, differing_since_s: float | None, now_s: float, delay_s: float
) -> bool:
    """Returns whether a watcher should write the host list that it has read.

    Watchers may receive host lists of different ages, and two of them could
    overwrite each other's list forever. The first watcher therefore writes at
    once, and each lower rank writes only if the difference persists for longer.

    Args:
      rank: the daemon's rank among the watchers; 0 is the first.
      differing_since_s: since when the stored list has differed, or None.
      now_s: the current time.
      delay_s: how long each rank waits for the one before it.
    """
    if differing_since_s is None:
        return False
    return now_s - differing_since_s >= rank * delay_s
