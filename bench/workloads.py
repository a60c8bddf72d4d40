"""Defines the faults and changes that occur while callers send load."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from bench import load_generator
from standins import deployment as deployment_module
from standins import operations as operations_module

NOISY_RATE_FACTOR = 6.0
SLOWDOWN_FACTOR = 10.0
FALL_COLD_GRACE_MS = 300.0


@dataclasses.dataclass
class WorkloadContext:
    """Holds what a workload controls.

    Attributes:
      deployment: the running deployment.
      operations: journaled operator actions and faults.
      load: the load, whose plan a workload may change.
      seconds: duration of the workload; faults occur at fixed shares of it.
    """

    deployment: deployment_module.Deployment
    operations: operations_module.Operations
    load: load_generator.LoadGenerator
    seconds: float

    async def sleep_share(self, share: float) -> None:
        """Sleeps for a share of the workload's duration."""
        await asyncio.sleep(self.seconds * share)

    def upstream_names(self, divided: bool) -> list[str]:
        """Returns the names of the upstreams of some services.

        Args:
          divided: whether these are the services divided by key.
        """
        services = {
            service.name
            for service in self.deployment.shape.services
            if service.divided_by_key == divided
        }
        return [
            name
            for name, service in self.deployment.upstream_services.items()
            if service in services
        ]


Workload = Callable[[WorkloadContext], Awaitable[None]]


async def steady(context: WorkloadContext) -> None:
    """Runs without any fault or change."""
    await context.sleep_share(1.0)


async def zone_out_in(context: WorkloadContext) -> None:
    """Takes one zone out of service for 35% of the time."""
    zone = context.deployment.shape.zones[1]
    await context.sleep_share(0.25)
    await context.operations.zone_out(zone)
    await context.sleep_share(0.35)
    await context.operations.zone_in(zone)
    await context.sleep_share(0.4)


async def slow_upstreams(context: WorkloadContext) -> None:
    """Slows down a fifth of all upstreams in turn, with late, false reports."""
    names = context.upstream_names(True) + context.upstream_names(False)
    count = max(1, len(names) // 5)
    for turn in range(4):
        slow = names[turn * count : (turn + 1) * count]
        await context.sleep_share(0.1)
        await _set_slowdown(context, slow, SLOWDOWN_FACTOR)
        await context.sleep_share(0.12)
        await _set_slowdown(context, slow, 1.0)
    await context.sleep_share(0.12)


async def _set_slowdown(
    context: WorkloadContext, names: list[str], slowdown: float
) -> None:
    await asyncio.gather(
        *(
            context.deployment.control_upstream(
                name, slowdown=slowdown, report_lag_ms=1000, load_lies=True
            )
            for name in names
        )
    )


async def hot_keys(context: WorkloadContext) -> None:
    """Sends half of the divided load to a few keys, which change twice."""
    context.load.plan.hot_key_share = 0.5
    for turn in range(3):
        context.load.plan.hot_keys = tuple(
            f"wedding-{turn}-{number}" for number in range(6)
        )
        await context.sleep_share(0.33)


async def daemon_loss(context: WorkloadContext) -> None:
    """Kills one daemon and restarts it later."""
    daemon = list(context.deployment.daemons)[1]
    await context.sleep_share(0.3)
    await context.operations.kill_daemon(daemon)
    await context.sleep_share(0.4)
    await context.operations.start_daemon(daemon)
    await context.sleep_share(0.3)


async def upstream_loss(context: WorkloadContext) -> None:
    """Kills one upstream and freezes another; both return later."""
    killed, frozen = context.upstream_names(True)[:2]
    await context.sleep_share(0.2)
    await context.operations.kill_upstream(killed)
    await context.sleep_share(0.2)
    await context.operations.freeze_upstream(frozen, context.seconds * 0.2)
    await context.deployment.restart_upstream(killed)
    await context.sleep_share(0.4)


async def store_outage(context: WorkloadContext) -> None:
    """Makes the platform's store unavailable for half of the time."""
    await context.sleep_share(0.2)
    await context.operations.store_outage(context.seconds * 0.5)
    await context.sleep_share(0.3)


async def noisy_account(context: WorkloadContext) -> None:
    """Makes one large account send several times its planned load."""
    noisy = context.deployment.shape.accounts[0].name
    await context.sleep_share(0.2)
    context.load.plan.rate_factors = {noisy: NOISY_RATE_FACTOR}
    await context.sleep_share(0.6)
    context.load.plan.rate_factors = {}
    await context.sleep_share(0.2)


async def cold_start(context: WorkloadContext) -> None:
    """Restarts upstreams cold; another falls cold without reporting it."""
    names = context.upstream_names(True)
    await context.sleep_share(0.2)
    for name in names[: max(1, len(names) // 5)]:
        await context.operations.kill_upstream(name)
        await context.deployment.restart_upstream(name)
    await context.sleep_share(0.3)
    await context.deployment.control_upstream(
        names[-1], fall_cold_grace_ms=FALL_COLD_GRACE_MS, health_lies=True
    )
    await context.sleep_share(0.5)


async def rolling_restart(context: WorkloadContext) -> None:
    """Stops and restarts all daemons gracefully, one after the other."""
    daemons = list(context.deployment.daemons)
    await context.sleep_share(0.1)
    for daemon in daemons:
        await context.operations.stop_daemon(daemon)
        await context.operations.start_daemon(daemon)
        await context.sleep_share(0.8 / len(daemons))
    await context.sleep_share(0.1)


WORKLOADS: dict[str, Workload] = {
    "steady": steady,
    "zone-out-in": zone_out_in,
    "slow-upstreams": slow_upstreams,
    "hot-keys": hot_keys,
    "daemon-loss": daemon_loss,
    "upstream-loss": upstream_loss,
    "store-outage": store_outage,
    "noisy-account": noisy_account,
    "cold-start": cold_start,
    "rolling-restart": rolling_restart,
}
