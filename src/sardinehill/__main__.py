"""The program's entry point."""

import os

# Before anything imports uvloop: it would open io_uring descriptors, which
# hosts forbid, and it reads this variable when the loop is made.
os.environ["UV_USE_IO_URING"] = "0"


def main() -> None:
    """Runs the command line."""
    from sardinehill.cli import commands

    commands.application()


if __name__ == "__main__":
    main()
