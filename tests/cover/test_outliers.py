"""Tests of the ejection of outlier upstreams."""

import pytest

from sardinehill.core import outliers

_NAMES = ["a", "b", "c", "d", "e"]


@pytest.fixture
def detector() -> outliers.OutlierDetector:
    new_detector = outliers.OutlierDetector(outliers.OutlierPolicy())
    new_detector.set_upstreams(_NAMES)
    for _ in range(50):
        for name in _NAMES:
            new_detector.record_success(name, 0.0, 0.005)
    return new_detector


def test_a_slow_upstream_is_ejected_and_recovers_one_request_at_a_time(
    detector,
):
    for _ in range(3):
        detector.record_success("a", 1.0, 0.05)
    assert detector.ejected_upstreams(1.0) == ["a"]
    assert "a" not in detector.usable_upstreams(1.0)
    assert "a" in detector.usable_upstreams(1.3)
    detector.record_send("a")
    assert "a" not in detector.usable_upstreams(1.3)
    detector.record_end("a")
    for _ in range(3):
        detector.record_success("a", 1.4, 0.005)
    assert detector.recovering_upstreams() == []


def test_a_frozen_upstream_is_ejected_before_it_answers(detector):
    detector.check_overdue("a", 1.0, 0.004)
    assert detector.ejected_upstreams(1.0) == []
    detector.check_overdue("a", 1.0, 0.05)
    assert detector.ejected_upstreams(1.0) == ["a"]


def test_a_service_that_is_slow_as_a_whole_has_no_outlier(detector):
    for number in range(200):
        for name in _NAMES:
            detector.record_success(name, 1.0 + number, 0.05)
    assert detector.ejected_upstreams(201.0) == []


def test_each_ejection_in_a_row_lasts_twice_as_long(detector):
    now_s = 1.0
    lengths_s = []
    for _ in range(3):
        for _ in range(3):
            detector.record_failure("a", now_s)
        began_s = now_s
        while "a" in detector.ejected_upstreams(now_s):
            now_s += 0.05
        lengths_s.append(now_s - began_s)
    assert lengths_s == pytest.approx([0.25, 0.5, 1.0], abs=0.06)


def test_the_only_upstream_is_never_ejected():
    new_detector = outliers.OutlierDetector(outliers.OutlierPolicy())
    new_detector.set_upstreams(["a"])
    for _ in range(10):
        new_detector.record_failure("a", 0.0)
    assert new_detector.usable_upstreams(0.0) == ["a"]


def test_a_service_without_upstreams_has_no_usable_upstream():
    new_detector = outliers.OutlierDetector(outliers.OutlierPolicy())
    assert new_detector.usable_upstreams(0.0) == []
