"""Claims about what a daemon takes a leader's tables for."""

from sardinehill.core import fleet_messages
from sardinehill.front import known_leader
from sardinehill.front import registry


def known(term=0):
    found = known_leader.KnownLeader("me", lambda: 100.0)
    found.note_term(term)
    return found


def table(term=1, serial=1, **fields):
    return fleet_messages.Table(term, "x", "127.0.0.1:1", serial, 2, **fields)


def test_a_table_of_an_older_leader_is_left_out():
    one = known(term=3)
    assert not one.hear(table(term=2))
    assert one.table is None


def test_a_newer_leader_is_followed_next():
    one = known(term=1)
    assert one.hear(table(term=2))
    assert one.newer.is_set()
    assert one.take_hint(registry.Lease()).holder == "x"


def test_an_older_state_of_the_same_leader_is_left_out():
    one = known()
    assert one.hear(table(serial=5))
    assert not one.hear(table(serial=4))
    assert one.table.serial == 5


def test_a_table_without_owners_keeps_those_that_are_known():
    one = known()
    one.hear(table(spans={"s": []}, lendable={"a": 2.0}))
    one.hear(table(serial=2))
    assert one.table.spans == {"s": []}
    assert one.table.lendable == {"a": 2.0}


def test_a_leader_that_resigns_is_left_at_once():
    one = known()
    one.hear(table())
    assert not one.nobody.is_set()
    one.hear(table(serial=2, resigned=True))
    assert one.nobody.is_set()
    assert not one.is_alive(one.outline())


def test_the_word_of_a_peer_that_hears_nobody_counts_for_nothing():
    one = known(term=1)
    assert not one.hear(table(age_s=2 * known_leader.SILENCE_S))
    assert one.nobody.is_set()
    assert one.table is None
