"""Checks the ownership of keys by grants, runs and assignments."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses

from standins.referee import run_history

# How long an upstream may still be granted shards that a newer assignment
# moved: the release and the longest grant have to end first.
MAX_HANDOVER_S = 15.0


@dataclasses.dataclass(frozen=True)
class OwnershipInterval:
    """An interval in which one upstream held a shard or a hot key."""

    upstream: str
    since_s: float
    until_s: float


def check_single_owner(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks that no two upstreams hold or run a key at the same time."""
    result = run_history.CheckResult("a key has at most one owner")
    _check_grants(history, result)
    _check_runs(history, result)
    return result


def _check_grants(
    history: run_history.RunHistory, result: run_history.CheckResult
) -> None:
    for unit, intervals in _ownership_intervals(history).items():
        intervals.sort(key=lambda interval: interval.since_s)
        result.events += len(intervals)
        last = intervals[0]
        for interval in intervals[1:]:
            if (
                interval.upstream != last.upstream
                and interval.since_s < last.until_s
            ):
                result.violations.append(
                    f"{unit}: {last.upstream} held it until"
                    f" {last.until_s:.3f} and {interval.upstream} got it at"
                    f" {interval.since_s:.3f}"
                )
            if interval.until_s > last.until_s:
                last = interval


def _ownership_intervals(
    history: run_history.RunHistory,
) -> dict[tuple[str, str], list[OwnershipInterval]]:
    """Returns who held each shard or hot key, and when."""
    intervals: dict[tuple[str, str], list[OwnershipInterval]] = (
        collections.defaultdict(list)
    )
    open_grants: dict[str, run_history.Record] = {}
    for record in history.records:
        upstream = record["source"]
        event = record["event"]
        is_change = (
            (event == "grant" and record["accepted"])
            or (event == "release" and record["released"])
            or event == "up"
        )
        if not is_change:
            continue
        previous = open_grants.pop(upstream, None)
        if previous is not None:
            _add_interval(intervals, previous, record["monotonic_s"])
        if event == "grant":
            open_grants[upstream] = record
    for record in open_grants.values():
        _add_interval(intervals, record, float("inf"))
    return intervals


def _add_interval(
    intervals: dict[tuple[str, str], list[OwnershipInterval]],
    grant: run_history.Record,
    ended_s: float,
) -> None:
    since_s = grant["monotonic_s"]
    until_s = min(ended_s, grant["lapses_monotonic_s"])
    for unit in _granted_units(grant):
        unit_intervals = intervals[unit]
        last = unit_intervals[-1] if unit_intervals else None
        # A renewal without a gap extends the previous interval.
        if (
            last is not None
            and last.upstream == grant["source"]
            and last.until_s >= since_s
        ):
            unit_intervals[-1] = dataclasses.replace(last, until_s=until_s)
            continue
        unit_intervals.append(
            OwnershipInterval(grant["source"], since_s, until_s)
        )


def _granted_units(grant: run_history.Record) -> Iterator[tuple[str, str]]:
    service = grant["service"]
    for first, last in grant["shards"]:
        for shard in range(first, last + 1):
            yield service, f"shard {shard}"
    for key in grant.get("hot_keys", ()):
        yield service, f"hot key {key}"


def _check_runs(
    history: run_history.RunHistory, result: run_history.CheckResult
) -> None:
    by_key: dict[tuple[str, str], list[run_history.UpstreamRun]] = (
        collections.defaultdict(list)
    )
    for run in history.runs:
        if run.record["key"] and run.record["shard"] >= 0:
            unit = (run.record["service"], run.record["key"])
            by_key[unit].append(run)
    for unit, runs in by_key.items():
        result.events += len(runs)
        # Runs are in the order of their start. Only a finished run had an
        # effect: one that was lost or fenced before its end had none.
        last: run_history.UpstreamRun | None = None
        for run in runs:
            if run.end != "finished":
                continue
            if (
                last is not None
                and run.upstream != last.upstream
                and run.start_s < last.end_s
            ):
                result.violations.append(
                    f"{unit}: {last.request_id} on {last.upstream} and"
                    f" {run.request_id} on {run.upstream} overlap at"
                    f" {run.start_s:.3f}"
                )
            if last is None or run.end_s > last.end_s:
                last = run


@dataclasses.dataclass(frozen=True)
class _AcceptedAssignment:
    accepted_s: float
    shard_owners: tuple[str, ...]


def check_assignments_kept(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks that an accepted assignment is never lost or reverted.

    Terms never decrease, no assignment is deleted, and an upstream is granted
    only what an accepted assignment gives it.
    """
    result = run_history.CheckResult("an accepted assignment survives")
    terms: dict[str, int] = {}
    accepted: dict[str, list[_AcceptedAssignment]] = collections.defaultdict(
        list
    )
    for record in history.records:
        if record.get("kind") != "assignment":
            continue
        service = record["name"]
        result.events += 1
        if record["event"] == "delete":
            result.violations.append(f"{service}: the assignment was deleted")
            continue
        value = record["value"]
        if value["term"] < terms.get(service, 0):
            result.violations.append(
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
    for record in history.by_event["grant"]:
        if record["accepted"] and record["service"] in accepted:
            result.events += 1
            _check_grant_assigned(record, accepted[record["service"]], result)
    return result


def _check_grant_assigned(
    grant: run_history.Record,
    accepted: list[_AcceptedAssignment],
    result: run_history.CheckResult,
) -> None:
    granted_s = grant["monotonic_s"]
    times = [assignment.accepted_s for assignment in accepted]
    newest = bisect.bisect_right(times, granted_s) - 1
    oldest = max(0, bisect.bisect_right(times, granted_s - MAX_HANDOVER_S) - 1)
    valid_assignments = accepted[oldest : newest + 1]
    for first, last in grant["shards"]:
        for shard in range(first, last + 1):
            if not any(
                assignment.shard_owners[shard] == grant["source"]
                for assignment in valid_assignments
            ):
                result.violations.append(
                    f"{grant['source']} was granted shard {shard} of"
                    f" {grant['service']} at {granted_s:.3f}, which no"
                    " accepted assignment gives it"
                )
                return
