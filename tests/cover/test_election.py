"""Tests of the order in which daemons become candidates for leader."""

import asyncio

import pytest

from sardinehill.core import electorates
from sardinehill.core import fencing
from sardinehill.core import fleet_messages
from sardinehill.front import election
from sardinehill.front import known_leader
from sardinehill.front import peer_registry


class FakePeerRegistry(peer_registry.PeerRegistry):
    """A registry with a free lease and peers that do not answer."""

    store_era = 1

    def __init__(self, name, core_shares):
        super().__init__(name, "127.0.0.1:1", core_shares[name], None)
        self.peer_addresses = dict.fromkeys(core_shares, "127.0.0.1:1")
        self.core_shares = core_shares
        self.lease_era = 1

    async def read_peers(self):
        return

    async def read_lease(self):
        return

    async def acquire_lease(self, term, electorate):
        self.lease = peer_registry.LeaderLease(
            term, self._name, electorate=electorate
        )
        return True


def resigned_table(successor, term=3):
    return fleet_messages.LeaderTable(
        term, "x", "127.0.0.1:1", 1, 2, resigned=True, successor=successor
    )


def candidate_wait_s(name, core_shares, table=None, is_cut_off=False):
    """Returns how long a candidate waits before it takes the lease."""

    async def body():
        loop = asyncio.get_running_loop()
        leader = known_leader.KnownLeader(name, loop.time)
        if table is not None:
            leader.note_term(table.term)
            leader.apply_table(table)
        candidate = election.Election(
            name,
            leader,
            FakePeerRegistry(name, core_shares),
            loop.time,
            lambda: is_cut_off,
        )
        began_s = loop.time()
        assert await candidate.try_to_lead()
        return loop.time() - began_s

    return asyncio.run(body())


@pytest.mark.parametrize("name", ["a", "b"])
def test_equal_candidate_without_answers_takes_lease_at_once(name):
    assert (
        candidate_wait_s(name, {"a": 0.86, "b": 0.86}) < election.RANK_DELAY_S
    )


def test_candidate_with_smaller_core_share_waits():
    shares = {"small": 0.43, "large": 0.72}
    assert candidate_wait_s("small", shares) >= (
        election.LOW_CORE_SHARE_DELAY_S
    )


@pytest.mark.parametrize("table", [None, resigned_table("a")])
def test_candidate_that_reaches_no_upstream_lets_others_go_first(table):
    # It leads if nobody else does, also if it was named as the successor.
    shares = {"a": 0.72, "b": 0.43}
    waited_s = candidate_wait_s("a", shares, table, is_cut_off=True)
    assert waited_s >= election.CUT_OFF_DELAY_S
    assert waited_s > candidate_wait_s("b", shares) + 3 * election.RANK_DELAY_S


def test_the_successor_that_a_resigned_leader_names_asks_no_one():
    class RecordingRegistry(FakePeerRegistry):
        calls = ()

        async def read_peers(self):
            self.calls += ("read_peers",)

        async def acquire_lease(self, term, electorate):
            self.calls += ("acquire_lease",)
            return await super().acquire_lease(term, electorate)

    async def body():
        loop = asyncio.get_running_loop()
        leader = known_leader.KnownLeader("small", loop.time)
        registry = RecordingRegistry("small", {"small": 0.43, "large": 0.72})
        term = fencing.next_term(0, registry.lease_era)
        voters = electorates.Electorate(frozenset(registry.core_shares))
        registry.lease = peer_registry.LeaderLease(term, "x", electorate=voters)
        leader.note_term(term)
        leader.apply_table(resigned_table("small", term))
        candidate = election.Election("small", leader, registry, loop.time)
        assert await candidate.try_to_lead()
        assert registry.calls == ("acquire_lease", "read_peers")

    asyncio.run(body())


def test_other_candidates_wait_for_the_named_successor():
    shares = {"a": 0.72, "b": 0.72}
    waited_s = candidate_wait_s("a", shares, resigned_table("b"))
    assert waited_s >= election.SUCCESSOR_DELAY_S


def test_a_lease_older_than_the_followed_leaders_does_not_stop_a_candidate():
    # The candidate read the lease at its start; two leaders have led since.
    class LaterLease(FakePeerRegistry):
        async def read_lease(self):
            self.lease = peer_registry.LeaderLease(3, "x")

    async def body():
        loop = asyncio.get_running_loop()
        leader = known_leader.KnownLeader("a", loop.time)
        leader.note_term(3)
        registry = LaterLease("a", {"a": 1.0})
        registry.lease = peer_registry.LeaderLease(1, "w")
        candidate = election.Election("a", leader, registry, loop.time)
        assert await candidate.try_to_lead()

    asyncio.run(body())
