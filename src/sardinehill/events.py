"""Defines the numbered log events and writes logs as JSON lines.

The number of an event never changes. `docs/EVENTS.md` describes each event
and what an operator should do about it; a test checks that it lists exactly
the events of this module. Fields are logged as separate typed values, not
formatted into a message, and never contain an account key or a secret.
"""

import collections
from collections.abc import Iterator
import dataclasses
import json
import logging
import sys
from typing import Any
from typing import TextIO

MAX_RECENT_EVENTS = 1000

_log = logging.getLogger("sardinehill.events")


@dataclasses.dataclass(frozen=True)
class Event:
    """A type of log event.

    Attributes:
      number: its number in the catalogue, which is never reused.
      name: a short hyphenated name.
      level: the `logging` level at which it is logged.
    """

    number: int
    name: str
    level: int


DAEMON_STARTED = Event(101, "daemon-started", logging.INFO)
DAEMON_STOPPING = Event(102, "daemon-stopping", logging.INFO)
DAEMON_STOPPED = Event(103, "daemon-stopped", logging.INFO)
TASK_FAILED = Event(105, "task-failed", logging.ERROR)
STOP_CUT_SHORT = Event(106, "stop-cut-short", logging.ERROR)
ADDRESS_UNAVAILABLE = Event(107, "address-unavailable", logging.ERROR)
SETTINGS_INVALID = Event(108, "settings-invalid", logging.ERROR)
DAEMON_FAILED = Event(109, "daemon-failed", logging.ERROR)

CONFIGURATION_ACCEPTED = Event(201, "configuration-accepted", logging.INFO)
CONFIGURATION_REFUSED = Event(202, "configuration-refused", logging.ERROR)
PLACEMENT_ACCEPTED = Event(203, "placement-accepted", logging.INFO)
SETTINGS_READ_AGAIN = Event(204, "settings-read-again", logging.INFO)
SETTINGS_REFUSED = Event(205, "settings-refused", logging.ERROR)

LEASE_TAKEN = Event(301, "lease-taken", logging.INFO)
LEASE_LOST = Event(302, "lease-lost", logging.WARNING)
ASSIGNMENT_CONFLICT = Event(304, "assignment-conflict", logging.WARNING)
GRANT_UNANSWERED = Event(306, "grant-unanswered", logging.WARNING)
KEYS_MOVED = Event(307, "keys-moved", logging.INFO)
KEYS_GRANTED = Event(308, "keys-granted", logging.INFO)
KEYS_RELEASED = Event(309, "keys-released", logging.INFO)
KEYS_LAPSED = Event(310, "keys-lapsed", logging.WARNING)
GRANT_FENCED = Event(311, "grant-fenced", logging.WARNING)
ASSIGNMENT_WRITTEN = Event(312, "assignment-written", logging.INFO)
LEADER_FOLLOWED = Event(313, "leader-followed", logging.INFO)
LEADER_LOST = Event(314, "leader-lost", logging.WARNING)
LEASE_RESIGNED = Event(315, "lease-resigned", logging.INFO)
KEYS_TAKEN_BACK = Event(317, "keys-taken-back", logging.INFO)
ASSIGNMENT_OUTDATED = Event(316, "assignment-outdated", logging.WARNING)
GRANT_ABANDONED = Event(318, "grant-abandoned", logging.INFO)
TERM_CONFIRMED = Event(319, "term-confirmed", logging.INFO)
TERM_UNCONFIRMED = Event(320, "term-unconfirmed", logging.WARNING)
TERM_EXCLUSIVE = Event(321, "term-exclusive", logging.INFO)
TERM_SUPERSEDED = Event(322, "term-superseded", logging.WARNING)
ELECTORATE_CHANGED = Event(323, "electorate-changed", logging.INFO)
ELECTORATE_REFUSED = Event(324, "electorate-refused", logging.ERROR)
LEADER_WAITS = Event(325, "leader-waits", logging.WARNING)
SCHEDULERS_DESIGNATED = Event(326, "schedulers-designated", logging.INFO)
SCHEDULING_SWITCHED = Event(327, "scheduling-switched", logging.INFO)

STORE_LOST = Event(401, "store-lost", logging.WARNING)
STORE_BACK = Event(402, "store-back", logging.INFO)
STORE_REPLY_BAD = Event(403, "store-reply-bad", logging.ERROR)
PEER_LOST = Event(404, "peer-lost", logging.WARNING)
PEER_JOINED = Event(405, "peer-joined", logging.INFO)
PEER_REFUSED = Event(406, "peer-refused", logging.WARNING)
OUTAGE_MODE_ENTERED = Event(407, "outage-mode-entered", logging.WARNING)
OUTAGE_MODE_LEFT = Event(408, "outage-mode-left", logging.INFO)
LICENCE_LAPSED = Event(409, "licence-lapsed", logging.ERROR)
PEER_UNREACHABLE = Event(410, "peer-unreachable", logging.INFO)
MEMBERS_NOT_WRITTEN = Event(411, "members-not-written", logging.WARNING)

STORE_HISTORY_GONE = Event(412, "store-history-gone", logging.INFO)
NEWS_FROM_PEER = Event(413, "news-from-peer", logging.INFO)
NEWS_MALFORMED = Event(414, "news-malformed", logging.WARNING)
STORE_RESTORED = Event(415, "store-restored", logging.WARNING)
NEWS_OUTDATED = Event(416, "news-outdated", logging.INFO)
FORWARDING_PEER_FOUND = Event(417, "forwarding-peer-found", logging.INFO)
FORWARDING_PEER_LOST = Event(418, "forwarding-peer-lost", logging.INFO)
SCHEDULER_LOST = Event(419, "scheduler-lost", logging.WARNING)
SCHEDULER_REGAINED = Event(420, "scheduler-regained", logging.INFO)
SLOT_REQUESTS_EXCESSIVE = Event(421, "slot-requests-excessive", logging.WARNING)

UPSTREAM_FOUND = Event(501, "upstream-found", logging.INFO)
UPSTREAM_GONE = Event(502, "upstream-gone", logging.INFO)
UPSTREAM_CHANGED = Event(503, "upstream-changed", logging.INFO)
ENTRY_MALFORMED = Event(504, "entry-malformed", logging.WARNING)
UPSTREAM_UNREACHABLE = Event(505, "upstream-unreachable", logging.WARNING)
UPSTREAM_REACHED = Event(506, "upstream-reached", logging.INFO)
REPORT_OUTDATED = Event(507, "report-outdated", logging.INFO)
LIMIT_NAMED = Event(508, "limit-named", logging.INFO)
UPSTREAM_PAUSED = Event(510, "upstream-paused", logging.INFO)
UPSTREAM_LEAVES = Event(509, "upstream-leaves", logging.INFO)
DAEMON_CUT_OFF = Event(511, "daemon-cut-off", logging.WARNING)
REACH_REGAINED = Event(512, "reach-regained", logging.INFO)
UPSTREAM_RESTARTED = Event(513, "upstream-restarted", logging.WARNING)
UPSTREAM_LEFT_OUT = Event(514, "upstream-left-out", logging.INFO)
SLOTS_FULL = Event(516, "slots-full", logging.INFO)
LOAD_OUT_OF_RANGE = Event(515, "load-out-of-range", logging.WARNING)

ACCOUNT_KEYS_ACCEPTED = Event(601, "account-keys-accepted", logging.INFO)

REQUEST_REFUSED = Event(701, "request-refused", logging.INFO)
REQUEST_UNCERTAIN = Event(702, "request-uncertain", logging.WARNING)
REQUEST_TRIED_AGAIN = Event(704, "request-tried-again", logging.INFO)
REQUEST_ANSWERED = Event(705, "request-answered", logging.INFO)
REQUEST_SUSPECTED = Event(707, "request-suspected", logging.WARNING)
REQUEST_NOT_FORWARDED = Event(708, "request-not-forwarded", logging.INFO)
FORWARD_REFUSED = Event(709, "forward-refused", logging.INFO)
REPLIES_NOT_TAKEN = Event(710, "replies-not-taken", logging.WARNING)
LINES_DROPPED = Event(706, "lines-dropped", logging.WARNING)
REQUEST_FAILED_INSIDE = Event(703, "request-failed-inside", logging.ERROR)


def catalogue() -> Iterator[Event]:
    """Yields every event type that this module defines."""
    for value in globals().values():
        if isinstance(value, Event):
            yield value


def log(event: Event, **fields: Any) -> None:
    """Logs an event with its fields.

    Args:
      event: an event type of this module.
      **fields: values for the log line; those that JSON cannot represent are
        logged as text.
    """
    if _log.isEnabledFor(event.level):
        _log.log(event.level, event.name, extra={"ev": event, "fields": fields})


def log_with_traceback(
    event: Event, error: BaseException, **fields: Any
) -> None:
    """Logs an event with its fields and the traceback of its cause."""
    _log.log(
        event.level,
        event.name,
        extra={"ev": event, "fields": fields},
        exc_info=error,
    )


class JsonFormatter(logging.Formatter):
    """Formats each record as a JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line of JSON."""
        return dump_json(record_as_dict(record))


def dump_json(value: Any) -> str:
    """Returns JSON; values that JSON cannot represent are written as text."""
    return json.dumps(value, default=str)


def record_as_dict(record: logging.LogRecord) -> dict[str, Any]:
    """Returns what is logged for a record, by JSON key.

    A numbered event has its number, name and fields; any other record has its
    logger and message.
    """
    line: dict[str, Any] = {
        "time_s": record.created,
        "level": record.levelname.lower(),
    }
    event = getattr(record, "ev", None)
    if isinstance(event, Event):
        line["event"] = event.number
        line["event_name"] = event.name
        line.update(getattr(record, "fields", {}))
    else:
        line["logger"] = record.name
        line["message"] = record.getMessage()
    if record.exc_info:
        line["traceback"] = logging.Formatter().formatException(record.exc_info)
    return line


class RecentEventsHandler(logging.Handler):
    """Keeps the most recent events in memory for `sardinehill events`."""

    def __init__(self, limit: int = MAX_RECENT_EVENTS):
        super().__init__()
        self._events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=limit
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Stores a numbered event; the oldest is evicted at the limit.

        Other records are only written to the log, since a library that
        repeats a warning would evict the events that an operator looks for.
        """
        if isinstance(getattr(record, "ev", None), Event):
            self._events.append(record_as_dict(record))

    def logged_after(self, time_s: float) -> list[dict[str, Any]]:
        """Returns the events logged after a wall-clock time, oldest first."""
        return [event for event in self._events if event["time_s"] > time_s]


def configure_logging(stream: TextIO | None = None) -> RecentEventsHandler:
    """Logs to a stream as JSON lines and keeps the most recent events.

    Args:
      stream: where lines are written, standard error by default.

    Returns:
      The handler that holds the most recent events.
    """
    # Logging a line for each request would cost more than admitting it;
    # requests are counted in the metrics instead.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    stream_handler = logging.StreamHandler(stream or sys.stderr)
    stream_handler.setFormatter(JsonFormatter())
    recent_events = RecentEventsHandler()
    logging.basicConfig(
        level=logging.INFO, handlers=[stream_handler, recent_events], force=True
    )
    return recent_events
