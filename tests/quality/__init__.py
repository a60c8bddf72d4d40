"""Tests: quality."""
