"""Checks single requests: accounts, rates, verdicts, answers, repeats."""

import collections
import heapq

from standins.referee import run_history

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def check_cold_start_load(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks that an upstream is not overloaded after its start.

    A collapse after the upstream became cold again silently is not a violation,
    because it had not just started and the daemons could not know. Such
    collapses are counted by `count_silent_collapses`.
    """
    result = run_history.CheckResult("a starting upstream gets what it bears")
    result.events = sum(run.record["cold"] for run in history.runs)
    cold_again: set[tuple[str, str]] = set()
    for record in history.records:
        if record["event"] == "fell-cold":
            cold_again.add((record["source"], record["incarnation"]))
        if record["event"] != "collapsed":
            continue
        if (record["source"], record["incarnation"]) not in cold_again:
            result.violations.append(
                f"{record['source']} collapsed at"
                f" {record['monotonic_s']:.3f}, its limit was {record['bears']}"
            )
    return result


def count_silent_collapses(history: run_history.RunHistory) -> int:
    """Counts the collapses of upstreams that became cold silently."""
    cold_again: set[tuple[str, str]] = set()
    count = 0
    for record in history.records:
        if record["event"] == "fell-cold":
            cold_again.add((record["source"], record["incarnation"]))
        elif record["event"] == "collapsed":
            count += (record["source"], record["incarnation"]) in cold_again
    return count


def check_request_account(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks accounts of runs, hidden secrets and revoked account keys."""
    result = run_history.CheckResult(
        "a request runs for its own client account"
    )
    senders = {
        answer["marker"]: answer["account"] for answer in history.answers
    }
    for run in history.runs:
        marker, account = run.record["marker"], run.record["account"]
        if marker not in senders:
            continue
        result.events += 1
        if account != senders[marker]:
            result.violations.append(
                f"{marker}: sent by {senders[marker]}, but ran for {account}"
            )
        if run.record["secrets_seen"]:
            result.violations.append(
                f"{marker}: {run.upstream} saw {run.record['secrets_seen']}"
            )
    _check_revoked_keys(history, result)
    return result


def _check_revoked_keys(
    history: run_history.RunHistory, result: run_history.CheckResult
) -> None:
    refused_from_s = {
        record["account_key_id"]: record["monotonic_s"]
        + run_history.SETTLING_TIME_S
        for record in history.by_event["key-revoked"]
    }
    for answer in history.answers:
        key_refused_from_s = refused_from_s.get(answer["account_key_id"])
        if key_refused_from_s is None or answer["sent_s"] <= key_refused_from_s:
            continue
        result.events += 1
        for run in history.runs_by_marker.get(answer["marker"], ()):
            if run.record["request_id"] == answer["request_id"]:
                result.violations.append(
                    f"{answer['marker']}: ran at {run.start_s:.3f} with an"
                    " account key that was revoked"
                )


def check_account_rates(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks that no account exceeds its rate and burst over all hosts.

    A request was admitted at some time between its sending and its start. There
    is a violation only if no choice of those times keeps the rate: each token
    goes, as soon as it exists, to the open request with the earliest start.
    """
    result = run_history.CheckResult(
        "no client account gets more than its rate"
    )
    quotas = {
        record["account"]: (record["rate_per_s"], record["burst_requests"])
        for record in history.by_event["account-share"]
    }
    sent_s = {
        (answer["marker"], answer["request_id"]): answer["sent_s"]
        for answer in history.answers
    }
    first_sent_s: dict[str, float] = {}
    for answer in history.answers:
        first_sent_s.setdefault(answer["marker"], answer["sent_s"])
    spans: dict[str, dict[str, tuple[float, float]]] = collections.defaultdict(
        dict
    )
    for run in history.runs:
        record = run.record
        request_sent_s = sent_s.get((record["marker"], record["request_id"]))
        if request_sent_s is None:
            request_sent_s = first_sent_s.get(record["marker"])
        if request_sent_s is not None and record["account"] in quotas:
            # A request that a daemon retried took only one token.
            known_span = spans[record["account"]].get(record["request_id"])
            start_s = (
                min(run.start_s, known_span[1]) if known_span else run.start_s
            )
            spans[record["account"]][record["request_id"]] = (
                request_sent_s,
                start_s,
            )
    for account, account_spans in spans.items():
        rate_per_s, burst = quotas[account]
        result.events += len(account_spans)
        excess = count_over_rate(
            list(account_spans.values()), rate_per_s, burst
        )
        if excess:
            result.violations.append(f"{account}: {excess} tokens over")
    return result


def count_over_rate(
    spans: list[tuple[float, float]], rate_per_s: float, burst: float
) -> int:
    """Returns how many requests no token bucket could have admitted.

    Args:
      spans: the earliest and latest time of each admission, in seconds.
      rate_per_s: tokens added to the bucket per second.
      burst: capacity of the bucket in tokens.
    """
    excess = 0
    tokens, filled_s = burst, 0.0
    open_deadlines_s: list[float] = []
    arrivals = sorted(spans)
    index = 0
    while index < len(arrivals) or open_deadlines_s:
        now_s = filled_s
        if not open_deadlines_s:
            now_s = max(filled_s, arrivals[index][0])
        tokens = min(burst, tokens + (now_s - filled_s) * rate_per_s)
        filled_s = now_s
        while index < len(arrivals) and arrivals[index][0] <= now_s:
            heapq.heappush(open_deadlines_s, arrivals[index][1])
            index += 1
        if tokens >= 1.0 - 1e-9:
            tokens -= 1.0
            excess += heapq.heappop(open_deadlines_s) < now_s - 1e-6
            continue
        refilled_s = now_s + (1.0 - tokens) / rate_per_s
        next_s = arrivals[index][0] if index < len(arrivals) else refilled_s
        next_step_s = max(now_s, min(refilled_s, next_s))
        tokens += (next_step_s - now_s) * rate_per_s
        filled_s = next_step_s
    return excess


def check_complete_answers(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks that a caller gets the whole answer to its own request."""
    result = run_history.CheckResult(
        "a caller gets the whole answer to its request"
    )
    for answer in history.answers:
        if answer["outcome"] != "answered":
            continue
        result.events += 1
        if answer["status"] == 200 and not answer["matches"]:
            result.violations.append(
                f"{answer['marker']}: incomplete or foreign answer"
            )
        if not answer["verdict"]:
            result.violations.append(
                f"{answer['marker']}: no verdict, status {answer['status']}"
            )
    return result


def check_not_run_verdicts(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks that a request with the verdict "not-run" has not run.

    A run counts once it has started, unless the upstream itself rejected it
    later. It also counts when the upstream was lost during the run.
    """
    result = run_history.CheckResult('a refusal that says "not run" is true')
    for answer in history.answers:
        if answer["verdict"] != "not-run":
            continue
        result.events += 1
        for run in history.runs_by_marker.get(answer["marker"], ()):
            is_same_request = run.record["request_id"] == answer["request_id"]
            if is_same_request and run.end != "not-run":
                result.violations.append(
                    f"{answer['marker']}: reported as not run"
                    f" ({answer['reason']}), but ran on {run.upstream}"
                )
    return result


def check_at_most_once(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks that a non-idempotent action runs at most once."""
    result = run_history.CheckResult("a committing action runs at most once")
    non_idempotent = {
        answer["marker"]
        for answer in history.answers
        if answer["method"] not in IDEMPOTENT_METHODS
    }
    for marker in non_idempotent:
        runs = history.runs_by_marker.get(marker, [])
        ran = [run for run in runs if run.end != "not-run"]
        result.events += bool(ran)
        if len(ran) > 1:
            upstreams = ", ".join(run.upstream for run in ran)
            result.violations.append(
                f"{marker}: ran {len(ran)} times, on {upstreams}"
            )
        # An action that was reported as run must not be lost either, since
        # the caller relies on it.
        reported_run = any(
            answer["verdict"] == "ran" and answer["status"] == 200
            for answer in history.answers_for(marker)
        )
        if reported_run and not any(run.end == "finished" for run in ran):
            result.violations.append(
                f"{marker}: reported as run, but did not finish"
            )
    return result
