"""News of the store between daemons.

The leader watches the store and tells its followers each change; they watch it
themselves only while no leader that reaches it is heard. A daemon that lacks
changes asks for all of it.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json

from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.front import store_view as view_module
from sardinehill.front import store_watch

RESYNC_INTERVAL_S = 0.3
# A leader that was silent for so long is not relied on.
LEADER_FRESH_S = 0.6

QueryPeers = Callable[
    [fleet_messages.StoreStateQuery],
    Awaitable[fleet_messages.StoreState | None],
]


class StoreReplication:
    """One daemon's part in spreading what the store says."""

    def __init__(
        self,
        view: view_module.StoreView,
        watch: store_watch.StoreWatch,
        ask_peers: QueryPeers,
        tell_followers: Callable[[fleet_messages.StoreChange], None],
    ):
        self._view = view
        self._watch = watch
        self._query_peers = ask_peers
        self._send_to_followers = tell_followers
        self._resync_wanted = asyncio.Event()
        self._leader_table: fleet_messages.LeaderTable | None = None
        view.subscribe_to_changes(self._forward_change)

    # telling

    def change_revisions(self) -> list[int]:
        """Returns the store's revisions at which the kinds last changed."""
        return [watched.changed_revision for watched in self._view.kinds]

    def _forward_change(self, change: view_module.DocumentsChange) -> None:
        self._send_to_followers(
            fleet_messages.StoreChange(
                change.kind,
                change.since_revision,
                change.revision,
                json.dumps(change.documents).encode(),
                change.removed,
            )
        )

    def documents_for(
        self, query: fleet_messages.StoreStateQuery
    ) -> fleet_messages.StoreState:
        """Returns what a peer that asks has not read yet."""
        config, upstreams, zones = self._view.kinds
        news = fleet_messages.StoreState(age_s=self._view.store_lost_for_s())
        if config.revision > query.config_revision:
            news.config_revision = config.revision
            news.config = _encode_documents(config)
        if upstreams.revision > query.upstreams_revision:
            news.upstreams_revision = upstreams.revision
            news.upstreams = _encode_documents(upstreams)
        if zones.revision > query.zones_revision:
            news.zones_revision = zones.revision
            news.zones = _encode_documents(zones)
        return news

    # hearing

    def apply_table(self, table: fleet_messages.LeaderTable) -> None:
        """Learns from a leader's table whether its news can be relied on."""
        self._leader_table = table
        known = [watched.revision for watched in self._view.kinds]
        lacks = len(table.store_revisions) != len(known) or any(
            there > here
            for there, here in zip(table.store_revisions, known, strict=False)
        )
        if lacks:
            self._resync_wanted.set()
        can_rely = table.store_reachable and table.age_s < LEADER_FRESH_S
        self._watch.rely_on_peers(can_rely and not lacks and all(known))

    def leader_lost(self) -> None:
        """Has the store watched by this daemon itself, unless another leads."""
        self._leader_table = None
        self._watch.rely_on_peers(False)

    def became_leader(self) -> None:
        """Has the store watched by this daemon at once."""
        self._leader_table = None
        self._watch.watch_at_once()

    def apply_change(self, change: fleet_messages.StoreChange) -> None:
        """Takes in a change that a peer tells."""
        watched = self._watched_kind(change.kind)
        # One of the same revision tells of entries that were given up.
        if watched is None or change.revision < watched.revision:
            return
        if watched.revision == 0 or change.since_revision > watched.revision:
            self._resync_wanted.set()
            return
        found = _decode_documents(change.kind, change.documents)
        if found is None:
            return
        documents = {
            name: document
            for name, document in watched.documents.items()
            if name not in change.gone
        }
        documents.update(found)
        self._view.replace_documents(watched, documents, change.revision)

    def _watched_kind(self, kind: str) -> view_module.WatchedKind | None:
        for watched in self._view.kinds:
            if watched.kind == kind:
                return watched
        return None

    async def run(self) -> None:
        """Asks peers whenever something is lacking, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(RESYNC_INTERVAL_S):
                    await self._resync_wanted.wait()
            except TimeoutError:
                if self._view.store_reachable and self._view.is_complete:
                    continue
            self._resync_wanted.clear()
            news = await self._query_peers(self._query())
            if news is not None:
                self._apply_documents(news)
                if self._leader_table is not None:
                    self.apply_table(self._leader_table)

    def _query(self) -> fleet_messages.StoreStateQuery:
        config, upstreams, zones = self._view.kinds
        return fleet_messages.StoreStateQuery(
            config.revision, upstreams.revision, zones.revision
        )

    def _apply_documents(self, news: fleet_messages.StoreState) -> None:
        told = (
            (news.config_revision, news.config),
            (news.upstreams_revision, news.upstreams),
            (news.zones_revision, news.zones),
        )
        for watched, (revision, data) in zip(
            self._view.kinds, told, strict=True
        ):
            if not data or revision <= watched.revision:
                continue
            found = _decode_documents(watched.kind, data)
            if found is None:
                continue
            events.log(
                events.NEWS_FROM_PEER, kind=watched.kind, revision=revision
            )
            self._view.replace_documents(watched, found, revision)


def _encode_documents(watched: view_module.WatchedKind) -> bytes:
    return json.dumps(watched.documents).encode()


def _decode_documents(
    kind: str, data: bytes
) -> dict[str, view_module.Json] | None:
    """Returns the documents that a peer sent, or None if they are garbage."""
    try:
        found = json.loads(data)
    except ValueError as error:
        events.log(events.NEWS_MALFORMED, kind=kind, error=str(error)[:200])
        return None
    if not isinstance(found, dict):
        events.log(events.NEWS_MALFORMED, kind=kind, error="not a table")
        return None
    return found
