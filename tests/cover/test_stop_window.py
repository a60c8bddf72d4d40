"""Tests which requests a stopping daemon sends to upstreams."""

import math

import pytest

from sardinehill.core import stop_window

WINDOW = stop_window.StopWindow(began_s=100.0, end_s=106.0)


@pytest.mark.parametrize("usual_latency_s", [0.01, 100.0])
def test_request_that_times_out_within_the_window_may_be_sent(usual_latency_s):
    latest_s = stop_window.latest_send_s(WINDOW, 106.0, usual_latency_s)
    assert latest_s == math.inf


def test_request_that_might_outlast_the_window_is_sent_only_early():
    latest_s = stop_window.latest_send_s(WINDOW, 106.01, 0.01)
    assert 102.0 < latest_s <= 103.0


def test_request_that_usually_takes_long_is_not_sent_even_early():
    assert stop_window.latest_send_s(WINDOW, 120.0, 1.0) < 103.0
    assert stop_window.latest_send_s(WINDOW, 120.0, 3.0) < WINDOW.began_s
