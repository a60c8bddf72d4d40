"""What an upstream stand-in remembers of the grants it was given."""

import dataclasses
import time


def boot_time_s() -> float:
    """Returns a clock that also runs while the process is frozen."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True)
class ReceivedGrant:
    """One grant as it was received.

    Attributes:
      fencing_token: its term and sequence; a higher rank replaces a lower one.
      shards: first and last shard of each range.
      hot_keys: keys granted apart from their shard.
      except_keys: keys of granted shards that are not granted.
      expires_s: the boot time at which it ends.
    """

    fencing_token: tuple[int, int]
    shards: tuple[tuple[int, int], ...]
    hot_keys: frozenset[str]
    expires_s: float
    except_keys: frozenset[str] = frozenset()

    def covers(self, shard: int, key: str) -> bool:
        """Returns whether a key is granted, as long as the grant lasts."""
        if key in self.hot_keys:
            return True
        if key in self.except_keys:
            return False
        return any(first <= shard <= last for first, last in self.shards)


class GrantState:
    """The grant that is held now and the rank below which all are refused."""

    def __init__(self) -> None:
        self.grant: ReceivedGrant | None = None
        self.highest_token = (0, 0)
        self.released_token = (0, 0)

    def accept(self, grant: ReceivedGrant) -> bool:
        """Takes a grant unless it is older than what was seen.

        A grant of the very rank that was released is refused as well: it can
        only be a copy that was overtaken by the release.
        """
        if (
            grant.fencing_token < self.highest_token
            or grant.fencing_token <= self.released_token
        ):
            return False
        if grant.expires_s <= boot_time_s():
            return False
        self.highest_token = grant.fencing_token
        self.grant = grant
        return True

    def release(self, fencing_token: tuple[int, int]) -> bool:
        """Gives the grant back; False when a newer one is held."""
        if fencing_token < self.highest_token:
            return False
        self.highest_token = fencing_token
        self.released_token = fencing_token
        self.grant = None
        return True

    def covers(self, shard: int, key: str) -> bool:
        """Returns whether a grant that has not lapsed covers a key."""
        grant = self.grant
        if grant is None or grant.expires_s <= boot_time_s():
            return False
        return grant.covers(shard, key)
