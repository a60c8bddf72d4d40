"""The clock by which leases and grants are judged.

It also runs while the machine is suspended, which the monotonic clock does
not: a holder that slept through its lease must find out when it wakes.
"""

import time


def now_s() -> float:
    """Returns the seconds since the machine was started."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_ms() -> int:
    """Returns the milliseconds since the machine was started."""
    return int(now_s() * 1000)
