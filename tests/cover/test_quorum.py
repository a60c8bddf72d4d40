"""Tests of the votes that authorize a controller in a store outage."""

import pytest

from sardinehill.core import quorum

TIMING = quorum.QuorumTiming()
ELECTORATE = quorum.Electorate(frozenset("abc"))


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
    electorate = quorum.Electorate(frozenset("abc"), frozenset("cde"))
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
