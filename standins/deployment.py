"""Runs a deployment as processes: a store, upstreams and daemons."""

import asyncio
import dataclasses
import json
import os
import pathlib
import sys
from typing import Any

import aiohttp

from standins import driver as driver_module
from standins import journal as journal_module
from standins import processes

ACCOUNT_KEY_SECRET = "a-secret-for-tests-only"
PEER_SECRET = "a-peer-secret-for-tests-only"
CONTROL_TIMEOUT_S = 5.0
COMMAND_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True)
class ServiceShape:
    """Describes one service of a deployment.

    Attributes:
      path: prefix of the paths that are routed to it.
      divided_by_key: whether each key is served by one upstream at a time.
      upstreams: number of upstreams that serve it.
      slots: maximum number of requests in execution on each upstream.
      connections: maximum number of open connections to each upstream.
      service_time_ms: duration of one request on a warm upstream.
      checks_fencing: whether its upstreams check grants.
      depends_on: names of the services that it needs in order to be served.
    """

    name: str
    path: str
    divided_by_key: bool
    upstreams: int
    slots: int = 3
    connections: int = 50
    service_time_ms: float = 5.0
    checks_fencing: bool = True
    shard_count: int = 256
    depends_on: str = ""


@dataclasses.dataclass(frozen=True)
class AccountShape:
    """Describes one client account: its quota and its weight."""

    name: str
    rate_per_s: float
    burst_requests: float
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class DeploymentShape:
    """Describes the zones, services and accounts of a deployment."""

    name: str
    zones: tuple[str, ...]
    daemons: int
    services: tuple[ServiceShape, ...]
    accounts: tuple[AccountShape, ...]


def _accounts(prefix: str, large_count: int) -> tuple[AccountShape, ...]:
    """Returns eight accounts, the first `large_count` of them large."""
    return tuple(
        AccountShape(
            f"{prefix}-{number}",
            rate_per_s=80.0 if number <= large_count else 20.0,
            burst_requests=80.0 if number <= large_count else 20.0,
            weight=2.0 if number <= large_count else 1.0,
        )
        for number in range(1, 9)
    )


ARETUSA = DeploymentShape(
    "aretusa",
    ("pa-1", "pa-2", "ct-1", "ct-2"),
    9,
    (
        ServiceShape(
            "prenota",
            "/bookings",
            True,
            20,
            connections=100,
            depends_on="conti",
        ),
        ServiceShape("conti", "/invoices", False, 10, connections=100),
    ),
    _accounts("venue", large_count=3),
)
KHATAM = DeploymentShape(
    "khatam",
    ("mct-1", "mct-2", "mct-3"),
    9,
    (
        ServiceShape("orders", "/orders", True, 30, depends_on="billing"),
        ServiceShape("billing", "/balances", False, 5),
    ),
    _accounts("shop", large_count=2),
)
SMALL = DeploymentShape(
    "small",
    ("pa-1", "pa-2"),
    2,
    (
        ServiceShape("prenota", "/bookings", True, 3, shard_count=32),
        ServiceShape("conti", "/invoices", False, 2),
    ),
    (
        AccountShape("venue-1", 200.0, 200.0, 2.0),
        AccountShape("venue-2", 50.0, 50.0),
    ),
)
DEPLOYMENT_SHAPES = {shape.name: shape for shape in (ARETUSA, KHATAM, SMALL)}


def fleet_text(shape: DeploymentShape) -> str:
    """Returns the fleet configuration text of a deployment."""
    lines = ["[fleet]", f"availability_zones = {', '.join(shape.zones)}"]
    for service in shape.services:
        lines += [
            f"[service {service.name}]",
            f"divided_by_key = {'yes' if service.divided_by_key else 'no'}",
            f"checks_fencing = {'yes' if service.checks_fencing else 'no'}",
            f"depends_on = {service.depends_on}",
            f"shard_count = {service.shard_count}",
            f"slots = {service.slots}",
            f"connections = {service.connections}",
            "cold_start_requests = 1",
            f"[route {service.name}]",
            f"path_prefix = {service.path}",
            f"service = {service.name}",
        ]
    for account in shape.accounts:
        lines += [
            f"[account {account.name}]",
            f"rate_per_s = {account.rate_per_s}",
            f"burst_requests = {account.burst_requests}",
            f"weight = {account.weight}",
        ]
    return "\n".join(lines) + "\n"


@dataclasses.dataclass(frozen=True)
class CommandResult:
    """Holds the exit status and the output of one command."""

    status: int
    output: str
    errors: str

    def json(self) -> Any:
        """Returns the parsed output of a command run with `--json`."""
        return json.loads(self.output)


class Deployment:
    """Runs one deployment, with all journals and logs in one directory."""

    def __init__(
        self,
        directory: pathlib.Path,
        shape: DeploymentShape,
        upstreams_cold: bool = False,
        is_baseline: bool = False,
    ):
        self.directory = directory
        self.shape = shape
        self.upstreams_cold = upstreams_cold
        self.is_baseline = is_baseline
        self.store = self._make_process("store", self._store_arguments())
        self.upstreams: dict[str, processes.ServerProcess] = {}
        self.upstream_services: dict[str, str] = {}
        self.upstream_zones: dict[str, str] = {}
        self.daemons: dict[str, processes.ServerProcess] = {}
        self.driver = driver_module.Driver(
            journal_module.Journal(str(directory / "driver.journal"), "driver")
        )
        self._control_session: aiohttp.ClientSession | None = None

    @property
    def platform_url(self) -> str:
        """Returns the URL of the store stand-in."""
        ip, port = self.store.addresses["listening"]
        return f"http://{ip}:{port}"

    async def start(self) -> None:
        """Starts all processes, applies the configuration and issues keys."""
        self._control_session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        )
        await self.store.start()
        await self._start_upstreams()
        await self.driver.start()
        # The baseline router reads the account keys only once, at its start, so
        # it is started after they were issued.
        if not self.is_baseline:
            await self._start_daemons()
        await self.apply(fleet_text(self.shape))
        for account in self.shape.accounts:
            await self.issue_key(account)
        if self.is_baseline:
            await self._start_daemons()
        await self.driver.wait_ready(self.shape.daemons)

    async def close(self) -> None:
        """Kills each process of the deployment by its own pid."""
        await self.driver.close()
        if self._control_session is not None:
            await self._control_session.close()
        await processes.kill_all(
            [*self.daemons.values(), *self.upstreams.values(), self.store]
        )

    async def _start_daemons(self) -> None:
        await asyncio.gather(
            *(
                self.start_daemon(f"entry-{number}", number - 1)
                for number in range(1, self.shape.daemons + 1)
            )
        )

    async def _start_upstreams(self) -> None:
        zones = self.shape.zones
        for service in self.shape.services:
            await asyncio.gather(
                *(
                    self.start_upstream(
                        f"{service.name}-{number}",
                        service,
                        zones[number % len(zones)],
                    )
                    for number in range(1, service.upstreams + 1)
                )
            )

    async def start_upstream(
        self, name: str, service: ServiceShape, zone: str
    ) -> None:
        """Starts an upstream, or restarts it under the same name."""
        arguments = [
            *("-m", "standins.upstream", "--name", name),
            *("--service", service.name, "--availability-zone", zone),
            *("--slots", str(service.slots)),
            *("--connections", str(service.connections)),
            *("--service-time-ms", str(service.service_time_ms)),
            *("--journal", str(self.directory / f"{name}.journal")),
            *("--store", self.platform_url),
        ]
        if self.is_baseline or not service.checks_fencing:
            arguments.append("--no-fencing")
        if not self.upstreams_cold and name not in self.upstreams:
            arguments.append("--warm")
        process = self._make_process(name, arguments)
        self.upstreams[name] = process
        self.upstream_services[name] = service.name
        self.upstream_zones[name] = zone
        await process.start()

    async def restart_upstream(self, name: str) -> None:
        """Restarts a lost upstream, which is then cold and holds no grant."""
        (service,) = (
            known_service
            for known_service in self.shape.services
            if known_service.name == self.upstream_services[name]
        )
        await self.start_upstream(name, service, self.upstream_zones[name])

    async def start_daemon(self, name: str, zone_index: int = 0) -> None:
        """Starts a daemon on free ports and adds it to the balancer."""
        zone = self.shape.zones[zone_index % len(self.shape.zones)]
        if self.is_baseline:
            arguments, ready_prefix = self._baseline_arguments(), "listening"
        else:
            settings_file = self.directory / f"{name}.ini"
            settings_file.write_text(self.host_settings_text(name, zone))
            arguments = ["-m", "sardinehill", "daemon", str(settings_file)]
            ready_prefix = "listening operators"
        process = self._make_process(name, arguments)
        self.daemons[name] = process
        await process.start(ready_prefix)
        address_label = "listening" if self.is_baseline else "listening callers"
        self.driver.add_entry(name, process.addresses[address_label])

    def _baseline_arguments(self) -> list[str]:
        plan = {
            "accounts": {
                secret: account
                for account, secret in self.driver.account_keys.items()
            },
            "routes": {
                service.path: service.name for service in self.shape.services
            },
            "divided": [
                service.name
                for service in self.shape.services
                if service.divided_by_key
            ],
        }
        path = self.directory / "plan.json"
        path.write_text(json.dumps(plan))
        return [
            *("-m", "bench.baseline", "--platform", self.platform_url),
            *("--plan", str(path)),
        ]

    def host_settings_text(self, name: str, zone: str) -> str:
        """Returns the text of a daemon's settings file, with free ports."""
        return "\n".join(
            [
                "[host]",
                f"name = {name}",
                f"availability_zone = {zone}",
                "region = home",
                "[addresses]",
                "callers = 127.0.0.1:0",
                "operators = 127.0.0.1:0",
                "peers = 127.0.0.1:0",
                "[platform]",
                f"url = {self.platform_url}",
                f"account_key_secret = {ACCOUNT_KEY_SECRET}",
                "[peers]",
                f"secrets = {PEER_SECRET}",
                "",
            ]
        )

    def _store_arguments(self) -> list[str]:
        journal = str(self.directory / "store.journal")
        return ["-m", "standins.store", "--journal", journal]

    def _make_process(
        self, name: str, arguments: list[str]
    ) -> processes.ServerProcess:
        log_path = self.directory / f"{name}.log"
        return processes.ServerProcess(name, arguments, log_path)

    async def command(self, *words: str) -> CommandResult:
        """Runs the sardinehill command line and returns its result.

        Raises:
          ProcessError: the command did not end within COMMAND_TIMEOUT_S.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "sardinehill", *words),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            cwd=processes.ROOT,
            env={
                **os.environ,
                "SARDINEHILL_PLATFORM": self.platform_url,
                "SARDINEHILL_ACCOUNT_KEY_SECRET": ACCOUNT_KEY_SECRET,
            },
        )
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                output, errors = await process.communicate()
        except TimeoutError:
            process.kill()
            await process.wait()
            raise processes.ProcessError(f"{words} hangs") from None
        return CommandResult(
            process.returncode or 0, output.decode(), errors.decode()
        )

    async def expect_command(self, *words: str) -> CommandResult:
        """Runs a command that must succeed.

        Raises:
          ProcessError: the command failed or did not end in time.
        """
        result = await self.command(*words)
        if result.status != 0:
            raise processes.ProcessError(
                f"{words} ended with {result.status}: {result.output}"
                f" {result.errors}"
            )
        return result

    async def apply(self, text: str) -> CommandResult:
        """Applies a fleet configuration text with the command line."""
        path = self.directory / "fleet.ini"
        path.write_text(text)
        return await self.expect_command("config", "apply", str(path))

    async def issue_key(self, account: AccountShape) -> str:
        """Issues an account key, which the driver uses from then on."""
        result = await self.expect_command(
            "key", "issue", account.name, "--json"
        )
        secret = str(result.json()["account_key"])
        self.driver.account_keys[account.name] = secret
        self.driver.journal.write(
            "account-share",
            account=account.name,
            rate_per_s=account.rate_per_s,
            burst_requests=account.burst_requests,
        )
        return secret

    async def control_upstream(self, name: str, **faults: Any) -> None:
        """Sets faults of an upstream stand-in."""
        ip, port = self.upstreams[name].addresses["listening"]
        await self._post_control(f"http://{ip}:{port}/-/control", faults)

    async def control_store(self, **faults: Any) -> None:
        """Sets faults of the store stand-in."""
        await self._post_control(f"{self.platform_url}/-/control", faults)

    async def store_stats(self) -> dict[str, Any]:
        """Returns the store stand-in's statistics, such as call counts."""
        assert self._control_session is not None
        async with self._control_session.get(
            f"{self.platform_url}/-/stats"
        ) as reply:
            return dict(await reply.json())

    async def _post_control(self, url: str, command: dict[str, Any]) -> None:
        assert self._control_session is not None
        async with self._control_session.post(url, json=command) as reply:
            reply.raise_for_status()
