"""Formats of outside systems, one module each."""
