"""Checks what stand-in upstreams recorded about the owners of keys."""

from collections.abc import Collection
from collections.abc import Sequence
import itertools

from bench import owner_record
from standins import users_platform_upstream as upstream_module
from tests.common import platform_fleet

SAMPLED_KEYS = range(0, 65536, 1000)
# RULES.md, OWNER: "hold the same keys for over half a second".
MAX_DOUBLE_HOLD_S = 0.5
# How many requests of each holder a message names.
MAX_NAMED_RUNS = 2


def check_held_once(
    lives: Sequence[upstream_module.UsersPlatformUpstream],
    thawed_s: Collection[float] = (),
    counts_late_grants: bool = True,
) -> None:
    """Checks that no two incarnations held the same keys."""
    record = owner_record.OwnerRecord(lives, thawed_s, counts_late_grants)
    low_epochs = record.low_epochs()
    assert low_epochs == [], low_epochs
    broken = [
        _describe(double)
        for double in record.double_holds()
        if double.both_ran
        or double.until_s - double.start_s > MAX_DOUBLE_HOLD_S
    ]
    assert broken == [], "\n".join(broken)


def _describe(double: owner_record.DoubleHold) -> str:
    holders = " and ".join(
        f"{hold.upstream.name} under epoch {hold.epoch}"
        for hold in double.holds
    )
    runs = [
        run.request_id
        for hold in double.holds
        for run in double.runs_of(hold)[:MAX_NAMED_RUNS]
    ]
    return (
        f"keys {double.first} to {double.last} held by {holders} for "
        f"{double.until_s - double.start_s:.2f} s, both ran {double.both_ran}: "
        + ", ".join(runs)
    )


def check_owners(fleet: platform_fleet.PlatformFleet) -> None:
    """Checks that keys had one owner at a time, under rising epochs."""
    holdings_count = 0
    for key in SAMPLED_KEYS:
        holdings = sorted(
            (
                (holding, upstream.name)
                for upstream in fleet.upstreams.values()
                for holding in upstream.holdings_of(key)
            ),
            key=lambda item: item[0].since_s,
        )
        holdings_count += len(holdings)
        for (earlier, before), (later, after) in itertools.combinations(
            holdings, 2
        ):
            if before == after:
                continue
            assert earlier.until_s <= later.since_s, (key, before, after)
            assert earlier.epoch < later.epoch, (key, before, after)
    assert holdings_count >= len(SAMPLED_KEYS)
