"""Small real processes that stand in for the platform and its upstreams."""

import os

# The variable must be set before uvloop makes a loop, and every stand-in
# imports this package first.
os.environ["UV_USE_IO_URING"] = "0"
