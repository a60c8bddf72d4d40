"""Tests: common."""
