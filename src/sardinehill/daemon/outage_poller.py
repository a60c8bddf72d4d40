"""Keeps news from growing old while the store answers nobody."""

import asyncio

from sardinehill import errors
from sardinehill.adapters import platform
from sardinehill.core import member_roles
from sardinehill.core import outage
from sardinehill.core import peer_protocol
from sardinehill.daemon import peer_bus
from sardinehill.daemon import replication_context
from sardinehill.wire import message_kinds

_REACHED = b"reached"
_FAILED = b"failed"


class OutagePoller:
    """Asks the members whether they reach the store, and answers them."""

    def __init__(
        self,
        client: platform.PlatformClient,
        bus: peer_bus.PeerBus,
        context: replication_context.ReplicationContext,
    ) -> None:
        self._client = client
        self._bus = bus
        self._context = context
        bus.register(
            message_kinds.MessageKind.STORE_REACHABILITY_QUERY,
            self._handle_poll,
        )

    async def run(self) -> None:
        """Asks whenever this daemon's news is old enough for its rank."""
        while True:
            await asyncio.sleep(peer_protocol.TICK_INTERVAL_S)
            part = self._context.protocol
            if not part.is_member:
                continue
            age_s = part.replica.age_s(asyncio.get_running_loop().time())
            ranked = part.roles.holders(
                member_roles.STORE_WATCHER_ROLE, len(part.members.hosts)
            )
            if outage.should_poll(age_s, ranked.index(part.host.name)):
                await self._poll_members()

    async def _poll_members(self) -> None:
        asked_s = asyncio.get_running_loop().time()
        names = list(self._context.protocol.members.by_name)
        answers = await asyncio.gather(
            *(self._poll_member(name) for name in names)
        )
        failed = [
            name
            for name, answer in zip(names, answers, strict=True)
            if answer == _FAILED
        ]
        # The list may have changed meanwhile; the newest one decides.
        if outage.is_outage(failed, self._context.protocol.members.by_name):
            self._context.protocol.replica.confirm_fresh(asked_s)

    async def _poll_member(self, name: str) -> bytes:
        try:
            return await self._bus.ask(
                name,
                message_kinds.MessageKind.STORE_REACHABILITY_QUERY,
                b"",
                outage.POLL_TIMEOUT_S,
            )
        except errors.PeerError:
            return b""

    async def _handle_poll(self, sender: str, payload: bytes) -> bytes:
        return await self._try_store()

    async def _try_store(self) -> bytes:
        try:
            found = await self._client.get(
                "members", "fleet", outage.STORE_ATTEMPT_TIMEOUT_S
            )
        except errors.StoreUnavailableError:
            return _FAILED
        except errors.StoreError:
            return _REACHED
        if found is not None:
            self._context.apply(found)
        return _REACHED
