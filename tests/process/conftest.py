"""Shared fixtures: real processes, ended by their ids."""

import pytest

from tests.common import fleet


@pytest.fixture(scope="package")
def small_fleet(tmp_path_factory):
    """Yields two daemons, five upstreams and a store, up and configured."""
    under_test = fleet.FleetUnderTest(tmp_path_factory.mktemp("fleet"))
    try:
        under_test.start()
        yield under_test
    finally:
        under_test.close()
