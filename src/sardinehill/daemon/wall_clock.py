"""Wall clock time that never goes back while the daemon runs."""

import time


class WallClock:
    """The system's wall clock without its steps backwards.

    The time since the start on the monotonic clock was weighed; it drifts
    from the other daemons' clocks by a second in a day or two.
    """

    def __init__(self) -> None:
        self._latest_s = 0.0

    def now_s(self) -> float:
        """Returns the seconds since 1970."""
        self._latest_s = max(self._latest_s, time.time())
        return self._latest_s
