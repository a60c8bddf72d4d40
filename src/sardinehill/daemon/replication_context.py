"""What the loops of membership and news ask of the part that owns them."""

from typing import Protocol

from sardinehill.adapters import platform
from sardinehill.core import peer_protocol
from sardinehill.core import replica


class ReplicationContext(Protocol):
    """One daemon's part in membership and news."""

    @property
    def protocol(self) -> peer_protocol.PeerProtocol:
        """This daemon among the others."""

    def apply(self, item: platform.VersionedObject) -> None:
        """Takes one object of the store; an older version is ignored."""

    def offer(self, item: replica.Item) -> None:
        """Takes one item and tells the links when it is newer."""
