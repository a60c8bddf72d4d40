"""Defines the exit statuses of commands."""

DONE = 0
FAILED = 1
# The command was refused; nothing was changed.
REFUSED = 2
# The store did not answer; a change may have taken effect.
STORE_DOWN = 3
# The change was accepted, but is not confirmed by every daemon.
NOT_IN_FORCE = 4
# Another operator made a change at the same time; nothing was applied.
CONFLICT = 5
