"""Tests of the evacuation and return of zones and hosts."""

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
        typical_latency_s=latency_s,
        slots=3,
    )


def _excluding_zones(*names: str) -> fleet.PlacementExclusions:
    return fleet.PlacementExclusions(zones_out=frozenset(names))


def test_lightly_loaded_service_can_lose_a_zone():
    [left] = zones.remaining_capacity(
        map(_load, range(20)), _excluding_zones("pa-1")
    )
    assert left.remaining_upstreams == 15
    assert left.utilization == pytest.approx(4000 / 9000)
    assert left.is_sufficient


def test_insufficient_remaining_capacity_is_reported():
    loads = [_load(number, offered_per_s=460.0) for number in range(20)]
    [left] = zones.remaining_capacity(loads, _excluding_zones("pa-1"))
    assert not left.is_sufficient
    [without_exclusions] = zones.remaining_capacity(loads, _excluding_zones())
    assert without_exclusions.is_sufficient


def test_no_remaining_upstream_is_insufficient():
    [left] = zones.remaining_capacity([_load(0)], _excluding_zones("pa-1"))
    assert left.utilization == math.inf
    assert not left.is_sufficient


def test_unmeasured_upstream_uses_the_typical_latency():
    loads = [_load(0), _load(1, latency_s=0.0)]
    [left] = zones.remaining_capacity(loads, _excluding_zones("pa-1"))
    assert left.capacity_per_s == pytest.approx(600.0)


def test_hosts_are_excluded_by_name_or_zone():
    placement = fleet.PlacementExclusions(
        zones_out=frozenset({"pa-1"}), hosts_out=frozenset({"u9"})
    )
    assert zones.is_excluded(placement, "u1", "pa-1")
    assert zones.is_excluded(placement, "u9", "pa-2")
    assert not zones.is_excluded(placement, "u2", "pa-2")


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    st.dictionaries(st.integers(0, 1023), st.floats(0, 100), max_size=200)
)
def test_release_batches_move_every_shard_once_and_in_time(load_per_s):
    batches = zones.plan_release_batches(
        load_per_s, deadline_s=1.0, min_interval_s=0.1
    )
    shards = [shard for batch in batches for shard in batch.shards]
    assert sorted(shards) == sorted(load_per_s)
    assert all(0 <= batch.offset_s <= 1.0 for batch in batches)
    for batch in batches:
        load = sum(load_per_s[shard] for shard in batch.shards)
        fair = sum(load_per_s.values()) / len(batches)
        assert load <= fair + max(load_per_s.values()) + 1e-6


def test_evacuation_steps_are_in_order():
    steps = [
        zones.next_evacuation_step(True, 5, 3, True),
        zones.next_evacuation_step(False, 5, 3, True),
        zones.next_evacuation_step(False, 0, 3, True),
        zones.next_evacuation_step(False, 0, 0, True),
        zones.next_evacuation_step(False, 0, 0, False),
    ]
    assert steps == list(zones.EvacuationStep)


def test_returning_upstream_weight_follows_its_ramp():
    weights = [
        zones.returning_upstream_weight(limit, 4) for limit in (0, 1, 2, 4)
    ]
    assert weights == [0.05, 0.25, 0.5, 1.0]
