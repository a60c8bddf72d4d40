"""Bounds the memory that a process spends on messages of all its peers.

A bound on one message does not bound the process, as many messages may arrive
at once. Each message holds a share. A small one never waits for others and is
never refused; what it needs beyond that is taken from what all large messages
have together.
"""

# What each message may hold beside the budget.
FREE_BYTES_PER_MESSAGE = 64 * 1024


class ByteBudget:
    """The bytes that large messages may hold together.

    Public attributes:
      capacity_bytes: how many bytes they may hold.
      held_bytes: how many bytes they hold.
    """

    def __init__(self, capacity_bytes: int):
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0


class ByteShare:
    """What one message holds of a budget."""

    def __init__(self, budget: ByteBudget):
        self._budget = budget
        self._held_bytes = 0

    def try_hold(self, size_bytes: int) -> bool:
        """Changes what the message holds, if the budget allows it.

        Args:
          size_bytes: the whole size of the message so far.

        Returns:
          Whether the message may have this size. If not, it holds what it held.
        """
        needed_bytes = max(size_bytes - FREE_BYTES_PER_MESSAGE, 0)
        added_bytes = needed_bytes - self._held_bytes
        budget = self._budget
        if 0 < added_bytes > budget.capacity_bytes - budget.held_bytes:
            return False
        self._hold(needed_bytes)
        return True

    def hold(self, size_bytes: int) -> None:
        """Changes what the message holds, also beyond the budget.

        New messages are refused then until others have been released.

        Args:
          size_bytes: the whole size of the message.
        """
        self._hold(max(size_bytes - FREE_BYTES_PER_MESSAGE, 0))

    def release(self) -> None:
        """Gives back what the message holds."""
        self._hold(0)

    def _hold(self, needed_bytes: int) -> None:
        self._budget.held_bytes += needed_bytes - self._held_bytes
        self._held_bytes = needed_bytes
