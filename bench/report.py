"""Prints the JSON reports of workloads as one Markdown table.

Run as `python -m bench.report A.json B.json ...`. The reports of one workload
and deployment are adjacent, so that the figures of a policy can be compared
with those of the baseline router.
"""

import argparse
import json
import pathlib
import sys
from typing import Any

WorkloadReport = dict[str, Any]

COLUMNS = (
    "run",
    "requests",
    "served",
    "p50 / p99 / p99.9 ms",
    "imbalance",
    "moves",
    "unavailable s per key (mean, longest)",
    "worst account (served, p99 ms)",
    "refused within rate",
    "tokens over",
    "violations",
    "core share, MB, B/s per daemon",
    "store calls/s",
)


def report_cells(report: WorkloadReport) -> list[str]:
    """Returns the table cells of a report, in the order of `COLUMNS`."""
    run = report["run"]
    latency = report["latency_ms"]
    worst = report["worst_account"]
    unavailability = report["unavailable_s"]
    usage = report["daemon_usage"]
    imbalance = ", ".join(
        f"{service} {ratio}"
        for service, ratio in sorted(report["load_imbalance"].items())
    )
    moves = sum(
        service["moves"] for service in report["ownership_churn"].values()
    )
    return [
        f"{run['name']}, {run['deployment']}, {run['policy']}, seed"
        f" {run['seed']}, {run['seconds']:g} s",
        str(report["requests"]),
        f"{report['served_share']:.2%}",
        f"{latency['p50']} / {latency['p99']} / {latency['p99.9']}",
        imbalance,
        str(moves),
        f"{unavailability['mean_per_key']}, {unavailability['longest']}",
        f"{worst.get('served_share', 0):.2%}, {worst.get('p99_ms', 0)}",
        str(report["refused_within_rate"]),
        str(_excess_tokens(report)),
        str(
            sum(
                promise["violations"] for promise in report["promises"].values()
            )
        ),
        f"{usage['processor_share_of_core']}, {usage['resident_mb']},"
        f" {usage['moved_bytes_per_s']}",
        f"{sum(report['store_calls_per_s'].values()):.1f}",
    ]


def _excess_tokens(report: WorkloadReport) -> int:
    rate_promise = "no client account gets more than its rate"
    lines = report["promises"][rate_promise]["first"]
    return sum(int(line.split(": ")[1].split()[0]) for line in lines)


def _violation_counts(report: WorkloadReport) -> list[str]:
    return [
        f"{result['violations']} x {promise}"
        for promise, result in report["promises"].items()
        if result["violations"]
    ]


def format_page(reports: list[WorkloadReport]) -> str:
    """Returns a table of the reports and a list of violated promises."""
    lines = [
        f"| {' | '.join(COLUMNS)} |",
        f"|{' --- |' * len(COLUMNS)}",
    ]
    lines += [f"| {' | '.join(report_cells(report))} |" for report in reports]
    lines.append("")
    for report in reports:
        violations = _violation_counts(report)
        if violations:
            lines.append(
                f"- {report_cells(report)[0]}: {'; '.join(violations)}"
            )
    return "\n".join(lines) + "\n"


def main() -> int:
    """Reads the reports and prints them as a page."""
    parser = argparse.ArgumentParser(prog="bench.report")
    parser.add_argument("reports", nargs="+", type=pathlib.Path)
    options = parser.parse_args()
    reports = [json.loads(path.read_text()) for path in options.reports]
    reports.sort(
        key=lambda report: (
            report["run"]["deployment"],
            report["run"]["name"],
            report["run"]["policy"],
        )
    )
    sys.stdout.write(format_page(reports))
    return 0


if __name__ == "__main__":
    sys.exit(main())
