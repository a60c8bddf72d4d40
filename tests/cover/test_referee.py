"""Tests that the referee detects each kind of violation and nothing else."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from standins.referee import check_runner
from standins.referee import operation_checks
from standins.referee import ownership_checks
from standins.referee import request_checks
from standins.referee import run_history


def upstream_started(time_s, source, zone="pa-1", incarnation="1"):
    return {
        "event": "up",
        "source": source,
        "monotonic_s": time_s,
        "availability_zone": zone,
        "incarnation": incarnation,
        "service": "prenota",
    }


def run_event(event, time_s, source, marker, **fields):
    return {
        "event": event,
        "source": source,
        "monotonic_s": time_s,
        "service": "prenota",
        "incarnation": "1",
        "request_id": f"id-{marker}",
        "marker": marker,
        "account": "hotel-1",
        "key": "k",
        "shard": 1,
        "term": 1,
        "sequence": 1,
        "cold": False,
        "secrets_seen": [],
        **fields,
    }


def finished_run(time_s, source, marker, end_s=None, **fields):
    end_s = time_s + 0.01 if end_s is None else end_s
    return [
        run_event("started", time_s, source, marker, **fields),
        run_event("finished", end_s, source, marker, **fields),
    ]


def answer(time_s, marker, **fields):
    return {
        "event": "answer",
        "source": "driver",
        "monotonic_s": time_s + 0.02,
        "sent_s": time_s,
        "answered_s": time_s + 0.02,
        "marker": marker,
        "request_id": f"id-{marker}",
        "account": "hotel-1",
        "account_key_id": "key-1",
        "method": "POST",
        "outcome": "answered",
        "status": 200,
        "verdict": "ran",
        "reason": "",
        "matches": True,
        "entry": "d1",
        **fields,
    }


def grant(time_s, source, shards, lapses_s, **fields):
    return {
        "event": "grant",
        "source": source,
        "monotonic_s": time_s,
        "accepted": True,
        "service": "prenota",
        "incarnation": "1",
        "term": 1,
        "sequence": 1,
        "shards": shards,
        "hot_keys": [],
        "lapses_monotonic_s": lapses_s,
        **fields,
    }


def assignment(time_s, owners, term=1, event="put"):
    return {
        "event": event,
        "source": "store",
        "monotonic_s": time_s,
        "kind": "assignment",
        "name": "prenota",
        "version": int(time_s * 1000),
        "value": {"term": term, "upstreams": ["u1", "u2"], "owners": owners},
    }


def event_record(event, time_s, **fields):
    return {
        "event": event,
        "source": "driver",
        "monotonic_s": time_s,
        **fields,
    }


def run_check(check, *records):
    base = [upstream_started(0.0, "u1"), upstream_started(0.0, "u2", "pa-2")]
    base += [*finished_run(1.0, "u1", "base"), answer(1.0, "base")]
    return check(run_history.RunHistory([*base, *records]))


def test_empty_history_is_rejected(tmp_path):
    (tmp_path / "u1.journal").write_text(
        json.dumps(upstream_started(0.0, "u1")) + "\n"
    )
    with pytest.raises(run_history.EmptyHistoryError):
        run_history.read(tmp_path)


def test_overlapping_grants_of_one_shard_are_detected():
    first = grant(1.0, "u1", [[0, 3]], 4.0)
    assert not run_check(
        ownership_checks.check_single_owner,
        first,
        grant(4.1, "u2", [[3, 5]], 8.0),
    ).violations
    assert run_check(
        ownership_checks.check_single_owner,
        first,
        grant(3.9, "u2", [[3, 5]], 8.0),
    ).violations


def test_ownership_lasts_through_renewals_until_release():
    records = [
        grant(1.0, "u1", [[0, 0]], 4.0),
        grant(2.0, "u1", [[0, 0]], 5.0),
        event_record("release", 3.0, released=True) | {"source": "u1"},
    ]
    moved = grant(3.1, "u2", [[0, 0]], 6.0)
    assert not run_check(
        ownership_checks.check_single_owner, *records, moved
    ).violations
    assert run_check(
        ownership_checks.check_single_owner, *records[:2], moved
    ).violations


def test_overlapping_runs_of_one_key_on_two_upstreams_are_detected():
    one = finished_run(2.0, "u1", "a", 2.5)
    assert run_check(
        ownership_checks.check_single_owner, *one, *finished_run(2.4, "u2", "b")
    ).violations
    assert not run_check(
        ownership_checks.check_single_owner, *one, *finished_run(2.6, "u2", "b")
    ).violations
    assert not run_check(
        ownership_checks.check_single_owner, *one, *finished_run(2.4, "u1", "b")
    ).violations


def test_reverted_or_deleted_assignment_is_detected():
    check = ownership_checks.check_assignments_kept
    assert not run_check(
        check, assignment(1.0, [0, 1]), assignment(2.0, [1, 1], term=2)
    ).violations
    assert run_check(
        check, assignment(1.0, [0, 1], term=2), assignment(2.0, [1, 1])
    ).violations
    assert run_check(
        check, assignment(1.0, [0, 1]), assignment(2.0, [0, 1], event="delete")
    ).violations


def test_grant_without_an_accepted_assignment_is_detected():
    check = ownership_checks.check_assignments_kept
    first = assignment(1.0, [0, 1])
    assert not run_check(
        check, first, grant(2.0, "u1", [[0, 0]], 3.0)
    ).violations
    assert run_check(check, first, grant(2.0, "u1", [[1, 1]], 3.0)).violations
    later = grant(40.0, "u1", [[0, 0]], 41.0)
    assert run_check(check, first, assignment(2.0, [1, 1]), later).violations


def test_collapse_is_a_violation_only_after_a_start():
    collapse = run_event("collapsed", 2.0, "u1", "c", bears=1)
    fall = event_record("fell-cold", 1.5, incarnation="1") | {"source": "u1"}
    assert run_check(request_checks.check_cold_start_load, collapse).violations
    assert not run_check(
        request_checks.check_cold_start_load, fall, collapse
    ).violations
    assert run_check(request_checks.count_silent_collapses, fall, collapse) == 1


def test_late_work_in_a_zone_taken_out_is_detected():
    check = operation_checks.check_zone_out
    out = event_record("zone-out", 2.0, zone="pa-1")
    early, late = finished_run(6.9, "u1", "e"), finished_run(7.1, "u1", "l")
    assert not run_check(check, out, *early).violations
    assert run_check(check, out, *late).violations
    back = event_record("zone-in", 7.05, zone="pa-1")
    assert not run_check(check, out, back, *late).violations


def test_late_work_on_a_leaving_upstream_is_detected():
    check = operation_checks.check_leaving_upstreams
    leaving = event_record("host", 2.0, name="u1", host={"state": "leaving"})
    assert run_check(check, leaving, *finished_run(7.1, "u1", "l")).violations
    assert not run_check(
        check, leaving, *finished_run(7.1, "u2", "l")
    ).violations


def test_wrong_account_and_leaked_secret_are_detected():
    check = request_checks.check_request_account
    sent = answer(2.0, "a")
    assert not run_check(check, sent, *finished_run(2.0, "u1", "a")).violations
    other = finished_run(2.0, "u1", "a", account="hotel-2")
    assert run_check(check, sent, *other).violations
    seen = finished_run(2.0, "u1", "a", secrets_seen=["Authorization"])
    assert run_check(check, sent, *seen).violations


def test_late_run_with_a_revoked_key_is_detected():
    check = request_checks.check_request_account
    revoked = event_record("key-revoked", 2.0, account_key_id="key-1")
    late = [answer(8.0, "a"), *finished_run(8.0, "u1", "a")]
    assert run_check(check, revoked, *late).violations
    soon = [answer(6.0, "a"), *finished_run(6.0, "u1", "a")]
    assert not run_check(check, revoked, *soon).violations


def test_requests_over_rate_and_burst_are_counted_exactly():
    burst = [(1.0, 1.0)] * 5
    assert request_checks.count_over_rate(burst, 10.0, 5.0) == 0
    assert request_checks.count_over_rate(burst, 10.0, 4.0) == 1
    queued = [(1.0, 1.5)] * 5
    assert request_checks.count_over_rate(queued, 2.0, 4.0) == 0
    assert request_checks.count_over_rate([*queued, (1.0, 1.5)], 2.0, 4.0) == 1


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    rate_per_s=st.floats(0.5, 50.0),
    burst=st.integers(1, 20),
    gaps_s=st.lists(st.floats(0.0, 2.0), max_size=60),
    slack_s=st.floats(0.0, 1.0),
)
def test_requests_admitted_by_a_token_bucket_are_within_the_rate(
    rate_per_s, burst, gaps_s, slack_s
):
    tokens, now_s, spans = float(burst), 100.0, []
    for gap_s in gaps_s:
        now_s += gap_s
        tokens = min(burst, tokens + gap_s * rate_per_s)
        if tokens >= 1.0:
            tokens -= 1.0
            spans.append((now_s - slack_s, now_s + slack_s))
    assert request_checks.count_over_rate(spans, rate_per_s, burst) == 0


def test_foreign_answer_and_missing_verdict_are_detected():
    check = request_checks.check_complete_answers
    assert not run_check(check, answer(2.0, "a")).violations
    assert run_check(check, answer(2.0, "a", matches=False)).violations
    assert run_check(check, answer(2.0, "a", verdict="")).violations


def test_false_not_run_verdict_is_detected():
    check = request_checks.check_not_run_verdicts
    refused = answer(2.0, "a", status=503, verdict="not-run")
    started = run_event("started", 2.0, "u1", "a")
    assert not run_check(check, refused).violations
    assert run_check(check, refused, *finished_run(2.0, "u1", "a")).violations
    assert run_check(check, refused, started).violations
    taken_back = run_event("not-run", 2.1, "u1", "a")
    assert not run_check(check, refused, started, taken_back).violations


def test_repeated_or_lost_action_is_detected():
    check = request_checks.check_at_most_once
    one = [answer(2.0, "a"), *finished_run(2.0, "u1", "a")]
    again = finished_run(3.0, "u2", "a", request_id="id-again")
    assert not run_check(check, *one).violations
    assert run_check(check, *one, *again).violations
    assert run_check(check, answer(2.0, "a")).violations


def test_request_cut_off_by_a_planned_stop_is_detected():
    check = operation_checks.check_graceful_stops
    stop = [
        event_record("stop-begins", 2.01, daemon="d1"),
        event_record("stop-ended", 3.0, daemon="d1"),
    ]
    assert not run_check(check, *stop, answer(2.0, "a")).violations
    assert run_check(check, *stop, answer(2.0, "a", outcome="cut")).violations
    other = answer(2.0, "a", outcome="cut", entry="d2")
    assert not run_check(check, *stop, other).violations
    lost = answer(
        2.1, "a", entry="d2", verdict="may-have-run", reason="gateway-lost"
    )
    assert run_check(check, *stop, lost).violations


def test_reverted_or_late_configuration_is_detected():
    check = operation_checks.check_configuration_in_force
    put = event_record("put", 2.0, kind="config", version=5)
    assert not run_check(
        check, put, event_record("in-force", 8.0, daemon="d1", version=5)
    ).violations
    assert run_check(
        check, put, event_record("in-force", 8.0, daemon="d1", version=4)
    ).violations
    assert run_check(
        check,
        event_record("in-force", 2.0, daemon="d1", version=5),
        event_record("in-force", 2.1, daemon="d1", version=4),
    ).violations


def test_each_promise_of_the_brief_has_a_check():
    history = run_history.RunHistory(
        [
            upstream_started(0.0, "u1"),
            *finished_run(1.0, "u1", "a"),
            answer(1.0, "a"),
        ]
    )
    findings = check_runner.run_checks(history)
    assert len(findings) == 12
    assert len({finding.promise for finding in findings}) == 12
    assert check_runner.exit_status(findings, require_all=False) == 0
    assert check_runner.exit_status(findings, require_all=True) == 2
