"""Defines fixtures that run real processes."""

import pytest

from tests.common import fleet


@pytest.fixture(scope="package")
def small_fleet(tmp_path_factory):
    """Yields a running fleet of two daemons, five upstreams and a store."""
    fleet_under_test = fleet.FleetUnderTest(tmp_path_factory.mktemp("fleet"))
    try:
        fleet_under_test.start()
        yield fleet_under_test
    finally:
        fleet_under_test.close()
