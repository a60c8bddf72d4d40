"""Checks of single requests: accounts, verdicts, answers, doubles."""

import collections
import heapq

from standins.referee import run_history

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def check_cold_start_load(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """An upstream that has just started gets no more than it bears.

    A collapse after a silent fall into a cold start is not counted here: the
    upstream had not just started, and nobody was told. It is reported by
    `collapses_after_silent_falls`.
    """
    finding = run_history.CheckResult("a starting upstream gets what it bears")
    finding.events = sum(run.record["cold"] for run in facts.runs)
    fallen: set[tuple[str, str]] = set()
    for record in facts.records:
        if record["event"] == "fell-cold":
            fallen.add((record["source"], record["incarnation"]))
        if record["event"] != "collapsed":
            continue
        if (record["source"], record["incarnation"]) not in fallen:
            finding.violations.append(
                f"{record['source']} collapsed at"
                f" {record['monotonic_s']:.3f}, bearing {record['bears']}"
            )
    return finding


def count_silent_collapses(facts: run_history.RunHistory) -> int:
    """Returns how often an upstream that fell cold silently collapsed."""
    fallen: set[tuple[str, str]] = set()
    count = 0
    for record in facts.records:
        if record["event"] == "fell-cold":
            fallen.add((record["source"], record["incarnation"]))
        elif record["event"] == "collapsed":
            count += (record["source"], record["incarnation"]) in fallen
    return count


def check_request_account(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """A request runs for its own account; keys stay hidden and revocable."""
    finding = run_history.CheckResult(
        "a request runs for its own client account"
    )
    owners = {answer["marker"]: answer["account"] for answer in facts.answers}
    for run in facts.runs:
        marker, account = run.record["marker"], run.record["account"]
        if marker not in owners:
            continue
        finding.events += 1
        if account != owners[marker]:
            finding.violations.append(
                f"{marker}: of {owners[marker]}, ran for {account}"
            )
        if run.record["secrets_seen"]:
            finding.violations.append(
                f"{marker}: {run.upstream} saw {run.record['secrets_seen']}"
            )
    _check_revoked_keys(facts, finding)
    return finding


def _check_revoked_keys(
    facts: run_history.RunHistory, finding: run_history.CheckResult
) -> None:
    ends_s = {
        record["account_key_id"]: record["monotonic_s"]
        + run_history.SETTLING_TIME_S
        for record in facts.by_event["key-revoked"]
    }
    for answer in facts.answers:
        end_s = ends_s.get(answer["account_key_id"])
        if end_s is None or answer["sent_s"] <= end_s:
            continue
        finding.events += 1
        for run in facts.runs_by_marker.get(answer["marker"], ()):
            if run.record["request_id"] == answer["request_id"]:
                finding.violations.append(
                    f"{answer['marker']}: ran at {run.start_s:.3f} with an"
                    " account key that was revoked"
                )


def check_account_rates(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """No account gets more than its rate and burst over all hosts.

    A request was admitted at some moment between its sending and its start.
    There is a violation only when no choice of those moments keeps the rate:
    tokens are handed out earliest start first, as soon as there are any.
    """
    finding = run_history.CheckResult(
        "no client account gets more than its rate"
    )
    shares = {
        record["account"]: (record["rate_per_s"], record["burst_requests"])
        for record in facts.by_event["account-share"]
    }
    sent_s = {
        (answer["marker"], answer["request_id"]): answer["sent_s"]
        for answer in facts.answers
    }
    first_sent_s: dict[str, float] = {}
    for answer in facts.answers:
        first_sent_s.setdefault(answer["marker"], answer["sent_s"])
    spans: dict[str, dict[str, tuple[float, float]]] = collections.defaultdict(
        dict
    )
    for run in facts.runs:
        record = run.record
        sent = sent_s.get((record["marker"], record["request_id"]))
        if sent is None:
            sent = first_sent_s.get(record["marker"])
        if sent is not None and record["account"] in shares:
            # A request that is sent again inside took one token.
            known = spans[record["account"]].get(record["request_id"])
            start_s = min(run.start_s, known[1]) if known else run.start_s
            spans[record["account"]][record["request_id"]] = (sent, start_s)
    for account, found in spans.items():
        rate_per_s, burst = shares[account]
        finding.events += len(found)
        over = count_over_rate(list(found.values()), rate_per_s, burst)
        if over:
            finding.violations.append(f"{account}: {over} tokens over")
    return finding


def count_over_rate(
    spans: list[tuple[float, float]], rate_per_s: float, burst: float
) -> int:
    """Returns how many requests no token bucket could have admitted.

    Args:
      spans: the earliest and latest time of each admission, in seconds.
      rate_per_s: tokens that come back in a second.
      burst: tokens of a full bucket.
    """
    over = 0
    tokens, filled_s = burst, 0.0
    waiting: list[float] = []
    arrivals = sorted(spans)
    index = 0
    while index < len(arrivals) or waiting:
        now_s = filled_s
        if not waiting:
            now_s = max(filled_s, arrivals[index][0])
        tokens = min(burst, tokens + (now_s - filled_s) * rate_per_s)
        filled_s = now_s
        while index < len(arrivals) and arrivals[index][0] <= now_s:
            heapq.heappush(waiting, arrivals[index][1])
            index += 1
        if tokens >= 1.0 - 1e-9:
            tokens -= 1.0
            over += heapq.heappop(waiting) < now_s - 1e-6
            continue
        refilled_s = now_s + (1.0 - tokens) / rate_per_s
        next_s = arrivals[index][0] if index < len(arrivals) else refilled_s
        later_s = max(now_s, min(refilled_s, next_s))
        tokens += (later_s - now_s) * rate_per_s
        filled_s = later_s
    return over


def check_complete_answers(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """A caller gets the whole answer to its own request."""
    finding = run_history.CheckResult(
        "a caller gets the whole answer to its request"
    )
    for answer in facts.answers:
        if answer["outcome"] != "answered":
            continue
        finding.events += 1
        if answer["status"] == 200 and not answer["matches"]:
            finding.violations.append(
                f"{answer['marker']}: a cut or foreign answer"
            )
        if not answer["verdict"]:
            finding.violations.append(
                f"{answer['marker']}: no verdict, status {answer['status']}"
            )
    return finding


def check_not_run_verdicts(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """A refusal that says not run is true.

    A run that started and was not taken back by the upstream itself counts
    as run, also when the upstream was lost in the middle.
    """
    finding = run_history.CheckResult('a refusal that says "not run" is true')
    for answer in facts.answers:
        if answer["verdict"] != "not-run":
            continue
        finding.events += 1
        for run in facts.runs_by_marker.get(answer["marker"], ()):
            same = run.record["request_id"] == answer["request_id"]
            if same and run.end != "not-run":
                finding.violations.append(
                    f"{answer['marker']}: said not run"
                    f" ({answer['reason']}), ran on {run.upstream}"
                )
    return finding


def check_at_most_once(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """An action that is not idempotent runs at most once."""
    finding = run_history.CheckResult("a committing action runs at most once")
    acting = {
        answer["marker"]
        for answer in facts.answers
        if answer["method"] not in IDEMPOTENT_METHODS
    }
    for marker in acting:
        runs = facts.runs_by_marker.get(marker, [])
        ran = [run for run in runs if run.end != "not-run"]
        finding.events += bool(ran)
        if len(ran) > 1:
            places = ", ".join(run.upstream for run in ran)
            finding.violations.append(
                f"{marker}: ran {len(ran)} times, on {places}"
            )
        # A recorded action must not vanish either: the caller who was told
        # that it ran relies on it.
        told = any(
            answer["verdict"] == "ran" and answer["status"] == 200
            for answer in facts.answers_for(marker)
        )
        if told and not any(run.end == "finished" for run in ran):
            finding.violations.append(f"{marker}: said ran, never did")
    return finding
