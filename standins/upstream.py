"""Stands in for an upstream with slots, a cold start, fencing and faults.

Started as `python -m standins.upstream --name N --service S
--availability-zone Z --port 0 --slots 3 --connections 50 --journal FILE`.
Faults are set by `POST /-/control`; see `UpstreamFaults` for the fields.
"""

import argparse
import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import json
import time
from typing import Any

import aiohttp
from aiohttp import web

from standins import grants
from standins import journal as journal_module
from standins import serving

CONNECT_DELAY_S = 0.001
PROBE_DELAY_S = 0.005
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_TRACKED_REQUESTS = 10_000
WARM_UP_REQUESTS = 20
COLD_SLOWDOWN_RATIO = 3.0
SHED_RETRY_AFTER_S = 1
DEFAULT_DEADLINE_MS = 60_000.0


@dataclasses.dataclass
class UpstreamFaults:
    """Holds the faults that the stand-in injects.

    Attributes:
      slowdown: factor applied to the service time of each request.
      health_lies: health always reports `ready`.
      load_lies: load always reports no request in flight.
      report_lag_ms: age of the state that health and load report.
      shed: number of next requests that are shed.
      late_answers: number of next answers that are delayed by `late_ms`.
      late_ms: delay of a late answer.
      foreign_answers: number of next answers that are replaced by the answer
        to the previous request, as after a mix-up inside the upstream.
      cut_answers: number of next answers that end in the middle.
      lost_answers: number of next answers that are not sent; the connection
        is dropped after the run.
      malformed_answers: number of next answers that are not HTTP.
    """

    slowdown: float = 1.0
    health_lies: bool = False
    load_lies: bool = False
    report_lag_ms: float = 0.0
    shed: int = 0
    late_answers: int = 0
    late_ms: float = 0.0
    foreign_answers: int = 0
    cut_answers: int = 0
    lost_answers: int = 0
    malformed_answers: int = 0


@dataclasses.dataclass
class UpstreamRequest:
    """Tracks one caller's request inside the upstream.

    Attributes:
      marker: the `marker` of the query, which identifies the client's action
        that the request belongs to.
      fencing_token: term and sequence of the grant that it was sent under.
      deadline_s: its deadline on the monotonic clock.
      state: "waiting", "running", "done" or "not-run".
      cancelled: set when its cancellation was requested.
      ended: set once the request has run or will not run any more.
    """

    request_id: str
    marker: str
    account: str
    key: str
    shard: int
    fencing_token: tuple[int, int]
    deadline_s: float
    state: str = "waiting"
    cancelled: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass
class UpstreamOptions:
    """Holds the options of the command line.

    Attributes:
      slots: maximum number of requests in execution.
      connections: maximum number of open connections.
      queue_requests: maximum number of requests that wait for a slot; more
        are shed.
      service_time_ms: duration of one request on a warm upstream.
      cold_start_requests: concurrent requests that a cold upstream handles.
      collapse_ms: how long a cold upstream answers nothing after an overload.
    """

    name: str
    service: str
    availability_zone: str
    ip: str
    port: int
    slots: int
    connections: int
    queue_requests: int
    service_time_ms: float
    cold_start_requests: int
    collapse_ms: float
    fencing: bool
    cold: bool
    store: str
    journal: str


class NotRunError(Exception):
    """Raised when a request is rejected without any effect."""

    def __init__(self, reason: str, status: int = 503):
        super().__init__(reason)
        self.reason = reason
        self.status = status


class UpstreamServer:
    """Holds the state of one upstream process."""

    def __init__(self, options: UpstreamOptions):
        self.options = options
        self.journal = journal_module.Journal(options.journal, options.name)
        self.incarnation = time.time_ns()
        self.grant_state = grants.GrantState()
        self.fencing = options.fencing
        self.faults = UpstreamFaults()
        self.requests: collections.OrderedDict[str, UpstreamRequest] = (
            collections.OrderedDict()
        )
        self.early_cancels: set[str] = set()
        self.in_flight = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(options.slots)
        self.completed_requests = 0 if options.cold else WARM_UP_REQUESTS
        self.draining = False
        self.collapsed_until_s = 0.0
        self.frozen_until_s = 0.0
        self.collapse_enabled_s = 0.0
        self.report_history: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=10_000)
        )
        self.last_answer: tuple[str, bytes] | None = None
        self.accepted_connections: set[int] = set()
        self.runner: web.AppRunner | None = None

    def is_cold(self) -> bool:
        """Returns whether the upstream is still warming up."""
        return self.completed_requests < WARM_UP_REQUESTS

    def max_concurrent_requests(self) -> int:
        """Returns how many concurrent requests the upstream handles now."""
        cold_limit = self.options.cold_start_requests
        if not self.is_cold():
            return self.options.slots + self.options.queue_requests
        warm_up_ratio = self.completed_requests / WARM_UP_REQUESTS
        return cold_limit + int(
            warm_up_ratio * max(0, self.options.slots - cold_limit)
        )

    def accept_connection(self, protocol: object) -> bool | None:
        """Returns whether to accept a connection, None for a known one."""
        if id(protocol) in self.accepted_connections:
            return None
        server = self.runner.server if self.runner else None
        # Closed connections are removed here, so that the set stays within
        # the limit on connections.
        still_open = (
            {id(connection) for connection in server.connections}
            if server
            else set()
        )
        self.accepted_connections &= still_open
        if len(self.accepted_connections) >= self.options.connections:
            return False
        self.accepted_connections.add(id(protocol))
        return True

    def open_connections(self) -> int:
        """Returns the number of open connections."""
        server = self.runner.server if self.runner else None
        return len(server.connections) if server else 0

    def health_state(self) -> str:
        """Returns the state that health reports."""
        if self.draining:
            return "draining"
        return "cold" if self.is_cold() else "ready"

    def current_report(self) -> dict[str, Any]:
        """Returns the current health and load, without the faults."""
        return {
            "state": self.health_state(),
            "in_flight": self.in_flight + self.waiting,
            "slots": self.options.slots,
            "connections": self.open_connections(),
            "incarnation": str(self.incarnation),
        }

    def lagged_report(self) -> dict[str, Any]:
        """Returns the report of `report_lag_ms` ago, or the oldest one."""
        now_s = time.monotonic()
        report = self.current_report()
        self.report_history.append((now_s, report))
        reported_at_s = now_s - self.faults.report_lag_ms / 1000
        for since_s, old_report in reversed(self.report_history):
            if since_s <= reported_at_s:
                return dict(old_report)
        return dict(self.report_history[0][1])

    def track_request(self, run: UpstreamRequest) -> None:
        """Remembers a request, so that a cancel call can find it."""
        self.requests[run.request_id] = run
        while len(self.requests) > MAX_TRACKED_REQUESTS:
            self.requests.popitem(last=False)

    def journal_request(
        self, event: str, run: UpstreamRequest, **fields: Any
    ) -> None:
        """Writes an event of a request into the journal."""
        self.journal.write(
            event,
            service=self.options.service,
            availability_zone=self.options.availability_zone,
            incarnation=str(self.incarnation),
            request_id=run.request_id,
            marker=run.marker,
            account=run.account,
            key=run.key,
            shard=run.shard,
            term=run.fencing_token[0],
            sequence=run.fencing_token[1],
            in_flight=self.in_flight,
            cold=self.is_cold(),
            **fields,
        )

    async def wait_idle(self) -> None:
        """Waits until no request is running or waiting for a slot."""
        for run in list(self.requests.values()):
            await run.ended.wait()

    async def pause_if_frozen(self) -> None:
        """Waits while the upstream is frozen or collapsed."""
        while True:
            until_s = max(self.frozen_until_s, self.collapsed_until_s)
            remaining_s = until_s - time.monotonic()
            if remaining_s <= 0:
                return
            await asyncio.sleep(remaining_s)

    def become_cold(self, grace_ms: float) -> None:
        """Becomes cold again without reporting a new incarnation.

        Overload makes it collapse only after the grace period. Until then it
        is just slow, so that a caller that observes the latency can react.
        """
        self.completed_requests = 0
        self.collapse_enabled_s = time.monotonic() + grace_ms / 1000
        self.journal.write(
            "fell-cold",
            service=self.options.service,
            incarnation=str(self.incarnation),
            grace_ms=grace_ms,
        )

    def collapse(self, run: UpstreamRequest) -> None:
        """Stops answering for a while after an overload when cold."""
        self.journal_request(
            "collapsed", run, bears=self.max_concurrent_requests()
        )
        self.completed_requests = 0
        self.collapsed_until_s = (
            time.monotonic() + self.options.collapse_ms / 1000
        )


UPSTREAM = web.AppKey("upstream", UpstreamServer)


def _parse_integer(text: str | None, default: int) -> int:
    try:
        return int(text) if text is not None else default
    except ValueError:
        return default


def _parse_request(request: web.Request) -> UpstreamRequest:
    headers = request.headers
    deadline_ms = float(
        headers.get("Sardinehill-Deadline-Ms", DEFAULT_DEADLINE_MS)
    )
    return UpstreamRequest(
        request_id=headers.get("Sardinehill-Request-Id", ""),
        marker=request.query.get("marker", ""),
        account=headers.get("Sardinehill-Account", ""),
        key=headers.get("Sardinehill-Key", ""),
        shard=_parse_integer(headers.get("Sardinehill-Shard"), -1),
        fencing_token=(
            _parse_integer(headers.get("Sardinehill-Term"), 0),
            _parse_integer(headers.get("Sardinehill-Sequence"), 0),
        ),
        deadline_s=time.monotonic() + deadline_ms / 1000,
    )


def _secret_headers(request: web.Request) -> list[str]:
    names = ("Authorization", "Proxy-Authorization", "Cookie")
    return [name for name in names if name in request.headers]


def _check_grant(upstream: UpstreamServer, run: UpstreamRequest) -> None:
    if not upstream.fencing or not (run.key or run.shard >= 0):
        return
    if not upstream.grant_state.covers(run.shard, run.key):
        raise NotRunError("fenced", status=409)


def _check_admission(upstream: UpstreamServer, run: UpstreamRequest) -> None:
    if run.request_id in upstream.early_cancels:
        raise NotRunError("cancelled")
    if upstream.draining:
        raise NotRunError("draining")
    _check_grant(upstream, run)
    if upstream.faults.shed > 0:
        upstream.faults.shed -= 1
        raise NotRunError("shed")
    admitted = upstream.in_flight + upstream.waiting
    if admitted < upstream.max_concurrent_requests():
        return
    if not upstream.is_cold():
        raise NotRunError("shed")
    if time.monotonic() >= upstream.collapse_enabled_s:
        upstream.collapse(run)


async def _wait_for_slot(
    upstream: UpstreamServer, run: UpstreamRequest
) -> None:
    upstream.waiting += 1
    acquire = asyncio.ensure_future(upstream.slots.acquire())
    cancelled = asyncio.ensure_future(run.cancelled.wait())
    try:
        remaining_s = max(0.0, run.deadline_s - time.monotonic())
        await asyncio.wait(
            {acquire, cancelled},
            timeout=remaining_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if run.cancelled.is_set():
            raise NotRunError("cancelled")
        if not acquire.done():
            raise NotRunError("deadline")
    except BaseException:
        if acquire.done() and not acquire.cancelled():
            upstream.slots.release()
        acquire.cancel()
        raise
    finally:
        cancelled.cancel()
        upstream.waiting -= 1


def _service_time_s(upstream: UpstreamServer, request: web.Request) -> float:
    time_ms = float(
        request.query.get("service_time_ms", upstream.options.service_time_ms)
    )
    slowdown_ratio = COLD_SLOWDOWN_RATIO if upstream.is_cold() else 1.0
    return time_ms / 1000 * upstream.faults.slowdown * slowdown_ratio


async def _execute(
    upstream: UpstreamServer, request: web.Request, run: UpstreamRequest
) -> None:
    """Executes a request, which takes effect at its very end.

    The grant is checked again before the effect: a process that was frozen
    during the execution cannot otherwise notice that the grant has expired.
    """
    _check_grant(upstream, run)
    upstream.in_flight += 1
    run.state = "running"
    upstream.journal_request(
        "started",
        run,
        method=request.method,
        path=request.path,
        secrets_seen=_secret_headers(request),
        bears=upstream.max_concurrent_requests(),
    )
    collapsed_before_s = upstream.collapsed_until_s
    try:
        service_time_s = _service_time_s(upstream, request)
        try:
            await asyncio.wait_for(run.cancelled.wait(), service_time_s)
        except TimeoutError:
            pass
        else:
            raise NotRunError("cancelled")
        await upstream.pause_if_frozen()
        if upstream.collapsed_until_s > collapsed_before_s:
            upstream.journal_request("lost-in-collapse", run)
            raise ConnectionResetError
        try:
            _check_grant(upstream, run)
        except NotRunError:
            upstream.journal_request("fenced-late", run)
            raise
        run.state = "done"
        upstream.completed_requests += 1
        upstream.journal_request("finished", run)
    finally:
        upstream.in_flight -= 1


def _answer_body(
    upstream: UpstreamServer,
    request: web.Request,
    run: UpstreamRequest,
    body: bytes,
) -> bytes:
    answer = {
        "upstream": upstream.options.name,
        "request_id": run.request_id,
        "account": run.account,
        "key": run.key,
        "path": request.path_qs,
        "body_sha256": hashlib.sha256(body).hexdigest(),
        "padding": "x" * _parse_integer(request.query.get("size"), 0),
    }
    return json.dumps(answer).encode()


def _response_headers(
    upstream: UpstreamServer, request_id: str
) -> dict[str, str]:
    return {
        "Upstream-Request-Id": request_id,
        "Upstream-Incarnation": str(upstream.incarnation),
    }


def _reject(
    upstream: UpstreamServer, run: UpstreamRequest, error: NotRunError
) -> web.Response:
    run.state = "not-run"
    run.ended.set()
    upstream.journal_request("not-run", run, why=error.reason)
    headers = _response_headers(upstream, run.request_id)
    headers["Upstream-Not-Run"] = error.reason
    if error.reason == "shed":
        headers["Retry-After"] = str(SHED_RETRY_AFTER_S)
    return web.Response(status=error.status, headers=headers, text=error.reason)


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def _consume_fault(upstream: UpstreamServer, fault: str) -> bool:
    remaining = getattr(upstream.faults, fault)
    if remaining <= 0:
        return False
    setattr(upstream.faults, fault, remaining - 1)
    return True


async def _send_answer(
    upstream: UpstreamServer,
    request: web.Request,
    run: UpstreamRequest,
    body: bytes,
) -> web.StreamResponse:
    answered_id = run.request_id
    previous = upstream.last_answer
    upstream.last_answer = (run.request_id, body)
    if _consume_fault(upstream, "late_answers"):
        await asyncio.sleep(upstream.faults.late_ms / 1000)
    if _consume_fault(upstream, "lost_answers"):
        return _abort_connection(request)
    if _consume_fault(upstream, "malformed_answers") and request.transport:
        request.transport.write(b"NOT HTTP AT ALL\r\n\r\n")
        return _abort_connection(request)
    if previous is not None and _consume_fault(upstream, "foreign_answers"):
        answered_id, body = previous
    headers = _response_headers(upstream, answered_id)
    if _consume_fault(upstream, "cut_answers"):
        headers["Content-Length"] = str(len(body))
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        return _abort_connection(request)
    return web.Response(
        body=body, headers=headers, content_type="application/json"
    )


async def serve_request(request: web.Request) -> web.StreamResponse:
    """Runs a caller's request or answers why it was not run."""
    upstream = request.app[UPSTREAM]
    run = _parse_request(request)
    upstream.track_request(run)
    body = await request.read()
    await upstream.pause_if_frozen()
    try:
        _check_admission(upstream, run)
        await upstream.pause_if_frozen()
        await _wait_for_slot(upstream, run)
        try:
            await _execute(upstream, request, run)
        finally:
            upstream.slots.release()
    except NotRunError as error:
        return _reject(upstream, run, error)
    except ConnectionResetError:
        return _abort_connection(request)
    finally:
        run.ended.set()
    answer = _answer_body(upstream, request, run, body)
    return await _send_answer(upstream, request, run, answer)


async def receive_grant(request: web.Request) -> web.Response:
    """Answers `PUT /-/grant`."""
    upstream = request.app[UPSTREAM]
    body = await request.json()
    await upstream.pause_if_frozen()
    grant = grants.ReceivedGrant(
        fencing_token=(body["term"], body["sequence"]),
        shards=tuple((first, last) for first, last in body["shards"]),
        hot_keys=frozenset(body.get("hot_keys", ())),
        expires_s=_expires_s(body),
        except_keys=frozenset(body.get("except_keys", ())),
    )
    expected_incarnation = body.get("incarnation", str(upstream.incarnation))
    accepted = expected_incarnation == str(
        upstream.incarnation
    ) and upstream.grant_state.accept(grant)
    running_outside = sum(
        1
        for run in upstream.requests.values()
        if run.state == "running" and not grant.covers(run.shard, run.key)
    )
    upstream.journal.write(
        "grant",
        accepted=accepted,
        lapses_monotonic_s=time.monotonic()
        + grant.expires_s
        - grants.boot_time_s(),
        fencing=upstream.fencing,
        granted_incarnation=body.pop("incarnation", ""),
        incarnation=str(upstream.incarnation),
        **body,
    )
    return _grant_reply(
        upstream, {"accepted": accepted, "running_outside": running_outside}
    )


def _expires_s(body: dict[str, Any]) -> float:
    # The time to live counts from a reading of this upstream's clock that an
    # earlier answer carried, so that a delayed grant does not last longer.
    as_of_ms = body.get("as_of_ms") or grants.boot_time_s() * 1000
    return float((as_of_ms + body["ttl_ms"]) / 1000)


def _grant_reply(
    upstream: UpstreamServer, reply: dict[str, Any]
) -> web.Response:
    term, sequence = upstream.grant_state.highest_token
    return web.json_response(
        {
            **reply,
            "term": term,
            "sequence": sequence,
            "incarnation": str(upstream.incarnation),
            "clock_ms": int(grants.boot_time_s() * 1000),
        }
    )


async def release_grant(request: web.Request) -> web.Response:
    """Answers `POST /-/release` once no request is in flight."""
    upstream = request.app[UPSTREAM]
    body = await request.json()
    await upstream.pause_if_frozen()
    released = upstream.grant_state.release((body["term"], body["sequence"]))
    if released:
        await upstream.wait_idle()
    upstream.journal.write(
        "release",
        released=released,
        incarnation=str(upstream.incarnation),
        **body,
    )
    in_flight = upstream.in_flight + upstream.waiting
    return _grant_reply(
        upstream, {"released": released, "in_flight": in_flight}
    )


async def health(request: web.Request) -> web.Response:
    """Answers `GET /-/health`."""
    upstream = request.app[UPSTREAM]
    await upstream.pause_if_frozen()
    await asyncio.sleep(PROBE_DELAY_S)
    report = upstream.lagged_report()
    state = "ready" if upstream.faults.health_lies else report["state"]
    return web.json_response(
        {"state": state, "incarnation": report["incarnation"]}
    )


async def load(request: web.Request) -> web.Response:
    """Answers `GET /-/load`."""
    upstream = request.app[UPSTREAM]
    await upstream.pause_if_frozen()
    await asyncio.sleep(PROBE_DELAY_S)
    report = upstream.lagged_report()
    del report["state"]
    if upstream.faults.load_lies:
        report["in_flight"] = 0
    return web.json_response(report)


async def cancel(request: web.Request) -> web.Response:
    """Answers `POST /-/cancel`.

    A cancel that overtakes its request is remembered, so that the request
    does not start later. It is still answered with "unknown", which does not
    prove that the request has not run.
    """
    upstream = request.app[UPSTREAM]
    body = await request.json()
    await upstream.pause_if_frozen()
    run = upstream.requests.get(body["request_id"])
    if run is None:
        upstream.early_cancels.add(body["request_id"])
        return web.json_response({"state": "unknown"})
    if run.state == "waiting":
        run.cancelled.set()
        return web.json_response({"state": "not-started"})
    if run.state == "running":
        run.cancelled.set()
        await run.ended.wait()
        # A request that finished at the same moment cannot be undone.
        state = "cancelled" if run.state == "not-run" else "running"
        return web.json_response({"state": state})
    state = "not-started" if run.state == "not-run" else "running"
    return web.json_response({"state": state})


async def control(request: web.Request) -> web.Response:
    """Answers `POST /-/control`, which sets faults.

    The JSON fields are those of `UpstreamFaults`, and `fencing`, `drain`,
    `leave`, `freeze_ms` and `fall_cold_grace_ms`.
    """
    upstream = request.app[UPSTREAM]
    command = await request.json()
    upstream.journal.write("fault", **command)
    if "fencing" in command:
        upstream.fencing = command.pop("fencing")
    if "drain" in command:
        upstream.draining = command.pop("drain")
    if "freeze_ms" in command:
        upstream.frozen_until_s = (
            time.monotonic() + command.pop("freeze_ms") / 1000
        )
    if "fall_cold_grace_ms" in command:
        upstream.become_cold(command.pop("fall_cold_grace_ms"))
    if command.pop("leave", False):
        await register(upstream, "leaving")
    known_fields = {field.name for field in dataclasses.fields(UpstreamFaults)}
    if not known_fields.issuperset(command):
        raise web.HTTPBadRequest(text=f"known fields: {sorted(known_fields)}")
    upstream.faults = dataclasses.replace(upstream.faults, **command)
    return web.json_response({"accepted": True})


async def register(upstream: UpstreamServer, state: str) -> None:
    """Registers this upstream in the store stand-in's list of hosts."""
    options = upstream.options
    if not options.store:
        return
    host = {
        "name": options.name,
        "address": f"{options.ip}:{options.port}",
        "availability_zone": options.availability_zone,
        "service": options.service,
        "state": state,
    }
    async with aiohttp.ClientSession() as session:
        url = f"{options.store}/-/control"
        async with session.post(url, json={"put_host": host}) as reply:
            reply.raise_for_status()


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def _limit_connections(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Delays each new connection and drops those over the limit."""
    upstream = request.app[UPSTREAM]
    accepted = upstream.accept_connection(request.protocol)
    if accepted is False:
        upstream.journal.write("connection-refused")
        return _abort_connection(request)
    if accepted:
        await asyncio.sleep(CONNECT_DELAY_S)
    return await handler(request)


def make_application(upstream: UpstreamServer) -> web.Application:
    """Returns the application that serves an upstream."""
    application = web.Application(
        middlewares=[_limit_connections], client_max_size=MAX_BODY_BYTES
    )
    application[UPSTREAM] = upstream
    application.router.add_put("/-/grant", receive_grant)
    application.router.add_post("/-/release", release_grant)
    application.router.add_get("/-/health", health)
    application.router.add_get("/-/load", load)
    application.router.add_post("/-/cancel", cancel)
    application.router.add_post("/-/control", control)
    application.router.add_route("*", "/{path:.*}", serve_request)
    return application


def _read_options() -> UpstreamOptions:
    parser = argparse.ArgumentParser(prog="standins.upstream")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--availability-zone", required=True)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--connections", type=int, default=50)
    parser.add_argument("--queue-requests", type=int, default=8)
    parser.add_argument("--service-time-ms", type=float, default=5.0)
    parser.add_argument("--cold-start-requests", type=int, default=1)
    parser.add_argument("--collapse-ms", type=float, default=1000.0)
    parser.add_argument("--no-fencing", dest="fencing", action="store_false")
    parser.add_argument("--warm", dest="cold", action="store_false")
    parser.add_argument("--store", default="")
    parser.add_argument("--journal", required=True)
    return UpstreamOptions(**vars(parser.parse_args()))


def main() -> None:
    """Parses the command line and runs the upstream."""
    upstream = UpstreamServer(_read_options())
    upstream.runner = serving.make_runner(make_application(upstream))

    async def on_listening(ip: str, port: int) -> None:
        upstream.options.ip, upstream.options.port = ip, port
        upstream.journal.write(
            "up",
            service=upstream.options.service,
            availability_zone=upstream.options.availability_zone,
            incarnation=str(upstream.incarnation),
            fencing=upstream.fencing,
        )
        await register(upstream, "live")

    serving.run_runner(
        upstream.runner,
        upstream.options.ip,
        upstream.options.port,
        on_listening,
    )


if __name__ == "__main__":
    main()
