"""Checks the journals of a directory and prints a table of the promises.

Started as `python -m standins.referee DIRECTORY [--all]`. The exit status is 1
when a promise was violated, 2 when there is nothing to check or when `--all`
is given and a promise was not exercised, and 0 otherwise.
"""

import argparse
import pathlib
import sys

from standins.referee import check_runner
from standins.referee import run_history


def main() -> int:
    """Runs the checks and returns the exit status."""
    parser = argparse.ArgumentParser(prog="standins.referee")
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--all", action="store_true")
    options = parser.parse_args()
    try:
        history = run_history.read(options.directory)
    except run_history.EmptyHistoryError as error:
        print(f"empty history: {error}")
        return 2
    results = check_runner.run_checks(history)
    print(check_runner.format_table(results))
    return check_runner.exit_status(results, options.all)


if __name__ == "__main__":
    sys.exit(main())
