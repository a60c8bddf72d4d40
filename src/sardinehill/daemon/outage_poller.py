"""Confirms that the replica is fresh while the store answers no daemon."""

import asyncio
import math

from sardinehill import errors
from sardinehill.adapters import platform
from sardinehill.core import member_roles
from sardinehill.core import outage
from sardinehill.core import peer_protocol
from sardinehill.daemon import peer_bus
from sardinehill.daemon import replication_context
from sardinehill.wire import message_kinds

# A poll that is due soon is waited for in steps of at least this.
MIN_PAUSE_S = 0.005
_REACHED = b"reached"
_FAILED = b"failed"


class OutagePoller:
    """Asks members whether they reach the store and answers their polls."""

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
        """Polls whenever the replica is old enough for this daemon's rank."""
        while True:
            await asyncio.sleep(self._pause_s())
            if self._due_in_s() < 0:
                await self._poll_members()

    def _pause_s(self) -> float:
        """Returns the time until the next poll may be due."""
        due_in_s = self._due_in_s()
        if due_in_s < 0:
            # The last poll has found no outage.
            return peer_protocol.TICK_INTERVAL_S
        return min(max(due_in_s, MIN_PAUSE_S), peer_protocol.TICK_INTERVAL_S)

    def _due_in_s(self) -> float:
        """Returns the time until this daemon polls; negative if it is due."""
        protocol = self._context.protocol
        if not protocol.is_member:
            return math.inf
        age_s = protocol.replica.age_s(asyncio.get_running_loop().time())
        ranked = protocol.roles.holders(
            member_roles.STORE_WATCHER_ROLE, len(protocol.members.hosts)
        )
        return outage.poll_age_s(ranked.index(protocol.host.name)) - age_s

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
        # The member list may have changed meanwhile, so the newest one is used.
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
