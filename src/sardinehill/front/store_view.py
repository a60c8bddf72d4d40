"""Holds a daemon's view of the stored configuration, upstreams and zones.

Documents come from the store (`store_watch`) or from peers
(`store_replication`). They are ordered by the store's era and revision, so that
older documents never replace newer ones.
"""

from collections.abc import Callable
import math
from typing import Any

from sardinehill import events
from sardinehill.core import routes
from sardinehill.core import store_versions
from sardinehill.front import listed_upstreams
from sardinehill.front import watched_kinds
from sardinehill.platform import documents as documents_module
from sardinehill.platform import names
from sardinehill.platform import store as store_module

# Entries of upstreams that lapsed during an outage of the store return within
# two seconds, so vanished entries are kept for this long after an outage. So
# are entries that a restored store has lost, until they are written again.
LAPSED_ENTRY_GRACE_S = 2.1
# A shorter outage is taken as a lost connection, in which no entries lapse.
MIN_OUTAGE_S = 1.0
# The store counts as reached for this long after an answer.
STORE_ANSWER_FRESH_S = 1.5

# The store answers a watch at once if there are changes. A watch that has been
# pending for longer than this had none when it was sent.
WATCH_ANSWER_S = 0.3

Json = Any


class StoreView:
    """Holds and decodes the three watched kinds.

    Public attributes:
      kinds: the three kinds as last read.
      configuration: the configuration in force, or None until one is read.
      upstreams: the upstreams by id, including those that drain.
      zones_out: the availability zones whose upstreams get no requests.
    """

    def __init__(
        self,
        clock_s: Callable[[], float],
        failing_since_s: Callable[[], float | None],
    ):
        """Creates an empty view.

        Args:
          clock_s: the event loop's clock.
          failing_since_s: returns when calls to the store began to fail, or
            None.
        """
        self._clock_s = clock_s
        self._failing_since_s = failing_since_s
        self._config = watched_kinds.WatchedKind(names.CONFIG_KIND)
        self._upstreams = watched_kinds.WatchedKind(names.UPSTREAMS_KIND)
        self._zones = watched_kinds.WatchedKind(names.EVACUATIONS_KIND)
        self.kinds = (self._config, self._upstreams, self._zones)
        self._subscribers: list[Callable[[], None]] = []
        self._change_subscribers: list[
            Callable[[watched_kinds.DocumentsChange], None]
        ] = []
        self._listed_upstreams = listed_upstreams.ListedUpstreams(clock_s)
        self._store_was_reachable = True
        self._lost_since_s = 0.0
        self.configuration: routes.Configuration | None = None
        self.upstreams: dict[str, routes.Upstream] = {}
        self.zones_out: frozenset[str] = frozenset()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback that is called after each decoded change."""
        self._subscribers.append(callback)

    def subscribe_to_changes(
        self, callback: Callable[[watched_kinds.DocumentsChange], None]
    ) -> None:
        """Registers a callback that receives each change of documents."""
        self._change_subscribers.append(callback)

    @property
    def is_complete(self) -> bool:
        """Whether all three kinds have been read once."""
        return self.configuration is not None and all(
            watched.version != store_versions.NEVER_READ
            for watched in self.kinds
        )

    @property
    def era(self) -> int:
        """The earliest of the store's eras that any kind was read in."""
        return min(watched.version.era for watched in self.kinds)

    @property
    def store_reachable(self) -> bool:
        """Whether the store answers the watches of all kinds."""
        return all(watched.lost_since_s is None for watched in self.kinds)

    def store_answered_recently(self) -> bool:
        """Returns whether the store answered within `STORE_ANSWER_FRESH_S`."""
        newest_s = max(watched.last_answer_s for watched in self.kinds)
        return (
            self.store_reachable
            and self._clock_s() - newest_s < STORE_ANSWER_FRESH_S
        )

    @property
    def upstreams_changed_after_s(self) -> float:
        """The last change of the upstreams occurred in the store after this."""
        return self._upstreams.changed_after_s

    @property
    def zones_changed_after_s(self) -> float:
        """The last change of the zones out occurred in the store after this."""
        return self._zones.changed_after_s

    @property
    def configuration_version(self) -> int:
        """The version of the configuration in force; 0 without one."""
        return self.configuration.version if self.configuration else 0

    def documents_age_s(self) -> float:
        """Returns for how long the documents may have been outdated."""
        oldest_s = min(watched.current_s for watched in self.kinds)
        return self._clock_s() - oldest_s

    def store_lost_for_s(self) -> float:
        """Returns the time since a watch or call first failed, or 0."""
        outage_starts_s = [
            watched.lost_since_s
            for watched in self.kinds
            if watched.lost_since_s is not None
        ]
        failing_since_s = self._failing_since_s()
        if failing_since_s is not None:
            outage_starts_s.append(failing_since_s)
        return (
            self._clock_s() - min(outage_starts_s) if outage_starts_s else 0.0
        )

    # updates from the store

    def note_lost(
        self, watched: watched_kinds.WatchedKind, error: Exception
    ) -> None:
        """Records that the store did not answer a watch."""
        if watched.lost_since_s is None:
            watched.lost_since_s = self._clock_s()
        if self._store_was_reachable:
            self._store_was_reachable = False
            self._lost_since_s = self._clock_s()
            events.log(
                events.STORE_LOST, kind=watched.kind, error=str(error)[:200]
            )

    def note_answered(self, watched: watched_kinds.WatchedKind) -> None:
        """Records that the store answered a watch."""
        watched.last_answer_s = self._clock_s()
        if watched.lost_since_s is not None:
            now_s = self._clock_s()
            if now_s - watched.lost_since_s > MIN_OUTAGE_S:
                watched.recovered_s = now_s
            watched.lost_since_s = None
        if not self._store_was_reachable and self.store_reachable:
            self._note_store_back(through="store")

    def note_current(
        self, watched: watched_kinds.WatchedKind, at_s: float
    ) -> None:
        """Records that the documents were the store's newest at `at_s`."""
        watched.current_s = max(watched.current_s, at_s)

    def note_watch_pending(
        self, watched: watched_kinds.WatchedKind, at_s: float
    ) -> None:
        """Records that the store answered others, but not the watch, at `at_s`.

        The documents were current then, unless the watch had just been sent.
        """
        sent_s = watched.watch_sent_s
        if sent_s is not None and at_s - sent_s > WATCH_ANSWER_S:
            self.note_current(watched, at_s)

    def note_unwatched(self) -> None:
        """Ends all outages, as a peer sends changes from now on."""
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
        watched: watched_kinds.WatchedKind,
        objects: list[store_module.StoredObject],
        version: store_versions.StoreVersion,
        asked_s: float,
    ) -> None:
        """Applies a list of all objects of a kind.

        Args:
          watched: the kind.
          objects: all its objects.
          version: the store's version of the list.
          asked_s: when the list was requested.
        """
        self.note_answered(watched)
        if version < watched.version:
            # Lists are linearizable, so an older one was delayed in transit.
            events.log(
                events.NEWS_OUTDATED,
                kind=watched.kind,
                source="list",
                version=str(version),
                known_version=str(watched.version),
            )
            return
        was_read = watched.version != store_versions.NEVER_READ
        if was_read and version.era > watched.version.era:
            watched.restored_s = self._clock_s()
        listed = {item.name: item.document for item in objects}
        for name in listed:
            watched.removal_due_s.pop(name, None)
        for name in watched.documents.keys() - listed.keys():
            self._keep_if_lapsed(watched, name, listed)
        self.replace_documents(watched, listed, version)
        self.note_current(watched, asked_s)

    def _keep_if_lapsed(
        self,
        watched: watched_kinds.WatchedKind,
        name: str,
        kept_documents: dict[str, Json],
    ) -> None:
        """Keeps a vanished entry that an outage or a restore may have removed.

        Adds its document to `kept_documents` until the grace is over.
        """
        # Only entries of upstreams lapse in an outage.
        back_since_s = watched.restored_s
        if watched is self._upstreams:
            back_since_s = max(back_since_s, watched.recovered_s)
        if self._clock_s() - back_since_s < LAPSED_ENTRY_GRACE_S:
            kept_documents[name] = watched.documents[name]
            watched.removal_due_s.setdefault(
                name, back_since_s + LAPSED_ENTRY_GRACE_S
            )

    def apply_changes(
        self,
        watched: watched_kinds.WatchedKind,
        changes: list[store_module.ObjectChange],
        version: store_versions.StoreVersion,
    ) -> None:
        """Applies the changes that a watch returned."""
        self.note_answered(watched)
        watched.watch_sent_s = None
        if version <= watched.version and not changes:
            self.note_current(watched, self._clock_s())
            return
        updated = dict(watched.documents)
        for change in changes:
            name = change.object.name
            if change.deleted:
                if name in updated:
                    kept: dict[str, Json] = {}
                    self._keep_if_lapsed(watched, name, kept)
                    if name not in kept:
                        del updated[name]
            else:
                updated[name] = change.object.document
                watched.removal_due_s.pop(name, None)
        self.replace_documents(watched, updated, max(watched.version, version))
        self.note_current(watched, self._clock_s())

    def remove_expired(self) -> None:
        """Removes vanished entries whose grace is over."""
        for watched in self.kinds:
            self._remove_expired_of(watched)

    def _remove_expired_of(self, watched: watched_kinds.WatchedKind) -> None:
        now_s = self._clock_s()
        expired = [
            item for item in watched.removal_due_s.items() if item[1] <= now_s
        ]
        if not expired:
            return
        remaining = dict(watched.documents)
        for name, _ in expired:
            del watched.removal_due_s[name]
            remaining.pop(name, None)
        self.replace_documents(watched, remaining, watched.version)

    def replace_documents(
        self,
        watched: watched_kinds.WatchedKind,
        documents: dict[str, Json],
        version: store_versions.StoreVersion,
    ) -> None:
        """Replaces a kind's documents and notifies subscribers of changes.

        Args:
          watched: the kind.
          documents: all its documents by name.
          version: the store's version of these documents.
        """
        before = watched.documents
        if watched is self._config:
            documents = _with_newest_configuration(before, documents)
        elif watched is self._upstreams:
            documents = self._listed_upstreams.without_outdated(
                documents, version.revision
            )
        # Peers compare eras, so they are told of the first read in each.
        is_first_in_era = (
            watched.version == store_versions.NEVER_READ
            or version.era > watched.version.era
        )
        watched.documents = documents
        watched.version = version
        changed = {
            name: document
            for name, document in documents.items()
            if before.get(name) != document
        }
        removed = [name for name in before if name not in documents]
        if not (changed or removed or is_first_in_era):
            return
        since_version = watched.changed_version
        watched.changed_version = version
        watched.changed_after_s = watched.current_s
        self._decode(watched)
        change = watched_kinds.DocumentsChange(
            watched.kind, since_version, version, changed, removed
        )
        for callback in self._change_subscribers:
            callback(change)

    def _decode(self, watched: watched_kinds.WatchedKind) -> None:
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
            configuration = documents_module.decode_configuration(document)
        except documents_module.MalformedDocumentError as error:
            events.log(events.CONFIGURATION_REFUSED, error=str(error))
            return
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        events.log(
            events.CONFIGURATION_ACCEPTED,
            version=configuration.version,
            revision=self._config.version.revision,
        )

    def _decode_upstreams(self) -> None:
        self._listed_upstreams.update(
            self._upstreams.documents,
            self._upstreams.version,
            self._change_age_s(),
        )
        self.upstreams = self._listed_upstreams.by_id

    def _change_age_s(self) -> float | None:
        """Returns how long ago the last change may have occurred, for logs."""
        after_s = self.upstreams_changed_after_s
        if math.isinf(after_s):
            return None
        return round(self._clock_s() - after_s, 3)

    def _decode_zones(self) -> None:
        zones_out = frozenset(
            name
            for name, document in self._zones.documents.items()
            if documents_module.is_evacuation_active(document)
        )
        if zones_out != self.zones_out:
            events.log(events.PLACEMENT_ACCEPTED, zones_out=sorted(zones_out))
        self.zones_out = zones_out


def _with_newest_configuration(
    known: dict[str, Json], found: dict[str, Json]
) -> dict[str, Json]:
    """Returns documents with the known configuration if that is newer.

    A restored store has an earlier one until operators write theirs again.
    Peers and daemons that start must not get it from here.
    """
    known_document = known.get(names.CONFIG_NAME)
    if known_document is None:
        return found
    document = found.get(names.CONFIG_NAME)
    try:
        if document is not None and documents_module.configuration_version(
            document
        ) >= documents_module.configuration_version(known_document):
            return found
    except documents_module.MalformedDocumentError:
        return found
    return {**found, names.CONFIG_NAME: known_document}
