"""Answers that are reset on the way reach clients as complete ones."""

import asyncio
import collections
import itertools
import pathlib
import random
import socket
import struct
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support2"))
import rig  # noqa: E402

BACKENDS = 4
CLIENTS = 12
DEADLINE_MS = 1200
SEED = 20
# The dose of the trouble `garble` with `unframed`: the share of the backends by
# default, the share of their answers in the site file, and how long.
FAULTY_BACKENDS = 2
SPOILT_SHARE = 0.05
SPOILT_S = 5.0
CALM_S = 1.0
# The longest answers of the site file.
BODY_BYTES = 9000


class FaultyBackend:
    """Sends some answers without a length, and resets them on the way."""

    def __init__(self, deployment: rig.Deployment, backend: rig.Backend):
        self._record = deployment.record
        self._backend = backend
        self._random = random.Random(f"{SEED} {backend.name}")
        self._answers = 0
        self._spoilt = 0
        self.is_faulty = False
        backend.answer = self._answer

    async def _answer(self, request: rig.BackendRequest, writer) -> bool:
        self._answers += 1
        headers = self._backend.headers_of(request)
        body = self._backend.body_of(request)
        if (
            not self.is_faulty
            or self._spoilt + 1 > SPOILT_SHARE * self._answers
        ):
            writer.write(rig.encode_answer(200, headers, body))
            return True
        self._spoilt += 1
        length = self._random.randrange(1, len(body))
        self._record.write(
            f"{self._backend.name} resets its answer to {request.request_id} "
            f"after {length} of {len(body)} bytes"
        )
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(
            ["HTTP/1.1 200 OK", *lines, "Connection: close", "", ""]
        )
        writer.write(head.encode() + body[:length])
        await writer.drain()
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()
        return False


async def _exchange(daemon: rig.Daemon, data: bytes) -> tuple[int, bytes]:
    """Returns the status and the body of a complete answer.

    Raises:
      ConnectionError: the answer was reset or broke off.
      asyncio.IncompleteReadError: it ended before its length.
    """
    reader, writer = await asyncio.open_connection(
        daemon.host, daemon.front_port
    )
    try:
        writer.write(data)
        head = await rig.read_head(reader)
        if head is None:
            raise ConnectionResetError("no answer")
        headers = dict(head[1])
        status = int(head[0].split(" ")[1])
        if "content-length" in headers:
            return status, await rig.read_body(reader, headers)
        # Without a length, the end in order of the connection ends the body.
        return status, await reader.read(-1)
    finally:
        writer.close()


async def play(deployment: rig.Deployment) -> bool:
    """Returns whether a client has got a part of a body as a whole one."""
    backends = deployment.backends
    faulty = [
        FaultyBackend(deployment, backend)
        for backend in backends[:FAULTY_BACKENDS]
    ]
    for backend in backends:
        backend.body_bytes = BODY_BYTES
    numbers = itertools.count(1)
    outcomes: collections.Counter[str] = collections.Counter()
    cut: list[str] = []
    end_s = time.monotonic() + CALM_S + SPOILT_S

    async def send_once(method: str, path: str) -> None:
        request_id = f"{path[1:5]}-{next(numbers):05d}"
        body = b"{}" if method == "POST" else None
        data = rig.request_bytes(
            method, path, request_id, DEADLINE_MS, body=body
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                status, answer = await _exchange(deployment.daemons[0], data)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            outcomes["no complete answer"] += 1
            deployment.record.write(f"answer {request_id} {error!r}")
            return
        outcomes[str(status)] += 1
        deployment.record.write(
            f"answer {request_id} {status} with {len(answer)} bytes"
        )
        if status == 200 and len(answer) != BODY_BYTES:
            cut.append(f"{request_id} ({len(answer)} bytes)")

    async def send_regularly(index: int) -> None:
        while time.monotonic() < end_s:
            if index % 2:
                await send_once("POST", "/bill/a")
            else:
                await send_once("GET", "/view/a")

    async def spoil() -> None:
        await asyncio.sleep(CALM_S)
        for backend in faulty:
            backend.is_faulty = deployment.has_trouble

    await asyncio.gather(
        spoil(), *(send_regularly(index) for index in range(CLIENTS))
    )
    deployment.record.write(f"outcomes {dict(outcomes)}")
    deployment.record.write(
        f"success with a part of the body ({len(cut)}): {', '.join(cut)}"
    )
    if not outcomes["200"]:
        raise rig.CannotRunError("no request is served")
    return bool(cut)


def new_deployment(directory: pathlib.Path) -> rig.Deployment:
    """Returns one with enough backends that only a part is faulty."""
    return rig.Deployment(directory, daemons=1, plain=BACKENDS)


if __name__ == "__main__":
    sys.exit(rig.main(HERE, new_deployment, play))
