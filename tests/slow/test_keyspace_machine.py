"""Searches for sequences of orders that give two upstreams the same key.

An order is a grant or a release; see `core.key_orders`.
"""

import dataclasses

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill.core import key_orders
from sardinehill.core import keyspace

HOLD_S = 2.4
KEYS = keyspace.KEY_COUNT
INCARNATIONS = (("a", 1), ("b", 1))
PARTS = 2
# What happens to a grant and its answer: both arrive at once, the grant arrives
# and the answer is lost, the grant arrives late with or without an answer, the
# grant arrives after its connection was closed, it arrives but is carried out
# seconds later, or it never arrives.
FENCE_OUTCOMES = (
    "answered",
    "lost",
    "late",
    "late-lost",
    "closed",
    "carried-out-late",
    "never",
)
# On a kept connection the answer to another order may also pass for its own,
# and the grant is carried out seconds later.
OUTCOMES = (*FENCE_OUTCOMES, "answered-by-another")
# Which part of the time until its connection is closed a late order takes, and
# then of the time in which it may still be in flight.
DELAY_RATIOS = (0.0, 0.3, 0.9, 1.0)
CARRY_OUT_DELAYS_S = (2.0, 5.0)
# How long a kernel that goes on sending after the close may hold an order.
SURVIVAL_S = 4.0


@dataclasses.dataclass
class InFlightGrant:
    """A grant that is in flight, or that its upstream carries out late."""

    grant: key_orders.KeyGrant
    arrives_s: float
    is_answered: bool
    carried_out_s: float
    is_fence: bool = False


@dataclasses.dataclass
class InFlightRelease:
    """A release that nobody waits for any more."""

    release: key_orders.KeyRelease
    arrives_s: float


class Upstream:
    """A model of one upstream and its held keys, by the platform's rules."""

    def __init__(self):
        self.holds = []
        self.seen = []

    def grant(self, grant, arrived_s):
        for first, last, epoch in self.seen:
            overlaps = first <= grant.last and grant.first <= last
            if overlaps and epoch > grant.epoch:
                return 409
        self.seen.append((grant.first, grant.last, grant.epoch))
        # The upstream's clock runs as slowly as is permitted.
        until_s = arrived_s + grant.hold_s * (1 + key_orders.CLOCK_DRIFT_RATIO)
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


class KeyOwnershipMachine(stateful.RuleBasedStateMachine):
    """Sends a leader's orders, some of which are lost, late or repeated.

    The leader waits at most `ORDER_TIMEOUT_S` for an answer and then closes
    the connection. An order arrives until `IN_FLIGHT_MARGIN_S` later or never.
    """

    ORDER_TIMEOUT_S = 0.8
    treat_unanswered_as_unsent = False
    report_release_without_releasing = False
    forget_earlier_grants = False
    look_up_owner_when_sending = False
    bytes_survive_the_close = False
    count_release_without_fence = False
    keep_epoch_in_fence = False

    def __init__(self):
        super().__init__()
        self.now_s = 10.0
        self.upstreams = {
            incarnation: Upstream() for incarnation in INCARNATIONS
        }
        self.assignment = keyspace.empty_assignment()
        self.created_grants = []
        self.in_flight = []
        self.releases = []
        self.late_releases = []

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 0.9, 2.6]))
    def time_passes(self, seconds):
        end_s = self.now_s + seconds
        due = [
            (flight.carried_out_s, self.arrive, self.in_flight, flight)
            for flight in self.in_flight
        ] + [
            (flight.arrives_s, self.release, self.late_releases, flight)
            for flight in self.late_releases
        ]
        for due_s, act, waiting, flight in sorted(due, key=lambda one: one[0]):
            if due_s <= end_s:
                self.now_s = max(self.now_s, due_s)
                act(flight)
                self.check()
                waiting.remove(flight)
        self.now_s = end_s

    def release(self, flight):
        order = flight.release
        holder = self.upstreams[order.incarnation]
        holder.release(order.first, order.last)

    def arrive(self, flight):
        grant = flight.grant
        status = self.upstreams[grant.incarnation].grant(
            grant, flight.arrives_s
        )
        record = (
            self.record_fence_outcome
            if flight.is_fence
            else self.record_grant_outcome
        )
        if flight.is_answered and status == 200:
            record(grant, key_orders.GrantOutcome.ACCEPTED)
        elif flight.is_answered:
            record(grant, key_orders.GrantOutcome.REFUSED)

    @stateful.rule(
        part=st.integers(0, PARTS - 1),
        width=st.integers(1, PARTS),
        to=st.sampled_from(INCARNATIONS),
    )
    def keys_move(self, part, width, to):
        size = KEYS // PARTS
        last = min((part + width) * size, KEYS) - 1
        move = keyspace.KeyMove(part * size, last, to)
        keyspace.apply_moves(self.assignment, [move])

    def record_grant_outcome(self, grant, outcome):
        spans = key_orders.record_grant_outcome(
            self.assignment, grant, outcome, self.now_s, HOLD_S
        )
        for span in spans:
            if self.forget_earlier_grants:
                span.in_flight_until_s = 0.0
            span.confirmed = (
                span.confirmed or outcome is key_orders.GrantOutcome.ACCEPTED
            )

    def record_fence_outcome(self, fence, outcome):
        key_orders.record_fence_outcome(
            self.assignment, fence, outcome, self.now_s
        )

    @stateful.rule(
        outcome=st.sampled_from(FENCE_OUTCOMES),
        delay_ratio=st.sampled_from(DELAY_RATIOS),
        carry_out_delay_s=st.sampled_from(CARRY_OUT_DELAYS_S),
    )
    def former_owners_are_fenced(
        self, outcome, delay_ratio=1.0, carry_out_delay_s=CARRY_OUT_DELAYS_S[0]
    ):
        for span in list(self.assignment.spans):
            former = span.former_owner
            if former is None or not former.needs_fence or span.order_pending:
                continue
            if former.pending_until_s > 0:
                continue
            earlier_epoch = former.epoch
            fence = key_orders.create_fence(
                self.assignment,
                span,
                self.now_s,
                self.now_s + self.ORDER_TIMEOUT_S,
                HOLD_S,
            )
            if self.keep_epoch_in_fence:
                former.epoch = earlier_epoch
                fence = dataclasses.replace(fence, epoch=earlier_epoch)
            self.send(fence, outcome, delay_ratio, carry_out_delay_s, True)

    @stateful.rule(delay_ratio=st.sampled_from(DELAY_RATIOS))
    def releases_are_given_up(self, delay_ratio):
        """Sends releases that arrive late, after they count as unanswered."""
        for span in self.assignment.spans:
            if span.former_owner is None or span.order_pending:
                continue
            release = key_orders.create_release(span, self.now_s)
            arrives_s = self.now_s + delay_ratio * (
                self.ORDER_TIMEOUT_S + key_orders.IN_FLIGHT_MARGIN_S
            )
            self.late_releases.append(InFlightRelease(release, arrives_s))
            key_orders.record_release_outcome(
                self.assignment, release, False, None
            )

    @stateful.rule()
    def releases_are_sent(self):
        for span in self.assignment.spans:
            if span.former_owner is None or span.order_pending:
                continue
            if not self.report_release_without_releasing:
                holder = self.upstreams[span.former_owner.incarnation]
                holder.release(span.first, span.last)
            self.releases.append(key_orders.create_release(span, self.now_s))

    @stateful.rule(is_answered=st.booleans())
    def releases_are_answered(self, is_answered):
        if self.count_release_without_fence:
            for span in self.assignment.spans:
                if span.former_owner is not None:
                    span.former_owner.needs_fence = False
        for release in self.releases:
            key_orders.record_release_outcome(
                self.assignment, release, is_answered, None
            )
        self.releases = []

    @stateful.rule()
    def grants_are_created(self):
        for span in self.assignment.spans:
            if span.owner is None or span.order_pending:
                continue
            if span.former_owner is not None:
                if not key_orders.former_owner_no_longer_holds(
                    span, self.now_s, is_elsewhere=False
                ):
                    continue
                key_orders.clear_former_owner(span)
            self.created_grants.append(
                key_orders.create_grant(
                    span, self.now_s, self.now_s + self.ORDER_TIMEOUT_S, HOLD_S
                )
            )

    @stateful.rule(
        outcome=st.sampled_from(OUTCOMES),
        delay_ratio=st.sampled_from(DELAY_RATIOS),
        carry_out_delay_s=st.sampled_from(CARRY_OUT_DELAYS_S),
    )
    def grants_are_sent(
        self, outcome, delay_ratio=1.0, carry_out_delay_s=CARRY_OUT_DELAYS_S[0]
    ):
        created, self.created_grants = self.created_grants, []
        for grant in created:
            if self.look_up_owner_when_sending:
                span = keyspace.find_span(self.assignment.spans, grant.first)
                grant = dataclasses.replace(
                    grant, incarnation=span.owner, epoch=span.epoch
                )
            if self.now_s < grant.delivery_deadline_s and key_orders.is_current(
                self.assignment, grant
            ):
                self.send(grant, outcome, delay_ratio, carry_out_delay_s)
            else:
                self.record_grant_outcome(grant, key_orders.GrantOutcome.UNSENT)

    def send(
        self, grant, outcome, delay_ratio, carry_out_delay_s, is_fence=False
    ):
        record = (
            self.record_fence_outcome if is_fence else self.record_grant_outcome
        )
        remaining_s = grant.delivery_deadline_s - self.now_s
        arrives_s = self.now_s
        if outcome in ("late", "late-lost"):
            arrives_s += delay_ratio * remaining_s
        elif outcome == "closed":
            arrives_s += remaining_s + delay_ratio * self.time_after_close_s()
        is_answered = outcome in ("answered", "late")
        carried_out_s = arrives_s
        if outcome in ("carried-out-late", "answered-by-another"):
            carried_out_s += carry_out_delay_s
        flight = InFlightGrant(
            grant, arrives_s, is_answered, carried_out_s, is_fence
        )
        if carried_out_s > self.now_s:
            self.in_flight.append(flight)
        elif outcome != "never":
            self.arrive(flight)
        if is_answered:
            return
        if outcome == "answered-by-another":
            record(grant, key_orders.GrantOutcome.ACCEPTED)
        elif self.treat_unanswered_as_unsent:
            record(grant, key_orders.GrantOutcome.UNSENT)
        else:
            record(grant, key_orders.GrantOutcome.UNANSWERED)

    def time_after_close_s(self):
        """Returns how long after the close an order may still arrive."""
        if self.bytes_survive_the_close:
            return SURVIVAL_S
        return key_orders.IN_FLIGHT_MARGIN_S

    def owners_are_granted(self, outcome):
        self.grants_are_created()
        self.grants_are_sent(outcome)

    @stateful.rule(
        to=st.sampled_from(INCARNATIONS),
        answered=st.booleans(),
        outcome=st.sampled_from(OUTCOMES),
        pause_s=st.sampled_from([0.0, 0.9, 3.5]),
        granted_again=st.booleans(),
        created_before_move=st.booleans(),
        fence_outcome=st.sampled_from(("answered", "answered", "lost", None)),
        starts_again=st.booleans(),
    )
    def keys_are_handed_over(
        self,
        to,
        answered,
        outcome,
        pause_s,
        granted_again,
        created_before_move,
        fence_outcome,
        starts_again,
    ):
        """Hands over keys in one rule, as a search rarely finds the steps."""
        self.owners_are_granted(outcome)
        if granted_again:
            self.owners_are_granted("answered")
        if created_before_move:
            self.grants_are_created()
        self.keys_move(0, PARTS, to)
        if created_before_move:
            self.grants_are_sent("answered")
        if fence_outcome is not None:
            self.former_owners_are_fenced(fence_outcome)
        self.releases_are_sent()
        self.time_passes(pause_s)
        self.releases_are_answered(answered)
        if starts_again:
            for incarnation in INCARNATIONS:
                self.upstream_starts_again(incarnation)
        self.owners_are_granted("answered")

    @stateful.rule(
        to=st.sampled_from(INCARNATIONS),
        fence_outcome=st.sampled_from(("answered", "never", None)),
    )
    def keys_move_after_a_stray_answer(self, to, fence_outcome):
        """Moves keys in one rule, as a search rarely finds the steps."""
        self.owners_are_granted("answered")
        self.time_passes(0.05)
        self.owners_are_granted("answered-by-another")
        self.keys_move(0, PARTS, to)
        if fence_outcome is not None:
            self.former_owners_are_fenced(fence_outcome)
        self.releases_are_sent()
        self.releases_are_answered(True)
        self.owners_are_granted("answered")
        self.time_passes(2.6)

    @stateful.rule(incarnation=st.sampled_from(INCARNATIONS))
    def upstream_starts_again(self, incarnation):
        """Forgets what an upstream has seen, before it is listed again.

        What has arrived is lost with it, what has not may still arrive.
        """
        self.upstreams[incarnation] = Upstream()
        self.in_flight = [
            flight
            for flight in self.in_flight
            if flight.grant.incarnation != incarnation
            or flight.arrives_s > self.now_s
        ]

    @stateful.rule()
    def another_daemon_leads(self):
        """A new leader starts from the stored assignment.

        It does so after the old leader's authorization has ended.
        """
        self.time_passes(self.ORDER_TIMEOUT_S)
        document = keyspace.to_document(self.assignment)
        holds_until_s = key_orders.latest_expiry_s(self.now_s, HOLD_S)
        self.releases = []
        self.created_grants = []
        self.in_flight = [
            dataclasses.replace(flight, is_answered=False)
            for flight in self.in_flight
        ]
        self.assignment = keyspace.from_document(document, holds_until_s)
        keyspace.renew_epochs(self.assignment)
        keyspace.merge_spans(self.assignment)

    @stateful.invariant()
    def check(self):
        for key in range(0, KEYS, KEYS // 16):
            holders = [
                incarnation
                for incarnation, upstream in self.upstreams.items()
                if upstream.holds_key(key, self.now_s)
            ]
            assert len(holders) <= 1, (key, holders)


class TreatsUnansweredAsUnsent(KeyOwnershipMachine):
    """A leader that treats an unanswered grant as unsent."""

    treat_unanswered_as_unsent = True


class ReportsReleaseWithoutReleasing(KeyOwnershipMachine):
    """Upstreams that report a release without having released the keys."""

    report_release_without_releasing = True


class ForgetsEarlierGrants(KeyOwnershipMachine):
    """A leader that takes one answer as the answer to all earlier grants."""

    forget_earlier_grants = True


class LooksUpOwnerWhenSending(KeyOwnershipMachine):
    """A leader that looks up the owner only when it sends the grant."""

    look_up_owner_when_sending = True


class BytesSurviveTheClose(KeyOwnershipMachine):
    """A network that delivers an order long after its connection was closed."""

    bytes_survive_the_close = True


class CountsReleaseWithoutFence(KeyOwnershipMachine):
    """A leader that trusts the answers to earlier grants."""

    count_release_without_fence = True


class KeepsEpochInFence(KeyOwnershipMachine):
    """A leader that sends the former owner the epoch that it has."""

    keep_epoch_in_fence = True


PASSING_SETTINGS = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
# It is enough to find a failing example of a mutant, without shrinking it.
MUTANT_SETTINGS = settings(
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=[hypothesis.Phase.generate],
)


def test_two_upstreams_never_hold_the_same_key():
    stateful.run_state_machine_as_test(
        KeyOwnershipMachine, settings=PASSING_SETTINGS
    )


@pytest.mark.parametrize(
    "mutant",
    [
        TreatsUnansweredAsUnsent,
        ReportsReleaseWithoutReleasing,
        ForgetsEarlierGrants,
        LooksUpOwnerWhenSending,
        BytesSurviveTheClose,
        CountsReleaseWithoutFence,
        KeepsEpochInFence,
    ],
)
def test_search_finds_each_mutant(mutant):
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(mutant, settings=MUTANT_SETTINGS)
