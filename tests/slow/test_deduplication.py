"""Claims about repeated requests, searched by a state machine.

The model keeps true time; each daemon's clock and each caller's clock lie
beside it. Gateways change with and without a loss of their memory.
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


def time_ordered_id(made_s: float, number: int) -> str:
    """Returns a UUID of version 7."""
    value = int(made_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


@dataclasses.dataclass
class Request:
    """A request of the model, with how often it ran."""

    name: deduplication.RequestIdentity
    first_tried_s: float | None = None
    runs: int = 0
    caller_in_time: bool = True


class Daemon:
    """A daemon of the model: a memory and a clock that is a little off."""

    def __init__(self, memory: Any, skew_s: float):
        self.memory = memory
        self.skew_s = skew_s


class DeduplicationMachine(stateful.RuleBasedStateMachine):
    """Submits requests again and again while gateways change."""

    memory_class: type = deduplication.DeduplicationTable
    checks_future = True
    # A memory this small forgets within a moment, and then it must refuse
    # fresh requests too rather than run one twice.
    capacity_entries = 3

    def __init__(self):
        super().__init__()
        self.true_time_s = START_S
        self.numbers = itertools.count(1)
        self.requests: list[Request] = []
        self.flights: list[tuple[Daemon, Request]] = []
        self.in_charge = Daemon(self.new_memory(), 0.0)
        self.previous: Daemon | None = None
        self.changed_s = START_S
        self.took_charge_s = START_S
        self.in_charge.memory.acquire_scope(SCOPE, START_S)

    def new_memory(self) -> Any:
        return self.memory_class(capacity_entries=self.capacity_entries)

    @stateful.rule(
        caller_skew_s=st.sampled_from([0.0, 0.0, -3.0, 0.9, 1.2, 30.0]),
        ordered=st.booleans(),
    )
    def new_request(self, caller_skew_s: float, ordered: bool) -> None:
        self.create(caller_skew_s, ordered)

    def create(self, caller_skew_s: float, ordered: bool) -> None:
        number = next(self.numbers)
        made_s = self.true_time_s + caller_skew_s
        text = time_ordered_id(made_s, number) if ordered else f"id-{number}"
        request = Request(
            deduplication.RequestIdentity("hotel", text),
            caller_in_time=ordered and abs(caller_skew_s) < 0.5,
        )
        self.requests.append(request)
        self.submit_to(self.in_charge, request, 0.0)

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
        self.submit_to(self.in_charge, request, entry_skew_s)

    def submit_to(
        self, daemon: Daemon, request: Request, entry_skew_s: float
    ) -> None:
        text = request.name.idempotency_key
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
        arrival = daemon.memory.begin_request(
            SCOPE, request.name, b"same", now_s
        )
        if arrival.action is deduplication.RequestAction.ASK_PREVIOUS:
            arrival = daemon.memory.resolve(
                request.name, self.ask_previous(request, now_s), now_s
            )
        if arrival.action is deduplication.RequestAction.RUN:
            self.flights.append((daemon, request))
        elif arrival.action is deduplication.RequestAction.REPLAY:
            assert arrival.answer == request.name.idempotency_key
        elif first and request.caller_in_time and self.capacity_entries > 3:
            since_change_s = self.true_time_s - self.changed_s
            assert since_change_s <= 2 * deduplication.CLOCK_MARGIN_S, (
                "a fresh booking was refused long after a change"
            )

    @stateful.rule(count=st.sampled_from([2, 5]))
    def serve_several(self, count: int) -> None:
        for _ in range(count):
            self.true_time_s += 0.002
            self.create(0.0, True)
            if self.flights and self.flights[-1][1] is self.requests[-1]:
                self.end(len(self.flights) - 1, errors.Verdict.RAN)

    def may_repeat(self, request: Request) -> bool:
        """Returns whether a caller that keeps its promise repeats an id."""
        if (
            deduplication.creation_time_s(request.name.idempotency_key)
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
        return self.previous.memory.lookup(SCOPE, request.name, asked_s)

    @stateful.rule(
        verdict=st.sampled_from(errors.Verdict),
        repeat=st.booleans(),
        data=st.data(),
    )
    def finish(
        self, verdict: errors.Verdict, repeat: bool, data: st.DataObject
    ) -> None:
        if not self.flights:
            return
        index = data.draw(st.integers(0, len(self.flights) - 1))
        request = self.flights[index][1]
        self.end(index, verdict)
        if repeat and self.may_repeat(request):
            self.submit_to(self.in_charge, request, 0.0)

    def end(self, index: int, verdict: errors.Verdict) -> None:
        daemon, request = self.flights.pop(index)
        if verdict is not errors.Verdict.NOT_RUN:
            request.runs += 1
        answer = request.name.idempotency_key
        daemon.memory.finish(request.name, verdict, answer, 100)

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
        old = self.in_charge
        old.memory.release_scope(SCOPE)
        if lost:
            # What was in flight may have run, and nobody remembers it.
            for daemon, request in self.flights:
                request.runs += daemon is old
            self.flights = [f for f in self.flights if f[0] is not old]
        self.previous = None if lost else old
        self.in_charge = Daemon(self.new_memory(), skew_s)
        self.in_charge.memory.acquire_scope(
            SCOPE, self.true_time_s + skew_s, None if lost else "old"
        )
        # After one planned change the daemon before knows all; only a loss,
        # or two changes in a row, leave a moment that nobody remembers.
        if (
            lost
            or self.true_time_s - self.took_charge_s
            <= 2 * deduplication.CLOCK_MARGIN_S
        ):
            self.changed_s = self.true_time_s
        self.took_charge_s = self.true_time_s

    @stateful.rule(step_s=st.sampled_from([0.1, 0.4, 1.0, 4.0, 16.0, 160.0]))
    def pass_time(self, step_s: float) -> None:
        self.true_time_s += step_s

    @stateful.invariant()
    def no_request_runs_twice(self) -> None:
        for request in self.requests:
            assert request.runs <= 1, "a request ran twice"


class IgnoresClockMargin(deduplication.DeduplicationTable[str]):
    """A mutant that trusts all clocks to agree."""

    def _is_fresh(self, name, since_s, now_s):  # type: ignore
        made_s = deduplication.creation_time_s(name.idempotency_key)
        if made_s is not None:
            return made_s >= self._complete_since_s(since_s, now_s)
        return super()._is_fresh(name, since_s, now_s)


class IgnoresAcquisitionTime(deduplication.DeduplicationTable[str]):
    """A mutant that forgets when its memory began."""

    def acquire_scope(self, scope, now_s, previous=None):  # type: ignore
        """Claims to remember everything."""
        super().acquire_scope(scope, 0.0, previous)


class IgnoresLookupCompleteness(deduplication.DeduplicationTable[str]):
    """A mutant that does not ask how far back another memory reaches."""

    def resolve(self, name, recollection, now_s):  # type: ignore
        """Runs what the other has not seen."""
        if (
            recollection
            and recollection.status is deduplication.LookupStatus.NOT_SEEN
        ):
            return deduplication.RequestDecision(
                deduplication.RequestAction.RUN
            )
        return super().resolve(name, recollection, now_s)


class IgnoresEvictions(deduplication.DeduplicationTable[str]):
    """A mutant that makes room without noting what it forgot."""

    def _evict_over_capacity(self):  # type: ignore
        super()._evict_over_capacity()
        self._evicted_created_s = 0.0
        self._evicted_seen_s = 0.0


class ForgetsUncertainRequests(deduplication.DeduplicationTable[str]):
    """A mutant that keeps only the requests that surely ran."""

    def finish(self, name, verdict, answer=None, answer_bytes=0):  # type: ignore
        """Takes a doubtful end for a refusal."""
        if verdict is errors.Verdict.MAY_HAVE_RUN:
            verdict = errors.Verdict.NOT_RUN
        super().finish(name, verdict, answer, answer_bytes)


SETTINGS = settings(
    max_examples=250,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
)
# A mutant need only be caught, so no time goes into the smallest story.
MUTANT_SETTINGS = settings(
    SETTINGS,
    max_examples=1500,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


def run(examples: settings, **overrides: Any) -> None:
    machine = type("Machine", (DeduplicationMachine,), overrides)
    stateful.run_state_machine_as_test(machine, settings=examples)


def test_no_request_runs_twice_when_the_table_overflows() -> None:
    run(SETTINGS)


def test_no_request_runs_twice_and_fresh_requests_are_served() -> None:
    run(SETTINGS, capacity_entries=10_000)


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
        run(MUTANT_SETTINGS, memory_class=mutant)


def test_accepting_ids_from_the_future_is_detected() -> None:
    with pytest.raises(AssertionError):
        run(MUTANT_SETTINGS, checks_future=False)
