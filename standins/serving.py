"""Runs an aiohttp application as the server of a process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal

from aiohttp import web
import uvloop

OnListening = Callable[[str, int], Awaitable[None]]

SHUTDOWN_TIMEOUT_S = 0.5


async def _serve(
    runner: web.AppRunner | web.ServerRunner,
    ip: str,
    port: int,
    on_listening: OnListening | None,
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await runner.setup()
    site = web.TCPSite(runner, ip, port, backlog=1024)
    await site.start()
    bound_ip, bound_port = runner.addresses[0][:2]
    if on_listening is not None:
        await on_listening(bound_ip, bound_port)
    print(f"listening {bound_ip} {bound_port}", flush=True)
    await stopped.wait()
    await runner.cleanup()


def run(
    application: web.Application,
    ip: str,
    port: int,
    on_listening: OnListening | None = None,
) -> None:
    """Serves until SIGTERM or SIGINT; prints `listening IP PORT` when ready."""
    runner = make_runner(application)
    uvloop.run(_serve(runner, ip, port, on_listening))


def make_runner(application: web.Application) -> web.AppRunner:
    """Returns a runner whose shutdown waits SHUTDOWN_TIMEOUT_S at most."""
    return web.AppRunner(
        application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )


def run_runner(
    runner: web.AppRunner,
    ip: str,
    port: int,
    on_listening: OnListening | None = None,
) -> None:
    """Serves as `run` does, with a runner that the caller has made."""
    uvloop.run(_serve(runner, ip, port, on_listening))
