"""Compares the times without an owner after losses with those of ac9eea9."""

import logging

import pytest

from bench import leader_loss

SEEDS = range(3)
MAX_LONGER_S = 0.3


@pytest.fixture(autouse=True)
def _without_log():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_loss_lasts_longer_than_with_counted_registrations(seed):
    before_s = leader_loss.measure_seed("ac9eea9", seed)
    now_s = leader_loss.measure_seed("electorate", seed)
    longer = {
        name: (before_s[name], now_s[name])
        for name in before_s
        if now_s[name] > before_s[name] + MAX_LONGER_S
    }
    assert not longer
