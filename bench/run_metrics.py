"""Computes the metrics of the project's brief from a run's journals."""

import collections
from typing import Any

from hdrh import histogram

from standins.referee import request_checks
from standins.referee import run_history

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


def compute_metrics(
    history: run_history.RunHistory, begin_s: float, end_s: float
) -> dict[str, Any]:
    """Returns the metrics of a run between two monotonic times.

    Args:
      history: the records of all journals of the run.
      begin_s: only requests sent at or after this time count.
      end_s: only requests sent before this time count.
    """
    answers = [
        answer
        for answer in history.answers
        if begin_s <= answer["sent_s"] < end_s
    ]
    served_answers = [answer for answer in answers if answer["status"] == 200]
    seconds = max(end_s - begin_s, 0.001)
    return {
        "requests": len(answers),
        "served_share": round(len(served_answers) / max(len(answers), 1), 5),
        "served_per_s": round(len(served_answers) / seconds, 1),
        "latency_ms": latency_percentiles_ms(served_answers),
        "load_imbalance": _load_imbalance(history, begin_s, end_s),
        "ownership_churn": _ownership_churn(history, begin_s, end_s),
        "unavailable_s": _unavailability(answers),
        "worst_account": _worst_account(answers),
        "refusals": _count_refusals(answers),
        "refused_within_rate": _count_refused_within_rate(history, answers),
        "collapses_after_silent_falls": request_checks.count_silent_collapses(
            history
        ),
    }


def latency_percentiles_ms(
    answers: list[run_history.Record],
) -> dict[str, float]:
    """Returns the latency percentiles of some answers, in milliseconds."""
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for answer in answers:
        latency_s = answer["answered_s"] - answer["sent_s"]
        latencies.record_value(max(1, int(latency_s * US_PER_S)))
    return {
        f"p{percentile:g}": round(
            latencies.get_value_at_percentile(percentile) / 1000, 2
        )
        for percentile in (50, 99, 99.9)
    }


def _load_imbalance(
    history: run_history.RunHistory, begin_s: float, end_s: float
) -> dict[str, float]:
    """Returns, per service, the ratio of the busiest upstream to the mean.

    The load of an upstream is the number of requests that it finished.
    """
    finished: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for record in history.by_event["up"]:
        finished[record["service"]][record["source"]] += 0
    for run in history.runs:
        if run.end == "finished" and begin_s <= run.start_s < end_s:
            finished[run.record["service"]][run.upstream] += 1
    return {
        service: round(
            max(counts.values())
            / max(sum(counts.values()) / len(counts), 1e-9),
            2,
        )
        for service, counts in finished.items()
    }


def _ownership_churn(
    history: run_history.RunHistory, begin_s: float, end_s: float
) -> dict[str, Any]:
    """Returns, per service, how many shards changed their owner.

    A shard that loses its owner is counted only when it gets the next one.
    """
    owners: dict[str, list[str]] = {}
    moves: collections.Counter[str] = collections.Counter()
    writes: collections.Counter[str] = collections.Counter()
    for record in history.by_event["put"]:
        if record["kind"] != "assignment":
            continue
        value, service = record["value"], record["name"]
        new_owners = [
            value["upstreams"][index] if index >= 0 else ""
            for index in value["owners"]
        ]
        old_owners = owners.get(service, new_owners)
        owners[service] = new_owners
        if begin_s <= record["monotonic_s"] < end_s:
            writes[service] += 1
            moves[service] += sum(
                old != new and new != ""
                for old, new in zip(old_owners, new_owners, strict=False)
            )
    return {
        service: {
            "shards": len(new_owners),
            "moves": moves[service],
            "writes": writes[service],
        }
        for service, new_owners in owners.items()
    }


def _unavailability(answers: list[run_history.Record]) -> dict[str, Any]:
    """Returns for how long keys were not served, in seconds.

    A key is unavailable from its first request that was not served until the
    next one that was. Rate refusals do not count, because they concern the
    account and not the key.
    """
    unserved_since_s: dict[str, float] = {}
    total_gap_s: dict[str, float] = collections.defaultdict(float)
    longest_gap_s: dict[str, float] = {}
    ordered = sorted(answers, key=lambda answer: answer["answered_s"])
    keys = {answer["key"] for answer in answers if answer["key"]}
    for answer in ordered:
        key = answer["key"]
        if not key or answer["reason"] == "over-rate":
            continue
        if answer["status"] != 200:
            unserved_since_s.setdefault(key, answer["sent_s"])
        elif key in unserved_since_s:
            gap_s = answer["answered_s"] - unserved_since_s.pop(key)
            total_gap_s[key] += gap_s
            longest_gap_s[key] = max(gap_s, longest_gap_s.get(key, 0.0))
    gaps = sorted(longest_gap_s.values())
    return {
        "keys": len(keys),
        "keys_hit": len(gaps),
        "mean_per_key": round(sum(total_gap_s.values()) / max(len(keys), 1), 4),
        "longest": round(gaps[-1], 3) if gaps else 0.0,
        "never_again": len(unserved_since_s),
    }


def _worst_account(answers: list[run_history.Record]) -> dict[str, Any]:
    """Returns the account with the smallest share of served requests.

    Requests that were refused for the account's own rate do not count,
    because an account that exceeds its rate is not badly served.
    """
    by_account: dict[str, list[run_history.Record]] = collections.defaultdict(
        list
    )
    for answer in answers:
        if answer["reason"] != "over-rate":
            by_account[answer["account"]].append(answer)
    shares = {
        account: sum(answer["status"] == 200 for answer in account_answers)
        / len(account_answers)
        for account, account_answers in by_account.items()
    }
    if not shares:
        return {}
    worst = min(shares, key=lambda account: shares[account])
    served_answers = [
        answer for answer in by_account[worst] if answer["status"] == 200
    ]
    slowest = max(
        latency_percentiles_ms(
            [answer for answer in account_answers if answer["status"] == 200]
        )["p99"]
        for account_answers in by_account.values()
    )
    return {
        "account": worst,
        "served_share": round(shares[worst], 4),
        "p99_ms": latency_percentiles_ms(served_answers)["p99"],
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
    history: run_history.RunHistory, answers: list[run_history.Record]
) -> int:
    """Returns how many rate refusals one exact bucket would have avoided."""
    shares = {
        record["account"]: (record["rate_per_s"], record["burst_requests"])
        for record in history.by_event["account-share"]
    }
    avoidable = 0
    buckets: dict[str, tuple[float, float]] = {}
    for answer in sorted(answers, key=lambda answer: answer["sent_s"]):
        account = answer["account"]
        if account not in shares or answer["reason"].startswith("account-key"):
            continue
        rate_per_s, burst = shares[account]
        tokens, at_s = buckets.get(account, (burst, answer["sent_s"]))
        now_s = answer["sent_s"]
        tokens = min(burst, tokens + (now_s - at_s) * rate_per_s)
        if answer["reason"] != "over-rate":
            tokens = max(0.0, tokens - 1.0)
        elif tokens >= 1.0:
            avoidable += 1
        buckets[account] = (tokens, now_s)
    return avoidable
