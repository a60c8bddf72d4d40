"""Checks what stand-in upstreams recorded about the owners of keys."""

import itertools

from tests.common import platform_fleet

SAMPLED_KEYS = range(0, 65536, 1000)


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
