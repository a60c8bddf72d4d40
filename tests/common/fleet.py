"""A small deployment of real processes for tests."""

import asyncio
from collections.abc import Coroutine
import pathlib
from typing import Any
from typing import TypeVar

from standins import deployment as deployment_module
from standins import driver as driver_module
from standins import operations as operations_module

T = TypeVar("T")


class FleetUnderTest:
    """A deployment and the loop that its processes are driven from."""

    def __init__(
        self,
        directory: pathlib.Path,
        shape: deployment_module.DeploymentShape = deployment_module.SMALL,
        upstreams_cold: bool = False,
    ):
        self._runner = asyncio.Runner()
        self._runner.get_loop()
        self.directory = directory
        self.deployment = self.run(self._make_deployment(shape, upstreams_cold))
        self.operations = operations_module.Operations(self.deployment)

    async def _make_deployment(
        self, shape: deployment_module.DeploymentShape, upstreams_cold: bool
    ) -> deployment_module.Deployment:
        return deployment_module.Deployment(
            self.directory, shape, upstreams_cold
        )

    def start(self) -> None:
        """Starts every process and waits until callers are served."""
        self.run(self.deployment.start())

    def close(self) -> None:
        """Ends every process and the loop."""
        self.run(self.operations.close())
        self.run(self.deployment.close())
        self._runner.close()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine to its end and returns its result."""
        return self._runner.run(work)

    def command(self, *words: str) -> deployment_module.CommandResult:
        """Runs the real command line."""
        return self.run(self.deployment.command(*words))

    def commands(
        self, *several: tuple[str, ...]
    ) -> list[deployment_module.CommandResult]:
        """Runs several commands at the same time."""

        async def work() -> list[deployment_module.CommandResult]:
            return list(
                await asyncio.gather(
                    *(self.deployment.command(*words) for words in several)
                )
            )

        return self.run(work())

    def send(
        self, account: str, path: str, **order_fields: Any
    ) -> driver_module.RequestResult:
        """Sends one request as a client account, with its newest key."""
        order = driver_module.ClientRequest(account, path, **order_fields)
        return self.run(self.deployment.driver.send(order))
