"""Retries what may fail for a moment while a daemon starts.

The settings file may be rewritten at that moment, and an address may still
belong to the process before, or to nobody yet. A daemon that ended then would
take part in nothing until it is started again.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib

from sardinehill import errors
from sardinehill import events
from sardinehill.platform import settings as settings_module

RETRY_INTERVAL_S = 0.1
# Settings that stay invalid for this long are refused.
SETTINGS_WAIT_S = 3.0
REPORT_INTERVAL_S = 5.0

Listen = Callable[[str, int], Awaitable[asyncio.Server]]


async def read_settings(path: pathlib.Path) -> settings_module.HostSettings:
    """Reads the settings file, again while it is incomplete.

    If its last line has no end, it may still be being written. It is used once
    it has stayed the same for `RETRY_INTERVAL_S`.

    Raises:
      SettingsErrors: the settings are still invalid after `SETTINGS_WAIT_S`.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + SETTINGS_WAIT_S
    previous_text: str | None = None
    while True:
        try:
            text = settings_module.read_text(path)
            settings = settings_module.parse(str(path), text)
            if text.endswith("\n") or text == previous_text:
                return settings
            previous_text = text
        except errors.SettingsErrors:
            if loop.time() >= end_s:
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)


async def listen(name: str, address: str, listen_on: Listen) -> asyncio.Server:
    """Listens on an address, as soon as that is possible.

    Args:
      name: what listens there, for logs.
      address: an IP address and a port, joined by a colon.
      listen_on: binds a host and a port.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    began_s = loop.time()
    report_s = began_s
    while True:
        try:
            return await listen_on(host, int(port))
        except OSError as error:
            now_s = loop.time()
            if now_s >= report_s:
                report_s = now_s + REPORT_INTERVAL_S
                events.log(
                    events.ADDRESS_UNAVAILABLE,
                    listener=name,
                    address=address,
                    waited_s=round(now_s - began_s, 3),
                    error=str(error),
                )
        await asyncio.sleep(RETRY_INTERVAL_S)
