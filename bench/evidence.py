"""Keeps what shows the cause of a broken promise, and prints where it is."""

from collections.abc import Iterable
from collections.abc import Sequence
import pathlib
import re
import shutil
import tempfile
from typing import TextIO

from standins.referee import run_history

MAX_VIOLATIONS = 5
MAX_LINES_PER_VIOLATION = 20
MAX_LINE_CHARS = 400

# Ids of requests have digits; names of processes do too, and are left out.
_ID = re.compile(r"[0-9A-Za-z-]*[0-9][0-9A-Za-z-]{5,}")
_REQUEST_ID = re.compile(r'"request_id": ?"([^"]{6,})"')


def new_directory(prefix: str) -> pathlib.Path:
    """Creates the directory of a run; `finish` removes it after a clean one.

    Args:
      prefix: the beginning of its name.
    """
    return pathlib.Path(tempfile.mkdtemp(prefix=prefix))


def finish(
    directory: pathlib.Path,
    results: Iterable[run_history.CheckResult],
    output: TextIO,
) -> None:
    """Removes the directory of a clean run, or prints what shows the cause.

    Args:
      directory: holds the journals and logs of all processes.
      results: the results of the checks.
      output: receives the lines.
    """
    violations = [
        violation for result in results for violation in result.violations
    ]
    if not violations:
        shutil.rmtree(directory)
        return
    output.write(describe(directory, violations) + "\n")


def describe(directory: pathlib.Path, violations: Sequence[str]) -> str:
    """Returns where the files of a run are, and what they say of violations."""
    lines = [f"journals and logs are kept in {directory}"]
    for violation in violations[:MAX_VIOLATIONS]:
        lines += ["", violation]
        lines += [f"  {line}" for line in lines_about(directory, violation)]
    return "\n".join(lines)


def run_files(directory: pathlib.Path) -> list[pathlib.Path]:
    """Returns the journals and logs in a directory."""
    return sorted((*directory.glob("*.journal"), *directory.glob("*.log")))


def lines_about(directory: pathlib.Path, violation: str) -> list[str]:
    """Returns the lines of journals and logs about a violation's request.

    Each begins with the name of its file, in the order of the files.
    """
    paths = run_files(directory)
    processes = {path.stem for path in paths}
    lines = [
        (path.name, line)
        for path in paths
        for line in path.read_text(errors="replace").splitlines()
    ]
    ids = set(_ID.findall(violation)) - processes
    # The caller knows a request by its marker; daemons have an id of their own.
    for _, line in lines:
        if any(one in line for one in ids):
            ids.update(_REQUEST_ID.findall(line))
    found = [
        f"{name}: {line[:MAX_LINE_CHARS]}"
        for name, line in lines
        if any(one in line for one in ids)
    ]
    return found[:MAX_LINES_PER_VIOLATION]
