"""Claims about telling an outage from being cut off."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sardinehill.core import account_keys
from sardinehill.core import duties
from sardinehill.core import outage
from sardinehill.core import reading
from tests.common import peer_network

NAMES = [f"d{number}" for number in range(9)]


@given(st.sets(st.sampled_from(NAMES)), st.sets(st.sampled_from(NAMES)))
def test_two_sides_of_a_partition_never_both_find_an_outage(
    one: set[str], other: set[str]
) -> None:
    if outage.is_outage(one, NAMES) and outage.is_outage(other, NAMES):
        assert one & other


def test_strangers_have_no_vote() -> None:
    strangers = [f"stranger-{number}" for number in range(9)]
    assert not outage.is_outage(strangers, NAMES)
    assert not outage.is_outage(NAMES[:4], NAMES)
    assert outage.is_outage(NAMES[:5], NAMES)
    assert not outage.is_outage([], [])


def test_those_further_down_ask_in_time_when_the_first_are_gone() -> None:
    gone = 3
    asked_s = outage.OTHERS_ASK_AGE_S + gone * outage.ASK_RANK_DELAY_S
    assert not outage.must_ask(asked_s, rank=gone)
    assert outage.must_ask(asked_s + 0.01, rank=gone)
    # A silent store lets every attempt wait for its time limit.
    told_s = asked_s + outage.ANSWER_TIMEOUT_S
    assert told_s < account_keys.CONFIRMED_WITHIN_S


def test_one_watcher_shows_often_that_nothing_changed() -> None:
    often = reading.SHORT_WAIT_S
    assert reading.watch_wait_s(rank=0, age_s=0.1) == often
    assert reading.watch_wait_s(rank=1, age_s=0.1) > often
    assert reading.watch_wait_s(rank=1, age_s=1.3) == often


@pytest.mark.parametrize("count", [5, 11, 60, 150])
def test_an_idle_fleet_never_asks_whether_the_store_is_down(
    count: int,
) -> None:
    hosts = [peer_network.host(f"d{i:03}") for i in range(count)]
    network = peer_network.Network(hosts)
    network.commit_all()
    table = network.daemons["d000"].member.duties
    ranked = table.holders(duties.WATCHER_DUTY, count)
    watched_at_s = {"now": 0.0, "before": 0.0}

    def _watch() -> None:
        # The first watcher's watches end after their wait, and show that
        # nothing was newer when they were asked.
        if network.now_s - watched_at_s["now"] >= reading.SHORT_WAIT_S:
            watched_at_s["before"] = watched_at_s["now"]
            watched_at_s["now"] = network.now_s
            watcher = network.daemons[ranked[0]].member
            watcher.news.confirm(watched_at_s["before"])
        if network.now_s < 8.0:
            return
        for rank, name in enumerate(ranked):
            age_s = network.daemons[name].member.news.age_s(network.now_s)
            assert not outage.must_ask(age_s, rank)

    network.run(20.0, _watch)
