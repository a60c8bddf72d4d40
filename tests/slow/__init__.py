"""Tests: slow."""
