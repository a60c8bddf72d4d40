"""Tests of the memory that many callers take of a daemon's process."""

import asyncio
import pathlib
import resource

import pytest

from tests.common import platform_fleet

CALLERS_COUNT = 3000
BODY_BYTES = 60_000
MEMORY_MB = 200
CONNECTING_COUNT = 50
SENDING_S = 4.0
HEAD = (
    b"POST /view/a HTTP/1.1\r\nHost: linen.example\r\n"
    b"X-Credential: key-of-trattoria\r\nContent-Length: 65000\r\n\r\n"
)
# Shorter than the limit on a head.
UNFINISHED_HEAD = b"GET /view/a HTTP/1.1\r\nHost: linen.example\r\n" + b"".join(
    b"a%d: b\r\n" % number for number in range(1300)
)


@pytest.fixture
def many_descriptors():
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert before[1] >= 2 * CALLERS_COUNT
    resource.setrlimit(resource.RLIMIT_NOFILE, (before[1], before[1]))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, before)


@pytest.fixture
def fleet(tmp_path, many_descriptors):
    fleet = platform_fleet.PlatformFleet(tmp_path, daemons=1, upstreams=1)
    try:
        fleet.run(fleet.wait_until_served(fleet.daemons[0]))
        yield fleet
    finally:
        fleet.close()


async def connect_callers(daemon):
    callers = []
    for _ in range(CALLERS_COUNT // CONNECTING_COUNT):
        callers += await asyncio.gather(
            *(
                asyncio.open_connection(
                    platform_fleet.HOST, daemon.callers_port
                )
                for _ in range(CONNECTING_COUNT)
            )
        )
    return callers


def peak_memory_mb(daemon):
    status = pathlib.Path(f"/proc/{daemon.process.pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


# Guards against this failure: each of many callers sent a part of a body that
# was too small to be counted, and the daemon exceeded its memory.
def test_small_bodies_of_many_callers_stay_within_the_memory(fleet):
    async def scenario():
        daemon = fleet.daemons[0]
        await daemon.kill()
        with daemon.settings.open("a") as settings:
            settings.write(f"limits.memoryMb={MEMORY_MB}\n")
        await daemon.start()
        await fleet.wait_until_served(daemon)
        callers = await connect_callers(daemon)
        for _, writer in callers:
            writer.write(HEAD + bytes(BODY_BYTES))
        await asyncio.sleep(SENDING_S)
        assert peak_memory_mb(daemon) < MEMORY_MB
        for _, writer in callers:
            writer.transport.abort()
        await fleet.wait_until_served(daemon)

    fleet.run(scenario())


# Guards against this failure: each of many callers sent a head of many short
# fields, which take twenty times their bytes, and the daemon exceeded its
# memory.
def test_heads_of_many_callers_stay_within_the_memory(fleet):
    async def scenario():
        daemon = fleet.daemons[0]
        callers = await connect_callers(daemon)
        for _, writer in callers:
            writer.write(UNFINISHED_HEAD)
        await asyncio.sleep(SENDING_S)
        assert peak_memory_mb(daemon) < MEMORY_MB
        for _, writer in callers:
            writer.transport.abort()
        await fleet.wait_until_served(daemon)

    fleet.run(scenario())
