"""Claims about who may act as a controller while the store is down."""

import pytest

from sardinehill.core import licence

TIMING = licence.LicenceTiming()
ELECTORATE = licence.Electorate(frozenset("abc"))


def query(term: int, seal: bool = False) -> licence.VouchQuery:
    return licence.VouchQuery("s", term, seal)


@pytest.fixture
def member() -> licence.Member:
    member = licence.Member(started_s=0.0)
    licence.on_store_term(member, 1)
    return member


def test_a_member_that_sealed_vouches_for_no_lower_term(
    member: licence.Member,
) -> None:
    assert licence.answer(member, query(1), 5.0).granted
    assert licence.answer(member, query(2, seal=True), 5.5).granted
    assert not licence.answer(member, query(1), 6.0).granted


def test_a_seal_tells_how_long_ago_the_member_vouched(
    member: licence.Member,
) -> None:
    licence.answer(member, query(1), 5.0)
    reply = licence.answer(member, query(2, seal=True), 5.5)
    assert reply.vouched_ago_s == pytest.approx(0.5)


def test_a_restarted_member_counts_as_having_just_vouched() -> None:
    member = licence.Member(started_s=10.0)
    reply = licence.answer(member, query(2, seal=True), 10.1)
    assert reply.vouched_ago_s == pytest.approx(0.1)


def test_a_restarted_member_vouches_only_once_it_knows_the_term() -> None:
    member = licence.Member(started_s=10.0)
    assert not licence.answer(member, query(1), 11.0).granted
    licence.on_report(member, "a", ELECTORATE, 2)
    assert not licence.answer(member, query(2), 11.0).granted
    licence.on_report(member, "b", ELECTORATE, 1)
    assert licence.answer(member, query(2), 11.0).granted
    assert not licence.answer(member, query(1), 11.0).granted


def test_vouches_license_only_as_a_majority_and_for_their_ttl() -> None:
    held = licence.Licence()
    licence.begin(held, 1)
    licence.on_vouched(held, "a", query(1), 5.0)
    until_s = licence.vouched_until_s(held, ELECTORATE, TIMING)
    assert until_s == float("-inf")
    licence.on_vouched(held, "b", query(1), 6.0)
    until_s = licence.vouched_until_s(held, ELECTORATE, TIMING)
    assert until_s == 5.0 + TIMING.vouch_ttl_s


def test_a_changing_electorate_needs_both_majorities() -> None:
    both = licence.Electorate(frozenset("abc"), frozenset("cde"))
    assert not both.agrees({"a", "b"})
    assert both.agrees({"a", "c", "d"})


def test_a_new_term_starts_without_vouches() -> None:
    held = licence.Licence()
    licence.begin(held, 1)
    licence.on_vouched(held, "a", query(1), 5.0)
    licence.on_vouched(held, "b", query(1), 5.0)
    licence.begin(held, 2)
    until_s = licence.vouched_until_s(held, ELECTORATE, TIMING)
    assert until_s == float("-inf")
    assert licence.settled_s(held) == float("inf")
