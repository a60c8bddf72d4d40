"""Performs operators' actions and injects faults, and journals both."""

import asyncio
import signal
from typing import Any

import aiohttp

from standins import deployment as deployment_module
from standins import driver as driver_module

VERSION_SAMPLE_INTERVAL_S = 0.5
STATUS_TIMEOUT_S = 1.0


class Operations:
    """Performs operators' actions and faults on one deployment."""

    def __init__(self, deployment: deployment_module.Deployment):
        self.deployment = deployment
        self._journal = deployment.driver.journal
        self._sampling_task: asyncio.Task[None] | None = None

    def start_sampling(self) -> None:
        """Starts to journal each daemon's configuration version."""
        if not self.deployment.is_baseline:
            self._sampling_task = asyncio.ensure_future(self._sample_versions())

    async def close(self) -> None:
        """Stops the sampling."""
        if self._sampling_task is not None:
            self._sampling_task.cancel()
            await asyncio.gather(self._sampling_task, return_exceptions=True)

    async def _sample_versions(self) -> None:
        timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(
                        self._sample_daemon(session, name)
                        for name in list(self.deployment.daemons)
                    )
                )
                await asyncio.sleep(VERSION_SAMPLE_INTERVAL_S)

    async def _sample_daemon(
        self, session: aiohttp.ClientSession, daemon: str
    ) -> None:
        status = await self.status(session, daemon)
        version = status.get("versions", {}).get("config/fleet", 0)
        # A daemon that has just started has no configuration yet and reports
        # that it is not ready.
        if version:
            self._journal.write("in-force", daemon=daemon, version=version)

    async def status(
        self, session: aiohttp.ClientSession, daemon: str
    ) -> dict[str, Any]:
        """Returns a daemon's status, empty when it does not answer."""
        process = self.deployment.daemons[daemon]
        address = process.addresses.get("listening operators")
        if address is None or not process.is_running:
            return {}
        ip, port = address
        try:
            async with session.get(f"http://{ip}:{port}/-/status") as reply:
                return dict(await reply.json())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return {}

    async def zone_out(self, zone: str) -> None:
        """Takes a zone out of service with the command line."""
        await self.deployment.expect_command("zone", "out", zone)
        self._journal.write("zone-out", zone=zone)

    async def zone_in(self, zone: str) -> None:
        """Puts a zone back into service."""
        self._journal.write("zone-in", zone=zone)
        await self.deployment.expect_command("zone", "in", zone)

    async def host_out(self, host: str) -> None:
        """Takes one upstream's host out of service."""
        await self.deployment.expect_command("host", "out", host)
        self._journal.write("host-out", host=host)

    async def host_in(self, host: str) -> None:
        """Puts a host back into service."""
        self._journal.write("host-in", host=host)
        await self.deployment.expect_command("host", "in", host)

    async def mark_leaving(self, upstream: str) -> None:
        """Makes the platform list an upstream as leaving."""
        await self.deployment.control_upstream(upstream, leave=True)

    async def reapply_configuration(self) -> None:
        """Applies the same configuration again as a new version."""
        text = (self.deployment.directory / "fleet.ini").read_text()
        await self.deployment.apply(f"# applied again\n{text}")

    async def rotate_key(self, account: deployment_module.AccountShape) -> str:
        """Issues a new key to an account and revokes the old one.

        Returns:
          The old key, which must be refused within a few seconds.
        """
        deployment = self.deployment
        old_secret = deployment.driver.account_keys[account.name]
        key_list = await deployment.expect_command(
            "key", "list", account.name, "--json"
        )
        old_ids = [
            str(row["key_id"])
            for row in key_list.json()["keys"]
            if row["revoked_at_s"] is None
        ]
        await deployment.issue_key(account)
        for key_id in old_ids:
            await deployment.expect_command(
                "key", "revoke", account.name, key_id
            )
        self._journal.write(
            "key-revoked",
            account_key_id=driver_module.account_key_digest(old_secret),
        )
        return old_secret

    async def kill_daemon(self, daemon: str) -> None:
        """Kills a daemon without notice."""
        self._journal.write("daemon-killed", daemon=daemon)
        await self.deployment.daemons[daemon].kill()

    async def stop_daemon(self, daemon: str) -> None:
        """Stops a daemon gracefully."""
        self._journal.write("stop-begins", daemon=daemon)
        await self.deployment.daemons[daemon].stop()
        self._journal.write("stop-ended", daemon=daemon)

    async def start_daemon(self, daemon: str) -> None:
        """Restarts a daemon in its former zone."""
        zone_index = list(self.deployment.daemons).index(daemon)
        await self.deployment.start_daemon(daemon, zone_index)

    async def freeze_upstream(self, upstream: str, duration_s: float) -> None:
        """Stops an upstream's process for a while, then lets it continue."""
        self._journal.write("upstream-frozen", upstream=upstream)
        process = self.deployment.upstreams[upstream]
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        process.signal(signal.SIGCONT)
        self._journal.write("upstream-resumed", upstream=upstream)

    async def kill_upstream(self, upstream: str) -> None:
        """Kills an upstream without notice."""
        self._journal.write("upstream-killed", upstream=upstream)
        await self.deployment.upstreams[upstream].kill()

    async def store_outage(
        self, duration_s: float, mode: str = "reset"
    ) -> None:
        """Makes the store unavailable for a while.

        Args:
          duration_s: length of the outage.
          mode: the `outage` value of the store stand-in's control call.
        """
        self._journal.write("outage-begins")
        await self.deployment.control_store(outage=mode)
        await asyncio.sleep(duration_s)
        await self.deployment.control_store(outage="")
        self._journal.write("outage-ended")
