"""Weighs three ways to count an account's tokens over all hosts.

Run as `python -m bench.token_ways --seed 1`. Requests of one account arrive
at random hosts; the ways see the same arrivals. Each way is a plain function
from arrivals to the times of the requests it admitted. Two errors are told:
the most by which any window exceeds rate and burst, and the share of requests
refused though one bucket that sees everything at once would admit them.
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
# One way between two hosts.
HOP_DELAY_S = 0.001
LOAN_REQUEST_INTERVAL_S = 0.005
# When the holder is lost, until the member list says so.
DETECTION_DELAY_S = 1.5


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request: when, and at which host."""

    at_s: float
    host: int


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Arrivals at a share of the rate, and what is lost.

    Attributes:
      name: what is told.
      load_ratio: mean arrivals as a share of the rate.
      skew: how much the first hosts get more than the others.
      holder_lost_at_s: when the holder is lost; 0 for never.
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
    found, now_s = [], 0.0
    while now_s < DURATION_S:
        now_s += rng.expovariate(account.rate_per_s * scenario.load_ratio)
        host = rng.choices(range(HOST_COUNT), weights)[0]
        found.append(Arrival(now_s, host))
    return found


def ideal_bucket(
    account: fleet.ClientAccountConfig, arrivals: list[Arrival], story: Scenario
) -> list[float]:
    """The measure: a bucket that sees everything at once and is never lost."""
    terms = token_lending.LoanTerms(
        account.rate_per_s, account.burst_requests, 0.0
    )
    bucket = token_lending.LendingBucket(terms, 0.0, account.burst_requests)
    return [
        one.at_s
        for one in arrivals
        if bucket.lend(token_lending.LoanRequest(1, 0), one.at_s)
    ]


def static_split(
    account: fleet.ClientAccountConfig, arrivals: list[Arrival], story: Scenario
) -> list[float]:
    """Each host has its share of rate and burst for itself."""
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
        one.at_s
        for one in arrivals
        if buckets[one.host].lend(token_lending.LoanRequest(1, 0), one.at_s)
    ]


def central_bucket(
    account: fleet.ClientAccountConfig, arrivals: list[Arrival], story: Scenario
) -> list[float]:
    """Each request asks one host; a new holder begins with a full bucket.

    A full beginning is what a central counter without a licence does: it
    knows nothing of what its predecessor gave.
    """
    terms = token_lending.LoanTerms(
        account.rate_per_s, account.burst_requests, 0.0
    )
    bucket = token_lending.LendingBucket(terms, 0.0, account.burst_requests)
    back_s = story.holder_lost_at_s + DETECTION_DELAY_S
    replaced = False
    admitted = []
    for one in arrivals:
        if (
            story.holder_lost_at_s
            and story.holder_lost_at_s <= one.at_s < back_s
        ):
            continue
        if story.holder_lost_at_s and one.at_s >= back_s and not replaced:
            replaced = True
            bucket = token_lending.LendingBucket(
                terms, back_s, account.burst_requests
            )
        if bucket.lend(token_lending.LoanRequest(1, 0), one.at_s + HOP_DELAY_S):
            admitted.append(one.at_s + 2 * HOP_DELAY_S)
    return admitted


def lent_tokens(
    account: fleet.ClientAccountConfig, arrivals: list[Arrival], story: Scenario
) -> list[float]:
    """One holder lends ahead of demand; the way that was built."""
    terms = token_lending.terms_for(account)
    bucket = token_lending.LendingBucket(terms, 0.0, terms.capacity_tokens)
    back_s = (
        story.holder_lost_at_s
        + DETECTION_DELAY_S
        + token_lending.TAKEOVER_WAIT_S
    )
    borrowers = [token_lending.BorrowedTokens() for _ in range(HOST_COUNT)]
    waiting: list[list[float]] = [[] for _ in range(HOST_COUNT)]
    admitted: list[float] = []
    queue = list(reversed(arrivals))
    replaced = False
    for tick in range(int((DURATION_S + 5) / LOAN_REQUEST_INTERVAL_S)):
        now_s = tick * LOAN_REQUEST_INTERVAL_S
        while queue and queue[-1].at_s <= now_s:
            one = queue.pop()
            borrowers[one.host].record_request(one.at_s)
            waiting[one.host].append(one.at_s)
        lost = (
            story.holder_lost_at_s and story.holder_lost_at_s <= now_s < back_s
        )
        if story.holder_lost_at_s and now_s >= back_s and not replaced:
            replaced = True
            bucket = token_lending.LendingBucket(terms, back_s)
        for host, borrower in enumerate(borrowers):
            wish = borrower.next_request(terms, len(waiting[host]), now_s)
            if wish is not None and lost:
                borrower.record_missing_holder(now_s)
            elif wish is not None:
                lent = bucket.lend(wish, now_s)
                borrower.add_loan(terms, lent, now_s - HOP_DELAY_S)
            patience_s = borrower.max_wait_s(now_s)
            waiting[host] = [
                at_s for at_s in waiting[host] if now_s - at_s <= patience_s
            ]
            while waiting[host] and borrower.try_take(now_s):
                waiting[host].pop(0)
                admitted.append(now_s)
    return sorted(admitted)


def max_excess_requests(
    account: fleet.ClientAccountConfig, admitted: list[float]
) -> float:
    """Returns by how many requests the worst window exceeds its bound."""
    worst = 0.0
    lowest = math.inf
    for count, at_s in enumerate(admitted):
        # Used in a window from i to j: (j - i + 1) - rate * (t_j - t_i).
        lowest = min(lowest, count - account.rate_per_s * at_s)
        used = count + 1 - account.rate_per_s * at_s - lowest
        worst = max(worst, used - account.burst_requests)
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
    """Prints one line for each account, story and way."""
    typer.echo("account story way over_requests refused_within_rate")
    for account in ACCOUNTS:
        for story in SCENARIOS:
            arrivals = generate_arrivals(account, story, random.Random(seed))
            best = len(ideal_bucket(account, arrivals, story))
            for name, way in STRATEGIES.items():
                admitted = way(account, arrivals, story)
                refused = max(0.0, 1 - len(admitted) / best)
                typer.echo(
                    f"{account.name:6} {story.name:27} {name:15}"
                    f" {max_excess_requests(account, admitted):8.2f} {refused:8.2%}"
                )


if __name__ == "__main__":
    typer.run(main)
