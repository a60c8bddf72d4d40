"""Provides wall clock time that never goes back while the daemon runs."""

import time


class WallClock:
    """The system's wall clock without backward steps.

    The monotonic clock isn't used, because it drifts from the clocks of other
    daemons by about a second in one or two days.
    """

    def __init__(self) -> None:
        self._latest_s = 0.0

    def now_s(self) -> float:
        """Returns the seconds since the Unix epoch."""
        self._latest_s = max(self._latest_s, time.time())
        return self._latest_s
