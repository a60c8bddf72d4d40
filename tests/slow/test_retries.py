"""Tests that the retry rule never lets a request run twice."""

from collections.abc import Callable
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sardinehill import errors
from sardinehill.core import retries

POLICY = retries.RetryPolicy()
METHODS = st.sampled_from(["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"])
ENDINGS = st.tuples(
    st.sampled_from(errors.Verdict), st.sampled_from(errors.Reason)
)
MayRunAgain = Callable[[errors.Verdict, str], bool]


def attempts_until_stopped(
    method: str,
    endings: list[tuple[errors.Verdict, errors.Reason]],
    deadline_s: float,
    seed: int,
) -> tuple[list[errors.Verdict], float]:
    """Returns all attempts' verdicts and the start time of the last one."""
    rng = random.Random(seed)
    budget = retries.RetryBudget()
    now_s = 0.0
    verdicts: list[errors.Verdict] = []
    attempts = routing_attempts = 0
    for verdict, reason in endings:
        verdicts.append(verdict)
        if retries.failure_kind(reason) is retries.FailureKind.ROUTING:
            routing_attempts += 1
        else:
            attempts += 1
        attempt = retries.FailedAttempt(
            verdict,
            reason,
            method,
            attempts,
            routing_attempts,
            now_s,
            deadline_s,
        )
        decision = retries.decide(attempt, POLICY, budget, rng)
        if not decision.retry:
            break
        now_s += decision.wait_s
    return verdicts, now_s


def check_runs_at_most_once(
    method: str, endings: list[tuple[errors.Verdict, errors.Reason]]
) -> None:
    verdicts, _ = attempts_until_stopped(method, endings, 60.0, 1)
    runs = [
        verdict for verdict in verdicts if verdict != errors.Verdict.NOT_RUN
    ]
    if method not in ("GET", "HEAD"):
        assert len(runs) <= 1, "a request was retried although it may have run"
    ran = [verdict for verdict in verdicts if verdict is errors.Verdict.RAN]
    assert len(ran) <= 1


@given(METHODS, st.lists(ENDINGS, max_size=12))
@settings(derandomize=True, max_examples=500)
def test_no_path_of_attempts_runs_a_request_twice(
    method: str, endings: list[tuple[errors.Verdict, errors.Reason]]
) -> None:
    check_runs_at_most_once(method, endings)


def always_safe(verdict: errors.Verdict, method: str) -> bool:
    return True


def puts_are_idempotent(verdict: errors.Verdict, method: str) -> bool:
    if verdict is errors.Verdict.MAY_HAVE_RUN:
        return method != "POST"
    return verdict is errors.Verdict.NOT_RUN


def may_have_run_means_not_run(verdict: errors.Verdict, method: str) -> bool:
    return verdict is not errors.Verdict.RAN


@pytest.mark.parametrize(
    "mutant", [always_safe, puts_are_idempotent, may_have_run_means_not_run]
)
def test_a_faulty_retry_rule_is_detected(
    mutant: MayRunAgain, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(retries, "is_safe_to_retry", mutant)

    @given(METHODS, st.lists(ENDINGS, max_size=12))
    @settings(
        derandomize=True,
        max_examples=500,
        database=None,
        report_multiple_bugs=False,
    )
    def search(
        method: str, endings: list[tuple[errors.Verdict, errors.Reason]]
    ) -> None:
        check_runs_at_most_once(method, endings)

    with pytest.raises(AssertionError):
        search()


@given(
    METHODS,
    st.lists(ENDINGS, max_size=80),
    st.floats(min_value=0.0, max_value=3.0),
    st.integers(min_value=0, max_value=1000),
)
@settings(derandomize=True)
def test_no_attempt_starts_at_or_after_the_deadline(
    method: str,
    endings: list[tuple[errors.Verdict, errors.Reason]],
    deadline_s: float,
    seed: int,
) -> None:
    verdicts, last_start_s = attempts_until_stopped(
        method, endings, deadline_s, seed
    )
    if len(verdicts) > 1:
        assert last_start_s < deadline_s


@given(st.integers(min_value=0, max_value=2000))
@settings(derandomize=True)
def test_retries_stay_within_their_share_of_requests(requests: int) -> None:
    budget = retries.RetryBudget(ratio=0.1, reserve_retries=10.0)
    spent = 0
    for _ in range(requests):
        budget.record_request()
        spent += budget.try_spend()
    assert spent <= 10 + requests * 0.1 + 1e-6


@pytest.mark.parametrize("reason", sorted(retries.ROUTING_REASONS, key=str))
def test_routing_retries_need_no_budget(reason: errors.Reason) -> None:
    empty = retries.RetryBudget(reserve_retries=0.0)
    attempt = retries.FailedAttempt(
        errors.Verdict.NOT_RUN, reason, "POST", 1, 3, 0.0, 5.0
    )
    decision = retries.decide(attempt, POLICY, empty, random.Random(1))
    assert decision.retry


def test_a_spent_budget_is_given_as_the_reason() -> None:
    empty = retries.RetryBudget(reserve_retries=0.0)
    attempt = retries.FailedAttempt(
        errors.Verdict.NOT_RUN, errors.Reason.SHED, "POST", 1, 0, 0.0, 5.0
    )
    decision = retries.decide(attempt, POLICY, empty, random.Random(1))
    assert not decision.retry
    assert decision.reason is errors.Reason.RETRY_BUDGET_SPENT
