"""Claims about the choice of an upstream."""

import random

import pytest

from sardinehill.core import choice

_NAMES = ["a", "b", "c", "d"]


@pytest.fixture
def rng() -> random.Random:
    return random.Random(7)


def _never(usable: list[str]) -> str:
    raise AssertionError(f"fell back to {usable}")


def test_round_robin_takes_turns():
    choose = choice.round_robin()
    assert [choose(_NAMES) for _ in range(5)] == ["a", "b", "c", "d", "a"]


def test_least_of_two_never_takes_the_most_loaded(rng):
    load = {"a": 1, "b": 2, "c": 3, "d": 9}
    choose = choice.least_of_two(rng, load.__getitem__)
    assert "d" not in {choose(_NAMES) for _ in range(200)}


def test_a_report_serves_a_few_choices_and_no_more(rng):
    pool = choice.ReportPool(uses=4)
    for name in _NAMES:
        pool.add(name, 0, 0.005, 3, 0.0)
    choose = choice.by_reports(
        rng, pool, lambda: 0.0, lambda name: 0.0, lambda usable: "fallback"
    )
    chosen = [choose(_NAMES) for _ in range(50)]
    assert max(chosen.count(name) for name in _NAMES) <= 4
    assert chosen[-1] == "fallback"


def test_a_stale_report_is_not_used(rng):
    pool = choice.ReportPool(fresh_s=1.0)
    pool.add("a", 0, 0.005, 3, 0.0)
    assert pool.usable(["a"], 1.0)
    assert not pool.usable(["a"], 1.1)
    assert pool.unknown(["a", "b"], 0.5) == ["b"]


def test_a_slow_upstream_is_passed_over(rng):
    pool = choice.ReportPool(uses=1000)
    for name in _NAMES:
        pool.add(name, 0, 0.05 if name == "d" else 0.005, 3, 0.0)
    choose = choice.by_reports(
        rng, pool, lambda: 0.0, lambda name: 0.0, _never, sample=2
    )
    chosen = [choose(_NAMES) for _ in range(60)]
    assert chosen.count("d") == 0


def test_the_hop_into_another_zone_is_paid_only_when_it_saves_more(rng):
    pool = choice.ReportPool(uses=1000)
    extra_s = choice.hop_cost({"near": "pa-1", "far": "pa-2"}, "pa-1", 0.001)
    choose = choice.by_reports(rng, pool, lambda: 0.0, extra_s, _never)
    pool.add("near", 0, 0.005, 3, 0.0)
    pool.add("far", 0, 0.005, 3, 0.0)
    assert [choose(["far", "near"]) for _ in range(3)] == ["near"] * 3
    pool.add("near", 6, 0.005, 3, 0.0)
    assert choose(["far", "near"]) == "far"


def test_a_chooser_serves_a_service_of_one(rng):
    pool = choice.ReportPool()
    for choose in (
        choice.at_random(rng),
        choice.round_robin(),
        choice.least_of_two(rng, lambda name: 0.0),
        choice.by_reports(
            rng, pool, lambda: 0.0, lambda name: 0.0, lambda usable: usable[0]
        ),
    ):
        assert choose(["a"]) == "a"
