"""`python -m standins.referee DIRECTORY [--all]` prints the table.

Ends with 0 when no promise was violated, and with `--all` only when each was
exercised; with 1 when one was violated; with 2 when there is no evidence or
`--all` is given and a promise was not exercised.
"""

import argparse
import pathlib
import sys

from standins.referee import check_runner
from standins.referee import run_history


def main() -> int:
    """Checks the journals of one directory."""
    parser = argparse.ArgumentParser(prog="standins.referee")
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--all", action="store_true")
    options = parser.parse_args()
    try:
        facts = run_history.read(options.directory)
    except run_history.EmptyHistoryError as error:
        print(f"no evidence: {error}")
        return 2
    findings = check_runner.run_checks(facts)
    print(check_runner.format_table(findings))
    return check_runner.exit_status(findings, options.all)


if __name__ == "__main__":
    sys.exit(main())
