"""Tests of the build that the deploy file names."""

import os
import pathlib
import shutil
import subprocess
import threading
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
BUILDS_COUNT = 2
BUILD_TIMEOUT_S = 120.0


@pytest.fixture
def checkout(tmp_path):
    """Returns a copy of the checkout whose dependencies count as built."""
    ignored = shutil.ignore_patterns("__pycache__")
    for name in ("src", "deploy"):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=ignored)
    ready = tmp_path / "target" / "deps" / ".ready"
    ready.parent.mkdir(parents=True)
    ready.touch()
    os.utime(tmp_path / "deploy" / "requirements.txt", (0, 0))
    return tmp_path


def build(checkout):
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    subprocess.run(
        deploy["build"],
        shell=True,
        cwd=checkout,
        check=True,
        timeout=BUILD_TIMEOUT_S,
    )


# Guards against this failure: a process that started while a build replaced the
# program found no package, or a part of it, and ended with an ImportError.
def test_program_is_complete_at_each_moment_of_a_build(checkout):
    build(checkout)
    package = checkout / "target" / "deps" / "sardinehill"
    modules = [package / "wire" / "schemas.py", package / "events.py"]
    assert all(module.exists() for module in modules)
    is_built = threading.Event()
    missing = []

    def watch():
        while not is_built.is_set():
            missing.extend(path for path in modules if not path.exists())

    watching = threading.Thread(target=watch)
    watching.start()
    try:
        for _ in range(BUILDS_COUNT):
            build(checkout)
    finally:
        is_built.set()
        watching.join()
    assert not missing


def test_build_leaves_the_sources_of_the_checkout_and_no_other_build(checkout):
    for text in ("first", "second"):
        (checkout / "src" / "sardinehill" / "added.py").write_text(f"# {text}")
        build(checkout)
    deps = checkout / "target" / "deps"
    assert (deps / "sardinehill" / "added.py").read_text() == "# second"
    cache = deps / "sardinehill" / "front" / "__pycache__"
    assert list(cache.glob("daemon.*.opt-2.pyc"))
    copies = [path for path in deps.rglob("added.py") if not path.is_symlink()]
    assert len({path.resolve() for path in copies}) == 1
