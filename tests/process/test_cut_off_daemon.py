"""Tests of who leads while daemons reach the store, but no upstream."""

import asyncio
import itertools
import time

import pytest

from tests.common import cut_off_fleet
from tests.common import upstream_gates

# By then the leader must have handed over and the keys be confirmed again.
HANDOVER_S = 3.0
REGAIN_S = 1.0
KEYS = (0, 30000, 65535)


@pytest.fixture
def fleet(tmp_path):
    fleet = cut_off_fleet.CutOffFleet(tmp_path)
    try:
        for daemon in fleet.daemons:
            fleet.run(fleet.wait_until_served(daemon))
        yield fleet
    finally:
        fleet.close()


def terms_by_leader(fleet):
    """Returns the terms that each daemon has led."""
    return {
        daemon.name: [event["term"] for event in daemon.events("lease-taken")]
        for daemon in fleet.daemons
    }


async def send_for(fleet, daemons, seconds):
    """Sends requests to daemons in turn; returns the statuses by daemon."""
    statuses = {daemon.name: [] for daemon in daemons}
    end_s = time.monotonic() + seconds
    turns = zip(itertools.count(), itertools.cycle(daemons))
    while time.monotonic() < end_s:
        number, daemon = next(turns)
        reply = await fleet.send_request(
            daemon, "/stock/a", KEYS[number % len(KEYS)], f"r-{number}-{end_s}"
        )
        statuses[daemon.name].append(reply.status)
        await asyncio.sleep(0.02)
    return statuses


def test_leader_that_reaches_no_upstream_hands_over_and_keys_stay(fleet):
    async def body():
        led = terms_by_leader(fleet)
        leader, others = fleet.leader(), fleet.followers()
        fleet.cut_off(leader, cut=upstream_gates.HANG)
        await send_for(fleet, others, HANDOVER_S)
        after = await send_for(fleet, others, 2.0)
        assert {status for all_ in after.values() for status in all_} == {200}
        assert leader.events("daemon-cut-off")
        led_during = terms_by_leader(fleet)
        assert led_during[leader.name] == led[leader.name]
        assert sum(len(terms) for terms in led_during.values()) == 2
        # The cut-off daemon serves through its peers.
        through_peers = await send_for(fleet, [leader], 1.0)
        assert set(through_peers[leader.name]) == {200}
        # It does not take the lead back.
        fleet.reconnect(leader)
        await send_for(fleet, fleet.daemons, REGAIN_S)
        assert len(leader.events("reach-regained")) == 1
        assert terms_by_leader(fleet) == led_during

    fleet.run(body())


def test_followers_that_reach_no_upstream_change_nothing_for_the_others(fleet):
    async def body():
        led = terms_by_leader(fleet)
        leader = fleet.leader()
        fleet.cut_off(*fleet.followers(), cut=upstream_gates.HANG)
        statuses = await send_for(fleet, [leader], HANDOVER_S)
        assert set(statuses[leader.name]) == {200}
        assert terms_by_leader(fleet) == led
        assert not leader.events("daemon-cut-off")

    fleet.run(body())
