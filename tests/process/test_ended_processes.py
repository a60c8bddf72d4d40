"""Tests that a process which ends says why in the last line of its log."""

import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
TIMEOUT_S = 20.0
# Starts the daemon's program with a part that fails.
FAILING_PROGRAM = """
import runpy
from sardinehill.front import daemon
async def fail(*_):
    raise RuntimeError("a part failed")
daemon.run = fail
runpy.run_module("sardinehill.front", run_name="__main__")
"""


def run_program(*arguments, settings):
    return subprocess.run(
        [sys.executable, *arguments],
        env={
            **os.environ,
            "PYTHONPATH": str(ROOT / "src"),
            "SARDINEHILL_SETTINGS": settings,
        },
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def last_line(process):
    return json.loads(process.stdout.splitlines()[-1])


def test_process_with_invalid_settings_names_them_in_its_last_line(tmp_path):
    settings = tmp_path / "boot.conf"
    settings.write_text("nodeName=front-0\ninternalPorts=7\n")
    process = run_program("-m", "sardinehill.front", settings=str(settings))
    assert process.returncode == 2
    line = last_line(process)
    assert line["event_name"] == "settings-invalid"
    assert any("internalPorts" in error for error in line["errors"])


def test_process_without_a_settings_file_says_so_in_its_last_line():
    process = run_program("-m", "sardinehill.front", settings="")
    assert process.returncode == 2
    assert last_line(process)["event_name"] == "settings-invalid"


def test_process_that_fails_logs_its_traceback_in_its_last_line():
    process = run_program("-c", FAILING_PROGRAM, settings="boot.conf")
    assert process.returncode == 1
    line = last_line(process)
    assert line["event_name"] == "daemon-failed"
    assert "a part failed" in line["traceback"]
