"""Tests membership and replication among daemons and a store."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import signal
import threading
import time
from typing import Any

import pytest

from bench import idle_fleet
from sardinehill import errors
from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.core import account_keys

DAEMON_COUNT = 5
RESTARTED_DAEMONS = (2, 3)
CONDITION_TIMEOUT_S = 40.0
# This event is never set. Waiting for it pauses between two checks of real
# processes.
_PAUSE = threading.Event()


@pytest.fixture(scope="module")
def fleet() -> Iterator[idle_fleet.IdleFleet]:
    """Yields five daemons of one fleet and checks their reports afterwards."""
    with idle_fleet.running_fleet(DAEMON_COUNT) as running:
        yield running
        _expect_growing_versions(running)


def _expect_growing_versions(fleet: idle_fleet.IdleFleet) -> None:
    """Checks that each object's version only increased in every daemon."""
    changes = 0
    for index, daemon in enumerate(fleet.daemons):
        newest: dict[str, int] = {}
        for record in daemon.records():
            # A restarted daemon continues its report, but may start from an
            # older version again, so these two daemons are not checked.
            if "changed" not in record or index in RESTARTED_DAEMONS:
                continue
            changes += 1
            name, version = record["changed"], record["version"]
            assert version > newest.get(name, 0)
            newest[name] = version
    assert changes > 0


def _wait_until(is_met: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + CONDITION_TIMEOUT_S
    while not is_met():
        assert time.monotonic() < deadline_s, "the condition was never met"
        _PAUSE.wait(0.2)


def _put_config(fleet: idle_fleet.IdleFleet, remark: str) -> int:
    text = idle_fleet.fleet_config_text(remark=remark)
    value = idle_fleet.config_value(text)
    return asyncio.run(
        idle_fleet.put_object(fleet.store_url, "config", "fleet", value)
    )


def _control(fleet: idle_fleet.IdleFleet, **faults: Any) -> None:
    asyncio.run(idle_fleet.set_store_faults(fleet.store_url, **faults))


async def _read_members(store_url: str) -> dict[str, Any]:
    client = platform.PlatformClient(store_url)
    try:
        found = await client.get("members", "fleet")
    finally:
        await client.close()
    return {} if found is None else dict(records.decode_members(found.value))


def _members(fleet: idle_fleet.IdleFleet) -> dict[str, Any]:
    return asyncio.run(_read_members(fleet.store_url))


def _incarnation(fleet: idle_fleet.IdleFleet, name: str) -> int:
    """Returns a member's incarnation, or 0 if it can't be read now."""
    try:
        member = _members(fleet).get(name)
    except errors.StoreError:
        return 0
    return 0 if member is None else int(member.incarnation)


def _all_have_config(fleet: idle_fleet.IdleFleet, version: int) -> bool:
    return all(
        daemon.versions_in_force().get("config/fleet", 0) >= version
        for daemon in fleet.daemons
    )


def _kill_and_start(
    fleet: idle_fleet.IdleFleet, number: int, bootstrap: str = ""
) -> idle_fleet.DaemonProcess:
    old = fleet.daemons[number]
    old.process.kill()
    old.process.wait()
    started = idle_fleet.start_daemon(
        fleet.directory, number, fleet.store_url, bootstrap
    )
    fleet.daemons[number] = started
    return started


def test_a_configuration_change_reaches_every_daemon(
    fleet: idle_fleet.IdleFleet,
) -> None:
    version = _put_config(fleet, "first")
    _wait_until(lambda: _all_have_config(fleet, version))


def test_a_frozen_daemon_is_removed_and_rejoins(
    fleet: idle_fleet.IdleFleet,
) -> None:
    frozen = fleet.daemons[1]
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        _wait_until(lambda: frozen.name not in _members(fleet))
        version = _put_config(fleet, "while one is frozen")
    finally:
        frozen.process.send_signal(signal.SIGCONT)
    _wait_until(lambda: frozen.name in _members(fleet))
    _wait_until(lambda: _all_have_config(fleet, version))
    assert len(_members(fleet)) == DAEMON_COUNT


def test_a_daemon_restarted_in_an_outage_learns_from_its_peers(
    fleet: idle_fleet.IdleFleet,
) -> None:
    version = _put_config(fleet, "before the outage")
    _wait_until(lambda: _all_have_config(fleet, version))
    members = _members(fleet)
    peer = members[fleet.daemons[0].name].peer_address
    incarnation = members[fleet.daemons[2].name].incarnation
    _control(fleet, outage="reset")
    try:
        restarted = _kill_and_start(fleet, 2, bootstrap=str(peer))
        _wait_until(
            lambda: (
                restarted.versions_in_force().get("config/fleet", 0) >= version
            )
        )
    finally:
        _control(fleet, outage="")
    later = _put_config(fleet, "after the outage")
    _wait_until(lambda: _all_have_config(fleet, later))
    _wait_until(lambda: _incarnation(fleet, restarted.name) > incarnation)


@pytest.mark.parametrize("outage", ["error", "hang"])
def test_replicas_stay_fresh_during_a_long_outage(
    fleet: idle_fleet.IdleFleet, outage: str
) -> None:
    began_s = time.monotonic()
    _control(fleet, outage=outage)
    _PAUSE.wait(8.0)
    _control(fleet, outage="")
    ages_s = [
        record["age_s"]
        for daemon in fleet.daemons
        for record in daemon.records()
        if "age_s" in record and record["at_s"] > began_s
    ]
    assert len(ages_s) > DAEMON_COUNT
    assert max(ages_s) < account_keys.MAX_CONFIRMATION_AGE_S
    version = _put_config(fleet, f"after {outage}")
    _wait_until(lambda: _all_have_config(fleet, version))


def test_lost_and_garbled_store_replies_remove_no_member(
    fleet: idle_fleet.IdleFleet,
) -> None:
    incarnation = _members(fleet)[fleet.daemons[3].name].incarnation
    _control(fleet, lose_replies=2, garbage_replies=5)
    restarted = _kill_and_start(fleet, 3)
    _wait_until(lambda: _incarnation(fleet, restarted.name) > incarnation)
    _control(fleet, lose_replies=0, garbage_replies=0)
    version = _put_config(fleet, "after lost replies")
    _wait_until(lambda: _all_have_config(fleet, version))
    assert len(_members(fleet)) == DAEMON_COUNT


def test_a_stale_host_list_removes_no_live_daemon(
    fleet: idle_fleet.IdleFleet,
) -> None:
    listed_name = fleet.daemons[0].name
    host = {
        "name": listed_name,
        "address": "127.0.0.1:1",
        "availability_zone": "zone-0",
        "service": platform.DAEMON_SERVICE,
        "state": "live",
    }
    # From here on, the host list contains only one of the five daemons.
    _control(fleet, put_host=host)
    _control(fleet, stale_list=True)
    before = _members(fleet)
    # This is longer than a host must be missing from the host list before its
    # daemon is removed from the member list.
    _PAUSE.wait(14.0)
    assert _members(fleet) == before
    _control(fleet, stale_list=False, delete_host=listed_name)


async def _write_with_a_lost_reply(store_url: str) -> tuple[bool, int]:
    """Returns whether the loss was reported, and the second write's version."""
    client = platform.PlatformClient(store_url)
    value = {"nonce": "of-this-write"}
    try:
        # This read opens the connection, so that the write reuses it.
        found = await client.get("status", "lost")
        assert found is None
        await idle_fleet.set_store_faults(store_url, lose_replies=1)
        try:
            await client.put("status", "lost", value, 0)
        except errors.StoreUnavailableError:
            reported = True
        else:
            reported = False
        found = await client.get("status", "lost")
        assert found is not None
        await idle_fleet.set_store_faults(store_url, lose_replies=1)
        version = await platform.put_and_confirm(
            client, "status", "lost", {"nonce": "second"}, found.version
        )
        assert version > found.version
    finally:
        await client.close()
    return reported, version


def test_a_lost_write_reply_is_reported_and_resolved_by_reading(
    fleet: idle_fleet.IdleFleet,
) -> None:
    reported, _ = asyncio.run(_write_with_a_lost_reply(fleet.store_url))
    assert reported
