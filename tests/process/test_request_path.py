"""Tests the path of a request from a caller through real processes."""

import asyncio
from collections.abc import Iterator
import json
import pathlib
import secrets
import subprocess
import sys
import urllib.error
import urllib.request

import pytest

from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.core import account_keys
from tests.process import account_fleet

FLEET_CONFIG = """
[fleet]
availability_zones = pa-1

[service prenota]
divided_by_key = yes
shard_count = 64

[route bookings]
path_prefix = /bookings
service = prenota

[account aretusa]
rate_per_s = 1000
burst_requests = 1000
"""


def _start_process(*arguments: str) -> tuple[subprocess.Popen[str], str]:
    process = subprocess.Popen(
        [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    words = process.stdout.readline().split()
    return process, f"{words[-2]}:{words[-1]}"


async def _write_objects(store_url: str, account_key: str) -> None:
    client = platform.PlatformClient(store_url)
    record = account_keys.KeyRecord(
        "aretusa",
        account_keys.key_digest(account_key, "hash-secret-of-the-test"),
        issued_at_s=0.0,
    )
    await client.put(
        "account-keys",
        account_keys.bucket_name("aretusa"),
        records.encode_key_bucket(account_keys.KeyBucket((record,))),
        0,
    )
    await client.put("config", "fleet", {"text": FLEET_CONFIG}, 0)
    await client.close()


@pytest.fixture
def caller_addresses(tmp_path: pathlib.Path) -> Iterator[list[str]]:
    """Yields the addresses for callers of two daemons of a small fleet."""
    processes = []
    store, store_address = _start_process(
        "standins.store", "--port", "0", "--journal", str(tmp_path / "store")
    )
    processes.append(store)
    store_url = f"http://{store_address}"
    for number in range(2):
        process, _ = _start_process(
            *("standins.upstream", "--name", f"up-{number}"),
            *("--service", "prenota", "--availability-zone", "pa-1"),
            *("--store", store_url, "--warm"),
            *("--journal", str(tmp_path / f"up-{number}")),
        )
        processes.append(process)
    addresses = []
    for number in range(2):
        settings_file = tmp_path / f"host-{number}.ini"
        settings_file.write_text(
            account_fleet.HOST_TEXT.format(
                name=f"host-{number}", store_url=store_url
            )
        )
        process, address = _start_process(
            "sardinehill", "daemon", str(settings_file)
        )
        processes.append(process)
        addresses.append(address)
    asyncio.run(_write_objects(store_url, "aretusa.secret"))
    yield addresses
    for process in reversed(processes):
        process.terminate()
    for process in processes:
        process.wait()


def _send_booking(
    address: str, account_key: str, key: str
) -> tuple[int, str, bytes]:
    request = urllib.request.Request(
        f"http://{address}/bookings",
        data=b"linen",
        headers={
            "Authorization": f"Bearer {account_key}",
            "Sardinehill-Key": key,
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            verdict = response.headers["Sardinehill-Verdict"]
            return response.status, verdict, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers["Sardinehill-Verdict"], error.read()


def _send_booking_until_owned(address: str, key: str) -> tuple[int, str, bytes]:
    for _ in range(1000):
        answer = _send_booking(address, "aretusa.secret", key)
        if answer[1] != "not-run":
            return answer
    raise AssertionError(f"{key} is not served: {answer}")


def test_each_daemon_serves_each_key_through_its_owner(
    caller_addresses: list[str], tmp_path: pathlib.Path
) -> None:
    for address in caller_addresses:
        for number in range(8):
            status, verdict, _ = _send_booking_until_owned(
                address, f"key-{number}"
            )
            assert (status, verdict) == (200, "ran")
    owners: dict[str, set[str]] = {}
    for journal in tmp_path.glob("up-*"):
        for line in journal.read_text().splitlines():
            event = json.loads(line)
            if event["event"] == "started":
                owners.setdefault(event["key"], set()).add(journal.name)
    assert len(owners) == 8
    assert all(len(names) == 1 for names in owners.values())


def test_an_unknown_account_key_runs_nothing(
    caller_addresses: list[str], tmp_path: pathlib.Path
) -> None:
    _send_booking_until_owned(caller_addresses[0], "key-1")
    unknown_key = f"aretusa.{secrets.token_hex(8)}"
    status, verdict, _ = _send_booking(
        caller_addresses[0], unknown_key, "key-2"
    )
    assert (status, verdict) == (401, "not-run")
    journals = [path.read_text() for path in tmp_path.glob("up-*")]
    assert not any("key-2" in text for text in journals)
