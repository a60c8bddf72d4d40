"""Tests of outage detection and of the reads that it relies on."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sardinehill.core import account_keys
from sardinehill.core import member_roles
from sardinehill.core import outage
from sardinehill.core import store_reads
from tests.common import peer_network

NAMES = [f"d{number}" for number in range(9)]


@given(st.sets(st.sampled_from(NAMES)), st.sets(st.sampled_from(NAMES)))
def test_disjoint_sides_of_a_partition_never_both_find_an_outage(
    one: set[str], other: set[str]
) -> None:
    if outage.is_outage(one, NAMES) and outage.is_outage(other, NAMES):
        assert one & other


def test_daemons_outside_the_list_have_no_vote() -> None:
    strangers = [f"stranger-{number}" for number in range(9)]
    assert not outage.is_outage(strangers, NAMES)
    assert not outage.is_outage(NAMES[:4], NAMES)
    assert outage.is_outage(NAMES[:5], NAMES)
    assert not outage.is_outage([], [])


def test_lower_ranks_poll_in_time_when_higher_ranks_are_gone() -> None:
    gone = 3
    poll_age_s = (
        outage.LOWER_RANK_POLL_AGE_S + gone * outage.POLL_DELAY_PER_RANK_S
    )
    assert not outage.should_poll(poll_age_s, rank=gone)
    assert outage.should_poll(poll_age_s + 0.01, rank=gone)
    # If the store does not respond, each poll takes its whole timeout.
    end_age_s = poll_age_s + outage.POLL_TIMEOUT_S
    assert end_age_s < account_keys.MAX_CONFIRMATION_AGE_S


def test_only_the_first_watcher_uses_short_waits() -> None:
    short_wait_s = store_reads.SHORT_WATCH_WAIT_S
    assert store_reads.watch_wait_s(rank=0, age_s=0.1) == short_wait_s
    assert store_reads.watch_wait_s(rank=1, age_s=0.1) > short_wait_s
    assert store_reads.watch_wait_s(rank=1, age_s=1.3) == short_wait_s


@pytest.mark.parametrize("count", [5, 11, 60, 150])
def test_idle_fleet_never_polls_for_an_outage(
    count: int,
) -> None:
    hosts = [peer_network.daemon_host(f"d{i:03}") for i in range(count)]
    network = peer_network.Network(hosts)
    network.commit_all()
    table = network.daemons["d000"].protocol.roles
    ranked = table.holders(member_roles.STORE_WATCHER_ROLE, count)
    watched_at_s = {"now": 0.0, "before": 0.0}

    def _watch() -> None:
        # Each watch of the first watcher ends after its wait and confirms the
        # state at the time of its request.
        if (
            network.now_s - watched_at_s["now"]
            >= store_reads.SHORT_WATCH_WAIT_S
        ):
            watched_at_s["before"] = watched_at_s["now"]
            watched_at_s["now"] = network.now_s
            watcher = network.daemons[ranked[0]].protocol
            watcher.replica.confirm_fresh(watched_at_s["before"])
        if network.now_s < 8.0:
            return
        for rank, name in enumerate(ranked):
            age_s = network.daemons[name].protocol.replica.age_s(network.now_s)
            assert not outage.should_poll(age_s, rank)

    network.run(20.0, _watch)
