"""Tracks the grants of an upstream stand-in and checks keys against them."""

import dataclasses
import time


def boot_time_s() -> float:
    """Returns seconds since boot; it also advances in a frozen process."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True)
class ReceivedGrant:
    """Holds one grant as it was received.

    Attributes:
      fencing_token: its term and sequence; a grant with a higher token
        replaces one with a lower token.
      shards: first and last shard of each range.
      hot_keys: keys granted separately from their shard.
      except_keys: keys of granted shards that are not granted.
      expires_s: its end, as a value of `boot_time_s`.
    """

    fencing_token: tuple[int, int]
    shards: tuple[tuple[int, int], ...]
    hot_keys: frozenset[str]
    expires_s: float
    except_keys: frozenset[str] = frozenset()

    def covers(self, shard: int, key: str) -> bool:
        """Returns whether the grant includes a key, expired or not."""
        if key in self.hot_keys:
            return True
        if key in self.except_keys:
            return False
        return any(first <= shard <= last for first, last in self.shards)


class GrantState:
    """Holds the current grant and refuses tokens below the highest seen."""

    def __init__(self) -> None:
        self.grant: ReceivedGrant | None = None
        self.highest_token = (0, 0)
        self.released_token = (0, 0)

    def accept(self, grant: ReceivedGrant) -> bool:
        """Accepts a grant unless it has expired or a newer one was seen.

        A grant with the released token itself is refused as well, since it can
        only be a copy that the release overtook.
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
        """Releases the grant; returns False if a newer one was seen."""
        if fencing_token < self.highest_token:
            return False
        self.highest_token = fencing_token
        self.released_token = fencing_token
        self.grant = None
        return True

    def covers(self, shard: int, key: str) -> bool:
        """Returns whether an unexpired grant covers a key."""
        grant = self.grant
        if grant is None or grant.expires_s <= boot_time_s():
            return False
        return grant.covers(shard, key)
