"""Claims about who may act as a controller while the store is down."""

import pytest

from sardinehill.core import quorum

TIMING = quorum.QuorumTiming()
ELECTORATE = quorum.Electorate(frozenset("abc"))


def vote_request(term: int, seal: bool = False) -> quorum.VoteRequest:
    return quorum.VoteRequest("s", term, seal)


@pytest.fixture
def voter() -> quorum.Voter:
    member = quorum.Voter(started_s=0.0)
    quorum.on_store_term(member, 1)
    return member


def test_voter_that_sealed_a_term_rejects_lower_terms(
    member: quorum.Voter,
) -> None:
    assert quorum.answer_request(member, vote_request(1), 5.0).granted
    assert quorum.answer_request(
        member, vote_request(2, seal=True), 5.5
    ).granted
    assert not quorum.answer_request(member, vote_request(1), 6.0).granted


def test_seal_reports_the_age_of_the_last_vote(
    member: quorum.Voter,
) -> None:
    quorum.answer_request(member, vote_request(1), 5.0)
    reply = quorum.answer_request(member, vote_request(2, seal=True), 5.5)
    assert reply.last_vote_age_s == pytest.approx(0.5)


def test_restarted_voter_counts_as_having_just_voted() -> None:
    member = quorum.Voter(started_s=10.0)
    reply = quorum.answer_request(member, vote_request(2, seal=True), 10.1)
    assert reply.last_vote_age_s == pytest.approx(0.1)


def test_restarted_voter_votes_only_after_learning_the_term() -> None:
    member = quorum.Voter(started_s=10.0)
    assert not quorum.answer_request(member, vote_request(1), 11.0).granted
    quorum.on_reported_term(member, "a", ELECTORATE, 2)
    assert not quorum.answer_request(member, vote_request(2), 11.0).granted
    quorum.on_reported_term(member, "b", ELECTORATE, 1)
    assert quorum.answer_request(member, vote_request(2), 11.0).granted
    assert not quorum.answer_request(member, vote_request(1), 11.0).granted


def test_votes_authorize_only_as_a_majority_and_for_their_ttl() -> None:
    held = quorum.QuorumVotes()
    quorum.begin_term(held, 1)
    quorum.on_vote(held, "a", vote_request(1), 5.0)
    until_s = quorum.quorum_until_s(held, ELECTORATE, TIMING)
    assert until_s == float("-inf")
    quorum.on_vote(held, "b", vote_request(1), 6.0)
    until_s = quorum.quorum_until_s(held, ELECTORATE, TIMING)
    assert until_s == 5.0 + TIMING.vote_ttl_s


def test_a_changing_electorate_needs_both_majorities() -> None:
    both = quorum.Electorate(frozenset("abc"), frozenset("cde"))
    assert not both.has_majority({"a", "b"})
    assert both.has_majority({"a", "c", "d"})


def test_new_term_starts_without_votes() -> None:
    held = quorum.QuorumVotes()
    quorum.begin_term(held, 1)
    quorum.on_vote(held, "a", vote_request(1), 5.0)
    quorum.on_vote(held, "b", vote_request(1), 5.0)
    quorum.begin_term(held, 2)
    until_s = quorum.quorum_until_s(held, ELECTORATE, TIMING)
    assert until_s == float("-inf")
    assert quorum.predecessors_fenced_s(held) == float("inf")
