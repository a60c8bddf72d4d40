"""Selects the upstream that a request is sent to next."""

from collections.abc import Iterable
import dataclasses
import random

from sardinehill import errors
from sardinehill.core import routes
from sardinehill.core.load import upstream_state as state_module
from sardinehill.front import requests
from sardinehill.front import sending
from sardinehill.front import upstream_directory as directory_module

# The longest time that a request waits until its key has a known owner or its
# service has an upstream, as a ratio to the time from arrival to deadline.
MAX_OWNER_WAIT_RATIO = 0.5
# A request may wait for capacity for at least this part of its route's latency
# objective.
MIN_CAPACITY_WAIT_RATIO = 0.3
# Traffic between availability zones is billed, so an upstream of another zone
# is chosen only if it is faster by this factor.
CROSS_ZONE_COST_FACTOR = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """How a request waits for an upstream.

    Attributes:
      queue_key: the queue that it waits in.
      max_wait_s: the longest wait.
      reason: why it is refused after that.
    """

    queue_key: object
    max_wait_s: float
    reason: errors.Reason


class TargetSelector:
    """Finds an upstream that has capacity for a request."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        sender: sending.Sender,
        zone: str,
        counts_load: bool = True,
    ):
        """Creates a selector.

        Args:
          directory: the upstreams.
          sender: tells how long requests take.
          zone: the availability zone of this daemon.
          counts_load: whether an upstream has no capacity while the load that
            this daemon knows of fills it; a scheduler may know better.
        """
        self._directory = directory
        self._sender = sender
        self._zone = zone
        self._counts_load = counts_load
        self._random = random.Random()

    def find(
        self, context: requests.RequestContext, now_s: float
    ) -> requests.Target | Wait:
        """Returns a target with capacity, or how to wait for one.

        Raises:
          requests.RefusedError: no upstream will take the request in time.
        """
        total_time_s = context.deadline_s - context.request.arrived_s
        if self._directory.is_divided(context.service):
            return self._find_owner_target(context, now_s, total_time_s)
        return self._find_any_target(context, now_s, total_time_s)

    def _find_owner_target(
        self,
        context: requests.RequestContext,
        now_s: float,
        total_time_s: float,
    ) -> requests.Target | Wait:
        key = context.metadata.shard_key
        if key is None:
            return self._find_any_target(context, now_s, total_time_s)
        owned = self._directory.owner(context.service, key, now_s)
        if owned is None:
            return Wait(
                ("owner", context.service),
                total_time_s * MAX_OWNER_WAIT_RATIO,
                errors.Reason.UNOWNED,
            )
        upstream, epoch = owned
        state, pool = self._directory.state_and_pool(upstream)
        if not self._has_capacity(context, upstream, now_s):
            queue_key = ("room", upstream.id)
            max_wait_s = self._max_capacity_wait_s(context, state.slowness)
            self._refuse_if_paused(context, [upstream], max_wait_s, now_s)
            self._refuse_if_limited(
                context, upstream, queue_key, max_wait_s, now_s
            )
            return Wait(queue_key, max_wait_s, errors.Reason.QUEUE_FULL)
        return requests.Target(upstream, state, pool, epoch)

    def _refuse_if_paused(
        self,
        context: requests.RequestContext,
        upstreams: Iterable[routes.Upstream],
        max_wait_s: float,
        now_s: float,
    ) -> None:
        """Refuses a request if its upstreams want none for too long.

        Raises:
          RefusedError: the request would wait for longer than it may.
        """
        pause_s = min(
            (
                self._directory.pause_s(upstream, now_s)
                for upstream in upstreams
            ),
            default=0.0,
        )
        waited_s = now_s - (context.waiting_since_s or now_s)
        if pause_s > max(max_wait_s - waited_s, 0.0):
            raise requests.RefusedError(
                errors.Reason.QUEUE_FULL,
                503,
                pause_s,
                pause_s=round(pause_s, 3),
            )

    def _refuse_if_limited(
        self,
        context: requests.RequestContext,
        upstream: routes.Upstream,
        queue_key: object,
        max_wait_s: float,
        now_s: float,
    ) -> None:
        """Refuses a new request that its owner's limit would hold too long.

        Raises:
          RefusedError: the request would wait for longer than it may.
        """
        if context.waiting_since_s is not None:
            return
        wait_s = self._directory.limited_wait_s(
            upstream, queue_key, context.priority, now_s
        )
        if wait_s > max_wait_s:
            raise requests.RefusedError(
                errors.Reason.QUEUE_FULL,
                503,
                wait_s,
                limited_wait_s=round(wait_s, 3),
            )

    def _find_any_target(
        self,
        context: requests.RequestContext,
        now_s: float,
        total_time_s: float,
    ) -> requests.Target | Wait:
        usable = self._directory.usable_upstreams(context.service, now_s)
        if not usable:
            return Wait(
                ("any", context.service),
                total_time_s * MAX_OWNER_WAIT_RATIO,
                errors.Reason.NO_UPSTREAM,
            )
        candidates = self.candidates(context, usable, now_s)
        by_id = {candidate.id: candidate for candidate in candidates}
        name = state_module.choose_upstream(
            (
                (
                    candidate.id,
                    self._directory.state_and_pool(candidate)[0],
                    self._cost_factor(candidate),
                )
                for candidate in candidates
            ),
            now_s,
            self._random.random,
        )
        if name is None:
            max_wait_s = self._max_capacity_wait_s(context, 1.0)
            self._refuse_if_paused(context, usable, max_wait_s, now_s)
            return Wait(
                ("any", context.service),
                max_wait_s,
                errors.Reason.QUEUE_FULL,
            )
        upstream = by_id[name]
        state, pool = self._directory.state_and_pool(upstream)
        return requests.Target(upstream, state, pool, 0)

    def candidates(
        self,
        context: requests.RequestContext,
        usable: Iterable[routes.Upstream],
        now_s: float,
    ) -> list[routes.Upstream]:
        """Returns the upstreams with capacity that a request may go to.

        One that was not tried goes first, up to the route's number of attempts.
        """
        candidates = [
            upstream
            for upstream in usable
            if self._has_capacity(context, upstream, now_s)
        ]
        tried = set(context.tried_upstreams)
        untried = [
            candidate for candidate in candidates if candidate.id not in tried
        ]
        if len(tried) < context.route.max_attempts:
            return untried or candidates
        return [candidate for candidate in candidates if candidate.id in tried]

    def _cost_factor(self, upstream: routes.Upstream) -> float:
        return 1.0 if upstream.zone == self._zone else CROSS_ZONE_COST_FACTOR

    def _has_capacity(
        self,
        context: requests.RequestContext,
        upstream: routes.Upstream,
        now_s: float,
    ) -> bool:
        if not self._counts_load:
            return self._directory.may_send(upstream, now_s)
        return self._directory.has_capacity(
            upstream,
            now_s,
            self._sender.service_time_s(context.route.name),
            context.route.latency_objective_s,
        )

    def _max_capacity_wait_s(
        self, context: requests.RequestContext, slowness: float
    ) -> float:
        """Returns how long a request waits for capacity at a full upstream.

        A request that waits longer misses its latency objective and delays
        the requests behind it.
        """
        objective_s = context.route.latency_objective_s
        spare_s = (
            objective_s
            - self._sender.mean_latency_s(context.route.name) * slowness
        )
        return max(spare_s, objective_s * MIN_CAPACITY_WAIT_RATIO)
