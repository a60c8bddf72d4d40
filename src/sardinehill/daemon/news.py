"""Keeps a daemon's view up to date from the platform's store."""

import asyncio
from collections.abc import Callable
import logging

from sardinehill import errors
from sardinehill import settings
from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.core import fleet
from sardinehill.daemon import view

WATCH_WAIT_S = 1.0
HOSTS_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.2
WATCHED_KINDS = ("config", "placement", "account-keys", "assignment", "members")

_log = logging.getLogger(__name__)


class News:
    """Watches the store and writes what it learns into the view."""

    def __init__(
        self, client: platform.PlatformClient, knowledge: view.View
    ) -> None:
        self._client = client
        self._view = knowledge
        self._versions: dict[tuple[str, str], int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[Callable[[str, str], None]] = []

    def subscribe(self, listener: Callable[[str, str], None]) -> None:
        """Calls `listener(kind, name)` after each change of the view."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Begins to watch."""
        for kind in WATCHED_KINDS:
            self._tasks.append(asyncio.ensure_future(self._watch(kind)))
        self._tasks.append(asyncio.ensure_future(self._poll_hosts()))

    async def close(self) -> None:
        """Ends the watches."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def apply(self, item: platform.StoredObject) -> None:
        """Takes one object into the view; an older version is ignored."""
        place = (item.kind, item.name)
        if item.version <= self._versions.get(place, 0):
            return
        try:
            self._take(item)
        except (errors.StoreReplyError, errors.SettingsErrors) as error:
            _log.error("%s/%s cannot be applied: %s", *place, error)
            return
        self._versions[place] = item.version
        for listener in self._listeners:
            listener(item.kind, item.name)

    def _take(self, item: platform.StoredObject) -> None:
        if item.kind == "config":
            text = str(item.value["text"])
            self._view.config = settings.read_fleet_config(
                text, f"config/{item.name}", item.version
            )
            self._view.config_text = text
        elif item.kind == "placement":
            self._view.taken_out = records.read_placement(
                item.version, item.value
            )
        elif item.kind == "account-keys":
            bucket = records.read_key_bucket(item.name, item.value)
            self._view.key_ring.replace_bucket(item.name, item.version, bucket)
        elif item.kind == "assignment":
            self._view.assignments[item.name] = records.read_assignment(
                item.name, item.version, item.value
            )
        elif item.kind == "members":
            self._view.members = records.read_members(item.value)

    async def _watch(self, kind: str) -> None:
        revision = -1
        while True:
            began_s = asyncio.get_running_loop().time()
            try:
                if revision < 0:
                    changes = await self._client.list_kind(kind)
                else:
                    changes = await self._client.watch(
                        kind, revision, WATCH_WAIT_S
                    )
            except errors.StoreError:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            for item in changes.objects:
                self.apply(item)
            revision = changes.revision
            if kind == "account-keys":
                self._view.key_ring.confirm(began_s)

    async def _poll_hosts(self) -> None:
        while True:
            try:
                hosts = await self._client.hosts()
            except errors.StoreError:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._view.upstreams = {host.name: host for host in hosts}
            await asyncio.sleep(HOSTS_INTERVAL_S)


async def join(
    client: platform.PlatformClient, member: fleet.DaemonHost
) -> None:
    """Adds a daemon to the members object, however many others do so too.

    Raises:
      StoreError: the store did not answer.
    """
    while True:
        found = await client.get("members", "fleet")
        value = {"members": {}} if found is None else dict(found.value)
        members = dict(value["members"])
        members[member.name] = records.member_value(member)
        version = 0 if found is None else found.version
        try:
            await client.put("members", "fleet", {"members": members}, version)
        except errors.StoreConflictError:
            continue
        return
