"""Provides small processes that replace the platform and its upstreams."""

import os

# Makes uvloop use no io_uring descriptors, which hosts forbid. uvloop reads the
# variable when it creates a loop, and every stand-in imports this package
# before that.
os.environ["UV_USE_IO_URING"] = "0"
