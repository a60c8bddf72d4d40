"""Bounds the memory that a process spends on messages of all its peers.

A bound on one message does not bound the process, as many messages may arrive
at once. Each message holds a share. What it needs beyond the free bytes is
taken from what all large messages have together. Small ones have as much for
themselves, so that large ones never make them wait; what they hold beyond that
is taken from the large ones' part, too.
"""

# What each message may hold beside the large ones' part.
FREE_BYTES_PER_MESSAGE = 64 * 1024


class ByteBudget:
    """The bytes that messages may hold together.

    Public attributes:
      capacity_bytes: how many bytes large messages may hold; small ones have
        as many for themselves.
      held_bytes: how many bytes large messages hold.
      small_bytes: how many bytes messages hold beside that.
    """

    def __init__(self, capacity_bytes: int):
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        self.small_bytes = 0

    def has_room(self, added_large_bytes: int, added_small_bytes: int) -> bool:
        """Returns whether messages may hold as much more."""
        small_bytes = self.small_bytes + added_small_bytes
        beyond_bytes = max(small_bytes - self.capacity_bytes, 0)
        large_bytes = self.held_bytes + added_large_bytes
        takes_from_large = added_large_bytes > 0 or (
            added_small_bytes > 0 and beyond_bytes > 0
        )
        return (
            not takes_from_large
            or large_bytes + beyond_bytes <= self.capacity_bytes
        )


class ByteShare:
    """What one message holds of a budget."""

    def __init__(self, budget: ByteBudget):
        self._budget = budget
        self._large_bytes = 0
        self._small_bytes = 0

    def try_hold(self, size_bytes: int) -> bool:
        """Changes what the message holds, if the budget allows it.

        Args:
          size_bytes: the whole size of the message so far.

        Returns:
          Whether the message may have this size. If not, it holds what it held.
        """
        small_bytes = min(size_bytes, FREE_BYTES_PER_MESSAGE)
        large_bytes = size_bytes - small_bytes
        if not self._budget.has_room(
            large_bytes - self._large_bytes, small_bytes - self._small_bytes
        ):
            return False
        self._hold(large_bytes, small_bytes)
        return True

    def hold(self, size_bytes: int) -> None:
        """Changes what the message holds, also beyond the budget.

        New messages are refused then until others have been released.

        Args:
          size_bytes: the whole size of the message.
        """
        small_bytes = min(size_bytes, FREE_BYTES_PER_MESSAGE)
        self._hold(size_bytes - small_bytes, small_bytes)

    def release(self) -> None:
        """Gives back what the message holds."""
        self._hold(0, 0)

    def _hold(self, large_bytes: int, small_bytes: int) -> None:
        self._budget.held_bytes += large_bytes - self._large_bytes
        self._budget.small_bytes += small_bytes - self._small_bytes
        self._large_bytes = large_bytes
        self._small_bytes = small_bytes
