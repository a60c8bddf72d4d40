"""Runs a front daemon that is cut off from upstreams while a file exists.

The file is the settings file with the suffix `.cut`. Connections to upstreams
then hang, open ones too; the store, callers and peers are reached.
"""

import asyncio
import os
import pathlib
import sys

from sardinehill import http1
from sardinehill.front import __main__ as front_main

SETTINGS = pathlib.Path(os.environ["SARDINEHILL_SETTINGS"])
CUT = SETTINGS.with_suffix(".cut")
STORE_PORT = next(
    int(line.rpartition(":")[2])
    for line in SETTINGS.read_text().splitlines()
    if line.startswith("platformApi.address=")
)

_connect = http1.connect
_exchange = http1.Connection.exchange


def is_cut(port):
    return port != STORE_PORT and CUT.exists()


async def connect(address, timeout_s, *args, **options):
    if is_cut(int(address.rpartition(":")[2])):
        await asyncio.sleep(timeout_s)
        raise http1.ConnectionFailedError("cut", False) from TimeoutError()
    return await _connect(address, timeout_s, *args, **options)


async def exchange(self, *args, **options):
    _, port = self._transport.get_extra_info("peername") or ("", STORE_PORT)
    if is_cut(port):
        await asyncio.Event().wait()
    return await _exchange(self, *args, **options)


if __name__ == "__main__":
    http1.connect = connect
    http1.Connection.exchange = exchange
    sys.exit(front_main.main())
