"""Runs a simple router that benchmarks compare the daemons with.

Each process hashes a key onto the upstreams that it sees, connects to them
directly, applies no limits, and makes up to three attempts for each request.
It sends no grants, so it needs upstreams that do not check fencing.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import pathlib
from typing import Any
import uuid

import aiohttp
from aiohttp import web
import xxhash

from standins import serving

POLL_INTERVAL_S = 0.5
MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT_S = 5.0
SHARD_COUNT = 1024
_REMOVED_HEADERS = frozenset(
    {"authorization", "host", "content-length", "connection"}
)


class BaselineRouter:
    """Routes requests by a static hash over the upstreams it has polled."""

    def __init__(self, platform_url: str, plan: dict[str, Any]):
        self.platform_url = platform_url
        self.accounts: dict[str, str] = plan["accounts"]
        self.routes: dict[str, str] = plan["routes"]
        self.divided_services: list[str] = plan["divided"]
        self.addresses: dict[str, list[str]] = {}
        self.turn_counter = itertools.count()
        self.session: aiohttp.ClientSession | None = None

    async def poll_platform(self) -> None:
        """Reads the host list and the placement periodically, without end."""
        while True:
            with contextlib.suppress(
                aiohttp.ClientError, OSError, TimeoutError, ValueError
            ):
                await self._poll_once()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll_once(self) -> None:
        hosts = await self._get("/v1/hosts")
        placement = await self._get("/v1/objects/placement/fleet")
        placement_out = placement.get(
            "value", {"zones_out": [], "hosts_out": []}
        )
        addresses: dict[str, list[str]] = {}
        for host in sorted(hosts["hosts"], key=lambda host: str(host["name"])):
            if (
                host["state"] == "live"
                and host["availability_zone"] not in placement_out["zones_out"]
                and host["name"] not in placement_out["hosts_out"]
            ):
                addresses.setdefault(host["service"], []).append(
                    host["address"]
                )
        self.addresses = addresses

    async def _get(self, path: str) -> dict[str, Any]:
        assert self.session is not None
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with self.session.get(
            self.platform_url + path, timeout=timeout
        ) as reply:
            return dict(await reply.json()) if reply.status == 200 else {}

    def choose_address(self, service: str, key: str) -> str | None:
        """Returns the address of the upstream for the next attempt.

        Returns None when the service has no upstreams.
        """
        addresses = self.addresses.get(service)
        if not addresses:
            return None
        if service in self.divided_services:
            return addresses[
                xxhash.xxh3_64_intdigest(key.encode()) % len(addresses)
            ]
        return addresses[next(self.turn_counter) % len(addresses)]

    def service_of(self, path: str) -> str:
        """Returns the service of the longest matching route, or ""."""
        matches = [prefix for prefix in self.routes if path.startswith(prefix)]
        return self.routes[max(matches, key=len)] if matches else ""

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Forwards a request, in at most `MAX_ATTEMPTS` attempts."""
        if request.path == "/-/ready":
            return web.Response(status=200 if self.addresses else 503)
        secret = request.headers.get("Authorization", "")[len("Bearer ") :]
        account = self.accounts.get(secret)
        if account is None:
            return _refusal(401, "not-run", "account-key-unknown", "")
        body = await request.read()
        request_id = uuid.uuid4().hex
        service = self.service_of(request.path)
        headers = self._forwarded_headers(request, account, service, request_id)
        for _ in range(MAX_ATTEMPTS):
            key = request.headers.get("Sardinehill-Key", "")
            address = self.choose_address(service, key)
            if address is None:
                continue
            answer = await self._attempt(request, address, headers, body)
            if answer is not None:
                answer.headers["Sardinehill-Request-Id"] = request_id
                return answer
        return _refusal(502, "may-have-run", "connection-lost", request_id)

    def _forwarded_headers(
        self, request: web.Request, account: str, service: str, request_id: str
    ) -> dict[str, str]:
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in _REMOVED_HEADERS
        }
        headers["Sardinehill-Account"] = account
        headers["Sardinehill-Request-Id"] = request_id
        if service in self.divided_services:
            key = request.headers.get("Sardinehill-Key", "")
            shard = xxhash.xxh3_64_intdigest(key.encode()) % SHARD_COUNT
            headers["Sardinehill-Shard"] = str(shard)
        return headers

    async def _attempt(
        self,
        request: web.Request,
        address: str,
        headers: dict[str, str],
        body: bytes,
    ) -> web.Response | None:
        assert self.session is not None
        try:
            async with self.session.request(
                request.method,
                f"http://{address}{request.path_qs}",
                headers=headers,
                data=body,
                timeout=aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S),
            ) as reply:
                content = await reply.read()
                if reply.status >= 500:
                    return None
                return web.Response(
                    status=reply.status,
                    body=content,
                    headers={"Sardinehill-Verdict": "ran"},
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None


def _refusal(
    status: int, verdict: str, reason: str, request_id: str
) -> web.Response:
    headers = {
        "Sardinehill-Verdict": verdict,
        "Sardinehill-Reason": reason,
        "Sardinehill-Request-Id": request_id,
    }
    return web.Response(status=status, headers=headers)


def main() -> None:
    """Parses the command line and serves requests."""
    parser = argparse.ArgumentParser(prog="bench.baseline")
    parser.add_argument("--platform", required=True)
    parser.add_argument("--plan", type=pathlib.Path, required=True)
    options = parser.parse_args()
    plan = json.loads(options.plan.read_text())
    baseline = BaselineRouter(options.platform, plan)
    application = web.Application(client_max_size=64 * 1024 * 1024)
    application.router.add_route("*", "/{path:.*}", baseline.handle_request)
    polls: list[asyncio.Task[None]] = []

    async def on_listening(_ip: str, _port: int) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        baseline.session = aiohttp.ClientSession(connector=connector)
        polls.append(asyncio.ensure_future(baseline.poll_platform()))

    serving.run(application, "127.0.0.1", 0, on_listening)


if __name__ == "__main__":
    main()
