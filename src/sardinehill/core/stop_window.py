"""Decides which requests a stopping daemon may still send to an upstream.

The caller of a request that is at an upstream when the daemon ends does not get
the answer, and cannot repeat the request if it is not idempotent. A request
that might end so is refused before it is sent, so that the caller may send it
to another daemon.
"""

import dataclasses
import math

# In this first part of the window, a request whose deadline lies beyond the
# end is sent if it usually takes far less than the time that is left.
EARLY_RATIO = 0.5
USUAL_LATENCY_FACTOR = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopWindow:
    """The time in which a stopping daemon answers its requests.

    Attributes:
      began_s: when the daemon was told to stop.
      end_s: when each request must have been answered.
    """

    began_s: float
    end_s: float


def latest_send_s(
    window: StopWindow, deadline_s: float, usual_latency_s: float
) -> float:
    """Returns when a request may be sent to an upstream at the latest.

    All times are of one clock.

    Args:
      window: the window of the stop.
      deadline_s: when the request times out.
      usual_latency_s: how long an upstream usually takes to answer it.

    Returns:
      The time; infinity if the request times out before the window ends, as
      it then has its answer whatever the upstream does.
    """
    if deadline_s <= window.end_s:
        return math.inf
    early_until_s = (
        window.began_s + (window.end_s - window.began_s) * EARLY_RATIO
    )
    return min(
        early_until_s, window.end_s - usual_latency_s * USUAL_LATENCY_FACTOR
    )
