"""Claims about the referee: each broken promise is seen, nothing else is."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from standins.referee import evidence
from standins.referee import operations
from standins.referee import ownership
from standins.referee import requests
from standins.referee import verdicts


def up(time_s, source, zone="pa-1", incarnation="1"):
    return {
        "event": "up",
        "source": source,
        "monotonic_s": time_s,
        "availability_zone": zone,
        "incarnation": incarnation,
        "service": "prenota",
    }


def run(event, time_s, source, marker, **fields):
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


def ran(time_s, source, marker, end_s=None, **fields):
    end_s = time_s + 0.01 if end_s is None else end_s
    return [
        run("started", time_s, source, marker, **fields),
        run("finished", end_s, source, marker, **fields),
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


def note(event, time_s, **fields):
    return {
        "event": event,
        "source": "driver",
        "monotonic_s": time_s,
        **fields,
    }


def judge(check, *records):
    base = [up(0.0, "u1"), up(0.0, "u2", "pa-2")]
    base += [*ran(1.0, "u1", "base"), answer(1.0, "base")]
    return check(evidence.Evidence([*base, *records]))


def test_run_without_evidence_fails(tmp_path):
    (tmp_path / "u1.journal").write_text(json.dumps(up(0.0, "u1")) + "\n")
    with pytest.raises(evidence.EmptyEvidenceError):
        evidence.read(tmp_path)


def test_grant_to_a_second_upstream_before_the_first_lapsed_is_seen():
    first = grant(1.0, "u1", [[0, 3]], 4.0)
    assert not judge(
        ownership.one_owner, first, grant(4.1, "u2", [[3, 5]], 8.0)
    ).violations
    assert judge(
        ownership.one_owner, first, grant(3.9, "u2", [[3, 5]], 8.0)
    ).violations


def test_renewals_and_releases_bound_a_holding():
    records = [
        grant(1.0, "u1", [[0, 0]], 4.0),
        grant(2.0, "u1", [[0, 0]], 5.0),
        note("release", 3.0, released=True) | {"source": "u1"},
    ]
    moved = grant(3.1, "u2", [[0, 0]], 6.0)
    assert not judge(ownership.one_owner, *records, moved).violations
    assert judge(ownership.one_owner, *records[:2], moved).violations


def test_runs_of_one_key_that_overlap_on_two_upstreams_are_seen():
    one = ran(2.0, "u1", "a", 2.5)
    assert judge(ownership.one_owner, *one, *ran(2.4, "u2", "b")).violations
    assert not judge(ownership.one_owner, *one, *ran(2.6, "u2", "b")).violations
    assert not judge(ownership.one_owner, *one, *ran(2.4, "u1", "b")).violations


def test_assignment_that_goes_back_is_seen():
    check = ownership.assignment_survives
    assert not judge(
        check, assignment(1.0, [0, 1]), assignment(2.0, [1, 1], term=2)
    ).violations
    assert judge(
        check, assignment(1.0, [0, 1], term=2), assignment(2.0, [1, 1])
    ).violations
    assert judge(
        check, assignment(1.0, [0, 1]), assignment(2.0, [0, 1], event="delete")
    ).violations


def test_grant_that_no_accepted_assignment_backs_is_seen():
    check = ownership.assignment_survives
    first = assignment(1.0, [0, 1])
    assert not judge(check, first, grant(2.0, "u1", [[0, 0]], 3.0)).violations
    assert judge(check, first, grant(2.0, "u1", [[1, 1]], 3.0)).violations
    later = grant(40.0, "u1", [[0, 0]], 41.0)
    assert judge(check, first, assignment(2.0, [1, 1]), later).violations


def test_collapse_after_a_start_is_seen_and_after_a_silent_fall_is_told():
    collapse = run("collapsed", 2.0, "u1", "c", bears=1)
    fall = note("fell-cold", 1.5, incarnation="1") | {"source": "u1"}
    assert judge(requests.cold_upstreams_bear_it, collapse).violations
    assert not judge(requests.cold_upstreams_bear_it, fall, collapse).violations
    assert judge(requests.collapses_after_silent_falls, fall, collapse) == 1


def test_work_in_a_zone_that_is_out_is_seen_after_a_few_seconds():
    check = operations.zone_out_gets_nothing
    out = note("zone-out", 2.0, zone="pa-1")
    early, late = ran(6.9, "u1", "e"), ran(7.1, "u1", "l")
    assert not judge(check, out, *early).violations
    assert judge(check, out, *late).violations
    back = note("zone-in", 7.05, zone="pa-1")
    assert not judge(check, out, back, *late).violations


def test_work_of_a_leaving_upstream_is_seen_after_a_few_seconds():
    check = operations.leaving_gets_nothing
    leaving = note("host", 2.0, name="u1", host={"state": "leaving"})
    assert judge(check, leaving, *ran(7.1, "u1", "l")).violations
    assert not judge(check, leaving, *ran(7.1, "u2", "l")).violations


def test_run_for_another_account_or_with_a_seen_secret_is_seen():
    check = requests.right_account
    sent = answer(2.0, "a")
    assert not judge(check, sent, *ran(2.0, "u1", "a")).violations
    other = ran(2.0, "u1", "a", account="hotel-2")
    assert judge(check, sent, *other).violations
    seen = ran(2.0, "u1", "a", secrets_seen=["Authorization"])
    assert judge(check, sent, *seen).violations


def test_run_with_a_revoked_key_is_seen_after_a_few_seconds():
    check = requests.right_account
    revoked = note("key-revoked", 2.0, account_key_id="key-1")
    late = [answer(8.0, "a"), *ran(8.0, "u1", "a")]
    assert judge(check, revoked, *late).violations
    soon = [answer(6.0, "a"), *ran(6.0, "u1", "a")]
    assert not judge(check, revoked, *soon).violations


def test_tokens_over_rate_and_burst_are_counted_exactly():
    burst = [(1.0, 1.0)] * 5
    assert requests.tokens_over(burst, 10.0, 5.0) == 0
    assert requests.tokens_over(burst, 10.0, 4.0) == 1
    queued = [(1.0, 1.5)] * 5
    assert requests.tokens_over(queued, 2.0, 4.0) == 0
    assert requests.tokens_over([*queued, (1.0, 1.5)], 2.0, 4.0) == 1


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    rate_per_s=st.floats(0.5, 50.0),
    burst=st.integers(1, 20),
    gaps_s=st.lists(st.floats(0.0, 2.0), max_size=60),
    slack_s=st.floats(0.0, 1.0),
)
def test_requests_that_a_bucket_admitted_are_never_over(
    rate_per_s, burst, gaps_s, slack_s
):
    tokens, now_s, spans = float(burst), 100.0, []
    for gap_s in gaps_s:
        now_s += gap_s
        tokens = min(burst, tokens + gap_s * rate_per_s)
        if tokens >= 1.0:
            tokens -= 1.0
            spans.append((now_s - slack_s, now_s + slack_s))
    assert requests.tokens_over(spans, rate_per_s, burst) == 0


def test_foreign_answer_and_missing_verdict_are_seen():
    check = requests.whole_answers
    assert not judge(check, answer(2.0, "a")).violations
    assert judge(check, answer(2.0, "a", matches=False)).violations
    assert judge(check, answer(2.0, "a", verdict="")).violations


def test_refusal_that_says_not_run_though_it_ran_is_seen():
    check = requests.not_run_is_true
    refused = answer(2.0, "a", status=503, verdict="not-run")
    started = run("started", 2.0, "u1", "a")
    assert not judge(check, refused).violations
    assert judge(check, refused, *ran(2.0, "u1", "a")).violations
    assert judge(check, refused, started).violations
    taken_back = run("not-run", 2.1, "u1", "a")
    assert not judge(check, refused, started, taken_back).violations


def test_action_that_runs_twice_or_vanishes_is_seen():
    check = requests.at_most_once
    one = [answer(2.0, "a"), *ran(2.0, "u1", "a")]
    again = ran(3.0, "u2", "a", request_id="id-again")
    assert not judge(check, *one).violations
    assert judge(check, *one, *again).violations
    assert judge(check, answer(2.0, "a")).violations


def test_request_cut_off_by_a_planned_stop_is_seen():
    check = operations.stops_are_graceful
    stop = [
        note("stop-begins", 2.01, daemon="d1"),
        note("stop-ended", 3.0, daemon="d1"),
    ]
    assert not judge(check, *stop, answer(2.0, "a")).violations
    assert judge(check, *stop, answer(2.0, "a", outcome="cut")).violations
    other = answer(2.0, "a", outcome="cut", entry="d2")
    assert not judge(check, *stop, other).violations
    lost = answer(
        2.1, "a", entry="d2", verdict="may-have-run", reason="gateway-lost"
    )
    assert judge(check, *stop, lost).violations


def test_configuration_that_reverts_or_comes_late_is_seen():
    check = operations.configuration_holds
    put = note("put", 2.0, kind="config", version=5)
    assert not judge(
        check, put, note("in-force", 8.0, daemon="d1", version=5)
    ).violations
    assert judge(
        check, put, note("in-force", 8.0, daemon="d1", version=4)
    ).violations
    assert judge(
        check,
        note("in-force", 2.0, daemon="d1", version=5),
        note("in-force", 2.1, daemon="d1", version=4),
    ).violations


def test_every_promise_of_the_brief_has_its_check():
    facts = evidence.Evidence(
        [up(0.0, "u1"), *ran(1.0, "u1", "a"), answer(1.0, "a")]
    )
    findings = verdicts.check(facts)
    assert len(findings) == 12
    assert len({finding.promise for finding in findings}) == 12
    assert verdicts.exit_status(findings, need_all=False) == 0
    assert verdicts.exit_status(findings, need_all=True) == 2
