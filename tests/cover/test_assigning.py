"""Claims about which upstreams and daemons are given work."""

from sardinehill.core import assigning
from sardinehill.core import control_state
from sardinehill.core import controlling
from sardinehill.core import grants


def made_controller() -> control_state.Controller:
    """Returns a controller to which two upstreams have long answered."""
    controller = control_state.Controller(
        "s", "me", control_state.OwnershipTiming()
    )
    for name in ("u0", "u1"):
        target = grants.Target(name)
        controller.holders[target] = grants.Holder(target, answered_s=0.0)
        controller.known_since_s[name] = float("-inf")
    return controller


def view(out: bool) -> control_state.View:
    """Returns a view in which one upstream is out or not."""
    return control_state.View(
        shard_count=8,
        checks_fencing=True,
        upstreams={
            "u0": control_state.UpstreamView("z1", out),
            "u1": control_state.UpstreamView("z2", False),
        },
        daemons={},
        electorate=(),
    )


def test_an_upstream_that_comes_back_begins_with_a_small_share() -> None:
    controller = made_controller()
    assigning.note_taken_out(controller, view(out=True), 50.0)
    assigning.note_taken_out(controller, view(out=False), 50.1)
    early = assigning.usable_upstreams(controller, view(out=False), 50.1)
    assert early == {"u0": 0.1, "u1": 1.0}
    late = assigning.usable_upstreams(controller, view(out=False), 61.0)
    assert late == {"u0": 1.0, "u1": 1.0}


def test_an_upstream_taken_out_gets_no_keys() -> None:
    controller = made_controller()
    usable = assigning.usable_upstreams(controller, view(out=True), 1.0)
    assert usable == {"u1": 1.0}


def test_a_gateway_is_chosen_in_the_zone_of_its_upstream() -> None:
    daemons = {
        "near": control_state.DaemonView("z1"),
        "far": control_state.DaemonView("z2"),
    }
    counts = {"near": 1, "far": 0}
    chosen = assigning.choose_gateway("u", None, "z1", daemons, counts)
    assert chosen == "near"


def test_a_gateway_stays_unless_it_has_two_more_than_another() -> None:
    daemons = {name: control_state.DaemonView("z1") for name in ("a", "b")}
    stays = assigning.choose_gateway("u", "a", "z1", daemons, {"a": 2, "b": 1})
    moves = assigning.choose_gateway("u", "a", "z1", daemons, {"a": 3, "b": 1})
    assert (stays, moves) == ("a", "b")


def test_an_electorate_spreads_over_zones_and_keeps_who_is_there() -> None:
    zones = {f"h{index}": f"z{index % 3}" for index in range(11)}
    first = controlling.choose_electorate("s", (), zones, "h0")
    assert len(first) == controlling.ELECTORATE_SIZE
    per_zone = [
        sum(zones[one] == zone for one in first) for zone in set(zones.values())
    ]
    assert max(per_zone) <= 2
    del zones[first[0]]
    second = controlling.choose_electorate("s", first, zones, "h0")
    assert len(set(second) & set(first)) == controlling.ELECTORATE_SIZE - 1


def test_an_electorate_is_not_made_even_by_one_that_is_lost() -> None:
    zones = {"a": "z1", "b": "z2", "c": "z3", "d": "z1"}
    current = ("a", "b", "c", "d", "lost")
    kept = controlling.choose_electorate("s", current, zones, "a")
    assert kept == current


def test_one_of_three_lost_leaves_the_one_that_does_not_control() -> None:
    zones = {"a": "z1", "c": "z3"}
    left = controlling.choose_electorate("s", ("a", "b", "c"), zones, "a")
    assert left == ("c",)


def test_of_two_daemons_the_one_that_does_not_control_counts() -> None:
    zones = {"a": "z1", "b": "z2"}
    assert controlling.choose_electorate("s", (), zones, "a") == ("b",)
    assert controlling.choose_electorate("s", ("b",), zones, "b") == ("a",)


def test_a_daemon_alone_counts_itself() -> None:
    assert controlling.choose_electorate("s", ("b",), {"a": "z"}, "a") == ("a",)
