"""Releases the slots of requests, with what their exchanges have shown."""

import asyncio

from sardinehill import http1
from sardinehill.core.load import slot_messages
from sardinehill.front import requests
from sardinehill.platform import http_messages

_Outcome = slot_messages.SlotOutcome


def release(
    target: requests.Target, outcome: slot_messages.SlotOutcome
) -> None:
    """Releases the slot of a target, if it has one."""
    if target.slot is not None:
        target.slot.release(outcome)


def release_answered(
    context: requests.RequestContext,
    target: requests.Target,
    answer: http1.Response,
) -> None:
    """Releases the slot of a request that was answered."""
    if target.slot is None:
        return
    load: slot_messages.LoadReport | None = None
    reported = http_messages.parse_load(answer)
    if reported is not None:
        load = slot_messages.LoadReport(
            reported.running, reported.waiting, reported.slowness
        )
    latency_s = asyncio.get_running_loop().time() - context.sent_s
    target.slot.release(_answer_outcome(answer), latency_s, load)


def _answer_outcome(answer: http1.Response) -> slot_messages.SlotOutcome:
    if http_messages.reports_not_run(answer):
        is_full = answer.status != 421
        return _Outcome.REFUSED if is_full else _Outcome.UNUSED
    is_success = http_messages.is_success(answer)
    return _Outcome.ANSWERED if is_success else _Outcome.FAILED
