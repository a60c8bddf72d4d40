"""Claims about tokens of client accounts that a leader lends."""

import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st

from sardinehill import errors
from sardinehill.core import fleet_messages
from sardinehill.core import loans
from sardinehill.core import routes
from sardinehill.core import shares
from sardinehill.front import borrowing

ALLOWANCE = shares.Allowance(window_s=5.0, over_ratio=0.1, slack=20.0)
ACCOUNT = routes.ClientAccount("a", 20.0, 20.0, None)
DAEMONS = 65


START = loans.Start(0.0, {})


def table(resigned=False, **lendable):
    return fleet_messages.Table(
        1, "x", "127.0.0.1:1", 1, 2, lendable=lendable, resigned=resigned
    )


def wish(tokens=1):
    return fleet_messages.Wish("a", tokens)


@given(
    st.lists(
        st.tuples(st.floats(0.0, 1.0), st.integers(1, 30)),
        max_size=200,
    )
)
def test_no_asking_makes_the_lender_pass_an_accounts_bound(asked):
    lender = loans.Lender(ALLOWANCE, START)
    now_s, given_out = 100.0, []
    for passed_s, wanted in asked:
        now_s += passed_s
        loan = lender.lend(ACCOUNT, wish(wanted), DAEMONS, now_s)
        given_out.append((now_s, loan.tokens))
    bound = (20.0 * 5.0 + 20.0) * 1.1 + 20.0
    for first_s, _ in given_out:
        window = [n for at, n in given_out if first_s <= at <= first_s + 5.0]
        assert sum(window) <= bound


def test_a_fleet_of_65_daemons_serves_an_account_within_its_rate():
    # Divided among them all, no daemon ever had a whole token: 28% were served.
    lender = loans.Lender(ALLOWANCE, START)
    uniform = random.Random(1)
    refused = 0
    now_s = 10.0
    for _ in range(1000):
        now_s += uniform.expovariate(15.0)
        if lender.lend(ACCOUNT, wish(), DAEMONS, now_s).tokens == 0:
            refused += 1
    assert refused < 10


def test_a_new_leader_lends_nothing_while_one_that_is_cut_off_may():
    start = loans.start(10.0, table(), is_restart=False)
    lender = loans.Lender(ALLOWANCE, start)
    early = lender.lend(ACCOUNT, wish(), DAEMONS, 10.1)
    assert early.tokens == 0
    assert early.wait_s > 0
    later_s = 10.1 + early.wait_s + 1.0 / ACCOUNT.rate_per_s
    assert lender.lend(ACCOUNT, wish(), DAEMONS, later_s).tokens == 1


def test_a_leader_that_takes_over_lends_part_of_what_was_left():
    start = loans.start(10.0, table(resigned=True, a=8.0), is_restart=False)
    lender = loans.Lender(ALLOWANCE, start)
    assert lender.lend(ACCOUNT, wish(30), DAEMONS, 10.0).tokens == 4


def test_a_fleet_that_was_down_as_a_whole_lends_at_once():
    start = loans.start(10.0, None, is_restart=True)
    lender = loans.Lender(ALLOWANCE, start)
    lent = lender.lend(ACCOUNT, wish(1000), DAEMONS, 10.0).tokens
    # While all were down, over two seconds of the rate were earned.
    assert 0 < lent <= 2.2 * ACCOUNT.rate_per_s


def test_a_daemon_that_knows_no_table_inherits_nothing():
    start = loans.start(10.0, None, is_restart=False)
    lender = loans.Lender(ALLOWANCE, start)
    assert lender.lend(ACCOUNT, wish(), DAEMONS, 10.1).tokens == 0


def borrow_many(ask, count):
    async def body():
        borrower = borrowing.Borrower(ask)
        return await asyncio.gather(
            *(borrower.borrow("a") for _ in range(count))
        )

    return asyncio.run(body())


def test_requests_that_come_together_ask_once():
    asked = []

    async def ask(wishes):
        asked.append(wishes)
        return [fleet_messages.Loan("a", 2, 0.7)]

    assert borrow_many(ask, 3) == [0.0, 0.0, 0.7]
    assert [(one.account, one.tokens) for (one,) in asked] == [("a", 3)]


def test_requests_wait_for_the_next_leader():
    tries = []

    async def ask(wishes):
        tries.append(wishes)
        if len(tries) == 1:
            raise errors.PeerLostError("no leader")
        return [fleet_messages.Loan("a", 1, 0.0)]

    assert borrow_many(ask, 1) == [0.0]


def test_without_a_leader_a_request_is_told_when_to_come_back():
    async def ask(wishes):
        raise errors.PeerLostError("no leader")

    assert borrow_many(ask, 1) == [borrowing.NO_LEADER_WAIT_S]
