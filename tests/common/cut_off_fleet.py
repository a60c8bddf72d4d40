"""Runs daemons that a test can cut off from all upstreams."""

import json
import os
import pathlib

from aiohttp import web

from tests.common import platform_fleet
from tests.common import upstream_gates

LEASES = "sardinehill-leases"


class CutOffFleet(platform_fleet.PlatformFleet):
    """A fleet whose daemons reach each upstream through a gate of their own."""

    def __init__(
        self,
        directory: pathlib.Path,
        daemons: int = 3,
        zones: tuple[str, ...] = ("pa-1",),
    ):
        self._gates: dict[str, dict[str, upstream_gates.UpstreamGate]] = {}
        self._cuts: dict[str, str] = {}
        super().__init__(directory, daemons, zones=zones)

    async def _start(self, upstreams: int) -> None:
        for daemon in self.daemons:
            daemon.module = "tests.common.cut_off_daemon"
            daemon.environment["SARDINEHILL_NETWORK"] = str(
                self._network_path(daemon)
            )
            self._gates[daemon.name] = {}
        await super()._start(upstreams)

    async def _serve(
        self, name: str, application: web.Application, port: int
    ) -> None:
        await super()._serve(name, application, port)
        if name == "store":
            return
        for daemon in self.daemons:
            gate = upstream_gates.UpstreamGate(port)
            await gate.open(platform_fleet.free_ports(1)[0])
            gate.set_cut(self._cuts.get(daemon.name))
            self._gates[daemon.name][f"{platform_fleet.HOST}:{port}"] = gate
            self._write_network(daemon)

    async def stop_upstream(self, name: str) -> None:
        """Stops an upstream; its port and its gates refuse connections."""
        for gates in self._gates.values():
            gates[self.addresses[name]].close()
        await super().stop_upstream(name)

    def leader(self) -> platform_fleet.DaemonProcess:
        """Returns the daemon that holds the lease in the store."""
        holder = self.store.spec(LEASES, "leader")["holder"]
        return next(daemon for daemon in self.daemons if daemon.name == holder)

    def followers(self) -> list[platform_fleet.DaemonProcess]:
        """Returns the daemons that do not hold the lease."""
        leader = self.leader()
        return [daemon for daemon in self.daemons if daemon is not leader]

    def cut_off(self, *daemons: platform_fleet.DaemonProcess, cut: str) -> None:
        """Cuts daemons off from all upstreams.

        Args:
          daemons: those to cut off.
          cut: `HANG`, `RESET` or `REFUSE` of `upstream_gates`.
        """
        for daemon in daemons:
            self._cuts[daemon.name] = cut
            self._apply_cut(daemon, cut)

    def reconnect(self, *daemons: platform_fleet.DaemonProcess) -> None:
        """Ends the cut of daemons."""
        for daemon in daemons:
            self._cuts.pop(daemon.name, None)
            self._apply_cut(daemon, None)

    def senders_of(self, request_id: str) -> list[platform_fleet.DaemonProcess]:
        """Returns the daemons that have sent a request to an upstream."""
        pattern = f": {request_id}\r\n".encode()
        return [
            daemon
            for daemon in self.daemons
            if any(
                pattern in gate.relayed
                for gate in self._gates[daemon.name].values()
            )
        ]

    def _apply_cut(
        self, daemon: platform_fleet.DaemonProcess, cut: str | None
    ) -> None:
        self._write_network(daemon)
        for gate in self._gates[daemon.name].values():
            gate.set_cut(cut)

    def _network_path(
        self, daemon: platform_fleet.DaemonProcess
    ) -> pathlib.Path:
        return self.directory / f"{daemon.name}.network"

    def _write_network(self, daemon: platform_fleet.DaemonProcess) -> None:
        network = {
            "cut": self._cuts.get(daemon.name),
            "gates": {
                address: gate.port
                for address, gate in self._gates[daemon.name].items()
            },
        }
        path = self._network_path(daemon)
        written = path.with_suffix(".written")
        written.write_text(json.dumps(network))
        os.replace(written, path)

    async def _close(self) -> None:
        for gates in self._gates.values():
            for gate in gates.values():
                gate.close()
        await super()._close()
