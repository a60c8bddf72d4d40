"""Limits how often a daemon calls the platform's store.

The store's rate limits grow more slowly than the fleet. Every daemon therefore
keeps to a call budget, sends only the newest write of each object, and resumes
its calls after an outage at a random time within a window that grows with the
fleet.
"""

from collections.abc import Callable
import dataclasses
import random

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# Calls of all daemons together to a store that does not answer.
FLEET_OUTAGE_CALLS_PER_S = 100.0
# Calls of all daemons together while the store recovers.
FLEET_RECOVERY_CALLS_PER_S = 400.0


@dataclasses.dataclass
class CallBudget:
    """A token bucket for calls to the store.

    Attributes:
      rate_per_s: sustained calls per second.
      burst_calls: capacity of the bucket, in calls.
      available_calls: calls that may start now; negative while calls wait.
      refilled_at_s: when `available_calls` was last updated.
    """

    rate_per_s: float
    burst_calls: float
    available_calls: float = 0.0
    refilled_at_s: float = float("-inf")

    def reserve_call_wait_s(self, now_s: float) -> float:
        """Reserves one call and returns the seconds to wait before it.

        The bucket may become negative. A waiting call has thus reserved its
        place, so waiting calls are served in order and none is starved.
        """
        elapsed_s = now_s - self.refilled_at_s
        self.available_calls = min(
            self.burst_calls, self.available_calls + elapsed_s * self.rate_per_s
        )
        self.refilled_at_s = now_s
        self.available_calls -= 1.0
        return max(0.0, -self.available_calls / self.rate_per_s)


class Backoff:
    """Computes the waits between calls to a store that fails.

    Each wait is drawn uniformly between zero and a bound that doubles with each
    failure. With a fixed wait or little jitter, daemons that fail at the same
    time would also retry at the same time.
    """

    def __init__(
        self,
        uniform: Callable[[float, float], float],
        max_backoff_s: float = MAX_BACKOFF_S,
    ):
        self._uniform = uniform
        self._max_backoff_s = max_backoff_s
        self._failures = 0

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    def record_failure(self) -> float:
        """Records a failure and returns the seconds to wait."""
        bound_s = INITIAL_BACKOFF_S * 2 ** min(self._failures, 16)
        self._failures += 1
        return self._uniform(0.0, min(bound_s, self._max_backoff_s))

    def record_success(self) -> None:
        """Records a success, which resets the bound of the next wait."""
        self._failures = 0


def fleet_max_backoff_s(members: int) -> float:
    """Returns the backoff bound that keeps a fleet's calls within the limit.

    The limit is `FLEET_OUTAGE_CALLS_PER_S`.
    """
    # The average wait is half the bound.
    return max(MAX_BACKOFF_S, 2 * members / FLEET_OUTAGE_CALLS_PER_S)


def recovery_window_s(members: int, calls_each: int) -> float:
    """Returns the time over which a fleet spreads its calls after an outage.

    Args:
      members: the number of daemons.
      calls_each: the calls that each daemon makes.
    """
    return members * calls_each / FLEET_RECOVERY_CALLS_PER_S


def seeded_uniform(seed: str) -> Callable[[float, float], float]:
    """Returns a source of uniform numbers that is reproducible by its seed."""
    return random.Random(seed).uniform


@dataclasses.dataclass
class WriteQueue:
    """Queues store writes so that each object has at most one in flight.

    Attributes:
      pending: the newest value that was not sent yet, by kind and name.
      in_flight: kinds and names of writes that wait for an answer.
      replaced_writes: how many writes were replaced before they were sent.
    """

    pending: dict[tuple[str, str], bytes] = dataclasses.field(
        default_factory=dict
    )
    in_flight: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    replaced_writes: int = 0

    def put(self, kind: str, name: str, value: bytes) -> None:
        """Queues a write and replaces a pending one of the same object."""
        if (kind, name) in self.pending:
            self.replaced_writes += 1
        self.pending[kind, name] = value

    def take(self) -> tuple[str, str, bytes] | None:
        """Removes and returns a write to send now, or returns None.

        Objects with a write in flight are skipped.
        """
        for key, value in self.pending.items():
            if key not in self.in_flight:
                del self.pending[key]
                self.in_flight.add(key)
                return key[0], key[1], value
        return None

    def finish(self, kind: str, name: str) -> None:
        """Records that a write was answered or abandoned."""
        self.in_flight.discard((kind, name))
