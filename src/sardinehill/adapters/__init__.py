"""Translates the formats of external systems, one module for each."""
