"""Benchmarks: workloads, capacity measurements and report formatting."""
