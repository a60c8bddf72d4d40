"""Tests of daemons, store and upstreams that do not all reach each other.

Longer cuts and other seeds run by hand: `python -m bench.parted`.
"""

import pytest

from tests.common import parted_fleet

# A leader of the side that has the store has had time to remove the daemons
# of the other side, 10 s after it began, and to move the keys of upstreams that
# it does not reach, 4.6 s later.
PARTED_S = 18.0
CUT_S = 2.0


@pytest.fixture
def start_fleet(tmp_path):
    fleets = []

    def start(seed, daemons):
        fleet = parted_fleet.PartedFleet(tmp_path, seed, daemons)
        fleets.append(fleet)
        return fleet

    yield start
    for fleet in fleets:
        fleet.close()


@pytest.mark.parametrize("seed", [1])
def test_leaders_of_two_sides_do_not_both_give_out_the_same_keys(
    start_fleet, seed
):
    fleet = start_fleet(seed, daemons=5)
    fleet.run(parted_fleet.play(fleet, "part", PARTED_S))


@pytest.mark.parametrize("seed", [1])
def test_keys_are_served_soon_after_a_side_did_not_reach_half_of_the_upstreams(
    start_fleet, seed
):
    fleet = start_fleet(seed, daemons=5)
    fleet.run(parted_fleet.play(fleet, "half", PARTED_S))


@pytest.mark.parametrize("seed", [1])
def test_keys_are_held_once_and_served_again_after_cuts_of_the_leader(
    start_fleet, seed
):
    fleet = start_fleet(seed, daemons=3)
    fleet.run(parted_fleet.play(fleet, "leader", CUT_S))
