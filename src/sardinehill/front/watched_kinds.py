"""Holds the stored documents of one kind, as a daemon last read them."""

import dataclasses
import math
from typing import Any

from sardinehill.core import store_versions

Json = Any


@dataclasses.dataclass
class WatchedKind:
    """The objects of one kind, as last read.

    Attributes:
      kind: the platform's kind.
      version: the store's version at the last read.
      changed_version: the store's version at the last change of documents.
      documents: the documents by name.
      lost_since_s: when the store stopped answering, or None.
      recovered_s: when the store last answered again after an outage.
      restored_s: when the first answer came after the store was restored.
      last_answer_s: when the store last answered.
      current_s: a time at which the documents were the store's newest.
      changed_after_s: the last change of the documents occurred in the store
        after this time; minus infinity if nothing is known.
      watch_sent_s: when the pending watch was sent, or None.
      removal_due_s: the time at which an entry that vanished after an outage is
        removed, by name.
    """

    kind: str
    version: store_versions.StoreVersion = store_versions.NEVER_READ
    changed_version: store_versions.StoreVersion = store_versions.NEVER_READ
    documents: dict[str, Json] = dataclasses.field(default_factory=dict)
    lost_since_s: float | None = None
    recovered_s: float = -1e9
    restored_s: float = -1e9
    last_answer_s: float = -1e9
    current_s: float = -math.inf
    changed_after_s: float = -math.inf
    watch_sent_s: float | None = None
    removal_due_s: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentsChange:
    """A change of the documents of one kind.

    Attributes:
      kind: the platform's kind.
      since_version: the store's version at the previous change.
      version: the store's version at this change.
      documents: the new and changed documents by name.
      removed: the names of removed documents.
    """

    kind: str
    since_version: store_versions.StoreVersion
    version: store_versions.StoreVersion
    documents: dict[str, Json]
    removed: list[str]
