"""A small deployment on loopback addresses for the scripts of this review.

It starts the project's daemons as separate processes with the command of
`deploy/system.toml`. The platform's store, the backends and the clients are
stand-ins of this file; they need nothing but Python's standard library.
"""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import tomllib
from typing import Any
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TENANT = "trattoria"
ACCOUNT_KEY = "2b9wu3fexd9dnn2ctnfz"
HOST_NAME = "ficu95.example"
HEARTBEAT_S = 0.87
TOUCH_S = 3.0
CONTI = "conti"
PRENOTA = "prenota"
KEY_COUNT = 65536

_REASONS = {
    200: "OK",
    201: "Created",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}

Json = Any
Headers = dict[str, str]


class CannotRunError(Exception):
    """Raised when a case can't run, for instance as nothing serves."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, directory: pathlib.Path):
        self._file = (directory / "record.txt").open("w")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line with the time since the start."""
        elapsed_s = time.monotonic() - self._began_s
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()


def free_address() -> str:
    """Returns a loopback address that is probably used by nobody else."""
    parts = (random.randint(1, 254) for _ in range(3))
    return "127." + ".".join(str(part) for part in parts)


def free_port(host: str) -> int:
    """Returns a port of an address without a listener."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]]] | None:
    """Returns the first line and the headers of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Returns the body that the headers announce."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


def encode_answer(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Returns an HTTP answer with a length."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's store: objects, conditional writes and watches."""

    def __init__(self) -> None:
        host = free_address()
        self.address = f"{host}:{free_port(host)}"
        self.revision = 100
        self._objects: dict[tuple[str, str], Json] = {}
        self._events: list[tuple[int, str, Json, bool]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accepts calls."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def put(self, kind: str, name: str, **fields: Json) -> Json:
        """Writes an object."""
        known = self._objects.get((kind, name))
        document = {**(known or {"status": None}), **fields}
        self.revision += 1
        created = known["metadata"]["createRevision"] if known else None
        document["metadata"] = {
            "name": name,
            "revision": self.revision,
            "createRevision": created or self.revision,
            "finalizers": [],
            "deleting": False,
        }
        self._objects[kind, name] = document
        self._events.append((self.revision, kind, document, False))
        async with self._changed:
            self._changed.notify_all()
        return document

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        document = self._objects.pop((kind, name), None)
        if document is None:
            return
        self.revision += 1
        self._events.append((self.revision, kind, document, True))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                headers = dict(head[1])
                body = await read_body(reader, headers)
                method, target, _ = head[0].split(" ")
                url = urllib.parse.urlsplit(target)
                status, reply = await self._call(
                    method,
                    [urllib.parse.unquote(x) for x in url.path.split("/")[2:]],
                    dict(urllib.parse.parse_qsl(url.query)),
                    json.loads(body) if body else None,
                )
                answer_headers = {
                    "Content-Type": "application/json",
                    "Store-Era": "1",
                }
                payload = json.dumps(reply).encode()
                writer.write(encode_answer(status, answer_headers, payload))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            return
        finally:
            writer.close()

    async def _call(
        self, method: str, path: list[str], query: dict[str, str], body: Json
    ) -> tuple[int, Json]:
        kind = path[0]
        if method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            return 201, await self.put(kind, name, spec=body["spec"])
        if len(path) == 1 and "watch" in query:
            return await self._watch(kind, query)
        if len(path) == 1:
            return 200, self._list(kind, query.get("after", ""))
        stored = self._objects.get((kind, path[1]))
        if stored is None:
            return 404, {"error": "absent"}
        if method == "GET":
            return 200, stored
        expected = query.get("revision")
        if method == "PUT":
            expected = body["metadata"].get("revision")
        revision = stored["metadata"]["revision"]
        if expected is not None and int(expected) != revision:
            return 409, stored
        if method == "DELETE":
            await self.remove(kind, path[1])
            return 200, stored
        field = "status" if path[2:] == ["status"] else "spec"
        if stored.get(field) == body[field]:
            return 200, stored
        return 200, await self.put(kind, path[1], **{field: body[field]})

    def _list(self, kind: str, after: str) -> Json:
        items = [
            document
            for (of_kind, name), document in sorted(self._objects.items())
            if of_kind == kind and name > after
        ]
        return {
            "items": items[:500],
            "hasMore": len(items) > 500,
            "currentRev": self.revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, Json]:
        since = int(query["watch"])

        def found() -> list[Json]:
            return [
                {"object": document, "deleted": deleted}
                for revision, of_kind, document, deleted in self._events
                if of_kind == kind and revision > since
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("waitMs", 0)) / 1000):
                async with self._changed:
                    await self._changed.wait_for(found)
        return 200, {"events": found(), "currentRev": self.revision}


class BackendRequest:
    """A request that a backend has read.

    Attributes:
      method: the method.
      target: path and query.
      headers: the headers by their names in lower case.
      body: the body.
      number: how many requests came before it on its connection.
      state: what the backend keeps with the connection.
    """

    def __init__(
        self,
        first_line: str,
        headers: Headers,
        body: bytes,
        number: int,
        state: dict[str, Any],
    ):
        self.method, self.target, _ = first_line.split(" ")
        self.headers = headers
        self.body = body
        self.number = number
        self.state = state

    @property
    def request_id(self) -> str:
        """The id of the client attempt."""
        return self.headers.get("x-request-id", "")


class Backend:
    """A sound backend, unless `answer` or `answer_grant` are replaced.

    Attributes:
      name: its id.
      state: what it says of itself in the store.
      runs: the ids of the requests that it ran, in order.
      answer: writes the answer to a request that it has run, and returns
        whether it keeps the connection.
      before_run: writes what comes before an answer, or refuses the request;
        returns whether the request is run.
      answer_grant: writes the answer to a grant, and returns whether it keeps
        the connection.
    """

    def __init__(self, store: Store, record: Record, name: str, service: str):
        self._store = store
        self._record = record
        self.name = name
        self.service = service
        host = free_address()
        self.address = f"{host}:{free_port(host)}"
        self.runs: list[str] = []
        self.state = "ready"
        self.body_bytes = 400
        self.work_s = 0.02
        self.answer = self._answer
        self.before_run: Callable[[BackendRequest, Any], bool] = (
            lambda request, writer: True
        )
        self.answer_grant: Callable[[BackendRequest, Any], Any] | None = None
        self._held_until_s: dict[int, float] = {}
        self._epochs: dict[int, int] = {}
        self._born_ms = int(time.time() * 1000)
        self._reports = itertools.count(1)
        self._stamps = itertools.count(1)

    async def start(self) -> None:
        """Accepts connections and registers in the store."""
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port))
        await self.report()

    async def report(self) -> None:
        """Writes its entry, with the next number."""
        await self._store.put(
            "servers",
            self.name,
            spec={
                "address": self.address,
                "born": self._born_ms,
                "info": {
                    "service": self.service,
                    "zone": "pa-1",
                    "slots": 3,
                    "version": "v1",
                },
            },
            status={
                "state": self.state,
                "seqNo": next(self._reports),
                "coldLeftS": 0,
            },
        )

    def new_stamp(self) -> str:
        """Returns the next value of X-Response-Stamp."""
        return f"{self.name}.{next(self._stamps):04d}.c9f2a4d1"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        state: dict[str, Any] = {}
        try:
            for number in itertools.count():
                head = await read_head(reader)
                if head is None:
                    break
                headers = dict(head[1])
                body = await read_body(reader, headers)
                request = BackendRequest(head[0], headers, body, number, state)
                if not await self._handle(request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            return
        finally:
            writer.close()

    async def _handle(
        self, request: BackendRequest, writer: asyncio.StreamWriter
    ) -> bool:
        expected = request.headers.get("x-expect-instance")
        path = request.target.partition("?")[0]
        if path == "/health":
            health = {"X-Instance-Id": self.name, "X-Server-Load": "0,0,3"}
            writer.write(encode_answer(200, health))
            return True
        refusal = {"X-Not-Executed": "1", "X-Request-Id": request.request_id}
        if expected is not None and expected != self.name:
            writer.write(
                encode_answer(421, {**refusal, "X-Instance-Id": self.name})
            )
            return True
        if path == "/grant":
            return await self._grant(request, writer)
        if path == "/release":
            order = json.loads(request.body)
            for key in range(order["from"], order["to"] + 1):
                self._held_until_s.pop(key, None)
            writer.write(encode_answer(200, {"X-Handover": "left"}))
            return True
        key = int(request.headers.get("x-shard-key", "-1"))
        holds = self._held_until_s.get(key, 0.0) > time.monotonic()
        if self.service == PRENOTA and not holds:
            writer.write(encode_answer(421, refusal))
            return True
        if not self.before_run(request, writer):
            return True
        self.runs.append(request.request_id)
        self._record.write(
            f"run {request.request_id} {request.method} {request.target} "
            f"at {self.name}"
        )
        await asyncio.sleep(self.work_s)
        return await self.answer(request, writer)

    async def _answer(
        self, request: BackendRequest, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(
            encode_answer(200, self.headers_of(request), self.body_of(request))
        )
        return True

    def headers_of(self, request: BackendRequest) -> Headers:
        """Returns the headers of an answer to a request that has run."""
        return {
            "X-Request-Id": request.request_id,
            "X-Response-Stamp": self.new_stamp(),
            "X-Server-Load": "1,0,3",
        }

    def body_of(self, request: BackendRequest) -> bytes:
        """Returns the body of the answer to a request."""
        text = f"{self.name} {request.request_id} ".encode()
        return (text * (self.body_bytes // len(text) + 1))[: self.body_bytes]

    async def _grant(
        self, request: BackendRequest, writer: asyncio.StreamWriter
    ) -> bool:
        order = json.loads(request.body)
        keys = range(order["from"], order["to"] + 1)
        if any(self._epochs.get(key, 0) > order["fence"] for key in keys):
            writer.write(encode_answer(409, {}))
            return True
        until_s = time.monotonic() + order["holdS"]
        for key in keys:
            self._epochs[key] = order["fence"]
            self._held_until_s[key] = until_s
        if self.answer_grant is not None:
            kept: bool = await self.answer_grant(request, writer)
            return kept
        writer.write(encode_answer(200, {}, b"{}"))
        return True


class Daemon:
    """A process of the project, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        store: Store,
        directory: pathlib.Path,
        memory_mb: int,
    ):
        self.name = name
        self.host = free_address()
        self.front_port = free_port(self.host)
        self.ready_port = free_port(self.host)
        self._log = directory / f"{name}.log"
        self._settings = directory / f"{name}.conf"
        first_port = 7660
        self._settings.write_text(
            "\n".join(
                [
                    f"nodeName={name}",
                    "role=daemon",
                    "machineClass=front",
                    "serves=front",
                    f"ip={self.host}",
                    "zone=pa-1",
                    "region=sicilia",
                    "zones.pa-1=sicilia",
                    f"listen.front={self.host}:{self.front_port}",
                    f"listen.ready={self.host}:{self.ready_port}",
                    f"internalPorts={first_port},{first_port + 15}",
                    "bootstrap=true",
                    "lossCounts=false",
                    "limits.cpuShare=0.86",
                    "limits.speedFactor=1",
                    f"limits.memoryMb={memory_mb}",
                    "limits.maxFds=4100",
                    "limits.linkMbps=1000.0",
                    "limits.diskMb=0",
                    "discovery=platform",
                    "entry=virtual_ip",
                    f"heartbeatS={HEARTBEAT_S}",
                    f"bounds.touchS={TOUCH_S:g}",
                    "bounds.drainTimeoutS=2",
                    "bounds.gracePeriodS=6",
                    "bounds.lostS=0.2",
                    "bounds.configApplyS=2",
                    "bounds.retryBudgetRatio=0.2",
                    "bounds.budgetWindowS=10",
                    "bounds.retrySlack=58",
                    "bounds.quotaWindowS=5",
                    "bounds.quotaOver=0.1",
                    "bounds.quotaSlack=20",
                    "bounds.coldOver=1.5",
                    "bounds.coldSlack=5",
                    "bounds.evacuateS=5",
                    "bounds.holdMaxS=10",
                    "bounds.thawS=0.3",
                    "grants=invoke",
                    f"platformApi.address={store.address}",
                    "platformApi.form=objects",
                    "platformApi.writesPerS=400",
                    "platformApi.readsPerS=2000",
                    "platformApi.historyS=20",
                    "platformApi.valueBytes=1048576",
                    "",
                ]
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["daemon"]
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(" "),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "SARDINEHILL_SETTINGS": str(self._settings),
                    **role["env"],
                },
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Asks as the platform's balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ready_port
                )
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and " 200 " in head[0]

    def log_lines(self) -> list[Json]:
        """Returns the events that the process has logged."""
        lines = []
        for line in self._log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


def request_bytes(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    key: int | None = None,
    body: bytes | None = None,
) -> bytes:
    """Returns a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Credential: {ACCOUNT_KEY}",
    ]
    if key is not None:
        lines.append(f"X-Shard-Key: {key}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


class Client:
    """A client with one kept connection to a daemon."""

    def __init__(self, daemon: Daemon):
        self._daemon = daemon
        self._streams: Any = None

    async def send(
        self, data: bytes, timeout_s: float
    ) -> tuple[int, Headers, bytes] | None:
        """Sends a request; returns the whole answer, or None without one."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self._daemon.host, self._daemon.front_port
                    )
                reader, writer = self._streams
                writer.write(data)
                head = await read_head(reader)
                if head is None:
                    self.close()
                    return None
                headers = dict(head[1])
                body = await read_body(reader, headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(head[0].split(" ")[1]), headers, body

    def close(self) -> None:
        """Closes the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def _route(name: str, prefix: str, service: str, kind: str) -> Json:
    return {
        "name": name,
        "pathPrefix": prefix,
        "service": service,
        "kind": kind,
        "timeoutS": 8.0,
        "targetLatencyS": 0.6,
        "priority": 1,
        "maxAttempts": 2,
    }


class Deployment:
    """A store, backends and daemons.

    Attributes:
      record: what was sent, answered and run.
      has_trouble: whether the disruption is to happen.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        daemons: int = 1,
        sharded: int = 0,
        plain: int = 2,
        memory_mb: int = 300,
    ):
        self.record = Record(directory)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._work = tempfile.TemporaryDirectory()
        self.store = Store()
        self.backends = [
            Backend(self.store, self.record, f"i-p{index}", PRENOTA)
            for index in range(sharded)
        ] + [
            Backend(self.store, self.record, f"i-c{index}", CONTI)
            for index in range(plain)
        ]
        self.daemons = [
            Daemon(
                f"front-{index}",
                self.store,
                pathlib.Path(self._work.name),
                memory_mb,
            )
            for index in range(daemons)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts everything and waits until the daemons say they are ready."""
        await self.store.start()
        await self.put_config()
        for backend in self.backends:
            await backend.start()
        for daemon in self.daemons:
            await daemon.start()
        self._tasks.append(asyncio.ensure_future(self._report_regularly()))
        end_s = time.monotonic() + 20
        while not all([await daemon.is_ready() for daemon in self.daemons]):
            if time.monotonic() > end_s:
                raise CannotRunError("the daemons don't get ready")
            await asyncio.sleep(0.2)
        # Only then are they in touch.
        await asyncio.sleep(TOUCH_S + 1)

    async def put_config(self, version: int = 7) -> None:
        """Writes the config."""
        routes = [
            _route("view", "/view/", CONTI, "idempotent"),
            _route("bill", "/bill/", CONTI, "non_idempotent"),
            _route("stock", "/stock/", PRENOTA, "idempotent"),
            _route("book", "/book/", PRENOTA, "non_idempotent"),
        ]
        services = [
            {"name": PRENOTA, "healthPath": "/health", "maxConns": 110},
            {"name": CONTI, "healthPath": "/health", "maxConns": 110},
        ]
        services[0]["sharded"] = True
        await self.store.put(
            "config",
            "main",
            spec={
                "version": f"r{version}",
                "services": services,
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 1048576,
                    "headerTimeoutS": 5.0,
                    "idleTimeoutS": 30.0,
                },
                "tenants": [
                    {"name": TENANT, "apiKeys": [ACCOUNT_KEY], "priority": 1}
                ],
                "virtualHosts": [{"host": HOST_NAME, "pathRoutes": routes}],
            },
        )

    async def _report_regularly(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for backend in self.backends:
                await backend.report()

    async def stop(self) -> None:
        """Ends all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.kill()
        self._work.cleanup()


def main(
    directory: pathlib.Path,
    deployment_of: Callable[[pathlib.Path], Deployment],
    play: Callable[[Deployment], Any],
) -> int:
    """Plays a case; returns 1 if its rule was broken, 0 if not, else 2."""

    async def body() -> int:
        deployment = deployment_of(directory)
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                is_broken: bool = await play(deployment)
        except Exception as error:
            # Also an error of the script itself shows nothing of the rule.
            text = f"the case could not run: {error!r}"
            deployment.record.write(text)
            print(text)
            return 2
        finally:
            await deployment.stop()
        verdict = "broken" if is_broken else "held"
        deployment.record.write(f"the rule {verdict}")
        print(f"the rule {verdict}")
        return int(is_broken)

    return asyncio.run(body())
