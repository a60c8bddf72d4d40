"""Tests of when a daemon takes itself for cut off from all upstreams."""

import itertools

import pytest

from sardinehill.core import routes
from sardinehill.core import upstream_reach

ZONES = ("a", "b", "c")


def new_upstreams(services=("stock", "basket"), per_zone=2, zones=ZONES):
    """Returns upstreams by ids such as `stock-a-0`."""
    return {
        f"{service}-{zone}-{index}": routes.Upstream(
            f"{service}-{zone}-{index}",
            5,
            service,
            "127.0.0.1:1",
            zone,
            3,
            is_draining=False,
            cold_remaining_s=0.0,
        )
        for service, zone, index in itertools.product(
            services, zones, range(per_zone)
        )
    }


def new_reach(upstreams):
    return upstream_reach.UpstreamReach(lambda: upstreams)


def fail_all(reach, names, now_s):
    """Records failures at upstreams that have lasted for long enough."""
    for failed_s in (now_s - 2 * upstream_reach.MIN_SILENCE_S, now_s):
        for name in names:
            reach.record_failed(name, failed_s)


def cut_off_reach(now_s=10.0):
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    fail_all(reach, upstreams, now_s)
    assert reach.is_cut_off(now_s)
    return reach


def test_failures_at_three_upstreams_show_a_cut():
    reach = new_reach(new_upstreams())
    for name in ("stock-a-0", "basket-b-0"):
        reach.record_failed(name, 10.0)
        assert not reach.is_cut_off(10.0)
    assert reach.is_doubtful(10.0)
    reach.record_failed("stock-c-1", 10.3)
    assert reach.is_cut_off(10.3)


def test_repeated_failures_at_one_upstream_show_no_cut():
    # A peer that forwards requests said that it was cut off itself.
    reach = new_reach(new_upstreams())
    for now_s in (10.0, 10.4, 10.8, 11.2):
        reach.record_failed("stock-a-0", now_s)
    assert not reach.is_cut_off(11.2)
    assert not reach.is_doubtful(11.2)
    assert reach.should_probe(11.2)


def test_a_fleet_of_one_upstream_counts_as_cut_off_when_it_fails():
    reach = new_reach(new_upstreams(("stock",), 1, ("a",)))
    fail_all(reach, ["stock-a-0"], 10.0)
    assert reach.is_cut_off(10.0)
    reach.record_reached("stock-a-0", 11.0)
    assert not reach.is_cut_off(11.0)


@pytest.mark.parametrize("lost", ["-a-", "stock-"])
def test_a_lost_zone_or_service_is_no_cut(lost):
    # Also on a daemon that has no other requests under way.
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    fail_all(reach, [name for name in upstreams if lost in name], 10.0)
    assert not reach.is_cut_off(10.0)
    assert reach.is_doubtful(10.0)


def test_a_zone_cut_in_which_the_own_zone_answers_is_no_cut():
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    now_s = 10.0
    for _ in range(20):
        for name in upstreams:
            now_s += 0.01
            if "-a-" in name:
                reach.record_answer(name, now_s)
            else:
                reach.record_failed(name, now_s)
            assert not reach.is_cut_off(now_s)


def test_failures_before_a_success_do_not_count():
    reach = new_reach(new_upstreams())
    reach.record_failed("stock-a-0", 10.0)
    reach.record_failed("basket-b-0", 10.1)
    reach.record_reached("stock-b-1", 10.2)
    reach.record_failed("stock-c-0", 10.3)
    assert not reach.is_cut_off(10.3)


def test_old_failures_do_not_count():
    reach = new_reach(new_upstreams())
    for index, name in enumerate(("stock-a-0", "basket-b-0", "stock-c-0")):
        now_s = 10.0 + index * upstream_reach.FAILURE_TTL_S * 0.6
        reach.record_failed(name, now_s)
    assert not reach.is_cut_off(now_s)


def test_upstreams_that_have_left_do_not_count():
    reach = new_reach(new_upstreams())
    fail_all(reach, ["gone-1", "gone-2", "gone-3"], 10.0)
    assert not reach.is_cut_off(10.0)


def test_open_connections_that_live_on_do_not_hide_a_cut():
    # All upstreams answer on open connections and refuse new ones.
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    tried = iter(list(upstreams)[::2])
    now_s = 10.0
    for _ in range(5):
        now_s += 0.05
        reach.record_failed(next(tried), now_s)
        for name in upstreams:
            reach.record_answer(name, now_s + 0.01)
    assert reach.is_cut_off(now_s)


def test_failures_at_ended_upstreams_among_answering_ones_show_no_cut():
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    ended = {"stock-a-0", "basket-b-0", "stock-c-1", "basket-c-0"}
    for index, name in enumerate(upstreams):
        reach.record_failed("stock-a-0", 10.0 + index * 0.01)
        if name not in ended:
            reach.record_answer(name, 10.2 + index * 0.01)
    for name in ended:
        reach.record_failed(name, 10.5)
        assert not reach.is_cut_off(10.5)


def test_upstreams_that_end_at_once_are_no_cut_while_others_answer():
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    ended = ("stock-a-0", "basket-b-0", "stock-c-1", "basket-c-0")
    for now_s in (10.0, 10.05, 10.1, 10.2):
        for name in ended:
            reach.record_failed(name, now_s)
            assert not reach.is_cut_off(now_s)
        reach.record_answer("stock-a-1", now_s + 0.01)


def test_a_cut_shows_beside_an_upstream_that_was_away_before():
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    for now_s in (8.0, 9.0, 10.0):
        reach.record_failed("stock-a-0", now_s)
        for name in upstreams:
            if name != "stock-a-0":
                reach.record_answer(name, now_s)
    fail_all(reach, ("basket-a-0", "stock-b-0", "basket-c-0"), 10.4)
    assert reach.is_cut_off(10.4)


def test_answers_on_open_connections_of_others_do_not_hide_a_cut_for_long():
    # Few requests go to each upstream, so those that fail answer rarely.
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    failing = list(upstreams)[::2]
    now_s = 10.0
    for name in failing:
        assert not reach.is_cut_off(now_s)
        reach.record_failed(name, now_s)
        now_s += 0.11
        reach.record_answer("stock-a-1", now_s)
    assert reach.is_cut_off(now_s)


def test_an_attempt_that_began_before_a_success_does_not_count():
    # Daemons took themselves for cut off again just after a cut had ended.
    reach = cut_off_reach()
    for name in ("stock-a-0", "basket-b-0"):
        reach.record_reached(name, 12.0)
    for name in ("stock-a-1", "basket-b-1", "stock-c-0", "basket-c-0"):
        reach.record_failed(name, 12.2, began_s=11.9)
    assert not reach.is_cut_off(12.2)
    assert not reach.is_doubtful(12.2)


def test_connections_that_broke_make_the_state_doubtful_only():
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    for name in upstreams:
        reach.record_broken(name, 10.0)
    assert reach.is_doubtful(10.0)
    assert not reach.is_cut_off(10.0)
    reach.record_reached("stock-a-0", 10.1)
    assert not reach.is_doubtful(10.1)


def test_two_upstreams_that_are_reached_end_a_cut():
    reach = cut_off_reach()
    reach.record_reached("stock-a-0", 11.0)
    reach.record_reached("stock-a-0", 11.2)
    assert reach.is_cut_off(11.2)
    reach.record_reached("basket-b-0", 11.3)
    assert not reach.is_cut_off(11.3)


def test_a_cut_lasts_without_new_evidence():
    reach = cut_off_reach(10.0)
    reach.record_answer("stock-a-0", 20.0)
    assert reach.is_cut_off(30.0)


def test_a_reached_upstream_that_fails_again_does_not_end_a_cut():
    reach = cut_off_reach()
    reach.record_reached("stock-a-0", 11.0)
    reach.record_failed("stock-a-0", 11.1)
    reach.record_reached("basket-b-0", 11.2)
    assert reach.is_cut_off(11.2)


def test_listeners_are_told_of_each_change_once():
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    changes = []
    reach.subscribe(changes.append)
    fail_all(reach, upstreams, 10.0)
    for name in upstreams:
        reach.record_reached(name, 11.0)
    assert changes == [True, False]
    assert reach.was_cut_off_since(10.5)
    assert not reach.was_cut_off_since(11.5)


def test_what_is_known_of_upstreams_that_have_left_is_forgotten():
    upstreams = new_upstreams()
    reach = new_reach(upstreams)
    for name in list(upstreams):
        reach.record_failed(name, 10.0)
        reach.record_answer(name, 10.0)
        del upstreams[name]
    reach.forget_unlisted()
    assert reach.answered_since(0.0) == set()
    upstreams.update(new_upstreams())
    assert reach.failed(10.0) == set()
