"""Runs the leader tasks of one term: key assignments, quotas and lending."""

import asyncio
from collections.abc import Callable
import fractions

from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.core import keyspace
from sardinehill.core import leader_confirmation
from sardinehill.core import leaving_upstreams
from sardinehill.core import quota_lending
from sardinehill.core import quota_shares
from sardinehill.core.load import cold_lending
from sardinehill.core.load import named_limits
from sardinehill.front import assignment_manager
from sardinehill.front import assignment_store
from sardinehill.front import key_owners
from sardinehill.front import store_view
from sardinehill.platform import store as store_module

# The delay before an assignment manager that has failed is started again.
RESTART_DELAY_S = 0.1
# How often the configuration is checked for new divided services, until the
# first one is found and afterwards.
FIRST_POLL_INTERVAL_S = 0.01
POLL_INTERVAL_S = 0.1


class LeaderTasks:
    """Manages the key assignments and client quotas of one term.

    Public attributes:
      demand: tracks client accounts' demand and divides their quotas by it.
    """

    def __init__(
        self,
        term: int,
        store: store_module.StoreClient,
        view: store_view.StoreView,
        may_send_orders: Callable[[], bool],
        is_exclusive: Callable[[], bool],
        on_spans_changed: Callable[[], None],
        on_superseded: Callable[[], None],
        clock_s: Callable[[], float],
        quota: quota_shares.FleetQuota,
        lender: quota_lending.Lender,
        cold_bound: cold_lending.ColdBound,
        earlier_leader_ended: bool,
        limits: named_limits.NamedLimits,
        leaving: leaving_upstreams.LeavingUpstreams,
        may_move_keys: Callable[[], bool],
        holds_lease: Callable[[], bool],
        has_settled: Callable[[], bool],
        has_support: Callable[[Callable[[], fractions.Fraction]], bool],
        store_silent_s: Callable[[], float],
        excludes_earlier: Callable[
            [
                leader_confirmation.KeyExclusion,
                Callable[[], fractions.Fraction],
            ],
            bool,
        ],
        balances_closely: Callable[[], bool] = lambda: False,
    ):
        self._term = term
        self._store = store
        self._view = view
        self._may_send_orders = may_send_orders
        self._is_exclusive = is_exclusive
        self._on_spans_changed = on_spans_changed
        self._on_superseded = on_superseded
        self._clock_s = clock_s
        self._managers: dict[str, assignment_manager.AssignmentManager] = {}
        self._owners: dict[str, key_owners.KeyOwners] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._quota = quota
        self._lender = lender
        self._cold_bound = cold_bound
        self._earlier_leader_ended = earlier_leader_ended
        # None while an earlier leader may lend.
        self._cold_lender: cold_lending.ColdSendLender | None = None
        self._limits = limits
        self._leaving = leaving
        self._may_move_keys = may_move_keys
        self._holds_lease = holds_lease
        self._has_settled = has_settled
        self._has_support = has_support
        self._store_silent_s = store_silent_s
        self._excludes_earlier = excludes_earlier
        self._balances_closely = balances_closely
        self._limited_lender = named_limits.LimitedSendLender()
        # The accounts whose quotas are divided, and what they follow from.
        self._preallocated: list[str] = []
        self._preallocated_version = (0, 0, 0)
        self.demand = quota_shares.DemandTracker()

    @property
    def orders_sent(self) -> int:
        """The number of orders sent to upstreams."""
        return sum(manager.orders_sent for manager in self._managers.values())

    @property
    def moved_keys(self) -> int:
        """The number of keys that were given a new owner."""
        return sum(manager.moved_keys for manager in self._managers.values())

    async def run(self, group: asyncio.TaskGroup) -> None:
        """Starts an assignment manager for each divided service.

        Runs until cancelled, as services may be added.

        Args:
          group: the task group that the managers run in.
        """
        while True:
            configuration = self._view.configuration
            if configuration is not None and self._view.is_complete:
                for service in configuration.services.values():
                    if service.is_divided and service.name not in self._tasks:
                        self._tasks[service.name] = group.create_task(
                            self._manage(service.name)
                        )
            self.exchange_leaving()
            self._begin_lending()
            await asyncio.sleep(
                POLL_INTERVAL_S if self._tasks else FIRST_POLL_INTERVAL_S
            )

    def cancel(self) -> None:
        """Cancels the assignment managers."""
        for task in self._tasks.values():
            task.cancel()

    async def _manage(self, service: str) -> None:
        while True:
            owners = key_owners.KeyOwners(
                service,
                lambda: self._view.upstreams,
                lambda: self._view.zones_out,
                self._clock_s(),
            )
            manager = assignment_manager.AssignmentManager(
                service,
                assignment_store.AssignmentStore(
                    service,
                    self._term,
                    self._store,
                    self._on_superseded,
                    self._may_move_keys,
                    self._holds_lease,
                    self._has_settled,
                ),
                owners,
                self._may_send_orders,
                self._is_exclusive,
                self._on_spans_changed,
                self._clock_s,
                self._limits.rate_per_s,
                self._has_support,
                self._store_silent_s,
                self._excludes_earlier,
                self._balances_closely,
            )
            self._managers[service] = manager
            self._owners[service] = owners
            try:
                await manager.run()
            except Exception as error:
                events.log_with_traceback(
                    events.TASK_FAILED, error, task="keeper"
                )
                await asyncio.sleep(RESTART_DELAY_S)

    def keys_exclude_earlier(self) -> bool:
        """Returns whether no earlier leader sends orders for any service."""
        return bool(self._managers) and all(
            manager.is_exclusive() for manager in self._managers.values()
        )

    def refuses_half_of_keys(self) -> bool:
        """Returns whether a service's owners follow a later leader."""
        return any(
            manager.refuses_half_of_keys()
            for manager in self._managers.values()
        )

    def _begin_lending(self) -> None:
        """Begins to lend sends once no earlier leader can be confirmed."""
        if self._cold_lender is None and (
            self._earlier_leader_ended or self._is_exclusive()
        ):
            self._cold_lender = cold_lending.ColdSendLender(
                self._clock_s(), self._earlier_leader_ended
            )

    def _may_lend(self) -> bool:
        """Returns whether no other leader lends the same."""
        return self._may_send_orders() and all(
            self._has_support(manager.accepted_share)
            for manager in self._managers.values()
            if manager.has_owners
        )

    def replan(self) -> None:
        """Schedules new plans for all services at once."""
        for manager in self._managers.values():
            manager.replan()

    def exchange_leaving(self) -> None:
        """Exchanges with the assignment managers which upstreams leave.

        Daemons learn of it from answers to requests, managers from answers to
        orders.
        """
        now_s = asyncio.get_running_loop().time()
        for service, owners in self._owners.items():
            for owner in owners.by_incarnation.values():
                if owner.says_leaving and self._is_listed(owner.incarnation):
                    self._leaving.record_answer(owner.incarnation, now_s)
            for incarnation in self._leaving.incarnations():
                leaving_owner = owners.by_incarnation.get(incarnation)
                if leaving_owner is not None and not leaving_owner.says_leaving:
                    leaving_owner.says_leaving = True
                    self._managers[service].replan()

    def _is_listed(self, incarnation: keyspace.Incarnation) -> bool:
        upstream = self._view.upstreams.get(incarnation[0])
        return upstream is not None and upstream.incarnation == incarnation

    def apply_report(self, report: fleet_messages.DaemonReport) -> None:
        """Adds a daemon's counts to the estimates of demand and load."""
        self.demand.record_demand(
            report.daemon,
            {name: float(count) for name, count in report.demand.items()},
        )
        for use in report.keys:
            if use.service in self._managers:
                self._managers[use.service].note_key_use(use)
        for upstream in report.upstreams:
            for manager in self._managers.values():
                manager.note_upstream_use(upstream)
        for refused in report.refused:
            if refused.service in self._managers:
                self._managers[refused.service].regrant_refused(refused)

    def lend(
        self,
        kind: fleet_messages.LoanKind,
        requests: list[fleet_messages.TokenRequest],
        daemon_count: int,
    ) -> list[fleet_messages.TokenLoan]:
        """Lends the requested tokens as far as they are available.

        Args:
          kind: what is lent.
          requests: the requests; those for unknown accounts or upstreams get
            no answer.
          daemon_count: the number of daemons that share each limit.
        """
        match kind:
            case fleet_messages.LoanKind.QUOTA:
                return self._lend_quotas(requests, daemon_count)
            case fleet_messages.LoanKind.COLD_SENDS:
                return self._lend_cold_sends(requests)
            case fleet_messages.LoanKind.LIMITED_SENDS:
                return self._lend_limited_sends(requests)

    def _lend_quotas(
        self, requests: list[fleet_messages.TokenRequest], daemon_count: int
    ) -> list[fleet_messages.TokenLoan]:
        """Lends tokens of client accounts.

        Args:
          requests: the requests; those for unknown accounts get no answer.
          daemon_count: the number of daemons that share each account.
        """
        configuration = self._view.configuration
        if configuration is None:
            return []
        now_s = self._clock_s()
        loans = []
        for request in requests:
            account = configuration.account(request.name)
            if account is not None:
                loans.append(
                    self._lender.lend(account, request, daemon_count, now_s)
                )
        return loans

    def _lend_cold_sends(
        self, requests: list[fleet_messages.TokenRequest]
    ) -> list[fleet_messages.TokenLoan]:
        """Lends sends to cold upstreams.

        Nothing is lent while the term is not confirmed, as another leader may
        lend then.

        Args:
          requests: the requests; those for unknown upstreams get no answer.
        """
        configuration = self._view.configuration
        lender = self._cold_lender
        if configuration is None or lender is None or not self._may_lend():
            return []
        now_s = self._clock_s()
        loans = []
        for request in requests:
            upstream = self._view.upstreams.get(request.name)
            service = configuration.services.get(
                upstream.service if upstream is not None else ""
            )
            if service is not None:
                sends_per_s = self._cold_bound.sends_per_s(
                    service.cold_rate_per_s
                )
                loans.append(lender.lend(request, sends_per_s, now_s))
        lender.forget_upstreams(now_s)
        return loans

    def _lend_limited_sends(
        self, requests: list[fleet_messages.TokenRequest]
    ) -> list[fleet_messages.TokenLoan]:
        """Lends sends to upstreams that name a limit.

        Nothing is lent while the term is not confirmed, as another leader may
        lend then.
        """
        if self._cold_lender is None or not self._may_lend():
            return []
        now_s = self._clock_s()
        self._limited_lender.forget(self._view.upstreams)
        return [
            self._limited_lender.lend(
                request, self._limits.rate_per_s(request.name), now_s
            )
            for request in requests
        ]

    def quota_shares(self, daemon: str, daemon_count: int) -> dict[str, float]:
        """Returns a daemon's share of each quota that is preallocated.

        Args:
          daemon: the daemon's name.
          daemon_count: the number of daemons that share each account.

        Returns:
          Shares from 0 to 1 by account.
        """
        return {
            name: self.demand.share(name, daemon, daemon_count)
            for name in self._preallocated_accounts(daemon_count)
        }

    def _preallocated_accounts(self, daemon_count: int) -> list[str]:
        configuration = self._view.configuration
        if configuration is None:
            return []
        known_accounts = self.demand.accounts()
        version = (configuration.version, daemon_count, len(known_accounts))
        if version != self._preallocated_version:
            self._preallocated_version = version
            self._preallocated = [
                name
                for name in known_accounts
                if (account := configuration.account(name))
                and self._quota.is_preallocated(account, daemon_count)
            ]
        return self._preallocated

    def lendable(self) -> dict[str, float]:
        """Returns the number of lendable tokens by account."""
        return self._lender.lendable_tokens(self._clock_s())

    def table_spans(self) -> dict[str, list[fleet_messages.OwnerSpan]] | None:
        """Returns the owned spans by service, or None while there are none."""
        spans = {
            service: manager.table_spans()
            for service, manager in self._managers.items()
        }
        return spans if any(spans.values()) else None
