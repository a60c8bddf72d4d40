"""Drives callers' requests and journals every answer."""

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
    """Returns a fresh UUID of version 7.

    An id that tells when it was made is known to be fresh soon after a
    gateway has changed; one without a time is refused for half a minute.
    """
    random_bits = uuid.uuid4().int & ((1 << 62) - 1)
    now_ms = time.time_ns() // 1_000_000
    return str(uuid.UUID(int=now_ms << 80 | 7 << 76 | 2 << 62 | random_bits))


@dataclasses.dataclass(frozen=True)
class ClientRequest:
    """One action of a client.

    Attributes:
      account: the client account it belongs to.
      path: the path, without a query.
      key: the booking or order key, empty for none.
      method: GET is idempotent, POST is not.
      size_bytes: length of the padding asked for in the answer.
      service_time_ms: the upstream's time for it, 0 for its default.
      deadline_ms: how long the caller waits, 0 for the service's default.
      marker: tells this action from every other; the same when a caller
        submits it again.
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
    """What came of an order.

    Attributes:
      outcome: "answered", "refused" (no connection was made), "cut" (the
        connection broke) or "timeout".
      status: the HTTP status, 0 when there was no answer.
      verdict: the verdict told, empty when there was none.
      reason: the reason told, empty when there was none.
      upstream: the upstream that says it ran the request.
      matches: whether the whole answer belongs to this very order.
      sent_s: when it was sent, on the monotonic clock.
      answered_s: when it ended, on the monotonic clock.
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
    """One daemon as the platform's balancer sees it."""

    name: str
    address: tuple[str, int]
    ready: bool = True


class Driver:
    """Sends orders through a round-robin balancer of its own."""

    def __init__(self, journal: journal_module.Journal):
        self.journal = journal
        self.account_keys: dict[str, str] = {}
        self.entries: dict[str, EntryPoint] = {}
        self._round_robin = itertools.count()
        self._session: aiohttp.ClientSession | None = None
        self._round_checked = asyncio.Event()
        self._check_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the session and begins to ask entries for readiness."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )
        # The client sends an idempotent request again by itself when a kept
        # connection breaks, which would hide a request that was cut off.
        self._session._retry_connection = False
        self._check_task = asyncio.ensure_future(self._poll_readiness())

    async def close(self) -> None:
        """Closes all connections."""
        if self._check_task is not None:
            self._check_task.cancel()
        if self._session is not None:
            await self._session.close()

    def add_entry(self, name: str, address: tuple[str, int]) -> None:
        """Adds a daemon, or gives it a new address."""
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
        """Waits until that many entries are ready."""
        async with asyncio.timeout(timeout_s):
            while sum(one.ready for one in self.entries.values()) < count:
                checked = self._round_checked
                await checked.wait()

    def choose_entry(self) -> EntryPoint:
        """Returns the next entry that is ready, or the next one at all."""
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
        """Sends an order, journals its answer and returns it.

        Args:
          request: what to send.
          body: the request's body.
          account_key: the secret to send, the account's own by default.
          entry: the daemon to ask, the balancer's choice by default.
          headers: headers beside those that the order needs.
        """
        entry = entry or self.choose_entry()
        secret = account_key or self.account_keys.get(request.account, "")
        sent_s = time.monotonic()
        answer = await self._exchange(
            request, body, secret, entry, headers or {}
        )
        answer = dataclasses.replace(
            answer, sent_s=sent_s, answered_s=time.monotonic()
        )
        self.journal.write(
            "answer",
            entry=entry.name,
            account_key_id=account_key_digest(secret),
            **dataclasses.asdict(request),
            **dataclasses.asdict(answer),
        )
        return answer

    async def _exchange(
        self,
        order: ClientRequest,
        body: bytes,
        secret: str,
        entry: EntryPoint,
        extra: dict[str, str],
    ) -> RequestResult:
        assert self._session is not None
        ip, port = entry.address
        target = _request_target(order)
        headers = {
            "Authorization": f"Bearer {secret}",
            **_idempotency_headers(order),
            **({"Sardinehill-Key": order.key} if order.key else {}),
            **extra,
        }
        if order.deadline_ms:
            headers["Sardinehill-Deadline-Ms"] = str(order.deadline_ms)
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.request(
                order.method,
                f"http://{ip}:{port}{target}",
                data=body,
                headers=headers,
                timeout=timeout,
            ) as reply:
                content = await reply.read()
                return _read_answer(order, target, body, reply, content)
        except aiohttp.ClientConnectorError:
            return RequestResult("refused")
        except TimeoutError:
            return RequestResult("timeout")
        except (aiohttp.ClientError, OSError):
            return RequestResult("cut")


def uuid7_from_bits(random_bits: int) -> str:
    """Returns a UUID of version 7: the time in milliseconds, then random bits.

    The time tells a daemon that has just taken over whether an id can be the
    repeat of a request that it never saw.
    """
    value = (time.time_ns() // 1_000_000) << 80
    value |= 0x7 << 76 | (random_bits & (1 << 12) - 1) << 64
    value |= 0x2 << 62 | (random_bits >> 12) & (1 << 62) - 1
    return str(uuid.UUID(int=value))


def _idempotency_headers(order: ClientRequest) -> dict[str, str]:
    # A request that may run twice needs no id, and memory of it would crowd
    # out those that do.
    if order.method == "GET":
        return {}
    return {"Idempotency-Key": order.marker}


def account_key_digest(secret: str) -> str:
    """Returns a name for an account key that does not tell the key."""
    return hashlib.sha256(secret.encode()).hexdigest()[:16]


def _request_target(order: ClientRequest) -> str:
    target = f"{order.path}?marker={order.marker}&size={order.size_bytes}"
    if order.service_time_ms:
        target += f"&service_time_ms={order.service_time_ms}"
    return target


def _read_answer(
    order: ClientRequest,
    target: str,
    body: bytes,
    reply: aiohttp.ClientResponse,
    content: bytes,
) -> RequestResult:
    headers = reply.headers
    upstream, matches = "", False
    if reply.status == 200:
        upstream, matches = _check_echo(order, target, body, reply, content)
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
    order: ClientRequest,
    target: str,
    body: bytes,
    reply: aiohttp.ClientResponse,
    content: bytes,
) -> tuple[str, bool]:
    """Returns the upstream's name and whether the answer is the order's.

    An answer that is replayed for a repeated action bears the id under which
    it ran, so the marker in the path tells whose it is.
    """
    try:
        echo = json.loads(content)
    except ValueError:
        return "", False
    if not isinstance(echo, dict):
        return "", False
    matches = (
        echo.get("path") == target
        and echo.get("account") == order.account
        and echo.get("key") == order.key
        and echo.get("body_sha256") == hashlib.sha256(body).hexdigest()
        and len(echo.get("padding", "")) == order.size_bytes
        and reply.headers.get("Sardinehill-Verdict") == "ran"
    )
    return str(echo.get("upstream", "")), matches
