"""Tests of upstream weights, gateway choice and electorates."""

from sardinehill.core import assignment_planning
from sardinehill.core import controller_state
from sardinehill.core import grants
from sardinehill.core import service_control


def new_controller() -> controller_state.ControllerState:
    """Returns a controller with two responsive, warmed-up upstreams."""
    controller = controller_state.ControllerState(
        "s", "me", controller_state.GrantTiming()
    )
    for name in ("u0", "u1"):
        target = grants.GrantTarget(name)
        controller.holders[target] = grants.HolderState(target, answered_s=0.0)
        controller.warm_up_began_s[name] = float("-inf")
    return controller


def service_view(out: bool) -> controller_state.ServiceView:
    """Returns a view in which the upstream `u0` is out or not."""
    return controller_state.ServiceView(
        shard_count=8,
        checks_fencing=True,
        upstreams={
            "u0": controller_state.UpstreamView("z1", out),
            "u1": controller_state.UpstreamView("z2", False),
        },
        daemons={},
        electorate=(),
    )


def test_returning_upstream_starts_with_a_small_share() -> None:
    controller = new_controller()
    assignment_planning.reset_warm_up(controller, service_view(out=True), 50.0)
    assignment_planning.reset_warm_up(controller, service_view(out=False), 50.1)
    early = assignment_planning.upstream_weights(
        controller, service_view(out=False), 50.1
    )
    assert early == {"u0": 0.1, "u1": 1.0}
    late = assignment_planning.upstream_weights(
        controller, service_view(out=False), 61.0
    )
    assert late == {"u0": 1.0, "u1": 1.0}


def test_an_upstream_taken_out_gets_no_keys() -> None:
    controller = new_controller()
    usable = assignment_planning.upstream_weights(
        controller, service_view(out=True), 1.0
    )
    assert usable == {"u1": 1.0}


def test_a_gateway_is_chosen_in_the_zone_of_its_upstream() -> None:
    daemons = {
        "near": controller_state.DaemonView("z1"),
        "far": controller_state.DaemonView("z2"),
    }
    counts = {"near": 1, "far": 0}
    chosen = assignment_planning.choose_gateway(
        "u", None, "z1", daemons, counts
    )
    assert chosen == "near"


def test_a_gateway_stays_unless_it_has_two_more_than_another() -> None:
    daemons = {name: controller_state.DaemonView("z1") for name in ("a", "b")}
    kept = assignment_planning.choose_gateway(
        "u", "a", "z1", daemons, {"a": 2, "b": 1}
    )
    changed = assignment_planning.choose_gateway(
        "u", "a", "z1", daemons, {"a": 3, "b": 1}
    )
    assert (kept, changed) == ("a", "b")


def test_electorate_spreads_over_zones_and_keeps_current_voters() -> None:
    zones = {f"h{index}": f"z{index % 3}" for index in range(11)}
    first = service_control.choose_electorate("s", (), zones, "h0")
    assert len(first) == service_control.ELECTORATE_SIZE
    per_zone = [
        sum(zones[one] == zone for one in first) for zone in set(zones.values())
    ]
    assert max(per_zone) <= 2
    del zones[first[0]]
    second = service_control.choose_electorate("s", first, zones, "h0")
    assert len(set(second) & set(first)) == service_control.ELECTORATE_SIZE - 1


def test_electorate_stays_odd_when_a_voter_is_lost() -> None:
    zones = {"a": "z1", "b": "z2", "c": "z3", "d": "z1"}
    current = ("a", "b", "c", "d", "lost")
    kept = service_control.choose_electorate("s", current, zones, "a")
    assert kept == current


def test_electorate_of_two_remaining_voters_is_the_non_controller() -> None:
    zones = {"a": "z1", "c": "z3"}
    electorate = service_control.choose_electorate(
        "s", ("a", "b", "c"), zones, "a"
    )
    assert electorate == ("c",)


def test_with_two_daemons_the_non_controller_is_the_voter() -> None:
    zones = {"a": "z1", "b": "z2"}
    assert service_control.choose_electorate("s", (), zones, "a") == ("b",)
    assert service_control.choose_electorate("s", ("b",), zones, "b") == ("a",)


def test_single_daemon_is_its_own_electorate() -> None:
    assert service_control.choose_electorate("s", ("b",), {"a": "z"}, "a") == (
        "a",
    )
