"""Defines fixtures that run real processes, and reports what they leave."""

import pathlib

import pytest

from bench import evidence
from tests.common import fleet

MAX_FAILURE_CHARS = 2000


@pytest.fixture(scope="package")
def small_fleet(tmp_path_factory):
    """Yields a running fleet of two daemons, five upstreams and a store."""
    fleet_under_test = fleet.FleetUnderTest(tmp_path_factory.mktemp("fleet"))
    try:
        fleet_under_test.start()
        yield fleet_under_test
    finally:
        fleet_under_test.close()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Adds to a failure where the files are and the lines that show its cause.

    pytest itself removes the files of tests that passed.
    """
    report = yield
    if report.failed and call.excinfo is not None:
        failure = str(call.excinfo.value)[:MAX_FAILURE_CHARS]
        report.sections += [
            ("evidence", evidence.describe(directory, [failure]))
            for directory in _run_directories(item)
        ]
    return report


def _run_directories(item):
    """Returns the directories of the test's processes, from its fixtures."""
    values = [
        getattr(value, "directory", value) for value in item.funcargs.values()
    ]
    directories = {value for value in values if isinstance(value, pathlib.Path)}
    return [
        directory
        for directory in sorted(directories)
        if evidence.run_files(directory)
    ]
