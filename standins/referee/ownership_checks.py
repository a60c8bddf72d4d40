"""Checks of who owned a key, by grants and by runs."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses

from standins.referee import run_history

# How long an upstream may still be granted what a newer assignment gave
# away: the release and the longest grant have to pass first.
MAX_HANDOVER_S = 15.0


@dataclasses.dataclass(frozen=True)
class OwnershipInterval:
    """A time during which one upstream held a shard or a hot key."""

    upstream: str
    since_s: float
    until_s: float


def check_single_owner(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """A key has at most one owner: no two upstreams hold or run it."""
    finding = run_history.CheckResult("a key has at most one owner")
    _check_grants(facts, finding)
    _check_runs(facts, finding)
    return finding


def _check_grants(
    facts: run_history.RunHistory, finding: run_history.CheckResult
) -> None:
    for place, holdings in _ownership_intervals(facts).items():
        holdings.sort(key=lambda holding: holding.since_s)
        finding.events += len(holdings)
        last = holdings[0]
        for holding in holdings[1:]:
            if (
                holding.upstream != last.upstream
                and holding.since_s < last.until_s
            ):
                finding.violations.append(
                    f"{place}: {last.upstream} held it until"
                    f" {last.until_s:.3f} and {holding.upstream} got it at"
                    f" {holding.since_s:.3f}"
                )
            if holding.until_s > last.until_s:
                last = holding


def _ownership_intervals(
    facts: run_history.RunHistory,
) -> dict[tuple[str, str], list[OwnershipInterval]]:
    """Returns, for each shard or hot key, who held it and when."""
    holdings: dict[tuple[str, str], list[OwnershipInterval]] = (
        collections.defaultdict(list)
    )
    open_grants: dict[str, run_history.Record] = {}
    for record in facts.records:
        upstream = record["source"]
        event = record["event"]
        is_change = (
            (event == "grant" and record["accepted"])
            or (event == "release" and record["released"])
            or event == "up"
        )
        if not is_change:
            continue
        before = open_grants.pop(upstream, None)
        if before is not None:
            _add_interval(holdings, before, record["monotonic_s"])
        if event == "grant":
            open_grants[upstream] = record
    for record in open_grants.values():
        _add_interval(holdings, record, float("inf"))
    return holdings


def _add_interval(
    holdings: dict[tuple[str, str], list[OwnershipInterval]],
    grant: run_history.Record,
    ended_s: float,
) -> None:
    since_s = grant["monotonic_s"]
    until_s = min(ended_s, grant["lapses_monotonic_s"])
    for place in _granted_units(grant):
        known = holdings[place]
        last = known[-1] if known else None
        # A renewal without a gap continues the holding before it.
        if (
            last is not None
            and last.upstream == grant["source"]
            and last.until_s >= since_s
        ):
            known[-1] = dataclasses.replace(last, until_s=until_s)
            continue
        known.append(OwnershipInterval(grant["source"], since_s, until_s))


def _granted_units(grant: run_history.Record) -> Iterator[tuple[str, str]]:
    service = grant["service"]
    for first, last in grant["shards"]:
        for shard in range(first, last + 1):
            yield service, f"shard {shard}"
    for key in grant.get("hot_keys", ()):
        yield service, f"hot key {key}"


def _check_runs(
    facts: run_history.RunHistory, finding: run_history.CheckResult
) -> None:
    by_key: dict[tuple[str, str], list[run_history.UpstreamRun]] = (
        collections.defaultdict(list)
    )
    for run in facts.runs:
        if run.record["key"] and run.record["shard"] >= 0:
            place = (run.record["service"], run.record["key"])
            by_key[place].append(run)
    for place, runs in by_key.items():
        finding.events += len(runs)
        # Runs are in the order of their start. Only a finished run had an
        # effect: one that was lost or fenced in the middle had none.
        last: run_history.UpstreamRun | None = None
        for run in runs:
            if run.end != "finished":
                continue
            if (
                last is not None
                and run.upstream != last.upstream
                and run.start_s < last.end_s
            ):
                finding.violations.append(
                    f"{place}: runs on {last.upstream} and {run.upstream}"
                    f" overlap at {run.start_s:.3f}"
                )
            if last is None or run.end_s > last.end_s:
                last = run


@dataclasses.dataclass(frozen=True)
class _AcceptedAssignment:
    accepted_s: float
    shard_owners: tuple[str, ...]


def check_assignments_kept(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """An accepted assignment is never lost and never goes back.

    Terms never fall, no assignment is deleted, and an upstream is granted
    only what an accepted assignment gave it.
    """
    finding = run_history.CheckResult("an accepted assignment survives")
    terms: dict[str, int] = {}
    accepted: dict[str, list[_AcceptedAssignment]] = collections.defaultdict(
        list
    )
    for record in facts.records:
        if record.get("kind") != "assignment":
            continue
        service = record["name"]
        finding.events += 1
        if record["event"] == "delete":
            finding.violations.append(f"{service}: the assignment was deleted")
            continue
        value = record["value"]
        if value["term"] < terms.get(service, 0):
            finding.violations.append(
                f"{service}: term {value['term']} after {terms[service]}"
            )
        terms[service] = value["term"]
        owners = tuple(
            value["upstreams"][index] if index >= 0 else ""
            for index in value["owners"]
        )
        accepted[service].append(
            _AcceptedAssignment(record["monotonic_s"], owners)
        )
    for record in facts.by_event["grant"]:
        if record["accepted"] and record["service"] in accepted:
            finding.events += 1
            _check_grant_assigned(record, accepted[record["service"]], finding)
    return finding


def _check_grant_assigned(
    grant: run_history.Record,
    accepted: list[_AcceptedAssignment],
    finding: run_history.CheckResult,
) -> None:
    granted_s = grant["monotonic_s"]
    times = [one.accepted_s for one in accepted]
    newest = bisect.bisect_right(times, granted_s) - 1
    oldest = max(0, bisect.bisect_right(times, granted_s - MAX_HANDOVER_S) - 1)
    backing = accepted[oldest : newest + 1]
    for first, last in grant["shards"]:
        for shard in range(first, last + 1):
            if not any(
                one.shard_owners[shard] == grant["source"] for one in backing
            ):
                finding.violations.append(
                    f"{grant['source']} was granted shard {shard} of"
                    f" {grant['service']} at {granted_s:.3f}, which no"
                    " accepted assignment gives it"
                )
                return
