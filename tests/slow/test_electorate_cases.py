"""Cases that the search over electorates has found, shrunk.

Each is told in the world's own steps; see `test_electorate_machine`.
"""

import logging

import pytest

from sardinehill.core import electorates
from sardinehill.core import leader_confirmation
from tests.common import electorate_world

# The page on electorates: 10.4 s, then 4.6 s for the last orders, and planning.
WITHOUT_VOTERS_S = 10.4 + 4.6 + 2.0
SETTLED_S = 10.0


@pytest.fixture(autouse=True)
def _without_log():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.fixture
def world():
    """Three daemons and two upstreams that serve all keys."""
    world = electorate_world.World(daemons=3, upstreams=2)
    world.run(SETTLED_S)
    assert world.is_served()
    yield world
    world.close()


def part_from_store(world, side, lost_upstream, lost_by_side=""):
    """Parts a side from the store and the rest; each may lose an upstream."""
    others = set(world.daemons) - side
    world.cut_sides(side, others)
    world.cut_from_store = set(side)
    for name in others:
        world.cut(name, lost_upstream)
    for name in side:
        world.cut(name, lost_by_side)


@pytest.mark.parametrize("lost_by_majority", ["", "u0"])
def test_a_majority_beside_a_minority_with_the_store(world, lost_by_majority):
    """The incident: seen at ac9eea9 with real processes."""
    part_from_store(world, {"d0", "d1"}, "u1", lost_by_majority)
    world.run(40.0)
    world.heal()
    world.check_served_within(5.0)


def test_a_restore_that_forgets_registrations(world):
    """The minority has known the others, and leads without them."""
    part_from_store(world, {"d0", "d1"}, "u1")
    world.store.restore(age=0)
    world.run(40.0)


def test_a_restore_that_a_new_daemon_reads(world):
    """The new daemon has never known the others."""
    part_from_store(world, {"d0", "d1"}, "u1")
    world.remove_daemon("d2")
    world.store.restore(age=0)
    world.cut_sides({"d0", "d1"}, {"d3"})
    world.cut("d3", "u1")
    world.add_daemon()
    world.run(40.0)


def test_a_restore_that_forgets_a_change_of_the_electorate(world):
    """The sides swap: the lease names voters that have been removed since."""
    world.store.take_copy()
    world.cut_sides({"d0", "d1"}, {"d2", "d3"})
    world.cut_from_store = {"d0", "d1"}
    world.cut("d2", "u1")
    world.cut("d3", "u1")
    world.add_daemon()
    world.run(20.0)
    leader = world.daemons["d2"].term
    assert leader is not None
    assert leader.voter_count == 2
    world.store.restore(age=0)
    world.cut_from_store = {"d2", "d3"}
    world.run(40.0)


def test_a_second_restore_keeps_the_first_voters():
    """The voters of before both restores may still confirm their leader."""
    first = electorates.Electorate(frozenset("abc"))
    known = frozenset("abcdefg")
    electorate = first
    for _ in range(2):
        electorate = leader_confirmation.electorate_to_take_over(
            electorate, known, is_outdated=True
        )
    assert first.has_majority({"a", "b"})
    assert not electorate.blocks_majorities(set("defg"))


def test_most_voters_and_the_owners_of_most_keys_are_gone():
    """A zone with three of five daemons and two of three upstreams."""
    world = electorate_world.World(daemons=5, upstreams=3)
    world.run(SETTLED_S)
    for name in ("d0", "d1", "d2"):
        world.remove_daemon(name)
    for name in ("u0", "u1"):
        world.upstreams[name].is_alive = False
    world.run(WITHOUT_VOTERS_S)
    assert world.is_served(), world.describe_leaders()


def test_all_lose_power_and_come_back_under_new_names(world):
    for name in list(world.daemons):
        world.remove_daemon(name)
    world.upstreams.clear()
    for name in ("u2", "u3"):
        world.upstreams[name] = electorate_world.Upstream(name)
    for _ in range(3):
        world.add_daemon()
    world.run(WITHOUT_VOTERS_S)
    assert world.is_served(), world.describe_leaders()


def test_most_voters_are_gone_after_a_restore(world):
    """All upstreams live and are reached."""
    world.store.take_copy()
    world.store.restore(age=0)
    world.remove_daemon("d0")
    world.remove_daemon("d1")
    world.run(WITHOUT_VOTERS_S)
    assert world.is_served(), world.describe_leaders()


def test_most_voters_are_gone_while_most_keys_move():
    """All upstreams are reached again, and answer releases."""
    world = electorate_world.World(daemons=3, upstreams=3)
    world.run(SETTLED_S)
    for name in world.daemons:
        for upstream in ("u0", "u1"):
            world.cut(name, upstream)
    world.run(2.0)
    world.remove_daemon("d0")
    world.remove_daemon("d1")
    world.heal()
    world.run(WITHOUT_VOTERS_S)
    assert world.is_served(), world.describe_leaders()
