"""Claims about the fair queue, searched by a state machine."""

import itertools

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill.core import fair_queue

CAPACITY_REQUESTS = 24
WEIGHTS = {"hotel": 1.0, "venue": 2.0, "shop": 1.0}
ACCOUNTS = sorted(WEIGHTS)


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Compares a queue with a plain list of what must still be in it."""

    queue_class: type[fair_queue.FairQueue[int]] = fair_queue.FairQueue

    def __init__(self):
        super().__init__()
        self.queue = self.queue_class(CAPACITY_REQUESTS)
        self.now_s = 0.0
        self.numbers = itertools.count()
        self.waiting: dict[int, tuple[str, float]] = {}
        self.account_of: dict[int, str] = {}
        self.places: dict[int, fair_queue.QueuedRequest[int]] = {}
        # Work done for two accounts since both have had some waiting.
        self.served = {
            pair: [0, 0] for pair in itertools.combinations(ACCOUNTS, 2)
        }

    def remove_refused(
        self, refused: list[fair_queue.RefusedRequest[int]]
    ) -> None:
        for entry in refused:
            assert entry.item in self.waiting, "an item left twice"
            del self.waiting[entry.item]

    @stateful.rule(
        account=st.sampled_from(ACCOUNTS),
        patience_s=st.sampled_from([0.5, 3.0, 60.0, 60.0, 60.0]),
        count=st.sampled_from([1, 4, 10]),
    )
    def push_some(self, account: str, patience_s: float, count: int) -> None:
        for _ in range(count):
            self.push(account, patience_s)

    @stateful.rule(count=st.sampled_from([1, 3, 8]))
    def pop_some(self, count: int) -> None:
        for _ in range(count):
            self.pop()
            self.serves_by_weight()

    def push(self, account: str, patience_s: float) -> None:
        number = next(self.numbers)
        deadline_s = self.now_s + patience_s
        lines = self.queue_lengths()
        self.waiting[number] = (account, deadline_s)
        self.account_of[number] = account
        place, refused = self.queue.push(
            account, WEIGHTS[account], number, deadline_s, self.now_s
        )
        self.remove_refused(refused)
        for entry in refused:
            longest = max(
                (lines[name] + (name == account)) / WEIGHTS[name]
                for name in ACCOUNTS
            )
            victim = self.account_of[entry.item]
            held = lines[victim] + (victim == account)
            assert held / WEIGHTS[victim] == longest, "a short line was cut"
        assert (place is None) == (number not in self.waiting)
        if place is not None:
            self.places[number] = place

    def pop(self) -> None:
        item, refused = self.queue.pop(self.now_s)
        self.remove_refused(refused)
        if item is None:
            assert not self.waiting, "work waits and none was handed out"
            return
        account, deadline_s = self.waiting.pop(item)
        assert deadline_s >= self.now_s, "a request past its deadline"
        line = [n for n in self.waiting if self.account_of[n] == account]
        assert all(item < later for later in line), (
            "an account's requests changed places"
        )
        for pair, counts in self.served.items():
            if account in pair:
                counts[pair.index(account)] += 1

    @stateful.rule(number=st.integers(min_value=0, max_value=200))
    def remove(self, number: int) -> None:
        place = self.places.get(number)
        if place is None:
            return
        assert self.queue.remove(place) == (number in self.waiting)
        self.waiting.pop(number, None)

    @stateful.rule(step_s=st.sampled_from([0.1, 0.4, 2.0]))
    def pass_time(self, step_s: float) -> None:
        self.now_s += step_s

    @stateful.rule()
    def expire(self) -> None:
        self.remove_refused(self.queue.expire(self.now_s))
        for _, deadline_s in self.waiting.values():
            assert deadline_s >= self.now_s

    @stateful.invariant()
    def length_matches_model(self) -> None:
        assert len(self.queue) == len(self.waiting) <= CAPACITY_REQUESTS
        lines = self.queue_lengths()
        for account, count in lines.items():
            assert self.queue.queued_for(account) == count

    @stateful.invariant()
    def serves_by_weight(self) -> None:
        lines = self.queue_lengths()
        for (one, other), counts in self.served.items():
            if not lines[one] or not lines[other]:
                counts[:] = [0, 0]
                continue
            gap = counts[0] / WEIGHTS[one] - counts[1] / WEIGHTS[other]
            bound = 1 / WEIGHTS[one] + 1 / WEIGHTS[other]
            assert abs(gap) <= bound + 1e-9, "an account is below its share"

    def queue_lengths(self) -> dict[str, int]:
        counts = dict.fromkeys(ACCOUNTS, 0)
        for account, _ in self.waiting.values():
            counts[account] += 1
        return counts


class FirstComeFirstServed(fair_queue.FairQueue[int]):
    """A mutant that forgets the accounts."""

    def push(self, account, weight, *args, **kwargs):  # type: ignore
        """Puts all requests into one line."""
        return super().push("all", 1.0, *args, **kwargs)


class EqualWeights(fair_queue.FairQueue[int]):
    """A mutant that serves all accounts alike."""

    def push(self, account, weight, *args, **kwargs):  # type: ignore
        """Ignores the weight."""
        return super().push(account, 1.0, *args, **kwargs)


class IdleAccountSavesCredit(fair_queue.FairQueue[int]):
    """A mutant in which an account is owed for the time it sent nothing."""

    def _activate(self, line, weight):  # type: ignore
        line.weight = weight
        self._active_weight += weight
        self._schedule(line)


class IgnoresDeadlines(fair_queue.FairQueue[int]):
    """A mutant that hands out what nobody waits for any longer."""

    def expire(self, now_s, service_time_s=0.0):  # type: ignore
        """Keeps everything."""
        return []


class RefusesNewestRequest(fair_queue.FairQueue[int]):
    """A mutant whose full queue refuses whoever comes last."""

    def _newest_of_longest_queue(self):  # type: ignore
        places = [
            p for line in self._account_queues.values() for p in line.requests
        ]
        return max(places, key=lambda place: place.sequence)


SETTINGS = settings(
    max_examples=400, stateful_step_count=30, derandomize=True, deadline=None
)
# A mutant need only be caught, so no time goes into the smallest story.
MUTANT_SETTINGS = settings(
    SETTINGS,
    max_examples=400,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


def run(
    queue_class: type[fair_queue.FairQueue[int]],
    examples: settings = SETTINGS,
) -> None:
    machine = type("Machine", (FairQueueMachine,), {"queue_class": queue_class})
    stateful.run_state_machine_as_test(machine, settings=examples)


def test_no_account_falls_below_its_share_while_it_has_work() -> None:
    run(fair_queue.FairQueue)


@pytest.mark.parametrize(
    "mutant",
    [
        FirstComeFirstServed,
        EqualWeights,
        IdleAccountSavesCredit,
        IgnoresDeadlines,
        RefusesNewestRequest,
    ],
)
def test_a_faulty_queue_is_detected(
    mutant: type[fair_queue.FairQueue[int]],
) -> None:
    with pytest.raises(AssertionError):
        run(mutant, MUTANT_SETTINGS)
