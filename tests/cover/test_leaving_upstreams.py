"""Tests that all daemons learn of an upstream that has said that it leaves."""

import asyncio
import types

import pytest

from sardinehill.core import fleet_messages
from sardinehill.core import leaving_upstreams
from sardinehill.core import routes
from sardinehill.front import key_owners
from sardinehill.front import leader_tasks
from sardinehill.wire import fleet

INCARNATION = ("i-1", 5)
SAID_S = 100.0
# A daemon spends at most 13 KB a second for control.
MAX_MESSAGE_BYTES = 13_000


def upstream(incarnation):
    return routes.Upstream(
        incarnation[0], incarnation[1], "orders", "h:1", "a", 3, False, 0.0
    )


def told(news, now_s, is_passed_on=False):
    leaving = leaving_upstreams.LeavingUpstreams()
    leaving.record_news(news, now_s, is_passed_on)
    return leaving


def test_later_news_do_not_extend_the_grace():
    leaving = leaving_upstreams.LeavingUpstreams()
    leaving.record_answer(INCARNATION, SAID_S)
    leaving.record_answer(INCARNATION, SAID_S + 3.0)
    news = [fleet_messages.LeavingNews(INCARNATION, 1.0)]
    leaving.record_news(news, SAID_S + 4.0, is_passed_on=False)
    assert leaving.said_s(INCARNATION) == SAID_S


def test_another_incarnation_of_the_same_id_does_not_leave():
    leaving = leaving_upstreams.LeavingUpstreams()
    leaving.record_answer(INCARNATION, SAID_S)
    assert leaving.said_s(("i-1", 6)) is None


def test_what_is_known_is_told_once_and_to_each_new_leader():
    leaving = told([fleet_messages.LeavingNews(INCARNATION, 0.5)], SAID_S)
    assert leaving.take_unreported(SAID_S) == []
    assert leaving.take_unpublished(SAID_S) != []
    assert leaving.take_unpublished(SAID_S) == []
    leaving.report_all()
    [news] = leaving.take_unreported(SAID_S + 1.0)
    assert news == fleet_messages.LeavingNews(INCARNATION, 1.5)


def test_a_daemon_that_others_follow_passes_their_news_on():
    news = [fleet_messages.LeavingNews(INCARNATION, 0.5)]
    forwarding = told(news, SAID_S, is_passed_on=True)
    assert forwarding.take_unreported(SAID_S) == news


def test_news_of_an_upstream_that_is_not_read_yet_are_kept():
    # It said so long ago, but this daemon has just started.
    news = [fleet_messages.LeavingNews(INCARNATION, 60.0)]
    leaving = told(news, SAID_S)
    leaving.forget({}, SAID_S + 5.0)
    assert leaving.said_s(INCARNATION) is not None


@pytest.mark.parametrize("is_listed", [False, True])
def test_only_upstreams_that_do_not_exist_any_more_are_forgotten(is_listed):
    leaving = leaving_upstreams.LeavingUpstreams()
    leaving.record_answer(INCARNATION, SAID_S)
    started_at_ms = INCARNATION[1] if is_listed else 6
    listed = {"i-1": upstream(("i-1", started_at_ms))}
    leaving.forget(listed, SAID_S + 60.0)
    assert (leaving.said_s(INCARNATION) is not None) == is_listed
    assert len(leaving.take_unpublished(SAID_S)) == is_listed


@pytest.mark.parametrize("daemons", [1, 11, 60, 195, 640])
def test_messages_do_not_grow_with_the_fleet(daemons):
    """All upstreams of a zone leave at once, three for each daemon."""
    incarnations = [
        (f"i-{index:012d}", 1700000000000 + index)
        for index in range(3 * daemons)
    ]
    leader = leaving_upstreams.LeavingUpstreams()
    for index in range(daemons):
        hearing = leaving_upstreams.LeavingUpstreams()
        for incarnation in incarnations[index::daemons]:
            hearing.record_answer(incarnation, SAID_S)
        report = fleet_messages.DaemonReport("d", "h:1", 1)
        report.leaving = hearing.take_unreported(SAID_S)
        leader.record_news(report.leaving, SAID_S, is_passed_on=False)
    follower = leaving_upstreams.LeavingUpstreams()
    first_news = leader.latest_news(SAID_S)
    while leader.has_unpublished:
        table = fleet_messages.LeaderTable(1, "d", "h:1", 1, daemons)
        table.leaving = leader.take_unpublished(SAID_S)
        assert len(fleet.encode_table(table)) < MAX_MESSAGE_BYTES
        follower.record_news(table.leaving, SAID_S, is_passed_on=False)
    assert set(follower.incarnations()) == set(incarnations)
    assert len(first_news) <= leaving_upstreams.MAX_NEWS_COUNT


def make_tasks(view, leaving, owners):
    """Returns the tasks of a leader that plan one divided service."""
    unused = types.SimpleNamespace()
    tasks = leader_tasks.LeaderTasks(
        1,
        unused,
        view,
        lambda: True,
        lambda: True,
        lambda: None,
        lambda: None,
        lambda: SAID_S,
        unused,
        unused,
        unused,
        True,
        unused,
        leaving,
        lambda: True,
        lambda: True,
        lambda: True,
        lambda share: True,
        lambda: 0.0,
        lambda exclusion, share: False,
    )
    planned = []
    tasks._owners["orders"] = owners
    tasks._managers["orders"] = types.SimpleNamespace(
        replan=lambda: planned.append("orders")
    )
    return tasks, planned


@pytest.fixture
def view():
    return types.SimpleNamespace(
        upstreams={"i-1": upstream(INCARNATION), "i-2": upstream(("i-2", 5))}
    )


@pytest.fixture
def owners(view):
    owners = key_owners.KeyOwners(
        "orders", lambda: view.upstreams, frozenset, SAID_S
    )
    owners.refresh(SAID_S)
    return owners


def test_an_owner_that_told_a_daemon_that_it_leaves_gets_no_keys(view, owners):
    leaving = told([fleet_messages.LeavingNews(INCARNATION, 0.5)], SAID_S)
    tasks, planned = make_tasks(view, leaving, owners)

    async def exchange_twice():
        tasks.exchange_leaving()
        tasks.exchange_leaving()

    asyncio.run(exchange_twice())
    assert list(owners.capacities(SAID_S, lambda _: 1.0)) == [("i-2", 5)]
    assert planned == ["orders"]


@pytest.mark.parametrize("is_listed", [True, False])
def test_daemons_learn_what_an_owner_answered_to_an_order(
    view, owners, is_listed
):
    leaving = leaving_upstreams.LeavingUpstreams()
    tasks, _ = make_tasks(view, leaving, owners)
    owners.by_incarnation[INCARNATION].says_leaving = True
    if not is_listed:
        del view.upstreams["i-1"]

    async def exchange():
        tasks.exchange_leaving()

    asyncio.run(exchange())
    assert leaving.has_unpublished == is_listed
