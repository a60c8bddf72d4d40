"""Runs the command line of `python -m sardinehill`."""

import os

# uvloop reads this variable when it creates a loop, so it must be set before.
# Without it, uvloop opens io_uring descriptors, which hosts forbid.
os.environ["UV_USE_IO_URING"] = "0"


def main() -> None:
    """Runs the command line."""
    from sardinehill.cli import commands

    commands.application()


if __name__ == "__main__":
    main()
