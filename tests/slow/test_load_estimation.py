"""Tests the balance among upstreams while the popular keys change."""

import collections
import random
import statistics

from sardinehill.core import assignment_planning
from sardinehill.core import controller_state
from sardinehill.core import grants
from sardinehill.core import load_estimation
from sardinehill.core import placement
from sardinehill.core import service_control

UPSTREAMS = tuple(f"u{index}" for index in range(20))
SHARD_COUNT = 1024
KEYS = 20_000
REQUESTS = 8_000
SHIFT_WINDOWS = 15
# The popular keys of the project's brief shift within minutes; a window is two
# seconds.
SETTLED_WINDOWS = 5
IMBALANCE_LIMIT_RATIO = 1.3


def weights() -> list[float]:
    """Returns the popularity of each rank, following Zipf's law."""
    return [1.0 / (rank + 1) ** 0.9 for rank in range(KEYS)]


def imbalance(served: collections.Counter[str]) -> float:
    """Returns the load of the busiest upstream relative to the mean."""
    total = sum(served.values())
    return max(served.values()) * len(UPSTREAMS) / total


def view_of(
    estimator: load_estimation.LoadEstimator,
) -> controller_state.ServiceView:
    """Returns a controller's view in which every upstream is up."""
    return controller_state.ServiceView(
        shard_count=SHARD_COUNT,
        checks_fencing=True,
        upstreams={
            name: controller_state.UpstreamView("z", False)
            for name in UPSTREAMS
        },
        daemons={},
        electorate=(),
        shard_loads=estimator.shard_loads,
        hot_keys=estimator.hot_keys,
    )


def settle(
    controller: controller_state.ControllerState,
    estimator: load_estimation.LoadEstimator,
    now_s: float,
) -> int:
    """Applies changes until none is left and counts the moved shards."""
    moved = 0
    for _ in range(100):
        before = controller.committed
        assert before is not None
        after = assignment_planning.next_assignment(
            controller, view_of(estimator), now_s
        )
        if after == before:
            return moved
        moved += len(after.moving_shards)
        controller.committed = after
    raise AssertionError("shards keep moving")


def make_controller() -> controller_state.ControllerState:
    """Returns a controller to which every upstream has answered."""
    controller = controller_state.ControllerState(
        "s", "d", controller_state.GrantTiming()
    )
    controller.committed = controller_state.empty_assignment("s", SHARD_COUNT)
    for name in UPSTREAMS:
        target = grants.GrantTarget(name)
        controller.holders[target] = grants.HolderState(target, answered_s=0.0)
        controller.warm_up_began_s[name] = float("-inf")
    return controller


def run(seed: int) -> tuple[list[float], list[float], int]:
    """Simulates shifting keys; returns imbalances, baselines and moves."""
    rng = random.Random(seed)
    controller = make_controller()
    estimator = load_estimation.LoadEstimator(SHARD_COUNT)
    estimator.update(0.0, len(UPSTREAMS), ())
    settle(controller, estimator, 0.0)
    balanced, baseline, moved = [], [], 0
    ranks = [f"key-{index}" for index in range(KEYS)]
    for window in range(4 * SHIFT_WINDOWS):
        if window % SHIFT_WINDOWS == 0:
            rng.shuffle(ranks)
        served, static = play(rng, ranks, controller, estimator)
        if window % SHIFT_WINDOWS >= SETTLED_WINDOWS:
            balanced.append(imbalance(served))
            baseline.append(imbalance(static))
        now_s = (window + 1) * load_estimation.REPORT_WINDOW_S
        committed = controller.committed
        assert committed is not None
        estimator.update(now_s, len(UPSTREAMS), committed.hot_owners)
        moved += settle(controller, estimator, now_s)
    return balanced, baseline, moved


def play(
    rng: random.Random,
    ranks: list[str],
    controller: controller_state.ControllerState,
    estimator: load_estimation.LoadEstimator,
) -> tuple[collections.Counter[str], collections.Counter[str]]:
    """Sends one window's requests and counts them as gateways do."""
    committed = controller.committed
    assert committed is not None
    served: collections.Counter[str] = collections.Counter()
    static: collections.Counter[str] = collections.Counter()
    counts: dict[str, load_estimation.UsageCounter] = collections.defaultdict(
        load_estimation.UsageCounter
    )
    for key in rng.choices(ranks, weights(), k=REQUESTS):
        owner = placement.owner_of(committed, key)
        assert owner is not None
        shard = placement.shard_of(key, SHARD_COUNT)
        served[owner] += 1
        static[UPSTREAMS[shard % len(UPSTREAMS)]] += 1
        counts[owner].add(shard, key, key in committed.hot_owners)
    for counter in counts.values():
        estimator.add_report(counter.flush())
    return served, static


def test_shifting_hot_keys_are_spread_over_the_upstreams() -> None:
    balanced, baseline, _ = run(seed=1)
    assert statistics.mean(balanced) < IMBALANCE_LIMIT_RATIO
    excess = statistics.mean(balanced) - 1.0
    assert excess < (statistics.mean(baseline) - 1.0) / 2.0


def test_grants_are_renewed_within_a_report_window() -> None:
    assert (
        service_control.ControlTiming().grant_timing.renew_interval_s
        < load_estimation.REPORT_WINDOW_S
    )
