"""Asks schedulers for slots of upstreams."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools

from sardinehill import errors
from sardinehill import events
from sardinehill.core.load import scheduler_choice
from sardinehill.core.load import slot_messages
from sardinehill.front import front_metrics as metrics_module
from sardinehill.front.load import scheduler_link

# A request fails over to this many schedulers in turn.
MAX_SCHEDULERS = 3
# What a scheduler has said of a group's waits counts for this time.
EXPECTED_WAIT_TTL_S = 0.5
# A refusal applies to further requests for this time.
REFUSAL_TTL_S = 0.1
# The requests of a route have the same time left when they are submitted. The
# refused one has less by the time that its refusal took to arrive.
REFUSAL_TRANSIT_S = 0.01
# A scheduler that is no longer designated keeps its link this long at most, for
# the slots that it has granted.
RETIRED_LINK_TTL_S = 5.0
HOUSEKEEPING_INTERVAL_S = 1.0
MAX_WITHDRAWN_REQUESTS = 4096
MAX_RANKED_GROUPS = 4096


class NoSchedulerError(errors.SardinehillError):
    """Raised when no scheduler of a group responds."""


class SlotRefusedError(errors.SardinehillError):
    """Raised when a scheduler refuses a slot.

    Attributes:
      refusal: the refusal.
      group: the group of upstreams.
      scheduler: the name of the daemon that refused it.
      retry_after_s: when the caller should come back.
    """

    def __init__(
        self,
        refusal: slot_messages.SlotRefusal,
        group: slot_messages.SlotGroup,
        scheduler: str,
        retry_after_s: float,
    ):
        super().__init__(refusal.reason.name)
        self.refusal = refusal
        self.group = group
        self.scheduler = scheduler
        self.retry_after_s = retry_after_s


class Slot:
    """A slot that a scheduler has granted.

    Public attributes:
      upstream: the id of the upstream.
      scheduler: the name of the daemon that granted it.
    """

    def __init__(
        self,
        client: "SlotClient",
        link: scheduler_link.SchedulerLink,
        request_id: int,
        group: slot_messages.SlotGroup,
        upstream: str,
    ):
        self._client = client
        self._link = link
        self._request_id = request_id
        self._group = group
        self._is_released = False
        self.upstream = upstream
        self.scheduler = link.entry.daemon

    def release(
        self,
        outcome: slot_messages.SlotOutcome,
        latency_s: float = 0.0,
        load: slot_messages.LoadReport | None = None,
    ) -> None:
        """Releases the slot; a second call does nothing.

        Args:
          outcome: what became of the request.
          latency_s: the time from sending to the complete answer.
          load: the load that the answer stated, or None.
        """
        if self._is_released:
            return
        self._is_released = True
        self._client.note_released(
            self._link,
            slot_messages.SlotRelease(
                self._request_id,
                self._group,
                self.upstream,
                outcome,
                latency_s,
                load,
            ),
        )


@dataclasses.dataclass(slots=True)
class _CachedRefusal:
    """A refusal that applies to further requests.

    Attributes:
      error: what the refused request was told.
      request: the refused request.
      time_left_s: the time that it had left.
      refused_s: when it was refused.
      count: how many further requests were refused by it.
    """

    error: SlotRefusedError
    request: slot_messages.SlotRequest
    time_left_s: float
    refused_s: float
    count: int = 0

    def applies_to(self, want: slot_messages.SlotRequest, now_s: float) -> bool:
        """Returns whether a request of the same group would be refused, too."""
        return (
            now_s - self.refused_s < REFUSAL_TTL_S
            and want.priority >= self.request.priority
            and want.time_left_s <= self.time_left_s + REFUSAL_TRANSIT_S
            and want.work_s >= self.request.work_s
            and want.has_returned <= self.request.has_returned
            and set(self.request.avoided) <= set(want.avoided)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _ExpectedWait:
    """The wait that a scheduler expected for a request of a priority.

    Attributes:
      wait_s: the wait.
      reported_s: when it was reported.
    """

    wait_s: float
    reported_s: float


class SlotClient:
    """Asks the schedulers that the leader has designated for slots."""

    def __init__(
        self,
        own_name: str,
        server: scheduler_link.SlotHandler,
        clock_s: Callable[[], float],
        metrics: metrics_module.FrontMetrics,
    ):
        """Creates a client that knows no schedulers.

        Args:
          own_name: the name of this daemon.
          server: handles the requests if this daemon is the scheduler.
          clock_s: the event loop's clock.
          metrics: counts requests for slots and decisions.
        """
        self._own_name = own_name
        self._server = server
        self._clock_s = clock_s
        self._metrics = metrics
        self._entries: list[slot_messages.SchedulerEntry] = []
        self._links: dict[
            slot_messages.SchedulerEntry, scheduler_link.SchedulerLink
        ] = {}
        # Links to schedulers that are no longer designated, and since when.
        self._retired: dict[scheduler_link.SchedulerLink, float] = {}
        self._ranked: dict[
            slot_messages.SlotGroup, list[scheduler_link.SchedulerLink]
        ] = {}
        self._request_ids = itertools.count(1)
        # The groups of withdrawn requests, for grants that arrive late.
        self._withdrawn: dict[int, slot_messages.SlotGroup] = {}
        self._refusals: dict[
            slot_messages.SlotGroup, dict[int, _CachedRefusal]
        ] = {}
        self._expected_waits: dict[
            slot_messages.SlotGroup, dict[int, _ExpectedWait]
        ] = {}

    @property
    def is_scheduling(self) -> bool:
        """Whether slots are to be asked for."""
        return bool(self._entries)

    def set_schedulers(
        self, entries: Sequence[slot_messages.SchedulerEntry]
    ) -> None:
        """Takes the schedulers that the leader designates; empty for none."""
        if list(entries) == self._entries:
            return
        self._entries = list(entries)
        previous, self._links = self._links, {}
        for entry in self._entries:
            link = previous.pop(entry, None)
            self._links[entry] = link or self._new_link(entry)
        self._ranked.clear()
        for link in previous.values():
            self._retired[link] = self._clock_s()
            self._fail_over(link)
        self._close_retired()

    def _new_link(
        self, entry: slot_messages.SchedulerEntry
    ) -> scheduler_link.SchedulerLink:
        return scheduler_link.SchedulerLink(
            entry,
            self._own_name,
            self._server,
            self._clock_s,
            self._apply_decisions,
            self._note_lost,
        )

    def _close_retired(self) -> None:
        now_s = self._clock_s()
        for link, since_s in list(self._retired.items()):
            if not link.held_slots or now_s - since_s > RETIRED_LINK_TTL_S:
                del self._retired[link]
                # What was added in this pass of the event loop is still sent.
                asyncio.get_running_loop().call_later(
                    scheduler_link.SILENCE_CHECK_DELAY_S, link.close
                )

    async def run(self) -> None:
        """Closes links and drops what has expired, until cancelled."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._close_retired()
            now_s = self._clock_s()
            self._refusals = {
                group: refusals
                for group, refusals in self._refusals.items()
                if any(
                    now_s - refusal.refused_s < REFUSAL_TTL_S
                    for refusal in refusals.values()
                )
            }
            self._expected_waits = {
                group: waits
                for group, waits in self._expected_waits.items()
                if any(
                    now_s - wait.reported_s < EXPECTED_WAIT_TTL_S
                    for wait in waits.values()
                )
            }

    # asking

    async def acquire(
        self, want: slot_messages.SlotRequest, until_s: float
    ) -> Slot:
        """Waits for a slot.

        Args:
          want: the request. Its `request_id` is set here.
          until_s: when the wait ends at the latest, by the event loop's clock.

        Raises:
          SlotRefusedError: a scheduler, or a recent refusal, refuses it.
          NoSchedulerError: no scheduler responds.
          TimeoutError: `until_s` has passed.
        """
        began_s = self._clock_s()
        self._refuse_if_cached(want, began_s)
        tried: list[scheduler_link.SchedulerLink] = []
        async with asyncio.timeout_at(until_s):
            while len(tried) < MAX_SCHEDULERS:
                link = self._next_link(want.group, tried)
                if link is None:
                    break
                tried.append(link)
                request = self._new_request(want, began_s)
                decision = await self._decision(link, request)
                if isinstance(decision, slot_messages.SlotGrant):
                    self._metrics.increment("slots_granted")
                    return self._hold(link, request, decision.upstream)
                if decision is not None:
                    passed_s = self._clock_s() - began_s
                    left_s = want.time_left_s - passed_s
                    raise self._refused(link, request, decision, left_s)
        raise NoSchedulerError(f"no scheduler of {want.group} answers")

    def _next_link(
        self,
        group: slot_messages.SlotGroup,
        tried: Sequence[scheduler_link.SchedulerLink],
    ) -> scheduler_link.SchedulerLink | None:
        """Returns the first scheduler of a group that may answer, or None."""
        now_s = self._clock_s()
        for link in self._ranked_links(group):
            if link not in tried and not link.is_excluded(now_s):
                return link
        return None

    def _ranked_links(
        self, group: slot_messages.SlotGroup
    ) -> list[scheduler_link.SchedulerLink]:
        links = self._ranked.get(group)
        if links is None:
            if len(self._ranked) >= MAX_RANKED_GROUPS:
                self._ranked.clear()
            links = self._ranked[group] = [
                self._links[entry]
                for entry in scheduler_choice.ranked(group, self._entries)
            ]
        return links

    def _new_request(
        self, want: slot_messages.SlotRequest, began_s: float
    ) -> slot_messages.SlotRequest:
        """Returns the request for one scheduler, with the time left by now."""
        passed_s = self._clock_s() - began_s
        return dataclasses.replace(
            want,
            request_id=next(self._request_ids),
            objective_left_s=want.objective_left_s - passed_s,
            time_left_s=want.time_left_s - passed_s,
        )

    async def _decision(
        self,
        link: scheduler_link.SchedulerLink,
        request: slot_messages.SlotRequest,
    ) -> slot_messages.SlotGrant | slot_messages.SlotRefusal | None:
        """Returns a scheduler's decision, or None if it was lost."""
        wait = scheduler_link.SlotWait(
            request, asyncio.get_running_loop().create_future()
        )
        self._metrics.increment("slots_asked")
        link.submit(wait)
        try:
            return await wait.decided
        except BaseException:
            self._withdraw(link, wait)
            raise

    def _withdraw(
        self,
        link: scheduler_link.SchedulerLink,
        wait: scheduler_link.SlotWait,
    ) -> None:
        """Ends a request whose decision nobody waits for any more."""
        request = wait.request
        if link.waits.pop(request.request_id, None) is None:
            if wait.decided.cancelled():
                return
            decision = wait.decided.result()
            if isinstance(decision, slot_messages.SlotGrant):
                self._hold(link, request, decision.upstream).release(
                    slot_messages.SlotOutcome.UNUSED
                )
            return
        self._send_withdrawal(link, request)

    def _send_withdrawal(
        self,
        link: scheduler_link.SchedulerLink,
        request: slot_messages.SlotRequest,
    ) -> None:
        while len(self._withdrawn) >= MAX_WITHDRAWN_REQUESTS:
            del self._withdrawn[next(iter(self._withdrawn))]
        self._withdrawn[request.request_id] = request.group
        link.release(
            slot_messages.SlotRelease(
                request.request_id,
                request.group,
                "",
                slot_messages.SlotOutcome.UNUSED,
            )
        )

    def _hold(
        self,
        link: scheduler_link.SchedulerLink,
        request: slot_messages.SlotRequest,
        upstream: str,
    ) -> Slot:
        link.held_slots += 1
        return Slot(self, link, request.request_id, request.group, upstream)

    def note_released(
        self,
        link: scheduler_link.SchedulerLink,
        release: slot_messages.SlotRelease,
    ) -> None:
        """Sends the release of a slot; called by the slot."""
        link.held_slots -= 1
        if link.is_open:
            link.release(release)
        elif release.load is not None:
            # The scheduler that follows does not know the upstream's load.
            successor = self._next_link(release.group, ())
            if successor is not None:
                successor.release(release)

    # refusals

    def _refused(
        self,
        link: scheduler_link.SchedulerLink,
        request: slot_messages.SlotRequest,
        refusal: slot_messages.SlotRefusal,
        time_left_s: float,
    ) -> SlotRefusedError:
        """Records a refusal and returns the error for the request."""
        error = SlotRefusedError(
            refusal, request.group, link.entry.daemon, refusal.retry_after_s
        )
        self._metrics.increment(
            "slots_refused", refusal.reason.name.lower().replace("_", "-")
        )
        if refusal.reason is slot_messages.SlotRefusalReason.FULL:
            self._refusals.setdefault(request.group, {})[request.priority] = (
                _CachedRefusal(error, request, time_left_s, self._clock_s())
            )
        return error

    def _refuse_if_cached(
        self, want: slot_messages.SlotRequest, now_s: float
    ) -> None:
        """Refuses a request to which a cached refusal applies.

        Its caller is told to come back later than those before it, by the time
        in which the upstreams serve one request.

        Raises:
          SlotRefusedError: a recent refusal applies to it.
        """
        for cached in self._refusals.get(want.group, {}).values():
            if cached.applies_to(want, now_s):
                cached.count += 1
                refusal = cached.error.refusal
                spacing_s = want.work_s / max(refusal.slots, 1)
                self._metrics.increment("slots_refused", "cached")
                raise SlotRefusedError(
                    refusal,
                    want.group,
                    cached.error.scheduler,
                    refusal.retry_after_s + cached.count * spacing_s,
                )

    # decisions

    def _apply_decisions(
        self,
        link: scheduler_link.SchedulerLink,
        decisions: slot_messages.SlotDecisions,
    ) -> None:
        if link.is_lost:
            link.is_lost = False
            events.log(events.SCHEDULER_REGAINED, scheduler=link.entry.daemon)
        for queued in decisions.queued:
            wait = link.waits.get(queued.request_id)
            if wait is not None:
                wait.was_queued = True
                self._note_expected_wait(wait, queued.expected_wait_s)
        for refusal in decisions.refusals:
            wait = link.waits.pop(refusal.request_id, None)
            if wait is not None:
                self._note_expected_wait(wait, refusal.expected_wait_s)
                _decide(wait, refusal)
        for grant in decisions.grants:
            self._apply_grant(link, grant)

    def _apply_grant(
        self,
        link: scheduler_link.SchedulerLink,
        grant: slot_messages.SlotGrant,
    ) -> None:
        wait = link.waits.pop(grant.request_id, None)
        if wait is not None:
            if not wait.was_queued:
                self._note_expected_wait(wait, 0.0)
            if _decide(wait, grant):
                return
        # A second grant of a request that was not withdrawn changes nothing.
        group = (
            wait.request.group
            if wait is not None
            else self._withdrawn.pop(grant.request_id, None)
        )
        if group is not None:
            self._metrics.increment("slots_late")
            link.release(
                slot_messages.SlotRelease(
                    grant.request_id,
                    group,
                    grant.upstream,
                    slot_messages.SlotOutcome.UNUSED,
                )
            )

    def _note_lost(
        self, link: scheduler_link.SchedulerLink, cause: str
    ) -> None:
        self._metrics.increment("schedulers_lost")
        if not link.is_lost:
            link.is_lost = True
            events.log(
                events.SCHEDULER_LOST,
                scheduler=link.entry.daemon,
                cause=cause,
                waiting=len(link.waits),
                held_slots=link.held_slots,
            )
        self._fail_over(link)

    def _fail_over(self, link: scheduler_link.SchedulerLink) -> None:
        """Fails the requests at a scheduler over to the next one."""
        waits = list(link.waits.values())
        link.waits.clear()
        for wait in waits:
            self._send_withdrawal(link, wait.request)
            _decide(wait, None)

    # expected waits

    def _note_expected_wait(
        self, wait: scheduler_link.SlotWait, expected_wait_s: float
    ) -> None:
        request = wait.request
        self._expected_waits.setdefault(request.group, {})[request.priority] = (
            _ExpectedWait(max(expected_wait_s, 0.0), self._clock_s())
        )

    def expected_wait_s(
        self, group: slot_messages.SlotGroup, priority: int, now_s: float
    ) -> float | None:
        """Returns how long a request is expected to wait, or None if unknown.

        It waits at least as long as a more urgent one.
        """
        return max(
            (
                wait.wait_s
                for reported_priority, wait in self._expected_waits.get(
                    group, {}
                ).items()
                if reported_priority <= priority
                and now_s - wait.reported_s < EXPECTED_WAIT_TTL_S
            ),
            default=None,
        )


def _decide(
    wait: scheduler_link.SlotWait,
    decision: slot_messages.SlotGrant | slot_messages.SlotRefusal | None,
) -> bool:
    """Ends a wait; returns whether a task still waits for its decision."""
    if wait.decided.done():
        return False
    wait.decided.set_result(decision)
    return True
