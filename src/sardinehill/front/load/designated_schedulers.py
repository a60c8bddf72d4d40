"""Designates the daemons that schedule requests, while this daemon leads."""

from collections.abc import Callable
import dataclasses
import statistics

from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.core.load import scheduler_choice
from sardinehill.core.load import slot_messages
from sardinehill.front import store_view

# A daemon that has not reported for this long schedules no requests.
REPORT_TIMEOUT_S = 1.0
# Daemons begin to follow a new leader within this time. It designates others
# only afterwards.
SETTLING_S = 2.0
# Reports that arrived while this process was paused are read late. After a gap
# of this length between two updates, silence counts from the later one.
MAX_UPDATE_GAP_S = 0.6
# Scheduling is switched off only after the fleet was too small for this long.
SWITCH_OFF_DELAY_S = 10.0
# The capacity of a daemon that an earlier leader designated, until it reports.
PRESUMED_CPU_CAPACITY = 1.0
MAX_NAMES_LOGGED = 16

_Entries = list[slot_messages.SchedulerEntry]


@dataclasses.dataclass(slots=True)
class _KnownDaemon:
    """A daemon that may schedule requests.

    Attributes:
      capacity: what it reported.
      heard_s: when it reported last.
    """

    capacity: scheduler_choice.DaemonCapacity
    heard_s: float


class DesignatedSchedulers:
    """The daemons that schedule requests, as the leader decides.

    Public attributes:
      entries: these daemons; empty if no requests are scheduled, None if that
        is not decided.
    """

    def __init__(
        self,
        own: scheduler_choice.DaemonCapacity,
        mode: scheduler_choice.SchedulingMode,
        view: store_view.StoreView,
        clock_s: Callable[[], float],
    ):
        """Creates the list of a daemon that does not lead.

        Args:
          own: this daemon.
          mode: whether requests are to be scheduled.
          view: the configuration and the upstreams.
          clock_s: a clock that never jumps.
        """
        self._own = own
        self._mode = mode
        self._view = view
        self._clock_s = clock_s
        self._began_s = 0.0
        self._updated_s = 0.0
        # Since when the fleet has been too small; None if it is not.
        self._small_since_s: float | None = None
        self._daemons: dict[str, _KnownDaemon] = {}
        self.entries: _Entries | None = None

    def begin_term(self, known: _Entries | None) -> None:
        """Begins with the schedulers that an earlier leader designated.

        Each has until `SETTLING_S` to report.

        Args:
          known: these schedulers, or None if none are known.
        """
        now_s = self._clock_s()
        self._began_s = self._updated_s = now_s
        self._small_since_s = None
        self.entries = known
        heard_s = now_s + SETTLING_S - REPORT_TIMEOUT_S
        self._daemons = {
            entry.daemon: _KnownDaemon(
                scheduler_choice.DaemonCapacity(
                    entry.daemon,
                    entry.address,
                    entry.zone,
                    PRESUMED_CPU_CAPACITY,
                ),
                heard_s,
            )
            for entry in known or ()
        }

    def note_report(self, report: fleet_messages.DaemonReport) -> None:
        """Records that a daemon reports to this leader."""
        self._daemons[report.daemon] = _KnownDaemon(
            scheduler_choice.DaemonCapacity(
                report.daemon,
                report.address,
                report.zone,
                report.cpu_capacity,
            ),
            self._clock_s(),
        )

    def remove(self, daemons: list[str]) -> bool:
        """Removes daemons that do not report any more.

        Returns:
          Whether any of them schedules requests.
        """
        for name in daemons:
            self._daemons.pop(name, None)
        return any(entry.daemon in daemons for entry in self.entries or ())

    def update(self, daemon_count: int) -> bool:
        """Decides again which daemons schedule requests.

        To be called several times a second, and after `remove`.

        Args:
          daemon_count: the number of daemons of the fleet.

        Returns:
          Whether `entries` has changed.
        """
        now_s = self._clock_s()
        self._forget_silent(now_s)
        wanted = self._wanted(daemon_count, now_s)
        if wanted is None or wanted == self.entries:
            return False
        self._log_change(self.entries or [], wanted, daemon_count)
        self.entries = wanted
        return True

    def _forget_silent(self, now_s: float) -> None:
        gap_s = now_s - self._updated_s
        self._updated_s = now_s
        if gap_s > MAX_UPDATE_GAP_S:
            for known in self._daemons.values():
                known.heard_s = max(known.heard_s, now_s)
        self._daemons = {
            name: known
            for name, known in self._daemons.items()
            if now_s - known.heard_s <= REPORT_TIMEOUT_S
        }

    def _wanted(self, daemon_count: int, now_s: float) -> _Entries | None:
        """Returns the daemons that are to schedule; None if it is undecided."""
        if self._view.configuration is None:
            return None
        if not self._is_called_for(daemon_count, now_s):
            return []
        if now_s - self._began_s < SETTLING_S:
            return self._without_lost()
        daemons = [
            known.capacity
            for name, known in self._daemons.items()
            if name != self._own.daemon
        ]
        return scheduler_choice.choose(
            [*daemons, self._own], self.entries or [], self._own.daemon
        )

    def _without_lost(self) -> _Entries | None:
        if self.entries is None:
            return None
        return [
            entry
            for entry in self.entries
            if entry.daemon in self._daemons or entry.daemon == self._own.daemon
        ]

    def _is_called_for(self, daemon_count: int, now_s: float) -> bool:
        has_rate_limits = self._has_rate_limits()
        is_called_for = scheduler_choice.is_called_for(
            self._mode, has_rate_limits, daemon_count, self._typical_slots()
        )
        if (
            is_called_for
            or has_rate_limits
            or not self.entries
            or self._mode is scheduler_choice.SchedulingMode.OFF
        ):
            self._small_since_s = None
            return is_called_for
        if self._small_since_s is None:
            self._small_since_s = now_s
        return now_s - self._small_since_s < SWITCH_OFF_DELAY_S

    def _has_rate_limits(self) -> bool:
        configuration = self._view.configuration
        return configuration is not None and any(
            account.rate_per_s > 0
            for account in configuration.accounts.values()
        )

    def _typical_slots(self) -> float:
        slots = [upstream.slots for upstream in self._view.upstreams.values()]
        return float(statistics.median(slots)) if slots else 0.0

    def _log_change(
        self, before: _Entries, after: _Entries, daemon_count: int
    ) -> None:
        if bool(before) != bool(after):
            events.log(
                events.SCHEDULING_SWITCHED,
                is_on=bool(after),
                mode=self._mode.value,
                rate_limits=self._has_rate_limits(),
                daemons=daemon_count,
                typical_slots=self._typical_slots(),
            )
        added = sorted({entry.daemon for entry in set(after) - set(before)})
        removed = sorted({entry.daemon for entry in set(before) - set(after)})
        if added or removed:
            events.log(
                events.SCHEDULERS_DESIGNATED,
                schedulers=len(after),
                added=added[:MAX_NAMES_LOGGED],
                removed=removed[:MAX_NAMES_LOGGED],
            )
