"""All promises together, and the table that shows them."""

from collections.abc import Callable

from standins.referee import evidence
from standins.referee import operations
from standins.referee import ownership
from standins.referee import requests

SHOWN_VIOLATIONS = 5

CHECKS: tuple[Callable[[evidence.Evidence], evidence.Finding], ...] = (
    ownership.one_owner,
    ownership.assignment_survives,
    requests.cold_upstreams_bear_it,
    operations.zone_out_gets_nothing,
    requests.right_account,
    requests.within_rate,
    requests.whole_answers,
    requests.not_run_is_true,
    requests.at_most_once,
    operations.leaving_gets_nothing,
    operations.stops_are_graceful,
    operations.configuration_holds,
)


def check(facts: evidence.Evidence) -> list[evidence.Finding]:
    """Returns what came of each promise, in the order of the brief."""
    return [one(facts) for one in CHECKS]


def exit_status(findings: list[evidence.Finding], need_all: bool) -> int:
    """Returns 0, 1 when a promise was violated, 2 when one was not met.

    Args:
      findings: what came of each promise.
      need_all: whether each promise must have been exercised.
    """
    if any(finding.violations for finding in findings):
        return 1
    if need_all and any(finding.events == 0 for finding in findings):
        return 2
    return 0


def table(findings: list[evidence.Finding]) -> str:
    """Returns the findings as text, the first violations under each."""
    lines = [f"{'promise':<48}{'events':>9}{'violations':>12}"]
    for finding in findings:
        lines.append(
            f"{finding.promise:<48}{finding.events:>9}"
            f"{len(finding.violations):>12}"
        )
        lines.extend(
            f"    {violation}"
            for violation in finding.violations[:SHOWN_VIOLATIONS]
        )
    return "\n".join(lines)
