"""A deployment whose texts and keys are written straight into the store.

Tests of load need no command line; writing directly saves a process for each
key and each change.
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
    """A deployment that needs no command line to be set up."""

    async def apply(self, text: str) -> deployment_module.CommandResult:
        """Puts a fleet text in force."""
        (self.directory / "fleet.ini").write_text(text)
        await self._write("config", "fleet", {"text": text})
        return deployment_module.CommandResult(0, "", "")

    async def issue_key(self, account: deployment_module.AccountShape) -> str:
        """Issues a key of an account, for the driver to use from now on."""
        client = platform.PlatformClient(self.platform_url)
        name = account_keys.bucket_name(account.name)
        found = await client.get("account-keys", name)
        await client.close()
        bucket = account_keys.KeyBucket()
        if found is not None:
            bucket = records.read_key_bucket(name, found.value)
        bucket, key, _ = account_keys.issue_key(
            bucket,
            account.name,
            deployment_module.ACCOUNT_KEY_SECRET,
            f"secret-of-{account.name}",
            0.0,
        )
        value = records.key_bucket_value(bucket)
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
        self, *words: str
    ) -> deployment_module.CommandResult:
        """Takes a zone or host out or back in: `zone out NAME`."""
        noun, verb, name = words
        client = platform.PlatformClient(self.platform_url)
        found = await client.get("placement", "fleet")
        await client.close()
        value = {"zones_out": [], "hosts_out": []}
        if found is not None:
            value = dict(found.value)
        names = set(value[f"{noun}s_out"]) - {name}
        if verb == "out":
            names.add(name)
        value[f"{noun}s_out"] = sorted(names)
        await self._write("placement", "fleet", value)
        return deployment_module.CommandResult(0, "", "")

    async def _write(self, kind: str, name: str, value: dict[str, Any]) -> None:
        client = platform.PlatformClient(self.platform_url)
        found = await client.get(kind, name)
        version = 0 if found is None else found.version
        await client.put(kind, name, value, version)
        await client.close()


class DirectFleet:
    """A deployment, the loop it is driven from, and a little load."""

    def __init__(
        self,
        directory: pathlib.Path,
        shape: deployment_module.Shape,
        upstreams_cold: bool = False,
    ):
        self._runner = asyncio.Runner()
        self._random = random.Random(1)
        self.directory = directory
        self.deployment = self.run(self._make_deployment(shape, upstreams_cold))

    async def _make_deployment(
        self, shape: deployment_module.Shape, upstreams_cold: bool
    ) -> DirectDeployment:
        return DirectDeployment(self.directory, shape, upstreams_cold)

    def start(self) -> None:
        """Starts every process and waits until each service is served."""
        self.run(self.deployment.start())
        for service in self.deployment.shape.services:
            self.run(self._wait_until_served(service))

    def close(self) -> None:
        """Ends every process and the loop."""
        self.run(self.deployment.close())
        self._runner.close()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine to its end and returns its result."""
        return self._runner.run(work)

    async def send(
        self, service: deployment_module.ServiceShape, **fields: Any
    ) -> driver_module.Answer:
        """Sends one request of a random account, with a random key."""
        account = self._random.choice(self.deployment.shape.accounts)
        number = self._random.randrange(100)
        order = driver_module.Order(
            account.name,
            service.path,
            key=f"order-{number}" if service.divided_by_key else "",
            **fields,
        )
        return await self.deployment.driver.send(order)

    async def send_at_rate(
        self,
        service: deployment_module.ServiceShape,
        rate_per_s: float,
        seconds: float,
        **fields: Any,
    ) -> list[driver_module.Answer]:
        """Sends at random times, whatever becomes of earlier requests."""
        loop = asyncio.get_running_loop()
        next_s, end_s = loop.time(), loop.time() + seconds
        sent = []
        while next_s < end_s:
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            work = self.send(service, **fields)
            sent.append(asyncio.ensure_future(work))
            next_s += self._random.expovariate(rate_per_s)
        return list(await asyncio.gather(*sent))

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
        """Returns what one process has journaled so far."""
        path = self.directory / f"{name}.journal"
        return [json.loads(line) for line in path.read_text().splitlines()]

    def upstream_events(self, event: str) -> list[dict[str, Any]]:
        """Returns one kind of event from all upstreams' journals."""
        return [
            record
            for name in self.deployment.upstreams
            for record in self.journal(name)
            if record["event"] == event
        ]
