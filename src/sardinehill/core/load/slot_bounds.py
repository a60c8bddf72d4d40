"""Bounds what daemons and upstreams state in messages about slots."""

import dataclasses
import math

from sardinehill.core.load import service_times
from sardinehill.core.load import slot_messages

MIN_WORK_S = 1e-4
MAX_WORK_S = 60.0
# Deadlines and objectives are at most this long from now or ago.
MAX_TIME_S = 600.0
# The time left of a request that states none that is a number.
DEFAULT_TIME_LEFT_S = 1.0
MAX_BODY_BYTES = 1 << 40
MAX_LOAD_REQUESTS = 10_000
MIN_SLOWNESS = 0.01
MAX_SLOWNESS = 100.0
MAX_SLOTS = 10_000
# At most this many values out of range are kept for the next `drain`.
MAX_KEPT_VALUES = 100


@dataclasses.dataclass(frozen=True, slots=True)
class OutOfRange:
    """A stated value that was out of range.

    Attributes:
      field: the name of the field that stated it.
      value: the stated value.
      upstream: the upstream that it is about; empty if it is about a request.
    """

    field: str
    value: float
    upstream: str = ""


class Bounds:
    """Bounds stated values and keeps those that were out of range."""

    def __init__(self) -> None:
        self._kept: list[OutOfRange] = []

    def drain(self) -> list[OutOfRange]:
        """Returns the values that were out of range since the last call."""
        kept, self._kept = self._kept, []
        return kept

    def request(
        self, request: slot_messages.SlotRequest
    ) -> slot_messages.SlotRequest:
        """Returns a request with all values in range."""
        if (
            MIN_WORK_S <= request.work_s <= MAX_WORK_S
            and -MAX_TIME_S <= request.objective_left_s <= MAX_TIME_S
            and -MAX_TIME_S <= request.time_left_s <= MAX_TIME_S
            and 0 <= request.priority <= slot_messages.LOWEST_PRIORITY
            and 0 <= request.body_bytes <= MAX_BODY_BYTES
        ):
            return request
        return dataclasses.replace(
            request,
            priority=int(
                self._bound(
                    "priority",
                    request.priority,
                    0,
                    slot_messages.LOWEST_PRIORITY,
                    slot_messages.LOWEST_PRIORITY,
                )
            ),
            work_s=self._bound(
                "work_s",
                request.work_s,
                MIN_WORK_S,
                MAX_WORK_S,
                service_times.INITIAL_SERVICE_TIME_S,
            ),
            objective_left_s=self._bound(
                "objective_left_s",
                request.objective_left_s,
                -MAX_TIME_S,
                MAX_TIME_S,
                0.0,
            ),
            time_left_s=self._bound(
                "time_left_s",
                request.time_left_s,
                -MAX_TIME_S,
                MAX_TIME_S,
                DEFAULT_TIME_LEFT_S,
            ),
            body_bytes=int(
                self._bound(
                    "body_bytes", request.body_bytes, 0, MAX_BODY_BYTES, 0
                )
            ),
        )

    def load(
        self, upstream: str, load: slot_messages.LoadReport | None
    ) -> slot_messages.LoadReport | None:
        """Returns a report with all values in range, None if it is unusable."""
        if load is None:
            return None
        if (
            0 <= load.running <= MAX_LOAD_REQUESTS
            and 0 <= load.waiting <= MAX_LOAD_REQUESTS
            and MIN_SLOWNESS <= load.slowness <= MAX_SLOWNESS
        ):
            return load
        values = (load.running, load.waiting, load.slowness)
        if not all(is_number(value) for value in values):
            self.keep(OutOfRange("load", math.nan, upstream))
            return None
        return slot_messages.LoadReport(
            int(
                self._bound(
                    "running", load.running, 0, MAX_LOAD_REQUESTS, 0, upstream
                )
            ),
            int(
                self._bound(
                    "waiting", load.waiting, 0, MAX_LOAD_REQUESTS, 0, upstream
                )
            ),
            self._bound(
                "slowness",
                load.slowness,
                MIN_SLOWNESS,
                MAX_SLOWNESS,
                1.0,
                upstream,
            ),
        )

    def latency(self, upstream: str, latency_s: float) -> float:
        """Returns a latency, or 0 if the stated one is unusable."""
        if 0 <= latency_s <= MAX_TIME_S:
            return latency_s
        self.keep(OutOfRange("latency_s", latency_s, upstream))
        return 0.0

    def slots(self, upstream: str, slots: int) -> int:
        """Returns an upstream's slots; 0 if it is to get no requests."""
        if 0 < slots <= MAX_SLOTS:
            return slots
        self.keep(OutOfRange("slots", slots, upstream))
        return min(max(slots, 0), MAX_SLOTS)

    def keep(self, value: OutOfRange) -> None:
        """Keeps a value that was out of range until the next drain."""
        if len(self._kept) < MAX_KEPT_VALUES:
            self._kept.append(value)

    def _bound(
        self,
        field: str,
        value: float,
        low: float,
        high: float,
        default: float,
        upstream: str = "",
    ) -> float:
        if low <= value <= high:
            return value
        self.keep(OutOfRange(field, value, upstream))
        if not is_number(value):
            return default
        return min(max(value, low), high)


def is_number(value: float) -> bool:
    """Returns whether a value is neither infinite nor undefined."""
    return -math.inf < value < math.inf
