"""Claims about what a daemon takes a leader's tables for."""

from sardinehill.core import fleet_messages
from sardinehill.front import known_leader
from sardinehill.front import peer_registry


def new_known_leader(term=0):
    found = known_leader.KnownLeader("me", lambda: 100.0)
    found.note_term(term)
    return found


def table(term=1, serial=1, **fields):
    return fleet_messages.LeaderTable(
        term, "x", "127.0.0.1:1", serial, 2, **fields
    )


def test_table_of_an_earlier_term_is_ignored():
    one = new_known_leader(term=3)
    assert not one.apply_table(table(term=2))
    assert one.table is None


def test_leader_of_a_later_term_is_followed_next():
    one = new_known_leader(term=1)
    assert one.apply_table(table(term=2))
    assert one.newer_term.is_set()
    assert one.take_next_leader(peer_registry.LeaderLease()).holder == "x"


def test_table_with_an_earlier_serial_is_ignored():
    one = new_known_leader()
    assert one.apply_table(table(serial=5))
    assert not one.apply_table(table(serial=4))
    assert one.table.serial == 5


def test_table_without_spans_keeps_known_spans_and_tokens():
    one = new_known_leader()
    one.apply_table(table(spans={"s": []}, lendable={"a": 2.0}))
    one.apply_table(table(serial=2))
    assert one.table.spans == {"s": []}
    assert one.table.lendable == {"a": 2.0}


def test_resigned_leader_is_abandoned_at_once():
    one = new_known_leader()
    one.apply_table(table())
    assert not one.leader_gone.is_set()
    one.apply_table(table(serial=2, resigned=True))
    assert one.leader_gone.is_set()
    assert not one.is_leader_alive(one.summary())


def test_table_of_a_silent_leader_is_ignored():
    one = new_known_leader(term=1)
    assert not one.apply_table(table(age_s=2 * known_leader.LEADER_TIMEOUT_S))
    assert one.leader_gone.is_set()
    assert one.table is None
