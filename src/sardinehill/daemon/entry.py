"""Takes callers' requests and answers them."""

import json
import uuid

from aiohttp import web

from sardinehill import errors
from sardinehill.core import account_keys
from sardinehill.core import fleet
from sardinehill.core import messages
from sardinehill.core import placement
from sardinehill.daemon import peers
from sardinehill.daemon import view
from sardinehill.wire import forwards
from sardinehill.wire import kinds

PEER_GRACE_S = 0.25

_REMOVED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_STATUS_OF_REASON = {
    errors.Reason.ACCOUNT_KEY_MISSING: 401,
    errors.Reason.ACCOUNT_KEY_UNKNOWN: 401,
    errors.Reason.KEY_MISSING: 400,
    errors.Reason.MALFORMED: 400,
    errors.Reason.SERVICE_UNKNOWN: 404,
    errors.Reason.OVER_RATE: 429,
    errors.Reason.BODY_TOO_LARGE: 413,
}


class Entry:
    """The callers' side of a daemon."""

    def __init__(self, knowledge: view.View, bus: peers.PeerBus) -> None:
        self._view = knowledge
        self._bus = bus
        self._runner: web.ServerRunner | None = None

    async def listen(self, address: fleet.Address) -> fleet.Address:
        """Accepts callers, and returns the address as bound."""
        self._runner = web.ServerRunner(web.Server(self._serve))
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.ip, address.port)
        await site.start()
        ip, port = self._runner.addresses[0][:2]
        return fleet.Address(ip, port)

    async def close(self) -> None:
        """Stops accepting and waits for requests in flight."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/-/ready":
            ready = self._view.config is not None
            return web.Response(status=200 if ready else 503)
        request_id = str(uuid.uuid4())
        try:
            forward = await self._admit(request, request_id)
            answer = await self._send(forward)
        except errors.RequestRefusedError as error:
            answer = messages.refusal(
                request_id, error.reason, error.verdict, error.detail
            )
        return _response(answer)

    async def _admit(
        self, request: web.BaseRequest, request_id: str
    ) -> messages.ForwardRequest:
        config = self._view.config
        if config is None:
            raise _refusal(errors.Reason.CONFIGURATION_MISSING)
        account = self._authenticate(request)
        route = _route(config, request.path)
        service = config.services[route.service]
        key = request.headers.get("Sardinehill-Key", "")
        if service.divided_by_key and not key:
            raise _refusal(errors.Reason.KEY_MISSING)
        if not route.open_to_all_callers and account not in route.accounts:
            raise _refusal(errors.Reason.ACCOUNT_KEY_UNKNOWN)
        deadline_ms = request.headers.get("Sardinehill-Deadline-Ms", "")
        if not deadline_ms.isdigit():
            deadline_ms = str(service.default_deadline_ms)
        return messages.ForwardRequest(
            request_id=request_id,
            service=service.name,
            key=key,
            account=account,
            method=request.method,
            path=request.raw_path,
            headers=_passed_on(request),
            body=await request.read(),
            deadline_ms=int(deadline_ms),
            upstream="",
            assignment_version=0,
            idempotency_key=request.headers.get("Idempotency-Key", ""),
        )

    def _authenticate(self, request: web.BaseRequest) -> str:
        scheme, _, account_key = request.headers.get(
            "Authorization", ""
        ).partition(" ")
        if scheme.lower() != "bearer" or not account_key:
            raise _refusal(errors.Reason.ACCOUNT_KEY_MISSING)
        account = account_keys.account_of(account_key)
        name = account_keys.bucket_of(account)
        value = self._view.account_keys.get(name, {})
        ring = account_keys.KeyRing(self._view.settings.account_key_secret)
        ring.replace_bucket(name, 0, account_keys.read_bucket(value))
        ring.confirm(0.0)
        return ring.check(account_key, 0.0).account

    async def _send(
        self, forward: messages.ForwardRequest
    ) -> messages.ForwardAnswer:
        assignment = self._view.assignments.get(forward.service)
        if assignment is None:
            raise _refusal(errors.Reason.UNOWNED)
        owner = placement.owner_of(assignment, forward.key)
        gateway = assignment.gateways.get(owner) if owner else None
        if gateway is None:
            raise _refusal(errors.Reason.GATEWAY_UNKNOWN)
        try:
            payload = await self._bus.ask(
                gateway,
                kinds.Kind.FORWARD,
                forwards.encode_request(forward),
                forward.deadline_ms / 1000 + PEER_GRACE_S,
            )
            return forwards.decode_answer(payload)
        except errors.PeerNotSentError:
            raise _refusal(errors.Reason.GATEWAY_LOST) from None
        except errors.PeerError:
            raise errors.RequestRefusedError(
                errors.Reason.GATEWAY_LOST, errors.Verdict.MAY_HAVE_RUN
            ) from None


def _refusal(reason: errors.Reason) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(reason, errors.Verdict.NOT_RUN)


def _route(config: fleet.FleetConfig, path: str) -> fleet.Route:
    matching = [
        route
        for route in config.routes.values()
        if path.startswith(route.path_prefix)
    ]
    if not matching:
        raise _refusal(errors.Reason.SERVICE_UNKNOWN)
    return max(matching, key=lambda route: len(route.path_prefix))


def _passed_on(request: web.BaseRequest) -> messages.Headers:
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in _REMOVED_HEADERS
        and not name.lower().startswith("sardinehill-")
    )


def _response(answer: messages.ForwardAnswer) -> web.Response:
    if answer.reason is None:
        response = web.Response(status=answer.status, body=answer.body)
        for name, value in answer.headers:
            if name.lower() == "content-type":
                response.headers[name] = value
            else:
                response.headers.add(name, value)
    else:
        status = _STATUS_OF_REASON.get(answer.reason, 503)
        problem = {
            "title": answer.reason.value,
            "status": status,
            "detail": answer.detail,
            "verdict": answer.verdict.value,
        }
        response = web.Response(
            status=status,
            body=json.dumps(problem).encode(),
            content_type="application/problem+json",
        )
        response.headers["Sardinehill-Reason"] = answer.reason.value
        if answer.retry_after_ms:
            retry_after_s = -(-answer.retry_after_ms // 1000)
            response.headers["Retry-After"] = str(retry_after_s)
    response.headers["Sardinehill-Verdict"] = answer.verdict.value
    response.headers["Sardinehill-Request-Id"] = answer.request_id
    return response
