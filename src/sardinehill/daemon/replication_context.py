"""Defines what the replication loops need from the object that runs them."""

from typing import Protocol

from sardinehill.adapters import platform
from sardinehill.core import peer_protocol
from sardinehill.core import replica


class ReplicationContext(Protocol):
    """Gives replication loops access to the replica and the protocol."""

    @property
    def protocol(self) -> peer_protocol.PeerProtocol:
        """The membership and replication protocol of this daemon."""

    def apply(self, item: platform.VersionedObject) -> None:
        """Applies an object from the store; an older version is ignored."""

    def offer(self, item: replica.Item) -> None:
        """Applies an item and announces it to peers if it is newer."""
