"""What a daemon believes of configuration, upstreams and zones.

The documents come from the store (`store_watch`) or from peers (`spreading`);
the store's revision tells what is newer, so nothing ever goes back.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from sardinehill import events
from sardinehill.core import routes
from sardinehill.platform import documents
from sardinehill.platform import names
from sardinehill.platform import store as store_module

# Entries that lapsed while the store was away return within two seconds.
LAPSED_ENTRY_GRACE_S = 2.1
# An outage shorter than this is a lost connection, not lapsed entries.
MIN_OUTAGE_S = 1.0
# An answer proves for so long that the store is reached.
STORE_ANSWER_FRESH_S = 1.5

Json = Any


@dataclasses.dataclass
class WatchedKind:
    """One kind of object, as last read.

    Attributes:
      kind: the platform's kind.
      revision: of the store when it was read.
      changed_revision: of the store when the documents last changed.
      documents: the objects by name.
      lost_since_s: when the store stopped answering, or None.
      recovered_s: when it answered again after an outage.
      last_answer_s: when it last answered.
      removal_due_s: names that vanished after an outage, with the time at which
        they are taken as gone.
    """

    kind: str
    revision: int = 0
    changed_revision: int = 0
    documents: dict[str, Json] = dataclasses.field(default_factory=dict)
    lost_since_s: float | None = None
    recovered_s: float = -1e9
    last_answer_s: float = -1e9
    removal_due_s: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentsChange:
    """What changed in the documents of one kind.

    Attributes:
      kind: the platform's kind.
      since_revision: of the store when they changed before.
      revision: of the store when it was read.
      documents: those that are new or changed, by name.
      removed: names of those that are no more.
    """

    kind: str
    since_revision: int
    revision: int
    documents: dict[str, Json]
    removed: list[str]


class StoreView:
    """The three kinds, decoded.

    Public attributes:
      kinds: the three kinds as last read.
      configuration: in force, or None until one is known.
      upstreams: by id, also those that drain.
      zones_out: availability zones whose upstreams get nothing.
    """

    def __init__(
        self,
        clock_s: Callable[[], float],
        failing_since_s: Callable[[], float | None],
    ):
        """Makes a view that knows nothing yet.

        Args:
          clock_s: the loop's clock.
          failing_since_s: since when the store's calls have had no answer.
        """
        self._clock_s = clock_s
        self._failing_since_s = failing_since_s
        self._config = WatchedKind(names.CONFIG_KIND)
        self._upstreams = WatchedKind(names.UPSTREAMS_KIND)
        self._zones = WatchedKind(names.EVACUATIONS_KIND)
        self.kinds = (self._config, self._upstreams, self._zones)
        self._subscribers: list[Callable[[], None]] = []
        self._change_subscribers: list[Callable[[DocumentsChange], None]] = []
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

    def subscribe_to_changes(
        self, callback: Callable[[DocumentsChange], None]
    ) -> None:
        """Has `callback` called with each change of the documents."""
        self._change_subscribers.append(callback)

    @property
    def is_complete(self) -> bool:
        """Whether all three kinds have been read once."""
        return self.configuration is not None and all(
            watched.revision > 0 for watched in self.kinds
        )

    @property
    def store_reachable(self) -> bool:
        """Whether no watch is without an answer from the store."""
        return all(watched.lost_since_s is None for watched in self.kinds)

    def store_answered_recently(self) -> bool:
        """Returns whether the store answered this daemon a short time ago."""
        newest_s = max(watched.last_answer_s for watched in self.kinds)
        return (
            self.store_reachable
            and self._clock_s() - newest_s < STORE_ANSWER_FRESH_S
        )

    def store_lost_for_s(self) -> float:
        """Returns for how long some watch or call has had no answer."""
        since = [
            watched.lost_since_s
            for watched in self.kinds
            if watched.lost_since_s is not None
        ]
        failing_since_s = self._failing_since_s()
        if failing_since_s is not None:
            since.append(failing_since_s)
        return self._clock_s() - min(since) if since else 0.0

    # what the store says

    def note_lost(self, watched: WatchedKind, error: Exception) -> None:
        """Notes that the store did not answer a watch."""
        if watched.lost_since_s is None:
            watched.lost_since_s = self._clock_s()
        if self._store_was_reachable:
            self._store_was_reachable = False
            self._lost_since_s = self._clock_s()
            events.log(
                events.STORE_LOST, kind=watched.kind, error=str(error)[:200]
            )

    def note_answered(self, watched: WatchedKind) -> None:
        """Notes that the store answered a watch."""
        watched.last_answer_s = self._clock_s()
        if watched.lost_since_s is not None:
            now_s = self._clock_s()
            if now_s - watched.lost_since_s > MIN_OUTAGE_S:
                watched.recovered_s = now_s
            watched.lost_since_s = None
        if not self._store_was_reachable and self.store_reachable:
            self._note_store_back(through="store")

    def note_unwatched(self) -> None:
        """Notes that a peer tells what changes, so the store is not missed."""
        for watched in self.kinds:
            watched.lost_since_s = None
        if not self._store_was_reachable:
            self._note_store_back(through="leader")

    def _note_store_back(self, through: str) -> None:
        self._store_was_reachable = True
        events.log(
            events.STORE_BACK,
            through=through,
            away_s=round(self._clock_s() - self._lost_since_s, 3),
        )

    def apply_list(
        self,
        watched: WatchedKind,
        objects: list[store_module.StoredObject],
        revision: int,
    ) -> None:
        """Takes in all objects of a kind."""
        self.note_answered(watched)
        if revision < watched.revision:
            # Answers are linearizable; an older one was delayed on its way.
            return
        found = {item.name: item.document for item in objects}
        for name in watched.documents.keys() - found.keys():
            self._keep_if_lapsed(watched, name, found)
        for name in found:
            watched.removal_due_s.pop(name, None)
        self.replace_documents(watched, found, revision)

    def _keep_if_lapsed(
        self, watched: WatchedKind, name: str, documents_left: dict[str, Json]
    ) -> None:
        """Keeps an upstream that may only have lapsed in an outage."""
        since_back_s = self._clock_s() - watched.recovered_s
        if watched is self._upstreams and since_back_s < LAPSED_ENTRY_GRACE_S:
            documents_left[name] = watched.documents[name]
            watched.removal_due_s.setdefault(
                name, watched.recovered_s + LAPSED_ENTRY_GRACE_S
            )

    def apply_changes(
        self,
        watched: WatchedKind,
        changes: list[store_module.ObjectChange],
        revision: int,
    ) -> None:
        """Takes in what a watch has told."""
        self.note_answered(watched)
        if revision <= watched.revision and not changes:
            return
        found = dict(watched.documents)
        for change in changes:
            name = change.object.name
            if change.deleted:
                if name in found:
                    left: dict[str, Json] = {}
                    self._keep_if_lapsed(watched, name, left)
                    if name not in left:
                        del found[name]
            else:
                found[name] = change.object.document
                watched.removal_due_s.pop(name, None)
        self.replace_documents(watched, found, max(watched.revision, revision))

    def remove_expired(self) -> None:
        """Takes entries as gone that did not return in time."""
        watched = self._upstreams
        now_s = self._clock_s()
        gone = [at for at in watched.removal_due_s.items() if at[1] <= now_s]
        if not gone:
            return
        left = dict(watched.documents)
        for name, _ in gone:
            del watched.removal_due_s[name]
            left.pop(name, None)
        self.replace_documents(watched, left, watched.revision)

    def replace_documents(
        self, watched: WatchedKind, documents: dict[str, Json], revision: int
    ) -> None:
        """Takes in the documents of a kind, as of a revision of the store."""
        before = watched.documents
        is_first = watched.revision == 0
        watched.documents = documents
        watched.revision = revision
        new = {
            name: document
            for name, document in documents.items()
            if before.get(name) != document
        }
        gone = [name for name in before if name not in documents]
        if not (new or gone or is_first):
            return
        since = watched.changed_revision
        watched.changed_revision = revision
        self._decode(watched)
        change = DocumentsChange(watched.kind, since, revision, new, gone)
        for callback in self._change_subscribers:
            callback(change)

    def _decode(self, watched: WatchedKind) -> None:
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
            found = documents.decode_configuration(document)
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
                    upstream = documents.decode_upstream(name, document)
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
                or upstream.started_at_ms != before.started_at_ms
            ):
                events.log(
                    events.UPSTREAM_CHANGED,
                    upstream=name,
                    draining=upstream.is_draining,
                    born_ms=upstream.started_at_ms,
                    revision=self._upstreams.revision,
                )

    def _decode_zones(self) -> None:
        found = frozenset(
            name
            for name, document in self._zones.documents.items()
            if documents.is_evacuation_active(document)
        )
        if found != self.zones_out:
            events.log(events.PLACEMENT_ACCEPTED, zones_out=sorted(found))
        self.zones_out = found
