"""Replicates stored documents between daemons.

The leader watches the store and sends each change to its followers. They watch
the store themselves only while they hear no leader that reaches it. A daemon
that has missed changes resyncs by querying peers for all newer documents.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import math

from sardinehill import events
from sardinehill import tolerant_json
from sardinehill.core import fleet_messages
from sardinehill.core import store_versions
from sardinehill.front import store_view
from sardinehill.front import store_watch
from sardinehill.front import watched_kinds
from sardinehill.platform import names

# Peers are queried this often while the view is incomplete or the store does
# not answer.
RESYNC_INTERVAL_S = 0.3
# A leader that has been silent for this long is not relied on for changes.
LEADER_FRESH_S = 0.6

QueryPeers = Callable[
    [fleet_messages.StoreStateQuery],
    Awaitable[fleet_messages.StoreState | None],
]


class StoreReplication:
    """Sends stored documents to peers and applies those received from them."""

    def __init__(
        self,
        view: store_view.StoreView,
        watch: store_watch.StoreWatch,
        query_peers: QueryPeers,
        send_to_followers: Callable[[fleet_messages.StoreChange], None],
    ):
        self._view = view
        self._watch = watch
        self._query_peers = query_peers
        self._send_to_followers = send_to_followers
        self._resync_needed = asyncio.Event()
        self._leader_table: fleet_messages.LeaderTable | None = None
        # When the leader last knew the documents of its table to be current.
        self._leader_current_s = -math.inf
        view.subscribe_to_changes(self._forward_change)

    # sending

    def change_versions(self) -> list[store_versions.StoreVersion]:
        """Returns the store's version at the last change of each kind."""
        return [watched.changed_version for watched in self._view.kinds]

    def _forward_change(self, change: watched_kinds.DocumentsChange) -> None:
        self._send_to_followers(
            fleet_messages.StoreChange(
                change.kind,
                change.since_version,
                change.version,
                json.dumps(change.documents).encode(),
                change.removed,
            )
        )

    def documents_for(
        self, query: fleet_messages.StoreStateQuery
    ) -> fleet_messages.StoreState:
        """Returns the documents that are newer than a peer's versions."""
        config, upstreams, zones = self._view.kinds
        state = fleet_messages.StoreState(age_s=self._view.store_lost_for_s())
        if (
            config.version > query.config_version
            or self._view.configuration_version > query.configuration
        ):
            state.config_version = config.version
            state.config = _encode_documents(config)
        if upstreams.version > query.upstreams_version:
            state.upstreams_version = upstreams.version
            state.upstreams = _encode_documents(upstreams)
        if zones.version > query.zones_version:
            state.zones_version = zones.version
            state.zones = _encode_documents(zones)
        return state

    # receiving

    def apply_table(self, table: fleet_messages.LeaderTable) -> None:
        """Decides from a leader table whether to rely on the leader's changes.

        Requests a resync if the leader has newer documents.
        """
        self._leader_table = table
        now_s = asyncio.get_running_loop().time()
        self._leader_current_s = now_s - table.age_s - table.documents_age_s
        self._compare_with_leader(table)

    def _compare_with_leader(self, table: fleet_messages.LeaderTable) -> None:
        own_versions = [watched.version for watched in self._view.kinds]
        is_behind = len(table.document_versions) != len(own_versions) or any(
            leader_version > own_version
            for leader_version, own_version in zip(
                table.document_versions, own_versions, strict=False
            )
        )
        # That of a restored store may be earlier than the leader's.
        is_behind |= table.configuration > self._view.configuration_version
        if is_behind:
            self._resync_needed.set()
        leader_era = max(
            (version.era for version in table.document_versions), default=0
        )
        # A leader that has not noticed that the store was restored sends no
        # changes of its present era.
        is_reliable = (
            table.store_reachable
            and table.age_s < LEADER_FRESH_S
            and leader_era >= max(version.era for version in own_versions)
        )
        if is_reliable and not is_behind:
            for watched in self._view.kinds:
                self._view.note_current(watched, self._leader_current_s)
        self._watch.rely_on_peers(
            is_reliable
            and not is_behind
            and store_versions.NEVER_READ not in own_versions
        )

    def leader_lost(self) -> None:
        """Stops relying on the leader until another table arrives.

        Without one, this daemon soon watches the store itself.
        """
        self._leader_table = None
        self._watch.rely_on_peers(False)

    def became_leader(self) -> None:
        """Starts to watch the store at once, as this daemon leads now."""
        self._leader_table = None
        self._watch.watch_at_once()

    def apply_change(self, change: fleet_messages.StoreChange) -> None:
        """Applies a change from a peer, or requests a resync after a gap."""
        watched = self._watched_kind(change.kind)
        # A change at the same version may remove entries that lapsed during an
        # outage and did not return.
        if watched is None:
            return
        if change.version < watched.version:
            events.log(
                events.NEWS_OUTDATED,
                kind=change.kind,
                source="peer",
                version=str(change.version),
                known_version=str(watched.version),
            )
            return
        if (
            watched.version == store_versions.NEVER_READ
            or change.since_version > watched.version
            or change.since_version.era != watched.version.era
        ):
            self._resync_needed.set()
            return
        changed = _decode_documents(change.kind, change.documents)
        if changed is None:
            return
        documents = {
            name: document
            for name, document in watched.documents.items()
            if name not in change.gone
        }
        documents.update(changed)
        self._view.replace_documents(watched, documents, change.version)

    def _watched_kind(self, kind: str) -> watched_kinds.WatchedKind | None:
        for watched in self._view.kinds:
            if watched.kind == kind:
                return watched
        return None

    async def run(self) -> None:
        """Queries peers whenever a resync is needed, until cancelled.

        It also queries them periodically while the view is incomplete or the
        store does not answer.
        """
        while True:
            try:
                async with asyncio.timeout(RESYNC_INTERVAL_S):
                    await self._resync_needed.wait()
            except TimeoutError:
                if self._view.store_reachable and self._view.is_complete:
                    continue
            self._resync_needed.clear()
            state = await self._query_peers(self._query())
            if state is not None:
                self._apply_documents(state)
                if self._leader_table is not None:
                    self._compare_with_leader(self._leader_table)

    def _query(self) -> fleet_messages.StoreStateQuery:
        config, upstreams, zones = self._view.kinds
        return fleet_messages.StoreStateQuery(
            config.version,
            upstreams.version,
            zones.version,
            self._view.configuration_version,
        )

    def _apply_documents(self, state: fleet_messages.StoreState) -> None:
        received = (
            (state.config_version, state.config),
            (state.upstreams_version, state.upstreams),
            (state.zones_version, state.zones),
        )
        for watched, (version, data) in zip(
            self._view.kinds, received, strict=True
        ):
            # Peers send a newer configuration than a restored store has.
            is_config = watched.kind == names.CONFIG_KIND
            if not data or (version <= watched.version and not is_config):
                continue
            documents = _decode_documents(watched.kind, data)
            if documents is None:
                continue
            version = max(version, watched.version)
            events.log(
                events.NEWS_FROM_PEER,
                kind=watched.kind,
                revision=version.revision,
            )
            self._view.replace_documents(watched, documents, version)


def _encode_documents(watched: watched_kinds.WatchedKind) -> bytes:
    return json.dumps(watched.documents).encode()


def _decode_documents(
    kind: str, data: bytes
) -> dict[str, store_view.Json] | None:
    """Returns the documents by name, or None if the data is malformed."""
    try:
        documents = tolerant_json.loads(data)
    except ValueError as error:
        events.log(events.NEWS_MALFORMED, kind=kind, error=str(error)[:200])
        return None
    if not isinstance(documents, dict):
        events.log(events.NEWS_MALFORMED, kind=kind, error="not a table")
        return None
    return documents
