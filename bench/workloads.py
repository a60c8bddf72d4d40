"""The workloads: what happens while callers send their load."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from bench import load_generator as load_module
from standins import deployment as deployment_module
from standins import operations as operations_module

NOISY_RATE_FACTOR = 6.0
SLOWDOWN_FACTOR = 10.0
FALL_COLD_GRACE_MS = 300.0


@dataclasses.dataclass
class WorkloadContext:
    """What a workload acts on.

    Attributes:
      seconds: how long the load lasts; faults come at shares of it.
    """

    deployment: deployment_module.Deployment
    operations: operations_module.Operations
    load: load_module.LoadGenerator
    seconds: float

    async def sleep_share(self, share: float) -> None:
        """Waits for a share of the time, counted from the last wait."""
        await asyncio.sleep(self.seconds * share)

    def upstream_names(self, divided: bool) -> list[str]:
        """Returns names of upstreams of the divided or the other service."""
        services = {
            one.name
            for one in self.deployment.shape.services
            if one.divided_by_key == divided
        }
        return [
            name
            for name, service in self.deployment.upstream_services.items()
            if service in services
        ]


Workload = Callable[[WorkloadContext], Awaitable[None]]


async def steady(scene: WorkloadContext) -> None:
    """Nothing happens."""
    await scene.sleep_share(1.0)


async def zone_out_in(scene: WorkloadContext) -> None:
    """One zone is taken out for a third of the time."""
    zone = scene.deployment.shape.zones[1]
    await scene.sleep_share(0.25)
    await scene.operations.zone_out(zone)
    await scene.sleep_share(0.35)
    await scene.operations.zone_in(zone)
    await scene.sleep_share(0.4)


async def slow_upstreams(scene: WorkloadContext) -> None:
    """A fifth of all upstreams is slow by turns; their reports lag."""
    names = scene.upstream_names(True) + scene.upstream_names(False)
    count = max(1, len(names) // 5)
    for turn in range(4):
        slow = names[turn * count : (turn + 1) * count]
        await scene.sleep_share(0.1)
        await _set_slowdown(scene, slow, SLOWDOWN_FACTOR)
        await scene.sleep_share(0.12)
        await _set_slowdown(scene, slow, 1.0)
    await scene.sleep_share(0.12)


async def _set_slowdown(
    scene: WorkloadContext, names: list[str], slowdown: float
) -> None:
    await asyncio.gather(
        *(
            scene.deployment.control_upstream(
                name, slowdown=slowdown, report_lag_ms=1000, load_lies=True
            )
            for name in names
        )
    )


async def hot_keys(scene: WorkloadContext) -> None:
    """Half of the load goes to a few keys, which change by turns."""
    scene.load.plan.hot_key_share = 0.5
    for turn in range(3):
        scene.load.plan.hot_keys = tuple(
            f"wedding-{turn}-{number}" for number in range(6)
        )
        await scene.sleep_share(0.33)


async def daemon_loss(scene: WorkloadContext) -> None:
    """One daemon is killed, and comes back later."""
    daemon = list(scene.deployment.daemons)[1]
    await scene.sleep_share(0.3)
    await scene.operations.kill_daemon(daemon)
    await scene.sleep_share(0.4)
    await scene.operations.start_daemon(daemon)
    await scene.sleep_share(0.3)


async def upstream_loss(scene: WorkloadContext) -> None:
    """One upstream is killed, another one frozen; both come back."""
    first, second = scene.upstream_names(True)[:2]
    await scene.sleep_share(0.2)
    await scene.operations.kill_upstream(first)
    await scene.sleep_share(0.2)
    await scene.operations.freeze_upstream(second, scene.seconds * 0.2)
    await scene.deployment.restart_upstream(first)
    await scene.sleep_share(0.4)


async def store_outage(scene: WorkloadContext) -> None:
    """The platform's store is down for half of the time."""
    await scene.sleep_share(0.2)
    await scene.operations.store_outage(scene.seconds * 0.5)
    await scene.sleep_share(0.3)


async def noisy_account(scene: WorkloadContext) -> None:
    """One large account sends several times its load."""
    noisy = scene.deployment.shape.accounts[0].name
    await scene.sleep_share(0.2)
    scene.load.plan.rate_factors = {noisy: NOISY_RATE_FACTOR}
    await scene.sleep_share(0.6)
    scene.load.plan.rate_factors = {}
    await scene.sleep_share(0.2)


async def cold_start(scene: WorkloadContext) -> None:
    """Upstreams restart cold, and one falls back cold without a word."""
    names = scene.upstream_names(True)
    await scene.sleep_share(0.2)
    for name in names[: max(1, len(names) // 5)]:
        await scene.operations.kill_upstream(name)
        await scene.deployment.restart_upstream(name)
    await scene.sleep_share(0.3)
    await scene.deployment.control_upstream(
        names[-1], fall_cold_grace_ms=FALL_COLD_GRACE_MS, health_lies=True
    )
    await scene.sleep_share(0.5)


async def rolling_restart(scene: WorkloadContext) -> None:
    """Every daemon is stopped as planned and replaced, one by one."""
    daemons = list(scene.deployment.daemons)
    await scene.sleep_share(0.1)
    for daemon in daemons:
        await scene.operations.stop_daemon(daemon)
        await scene.operations.start_daemon(daemon)
        await scene.sleep_share(0.8 / len(daemons))
    await scene.sleep_share(0.1)


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
