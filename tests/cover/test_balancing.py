"""Tests of which and how many shards move, and of hot keys."""

import collections
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sardinehill.core import balancing

SHARD_COUNT = 512
CHURN_LIMIT_RATIO = 1.2
IMBALANCE_LIMIT_RATIO = 1.3


def names(count: int) -> list[str]:
    """Returns the names of `count` upstreams."""
    return [f"u{index}" for index in range(count)]


def settle(
    owners: list[str | None],
    loads: list[float],
    weights: dict[str, float],
    lost_upstreams: frozenset[str] = frozenset(),
) -> int:
    """Moves shards until the plan is empty; returns how many changed owner."""
    moved = 0
    for _ in range(200):
        moves = balancing.plan_moves(
            balancing.RebalanceInput(
                owners, loads, weights, lost_upstreams=lost_upstreams
            )
        )
        if not moves:
            return moved
        moved += sum(owners[shard] is not None for shard in moves)
        for shard, owner in moves.items():
            owners[shard] = owner
    raise AssertionError("shards keep moving")


def loads_by_upstream(
    owners: list[str | None], loads: list[float]
) -> dict[str, float]:
    """Returns each upstream's load."""
    totals: dict[str, float] = collections.defaultdict(float)
    for owner, load in zip(owners, loads, strict=True):
        totals[owner or ""] += load
    return totals


def balanced_assignment(count: int) -> tuple[list[str | None], list[float]]:
    """Returns a balanced assignment of equal shards to some upstreams."""
    owners: list[str | None] = [None] * SHARD_COUNT
    loads = [1.0] * SHARD_COUNT
    settle(owners, loads, dict.fromkeys(names(count), 1.0))
    return owners, loads


@pytest.mark.parametrize("count", [5, 20, 30])
def test_an_upstream_that_leaves_moves_only_its_own_shards(
    count: int,
) -> None:
    owners, loads = balanced_assignment(count)
    lost_shards = loads_by_upstream(owners, loads)["u0"]
    weights = dict.fromkeys(names(count)[1:], 1.0)
    moved = settle(owners, loads, weights)
    assert moved <= CHURN_LIMIT_RATIO * lost_shards


@pytest.mark.parametrize("count", [5, 20, 30])
def test_an_upstream_that_joins_moves_no_more_than_its_share(
    count: int,
) -> None:
    owners, loads = balanced_assignment(count)
    weights = dict.fromkeys(names(count + 1), 1.0)
    moved = settle(owners, loads, weights)
    assert moved <= CHURN_LIMIT_RATIO * SHARD_COUNT / (count + 1)
    assert loads_by_upstream(owners, loads)[
        f"u{count}"
    ] >= 0.7 * SHARD_COUNT / (count + 1)


@given(seed=st.integers(0, 1000), count=st.integers(2, 30))
@settings(max_examples=40, derandomize=True, deadline=None)
def test_uneven_shards_end_within_the_limit(seed: int, count: int) -> None:
    rng = random.Random(seed)
    loads = [rng.uniform(0.5, 3.0) for _ in range(SHARD_COUNT)]
    owners: list[str | None] = [
        rng.choice(names(count)) for _ in range(SHARD_COUNT)
    ]
    settle(owners, loads, dict.fromkeys(names(count), 1.0))
    totals = loads_by_upstream(owners, loads)
    mean = sum(loads) / count
    assert max(totals.values()) <= IMBALANCE_LIMIT_RATIO * mean


def test_a_balanced_fleet_moves_nothing() -> None:
    owners, loads = balanced_assignment(7)
    assert settle(owners, loads, dict.fromkeys(names(7), 1.0)) == 0


def test_shards_of_removed_hosts_move_in_steps() -> None:
    owners, loads = balanced_assignment(4)
    moves = balancing.plan_moves(
        balancing.RebalanceInput(
            owners, loads, dict.fromkeys(names(4)[1:], 1.0), orphan_budget=10
        )
    )
    assert len(moves) == 10


def test_shards_of_a_lost_upstream_move_at_once() -> None:
    owners, loads = balanced_assignment(4)
    lost_shards = loads_by_upstream(owners, loads)["u0"]
    moves = balancing.plan_moves(
        balancing.RebalanceInput(
            owners,
            loads,
            dict.fromkeys(names(4)[1:], 1.0),
            orphan_budget=10,
            lost_upstreams=frozenset(["u0"]),
        )
    )
    assert len(moves) == lost_shards


def test_hot_keys_are_found_in_bounded_space() -> None:
    rng = random.Random(1)
    top = balancing.TopKeys(capacity_keys=128)
    for _ in range(20_000):
        hot = rng.random() < 0.3
        key = (
            f"hot-{rng.randrange(10)}"
            if hot
            else f"cold-{rng.randrange(100_000)}"
        )
        top.add(key)
    found = balancing.select_hot_keys(top.shares(), frozenset(), 0.02)
    assert found == {f"hot-{index}" for index in range(10)}


def test_a_key_on_the_threshold_stays_where_it_is() -> None:
    shares = {"key": 0.011}
    assert not balancing.select_hot_keys(shares, frozenset(), 0.02)
    assert balancing.select_hot_keys(shares, frozenset(["key"]), 0.02)
