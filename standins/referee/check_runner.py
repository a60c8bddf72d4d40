"""All promises together, and the table that shows them."""

from collections.abc import Callable

from standins.referee import operation_checks
from standins.referee import ownership_checks
from standins.referee import request_checks
from standins.referee import run_history

MAX_SHOWN_VIOLATIONS = 5

CHECKS: tuple[
    Callable[[run_history.RunHistory], run_history.CheckResult], ...
] = (
    ownership_checks.check_single_owner,
    ownership_checks.check_assignments_kept,
    request_checks.check_cold_start_load,
    operation_checks.check_zone_out,
    request_checks.check_request_account,
    request_checks.check_account_rates,
    request_checks.check_complete_answers,
    request_checks.check_not_run_verdicts,
    request_checks.check_at_most_once,
    operation_checks.check_leaving_upstreams,
    operation_checks.check_graceful_stops,
    operation_checks.check_configuration_in_force,
)


def run_checks(facts: run_history.RunHistory) -> list[run_history.CheckResult]:
    """Returns what came of each promise, in the order of the brief."""
    return [one(facts) for one in CHECKS]


def exit_status(
    results: list[run_history.CheckResult], require_all: bool
) -> int:
    """Returns 0, 1 when a promise was violated, 2 when one was not met.

    Args:
      results: what came of each promise.
      require_all: whether each promise must have been exercised.
    """
    if any(finding.violations for finding in results):
        return 1
    if require_all and any(finding.events == 0 for finding in results):
        return 2
    return 0


def format_table(results: list[run_history.CheckResult]) -> str:
    """Returns the findings as text, the first violations under each."""
    lines = [f"{'promise':<48}{'events':>9}{'violations':>12}"]
    for finding in results:
        lines.append(
            f"{finding.promise:<48}{finding.events:>9}"
            f"{len(finding.violations):>12}"
        )
        lines.extend(
            f"    {violation}"
            for violation in finding.violations[:MAX_SHOWN_VIOLATIONS]
        )
    return "\n".join(lines)
