"""Takes a deployment of Aretusa's size through failures and changes.

`make demo` runs it. It exits with status 0 only if each promise of the
project's brief was exercised and none was violated.
"""

import asyncio
import pathlib
import sys
import time

from bench import evidence
from bench import load_generator
from bench import run_metrics
from standins import deployment as deployment_module
from standins import driver as driver_module
from standins import operations as operations_module
from standins.referee import check_runner
from standins.referee import run_history

LOAD_RATIO = 0.5
NOISY_RATE_FACTOR = 4.0
IN_FLIGHT_REQUESTS = 6
IN_FLIGHT_SERVICE_TIME_MS = 400.0

_start_s = time.monotonic()


def _print_step(text: str) -> None:
    sys.stdout.write(f"{time.monotonic() - _start_s:6.1f} s  {text}\n")
    sys.stdout.flush()


class Demo:
    """Runs the steps of the demonstration one after the other."""

    def __init__(
        self,
        deployment: deployment_module.Deployment,
        load: load_generator.LoadGenerator,
    ):
        self.deployment = deployment
        self.load = load
        self.operations = operations_module.Operations(deployment)
        self._revoked_key = ""
        self._revoked_key_account = ""

    async def run(self) -> None:
        """Runs every step while callers send requests."""
        self.operations.start_sampling()
        load_task = asyncio.ensure_future(self.load.run(3600.0))
        try:
            for step in (
                self._send_load_only,
                self._remove_upstream,
                self._take_zone_out,
                self._change_account_key,
                self._kill_daemon,
                self._freeze_upstream,
                self._restart_upstream,
                self._stop_daemon,
                self._change_configuration,
                self._raise_account_load,
            ):
                await step()
        finally:
            self.load.stop()
            await load_task
            await self.operations.close()

    async def _send_load_only(self) -> None:
        _print_step("callers book tables and look up invoices")
        await asyncio.sleep(4.0)

    async def _remove_upstream(self) -> None:
        _print_step("the platform lists upstream prenota-7 as leaving")
        await self.operations.mark_leaving("prenota-7")

    async def _take_zone_out(self) -> None:
        zone = self.deployment.shape.zones[1]
        _print_step(f"an operator takes zone {zone} out")
        await self.operations.zone_out(zone)
        _print_step("the change is in force on all daemons")
        await asyncio.sleep(7.0)
        _print_step(f"the operator puts zone {zone} back")
        await self.operations.zone_in(zone)
        await asyncio.sleep(3.0)

    async def _change_account_key(self) -> None:
        account = self.deployment.shape.accounts[4]
        _print_step(
            f"{account.name} gets a new account key; the old one is revoked"
        )
        revoked = await self.operations.rotate_key(account)
        self._revoked_key, self._revoked_key_account = revoked, account.name

    async def _kill_daemon(self) -> None:
        _print_step("daemon entry-2 is killed")
        await self.operations.kill_daemon("entry-2")
        await asyncio.sleep(6.0)
        _print_step("entry-2 starts again without saved state")
        await self.operations.start_daemon("entry-2")
        _print_step("a caller still uses the revoked account key")
        for _ in range(5):
            request = driver_module.ClientRequest(
                self._revoked_key_account, "/invoices/1"
            )
            await self.deployment.driver.send(
                request, account_key=self._revoked_key
            )

    async def _freeze_upstream(self) -> None:
        _print_step("upstream prenota-3 freezes for 5 s and resumes")
        await self.operations.freeze_upstream("prenota-3", 5.0)
        await asyncio.sleep(2.0)

    async def _restart_upstream(self) -> None:
        _print_step("upstream prenota-5 is killed and starts cold")
        await self.operations.kill_upstream("prenota-5")
        await self.deployment.restart_upstream("prenota-5")
        await asyncio.sleep(5.0)

    async def _stop_daemon(self) -> None:
        _print_step(
            "daemon entry-4 is stopped as planned, with requests in flight"
        )
        driver = self.deployment.driver
        account = self.deployment.shape.accounts[1].name
        in_flight = [
            asyncio.ensure_future(
                driver.send(
                    driver_module.ClientRequest(
                        account,
                        "/invoices/slow",
                        service_time_ms=IN_FLIGHT_SERVICE_TIME_MS,
                    ),
                    entry=driver.entries["entry-4"],
                )
            )
            for _ in range(IN_FLIGHT_REQUESTS)
        ]
        await asyncio.sleep(0.1)
        await self.operations.stop_daemon("entry-4")
        await asyncio.gather(*in_flight)
        await self.operations.start_daemon("entry-4")

    async def _change_configuration(self) -> None:
        _print_step("an operator applies a changed configuration")
        await self.operations.reapply_configuration()
        _print_step("the change is in force on all daemons")
        await asyncio.sleep(1.0)

    async def _raise_account_load(self) -> None:
        noisy = self.deployment.shape.accounts[0].name
        _print_step(
            f"{noisy} sends {NOISY_RATE_FACTOR:.0f} times its usual load"
        )
        self.load.plan.rate_factors = {noisy: NOISY_RATE_FACTOR}
        await asyncio.sleep(6.0)


async def _run_demo(directory: pathlib.Path) -> None:
    deployment = deployment_module.Deployment(
        directory, deployment_module.ARETUSA
    )
    load = load_generator.LoadGenerator(
        deployment, 1, load_generator.LoadPlan(load_ratio=LOAD_RATIO)
    )
    try:
        _print_step("a store, 30 upstreams in 4 zones and 9 daemons start")
        await deployment.start()
        await Demo(deployment, load).run()
    finally:
        await deployment.close()


def main() -> int:
    """Runs the demonstration and prints the results for each promise."""
    directory = evidence.new_directory("sardinehill-demo-")
    asyncio.run(_run_demo(directory))
    history = run_history.read(directory)
    results = check_runner.run_checks(history)
    report = run_metrics.compute_metrics(history, 0.0, float("inf"))
    _print_step(
        f"{report['requests']} requests, {report['served_share']:.2%} served,"
        f" {report['latency_ms']}, refused: {report['refusals']}"
    )
    sys.stdout.write(check_runner.format_table(results) + "\n")
    status = check_runner.exit_status(results, require_all=True)
    conclusions = {
        0: "every promise was exercised and none was violated",
        1: "a promise was VIOLATED",
        2: "a promise was not exercised",
    }
    sys.stdout.write(conclusions[status] + "\n")
    evidence.finish(directory, results, sys.stdout)
    return status


if __name__ == "__main__":
    sys.exit(main())
