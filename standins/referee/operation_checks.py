"""Checks the effects of operators' actions on requests and daemons."""

from standins.referee import run_history

# Reasons for the loss of a request that a daemon's stop may have caused.
LOSS_REASONS = frozenset({"gateway-lost", "connection-lost"})


def check_zone_out(history: run_history.RunHistory) -> run_history.CheckResult:
    """Checks that a zone taken out gets no new work after a few seconds."""
    result = run_history.CheckResult("a zone taken out gets no new work")
    for zone, since_s, until_s in history.event_intervals(
        "zone-out", "zone-in", "zone"
    ):
        settled_s = since_s + run_history.SETTLING_TIME_S
        for run in history.runs:
            if not settled_s < run.start_s < until_s:
                continue
            result.events += 1
            if history.upstream_zones.get(run.upstream) == zone:
                result.violations.append(
                    f"{run.request_id}: {run.upstream} of {zone} got work"
                    f" {run.start_s - since_s:.3f} s after the zone was out"
                )
    return result


def check_leaving_upstreams(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks that a leaving upstream gets no work after a few seconds."""
    result = run_history.CheckResult("a leaving upstream gets no new work")
    for name, since_s, until_s in _leaving_intervals(history):
        settled_s = since_s + run_history.SETTLING_TIME_S
        for run in history.runs:
            if not settled_s < run.start_s < until_s:
                continue
            result.events += 1
            if run.upstream == name:
                result.violations.append(
                    f"{run.request_id}: {name} got work"
                    f" {run.start_s - since_s:.3f} s after it began to leave"
                )
    return result


def _leaving_intervals(
    history: run_history.RunHistory,
) -> list[tuple[str, float, float]]:
    intervals = history.event_intervals("host-out", "host-in", "host")
    leaving_since: dict[str, float] = {}
    for record in history.by_event["host"]:
        name = record.get("name", "")
        host = record.get("host")
        if host and host["state"] == "leaving":
            leaving_since.setdefault(name, record["monotonic_s"])
        elif name in leaving_since:
            intervals.append(
                (name, leaving_since.pop(name), record["monotonic_s"])
            )
    intervals.extend(
        (name, since_s, float("inf")) for name, since_s in leaving_since.items()
    )
    return intervals


def check_graceful_stops(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks that a planned stop cuts off no request in flight.

    Requests that were in flight at the stopping daemon must end with an
    answer; those that it forwarded as a gateway must not be lost.
    """
    result = run_history.CheckResult("a planned stop cuts off no request")
    for daemon, since_s, until_s in history.event_intervals(
        "stop-begins", "stop-ended", "daemon"
    ):
        for answer in history.answers:
            if not answer["sent_s"] <= since_s <= answer["answered_s"]:
                continue
            result.events += 1
            was_entry = answer["entry"] == daemon
            if was_entry and answer["outcome"] != "answered":
                result.violations.append(
                    f"{answer['marker']}: {answer['outcome']} at {daemon},"
                    " which was stopped as planned"
                )
        for answer in history.answers:
            lost = (
                since_s <= answer["answered_s"] <= until_s
                and answer["verdict"] == "may-have-run"
                and answer["reason"] in LOSS_REASONS
            )
            if lost:
                result.violations.append(
                    f"{answer['marker']}: {answer['reason']} while {daemon}"
                    " was stopped as planned"
                )
    return result


def check_configuration_in_force(
    history: run_history.RunHistory,
) -> run_history.CheckResult:
    """Checks that a configuration comes into force and never reverts."""
    result = run_history.CheckResult("a configuration is in force and stays")
    highest: dict[str, int] = {}
    accepted: list[tuple[float, int]] = []
    for record in history.records:
        if record["event"] == "put" and record["kind"] == "config":
            accepted.append((record["monotonic_s"], record["version"]))
        if record["event"] != "in-force":
            continue
        result.events += 1
        daemon, version = record["daemon"], record["version"]
        if version < highest.get(daemon, 0):
            result.violations.append(
                f"{daemon} reverted from {highest[daemon]} to {version}"
            )
        highest[daemon] = max(version, highest.get(daemon, 0))
        accepted_before_s = record["monotonic_s"] - run_history.SETTLING_TIME_S
        due = [
            accepted_version
            for since_s, accepted_version in accepted
            if since_s <= accepted_before_s
        ]
        if due and version < due[-1] and record.get("settled", True):
            result.violations.append(
                f"{daemon} has {version} in force, {due[-1]} was accepted"
                f" more than {run_history.SETTLING_TIME_S} s before"
            )
    return result
