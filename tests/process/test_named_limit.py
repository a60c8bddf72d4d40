"""Tests that all daemons together keep the limit that an upstream names."""

import asyncio
import collections
import itertools
import signal
import time

import pytest

from tests.common import platform_fleet

LIMIT_PER_S = 6.0
# From this time after a limit was named, all daemons have to keep it.
LEARNING_S = 3.0
WINDOW_S = 4.0
# The requests within a window are at most this multiple of what the limit
# allows, and the slack.
OVER_RATIO = 1.5
SLACK_REQUESTS = 5
CALLERS = 12
KEY = 100


@pytest.fixture(params=["divided", "undivided"])
def fleet(tmp_path, request):
    fleet = platform_fleet.PlatformFleet(tmp_path, daemons=3, upstreams=1)
    fleet.path, fleet.upstream_name = {
        "divided": ("/stock/a", "i-0"),
        "undivided": ("/view/a", "i-plain"),
    }[request.param]
    try:
        for daemon in fleet.daemons:
            fleet.run(fleet.wait_until_served(daemon, keys=(KEY,)))
        yield fleet
    finally:
        fleet.close()


async def send_for(fleet, seconds, statuses):
    """Sends requests over all daemons, from a fixed number of callers."""
    end_s = time.monotonic() + seconds
    numbers = itertools.count()

    async def call(caller):
        while time.monotonic() < end_s:
            daemon = fleet.daemons[next(numbers) % len(fleet.daemons)]
            try:
                reply = await fleet.send_request(
                    daemon, fleet.path, KEY, f"{caller}-{next(numbers)}"
                )
                statuses[reply.status] += 1
            except OSError:
                statuses["unreachable"] += 1
            await asyncio.sleep(0.1)

    await asyncio.gather(*(call(caller) for caller in range(CALLERS)))


def most_in_a_window(times_s):
    return max(
        sum(start_s <= time_s < start_s + WINDOW_S for time_s in times_s)
        for start_s in times_s
    )


def test_daemons_together_send_no_more_than_an_upstream_says_it_takes(fleet):
    upstream = fleet.upstreams[fleet.upstream_name]
    statuses = collections.Counter()

    async def scenario():
        upstream.named_limit = LIMIT_PER_S
        named_s = time.monotonic()
        sending = asyncio.ensure_future(send_for(fleet, 10.0, statuses))
        await asyncio.sleep(5.0)
        # A daemon that was just started has been told nothing.
        restarted = fleet.daemons[0]
        restarted.signal(signal.SIGTERM)
        await restarted.process.wait()
        await restarted.start()
        await sending
        return named_s

    named_s = fleet.run(scenario())
    runs_s = [
        run.at_s for run in upstream.runs if run.at_s > named_s + LEARNING_S
    ]
    allowed = OVER_RATIO * LIMIT_PER_S * WINDOW_S + SLACK_REQUESTS
    assert most_in_a_window(runs_s) <= allowed
    # Half of the limit is used at least, although a leader was stopped.
    assert len(runs_s) >= 0.5 * LIMIT_PER_S * (10.0 - LEARNING_S)
    assert set(statuses) <= {200, 503, "unreachable"}


def test_an_upstream_that_names_no_limit_any_more_gets_all_requests(fleet):
    upstream = fleet.upstreams[fleet.upstream_name]
    statuses = collections.Counter()

    async def scenario():
        upstream.named_limit = LIMIT_PER_S
        await send_for(fleet, 3.0, statuses)
        upstream.named_limit = None
        await send_for(fleet, 3.0, statuses)
        statuses.clear()
        await send_for(fleet, 2.0, statuses)

    fleet.run(scenario())
    assert statuses[200] >= 10 * LIMIT_PER_S
    assert set(statuses) == {200}
