"""Writes the changes of the member list that this daemon proposes."""

import asyncio
from typing import Any
import uuid

from sardinehill import errors
from sardinehill import events
from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.core import fleet
from sardinehill.core import peer_protocol
from sardinehill.core import store_budget
from sardinehill.daemon import replication_context


class MemberListWriter:
    """Writes proposed member lists to the store as conditional updates."""

    def __init__(
        self,
        client: platform.PlatformClient,
        context: replication_context.ReplicationContext,
    ) -> None:
        self._client = client
        self._context = context
        name = context.protocol.host.name
        self._backoff = store_budget.Backoff(store_budget.seeded_uniform(name))

    async def run(self) -> None:
        """Writes proposed member lists, one at a time, until cancelled."""
        while True:
            await asyncio.sleep(peer_protocol.TICK_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            hosts = self._context.protocol.proposed_hosts(now_s)
            if hosts is None:
                continue
            try:
                await self._write(hosts)
            except errors.StoreConflictError:
                await self._reload()
            except errors.StoreError as error:
                events.log(events.MEMBERS_NOT_WRITTEN, detail=str(error))
                await asyncio.sleep(self._backoff.record_failure())
            else:
                self._backoff.record_success()

    async def _write(self, hosts: tuple[fleet.DaemonHost, ...]) -> None:
        value: dict[str, Any] = {
            "members": {
                host.name: records.encode_member(host) for host in hosts
            },
            "writer_id": self._context.protocol.host.name,
            "nonce": str(uuid.uuid4()),
        }
        version = await platform.put_and_confirm(
            self._client,
            "members",
            "fleet",
            value,
            self._context.protocol.members.version,
        )
        self._context.apply(
            platform.VersionedObject("members", "fleet", version, value)
        )

    async def _reload(self) -> None:
        try:
            found = await self._client.get("members", "fleet")
        except errors.StoreError:
            await asyncio.sleep(self._backoff.record_failure())
            return
        if found is not None:
            self._context.apply(found)
