"""Bounds the short queue that an upstream may have beyond its slots.

Without a queue, a slot would be idle from the end of one request until the next
one arrives.
"""

import math

# The time from the release of a slot to the arrival of the next request.
TURNAROUND_S = 0.008
_MIN_DURATION_S = 1e-4


def length(slots: int, duration_s: float) -> int:
    """Returns how many requests may wait at an upstream for its slots.

    Args:
      slots: how many requests it runs at once.
      duration_s: the mean duration of a request there.
    """
    needed = math.ceil(slots * TURNAROUND_S / max(duration_s, _MIN_DURATION_S))
    return min(needed, max_length(slots))


def max_length(slots: int) -> int:
    """Returns the longest queue of an upstream, whatever the duration."""
    return math.ceil(slots / 2)
