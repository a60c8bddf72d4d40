"""Provides the clock by which leases and grants expire.

Unlike the monotonic clock, it advances while the machine is suspended, so that
a holder notices after a suspension that its lease has expired.
"""

import time


def now_s() -> float:
    """Returns the seconds since the machine booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_ms() -> int:
    """Returns the milliseconds since the machine booted."""
    return int(now_s() * 1000)
