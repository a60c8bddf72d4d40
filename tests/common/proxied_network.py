"""Leads all connections of daemons through fault proxies.

Each daemon has a fault proxy (`standins/fault_proxy`) of its own for each
address, so that a test can cut any one daemon off from any other, from the
store or from any upstream. Daemons learn addresses from the store and from
their peers' frames, so the launcher `cut_off_daemon` leads their connections to
the proxies, whichever way the address was learnt.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import json
import os
import pathlib

from standins import fault_proxy
from tests.common import platform_fleet

# Bytes vanish in both directions; connections can still be opened.
DROP = "drop"
# Only what the daemon receives vanishes; what it sends arrives.
LOSE_REPLIES = "lose-replies"
# Connections are reset, and so are new ones.
REFUSE = "refuse"
KINDS = (DROP, LOSE_REPLIES, REFUSE)


def _make_faults(kind: str) -> fault_proxy.ProxyFaults:
    return fault_proxy.ProxyFaults(
        refuse=kind == REFUSE,
        cut_to_target=kind == DROP,
        cut_to_client=kind in (DROP, LOSE_REPLIES),
    )


class ProxiedNetwork:
    """The proxies between daemons and the addresses that they connect to."""

    def __init__(
        self,
        daemons: Sequence[platform_fleet.DaemonProcess],
        directory: pathlib.Path,
    ):
        self._directory = directory
        self._daemons = {daemon.name: daemon for daemon in daemons}
        # By daemon, then by address.
        self._proxies: dict[str, dict[str, fault_proxy.FaultProxy]] = {
            name: {} for name in self._daemons
        }
        self._ports: dict[str, dict[str, int]] = {
            name: {} for name in self._daemons
        }
        self._servers: list[asyncio.Server] = []

    async def open(self) -> None:
        """Makes the daemons use the proxies, and opens those between them."""
        for daemon in self._daemons.values():
            daemon.module = "tests.common.cut_off_daemon"
            daemon.environment["SARDINEHILL_NETWORK"] = str(
                self._routes_path(daemon.name)
            )
        for daemon in self._daemons.values():
            await self.add_target(peer_address(daemon))

    async def add_target(self, address: str) -> None:
        """Opens a proxy to an address for each daemon, unless there is one."""
        host, _, port = address.rpartition(":")
        for name, proxies in self._proxies.items():
            if address in proxies:
                continue
            proxy = fault_proxy.FaultProxy(host, int(port))
            server = await asyncio.start_server(
                proxy.serve, platform_fleet.HOST, 0
            )
            self._servers.append(server)
            proxies[address] = proxy
            self._ports[name][address] = server.sockets[0].getsockname()[1]
            self._write_routes(name)

    def cut(self, daemon: str, addresses: Iterable[str], kind: str) -> None:
        """Cuts a daemon off from addresses.

        Args:
          daemon: the daemon's name.
          addresses: what it does not reach any more.
          kind: `DROP`, `LOSE_REPLIES` or `REFUSE`.
        """
        for address in addresses:
            proxy = self._proxies[daemon][address]
            proxy.faults = _make_faults(kind)
            if kind == REFUSE:
                proxy.reset_all()

    def cut_between(
        self, daemons: Iterable[str], others: Iterable[str], kind: str
    ) -> None:
        """Cuts each of some daemons off from each of the others, both ways."""
        others = list(others)
        for daemon in daemons:
            self.cut(daemon, self.addresses_of(others), kind)
            for other in others:
                self.cut(other, self.addresses_of([daemon]), kind)

    def addresses_of(self, daemons: Iterable[str]) -> list[str]:
        """Returns where peers connect to daemons."""
        return [peer_address(self._daemons[name]) for name in daemons]

    def is_connected(self, daemon: str, address: str) -> bool:
        """Returns whether a daemon's proxy to an address has a connection."""
        return bool(self._proxies[daemon][address].open_writers)

    def heal(self) -> None:
        """Ends all cuts.

        Connections that lost bytes are reset: they do not continue with a gap.
        """
        for proxies in self._proxies.values():
            for proxy in proxies.values():
                if proxy.faults != fault_proxy.ProxyFaults():
                    proxy.faults = fault_proxy.ProxyFaults()
                    proxy.reset_all()

    def close(self) -> None:
        """Ends all proxies and their connections."""
        for server in self._servers:
            server.close()
        for proxies in self._proxies.values():
            for proxy in proxies.values():
                proxy.reset_all()

    def _routes_path(self, name: str) -> pathlib.Path:
        return self._directory / f"{name}.network"

    def _write_routes(self, name: str) -> None:
        path = self._routes_path(name)
        written = path.with_suffix(".written")
        written.write_text(
            json.dumps({"cut": None, "gates": self._ports[name]})
        )
        os.replace(written, path)


def peer_address(daemon: platform_fleet.DaemonProcess) -> str:
    """Returns where a daemon's peers connect to it."""
    return f"{platform_fleet.HOST}:{daemon.peer_port}"
