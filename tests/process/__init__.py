"""Tests: process."""
