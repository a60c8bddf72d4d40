"""Runs a fleet of real processes with one upstream behind a fault proxy."""

import asyncio
import concurrent.futures
import dataclasses
import http.client
import json
import pathlib
import subprocess
import sys
import time
from typing import Any
import urllib.request
import uuid

from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.core import account_keys

HASH_SECRET = "hash-secret-of-the-test"
FLEET_TEXT = """
[fleet]
availability_zones = pa-1

[service prenota]
divided_by_key = yes
shard_count = 16

[service conti]
divided_by_key = no

[route invoices]
path_prefix = /invoices
service = conti

[route bookings]
path_prefix = /bookings
service = prenota

[route closed]
path_prefix = /bookings/closed
service = prenota
open_to_all_callers = no
accounts = large

[account large]
rate_per_s = 2000
burst_requests = 2000

[account small]
rate_per_s = 20
burst_requests = 20
"""
HOST_TEXT = """
[host]
name = {name}
availability_zone = pa-1

[addresses]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0

[platform]
url = {store_url}
account_key_secret = hash-secret-of-the-test

[peers]
secrets = peer-secret-of-the-test
"""


@dataclasses.dataclass(frozen=True)
class Answer:
    """Holds the answer to a caller's request.

    Attributes:
      status: the HTTP status, or 0 if the connection was lost.
      verdict: the Sardinehill-Verdict header, or empty.
      reason: the Sardinehill-Reason header, or empty.
      body: the response body.
    """

    status: int
    verdict: str = ""
    reason: str = ""
    body: bytes = b""


def time_ordered_id() -> str:
    """Returns a new UUID of version 7."""
    random_bits = uuid.uuid4().int & ((1 << 62) - 1)
    now_ms = time.time_ns() // 1_000_000
    return str(uuid.UUID(int=now_ms << 80 | 7 << 76 | 2 << 62 | random_bits))


class AccountFleet:
    """Runs a store, two daemons and three upstreams, one behind a proxy."""

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self.processes: list[subprocess.Popen[str]] = []
        self.daemons: dict[str, subprocess.Popen[str]] = {}
        self.caller_addresses: dict[str, tuple[str, int]] = {}
        self.account_keys: dict[str, str] = {}
        self.journal = directory / "upstream.journal"
        store = self._start(
            "standins.store",
            "--port",
            "0",
            "--journal",
            str(directory / "store.journal"),
        )
        self.store_url = f"http://{store[0]}:{store[1]}"
        upstream = self._start(
            *("standins.upstream", "--name", "up-1", "--service", "prenota"),
            *("--availability-zone", "pa-1", "--warm"),
            *("--slots", "16", "--queue-requests", "64"),
            *("--journal", str(self.journal)),
        )
        for number in range(2):
            self._start(
                *("standins.upstream", "--name", f"conti-{number}"),
                *("--service", "conti", "--availability-zone", "pa-1"),
                *("--store", self.store_url, "--warm", "--no-fencing"),
                *("--journal", str(directory / f"conti-{number}.journal")),
            )
        self._start_proxy(upstream)
        for name in ("entry-1", "entry-2"):
            self._start_daemon(name)
        asyncio.run(self._write_store())
        self.wait_until_serving()

    def close(self) -> None:
        """Terminates all processes by their ids."""
        for process in reversed(self.processes):
            process.terminate()
        for process in self.processes:
            process.wait()

    def send(
        self,
        daemon: str = "entry-1",
        account: str = "large",
        method: str = "POST",
        path: str = "/bookings",
        key: str = "table-1",
        marker: str = "",
        headers: dict[str, str] | None = None,
        connection: http.client.HTTPConnection | None = None,
        body: bytes = b"linen",
    ) -> Answer:
        """Sends one request and reads the complete answer.

        Args:
          daemon: the daemon that receives the request.
          account: the account whose key is sent, or the text to send as key.
          method: the HTTP method.
          path: the path with an optional query.
          key: the Sardinehill-Key header.
          marker: identifies the request in the upstreams' journals.
          headers: more headers, which override the others.
          connection: a connection to use and keep open.
          body: the request body.
        """
        http_connection = connection or self.connect(daemon)
        separator = "&" if "?" in path else "?"
        sent = {
            "Authorization": (
                f"Bearer {self.account_keys.get(account, account)}"
            ),
            "Sardinehill-Key": key,
            **(headers or {}),
        }
        try:
            http_connection.request(
                method, f"{path}{separator}marker={marker}", body, sent
            )
            reply = http_connection.getresponse()
            content = reply.read()
        except (OSError, http.client.HTTPException):
            return Answer(0)
        finally:
            if connection is None:
                http_connection.close()
        return Answer(
            reply.status,
            reply.headers.get("Sardinehill-Verdict", ""),
            reply.headers.get("Sardinehill-Reason", ""),
            content,
        )

    def connect(self, daemon: str) -> http.client.HTTPConnection:
        """Returns a connection to a daemon that can be reused."""
        ip, port = self.caller_addresses[daemon]
        return http.client.HTTPConnection(ip, port, timeout=30)

    def send_concurrently(self, requests: list[dict[str, Any]]) -> list[Answer]:
        """Sends requests concurrently, each on its own connection.

        Args:
          requests: the arguments of `send` for each request.
        """
        with concurrent.futures.ThreadPoolExecutor(len(requests)) as pool:
            return list(pool.map(lambda fields: self.send(**fields), requests))

    def set_faults(self, **faults: Any) -> None:
        """Sets faults of the proxy in front of the upstream."""
        self._post_json(f"{self.proxy_control}/-/control", faults)

    def upstream_runs(self, marker: str) -> list[dict[str, Any]]:
        """Returns the runs with a marker from the upstreams' journals."""
        journals = [self.journal, *self.directory.glob("conti-*")]
        return [
            event
            for journal in journals
            for event in map(json.loads, journal.read_text().splitlines())
            if event["event"] == "started" and event.get("marker") == marker
        ]

    def revoke(self, account: str) -> None:
        """Revokes all keys of an account in the store."""
        asyncio.run(self._revoke(account))

    def wait_until_serving(self, daemons: tuple[str, ...] = ()) -> None:
        """Waits until each daemon serves a booking with a new id."""
        for daemon in daemons or tuple(self.daemons):
            for _ in range(2000):
                fresh = {"Idempotency-Key": time_ordered_id()}
                if self.send(daemon, headers=fresh).verdict == "ran":
                    break
            else:
                raise AssertionError(f"{daemon} does not serve")

    def _start(self, *arguments: str) -> tuple[str, int]:
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        return self._read_address(process)

    def _read_address(self, process: subprocess.Popen[str]) -> tuple[str, int]:
        assert process.stdout is not None
        words = process.stdout.readline().split()
        return words[-2], int(words[-1])

    def _start_proxy(self, target: tuple[str, int]) -> None:
        ip, port = self._start(
            "standins.fault_proxy", "--target", target[0], str(target[1])
        )
        self.proxy_control = f"http://{ip}:{port}"
        listening = self._read_address(self.processes[-1])
        host = {
            "name": "up-1",
            "address": f"{listening[0]}:{listening[1]}",
            "availability_zone": "pa-1",
            "service": "prenota",
            "state": "live",
        }
        self._post_json(f"{self.store_url}/-/control", {"put_host": host})

    def _start_daemon(self, name: str) -> None:
        settings_file = self.directory / f"{name}.ini"
        settings_file.write_text(
            HOST_TEXT.format(name=name, store_url=self.store_url)
        )
        self.caller_addresses[name] = self._start(
            "sardinehill", "daemon", str(settings_file)
        )
        self.daemons[name] = self.processes[-1]

    def _post_json(self, url: str, value: dict[str, Any]) -> None:
        request = urllib.request.Request(
            url,
            data=json.dumps(value).encode(),
            headers={"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=10) as reply:
            reply.read()

    async def _write_store(self) -> None:
        client = platform.PlatformClient(self.store_url)
        buckets: dict[str, account_keys.KeyBucket] = {}
        for account in ("large", "small", "doomed"):
            name = account_keys.bucket_name(account)
            bucket = buckets.get(name, account_keys.KeyBucket())
            buckets[name], key, _ = account_keys.issue_key(
                bucket, account, HASH_SECRET, uuid.uuid4().hex, time.time()
            )
            self.account_keys[account] = key.text
        for name, bucket in buckets.items():
            value = records.encode_key_bucket(bucket)
            await client.put("account-keys", name, value, 0)
        text = FLEET_TEXT + (
            "[account doomed]\nrate_per_s = 500\nburst_requests = 500\n"
        )
        await client.put("config", "fleet", {"text": text}, 0)
        await client.close()

    async def _revoke(self, account: str) -> None:
        client = platform.PlatformClient(self.store_url)
        name = account_keys.bucket_name(account)
        found = await client.get("account-keys", name)
        assert found is not None
        bucket = records.decode_key_bucket("0", found.value)
        for record in account_keys.account_records(bucket, account):
            bucket = account_keys.revoke_key(bucket, record.key_id, time.time())
        value = records.encode_key_bucket(bucket)
        await client.put("account-keys", name, value, found.version)
        await client.close()
