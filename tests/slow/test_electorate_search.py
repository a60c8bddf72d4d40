"""Searches all short sequences of cuts and losses for keys with two owners.

`tests/common/electorate_search` runs longer searches by hand.
"""

import logging

import pytest

from sardinehill.core import key_support
from sardinehill.core import keyspace
from sardinehill.core import leader_confirmation
from tests.common import electorate_search
from tests.common import electorate_world

ALL_UPSTREAMS = ("u0", "u1", "u2")
SUPERSEDED_S = 8.0


@pytest.fixture(autouse=True)
def _without_log():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def short_plan():
    """Returns a search of three daemons and two upstreams for CI."""
    sides = [frozenset({"d0", "d1"}), frozenset({"d0"})]
    steps = [
        *electorate_search.parting_steps(sides, electorate_search.SOME_LOST),
        *electorate_search.OTHER_STEPS,
    ]
    return electorate_search.SearchPlan(steps, length=2, waits_s=(10.5,))


def lone_key_plan():
    """Returns a search in which the later leader reaches a few keys only."""
    lost_pairs = []
    for reached in ALL_UPSTREAMS:
        lost = tuple(name for name in ALL_UPSTREAMS if name != reached)
        lost_pairs += [((), lost), ((reached,), lost)]
    steps = electorate_search.parting_steps(
        [frozenset({"d0", "d1"})], lost_pairs
    )
    return electorate_search.SearchPlan(
        steps, length=1, waits_s=(), last_wait_s=45.0
    )


def restarting_upstream_plan():
    """Returns a search in which an upstream forgets epochs, twice."""
    steps = electorate_search.parting_steps(
        [frozenset({"d0", "d1"})], [((), ("u1",))]
    )
    steps += [
        step
        for step in electorate_search.OTHER_STEPS
        if step.name == "u0 restarts"
    ]
    return electorate_search.SearchPlan(
        steps, length=3, waits_s=(4.0, 5.5), last_wait_s=16.0
    )


def test_no_key_is_held_twice_after_two_steps():
    plan = short_plan()
    result = electorate_search.search(plan, daemons=3)
    assert result.violation is None
    assert result.sequences == plan.sequence_count()


def test_no_key_is_held_twice_while_few_keys_are_reached():
    plan = lone_key_plan()
    result = electorate_search.search(plan, daemons=3, upstreams=3)
    assert result.violation is None
    assert result.sequences == plan.sequence_count()


def _forget_all(support, lease_read_s):
    """A mutant: refusals of earlier grants are forgotten at once."""
    del lease_read_s
    support.refused = []


def _send_refused_grants_again(monkeypatch):
    """Makes a mutant that sends grants again whose epoch was refused."""
    monkeypatch.setattr(
        keyspace.Span,
        "refused_epoch",
        property(lambda _: 0, lambda *_: None),
        raising=False,
    )


def test_no_key_is_held_twice_while_an_upstream_restarts():
    plan = restarting_upstream_plan()
    result = electorate_search.search(plan, daemons=3)
    assert result.violation is None
    assert result.sequences == plan.sequence_count()


def test_search_finds_forgotten_refusals(monkeypatch):
    """That refused grants are not sent again hides this mutant alone."""
    _send_refused_grants_again(monkeypatch)
    plan = restarting_upstream_plan()
    assert electorate_search.search(plan, daemons=3).violation is None
    monkeypatch.setattr(key_support.KeySupport, "forget_before", _forget_all)
    assert electorate_search.search(plan, daemons=3).violation is not None


def _leaders_beside_later_one():
    """Returns who leads once owners of half of the keys follow a later one."""
    world = electorate_world.World(daemons=3, upstreams=2)
    world.run(electorate_search.FIRST_SERVED_S)
    electorate_search.part(frozenset({"d0", "d1"}), (), ("u1",), world)
    world.run(SUPERSEDED_S)
    leaders = [daemon.name for daemon in world.leaders()]
    world.close()
    return leaders


def test_an_earlier_leader_that_forgets_refusals_does_not_end(monkeypatch):
    assert _leaders_beside_later_one() == ["d2"]
    monkeypatch.setattr(key_support.KeySupport, "forget_before", _forget_all)
    assert _leaders_beside_later_one() == ["d0", "d2"]


def test_search_finds_an_exclusion_without_wait(monkeypatch):
    monkeypatch.setattr(leader_confirmation, "EXCLUSION_WAIT_S", 0.0)
    result = electorate_search.search(short_plan(), daemons=3)
    assert result.violation is not None


def _has_support_of_half(confirmation, now_s, key_share):
    """A mutant: the earlier leader needs no more than half of the keys."""
    return (
        not leader_confirmation.needs_support(confirmation, now_s)
        or key_share > leader_confirmation.HALF
    )


def test_search_finds_an_earlier_leader_without_support(monkeypatch):
    monkeypatch.setattr(
        leader_confirmation, "has_support", _has_support_of_half
    )
    result = electorate_search.search(lone_key_plan(), daemons=3, upstreams=3)
    assert result.violation is not None
