"""Claims about cut links, over real sockets with a proxy on each of them."""

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
from sardinehill.daemon import news
from sardinehill.daemon import peers
from sardinehill.daemon import view
from standins import fault_proxy
from standins import journal
from standins import serving
from standins import store as store_module

NAMES = ("a", "b", "c", "d", "e")
SECRET = "peer-secret-of-the-test"
ANY_PORT = fleet.Address("127.0.0.1", 0)
LIMIT_S = 30.0
# Longer than it takes to raise alarms and to write a removal.
LONG_S = 7.0


class Node:
    """A daemon's part in membership and news, without callers."""

    def __init__(self, name: str, store_url: str) -> None:
        self.name = name
        self.routes: dict[str, fleet.Address] = {}
        settings = fleet.HostSettings(
            name, "z", "r", ANY_PORT, ANY_PORT, ANY_PORT, store_url, (), (), ""
        )
        self.view = view.View(settings, account_keys.KeyRing("hash-secret"))
        self.client = platform.PlatformClient(store_url)
        self.bus = peers.PeerBus(name, self.routes.get, (SECRET,))
        self.news = news.News(self.client, self.view, self.bus)

    @property
    def members(self) -> membership.MemberList:
        """The member list that this daemon knows."""
        return self.news.member.members

    async def close(self) -> None:
        """Ends its loops and connections."""
        await self.news.close()
        await self.bus.close()
        await self.client.close()


class Net:
    """Nodes, and for each ordered pair of them a proxy."""

    def __init__(self, nodes: dict[str, Node]) -> None:
        self.nodes = nodes
        self.proxies: dict[tuple[str, str], fault_proxy.Proxy] = {}

    def cut(self, sender: str, receiver: str, is_cut: bool = True) -> None:
        """Loses all bytes from one node to another, or none again."""
        self.proxies[sender, receiver].faults.cut_to_target = is_cut
        self.proxies[receiver, sender].faults.cut_to_client = is_cut

    def versions(self) -> set[int]:
        """Returns the versions of the member list that nodes know."""
        return {node.members.version for node in self.nodes.values()}

    def all_listed(self) -> bool:
        """Whether every node has a list of all nodes."""
        return all(
            sorted(node.members.by_name) == sorted(self.nodes)
            for node in self.nodes.values()
        )


@contextlib.asynccontextmanager
async def _running(directory: pathlib.Path) -> AsyncIterator[Net]:
    async with contextlib.AsyncExitStack() as stack:
        store = store_module.Store(
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
        net = Net({n: Node(n, f"http://127.0.0.1:{port}") for n in NAMES})
        for node in net.nodes.values():
            await _start(net, node, stack)
        await _until(net.all_listed)
        yield net


async def _start(
    net: Net, node: Node, stack: contextlib.AsyncExitStack
) -> None:
    address = await node.bus.listen(ANY_PORT)
    for sender in net.nodes.values():
        proxy = fault_proxy.Proxy(address.ip, address.port)
        server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        net.proxies[sender.name, node.name] = proxy
        sender.routes[node.name] = fleet.Address("127.0.0.1", port)
    node.news.start(
        fleet.DaemonHost(node.name, address, "z", "r", time.time_ns())
    )
    stack.push_async_callback(node.close)


async def _until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not holds():  # noqa: ASYNC110 - many parts change what is read
            await asyncio.sleep(0.1)


def _run(
    directory: pathlib.Path, story: Callable[[Net], Awaitable[None]]
) -> None:
    async def run() -> None:
        async with _running(directory) as net:
            await story(net)

    asyncio.run(run())


def test_one_cut_direction_removes_nobody_and_stops_no_news(
    tmp_path: pathlib.Path,
) -> None:
    async def story(net: Net) -> None:
        net.cut("a", "b")
        before = net.versions()
        await asyncio.sleep(LONG_S)
        assert net.versions() == before
        client = net.nodes["a"].client
        value = {"zones_out": ["z9"], "hosts_out": []}
        await client.put("placement", "fleet", value, 0)
        await _until(
            lambda: all(
                node.view.taken_out.zones_out == {"z9"}
                for node in net.nodes.values()
            )
        )

    _run(tmp_path, story)


def test_a_node_cut_off_leaves_the_list_and_returns_when_healed(
    tmp_path: pathlib.Path,
) -> None:
    async def story(net: Net) -> None:
        others = [name for name in NAMES if name != "c"]
        for other in others:
            net.cut("c", other)
            net.cut(other, "c")
        await _until(
            lambda: all(
                "c" not in net.nodes[other].members.by_name for other in others
            )
        )
        # Cut off from its peers but not from the store, it reads for itself.
        client = net.nodes["a"].client
        value = {"zones_out": ["z9"], "hosts_out": []}
        await client.put("placement", "fleet", value, 0)
        await _until(lambda: net.nodes["c"].view.taken_out.zones_out == {"z9"})
        for other in others:
            net.cut("c", other, is_cut=False)
            net.cut(other, "c", is_cut=False)
        await _until(net.all_listed)

    _run(tmp_path, story)
