"""Runs one workload against a deployment and prints its metrics as JSON.

Run as `python -m bench NAME --seed N --seconds S [--policy baseline] ...`.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys
import time
from typing import Any

from bench import evidence
from bench import load_generator
from bench import process_usage
from bench import run_metrics
from bench import workloads
from standins import deployment as deployment_module
from standins import operations as operations_module
from standins.referee import check_runner
from standins.referee import run_history

WARM_UP_S = 3.0


def _read_daemon_usage(
    deployment: deployment_module.Deployment,
) -> dict[int, process_usage.ProcessUsage | None]:
    return {
        process.pid: process_usage.read(process.pid)
        for process in deployment.daemons.values()
        if process.is_running
    }


def _mean_daemon_usage(
    before: dict[int, process_usage.ProcessUsage | None],
    after: dict[int, process_usage.ProcessUsage | None],
    seconds: float,
) -> dict[str, float]:
    """Returns the mean usage of the daemons that ran the whole time."""
    pairs = [
        (usage, after.get(pid))
        for pid, usage in before.items()
        if usage is not None and after.get(pid) is not None
    ]
    count = max(len(pairs), 1)
    cpu_time_s = sum(
        end.cpu_time_s - begin.cpu_time_s for begin, end in pairs if end
    )
    io_bytes = sum(end.io_bytes - begin.io_bytes for begin, end in pairs if end)
    resident_bytes = sum(end.resident_bytes for _, end in pairs if end)
    return {
        "daemons": len(pairs),
        "processor_share_of_core": round(cpu_time_s / count / seconds, 4),
        "moved_bytes_per_s": round(io_bytes / count / seconds),
        "resident_mb": round(resident_bytes / count / 1e6, 1),
    }


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Holds what was measured beside the journals.

    Attributes:
      begin_s: when the workload began, on the monotonic clock.
      end_s: when it ended.
      daemon_usage: the mean usage of the daemons.
      store_calls_per_s: the rate of each call to the store.
    """

    begin_s: float
    end_s: float
    daemon_usage: dict[str, float]
    store_calls_per_s: dict[str, float]


async def run_workload(
    options: argparse.Namespace, directory: pathlib.Path
) -> Measurement:
    """Runs a workload whose processes write their journals to a directory."""
    deployment = deployment_module.Deployment(
        directory,
        deployment_module.DEPLOYMENT_SHAPES[options.deployment],
        is_baseline=options.policy == "baseline",
    )
    operations = operations_module.Operations(deployment)
    try:
        await deployment.start()
        operations.start_sampling()
        plan = load_generator.LoadPlan(load_ratio=options.load)
        load = load_generator.LoadGenerator(deployment, options.seed, plan)
        context = workloads.WorkloadContext(
            deployment, operations, load, options.seconds
        )
        load_task = asyncio.ensure_future(load.run(3600.0))
        await asyncio.sleep(WARM_UP_S)
        begin_s, calls_before = time.monotonic(), await deployment.store_stats()
        usage_before = _read_daemon_usage(deployment)
        await workloads.WORKLOADS[options.name](context)
        end_s, calls_after = time.monotonic(), await deployment.store_stats()
        daemon_usage = _mean_daemon_usage(
            usage_before, _read_daemon_usage(deployment), end_s - begin_s
        )
        load.stop()
        await load_task
    finally:
        await operations.close()
        await deployment.close()
    return Measurement(
        begin_s,
        end_s,
        daemon_usage,
        _call_rates_per_s(calls_before, calls_after, end_s - begin_s),
    )


def _call_rates_per_s(
    before: dict[str, Any], after: dict[str, Any], seconds: float
) -> dict[str, float]:
    return {
        call: round((count - before["calls"].get(call, 0)) / seconds, 2)
        for call, count in after["calls"].items()
    }


def _make_report(
    history: run_history.RunHistory,
    measurement: Measurement,
    results: list[run_history.CheckResult],
) -> dict[str, Any]:
    report = run_metrics.compute_metrics(
        history, measurement.begin_s, measurement.end_s
    )
    report["daemon_usage"] = measurement.daemon_usage
    report["store_calls_per_s"] = measurement.store_calls_per_s
    report["promises"] = {
        result.promise: {
            "events": result.events,
            "violations": len(result.violations),
            "first": result.violations[:3],
        }
        for result in results
    }
    return report


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bench")
    parser.add_argument("name", choices=sorted(workloads.WORKLOADS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--policy", default="sardinehill")
    parser.add_argument(
        "--deployment",
        default="aretusa",
        choices=sorted(deployment_module.DEPLOYMENT_SHAPES),
    )
    parser.add_argument("--load", type=float, default=0.5)
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--journals", type=pathlib.Path)
    return parser.parse_args()


def main() -> int:
    """Runs one workload and writes its report.

    Returns:
      The exit status: 1 if a promise was violated, otherwise 0.
    """
    options = _parse_options()
    directory = options.journals or evidence.new_directory("sardinehill-bench-")
    directory.mkdir(parents=True, exist_ok=True)
    measurement = asyncio.run(run_workload(options, directory))
    history = run_history.read(directory)
    results = check_runner.run_checks(history)
    report = _make_report(history, measurement, results)
    sys.stderr.write(check_runner.format_table(results) + "\n")
    report["run"] = {
        name: getattr(options, name)
        for name in ("name", "seed", "seconds", "policy", "deployment", "load")
    }
    text = json.dumps(report, indent=2)
    if options.json:
        options.json.write_text(text + "\n")
    print(text)
    status = check_runner.exit_status(results, require_all=False)
    if status or not options.journals:
        evidence.finish(directory, results, sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
