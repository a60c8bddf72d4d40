"""Runs the front daemon behind a network that a test can cut.

All daemons of a test run on one address, so a firewall could not tell their
connections apart. This launcher stands for the part of the network that a
gate (`upstream_gates`) cannot show: connections to upstreams that are refused
or never opened. Others lead to the daemon's own gate. Connections to addresses
without a gate are left as they are.

The file named by `SARDINEHILL_NETWORK` is read at each new connection. It is
JSON: `cut` is null, "hang", "reset" or "refuse", and `gates` maps addresses to
ports of gates, or of fault proxies (`proxied_network`).
"""

import asyncio
import errno
import json
import os
import pathlib
import sys
from typing import Any

from sardinehill.front import __main__ as front_main

uvloop = front_main.uvloop


class CutOffLoop(uvloop.Loop):  # type: ignore[misc]
    """An event loop whose connections to gates obey the test."""

    async def create_connection(
        self,
        protocol_factory: Any,
        host: str | None = None,
        port: int | None = None,
        **arguments: Any,
    ) -> Any:
        """Opens a connection, to the gate if the address has one.

        Raises:
          ConnectionRefusedError: the address refuses connections now.
        """
        network = _read_network()
        gate_port = network["gates"].get(f"{host}:{port}")
        if gate_port is not None:
            port = gate_port
            if network["cut"] == "hang":
                await asyncio.Event().wait()
            if network["cut"] is not None:
                raise ConnectionRefusedError(errno.ECONNREFUSED, "cut off")
        return await super().create_connection(
            protocol_factory, host, port, **arguments
        )


def _read_network() -> dict[str, Any]:
    path = pathlib.Path(os.environ["SARDINEHILL_NETWORK"])
    network: dict[str, Any] = json.loads(path.read_text())
    return network


if __name__ == "__main__":
    uvloop.new_event_loop = CutOffLoop
    sys.exit(front_main.main())
