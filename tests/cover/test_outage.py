"""Claims about telling an outage from being cut off."""

from hypothesis import given
from hypothesis import strategies as st

from sardinehill.core import account_keys
from sardinehill.core import outage
from sardinehill.core import reading

NAMES = [f"d{number}" for number in range(9)]


@given(st.sets(st.sampled_from(NAMES)), st.sets(st.sampled_from(NAMES)))
def test_two_sides_of_a_partition_never_both_find_an_outage(
    one: set[str], other: set[str]
) -> None:
    if outage.is_outage(one, NAMES) and outage.is_outage(other, NAMES):
        assert one & other


def test_strangers_have_no_vote() -> None:
    strangers = [f"stranger-{number}" for number in range(9)]
    assert not outage.is_outage(strangers, NAMES)
    assert not outage.is_outage(NAMES[:4], NAMES)
    assert outage.is_outage(NAMES[:5], NAMES)
    assert not outage.is_outage([], [])


def test_those_further_down_ask_in_time_when_the_first_are_gone() -> None:
    gone = 3
    asked_s = outage.ASK_AGE_S + gone * outage.ASK_RANK_DELAY_S
    assert not outage.must_ask(asked_s, rank=gone)
    assert outage.must_ask(asked_s + 0.01, rank=gone)
    # A silent store lets every attempt wait for its time limit.
    told_s = asked_s + outage.ANSWER_TIMEOUT_S
    assert told_s < account_keys.CONFIRMED_WITHIN_S


def test_one_watcher_shows_often_that_nothing_changed() -> None:
    often = reading.SHORT_WAIT_S
    assert reading.watch_wait_s(rank=0, age_s=0.1) == often
    assert reading.watch_wait_s(rank=1, age_s=0.1) > often
    assert reading.watch_wait_s(rank=1, age_s=1.3) == often
