"""A daemon that is stopped cuts off the answers to pipelining clients."""

import asyncio
import collections
import pathlib
import signal
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support2"))
import rig  # noqa: E402

CLIENTS = 32
# The longest answers of the site files.
ANSWER_BYTES = 30_000
# The time limit of a kind of request of a site in force.
DEADLINE_MS = 4120
# A small window, as on a link: a client that takes up to 400 KB a second.
RECEIVE_BUFFER_BYTES = 8192
READ_BYTES = 4000
READ_PAUSE_S = 0.01
# It sends so many requests, so long after each other.
PIPELINED = 6
SEND_PAUSE_S = 0.045
# Then it reads all answers, and rests.
REST_S = 0.05
# They begin within this time, and so are at different points of that.
START_SPREAD_S = 0.65
STOP_AFTER_S = 2.0
GRACE_PERIOD_S = 6.0
CALM_S = 4.0


class Client:
    """A client that sends the next request before an answer is complete."""

    def __init__(self, deployment: rig.Deployment, name: str):
        self._deployment = deployment
        self._name = name
        self._received = bytearray()
        self._count = 0
        # The requests without a complete answer, in the order of sending.
        self._waiting: collections.deque[tuple[str, float]]
        self._waiting = collections.deque()
        self._is_closing = False
        self.cut: list[str] = []

    async def run(self, starts_after_s: float, end_s: float) -> None:
        """Sends requests over one kept connection until it ends."""
        await asyncio.sleep(starts_after_s)
        daemon = self._deployment.daemons[0]
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            await loop.sock_connect(
                connection, (daemon.host, daemon.front_port)
            )
            try:
                await self._exchange(connection, end_s)
            except OSError as error:
                self._note_cut(error)

    async def _send(self, connection: socket.socket) -> None:
        self._count += 1
        request_id = f"{self._name}-{self._count:03d}"
        self._waiting.append((request_id, time.monotonic()))
        self._deployment.record.write(f"sent {request_id}")
        await asyncio.get_running_loop().sock_sendall(
            connection,
            rig.request_bytes("GET", "/view/a", request_id, DEADLINE_MS),
        )

    async def _exchange(self, connection: socket.socket, end_s: float) -> None:
        while time.monotonic() < end_s and not self._is_closing:
            sending = asyncio.ensure_future(self._send_some(connection))
            try:
                while self._waiting or not sending.done():
                    if self._waiting:
                        await self._read_answer(connection)
                    else:
                        await asyncio.sleep(READ_PAUSE_S)
            finally:
                sending.cancel()
            await asyncio.sleep(REST_S)

    async def _send_some(self, connection: socket.socket) -> None:
        """Sends some requests without waiting for their answers.

        It stops once an answer has said that the connection ends.
        """
        for _ in range(PIPELINED):
            if self._is_closing:
                return
            await self._send(connection)
            await asyncio.sleep(SEND_PAUSE_S)

    async def _receive(self, connection: socket.socket) -> None:
        data = await asyncio.get_running_loop().sock_recv(
            connection, READ_BYTES
        )
        if not data:
            raise ConnectionResetError("the connection has ended")
        self._received += data
        await asyncio.sleep(READ_PAUSE_S)

    async def _read_answer(self, connection: socket.socket) -> None:
        while b"\r\n\r\n" not in self._received:
            await self._receive(connection)
        head = bytes(self._received).partition(b"\r\n\r\n")[0]
        lines = head.decode().lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        if headers.get("connection") == "close":
            self._is_closing = True
        size = len(head) + 4 + int(headers["content-length"])
        while len(self._received) < size:
            await self._receive(connection)
        del self._received[:size]
        request_id, sent_s = self._waiting.popleft()
        if headers.get("x-request-id") != request_id:
            raise rig.CannotRunError(f"odd answer to {request_id}: {head!r}")
        took_s = time.monotonic() - sent_s
        self._deployment.record.write(
            f"answer {request_id} {lines[0].split(' ')[1]} in {took_s:.2f} s"
        )
        if self._is_closing:
            # What it has sent behind counts as not read.
            self._waiting.clear()

    def _note_cut(self, error: OSError) -> None:
        for request_id, sent_s in self._waiting:
            took_s = time.monotonic() - sent_s
            if took_s >= DEADLINE_MS / 1000:
                continue
            self.cut.append(request_id)
            self._deployment.record.write(
                f"no complete answer to {request_id} after {took_s:.2f} s, "
                f"{len(self._received)} bytes of the first: {error!r}"
            )


async def play(deployment: rig.Deployment) -> bool:
    """Returns whether a request that has run has no complete answer."""
    for backend in deployment.backends:
        backend.body_bytes = ANSWER_BYTES
    daemon = deployment.daemons[0]
    end_s = time.monotonic() + STOP_AFTER_S + CALM_S
    clients = [Client(deployment, f"c{index:02d}") for index in range(CLIENTS)]

    async def stop_daemon() -> None:
        await asyncio.sleep(STOP_AFTER_S)
        if deployment.has_trouble:
            deployment.record.write("SIGTERM")
            daemon.send_signal(signal.SIGTERM)
            assert daemon.process is not None
            async with asyncio.timeout(GRACE_PERIOD_S):
                await daemon.process.wait()
            deployment.record.write("the daemon has ended")

    await asyncio.gather(
        stop_daemon(),
        *(
            client.run(index / CLIENTS * START_SPREAD_S, end_s)
            for index, client in enumerate(clients)
        ),
    )
    ran = {name for backend in deployment.backends for name in backend.runs}
    cut = [name for client in clients for name in client.cut]
    cut_runs = [name for name in cut if name in ran]
    deployment.record.write(
        f"{len(ran)} requests have run; of these have no complete answer "
        f"({len(cut_runs)}): {' '.join(cut_runs)}"
    )
    if len(ran) < CLIENTS:
        raise rig.CannotRunError("too few requests have run")
    return bool(cut_runs)


if __name__ == "__main__":
    sys.exit(rig.main(HERE, rig.Deployment, play))
