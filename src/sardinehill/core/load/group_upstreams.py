"""Keeps the upstreams whose slots one scheduler grants."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from sardinehill.core.load import slot_bounds
from sardinehill.core.load import slot_messages
from sardinehill.core.load import slot_upstream

# The slots of upstreams, and whether they are cold, are looked up this often.
INFO_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamInfo:
    """What the daemon knows of an upstream.

    Attributes:
      slots: how many requests it runs at once; it gets none if this is not
        positive.
      is_cold: whether it has just started or is cold again.
    """

    slots: int
    is_cold: bool


class GroupUpstreams:
    """The upstreams of one group.

    Public attributes:
      usable: those that may be granted slots.
      work_rate: the seconds of work that these do in a second.
      min_slowness: the slowness of the fastest of these.
      min_queue_wait_s: the shortest wait in the full queue of one of these.
    """

    def __init__(
        self,
        find_upstream: Callable[[str], UpstreamInfo | None],
        bounds: slot_bounds.Bounds,
    ) -> None:
        """Creates a group without upstreams.

        Args:
          find_upstream: returns what is known of an upstream, or None if it is
            not usable.
          bounds: bounds the stated slots.
        """
        self._find_upstream = find_upstream
        self._bounds = bounds
        self._members: list[str] = []
        self._by_name: dict[str, slot_upstream.SlotUpstream] = {}
        self._refreshed_s = -math.inf
        self.usable: list[slot_upstream.SlotUpstream] = []
        self.work_rate = 1.0
        self.min_slowness = 1.0
        self.min_queue_wait_s = 0.0

    def __getitem__(self, name: str) -> slot_upstream.SlotUpstream:
        return self._by_name[name]

    def set_members(self, ids: Iterable[str], now_s: float) -> None:
        """Sets the members of an undivided group."""
        self._members = list(dict.fromkeys(ids))
        members = set(self._members)
        for name, upstream in list(self._by_name.items()):
            if name not in members and not upstream.grants:
                del self._by_name[name]
        self.refresh(now_s)

    def get_or_add(
        self, name: str, now_s: float
    ) -> slot_upstream.SlotUpstream | None:
        """Returns an upstream; it is added if it is known, else None."""
        return self._by_name.get(name) or self._add(name, now_s)

    def _add(
        self, name: str, now_s: float
    ) -> slot_upstream.SlotUpstream | None:
        """Adds an upstream if it is known; returns None otherwise."""
        info = self._find_upstream(name) if name else None
        if info is None:
            return None
        slots = self._bounds.slots(name, info.slots)
        upstream = slot_upstream.SlotUpstream(name, max(slots, 1), now_s)
        upstream.is_usable = slots > 0
        upstream.is_cold = info.is_cold
        self._by_name[name] = upstream
        if upstream.is_usable:
            self.usable.append(upstream)
        return upstream

    def refresh_if_due(self, now_s: float) -> None:
        """Looks up the upstreams again at intervals of `INFO_INTERVAL_S`."""
        if now_s >= self._refreshed_s + INFO_INTERVAL_S:
            self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        """Looks up the upstreams again and sums up the usable ones."""
        self._refreshed_s = now_s
        for name in self._members:
            if name not in self._by_name:
                self._add(name, now_s)
        members = set(self._members)
        for name, upstream in list(self._by_name.items()):
            info = self._find_upstream(name)
            upstream.is_usable = False
            if info is None or (members and name not in members):
                if not upstream.grants:
                    del self._by_name[name]
                continue
            slots = self._bounds.slots(name, info.slots)
            if slots > 0:
                upstream.is_usable = True
                upstream.set_info(slots, info.is_cold)
        self.usable = [
            upstream
            for upstream in self._by_name.values()
            if upstream.is_usable
        ]
        slowness = [upstream.slowness(now_s) for upstream in self.usable]
        self.work_rate = sum(
            upstream.state.slots / ratio
            for upstream, ratio in zip(self.usable, slowness, strict=True)
        )
        waits_s = [upstream.queue_wait_s(now_s) for upstream in self.usable]
        self.min_slowness = min(slowness, default=1.0)
        self.min_queue_wait_s = min(waits_s, default=0.0)

    def candidates(
        self, request: slot_messages.SlotRequest
    ) -> list[slot_upstream.SlotUpstream]:
        """Returns the usable upstreams that may serve a request."""
        if request.group.upstream:
            upstream = self._by_name.get(request.group.upstream)
            if upstream is None or not upstream.is_usable:
                return []
            return [] if upstream.name in request.avoided else [upstream]
        if not request.avoided:
            return self.usable
        return [
            upstream
            for upstream in self.usable
            if upstream.name not in request.avoided
        ]
