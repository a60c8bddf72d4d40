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


def endings_after(
    port,
    listed=(),
    digests=(DIGEST,),
    reaches_others=True,
    end="note_broken",
    first_listed=None,
):
    """Returns how many endings the end of an exchange leads to.

    Args:
      port: the upstream's port.
      listed: the upstreams that are listed soon after.
      digests: the requests.
      reaches_others: whether other upstreams are reached.
      end: the name of the method that is told of the end.
      first_listed: the upstreams that are listed before.
    """

    async def answer(upstream):
        return reaches_others

    async def body():
        loop = asyncio.get_running_loop()
        suspects = crash_suspects.CrashSuspects()
        before = (new_upstream(port),) if first_listed is None else first_listed
        upstreams = {upstream.id: upstream for upstream in before}
        evidence = crash_evidence.CrashEvidence(
            suspects, lambda: upstreams, loop.time, answer
        )
        for digest in digests:
            getattr(evidence, end)(new_upstream(port), digest)
        await asyncio.sleep(0.1)
        upstreams.clear()
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


ENDS = ("note_broken", "note_end_of_answer", "note_given_up")


# Guards against this failure: requests whose upstreams ended in silence, or
# within an answer without a length, went on ending upstreams.
@pytest.mark.parametrize("end", ENDS)
def test_another_start_after_any_end_of_an_exchange_is_evidence(open_port, end):
    started_again = dataclasses.replace(
        new_upstream(open_port), started_at_ms=6
    )
    assert endings_after(open_port, [started_again], end=end) == [1]


@pytest.mark.parametrize("end", ENDS)
def test_refused_connection_is_evidence_once_the_entry_has_vanished(end):
    (port,) = platform_fleet.free_ports(1)
    assert endings_after(port, end=end) == [1]


@pytest.mark.parametrize("end", ENDS)
def test_upstream_that_lives_is_no_evidence(open_port, end):
    listed = [new_upstream(open_port)]
    assert endings_after(open_port, listed, end=end) == [0]
    assert endings_after(open_port, end=end) == [0]


@pytest.mark.parametrize("end", ["note_end_of_answer", "note_given_up"])
def test_end_of_an_upstream_that_was_leaving_is_no_evidence(open_port, end):
    leaving = dataclasses.replace(new_upstream(open_port), is_draining=True)
    started_again = dataclasses.replace(leaving, started_at_ms=6)
    endings = endings_after(
        open_port, [started_again], end=end, first_listed=[leaving]
    )
    assert endings == [0]


def test_given_up_requests_open_no_connections():
    (port,) = platform_fleet.free_ports(1)
    listed = [new_upstream(port)]
    assert endings_after(port, listed, end="note_given_up") == [0]


def test_whole_answer_without_a_length_clears_a_suspect(monkeypatch, open_port):
    monkeypatch.setattr(crash_evidence, "CONFIRM_TIMEOUT_S", 0.3)

    async def answer(upstream):
        return True

    async def body():
        loop = asyncio.get_running_loop()
        suspects = crash_suspects.CrashSuspects()
        upstream = new_upstream(open_port)
        suspects.record_ending(DIGEST, "i-2@1", loop.time())
        evidence = crash_evidence.CrashEvidence(
            suspects, lambda: {"i-1": upstream}, loop.time, answer
        )
        await asyncio.sleep(0.01)
        evidence.note_end_of_answer(upstream, DIGEST)
        assert suspects.ending_count(DIGEST) == 1
        await asyncio.sleep(1.0)
        assert suspects.ending_count(DIGEST) == 0

    asyncio.run(body())


# Guards against this failure: while answers of an upstream broke off again and
# again, its end was not looked for any more.
def test_end_is_noticed_beside_earlier_broken_answers(monkeypatch):
    monkeypatch.setattr(crash_evidence, "BROKEN_PROBE_INTERVAL_S", 0.2)

    async def answer(upstream):
        return True

    async def body():
        loop = asyncio.get_running_loop()
        suspects = crash_suspects.CrashSuspects()
        server = await asyncio.start_server(
            lambda reader, writer: None, "127.0.0.1"
        )
        upstream = new_upstream(server.sockets[0].getsockname()[1])
        evidence = crash_evidence.CrashEvidence(
            suspects, lambda: {"i-1": upstream}, loop.time, answer
        )
        evidence.note_broken(upstream, b"e" * 32)
        await asyncio.sleep(0.1)
        server.close()
        await server.wait_closed()
        evidence.note_broken(upstream, DIGEST)
        await asyncio.sleep(1.0)
        assert suspects.ending_count(DIGEST) == 1

    asyncio.run(body())
