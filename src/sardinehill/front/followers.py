"""Sends leader tables and store changes to daemons that report to this one."""

from collections.abc import Callable
import dataclasses

from sardinehill.core import fleet_messages
from sardinehill.front import peer_links
from sardinehill.wire import fleet
from sardinehill.wire import message_kinds


@dataclasses.dataclass
class _Follower:
    """A daemon that reports to this one.

    Attributes:
      link: the link that it reports over.
      sent_version: the term and serial of the spans that it was sent last.
    """

    link: peer_links.PeerLink
    sent_version: tuple[int, int] = (-1, -1)


class Followers:
    """The daemons that follow this one, which leads or passes on the tables."""

    def __init__(self) -> None:
        self._by_name: dict[str, _Follower] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def __contains__(self, name: str) -> bool:
        return name in self._by_name

    def note_report(self, name: str, link: peer_links.PeerLink) -> None:
        """Records the link that a daemon reports over."""
        follower = self._by_name.get(name)
        if follower is None or follower.link is not link:
            self._by_name[name] = _Follower(link)

    def remove_link(self, link: peer_links.PeerLink) -> None:
        """Removes the daemon that reported over a closed link."""
        for name, follower in list(self._by_name.items()):
            if follower.link is link:
                del self._by_name[name]

    def broadcast_change(self, change: fleet_messages.StoreChange) -> None:
        """Sends a change in the store to all followers."""
        payload = fleet.encode_store_change(change)
        for follower in self._by_name.values():
            follower.link.send(message_kinds.MessageKind.STORE_CHANGE, payload)

    def broadcast_tables(
        self, table_for: Callable[[str], fleet_messages.LeaderTable]
    ) -> None:
        """Sends each follower its table.

        If consecutive followers get equal tables, the table is encoded once.
        """
        encoded: dict[bool, tuple[fleet_messages.LeaderTable, bytes]] = {}
        for name in list(self._by_name):
            table = self._without_known_spans(name, table_for(name))
            has_spans = table.spans is not None
            previous, payload = encoded.get(has_spans, (None, b""))
            if table != previous:
                payload = fleet.encode_table(table)
                encoded[has_spans] = (table, payload)
            self._by_name[name].link.send(
                message_kinds.MessageKind.LEADER_TABLE, payload
            )

    def send_table(self, name: str, table: fleet_messages.LeaderTable) -> None:
        """Sends one follower its table."""
        table = self._without_known_spans(name, table)
        self._by_name[name].link.send(
            message_kinds.MessageKind.LEADER_TABLE, fleet.encode_table(table)
        )

    def _without_known_spans(
        self, name: str, table: fleet_messages.LeaderTable
    ) -> fleet_messages.LeaderTable:
        """Removes the spans from a table if the follower has been sent them."""
        follower = self._by_name[name]
        version = (table.term, table.serial)
        if follower.sent_version == version or not table.spans:
            table.spans = None
        else:
            follower.sent_version = version
        return table
