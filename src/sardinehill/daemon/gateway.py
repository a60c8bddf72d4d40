"""The one daemon through which an upstream's requests pass."""

from sardinehill import errors
from sardinehill.adapters import upstream
from sardinehill.core import messages
from sardinehill.core import placement
from sardinehill.daemon import gateway_leases
from sardinehill.daemon import peers
from sardinehill.daemon import view
from sardinehill.wire import forwards
from sardinehill.wire import kinds

# Covers the time between the news of a new owner and its grant.
FENCE_WAIT_S = 0.3


class Gateway:
    """Takes forwarded requests and sends them to the upstream."""

    def __init__(
        self,
        knowledge: view.View,
        client: upstream.UpstreamClient,
        bus: peers.PeerBus,
        leases: gateway_leases.GatewayLeases,
    ) -> None:
        self._view = knowledge
        self._client = client
        self._leases = leases
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
        host = self._view.upstreams.get(owner)
        if host is None:
            return _refuse(request, errors.Reason.NO_UPSTREAM)
        shard_count = len(assignment.owners)
        fence = await self._leases.wait_for_fence(
            request.service,
            owner,
            request.key,
            shard_count,
            min(FENCE_WAIT_S, request.deadline_ms / 1000),
        )
        if fence is None:
            if self._leases.is_gateway(request.service, owner):
                return _refuse(request, errors.Reason.FENCED)
            return _refuse(request, errors.Reason.NOT_GATEWAY)
        headers = {
            "Sardinehill-Shard": str(fence.shard),
            "Sardinehill-Term": str(fence.term),
            "Sardinehill-Sequence": str(fence.sequence),
        }
        async with self._leases.running(
            request.service, owner, fence.shard, request.key
        ):
            return await self._client.run(
                host, request, headers, request.deadline_ms / 1000
            )

    async def _handle(self, sender: str, payload: bytes) -> bytes:
        request = forwards.decode_request(payload)
        return forwards.encode_answer(await self.forward(request))


def _refuse(
    request: messages.ForwardRequest, reason: errors.Reason
) -> messages.ForwardAnswer:
    return messages.refusal(request.request_id, reason, errors.Verdict.NOT_RUN)
