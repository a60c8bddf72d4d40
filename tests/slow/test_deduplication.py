"""Tests request deduplication with a state machine.

The model keeps the true time, from which the clocks of daemons and callers
deviate. Gateways change with and without losing their tables.
"""

import dataclasses
import itertools
from typing import Any
import uuid

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill import errors
from sardinehill.core import deduplication

SCOPE = "prenota/17"
START_S = 1_700_000_000.0


def time_ordered_id(created_s: float, number: int) -> str:
    """Returns a UUID of version 7."""
    value = int(created_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


@dataclasses.dataclass
class Request:
    """A request of the model, with the number of times it may have run."""

    identity: deduplication.RequestIdentity
    first_tried_s: float | None = None
    runs: int = 0
    has_accurate_clock: bool = True


class Daemon:
    """A daemon of the model, with a deduplication table and a clock skew."""

    def __init__(self, table: Any, skew_s: float):
        self.table = table
        self.skew_s = skew_s


class DeduplicationMachine(stateful.RuleBasedStateMachine):
    """Submits requests repeatedly while gateways change."""

    table_class: type = deduplication.DeduplicationTable
    checks_future = True
    # A table this small evicts entries almost at once. It must then refuse
    # even fresh requests, so that none runs twice.
    capacity_entries = 3

    def __init__(self):
        super().__init__()
        self.true_time_s = START_S
        self.numbers = itertools.count(1)
        self.requests: list[Request] = []
        self.in_flight: list[tuple[Daemon, Request]] = []
        self.owner = Daemon(self.new_table(), 0.0)
        self.previous: Daemon | None = None
        self.gap_began_s = START_S
        self.acquired_at_s = START_S
        self.owner.table.acquire_scope(SCOPE, START_S)

    def new_table(self) -> Any:
        return self.table_class(capacity_entries=self.capacity_entries)

    @stateful.rule(
        caller_skew_s=st.sampled_from([0.0, 0.0, -3.0, 0.9, 1.2, 30.0]),
        ordered=st.booleans(),
    )
    def new_request(self, caller_skew_s: float, ordered: bool) -> None:
        self.create(caller_skew_s, ordered)

    def create(self, caller_skew_s: float, ordered: bool) -> None:
        number = next(self.numbers)
        created_s = self.true_time_s + caller_skew_s
        text = time_ordered_id(created_s, number) if ordered else f"id-{number}"
        request = Request(
            deduplication.RequestIdentity("hotel", text),
            has_accurate_clock=ordered and abs(caller_skew_s) < 0.5,
        )
        self.requests.append(request)
        self.submit_to(self.owner, request, 0.0)

    @stateful.rule(
        data=st.data(),
        entry_skew_s=st.sampled_from(
            [
                -deduplication.MAX_FLEET_CLOCK_SKEW_S / 2,
                0.0,
                deduplication.MAX_FLEET_CLOCK_SKEW_S / 2,
            ]
        ),
    )
    def submit(self, data: st.DataObject, entry_skew_s: float) -> None:
        if not self.requests:
            return
        latest = self.requests[-8:]
        request = data.draw(st.sampled_from(latest))
        self.submit_to(self.owner, request, entry_skew_s)

    def submit_to(
        self, daemon: Daemon, request: Request, entry_skew_s: float
    ) -> None:
        text = request.identity.idempotency_key
        entry_now_s = self.true_time_s + entry_skew_s
        if self.checks_future and deduplication.is_created_in_future(
            text, entry_now_s
        ):
            return
        first = request.first_tried_s is None
        if first:
            request.first_tried_s = self.true_time_s
        elif not self.may_repeat(request):
            return
        now_s = self.true_time_s + daemon.skew_s
        decision = daemon.table.begin_request(
            SCOPE, request.identity, b"same", now_s
        )
        if decision.action is deduplication.RequestAction.ASK_PREVIOUS:
            decision = daemon.table.resolve(
                request.identity, self.ask_previous(request, now_s), now_s
            )
        if decision.action is deduplication.RequestAction.RUN:
            self.in_flight.append((daemon, request))
        elif decision.action is deduplication.RequestAction.REPLAY:
            assert decision.answer == request.identity.idempotency_key
        elif first and request.has_accurate_clock and self.capacity_entries > 3:
            since_gap_s = self.true_time_s - self.gap_began_s
            assert since_gap_s <= 2 * deduplication.CLOCK_MARGIN_S, (
                "a fresh request was refused long after a gateway change"
            )

    @stateful.rule(count=st.sampled_from([2, 5]))
    def serve_several(self, count: int) -> None:
        for _ in range(count):
            self.true_time_s += 0.002
            self.create(0.0, True)
            if self.in_flight and self.in_flight[-1][1] is self.requests[-1]:
                self.end(len(self.in_flight) - 1, errors.Verdict.RAN)

    def may_repeat(self, request: Request) -> bool:
        """Returns whether a caller that follows the rules may repeat an id."""
        if (
            deduplication.creation_time_s(request.identity.idempotency_key)
            is not None
        ):
            return True
        assert request.first_tried_s is not None
        age_s = self.true_time_s - request.first_tried_s
        return age_s <= deduplication.REPEAT_WINDOW_S

    def ask_previous(self, request: Request, now_s: float) -> Any:
        if self.previous is None:
            return None
        asked_s = self.true_time_s + self.previous.skew_s
        return self.previous.table.lookup(SCOPE, request.identity, asked_s)

    @stateful.rule(
        verdict=st.sampled_from(errors.Verdict),
        repeat=st.booleans(),
        data=st.data(),
    )
    def finish(
        self, verdict: errors.Verdict, repeat: bool, data: st.DataObject
    ) -> None:
        if not self.in_flight:
            return
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        request = self.in_flight[index][1]
        self.end(index, verdict)
        if repeat and self.may_repeat(request):
            self.submit_to(self.owner, request, 0.0)

    def end(self, index: int, verdict: errors.Verdict) -> None:
        daemon, request = self.in_flight.pop(index)
        if verdict is not errors.Verdict.NOT_RUN:
            request.runs += 1
        answer = request.identity.idempotency_key
        daemon.table.finish(request.identity, verdict, answer, 100)

    @stateful.rule(
        lost=st.booleans(),
        skew_s=st.sampled_from(
            [
                -deduplication.MAX_FLEET_CLOCK_SKEW_S / 2,
                0.0,
                deduplication.MAX_FLEET_CLOCK_SKEW_S / 2,
            ]
        ),
    )
    def change_gateway(self, lost: bool, skew_s: float) -> None:
        old = self.owner
        old.table.release_scope(SCOPE)
        if lost:
            # Requests in flight may have run, and no table contains them.
            for daemon, request in self.in_flight:
                request.runs += daemon is old
            self.in_flight = [f for f in self.in_flight if f[0] is not old]
        self.previous = None if lost else old
        self.owner = Daemon(self.new_table(), skew_s)
        self.owner.table.acquire_scope(
            SCOPE, self.true_time_s + skew_s, None if lost else "old"
        )
        # After a single planned change, the previous owner knows all requests.
        # Only a loss or two changes in quick succession leave a gap.
        if (
            lost
            or self.true_time_s - self.acquired_at_s
            <= 2 * deduplication.CLOCK_MARGIN_S
        ):
            self.gap_began_s = self.true_time_s
        self.acquired_at_s = self.true_time_s

    @stateful.rule(step_s=st.sampled_from([0.1, 0.4, 1.0, 4.0, 16.0, 160.0]))
    def pass_time(self, step_s: float) -> None:
        self.true_time_s += step_s

    @stateful.invariant()
    def no_request_runs_twice(self) -> None:
        for request in self.requests:
            assert request.runs <= 1, "a request ran twice"


class IgnoresClockMargin(deduplication.DeduplicationTable[str]):
    """A mutant that assumes that all clocks agree."""

    def _is_fresh(self, identity, since_s, now_s):  # type: ignore
        created_s = deduplication.creation_time_s(identity.idempotency_key)
        if created_s is not None:
            return created_s >= self._complete_since_s(since_s, now_s)
        return super()._is_fresh(identity, since_s, now_s)


class IgnoresAcquisitionTime(deduplication.DeduplicationTable[str]):
    """A mutant that ignores when it acquired the scope."""

    def acquire_scope(self, scope, now_s, previous=None):  # type: ignore
        """Acquires the scope as if the table had always been complete."""
        super().acquire_scope(scope, 0.0, previous)


class IgnoresLookupCompleteness(deduplication.DeduplicationTable[str]):
    """A mutant that ignores when the previous owner's table began."""

    def resolve(self, identity, result, now_s):  # type: ignore
        """Runs every request that the previous owner has not seen."""
        if result and result.status is deduplication.LookupStatus.NOT_SEEN:
            return deduplication.RequestDecision(
                deduplication.RequestAction.RUN
            )
        return super().resolve(identity, result, now_s)


class IgnoresEvictions(deduplication.DeduplicationTable[str]):
    """A mutant that doesn't record evictions."""

    def _evict_over_capacity(self):  # type: ignore
        super()._evict_over_capacity()
        self._evicted_created_s = 0.0
        self._evicted_seen_s = 0.0


class ForgetsUncertainRequests(deduplication.DeduplicationTable[str]):
    """A mutant that keeps only requests that certainly ran."""

    def finish(self, identity, verdict, answer=None, answer_bytes=0):  # type: ignore
        """Treats an uncertain outcome as not run."""
        if verdict is errors.Verdict.MAY_HAVE_RUN:
            verdict = errors.Verdict.NOT_RUN
        super().finish(identity, verdict, answer, answer_bytes)


SETTINGS = settings(
    max_examples=250,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
)
# A mutant only has to be detected, so its failing example is not shrunk.
MUTANT_SETTINGS = settings(
    SETTINGS,
    max_examples=1500,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


def run_machine(examples: settings, **overrides: Any) -> None:
    machine = type("Machine", (DeduplicationMachine,), overrides)
    stateful.run_state_machine_as_test(machine, settings=examples)


def test_no_request_runs_twice_when_the_table_overflows() -> None:
    run_machine(SETTINGS)


def test_no_request_runs_twice_and_fresh_requests_are_served() -> None:
    run_machine(SETTINGS, capacity_entries=10_000)


@pytest.mark.parametrize(
    "mutant",
    [
        IgnoresClockMargin,
        IgnoresAcquisitionTime,
        IgnoresLookupCompleteness,
        IgnoresEvictions,
        ForgetsUncertainRequests,
    ],
)
def test_broken_table_is_detected(mutant: type) -> None:
    with pytest.raises(AssertionError):
        run_machine(MUTANT_SETTINGS, table_class=mutant)


def test_accepting_ids_from_the_future_is_detected() -> None:
    with pytest.raises(AssertionError):
        run_machine(MUTANT_SETTINGS, checks_future=False)
