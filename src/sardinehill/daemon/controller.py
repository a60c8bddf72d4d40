"""Decides who owns which shard, and grants it."""

import asyncio
import logging
import uuid

from sardinehill import errors
from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.adapters import upstream
from sardinehill.core import fleet
from sardinehill.core import placement
from sardinehill.daemon import view

LEASE_TTL_S = 2.0
ROUND_INTERVAL_S = 0.5
GRANT_TTL_S = 2.0

_log = logging.getLogger(__name__)


class Controller:
    """Takes the lease of each service when it is free, and acts on it."""

    def __init__(
        self,
        knowledge: view.View,
        client: platform.PlatformClient,
        upstreams: upstream.UpstreamClient,
    ) -> None:
        self._view = knowledge
        self._client = client
        self._upstreams = upstreams
        self._task: asyncio.Task[None] | None = None
        self._terms: dict[str, int] = {}
        self._seen: dict[str, tuple[int, float]] = {}
        self._sequence = 0

    def start(self) -> None:
        """Begins the rounds."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Ends the rounds."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            config = self._view.config
            services = config.services.values() if config else ()
            for service in services:
                try:
                    await self._round(service)
                except errors.StoreError as error:
                    _log.warning("%s: %s", service.name, error)
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def _round(self, service: fleet.Service) -> None:
        if not await self._hold_lease(service.name):
            return
        assignment = await self._assign(service)
        await asyncio.gather(
            *(self._grant(assignment, name) for name in assignment.upstreams)
        )

    async def _hold_lease(self, service: str) -> bool:
        name = f"controller-{service}"
        found = await self._client.get("lease", name)
        own_name = self._view.settings.name
        now_s = asyncio.get_running_loop().time()
        if found is not None and found.value["holder"] != own_name:
            version, since_s = self._seen.get(service, (0, now_s))
            if version != found.version:
                self._seen[service] = (found.version, now_s)
                return False
            if now_s - since_s < LEASE_TTL_S:
                return False
        term = 0 if found is None else int(found.value["term"])
        if service not in self._terms:
            term += 1
        value = {"holder": own_name, "term": term, "nonce": str(uuid.uuid4())}
        version = 0 if found is None else found.version
        try:
            await platform.settle_write(
                self._client, "lease", name, value, version
            )
        except errors.StoreConflictError:
            self._terms.pop(service, None)
            return False
        self._terms[service] = term
        return True

    async def _assign(self, service: fleet.Service) -> placement.Assignment:
        usable = sorted(
            host.name
            for host in self._view.upstreams.values()
            if host.service == service.name and not self._view.is_out(host)
        )
        members = sorted(self._view.members)
        gateways = {
            name: placement.rendezvous(name, members) or "" for name in usable
        }
        current = self._view.assignments.get(service.name)
        if (
            current is not None
            and list(current.upstreams) == usable
            and current.gateways == gateways
        ):
            return current
        owners = tuple(
            shard % len(usable) if usable else -1
            for shard in range(service.shard_count)
        )
        wanted = placement.Assignment(
            service=service.name,
            version=0 if current is None else current.version,
            term=self._terms[service.name],
            upstreams=tuple(usable),
            owners=owners,
            gateways=gateways,
            hot_owners={},
            writer_id=self._view.settings.name,
            nonce=str(uuid.uuid4()),
        )
        await platform.settle_write(
            self._client,
            "assignment",
            service.name,
            records.assignment_value(wanted),
            wanted.version,
        )
        return wanted

    async def _grant(self, assignment: placement.Assignment, name: str) -> None:
        host = self._view.upstreams.get(name)
        if host is None:
            return
        self._sequence += 1
        shards = placement.shards_of_upstream(assignment, name)
        await self._upstreams.grant(
            host,
            upstream.Grant(
                service=assignment.service,
                term=self._terms[assignment.service],
                sequence=self._sequence,
                shards=tuple((shard, shard) for shard in shards),
                hot_keys=(),
                ttl_s=GRANT_TTL_S,
                sent_by=self._view.settings.name,
            ),
        )
