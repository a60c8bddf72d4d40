"""Tests of what confirms a leader, and of the electorate in its lease."""

import asyncio
import fractions

import pytest

from sardinehill import errors
from sardinehill import events
from sardinehill.core import electorates
from sardinehill.core import key_support
from sardinehill.core import keyspace
from sardinehill.core import leader_confirmation
from sardinehill.front import election
from sardinehill.front import known_leader
from sardinehill.front import peer_registry
from sardinehill.platform import store as store_module

FIVE = electorates.Electorate(frozenset("abcde"))
BEGAN_S = 100.0
HALF = keyspace.KEY_COUNT // 2
NONE = fractions.Fraction(0)


def term_of(name, electorate=FIVE, store_confirmed_s=BEGAN_S):
    return leader_confirmation.LeaderConfirmation(
        name, electorate, BEGAN_S, store_confirmed_s, store_confirmed_s
    )


def hear(term, names, now_s):
    term.heard_s |= dict.fromkeys(names, now_s)


def test_reports_of_daemons_outside_the_electorate_confirm_nobody():
    term = term_of("a")
    now_s = BEGAN_S + 2.0
    hear(term, "bxyz", now_s)
    assert not leader_confirmation.is_confirmed(term, now_s)
    hear(term, "c", now_s)
    assert leader_confirmation.is_confirmed(term, now_s)


def test_a_change_whose_answer_is_lost_needs_both_majorities():
    term = term_of("a")
    now_s = BEGAN_S + 2.0
    hear(term, "bc", now_s)
    leader_confirmation.begin_change(
        term, electorates.Electorate(frozenset("axyz"))
    )
    assert not leader_confirmation.is_confirmed(term, now_s)
    hear(term, "xy", now_s)
    assert leader_confirmation.is_confirmed(term, now_s)
    leader_confirmation.end_change(term, term.proposed)
    hear(term, "bc", BEGAN_S)
    assert leader_confirmation.is_confirmed(term, now_s)


def test_a_leader_that_is_not_exclusive_changes_no_electorate():
    term = term_of("a")
    now_s = BEGAN_S + 2 * leader_confirmation.VOTER_EXPIRY_S
    hear(term, "bx", now_s)
    assert not leader_confirmation.update_exclusive(term, now_s)
    assert leader_confirmation.wanted_electorate(term, now_s, False) is None
    hear(term, "c", now_s)
    assert leader_confirmation.update_exclusive(term, now_s)
    wanted = leader_confirmation.wanted_electorate(term, now_s, False)
    assert wanted == electorates.Electorate(frozenset("abcx"))


def test_voters_that_may_only_not_have_reported_yet_stay():
    term = term_of("a")
    hear(term, "bc", BEGAN_S + 1.0)
    now_s = BEGAN_S + leader_confirmation.VOTER_EXPIRY_S
    hear(term, "bc", now_s)
    assert leader_confirmation.update_exclusive(term, now_s)
    assert leader_confirmation.wanted_electorate(term, now_s, False) is None


def excludes(term, now_s, key_share):
    """Returns whether a share of keys excludes earlier leaders in the end."""
    exclusion = leader_confirmation.KeyExclusion()
    for at_s in (now_s - leader_confirmation.EXCLUSION_WAIT_S, now_s):
        leader_confirmation.update_exclusion(exclusion, term, at_s, key_share)
    return exclusion.is_complete


def test_half_of_the_keys_count_only_once_an_earlier_leader_needs_most():
    earlier, later = term_of("a"), term_of("e")
    hear(earlier, "bc", BEGAN_S + 9.0)
    half = leader_confirmation.HALF
    assert leader_confirmation.has_support(earlier, BEGAN_S + 9.0, NONE)
    assert not excludes(later, BEGAN_S + 9.0, half)
    # The earlier leader's clock is the slower one by as much as is allowed.
    wait_s = leader_confirmation.MAX_WITHOUT_STORE_S * 1.05
    drift_ratio = 1 - leader_confirmation.CLOCK_DRIFT_RATIO
    assert not leader_confirmation.has_support(
        earlier, BEGAN_S + wait_s * drift_ratio, half
    )
    assert excludes(later, BEGAN_S + wait_s, half)


def test_keys_exclude_nobody_before_the_earlier_leaders_grants_are_old():
    term = term_of("e")
    exclusion = leader_confirmation.KeyExclusion()
    now_s = BEGAN_S + 60.0
    for ahead_s in (0.0, leader_confirmation.EXCLUSION_WAIT_S - 0.1):
        assert not leader_confirmation.update_exclusion(
            exclusion, term, now_s + ahead_s, leader_confirmation.HALF
        )
    later_s = now_s + leader_confirmation.EXCLUSION_WAIT_S
    assert leader_confirmation.update_exclusion(
        exclusion, term, later_s, leader_confirmation.HALF
    )


@pytest.mark.parametrize("silent_s", [5.0, 10.5, 20.0, 32.0, 200.0, 320.0])
def test_no_share_of_voters_and_keys_supports_both_leaders(silent_s):
    drift_ratio = 1 - leader_confirmation.CLOCK_DRIFT_RATIO
    earlier_s = BEGAN_S + silent_s * drift_ratio
    for voters in range(1, 5):
        for eighths in range(9):
            earlier, later = term_of("a"), term_of("e")
            hear(earlier, "abcde"[:voters], earlier_s)
            for at_s in (3.4, 0.0):
                hear(later, "edcba"[: 5 - voters], BEGAN_S + silent_s - at_s)
            keys = fractions.Fraction(eighths, 8)
            may_act = leader_confirmation.is_confirmed(
                earlier, earlier_s
            ) and leader_confirmation.has_support(earlier, earlier_s, keys)
            is_excluded = leader_confirmation.update_exclusive(
                later, BEGAN_S + silent_s
            ) or excludes(later, BEGAN_S + silent_s, 1 - keys)
            assert not (may_act and is_excluded), (voters, keys)


def test_a_leader_in_an_outage_goes_on_without_a_zone_or_a_few_owners():
    term = term_of("a")
    most = fractions.Fraction(9, 10)
    for silent_s, voters, keys in (
        (20.0, "bc", fractions.Fraction(6, 10)),
        (200.0, "bcd", most),
        (3600.0, "bcde", most + fractions.Fraction(1, 20)),
    ):
        now_s = BEGAN_S + silent_s
        term.heard_s = dict.fromkeys(voters, now_s)
        assert leader_confirmation.has_support(term, now_s, keys)


def test_the_rest_of_a_fleet_that_lost_most_voters_and_keys_is_exclusive():
    term = term_of("e")
    third = fractions.Fraction(1, 3)
    exclusion = leader_confirmation.KeyExclusion()
    excluded_s = []
    for tenths in range(400):
        now_s = BEGAN_S + tenths / 10
        hear(term, "d", now_s)
        if leader_confirmation.update_exclusion(exclusion, term, now_s, third):
            excluded_s.append(tenths / 10)
    assert 31.0 < excluded_s[0] < 32.0


@pytest.fixture
def assignment():
    spans = [
        keyspace.Span(0, HALF - 1, ("i-1", 1), 1, accepted_s=BEGAN_S),
        keyspace.Span(
            HALF, keyspace.KEY_COUNT - 1, ("i-2", 1), 2, accepted_s=BEGAN_S
        ),
    ]
    return keyspace.KeyAssignment(spans, 2)


def test_half_of_the_keys_block_a_majority_and_are_none(assignment):
    now_s = BEGAN_S + 1.0
    support = key_support.KeySupport()
    assert key_support.accepted_share(support, assignment, now_s) == 1
    assignment.spans[0].accepted_s = 0.0
    half = leader_confirmation.HALF
    assert key_support.accepted_share(support, assignment, now_s) == half
    assert key_support.held_share(assignment, now_s) == half
    later_s = now_s + leader_confirmation.TERM_VALIDITY_S
    assert key_support.held_share(assignment, later_s) == 0
    # A pause of the leader.
    assert key_support.accepted_share(support, assignment, later_s) == half


def test_keys_without_an_owner_support_no_earlier_leader():
    assignment = keyspace.empty_assignment()
    assert key_support.held_share(assignment, BEGAN_S) == 1
    support = key_support.KeySupport()
    assert key_support.accepted_share(support, assignment, BEGAN_S) == 0


def test_a_refused_key_counts_as_refused_until_the_store_names_the_leader(
    assignment,
):
    support = key_support.KeySupport()
    support.note_refused(0, HALF // 2, BEGAN_S)
    support.note_refused(10, HALF - 1, BEGAN_S)
    # A later start of the upstream accepts the keys again.
    half = leader_confirmation.HALF
    assert (
        key_support.accepted_share(support, assignment, BEGAN_S + 0.1) == half
    )
    assert key_support.refuses_half(support)
    support.forget_before(BEGAN_S + 0.1)
    assert key_support.accepted_share(support, assignment, BEGAN_S + 0.2) == 1
    assert not key_support.refuses_half(support)


def test_after_a_restore_the_stored_and_the_known_daemons_count():
    taken_over = leader_confirmation.electorate_to_take_over(
        electorates.Electorate(frozenset("ab")), frozenset("abcde"), True
    )
    assert not taken_over.blocks_majorities(set("cde"))
    assert not taken_over.blocks_majorities(set("ab"))
    assert taken_over.blocks_majorities(set("acd"))


class LeaseStore:
    """A store with a lease, whose writes may be carried out unanswered."""

    def __init__(self, spec):
        self.era = 0
        self.spec = spec
        self.revision = 1
        self.loses_answers = False

    async def get(self, kind, name):
        del kind
        return store_module.StoredObject(name, name, 1, self.spec, {})

    async def list_objects(self, kind, may_be_stale=False):
        raise errors.StoreUnavailableError("away")

    async def replace(self, kind, name, spec, revision):
        del kind, revision
        self.spec = spec
        if self.loses_answers:
            raise errors.StoreUnavailableError("lost")
        return store_module.StoredObject(name, name, 1, spec, {})


@pytest.mark.parametrize("voters", [[], "abc", ["a", 3], None, {}, [""]])
def test_no_daemon_takes_a_lease_whose_electorate_is_malformed(voters, caplog):
    store = LeaseStore({"term": 4, "holder": "x", "voters": voters})
    registry = peer_registry.PeerRegistry("me", "127.0.0.1:1", 1.0, store)
    registry.peer_addresses = {"me": "127.0.0.1:1"}
    leader = known_leader.KnownLeader("me", lambda: BEGAN_S)
    leader.note_term(4)
    candidate = election.Election("me", leader, registry, lambda: BEGAN_S)

    async def try_twice():
        return [await candidate.try_to_lead() for _ in range(2)]

    with caplog.at_level("INFO"):
        assert asyncio.run(try_twice()) == [False, False]
    lines = [events.record_as_dict(record) for record in caplog.records]
    names = [line["event_name"] for line in lines]
    assert names.count("electorate-refused") == 1
    assert store.spec["holder"] == "x"


def test_a_new_leader_writes_the_electorate_that_it_found():
    store = LeaseStore({"term": 4, "holder": "x", "voters": ["x", "y", "z"]})
    registry = peer_registry.PeerRegistry("me", "127.0.0.1:1", 1.0, store)
    registry.peer_addresses = {"me": "127.0.0.1:1"}
    leader = known_leader.KnownLeader("me", lambda: BEGAN_S)
    leader.note_term(4)
    candidate = election.Election("me", leader, registry, lambda: BEGAN_S)
    asyncio.run(candidate.try_to_lead())
    assert (store.spec["holder"], store.spec["voters"]) == (
        "me",
        ["x", "y", "z"],
    )


def test_builds_without_electorates_read_the_lease():
    # 500e858 and ac9eea9 read these fields and ignore others.
    store = LeaseStore({"term": 4, "holder": "x", "address": "", "life": "l"})
    registry = peer_registry.PeerRegistry("me", "127.0.0.1:1", 1.0, store)

    async def body():
        await registry.read_lease()
        assert registry.lease.electorate is None
        assert await registry.acquire_lease(5, FIVE)

    asyncio.run(body())
    assert isinstance(store.spec["term"], int)
    assert {"holder", "address", "life"} <= store.spec.keys()
