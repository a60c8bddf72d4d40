"""Runs schedulers of groups of upstreams, for peers and for this daemon."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools

from sardinehill import events
from sardinehill.core.load import scheduler_choice
from sardinehill.core.load import slot_bounds
from sardinehill.core.load import slot_messages
from sardinehill.core.load import slot_scheduler
from sardinehill.front import log as log_module
from sardinehill.front import peer_links
from sardinehill.front import upstream_directory as directory_module
from sardinehill.wire import envelopes
from sardinehill.wire import message_kinds
from sardinehill.wire import slots

# Limits on the requests that wait for slots; further ones are refused at once.
MAX_WAITING_PER_SENDER = 1000
MAX_WAITING = 10_000
FULL_RETRY_AFTER_S = 0.2
# The longest name of a sender that is kept, as the sender states it.
MAX_NAME_CHARACTERS = 64
# A sender with waiting requests that was told nothing for `KEEP_ALIVE_S` is
# sent an empty message at the next tick.
TICK_INTERVAL_S = 0.05
KEEP_ALIVE_S = 0.14
# A request that is undecided this long after its arrival is acknowledged by an
# empty message. Estimates come later than that while many requests wait, and
# daemons consider a scheduler lost that has sent nothing for 0.15 s.
ACKNOWLEDGEMENT_DELAY_S = 0.03
# A group for which nothing was received for this long is forgotten.
IDLE_GROUP_S = 30.0
SWEEP_INTERVAL_S = 1.0
# A request that is undecided this long after its deadline is dropped.
UNDECIDED_RETENTION_S = 1.0
MIN_DECISION_DELAY_S = 0.001

_Send = Callable[[slot_messages.SlotDecisions], None]
_RefusalReason = slot_messages.SlotRefusalReason
_FULL = _RefusalReason.FULL
_UNKNOWN_UPSTREAM = _RefusalReason.UNKNOWN_UPSTREAM


@dataclasses.dataclass(frozen=True, slots=True)
class _Undecided:
    """A request that was not decided yet.

    Attributes:
      group: its group.
      priority: its priority.
      until_s: when it is dropped even if no decision was made.
    """

    group: slot_messages.SlotGroup
    priority: int
    until_s: float


@dataclasses.dataclass(eq=False, slots=True)
class _Sender:
    """A daemon that asks for slots.

    Attributes:
      name: its name, for logs.
      send: sends it decisions.
      sent_s: when decisions were last sent to it.
      undecided: its requests that wait for a decision, by id.
      groups: the groups that it has asked for.
      pending: the decisions to be sent in the next pass.
    """

    name: str
    send: _Send
    sent_s: float
    undecided: dict[int, _Undecided] = dataclasses.field(default_factory=dict)
    groups: set[slot_messages.SlotGroup] = dataclasses.field(
        default_factory=set
    )
    pending: slot_messages.SlotDecisions = dataclasses.field(
        default_factory=slot_messages.SlotDecisions
    )


@dataclasses.dataclass(eq=False, slots=True)
class _Group:
    """A group of upstreams and its scheduler.

    Attributes:
      key: the group.
      scheduler: decides about its slots.
      used_s: when something was last received for it.
      timer: calls for the next decision, if one is due without news.
      is_full: whether it has refused a request as full since the last sweep.
    """

    key: slot_messages.SlotGroup
    scheduler: slot_scheduler.SlotScheduler
    used_s: float
    timer: asyncio.TimerHandle | None = None
    is_full: bool = False


class SlotServer:
    """Runs the schedulers of the groups that daemons ask this daemon about."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        clock_s: Callable[[], float],
        own_name: str,
    ):
        """Creates a server without schedulers.

        Args:
          directory: the upstreams.
          clock_s: the event loop's clock.
          own_name: the name of this daemon.
        """
        self._directory = directory
        self._clock_s = clock_s
        self._own_name = own_name
        self._entries: list[slot_messages.SchedulerEntry] = []
        self._senders: dict[object, _Sender] = {}
        self._groups: dict[slot_messages.SlotGroup, _Group] = {}
        # The groups and senders that the next pass handles.
        self._due_groups: dict[_Group, None] = {}
        self._due_senders: dict[_Sender, None] = {}
        self._is_pass_due = False
        # The senders that were sent nothing since a request, with its arrival.
        self._unanswered_since_s: dict[_Sender, float] = {}
        self._is_acknowledgement_due = False
        self._swept_s = clock_s()
        self._log = log_module.KeyedLog(clock_s)
        self._granted_total = 0
        # The lost slots of the groups that were forgotten.
        self._forgotten_lost_total = 0
        self._refused_total: collections.Counter[tuple[_RefusalReason, int]] = (
            collections.Counter()
        )
        directory.subscribe_changes(self._note_changed_upstreams)

    # messages

    def receive(
        self, link: peer_links.PeerLink, envelope: envelopes.Envelope
    ) -> bool:
        """Handles a message from a peer if it asks for slots.

        Returns:
          Whether it was handled.

        Raises:
          PeerFrameError: the message is malformed.
        """
        if envelope.kind != message_kinds.MessageKind.SLOT_REQUESTS:
            return False
        requests = slots.decode_requests(envelope.payload)
        name = envelope.sender[:MAX_NAME_CHARACTERS]
        self.handle(link, name, requests, functools.partial(_send_to, link))
        return True

    def link_lost(self, link: peer_links.PeerLink) -> None:
        """Removes a peer whose link has closed."""
        self.remove(link)

    def handle(
        self,
        sender: object,
        name: str,
        requests: slot_messages.SlotRequests,
        send: _Send,
    ) -> None:
        """Handles requests and releases; decisions are sent in a later pass.

        Args:
          sender: identifies the daemon, or its link.
          name: the daemon's name.
          requests: the requests and releases.
          send: sends it decisions.
        """
        now_s = self._clock_s()
        known = self._senders.get(sender)
        if known is None:
            known = self._senders[sender] = _Sender(name, send, now_s)
        waiting_total = self._waiting_total()
        for request in requests.requests:
            if request.request_id in known.undecided:
                continue
            undecided = _Undecided(
                request.group, request.priority, _wait_end_s(request, now_s)
            )
            if not self._may_wait(known, waiting_total):
                self._refuse(known, request.request_id, undecided, _FULL)
            elif self._submit(known, request, undecided, now_s):
                waiting_total += 1
        for release in requests.releases:
            self._release(known, release, now_s)

    def remove(self, sender: object) -> None:
        """Removes a sender whose link was lost."""
        known = self._senders.pop(sender, None)
        if known is None:
            return
        self._due_senders.pop(known, None)
        self._unanswered_since_s.pop(known, None)
        now_s = self._clock_s()
        for key in known.groups:
            group = self._groups.get(key)
            if group is not None:
                with self._isolating_errors(group):
                    group.scheduler.remove_daemon(known, now_s)
                self._make_due(group)

    def _submit(
        self,
        sender: _Sender,
        request: slot_messages.SlotRequest,
        undecided: _Undecided,
        now_s: float,
    ) -> bool:
        """Submits a request; returns whether it waits for a decision."""
        group = self._group(request.group, now_s)
        if group is None:
            self._refuse(
                sender, request.request_id, undecided, _UNKNOWN_UPSTREAM
            )
            return False
        if request.avoided:
            members = set(self._directory.group_members(group.key))
            request = dataclasses.replace(
                request, avoided=tuple(members.intersection(request.avoided))
            )
        sender.undecided[request.request_id] = undecided
        sender.groups.add(group.key)
        with self._isolating_errors(group):
            group.scheduler.submit(sender, request, now_s)
        self._make_due(group)
        self._note_unanswered(sender, now_s)
        return True

    def _waiting_total(self) -> int:
        return sum(len(sender.undecided) for sender in self._senders.values())

    def _may_wait(self, sender: _Sender, waiting_total: int) -> bool:
        """Returns whether one more request may wait; logs that it may not."""
        waiting = len(sender.undecided)
        if waiting < MAX_WAITING_PER_SENDER and waiting_total < MAX_WAITING:
            return True
        self._log(
            events.SLOT_REQUESTS_EXCESSIVE,
            sender.name,
            peer=sender.name,
            waiting=waiting,
            waiting_total=waiting_total,
        )
        return False

    def _release(
        self, sender: _Sender, release: slot_messages.SlotRelease, now_s: float
    ) -> None:
        sender.undecided.pop(release.request_id, None)
        group = self._group(release.group, now_s)
        if group is not None:
            with self._isolating_errors(group):
                group.scheduler.release(sender, release, now_s)
            self._make_due(group)

    def _group(
        self, key: slot_messages.SlotGroup, now_s: float
    ) -> _Group | None:
        """Returns a group, or None if it has no listed upstream."""
        group = self._groups.get(key)
        if group is None:
            members = self._directory.group_members(key)
            if not members:
                return None
            scheduler = slot_scheduler.SlotScheduler(
                lambda name: self._directory.slot_info(
                    name, key, self._clock_s()
                )
            )
            scheduler.set_is_first(self._is_first(key))
            if not key.upstream:
                scheduler.set_upstreams(members, now_s)
            group = self._groups[key] = _Group(key, scheduler, now_s)
        group.used_s = now_s
        return group

    # schedulers and upstreams

    def set_schedulers(
        self, entries: list[slot_messages.SchedulerEntry]
    ) -> None:
        """Sets the daemons that schedule requests, as the table lists them."""
        if entries == self._entries:
            return
        self._entries = list(entries)
        for group in self._groups.values():
            group.scheduler.set_is_first(self._is_first(group.key))
            self._make_due(group)

    def _is_first(self, key: slot_messages.SlotGroup) -> bool:
        ranked = scheduler_choice.ranked(key, self._entries)
        return bool(ranked) and ranked[0].daemon == self._own_name

    def _note_changed_upstreams(self) -> None:
        now_s = self._clock_s()
        for group in list(self._groups.values()):
            if not group.key.upstream:
                members = self._directory.group_members(group.key)
                with self._isolating_errors(group):
                    group.scheduler.set_upstreams(members, now_s)
            self._make_due(group)

    # decisions

    def _make_due(self, group: _Group) -> None:
        self._due_groups[group] = None
        self._schedule_pass()

    def _schedule_pass(self) -> None:
        if not self._is_pass_due:
            self._is_pass_due = True
            asyncio.get_running_loop().call_soon(self._run_pass)

    def _run_pass(self) -> None:
        """Decides for all groups with news, and sends what is decided."""
        self._is_pass_due = False
        now_s = self._clock_s()
        due_groups, self._due_groups = self._due_groups, {}
        for group in due_groups:
            if self._groups.get(group.key) is group:
                self._decide(group, now_s)
        due_senders, self._due_senders = self._due_senders, {}
        for sender in due_senders:
            decisions = sender.pending
            sender.pending = slot_messages.SlotDecisions()
            self._send(sender, decisions, now_s)

    def _send(
        self,
        sender: _Sender,
        decisions: slot_messages.SlotDecisions,
        now_s: float,
    ) -> None:
        sender.sent_s = now_s
        self._unanswered_since_s.pop(sender, None)
        try:
            sender.send(decisions)
        except Exception as error:
            # An error for one sender must not delay decisions for others.
            events.log_with_traceback(
                events.TASK_FAILED, error, task="slot-decisions"
            )

    def _decide(self, group: _Group, now_s: float) -> None:
        if group.timer is not None:
            group.timer.cancel()
            group.timer = None
        with self._isolating_errors(group):
            for decision in group.scheduler.decide(now_s):
                if isinstance(decision.daemon, _Sender):
                    self._add_decision(decision.daemon, decision.message)
                if _is_refused_as_full(decision.message):
                    group.is_full = True
            next_s = group.scheduler.next_decision_s(now_s)
            if next_s is not None:
                group.timer = asyncio.get_running_loop().call_later(
                    max(next_s - now_s, MIN_DECISION_DELAY_S),
                    self._make_due,
                    group,
                )

    @contextlib.contextmanager
    def _isolating_errors(self, group: _Group) -> Iterator[None]:
        """Limits the effect of an unexpected error to one group.

        Its scheduler ends, and the requests that wait for it are refused.
        """
        try:
            yield
        except Exception as error:
            events.log_with_traceback(
                events.TASK_FAILED, error, task="slot-scheduler"
            )
            self._forget(group)
            for sender in self._senders.values():
                for request_id, undecided in list(sender.undecided.items()):
                    if undecided.group == group.key:
                        del sender.undecided[request_id]
                        self._refuse(
                            sender, request_id, undecided, _UNKNOWN_UPSTREAM
                        )

    def _add_decision(
        self,
        sender: _Sender,
        decision: slot_messages.SlotGrant
        | slot_messages.SlotRefusal
        | slot_messages.SlotQueued,
    ) -> None:
        match decision:
            case slot_messages.SlotGrant():
                self._granted_total += 1
                sender.undecided.pop(decision.request_id, None)
                sender.pending.grants.append(decision)
            case slot_messages.SlotRefusal():
                undecided = sender.undecided.pop(decision.request_id, None)
                if undecided is not None:
                    key = (decision.reason, undecided.priority)
                    self._refused_total[key] += 1
                sender.pending.refusals.append(decision)
            case slot_messages.SlotQueued():
                sender.pending.queued.append(decision)
        self._due_senders[sender] = None

    def _refuse(
        self,
        sender: _Sender,
        request_id: int,
        undecided: _Undecided,
        reason: _RefusalReason,
    ) -> None:
        """Refuses a request that no scheduler decides about."""
        self._refused_total[reason, undecided.priority] += 1
        sender.pending.refusals.append(
            slot_messages.SlotRefusal(
                request_id,
                reason,
                FULL_RETRY_AFTER_S,
                0.0,
                len(sender.undecided),
                0,
            )
        )
        self._due_senders[sender] = None
        self._schedule_pass()

    # timers

    def _note_unanswered(self, sender: _Sender, now_s: float) -> None:
        self._unanswered_since_s.setdefault(sender, now_s)
        self._schedule_acknowledgement()

    def _schedule_acknowledgement(self) -> None:
        if self._unanswered_since_s and not self._is_acknowledgement_due:
            self._is_acknowledgement_due = True
            first_s = next(iter(self._unanswered_since_s.values()))
            asyncio.get_running_loop().call_at(
                first_s + ACKNOWLEDGEMENT_DELAY_S, self._acknowledge
            )

    def _acknowledge(self) -> None:
        """Acknowledges requests that are undecided for too long."""
        self._is_acknowledgement_due = False
        now_s = self._clock_s()
        for sender, since_s in list(self._unanswered_since_s.items()):
            if now_s - since_s < ACKNOWLEDGEMENT_DELAY_S:
                break
            self._send(sender, slot_messages.SlotDecisions(), now_s)
        self._schedule_acknowledgement()

    async def run(self) -> None:
        """Sends keep-alive messages to waiting daemons, until cancelled.

        Also forgets idle groups and logs values that were out of range.
        """
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now_s = self._clock_s()
            for sender in list(self._senders.values()):
                if sender.undecided and now_s - sender.sent_s >= KEEP_ALIVE_S:
                    self._send(sender, slot_messages.SlotDecisions(), now_s)
            if now_s - self._swept_s >= SWEEP_INTERVAL_S:
                self._swept_s = now_s
                self._sweep(now_s)

    def _sweep(self, now_s: float) -> None:
        for sender in self._senders.values():
            sender.undecided = {
                request_id: undecided
                for request_id, undecided in sender.undecided.items()
                if now_s < undecided.until_s
            }
        for group in list(self._groups.values()):
            self._log_out_of_range(group)
            self._log_usage(group, now_s)
            if now_s - group.used_s < IDLE_GROUP_S:
                continue
            # This frees the slots that were lost.
            self._decide(group, now_s)
            status = group.scheduler.status()
            if not status.granted and not status.waiting:
                self._forget(group)
        if self._due_senders:
            self._schedule_pass()
        for sender in self._senders.values():
            sender.groups &= self._groups.keys()

    def _log_out_of_range(self, group: _Group) -> None:
        for value in group.scheduler.drain_out_of_range():
            self._log(
                events.LOAD_OUT_OF_RANGE,
                value.upstream or group.key.service,
                service=group.key.service,
                upstream=value.upstream,
                field=value.field,
                value=repr(value.value),
            )

    def _log_usage(self, group: _Group, now_s: float) -> None:
        """Logs who uses the slots of a group that has refused requests."""
        if not group.is_full:
            return
        group.is_full = False
        usage = group.scheduler.usage(now_s)
        events.log(
            events.SLOTS_FULL,
            group=group.key.label,
            held=usage.held,
            waiting=usage.waiting,
            work_rates={
                priority: round(rate, 3)
                for priority, rate in usage.work_rates.items()
            },
            capacity=round(usage.capacity, 3),
        )

    def _forget(self, group: _Group) -> None:
        if group.timer is not None:
            group.timer.cancel()
        if self._groups.get(group.key) is group:
            del self._groups[group.key]
            self._forgotten_lost_total += group.scheduler.status().lost_total

    def status(self) -> dict[str, float]:
        """Returns gauges and counters of the schedulers of this daemon."""
        states = [group.scheduler.status() for group in self._groups.values()]
        values: dict[str, float] = {
            "scheduler_groups": len(self._groups),
            "scheduler_senders": len(self._senders),
            "scheduler_waiting": sum(state.waiting for state in states),
            "scheduler_slots_held": sum(state.granted for state in states),
            "scheduler_granted_total": self._granted_total,
            "scheduler_lost_slots_total": self._forgotten_lost_total
            + sum(state.lost_total for state in states),
        }
        for (reason, priority), count in self._refused_total.items():
            label = f'reason="{reason.name.lower()}",priority="{priority}"'
            values[f"scheduler_refused_total{{{label}}}"] = count
        return values


def _is_refused_as_full(
    decision: slot_messages.SlotGrant
    | slot_messages.SlotRefusal
    | slot_messages.SlotQueued,
) -> bool:
    return (
        isinstance(decision, slot_messages.SlotRefusal)
        and decision.reason is _FULL
    )


def _wait_end_s(request: slot_messages.SlotRequest, now_s: float) -> float:
    """Returns when a request is dropped even without a decision."""
    time_left_s = min(max(request.time_left_s, 0.0), slot_bounds.MAX_TIME_S)
    return now_s + time_left_s + UNDECIDED_RETENTION_S


def _send_to(
    link: peer_links.PeerLink, decisions: slot_messages.SlotDecisions
) -> None:
    link.send(
        message_kinds.MessageKind.SLOT_DECISIONS,
        slots.encode_decisions(decisions),
    )
