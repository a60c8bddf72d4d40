"""Workloads, their measures and the report writer."""
