"""What the brief measures, worked out from the journals of a run."""

import collections
from typing import Any

from hdrh import histogram

from standins.referee import request_checks
from standins.referee import run_history

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


def compute_metrics(
    facts: run_history.RunHistory, begin_s: float, end_s: float
) -> dict[str, Any]:
    """Returns all measures of the time between two moments."""
    answers = [
        answer
        for answer in facts.answers
        if begin_s <= answer["sent_s"] < end_s
    ]
    good = [answer for answer in answers if answer["status"] == 200]
    seconds = max(end_s - begin_s, 0.001)
    return {
        "requests": len(answers),
        "served_share": round(len(good) / max(len(answers), 1), 5),
        "served_per_s": round(len(good) / seconds, 1),
        "latency_ms": latency_percentiles_ms(good),
        "load_imbalance": _load_imbalance(facts, begin_s, end_s),
        "ownership_churn": _ownership_churn(facts, begin_s, end_s),
        "unavailable_s": _unavailability(answers),
        "worst_account": _worst_account(answers),
        "refusals": _count_refusals(answers),
        "refused_within_rate": _count_refused_within_rate(facts, answers),
        "collapses_after_silent_falls": request_checks.count_silent_collapses(
            facts
        ),
    }


def latency_percentiles_ms(
    answers: list[run_history.Record],
) -> dict[str, float]:
    """Returns latency quantiles of served requests in milliseconds."""
    found = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for answer in answers:
        latency_s = answer["answered_s"] - answer["sent_s"]
        found.record_value(max(1, int(latency_s * US_PER_S)))
    return {
        f"p{quantile:g}": round(
            found.get_value_at_percentile(quantile) / 1000, 2
        )
        for quantile in (50, 99, 99.9)
    }


def _load_imbalance(
    facts: run_history.RunHistory, begin_s: float, end_s: float
) -> dict[str, float]:
    """Returns, per service, the busiest upstream's work over the mean."""
    work: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for record in facts.by_event["up"]:
        work[record["service"]][record["source"]] += 0
    for run in facts.runs:
        if run.end == "finished" and begin_s <= run.start_s < end_s:
            work[run.record["service"]][run.upstream] += 1
    return {
        service: round(
            max(counts.values())
            / max(sum(counts.values()) / len(counts), 1e-9),
            2,
        )
        for service, counts in work.items()
    }


def _ownership_churn(
    facts: run_history.RunHistory, begin_s: float, end_s: float
) -> dict[str, Any]:
    """Returns how many times a shard got another owner."""
    owners: dict[str, list[str]] = {}
    moved: collections.Counter[str] = collections.Counter()
    writes: collections.Counter[str] = collections.Counter()
    for record in facts.by_event["put"]:
        if record["kind"] != "assignment":
            continue
        value, service = record["value"], record["name"]
        now = [
            value["upstreams"][index] if index >= 0 else ""
            for index in value["owners"]
        ]
        before = owners.get(service, now)
        owners[service] = now
        if begin_s <= record["monotonic_s"] < end_s:
            writes[service] += 1
            moved[service] += sum(
                one != other and other != ""
                for one, other in zip(before, now, strict=False)
            )
    return {
        service: {
            "shards": len(now),
            "moves": moved[service],
            "writes": writes[service],
        }
        for service, now in owners.items()
    }


def _unavailability(answers: list[run_history.Record]) -> dict[str, Any]:
    """Returns how long keys were not served.

    A key is unavailable from its first request that was not served to its
    next one that was. Refusals of rate are the account's, not the key's.
    """
    since: dict[str, float] = {}
    total: dict[str, float] = collections.defaultdict(float)
    longest: dict[str, float] = {}
    ordered = sorted(answers, key=lambda one: one["answered_s"])
    keys = {answer["key"] for answer in answers if answer["key"]}
    for answer in ordered:
        key = answer["key"]
        if not key or answer["reason"] == "over-rate":
            continue
        if answer["status"] != 200:
            since.setdefault(key, answer["sent_s"])
        elif key in since:
            gap_s = answer["answered_s"] - since.pop(key)
            total[key] += gap_s
            longest[key] = max(gap_s, longest.get(key, 0.0))
    gaps = sorted(longest.values())
    return {
        "keys": len(keys),
        "keys_hit": len(gaps),
        "mean_per_key": round(sum(total.values()) / max(len(keys), 1), 4),
        "longest": round(gaps[-1], 3) if gaps else 0.0,
        "never_again": len(since),
    }


def _worst_account(answers: list[run_history.Record]) -> dict[str, Any]:
    """Returns the account with the least share of its requests served.

    Requests that were refused for the account's own rate do not count as
    its requests: an account that sends too much is not badly served.
    """
    by_account: dict[str, list[run_history.Record]] = collections.defaultdict(
        list
    )
    for answer in answers:
        if answer["reason"] != "over-rate":
            by_account[answer["account"]].append(answer)
    shares = {
        account: sum(one["status"] == 200 for one in found) / len(found)
        for account, found in by_account.items()
    }
    if not shares:
        return {}
    worst = min(shares, key=lambda account: shares[account])
    good = [one for one in by_account[worst] if one["status"] == 200]
    slowest = max(
        latency_percentiles_ms([a for a in found if a["status"] == 200])["p99"]
        for found in by_account.values()
    )
    return {
        "account": worst,
        "served_share": round(shares[worst], 4),
        "p99_ms": latency_percentiles_ms(good)["p99"],
        "slowest_p99_ms": slowest,
    }


def _count_refusals(answers: list[run_history.Record]) -> dict[str, int]:
    return dict(
        collections.Counter(
            answer["reason"] or answer["outcome"]
            for answer in answers
            if answer["status"] != 200
        )
    )


def _count_refused_within_rate(
    facts: run_history.RunHistory, answers: list[run_history.Record]
) -> int:
    """Returns how many refusals for rate one exact bucket would not make."""
    shares = {
        record["account"]: (record["rate_per_s"], record["burst_requests"])
        for record in facts.by_event["account-share"]
    }
    refused = 0
    level: dict[str, tuple[float, float]] = {}
    for answer in sorted(answers, key=lambda one: one["sent_s"]):
        account = answer["account"]
        if account not in shares or answer["reason"].startswith("account-key"):
            continue
        rate_per_s, burst = shares[account]
        tokens, at_s = level.get(account, (burst, answer["sent_s"]))
        now_s = answer["sent_s"]
        tokens = min(burst, tokens + (now_s - at_s) * rate_per_s)
        if answer["reason"] != "over-rate":
            tokens = max(0.0, tokens - 1.0)
        elif tokens >= 1.0:
            refused += 1
        level[account] = (tokens, now_s)
    return refused
