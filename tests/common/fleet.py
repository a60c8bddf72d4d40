"""Runs a small deployment of real processes for tests."""

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
    """Provides a deployment and the event loop that controls it."""

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
        """Starts every process and waits until the daemons are ready."""
        self.run(self.deployment.start())

    def close(self) -> None:
        """Kills every process and closes the loop."""
        self.run(self.operations.close())
        self.run(self.deployment.close())
        self._runner.close()

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine to its end and returns its result."""
        return self._runner.run(coroutine)

    def command(self, *words: str) -> deployment_module.CommandResult:
        """Runs a command of the sardinehill command line."""
        return self.run(self.deployment.command(*words))

    def commands(
        self, *command_lines: tuple[str, ...]
    ) -> list[deployment_module.CommandResult]:
        """Runs several commands concurrently."""

        async def run_all() -> list[deployment_module.CommandResult]:
            return list(
                await asyncio.gather(
                    *(
                        self.deployment.command(*words)
                        for words in command_lines
                    )
                )
            )

        return self.run(run_all())

    def send(
        self, account: str, path: str, **request_fields: Any
    ) -> driver_module.RequestResult:
        """Sends one request as a client account, with its newest key."""
        request = driver_module.ClientRequest(account, path, **request_fields)
        return self.run(self.deployment.driver.send(request))
