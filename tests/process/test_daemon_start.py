"""Tests of what may disturb the start of a daemon's process."""

import asyncio
import contextlib
import pathlib
import signal
import socket
import time

import pytest

from tests.common import platform_fleet

TEST_TIMEOUT_S = 20.0


@pytest.fixture
def fleet(tmp_path):
    fleet = platform_fleet.PlatformFleet(tmp_path, daemons=1, upstreams=1)
    try:
        fleet.run(fleet.wait_until_served(fleet.daemons[0]))
        fleet.run(fleet.daemons[0].kill())
        yield fleet
    finally:
        fleet.close()


def is_loaded(daemon, library):
    with contextlib.suppress(OSError):
        maps = pathlib.Path(f"/proc/{daemon.process.pid}/maps").read_text()
        return library in maps
    return False


def descriptor_target(daemon, descriptor):
    path = pathlib.Path(f"/proc/{daemon.process.pid}/fd/{descriptor}")
    return str(path.readlink())


async def wait_until(condition):
    end_s = time.monotonic() + TEST_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s
        await asyncio.sleep(0.001)


# Guards against this failure: a signal that the settings have changed reached a
# daemon during its start, before it handled signals, and ended its process.
def test_settings_signal_during_the_start_does_not_end_the_process(fleet):
    async def scenario():
        daemon = fleet.daemons[0]
        await daemon.start()
        await wait_until(lambda: is_loaded(daemon, "uvloop"))
        for _ in range(20):
            daemon.signal(signal.SIGHUP)
            await asyncio.sleep(0.01)
        await fleet.wait_until_served(daemon)
        assert daemon.process.returncode is None

    fleet.run(scenario())


# Guards against this failure: a daemon started while its settings file was
# being rewritten, took it for invalid and ended.
@pytest.mark.parametrize("kept_ratio", [0.0, 0.3])
def test_settings_that_are_being_rewritten_do_not_end_the_process(
    fleet, kept_ratio
):
    async def scenario():
        daemon = fleet.daemons[0]
        text = daemon.settings.read_text()
        daemon.settings.write_text(text[: int(len(text) * kept_ratio)])
        await daemon.start()
        await wait_until(lambda: is_loaded(daemon, "uvloop"))
        await asyncio.sleep(1.0)
        daemon.settings.write_text(text)
        await fleet.wait_until_served(daemon)
        assert daemon.process.returncode is None

    fleet.run(scenario())


# Guards against this failure: an address of a daemon still belonged to another
# process when it started, and its process ended.
@pytest.mark.parametrize("name", ["callers", "readiness", "peer"])
def test_address_that_is_taken_for_a_moment_does_not_end_the_process(
    fleet, name
):
    async def scenario():
        daemon = fleet.daemons[0]
        port = getattr(daemon, f"{name}_port")
        with socket.create_server((platform_fleet.HOST, port)):
            await daemon.start()
            await wait_until(lambda: daemon.events("address-unavailable"))
        await fleet.wait_until_served(daemon)
        assert daemon.process.returncode is None

    fleet.run(scenario())


# Guards against this failure: a daemon was started with its standard streams
# closed, and its process ended as it set up its log.
@pytest.mark.parametrize("closed", [(1,), (0, 1, 2)])
def test_closed_standard_streams_do_not_end_the_process(fleet, closed):
    async def scenario():
        daemon = fleet.daemons[0]
        await daemon.start(closed_streams=closed)
        await fleet.wait_until_served(daemon)
        assert daemon.process.returncode is None
        streams = [descriptor_target(daemon, stream) for stream in closed]
        assert streams == ["/dev/null"] * len(closed)

    fleet.run(scenario())


# Guards against this failure: a settings file began with a byte order mark, or
# had a byte that is not UTF-8 in a field that is not read; the process ended.
@pytest.mark.parametrize(
    ("before", "after"),
    [(b"\xef\xbb\xbf", b""), (b"", b"note=caff\xe8\n")],
    ids=["byte-order-mark", "byte-that-is-not-utf-8"],
)
def test_odd_bytes_in_the_settings_do_not_end_the_process(fleet, before, after):
    async def scenario():
        daemon = fleet.daemons[0]
        content = daemon.settings.read_bytes()
        daemon.settings.write_bytes(before + content + after)
        await daemon.start()
        await fleet.wait_until_served(daemon)
        assert daemon.process.returncode is None

    fleet.run(scenario())


def test_daemon_serves_callers_while_the_port_of_its_metrics_is_taken(fleet):
    async def scenario():
        daemon = fleet.daemons[0]
        with socket.create_server((platform_fleet.HOST, daemon.metrics_port)):
            await daemon.start()
            await fleet.wait_until_served(daemon)
        assert daemon.events("address-unavailable")

    fleet.run(scenario())


def test_daemon_that_waits_for_an_address_can_be_stopped(fleet):
    async def scenario():
        daemon = fleet.daemons[0]
        taken = (platform_fleet.HOST, daemon.callers_port)
        with socket.create_server(taken):
            await daemon.start()
            await wait_until(lambda: daemon.events("address-unavailable"))
            daemon.signal(signal.SIGTERM)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert await daemon.process.wait() == 0

    fleet.run(scenario())
