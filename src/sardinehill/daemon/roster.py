"""Writes the member list when this daemon has a change to make."""

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
from sardinehill.daemon import news_part


class Roster:
    """Turns the core's proposals into conditional updates."""

    def __init__(
        self, client: platform.PlatformClient, part: news_part.NewsPart
    ) -> None:
        self._client = client
        self._news = part
        name = part.member.host.name
        self._backoff = store_budget.Backoff(store_budget.seeded_uniform(name))

    async def run(self) -> None:
        """Writes whenever there is something to write, one at a time."""
        while True:
            await asyncio.sleep(peer_protocol.TICK_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            hosts = self._news.member.proposed_hosts(now_s)
            if hosts is None:
                continue
            try:
                await self._write(hosts)
            except errors.StoreConflictError:
                await self._read_again()
            except errors.StoreError as error:
                events.log(events.MEMBERS_NOT_WRITTEN, detail=str(error))
                await asyncio.sleep(self._backoff.record_failure())
            else:
                self._backoff.record_success()

    async def _write(self, hosts: tuple[fleet.DaemonHost, ...]) -> None:
        value: dict[str, Any] = {
            "members": {
                host.name: records.member_value(host) for host in hosts
            },
            "writer_id": self._news.member.host.name,
            "nonce": str(uuid.uuid4()),
        }
        version = await platform.settle_write(
            self._client,
            "members",
            "fleet",
            value,
            self._news.member.members.version,
        )
        self._news.apply(
            platform.StoredObject("members", "fleet", version, value)
        )

    async def _read_again(self) -> None:
        try:
            found = await self._client.get("members", "fleet")
        except errors.StoreError:
            await asyncio.sleep(self._backoff.record_failure())
            return
        if found is not None:
            self._news.apply(found)
