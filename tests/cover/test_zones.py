"""Claims about taking zones and hosts out and back in."""

import math

import hypothesis
from hypothesis import strategies as st
import pytest

from sardinehill.core import fleet
from sardinehill.core import zones


def _load(
    number: int, offered_per_s: float = 200.0, latency_s: float = 0.005
) -> zones.UpstreamLoad:
    return zones.UpstreamLoad(
        name=f"u{number}",
        service="prenota",
        availability_zone=f"pa-{number % 4 + 1}",
        offered_per_s=offered_per_s,
        usual_latency_s=latency_s,
        slots=3,
    )


def _out(*names: str) -> fleet.Placement:
    return fleet.Placement(zones_out=frozenset(names))


def test_the_rest_of_a_lightly_used_service_bears_a_zone_less():
    [left] = zones.capacity_left(map(_load, range(20)), _out("pa-1"))
    assert left.upstreams_left == 15
    assert left.utilisation == pytest.approx(4000 / 9000)
    assert left.bearable


def test_an_operator_is_told_when_the_rest_can_not_bear_it():
    loads = [_load(number, offered_per_s=460.0) for number in range(20)]
    [left] = zones.capacity_left(loads, _out("pa-1"))
    assert not left.bearable
    [all_of_it] = zones.capacity_left(loads, _out())
    assert all_of_it.bearable


def test_nothing_left_bears_nothing():
    [left] = zones.capacity_left([_load(0)], _out("pa-1"))
    assert left.utilisation == math.inf
    assert not left.bearable


def test_an_upstream_without_measurements_is_taken_to_be_usual():
    loads = [_load(0), _load(1, latency_s=0.0)]
    [left] = zones.capacity_left(loads, _out("pa-1"))
    assert left.left_per_s == pytest.approx(600.0)


def test_hosts_are_out_by_their_own_name_or_by_their_zone():
    placement = fleet.Placement(
        zones_out=frozenset({"pa-1"}), hosts_out=frozenset({"u9"})
    )
    assert zones.is_out(placement, "u1", "pa-1")
    assert zones.is_out(placement, "u9", "pa-2")
    assert not zones.is_out(placement, "u2", "pa-2")


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    st.dictionaries(st.integers(0, 1023), st.floats(0, 100), max_size=200)
)
def test_paced_releases_move_every_shard_once_and_in_time(load_per_s):
    batches = zones.paced_releases(load_per_s, within_s=1.0, step_s=0.1)
    shards = [shard for batch in batches for shard in batch.shards]
    assert sorted(shards) == sorted(load_per_s)
    assert all(0 <= batch.offset_s <= 1.0 for batch in batches)
    for batch in batches:
        load = sum(load_per_s[shard] for shard in batch.shards)
        fair = sum(load_per_s.values()) / len(batches)
        assert load <= fair + max(load_per_s.values()) + 1e-6


def test_new_work_stops_first_and_the_gateway_leaves_last():
    steps = [
        zones.exit_step(True, 5, 3, True),
        zones.exit_step(False, 5, 3, True),
        zones.exit_step(False, 0, 3, True),
        zones.exit_step(False, 0, 0, True),
        zones.exit_step(False, 0, 0, False),
    ]
    assert steps == list(zones.ExitStep)


def test_a_returning_upstream_gets_its_load_back_with_its_ramp():
    weights = [zones.return_weight(limit, 4) for limit in (0, 1, 2, 4)]
    assert weights == [0.05, 0.25, 0.5, 1.0]
