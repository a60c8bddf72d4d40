"""Claims about leaving upstreams out."""

import pytest

from sardinehill.core import outliers

_NAMES = ["a", "b", "c", "d", "e"]


@pytest.fixture
def detector() -> outliers.OutlierDetector:
    subject = outliers.OutlierDetector(outliers.OutlierPolicy())
    subject.set_upstreams(_NAMES)
    for _ in range(50):
        for name in _NAMES:
            subject.succeeded(name, 0.0, 0.005)
    return subject


def test_a_slow_upstream_is_left_out_and_comes_back_by_trickle(detector):
    for _ in range(3):
        detector.succeeded("a", 1.0, 0.05)
    assert detector.ejected(1.0) == ["a"]
    assert "a" not in detector.usable(1.0)
    assert "a" in detector.usable(1.3)
    detector.sent("a")
    assert "a" not in detector.usable(1.3)
    detector.ended("a")
    for _ in range(3):
        detector.succeeded("a", 1.4, 0.005)
    assert detector.recovering() == []


def test_a_frozen_upstream_is_left_out_before_it_answers(detector):
    detector.overdue("a", 1.0, 0.004)
    assert detector.ejected(1.0) == []
    detector.overdue("a", 1.0, 0.05)
    assert detector.ejected(1.0) == ["a"]


def test_a_service_that_is_slow_as_a_whole_has_no_outlier(detector):
    for number in range(200):
        for name in _NAMES:
            detector.succeeded(name, 1.0 + number, 0.05)
    assert detector.ejected(201.0) == []


def test_each_ejection_in_a_row_lasts_twice_as_long(detector):
    now_s = 1.0
    lengths_s = []
    for _ in range(3):
        for _ in range(3):
            detector.failed("a", now_s)
        began_s = now_s
        while "a" in detector.ejected(now_s):
            now_s += 0.05
        lengths_s.append(now_s - began_s)
    assert lengths_s == pytest.approx([0.25, 0.5, 1.0], abs=0.06)


def test_the_only_upstream_is_never_left_out():
    subject = outliers.OutlierDetector(outliers.OutlierPolicy())
    subject.set_upstreams(["a"])
    for _ in range(10):
        subject.failed("a", 0.0)
    assert subject.usable(0.0) == ["a"]


def test_an_empty_service_gives_nothing_to_choose_from():
    subject = outliers.OutlierDetector(outliers.OutlierPolicy())
    assert subject.usable(0.0) == []
