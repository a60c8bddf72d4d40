"""Tests of the store's client across a restore from an earlier copy."""

import asyncio
import itertools
import socket
import tracemalloc

from aiohttp import test_utils
import pytest

from sardinehill import http1
from sardinehill import tcp_options
from sardinehill.core import store_versions
from sardinehill.platform import store as store_module
from standins import users_platform_store

KIND = "servers"


def run(scenario):
    async def body():
        store = users_platform_store.UsersPlatformStore()
        async with test_utils.TestServer(store.application()) as server:
            client = store_module.StoreClient(f"{server.host}:{server.port}")
            try:
                await scenario(store, client)
            finally:
                client.close()

    asyncio.run(body())


async def names_listed(client):
    objects, _ = await client.list_objects(KIND)
    return [item.name for item in objects]


def test_versions_name_the_era_of_the_answer():
    async def scenario(store, client):
        _, version = await client.list_objects(KIND)
        assert version == store_versions.StoreVersion(1, store.revision)
        await store.restore(store.take_copy())
        _, version = await client.list_objects(KIND)
        assert version == store_versions.StoreVersion(2, store.revision)
        assert client.era == 2

    run(scenario)


def test_watch_does_not_go_on_over_a_restore_that_its_revision_survives():
    async def scenario(store, client):
        copy = store.take_copy()
        await store.put(KIND, "lost", spec=None)
        _, version = await client.list_objects(KIND)
        await store.restore(copy)
        await store.put(KIND, "missed", spec=None)
        await store.put(KIND, "seen", spec=None)
        assert store.revision > version.revision
        with pytest.raises(store_module.WatchHistoryExpiredError):
            await anext(client.watch(KIND, version))

    run(scenario)


def test_pending_watch_ends_with_the_first_change_after_a_restore():
    async def scenario(store, client):
        _, version = await client.list_objects(KIND)
        change = asyncio.ensure_future(anext(client.watch(KIND, version)))
        await asyncio.sleep(0.05)
        await store.restore(store.take_copy())
        await store.put(KIND, "seen", spec=None)
        with pytest.raises(store_module.WatchHistoryExpiredError):
            await change

    run(scenario)


def test_list_has_no_pages_of_an_earlier_era():
    async def scenario(store, client):
        store.page_size = 2
        for name in "abc":
            await store.put(KIND, name, spec=None)
        copy = store.take_copy()
        await store.put(KIND, "aa", spec=None)
        call = client._call

        async def restore_after_the_first_page(*arguments, **options):
            reply = await call(*arguments, **options)
            if store.era == 1:
                await store.restore(copy)
            return reply

        client._call = restore_after_the_first_page
        assert await names_listed(client) == ["a", "b", "c"]

    run(scenario)


@pytest.mark.parametrize("era", ["", "x", "-1", "9" * 5000])
def test_malformed_era_counts_as_missing(era):
    async def scenario(store, client):
        store.era = era
        _, version = await client.list_objects(KIND)
        assert version.era == 0

    run(scenario)


@pytest.mark.parametrize("name", ["", "a\r\nx-credential: b", "\ud800", "\xe9"])
def test_object_with_an_odd_name_is_left_out_of_lists_and_watches(name):
    async def scenario(store, client):
        await store.put(KIND, "a", spec=None)
        _, version = await client.list_objects(KIND)
        await store.put(KIND, name, spec=None)
        await store.put(KIND, "z", spec=None)
        assert await names_listed(client) == ["a", "z"]
        changes, _ = await anext(client.watch(KIND, version))
        assert [change.object.name for change in changes] == ["z"]

    run(scenario)


def test_list_goes_on_after_a_page_of_objects_with_odd_names():
    async def scenario(store, client):
        store.page_size = 2
        for name in ("a", "b\r", "b\n", "c\r", "d", "e"):
            await store.put(KIND, name, spec=None)
        async with asyncio.timeout(5.0):
            assert await names_listed(client) == ["a", "d", "e"]

    run(scenario)


def unanswered_probes_that_end(sock):
    """Returns how many lost keepalive probes end an idle connection.

    Linux compares the time since the last answer with the user timeout
    whenever a probe is due after an unanswered one.
    """

    def option(name):
        return sock.getsockopt(socket.IPPROTO_TCP, name)

    idle_s = option(socket.TCP_KEEPIDLE)
    interval_s = option(socket.TCP_KEEPINTVL)
    timeout_ms = option(socket.TCP_USER_TIMEOUT)
    return next(
        lost
        for lost in itertools.count(1)
        if (idle_s + lost * interval_s) * 1000 >= timeout_ms
    )


def test_one_lost_keepalive_probe_does_not_end_an_idle_watch(monkeypatch):
    connections = []
    connect = http1.connect

    async def recording_connect(*arguments, **options):
        connection = await connect(*arguments, **options)
        connections.append(connection)
        return connection

    monkeypatch.setattr(http1, "connect", recording_connect)

    async def scenario(store, client):
        await client.list_objects(KIND)
        (connection,) = connections
        sock = connection._transport.get_extra_info("socket")
        assert (
            unanswered_probes_that_end(sock)
            == tcp_options.KEEPALIVE_PROBE_COUNT
        )

    run(scenario)


# An entry of 1 MB that takes some twenty times as much when it is decoded.
LARGE_ENTRY = {
    "address": "127.0.3.1:80",
    "info": {"service": "s", "zone": "z", "slots": [[]] * 330_000},
}
LARGE_ENTRIES = 6
DECODED_ENTRY_BYTES = 20 * 1024 * 1024


# Guards against this failure: entries that name no upstream were kept decoded,
# whatever their size. Fourteen of 1 MB ended every daemon, and again each time
# that it had started.
def test_large_odd_entries_take_little_memory_once_they_are_listed():
    async def scenario(store, client):
        for number in range(LARGE_ENTRIES):
            await store.put(KIND, f"odd-{number}", spec=LARGE_ENTRY)
        tracemalloc.start()
        try:
            objects, _ = await client.list_objects(KIND)
            retained_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert len(objects) == LARGE_ENTRIES
        assert retained_bytes < DECODED_ENTRY_BYTES

    run(scenario)


# Values of nearly 1 MB whose decoding takes many times that, or took it.
LARGE_VALUES = {
    "unreadable": b'"%b\xf0\x9f\x98\x80"' % (b"\xfe" * 1_040_000),
    "objects": b"[%b0]" % (b'{"":[]},' * 130_000),
    "deep": b"%b%b" % (b"[" * 520_000, b"]" * 520_000),
}
# The bytes themselves are held several times, also by the stand-in.
MAX_PEAK_BYTES = 16 * 1024 * 1024


# Guards against this failure: one unreadable entry of 1 MB took 125 MB while it
# was decoded, which ended each daemon of 160 MB that read it.
@pytest.mark.parametrize("name", LARGE_VALUES)
def test_reading_an_odd_entry_takes_little_memory(name):
    async def scenario(store, client):
        store.raw_values["RAW"] = LARGE_VALUES[name]
        await store.put(KIND, "sound", spec=None)
        _, version = await client.list_objects(KIND)
        await store.put(KIND, "odd", spec={"address": "RAW", "odd": "RAW"})
        await store.put(KIND, "zound", spec=None)
        tracemalloc.start()
        try:
            assert await names_listed(client) == ["odd", "sound", "zound"]
            changes, _ = await anext(client.watch(KIND, version))
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert [change.object.name for change in changes] == ["odd", "zound"]
        assert peak_bytes < MAX_PEAK_BYTES

    run(scenario)


def test_list_goes_on_after_a_page_that_ends_with_an_odd_object():
    async def scenario(store, client):
        store.page_size = 2
        for name in ("a", "b" * 20_000, "c", "d"):
            await store.put(KIND, name, spec=LARGE_ENTRY)
        assert await names_listed(client) == ["a", "c", "d"]

    run(scenario)


def test_changes_that_are_too_large_to_decode_at_once_are_listed_instead():
    async def scenario(store, client):
        _, version = await client.list_objects(KIND)
        for number in range(LARGE_ENTRIES):
            await store.put(KIND, f"odd-{number}", spec=LARGE_ENTRY)
        with pytest.raises(store_module.WatchHistoryExpiredError):
            await anext(client.watch(KIND, version))

    run(scenario)
