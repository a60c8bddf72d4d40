"""Tests of what a demo keeps when it finds a broken promise."""

import io

from bench import evidence
from standins.referee import run_history

REQUEST_ID = "3f8a91c2-7d10-4b7e-9a55-0c1d2e3f4a5b"


def kept_run(violations):
    """Returns the directory of a finished run and what was printed."""
    directory = evidence.new_directory("sardinehill-test-")
    (directory / "prenota-5.journal").write_text(
        f'{{"event": "run", "request": "{REQUEST_ID}"}}\n{{"event": "other"}}\n'
    )
    (directory / "driver.journal").write_text(
        f'{{"marker": "run1-000003992", "request_id": "{REQUEST_ID}"}}\n'
    )
    (directory / "entry-2.log").write_text(
        f'{{"event_name": "request-refused", "request_id": "{REQUEST_ID}"}}\n'
    )
    output = io.StringIO()
    result = run_history.CheckResult("a promise", 1, violations)
    evidence.finish(directory, [result], output)
    return directory, output.getvalue()


def test_clean_run_leaves_nothing_behind():
    directory, printed = kept_run([])
    assert not directory.exists()
    assert printed == ""


def test_broken_promise_keeps_its_files_and_prints_the_lines_of_the_request():
    directory, printed = kept_run(
        ["run1-000003992: reported as not run (gateway-lost), ran on prenota-5"]
    )
    try:
        assert str(directory) in printed
        assert "prenota-5.journal: " in printed
        assert "entry-2.log: " in printed
        assert "other" not in printed
    finally:
        evidence.shutil.rmtree(directory)
