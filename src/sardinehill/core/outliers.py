"""Ejects slow or failing upstreams of an undivided service for a while.

Upstreams are judged by this fleet's own measurements, relative to the other
upstreams of the service. Load reports lag and understate the load, and an
absolute latency bound would eject a whole service whenever it is slow.
"""

from collections.abc import Iterable
import dataclasses
import math
import statistics


@dataclasses.dataclass(frozen=True)
class OutlierPolicy:
    """When an upstream is ejected, and for how long.

    Attributes:
      consecutive_failures: consecutive failures that eject an upstream.
      slow_latency_ratio: latency relative to the median of the other upstreams
        above which an answer is slow.
      slow_latency_floor_s: latency below which an answer is never slow.
      consecutive_slow_answers: consecutive slow answers that eject an upstream.
      max_ejected_ratio: the largest part of a service's upstreams that may be
        ejected or recovering.
      base_ejection_s: the duration of a first ejection; each further one
        doubles it.
      max_ejection_s: the longest ejection.
      recovery_answers: good answers, one request at a time, that end a
        recovery.
      ejection_memory_s: the time since the last ejection after which a good
        answer resets the duration of the next one.
    """

    consecutive_failures: int = 3
    slow_latency_ratio: float = 3.0
    slow_latency_floor_s: float = 0.01
    consecutive_slow_answers: int = 3
    max_ejected_ratio: float = 0.4
    base_ejection_s: float = 0.25
    max_ejection_s: float = 10.0
    recovery_answers: int = 3
    ejection_memory_s: float = 30.0


@dataclasses.dataclass
class _UpstreamRecord:
    latency_s: float = 0.0
    consecutive_failures: int = 0
    consecutive_slow: int = 0
    ejections: int = 0
    ejected_until_s: float = -math.inf
    ejected_s: float = -math.inf
    recovering: bool = False
    recovery_successes: int = 0
    in_flight: int = 0


class OutlierDetector:
    """Ejects and readmits the upstreams of one service.

    The limit on ejections counts upstreams that are ejected or recovering, so
    that two consecutive waves of ejections can't add up to a whole service.
    """

    def __init__(self, policy: OutlierPolicy):
        self._policy = policy
        self._records: dict[str, _UpstreamRecord] = {}

    def set_upstreams(self, names: Iterable[str]) -> None:
        """Replaces the upstreams; known ones keep their records."""
        records = {}
        for name in names:
            records[name] = self._records.get(name, _UpstreamRecord())
        self._records = records

    def record_send(self, name: str) -> None:
        """Records that a request was sent to an upstream."""
        record = self._records.get(name)
        if record is not None:
            record.in_flight += 1

    def record_end(self, name: str) -> None:
        """Records that a request to an upstream has ended, with any result."""
        record = self._records.get(name)
        if record is not None:
            record.in_flight = max(0, record.in_flight - 1)

    def record_success(self, name: str, now_s: float, latency_s: float) -> None:
        """Records a good answer and its latency."""
        record = self._records.get(name)
        if record is None:
            return
        record.consecutive_failures = 0
        # Slow answers count toward the latency as well, because the other
        # upstreams are compared with it: a service that is slow as a whole has
        # no outlier.
        self._update_latency(record, latency_s)
        if self._is_slow(name, latency_s):
            record.consecutive_slow += 1
            record.recovery_successes = 0
            if record.consecutive_slow >= self._policy.consecutive_slow_answers:
                self._eject(record, now_s)
            return
        record.consecutive_slow = 0
        if record.recovering and now_s >= record.ejected_until_s:
            record.recovery_successes += 1
            if record.recovery_successes >= self._policy.recovery_answers:
                record.recovering = False
        if now_s - record.ejected_s > self._policy.ejection_memory_s:
            record.ejections = 0

    def record_failure(self, name: str, now_s: float) -> None:
        """Records a lost connection, a timeout or a server error."""
        record = self._records.get(name)
        if record is None:
            return
        record.consecutive_failures += 1
        record.recovery_successes = 0
        if record.consecutive_failures >= self._policy.consecutive_failures:
            self._eject(record, now_s)

    def check_overdue(self, name: str, now_s: float, age_s: float) -> None:
        """Ejects an upstream whose oldest unanswered request is too old.

        A frozen upstream gives no answers by which it could be judged.
        """
        record = self._records.get(name)
        if record is not None and self._is_slow(name, age_s):
            self._eject(record, now_s)

    def usable_upstreams(self, now_s: float) -> list[str]:
        """Returns the upstreams that may get a request now, sorted.

        A recovering upstream is included while it has no request in flight. The
        result is empty only when the service has no upstreams.
        """
        usable = [
            name
            for name, record in self._records.items()
            if self._is_usable(record, now_s)
        ]
        if not usable:
            # All upstreams that aren't ejected are recovering and busy.
            # Queueing there is better than refusing, since nothing shows that
            # any of them is down.
            usable = [
                name
                for name, record in self._records.items()
                if now_s >= record.ejected_until_s
            ]
        return sorted(usable or self._records)

    def ejected_upstreams(self, now_s: float) -> list[str]:
        """Returns the upstreams that are ejected now, sorted."""
        return sorted(
            name
            for name, record in self._records.items()
            if now_s < record.ejected_until_s
        )

    def recovering_upstreams(self) -> list[str]:
        """Returns the upstreams that are ejected or recovering, sorted."""
        return sorted(
            name for name, record in self._records.items() if record.recovering
        )

    def latency_s(self, name: str) -> float:
        """Returns the smoothed latency of good answers, or 0 if unknown."""
        record = self._records.get(name)
        return record.latency_s if record is not None else 0.0

    def _is_usable(self, record: _UpstreamRecord, now_s: float) -> bool:
        if not record.recovering:
            return True
        return now_s >= record.ejected_until_s and record.in_flight == 0

    def _is_slow(self, name: str, latency_s: float) -> bool:
        others = [
            record.latency_s
            for other, record in self._records.items()
            if other != name and record.latency_s > 0
        ]
        if not others or latency_s < self._policy.slow_latency_floor_s:
            return False
        return latency_s > self._policy.slow_latency_ratio * statistics.median(
            others
        )

    def _update_latency(
        self, record: _UpstreamRecord, latency_s: float
    ) -> None:
        if record.latency_s <= 0:
            record.latency_s = latency_s
            return
        record.latency_s += 0.1 * (latency_s - record.latency_s)

    def _eject(self, record: _UpstreamRecord, now_s: float) -> None:
        if now_s < record.ejected_until_s:
            return
        if not record.recovering and not self._may_eject():
            return
        duration_s = self._policy.base_ejection_s * 2 ** min(
            record.ejections, 10
        )
        record.ejected_s = now_s
        record.ejected_until_s = now_s + min(
            duration_s, self._policy.max_ejection_s
        )
        record.ejections += 1
        record.recovering = True
        record.recovery_successes = 0
        record.consecutive_failures = 0
        record.consecutive_slow = 0

    def _may_eject(self) -> bool:
        recovering = sum(record.recovering for record in self._records.values())
        limit = max(1, int(len(self._records) * self._policy.max_ejected_ratio))
        return recovering < min(limit, len(self._records) - 1)
