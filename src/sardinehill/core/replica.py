"""Replicates the store's objects between daemons in increasing versions.

A few watchers read the platform's store, and the other daemons receive its
objects from their peers. A daemon that accepts a newer item announces the
item's version to its neighbors on the overlay, and each neighbor that lacks it
requests the body once. Every heartbeat carries a digest of all versions, so
that a lost message is noticed at the next heartbeat.

Daemons don't all watch the store, because one watch per daemon and kind would
take 3,200 open calls in a fleet of 640, more than the store's limit for reads.
Versions are announced without bodies, because each body would otherwise be
sent once per link.
"""

from collections.abc import Iterable
import dataclasses

import xxhash

ITEM_KINDS = (
    "config",
    "placement",
    "account-keys",
    "assignment",
    "members",
    # The platform's host list. A watcher copies it into an object, which gives
    # it versions and saves 640 daemons from requesting it.
    "hosts",
)


@dataclasses.dataclass(frozen=True)
class VersionNotice:
    """The version of one item, without its body.

    Attributes:
      kind: the kind of the store's object.
      name: the name of the store's object.
      version: the store's version, which only increases.
    """

    kind: str
    name: str
    version: int


@dataclasses.dataclass(frozen=True)
class Item:
    """One version of a store object, as daemons replicate it.

    Attributes:
      kind: the kind of the store's object.
      name: the name of the store's object.
      version: the store's version, which only increases.
      body: the object's value as JSON text.
      deleted: whether the object was deleted at this version.
    """

    kind: str
    name: str
    version: int
    body: bytes = b""
    deleted: bool = False

    @property
    def version_notice(self) -> VersionNotice:
        """The item's version without its body."""
        return VersionNotice(self.kind, self.name, self.version)


class Replica:
    """The newest known item of each kind and name on one daemon.

    Attributes:
      digest: the exclusive or of a hash of each item's kind, name and version.
    """

    def __init__(self) -> None:
        self._items: dict[tuple[str, str], Item] = {}
        self._fresh_at_s = float("-inf")
        self.digest = 0

    def offer(self, item: Item) -> bool:
        """Stores an item if it is newer and returns whether it was."""
        current = self._items.get((item.kind, item.name))
        if current is not None and current.version >= item.version:
            return False
        # The exclusive or of all hashes allows the digest to be updated
        # without hashing the other items again.
        if current is not None:
            self.digest ^= _hash(current)
        self.digest ^= _hash(item)
        self._items[item.kind, item.name] = item
        return True

    def get(self, kind: str, name: str) -> Item | None:
        """Returns an item that is not deleted, or None."""
        item = self._items.get((kind, name))
        return None if item is None or item.deleted else item

    def items(self, kind: str) -> list[Item]:
        """Returns the items of a kind that are not deleted, sorted by name."""
        return sorted(
            (
                item
                for item in self._items.values()
                if item.kind == kind and not item.deleted
            ),
            key=lambda item: item.name,
        )

    def notices(self) -> list[VersionNotice]:
        """Returns the versions of all items, including the deleted ones."""
        return [item.version_notice for item in self._items.values()]

    def missing_versions(
        self, notices: Iterable[VersionNotice]
    ) -> list[VersionNotice]:
        """Returns the notices whose versions are newer than the known ones."""
        return [
            notice
            for notice in notices
            if notice.version > self._version_of(notice)
        ]

    def bodies(self, notices: Iterable[VersionNotice]) -> list[Item]:
        """Returns the known items that are at least as new as the notices."""
        return [
            self._items[notice.kind, notice.name]
            for notice in notices
            if self._version_of(notice) >= notice.version
        ]

    def changes_from_list(
        self, kind: str, items: Iterable[Item], revision: int
    ) -> list[Item]:
        """Returns the items to offer after reading a complete list of a kind.

        These are the listed items, and a deleted version of each known item
        that the list lacks and that is older than the list. Newer items are
        kept, because the answer with the list may have been delayed.

        Args:
          kind: the kind of the objects.
          items: all items in the list.
          revision: the store's revision at which the list was read.
        """
        found = {item.name: item for item in items}
        changes = list(found.values())
        for item in self.items(kind):
            if item.name not in found and item.version < revision:
                deleted_item = dataclasses.replace(
                    item, version=revision, body=b"", deleted=True
                )
                changes.append(deleted_item)
        return changes

    def confirm_fresh(self, as_of_s: float) -> None:
        """Records that all items were the store's newest at a given time."""
        self._fresh_at_s = max(self._fresh_at_s, as_of_s)

    def adopt_peer_age(
        self, digest: int, age_s: float, asked_at_s: float
    ) -> None:
        """Adopts the freshness of a peer that has exactly the same items.

        Args:
          digest: the peer's digest.
          age_s: the age that the peer reported.
          asked_at_s: when the request was sent. The age is counted from then,
            because the answer may have been delayed in transit.
        """
        if digest == self.digest:
            self.confirm_fresh(asked_at_s - age_s)

    @property
    def fresh_at_s(self) -> float:
        """When all items were last known to be the store's newest."""
        return self._fresh_at_s

    def age_s(self, now_s: float) -> float:
        """Returns for how long the store may have had newer items."""
        return now_s - self._fresh_at_s

    def _version_of(self, notice: VersionNotice) -> int:
        item = self._items.get((notice.kind, notice.name))
        return 0 if item is None else item.version


def _hash(item: Item) -> int:
    text = f"{item.kind}\0{item.name}\0{item.version}"
    return xxhash.xxh3_64_intdigest(text.encode())
