"""Decisions without input or output; the clock is handed in."""
