"""Tests of when a broken connection counts as the end of an upstream."""

import asyncio
import dataclasses

import pytest

from sardinehill.core import crash_suspects
from sardinehill.core import routes
from sardinehill.core import store_versions
from sardinehill.core import upstream_lives
from sardinehill.front import crash_evidence
from tests.common import platform_fleet

DIGEST = b"d" * 32


def new_upstream(port, started_at_ms=5):
    return routes.Upstream(
        "i-1",
        started_at_ms,
        "stock",
        f"127.0.0.1:{port}",
        "z",
        3,
        is_draining=False,
        cold_remaining_s=0.0,
    )


def endings_after(port, listed=(), digests=(DIGEST,), reaches_others=True):
    """Returns how many endings a broken connection leads to."""

    async def answer(upstream):
        return reaches_others

    async def body():
        loop = asyncio.get_running_loop()
        suspects = crash_suspects.CrashSuspects()
        upstreams = {}
        evidence = crash_evidence.CrashEvidence(
            suspects, lambda: upstreams, loop.time, answer
        )
        for digest in digests:
            evidence.note_broken(new_upstream(port), digest)
        await asyncio.sleep(0.1)
        upstreams.update({upstream.id: upstream for upstream in listed})
        await asyncio.sleep(2 * crash_evidence.CONFIRM_INTERVAL_S)
        return [suspects.ending_count(digest) for digest in digests]

    return asyncio.run(body())


@pytest.fixture
def open_port():
    async def serve():
        return await asyncio.start_server(
            lambda reader, writer: None, "127.0.0.1"
        )

    runner = asyncio.Runner()
    with runner:
        server = runner.run(serve())
        yield server.sockets[0].getsockname()[1]
        server.close()


def test_refused_connection_shows_that_the_upstream_has_ended():
    (port,) = platform_fleet.free_ports(1)
    assert endings_after(port, digests=(DIGEST, b"e" * 32)) == [1, 1]


def test_refused_connection_of_a_daemon_that_reaches_no_one_is_no_evidence():
    # Otherwise a daemon that is cut off lets all daemons quarantine requests.
    (port,) = platform_fleet.free_ports(1)
    assert endings_after(port, reaches_others=False) == [0]


def test_broken_connection_to_a_live_upstream_is_no_evidence(open_port):
    assert endings_after(open_port, [new_upstream(open_port)]) == [0]


@pytest.mark.parametrize("started_at_ms", [4, 6])
def test_another_start_shows_that_the_upstream_has_ended(
    open_port, started_at_ms
):
    started_again = dataclasses.replace(
        new_upstream(open_port), started_at_ms=started_at_ms
    )
    assert endings_after(open_port, [started_again]) == [1]


def test_start_that_was_listed_before_is_no_evidence(open_port):
    upstream = dataclasses.replace(
        new_upstream(open_port),
        listed_at=store_versions.StoreVersion(1, 7),
    )
    earlier = dataclasses.replace(
        upstream,
        started_at_ms=6,
        listed_at=store_versions.StoreVersion(1, 6),
    )
    assert not upstream_lives.replaces(earlier, upstream)
    assert upstream_lives.replaces(upstream, earlier)
