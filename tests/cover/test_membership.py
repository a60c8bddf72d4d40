"""Claims about verdicts on members."""

import pytest

from sardinehill.core import fleet
from sardinehill.core import membership
from sardinehill.core import peer_messages
from sardinehill.core import steward
from tests.common import peer_network

# Three failed probes, an alarm told each second, and the stewards' ranks.
REMOVED_WITHIN_S = 10.0


def _network(count: int = 7, regions: int = 1) -> peer_network.Network:
    hosts = [
        peer_network.host(f"d{i:02}", f"z{i % 4}", f"r{i % regions}")
        for i in range(count)
    ]
    network = peer_network.Network(hosts)
    network.commit_all()
    return network


def _listed(network: peer_network.Network) -> list[str]:
    return sorted(network.store.members.by_name)


def _writes(network: peer_network.Network) -> int:
    return len(network.store.history)


@pytest.mark.parametrize("count", [3, 4, 11, 30])
def test_a_dead_member_is_removed_within_the_bound(count: int) -> None:
    network = _network(count)
    network.run(3.0)
    network.daemons["d01"].alive = False
    network.run(REMOVED_WITHIN_S)
    assert "d01" not in _listed(network)
    assert _writes(network) == 2


def test_a_one_way_cut_removes_nobody() -> None:
    network = _network()
    network.cut.add(("d00", "d01"))
    network.run(30.0)
    assert _writes(network) == 1


def test_a_flapping_link_removes_nobody() -> None:
    network = _network()
    for _ in range(10):
        network.cut |= {("d00", "d01"), ("d01", "d00")}
        network.run(4.0)
        network.cut.clear()
        network.run(1.0)
    assert _writes(network) == 1


def test_a_member_that_hears_nobody_raises_no_alarm() -> None:
    network = _network()
    # Without the store, d00 keeps the list and so its subjects.
    network.store.available = False
    network.cut |= {(f"d{i:02}", "d00") for i in range(1, 7)}
    network.run(5.0)
    assert len(network.daemons["d00"].member.members.hosts) == 7
    assert network.daemons["d00"].member.unreachable(network.now_s) == []


def test_a_resumed_monitor_forgives_what_it_did_not_hear() -> None:
    monitor = membership.Monitor("a")
    hosts = tuple(peer_network.host(name) for name in "abc")
    monitor.set_members(membership.Members(1, hosts), 0.0)
    for second in range(3):
        monitor.due(float(second))
        monitor.failed("b", float(second))
        monitor.answered("c", "c", 1, float(second))
    assert [alarm.subject for alarm in monitor.alarms(2.0)] == ["b"]
    monitor.due(60.0)
    assert monitor.alarms(60.0) == []


def test_a_short_pause_of_a_member_costs_nothing() -> None:
    network = _network()
    network.run(3.0)
    network.daemons["d01"].paused = True
    network.run(1.4)
    network.daemons["d01"].paused = False
    network.run(10.0)
    assert _writes(network) == 1


def test_a_long_paused_member_returns_by_itself() -> None:
    network = _network()
    network.daemons["d01"].paused = True
    network.run(15.0)
    assert "d01" not in _listed(network)
    network.daemons["d01"].paused = False
    network.run(6.0)
    assert "d01" in _listed(network)


def test_a_member_that_flaps_returns_later_each_time() -> None:
    network = _network()
    absences = []
    for _ in range(4):
        network.daemons["d01"].paused = True
        network.run(REMOVED_WITHIN_S)
        assert "d01" not in _listed(network)
        network.daemons["d01"].paused = False
        resumed_at_s = network.now_s
        while "d01" not in _listed(network):
            network.run(0.2)
        absences.append(network.now_s - resumed_at_s)
    assert absences[-1] > absences[0] + steward.FIRST_REJOIN_DELAY_S


def test_a_new_host_at_a_reused_address_is_not_the_member() -> None:
    monitor = membership.Monitor("a")
    hosts = tuple(peer_network.host(name) for name in "abc")
    monitor.set_members(membership.Members(1, hosts), 0.0)
    for second in range(4):
        monitor.due(float(second))
        monitor.answered("b", "another", 9, float(second))
        monitor.answered("c", "c", 1, float(second))
    assert [alarm.subject for alarm in monitor.alarms(3.0)] == ["b"]


def test_an_answer_from_before_a_restart_does_not_count() -> None:
    monitor = membership.Monitor("a")
    hosts = tuple(peer_network.host(name, incarnation=5) for name in "abc")
    monitor.set_members(membership.Members(1, hosts), 0.0)
    for second in range(4):
        monitor.due(float(second))
        monitor.answered("b", "b", 4, float(second))
        monitor.answered("c", "c", 5, float(second))
    assert [alarm.subject for alarm in monitor.alarms(3.0)] == ["b"]


def test_an_older_list_changes_nothing() -> None:
    monitor = membership.Monitor("a")
    hosts = tuple(peer_network.host(name) for name in "abc")
    assert monitor.set_members(membership.Members(5, hosts), 0.0)
    assert not monitor.set_members(membership.Members(4, hosts[:2]), 0.0)
    assert not monitor.set_members(membership.Members(5, hosts[:2]), 0.0)
    assert len(monitor.members.hosts) == 3


def test_a_rolling_restart_loses_no_member() -> None:
    network = _network(8)
    network.run(2.0)
    for name in list(network.daemons):
        old = network.daemons[name].member.host
        network.daemons[name].member.leaving = True
        network.run(2.0)
        assert name not in _listed(network)
        network.start(
            peer_network.host(
                name, old.availability_zone, incarnation=old.incarnation + 1
            )
        )
        network.run(2.0)
        assert len(_listed(network)) == 8


def test_a_quick_restart_is_one_change_of_the_list() -> None:
    network = _network()
    network.run(2.0)
    network.start(peer_network.host("d01", "z1", "r0", incarnation=2))
    network.run(10.0)
    assert _writes(network) == 2
    assert network.store.members.incarnation_of("d01") == 2


def test_a_fleet_starts_from_an_empty_store() -> None:
    hosts = [peer_network.host(f"d{i:02}") for i in range(11)]
    network = peer_network.Network(hosts)
    network.run(5.0)
    assert len(_listed(network)) == 11


def test_a_fleet_replaced_as_a_whole_forgets_the_old_one() -> None:
    network = _network(6)
    network.run(2.0)
    for daemon in network.daemons.values():
        daemon.alive = False
    for index in range(6):
        network.start(peer_network.host(f"n{index:02}"))
    live = [f"n{index:02}" for index in range(6)]

    def _platform_lists() -> None:
        for name in live:
            one = network.daemons[name].member
            one.heard_platform_hosts(live, network.now_s)

    network.run(90.0, _platform_lists)
    assert _listed(network) == live


def test_a_wrong_list_and_one_cut_link_remove_nobody() -> None:
    network = _network()
    first = network.daemons["d00"].member.duties.stewards()[0]
    victim = next(name for name in network.daemons if name != first)
    network.cut.add((victim, first))
    listed = [name for name in network.daemons if name != victim]

    def _platform_lists() -> None:
        one = network.daemons[first].member
        one.heard_platform_hosts(listed, network.now_s)

    network.run(30.0, _platform_lists)
    assert _writes(network) == 1


def test_a_region_cut_off_stays_in_the_list() -> None:
    network = _network(12, regions=3)
    inside = {
        name
        for name, daemon in network.daemons.items()
        if daemon.member.host.region == "r1"
    }
    for one in inside:
        for other in set(network.daemons) - inside:
            network.cut |= {(one, other), (other, one)}
    network.run(60.0)
    assert _writes(network) == 1


def test_a_list_never_loses_more_than_a_third_at_once() -> None:
    network = _network(9)
    network.run(2.0)
    for index in range(4):
        network.daemons[f"d{index:02}"].member.leaving = True
    network.run(10.0)
    assert len(_listed(network)) == 5
    sizes = [len(members.hosts) for members in network.store.history]
    assert sizes[0] == 9
    assert all(
        after >= before - before // 3
        for before, after in zip(sizes, sizes[1:], strict=False)
    )


def test_two_members_that_lose_each_other_both_stay() -> None:
    network = _network(2)
    network.cut |= {("d00", "d01"), ("d01", "d00")}
    network.run(30.0)
    assert _writes(network) == 1


@pytest.mark.parametrize("count", [2, 5, 11, 60])
def test_probes_and_alarms_agree_on_who_monitors_whom(count: int) -> None:
    hosts = tuple(
        peer_network.host(f"d{i:02}", "z", f"r{i % 3}") for i in range(count)
    )
    overlay = membership.Overlay(membership.Members(1, hosts))
    for one in hosts:
        monitors = overlay.monitors_of(one.name)
        assert one.name not in monitors
        assert len(set(monitors)) == len(monitors)
        pool = sum(other.region == one.region for other in hosts)
        if pool < membership.SMALLEST_MONITORED_REGION:
            pool = count
        assert len(monitors) == min(membership.REGION_RINGS, pool - 1)
        for monitor in monitors:
            assert one.name in overlay.subjects_of(monitor)


def test_an_alarm_against_an_old_start_does_not_count() -> None:
    hosts = tuple(peer_network.host(n, incarnation=2) for n in "abcd")
    members = membership.Members(1, hosts)
    overlay = membership.Overlay(members)
    one = steward.Steward("a")
    for reporter in "acd":
        one.heard_alarm(membership.Alarm(reporter, "b", 1), 0.0)
    assert one.suspects(overlay, members) == []
    for reporter in "acd":
        one.heard_alarm(membership.Alarm(reporter, "b", 2), 0.0)
    assert one.suspects(overlay, members) == ["b"]


def test_every_member_knows_itself_in_a_list_of_its_address() -> None:
    network = _network(3)
    moved = fleet.Address("127.0.0.2", 1000)
    daemon = network.daemons["d00"]
    old = daemon.member.host
    network.start(
        fleet.DaemonHost(old.name, moved, old.availability_zone, old.region, 2)
    )
    network.run(5.0)
    listed = network.store.members.by_name["d00"]
    assert listed.peer_address == moved


def test_a_minority_of_the_monitors_and_the_stewards_remove_nobody() -> None:
    network = _network(11)
    table = network.daemons["d00"].member.duties
    overlay = membership.Overlay(network.store.members)
    victim = next(n for n in network.daemons if n not in table.stewards())
    monitors = overlay.monitors_of(victim)
    assert len(monitors) == membership.REGION_RINGS
    cut_off = {*monitors[:2], *(set(network.daemons) - set(monitors))}
    network.cut |= {(victim, other) for other in cut_off - {victim}}
    network.run(30.0)
    assert _writes(network) == 1


def test_two_failed_probes_raise_no_alarm() -> None:
    monitor = membership.Monitor("a")
    hosts = tuple(peer_network.host(name) for name in "abc")
    monitor.set_members(membership.Members(1, hosts), 0.0)
    monitor.answered("c", "c", 1, 10.0)
    for failures in range(3):
        assert monitor.alarms(10.0) == []
        monitor.failed("b", float(failures))
    assert [alarm.subject for alarm in monitor.alarms(10.0)] == ["b"]


def test_a_leave_from_before_a_restart_removes_nobody() -> None:
    network = _network()
    network.run(2.0)
    network.start(peer_network.host("d01", "z1", "r0", incarnation=2))
    network.run(5.0)
    assert network.store.members.incarnation_of("d01") == 2
    writes = _writes(network)
    late = peer_messages.Leave("d01", 1)
    for daemon in network.daemons.values():
        daemon.member.receive("d01", late, network.now_s)
    network.run(5.0)
    # Had it been removed, it would have returned by now, at the cost of two
    # writes and of its duties.
    assert _writes(network) == writes
