"""Retries what may fail for a moment while a daemon starts.

The settings file may be rewritten at that moment. A daemon that ended then
would take part in nothing until it is started again.
"""

import asyncio
import pathlib

from sardinehill import errors
from sardinehill.platform import settings as settings_module

RETRY_INTERVAL_S = 0.1
# Settings that stay invalid for this long are refused.
SETTINGS_WAIT_S = 3.0


async def read_settings(path: pathlib.Path) -> settings_module.HostSettings:
    """Reads the settings file, again while it is incomplete.

    Raises:
      SettingsErrors: the settings are still invalid after `SETTINGS_WAIT_S`.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + SETTINGS_WAIT_S
    while True:
        try:
            return settings_module.read(path)
        except errors.SettingsErrors:
            if loop.time() >= end_s:
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)
