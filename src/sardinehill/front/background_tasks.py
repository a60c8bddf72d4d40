"""Runs the tasks of a daemon that must not end while it runs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from sardinehill import events

RESTART_DELAY_S = 0.1


async def run_with_restarts(
    name: str, task: Callable[[], Awaitable[None]]
) -> None:
    """Runs a task until cancelled; one that ends is started again.

    Args:
      name: the name of the task in logs.
      task: starts the task.
    """
    while True:
        try:
            await task()
        except Exception as error:
            # A task that fails is restarted, so that the others continue.
            events.log_with_traceback(events.TASK_FAILED, error, task=name)
        except asyncio.CancelledError as error:
            if _is_being_cancelled():
                raise
            # Something else that the task waited for was cancelled.
            events.log_with_traceback(events.TASK_FAILED, error, task=name)
        await asyncio.sleep(RESTART_DELAY_S)


def _is_being_cancelled() -> bool:
    current = asyncio.current_task()
    return current is not None and current.cancelling() > 0
