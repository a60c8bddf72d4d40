"""What a daemon believes of configuration, upstreams and zones.

Each of the three kinds is watched in the store. While the store cannot be
read, peers are asked for what they have read; the store's revision tells what
is newer, so nothing ever goes back.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import logging
from typing import Any

from sardinehill import errors
from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.core import routes
from sardinehill.platform import documents
from sardinehill.platform import names
from sardinehill.platform import store as store_module

FIRST_RETRY_S = 0.05
LONGEST_RETRY_S = 0.5
# Entries that lapsed while the store was away return within two seconds.
LAPSED_ENTRY_GRACE_S = 2.1
# An outage shorter than this is a lost connection, not lapsed entries.
OUTAGE_S = 1.0
NEWS_INTERVAL_S = 0.3
# After a change a watch pauses, so that changes that come together cost one
# call.
PAUSES_S = {
    names.CONFIG_KIND: 0.05,
    names.UPSTREAMS_KIND: 0.25,
    names.ZONES_OUT_KIND: 0.05,
}

Json = Any


@dataclasses.dataclass
class Watched:
    """One kind of object, as last read.

    Attributes:
      kind: the platform's kind.
      revision: of the store when it was read.
      documents: the objects by name.
      lost_since_s: when the store stopped answering, or None.
      back_since_s: when it answered again after an outage.
      doubtful: names that vanished after an outage, with the time at which
        they are taken as gone.
    """

    kind: str
    revision: int = 0
    documents: dict[str, Json] = dataclasses.field(default_factory=dict)
    lost_since_s: float | None = None
    back_since_s: float = -1e9
    doubtful: dict[str, float] = dataclasses.field(default_factory=dict)


class View:
    """The three kinds, decoded.

    Public attributes:
      configuration: in force, or None until one is known.
      upstreams: by id, also those that drain.
      zones_out: availability zones whose upstreams get nothing.
    """

    def __init__(
        self,
        store: store_module.Store,
        clock_s: Callable[[], float],
        ask_peers: Callable[
            [fleet_messages.NewsQuery], Awaitable[fleet_messages.News | None]
        ],
    ):
        self._store = store
        self._clock_s = clock_s
        self._ask_peers = ask_peers
        self._config = Watched(names.CONFIG_KIND)
        self._upstreams = Watched(names.UPSTREAMS_KIND)
        self._zones = Watched(names.ZONES_OUT_KIND)
        self._subscribers: list[Callable[[], None]] = []
        self._malformed: dict[str, str] = {}
        self._decoded: dict[str, tuple[Json, routes.Upstream]] = {}
        self._store_was_reachable = True
        self._lost_since_s = 0.0
        self.configuration: routes.Configuration | None = None
        self.upstreams: dict[str, routes.Upstream] = {}
        self.zones_out: frozenset[str] = frozenset()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Has `callback` called after each change."""
        self._subscribers.append(callback)

    @property
    def is_complete(self) -> bool:
        """Whether all three kinds have been read once."""
        return self.configuration is not None and all(
            watched.revision > 0 for watched in self._all()
        )

    @property
    def store_reachable(self) -> bool:
        """Whether no watch is without an answer from the store."""
        return all(watched.lost_since_s is None for watched in self._all())

    def store_lost_for_s(self) -> float:
        """Returns for how long some watch or call has had no answer."""
        since = [
            watched.lost_since_s
            for watched in self._all()
            if watched.lost_since_s is not None
        ]
        if self._store.failing_since_s is not None:
            since.append(self._store.failing_since_s)
        return self._clock_s() - min(since) if since else 0.0

    def store_back_for_s(self) -> float:
        """Returns for how long the store has answered after an outage."""
        if not self.store_reachable:
            return 0.0
        return self._clock_s() - max(
            watched.back_since_s for watched in self._all()
        )

    def _all(self) -> tuple[Watched, Watched, Watched]:
        return (self._config, self._upstreams, self._zones)

    async def run(self) -> None:
        """Watches until cancelled."""
        async with asyncio.TaskGroup() as group:
            for watched in self._all():
                group.create_task(self._watch(watched))
            group.create_task(self._ask_for_news())
            group.create_task(self._drop_doubtful())

    async def _watch(self, watched: Watched) -> None:
        retry_s = FIRST_RETRY_S
        while True:
            try:
                objects, revision = await self._store.list_kind(watched.kind)
                self._listed(watched, objects, revision)
                retry_s = FIRST_RETRY_S
                stream = self._store.watch(watched.kind, watched.revision)
                async for changes, revision in stream:
                    self._changed(watched, changes, revision)
                    await asyncio.sleep(PAUSES_S[watched.kind])
            except store_module.HistoryGoneError:
                events.log(events.STORE_HISTORY_GONE, kind=watched.kind)
                continue
            except errors.StoreError as error:
                self._lost(watched, error)
                await asyncio.sleep(retry_s)
                retry_s = min(retry_s * 1.6, LONGEST_RETRY_S)

    def _lost(self, watched: Watched, error: Exception) -> None:
        if watched.lost_since_s is None:
            watched.lost_since_s = self._clock_s()
        if self._store_was_reachable:
            self._store_was_reachable = False
            self._lost_since_s = self._clock_s()
            events.log(
                events.STORE_LOST, kind=watched.kind, error=str(error)[:200]
            )

    def _answered(self, watched: Watched) -> None:
        if watched.lost_since_s is not None:
            now_s = self._clock_s()
            if now_s - watched.lost_since_s > OUTAGE_S:
                watched.back_since_s = now_s
            watched.lost_since_s = None
        if not self._store_was_reachable and self.store_reachable:
            self._store_was_reachable = True
            events.log(
                events.STORE_BACK,
                away_s=round(self._clock_s() - self._lost_since_s, 3),
            )

    def _listed(
        self,
        watched: Watched,
        objects: list[store_module.StoredObject],
        revision: int,
    ) -> None:
        self._answered(watched)
        if revision < watched.revision:
            # Answers are linearizable; an older one was delayed on its way.
            return
        found = {item.name: item.document for item in objects}
        for name in watched.documents.keys() - found.keys():
            self._vanished(watched, name, found)
        for name in found:
            watched.doubtful.pop(name, None)
        watched.documents = found
        watched.revision = revision
        self._decode(watched)

    def _vanished(
        self, watched: Watched, name: str, documents_left: dict[str, Json]
    ) -> None:
        """Keeps an upstream that may only have lapsed in an outage."""
        since_back_s = self._clock_s() - watched.back_since_s
        if watched is self._upstreams and since_back_s < LAPSED_ENTRY_GRACE_S:
            documents_left[name] = watched.documents[name]
            watched.doubtful.setdefault(
                name, watched.back_since_s + LAPSED_ENTRY_GRACE_S
            )

    def _changed(
        self,
        watched: Watched,
        changes: list[store_module.Change],
        revision: int,
    ) -> None:
        self._answered(watched)
        if revision <= watched.revision and not changes:
            return
        found = dict(watched.documents)
        for change in changes:
            name = change.object.name
            if change.deleted:
                if name in found:
                    left: dict[str, Json] = {}
                    self._vanished(watched, name, left)
                    if name not in left:
                        del found[name]
            else:
                found[name] = change.object.document
                watched.doubtful.pop(name, None)
        watched.documents = found
        watched.revision = max(watched.revision, revision)
        if changes:
            self._decode(watched)

    async def _drop_doubtful(self) -> None:
        watched = self._upstreams
        while True:
            await asyncio.sleep(0.1)
            now_s = self._clock_s()
            gone = [at for at in watched.doubtful.items() if at[1] <= now_s]
            for name, _ in gone:
                del watched.doubtful[name]
                watched.documents.pop(name, None)
            if gone:
                self._decode(watched)

    def _decode(self, watched: Watched) -> None:
        if watched is self._config:
            self._decode_configuration()
        elif watched is self._upstreams:
            self._decode_upstreams()
        else:
            self._decode_zones()
        for callback in self._subscribers:
            callback()

    def _decode_configuration(self) -> None:
        document = self._config.documents.get(names.CONFIG_NAME)
        if document is None:
            return
        try:
            found = documents.configuration(document)
        except documents.MalformedDocumentError as error:
            events.log(events.CONFIGURATION_REFUSED, error=str(error))
            return
        known = self.configuration
        if known is not None and found.version <= known.version:
            return
        self.configuration = found
        events.log(
            events.CONFIGURATION_ACCEPTED,
            version=found.version,
            revision=self._config.revision,
        )

    def _decode_upstreams(self) -> None:
        found: dict[str, routes.Upstream] = {}
        decoded: dict[str, tuple[Json, routes.Upstream]] = {}
        for name, document in self._upstreams.documents.items():
            kept = self._decoded.get(name)
            if kept is not None and kept[0] is document:
                upstream = kept[1]
            else:
                try:
                    upstream = documents.upstream(name, document)
                except documents.MalformedDocumentError as error:
                    self._note_malformed(name, str(error))
                    continue
            decoded[name] = (document, upstream)
            found[name] = upstream
        self._log_upstreams(found)
        self._decoded = decoded
        self.upstreams = found

    def _note_malformed(self, name: str, error: str) -> None:
        if self._malformed.get(name) != error:
            self._malformed[name] = error
            events.log(events.ENTRY_MALFORMED, name=name, error=error)

    def _log_upstreams(self, found: dict[str, routes.Upstream]) -> None:
        for name in found.keys() - self.upstreams.keys():
            upstream = found[name]
            events.log(
                events.UPSTREAM_FOUND,
                upstream=name,
                service=upstream.service,
                zone=upstream.zone,
                revision=self._upstreams.revision,
            )
        for name in self.upstreams.keys() - found.keys():
            events.log(
                events.UPSTREAM_GONE,
                upstream=name,
                revision=self._upstreams.revision,
            )
        for name, upstream in found.items():
            before = self.upstreams.get(name)
            if before is not None and (
                upstream.is_draining != before.is_draining
                or upstream.born_ms != before.born_ms
            ):
                events.log(
                    events.UPSTREAM_CHANGED,
                    upstream=name,
                    draining=upstream.is_draining,
                    born_ms=upstream.born_ms,
                    revision=self._upstreams.revision,
                )

    def _decode_zones(self) -> None:
        found = frozenset(
            name
            for name, document in self._zones.documents.items()
            if documents.zone_is_out(document)
        )
        if found != self.zones_out:
            events.log(events.PLACEMENT_ACCEPTED, zones_out=sorted(found))
        self.zones_out = found

    # between peers

    def news_query(self) -> fleet_messages.NewsQuery:
        """Returns the question for what is newer than this view."""
        return fleet_messages.NewsQuery(
            self._config.revision,
            self._upstreams.revision,
            self._zones.revision,
        )

    def news_for(self, query: fleet_messages.NewsQuery) -> fleet_messages.News:
        """Returns what a peer that asks has not read yet."""
        news = fleet_messages.News(age_s=self.store_lost_for_s())
        if self._config.revision > query.config_revision:
            news.config_revision = self._config.revision
            news.config = _dump(self._config)
        if self._upstreams.revision > query.upstreams_revision:
            news.upstreams_revision = self._upstreams.revision
            news.upstreams = _dump(self._upstreams)
        if self._zones.revision > query.zones_revision:
            news.zones_revision = self._zones.revision
            news.zones = _dump(self._zones)
        return news

    async def _ask_for_news(self) -> None:
        while True:
            await asyncio.sleep(NEWS_INTERVAL_S)
            if self.store_reachable and self.is_complete:
                continue
            news = await self._ask_peers(self.news_query())
            if news is not None:
                self._take_news(news)

    def _take_news(self, news: fleet_messages.News) -> None:
        for watched, revision, data in (
            (self._config, news.config_revision, news.config),
            (self._upstreams, news.upstreams_revision, news.upstreams),
            (self._zones, news.zones_revision, news.zones),
        ):
            if not data or revision <= watched.revision:
                continue
            try:
                found = json.loads(data)
            except ValueError as error:
                logging.getLogger(__name__).error("bad news: %s", error)
                continue
            watched.documents = found
            watched.revision = revision
            events.log(
                events.NEWS_FROM_PEER, kind=watched.kind, revision=revision
            )
            self._decode(watched)


def _dump(watched: Watched) -> bytes:
    return json.dumps(watched.documents).encode()
