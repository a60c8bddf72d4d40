"""Runs real processes of one service and monitors when keys are served."""

import asyncio
import dataclasses
import pathlib
import time
from typing import Any

from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.core import account_keys
from standins import deployment
from standins import driver
from standins.referee import ownership_checks
from standins.referee import run_history

ACCOUNT = deployment.AccountShape("venue-1", 100_000.0, 100_000.0)
PROBE_INTERVAL_S = 0.02
SERVED_TIMEOUT_S = 20.0


def shape(
    daemons: int = 3,
    upstreams: int = 4,
    checks_fencing: bool = True,
    shard_count: int = 64,
) -> deployment.DeploymentShape:
    """Returns the shape of a deployment of one service divided by key."""
    return deployment.DeploymentShape(
        "ownership",
        ("pa-1", "pa-2", "pa-3"),
        daemons,
        (
            deployment.ServiceShape(
                "prenota",
                "/bookings",
                True,
                upstreams,
                service_time_ms=2.0,
                checks_fencing=checks_fencing,
                shard_count=shard_count,
            ),
        ),
        (ACCOUNT,),
    )


class DirectDeployment(deployment.Deployment):
    """A deployment that is set up through the store, not the command line."""

    async def apply(self, text: str) -> deployment.CommandResult:
        """Writes the configuration text into the store."""
        await self._write("config", "fleet", {"text": text})
        return deployment.CommandResult(0, "", "")

    async def issue_key(self, account: deployment.AccountShape) -> str:
        """Writes an account's key into the store."""
        secret = f"{account.name}.secret"
        record = account_keys.KeyRecord(
            account.name,
            account_keys.key_digest(secret, deployment.ACCOUNT_KEY_SECRET),
            issued_at_s=0.0,
        )
        bucket = account_keys.KeyBucket((record,))
        await self._write(
            "account-keys",
            account_keys.bucket_name(account.name),
            records.encode_key_bucket(bucket),
        )
        self.driver.account_keys[account.name] = secret
        return secret

    async def restart_warm(self, name: str) -> None:
        """Restarts a lost upstream without its cold start.

        The test then measures ownership alone, without the effects of a cold
        upstream.
        """
        self.upstreams.pop(name)
        await self.restart_upstream(name)

    async def take_out(self, zones: list[str], hosts: list[str]) -> None:
        """Sets which zones and hosts are out of service."""
        value = {"zones_out": zones, "hosts_out": hosts}
        await self._write("placement", "fleet", value)

    async def read(self, kind: str, name: str) -> dict[str, Any]:
        """Returns a stored object's value, or an empty one if it is missing."""
        client = platform.PlatformClient(self.platform_url)
        try:
            found = await client.get(kind, name)
        finally:
            await client.close()
        return {} if found is None else found.value

    async def controller(self) -> str:
        """Returns the name of the daemon that holds the lease."""
        lease = await self.read("lease", "controller-prenota")
        return str(lease.get("holder", ""))

    async def _write(self, kind: str, name: str, value: dict[str, Any]) -> None:
        client = platform.PlatformClient(self.platform_url)
        try:
            found = await client.get(kind, name)
            version = 0 if found is None else found.version
            await client.put(kind, name, value, version)
        finally:
            await client.close()


@dataclasses.dataclass
class ServiceMonitor:
    """Records when each key was served, as continuous probes observe it.

    Attributes:
      answered_s: for each key, the times at which it was served.
      refused: how many requests were refused, by reason.
      started_s: when the monitor was started.
    """

    answered_s: dict[str, list[float]]
    refused: dict[str, int]
    started_s: float

    def gaps_s(self, since_s: float) -> list[float]:
        """Returns each key's longest time without service after `since_s`.

        It is measured between two served requests, so it includes the interval
        between two probes.
        """
        now_s = time.monotonic()
        gaps = []
        for times in self.answered_s.values():
            after = [since_s, *(at for at in times if at > since_s), now_s]
            gaps.append(
                max(
                    later - earlier
                    for earlier, later in zip(after, after[1:], strict=False)
                )
            )
        return gaps


class Fleet:
    """Runs a deployment and monitors its keys."""

    def __init__(
        self, directory: pathlib.Path, its_shape: deployment.DeploymentShape
    ):
        self.directory = directory
        self.deployment = DirectDeployment(directory, its_shape)
        self.monitor = ServiceMonitor({}, {}, 0.0)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, keys: int = 24) -> None:
        """Starts all processes and waits until each key is served."""
        await self.deployment.start()
        self.monitor.started_s = time.monotonic()
        for number in range(keys):
            name = f"key-{number}"
            self.monitor.answered_s[name] = []
            self._tasks.append(asyncio.ensure_future(self._probe(name)))
        await self.wait_served(self.monitor.started_s)

    async def close(self) -> None:
        """Stops the monitor and all processes."""
        await self.stop_monitor()
        await self.deployment.close()

    async def stop_monitor(self) -> None:
        """Stops sending requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _probe(self, key: str) -> None:
        sender = self.deployment.driver
        while True:
            request = driver.ClientRequest(
                ACCOUNT.name, "/bookings/x", key, deadline_ms=1000
            )
            answer = await sender.send(request)
            if answer.matches:
                self.monitor.answered_s[key].append(time.monotonic())
            else:
                name = answer.reason or answer.outcome
                counts = self.monitor.refused
                counts[name] = counts.get(name, 0) + 1
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def wait_served(self, since_s: float) -> float:
        """Waits until each key has been served after `since_s`.

        Returns:
          The seconds from `since_s` until the last key was served.

        Raises:
          TimeoutError: a key was not served within SERVED_TIMEOUT_S.
        """
        async with asyncio.timeout(SERVED_TIMEOUT_S):
            while True:
                first_served = [
                    next((at for at in times if at > since_s), None)
                    for times in self.monitor.answered_s.values()
                ]
                if None not in first_served:
                    return (
                        max(at for at in first_served if at is not None)
                        - since_s
                    )
                await asyncio.sleep(PROBE_INTERVAL_S)

    def check_one_owner(self) -> None:
        """Fails if the journals show two owners of a key, or no events.

        The journals are read one after the other while they are still being
        written, so records later than the start of the reading are ignored.
        """
        until_s = time.monotonic()
        history = run_history.read(self.directory)
        complete = [
            record
            for record in history.records
            if record["monotonic_s"] <= until_s
        ]
        result = ownership_checks.check_single_owner(
            run_history.RunHistory(complete)
        )
        assert result.events > 0
        assert not result.violations, result.violations[:5]
