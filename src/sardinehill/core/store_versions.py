"""Orders the versions of what the platform's store holds."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """A revision of the store in one of its eras.

    A store that was restored from an earlier copy gives out revisions once
    more, with other contents, in its next era.

    Attributes:
      era: how often the store was restored; 0 if it does not say so.
      revision: the store's revision.
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        return f"{self.era}:{self.revision}"


NEVER_READ = StoreVersion()
