"""Tests of which peers requests are sent through, and of late messages."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from sardinehill.core import exchange_messages
from sardinehill.core import forward_choice
from sardinehill.core import transit_delay

NAMES = [f"p-{index}" for index in range(12)]
REASONS = list(exchange_messages.NotSentReason)


class ForwardChoiceMachine(stateful.RuleBasedStateMachine):
    """Adds and removes peers while requests go through them."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.choice = forward_choice.ForwardChoice(random.Random(1).random)
        self.under_way = []
        self.left_s = {}

    @stateful.rule(delay_s=strategies.sampled_from([0.01, 0.1, 1.0]))
    def time_passes(self, delay_s):
        self.now_s += delay_s

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def add(self, name):
        was_serving = name in self.choice.serving
        may_add = self.choice.wants_more and not was_serving
        assert self.choice.add(name, "a") == may_add

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        reason=strategies.sampled_from(REASONS),
    )
    def not_sent(self, name, reason):
        was_serving = name in self.choice.serving
        self.choice.record_not_sent(name, reason, self.now_s)
        is_removed = reason in (
            exchange_messages.NotSentReason.CUT_OFF,
            exchange_messages.NotSentReason.STOPPING,
        )
        assert (name in self.choice.serving) == (was_serving and not is_removed)
        if is_removed:
            self.left_s[name] = self.now_s

    @stateful.rule(count=strategies.integers(1, 80))
    def send(self, count):
        for _ in range(count):
            name = self.choice.choose("a", self.now_s)
            if name is None:
                return
            assert name in self.choice.serving
            self.under_way.append(name)

    @stateful.rule(count=strategies.integers(1, 80))
    def end(self, count):
        for _ in range(min(count, len(self.under_way))):
            self.choice.end(self.under_way.pop(0))

    @stateful.invariant()
    def few_peers_are_used(self):
        assert len(self.choice.serving) <= forward_choice.MAX_SERVING_PEERS

    @stateful.invariant()
    def paused_and_serving_peers_are_not_asked(self):
        asked = self.choice.peers_to_ask(NAMES, self.now_s)
        assert not set(asked) & set(self.choice.serving)
        for name in asked:
            left_s = self.left_s.get(name, -10.0)
            assert self.now_s >= left_s + forward_choice.PEER_PAUSE_S


TestForwardChoice = ForwardChoiceMachine.TestCase
TestForwardChoice.settings = settings(max_examples=60, deadline=None)


def test_requests_are_spread_evenly_and_bounded():
    choice = forward_choice.ForwardChoice(random.Random(2).random)
    for name in NAMES[:4]:
        choice.add(name, "a")
    chosen = [choice.choose("a", 0.0) for _ in range(40)]
    assert {chosen.count(name) for name in NAMES[:4]} == {10}
    limit = 4 * forward_choice.MAX_IN_FLIGHT_PER_PEER
    while choice.choose("a", 0.0) is not None:
        chosen.append("more")
    assert len(chosen) == limit


def test_peers_that_add_no_traffic_between_zones_are_preferred_until_busy():
    choice = forward_choice.ForwardChoice(random.Random(2).random)
    choice.add("near", "a")
    choice.add("far", "b")
    near_first = forward_choice.CROSS_ZONE_REQUESTS
    chosen = [choice.choose(("a", "c"), 0.0) for _ in range(near_first + 20)]
    assert set(chosen[:near_first]) == {"near"}
    assert chosen.count("far") == 10
    assert choice.choose(("c", "b"), 0.0) == "far"


def test_busy_peer_is_used_again_after_a_moment():
    choice = forward_choice.ForwardChoice(random.Random(2).random)
    choice.add("p-0", "a")
    busy = exchange_messages.NotSentReason.BUSY
    choice.record_not_sent("p-0", busy, 1.0)
    assert choice.choose("a", 1.0) is None
    assert choice.choose("a", 1.0 + forward_choice.BUSY_PAUSE_S) == "p-0"


@given(
    strategies.lists(strategies.floats(0.0, 5.0), min_size=1, max_size=8),
    strategies.floats(-1000.0, 1000.0),
)
def test_delay_is_relative_to_the_least_delayed_message(delays_s, origin_s):
    estimate = transit_delay.TransitDelay()
    for index, delay_s in enumerate(delays_s):
        least_s = min(delays_s[: index + 1])
        measured_s = estimate.record(
            10.0 * index, 10.0 * index + delay_s + origin_s
        )
        assert abs(measured_s - (delay_s - least_s)) < 1e-6
