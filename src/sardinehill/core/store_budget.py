"""How often a daemon may call the platform's store.

The store's rates grow more slowly than the fleet, so every daemon keeps to a
budget, folds writes of one object into the newest, and returns after an outage
at a time of its own choice within a window that grows with the fleet.
"""

from collections.abc import Callable
import dataclasses
import random

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# What all daemons together may ask of a store that does not answer.
FLEET_OUTAGE_CALLS_PER_S = 100.0
# What all daemons together may ask of the store while it recovers.
FLEET_RECOVERY_CALLS_PER_S = 400.0


@dataclasses.dataclass
class CallBudget:
    """A token bucket for calls to the store.

    Attributes:
      rate_per_s: calls a second in the long run.
      burst_calls: calls at once.
      available_calls: calls that are left now.
      refilled_at_s: when `calls` was last brought up to date.
    """

    rate_per_s: float
    burst_calls: float
    available_calls: float = 0.0
    refilled_at_s: float = float("-inf")

    def reserve_call_wait_s(self, now_s: float) -> float:
        """Takes one call and returns how long it has to wait first.

        The bucket may go below zero: a call that waits has its place, so
        callers that wait are served in order and none is starved.
        """
        elapsed_s = now_s - self.refilled_at_s
        self.available_calls = min(
            self.burst_calls, self.available_calls + elapsed_s * self.rate_per_s
        )
        self.refilled_at_s = now_s
        self.available_calls -= 1.0
        return max(0.0, -self.available_calls / self.rate_per_s)


class Backoff:
    """How long to wait before a store that failed is called again.

    The wait is drawn anew from zero to a bound that doubles. A fixed wait, or
    one with a little jitter, was weighed: daemons that failed together would
    come back together.
    """

    def __init__(
        self,
        uniform: Callable[[float, float], float],
        max_backoff_s: float = MAX_BACKOFF_S,
    ):
        self._uniform = uniform
        self._longest_s = max_backoff_s
        self._failures = 0

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    def record_failure(self) -> float:
        """Notes a failure and returns the seconds to wait."""
        bound_s = INITIAL_BACKOFF_S * 2 ** min(self._failures, 16)
        self._failures += 1
        return self._uniform(0.0, min(bound_s, self._longest_s))

    def record_success(self) -> None:
        """Notes a success: the next failure starts from the shortest wait."""
        self._failures = 0


def fleet_max_backoff_s(members: int) -> float:
    """Returns the bound of a wait with which a whole fleet asks slowly."""
    # Waits are half their bound on average.
    return max(MAX_BACKOFF_S, 2 * members / FLEET_OUTAGE_CALLS_PER_S)


def recovery_window_s(members: int, calls_each: int) -> float:
    """Returns the time over which a fleet's first calls are spread."""
    return members * calls_each / FLEET_RECOVERY_CALLS_PER_S


def seeded_uniform(seed: str) -> Callable[[float, float], float]:
    """Returns a source of uniform numbers that a name repeats."""
    return random.Random(seed).uniform


@dataclasses.dataclass
class WriteQueue:
    """The newest write of each object; at most one of each is on its way.

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
        """Queues a write in place of any that still waits."""
        if (kind, name) in self.pending:
            self.replaced_writes += 1
        self.pending[kind, name] = value

    def take(self) -> tuple[str, str, bytes] | None:
        """Returns a write to send now, or None."""
        for key, value in self.pending.items():
            if key not in self.in_flight:
                del self.pending[key]
                self.in_flight.add(key)
                return key[0], key[1], value
        return None

    def finish(self, kind: str, name: str) -> None:
        """Notes that a write was answered or given up."""
        self.in_flight.discard((kind, name))
