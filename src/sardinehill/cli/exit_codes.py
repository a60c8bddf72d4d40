"""Defines the exit statuses of commands."""

DONE = 0
FAILED = 1
REFUSED = 2
STORE_DOWN = 3
NOT_IN_FORCE = 4
CONFLICT = 5
