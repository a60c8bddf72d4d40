"""Tests of what a run keeps when it finds a broken promise."""

import io
import json
import os
import pathlib
import subprocess
import sys

import pytest

from bench import __main__ as workload_runner
from bench import evidence
from standins.referee import run_history

ROOT = pathlib.Path(__file__).parents[2]
REQUEST_ID = "3f8a91c2-7d10-4b7e-9a55-0c1d2e3f4a5b"
RUN = {
    "event": "started",
    "source": "prenota-5",
    "monotonic_s": 1.1,
    "service": "prenota",
    "incarnation": "1",
    "request_id": REQUEST_ID,
    "marker": "run1-000003992",
    "account": "hotel-1",
    "key": "k",
    "shard": 1,
    "cold": False,
    "secrets_seen": [],
}
ANSWER = {
    "event": "answer",
    "source": "driver",
    "monotonic_s": 1.3,
    "sent_s": 1.0,
    "answered_s": 1.3,
    "marker": "run1-000003992",
    "request_id": REQUEST_ID,
    "account": "hotel-1",
    "account_key_id": "key-1",
    "key": "k",
    "method": "POST",
    "outcome": "answered",
    "status": 200,
    "verdict": "ran",
    "reason": "",
    "matches": True,
    "entry": "entry-2",
    "upstream": "prenota-5",
}
BROKEN_PROMISE = {
    "status": 503,
    "verdict": "not-run",
    "reason": "gateway-lost",
}
PROCESS_TEST = f"""
def test_run(tmp_path):
    (tmp_path / "prenota-5.journal").write_text(
        '{json.dumps(RUN)}\\n{{"event": "other"}}\\n'
    )
    violations = VIOLATIONS
    assert not violations
"""


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


@pytest.fixture
def run_workload(tmp_path, monkeypatch, capsys):
    """Returns a function that runs a workload that one request stands for.

    It returns the exit status, the kept directories and what was printed.
    """

    def run(*arguments, **answer_fields):
        async def write_journals(options, directory):
            end = {**RUN, "event": "finished", "monotonic_s": 1.2}
            for record in (RUN, end, {**ANSWER, **answer_fields}):
                path = directory / f"{record['source']}.journal"
                with path.open("a") as journal:
                    journal.write(json.dumps(record) + "\n")
            return workload_runner.Measurement(0.0, 2.0, {}, {})

        monkeypatch.setattr(workload_runner, "run_workload", write_journals)
        monkeypatch.setattr(sys, "argv", ["bench", "steady", *arguments])
        monkeypatch.setattr(evidence.tempfile, "tempdir", str(tmp_path))
        status = workload_runner.main()
        return status, list(tmp_path.iterdir()), capsys.readouterr()

    return run


def test_workload_without_violations_leaves_nothing_behind(run_workload):
    status, kept, printed = run_workload()
    assert status == 0
    assert not kept
    assert json.loads(printed.out)["requests"] == 1


def test_workload_that_breaks_a_promise_keeps_its_files(run_workload):
    status, (directory,), printed = run_workload(**BROKEN_PROMISE)
    assert status == 1
    assert json.loads(printed.out)["requests"] == 1
    assert f"are kept in {directory}" in printed.err
    assert f"prenota-5.journal: {json.dumps(RUN)}"[:200] in printed.err
    assert (directory / "driver.journal").exists()


def test_workload_keeps_the_journals_that_were_asked_for(
    run_workload, tmp_path
):
    asked_for = tmp_path / "asked-for"
    status, kept, _ = run_workload("--journals", str(asked_for))
    assert status == 0
    assert kept == [asked_for]


@pytest.fixture
def run_process_test(tmp_path):
    """Returns a function that runs a process test that finds violations.

    It returns the ended process and the journals that it left.
    """

    def run(violations):
        test_file = tmp_path / "test_run.py"
        test_file.write_text(
            PROCESS_TEST.replace("VIOLATIONS", repr(violations))
        )
        temporary = tmp_path / "temporary"
        temporary.mkdir()
        ended = subprocess.run(
            [
                *(sys.executable, "-m", "pytest", "-n", "0"),
                *("-c", str(ROOT / "pyproject.toml"), "--rootdir", tmp_path),
                *("-p", "no:cacheprovider", "-p", "tests.process.conftest"),
                test_file,
            ],
            cwd=ROOT,
            env={**os.environ, "PYTEST_DEBUG_TEMPROOT": str(temporary)},
            capture_output=True,
            text=True,
            check=False,
        )
        return ended, list(temporary.rglob("*.journal"))

    return run


def test_process_test_without_violations_leaves_nothing_behind(
    run_process_test,
):
    ended, journals = run_process_test([])
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert not journals


def test_process_test_that_finds_a_broken_promise_keeps_its_files(
    run_process_test,
):
    ended, journals = run_process_test([f"{REQUEST_ID}: ran 2 times"])
    assert ended.returncode == 1, ended.stdout + ended.stderr
    (journal,) = journals
    assert f"are kept in {journal.parent}" in ended.stdout
    assert f"prenota-5.journal: {json.dumps(RUN)}" in ended.stdout
    assert 'prenota-5.journal: {"event": "other"}' not in ended.stdout
