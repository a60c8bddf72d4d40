"""Tests of when a daemon reports to the balancer that it is ready."""

import asyncio

import pytest

from sardinehill.core import account_keys
from sardinehill.core import fleet
from sardinehill.daemon import account_admission
from sardinehill.daemon import caller_server
from sardinehill.daemon import fleet_view
from tests.cover import test_deduplication_after_moves as common

CONFIG = fleet.FleetConfig(1, ("pa-1",), {}, {}, {})


@pytest.mark.parametrize(
    ("config", "age_s", "is_ready"),
    [
        (None, 0.0, False),
        (CONFIG, 0.0, True),
        (CONFIG, account_keys.MAX_CONFIRMATION_AGE_S + 1.0, False),
    ],
)
def test_a_daemon_that_would_refuse_all_callers_is_not_ready(
    config: fleet.FleetConfig | None, age_s: float, is_ready: bool
) -> None:
    async def is_daemon_ready() -> bool:
        daemon_view = fleet_view.FleetView(
            common.SETTINGS, account_keys.KeyRing("secret"), config
        )
        bus = common.RecordingBus()
        admission = account_admission.AccountAdmission(
            daemon_view, bus, lambda: age_s
        )
        return caller_server.CallerServer(
            daemon_view, bus, admission
        ).is_ready()

    assert asyncio.run(is_daemon_ready()) is is_ready
