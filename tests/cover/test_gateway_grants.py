"""Tests of the grants, requests in flight and usage counts of a gateway."""

import dataclasses

import pytest

from sardinehill.core import gateway_grants
from sardinehill.core import grants
from sardinehill.core import placement

SHARD_COUNT = 8
GRANT = grants.Grant(
    target=grants.GrantTarget("up", "me"),
    term=1,
    sequence=1,
    units=frozenset({grants.GATEWAY_ROLE, *range(SHARD_COUNT)}),
    except_keys=frozenset(["elsewhere"]),
    ttl_s=1.0,
    incarnation="first",
    stamp_ms=1000,
)


@pytest.fixture
def held_grants() -> gateway_grants.GatewayGrants:
    held_grants = gateway_grants.GatewayGrants("first")
    assert held_grants.offer("s", GRANT, clock_ms=1100).accepted
    return held_grants


def fencing_token(
    held_grants: gateway_grants.GatewayGrants, key: str, clock_ms: int = 1200
) -> gateway_grants.FencingToken | None:
    return held_grants.fencing_token("s", "up", key, SHARD_COUNT, clock_ms)


def test_grant_expires_one_ttl_after_its_timestamp(
    held_grants: gateway_grants.GatewayGrants,
) -> None:
    assert fencing_token(held_grants, "key", 1999) is not None
    assert fencing_token(held_grants, "key", 2000) is None
    assert not held_grants.is_gateway("s", "up", 2000)


def test_key_excepted_from_its_shard_is_not_covered(
    held_grants: gateway_grants.GatewayGrants,
) -> None:
    assert fencing_token(held_grants, "elsewhere") is None


def test_grant_for_another_incarnation_is_refused(
    held_grants: gateway_grants.GatewayGrants,
) -> None:
    later = dataclasses.replace(GRANT, sequence=2, incarnation="second")
    assert not held_grants.offer("s", later, clock_ms=1100).accepted


def test_older_grant_is_refused(
    held_grants: gateway_grants.GatewayGrants,
) -> None:
    newer = dataclasses.replace(GRANT, term=2, sequence=1)
    assert held_grants.offer("s", newer, clock_ms=1100).accepted
    older = dataclasses.replace(GRANT, term=1, sequence=99)
    assert not held_grants.offer("s", older, clock_ms=1100).accepted


def test_in_flight_request_delays_release_of_its_shard(
    held_grants: gateway_grants.GatewayGrants,
) -> None:
    shard = placement.shard_of("key", SHARD_COUNT)
    held_grants.begin_request("s", "up", shard, "key")
    less = dataclasses.replace(GRANT, sequence=2, units=GRANT.units - {shard})
    assert held_grants.offer("s", less, clock_ms=1100).running_outside == 1
    held_grants.end_request("s", "up", shard, "key")
    less = dataclasses.replace(less, sequence=3)
    assert held_grants.offer("s", less, clock_ms=1100).running_outside == 0


def test_each_request_is_reported_once(
    held_grants: gateway_grants.GatewayGrants,
) -> None:
    shard = placement.shard_of("key", SHARD_COUNT)
    held_grants.begin_request("s", "up", shard, "key")
    held_grants.end_request("s", "up", shard, "key")
    report = held_grants.take_usage_report("s", "up")
    assert report.shard_requests == {shard: 1}
    assert report.key_requests == {"key": 1}
    assert not held_grants.take_usage_report("s", "up").shard_requests
