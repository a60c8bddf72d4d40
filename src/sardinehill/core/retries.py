"""The one place where it is decided whether a request is tried again.

The verdict decides first: a request that ran is never tried again, one that
may have run only when running it twice does no harm, and one that did not
run may be. Then the reason, the deadline, the number of attempts and the
budget must allow it.
"""

import dataclasses
import enum
import random

from sardinehill import errors

# Only methods that change nothing count as idempotent here. HTTP calls PUT
# and DELETE idempotent too, but a late second PUT undoes a write that another
# caller made in between, and for a booking that is a lost booking.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class FailureKind(enum.Enum):
    """What another attempt would do, by the reason of the last one."""

    ROUTING = "routing"
    UPSTREAM = "upstream"
    FINAL = "final"


# The request found no place to go to yet, or the wrong one. Another attempt
# costs the fleet a hop and an upstream nothing, so it needs no budget; it
# waits out a move of a shard, which takes seconds.
ROUTING_REASONS = frozenset(
    {
        errors.Reason.GATEWAY_UNKNOWN,
        errors.Reason.NOT_GATEWAY,
        errors.Reason.NO_UPSTREAM,
        errors.Reason.STALE,
        errors.Reason.UNOWNED,
    }
)

# An upstream or a gateway failed or was busy. Attempts add to its load when
# it can bear that least, so they are bounded by the budget.
UPSTREAM_REASONS = frozenset(
    {
        errors.Reason.CONNECT_FAILED,
        errors.Reason.CONNECTION_LOST,
        errors.Reason.DRAINING,
        errors.Reason.FENCED,
        errors.Reason.GATEWAY_LOST,
        errors.Reason.OVER_LIMIT,
        errors.Reason.SHED,
    }
)


@dataclasses.dataclass(frozen=True)
class RetryPolicy:
    """Bounds of the attempts at one request.

    Attributes:
      max_attempts: attempts at an upstream or gateway, the first included.
      max_routing_attempts: attempts to find the place to go to.
      base_backoff_s: the longest first wait; it doubles with each attempt.
      max_backoff_s: the longest wait of all.
      min_time_left_s: time to the deadline below which no attempt starts.
    """

    max_attempts: int = 3
    max_routing_attempts: int = 64
    base_backoff_s: float = 0.01
    max_backoff_s: float = 0.25
    min_time_left_s: float = 0.005


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """How the last attempt at a request ended.

    Attributes:
      verdict: whether it may have run.
      reason: why there is no upstream's answer.
      method: the request's method.
      attempts: attempts at an upstream or gateway so far, at least 1.
      routing_attempts: attempts so far that found no place to go to.
      now_s: the time now.
      deadline_s: the time by which the caller wants its answer.
      retry_after_s: wait that the last place asked for, or None.
    """

    verdict: errors.Verdict
    reason: errors.Reason
    method: str
    attempts: int
    routing_attempts: int
    now_s: float
    deadline_s: float
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class RetryDecision:
    """Whether to try again.

    Attributes:
      retry: whether another attempt is made.
      wait_s: seconds before it.
      reason: the reason to tell the caller when none is made.
    """

    retry: bool
    wait_s: float
    reason: errors.Reason


class RetryBudget:
    """Bounds retries to a share of the requests.

    A count in each second was the alternative. It allows as many retries in
    a quiet hour as in a busy one, and then doubles a small load.
    """

    def __init__(self, ratio: float = 0.1, reserve_retries: float = 10.0):
        """Makes a budget that holds its whole reserve.

        Args:
          ratio: retries earned by each request.
          reserve_retries: retries that can be saved up.
        """
        self._ratio = ratio
        self._reserve_retries = reserve_retries
        self._available_retries = reserve_retries

    def record_request(self) -> None:
        """Counts one request of a caller, not a retry."""
        self._available_retries = min(
            self._reserve_retries, self._available_retries + self._ratio
        )

    def try_spend(self) -> bool:
        """Takes one retry; False when the budget is spent."""
        if self._available_retries < 1.0:
            return False
        self._available_retries -= 1.0
        return True


def is_idempotent(method: str) -> bool:
    """Returns whether running a request twice does no harm."""
    return method in IDEMPOTENT_METHODS


def failure_kind(reason: errors.Reason) -> FailureKind:
    """Returns what another attempt after this reason would do."""
    if reason in ROUTING_REASONS:
        return FailureKind.ROUTING
    if reason in UPSTREAM_REASONS:
        return FailureKind.UPSTREAM
    return FailureKind.FINAL


def is_safe_to_retry(verdict: errors.Verdict, method: str) -> bool:
    """Returns whether another attempt is free of a harmful second run."""
    if verdict is errors.Verdict.NOT_RUN:
        return True
    return verdict is errors.Verdict.MAY_HAVE_RUN and is_idempotent(method)


def decide(
    attempt: FailedAttempt,
    policy: RetryPolicy,
    budget: RetryBudget,
    rng: random.Random,
) -> RetryDecision:
    """Returns whether a request is tried again, and after which wait.

    A retry that spends the budget is taken from it here.
    """
    stop = RetryDecision(False, 0.0, attempt.reason)
    if not is_safe_to_retry(attempt.verdict, attempt.method):
        return stop
    cause = failure_kind(attempt.reason)
    if cause is FailureKind.FINAL:
        return stop
    routing = cause is FailureKind.ROUTING
    made = attempt.routing_attempts if routing else attempt.attempts
    if made >= (
        policy.max_routing_attempts if routing else policy.max_attempts
    ):
        return stop
    wait_s = _backoff_s(policy, made, rng)
    if attempt.retry_after_s is not None:
        wait_s = max(wait_s, attempt.retry_after_s)
    left_s = attempt.deadline_s - attempt.now_s - wait_s
    if left_s < policy.min_time_left_s:
        return stop
    if not routing and not budget.try_spend():
        return RetryDecision(False, 0.0, errors.Reason.RETRY_BUDGET_SPENT)
    return RetryDecision(True, wait_s, attempt.reason)


def _backoff_s(policy: RetryPolicy, made: int, rng: random.Random) -> float:
    # The whole wait is drawn, not a small part added to a fixed one: callers
    # that failed together would otherwise come back together.
    doublings = min(max(made - 1, 0), 16)
    longest_s = min(policy.base_backoff_s * 2**doublings, policy.max_backoff_s)
    return rng.uniform(0.0, longest_s)
