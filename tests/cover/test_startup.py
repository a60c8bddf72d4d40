"""Tests of what a daemon reads while it starts."""

import asyncio

from sardinehill.front import startup

SETTINGS = """nodeName=front-pa-1-1
ip=10.1.0.5
zone=pa-1
listen.front=10.1.0.5:8405
listen.ready=10.1.0.5:8406
internalPorts=7660,7675
platformApi.address=10.200.1.7:8408
"""


# Guards against this failure: a daemon started while the last line of its
# settings was being written, took the first digits of the store's port for the
# port, and never became ready.
def test_value_of_which_a_part_is_written_is_not_used(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(SETTINGS.removesuffix("08\n"))

    async def scenario():
        reading = asyncio.ensure_future(startup.read_settings(path))
        await asyncio.sleep(startup.RETRY_INTERVAL_S / 2)
        path.write_text(SETTINGS)
        return await reading

    assert asyncio.run(scenario()).store_address == "10.200.1.7:8408"


def test_settings_without_a_last_line_break_are_used_once_they_stay(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(SETTINGS.removesuffix("\n"))
    settings = asyncio.run(startup.read_settings(path))
    assert settings.store_address == "10.200.1.7:8408"
