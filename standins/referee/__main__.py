"""`python -m standins.referee DIRECTORY [--all]` prints the table.

Ends with 0 when no promise was violated, and with `--all` only when each was
exercised; with 1 when one was violated; with 2 when there is no evidence or
`--all` is given and a promise was not exercised.
"""

import argparse
import pathlib
import sys

from standins.referee import evidence
from standins.referee import verdicts


def main() -> int:
    """Checks the journals of one directory."""
    parser = argparse.ArgumentParser(prog="standins.referee")
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--all", action="store_true")
    options = parser.parse_args()
    try:
        facts = evidence.read(options.directory)
    except evidence.EmptyEvidenceError as error:
        print(f"no evidence: {error}")
        return 2
    findings = verdicts.check(facts)
    print(verdicts.table(findings))
    return verdicts.exit_status(findings, options.all)


if __name__ == "__main__":
    sys.exit(main())
