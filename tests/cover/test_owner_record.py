"""Tests of the judge of who held keys at the same time."""

import pytest

from bench import owner_record
from standins import users_platform_upstream as upstream_module


@pytest.fixture
def upstreams():
    return [
        upstream_module.UsersPlatformUpstream(name) for name in ("i-0", "i-1")
    ]


def grant(first, last, epoch, at_s, late_s=0.0):
    return upstream_module.TakenGrant(
        first, last, epoch, at_s, at_s + late_s, at_s + 2.0
    )


def spans_of(record):
    return [
        (double.first, double.last, double.start_s, double.until_s)
        for double in record.double_holds()
    ]


def test_overlap_of_two_holds_is_found_for_the_keys_of_both(upstreams):
    one, other = upstreams
    one.orders = [grant(0, 99, 1, 10.0), grant(0, 99, 1, 11.0)]
    other.orders = [grant(50, 149, 2, 12.5)]
    record = owner_record.OwnerRecord(upstreams)
    assert spans_of(record) == [(50, 99, 12.5, 13.0)]
    assert record.low_epochs() == []


def test_release_and_end_of_an_upstream_end_its_hold(upstreams):
    one, other = upstreams
    one.orders = [
        grant(0, 99, 1, 10.0),
        upstream_module.TakenRelease(0, 49, 11.0),
    ]
    other.orders = [grant(0, 49, 2, 11.0), grant(50, 99, 3, 11.2)]
    assert spans_of(owner_record.OwnerRecord(upstreams)) == [
        (50, 99, 11.2, 12.0)
    ]
    one.ended_s = 11.1
    assert spans_of(owner_record.OwnerRecord(upstreams)) == []


def test_epoch_that_is_not_above_that_of_another_holder_is_found(upstreams):
    one, other = upstreams
    one.orders = [grant(0, 99, 5, 10.0)]
    other.orders = [grant(50, 99, 5, 20.0), grant(0, 49, 6, 20.0)]
    (low,) = owner_record.OwnerRecord(upstreams).low_epochs()
    assert (low.first, low.last, low.upstream) == (50, 99, "i-1")


def test_grants_after_a_thaw_or_carried_out_late_are_told_apart(upstreams):
    one, other = upstreams
    one.orders = [grant(0, 99, 1, 10.0)]
    other.orders = [grant(0, 99, 2, 11.0, late_s=0.5)]
    assert spans_of(owner_record.OwnerRecord(upstreams))
    for record in (
        owner_record.OwnerRecord(upstreams, thawed_s=[10.9]),
        owner_record.OwnerRecord(upstreams, counts_late_grants=False),
    ):
        assert spans_of(record) == []
