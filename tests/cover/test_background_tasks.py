"""Tests of the tasks that a daemon runs in the background."""

import asyncio

from sardinehill.front import background_tasks


def run_until_restarted(fail):
    """Runs a task that fails once; returns how often it was started."""
    started = []

    async def task():
        started.append(True)
        if len(started) == 1:
            await fail()
        await asyncio.Event().wait()

    async def scenario():
        running = asyncio.create_task(
            background_tasks.run_with_restarts("odd", task)
        )
        await asyncio.sleep(3 * background_tasks.RESTART_DELAY_S)
        running.cancel()
        await asyncio.wait({running})
        assert running.cancelled()
        return len(started)

    return asyncio.run(scenario())


def test_task_that_fails_is_started_again():
    async def fail():
        raise RuntimeError("failed")

    assert run_until_restarted(fail) == 2


# Guards against this failure: a task that met the cancellation of something
# else that it waited for ended for good, and nothing was logged.
def test_task_that_is_cancelled_from_within_is_started_again():
    async def fail():
        other = asyncio.get_running_loop().create_future()
        other.cancel()
        await other

    assert run_until_restarted(fail) == 2
