"""Tests that take long, mostly state machines that search for faults."""
