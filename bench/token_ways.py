"""Compares three strategies to enforce an account's rate over all hosts.

Run as `python -m bench.token_ways --seed 1`. Requests of one account arrive
at random hosts, and each strategy gets the same arrivals. A strategy is a
function from arrivals to the times of the requests that it admitted. Two
errors are printed: the largest excess over rate and burst in any window, and
the share of requests refused that one ideal bucket, which sees all requests
without delay, would have admitted.
"""

from collections.abc import Callable
import dataclasses
import math
import random
from typing import Annotated

import typer

from sardinehill.core import fleet
from sardinehill.core import token_lending

HOST_COUNT = 11
DURATION_S = 60.0
# One-way delay between two hosts.
HOP_DELAY_S = 0.001
LOAN_REQUEST_INTERVAL_S = 0.005
# From the loss of the holder until the member list shows it.
DETECTION_DELAY_S = 1.5


@dataclasses.dataclass(frozen=True)
class Arrival:
    """The time and the host at which one request arrives."""

    at_s: float
    host: int


@dataclasses.dataclass(frozen=True)
class Scenario:
    """The pattern of arrivals, and the loss of the holder, if any.

    Attributes:
      name: the description that is printed.
      load_ratio: mean rate of arrivals, as a ratio of the account's rate.
      skew: decay of the arrivals from each host to the next; 0 for equal
        shares.
      holder_lost_at_s: when the holder is lost; 0 if it is not.
    """

    name: str
    load_ratio: float
    skew: float = 0.0
    holder_lost_at_s: float = 0.0


Strategy = Callable[
    [fleet.ClientAccountConfig, list[Arrival], Scenario], list[float]
]


def generate_arrivals(
    account: fleet.ClientAccountConfig, scenario: Scenario, rng: random.Random
) -> list[Arrival]:
    """Returns Poisson arrivals, spread over the hosts."""
    weights = [math.exp(-scenario.skew * host) for host in range(HOST_COUNT)]
    arrivals, now_s = [], 0.0
    while now_s < DURATION_S:
        now_s += rng.expovariate(account.rate_per_s * scenario.load_ratio)
        host = rng.choices(range(HOST_COUNT), weights)[0]
        arrivals.append(Arrival(now_s, host))
    return arrivals


def ideal_bucket(
    account: fleet.ClientAccountConfig,
    arrivals: list[Arrival],
    scenario: Scenario,
) -> list[float]:
    """Admits requests by one bucket without delay or loss.

    The other strategies are compared with it.
    """
    terms = token_lending.LoanTerms(
        account.rate_per_s, account.burst_requests, 0.0
    )
    bucket = token_lending.LendingBucket(terms, 0.0, account.burst_requests)
    return [
        arrival.at_s
        for arrival in arrivals
        if bucket.lend(token_lending.LoanRequest(1, 0), arrival.at_s)
    ]


def static_split(
    account: fleet.ClientAccountConfig,
    arrivals: list[Arrival],
    scenario: Scenario,
) -> list[float]:
    """Admits requests by a separate bucket on each host.

    Each bucket has an equal share of the account's rate and burst.
    """
    share = token_lending.LoanTerms(
        account.rate_per_s / HOST_COUNT,
        account.burst_requests / HOST_COUNT,
        0.0,
    )
    buckets = [
        token_lending.LendingBucket(share, 0.0, share.capacity_tokens)
        for _ in range(HOST_COUNT)
    ]
    return [
        arrival.at_s
        for arrival in arrivals
        if buckets[arrival.host].lend(
            token_lending.LoanRequest(1, 0), arrival.at_s
        )
    ]


def central_bucket(
    account: fleet.ClientAccountConfig,
    arrivals: list[Arrival],
    scenario: Scenario,
) -> list[float]:
    """Admits requests by a bucket on one host, which is asked each time.

    A new holder starts with a full bucket, because a central counter without
    quorum protection does not know what its predecessor granted.
    """
    terms = token_lending.LoanTerms(
        account.rate_per_s, account.burst_requests, 0.0
    )
    bucket = token_lending.LendingBucket(terms, 0.0, account.burst_requests)
    replaced_at_s = scenario.holder_lost_at_s + DETECTION_DELAY_S
    is_replaced = False
    admitted = []
    for arrival in arrivals:
        if (
            scenario.holder_lost_at_s
            and scenario.holder_lost_at_s <= arrival.at_s < replaced_at_s
        ):
            continue
        if (
            scenario.holder_lost_at_s
            and arrival.at_s >= replaced_at_s
            and not is_replaced
        ):
            is_replaced = True
            bucket = token_lending.LendingBucket(
                terms, replaced_at_s, account.burst_requests
            )
        if bucket.lend(
            token_lending.LoanRequest(1, 0), arrival.at_s + HOP_DELAY_S
        ):
            admitted.append(arrival.at_s + 2 * HOP_DELAY_S)
    return admitted


def lent_tokens(
    account: fleet.ClientAccountConfig,
    arrivals: list[Arrival],
    scenario: Scenario,
) -> list[float]:
    """Admits requests by tokens that one holder lends ahead of demand.

    The daemons use this strategy.
    """
    terms = token_lending.terms_for(account)
    bucket = token_lending.LendingBucket(terms, 0.0, terms.capacity_tokens)
    replaced_at_s = (
        scenario.holder_lost_at_s
        + DETECTION_DELAY_S
        + token_lending.TAKEOVER_WAIT_S
    )
    borrowers = [token_lending.BorrowedTokens() for _ in range(HOST_COUNT)]
    waiting: list[list[float]] = [[] for _ in range(HOST_COUNT)]
    admitted: list[float] = []
    queue = list(reversed(arrivals))
    is_replaced = False
    for tick in range(int((DURATION_S + 5) / LOAN_REQUEST_INTERVAL_S)):
        now_s = tick * LOAN_REQUEST_INTERVAL_S
        while queue and queue[-1].at_s <= now_s:
            arrival = queue.pop()
            borrowers[arrival.host].record_request(arrival.at_s)
            waiting[arrival.host].append(arrival.at_s)
        is_holder_lost = (
            scenario.holder_lost_at_s
            and scenario.holder_lost_at_s <= now_s < replaced_at_s
        )
        if (
            scenario.holder_lost_at_s
            and now_s >= replaced_at_s
            and not is_replaced
        ):
            is_replaced = True
            bucket = token_lending.LendingBucket(terms, replaced_at_s)
        for host, borrower in enumerate(borrowers):
            request = borrower.next_request(terms, len(waiting[host]), now_s)
            if request is not None and is_holder_lost:
                borrower.record_missing_holder(now_s)
            elif request is not None:
                loan = bucket.lend(request, now_s)
                borrower.add_loan(terms, loan, now_s - HOP_DELAY_S)
            max_wait_s = borrower.max_wait_s(now_s)
            waiting[host] = [
                at_s for at_s in waiting[host] if now_s - at_s <= max_wait_s
            ]
            while waiting[host] and borrower.try_take(now_s):
                waiting[host].pop(0)
                admitted.append(now_s)
    return sorted(admitted)


def max_excess(
    account: fleet.ClientAccountConfig, admitted: list[float]
) -> float:
    """Returns by how many requests the worst window exceeds its limit."""
    worst = 0.0
    lowest = math.inf
    for count, at_s in enumerate(admitted):
        # In the window from request i to j, the requests exceed the refilled
        # tokens by (j - i + 1) - rate * (t_j - t_i).
        lowest = min(lowest, count - account.rate_per_s * at_s)
        used_requests = count + 1 - account.rate_per_s * at_s - lowest
        worst = max(worst, used_requests - account.burst_requests)
    return worst


SCENARIOS = [
    Scenario("half the rate, even", 0.5),
    Scenario("half the rate, uneven", 0.5, skew=0.5),
    Scenario("nine tenths, even", 0.9),
    Scenario("nine tenths, uneven", 0.9, skew=0.5),
    Scenario("half the rate, holder lost", 0.5, holder_lost_at_s=20.0),
    Scenario("ten times, holder lost", 10.0, holder_lost_at_s=20.0),
]
STRATEGIES: dict[str, Strategy] = {
    "static split": static_split,
    "central bucket": central_bucket,
    "lent tokens": lent_tokens,
}
ACCOUNTS = [
    fleet.ClientAccountConfig("large", 80.0, 80.0),
    fleet.ClientAccountConfig("small", 20.0, 20.0),
    fleet.ClientAccountConfig("bursty", 20.0, 200.0),
]


def main(seed: Annotated[int, typer.Option()] = 1) -> None:
    """Prints one line for each account, scenario and strategy."""
    typer.echo("account scenario strategy over_requests refused_within_rate")
    for account in ACCOUNTS:
        for scenario in SCENARIOS:
            arrivals = generate_arrivals(account, scenario, random.Random(seed))
            ideal_count = len(ideal_bucket(account, arrivals, scenario))
            for name, strategy in STRATEGIES.items():
                times_s = strategy(account, arrivals, scenario)
                refused = max(0.0, 1 - len(times_s) / ideal_count)
                typer.echo(
                    f"{account.name:6} {scenario.name:27} {name:15}"
                    f" {max_excess(account, times_s):8.2f} {refused:8.2%}"
                )


if __name__ == "__main__":
    typer.run(main)
