"""Starts processes, waits until they listen and ends them by pid."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import time

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
ROOT = pathlib.Path(__file__).parents[1]


class ProcessError(Exception):
    """Raised when a process failed, ended early or did not respond."""


class ServerProcess:
    """Manages one process and the addresses that it announced."""

    def __init__(self, name: str, arguments: list[str], log_path: pathlib.Path):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self.addresses: dict[str, tuple[str, int]] = {}
        self.process: asyncio.subprocess.Process | None = None
        self._environment: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Returns the process's id.

        Raises:
          ProcessError: the process was not started.
        """
        if self.process is None:
            raise ProcessError(f"{self.name} was not started")
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Returns whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(
        self,
        ready_prefix: str = "listening",
        environment: dict[str, str] | None = None,
    ) -> None:
        """Starts the process and waits for its ready line.

        Args:
          ready_prefix: the first words of the ready line.
          environment: variables in addition to those of this process; later
            starts use them as well.

        Raises:
          ProcessError: the process ended or was not ready in time.
        """
        if environment is not None:
            self._environment = environment
        with self.log_path.open("ab") as errors_file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors_file,
                cwd=ROOT,
                env={**os.environ, **self._environment},
            )
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await self._read_addresses(ready_prefix)
        except TimeoutError:
            raise ProcessError(
                f"{self.name} hangs; see {self.log_path}"
            ) from None

    async def _read_addresses(self, ready_prefix: str) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        while True:
            line = (await self.process.stdout.readline()).decode().strip()
            if not line:
                raise ProcessError(f"{self.name} ended; see {self.log_path}")
            words = line.split()
            self.addresses[" ".join(words[:-2])] = (words[-2], int(words[-1]))
            if line.startswith(ready_prefix):
                return

    def signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal_number)

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> float:
        """Asks the process to end and returns how long that took in seconds.

        Raises:
          ProcessError: it did not end within `timeout_s` and was killed.
        """
        started_s = time.monotonic()
        self.signal(signal.SIGTERM)
        self.signal(signal.SIGCONT)
        try:
            async with asyncio.timeout(timeout_s):
                await self.wait()
        except TimeoutError:
            await self.kill()
            raise ProcessError(f"{self.name} did not stop") from None
        return time.monotonic() - started_s

    async def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def wait(self) -> int:
        """Waits until the process has ended and returns its exit status."""
        if self.process is None:
            return 0
        return await self.process.wait()


async def kill_all(processes: list[ServerProcess]) -> None:
    """Kills all given processes, whatever their state."""
    await asyncio.gather(*(process.kill() for process in processes))
