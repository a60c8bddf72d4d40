"""Tests the fair queue with a state machine that must detect mutants."""

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
    """Compares a queue with a plain model of its contents."""

    queue_class: type[fair_queue.FairQueue[int]] = fair_queue.FairQueue

    def __init__(self):
        super().__init__()
        self.queue = self.queue_class(CAPACITY_REQUESTS)
        self.now_s = 0.0
        self.numbers = itertools.count()
        self.waiting: dict[int, tuple[str, float]] = {}
        self.account_of: dict[int, str] = {}
        self.queued_requests: dict[int, fair_queue.QueuedRequest[int]] = {}
        # Requests served for each pair of accounts since both have been
        # waiting.
        self.served = {
            pair: [0, 0] for pair in itertools.combinations(ACCOUNTS, 2)
        }

    def remove_refused(
        self, refused: list[fair_queue.RefusedRequest[int]]
    ) -> None:
        for entry in refused:
            assert entry.item in self.waiting, (
                "a refused item was no longer queued"
            )
            del self.waiting[entry.item]

    @stateful.rule(
        account=st.sampled_from(ACCOUNTS),
        time_left_s=st.sampled_from([0.5, 3.0, 60.0, 60.0, 60.0]),
        count=st.sampled_from([1, 4, 10]),
    )
    def push_some(self, account: str, time_left_s: float, count: int) -> None:
        for _ in range(count):
            self.push(account, time_left_s)

    @stateful.rule(count=st.sampled_from([1, 3, 8]))
    def pop_some(self, count: int) -> None:
        for _ in range(count):
            self.pop()
            self.serves_by_weight()

    def push(self, account: str, time_left_s: float) -> None:
        number = next(self.numbers)
        deadline_s = self.now_s + time_left_s
        lengths = self.queue_lengths()
        self.waiting[number] = (account, deadline_s)
        self.account_of[number] = account
        queued_request, refused = self.queue.push(
            account, WEIGHTS[account], number, deadline_s, self.now_s
        )
        self.remove_refused(refused)
        for entry in refused:
            longest = max(
                (lengths[name] + (name == account)) / WEIGHTS[name]
                for name in ACCOUNTS
            )
            refused_account = self.account_of[entry.item]
            length = lengths[refused_account] + (refused_account == account)
            assert length / WEIGHTS[refused_account] == longest, (
                "the request was not refused from the longest queue"
            )
        assert (queued_request is None) == (number not in self.waiting)
        if queued_request is not None:
            self.queued_requests[number] = queued_request

    def pop(self) -> None:
        item, refused = self.queue.pop(self.now_s)
        self.remove_refused(refused)
        if item is None:
            assert not self.waiting, "requests are queued but none was returned"
            return
        account, deadline_s = self.waiting.pop(item)
        assert deadline_s >= self.now_s, (
            "a request was returned past its deadline"
        )
        account_items = [
            n for n in self.waiting if self.account_of[n] == account
        ]
        assert all(item < later for later in account_items), (
            "an account's requests were reordered"
        )
        for pair, counts in self.served.items():
            if account in pair:
                counts[pair.index(account)] += 1

    @stateful.rule(number=st.integers(min_value=0, max_value=200))
    def remove(self, number: int) -> None:
        queued_request = self.queued_requests.get(number)
        if queued_request is None:
            return
        assert self.queue.remove(queued_request) == (number in self.waiting)
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
        lengths = self.queue_lengths()
        for account, count in lengths.items():
            assert self.queue.queued_for(account) == count

    @stateful.invariant()
    def serves_by_weight(self) -> None:
        lengths = self.queue_lengths()
        for (one, other), counts in self.served.items():
            if not lengths[one] or not lengths[other]:
                counts[:] = [0, 0]
                continue
            gap = counts[0] / WEIGHTS[one] - counts[1] / WEIGHTS[other]
            bound = 1 / WEIGHTS[one] + 1 / WEIGHTS[other]
            assert abs(gap) <= bound + 1e-9, (
                "an account got less than its share"
            )

    def queue_lengths(self) -> dict[str, int]:
        counts = dict.fromkeys(ACCOUNTS, 0)
        for account, _ in self.waiting.values():
            counts[account] += 1
        return counts


class FirstComeFirstServed(fair_queue.FairQueue[int]):
    """A mutant that ignores the accounts."""

    def push(self, account, weight, *args, **kwargs):  # type: ignore
        """Puts all requests into one account queue."""
        return super().push("all", 1.0, *args, **kwargs)


class EqualWeights(fair_queue.FairQueue[int]):
    """A mutant that serves all accounts equally."""

    def push(self, account, weight, *args, **kwargs):  # type: ignore
        """Ignores the weight."""
        return super().push(account, 1.0, *args, **kwargs)


class IdleAccountSavesCredit(fair_queue.FairQueue[int]):
    """A mutant in which an idle account saves up credit."""

    def _activate(self, queue, weight):  # type: ignore
        queue.weight = weight
        self._active_weight += weight
        self._schedule(queue)


class IgnoresDeadlines(fair_queue.FairQueue[int]):
    """A mutant that returns requests past their deadline."""

    def expire(self, now_s, service_time_s=0.0):  # type: ignore
        """Refuses nothing."""
        return []


class RefusesNewestRequest(fair_queue.FairQueue[int]):
    """A mutant whose full queue refuses the newest request of all accounts."""

    def _newest_of_longest_queue(self):  # type: ignore
        queued_requests = [
            p for queue in self._account_queues.values() for p in queue.requests
        ]
        return max(
            queued_requests, key=lambda queued_request: queued_request.sequence
        )


SETTINGS = settings(
    max_examples=400, stateful_step_count=30, derandomize=True, deadline=None
)
# A mutant only has to be detected, so failing examples aren't shrunk.
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
