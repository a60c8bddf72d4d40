"""Merges the records of all journals by time and groups them for checks."""

import collections
from collections.abc import Iterable
import dataclasses
import pathlib
from typing import Any

from standins import journal as journal_module

Record = dict[str, Any]

# Time after which an operator's action must be in force: the brief's "after a
# few seconds".
SETTLING_TIME_S = 5.0


class EmptyHistoryError(Exception):
    """Raised when there are no runs or no answers to check."""


@dataclasses.dataclass
class CheckResult:
    """Holds the result of checking one promise.

    Attributes:
      promise: the promise, in the words of the brief.
      events: number of events that were checked.
      violations: one line for each violation.
    """

    promise: str
    events: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class UpstreamRun:
    """Represents one request on one upstream, from its start to its end.

    Attributes:
      record: the record of its start.
      end: "finished", "not-run", another event's name, or empty when the
        upstream was lost during the run.
      end_s: when it ended, on the monotonic clock; infinite if it did not.
    """

    record: Record
    end: str
    end_s: float

    @property
    def upstream(self) -> str:
        """Returns the upstream's name."""
        return str(self.record["source"])

    @property
    def request_id(self) -> str:
        """Returns the id of the request."""
        return str(self.record["request_id"])

    @property
    def start_s(self) -> float:
        """Returns when it started, on the monotonic clock."""
        return float(self.record["monotonic_s"])


class RunHistory:
    """Holds all records of one run of a deployment.

    Attributes:
      records: every record in the order of the monotonic clock, which all
        processes of one machine share.
      runs: every request that an upstream started.
      answers: the record of every result that the driver journaled.
    """

    def __init__(self, records: Iterable[Record]):
        self.records = sorted(records, key=lambda one: one["monotonic_s"])
        self.by_event: dict[str, list[Record]] = collections.defaultdict(list)
        for record in self.records:
            self.by_event[record["event"]].append(record)
        self.answers = self.by_event["answer"]
        self.runs = self._match_run_ends()
        if not self.runs or not self.answers:
            raise EmptyHistoryError(
                f"{len(self.runs)} runs and {len(self.answers)} answers:"
                " there is nothing to check"
            )
        self.upstream_zones = {
            record["source"]: record["availability_zone"]
            for record in self.by_event["up"]
        }
        self._answers_by_marker: dict[str, list[Record]] = (
            collections.defaultdict(list)
        )
        for answer in self.answers:
            self._answers_by_marker[answer["marker"]].append(answer)
        self.runs_by_marker: dict[str, list[UpstreamRun]] = (
            collections.defaultdict(list)
        )
        for run in self.runs:
            self.runs_by_marker[run.record["marker"]].append(run)

    def answers_for(self, marker: str) -> list[Record]:
        """Returns the answers to all submissions of one action."""
        return self._answers_by_marker.get(marker, [])

    def _match_run_ends(self) -> list[UpstreamRun]:
        end_events = ("finished", "not-run", "lost-in-collapse", "fenced-late")
        end_records: dict[tuple[str, str, str], list[Record]] = (
            collections.defaultdict(list)
        )
        for event in end_events:
            for record in self.by_event[event]:
                end_records[_run_identity(record)].append(record)
        runs = []
        for start in self.by_event["started"]:
            later_ends = [
                record
                for record in end_records[_run_identity(start)]
                if record["monotonic_s"] >= start["monotonic_s"]
            ]
            # A fenced run writes both `fenced-late` and `not-run`; the last
            # one is what the upstream answered.
            if later_ends:
                last_end = max(
                    later_ends, key=lambda record: record["monotonic_s"]
                )
                runs.append(
                    UpstreamRun(
                        start, last_end["event"], last_end["monotonic_s"]
                    )
                )
            else:
                runs.append(UpstreamRun(start, "", float("inf")))
        return runs

    def event_intervals(
        self, begin_event: str, end_event: str, field: str
    ) -> list[tuple[str, float, float]]:
        """Returns (name, start, end) for each pair of events.

        Args:
          begin_event: the event that starts an interval.
          end_event: the event that ends it; without one the end is infinite.
          field: the record's field that holds the name.
        """
        open_since: dict[str, float] = {}
        intervals = []
        for record in self.records:
            name = str(record.get(field, ""))
            if record["event"] == begin_event:
                open_since.setdefault(name, record["monotonic_s"])
            elif record["event"] == end_event and name in open_since:
                since_s = open_since.pop(name)
                intervals.append((name, since_s, float(record["monotonic_s"])))
        intervals.extend(
            (name, since_s, float("inf"))
            for name, since_s in open_since.items()
        )
        return intervals


def _run_identity(record: Record) -> tuple[str, str, str]:
    return (record["source"], record["incarnation"], record["request_id"])


def read(directory: pathlib.Path) -> RunHistory:
    """Returns the history in all `*.journal` files of a directory.

    Raises:
      EmptyHistoryError: no request ran or none was answered.
    """
    records: list[Record] = []
    for path in sorted(directory.glob("*.journal")):
        records.extend(journal_module.read(path))
    return RunHistory(records)
