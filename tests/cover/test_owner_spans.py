"""Tests of sending only the changes of owned spans to followers."""

from hypothesis import given
from hypothesis import strategies
import pytest

from sardinehill import errors
from sardinehill.core import fleet_messages
from sardinehill.core import owner_spans
from sardinehill.core import store_versions
from sardinehill.front import followers
from sardinehill.front import known_leader
from sardinehill.wire import fleet

TERM = 1

BEFORE = store_versions.StoreVersion(1, 9)
AFTER = store_versions.StoreVersion(2, 3)


@strategies.composite
def assignments(draw):
    """Draws the spans of two services, with gaps where no one owns keys."""
    result = {}
    for service in ("seats", "bills"):
        bounds = draw(
            strategies.lists(
                strategies.integers(0, 40), unique=True, max_size=8
            ).map(sorted)
        )
        result[service] = [
            fleet_messages.OwnerSpan(
                first,
                draw(strategies.integers(first, following - 1)),
                draw(strategies.sampled_from(["a", "b"])),
                draw(strategies.integers(1, 3)),
                draw(strategies.booleans()),
            )
            for first, following in zip(bounds, bounds[1:], strict=False)
        ]
    return result


class RecordingLink:
    """A link that decodes the tables that are sent over it."""

    def __init__(self):
        self.tables = []
        self.sent_bytes = 0

    def send(self, kind, payload):
        self.tables.append(fleet.decode_table(payload))
        self.sent_bytes += len(payload)


def table(serial, spans):
    return fleet_messages.LeaderTable(
        TERM, "leader", "127.0.0.1:1", serial, 2, spans=spans
    )


def report(daemon="me", **fields):
    return fleet_messages.DaemonReport(daemon, "127.0.0.1:2", TERM, **fields)


@given(before=assignments(), after=assignments())
def test_changes_lead_from_any_spans_to_any_others(before, after):
    changes = owner_spans.changes_between(before, after, 7)
    assert owner_spans.apply_changes(before, changes) == after
    assert changes.base_serial == 7


@given(
    versions=strategies.lists(assignments(), min_size=1, max_size=6),
    lost=strategies.sets(strategies.integers(0, 5)),
)
def test_a_follower_that_misses_tables_ends_with_the_leaders_spans(
    versions, lost
):
    leader_side, link = followers.Followers(), RecordingLink()
    follower = known_leader.KnownLeader("me", lambda: 100.0)
    follower.note_term(TERM)
    leader_side.note_report(report(protocol_version=1), link)
    for serial, spans in enumerate([*versions, versions[-1]], start=1):
        leader_side.broadcast_tables(
            lambda name, s=serial, o=spans: table(s, o)
        )
        if serial - 1 in lost and serial <= len(versions):
            link.tables.clear()
        for received in link.tables:
            follower.apply_table(received)
        link.tables.clear()
        leader_side.note_report(
            report(protocol_version=1, needs_spans=follower.needs_spans),
            link,
        )
    leader_side.broadcast_tables(lambda name: table(99, versions[-1]))
    for received in link.tables:
        follower.apply_table(received)
    if any(versions[-1].values()) and not follower.needs_spans:
        assert {
            service: spans
            for service, spans in (follower.table.spans or {}).items()
            if spans
        } == {
            service: spans for service, spans in versions[-1].items() if spans
        }


def test_a_follower_of_an_earlier_build_is_sent_all_spans():
    leader_side, link = followers.Followers(), RecordingLink()
    leader_side.note_report(report(), link)
    for serial in (1, 2):
        spans = {"seats": [fleet_messages.OwnerSpan(0, 9, "a", serial, True)]}
        leader_side.broadcast_tables(
            lambda name, s=serial, o=spans: table(s, o)
        )
        assert link.tables[-1].spans == spans


def test_changes_without_their_base_are_not_applied():
    follower = known_leader.KnownLeader("me", lambda: 100.0)
    follower.note_term(TERM)
    first = {"seats": [fleet_messages.OwnerSpan(0, 9, "a", 1, True)]}
    third = {"seats": [fleet_messages.OwnerSpan(0, 9, "b", 3, True)]}
    follower.apply_table(table(1, first))
    changed = table(3, None)
    changed.span_changes = owner_spans.changes_between({}, third, 2)
    follower.apply_table(changed)
    assert follower.needs_spans
    assert follower.table.spans == first
    follower.apply_table(table(4, third))
    assert not follower.needs_spans
    assert follower.table.spans == third


@pytest.mark.parametrize("upstreams", [21, 460])
def test_bytes_of_a_change_do_not_grow_with_the_number_of_spans(
    upstreams: int,
):
    leader_side, link = followers.Followers(), RecordingLink()
    leader_side.note_report(report(protocol_version=1), link)
    width = 65536 // upstreams
    spans = {
        "seats": [
            fleet_messages.OwnerSpan(
                index * width, (index + 1) * width - 1, f"i-{index}", 1, True
            )
            for index in range(upstreams)
        ]
    }
    leader_side.broadcast_tables(lambda name: table(1, spans))
    link.sent_bytes = 0
    moved = {"seats": list(spans["seats"])}
    moved["seats"][3] = fleet_messages.OwnerSpan(
        3 * width, 4 * width - 1, "i-9", 2, False
    )
    leader_side.broadcast_tables(lambda name: table(2, moved))
    assert link.sent_bytes < 500


@pytest.mark.parametrize("version", [0, 1])
def test_documents_are_compressed_for_receivers_that_understand_it(version):
    documents = b'{"name": {"address": "10.1.2.3:80"}}' * 40
    change = fleet_messages.StoreChange(
        "servers", BEFORE, AFTER, documents, ["gone"]
    )
    payload = fleet.encode_store_change(change, version)
    assert fleet.decode_store_change(payload) == change
    assert (len(payload) < len(documents) / 4) == (version == 1)
    state = fleet_messages.StoreState(
        BEFORE, documents, AFTER, documents, AFTER, b"{}"
    )
    encoded_state = fleet.encode_store_state(state, version)
    assert fleet.decode_store_state(encoded_state) == state


def test_malformed_compressed_documents_are_refused():
    documents = b"x" * 1000
    change = fleet_messages.StoreChange("servers", BEFORE, AFTER, documents, [])
    payload = fleet.encode_store_change(change, 1)
    start = payload.index(b"\x78\x01")
    with pytest.raises(errors.PeerFrameError):
        fleet.decode_store_change(
            payload[:start] + bytes([0x79]) + payload[start + 1 :]
        )
