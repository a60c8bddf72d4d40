"""Keeps a daemon's view of the fleet and its membership up to date."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
import json
from typing import Any

from sardinehill import errors
from sardinehill import events
from sardinehill import settings
from sardinehill.adapters import peers as peer_codec
from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.core import account_keys
from sardinehill.core import fleet
from sardinehill.core import member_roles
from sardinehill.core import membership
from sardinehill.core import peer_messages
from sardinehill.core import peer_protocol
from sardinehill.core import replica
from sardinehill.daemon import fleet_view
from sardinehill.daemon import member_list_writer
from sardinehill.daemon import outage_poller
from sardinehill.daemon import peer_bus
from sardinehill.daemon import store_reader
from sardinehill.wire import message_kinds

# How long a leaving daemon waits until it is removed from the member list.
LEAVE_TIMEOUT_S = 3.0
# Time between two attempts to connect to the peers named in the settings.
BOOTSTRAP_INTERVAL_S = 1.0


_ACCEPTED_EVENTS = {
    "config": events.CONFIGURATION_ACCEPTED,
    "placement": events.PLACEMENT_ACCEPTED,
    "account-keys": events.ACCOUNT_KEYS_ACCEPTED,
}
_REJECTED_EVENTS = {"config": events.CONFIGURATION_REFUSED}


@dataclasses.dataclass(frozen=True)
class ReplicationStatus:
    """What this daemon's replica contains and how fresh it is.

    Attributes:
      is_member: whether the member list contains this daemon with its current
        incarnation.
      is_watcher: whether it watches the store on behalf of the fleet.
      members: the number of daemons in the member list.
      age_s: for how many seconds the store may have had newer objects.
      versions: the version of each known object, by kind and name.
      problems: why an object could not be applied, by kind and name.
      unreachable: members that don't answer this daemon's probes.
    """

    is_member: bool
    is_watcher: bool
    members: int
    age_s: float
    versions: dict[str, int]
    problems: dict[str, str]
    unreachable: list[str]


class Replication:
    """Runs the membership and replication of one daemon."""

    def __init__(
        self,
        client: platform.PlatformClient,
        view: fleet_view.FleetView,
        bus: peer_bus.PeerBus,
    ) -> None:
        self._client = client
        self._view = view
        self._bus = bus
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[Callable[[str, str], None]] = []
        self._problems: dict[str, str] = {}
        self._protocol: peer_protocol.PeerProtocol | None = None
        self._removed_from_list = asyncio.Event()

    @property
    def protocol(self) -> peer_protocol.PeerProtocol:
        """The protocol state of this daemon, available after `start`.

        Raises:
          RuntimeError: `start` was not called.
        """
        if self._protocol is None:
            raise RuntimeError("Replication.start was not called")
        return self._protocol

    @property
    def roles(self) -> member_roles.RoleTable:
        """The holders of each role under the newest member list."""
        return self.protocol.roles

    def subscribe(self, listener: Callable[[str, str], None]) -> None:
        """Calls `listener(kind, name)` after each change of the view."""
        self._listeners.append(listener)

    def start(self, host: fleet.DaemonHost) -> None:
        """Starts all loops and requests to join the member list."""
        self._protocol = peer_protocol.PeerProtocol(host, self._on_accepted)
        for kind in (
            message_kinds.MessageKind.HEARTBEAT,
            message_kinds.MessageKind.REPLICATION_VERSIONS,
            message_kinds.MessageKind.REPLICATION_BODIES,
        ):
            self._bus.register(kind, self._message_handler(kind))
        reader = store_reader.StoreReader(self._client, self)
        list_writer = member_list_writer.MemberListWriter(self._client, self)
        poller = outage_poller.OutagePoller(self._client, self._bus, self)
        for loop in (
            self._tick_forever(),
            self._bootstrap_forever(),
            reader.run(),
            list_writer.run(),
            poller.run(),
        ):
            self._tasks.append(asyncio.ensure_future(loop))

    async def leave(self) -> None:
        """Requests removal from the member list and waits briefly for it."""
        self.protocol.leaving = True
        if self.protocol.host.name not in self.protocol.members.by_name:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._removed_from_list.wait()

    async def close(self) -> None:
        """Cancels the loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def apply(self, item: platform.VersionedObject) -> None:
        """Applies an object from the store; an older version is ignored."""
        body = json.dumps(item.value, separators=(",", ":")).encode()
        self.offer(replica.Item(item.kind, item.name, item.version, body))

    def offer(self, item: replica.Item) -> None:
        """Applies an item and announces it to peers if it is newer."""
        self.send(self.protocol.offer(item))

    def send(self, messages: list[peer_messages.OutgoingMessage]) -> None:
        """Sends messages, each of which may be lost."""
        encoded: dict[int, tuple[message_kinds.MessageKind, bytes]] = {}
        for outgoing in messages:
            # The same message object goes to several recipients and is encoded
            # only once.
            if id(outgoing.message) not in encoded:
                encoded[id(outgoing.message)] = peer_codec.encode(
                    outgoing.message
                )
            self._bus.send(outgoing.recipient, *encoded[id(outgoing.message)])

    def status(self) -> ReplicationStatus:
        """Returns the status that operators are shown."""
        now_s = _now_s()
        return ReplicationStatus(
            is_member=self.protocol.is_member,
            is_watcher=self.protocol.is_watcher,
            members=len(self.protocol.members.hosts),
            age_s=self.protocol.replica.age_s(now_s),
            versions={
                f"{notice.kind}/{notice.name}": notice.version
                for notice in self.protocol.replica.notices()
            },
            problems=dict(self._problems),
            unreachable=self.protocol.unreachable_members(now_s),
        )

    def _message_handler(
        self, kind: message_kinds.MessageKind
    ) -> Callable[[str, bytes], None]:
        def handle(sender: str, payload: bytes) -> None:
            message = peer_codec.decode(kind, payload)
            self.send(self.protocol.receive(sender, message, _now_s()))

        return handle

    async def _tick_forever(self) -> None:
        while True:
            self.protocol.set_contacts(sorted(self._bus.connected_peers()))
            now_s = _now_s()
            self.send(self.protocol.tick(now_s))
            self._view.key_ring.confirm_fresh(
                now_s - self.protocol.replica.age_s(now_s)
            )
            await asyncio.sleep(peer_protocol.TICK_INTERVAL_S)

    async def _bootstrap_forever(self) -> None:
        # A daemon without connected peers connects to the addresses in its
        # settings, which works while the store is down too.
        addresses = self._view.settings.bootstrap_peers
        while True:
            if not self._bus.connected_peers():
                for address in addresses:
                    if address != self.protocol.host.peer_address:
                        await self._connect_to_bootstrap_peer(address)
            await asyncio.sleep(BOOTSTRAP_INTERVAL_S)

    async def _connect_to_bootstrap_peer(self, address: fleet.Address) -> None:
        try:
            await self._bus.connect_to(address)
        except errors.PeerError as error:
            events.log(
                events.PEER_UNREACHABLE,
                address=str(address),
                detail=str(error),
            )

    def _on_accepted(self, item: replica.Item) -> None:
        object_path = f"{item.kind}/{item.name}"
        try:
            self._apply_to_view(item)
        except (
            errors.StoreReplyError,
            errors.SettingsErrors,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            # The view keeps the previous version, so that no object is ever
            # applied in part.
            self._problems[object_path] = f"version {item.version}: {error}"
            events.log(
                _REJECTED_EVENTS.get(item.kind, events.STORE_REPLY_BAD),
                place=object_path,
                version=item.version,
                detail=str(error),
            )
            return
        self._problems.pop(object_path, None)
        accepted = _ACCEPTED_EVENTS.get(item.kind)
        if accepted is not None:
            events.log(accepted, place=object_path, version=item.version)
        for listener in self._listeners:
            listener(item.kind, item.name)

    def _apply_to_view(self, item: replica.Item) -> None:
        value = None if item.deleted else json.loads(item.body)
        match item.kind:
            case "config":
                self._apply_config(item, value)
            case "placement":
                self._view.exclusions = (
                    fleet.PlacementExclusions(item.version)
                    if value is None
                    else records.decode_placement_exclusions(
                        item.version, value
                    )
                )
            case "account-keys":
                # A bucket whose object was deleted contains no keys.
                bucket = account_keys.KeyBucket()
                if value is not None:
                    bucket = records.decode_key_bucket(item.name, value)
                self._view.key_ring.update_bucket(
                    item.name, item.version, bucket
                )
            case "assignment":
                assignment = None
                if value is not None:
                    assignment = records.decode_assignment(
                        item.name, item.version, value
                    )
                _set_or_remove(self._view.assignments, item.name, assignment)
            case "hosts" if value is not None:
                hosts = platform.parse_upstreams(value)
                before = self._view.upstreams
                self._view.upstreams = {host.name: host for host in hosts}
                _log_changes(
                    before,
                    self._view.upstreams,
                    events.UPSTREAM_FOUND,
                    events.UPSTREAM_GONE,
                )
            case "members" if value is not None:
                self._apply_members(item, value)

    def _apply_config(self, item: replica.Item, value: Any) -> None:
        # After a deletion, the last configuration stays in force, because an
        # operator's mistake must not stop the service.
        if value is None:
            return
        text = str(value["text"])
        self._view.config = settings.read_fleet_config(
            text, f"config/{item.name}", item.version
        )
        self._view.config_text = text

    def _apply_members(self, item: replica.Item, value: Any) -> None:
        hosts_by_name = records.decode_members(value)
        members = membership.MemberList(
            version=item.version,
            hosts=tuple(hosts_by_name[name] for name in sorted(hosts_by_name)),
            writer_id=str(value.get("writer_id", "")),
            nonce=str(value.get("nonce", "")),
        )
        _log_changes(
            self._view.members,
            hosts_by_name,
            events.PEER_JOINED,
            events.PEER_LOST,
        )
        self._view.members = hosts_by_name
        self.protocol.set_members(members, _now_s())
        if (
            self.protocol.leaving
            and self.protocol.host.name not in hosts_by_name
        ):
            self._removed_from_list.set()


def _log_changes(
    before: Mapping[str, Any],
    after: Mapping[str, Any],
    added_event: events.Event,
    removed_event: events.Event,
) -> None:
    for name in sorted(after.keys() - before.keys()):
        events.log(added_event, name=name)
    for name in sorted(before.keys() - after.keys()):
        events.log(removed_event, name=name)


def _set_or_remove(mapping: dict[str, Any], name: str, value: Any) -> None:
    if value is None:
        mapping.pop(name, None)
    else:
        mapping[name] = value


def _now_s() -> float:
    return asyncio.get_running_loop().time()
