"""What the loops of membership and news ask of the part that owns them."""

from typing import Protocol

from sardinehill.adapters import platform
from sardinehill.core import member
from sardinehill.core import news


class NewsPart(Protocol):
    """One daemon's part in membership and news."""

    @property
    def member(self) -> member.Member:
        """This daemon among the others."""

    def apply(self, item: platform.StoredObject) -> None:
        """Takes one object of the store; an older version is ignored."""

    def offer(self, item: news.Item) -> None:
        """Takes one item and tells the links when it is newer."""
