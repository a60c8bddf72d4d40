"""Tests of failure detection and of changes of the member list."""

import pytest

from sardinehill.core import fleet
from sardinehill.core import membership
from sardinehill.core import membership_coordinator
from sardinehill.core import peer_messages
from tests.common import peer_network

# Covers three failed probes, the alarms that are sent each second, and the
# delays of coordinators by rank.
MAX_REMOVAL_TIME_S = 10.0


def _network(count: int = 7, regions: int = 1) -> peer_network.Network:
    hosts = [
        peer_network.daemon_host(f"d{i:02}", f"z{i % 4}", f"r{i % regions}")
        for i in range(count)
    ]
    network = peer_network.Network(hosts)
    network.commit_all()
    return network


def _member_names(network: peer_network.Network) -> list[str]:
    return sorted(network.store.members.by_name)


def _write_count(network: peer_network.Network) -> int:
    return len(network.store.history)


@pytest.mark.parametrize("count", [3, 4, 11, 30])
def test_dead_member_is_removed_in_time(count: int) -> None:
    network = _network(count)
    network.run(3.0)
    network.daemons["d01"].is_alive = False
    network.run(MAX_REMOVAL_TIME_S)
    assert "d01" not in _member_names(network)
    assert _write_count(network) == 2


def test_one_way_cut_removes_no_member() -> None:
    network = _network()
    network.cut_links.add(("d00", "d01"))
    network.run(30.0)
    assert _write_count(network) == 1


def test_flapping_link_removes_no_member() -> None:
    network = _network()
    for _ in range(10):
        network.cut_links |= {("d00", "d01"), ("d01", "d00")}
        network.run(4.0)
        network.cut_links.clear()
        network.run(1.0)
    assert _write_count(network) == 1


def test_isolated_member_raises_no_alarm() -> None:
    network = _network()
    # While the store is unavailable, d00 keeps its list and thus its subjects.
    network.store.is_available = False
    network.cut_links |= {(f"d{i:02}", "d00") for i in range(1, 7)}
    network.run(5.0)
    assert len(network.daemons["d00"].protocol.members.hosts) == 7
    assert (
        network.daemons["d00"].protocol.unreachable_members(network.now_s) == []
    )


def test_detector_resets_after_a_local_pause() -> None:
    monitor = membership.FailureDetector("a")
    hosts = tuple(peer_network.daemon_host(name) for name in "abc")
    monitor.set_members(membership.MemberList(1, hosts), 0.0)
    for second in range(3):
        monitor.due_probes(float(second))
        monitor.record_failure("b", float(second))
        monitor.record_answer("c", "c", 1, float(second))
    assert [alarm.subject for alarm in monitor.active_alarms(2.0)] == ["b"]
    monitor.due_probes(60.0)
    assert monitor.active_alarms(60.0) == []


def test_short_pause_changes_no_list() -> None:
    network = _network()
    network.run(3.0)
    network.daemons["d01"].is_paused = True
    network.run(1.4)
    network.daemons["d01"].is_paused = False
    network.run(10.0)
    assert _write_count(network) == 1


def test_member_rejoins_after_a_long_pause() -> None:
    network = _network()
    network.daemons["d01"].is_paused = True
    network.run(15.0)
    assert "d01" not in _member_names(network)
    network.daemons["d01"].is_paused = False
    network.run(6.0)
    assert "d01" in _member_names(network)


def test_flapping_member_rejoins_with_growing_delay() -> None:
    network = _network()
    absences = []
    for _ in range(4):
        network.daemons["d01"].is_paused = True
        network.run(MAX_REMOVAL_TIME_S)
        assert "d01" not in _member_names(network)
        network.daemons["d01"].is_paused = False
        resumed_at_s = network.now_s
        while "d01" not in _member_names(network):
            network.run(0.2)
        absences.append(network.now_s - resumed_at_s)
    assert (
        absences[-1]
        > absences[0] + membership_coordinator.INITIAL_REJOIN_DELAY_S
    )


def test_answer_under_another_name_does_not_count() -> None:
    monitor = membership.FailureDetector("a")
    hosts = tuple(peer_network.daemon_host(name) for name in "abc")
    monitor.set_members(membership.MemberList(1, hosts), 0.0)
    for second in range(4):
        monitor.due_probes(float(second))
        monitor.record_answer("b", "another", 9, float(second))
        monitor.record_answer("c", "c", 1, float(second))
    assert [alarm.subject for alarm in monitor.active_alarms(3.0)] == ["b"]


def test_answer_of_an_older_incarnation_does_not_count() -> None:
    monitor = membership.FailureDetector("a")
    hosts = tuple(
        peer_network.daemon_host(name, incarnation=5) for name in "abc"
    )
    monitor.set_members(membership.MemberList(1, hosts), 0.0)
    for second in range(4):
        monitor.due_probes(float(second))
        monitor.record_answer("b", "b", 4, float(second))
        monitor.record_answer("c", "c", 5, float(second))
    assert [alarm.subject for alarm in monitor.active_alarms(3.0)] == ["b"]


def test_older_list_is_ignored() -> None:
    monitor = membership.FailureDetector("a")
    hosts = tuple(peer_network.daemon_host(name) for name in "abc")
    assert monitor.set_members(membership.MemberList(5, hosts), 0.0)
    assert not monitor.set_members(membership.MemberList(4, hosts[:2]), 0.0)
    assert not monitor.set_members(membership.MemberList(5, hosts[:2]), 0.0)
    assert len(monitor.members.hosts) == 3


def test_rolling_restart_loses_no_member() -> None:
    network = _network(8)
    network.run(2.0)
    for name in list(network.daemons):
        old = network.daemons[name].protocol.host
        network.daemons[name].protocol.leaving = True
        network.run(2.0)
        assert name not in _member_names(network)
        network.start(
            peer_network.daemon_host(
                name, old.availability_zone, incarnation=old.incarnation + 1
            )
        )
        network.run(2.0)
        assert len(_member_names(network)) == 8


def test_quick_restart_writes_the_list_once() -> None:
    network = _network()
    network.run(2.0)
    network.start(peer_network.daemon_host("d01", "z1", "r0", incarnation=2))
    network.run(10.0)
    assert _write_count(network) == 2
    assert network.store.members.incarnation_of("d01") == 2


def test_fleet_forms_from_an_empty_store() -> None:
    hosts = [peer_network.daemon_host(f"d{i:02}") for i in range(11)]
    network = peer_network.Network(hosts)
    network.run(5.0)
    assert len(_member_names(network)) == 11


def test_replaced_fleet_removes_all_old_members() -> None:
    network = _network(6)
    network.run(2.0)
    for daemon in network.daemons.values():
        daemon.is_alive = False
    for index in range(6):
        network.start(peer_network.daemon_host(f"n{index:02}"))
    live = [f"n{index:02}" for index in range(6)]

    def _update_platform_hosts() -> None:
        for name in live:
            protocol = network.daemons[name].protocol
            protocol.update_platform_hosts(live, network.now_s)

    network.run(90.0, _update_platform_hosts)
    assert _member_names(network) == live


def test_wrong_platform_list_and_one_cut_link_remove_no_member() -> None:
    network = _network()
    coordinator_name = network.daemons["d00"].protocol.roles.coordinators()[0]
    target = next(name for name in network.daemons if name != coordinator_name)
    network.cut_links.add((target, coordinator_name))
    listed = [name for name in network.daemons if name != target]

    def _update_platform_hosts() -> None:
        protocol = network.daemons[coordinator_name].protocol
        protocol.update_platform_hosts(listed, network.now_s)

    network.run(30.0, _update_platform_hosts)
    assert _write_count(network) == 1


def test_partitioned_region_stays_in_the_list() -> None:
    network = _network(12, regions=3)
    inside = {
        name
        for name, daemon in network.daemons.items()
        if daemon.protocol.host.region == "r1"
    }
    for one in inside:
        for other in set(network.daemons) - inside:
            network.cut_links |= {(one, other), (other, one)}
    network.run(60.0)
    assert _write_count(network) == 1


def test_at_most_a_third_of_the_list_is_removed_at_once() -> None:
    network = _network(9)
    network.run(2.0)
    for index in range(4):
        network.daemons[f"d{index:02}"].protocol.leaving = True
    network.run(10.0)
    assert len(_member_names(network)) == 5
    sizes = [len(members.hosts) for members in network.store.history]
    assert sizes[0] == 9
    assert all(
        after >= before - before // 3
        for before, after in zip(sizes, sizes[1:], strict=False)
    )


def test_two_members_stay_when_their_link_is_cut() -> None:
    network = _network(2)
    network.cut_links |= {("d00", "d01"), ("d01", "d00")}
    network.run(30.0)
    assert _write_count(network) == 1


@pytest.mark.parametrize("count", [2, 5, 11, 60])
def test_monitors_and_subjects_are_inverse_relations(count: int) -> None:
    hosts = tuple(
        peer_network.daemon_host(f"d{i:02}", "z", f"r{i % 3}")
        for i in range(count)
    )
    overlay = membership.Overlay(membership.MemberList(1, hosts))
    for host in hosts:
        monitors = overlay.monitors_of(host.name)
        assert host.name not in monitors
        assert len(set(monitors)) == len(monitors)
        pool = sum(other.region == host.region for other in hosts)
        if pool < membership.MIN_MONITORED_REGION_MEMBERS:
            pool = count
        assert len(monitors) == min(membership.REGION_RING_COUNT, pool - 1)
        for monitor in monitors:
            assert host.name in overlay.subjects_of(monitor)


def test_alarm_about_an_older_incarnation_does_not_count() -> None:
    hosts = tuple(peer_network.daemon_host(n, incarnation=2) for n in "abcd")
    members = membership.MemberList(1, hosts)
    overlay = membership.Overlay(members)
    coordinator = membership_coordinator.MembershipCoordinator("a")
    for reporter in "acd":
        coordinator.receive_alarm(membership.Alarm(reporter, "b", 1), 0.0)
    assert coordinator.suspects_to_probe(overlay, members) == []
    for reporter in "acd":
        coordinator.receive_alarm(membership.Alarm(reporter, "b", 2), 0.0)
    assert coordinator.suspects_to_probe(overlay, members) == ["b"]


def test_restart_updates_the_listed_address() -> None:
    network = _network(3)
    new_address = fleet.Address("127.0.0.2", 1000)
    daemon = network.daemons["d00"]
    old = daemon.protocol.host
    network.start(
        fleet.DaemonHost(
            old.name, new_address, old.availability_zone, old.region, 2
        )
    )
    network.run(5.0)
    listed = network.store.members.by_name["d00"]
    assert listed.peer_address == new_address


def test_minority_of_monitors_with_coordinators_removes_no_member() -> None:
    network = _network(11)
    table = network.daemons["d00"].protocol.roles
    overlay = membership.Overlay(network.store.members)
    target = next(n for n in network.daemons if n not in table.coordinators())
    monitors = overlay.monitors_of(target)
    assert len(monitors) == membership.REGION_RING_COUNT
    cut_off = {*monitors[:2], *(set(network.daemons) - set(monitors))}
    network.cut_links |= {(target, other) for other in cut_off - {target}}
    network.run(30.0)
    assert _write_count(network) == 1


def test_alarm_requires_three_failed_probes() -> None:
    monitor = membership.FailureDetector("a")
    hosts = tuple(peer_network.daemon_host(name) for name in "abc")
    monitor.set_members(membership.MemberList(1, hosts), 0.0)
    monitor.record_answer("c", "c", 1, 10.0)
    for failures in range(3):
        assert monitor.active_alarms(10.0) == []
        monitor.record_failure("b", float(failures))
    assert [alarm.subject for alarm in monitor.active_alarms(10.0)] == ["b"]


def test_leave_request_of_an_older_incarnation_is_ignored() -> None:
    network = _network()
    network.run(2.0)
    network.start(peer_network.daemon_host("d01", "z1", "r0", incarnation=2))
    network.run(5.0)
    assert network.store.members.incarnation_of("d01") == 2
    writes = _write_count(network)
    outdated = peer_messages.LeaveRequest("d01", 1)
    for daemon in network.daemons.values():
        daemon.protocol.receive("d01", outdated, network.now_s)
    network.run(5.0)
    # If the member had been removed, it would have rejoined by now, after two
    # writes and a move of its roles.
    assert _write_count(network) == writes


def test_member_stays_when_its_monitors_are_live_but_not_listed() -> None:
    network = _network()
    coordinator_name = network.daemons["d00"].protocol.roles.coordinators()[0]
    target = next(name for name in network.daemons if name != coordinator_name)
    network.cut_links.add((target, coordinator_name))

    def _update_platform_hosts() -> None:
        protocol = network.daemons[coordinator_name].protocol
        protocol.update_platform_hosts([], network.now_s)

    network.run(30.0, _update_platform_hosts)
    assert _write_count(network) == 1


@pytest.mark.parametrize("listed", [set(), {"d00"}, {"d00", "d06"}])
def test_wrong_platform_list_removes_no_member_from_the_smaller_side(
    listed: set[str],
) -> None:
    hosts = [
        peer_network.daemon_host(f"d{i:02}", f"z{i % 3}") for i in range(7)
    ]
    network = peer_network.Network(hosts)
    network.commit_all()
    names = [host.name for host in hosts]
    smaller = {"d00", "d04", "d06"}
    larger = set(names) - smaller
    for one in smaller:
        for other in larger:
            network.cut_links |= {(one, other), (other, one)}
    network.daemons["d04"].is_alive = False
    network.daemons["d00"].protocol.update_platform_hosts(listed, network.now_s)
    network.daemons["d06"].protocol.leaving = True
    network.start(peer_network.daemon_host("d06", "z0", incarnation=2))

    network.run(40.0)
    for members in network.store.history:
        assert larger <= members.by_name.keys()


def test_dead_writer_of_the_list_is_removed_with_its_fleet() -> None:
    network = _network(6)
    network.run(2.0)
    network.start(peer_network.daemon_host("n00"))
    network.run(3.0)
    assert network.store.members.writer_id.startswith("d")
    for name, daemon in network.daemons.items():
        daemon.is_alive = name.startswith("n")
    for index in range(1, 6):
        network.start(peer_network.daemon_host(f"n{index:02}"))
    live = [f"n{index:02}" for index in range(6)]

    def _update_platform_hosts() -> None:
        for name in live:
            protocol = network.daemons[name].protocol
            protocol.update_platform_hosts(live, network.now_s)

    network.run(90.0, _update_platform_hosts)
    assert _member_names(network) == live
