"""Tests of the relay's retries."""

import asyncio
import types

from sardinehill.front import front_metrics
from sardinehill.front import relay as relay_module
from sardinehill.front import requests


class FakeSender:
    """Sends a request only in the given attempts; the last one is answered."""

    def __init__(self, attempts):
        self.attempts = list(attempts)

    async def send(self, context, target):
        if self.attempts.pop(0):
            context.sends += 1
        return None if self.attempts else "answer"


def answer_of(attempts, retry_slack):
    """Returns the answer, or the reason of the refusal, after attempts."""

    async def body():
        relay = relay_module.Relay(
            types.SimpleNamespace(daemon_count=1),
            front_metrics.FrontMetrics(),
            lambda *_, **__: None,
            0.0,
            retry_slack,
            10.0,
            None,
            FakeSender(attempts),
            "a",
        )

        async def find_target(context):
            return "target"

        relay._wait_for_target = find_target
        context = types.SimpleNamespace(
            sends=0, service="s", last_failure="shed"
        )
        try:
            return await relay._send_until_answered(context)
        except requests.RefusedError as refusal:
            return refusal.reason.value

    return asyncio.run(body())


def test_attempts_that_were_not_sent_spend_no_retries():
    attempts = [True, False, False, False, False, True]
    assert answer_of(attempts, retry_slack=2) == "answer"


def test_each_further_send_spends_a_retry():
    attempts = [True, True, True, True]
    assert answer_of(attempts, retry_slack=2) == "retry-budget-spent"
    assert answer_of(attempts, retry_slack=6) == "answer"
