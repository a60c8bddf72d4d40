"""Opens the standard streams of a process that was started without them."""

import os

# Their file descriptors.
OUTPUT = 1
ERROR = 2


def open_closed() -> None:
    """Opens the streams that are closed, before anything else gets theirs."""
    descriptor = os.open(os.devnull, os.O_RDWR)
    while descriptor <= ERROR:
        descriptor = os.open(os.devnull, os.O_RDWR)
    os.close(descriptor)
