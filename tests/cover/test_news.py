"""Claims about versions of news and how fresh they are."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sardinehill.core import account_keys
from sardinehill.core import member
from sardinehill.core import membership
from sardinehill.core import news
from sardinehill.core import peer_messages
from tests.common import peer_network


def _item(version: int, name: str = "fleet") -> news.Item:
    return news.Item("config", name, version, str(version).encode())


@given(st.lists(st.integers(1, 9), min_size=1))
def test_the_highest_version_stays_whatever_the_order(
    versions: list[int],
) -> None:
    table = news.NewsTable()
    taken = [version for version in versions if table.offer(_item(version))]
    assert taken == sorted(set(taken))
    found = table.get("config", "fleet")
    assert found is not None
    assert found.version == max(versions)


@given(st.permutations([(1, "a"), (2, "b"), (3, "a"), (4, "c")]))
def test_equal_tables_have_equal_digests(
    order: list[tuple[int, str]],
) -> None:
    table = news.NewsTable()
    for version, name in order:
        table.offer(_item(version, name))
    other = news.NewsTable()
    for version, name in ((4, "c"), (2, "b"), (3, "a")):
        other.offer(_item(version, name))
    assert table.digest == other.digest
    assert table.digest != news.NewsTable().digest


def test_a_list_older_than_an_item_does_not_delete_it() -> None:
    table = news.NewsTable()
    table.offer(_item(7))
    assert table.listed("config", [], revision=6) == []


def test_a_newer_list_deletes_what_it_lacks() -> None:
    table = news.NewsTable()
    table.offer(_item(7))
    (gone,) = table.listed("config", [], revision=9)
    assert table.offer(gone)
    assert table.get("config", "fleet") is None
    assert not table.offer(_item(8))
    assert table.offer(_item(10))


def test_freshness_of_other_news_is_not_taken_over() -> None:
    table = news.NewsTable()
    table.offer(_item(1))
    other = news.NewsTable()
    other.offer(_item(2))
    table.hear_age(other.digest, age_s=0.0, asked_at_s=10.0)
    assert table.age_s(10.0) == float("inf")


def test_freshness_is_counted_from_the_question() -> None:
    table = news.NewsTable()
    table.hear_age(table.digest, age_s=2.0, asked_at_s=10.0)
    assert table.age_s(15.0) == pytest.approx(7.0)


def test_freshness_never_goes_back() -> None:
    table = news.NewsTable()
    table.confirm(10.0)
    table.hear_age(table.digest, age_s=5.0, asked_at_s=11.0)
    assert table.age_s(11.0) == pytest.approx(1.0)


@pytest.mark.parametrize("count", [11, 200])
def test_freshness_spreads_from_one_watcher_to_all(count: int) -> None:
    hosts = [peer_network.host(f"d{i:03}") for i in range(count)]
    network = peer_network.Network(hosts)
    network.commit_all()
    watcher = network.daemons["d000"].member
    ages = []

    def _watch() -> None:
        # As a watch that waits for a second does.
        if network.now_s % 1.0 < peer_network.TICK_S:
            watcher.news.confirm(network.now_s)
        if network.now_s > 6.0:
            ages.extend(
                daemon.member.news.age_s(network.now_s)
                for daemon in network.daemons.values()
            )

    network.run(12.0, _watch)
    assert max(ages) < account_keys.CONFIRMED_WITHIN_S


def test_a_body_is_asked_of_another_when_the_first_is_silent() -> None:
    hosts = [peer_network.host(name) for name in "abc"]
    network = peer_network.Network(hosts)
    network.commit_all()
    network.offer("a", _item(1))
    network.cut.add(("a", "c"))
    network.run(3.0)
    found = network.daemons["c"].member.news.get("config", "fleet")
    assert found == _item(1)


def test_a_body_is_sent_once_to_each_member() -> None:
    hosts = [peer_network.host(f"d{i:02}") for i in range(40)]
    network = peer_network.Network(hosts, measured=True)
    network.commit_all()
    network.run(2.0)
    body_bytes = 100_000
    before = {n: d.received_bytes for n, d in network.daemons.items()}
    network.offer(
        "d00",
        news.Item("config", "fleet", 1, random.Random(1).randbytes(body_bytes)),
    )
    network.run(1.0)
    for name, daemon in network.daemons.items():
        assert daemon.received_bytes - before[name] < 1.2 * body_bytes


def test_a_table_is_answered_with_what_it_lacks() -> None:
    one = member.Member(peer_network.host("a"), lambda item: None)
    one.offer(_item(3))
    table = peer_messages.Notices((_item(2).notice,), complete=True)
    (answer,) = one.receive("b", table, 0.0)
    assert answer == peer_messages.Outgoing(
        "b", peer_messages.Notices((_item(3).notice,))
    )
    part = peer_messages.Notices((_item(2).notice,))
    assert one.receive("b", part, 0.0) == []


def test_contacts_take_turns() -> None:
    one = member.Member(peer_network.host("a"), lambda item: None)
    met = []
    for second in range(3):
        one.set_contacts(["b", "c", "d", "e"])
        met += [out.to for out in one.tick(float(second))]
    assert met == ["b", "c", "d", "e", "b", "c"]


def test_a_member_that_asks_in_vain_asks_less_often() -> None:
    # The busiest of 640 members sent 15 KB a second while nothing changed:
    # all asked the way to a watcher that knew nothing fresher in each tick.
    network = peer_network.Network([peer_network.host(n) for n in ("a", "b")])
    network.commit_all()
    asked = 0
    one = network.daemons["a"].member
    for tick in range(1, 101):
        now_s = tick * member.TICK_INTERVAL_S
        for out in one.tick(now_s):
            if isinstance(out.message, peer_messages.Heartbeat):
                asked += 1
                for answer in network.daemons["b"].member.receive(
                    "a", out.message, now_s
                ):
                    one.receive("b", answer.message, now_s)
    heartbeats = 20 / membership.PROBE_INTERVAL_S
    assert heartbeats <= asked < 2 * heartbeats


def test_a_member_that_knows_no_age_confirms_nothing() -> None:
    network = peer_network.Network([peer_network.host(n) for n in ("a", "b")])
    network.commit_all()
    network.run(5.0)
    assert network.daemons["a"].member.news.fresh_at_s == float("-inf")
