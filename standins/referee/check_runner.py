"""Runs the checks of all promises and formats their results."""

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


def run_checks(
    history: run_history.RunHistory,
) -> list[run_history.CheckResult]:
    """Returns the result of each check, in the order of the brief."""
    return [check(history) for check in CHECKS]


def exit_status(
    results: list[run_history.CheckResult], require_all: bool
) -> int:
    """Returns 1 for a violation, 2 for a promise not exercised, otherwise 0.

    Args:
      results: the result of each check.
      require_all: whether each promise must have been exercised.
    """
    if any(result.violations for result in results):
        return 1
    if require_all and any(result.events == 0 for result in results):
        return 2
    return 0


def format_table(results: list[run_history.CheckResult]) -> str:
    """Returns a text table of the results with their first violations."""
    lines = [f"{'promise':<48}{'events':>9}{'violations':>12}"]
    for result in results:
        lines.append(
            f"{result.promise:<48}{result.events:>9}"
            f"{len(result.violations):>12}"
        )
        lines.extend(
            f"    {violation}"
            for violation in result.violations[:MAX_SHOWN_VIOLATIONS]
        )
    return "\n".join(lines)
