"""Tests of outage detection and of the reads that it relies on."""

import asyncio
import contextlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sardinehill.core import account_keys
from sardinehill.core import member_roles
from sardinehill.core import membership
from sardinehill.core import outage
from sardinehill.core import replica
from sardinehill.core import store_reads
from sardinehill.daemon import outage_poller
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
    # If the store does not respond, each poll takes its whole timeout.
    end_age_s = outage.poll_age_s(gone) + outage.POLL_TIMEOUT_S
    assert end_age_s < account_keys.MAX_CONFIRMATION_AGE_S


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when it is idle."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0

    def time(self):
        return self._now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0]._when)
        super()._run_once()


class HangingFleet:
    """What a poller sees of a fleet whose store does not respond."""

    def __init__(self, name, fresh_at_s):
        self.replica = replica.Replica()
        self.replica.confirm_fresh(fresh_at_s)
        hosts = tuple(peer_network.daemon_host(each) for each in NAMES)
        self.members = membership.MemberList(1, hosts)
        self.roles = member_roles.RoleTable(self.members)
        self.host = self.members.by_name[name]
        self.is_member = True
        self.protocol = self
        self.polled_ages_s = []

    def register(self, kind, handler):
        pass

    async def ask(self, name, kind, payload, timeout_s):
        if name == self.host.name:
            now_s = asyncio.get_running_loop().time()
            self.polled_ages_s.append(self.replica.age_s(now_s))
        await asyncio.sleep(outage.STORE_ATTEMPT_TIMEOUT_S)
        return outage_poller._FAILED


@pytest.mark.parametrize("rank", range(9))
@pytest.mark.parametrize("phase_s", [0.0, 0.05, 0.1, 0.15])
def test_each_rank_polls_as_soon_as_its_replica_is_old_enough(rank, phase_s):
    async def poll():
        poller = outage_poller.OutagePoller(None, hanging, hanging)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(20.0):
                await poller.run()

    hosts = tuple(peer_network.daemon_host(name) for name in NAMES)
    roles = member_roles.RoleTable(membership.MemberList(1, hosts))
    ranked = roles.holders(member_roles.STORE_WATCHER_ROLE, len(NAMES))
    hanging = HangingFleet(ranked[rank], -phase_s)
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(poll())
    assert len(hanging.polled_ages_s) > 5
    due_age_s = outage.poll_age_s(rank)
    for age_s in hanging.polled_ages_s:
        assert due_age_s < age_s < due_age_s + 0.02


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
            assert age_s <= outage.poll_age_s(rank)

    network.run(20.0, _watch)
