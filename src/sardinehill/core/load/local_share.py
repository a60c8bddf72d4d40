"""Limits what one daemon sends to upstreams while it reaches no scheduler.

Each daemon may use an equal part of an upstream's slot time. A request uses as
much of it as its service time, whether it is long or short.
"""

from collections.abc import Callable
import dataclasses

from sardinehill.core.load import short_queue

# The part of an upstream's slots that all daemons together use.
USED_SLOTS_RATIO = 0.8
# A shorter wait than this counts as none, as timers and sums of floating-point
# numbers are only this exact.
TIME_TOLERANCE_S = 1e-4
_MIN_WORK_S = 1e-4


@dataclasses.dataclass(slots=True)
class _UpstreamShare:
    """What this daemon sends to one upstream.

    Attributes:
      slot_time_s: the time of slots that it may use now.
      max_slot_time_s: the most that it may have, which is enough for one
        request.
      updated_s: when it was last updated.
      in_flight: the requests that were sent and have not ended.
    """

    slot_time_s: float
    max_slot_time_s: float
    updated_s: float
    in_flight: int = 0


class LocalShare:
    """This daemon's part of the slots of all upstreams.

    The limit on the rate is a token bucket of slot time with a burst of one
    request.
    """

    def __init__(self, uniform: Callable[[], float]):
        """Creates the shares of a daemon that has sent nothing.

        Args:
          uniform: returns random numbers below 1. All daemons may lose the
            schedulers at once, and their first requests are spread by it.
        """
        self._uniform = uniform
        self._shares: dict[str, _UpstreamShare] = {}

    def try_take(
        self,
        upstream: str,
        slots: int,
        work_s: float,
        daemons: int,
        now_s: float,
    ) -> float:
        """Takes the right to send one request, if there is one now.

        Args:
          upstream: the id of the upstream.
          slots: how many requests it runs at once.
          work_s: the time that the request takes there, without waits.
          daemons: how many daemons share the upstream.
          now_s: the current time.

        Returns:
          0 if the request may be sent, else the time until the next attempt.
          Each request that may be sent is ended by `end`.
        """
        work_s = max(work_s, _MIN_WORK_S)
        rate = USED_SLOTS_RATIO * slots / max(daemons, 1)
        share = self._shares.get(upstream)
        if share is None:
            share = self._shares[upstream] = _UpstreamShare(
                self._uniform() * work_s, work_s, now_s
            )
        share.max_slot_time_s = max(share.max_slot_time_s, work_s)
        share.slot_time_s = min(
            share.slot_time_s + rate * (now_s - share.updated_s),
            share.max_slot_time_s,
        )
        share.updated_s = now_s
        wait_s = max((work_s - share.slot_time_s) / rate, 0.0)
        if share.in_flight >= max_in_flight(slots, work_s, daemons):
            return max(wait_s, work_s)
        if wait_s > TIME_TOLERANCE_S:
            return wait_s
        share.slot_time_s -= work_s
        share.in_flight += 1
        return 0.0

    def end(self, upstream: str) -> None:
        """Records that a request that was sent has ended."""
        share = self._shares.get(upstream)
        if share is not None and share.in_flight > 0:
            share.in_flight -= 1

    def forget(self, upstream: str) -> None:
        """Ends the use of a share after a scheduler has granted a slot.

        The next loss of the scheduler begins anew. Requests that are in flight
        still count.
        """
        share = self._shares.get(upstream)
        if share is not None and share.in_flight == 0:
            del self._shares[upstream]


def max_in_flight(slots: int, work_s: float, daemons: int) -> int:
    """Returns how many requests one daemon may have at an upstream."""
    places = slots + short_queue.length(slots, work_s)
    return max(1, places // max(daemons, 1))
