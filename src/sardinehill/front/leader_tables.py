"""Builds leader tables and sends them to the daemons that follow this one."""

import asyncio
from collections.abc import Callable
import dataclasses

from sardinehill.core import crash_suspects
from sardinehill.core import fleet_messages
from sardinehill.core import leaving_upstreams
from sardinehill.core import store_versions
from sardinehill.core.load import named_limits
from sardinehill.front import followers as followers_module
from sardinehill.front import known_leader
from sardinehill.front import leader_tasks
from sardinehill.front import leader_term
from sardinehill.front import store_view
from sardinehill.front.load import designated_schedulers
from sardinehill.wire import fleet

# Changes of the leader table within this time are sent together.
TABLE_PUSH_DELAY_S = 0.004
# A table takes this much longer to send for each follower, so that sending it
# takes at most a fixed part of the leader's time.
TABLE_PUSH_DELAY_PER_FOLLOWER_S = 0.0002
# One in this many periodic tables includes the lendable tokens.
LENDABLE_PUSH_INTERVAL_COUNT = 4
# These go to this many followers. The next leader gets them from one of these
# if it is none itself.
LENDABLE_FOLLOWERS = 12
# One in this many periodic tables, and each one after a change, includes the
# limits that upstreams name.
LIMITS_PUSH_INTERVAL_COUNT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Leading:
    """What this daemon leads with, while it does.

    Attributes:
      term: its term.
      tasks: what it does in that term.
    """

    term: leader_term.LeaderTerm
    tasks: leader_tasks.LeaderTasks


@dataclasses.dataclass(frozen=True, slots=True)
class _TableNews:
    """What is equal in the tables that are sent to all daemons at one time.

    Attributes:
      documents_age_s: for how long the documents may have been outdated.
      limits: the limits that upstreams name; empty if they are not included.
      suspects: the requests that may end upstreams; empty if they are not
        included.
      leaving: the upstreams that have said that they leave, of which the
        receivers have not been told.
      includes_schedulers: whether the schedulers are included.
      includes_lendable: whether the lendable tokens are included.
    """

    documents_age_s: float
    limits: list[fleet_messages.LimitNews]
    suspects: list[fleet_messages.SuspectNews]
    leaving: list[fleet_messages.LeavingNews]
    includes_schedulers: bool
    includes_lendable: bool = False


class LeaderTables:
    """Sends tables to followers, whether or not this daemon leads.

    A daemon that does not lead passes on what it knows of the leader.
    """

    def __init__(
        self,
        name: str,
        address: str,
        view: store_view.StoreView,
        leader: known_leader.KnownLeader,
        followers: followers_module.Followers,
        limits: named_limits.NamedLimits,
        suspects: crash_suspects.CrashSuspects,
        leaving: leaving_upstreams.LeavingUpstreams,
        schedulers: designated_schedulers.DesignatedSchedulers,
        document_versions: Callable[[], list[store_versions.StoreVersion]],
        on_table: Callable[[fleet_messages.LeaderTable], None],
    ):
        self._name = name
        self._address = address
        self._view = view
        self._known_leader = leader
        self._followers = followers
        self._limits = limits
        self._suspects = suspects
        self._leaving = leaving
        self._schedulers = schedulers
        self._document_versions = document_versions
        self._on_table = on_table
        self._leading: _Leading | None = None
        self._serial = 0
        self._cached_spans_serial = -1
        self._cached_spans: dict[str, list[fleet_messages.OwnerSpan]] | None = (
            None
        )
        self._push_scheduled = False
        self._includes_limits = False
        self._includes_suspects = False
        self._includes_schedulers = False

    def begin_term(
        self, term: leader_term.LeaderTerm, tasks: leader_tasks.LeaderTasks
    ) -> None:
        """Begins to send this daemon's own tables, as it leads now."""
        self._leading = _Leading(term, tasks)
        self._serial += 1

    def end_term(self) -> None:
        """Ends this daemon's own tables."""
        self._leading = None

    # sending

    def note_changed_spans(self) -> None:
        """Sends tables soon, as the owners of keys have changed."""
        self._serial += 1
        self.schedule_push()

    def note_changed_limits(self) -> None:
        """Sends tables soon, as a limit that an upstream names has changed."""
        self._includes_limits = True
        self.schedule_push()

    def note_changed_suspects(self) -> None:
        """Sends tables soon, as another request may end upstreams."""
        self._includes_suspects = True
        self.schedule_push()

    def note_changed_schedulers(self) -> None:
        """Sends tables soon, as other daemons schedule requests now."""
        self._includes_schedulers = True
        self.schedule_push()

    def schedule_push(self) -> None:
        """Sends tables to all followers soon."""
        if not self._push_scheduled:
            self._push_scheduled = True
            asyncio.get_running_loop().call_later(
                TABLE_PUSH_DELAY_S
                + TABLE_PUSH_DELAY_PER_FOLLOWER_S * len(self._followers),
                self.push,
            )

    def push_periodic(self, push_index: int) -> None:
        """Sends the table that is due, with what is not in each of them.

        Args:
          push_index: counts the periodic tables of a term.
        """
        if push_index % LIMITS_PUSH_INTERVAL_COUNT == 0:
            self._includes_limits = True
        self.push(push_index % LENDABLE_PUSH_INTERVAL_COUNT == 0)

    def push(self, includes_lendable: bool = False) -> None:
        """Sends tables to all followers now."""
        self._push_scheduled = False
        # One for all daemons, as equal tables are encoded once.
        news = self._news(
            self._includes_limits,
            self._includes_suspects,
            self._leaving.take_unpublished(_now_s()),
            self._includes_schedulers,
            includes_lendable,
        )
        self._includes_limits = self._includes_suspects = False
        self._includes_schedulers = False
        if self._leading is not None:
            table = self._table_for(self._name, news)
            self._known_leader.set_own_table(table)
            self._on_table(table)
        self._followers.broadcast_tables(
            lambda name: self._table_for(name, news)
        )

    def send(self, name: str, is_first: bool) -> None:
        """Sends one follower its table.

        Args:
          name: the follower.
          is_first: whether it has not been told yet what changes rarely.
        """
        leaving = self._leaving.latest_news(_now_s()) if is_first else []
        news = self._news(is_first, is_first, leaving, is_first)
        table = self._table_for(name, news)
        self._followers.send_table(name, table)

    # building

    def encoded_summary(self) -> bytes:
        """Returns the message for a table without spans."""
        table = self._summary()
        if self._leading is not None:
            table.documents_age_s = self._view.documents_age_s()
        return fleet.encode_table(table)

    def _news(
        self,
        includes_limits: bool,
        includes_suspects: bool,
        leaving: list[fleet_messages.LeavingNews],
        includes_schedulers: bool,
        includes_lendable: bool = False,
    ) -> _TableNews:
        now_s = _now_s()
        return _TableNews(
            self._view.documents_age_s(),
            self._limits.all_news(now_s) if includes_limits else [],
            self._suspects.all_news(now_s) if includes_suspects else [],
            leaving,
            includes_schedulers,
            includes_lendable,
        )

    def _table_for(
        self, name: str, news: _TableNews
    ) -> fleet_messages.LeaderTable:
        """Returns the complete table to send to the daemon `name`."""
        table = self._summary()
        table.limits = news.limits
        table.suspects = news.suspects
        table.leaving = news.leaving
        if self._leading is None:
            known = self._known_leader.table
            if known is not None and not self._known_leader.needs_spans:
                table.spans = known.spans
            if known is not None and news.includes_schedulers:
                table.schedulers = known.schedulers
            return table
        term, tasks = self._leading.term, self._leading.tasks
        table.documents_age_s = news.documents_age_s
        if term.resigned:
            table.successor = term.successor()
        table.spans = self._spans(tasks)
        if news.includes_schedulers:
            table.schedulers = self._schedulers.entries
        table.shares = tasks.quota_shares(name, table.daemons)
        if term.resigned or (
            news.includes_lendable
            and name in self._followers.first(LENDABLE_FOLLOWERS)
        ):
            table.lendable = tasks.lendable()
        return table

    def _spans(
        self, tasks: leader_tasks.LeaderTasks
    ) -> dict[str, list[fleet_messages.OwnerSpan]] | None:
        """Returns the owners by service, rebuilt only after a change."""
        if self._cached_spans_serial != self._serial:
            self._cached_spans_serial, self._cached_spans = (
                self._serial,
                tasks.table_spans(),
            )
        return self._cached_spans

    def _summary(self) -> fleet_messages.LeaderTable:
        """Returns what this daemon knows of the leader, without spans."""
        if self._leading is None:
            return self._known_leader.summary()
        term = self._leading.term
        return fleet_messages.LeaderTable(
            self._known_leader.term,
            self._name,
            self._address,
            self._serial,
            term.daemon_count(),
            self._view.store_reachable,
            resigned=term.resigned,
            document_versions=self._document_versions(),
            configuration=self._view.configuration_version,
            designates_schedulers=True,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
