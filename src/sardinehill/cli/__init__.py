"""Implements the command line, with one module per group of commands."""
