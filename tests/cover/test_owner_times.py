"""Tests of the time since when a key has had its owner."""

from sardinehill.core import owner_times
from sardinehill.core import placement

KEY = "wedding-7"


def assignment(version, owners, hot_owners=None, upstreams=("u1", "u2")):
    return placement.ShardAssignment(
        service="prenota",
        version=version,
        term=version,
        upstreams=upstreams,
        owners=tuple(owners),
        gateways={"u1": "d1", "u2": "d2"},
        hot_owners=hot_owners or {},
        writer_id="d1",
        nonce="n",
    )


def test_since_time_is_when_the_owner_was_first_seen():
    times = owner_times.OwnerTimes()
    shard = placement.shard_of(KEY, 2)
    before = [0, 0]
    times.observe(assignment(1, before), 10.0)
    times.observe(assignment(2, before), 20.0)
    assert times.find("prenota", KEY).since_s == 10.0
    before[shard] = 1
    times.observe(assignment(3, before), 30.0)
    found = times.find("prenota", KEY)
    assert (found.upstream, found.gateway) == ("u2", "d2")
    assert (found.since_s, found.term, found.shard) == (30.0, 3, shard)


def test_owner_under_another_index_is_the_same_owner():
    times = owner_times.OwnerTimes()
    times.observe(assignment(1, [0, 0]), 10.0)
    times.observe(assignment(2, [1, 1], upstreams=("u2", "u1")), 20.0)
    assert times.find("prenota", KEY).since_s == 10.0


def test_hot_key_has_its_own_since_time():
    times = owner_times.OwnerTimes()
    times.observe(assignment(1, [0, 0]), 10.0)
    times.observe(assignment(2, [0, 0], {KEY: "u2"}), 20.0)
    times.observe(assignment(3, [0, 0], {KEY: "u2"}), 30.0)
    assert times.find("prenota", KEY).since_s == 20.0
    times.observe(assignment(4, [0, 0]), 40.0)
    assert times.find("prenota", KEY).upstream == "u1"


def test_older_assignment_changes_nothing():
    times = owner_times.OwnerTimes()
    times.observe(assignment(2, [0, 0]), 10.0)
    times.observe(assignment(1, [1, 1]), 20.0)
    assert times.find("prenota", KEY).upstream == "u1"
    assert times.find("conti", KEY) is None
