"""Which upstreams of an undivided service are left out for a while.

Judged by this fleet's own measurements, relative to the other upstreams of
the service: a load report lags and flatters, and an absolute bound would
eject a whole service on a slow day.
"""

from collections.abc import Iterable
import dataclasses
import math
import statistics


@dataclasses.dataclass(frozen=True)
class OutlierPolicy:
    """When an upstream is ejected, and for how long.

    Attributes:
      failures_in_row: failures in a row that eject.
      slow_ratio: latency over the median of the others that ejects.
      slow_floor_s: latency under which slowness never ejects.
      slow_answers: slow answers in a row that eject.
      ejected_share: the largest share of a service's upstreams left out.
      ejection_s: the length of a first ejection; each next one doubles it.
      ejection_max_s: the longest ejection.
      trickle_answers: good answers, one at a time, that end a recovery.
      forget_s: good service after which former ejections are forgotten.
    """

    failures_in_row: int = 3
    slow_ratio: float = 3.0
    slow_floor_s: float = 0.01
    slow_answers: int = 3
    ejected_share: float = 0.4
    ejection_s: float = 0.25
    ejection_max_s: float = 10.0
    trickle_answers: int = 3
    forget_s: float = 30.0


@dataclasses.dataclass
class _Record:
    latency_s: float = 0.0
    failures_in_row: int = 0
    slow_in_row: int = 0
    ejections: int = 0
    ejected_until_s: float = -math.inf
    ejected_s: float = -math.inf
    recovering: bool = False
    good_in_recovery: int = 0
    in_flight: int = 0


class OutlierDetector:
    """Ejects and readmits the upstreams of one service.

    The floor counts upstreams that are out or recovering, so that two waves
    of ejections in a row can't add up to a whole service.
    """

    def __init__(self, policy: OutlierPolicy):
        self._policy = policy
        self._records: dict[str, _Record] = {}

    def set_upstreams(self, names: Iterable[str]) -> None:
        """Replaces the upstreams that exist; those known keep their record."""
        kept = {}
        for name in names:
            kept[name] = self._records.get(name, _Record())
        self._records = kept

    def sent(self, name: str) -> None:
        """Takes in that a request was sent to an upstream."""
        record = self._records.get(name)
        if record is not None:
            record.in_flight += 1

    def ended(self, name: str) -> None:
        """Takes in that a request's fate is known, whatever it was."""
        record = self._records.get(name)
        if record is not None:
            record.in_flight = max(0, record.in_flight - 1)

    def succeeded(self, name: str, now_s: float, latency_s: float) -> None:
        """Takes in a good answer and its latency."""
        record = self._records.get(name)
        if record is None:
            return
        record.failures_in_row = 0
        # Slow answers are learnt as well: the others are judged by them, and
        # a service that has grown slow as a whole has no outlier.
        self._learn(record, latency_s)
        if self._is_slow(name, latency_s):
            record.slow_in_row += 1
            record.good_in_recovery = 0
            if record.slow_in_row >= self._policy.slow_answers:
                self._eject(record, now_s)
            return
        record.slow_in_row = 0
        if record.recovering and now_s >= record.ejected_until_s:
            record.good_in_recovery += 1
            if record.good_in_recovery >= self._policy.trickle_answers:
                record.recovering = False
        if now_s - record.ejected_s > self._policy.forget_s:
            record.ejections = 0

    def failed(self, name: str, now_s: float) -> None:
        """Takes in a lost connection, a timeout or a server's error."""
        record = self._records.get(name)
        if record is None:
            return
        record.failures_in_row += 1
        record.good_in_recovery = 0
        if record.failures_in_row >= self._policy.failures_in_row:
            self._eject(record, now_s)

    def overdue(self, name: str, now_s: float, age_s: float) -> None:
        """Takes in the age of the oldest request without an answer.

        A frozen upstream gives no answers by which it could be judged.
        """
        record = self._records.get(name)
        if record is not None and self._is_slow(name, age_s):
            self._eject(record, now_s)

    def usable(self, now_s: float) -> list[str]:
        """Returns the upstreams that may get a request now, sorted.

        One that recovers is among them while nothing is in flight at it. An
        empty service gives an empty list; any other gives at least one name.
        """
        chosen = [
            name
            for name, record in self._records.items()
            if self._is_usable(record, now_s)
        ]
        if not chosen:
            # Everyone recovers and is busy: waiting there is better than
            # refusing, since nothing says that any of them is down.
            chosen = [
                name
                for name, record in self._records.items()
                if now_s >= record.ejected_until_s
            ]
        return sorted(chosen or self._records)

    def ejected(self, now_s: float) -> list[str]:
        """Returns the upstreams that get nothing now, sorted."""
        return sorted(
            name
            for name, record in self._records.items()
            if now_s < record.ejected_until_s
        )

    def recovering(self) -> list[str]:
        """Returns the upstreams that are out or get a trickle, sorted."""
        return sorted(
            name for name, record in self._records.items() if record.recovering
        )

    def latency_s(self, name: str) -> float:
        """Returns the smoothed latency of good answers, or 0 if unknown."""
        record = self._records.get(name)
        return record.latency_s if record is not None else 0.0

    def _is_usable(self, record: _Record, now_s: float) -> bool:
        if not record.recovering:
            return True
        return now_s >= record.ejected_until_s and record.in_flight == 0

    def _is_slow(self, name: str, latency_s: float) -> bool:
        others = [
            record.latency_s
            for other, record in self._records.items()
            if other != name and record.latency_s > 0
        ]
        if not others or latency_s < self._policy.slow_floor_s:
            return False
        return latency_s > self._policy.slow_ratio * statistics.median(others)

    def _learn(self, record: _Record, latency_s: float) -> None:
        if record.latency_s <= 0:
            record.latency_s = latency_s
            return
        record.latency_s += 0.1 * (latency_s - record.latency_s)

    def _eject(self, record: _Record, now_s: float) -> None:
        if now_s < record.ejected_until_s:
            return
        if not record.recovering and not self._may_eject_one_more():
            return
        length_s = self._policy.ejection_s * 2 ** min(record.ejections, 10)
        record.ejected_s = now_s
        record.ejected_until_s = now_s + min(
            length_s, self._policy.ejection_max_s
        )
        record.ejections += 1
        record.recovering = True
        record.good_in_recovery = 0
        record.failures_in_row = 0
        record.slow_in_row = 0

    def _may_eject_one_more(self) -> bool:
        out = sum(record.recovering for record in self._records.values())
        most = max(1, int(len(self._records) * self._policy.ejected_share))
        return out < min(most, len(self._records) - 1)
