"""Provides a deployment that is configured directly through the store.

Load tests do not need the command line. Direct writes avoid one process for
each key and each change.
"""

import asyncio
from collections.abc import Coroutine
import json
import pathlib
import random
from typing import Any

from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.core import account_keys
from standins import deployment as deployment_module
from standins import driver as driver_module

SERVED_TIMEOUT_S = 30.0


class DirectDeployment(deployment_module.Deployment):
    """A deployment that is set up without the command line."""

    async def apply(self, text: str) -> deployment_module.CommandResult:
        """Writes a fleet config to the store."""
        (self.directory / "fleet.ini").write_text(text)
        await self._write("config", "fleet", {"text": text})
        return deployment_module.CommandResult(0, "", "")

    async def issue_key(self, account: deployment_module.AccountShape) -> str:
        """Issues an account key and makes the driver use it."""
        client = platform.PlatformClient(self.platform_url)
        name = account_keys.bucket_name(account.name)
        stored = await client.get("account-keys", name)
        await client.close()
        bucket = account_keys.KeyBucket()
        if stored is not None:
            bucket = records.decode_key_bucket(name, stored.value)
        bucket, key, _ = account_keys.issue_key(
            bucket,
            account.name,
            deployment_module.ACCOUNT_KEY_SECRET,
            f"secret-of-{account.name}",
            0.0,
        )
        value = records.encode_key_bucket(bucket)
        await self._write("account-keys", name, value)
        self.driver.account_keys[account.name] = key.text
        self.driver.journal.write(
            "account-share",
            account=account.name,
            rate_per_s=account.rate_per_s,
            burst_requests=account.burst_requests,
        )
        return key.text

    async def expect_command(
        self, *arguments: str
    ) -> deployment_module.CommandResult:
        """Takes a zone or host out or back in, for example `zone out NAME`."""
        entity, verb, name = arguments
        client = platform.PlatformClient(self.platform_url)
        stored = await client.get("placement", "fleet")
        await client.close()
        value = {"zones_out": [], "hosts_out": []}
        if stored is not None:
            value = dict(stored.value)
        names = set(value[f"{entity}s_out"]) - {name}
        if verb == "out":
            names.add(name)
        value[f"{entity}s_out"] = sorted(names)
        await self._write("placement", "fleet", value)
        return deployment_module.CommandResult(0, "", "")

    async def _write(self, kind: str, name: str, value: dict[str, Any]) -> None:
        client = platform.PlatformClient(self.platform_url)
        stored = await client.get(kind, name)
        version = 0 if stored is None else stored.version
        await client.put(kind, name, value, version)
        await client.close()


class DirectFleet:
    """Drives a deployment from one event loop and sends requests to it."""

    def __init__(
        self,
        directory: pathlib.Path,
        shape: deployment_module.DeploymentShape,
        upstreams_cold: bool = False,
    ):
        self._runner = asyncio.Runner()
        self._random = random.Random(1)
        self.directory = directory
        self.deployment = self.run(self._make_deployment(shape, upstreams_cold))

    async def _make_deployment(
        self, shape: deployment_module.DeploymentShape, upstreams_cold: bool
    ) -> DirectDeployment:
        return DirectDeployment(self.directory, shape, upstreams_cold)

    def start(self) -> None:
        """Starts all processes and waits until every service is served."""
        self.run(self.deployment.start())
        for service in self.deployment.shape.services:
            self.run(self._wait_until_served(service))

    def close(self) -> None:
        """Stops all processes and closes the loop."""
        self.run(self.deployment.close())
        self._runner.close()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine until it completes and returns its result."""
        return self._runner.run(coroutine)

    async def send(
        self, service: deployment_module.ServiceShape, **fields: Any
    ) -> driver_module.RequestResult:
        """Sends one request with a random account and key."""
        account = self._random.choice(self.deployment.shape.accounts)
        number = self._random.randrange(100)
        request = driver_module.ClientRequest(
            account.name,
            service.path,
            key=f"order-{number}" if service.divided_by_key else "",
            **fields,
        )
        return await self.deployment.driver.send(request)

    async def send_at_rate(
        self,
        service: deployment_module.ServiceShape,
        rate_per_s: float,
        seconds: float,
        **fields: Any,
    ) -> list[driver_module.RequestResult]:
        """Sends requests at random times, independently of earlier answers."""
        loop = asyncio.get_running_loop()
        next_s, end_s = loop.time(), loop.time() + seconds
        tasks = []
        while next_s < end_s:
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            coroutine = self.send(service, **fields)
            tasks.append(asyncio.ensure_future(coroutine))
            next_s += self._random.expovariate(rate_per_s)
        return list(await asyncio.gather(*tasks))

    async def _wait_until_served(
        self, service: deployment_module.ServiceShape
    ) -> None:
        async with asyncio.timeout(SERVED_TIMEOUT_S):
            while True:
                answers = await asyncio.gather(
                    *(self.send(service) for _ in range(20))
                )
                if all(answer.status == 200 for answer in answers):
                    return

    def journal(self, name: str) -> list[dict[str, Any]]:
        """Returns the journal of one process so far."""
        path = self.directory / f"{name}.journal"
        return [json.loads(line) for line in path.read_text().splitlines()]

    def upstream_events(self, event: str) -> list[dict[str, Any]]:
        """Returns the events of one kind from the journals of all upstreams."""
        return [
            record
            for name in self.deployment.upstreams
            for record in self.journal(name)
            if record["event"] == event
        ]
