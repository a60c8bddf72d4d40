"""Tests of the lending of client accounts' tokens by a leader."""

import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st

from sardinehill import errors
from sardinehill.core import fleet_messages
from sardinehill.core import quota_lending
from sardinehill.core import quota_shares
from sardinehill.core import routes
from sardinehill.front import borrowing

QUOTA = quota_shares.FleetQuota(
    window_s=5.0, over_ratio=0.1, slack_requests=20.0
)
ACCOUNT = routes.ClientAccount("a", 20.0, 20.0, None)
DAEMONS = 65


START = quota_lending.LendingStart(0.0, {})


def table(resigned=False, **lendable):
    return fleet_messages.LeaderTable(
        1, "x", "127.0.0.1:1", 1, 2, lendable=lendable, resigned=resigned
    )


def token_request(tokens=1):
    return fleet_messages.TokenRequest("a", tokens)


@given(
    st.lists(
        st.tuples(st.floats(0.0, 1.0), st.integers(1, 30)),
        max_size=200,
    )
)
def test_no_sequence_of_requests_exceeds_an_accounts_bound(requests):
    lender = quota_lending.Lender(QUOTA, START)
    now_s, lent = 100.0, []
    for elapsed_s, wanted in requests:
        now_s += elapsed_s
        loan = lender.lend(ACCOUNT, token_request(wanted), DAEMONS, now_s)
        lent.append((now_s, loan.tokens))
    bound = (20.0 * 5.0 + 20.0) * 1.1 + 20.0
    for first_s, _ in lent:
        window = [n for lent_s, n in lent if first_s <= lent_s <= first_s + 5.0]
        assert sum(window) <= bound


def test_a_fleet_of_65_daemons_serves_an_account_within_its_rate():
    # When the rate was divided evenly among all daemons, none ever had a whole
    # token, and only 28% of the requests were served.
    lender = quota_lending.Lender(QUOTA, START)
    rng = random.Random(1)
    refused = 0
    now_s = 10.0
    for _ in range(1000):
        now_s += rng.expovariate(15.0)
        if lender.lend(ACCOUNT, token_request(), DAEMONS, now_s).tokens == 0:
            refused += 1
    assert refused < 10


def test_a_new_leader_lends_nothing_while_a_partitioned_one_may_lend():
    start = quota_lending.lending_start(10.0, table(), is_restart=False)
    lender = quota_lending.Lender(QUOTA, start)
    early = lender.lend(ACCOUNT, token_request(), DAEMONS, 10.1)
    assert early.tokens == 0
    assert early.wait_s > 0
    later_s = 10.1 + early.wait_s + 1.0 / ACCOUNT.rate_per_s
    assert lender.lend(ACCOUNT, token_request(), DAEMONS, later_s).tokens == 1


def test_a_new_leader_lends_part_of_the_remaining_tokens():
    start = quota_lending.lending_start(
        10.0, table(resigned=True, a=8.0), is_restart=False
    )
    lender = quota_lending.Lender(QUOTA, start)
    assert lender.lend(ACCOUNT, token_request(30), DAEMONS, 10.0).tokens == 4


def test_a_restarted_fleet_lends_at_once():
    start = quota_lending.lending_start(10.0, None, is_restart=True)
    lender = quota_lending.Lender(QUOTA, start)
    lent = lender.lend(ACCOUNT, token_request(1000), DAEMONS, 10.0).tokens
    # More than two seconds of the rate were earned while all daemons were down.
    assert 0 < lent <= 2.2 * ACCOUNT.rate_per_s


def test_a_daemon_that_knows_no_table_inherits_nothing():
    start = quota_lending.lending_start(10.0, None, is_restart=False)
    lender = quota_lending.Lender(QUOTA, start)
    assert lender.lend(ACCOUNT, token_request(), DAEMONS, 10.1).tokens == 0


def test_refused_requests_return_when_there_is_a_token_for_each():
    # After a restart of the fleet 60 requests arrive at once. All were told the
    # time of the next token, returned together and were refused again.
    lender = quota_lending.Lender(QUOTA, START)
    now_s = 10.0
    lender.lend(ACCOUNT, token_request(1000), DAEMONS, now_s)
    returns_s = sorted(
        now_s + lender.lend(ACCOUNT, token_request(), DAEMONS, now_s).wait_s
        for _ in range(30)
    )
    served = sum(
        lender.lend(ACCOUNT, token_request(), DAEMONS, return_s + 0.01).tokens
        for return_s in returns_s
    )
    assert served == 30


def test_the_wait_of_refused_requests_is_bounded():
    lender = quota_lending.Lender(QUOTA, START)
    for _ in range(1000):
        loan = lender.lend(ACCOUNT, token_request(5), DAEMONS, 10.0)
        assert loan.wait_s <= quota_lending.MAX_RETURN_WAIT_S


def borrow_concurrently(ask, count):
    async def body():
        borrower = borrowing.TokenBorrower(ask)
        return await asyncio.gather(
            *(borrower.borrow("a") for _ in range(count))
        )

    return asyncio.run(body())


def test_concurrent_requests_are_batched():
    sent_requests = []

    async def ask(requests):
        sent_requests.append(requests)
        return [fleet_messages.TokenLoan("a", 2, 0.7)]

    assert borrow_concurrently(ask, 3) == [0.0, 0.0, 0.7]
    assert [(request.name, request.tokens) for (request,) in sent_requests] == [
        ("a", 3)
    ]


def test_requests_wait_for_the_next_leader():
    attempts = []

    async def ask(requests):
        attempts.append(requests)
        if len(attempts) == 1:
            raise errors.PeerLostError("no leader")
        return [fleet_messages.TokenLoan("a", 1, 0.0)]

    assert borrow_concurrently(ask, 1) == [0.0]


def test_requests_get_a_retry_delay_if_asking_for_loans_fails():
    async def ask(requests):
        raise KeyError("unexpected")

    async def body():
        borrower = borrowing.TokenBorrower(ask)
        async with asyncio.timeout(1.0):
            return await asyncio.gather(
                *(borrower.borrow("a") for _ in range(2))
            )

    waits_s = asyncio.run(body())
    assert waits_s == [borrowing.NO_LEADER_RETRY_AFTER_S] * 2


def test_without_a_leader_a_request_gets_a_retry_delay():
    async def ask(requests):
        raise errors.PeerLostError("no leader")

    assert borrow_concurrently(ask, 1) == [borrowing.NO_LEADER_RETRY_AFTER_S]
