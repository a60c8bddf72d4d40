"""Starts daemons by the deploy file's command, and backends, for one case."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from typing import Any
from typing import NoReturn
from typing import TypeVar

from support import store as store_module
from support import wire

ROOT = pathlib.Path(__file__).parents[2]
SUPPORT = pathlib.Path(__file__).parent
STORE_HOST = "127.0.0.1"
HEARTBEAT_S = 0.87
ACCOUNT_KEY = "2b9wu3fexd9dnn2ctnfz"
HOST_NAME = "ficu95.example"
# A case is given up after this time, and its processes are ended.
MAX_PLAY_S = 108.0
T = TypeVar("T")
# Set to 0, a case runs without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class UnableError(Exception):
    """Raised if a case cannot run."""


def play(case: Coroutine[Any, Any, T]) -> T:
    """Plays a case, within its time.

    Raises:
      UnableError: it took too long.
    """

    async def play_in_time() -> T:
        try:
            async with asyncio.timeout(MAX_PLAY_S):
                return await case
        except TimeoutError as error:
            raise UnableError("the case took too long") from error

    return asyncio.run(play_in_time())


def exit_with(main: Callable[[], int]) -> NoReturn:
    """Ends this process with a case's exit status, or with 2 if it fails."""

    def stop(number: int, frame: object) -> NoReturn:
        raise UnableError(f"ended by signal {number}")

    signal.signal(signal.SIGTERM, stop)
    try:
        status = main()
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)


class Daemon:
    """One daemon of the project, as a process."""

    def __init__(self, name: str, host: str, zone: str, store_port: int):
        self.name = name
        front, ready, peer, metrics = wire.free_ports(host, 4)
        self.front = f"{host}:{front}"
        self.ready = f"{host}:{ready}"
        self._metrics_port = metrics
        self._settings = "\n".join(
            [
                f"nodeName={name}",
                "role=daemon",
                "machineClass=front",
                "serves=front",
                f"ip={host}",
                f"zone={zone}",
                "region=sicilia",
                "zones.pa-1=sicilia",
                "zones.ct-1=sicilia",
                f"listen.front={self.front}",
                f"listen.ready={self.ready}",
                # The project uses the first one; the second one is its default
                # for metrics.
                f"internalPorts={min(peer, metrics)},{max(peer, metrics)}",
                "bootstrap=true",
                "lossCounts=false",
                "limits.cpuShare=0.86",
                "limits.speedFactor=1",
                "limits.memoryMb=300",
                "limits.maxFds=4100",
                "limits.linkMbps=1000.0",
                "discovery=platform",
                "entry=virtual_ip",
                f"heartbeatS={HEARTBEAT_S}",
                "contracts=base,drain,config,cost,retry,recover,own,places,"
                "tenants,quota,platform",
                "faultTolerance.machines=1",
                "faultTolerance.zones=1",
                "bounds.touchS=3",
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
                "bounds.recoveryS=15",
                "bounds.holdMaxS=10",
                "bounds.thawS=0.3",
                "grants=invoke",
                f"platformApi.address={STORE_HOST}:{store_port}",
                "platformApi.form=objects",
                "platformApi.writesPerS=400",
                "platformApi.readsPerS=2000",
                "platformApi.historyS=20",
                "platformApi.valueBytes=1048576",
                "",
            ]
        )
        self._metrics_port = max(peer, metrics)
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, directory: pathlib.Path) -> None:
        """Starts the process with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["daemon"]
        if not (ROOT / "target/deps/sardinehill").is_dir():
            raise UnableError("the build of the deploy file has not run")
        path = directory / f"{self.name}.conf"
        path.write_text(self._settings)
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with (directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **kept,
                    **role.get("env", {}),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "SARDINEHILL_SETTINGS": str(path),
                    "SARDINEHILL_METRICS_PORT": str(self._metrics_port),
                },
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Returns whether the daemon says that it is ready."""
        try:
            answer = await wire.call(
                self.ready, "GET", "/readiness", {"Host": "r"}, timeout_s=1.0
            )
        except (OSError, asyncio.IncompleteReadError):
            return False
        return answer.start[1] == "200"


class KeptConnection:
    """A client's connection that carries one request after the other."""

    def __init__(self, fleet: "Fleet", daemon: Daemon):
        self._fleet = fleet
        self._daemon = daemon
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._answered = 0

    async def request(
        self,
        request_id: str,
        key: int | None,
        method: str,
        path: str,
        deadline_ms: int = 2000,
    ) -> int:
        """Sends a request; returns the status, or 0 if there is no answer."""
        status, ended = 0, ""
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    host, _, port = self._daemon.front.rpartition(":")
                    self._reader, self._writer = await asyncio.open_connection(
                        host, int(port)
                    )
                    self._answered = 0
                assert self._reader is not None
                lines = [
                    f"{method} {path} HTTP/1.1",
                    f"Host: {HOST_NAME}",
                    f"X-Request-Id: {request_id}",
                    f"X-Deadline-Ms: {deadline_ms}",
                    f"X-Credential: {ACCOUNT_KEY}",
                ]
                if key is not None:
                    lines.append(f"X-Shard-Key: {key}")
                self._fleet.note(
                    "sent",
                    id=request_id,
                    key=key,
                    to=self._daemon.name,
                    kept=self._answered > 0,
                )
                self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                answer = await wire.read_message(self._reader)
                status = int(answer.start[1])
                self._answered += 1
                if answer.headers.get("connection") == "close":
                    self.close()
        except TimeoutError:
            ended = "time limit"
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            ended = "closed"
            self.close()
        self._fleet.note("answered", id=request_id, status=status, ended=ended)
        return status

    def close(self) -> None:
        """Closes the connection; the next request opens another one."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


class BackendProcess:
    """One backend, as a process that may be started anew."""

    def __init__(self, directory: pathlib.Path, settings: dict[str, Any]):
        self.name: str = settings["id"]
        self.address: str = settings["address"]
        self._settings = directory / f"{self.name}.json"
        self._settings.write_text(json.dumps(settings))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        self.process = subprocess.Popen(
            [sys.executable, str(SUPPORT / "backend.py"), str(self._settings)],
            stdin=subprocess.DEVNULL,
        )

    def kill(self) -> None:
        """Kills the process, and waits for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """A store, backends and daemons of a small deployment.

    Public attributes:
      record: what backends and clients have noted, by their steady clock.
    """

    def __init__(self, case: pathlib.Path):
        self._case = case
        self._temporary = tempfile.TemporaryDirectory(prefix="sardinehill-")
        self.directory = pathlib.Path(self._temporary.name)
        self.store = store_module.Store(HEARTBEAT_S)
        (self._store_port,) = wire.free_ports(STORE_HOST, 1)
        self._record_path = self.directory / "record"
        self._record = self._record_path.open("ab", buffering=0)
        self._tasks: list[asyncio.Task[Any]] = []
        self.daemons: list[Daemon] = []
        self.backends: dict[str, BackendProcess] = {}

    async def start_store(self, config: dict[str, Any]) -> None:
        """Starts the store, with a config in it."""
        await wire.serve(STORE_HOST, self._store_port, self.store.handle)
        self._tasks.append(asyncio.ensure_future(self.store.expire()))
        await self.store.write("config", "main", spec=config)

    def add_backend(
        self, index: int, service: str, sharded: bool, **settings: Any
    ) -> BackendProcess:
        """Starts a backend."""
        host = f"127.0.2.{index + 1}"
        (port,) = wire.free_ports(host, 1)
        backend = BackendProcess(
            self.directory,
            {
                "id": f"i-{index:04x}",
                "address": f"{host}:{port}",
                "service": service,
                "sharded": sharded,
                "zone": ("pa-1", "ct-1")[index % 2],
                "slots": 3,
                "work_s": 0.03,
                "heartbeat_s": HEARTBEAT_S,
                "store": f"{STORE_HOST}:{self._store_port}",
                "record": str(self._record_path),
                **settings,
            },
        )
        self.backends[backend.name] = backend
        backend.start()
        return backend

    def add_daemon(self) -> Daemon:
        """Starts a daemon."""
        index = len(self.daemons)
        daemon = Daemon(
            f"front-{index}",
            f"127.0.1.{index + 1}",
            ("pa-1", "ct-1")[index % 2],
            self._store_port,
        )
        self.daemons.append(daemon)
        daemon.start(self.directory)
        return daemon

    def note(self, what: str, **fields: Any) -> None:
        """Appends a line to the record."""
        line = {"t": round(time.monotonic(), 4), "what": what, **fields}
        self._record.write((json.dumps(line) + "\n").encode())

    def lines(self) -> list[dict[str, Any]]:
        """Returns the record so far, in the order of time."""
        text = self._record_path.read_text()
        lines = [json.loads(line) for line in text.splitlines()]
        return sorted(lines, key=lambda line: line["t"])

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until all daemons are ready.

        Raises:
          UnableError: some are not in time.
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            ready = [await daemon.is_ready() for daemon in self.daemons]
            if all(ready):
                return
            await asyncio.sleep(0.2)
        raise UnableError("the daemons are not ready in time")

    async def request(
        self,
        daemon: Daemon,
        request_id: str,
        key: int | None,
        method: str = "GET",
        path: str = "/lohu930/2f",
        deadline_ms: int = 2000,
        body: bytes = b"",
    ) -> int:
        """Sends a client's request; returns the status, or 0 for none."""
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Credential": ACCOUNT_KEY,
        }
        if key is not None:
            headers["X-Shard-Key"] = str(key)
        self.note("sent", id=request_id, key=key, to=daemon.name)
        try:
            answer = await wire.call(
                daemon.front,
                method,
                path,
                headers,
                body,
                timeout_s=deadline_ms / 1000,
            )
            status = int(answer.start[1])
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        self.note("answered", id=request_id, status=status)
        return status

    async def wait_until_served(self, timeout_s: float = 20.0) -> None:
        """Waits until all daemons serve keys from all parts.

        Raises:
          UnableError: they do not in time.
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            statuses = [
                await self.request(daemon, f"w{time.monotonic_ns()}", key)
                for daemon in self.daemons
                for key in (0, 20000, 40000, 65535)
            ]
            if set(statuses) == {200}:
                return
            await asyncio.sleep(0.2)
        raise UnableError("the daemons do not serve in time")

    def close(self, verdict: str) -> None:
        """Ends all processes and writes the record beside the case."""
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.signal(signal.SIGCONT)
                daemon.signal(signal.SIGKILL)
                daemon.process.wait()
        for backend in self.backends.values():
            backend.kill()
        for task in self._tasks:
            task.cancel()
        text = "".join(json.dumps(line) + "\n" for line in self.lines())
        (self._case / "record.txt").write_text(text + verdict + "\n")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for log in self.directory.glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


def config(**limits: Any) -> dict[str, Any]:
    """Returns a config with a divided service and a plain one."""
    base = {
        "timeoutS": 2,
        "targetLatencyS": 0.3,
        "priority": 1,
        "maxAttempts": 2,
        "authExempt": False,
    }
    service = {
        "healthPath": "/health",
        "maxConns": 110,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 11.0,
    }
    return {
        "version": "r7",
        "services": [
            {**service, "name": "prenota", "sharded": True, "warmS": 5.0},
            {**service, "name": "conti"},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
            **limits,
        },
        "tenants": [{"name": "huka270", "apiKeys": [ACCOUNT_KEY]}],
        "virtualHosts": [
            {
                "host": HOST_NAME,
                "pathRoutes": [
                    {
                        **base,
                        "name": "stock-check",
                        "pathPrefix": "/lohu930/",
                        "kind": "idempotent",
                        "service": "prenota",
                    },
                    {
                        **base,
                        "name": "book-hire",
                        "pathPrefix": "/pufi791/",
                        "kind": "non_idempotent",
                        "service": "prenota",
                    },
                    {
                        **base,
                        "name": "order-view",
                        "pathPrefix": "/view33/",
                        "kind": "idempotent",
                        "service": "conti",
                    },
                    {
                        **base,
                        "name": "bill-venue",
                        "pathPrefix": "/bill44/",
                        "kind": "non_idempotent",
                        "service": "conti",
                    },
                ],
            }
        ],
    }


def holds(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns which backend held which keys when, from a record.

    A hold begins with the arrival of a grant, and ends when its time has run
    out, with a release, or with the end of the backend's life.
    """
    ends = {
        (line["backend"], line["born"]): line["t"]
        for line in lines
        if line["what"] == "killed"
    }
    found: list[dict[str, Any]] = []
    for line in lines:
        if line["what"] not in ("grant", "release"):
            continue
        life = (line["backend"], line["born"])
        kept = []
        for hold in found:
            if hold["life"] != life or hold["end"] <= line["t"]:
                kept.append(hold)
                continue
            low = max(hold["first"], line["first"])
            high = min(hold["last"], line["last"])
            if low > high:
                kept.append(hold)
                continue
            for first, last in (
                (hold["first"], low - 1),
                (high + 1, hold["last"]),
            ):
                if first <= last:
                    kept.append({**hold, "first": first, "last": last})
            renewed = line["what"] == "grant" and line["epoch"] == hold["epoch"]
            if not renewed:
                kept.append(
                    {**hold, "first": low, "last": high, "end": line["t"]}
                )
            else:
                end_s = line["t"] + line["hold_s"]
                kept.append({**hold, "first": low, "last": high, "end": end_s})
        found = kept
        if line["what"] == "grant":
            covered = [
                hold
                for hold in found
                if hold["life"] == life
                and hold["epoch"] == line["epoch"]
                and hold["end"] > line["t"]
                and line["first"] <= hold["first"]
                and hold["last"] <= line["last"]
            ]
            size = sum(hold["last"] - hold["first"] + 1 for hold in covered)
            if size < line["last"] - line["first"] + 1:
                found.append(
                    {
                        "life": life,
                        "first": line["first"],
                        "last": line["last"],
                        "epoch": line["epoch"],
                        "start": line["t"],
                        "end": line["t"] + line["hold_s"],
                    }
                )
    for hold in found:
        hold["end"] = min(hold["end"], ends.get(hold["life"], hold["end"]))
    return found


def doubles(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns where two backends held the same keys at the same time."""
    found = []
    all_holds = holds(lines)
    for index, one in enumerate(all_holds):
        for other in all_holds[index + 1 :]:
            if one["life"][0] == other["life"][0]:
                continue
            low = max(one["first"], other["first"])
            high = min(one["last"], other["last"])
            start_s = max(one["start"], other["start"])
            end_s = min(one["end"], other["end"])
            if low <= high and end_s > start_s:
                found.append(
                    {
                        "first": low,
                        "last": high,
                        "start": start_s,
                        "for_s": round(end_s - start_s, 3),
                        "one": one,
                        "other": other,
                    }
                )
    return found
