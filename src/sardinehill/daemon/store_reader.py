"""Reads the platform's store for the fleet or for this daemon alone."""

import asyncio
import json
from typing import Any
import uuid

from sardinehill import errors
from sardinehill.adapters import platform
from sardinehill.core import replica as replica_module
from sardinehill.core import store_budget
from sardinehill.core import store_reads
from sardinehill.daemon import replication_context

HOSTS_POLL_INTERVAL_S = 1.0
MODE_CHECK_INTERVAL_S = 0.2
# How much longer each watcher waits than the one ranked before it, before it
# writes a host list that differs from the stored one.
HOSTS_WRITE_DELAY_PER_RANK_S = 3.0
HOSTS_OBJECT = ("hosts", "fleet")


class StoreReader:
    """Watches the store as a watcher, or reads it when the replica is old."""

    def __init__(
        self,
        client: platform.PlatformClient,
        context: replication_context.ReplicationContext,
    ) -> None:
        self._client = client
        self._context = context
        name = context.protocol.host.name
        self._uniform = store_budget.seeded_uniform(name)
        self._watch_tasks: list[asyncio.Task[None]] = []
        self._confirmed_at_s: dict[str, float] = {}
        self._hosts_differ_since_s: float | None = None
        self._full_reads = 0

    async def run(self) -> None:
        """Watches or reads the store according to the current read mode.

        The mode depends on the daemon's role and the age of its replica.
        """
        try:
            while True:
                await self._apply_read_mode()
                await asyncio.sleep(MODE_CHECK_INTERVAL_S)
        finally:
            self._stop_watches()

    async def _apply_read_mode(self) -> None:
        protocol = self._context.protocol
        age_s = protocol.replica.age_s(_now_s())
        match store_reads.read_mode(protocol.is_watcher, age_s):
            case store_reads.ReadMode.WATCH:
                self._start_watches()
            case store_reads.ReadMode.FULL_READ:
                self._stop_watches()
                await self._read_all_kinds()
            case store_reads.ReadMode.IDLE:
                self._stop_watches()

    def _start_watches(self) -> None:
        if self._watch_tasks:
            return
        self._confirmed_at_s.clear()
        for kind in replica_module.ITEM_KINDS:
            self._watch_tasks.append(asyncio.ensure_future(self._watch(kind)))
        self._watch_tasks.append(asyncio.ensure_future(self._poll_hosts()))

    def _stop_watches(self) -> None:
        for task in self._watch_tasks:
            task.cancel()
        self._watch_tasks.clear()

    def _backoff(self) -> store_budget.Backoff:
        members = len(self._context.protocol.members.hosts)
        max_backoff_s = store_budget.fleet_max_backoff_s(members)
        return store_budget.Backoff(self._uniform, max_backoff_s)

    async def _read_all_kinds(self) -> None:
        members = len(self._context.protocol.members.hosts)
        if self._full_reads > 0:
            # All daemons may need a full read at the same time, after an outage
            # of the store or the loss of their watchers.
            window_s = store_budget.recovery_window_s(
                members, store_reads.CALLS_PER_FULL_READ
            )
            await asyncio.sleep(self._uniform(0.0, window_s))
        self._full_reads += 1
        backoff = self._backoff()
        started_s = _now_s()
        for kind in replica_module.ITEM_KINDS:
            while not await self._read_kind(kind):
                await asyncio.sleep(backoff.record_failure())
                started_s = _now_s()
                if self._is_fresh_enough():
                    return
        self._context.protocol.replica.confirm_fresh(started_s)

    def _is_fresh_enough(self) -> bool:
        protocol = self._context.protocol
        age_s = protocol.replica.age_s(_now_s())
        return store_reads.read_mode(protocol.is_watcher, age_s) is not (
            store_reads.ReadMode.FULL_READ
        )

    async def _read_kind(self, kind: str) -> bool:
        try:
            changes = await self._client.list_kind(kind)
        except errors.StoreError:
            return False
        self._apply_list(kind, changes)
        return True

    def _apply_list(self, kind: str, changes: platform.KindChanges) -> None:
        items = [_item(stored) for stored in changes.objects]
        replica = self._context.protocol.replica
        for item in replica.changes_from_list(kind, items, changes.revision):
            self._context.offer(item)

    async def _watch(self, kind: str) -> None:
        revision = -1
        backoff = self._backoff()
        while True:
            asked_s = _now_s()
            try:
                if revision < 0:
                    changes = await self._client.list_kind(kind)
                    self._apply_list(kind, changes)
                else:
                    changes = await self._client.watch(
                        kind, revision, self._watch_wait_s()
                    )
                    self._apply_changes(kind, changes)
            except errors.StoreError:
                await asyncio.sleep(backoff.record_failure())
                continue
            backoff.record_success()
            # A reply that is older than what has been read doesn't confirm that
            # the replica is fresh.
            if changes.revision >= revision:
                revision = changes.revision
                self._confirm(kind, asked_s)

    def _rank(self) -> int:
        protocol = self._context.protocol
        watchers = protocol.roles.store_watchers()
        name = protocol.host.name
        return watchers.index(name) if name in watchers else len(watchers)

    def _watch_wait_s(self) -> float:
        age_s = self._context.protocol.replica.age_s(_now_s())
        return store_reads.watch_wait_s(self._rank(), age_s)

    def _apply_changes(self, kind: str, changes: platform.KindChanges) -> None:
        for stored in changes.objects:
            self._context.offer(_item(stored))
        for name in changes.deleted:
            self._context.offer(
                replica_module.Item(kind, name, changes.revision, b"", True)
            )

    def _confirm(self, kind: str, asked_s: float) -> None:
        self._confirmed_at_s[kind] = asked_s
        if len(self._confirmed_at_s) == len(replica_module.ITEM_KINDS):
            oldest_s = min(self._confirmed_at_s.values())
            self._context.protocol.replica.confirm_fresh(oldest_s)

    async def _poll_hosts(self) -> None:
        backoff = self._backoff()
        while True:
            try:
                await self._check_hosts()
            except errors.StoreConflictError:
                # Another watcher has written the list, which arrives through
                # replication.
                self._hosts_differ_since_s = None
            except errors.StoreError:
                await asyncio.sleep(backoff.record_failure())
                continue
            backoff.record_success()
            await asyncio.sleep(HOSTS_POLL_INTERVAL_S)

    async def _check_hosts(self) -> None:
        hosts = await self._client.list_hosts()
        protocol = self._context.protocol
        now_s = _now_s()
        daemons = platform.daemon_host_names(hosts)
        if daemons:
            protocol.update_platform_hosts(daemons, now_s)
        known = protocol.replica.get(*HOSTS_OBJECT)
        if known is not None and json.loads(known.body)["hosts"] == hosts:
            self._hosts_differ_since_s = None
            return
        if self._hosts_differ_since_s is None:
            self._hosts_differ_since_s = now_s
        if store_reads.should_write_hosts(
            self._rank(),
            self._hosts_differ_since_s,
            now_s,
            HOSTS_WRITE_DELAY_PER_RANK_S,
        ):
            await self._write_hosts(hosts, known)

    async def _write_hosts(
        self, hosts: list[dict[str, Any]], known: replica_module.Item | None
    ) -> None:
        value = {"hosts": hosts, "nonce": str(uuid.uuid4())}
        version = await platform.put_and_confirm(
            self._client,
            *HOSTS_OBJECT,
            value,
            0 if known is None else known.version,
        )
        self._hosts_differ_since_s = None
        self._context.apply(
            platform.VersionedObject(*HOSTS_OBJECT, version, value)
        )


def _item(stored: platform.VersionedObject) -> replica_module.Item:
    body = json.dumps(stored.value, separators=(",", ":")).encode()
    return replica_module.Item(stored.kind, stored.name, stored.version, body)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
