"""Stands in for one backend, as PROTOCOL.md describes it.

usage: python3 backend.py SETTINGS, where SETTINGS is a JSON file. Each start is
a new life: it holds no keys, and its counts begin anew. It appends what it does
to a record, a JSON line each, stamped by the machine's steady clock.
"""

import asyncio
import json
import os
import pathlib
import random
import sys
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from support import wire  # noqa: E402

MAX_QUEUED = 12
ENDLESS_CHUNK = b"x" * 65536


class Backend:
    """One life of a backend."""

    def __init__(self, settings: dict[str, Any]):
        self._settings = settings
        self.name: str = settings["id"]
        self._born_ms = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(settings["slots"])
        self._running = 0
        self._waiting = 0
        # Held spans: first, last, epoch, until.
        self._held: list[tuple[int, int, int, float]] = []
        # Epochs that were seen on spans: first, last, epoch.
        self._seen: list[tuple[int, int, int]] = []
        # The keys of running requests.
        self._at_work: list[int] = []
        self._work_ended = asyncio.Condition()
        self._record = os.open(
            settings["record"], os.O_WRONLY | os.O_APPEND | os.O_CREAT
        )

    def note(self, what: str, **fields: Any) -> None:
        """Appends a line to the record."""
        line = {
            "t": round(time.monotonic(), 4),
            "backend": self.name,
            "born": self._born_ms,
            "what": what,
            **fields,
        }
        os.write(self._record, (json.dumps(line) + "\n").encode())

    async def run(self) -> None:
        """Serves until the process is killed."""
        host, _, port = self._settings["address"].rpartition(":")
        await wire.serve(host, int(port), self._handle)
        self.note("start")
        number = 0
        while True:
            number += 1
            await self._beat(number)
            await asyncio.sleep(self._settings["heartbeat_s"])

    async def _beat(self, number: int) -> None:
        entry = {
            "address": self._settings["address"],
            "born": self._born_ms,
            "info": {
                "service": self._settings["service"],
                "version": "v1",
                "zone": self._settings["zone"],
                "slots": self._settings["slots"],
            },
            "status": {"state": "ready", "seqNo": number, "coldLeftS": 0},
        }
        try:
            await wire.call(
                self._settings["store"],
                "PUT",
                f"/beat/{self.name}",
                {"Host": "store"},
                json.dumps(entry).encode(),
                timeout_s=1.0,
            )
        except (OSError, asyncio.IncompleteReadError) as error:
            self.note("beat-failed", error=repr(error))

    async def _handle(self, request: wire.Message) -> bytes | None:
        method, path = request.start[0], request.start[1]
        expected = request.headers.get("x-expect-instance")
        echoed = {"X-Instance-Id": self.name}
        if "x-request-id" in request.headers:
            echoed["X-Request-Id"] = request.headers["x-request-id"]
        if expected is not None and expected != self.name:
            return wire.encode(421, {**echoed, "X-Not-Executed": "1"})
        if (method, path) == ("POST", "/grant"):
            return self._grant(json.loads(request.body))
        if (method, path) == ("POST", "/release"):
            return await self._release(json.loads(request.body))
        if path == "/health":
            return wire.encode(200, {**echoed, "X-Server-Load": self._load()})
        return await self._serve(request, echoed)

    def _load(self) -> str:
        return f"{self._running},{self._waiting},{self._settings['slots']},100"

    # keys

    def _grant(self, body: dict[str, Any]) -> bytes:
        now_s = time.monotonic()
        first, last, epoch = body["from"], body["to"], body["fence"]
        if any(
            seen > epoch and low <= last and first <= high
            for low, high, seen in self._seen
        ):
            self.note("grant-fenced", first=first, last=last, epoch=epoch)
            return wire.encode(409)
        until_s = now_s + body["holdS"]
        self._saw(first, last, epoch)
        self._cut(first, last)
        self._held.append((first, last, epoch, until_s))
        self.note(
            "grant", first=first, last=last, epoch=epoch, hold_s=body["holdS"]
        )
        return wire.encode(200, body=b"{}")

    def _saw(self, first: int, last: int, epoch: int) -> None:
        self._seen = [
            span
            for span in self._seen
            if not (first <= span[0] and span[1] <= last and span[2] <= epoch)
        ]
        self._seen.append((first, last, epoch))

    def _cut(self, first: int, last: int) -> None:
        rest = []
        for low, high, epoch, until_s in self._held:
            if high < first or low > last:
                rest.append((low, high, epoch, until_s))
                continue
            if low < first:
                rest.append((low, first - 1, epoch, until_s))
            if high > last:
                rest.append((last + 1, high, epoch, until_s))
        self._held = rest

    async def _release(self, body: dict[str, Any]) -> bytes:
        first, last = body["from"], body["to"]
        self._cut(first, last)
        self.note("release", first=first, last=last, epoch=body["fence"])
        async with self._work_ended:
            await self._work_ended.wait_for(
                lambda: not any(first <= key <= last for key in self._at_work)
            )
        return wire.encode(200, {"X-Handover": f"h{first}"})

    def _holds(self, key: int) -> bool:
        now_s = time.monotonic()
        return any(
            low <= key <= high and now_s < until_s
            for low, high, _, until_s in self._held
        )

    # requests

    async def _serve(
        self, request: wire.Message, echoed: dict[str, str]
    ) -> bytes | None:
        request_id = request.headers.get("x-request-id", "")
        key = -1
        if self._settings["sharded"]:
            key = int(request.headers.get("x-shard-key", "-1"))
            if not self._holds(key):
                return wire.encode(421, {**echoed, "X-Not-Executed": "1"})
        if self._waiting >= MAX_QUEUED:
            return wire.encode(503, {**echoed, "X-Not-Executed": "1"})
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self._at_work.append(key)
            self.note(
                "run",
                id=request_id,
                key=key,
                method=request.start[0],
                tenant=request.headers.get("x-tenant-id"),
                body_bytes=len(request.body),
            )
            try:
                await asyncio.sleep(self._settings["work_s"])
            finally:
                self._at_work.remove(key)
                self._running -= 1
                async with self._work_ended:
                    self._work_ended.notify_all()
        if self._is_spoilt():
            return await self._send_without_end(request, request_id, echoed)
        headers = {
            **echoed,
            "X-Response-Stamp": f"{self.name}.{request_id}",
            "X-Server-Load": self._load(),
        }
        size = self._settings.get("answer_bytes", 200)
        body = b"a" * size
        if self._settings.get("unframed") and size > 1000:
            return await self._answer_without_length(request, headers, body)
        return wire.encode(200, headers, body)

    def _is_spoilt(self) -> bool:
        """Returns whether the next answer has no end."""
        return (
            os.path.exists(self._settings.get("trouble_file", ""))
            and random.random() < self._settings["endless_ratio"]
        )

    async def _send_without_end(
        self, request: wire.Message, request_id: str, echoed: dict[str, str]
    ) -> None:
        """Sends bytes in place of an answer until the caller closes."""
        writer = request.writer
        assert writer is not None
        self.note("endless", id=request_id)
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in echoed.items()]
        started_s, sent = time.monotonic(), 0
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            while not writer.is_closing():
                writer.write(ENDLESS_CHUNK)
                await writer.drain()
                sent += len(ENDLESS_CHUNK)
                ahead_s = sent / self._settings["endless_bytes_per_s"] - (
                    time.monotonic() - started_s
                )
                await asyncio.sleep(max(ahead_s, 0.0))
        except OSError:
            pass
        writer.close()
        self.note("endless-closed", id=request_id, sent=sent)

    async def _answer_without_length(
        self, request: wire.Message, headers: dict[str, str], body: bytes
    ) -> None:
        """Answers with a body that ends with the connection."""
        writer = request.writer
        assert writer is not None
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        writer.close()


if __name__ == "__main__":
    asyncio.run(
        Backend(json.loads(pathlib.Path(sys.argv[1]).read_text())).run()
    )
