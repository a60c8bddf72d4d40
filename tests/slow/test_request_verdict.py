"""Searches for attempts after which a request's verdict promises too much."""

import asyncio
import types

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sardinehill import errors
from sardinehill.core import forward_messages
from sardinehill.core import request_verdict
from sardinehill.daemon import caller_server
from sardinehill.daemon import undivided_sender

NOT_RUN = errors.Verdict.NOT_RUN
MAY_HAVE_RUN = errors.Verdict.MAY_HAVE_RUN
RAN = errors.Verdict.RAN
FAILED = st.sampled_from([NOT_RUN, MAY_HAVE_RUN])
SETTINGS = settings(derandomize=True, deadline=None, max_examples=60)


def answer_of(verdict, reason=errors.Reason.GATEWAY_LOST):
    if verdict is RAN:
        return forward_messages.ForwardAnswer("r", RAN, None, status=200)
    return forward_messages.refusal_answer("r", reason, verdict)


class LastAttempt(request_verdict.RequestVerdict):
    """A mutant that keeps the verdict on the last attempt."""

    def record(self, attempt):
        self.value = attempt


def verdict_of(attempts, kind=request_verdict.RequestVerdict):
    verdict = kind()
    for attempt in attempts:
        verdict.record(attempt)
    return verdict.value


@given(st.lists(st.sampled_from(list(errors.Verdict))))
@SETTINGS
def test_verdict_never_goes_back(attempts):
    verdict = verdict_of(attempts)
    assert (verdict is NOT_RUN) == all(one is NOT_RUN for one in attempts)
    assert (verdict is RAN) == (RAN in attempts)


def test_a_verdict_of_the_last_attempt_only_is_found():
    with pytest.raises(AssertionError):
        assert verdict_of([MAY_HAVE_RUN, NOT_RUN], LastAttempt) is not NOT_RUN


class PassingDeadline:
    """The state of a request whose deadline passes after some checks of it."""

    def __init__(self, checks):
        self._checks = checks

    @property
    def deadline_s(self):
        self._checks -= 1
        now_s = asyncio.get_running_loop().time()
        return now_s + (5.0 if self._checks >= 0 else -0.001)


def refusal_after(attempts, checks=1000):
    """Returns the verdict after attempts that all fail, on a safe request."""

    async def scenario():
        server = caller_server.CallerServer(
            types.SimpleNamespace(), None, None, seed=1
        )
        pending = list(attempts)

        async def attempt(forward, left_s):
            # Refused for good once the given attempts are used up.
            if len(pending) == 1:
                return answer_of(pending[0], errors.Reason.ACCOUNT_KEY_UNKNOWN)
            return answer_of(pending.pop(0))

        server._attempt = attempt
        forward = forward_messages.ForwardRequest(
            "r", "s", "k", "a", "GET", "/", (), b"", 1000, "", 0, ""
        )
        try:
            answer = await server._send_with_retries(
                forward, PassingDeadline(checks)
            )
        except errors.RequestRefusedError as error:
            return error.verdict
        return answer.verdict

    return asyncio.run(scenario())


# Guards against this failure: a request ran, its answer was lost, and a later
# attempt was refused. The caller was told that it had not run.
@given(st.lists(FAILED, min_size=1, max_size=4))
@SETTINGS
def test_refusal_after_several_attempts_promises_what_all_of_them_allow(
    attempts,
):
    refused = refusal_after(attempts)
    if MAY_HAVE_RUN in attempts[:1]:
        assert refused is MAY_HAVE_RUN
    if MAY_HAVE_RUN not in attempts:
        assert refused is NOT_RUN


def test_deadline_between_two_attempts_does_not_promise_that_none_ran():
    # It is checked before the attempt and after it, and passes in between.
    assert refusal_after([MAY_HAVE_RUN] * 9, checks=2) is MAY_HAVE_RUN


@given(st.permutations([NOT_RUN, MAY_HAVE_RUN]))
@SETTINGS
def test_two_hedged_attempts_promise_what_both_allow(verdicts):
    async def scenario():
        async def ask(verdict, delay_s):
            await asyncio.sleep(delay_s)
            return answer_of(verdict)

        tasks = [
            asyncio.ensure_future(ask(verdict, 0.001 * index))
            for index, verdict in enumerate(verdicts)
        ]
        answer = await undivided_sender._first_success(*tasks)
        assert answer.verdict is MAY_HAVE_RUN

    asyncio.run(scenario())
