"""Tests that run daemons and stand-ins as real processes."""
