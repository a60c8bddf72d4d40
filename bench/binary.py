"""Measures the packaged binary's size, start time and process resources.

Run as `python -m bench.binary dist/sardinehill`. Prints the size, the start
times with an empty and with a filled unpack directory, the resident memory,
and the kernel's counts of child processes, io_uring descriptors and shared
memory mappings.
"""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile
import time
from typing import Any

from bench import process_usage
from standins import deployment as deployment_module
from standins import processes
from tests.common import inspect_process

SETTLE_TIME_S = 2.0


async def _measure_binary(
    binary: pathlib.Path, directory: pathlib.Path
) -> dict[str, Any]:
    deployment = deployment_module.Deployment(
        directory, deployment_module.SMALL
    )
    await deployment.store.start()
    settings_file = directory / "host.ini"
    settings_file.write_text(deployment.host_settings_text("entry-1", "pa-1"))
    environment = {"SHIV_ROOT": str(directory / "unpacked")}
    arguments = [str(binary), "daemon", str(settings_file)]
    report: dict[str, Any] = {}
    try:
        for name in ("first_start_s", "next_start_s"):
            daemon = processes.ServerProcess(name, arguments, directory / name)
            start_s = time.monotonic()
            await daemon.start("listening operators", environment)
            report[name] = round(time.monotonic() - start_s, 2)
            await asyncio.sleep(SETTLE_TIME_S)
            report.update(_inspect_daemon(daemon.pid))
            report["stop_s"] = round(await daemon.stop(), 2)
    finally:
        await deployment.store.kill()
    return report


def _inspect_daemon(pid: int) -> dict[str, Any]:
    usage = process_usage.read(pid)
    return {
        "resident_bytes": usage.resident_bytes if usage else 0,
        "threads": inspect_process.thread_count(pid),
        "children": len(inspect_process.child_pids(pid)),
        "io_uring": len(inspect_process.io_uring_descriptors(pid)),
        "shared_memory": len(inspect_process.writable_shared_mappings(pid)),
    }


def main() -> int:
    """Measures a binary and prints a JSON report.

    Returns:
      1 if the daemon has child processes, io_uring descriptors or shared
      memory, which the hosts do not allow, otherwise 0.
    """
    parser = argparse.ArgumentParser(prog="bench.binary")
    parser.add_argument("binary", type=pathlib.Path)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        directory = pathlib.Path(temporary)
        report = asyncio.run(
            _measure_binary(options.binary.resolve(), directory)
        )
        unpacked = (directory / "unpacked").rglob("*")
        report["unpacked_bytes"] = sum(
            path.stat().st_size for path in unpacked if path.is_file()
        )
    report["size_bytes"] = options.binary.stat().st_size
    print(json.dumps(report, indent=2))
    violations = (
        report["children"] + report["io_uring"] + report["shared_memory"]
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
