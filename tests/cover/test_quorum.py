"""Tests of the votes that authorize a controller in a store outage."""

import itertools

import pytest

from sardinehill.core import electorates
from sardinehill.core import quorum
from tests.common import ownership_simulation

TIMING = quorum.QuorumTiming()
ELECTORATE = electorates.Electorate(frozenset("abc"))


def vote_request(term: int, seal: bool = False) -> quorum.VoteRequest:
    return quorum.VoteRequest("s", term, seal)


@pytest.fixture
def voter() -> quorum.Voter:
    voter = quorum.Voter(started_s=0.0)
    quorum.on_store_term(voter, 1)
    return voter


def test_voter_that_sealed_a_term_rejects_lower_terms(
    voter: quorum.Voter,
) -> None:
    assert quorum.answer_request(voter, vote_request(1), 5.0).granted
    assert quorum.answer_request(voter, vote_request(2, seal=True), 5.5).granted
    assert not quorum.answer_request(voter, vote_request(1), 6.0).granted


def test_seal_reports_the_age_of_the_last_vote(
    voter: quorum.Voter,
) -> None:
    quorum.answer_request(voter, vote_request(1), 5.0)
    response = quorum.answer_request(voter, vote_request(2, seal=True), 5.5)
    assert response.last_vote_age_s == pytest.approx(0.5)


def test_restarted_voter_counts_as_having_just_voted() -> None:
    voter = quorum.Voter(started_s=10.0)
    response = quorum.answer_request(voter, vote_request(2, seal=True), 10.1)
    assert response.last_vote_age_s == pytest.approx(0.1)


def test_restarted_voter_votes_only_after_learning_the_term() -> None:
    voter = quorum.Voter(started_s=10.0)
    assert not quorum.answer_request(voter, vote_request(1), 11.0).granted
    quorum.on_reported_term(voter, "a", ELECTORATE, 2)
    assert not quorum.answer_request(voter, vote_request(2), 11.0).granted
    quorum.on_reported_term(voter, "b", ELECTORATE, 1)
    assert quorum.answer_request(voter, vote_request(2), 11.0).granted
    assert not quorum.answer_request(voter, vote_request(1), 11.0).granted


def test_votes_authorize_only_as_a_majority_and_for_their_ttl() -> None:
    votes = quorum.QuorumVotes()
    quorum.begin_term(votes, 1)
    quorum.on_vote(votes, "a", vote_request(1), 5.0)
    until_s = quorum.quorum_until_s(votes, ELECTORATE, TIMING)
    assert until_s == float("-inf")
    quorum.on_vote(votes, "b", vote_request(1), 6.0)
    until_s = quorum.quorum_until_s(votes, ELECTORATE, TIMING)
    assert until_s == 5.0 + TIMING.vote_ttl_s


def test_a_changing_electorate_needs_both_majorities() -> None:
    electorate = electorates.Electorate(frozenset("abc"), frozenset("cde"))
    assert not electorate.has_majority({"a", "b"})
    assert electorate.has_majority({"a", "c", "d"})


def test_new_term_starts_without_votes() -> None:
    votes = quorum.QuorumVotes()
    quorum.begin_term(votes, 1)
    quorum.on_vote(votes, "a", vote_request(1), 5.0)
    quorum.on_vote(votes, "b", vote_request(1), 5.0)
    quorum.begin_term(votes, 2)
    until_s = quorum.quorum_until_s(votes, ELECTORATE, TIMING)
    assert until_s == float("-inf")
    assert quorum.predecessors_fenced_s(votes) == float("inf")


def subsets(names: str) -> list[set[str]]:
    return [
        set(chosen)
        for count in range(len(names) + 1)
        for chosen in itertools.combinations(names, count)
    ]


@pytest.mark.parametrize("voters", ["a", "ab", "abc", "abcd", "abcde"])
@pytest.mark.parametrize("previous", ["", "a", "bc", "cde"])
def test_no_majority_votes_for_a_term_that_enough_voters_refuse(
    voters: str, previous: str
) -> None:
    electorate = electorates.Electorate(frozenset(voters), frozenset(previous))
    for sealed in subsets("abcde"):
        if not electorate.blocks_majorities(sealed):
            continue
        for votes in subsets("abcde"):
            # An earlier controller may rely on either group alone, or on both.
            for group in (
                electorates.Electorate(frozenset(voters)),
                electorates.Electorate(frozenset(previous)),
                electorate,
            ):
                if group.all_voters and group.has_majority(votes):
                    assert votes & sealed


@pytest.mark.parametrize("voters", ["ab", "abc", "abcd", "abcde"])
def test_restarted_voter_learns_each_term_that_enough_voters_sealed(
    voters: str,
) -> None:
    electorate = electorates.Electorate(frozenset(voters))
    for sealed in subsets(voters):
        if "a" not in sealed or not electorate.blocks_majorities(sealed):
            continue
        for reporting in subsets(voters[1:]):
            if electorate.has_majority(reporting):
                assert reporting & sealed


@pytest.mark.parametrize("voters", ["abc", "abcde"])
def test_an_odd_electorate_needs_a_majority_of_seals(voters: str) -> None:
    electorate = electorates.Electorate(frozenset(voters))
    for sealed in subsets(voters):
        assert electorate.blocks_majorities(sealed) == electorate.has_majority(
            sealed
        )


@pytest.mark.parametrize("fencing", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_shards_are_served_after_the_controller_of_two_voters_is_lost(
    seed: int, fencing: bool
) -> None:
    simulation = ownership_simulation.FleetSimulation(seed, fencing=fencing)
    simulation.advance(1.5)
    lost = simulation.lease.holder
    voters = [lost, *(name for name in simulation.daemons if name != lost)]
    simulation.electorate = tuple(sorted(voters[:2]))
    simulation.advance(3.0)
    assert simulation.assignment is not None
    assert simulation.assignment.electorate == simulation.electorate
    simulation.daemons[lost].dead = True
    # As long as tests/slow/test_ownership_machine.py waits after its faults.
    simulation.advance(ownership_simulation.MAX_DELAY_S + 5.0)
    assert not simulation.unserved_shards()
