"""Tests of how a daemon tracks the leader from its tables."""

from sardinehill.core import fleet_messages
from sardinehill.front import known_leader
from sardinehill.front import peer_registry


def new_known_leader(term=0):
    leader = known_leader.KnownLeader("me", lambda: 100.0)
    leader.note_term(term)
    return leader


def table(term=1, serial=1, **fields):
    return fleet_messages.LeaderTable(
        term, "x", "127.0.0.1:1", serial, 2, **fields
    )


def test_table_of_an_earlier_term_is_ignored():
    leader = new_known_leader(term=3)
    assert not leader.apply_table(table(term=2))
    assert leader.table is None


def test_leader_of_a_later_term_is_followed_next():
    leader = new_known_leader(term=1)
    assert leader.apply_table(table(term=2))
    assert leader.newer_term.is_set()
    assert leader.take_next_leader(peer_registry.LeaderLease()).holder == "x"


def test_table_with_an_earlier_serial_is_ignored():
    leader = new_known_leader()
    assert leader.apply_table(table(serial=5))
    assert not leader.apply_table(table(serial=4))
    assert leader.table.serial == 5


def test_table_without_spans_keeps_known_spans_and_tokens():
    leader = new_known_leader()
    leader.apply_table(table(spans={"s": []}, lendable={"a": 2.0}))
    leader.apply_table(table(serial=2))
    assert leader.table.spans == {"s": []}
    assert leader.table.lendable == {"a": 2.0}


def test_resigned_leader_is_abandoned_at_once():
    leader = new_known_leader()
    leader.apply_table(table())
    assert not leader.leader_gone.is_set()
    leader.apply_table(table(serial=2, resigned=True))
    assert leader.leader_gone.is_set()
    assert not leader.is_leader_alive(leader.summary())


def test_table_of_a_silent_leader_is_ignored():
    leader = new_known_leader(term=1)
    assert not leader.apply_table(
        table(age_s=2 * known_leader.LEADER_TIMEOUT_S)
    )
    assert leader.leader_gone.is_set()
    assert leader.table is None


def test_following_a_peer_is_no_evidence_that_the_leader_is_alive():
    # Followers of a silent leader followed each other in turn. Each counted as
    # having just heard the leader, so nobody led for up to nine seconds.
    now_s = [100.0]
    leader = known_leader.KnownLeader("me", lambda: now_s[0])
    leader.note_term(1)
    leader.apply_table(table())
    now_s[0] += 5.0
    leader.restart_timeout()
    assert leader.silent_s() == 0.0
    summary = leader.summary()
    assert summary.age_s == 5.0
    assert not known_leader.KnownLeader("peer", lambda: 0.0).is_leader_alive(
        summary
    )


def test_a_table_of_an_older_term_is_not_the_previous_leaders():
    # A leader that followed one of two earlier terms only must not take the
    # resignation of the first for that of the second.
    leader = new_known_leader(term=1)
    leader.apply_table(table(term=1, resigned=True))
    leader.note_term(2)
    assert leader.previous_table().resigned
    leader.note_term(3)
    assert leader.previous_table() is None
