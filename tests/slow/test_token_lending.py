"""Tests the lending of tokens across the fleet with a state machine.

The model keeps true time, the platform's member list and all messages in
transit. Each daemon reads the list whenever time passes, unless it is
partitioned. A rule may also start a read whose result arrives late. The clocks
of the daemons run at different rates.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill.core import fleet
from sardinehill.core import token_lending

NAMES = ["a", "b", "c"]
# A slow account gains few tokens while a bucket is handed over, so a token that
# is lent twice is noticed. A fast account gains many tokens during the lifetime
# of one loan.
SLOW = fleet.ClientAccountConfig("hotel", 2.0, 10.0)
FAST = fleet.ClientAccountConfig("hotel", 80.0, 40.0)
TIGHT = fleet.ClientAccountConfig("hotel", 20.0, 1.0)
EPSILON = 1e-6


@dataclasses.dataclass
class Daemon:
    """A daemon of the model and its clock."""

    name: str
    clock_rate: float
    clock_offset_s: float
    holder: Any
    borrower: Any

    def now_s(self, true_s: float) -> float:
        return true_s * self.clock_rate + self.clock_offset_s


class TokenLendingMachine(stateful.RuleBasedStateMachine):
    """Lends and uses tokens of one account."""

    holder_class: type = token_lending.BucketHolder
    borrower_class: type = token_lending.BorrowedTokens
    account = SLOW
    terms: token_lending.LoanTerms | None = None
    lists_name_previous = True

    def __init__(self):
        super().__init__()
        self.loan_terms = self.terms or token_lending.terms_for(self.account)
        self.true_s = 1000.0
        self.epoch = 1
        self.members = list(NAMES)
        drift = token_lending.MAX_CLOCK_DRIFT_RATIO
        self.daemons = {
            name: self.new_daemon(name, rate, offset_s)
            for name, rate, offset_s in [
                ("a", 1 - drift, 0.0),
                ("b", 1 + drift, 70.0),
                ("c", 1.0, -40.0),
            ]
        }
        self.reads: list[tuple[str, float, int, list[str]]] = []
        self.pending_requests: list[
            tuple[str, str, float, int, token_lending.LoanRequest]
        ] = []
        self.replies: list[tuple[str, float, token_lending.LoanDecision]] = []
        self.handovers: list[tuple[str, int, float]] = []
        self.uses_s: list[float] = []
        self.partitioned: set[str] = set()
        # This is long enough for the first holder's bucket to open and fill.
        self.tick(20.0)
        self.tick(20.0)

    def new_daemon(
        self, name: str, clock_rate: float, offset_s: float
    ) -> Daemon:
        return Daemon(
            name,
            clock_rate,
            offset_s,
            self.holder_class(name),
            self.borrower_class(),
        )

    @stateful.rule(step_s=st.sampled_from([0.02, 0.12, 0.21, 0.9]))
    def pass_time(self, step_s: float) -> None:
        self.tick(step_s)

    def tick(self, step_s: float) -> None:
        self.true_s += step_s
        for name in NAMES:
            if name not in self.partitioned:
                self.begin_read(name)
                self.end_read(self.reads.pop())

    @stateful.rule(
        members=st.sampled_from([["a"], ["b"], ["a", "b"], ["b", "c"], NAMES])
    )
    def commit_list(self, members: list[str]) -> None:
        if members != self.members:
            self.epoch += 1
            self.members = list(members)

    @stateful.rule(name=st.sampled_from(NAMES))
    def toggle_partition(self, name: str) -> None:
        self.partitioned ^= {name}

    @stateful.rule(name=st.sampled_from(NAMES))
    def read_slowly(self, name: str) -> None:
        self.begin_read(name)

    def begin_read(self, name: str) -> None:
        began_s = self.daemons[name].now_s(self.true_s)
        self.reads.append((name, began_s, self.epoch, self.members))

    @stateful.rule()
    def end_oldest_read(self) -> None:
        if self.reads:
            self.end_read(self.reads.pop(0))

    def end_read(self, read: tuple[str, float, int, list[str]]) -> None:
        name, began_s, epoch, members = read
        daemon = self.daemons[name]
        now_s = daemon.now_s(self.true_s)
        previous = epoch - 1 if self.lists_name_previous else None
        daemon.holder.adopt_members(epoch, members, now_s, previous)
        daemon.holder.confirm_members(epoch, began_s)

    @stateful.rule(
        name=st.sampled_from(NAMES),
        count=st.sampled_from([1, 40]),
        delivery=st.sampled_from(["never yet", "at the holder", "back"]),
    )
    def borrow_some(self, name: str, count: int, delivery: str) -> None:
        self.borrow(name, count, delivery)

    def borrow(self, name: str, count: int, delivery: str) -> None:
        daemon = self.daemons[name]
        holder = token_lending.holder_of("hotel", daemon.holder.members)
        if holder is None:
            return
        asked_s = daemon.now_s(self.true_s)
        request = token_lending.LoanRequest(count, 2)
        message = (name, holder, asked_s, daemon.holder.epoch, request)
        if delivery == "never yet":
            self.pending_requests.append(message)
            return
        reply = self.answer(message)
        if delivery == "back":
            self.take_reply(reply)
        else:
            self.replies.append(reply)

    def answer(
        self, message: tuple[str, str, float, int, token_lending.LoanRequest]
    ) -> tuple[str, float, token_lending.LoanDecision]:
        name, holder, asked_s, epoch, request = message
        daemon = self.daemons[holder]
        now_s = daemon.now_s(self.true_s)
        loan = daemon.holder.lend(
            "hotel", self.loan_terms, epoch, request, now_s
        )
        return name, asked_s, loan

    def take_reply(
        self, reply: tuple[str, float, token_lending.LoanDecision]
    ) -> None:
        name, asked_s, loan = reply
        borrower = self.daemons[name].borrower
        borrower.add_loan(self.loan_terms, loan.tokens, asked_s)

    @stateful.rule()
    def deliver_request(self) -> None:
        if self.pending_requests:
            self.replies.append(self.answer(self.pending_requests.pop(0)))

    @stateful.rule()
    def deliver_reply(self) -> None:
        if self.replies:
            self.take_reply(self.replies.pop(0))

    @stateful.rule(names=st.sampled_from([["a"], ["b"], ["c"], NAMES, NAMES]))
    def borrow_and_use(self, names: list[str]) -> None:
        for name in names:
            self.borrow(name, 40, "back")
            self.use_all(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def use(self, name: str) -> None:
        self.use_all(name)

    def use_all(self, name: str) -> None:
        daemon = self.daemons[name]
        while daemon.borrower.try_take(daemon.now_s(self.true_s)):
            self.uses_s.append(self.true_s)
            self.check_windows()

    @stateful.rule(name=st.sampled_from(NAMES), delayed=st.booleans())
    def request_bucket(self, name: str, delayed: bool) -> None:
        daemon = self.daemons[name]
        now_s = daemon.now_s(self.true_s)
        previous = daemon.holder.previous_holder("hotel", now_s)
        if previous is None:
            return
        old = self.daemons[previous]
        epoch = daemon.holder.epoch
        level = old.holder.hand_over_bucket(
            "hotel", epoch, epoch - 1, old.now_s(self.true_s)
        )
        if level is not None:
            self.handovers.append((name, epoch, level))
            if not delayed:
                self.take_bucket(self.handovers.pop())

    @stateful.rule()
    def deliver_bucket(self) -> None:
        if self.handovers:
            self.take_bucket(self.handovers.pop(0))

    def take_bucket(self, handover: tuple[str, int, float]) -> None:
        name, epoch, level = handover
        daemon = self.daemons[name]
        daemon.holder.receive_bucket(
            "hotel", self.loan_terms, epoch, level, daemon.now_s(self.true_s)
        )

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        old = self.daemons[name]
        self.daemons[name] = self.new_daemon(
            name, old.clock_rate, old.clock_offset_s
        )
        self.reads = [read for read in self.reads if read[0] != name]
        self.pending_requests = [
            message
            for message in self.pending_requests
            if name not in message[:2]
        ]
        self.replies = [reply for reply in self.replies if reply[0] != name]
        self.handovers = [
            handover for handover in self.handovers if handover[0] != name
        ]

    def check_windows(self) -> None:
        now_s = self.uses_s[-1]
        for index, began_s in enumerate(self.uses_s):
            used = len(self.uses_s) - index
            allowed = self.account.rate_per_s * (now_s - began_s)
            allowed += self.account.burst_requests
            assert used <= allowed + EPSILON, (
                "more tokens used than rate and burst allow"
            )


class OpensWithoutWaiting(token_lending.BucketHolder):
    """A mutant whose new holder does not wait for the previous lease."""

    def _bucket(self, account, terms):  # type: ignore
        if account not in self._buckets:
            self._buckets[account] = token_lending.LendingBucket(
                terms, self._adopted_s, 9.0
            )
        return self._buckets[account]


class StartsFull(token_lending.BucketHolder):
    """A mutant whose new holder waits but starts with a full bucket."""

    def _bucket(self, account, terms):  # type: ignore
        if account not in self._buckets:
            opens_at_s = self._adopted_s + token_lending.TAKEOVER_WAIT_S
            bucket = token_lending.LendingBucket(
                terms, opens_at_s, terms.capacity_tokens
            )
            self._buckets[account] = bucket
        return self._buckets[account]


class IgnoresLeaseExpiry(token_lending.BucketHolder):
    """A mutant that lends without a confirmed member list."""

    def has_lending_lease(self, now_s):  # type: ignore
        """Always returns True."""
        return True


class KeepsHandedOverBucket(token_lending.BucketHolder):
    """A mutant that hands its bucket over but continues to lend."""

    def hand_over_bucket(self, account, epoch, previous_epoch, now_s):  # type: ignore
        """Returns the level but keeps the bucket."""
        bucket = self._buckets.get(account) or self._released.get(account)
        if bucket is None or not bucket.is_open(now_s):
            return None
        return bucket.level(now_s)


class IgnoresSkippedLists(token_lending.BucketHolder):
    """A mutant that keeps its bucket across member lists that it never saw."""

    def adopt_members(self, epoch, members, now_s, previous_epoch=None):  # type: ignore
        """Treats every list as the next one."""
        super().adopt_members(epoch, members, now_s, self._epoch)


class ExtendsLoanLifetime(token_lending.BorrowedTokens):
    """A mutant whose loans are used beyond their lifetime."""

    def add_loan(self, terms, tokens_lent, asked_s):  # type: ignore
        """Adds four more lifetimes to the loan."""
        super().add_loan(
            terms, tokens_lent, asked_s + 4 * terms.loan_lifetime_s
        )


SETTINGS = settings(
    max_examples=120, stateful_step_count=40, derandomize=True, deadline=None
)
# A mutant only has to be detected, so failing examples aren't shrunk.
MUTANT_SETTINGS = settings(
    SETTINGS,
    max_examples=600,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


def run(examples: settings, **overrides: Any) -> None:
    machine = type("Machine", (TokenLendingMachine,), overrides)
    stateful.run_state_machine_as_test(machine, settings=examples)


@pytest.mark.parametrize("account", [SLOW, FAST, TIGHT])
@pytest.mark.parametrize("lists_name_previous", [True, False])
def test_no_window_exceeds_rate_and_burst(
    account: fleet.ClientAccountConfig, lists_name_previous: bool
) -> None:
    run(SETTINGS, account=account, lists_name_previous=lists_name_previous)


def partitioned_holder_continues(model: TokenLendingMachine) -> None:
    model.partitioned.add("a")
    model.members, model.epoch = ["b"], model.epoch + 1
    for _ in range(8):
        model.tick(0.9)
    model.borrow("b", 40, "back")
    model.use_all("b")
    model.borrow("a", 40, "back")
    model.use_all("a")


def holder_is_lost(model: TokenLendingMachine) -> None:
    model.borrow("a", 40, "back")
    model.use_all("a")
    model.partitioned.add("a")
    model.members, model.epoch = ["b"], model.epoch + 1
    model.tick(0.02)
    model.tick(token_lending.TAKEOVER_WAIT_S + 0.01)
    model.borrow("b", 40, "back")
    model.use_all("b")


def holder_hands_over_its_bucket(model: TokenLendingMachine) -> None:
    model.borrow("a", 1, "back")
    model.partitioned.add("a")
    model.members, model.epoch = ["b"], model.epoch + 1
    model.tick(0.02)
    level = model.daemons["a"].holder.hand_over_bucket(
        "hotel",
        model.epoch,
        model.epoch - 1,
        model.daemons["a"].now_s(model.true_s),
    )
    assert level is not None
    model.take_bucket(("b", model.epoch, level))
    for name in ("b", "a"):
        model.borrow(name, 40, "back")
        model.use_all(name)


def holder_misses_a_list(model: TokenLendingMachine) -> None:
    model.borrow("a", 1, "back")
    model.partitioned.add("a")
    model.members, model.epoch = ["b"], model.epoch + 1
    for _ in range(8):
        model.tick(0.9)
    model.borrow("b", 40, "back")
    model.use_all("b")
    model.members, model.epoch = ["a", "b"], model.epoch + 1
    model.partitioned.clear()
    model.tick(0.02)
    model.borrow("a", 40, "back")
    model.use_all("a")


def borrower_accumulates_loans(model: TokenLendingMachine) -> None:
    for _ in range(4):
        model.borrow("a", 40, "back")
        model.tick(0.21)
    model.use_all("a")


def borrower_keeps_one_loan(model: TokenLendingMachine) -> None:
    model.borrow("a", 40, "back")
    model.tick(0.21)
    model.borrow("a", 40, "back")
    model.use_all("a")


SCENARIOS = [
    borrower_keeps_one_loan,
    partitioned_holder_continues,
    holder_is_lost,
    holder_hands_over_its_bucket,
    holder_misses_a_list,
    borrower_accumulates_loans,
]


def run_scenario(
    scenario: Callable[[TokenLendingMachine], None], **overrides: Any
) -> None:
    scenario(type("Machine", (TokenLendingMachine,), overrides)())


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("account", [SLOW, FAST])
def test_each_scenario_stays_within_rate_and_burst(
    scenario: Callable[[TokenLendingMachine], None],
    account: fleet.ClientAccountConfig,
) -> None:
    run_scenario(scenario, account=account)


def test_a_takeover_without_a_wait_is_detected() -> None:
    with pytest.raises(AssertionError):
        run(MUTANT_SETTINGS, holder_class=OpensWithoutWaiting)


@pytest.mark.parametrize(
    ("mutant", "scenario"),
    [
        (StartsFull, holder_is_lost),
        (IgnoresLeaseExpiry, partitioned_holder_continues),
        (KeepsHandedOverBucket, holder_hands_over_its_bucket),
        (IgnoresSkippedLists, holder_misses_a_list),
    ],
)
def test_a_faulty_holder_is_detected(
    mutant: type, scenario: Callable[[TokenLendingMachine], None]
) -> None:
    with pytest.raises(
        AssertionError, match="more tokens used than rate and burst allow"
    ):
        run_scenario(scenario, holder_class=mutant)


def test_loans_used_beyond_their_lifetime_are_detected() -> None:
    with pytest.raises(
        AssertionError, match="more tokens used than rate and burst allow"
    ):
        run_scenario(
            borrower_accumulates_loans,
            account=FAST,
            borrower_class=ExtendsLoanLifetime,
        )


def test_a_bucket_as_large_as_the_burst_is_detected() -> None:
    terms = token_lending.LoanTerms(
        80.0, 40.0, token_lending.MAX_LOAN_LIFETIME_S
    )
    with pytest.raises(
        AssertionError, match="more tokens used than rate and burst allow"
    ):
        run_scenario(borrower_keeps_one_loan, account=FAST, terms=terms)
