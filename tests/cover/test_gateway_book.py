"""Claims about what a daemon may do as a gateway."""

import dataclasses

import pytest

from sardinehill.core import gateway_book
from sardinehill.core import grants
from sardinehill.core import placement

SHARD_COUNT = 8
GRANT = grants.Grant(
    target=grants.Target("up", "me"),
    term=1,
    sequence=1,
    units=frozenset({grants.GATEWAY_ROLE, *range(SHARD_COUNT)}),
    except_keys=frozenset(["elsewhere"]),
    ttl_s=1.0,
    incarnation="first",
    stamp_ms=1000,
)


@pytest.fixture
def book() -> gateway_book.GatewayBook:
    book = gateway_book.GatewayBook("first")
    assert book.offer("s", GRANT, clock_ms=1100).accepted
    return book


def fence(
    book: gateway_book.GatewayBook, key: str, clock_ms: int = 1200
) -> gateway_book.Fence | None:
    return book.fence("s", "up", key, SHARD_COUNT, clock_ms)


def test_a_grant_ends_one_ttl_after_its_stamp(
    book: gateway_book.GatewayBook,
) -> None:
    assert fence(book, "key", 1999) is not None
    assert fence(book, "key", 2000) is None
    assert not book.is_gateway("s", "up", 2000)


def test_a_key_split_out_of_its_shard_is_not_covered(
    book: gateway_book.GatewayBook,
) -> None:
    assert fence(book, "elsewhere") is None


def test_a_grant_for_another_start_is_refused(
    book: gateway_book.GatewayBook,
) -> None:
    later = dataclasses.replace(GRANT, sequence=2, incarnation="second")
    assert not book.offer("s", later, clock_ms=1100).accepted


def test_an_older_grant_is_refused(book: gateway_book.GatewayBook) -> None:
    newer = dataclasses.replace(GRANT, term=2, sequence=1)
    assert book.offer("s", newer, clock_ms=1100).accepted
    older = dataclasses.replace(GRANT, term=1, sequence=99)
    assert not book.offer("s", older, clock_ms=1100).accepted


def test_a_request_in_flight_holds_its_shard_back(
    book: gateway_book.GatewayBook,
) -> None:
    shard = placement.shard_of("key", SHARD_COUNT)
    book.begin("s", "up", shard, "key")
    less = dataclasses.replace(GRANT, sequence=2, units=GRANT.units - {shard})
    assert book.offer("s", less, clock_ms=1100).running_outside == 1
    book.end("s", "up", shard, "key")
    less = dataclasses.replace(less, sequence=3)
    assert book.offer("s", less, clock_ms=1100).running_outside == 0


def test_requests_are_reported_once(book: gateway_book.GatewayBook) -> None:
    shard = placement.shard_of("key", SHARD_COUNT)
    book.begin("s", "up", shard, "key")
    book.end("s", "up", shard, "key")
    report = book.take_report("s", "up")
    assert report.shards == {shard: 1}
    assert report.keys == {"key": 1}
    assert not book.take_report("s", "up").shards
