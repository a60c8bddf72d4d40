"""Tests of grants to upstreams that start again, over leaders and restores."""

import contextlib

import pytest

from tests.common import grants_world

ALL = grants_world.PARTS


@contextlib.contextmanager
def simulated(**flags):
    """Yields a world with three upstreams that hold keys."""
    world = type("World", (grants_world.GrantsWorld,), flags)()
    try:
        yield world
    finally:
        world.close()


# Guards against this failure: a later life has seen no epoch, so that it takes
# a grant of the earlier leader after it has released the keys to the present.
@pytest.mark.parametrize("is_cut", [False, True])
def test_upstream_that_restarts_as_the_leader_changes_keeps_no_moved_keys(
    is_cut,
):
    with simulated(
        restarts_beside_leaders=True, allowed=("epoch of a life",)
    ) as world:
        world.another_daemon_leads(False, 0.0, 1.0, is_cut)
        world.upstream_starts_again("a", "1", 0, is_listed=False)
        world.keys_move(0, ALL, "b", 3.0)
        assert not world.violations


# Guards against this failure: a later life took its keys from the earlier
# leader, under a lower epoch than the earlier life had from the present one.
def test_later_life_gets_no_lower_epoch_from_the_earlier_leader():
    with simulated(restarts_beside_leaders=True) as world:
        world.another_daemon_leads(False, 0.0, 1.0, True)
        world.upstream_starts_again("a", "1", 0, is_listed=False)
        world.wait(2.0)
        assert not world.violations


# Guards against this failure: an earlier leader sent a refused grant again, and
# a later life took the keys, which another upstream held by then.
def test_later_life_takes_no_refused_grant_of_the_earlier_leader():
    with simulated(
        restarts_beside_leaders=True,
        allowed=("epoch of a life", "epoch of another"),
    ) as world:
        world.another_daemon_leads(False, 8.0, 1.0, True)
        world.keys_move(0, 1, "b", 1.0)
        world.keys_move(0, 1, "c", 1.0)
        world.wait(1.0)
        assert not world.violations
        assert world.life_of("c").holds(0, world.loop.time())
        for name, address in (("a", "1"), ("b", "2")):
            world.upstream_starts_again(name, address, 0, is_listed=False)
        world.wait(3.0)
        assert not world.violations


# Guards against this failure: keys that a later life took as its earlier one
# count as free once it is their owner, though no grant reached it since.
def test_keys_of_a_later_life_that_cannot_be_reached_are_waited_for():
    with simulated() as world:
        world.upstream_starts_again("a", "1", 0, is_listed=False)
        world.wait(0.8)
        world.fates["a"] = "cut"
        world.connections_end("a")
        world.entry_is_read("a")
        world.wait(0.35)
        world.keys_move(0, ALL, "b", 3.0)
        assert not world.violations


# Guards against this failure: a leader that begins after a restore asks only
# the upstreams that it sees, and takes the others to hold nothing.
def test_upstream_that_is_not_listed_after_a_restore_keeps_no_moved_keys():
    with simulated(unlists_over_restores=True) as world:
        copies = len(world.store.copies)
        world.keys_move(0, 1, "c", 1.6)
        world.entry_vanishes("c")
        world.store_is_restored(len(world.store.copies) - copies)
        world.another_daemon_leads(False, 0.0, 1.0, True)
        world.wait(4.0)
        assert not world.violations


# Guards against this failure: after a restore the list shows an earlier life,
# whose address another upstream has by now, and the later one counts as ended.
def test_reused_address_of_an_earlier_life_does_not_free_the_later_ones_keys():
    with simulated(has_earlier_entries=True) as world:
        copies = len(world.store.copies)
        world.upstream_starts_again("a", "4", 0, is_listed=True)
        world.wait(2.2)
        world.upstream_starts_again("c", "1", 0, is_listed=True)
        world.store_is_restored(len(world.store.copies) - copies)
        world.earlier_entry_is_read("a", 1)
        world.another_daemon_leads(False, 0.0, 1.0, True)
        world.wait(4.0)
        assert not world.violations


# Guards against this failure: a start time of before, or the same one, at
# another address, whose earlier one another upstream has by now.
@pytest.mark.parametrize("step_ms", [0, -1])
def test_reused_address_frees_no_keys_when_start_times_do_not_grow(step_ms):
    with simulated(
        has_earlier_entries=True, clock_steps_ms=(step_ms,)
    ) as world:
        world.upstream_starts_again("a", "4", 0, is_listed=True)
        world.another_daemon_leads(True, 0.0, 1.0, False)
        world.wait(6.0)
        world.keys_move(0, 1, "a", 1.0)
        world.upstream_starts_again("c", "1", 0, is_listed=True)
        world.earlier_entry_is_read("a", 1)
        world.another_daemon_leads(True, 0.0, 1.0, False)
        world.wait(2.0)
        assert not world.violations


# Guards against this failure: the latest start is taken for the latest life.
def test_upstream_that_restarts_with_an_earlier_start_may_get_keys():
    with simulated(clock_steps_ms=(-1,)) as world:
        world.upstream_starts_again("a", "4", 0, is_listed=True)
        world.all_is_well_again()


# Guards against this failure: a stray answer passes for that of a grant which
# then arrives after its keys were released.
@pytest.mark.parametrize("pause_s", [0.2, 0.25, 0.3])
def test_stray_answer_to_a_grant_leaves_no_key_held_twice(pause_s):
    with simulated(has_strays=True) as world:
        world.orders_fare("a", "stray", 2.0, 1.3)
        world.wait(pause_s)
        world.keys_move(0, ALL, "b", 1.0)
        assert not world.violations


# Guards against this failure: a leader that waits for voters gave keys of
# upstreams that it reached to one that it did not reach, again and again.
def test_a_leader_that_is_not_exclusive_gives_no_keys_to_unreached_upstreams():
    with simulated() as world:
        world.keys_move(0, 2, "a", 1.0)
        world.keys_move(2, 2, "b", 1.0)
        world.fates["a"] = "cut"
        world.another_daemon_leads(False, 60.0, 0.0, True)
        world.connections_end("a")
        world.wait(3.0)
        for _ in range(8):
            world.keys_move(2, 2, "a", 1.0)
        now_s = world.loop.time()
        served = [
            world.life_of("b").holds(part, now_s)
            or world.life_of("c").holds(part, now_s)
            for part in (2, 3)
        ]
        assert all(served)
        assert not world.violations
