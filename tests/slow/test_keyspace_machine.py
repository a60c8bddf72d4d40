"""Two owners never hold a key, whatever happens to orders."""

import dataclasses

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill.core import keyspace

HOLD_S = 2.4
KEYS = keyspace.KEY_COUNT
LIVES = (("a", 1), ("b", 1))
PARTS = 2
# A grant and its answer: both come at once, the grant comes and the answer is
# lost, the grant comes late with or without an answer, the grant never comes.
OUTCOMES = ("answered", "lost", "late", "late-lost", "never")


@dataclasses.dataclass
class Grant:
    """An order that is on its way."""

    first: int
    last: int
    life: keyspace.Life
    epoch: int
    arrives_s: float
    pending: keyspace.Pending = keyspace.Pending(0.0, 0.0)
    is_answered: bool = False


class Upstream:
    """What one upstream believes it holds, by the platform's rules."""

    def __init__(self):
        self.holds = []
        self.seen = []

    def grant(self, grant, now_s):
        for first, last, epoch in self.seen:
            overlaps = first <= grant.last and grant.first <= last
            if overlaps and epoch > grant.epoch:
                return 409
        self.seen.append((grant.first, grant.last, grant.epoch))
        # Its clock runs as slow as clocks are allowed to.
        until_s = now_s + HOLD_S * (1 + keyspace.CLOCK_DRIFT_RATIO)
        self.holds.append((grant.first, grant.last, grant.epoch, until_s))
        return 200

    def release(self, first, last):
        kept = []
        for low, high, epoch, until_s in self.holds:
            if low < first:
                kept.append((low, min(high, first - 1), epoch, until_s))
            if high > last:
                kept.append((max(low, last + 1), high, epoch, until_s))
        self.holds = kept

    def holds_key(self, key, now_s):
        return any(
            low <= key <= high and now_s < until_s
            for low, high, _, until_s in self.holds
        )


class Ownership(stateful.RuleBasedStateMachine):
    """A leader's orders, some of which are lost, late or doubled.

    The leader waits at most `ORDER_S` for an answer and closes the connection
    then, so an order arrives before that or never.
    """

    ORDER_S = 0.8
    forget_unanswered = False
    ignore_release = False
    forget_order = False
    forget_first_order = False

    def __init__(self):
        super().__init__()
        self.now_s = 10.0
        self.upstreams = {life: Upstream() for life in LIVES}
        self.assignment = keyspace.empty()
        self.in_flight = []
        self.releases = []

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 0.9, 2.6]))
    def time_passes(self, seconds):
        end_s = self.now_s + seconds
        for grant in sorted(self.in_flight, key=lambda one: one.arrives_s):
            if grant.arrives_s <= end_s:
                self.now_s = max(self.now_s, grant.arrives_s)
                status = self.upstreams[grant.life].grant(grant, self.now_s)
                if status == 200 and grant.is_answered:
                    self.answer(grant)
                self.check()
                self.in_flight.remove(grant)
        self.now_s = end_s

    @stateful.rule(
        part=st.integers(0, PARTS - 1),
        width=st.integers(1, PARTS),
        to=st.sampled_from(LIVES),
    )
    def keys_move(self, part, width, to):
        size = KEYS // PARTS
        last = min((part + width) * size, KEYS) - 1
        move = keyspace.Move(part * size, last, to)
        keyspace.apply_moves(self.assignment, [move])

    def answer(self, grant):
        """The leader hears that a grant was taken, however late."""
        for span in self.assignment.spans:
            if not (grant.first <= span.first and span.last <= grant.last):
                continue
            if span.owner == grant.life and span.epoch == grant.epoch:
                keyspace.grant_answered(span, grant.pending)
                self.take(span)
            former = span.former
            if former is not None and former.epoch == grant.epoch:
                keyspace.grant_answered(former, grant.pending)
                if not self.forget_order:
                    keyspace.note_regranted(former, self.now_s, HOLD_S)

    @stateful.rule()
    def releases_are_sent(self):
        for span in self.assignment.spans:
            if span.former is None:
                continue
            if not self.ignore_release:
                holder = self.upstreams[span.former.life]
                holder.release(span.first, span.last)
            self.releases.append((span.first, span.former.epoch, self.now_s))

    @stateful.rule()
    def releases_are_answered(self):
        for first, epoch, sent_s in self.releases:
            for span in self.assignment.spans:
                former = span.former
                if former and (span.first, former.epoch) == (first, epoch):
                    keyspace.note_released(former, sent_s)
        self.releases = []

    @stateful.rule(outcome=st.sampled_from(OUTCOMES))
    def owners_are_granted(self, outcome):
        for span in self.assignment.spans:
            if span.former is not None:
                if not keyspace.former_is_gone(span, self.now_s, is_dead=False):
                    continue
                keyspace.settle(span, None)
            if span.owner is not None:
                self.grant(span, outcome)

    def grant(self, span, outcome):
        pending = keyspace.grant_sent(span, self.now_s + self.ORDER_S, HOLD_S)
        grant = Grant(span.first, span.last, span.owner, span.epoch, self.now_s)
        grant.pending = pending
        if outcome in ("late", "late-lost"):
            grant.arrives_s = self.now_s + self.ORDER_S
            grant.is_answered = outcome == "late"
            self.in_flight.append(grant)
        elif outcome != "never":
            self.upstreams[span.owner].grant(grant, self.now_s)
        if outcome == "answered" or self.forget_unanswered:
            keyspace.grant_answered(span, pending)
            self.take(span)

    def take(self, span):
        keyspace.grant_taken(span, self.now_s, HOLD_S)
        if self.forget_first_order:
            span.unanswered_until_s = 0.0
        span.live = True

    @stateful.rule(
        to=st.sampled_from(LIVES),
        answered=st.booleans(),
        outcome=st.sampled_from(OUTCOMES),
        pause_s=st.sampled_from([0.0, 0.9]),
        granted_again=st.booleans(),
    )
    def keys_are_handed_over(
        self, to, answered, outcome, pause_s, granted_again
    ):
        """What a leader does in one go, as a search rarely strings it."""
        self.owners_are_granted(outcome)
        if granted_again:
            self.owners_are_granted("answered")
        self.keys_move(0, PARTS, to)
        self.releases_are_sent()
        self.time_passes(pause_s)
        if answered:
            self.releases_are_answered()
        self.owners_are_granted("answered")

    @stateful.rule()
    def another_daemon_leads(self):
        """The next leader knows what the store has, and a licence ended."""
        self.time_passes(self.ORDER_S)
        document = keyspace.to_document(self.assignment)
        holds_until_s = keyspace.latest_end_s(self.now_s, HOLD_S)
        self.releases = []
        self.assignment = keyspace.from_document(document, holds_until_s)
        keyspace.renew_epochs(self.assignment)
        keyspace.merge(self.assignment)

    @stateful.invariant()
    def check(self):
        for key in range(0, KEYS, KEYS // 16):
            holders = [
                life
                for life, upstream in self.upstreams.items()
                if upstream.holds_key(key, self.now_s)
            ]
            assert len(holders) <= 1, (key, holders)


class ForgetsUnanswered(Ownership):
    """A leader that takes an order without an answer as not sent."""

    forget_unanswered = True


class IgnoresHolders(Ownership):
    """Upstreams that say that they have released, and have not."""

    ignore_release = True


class ForgetsOrder(Ownership):
    """A leader that lets a release count that a grant has overtaken."""

    forget_order = True


class ForgetsFirstOrder(Ownership):
    """A leader that takes an answer to one grant as one to all before."""

    forget_first_order = True


FEW = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
# A mutant need not be shrunk: it is enough that it is found.
MANY = settings(
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=[hypothesis.Phase.generate],
)


def test_two_upstreams_never_hold_the_same_key():
    stateful.run_state_machine_as_test(Ownership, settings=FEW)


@pytest.mark.parametrize(
    "mutant",
    [ForgetsUnanswered, IgnoresHolders, ForgetsOrder, ForgetsFirstOrder],
)
def test_the_search_finds_a_leader_that_breaks_the_rule(mutant):
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(mutant, settings=MANY)
