"""Receives the grants that make this daemon the gateway of upstreams."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import uuid

from sardinehill.core import gateway_grants
from sardinehill.daemon import boot_clock
from sardinehill.daemon import peer_bus
from sardinehill.wire import message_kinds
from sardinehill.wire import ownership as ownership_wire


class GrantReceiver:
    """Holds this daemon's grants and counts its requests in flight."""

    def __init__(self, bus: peer_bus.PeerBus):
        self._grants = gateway_grants.GatewayGrants(str(uuid.uuid4()))
        self._changed = asyncio.Event()
        bus.register(
            message_kinds.MessageKind.GATEWAY_GRANT, self._handle_grant
        )

    def is_gateway(self, service: str, upstream: str) -> bool:
        """Returns whether this daemon is an upstream's gateway now."""
        return self._grants.is_gateway(service, upstream, boot_clock.now_ms())

    def has_grant(
        self, service: str, upstream: str, shard: int, key: str
    ) -> bool:
        """Returns whether a grant covers a shard, or a key split from it."""
        return self._grants.covers(
            service, upstream, shard, key, boot_clock.now_ms()
        )

    def fencing_token(
        self, service: str, upstream: str, key: str, shard_count: int
    ) -> gateway_grants.FencingToken | None:
        """Returns the fencing token of the grant for a key, or None.

        It must be called again after every wait, immediately before the request
        is written to the upstream.
        """
        return self._grants.fencing_token(
            service, upstream, key, shard_count, boot_clock.now_ms()
        )

    async def wait_for_fencing_token(
        self,
        service: str,
        upstream: str,
        key: str,
        shard_count: int,
        timeout_s: float,
    ) -> gateway_grants.FencingToken | None:
        """Returns the fencing token of the grant for a key, waiting for it.

        In a planned move, the assignment usually arrives a few milliseconds
        before the grant.

        Returns:
          The token, or None if there is no grant after `timeout_s`.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while True:
                    token = self.fencing_token(
                        service, upstream, key, shard_count
                    )
                    if token is not None:
                        return token
                    await self._changed.wait()
        return None

    @contextlib.asynccontextmanager
    async def track_request(
        self, service: str, upstream: str, shard: int, key: str
    ) -> AsyncIterator[None]:
        """Counts a request as in flight, so that its shard isn't released."""
        self._grants.begin_request(service, upstream, shard, key)
        try:
            yield
        finally:
            self._grants.end_request(service, upstream, shard, key)

    def _handle_grant(self, sender: str, payload: bytes) -> bytes:
        service, grant = ownership_wire.decode_grant(payload)
        answer = self._grants.offer(service, grant, boot_clock.now_ms())
        if answer.accepted:
            self._notify_waiters()
        report = self._grants.take_usage_report(service, grant.target.upstream)
        return ownership_wire.encode_grant_answer(answer, report)

    def _notify_waiters(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
