"""Claims about what a daemon may do as a gateway."""

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
def book() -> gateway_grants.GatewayGrants:
    book = gateway_grants.GatewayGrants("first")
    assert book.offer("s", GRANT, clock_ms=1100).accepted
    return book


def fencing_token(
    book: gateway_grants.GatewayGrants, key: str, clock_ms: int = 1200
) -> gateway_grants.FencingToken | None:
    return book.fencing_token("s", "up", key, SHARD_COUNT, clock_ms)


def test_grant_expires_one_ttl_after_its_timestamp(
    book: gateway_grants.GatewayGrants,
) -> None:
    assert fencing_token(book, "key", 1999) is not None
    assert fencing_token(book, "key", 2000) is None
    assert not book.is_gateway("s", "up", 2000)


def test_key_excepted_from_its_shard_is_not_covered(
    book: gateway_grants.GatewayGrants,
) -> None:
    assert fencing_token(book, "elsewhere") is None


def test_grant_for_another_incarnation_is_refused(
    book: gateway_grants.GatewayGrants,
) -> None:
    later = dataclasses.replace(GRANT, sequence=2, incarnation="second")
    assert not book.offer("s", later, clock_ms=1100).accepted


def test_older_grant_is_refused(book: gateway_grants.GatewayGrants) -> None:
    newer = dataclasses.replace(GRANT, term=2, sequence=1)
    assert book.offer("s", newer, clock_ms=1100).accepted
    older = dataclasses.replace(GRANT, term=1, sequence=99)
    assert not book.offer("s", older, clock_ms=1100).accepted


def test_in_flight_request_delays_release_of_its_shard(
    book: gateway_grants.GatewayGrants,
) -> None:
    shard = placement.shard_of("key", SHARD_COUNT)
    book.begin_request("s", "up", shard, "key")
    less = dataclasses.replace(GRANT, sequence=2, units=GRANT.units - {shard})
    assert book.offer("s", less, clock_ms=1100).running_outside == 1
    book.end_request("s", "up", shard, "key")
    less = dataclasses.replace(less, sequence=3)
    assert book.offer("s", less, clock_ms=1100).running_outside == 0


def test_each_request_is_reported_once(
    book: gateway_grants.GatewayGrants,
) -> None:
    shard = placement.shard_of("key", SHARD_COUNT)
    book.begin_request("s", "up", shard, "key")
    book.end_request("s", "up", shard, "key")
    report = book.take_usage_report("s", "up")
    assert report.shard_requests == {shard: 1}
    assert report.key_requests == {"key": 1}
    assert not book.take_usage_report("s", "up").shard_requests
