"""Tests of how requests that end upstreams are told from others."""

import random

import pytest

from sardinehill.core import crash_suspects
from sardinehill.core import request_digests

DIGEST = request_digests.digest("trattoria", b"GET", b"/stock/a", b"")
OTHER = request_digests.digest("trattoria", b"GET", b"/stock/b", b"")
QUARANTINE_S = crash_suspects.QUARANTINE_S


def ended(suspects, count, digest=DIGEST, now_s=0.0):
    for index in range(count):
        suspects.record_ending(digest, f"i-{index}@1", now_s + index)


def is_quarantined(suspects, now_s, digest=DIGEST):
    return suspects.quarantine_s(digest, now_s) > 0


@pytest.mark.parametrize(
    ("account", "method", "target", "body"),
    [
        (None, b"GET", b"/stock/a", b""),
        ("other", b"GET", b"/stock/a", b""),
        ("trattoria", b"POST", b"/stock/a", b""),
        ("trattoria", b"GET", b"/stock/a?b", b""),
        ("trattoria", b"GET", b"/stock/a", b"x"),
        ("trattori", b"aGET", b"/stock/a", b""),
    ],
)
def test_digests_differ_by_caller_path_and_body(account, method, target, body):
    assert request_digests.digest(account, method, target, body) != DIGEST


def test_request_is_quarantined_after_its_third_upstream_has_ended():
    suspects = crash_suspects.CrashSuspects()
    ended(suspects, 2)
    assert not is_quarantined(suspects, 2.0)
    ended(suspects, 3)
    assert is_quarantined(suspects, 3.0)
    assert not is_quarantined(suspects, 3.0, OTHER)
    assert not is_quarantined(suspects, 2.0 + QUARANTINE_S)


def test_one_upstream_that_ended_counts_once_however_many_daemons_saw_it():
    suspects = crash_suspects.CrashSuspects()
    for now_s in range(9):
        suspects.record_ending(DIGEST, "i-1@1", float(now_s))
    assert not is_quarantined(suspects, 9.0)


def test_request_is_quarantined_again_by_one_more_end():
    suspects = crash_suspects.CrashSuspects()
    ended(suspects, 3)
    late_s = QUARANTINE_S + 5.0
    suspects.forget(late_s)
    assert not is_quarantined(suspects, late_s)
    suspects.record_ending(DIGEST, "i-9@1", late_s)
    assert is_quarantined(suspects, late_s)


def test_request_that_an_upstream_ran_to_an_end_is_cleared():
    suspects = crash_suspects.CrashSuspects()
    ended(suspects, 2)
    suspects.record_survival(DIGEST, 2.0)
    ended(suspects, 2, now_s=3.0)
    assert not is_quarantined(suspects, 5.0)


def test_suspects_are_forgotten():
    suspects = crash_suspects.CrashSuspects()
    ended(suspects, 3)
    suspects.forget(crash_suspects.MEMORY_S + 3.0)
    assert suspects.is_empty
    assert suspects.all_news(0.0) == []


def test_memory_is_bounded_and_keeps_what_ended_most_upstreams():
    suspects = crash_suspects.CrashSuspects()
    ended(suspects, 3)
    for index in range(10 * crash_suspects.MAX_SUSPECTS):
        digest = request_digests.digest(None, b"GET", b"/%d" % index, b"")
        ended(suspects, 1, digest, now_s=10.0 + index)
    assert len(suspects.all_news(0.0)) == crash_suspects.MAX_SUSPECTS
    assert is_quarantined(suspects, 5.0)


def test_endings_of_one_request_are_bounded():
    suspects = crash_suspects.CrashSuspects()
    ended(suspects, 1000)
    (news,) = suspects.all_news(0.0)
    assert len(news.ending_ages_s) == crash_suspects.MAX_ENDINGS


def exchange(leader, daemon, now_s):
    """Sends a daemon's report to its leader, and the leader's table back."""
    report = daemon.take_unreported(now_s)
    leader.record_news(report, now_s, is_passed_on=False)
    daemon.record_news(leader.all_news(now_s), now_s, is_passed_on=False)


@pytest.mark.parametrize("count", [1, 11, 60, 195, 640])
def test_all_daemons_know_after_one_exchange_what_each_saw_alone(count):
    leader = crash_suspects.CrashSuspects()
    daemons = [crash_suspects.CrashSuspects() for _ in range(count)]
    for index in range(3):
        daemon = daemons[index * 7 % count]
        daemon.record_ending(DIGEST, f"i-{index}@1", float(index))
        exchange(leader, daemon, index + 0.5)
    for daemon in daemons:
        daemon.record_news(leader.all_news(3.0), 3.0, is_passed_on=False)
        assert is_quarantined(daemon, 3.0)


def test_next_leader_learns_from_any_daemon_that_is_left():
    leader, next_leader, daemon = (
        crash_suspects.CrashSuspects() for _ in range(3)
    )
    ended(leader, 3)
    exchange(leader, daemon, 3.0)
    daemon.report_all()
    exchange(next_leader, daemon, 4.0)
    assert is_quarantined(next_leader, 4.0)


def test_survival_reaches_other_daemons():
    leader, first, second = (crash_suspects.CrashSuspects() for _ in range(3))
    ended(first, 2)
    exchange(leader, first, 2.0)
    exchange(leader, second, 2.0)
    second.record_survival(DIGEST, 2.5)
    exchange(leader, second, 3.0)
    exchange(leader, first, 3.0)
    assert first.ending_count(DIGEST) == 0
    first.record_ending(DIGEST, "i-9@1", 4.0)
    assert not is_quarantined(first, 4.0)


@pytest.mark.parametrize("seed", range(20))
def test_requests_that_are_served_now_and_then_are_never_quarantined(seed):
    # Upstreams end for reasons of their own, with some popular requests under
    # way each time.
    rng = random.Random(seed)
    suspects = crash_suspects.CrashSuspects()
    popular = [
        request_digests.digest(None, b"GET", b"/%d" % index, b"")
        for index in range(20)
    ]
    now_s = 0.0
    for end in range(100):
        now_s += rng.expovariate(0.2)
        for digest in rng.sample(popular, 6):
            suspects.record_ending(digest, f"i-{end}@1", now_s)
        for digest in rng.sample(popular, 18):
            suspects.record_survival(digest, now_s + 0.1)
        assert not any(
            is_quarantined(suspects, now_s + 0.2, digest) for digest in popular
        )
