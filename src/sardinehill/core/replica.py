"""What the fleet has to know, in versions that only move forward.

A few watchers read the platform's store; the rest hear by peers. A daemon
that takes a newer item tells its links on the overlay the item's version, and
those that lack it ask for the body once. Every heartbeat carries a digest of
all versions, so that whatever was lost is found within a heartbeat.

Two other ways were weighed. A watch for each daemon and kind costs 3,200
standing calls in a fleet of 640, more than the store's reads. Telling
bodies instead of versions sends each body once for each link.
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
    # The platform's list of hosts, which a watcher copies into an object:
    # so it has versions, and 640 daemons need not ask for it.
    "hosts",
)


@dataclasses.dataclass(frozen=True)
class VersionNotice:
    """The version of one item, without its body.

    Attributes:
      kind: the kind of the store's object.
      name: the name of the store's object.
      version: the store's version, which only grows.
    """

    kind: str
    name: str
    version: int


@dataclasses.dataclass(frozen=True)
class Item:
    """One object of the store, as it spreads between daemons.

    Attributes:
      kind: the kind of the store's object.
      name: the name of the store's object.
      version: the store's version, which only grows.
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
    """The newest item of each kind and name that this daemon has heard of."""

    def __init__(self) -> None:
        self._items: dict[tuple[str, str], Item] = {}
        self._fresh_at_s = float("-inf")
        self.digest = 0

    def offer(self, item: Item) -> bool:
        """Takes an item if it is newer, and returns whether it was."""
        current = self._items.get((item.kind, item.name))
        if current is not None and current.version >= item.version:
            return False
        # The exclusive or of all hashes lets one item change the digest
        # without a pass over the others.
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
        """Returns the items of a kind that are not deleted, by name."""
        return sorted(
            (
                item
                for item in self._items.values()
                if item.kind == kind and not item.deleted
            ),
            key=lambda item: item.name,
        )

    def notices(self) -> list[VersionNotice]:
        """Returns the versions of all items, the deleted ones included."""
        return [item.version_notice for item in self._items.values()]

    def missing_versions(
        self, notices: Iterable[VersionNotice]
    ) -> list[VersionNotice]:
        """Returns those notices that are newer than what is here."""
        return [
            notice
            for notice in notices
            if notice.version > self._version_of(notice)
        ]

    def bodies(self, notices: Iterable[VersionNotice]) -> list[Item]:
        """Returns items that were asked for, at least as new as asked."""
        return [
            self._items[notice.kind, notice.name]
            for notice in notices
            if self._version_of(notice) >= notice.version
        ]

    def changes_from_list(
        self, kind: str, items: Iterable[Item], revision: int
    ) -> list[Item]:
        """Returns what a full list of a kind changes here.

        An item that the list lacks was deleted, but only when the list is
        as new as the item: a list may be answered late.
        """
        found = {item.name: item for item in items}
        changes = list(found.values())
        for item in self.items(kind):
            if item.name not in found and item.version < revision:
                gone = dataclasses.replace(
                    item, version=revision, body=b"", deleted=True
                )
                changes.append(gone)
        return changes

    def confirm_fresh(self, as_of_s: float) -> None:
        """Notes that everything here was the store's newest at a time."""
        self._fresh_at_s = max(self._fresh_at_s, as_of_s)

    def adopt_peer_age(
        self, digest: int, age_s: float, asked_at_s: float
    ) -> None:
        """Takes a peer's freshness over when it has exactly the same items.

        The age is counted from when the peer was asked and not from when its
        answer came: the answer may have been long on its way.
        """
        if digest == self.digest:
            self.confirm_fresh(asked_at_s - age_s)

    @property
    def fresh_at_s(self) -> float:
        """When everything here was last known to be the store's newest."""
        return self._fresh_at_s

    def age_s(self, now_s: float) -> float:
        """Returns for how long the store may have had something newer."""
        return now_s - self._fresh_at_s

    def _version_of(self, notice: VersionNotice) -> int:
        item = self._items.get((notice.kind, notice.name))
        return 0 if item is None else item.version


def _hash(item: Item) -> int:
    text = f"{item.kind}\0{item.name}\0{item.version}"
    return xxhash.xxh3_64_intdigest(text.encode())
