"""Tests of former owners that do not answer grants as they answer releases."""

from unittest import mock

import pytest

from sardinehill.core import fencing
from sardinehill.core import key_orders
from sardinehill.core import keyspace
from sardinehill.front import order_sender
from tests.common import grants_platform
from tests.common import grants_world

ALL = grants_world.PARTS


class OddGrants(grants_world.GrantsWorld):
    """Upstreams that answer grants with a failure, or not at all."""

    odd = ()
    answer = 503

    def carry_out(self, life, request, arrived_s):
        if life.name in self.odd and request.startswith(b"POST /grant"):
            return self.answer
        return super().carry_out(life, request, arrived_s)


@pytest.fixture
def simulated():
    worlds = []

    def start(**flags):
        worlds.append(type("World", (OddGrants,), flags)())
        return worlds[-1]

    yield start
    for world in worlds:
        world.close()


def are_held_by_others(world, name):
    now_s = world.loop.time()
    return all(
        any(
            life.holds(part, now_s)
            for life in world.living()
            if life.name != name
        )
        for part in range(ALL)
    )


@pytest.fixture
def without_empty_answers(monkeypatch):
    original = grants_platform.Connection._answer

    def answer(self, pending, status):
        if status is not None and not pending.done():
            original(self, pending, status)

    monkeypatch.setattr(grants_platform.Connection, "_answer", answer)


@pytest.mark.parametrize("answer", [503, None])
def test_keys_of_an_upstream_that_answers_only_releases_move(
    simulated, without_empty_answers, answer
):
    world = simulated(answer=answer)
    world.keys_move(0, ALL, "a", 1.0)
    world.odd = ("a",)
    world.keys_move(0, ALL, "b", 15.0)
    assert are_held_by_others(world, "a")
    assert not world.violations


def test_keys_of_an_upstream_that_answers_late_move_in_time(simulated):
    world = simulated()
    world.keys_move(0, ALL, "a", 1.0)
    world.orders_fare("a", "held", 2.0, 0.0)
    world.keys_move(0, ALL, "b", 5.0)
    assert are_held_by_others(world, "a")
    assert not world.violations


# Guards against this failure: each refused epoch added 1000 without a write,
# until the epochs of a term reached those of the next.
def test_refused_epochs_before_releases_stay_below_the_next_terms(simulated):
    parts = 256
    size = keyspace.KEY_COUNT // parts
    with (
        mock.patch.object(grants_world, "PARTS", parts),
        mock.patch.object(grants_world, "SIZE", size),
    ):
        world = simulated(
            allowed=("held twice", "epoch of another", "epoch of a life")
        )
        world.keys_move(0, parts, "a", 1.0)
        world.orders_fare("a", "cut", 2.0, 0.0)
        world.wanted += [
            (part * size, (part + 1) * size - 1, "bc"[part % 2])
            for part in range(parts)
        ]
        earlier = world.leaders[-1]
        earlier.manager.replan()
        world.wait(0.5)
        next_epoch = fencing.top_epoch(0, earlier.term + 1)
        world.another_daemon_leads(False, 60.0, 1.0, True)
        life = world.life_of("a")
        life.epochs.update(dict.fromkeys(range(parts), next_epoch + 500))
        world.orders_fare("a", "answered", 2.0, 10.0)
        assert earlier.manager._assignment.top_epoch < next_epoch


def test_an_epoch_before_a_release_shortens_no_earlier_leaders_grant():
    now_s = 100.0
    former = keyspace.FormerOwner(
        ("a", 1), 5, now_s - 1.0, previous_leader_until_s=now_s - 1.0
    )
    span = keyspace.Span(
        0, keyspace.KEY_COUNT - 1, ("b", 1), 6, former_owner=former
    )
    assignment = keyspace.KeyAssignment([span], 6)
    # An earlier leader's grant has just arrived.
    held_until_s = now_s + order_sender.GRANT_HOLD_S
    fence = key_orders.create_fence(
        assignment, span, now_s, now_s + 0.7, order_sender.GRANT_HOLD_S
    )
    # The term becomes exclusive before the answer.
    key_orders.extend_for_previous_leader(
        assignment,
        order_sender.earlier_orders_end_s(now_s),
        order_sender.earlier_orders_arrived_s(now_s),
    )
    key_orders.record_fence_outcome(
        assignment, fence, key_orders.GrantOutcome.ACCEPTED, now_s + 0.01
    )
    # The release gets no answer.
    assert not key_orders.former_owner_no_longer_holds(
        span, held_until_s - 0.5, False
    )
