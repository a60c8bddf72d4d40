"""Tests of network partitions over real sockets with a proxy on each link."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import pathlib
import time

from sardinehill.adapters import platform
from sardinehill.core import account_keys
from sardinehill.core import fleet
from sardinehill.core import membership
from sardinehill.daemon import fleet_view
from sardinehill.daemon import peer_bus
from sardinehill.daemon import replication
from standins import fault_proxy
from standins import journal
from standins import serving
from standins import store as store_module

NAMES = ("a", "b", "c", "d", "e")
SECRET = "peer-secret-of-the-test"
ANY_PORT = fleet.Address("127.0.0.1", 0)
CONDITION_TIMEOUT_S = 30.0
# Longer than raising alarms and removing a member takes.
OBSERVATION_TIME_S = 7.0


class MembershipNode:
    """A daemon with membership and replication, but without callers."""

    def __init__(self, name: str, store_url: str) -> None:
        self.name = name
        self.routes: dict[str, fleet.Address] = {}
        settings = fleet.HostSettings(
            name, "z", "r", ANY_PORT, ANY_PORT, ANY_PORT, store_url, (), (), ""
        )
        self.view = fleet_view.FleetView(
            settings, account_keys.KeyRing("hash-secret")
        )
        self.client = platform.PlatformClient(store_url)
        self.bus = peer_bus.PeerBus(name, self.routes.get, (SECRET,))
        self.replication = replication.Replication(
            self.client, self.view, self.bus
        )

    @property
    def members(self) -> membership.MemberList:
        """Returns the newest member list that this daemon knows."""
        return self.replication.protocol.members

    async def close(self) -> None:
        """Ends the daemon's tasks and connections."""
        await self.replication.close()
        await self.bus.close()
        await self.client.close()


class ProxiedNetwork:
    """Nodes with a proxy for each ordered pair of them."""

    def __init__(self, nodes: dict[str, MembershipNode]) -> None:
        self.nodes = nodes
        self.proxies: dict[tuple[str, str], fault_proxy.FaultProxy] = {}

    def set_link_cut(
        self, sender: str, receiver: str, is_cut: bool = True
    ) -> None:
        """Starts or stops dropping all bytes from one node to another."""
        self.proxies[sender, receiver].faults.cut_to_target = is_cut
        self.proxies[receiver, sender].faults.cut_to_client = is_cut

    def member_list_versions(self) -> set[int]:
        """Returns the versions of the member lists that the nodes know."""
        return {node.members.version for node in self.nodes.values()}

    def all_nodes_list_each_other(self) -> bool:
        """Returns whether the member list of every node contains all nodes."""
        return all(
            sorted(node.members.by_name) == sorted(self.nodes)
            for node in self.nodes.values()
        )


@contextlib.asynccontextmanager
async def _running(directory: pathlib.Path) -> AsyncIterator[ProxiedNetwork]:
    async with contextlib.AsyncExitStack() as stack:
        store = store_module.StoreServer(
            journal.Journal(str(directory / "store"), "store")
        )
        runner = serving.make_runner(store_module.make_application(store))
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        server = await asyncio.get_running_loop().create_server(
            runner.server, "127.0.0.1", 0
        )
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        net = ProxiedNetwork(
            {
                name: MembershipNode(name, f"http://127.0.0.1:{port}")
                for name in NAMES
            }
        )
        for node in net.nodes.values():
            await _start(net, node, stack)
        await _wait_until(net.all_nodes_list_each_other)
        yield net


async def _start(
    net: ProxiedNetwork, node: MembershipNode, stack: contextlib.AsyncExitStack
) -> None:
    address = await node.bus.listen(ANY_PORT)
    for sender in net.nodes.values():
        proxy = fault_proxy.FaultProxy(address.ip, address.port)
        server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        net.proxies[sender.name, node.name] = proxy
        sender.routes[node.name] = fleet.Address("127.0.0.1", port)
    node.replication.start(
        fleet.DaemonHost(node.name, address, "z", "r", time.time_ns())
    )
    stack.push_async_callback(node.close)


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(CONDITION_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110 - no single event
            await asyncio.sleep(0.1)


def _run(
    directory: pathlib.Path,
    scenario: Callable[[ProxiedNetwork], Awaitable[None]],
) -> None:
    async def run() -> None:
        async with _running(directory) as net:
            await scenario(net)

    asyncio.run(run())


def test_a_one_way_cut_removes_no_member_and_replication_continues(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(net: ProxiedNetwork) -> None:
        net.set_link_cut("a", "b")
        before = net.member_list_versions()
        await asyncio.sleep(OBSERVATION_TIME_S)
        assert net.member_list_versions() == before
        client = net.nodes["a"].client
        value = {"zones_out": ["z9"], "hosts_out": []}
        await client.put("placement", "fleet", value, 0)
        await _wait_until(
            lambda: all(
                node.view.exclusions.zones_out == {"z9"}
                for node in net.nodes.values()
            )
        )

    _run(tmp_path, scenario)


def test_an_isolated_node_is_removed_and_rejoins_after_the_cut_heals(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(net: ProxiedNetwork) -> None:
        others = [name for name in NAMES if name != "c"]
        for other in others:
            net.set_link_cut("c", other)
            net.set_link_cut(other, "c")
        await _wait_until(
            lambda: all(
                "c" not in net.nodes[other].members.by_name for other in others
            )
        )
        # A node that reaches only the store and no peer reads the store itself.
        client = net.nodes["a"].client
        value = {"zones_out": ["z9"], "hosts_out": []}
        await client.put("placement", "fleet", value, 0)
        await _wait_until(
            lambda: net.nodes["c"].view.exclusions.zones_out == {"z9"}
        )
        for other in others:
            net.set_link_cut("c", other, is_cut=False)
            net.set_link_cut(other, "c", is_cut=False)
        await _wait_until(net.all_nodes_list_each_other)

    _run(tmp_path, scenario)
