"""Decides whether a request is retried.

This is the only place that makes this decision for `daemon.caller_server`. The
verdict is checked first. A request that ran is never retried. One that may have
run is retried only when running it twice does no harm. One that did not run may
be retried. Then the reason, the deadline, the number of attempts and the retry
budget must allow it.
"""

import dataclasses
import enum
import random

from sardinehill import errors

# Only methods that change nothing count as idempotent. HTTP defines PUT and
# DELETE as idempotent too, but a late second PUT undoes a write that another
# caller has made in between, which for a booking means a lost booking.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class FailureKind(enum.Enum):
    """The kind of the last failure, which determines what a retry costs.

    Attributes:
      ROUTING: no gateway or upstream for the request was found.
      UPSTREAM: an upstream or gateway failed or was busy.
      FINAL: a retry would not help.
    """

    ROUTING = "routing"
    UPSTREAM = "upstream"
    FINAL = "final"


# No destination for the request is known yet, or the known one was wrong. A
# retry costs the fleet a hop and an upstream nothing, so it needs no budget. It
# waits for a shard to move, which takes seconds.
ROUTING_REASONS = frozenset(
    {
        errors.Reason.GATEWAY_UNKNOWN,
        errors.Reason.NOT_GATEWAY,
        errors.Reason.NO_UPSTREAM,
        errors.Reason.STALE,
        errors.Reason.UNOWNED,
    }
)

# An upstream or a gateway failed or was busy. Retries add to its load when it
# can least afford it, so the budget limits them.
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
    """Limits on the attempts for one request.

    Attributes:
      max_attempts: attempts at an upstream or gateway, including the first.
      max_routing_attempts: attempts to find an upstream or gateway.
      base_backoff_s: the longest first wait; it doubles with each attempt.
      max_backoff_s: the longest wait.
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
      reason: why there is no answer of an upstream.
      method: the request's HTTP method.
      attempts: attempts at an upstream or gateway so far, at least 1.
      routing_attempts: attempts so far that found no upstream or gateway.
      now_s: the current time.
      deadline_s: the time by which the caller needs the answer.
      retry_after_s: the wait that the last upstream or gateway asked for, or
        None.
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
    """Whether a request is retried.

    Attributes:
      retry: whether another attempt is made.
      wait_s: seconds to wait before it.
      reason: the reason to report to the caller when there is no retry.
    """

    retry: bool
    wait_s: float
    reason: errors.Reason


class RetryBudget:
    """Limits retries to a ratio of the requests.

    A limit per second would allow as many retries during low traffic as during
    high traffic, and so double a small load.
    """

    def __init__(self, ratio: float = 0.1, reserve_retries: float = 10.0):
        """Creates a budget with its whole reserve available.

        Args:
          ratio: retries earned by each request.
          reserve_retries: the maximum number of retries saved up.
        """
        self._ratio = ratio
        self._reserve_retries = reserve_retries
        self._available_retries = reserve_retries

    def record_request(self) -> None:
        """Records a caller's request, not a retry, and adds to the budget."""
        self._available_retries = min(
            self._reserve_retries, self._available_retries + self._ratio
        )

    def try_spend(self) -> bool:
        """Spends one retry; returns False when the budget is exhausted."""
        if self._available_retries < 1.0:
            return False
        self._available_retries -= 1.0
        return True


def is_idempotent(method: str) -> bool:
    """Returns whether running a request twice does no harm."""
    return method in IDEMPOTENT_METHODS


def failure_kind(reason: errors.Reason) -> FailureKind:
    """Returns the kind of failure that a reason belongs to."""
    if reason in ROUTING_REASONS:
        return FailureKind.ROUTING
    if reason in UPSTREAM_REASONS:
        return FailureKind.UPSTREAM
    return FailureKind.FINAL


def is_safe_to_retry(verdict: errors.Verdict, method: str) -> bool:
    """Returns whether a retry cannot cause a harmful second run."""
    if verdict is errors.Verdict.NOT_RUN:
        return True
    return verdict is errors.Verdict.MAY_HAVE_RUN and is_idempotent(method)


def decide(
    attempt: FailedAttempt,
    policy: RetryPolicy,
    budget: RetryBudget,
    rng: random.Random,
) -> RetryDecision:
    """Decides whether a request is retried, and after which wait.

    A retry that needs budget is deducted from it here.
    """
    stop = RetryDecision(False, 0.0, attempt.reason)
    if not is_safe_to_retry(attempt.verdict, attempt.method):
        return stop
    kind = failure_kind(attempt.reason)
    if kind is FailureKind.FINAL:
        return stop
    is_routing = kind is FailureKind.ROUTING
    made = attempt.routing_attempts if is_routing else attempt.attempts
    if made >= (
        policy.max_routing_attempts if is_routing else policy.max_attempts
    ):
        return stop
    wait_s = _backoff_s(policy, made, rng)
    if attempt.retry_after_s is not None:
        wait_s = max(wait_s, attempt.retry_after_s)
    left_s = attempt.deadline_s - attempt.now_s - wait_s
    if left_s < policy.min_time_left_s:
        return stop
    if not is_routing and not budget.try_spend():
        return RetryDecision(False, 0.0, errors.Reason.RETRY_BUDGET_SPENT)
    return RetryDecision(True, wait_s, attempt.reason)


def _backoff_s(policy: RetryPolicy, made: int, rng: random.Random) -> float:
    # The whole wait is random, not just a small part of it. Otherwise callers
    # that failed together would retry together.
    doublings = min(max(made - 1, 0), 16)
    longest_s = min(policy.base_backoff_s * 2**doublings, policy.max_backoff_s)
    return rng.uniform(0.0, longest_s)
