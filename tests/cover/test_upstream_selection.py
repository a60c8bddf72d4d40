"""Tests of the selection of an upstream."""

import random

import pytest

from sardinehill.core import upstream_selection

_NAMES = ["a", "b", "c", "d"]


@pytest.fixture
def rng() -> random.Random:
    return random.Random(7)


def _never(usable: list[str]) -> str:
    raise AssertionError(f"fell back to {usable}")


def test_round_robin_takes_turns():
    choose = upstream_selection.round_robin()
    assert [choose(_NAMES) for _ in range(5)] == ["a", "b", "c", "d", "a"]


def test_power_of_two_choices_never_takes_the_most_loaded(rng):
    load = {"a": 1, "b": 2, "c": 3, "d": 9}
    choose = upstream_selection.power_of_two_choices(rng, load.__getitem__)
    assert "d" not in {choose(_NAMES) for _ in range(200)}


def test_a_report_is_used_a_limited_number_of_times(rng):
    pool = upstream_selection.LoadReportPool(uses_per_report=4)
    for name in _NAMES:
        pool.add(name, 0, 0.005, 3, 0.0)
    choose = upstream_selection.least_expected_latency(
        rng, pool, lambda: 0.0, lambda name: 0.0, lambda usable: "fallback"
    )
    chosen = [choose(_NAMES) for _ in range(50)]
    assert max(chosen.count(name) for name in _NAMES) <= 4
    assert chosen[-1] == "fallback"


def test_a_stale_report_is_not_used(rng):
    pool = upstream_selection.LoadReportPool(max_age_s=1.0)
    pool.add("a", 0, 0.005, 3, 0.0)
    assert pool.usable_reports(["a"], 1.0)
    assert not pool.usable_reports(["a"], 1.1)
    assert pool.without_report(["a", "b"], 0.5) == ["b"]


def test_a_slow_upstream_is_passed_over(rng):
    pool = upstream_selection.LoadReportPool(uses_per_report=1000)
    for name in _NAMES:
        pool.add(name, 0, 0.05 if name == "d" else 0.005, 3, 0.0)
    choose = upstream_selection.least_expected_latency(
        rng, pool, lambda: 0.0, lambda name: 0.0, _never, sample_size=2
    )
    chosen = [choose(_NAMES) for _ in range(60)]
    assert chosen.count("d") == 0


def test_another_zone_is_chosen_only_when_it_saves_more_than_the_hop(rng):
    pool = upstream_selection.LoadReportPool(uses_per_report=1000)
    extra_s = upstream_selection.zone_hop_cost(
        {"near": "pa-1", "far": "pa-2"}, "pa-1", 0.001
    )
    choose = upstream_selection.least_expected_latency(
        rng, pool, lambda: 0.0, extra_s, _never
    )
    pool.add("near", 0, 0.005, 3, 0.0)
    pool.add("far", 0, 0.005, 3, 0.0)
    assert [choose(["far", "near"]) for _ in range(3)] == ["near"] * 3
    pool.add("near", 6, 0.005, 3, 0.0)
    assert choose(["far", "near"]) == "far"


def test_each_selector_handles_a_single_upstream(rng):
    pool = upstream_selection.LoadReportPool()
    for choose in (
        upstream_selection.random_choice(rng),
        upstream_selection.round_robin(),
        upstream_selection.power_of_two_choices(rng, lambda name: 0.0),
        upstream_selection.least_expected_latency(
            rng, pool, lambda: 0.0, lambda name: 0.0, lambda usable: usable[0]
        ),
    ):
        assert choose(["a"]) == "a"
