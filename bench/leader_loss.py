"""Measures for how long keys have no owner after the loss of daemons.

Run as `python -m bench.leader_loss [--policy ac9eea9] [--seeds N]`. The shipped
decisions run in a simulated fleet by a fake clock; the policy is how a leader's
majority is counted: over the electorate, or over registrations as in ac9eea9.
"""

import argparse
from collections.abc import Callable
import dataclasses
import fractions
import functools
import logging
import random
import statistics
import time

from sardinehill.core import leader_confirmation
from sardinehill.front import leader_term
from tests.common import counted_registrations
from tests.common import electorate_world
from tests.common import process_copy

# Ticks differ between seeds, so that timers fall differently.
MIN_TICK_S = 0.1
MAX_TICK_S = 0.15
SETTLE_S = 10.0
# Losses come at any time between two reads of the lease.
MAX_PHASE_S = 4.0
ZONES = 3
MIN_DAEMONS = 3
MAX_DAEMONS = 6
UPSTREAMS = 3
# The last grants lapse earlier than this after a loss.
MIN_WATCHED_S = 7.0
SERVED_AGAIN_S = 5.0
MAX_WATCHED_S = 60.0
MIN_RESTART_S = 1.0
MAX_RESTART_S = 3.0

World = electorate_world.World


class OnlyCountsRegistrations(counted_registrations.CountsRegistrations):
    """The same without what keys show, of which ac9eea9 knew nothing."""

    def excludes_earlier(
        self,
        exclusion: leader_confirmation.KeyExclusion,
        key_share: Callable[[], fractions.Fraction],
    ) -> bool:
        """Returns whether no earlier leader sends orders for a service."""
        del exclusion, key_share
        return self.is_exclusive()


POLICIES = {
    "electorate": leader_term.LeaderTerm,
    "ac9eea9": OnlyCountsRegistrations,
}


@dataclasses.dataclass
class Loss:
    """What is lost, and which daemons come back when."""

    daemons: list[str]
    upstreams: list[str] = dataclasses.field(default_factory=list)
    restarts_s: dict[str, float] = dataclasses.field(default_factory=dict)


def _zone(name: str) -> int:
    return int(name[1:]) % ZONES


def _leader(world: World) -> str:
    return max(world.leaders(), key=lambda daemon: daemon.known.term).name


def lose_leader(world: World, choice: random.Random) -> Loss:
    """Loses the leader."""
    del choice
    return Loss([_leader(world)])


def lose_zone(world: World, choice: random.Random) -> Loss:
    """Loses the leader's zone with its upstream."""
    del choice
    zone = _zone(_leader(world))
    daemons = [name for name in world.daemons if _zone(name) == zone]
    return Loss(daemons, [f"u{zone}"])


def lose_all_but_one(world: World, choice: random.Random) -> Loss:
    """Loses all daemons but one that does not lead."""
    leader = _leader(world)
    others = sorted(name for name in world.daemons if name != leader)
    left = choice.choice(others)
    return Loss([name for name in world.daemons if name != left])


def lose_all(world: World, choice: random.Random) -> Loss:
    """Loses all daemons, which come back under their names."""
    restarts_s = {
        name: choice.uniform(MIN_RESTART_S, MAX_RESTART_S)
        for name in world.daemons
    }
    return Loss(list(world.daemons), [], restarts_s)


LOSSES: dict[str, Callable[[World, random.Random], Loss]] = {
    "leader": lose_leader,
    "zone": lose_zone,
    "all-but-one": lose_all_but_one,
    "all": lose_all,
}


def measure_loss(
    world: World, name: str, with_upstream: bool, seed: int
) -> float:
    """Returns the longest time that some keys had no owner."""
    choice = random.Random(f"{seed} {name}")
    loss = LOSSES[name](world, choice)
    if with_upstream:
        left = sorted(set(world.upstreams) - set(loss.upstreams))
        loss.upstreams.append(choice.choice(left))
    for daemon in loss.daemons:
        world.remove_daemon(daemon)
    for upstream in loss.upstreams:
        world.upstreams[upstream].is_alive = False
    return _watch(world, loss.restarts_s)


def _watch(world: World, restarts_s: dict[str, float]) -> float:
    """Runs a fleet until it has served all keys for a while."""
    began_s = served_since_s = world.now_s
    unowned_s = [0.0] * electorate_world.RANGE_COUNT
    longest_s = 0.0
    while world.now_s - began_s < MAX_WATCHED_S and (
        world.now_s - began_s < MIN_WATCHED_S
        or world.now_s - served_since_s < SERVED_AGAIN_S
    ):
        for daemon, delay_s in list(restarts_s.items()):
            if world.now_s - began_s >= delay_s:
                del restarts_s[daemon]
                world.start_daemon(daemon)
        world.tick()
        for index in range(electorate_world.RANGE_COUNT):
            is_owned = bool(world.holders(index))
            unowned_s[index] += world.tick_s
            if is_owned:
                unowned_s[index] = 0.0
        if any(unowned_s):
            served_since_s = world.now_s
        longest_s = max(longest_s, *unowned_s)
    return longest_s


def measure_seed(policy: str, seed: int) -> dict[str, float]:
    """Returns the times without an owner after each loss, by its name."""
    choice = random.Random(seed)
    daemons = choice.randint(MIN_DAEMONS, MAX_DAEMONS)
    tick_s = choice.uniform(MIN_TICK_S, MAX_TICK_S)
    world = World(daemons, UPSTREAMS, POLICIES[policy], tick_s)
    world.run(SETTLE_S + choice.uniform(0, MAX_PHASE_S))
    times_s = {}
    for name in LOSSES:
        for with_upstream in (False, True):
            label = f"{name}, an upstream" if with_upstream else name
            times_s[label] = process_copy.call_in_copy(
                functools.partial(
                    measure_loss, world, name, with_upstream, seed
                )
            )
    world.close()
    return times_s


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def report(policy: str, seeds: int) -> None:
    """Prints the times without an owner of all seeds."""
    began_s = time.monotonic()
    results = [measure_seed(policy, seed) for seed in range(seeds)]
    for label in results[0]:
        values = [result[label] for result in results]
        unserved = sum(value >= MAX_WATCHED_S / 2 for value in values)
        print(
            f"{policy}, {label}: n={len(values)}"
            f" p50={statistics.median(values):.3f}"
            f" p99={_quantile(values, 0.99):.3f} worst={max(values):.3f} s,"
            f" over {MAX_WATCHED_S / 2:.0f} s: {unserved}"
        )
    print(f"{policy}: took {time.monotonic() - began_s:.0f} s")


def main() -> None:
    """Measures the policies that the command line names."""
    parser = argparse.ArgumentParser(prog="bench.leader_loss")
    parser.add_argument("--policy", choices=[*POLICIES], default="electorate")
    parser.add_argument("--seeds", type=int, default=1000)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    report(options.policy, options.seeds)


if __name__ == "__main__":
    main()
