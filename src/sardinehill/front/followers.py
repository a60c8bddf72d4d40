"""Sends leader tables and store changes to daemons that report to this one."""

from collections.abc import Callable
import dataclasses
import itertools

from sardinehill.core import fleet_messages
from sardinehill.core import owner_spans
from sardinehill.front import peer_links
from sardinehill.wire import fleet
from sardinehill.wire import message_kinds

_Spans = dict[str, list[fleet_messages.OwnerSpan]]
_NO_VERSION = (-1, -1)


@dataclasses.dataclass
class _Follower:
    """A daemon that reports to this one.

    Attributes:
      link: the link that it reports over.
      protocol_version: its `fleet_messages.PROTOCOL_VERSION`.
      sent_version: the term and serial of the spans that it was sent last.
      sent_spans: these spans.
    """

    link: peer_links.PeerLink
    protocol_version: int = 0
    sent_version: tuple[int, int] = _NO_VERSION
    sent_spans: _Spans | None = None


# The changes from the spans of one serial to those that are sent now.
_ChangesByBase = dict[int, fleet_messages.SpanChanges]


class Followers:
    """The daemons that follow this one, which leads or passes on the tables."""

    def __init__(self) -> None:
        self._by_name: dict[str, _Follower] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def __contains__(self, name: str) -> bool:
        return name in self._by_name

    def first(self, count: int) -> frozenset[str]:
        """Returns the names of the followers of longest standing."""
        return frozenset(itertools.islice(self._by_name, count))

    def note_report(
        self, report: fleet_messages.DaemonReport, link: peer_links.PeerLink
    ) -> bool:
        """Records the link that a daemon reports over.

        Returns:
          Whether the daemon needs a table at once, because it has just begun to
          report or has missed one.
        """
        follower = self._by_name.get(report.daemon)
        is_new = follower is None or follower.link is not link
        if follower is None or is_new:
            follower = _Follower(link)
            self._by_name[report.daemon] = follower
        follower.protocol_version = report.protocol_version
        if report.needs_spans:
            follower.sent_version = _NO_VERSION
        return is_new or report.needs_spans

    def remove_link(self, link: peer_links.PeerLink) -> list[str]:
        """Removes the daemons that reported over a closed link.

        Returns:
          Their names.
        """
        removed = [
            name
            for name, follower in self._by_name.items()
            if follower.link is link
        ]
        for name in removed:
            del self._by_name[name]
        return removed

    def broadcast_change(self, change: fleet_messages.StoreChange) -> None:
        """Sends a change in the store to all followers."""
        payloads: dict[int, bytes] = {}
        for follower in self._by_name.values():
            version = follower.protocol_version
            if version not in payloads:
                payloads[version] = fleet.encode_store_change(change, version)
            follower.link.send(
                message_kinds.MessageKind.STORE_CHANGE, payloads[version]
            )

    def broadcast_tables(
        self, table_for: Callable[[str], fleet_messages.LeaderTable]
    ) -> None:
        """Sends each follower its table.

        If consecutive followers get equal tables, the table is encoded once.
        """
        changes: _ChangesByBase = {}
        encoded: dict[
            tuple[bool, int | None], tuple[fleet_messages.LeaderTable, bytes]
        ] = {}
        for name in list(self._by_name):
            table = self._without_known_spans(name, table_for(name), changes)
            base_serial = (
                table.span_changes.base_serial if table.span_changes else None
            )
            cache_key = (table.spans is not None, base_serial)
            previous, payload = encoded.get(cache_key, (None, b""))
            if table != previous:
                payload = fleet.encode_table(table)
                encoded[cache_key] = (table, payload)
            self._by_name[name].link.send(
                message_kinds.MessageKind.LEADER_TABLE, payload
            )

    def send_table(self, name: str, table: fleet_messages.LeaderTable) -> None:
        """Sends one follower its table."""
        table = self._without_known_spans(name, table, {})
        self._by_name[name].link.send(
            message_kinds.MessageKind.LEADER_TABLE, fleet.encode_table(table)
        )

    def _without_known_spans(
        self,
        name: str,
        table: fleet_messages.LeaderTable,
        changes_by_base: _ChangesByBase,
    ) -> fleet_messages.LeaderTable:
        """Removes what the follower has been sent from the spans of a table."""
        follower = self._by_name[name]
        version = (table.term, table.serial)
        if follower.sent_version == version or not table.spans:
            table.spans = None
            return table
        base_term, base_serial = follower.sent_version
        before, after = follower.sent_spans, table.spans
        follower.sent_version, follower.sent_spans = version, after
        if (
            before is not None
            and follower.protocol_version >= 1
            and base_term == table.term
        ):
            if base_serial not in changes_by_base:
                changes_by_base[base_serial] = owner_spans.changes_between(
                    before, after, base_serial
                )
            table.spans = None
            table.span_changes = changes_by_base[base_serial]
        return table
