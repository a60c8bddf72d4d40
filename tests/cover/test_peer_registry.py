"""Tests of the registrations of daemons across a restore of the store."""

import asyncio

from aiohttp import test_utils

from sardinehill.front import peer_registry
from sardinehill.platform import store as store_module
from standins import users_platform_store

KIND = peer_registry.DAEMONS_KIND


def run(scenario):
    async def body():
        store = users_platform_store.UsersPlatformStore()
        async with test_utils.TestServer(store.application()) as server:
            client = store_module.StoreClient(f"{server.host}:{server.port}")
            registry = peer_registry.PeerRegistry(
                "me", "127.0.0.1:1", 1.0, client
            )
            try:
                await scenario(store, registry)
            finally:
                client.close()

    asyncio.run(body())


def test_daemons_that_a_restored_store_has_lost_are_known_for_one_more_read():
    # A majority of too few daemons could confirm two leaders at once.
    async def scenario(store, registry):
        copy = store.take_copy()
        await store.put(KIND, "late", spec={"address": "127.0.0.1:2"})
        await registry.read_peers()
        await store.restore(copy)
        await registry.read_peers()
        assert set(registry.peer_addresses) == {"me", "late"}
        await registry.read_peers()
        assert set(registry.peer_addresses) == {"me"}

    run(scenario)


def test_daemon_registers_again_once_it_hears_of_a_restore_from_its_peers():
    async def scenario(store, registry):
        copy = store.take_copy()
        era = 1
        registering = asyncio.ensure_future(registry.register(lambda: era))
        await asyncio.sleep(0.1)
        assert store.spec(KIND, "me")
        await store.restore(copy)
        era = 2
        await asyncio.sleep(
            peer_registry.REGISTRATION_CHECK_INTERVAL_S
            + peer_registry.REGISTRATION_SPREAD_S
            + 0.2
        )
        assert store.spec(KIND, "me")
        registering.cancel()

    run(scenario)


def test_daemon_that_no_leader_heard_for_long_registers_again():
    # The next leader would count a majority of too few daemons.
    async def scenario(store, registry):
        registering = asyncio.ensure_future(registry.register(lambda: 1))
        await asyncio.sleep(0.1)
        await registry.remove_peers(["me"])
        assert not store.spec(KIND, "me")
        registry.note_absence()
        await asyncio.sleep(
            peer_registry.REGISTRATION_CHECK_INTERVAL_S
            + peer_registry.REGISTRATION_SPREAD_S
            + 0.2
        )
        assert store.spec(KIND, "me")
        registering.cancel()

    run(scenario)
