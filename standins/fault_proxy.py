"""Forwards TCP connections and injects faults into them on command.

Started as `python -m standins.fault_proxy --target IP PORT --port 0
--control-port 0`. It prints `control IP PORT` and then `listening IP PORT`.
Faults are set by `POST /-/control`; see `ProxyFaults` for the fields.
"""

import argparse
import asyncio
import dataclasses

from aiohttp import web
import uvloop

from standins import serving

CHUNK_BYTES = 64 * 1024
UNLIMITED_BYTES = -1


@dataclasses.dataclass
class ProxyFaults:
    """Holds the faults that the proxy injects.

    Attributes:
      refuse: new connections are reset at once.
      delay_ms: delay of each chunk, in both directions.
      cut_to_target: bytes towards the target are dropped.
      cut_to_client: bytes towards the client are dropped (lost replies).
      reset_after_to_target_bytes: the connection is reset after this many
        bytes towards the target; -1 for never.
      reset_after_to_client_bytes: the same towards the client; 0 resets
        it on the first byte of the reply.
    """

    refuse: bool = False
    delay_ms: float = 0.0
    cut_to_target: bool = False
    cut_to_client: bool = False
    reset_after_to_target_bytes: int = UNLIMITED_BYTES
    reset_after_to_client_bytes: int = UNLIMITED_BYTES


class FaultProxy:
    """Forwards connections to one target with the current faults."""

    def __init__(self, target_ip: str, target_port: int):
        self.target = (target_ip, target_port)
        self.faults = ProxyFaults()
        self.open_writers: set[asyncio.StreamWriter] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection until both directions have ended."""
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self.open_writers.update((writer, target_writer))
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, to_target=True),
                self._forward(target_reader, writer, to_target=False),
            )
        except OSError:
            pass
        finally:
            for open_writer in (writer, target_writer):
                self.open_writers.discard(open_writer)
                open_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        forwarded_bytes = 0
        while chunk := await reader.read(CHUNK_BYTES):
            if self.faults.delay_ms > 0:
                await asyncio.sleep(self.faults.delay_ms / 1000)
            limit_bytes = self._reset_after_bytes(to_target)
            if 0 <= limit_bytes < forwarded_bytes + len(chunk):
                writer.write(chunk[: max(0, limit_bytes - forwarded_bytes)])
                await writer.drain()
                raise ConnectionResetError
            forwarded_bytes += len(chunk)
            if self._is_cut(to_target):
                continue
            writer.write(chunk)
            await writer.drain()
        # The other direction continues: TCP allows half-closed connections.
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()

    def _is_cut(self, to_target: bool) -> bool:
        if to_target:
            return self.faults.cut_to_target
        return self.faults.cut_to_client

    def _reset_after_bytes(self, to_target: bool) -> int:
        if to_target:
            return self.faults.reset_after_to_target_bytes
        return self.faults.reset_after_to_client_bytes

    def reset_all(self) -> None:
        """Resets every open connection."""
        for open_writer in list(self.open_writers):
            open_writer.transport.abort()


PROXY = web.AppKey("proxy", FaultProxy)


async def control(request: web.Request) -> web.Response:
    """Answers `POST /-/control`, which sets faults.

    The JSON fields are those of `ProxyFaults`, and `reset_all`, which resets
    every open connection.
    """
    proxy = request.app[PROXY]
    command = await request.json()
    if command.pop("reset_all", False):
        proxy.reset_all()
    known_fields = {field.name for field in dataclasses.fields(ProxyFaults)}
    if not known_fields.issuperset(command):
        raise web.HTTPBadRequest(text=f"known fields: {sorted(known_fields)}")
    proxy.faults = dataclasses.replace(proxy.faults, **command)
    return web.json_response({"accepted": True})


async def _serve(
    proxy: FaultProxy, ip: str, port: int, control_port: int
) -> None:
    application = web.Application()
    application[PROXY] = proxy
    application.router.add_post("/-/control", control)
    runner = serving.make_runner(application)
    await runner.setup()
    site = web.TCPSite(runner, ip, control_port)
    await site.start()
    server = await asyncio.start_server(proxy.serve, ip, port)
    control_ip, bound_control_port = runner.addresses[0][:2]
    bound_ip, bound_port = server.sockets[0].getsockname()[:2]
    print(f"control {control_ip} {bound_control_port}", flush=True)
    print(f"listening {bound_ip} {bound_port}", flush=True)
    async with server:
        await server.serve_forever()


def main() -> None:
    """Parses the command line and runs the proxy."""
    parser = argparse.ArgumentParser(prog="standins.fault_proxy")
    parser.add_argument("--target", nargs=2, required=True)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    options = parser.parse_args()
    target_ip, target_port = options.target
    proxy = FaultProxy(target_ip, int(target_port))
    uvloop.run(_serve(proxy, options.ip, options.port, options.control_port))


if __name__ == "__main__":
    main()
