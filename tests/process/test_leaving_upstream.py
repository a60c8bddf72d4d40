"""Tests that daemons heed what an upstream says of itself in its answers."""

import asyncio
import collections
import itertools
import time

import pytest

from tests.common import platform_fleet

# The drain limit in the daemons' settings.
DRAIN_LIMIT_S = 2.0
RETRY_AFTER_S = 4.0
# Requests that are under way when an upstream refuses one may still arrive.
UNDER_WAY_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
KEY = 100
SERVICES = {
    "divided": ("/stock/a", "prenota"),
    "undivided": ("/view/a", "conti"),
}


@pytest.fixture(params=["divided", "undivided"])
def fleet(tmp_path, request):
    fleet = platform_fleet.PlatformFleet(tmp_path, daemons=2, upstreams=2)
    try:
        fleet.path, service = SERVICES[request.param]
        fleet.run(
            fleet.add_upstream("i-other", service, request.param == "divided")
        )
        for daemon in fleet.daemons:
            fleet.run(fleet.wait_until_served(daemon))
        yield fleet
    finally:
        fleet.close()


async def send_for(fleet, seconds, replies):
    """Sends one request after the other, to each daemon in turn."""
    end_s = time.monotonic() + seconds
    for number, daemon in zip(
        itertools.count(), itertools.cycle(fleet.daemons)
    ):
        sent_s = time.monotonic()
        if sent_s > end_s:
            return
        reply = await fleet.send_request(
            daemon, fleet.path, KEY, f"{sent_s}-{number}"
        )
        replies.append((sent_s, time.monotonic(), reply))
        await asyncio.sleep(0.02)


async def serving_upstream(fleet):
    """Returns an upstream that serves the requests of the test."""
    await send_for(fleet, 0.5, [])
    return max(
        fleet.upstreams.values(),
        key=lambda upstream: sum(
            run.headers["X-Request-Id"].startswith("wait") is False
            for run in upstream.runs
        ),
    )


def test_upstream_whose_answers_say_that_it_leaves_gets_no_requests(fleet):
    async def scenario():
        upstream = await serving_upstream(fleet)
        upstream.says_leaving = True
        said_s = time.monotonic()
        replies = []
        await send_for(fleet, DRAIN_LIMIT_S + 2.0, replies)
        late = [
            run.at_s
            for run in upstream.runs
            if run.at_s > said_s + DRAIN_LIMIT_S + 0.2
        ]
        assert late == []
        last = [reply.status for _, _, reply in replies[-20:]]
        assert set(last) == {200}

    fleet.run(scenario())


async def send_concurrently(fleet, daemon, prefix):
    """Sends more requests at once than one upstream runs, several times."""
    replies = []
    for number in range(10):
        replies += await asyncio.gather(
            *(
                fleet.send_request(
                    daemon, fleet.path, KEY, f"{prefix}-{number}-{index}"
                )
                for index in range(6)
            )
        )
    return replies


@pytest.mark.parametrize("is_restarted", [False, True])
def test_daemon_that_sent_it_nothing_learns_that_an_upstream_leaves(
    fleet, is_restarted
):
    hearing, told = fleet.daemons

    async def scenario():
        upstream = await serving_upstream(fleet)
        upstream.says_leaving = True
        await send_concurrently(fleet, hearing, "first")
        if is_restarted:
            # The other daemon may have to become the leader first.
            await told.kill()
            await told.start()
            await asyncio.sleep(3.0)
        await asyncio.sleep(DRAIN_LIMIT_S)
        replies = await send_concurrently(fleet, told, "second")
        senders = collections.Counter(
            run.headers["X-Request-Id"].split("-")[0] for run in upstream.runs
        )
        assert senders["first"] > 0
        assert senders["second"] == 0
        assert {reply.status for reply in replies} == {200}

    fleet.run(scenario())


def test_upstream_that_names_a_retry_after_is_left_alone_for_that_time(fleet):
    async def scenario():
        upstream = await serving_upstream(fleet)
        upstream.retry_after_s = RETRY_AFTER_S
        upstream.mode = "shed"
        replies = []
        await send_for(fleet, RETRY_AFTER_S - 0.5, replies)
        first_s = upstream.refused_s[0]
        in_pause = [
            refused_s
            for refused_s in upstream.refused_s
            if refused_s > first_s + UNDER_WAY_S
        ]
        assert len(in_pause) <= MAX_REQUESTS_IN_PAUSE * len(fleet.daemons)
        return replies

    replies = fleet.run(scenario())
    statuses = collections.Counter(reply.status for _, _, reply in replies)
    if fleet.path == SERVICES["undivided"][0]:
        assert statuses[200] > 0.9 * len(replies)
        return
    # No other upstream may run the requests, so callers are told at once.
    refused = [item for item in replies if item[2].status == 503]
    assert len(refused) > 0.9 * len(replies)
    for sent_s, answered_s, reply in refused[20:]:
        assert answered_s - sent_s < 0.1
        assert float(reply.headers["Retry-After"]) > 0.1
