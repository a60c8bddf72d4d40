"""Sends client requests to the daemons and journals every result."""

import asyncio
import dataclasses
import hashlib
import itertools
import json
import time
import uuid

import aiohttp

from standins import journal as journal_module

READINESS_CHECK_INTERVAL_S = 0.2
READINESS_CHECK_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 10.0


def random_uuid7() -> str:
    """Returns a random UUID of version 7.

    Soon after a key moved to another gateway, the time in such an id shows
    that the request is new. An id without a time is refused for half a minute.
    """
    random_bits = uuid.uuid4().int & ((1 << 62) - 1)
    now_ms = time.time_ns() // 1_000_000
    return str(uuid.UUID(int=now_ms << 80 | 7 << 76 | 2 << 62 | random_bits))


@dataclasses.dataclass(frozen=True)
class ClientRequest:
    """Describes one request of a client.

    Attributes:
      account: the client account that sends it.
      path: the path, without a query.
      key: the booking or order key, empty for none.
      method: GET is idempotent, POST is not.
      size_bytes: requested length of the answer's padding.
      service_time_ms: duration on the upstream, 0 for the upstream's default.
      deadline_ms: how long the caller waits, 0 for the service's default.
      marker: unique id of the client's action; the same when the caller
        submits the action again.
    """

    account: str
    path: str
    key: str = ""
    method: str = "GET"
    size_bytes: int = 0
    service_time_ms: float = 0.0
    deadline_ms: int = 0
    marker: str = dataclasses.field(default_factory=random_uuid7)


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """Holds the result of one request.

    Attributes:
      outcome: "answered", "refused" (no connection was made), "cut" (the
        connection broke) or "timeout".
      status: the HTTP status, 0 when there was no answer.
      verdict: the `Sardinehill-Verdict` header, empty when it is missing.
      reason: the `Sardinehill-Reason` header, empty when it is missing.
      upstream: the upstream that reports having run the request.
      matches: whether the answer is complete and belongs to this request.
      sent_s: when the request was sent, on the monotonic clock.
      answered_s: when its outcome was known, on the monotonic clock.
    """

    outcome: str
    status: int = 0
    verdict: str = ""
    reason: str = ""
    request_id: str = ""
    upstream: str = ""
    matches: bool = False
    retry_after: str = ""
    sent_s: float = 0.0
    answered_s: float = 0.0


@dataclasses.dataclass
class EntryPoint:
    """Represents one daemon behind the balancer."""

    name: str
    address: tuple[str, int]
    ready: bool = True


class Driver:
    """Sends requests through its own round-robin balancer."""

    def __init__(self, journal: journal_module.Journal):
        self.journal = journal
        self.account_keys: dict[str, str] = {}
        self.entries: dict[str, EntryPoint] = {}
        self._round_robin = itertools.count()
        self._session: aiohttp.ClientSession | None = None
        self._round_checked = asyncio.Event()
        self._check_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the HTTP session and starts the readiness checks."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )
        # By default aiohttp retries an idempotent request when a kept-alive
        # connection breaks, which would hide a request that was cut off.
        self._session._retry_connection = False
        self._check_task = asyncio.ensure_future(self._poll_readiness())

    async def close(self) -> None:
        """Stops the readiness checks and closes all connections."""
        if self._check_task is not None:
            self._check_task.cancel()
        if self._session is not None:
            await self._session.close()

    def add_entry(self, name: str, address: tuple[str, int]) -> None:
        """Adds a daemon or replaces its address."""
        self.entries[name] = EntryPoint(name, address)

    async def _poll_readiness(self) -> None:
        while True:
            await asyncio.gather(
                *(
                    self._check_readiness(entry)
                    for entry in self.entries.values()
                )
            )
            self._round_checked.set()
            self._round_checked = asyncio.Event()
            await asyncio.sleep(READINESS_CHECK_INTERVAL_S)

    async def _check_readiness(self, entry: EntryPoint) -> None:
        assert self._session is not None
        ip, port = entry.address
        timeout = aiohttp.ClientTimeout(total=READINESS_CHECK_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{ip}:{port}/-/ready", timeout=timeout
            ) as reply:
                entry.ready = reply.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            entry.ready = False

    async def wait_ready(self, count: int, timeout_s: float = 20.0) -> None:
        """Waits until `count` entries are ready.

        Raises:
          TimeoutError: they were not ready within `timeout_s`.
        """
        async with asyncio.timeout(timeout_s):
            while sum(entry.ready for entry in self.entries.values()) < count:
                round_checked = self._round_checked
                await round_checked.wait()

    def choose_entry(self) -> EntryPoint:
        """Returns the next ready entry, or the next of all if none is ready."""
        entries = list(self.entries.values())
        ready = [entry for entry in entries if entry.ready] or entries
        return ready[next(self._round_robin) % len(ready)]

    async def send(
        self,
        request: ClientRequest,
        body: bytes = b"",
        account_key: str | None = None,
        entry: EntryPoint | None = None,
        headers: dict[str, str] | None = None,
    ) -> RequestResult:
        """Sends a request, journals its result and returns it.

        Args:
          request: the request to send.
          body: the request's body.
          account_key: the secret to send, the account's own by default.
          entry: the daemon to use, the balancer's choice by default.
          headers: headers in addition to those that the request needs.
        """
        entry = entry or self.choose_entry()
        secret = account_key or self.account_keys.get(request.account, "")
        sent_s = time.monotonic()
        result = await self._exchange(
            request, body, secret, entry, headers or {}
        )
        result = dataclasses.replace(
            result, sent_s=sent_s, answered_s=time.monotonic()
        )
        self.journal.write(
            "answer",
            entry=entry.name,
            account_key_id=account_key_digest(secret),
            **dataclasses.asdict(request),
            **dataclasses.asdict(result),
        )
        return result

    async def _exchange(
        self,
        request: ClientRequest,
        body: bytes,
        secret: str,
        entry: EntryPoint,
        extra_headers: dict[str, str],
    ) -> RequestResult:
        assert self._session is not None
        ip, port = entry.address
        target = _request_target(request)
        headers = {
            "Authorization": f"Bearer {secret}",
            **_idempotency_headers(request),
            **({"Sardinehill-Key": request.key} if request.key else {}),
            **extra_headers,
        }
        if request.deadline_ms:
            headers["Sardinehill-Deadline-Ms"] = str(request.deadline_ms)
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.request(
                request.method,
                f"http://{ip}:{port}{target}",
                data=body,
                headers=headers,
                timeout=timeout,
            ) as reply:
                content = await reply.read()
                return _read_answer(request, target, body, reply, content)
        except aiohttp.ClientConnectorError:
            return RequestResult("refused")
        except TimeoutError:
            return RequestResult("timeout")
        except (aiohttp.ClientError, OSError):
            return RequestResult("cut")


def uuid7_from_bits(random_bits: int) -> str:
    """Returns a UUID of version 7 from the present time and random bits.

    A daemon that has just become a key's gateway uses the time to decide
    whether an id can repeat a request that the daemon has not seen.

    Args:
      random_bits: an integer of 74 bits.
    """
    value = (time.time_ns() // 1_000_000) << 80
    value |= 0x7 << 76 | (random_bits & (1 << 12) - 1) << 64
    value |= 0x2 << 62 | (random_bits >> 12) & (1 << 62) - 1
    return str(uuid.UUID(int=value))


def _idempotency_headers(request: ClientRequest) -> dict[str, str]:
    # A request that may run twice needs no id, and remembering its id would
    # displace the ids of requests that need one.
    if request.method == "GET":
        return {}
    return {"Idempotency-Key": request.marker}


def account_key_digest(secret: str) -> str:
    """Returns a digest that identifies an account key but hides it."""
    return hashlib.sha256(secret.encode()).hexdigest()[:16]


def _request_target(request: ClientRequest) -> str:
    target = f"{request.path}?marker={request.marker}&size={request.size_bytes}"
    if request.service_time_ms:
        target += f"&service_time_ms={request.service_time_ms}"
    return target


def _read_answer(
    request: ClientRequest,
    target: str,
    body: bytes,
    reply: aiohttp.ClientResponse,
    content: bytes,
) -> RequestResult:
    headers = reply.headers
    upstream, matches = "", False
    if reply.status == 200:
        upstream, matches = _check_echo(request, target, body, reply, content)
    return RequestResult(
        "answered",
        status=reply.status,
        verdict=headers.get("Sardinehill-Verdict", ""),
        reason=headers.get("Sardinehill-Reason", ""),
        request_id=headers.get("Sardinehill-Request-Id", ""),
        retry_after=headers.get("Retry-After", ""),
        upstream=upstream,
        matches=matches,
    )


def _check_echo(
    request: ClientRequest,
    target: str,
    body: bytes,
    reply: aiohttp.ClientResponse,
    content: bytes,
) -> tuple[str, bool]:
    """Returns the upstream's name and whether the answer is the request's.

    An answer that is replayed for a repeated request carries the request id of
    the first run, so the request is identified by the marker in its path.
    """
    try:
        echo = json.loads(content)
    except ValueError:
        return "", False
    if not isinstance(echo, dict):
        return "", False
    matches = (
        echo.get("path") == target
        and echo.get("account") == request.account
        and echo.get("key") == request.key
        and echo.get("body_sha256") == hashlib.sha256(body).hexdigest()
        and len(echo.get("padding", "")) == request.size_bytes
        and reply.headers.get("Sardinehill-Verdict") == "ran"
    )
    return str(echo.get("upstream", "")), matches
