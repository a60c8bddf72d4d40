"""Finds the upstream of a request by asking the schedulers for a slot."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from sardinehill import errors
from sardinehill.core import routes
from sardinehill.core.load import local_share
from sardinehill.core.load import slot_messages
from sardinehill.core.load import slot_work
from sardinehill.core.load import time_limits
from sardinehill.front import front_metrics as metrics_module
from sardinehill.front import requests
from sardinehill.front import sending
from sardinehill.front import upstream_directory as directory_module
from sardinehill.front.load import slot_client
from sardinehill.front.load import target_selection

# Another zone's upstreams are used if their wait is shorter by this part of the
# request's service time.
CROSS_ZONE_WAIT_RATIO = 0.3
# A request that groups refuse is submitted to at most this many groups.
MAX_GROUPS = 3
MIN_RETRY_AFTER_S = 0.05
# Callers honor a Retry-After of at most this part of the time they have left.
MAX_RETRY_AFTER_RATIO = 1 / 3


class _LocalShareSlot:
    """The right to send one request within this daemon's local share."""

    def __init__(self, on_release: Callable[[], None]):
        self._on_release: Callable[[], None] | None = on_release

    def release(
        self,
        outcome: slot_messages.SlotOutcome,
        latency_s: float = 0.0,
        load: slot_messages.LoadReport | None = None,
    ) -> None:
        """Ends the use of the share; a second call does nothing."""
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release()


@dataclasses.dataclass(frozen=True, slots=True)
class _WaitingRequest:
    """A request that waits for a slot.

    Attributes:
      context: the request.
      owner: the upstream that owns its key, or None if any may serve it.
    """

    context: requests.RequestContext
    owner: routes.Upstream | None


class ScheduledTargets:
    """Selects the targets of requests by the slots that schedulers grant."""

    def __init__(
        self,
        client: slot_client.SlotClient,
        directory: directory_module.UpstreamDirectory,
        sender: sending.Sender,
        metrics: metrics_module.FrontMetrics,
        zone: str,
    ):
        """Creates a selector that follows the changes of the directory.

        Args:
          client: asks for slots.
          directory: the upstreams.
          sender: estimates how long requests take.
          metrics: counts what is sent without a scheduler.
          zone: the availability zone of this daemon.
        """
        self._client = client
        self._directory = directory
        self._sender = sender
        self._metrics = metrics
        self._zone = zone
        self._random = random.Random()
        self._selector = target_selection.TargetSelector(
            directory, sender, zone
        )
        # Finds upstreams that this daemon can send to, whatever their load.
        self._reachable = target_selection.TargetSelector(
            directory, sender, zone, counts_load=False
        )
        self._share = local_share.LocalShare(self._random.random)
        self._share_timers: dict[str, asyncio.TimerHandle] = {}
        self._time_limits = time_limits.TimeLimits()
        self._waits: dict[asyncio.Timeout, _WaitingRequest] = {}
        directory.subscribe_changes(self._withdraw_changed)

    @property
    def is_scheduling(self) -> bool:
        """Whether targets are to be found by this object."""
        return self._client.is_scheduling

    # waits that end early

    def _withdraw_changed(self) -> None:
        """Ends the waits for upstreams that do not own the key any more."""
        now_s = asyncio.get_running_loop().time()
        for timeout, wait in list(self._waits.items()):
            if wait.owner is None or timeout.expired():
                continue
            key = wait.context.metadata.shard_key
            if key is None:
                continue
            owned = self._directory.owner(wait.context.service, key, now_s)
            if owned is None or owned[0].incarnation != wait.owner.incarnation:
                timeout.reschedule(now_s)

    def limit_waits(self) -> None:
        """Ends waits at the requests' latest time of sending, after a stop."""
        for timeout, wait in list(self._waits.items()):
            if not timeout.expired():
                timeout.reschedule(wait.context.latest_send_s)

    # finding

    async def find(
        self,
        context: requests.RequestContext,
        now_s: float,
        latest_send_s: float,
    ) -> requests.Target | target_selection.Wait | None:
        """Waits for a slot for a request.

        Args:
          context: the request.
          now_s: the current time.
          latest_send_s: when it may be sent at the latest.

        Returns:
          A target with a slot, how to wait before the next attempt, or None if
          the next attempt can be made at once.

        Raises:
          requests.RefusedError: no upstream will serve the request in time.
        """
        if context.has_returned is None:
            context.has_returned = self._time_limits.record_arrival(
                context.route.name,
                context.deadline_s - context.request.arrived_s,
                now_s,
            )
        is_divided = self._directory.is_divided(context.service)
        try:
            if is_divided:
                # This also refuses requests whose owner has asked for a pause.
                found = self._reachable.find(context, now_s)
                if isinstance(found, target_selection.Wait):
                    return found
                slot = await self._acquire_at(context, found, latest_send_s)
            else:
                groups = self._groups(context, now_s)
                if not groups:
                    # The result says how to wait for an upstream.
                    found = self._reachable.find(context, now_s)
                    if isinstance(found, target_selection.Wait):
                        return found
                slot = await self._acquire_any(context, groups, latest_send_s)
        except TimeoutError:
            return None
        except slot_client.NoSchedulerError:
            if not self.is_scheduling:
                return None
            return self._find_by_share(
                context, asyncio.get_running_loop().time(), latest_send_s
            )
        except slot_client.SlotRefusedError as error:
            now_s = asyncio.get_running_loop().time()
            reason = error.refusal.reason
            if reason is slot_messages.SlotRefusalReason.UNKNOWN_UPSTREAM:
                # The scheduler may learn of upstreams after this daemon does.
                return self._find_by_share(context, now_s, latest_send_s)
            raise _refusal(context, error, now_s) from None
        return self._confirmed(context, slot)

    def _confirmed(
        self, context: requests.RequestContext, slot: slot_client.Slot
    ) -> requests.Target | target_selection.Wait | None:
        """Returns the target of a granted slot if it is still of use."""
        now_s = asyncio.get_running_loop().time()
        self._metrics.record_latency(
            context.service, now_s - context.request.arrived_s, "slot_wait"
        )
        key = context.metadata.shard_key
        upstream: routes.Upstream | None
        epoch = 0
        if self._directory.is_divided(context.service) and key is not None:
            owned = self._directory.owner(context.service, key, now_s)
            upstream, epoch = owned if owned is not None else (None, 0)
            if upstream is not None and upstream.id != slot.upstream:
                upstream = None
        else:
            upstream = self._usable(context.service, slot.upstream, now_s)
        if upstream is None or not self._directory.may_send(upstream, now_s):
            slot.release(slot_messages.SlotOutcome.UNUSED)
            if self._directory.is_listed(slot.upstream):
                return None
            return target_selection.Wait(
                ("any", context.service),
                latest_wait_s(context),
                errors.Reason.QUEUE_FULL,
            )
        self._share.forget(upstream.id)
        state, pool = self._directory.state_and_pool(upstream)
        return requests.Target(upstream, state, pool, epoch, slot)

    def _usable(
        self, service: str, name: str, now_s: float
    ) -> routes.Upstream | None:
        for upstream in self._directory.usable_upstreams(service, now_s):
            if upstream.id == name:
                return upstream
        return None

    # asking

    async def _acquire_at(
        self,
        context: requests.RequestContext,
        target: requests.Target,
        latest_send_s: float,
    ) -> slot_client.Slot:
        """Waits for a slot of one upstream.

        Raises:
          SlotRefusedError: it does not serve the request in time.
          NoSchedulerError: no scheduler answers.
          TimeoutError: the wait is over, or the key has another owner.
        """
        group = self._directory.slot_group(target.upstream)
        if group is None:
            # It has left the store, and owns its keys until they have moved.
            raise slot_client.NoSchedulerError("the upstream is not listed")
        owner = target.upstream if target.is_owner else None
        return await self._acquire(context, group, (), owner, latest_send_s)

    async def _acquire_any(
        self,
        context: requests.RequestContext,
        groups: list[tuple[slot_messages.SlotGroup, tuple[str, ...]]],
        latest_send_s: float,
    ) -> slot_client.Slot:
        """Waits for a slot of one of these groups, each with avoided upstreams.

        Raises:
          SlotRefusedError: no group that was asked serves the request in time.
          NoSchedulerError: no scheduler answers.
          TimeoutError: the wait is over.
        """
        refused: slot_client.SlotRefusedError | None = None
        for group, avoided in groups[:MAX_GROUPS]:
            try:
                return await self._acquire(
                    context, group, avoided, None, latest_send_s
                )
            except slot_client.SlotRefusedError as error:
                refused = refused or error
        if refused is not None:
            raise refused
        raise slot_client.NoSchedulerError("no group may serve the request")

    def _groups(
        self, context: requests.RequestContext, now_s: float
    ) -> list[tuple[slot_messages.SlotGroup, tuple[str, ...]]]:
        """Returns the groups that may serve a request, the best one first.

        Each comes with its members that may not serve it. Of groups of equal
        cost, one with more upstreams is more often the first.
        """
        usable = self._directory.usable_upstreams(context.service, now_s)
        members: dict[slot_messages.SlotGroup, set[str]] = {}
        for upstream in self._reachable.candidates(context, usable, now_s):
            group = self._directory.slot_group(upstream)
            if group is not None:
                members.setdefault(group, set()).add(upstream.id)
        cross_zone_s = CROSS_ZONE_WAIT_RATIO * self._sender.service_time_s(
            context.route.name
        )

        def cost(group: slot_messages.SlotGroup) -> tuple[float, bool, float]:
            wait_s = self._client.expected_wait_s(
                group, context.priority, now_s
            )
            is_other = group.zone != self._zone
            spread = self._random.random() ** (1 / len(members[group]))
            return (wait_s or 0.0) + cross_zone_s * is_other, is_other, -spread

        return [
            (
                group,
                tuple(
                    name
                    for name in self._directory.group_members(group)
                    if name not in members[group]
                ),
            )
            for group in sorted(members, key=cost)
        ]

    async def _acquire(
        self,
        context: requests.RequestContext,
        group: slot_messages.SlotGroup,
        avoided: tuple[str, ...],
        owner: routes.Upstream | None,
        latest_send_s: float,
    ) -> slot_client.Slot:
        """Waits for a slot of one group.

        Raises:
          SlotRefusedError: the request is refused.
          NoSchedulerError: no scheduler answers.
          TimeoutError: the wait is over, or the key has another owner.
        """
        now_s = asyncio.get_running_loop().time()
        want = slot_messages.SlotRequest(
            request_id=0,
            group=group,
            priority=min(
                max(context.priority, 0), slot_messages.LOWEST_PRIORITY
            ),
            work_s=self._sender.service_time_s(context.route.name),
            objective_left_s=context.request.arrived_s
            + context.route.latency_objective_s
            - now_s,
            time_left_s=sending.time_left_s(context, now_s),
            avoided=avoided,
            body_bytes=len(context.request.body),
            route_id=slot_work.route_id(context.route.name),
            has_returned=bool(context.has_returned),
        )
        until_s = min(latest_send_s, context.latest_send_s)
        async with asyncio.timeout(None) as timeout:
            self._waits[timeout] = _WaitingRequest(context, owner)
            try:
                return await self._client.acquire(want, until_s)
            finally:
                del self._waits[timeout]

    # without a scheduler

    def _find_by_share(
        self,
        context: requests.RequestContext,
        now_s: float,
        latest_send_s: float,
    ) -> requests.Target | target_selection.Wait:
        """Returns a target within this daemon's share, or how to wait for it.

        Raises:
          requests.RefusedError: the share does not suffice for the request.
        """
        found = self._selector.find(context, now_s)
        if isinstance(found, target_selection.Wait):
            return found
        upstream = found.upstream
        slowness = found.upstream_state.mean_host_slowness or 1.0
        wait_s = self._share.try_take(
            upstream.id,
            upstream.slots,
            self._sender.service_time_s(context.route.name) * slowness,
            self._directory.daemon_count,
            now_s,
        )
        queue_key = ("share", upstream.id)
        if wait_s <= 0:
            self._metrics.increment("local_share_sends")
            found.slot = _LocalShareSlot(lambda: self._end_share(upstream.id))
            return found
        if now_s + wait_s > latest_send_s:
            left_s = context.deadline_s - now_s
            raise requests.RefusedError(
                errors.Reason.NO_SLOT,
                503,
                _bounded_retry_after_s(wait_s, left_s),
                scheduler="",
                slot_group=upstream.id,
                expected_wait_s=round(wait_s, 4),
                slots=upstream.slots,
                time_left_s=round(left_s, 4),
            )
        if upstream.id not in self._share_timers:
            self._share_timers[upstream.id] = (
                asyncio.get_running_loop().call_later(
                    wait_s, self._wake_for_share, upstream.id
                )
            )
        return target_selection.Wait(
            queue_key, latest_wait_s(context), errors.Reason.QUEUE_FULL
        )

    def _wake_for_share(self, upstream_id: str) -> None:
        self._share_timers.pop(upstream_id, None)
        self._directory.waiting.wake_one(("share", upstream_id))

    def _end_share(self, upstream_id: str) -> None:
        self._share.end(upstream_id)
        self._directory.waiting.wake_one(("share", upstream_id))


def latest_wait_s(context: requests.RequestContext) -> float:
    """Returns the longest wait of a request that may use all of its time."""
    return context.deadline_s - context.request.arrived_s


def _bounded_retry_after_s(retry_after_s: float, left_s: float) -> float:
    """Returns a Retry-After that the caller honors."""
    return max(
        min(retry_after_s, left_s * MAX_RETRY_AFTER_RATIO), MIN_RETRY_AFTER_S
    )


def _refusal(
    context: requests.RequestContext,
    error: slot_client.SlotRefusedError,
    now_s: float,
) -> requests.RefusedError:
    """Returns the refusal of a request that a scheduler has refused."""
    refusal = error.refusal
    left_s = context.deadline_s - now_s
    return requests.RefusedError(
        errors.Reason.NO_SLOT,
        503,
        _bounded_retry_after_s(error.retry_after_s, left_s),
        scheduler=error.scheduler,
        slot_group=error.group.label,
        expected_wait_s=round(refusal.expected_wait_s, 4),
        requests_ahead=refusal.requests_ahead,
        slots=refusal.slots,
        time_left_s=round(left_s, 4),
    )
