"""Tests of a daemon whose callers keep many connections open."""

import asyncio
import resource

import pytest

from tests.common import platform_fleet

# The limit of the settings includes 200 for files.
MAX_DESCRIPTORS = 460
MAX_SOCKETS = 260
BURSTS = 8
CALLERS_PER_BURST = 50
# After this long without a request, a connection is no longer new.
PAUSE_S = 1.2


@pytest.fixture
def fleet(tmp_path):
    fleet = platform_fleet.PlatformFleet(tmp_path, daemons=1, upstreams=1)
    try:
        fleet.run(fleet.wait_until_served(fleet.daemons[0]))
        yield fleet
    finally:
        fleet.close()


# Guards against this failure: callers that kept idle connections took all
# descriptors of a daemon, which then accepted no connections, reached neither
# the store nor upstreams, and used a whole core.
def test_idle_connections_leave_descriptors_for_new_callers(fleet):
    async def scenario():
        daemon = fleet.daemons[0]
        await daemon.kill()
        with daemon.settings.open("a") as settings:
            settings.write(f"limits.maxFds={MAX_DESCRIPTORS}\n")
        await daemon.start()
        await fleet.wait_until_served(daemon)
        resource.prlimit(
            daemon.process.pid,
            resource.RLIMIT_NOFILE,
            (MAX_SOCKETS, MAX_SOCKETS),
        )
        writers = []
        for _ in range(BURSTS):
            for _ in range(CALLERS_PER_BURST):
                _, writer = await asyncio.open_connection(
                    platform_fleet.HOST, daemon.callers_port
                )
                writers.append(writer)
            await asyncio.sleep(PAUSE_S)
            reply = await fleet.send_request(daemon, "/stock/a")
            assert reply.status == 200
        for writer in writers:
            writer.transport.abort()
        assert not daemon.events("store-lost")

    fleet.run(scenario())
