"""Claims about balance while the popular keys shift."""

import collections
import random
import statistics

from sardinehill.core import assigning
from sardinehill.core import control_state
from sardinehill.core import controlling
from sardinehill.core import grants
from sardinehill.core import placement
from sardinehill.core import popularity

UPSTREAMS = tuple(f"u{index}" for index in range(20))
SHARD_COUNT = 1024
KEYS = 20_000
REQUESTS = 8_000
SHIFT_WINDOWS = 15
# The brief's keys shift within minutes; a window is two seconds.
SETTLED_WINDOWS = 5
IMBALANCE_LIMIT_RATIO = 1.3


def weights() -> list[float]:
    """Returns how popular the key of each rank is, after Zipf."""
    return [1.0 / (rank + 1) ** 0.9 for rank in range(KEYS)]


def imbalance(served: collections.Counter[str]) -> float:
    """Returns the load of the busiest upstream over the mean."""
    total = sum(served.values())
    return max(served.values()) * len(UPSTREAMS) / total


def view_of(known: popularity.Popularity) -> control_state.View:
    """Returns the controller's view, every upstream up."""
    return control_state.View(
        shard_count=SHARD_COUNT,
        checks_fencing=True,
        upstreams={
            name: control_state.UpstreamView("z", False) for name in UPSTREAMS
        },
        daemons={},
        electorate=(),
        shard_loads=known.shard_loads,
        hot_keys=known.hot_keys,
    )


def settle(
    controller: control_state.Controller,
    known: popularity.Popularity,
    now_s: float,
) -> int:
    """Applies changes until there is none; returns how many shards moved."""
    moved = 0
    for _ in range(100):
        before = controller.committed
        assert before is not None
        after = assigning.next_assignment(controller, view_of(known), now_s)
        if after == before:
            return moved
        moved += len(after.moving_shards)
        controller.committed = after
    raise AssertionError("the moves never end")


def made_controller() -> control_state.Controller:
    """Returns a controller to which every upstream answers."""
    controller = control_state.Controller(
        "s", "d", control_state.OwnershipTiming()
    )
    controller.committed = control_state.empty_assignment("s", SHARD_COUNT)
    for name in UPSTREAMS:
        target = grants.Target(name)
        controller.holders[target] = grants.Holder(target, answered_s=0.0)
        controller.known_since_s[name] = float("-inf")
    return controller


def run(seed: int) -> tuple[list[float], list[float], int]:
    """Plays shifting requests; returns imbalance, baseline's and moves."""
    source = random.Random(seed)
    controller = made_controller()
    known = popularity.Popularity(SHARD_COUNT)
    known.update(0.0, len(UPSTREAMS), ())
    settle(controller, known, 0.0)
    ours, baseline, moved = [], [], 0
    ranks = [f"key-{index}" for index in range(KEYS)]
    for window in range(4 * SHIFT_WINDOWS):
        if window % SHIFT_WINDOWS == 0:
            source.shuffle(ranks)
        served, fixed = play(source, ranks, controller, known)
        if window % SHIFT_WINDOWS >= SETTLED_WINDOWS:
            ours.append(imbalance(served))
            baseline.append(imbalance(fixed))
        now_s = (window + 1) * popularity.WINDOW_S
        committed = controller.committed
        assert committed is not None
        known.update(now_s, len(UPSTREAMS), committed.hot_owners)
        moved += settle(controller, known, now_s)
    return ours, baseline, moved


def play(
    source: random.Random,
    ranks: list[str],
    controller: control_state.Controller,
    known: popularity.Popularity,
) -> tuple[collections.Counter[str], collections.Counter[str]]:
    """Sends one window's requests, and counts as the gateways do."""
    committed = controller.committed
    assert committed is not None
    served: collections.Counter[str] = collections.Counter()
    fixed: collections.Counter[str] = collections.Counter()
    counts: dict[str, popularity.Counts] = collections.defaultdict(
        popularity.Counts
    )
    for key in source.choices(ranks, weights(), k=REQUESTS):
        owner = placement.owner_of(committed, key)
        assert owner is not None
        shard = placement.shard_of(key, SHARD_COUNT)
        served[owner] += 1
        fixed[UPSTREAMS[shard % len(UPSTREAMS)]] += 1
        counts[owner].add(shard, key, key in committed.hot_owners)
    for each in counts.values():
        known.add(each.take())
    return served, fixed


def test_a_moving_peak_is_spread_over_the_upstreams() -> None:
    ours, baseline, _ = run(seed=1)
    assert statistics.mean(ours) < IMBALANCE_LIMIT_RATIO
    excess = statistics.mean(ours) - 1.0
    assert excess < (statistics.mean(baseline) - 1.0) / 2.0


def test_the_timing_of_a_window_is_that_of_the_daemon() -> None:
    assert controlling.Timing().of_grants.renew_s < popularity.WINDOW_S
