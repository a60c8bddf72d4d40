"""Tests of replica versions, digests and freshness, and of replication."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sardinehill.core import account_keys
from sardinehill.core import membership
from sardinehill.core import peer_messages
from sardinehill.core import peer_protocol
from sardinehill.core import replica
from tests.common import peer_network


def _item(version: int, name: str = "fleet") -> replica.Item:
    return replica.Item("config", name, version, str(version).encode())


@given(st.lists(st.integers(1, 9), min_size=1))
def test_highest_version_wins_in_any_order(
    versions: list[int],
) -> None:
    local = replica.Replica()
    taken = [version for version in versions if local.offer(_item(version))]
    assert taken == sorted(set(taken))
    found = local.get("config", "fleet")
    assert found is not None
    assert found.version == max(versions)


@given(st.permutations([(1, "a"), (2, "b"), (3, "a"), (4, "c")]))
def test_equal_replicas_have_equal_digests(
    order: list[tuple[int, str]],
) -> None:
    local = replica.Replica()
    for version, name in order:
        local.offer(_item(version, name))
    other = replica.Replica()
    for version, name in ((4, "c"), (2, "b"), (3, "a")):
        other.offer(_item(version, name))
    assert local.digest == other.digest
    assert local.digest != replica.Replica().digest


def test_older_list_does_not_delete_an_item() -> None:
    local = replica.Replica()
    local.offer(_item(7))
    assert local.changes_from_list("config", [], revision=6) == []


def test_newer_list_deletes_missing_items() -> None:
    local = replica.Replica()
    local.offer(_item(7))
    (deleted_item,) = local.changes_from_list("config", [], revision=9)
    assert local.offer(deleted_item)
    assert local.get("config", "fleet") is None
    assert not local.offer(_item(8))
    assert local.offer(_item(10))


def test_age_of_a_different_replica_is_ignored() -> None:
    local = replica.Replica()
    local.offer(_item(1))
    other = replica.Replica()
    other.offer(_item(2))
    local.adopt_peer_age(other.digest, age_s=0.0, asked_at_s=10.0)
    assert local.age_s(10.0) == float("inf")


def test_peer_age_is_counted_from_the_request() -> None:
    local = replica.Replica()
    local.adopt_peer_age(local.digest, age_s=2.0, asked_at_s=10.0)
    assert local.age_s(15.0) == pytest.approx(7.0)


def test_freshness_never_decreases() -> None:
    local = replica.Replica()
    local.confirm_fresh(10.0)
    local.adopt_peer_age(local.digest, age_s=5.0, asked_at_s=11.0)
    assert local.age_s(11.0) == pytest.approx(1.0)


@pytest.mark.parametrize("count", [11, 200])
def test_freshness_spreads_from_one_watcher(count: int) -> None:
    hosts = [peer_network.daemon_host(f"d{i:03}") for i in range(count)]
    network = peer_network.Network(hosts)
    network.commit_all()
    watcher = network.daemons["d000"].protocol
    ages = []

    def _watch() -> None:
        # Confirms once per second, as a watch that waits for a second does.
        if network.now_s % 1.0 < peer_network.TICK_S:
            watcher.replica.confirm_fresh(network.now_s)
        if network.now_s > 6.0:
            ages.extend(
                daemon.protocol.replica.age_s(network.now_s)
                for daemon in network.daemons.values()
            )

    network.run(12.0, _watch)
    assert max(ages) < account_keys.MAX_CONFIRMATION_AGE_S


def test_body_is_requested_from_another_peer_after_a_timeout() -> None:
    hosts = [peer_network.daemon_host(name) for name in "abc"]
    network = peer_network.Network(hosts)
    network.commit_all()
    network.offer("a", _item(1))
    network.cut_links.add(("a", "c"))
    network.run(3.0)
    found = network.daemons["c"].protocol.replica.get("config", "fleet")
    assert found == _item(1)


def test_body_is_sent_once_to_each_member() -> None:
    hosts = [peer_network.daemon_host(f"d{i:02}") for i in range(40)]
    network = peer_network.Network(hosts, measures_bytes=True)
    network.commit_all()
    network.run(2.0)
    body_bytes = 100_000
    before = {n: d.received_bytes for n, d in network.daemons.items()}
    network.offer(
        "d00",
        replica.Item(
            "config", "fleet", 1, random.Random(1).randbytes(body_bytes)
        ),
    )
    network.run(1.0)
    for name, daemon in network.daemons.items():
        assert daemon.received_bytes - before[name] < 1.2 * body_bytes


def test_complete_notices_are_answered_with_missing_versions() -> None:
    protocol = peer_protocol.PeerProtocol(
        peer_network.daemon_host("a"), lambda item: None
    )
    protocol.offer(_item(3))
    complete_notices = peer_messages.VersionNotices(
        (_item(2).version_notice,), complete=True
    )
    (answer,) = protocol.receive("b", complete_notices, 0.0)
    assert answer == peer_messages.OutgoingMessage(
        "b", peer_messages.VersionNotices((_item(3).version_notice,))
    )
    partial_notices = peer_messages.VersionNotices((_item(2).version_notice,))
    assert protocol.receive("b", partial_notices, 0.0) == []


def test_contacts_are_used_in_rotation() -> None:
    protocol = peer_protocol.PeerProtocol(
        peer_network.daemon_host("a"), lambda item: None
    )
    contacted = []
    for second in range(3):
        protocol.set_contacts(["b", "c", "d", "e"])
        contacted += [out.recipient for out in protocol.tick(float(second))]
    assert contacted == ["b", "c", "d", "e", "b", "c"]


def test_unsuccessful_pulls_back_off() -> None:
    # Without the backoff, each member polled its next hop towards a watcher in
    # every tick while that hop had nothing newer, and the busiest of 640
    # members sent 15 KB per second although nothing had changed.
    network = peer_network.Network(
        [peer_network.daemon_host(n) for n in ("a", "b")]
    )
    network.commit_all()
    heartbeats_sent = 0
    protocol = network.daemons["a"].protocol
    for tick in range(1, 101):
        now_s = tick * peer_protocol.TICK_INTERVAL_S
        for out in protocol.tick(now_s):
            if isinstance(out.message, peer_messages.Heartbeat):
                heartbeats_sent += 1
                for answer in network.daemons["b"].protocol.receive(
                    "a", out.message, now_s
                ):
                    protocol.receive("b", answer.message, now_s)
    probe_heartbeats = 20 / membership.PROBE_INTERVAL_S
    assert probe_heartbeats <= heartbeats_sent < 2 * probe_heartbeats


def test_unknown_age_confirms_nothing() -> None:
    network = peer_network.Network(
        [peer_network.daemon_host(n) for n in ("a", "b")]
    )
    network.commit_all()
    network.run(5.0)
    assert network.daemons["a"].protocol.replica.fresh_at_s == float("-inf")
