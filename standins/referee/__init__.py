"""Reads all journals of a run and holds the promises against them."""
