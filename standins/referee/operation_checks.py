"""Checks of what operators do: zones, hosts, stops, configurations."""

from standins.referee import run_history

# Losses during a stop that the stop itself explains.
LOSS_REASONS = frozenset({"gateway-lost", "connection-lost"})


def check_zone_out(facts: run_history.RunHistory) -> run_history.CheckResult:
    """A zone that was taken out gets no new work after a few seconds."""
    finding = run_history.CheckResult("a zone taken out gets no new work")
    for zone, since_s, until_s in facts.event_intervals(
        "zone-out", "zone-in", "zone"
    ):
        quiet_s = since_s + run_history.SETTLING_TIME_S
        for run in facts.runs:
            if not quiet_s < run.start_s < until_s:
                continue
            finding.events += 1
            if facts.upstream_zones.get(run.upstream) == zone:
                finding.violations.append(
                    f"{run.upstream} of {zone} got work"
                    f" {run.start_s - since_s:.3f} s after the zone was out"
                )
    return finding


def check_leaving_upstreams(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """A leaving upstream gets no new work after a few seconds."""
    finding = run_history.CheckResult("a leaving upstream gets no new work")
    for name, since_s, until_s in _leaving_intervals(facts):
        quiet_s = since_s + run_history.SETTLING_TIME_S
        for run in facts.runs:
            if not quiet_s < run.start_s < until_s:
                continue
            finding.events += 1
            if run.upstream == name:
                finding.violations.append(
                    f"{name} got work {run.start_s - since_s:.3f} s after it"
                    " began to leave"
                )
    return finding


def _leaving_intervals(
    facts: run_history.RunHistory,
) -> list[tuple[str, float, float]]:
    windows = facts.event_intervals("host-out", "host-in", "host")
    since: dict[str, float] = {}
    for record in facts.by_event["host"]:
        name = record.get("name", "")
        host = record.get("host")
        if host and host["state"] == "leaving":
            since.setdefault(name, record["monotonic_s"])
        elif name in since:
            windows.append((name, since.pop(name), record["monotonic_s"]))
    windows.extend((name, one_s, float("inf")) for name, one_s in since.items())
    return windows


def check_graceful_stops(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """A planned stop cuts off no request in flight.

    Requests that were in flight at the stopping daemon must end with an
    answer; those that passed through it as a gateway must not be lost.
    """
    finding = run_history.CheckResult("a planned stop cuts off no request")
    for daemon, since_s, until_s in facts.event_intervals(
        "stop-begins", "stop-ended", "daemon"
    ):
        for answer in facts.answers:
            if not answer["sent_s"] <= since_s <= answer["answered_s"]:
                continue
            finding.events += 1
            through = answer["entry"] == daemon
            if through and answer["outcome"] != "answered":
                finding.violations.append(
                    f"{answer['marker']}: {answer['outcome']} at {daemon},"
                    " which was stopped as planned"
                )
        for answer in facts.answers:
            lost = (
                since_s <= answer["answered_s"] <= until_s
                and answer["verdict"] == "may-have-run"
                and answer["reason"] in LOSS_REASONS
            )
            if lost:
                finding.violations.append(
                    f"{answer['marker']}: {answer['reason']} while {daemon}"
                    " was stopped as planned"
                )
    return finding


def check_configuration_in_force(
    facts: run_history.RunHistory,
) -> run_history.CheckResult:
    """An accepted configuration is in force in seconds and never reverts."""
    finding = run_history.CheckResult("a configuration is in force and stays")
    seen: dict[str, int] = {}
    accepted: list[tuple[float, int]] = []
    for record in facts.records:
        if record["event"] == "put" and record["kind"] == "config":
            accepted.append((record["monotonic_s"], record["version"]))
        if record["event"] != "in-force":
            continue
        finding.events += 1
        daemon, version = record["daemon"], record["version"]
        if version < seen.get(daemon, 0):
            finding.violations.append(
                f"{daemon} went back from {seen[daemon]} to {version}"
            )
        seen[daemon] = max(version, seen.get(daemon, 0))
        due_s = record["monotonic_s"] - run_history.SETTLING_TIME_S
        due = [one for since_s, one in accepted if since_s <= due_s]
        if due and version < due[-1] and record.get("settled", True):
            finding.violations.append(
                f"{daemon} has {version} in force, {due[-1]} was accepted"
                f" more than {run_history.SETTLING_TIME_S} s before"
            )
    return finding
