"""Tests the operators' address of a running daemon."""

import json
import urllib.error
import urllib.request

import pytest

from sardinehill import errors


@pytest.fixture
def operators_get(small_fleet):
    daemon = small_fleet.deployment.daemons["entry-1"]
    ip, port = daemon.addresses["listening operators"]

    def get(path):
        try:
            url = f"http://{ip}:{port}{path}"
            with urllib.request.urlopen(url, timeout=5.0) as reply:
                return reply.status, reply.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()

    return get


def test_health_and_readiness_are_reported(operators_get):
    assert operators_get("/-/health")[0] == 200
    status, body = operators_get("/-/ready")
    assert (status, json.loads(body)["ready"]) == (200, True)


def test_metrics_have_a_counter_for_each_reason(operators_get):
    status, text = operators_get("/metrics")
    assert status == 200
    for reason in errors.Reason:
        assert f'refusals_total{{reason="{reason.value}"}}' in text


def test_status_is_json_with_versions(operators_get):
    status, text = operators_get("/-/status")
    assert status == 200
    versions = json.loads(text)["versions"]
    assert versions["config/fleet"] > 0
    assert versions["assignment/prenota"] > 0


def test_callers_cannot_reach_operator_paths(small_fleet):
    answer = small_fleet.send("venue-1", "/metrics")
    assert answer.status == 404


def test_invalid_queries_get_an_error_status(operators_get):
    assert operators_get("/-/owner?service=storia&key=k")[0] == 404
    assert operators_get("/-/events?since_s=noon")[0] == 400
