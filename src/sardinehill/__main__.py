"""Runs the command line of `python -m sardinehill`."""

import os

# Must be set before uvloop creates a loop, when it reads this variable;
# otherwise it opens io_uring descriptors, which hosts forbid.
os.environ["UV_USE_IO_URING"] = "0"


def main() -> None:
    """Runs the command line."""
    from sardinehill.cli import commands

    commands.application()


if __name__ == "__main__":
    main()
