"""Tests: cover."""
