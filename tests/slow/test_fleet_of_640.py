"""Tests of replication and membership in a simulated fleet of 640 daemons."""

import random

import pytest

from sardinehill.core import membership
from sardinehill.core import replica
from tests.common import peer_network

DAEMON_COUNT = 640
LOSS_RATIO = 0.1
MAX_PROPAGATION_S = 3.0
MAX_BYTES_PER_S = 13_000
CHANGES_PER_S = 2_300 / 86_400
# Larger than the configuration of 100 services.
BODY_BYTES = 20_000
# Random bytes, which cannot be compressed.
BODY = random.Random(1).randbytes(BODY_BYTES)


def _fleet(measured: bool) -> peer_network.Network:
    hosts = [
        peer_network.daemon_host(f"d{i:03}", f"z{i % 6}", f"r{i % 3}")
        for i in range(DAEMON_COUNT)
    ]
    network = peer_network.Network(
        hosts, loss_ratio=LOSS_RATIO, measures_bytes=measured
    )
    network.commit_all()
    return network


@pytest.fixture(scope="module")
def network() -> peer_network.Network:
    network = _fleet(measured=True)
    network.run(2.0)
    return network


def _traffic_bytes(network: peer_network.Network) -> dict[str, int]:
    return {
        name: max(daemon.sent_bytes, daemon.received_bytes)
        for name, daemon in network.daemons.items()
    }


def _late_daemons(network: peer_network.Network, version: int) -> list[str]:
    """Makes a change at a watcher and returns the daemons that got it late."""
    watcher = network.daemons["d000"].protocol.roles.store_watchers()[0]
    item = replica.Item("config", "fleet", version, BODY)
    network.offer(watcher, item)
    deadline_s = network.now_s + MAX_PROPAGATION_S
    network.run(MAX_PROPAGATION_S)
    return [
        name
        for name, daemon in network.daemons.items()
        if daemon.accepted_at_s.get(("fleet", version), deadline_s + 1)
        > deadline_s
    ]


def test_changes_reach_all_daemons_within_time_and_traffic_limits(
    network: peer_network.Network,
) -> None:
    start = _traffic_bytes(network)
    network.run(MAX_PROPAGATION_S)
    idle = _traffic_bytes(network)
    changes = 2
    for version in range(1, changes + 1):
        assert _late_daemons(network, version) == []
    end = _traffic_bytes(network)
    for name in network.daemons:
        idle_bytes = idle[name] - start[name]
        change_bytes = (end[name] - idle[name]) / changes - idle_bytes
        bytes_per_s = (
            idle_bytes / MAX_PROPAGATION_S + change_bytes * CHANGES_PER_S
        )
        assert bytes_per_s < MAX_BYTES_PER_S, name


def test_message_loss_removes_no_member(network: peer_network.Network) -> None:
    version = network.store.members.version
    network.run(2.0)
    assert network.store.members.version == version == 1


def test_monitors_per_member_do_not_grow_with_the_fleet() -> None:
    counts = {}
    for size in (20, 640):
        hosts = [peer_network.daemon_host(f"d{i:03}") for i in range(size)]
        overlay = membership.Overlay(membership.MemberList(1, tuple(hosts)))
        counts[size] = max(len(overlay.monitors_of(one.name)) for one in hosts)
        assert all(
            len(overlay.monitors_of(one.name)) == membership.REGION_RING_COUNT
            for one in hosts
        )
    assert counts[20] == counts[640]
