"""Searches for epochs that go back across restores of the store."""

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from sardinehill.core import fencing


@dataclasses.dataclass(frozen=True)
class Stored:
    """What the store holds of the leader's term and of epochs."""

    term: int = 0
    epoch: int = 0


class FencingMachine(stateful.RuleBasedStateMachine):
    """Leaders that follow each other while the store is restored now and then.

    Leaders know no more than the store does, as all daemons may have restarted.
    """

    next_term = staticmethod(fencing.next_term)
    top_epoch = staticmethod(fencing.top_epoch)

    def __init__(self):
        super().__init__()
        self.era = 1
        self.stored = Stored()
        self.copies = [Stored()]
        self.leader = Stored()
        self.highest_epoch = 0

    def grant(self):
        epoch = self.leader.epoch + 1
        assert epoch > self.highest_epoch
        self.highest_epoch = epoch
        self.leader = dataclasses.replace(self.leader, epoch=epoch)

    @stateful.rule()
    def elect(self):
        term = self.next_term(self.stored.term, self.era)
        self.leader = Stored(term, self.top_epoch(self.stored.epoch, term))
        self.stored = self.leader

    @stateful.precondition(lambda self: self.leader == self.stored)
    @stateful.rule(count=strategies.integers(1, 5))
    def move_keys(self, count):
        for _ in range(count):
            self.grant()
        self.stored = self.leader

    @stateful.rule()
    def take_copy(self):
        self.copies.append(self.stored)

    @stateful.rule(data=strategies.data())
    def restore(self, data):
        self.stored = data.draw(strategies.sampled_from(self.copies))
        self.era += 1
        self.elect()


class TermsWithoutEra(FencingMachine):
    """A mutant whose terms follow from the stored term alone."""

    @staticmethod
    def next_term(known_term, era):
        return known_term + 1


class EpochsWithoutTerm(FencingMachine):
    """A mutant whose epochs follow from the stored epoch alone."""

    @staticmethod
    def top_epoch(stored_epoch, term):
        return stored_epoch


SEARCH = settings(
    max_examples=300, stateful_step_count=20, derandomize=True, deadline=None
)


def search(machine):
    stateful.run_state_machine_as_test(machine, settings=SEARCH)


def test_epochs_never_go_back():
    search(FencingMachine)


@pytest.mark.parametrize("mutant", [TermsWithoutEra, EpochsWithoutTerm])
def test_search_finds_each_mutant_of_fencing(mutant):
    with pytest.raises(AssertionError):
        search(mutant)


def test_epochs_are_exact_in_json_decoders():
    term = fencing.next_term(0, 99_999) + (1 << fencing.TERM_BITS) - 2
    assert fencing.top_epoch(0, term) + (1 << fencing.EPOCH_BITS) < 2**53
