"""The one daemon through which an upstream's requests pass."""

from sardinehill import errors
from sardinehill.adapters import upstream
from sardinehill.core import messages
from sardinehill.core import placement
from sardinehill.daemon import peers
from sardinehill.daemon import view
from sardinehill.wire import forwards
from sardinehill.wire import kinds


class Gateway:
    """Takes forwarded requests and sends them to the upstream."""

    def __init__(
        self,
        knowledge: view.View,
        client: upstream.UpstreamClient,
        bus: peers.PeerBus,
    ) -> None:
        self._view = knowledge
        self._client = client
        bus.register(kinds.Kind.FORWARD, self._handle)

    async def forward(
        self, request: messages.ForwardRequest
    ) -> messages.ForwardAnswer:
        """Runs a request on the upstream that owns its key."""
        assignment = self._view.assignments.get(request.service)
        if assignment is None:
            return _refuse(request, errors.Reason.CONFIGURATION_MISSING)
        owner = placement.owner_of(assignment, request.key)
        if owner is None:
            return _refuse(request, errors.Reason.UNOWNED)
        if assignment.gateways.get(owner) != self._view.settings.name:
            return _refuse(request, errors.Reason.NOT_GATEWAY)
        host = self._view.upstreams.get(owner)
        if host is None:
            return _refuse(request, errors.Reason.NO_UPSTREAM)
        shard = placement.shard_of(request.key, len(assignment.owners))
        fence = {
            "Sardinehill-Shard": str(shard),
            "Sardinehill-Term": str(assignment.term),
        }
        return await self._client.run(
            host, request, fence, request.deadline_ms / 1000
        )

    async def _handle(self, sender: str, payload: bytes) -> bytes:
        request = forwards.decode_request(payload)
        return forwards.encode_answer(await self.forward(request))


def _refuse(
    request: messages.ForwardRequest, reason: errors.Reason
) -> messages.ForwardAnswer:
    return messages.refusal(request.request_id, reason, errors.Verdict.NOT_RUN)
