"""Checks the journals of a run against the promises of the brief."""
