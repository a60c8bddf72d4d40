"""Smooths the capacities of upstreams for planning.

A host may be several times slower for less than a second. Keys that are moved
away because of that move too late and have to be moved back, so capacities
follow such a change only after it has lasted.
"""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import key_plan
from sardinehill.core import keyspace

# Capacities are averaged over about this time.
AVERAGING_S = 4.0
# A change of the speed by this factor is followed at once if it has lasted for
# `LASTING_S`.
LARGE_CHANGE_RATIO = 1.8
LASTING_S = 0.9


@dataclasses.dataclass(slots=True)
class _Slowness:
    """The smoothed slowness of one upstream.

    Attributes:
      mean: the smoothed slowness.
      known_s: how long it has been averaged.
      deviates_since_s: since when the measured one has been far from it, or
        None.
    """

    mean: float
    known_s: float = 0.0
    deviates_since_s: float | None = None


class CapacityFilter:
    """Smooths the measured slowness of all upstreams of a service."""

    def __init__(self, now_s: float):
        self._updated_s = now_s
        self._slowness: dict[keyspace.Incarnation, _Slowness] = {}

    def smoothed(
        self,
        capacities: Mapping[keyspace.Incarnation, key_plan.UpstreamCapacity],
        now_s: float,
    ) -> dict[keyspace.Incarnation, key_plan.UpstreamCapacity]:
        """Returns capacities with smoothed slowness.

        Upstreams that are missing are forgotten.

        Args:
          capacities: the capacities as measured.
          now_s: the time.
        """
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self._slowness = {
            incarnation: self._slowness.get(incarnation)
            or _Slowness(capacity.slowness)
            for incarnation, capacity in capacities.items()
        }
        smoothed = {}
        for incarnation, capacity in capacities.items():
            slowness = self._slowness[incarnation]
            _update(slowness, capacity.slowness, passed_s, now_s)
            smoothed[incarnation] = dataclasses.replace(
                capacity, slowness=slowness.mean
            )
        return smoothed


def _update(
    slowness: _Slowness, measured: float, passed_s: float, now_s: float
) -> None:
    slowness.known_s += passed_s
    ratio = measured / slowness.mean
    if 1 / LARGE_CHANGE_RATIO < ratio < LARGE_CHANGE_RATIO:
        slowness.deviates_since_s = None
    elif slowness.deviates_since_s is None:
        slowness.deviates_since_s = now_s
    elif now_s - slowness.deviates_since_s >= LASTING_S:
        slowness.mean = measured
        return
    # A new upstream's mean is that of all measurements so far.
    averaged_s = max(min(slowness.known_s, AVERAGING_S), passed_s)
    if averaged_s > 0:
        slowness.mean += passed_s / averaged_s * (measured - slowness.mean)
