"""Tests of log lines, counters, gauges and latency quantiles."""

import io
import json
import logging

import pytest

from sardinehill import errors
from sardinehill import events
from sardinehill import metrics


@pytest.fixture
def log_lines():
    root = logging.getLogger()
    before = (root.level, root.handlers[:])
    stream = io.StringIO()
    recent = events.configure_logging(stream)
    yield stream, recent
    root.setLevel(before[0])
    root.handlers[:] = before[1]


def test_event_is_one_json_line_with_number_and_fields(log_lines):
    stream, recent = log_lines
    events.log(events.STORE_LOST, since_s=1.5, url="a\nb")
    (line,) = stream.getvalue().splitlines()
    logged = json.loads(line)
    assert logged["event"] == 401
    assert logged["event_name"] == "store-lost"
    assert logged["level"] == "warning"
    assert logged["since_s"] == 1.5
    assert recent.logged_after(0.0) == [logged]
    assert recent.logged_after(logged["time_s"]) == []


def test_plain_records_are_json_lines_and_evict_no_event(log_lines):
    stream, recent = log_lines
    logging.getLogger("aiohttp.server").warning("met %s", "trouble")
    logged = json.loads(stream.getvalue())
    assert logged["message"] == "met trouble"
    assert "event" not in logged
    assert recent.logged_after(0.0) == []


def test_every_reason_has_counters_from_the_start():
    text = metrics.Metrics().render_text().decode()
    for reason in errors.Reason:
        for counter in ("refusals", "retries"):
            sample = f'sardinehill_{counter}_total{{reason="{reason.value}"}}'
            assert f"{sample} 0.0" in text


def test_latency_quantiles_match_the_recorded_requests():
    daemon_metrics = metrics.Metrics()
    for latency_ms in range(1, 101):
        daemon_metrics.count_request(
            "prenota", errors.Verdict.RAN, latency_ms / 1000
        )
    assert daemon_metrics.latency_quantile_s("prenota", 0.5) == pytest.approx(
        0.050, rel=0.02
    )
    assert daemon_metrics.latency_quantile_s("prenota", 0.99) == pytest.approx(
        0.099, rel=0.02
    )
    text = daemon_metrics.render_text().decode()
    assert 'latency_seconds_count{service="prenota"} 100.0' in text
    assert 'requests_total{service="prenota",verdict="ran"} 100.0' in text


def test_counters_and_gauges_are_rendered_with_their_values():
    daemon_metrics = metrics.Metrics()
    daemon_metrics.increment_counter(
        "sardinehill_store_calls", "Calls to the store.", 3
    )
    daemon_metrics.increment_counter(
        "sardinehill_store_calls", "Calls to the store."
    )
    daemon_metrics.add_gauge(
        "sardinehill_peers", "Daemons heard from recently.", lambda: 7
    )
    text = daemon_metrics.render_text().decode()
    assert "sardinehill_store_calls_total 4.0" in text
    assert "sardinehill_peers 7.0" in text
