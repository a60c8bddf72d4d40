"""What a leader does while it leads: a keeper a divided service, allowances."""

import asyncio
from collections.abc import Callable

from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.core import quota_lending
from sardinehill.core import quota_shares
from sardinehill.front import assignment_manager
from sardinehill.front import assignment_store
from sardinehill.front import key_owners
from sardinehill.front import store_view as view_module
from sardinehill.platform import store as store_module

RESTART_DELAY_S = 0.1
FIRST_POLL_INTERVAL_S = 0.01
POLL_INTERVAL_S = 0.1


class LeaderTasks:
    """The duties of one term.

    Public attributes:
      divider: divides client accounts' allowances.
    """

    def __init__(
        self,
        term: int,
        store: store_module.StoreClient,
        view: view_module.StoreView,
        is_licensed: Callable[[], bool],
        is_settled: Callable[[], bool],
        on_change: Callable[[], None],
        on_deposed: Callable[[], None],
        clock_s: Callable[[], float],
        allowance: quota_shares.FleetQuota,
        lender: quota_lending.Lender,
    ):
        self._term = term
        self._store = store
        self._view = view
        self._may_send_orders = is_licensed
        self._is_exclusive = is_settled
        self._on_change = on_change
        self._on_superseded = on_deposed
        self._clock_s = clock_s
        self._managers: dict[str, assignment_manager.AssignmentManager] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._allowance = allowance
        self._lender = lender
        self.divider = quota_shares.DemandTracker()

    @property
    def orders_sent(self) -> int:
        """How many orders were sent to upstreams."""
        return sum(duty.orders_sent for duty in self._managers.values())

    @property
    def moved_keys(self) -> int:
        """How many keys were given another owner."""
        return sum(duty.moved_keys for duty in self._managers.values())

    async def run(self, group: asyncio.TaskGroup) -> None:
        """Starts a keeper for each divided service, until cancelled."""
        while True:
            configuration = self._view.configuration
            if configuration is not None and self._view.is_complete:
                for service in configuration.services.values():
                    if service.is_divided and service.name not in self._tasks:
                        self._tasks[service.name] = group.create_task(
                            self._manage(service.name)
                        )
            await asyncio.sleep(
                POLL_INTERVAL_S if self._tasks else FIRST_POLL_INTERVAL_S
            )

    def cancel(self) -> None:
        """Ends the keepers."""
        for task in self._tasks.values():
            task.cancel()

    async def _manage(self, service: str) -> None:
        while True:
            duty = assignment_manager.AssignmentManager(
                service,
                assignment_store.AssignmentStore(
                    service, self._term, self._store, self._on_superseded
                ),
                key_owners.KeyOwners(
                    service,
                    lambda: self._view.upstreams,
                    lambda: self._view.zones_out,
                    self._clock_s(),
                ),
                self._may_send_orders,
                self._is_exclusive,
                self._on_change,
                self._clock_s,
            )
            self._managers[service] = duty
            try:
                await duty.run()
            except Exception as error:
                events.log_failure(events.TASK_FAILED, error, task="keeper")
                await asyncio.sleep(RESTART_DELAY_S)

    def replan(self) -> None:
        """Has all plans made again at once."""
        for duty in self._managers.values():
            duty.replan()

    def apply_report(self, report: fleet_messages.DaemonReport) -> None:
        """Takes in what a daemon has counted."""
        self.divider.record_demand(
            report.daemon,
            {name: float(count) for name, count in report.demand.items()},
        )
        for use in report.keys:
            if use.service in self._managers:
                self._managers[use.service].note_key_use(use)
        for upstream in report.upstreams:
            for duty in self._managers.values():
                duty.note_upstream_use(upstream)
        for refused in report.refused:
            if refused.service in self._managers:
                self._managers[refused.service].regrant_refused(refused)

    def lend(
        self, wishes: list[fleet_messages.TokenRequest], daemons: int
    ) -> list[fleet_messages.TokenLoan]:
        """Lends tokens of client accounts, as far as there are any."""
        configuration = self._view.configuration
        if configuration is None:
            return []
        now_s = self._clock_s()
        found = []
        for wish in wishes:
            account = configuration.account(wish.account)
            if account is not None:
                found.append(self._lender.lend(account, wish, daemons, now_s))
        return found

    def quota_shares(self, daemon: str, daemons: int) -> dict[str, float]:
        """Returns a daemon's parts of the accounts that are divided."""
        configuration = self._view.configuration
        if configuration is None:
            return {}
        found = {}
        for name in self.divider.accounts():
            account = configuration.account(name)
            if account and self._allowance.is_preallocated(account, daemons):
                found[name] = self.divider.share(name, daemon, daemons)
        return found

    def lendable(self) -> dict[str, float]:
        """Returns how many tokens there are to lend, by account."""
        return self._lender.lendable_tokens(self._clock_s())

    def table_spans(self) -> dict[str, list[fleet_messages.OwnerSpan]] | None:
        """Returns the owners by service, or None while there are none."""
        spans = {
            service: duty.table_spans()
            for service, duty in self._managers.items()
        }
        return spans if any(spans.values()) else None
