"""Remembers upstreams that have left, as an older list may name them again."""

from collections.abc import Callable

from sardinehill.core import routes

# A restored store goes back some seconds. It removes the entries that nobody
# writes any more within the time of a few heartbeats.
MEMORY_S = 60.0


class RemovedUpstreams:
    """The upstreams that were removed from the list lately."""

    def __init__(self, clock_s: Callable[[], float]):
        self._clock_s = clock_s
        # The upstream as last listed and when it was removed, by its id.
        self._by_id: dict[str, tuple[routes.Upstream, float]] = {}

    def add(self, upstream: routes.Upstream) -> None:
        """Records that an upstream was removed now."""
        now_s = self._clock_s()
        self._by_id = {
            name: item
            for name, item in self._by_id.items()
            if now_s - item[1] < MEMORY_S
        }
        self._by_id[upstream.id] = (upstream, now_s)

    def includes(self, upstream: routes.Upstream) -> bool:
        """Returns whether an entry was written before its upstream left."""
        removed, removed_s = self._by_id.get(upstream.id, (None, 0.0))
        if removed is None or self._clock_s() - removed_s >= MEMORY_S:
            return False
        if upstream.started_at_ms != removed.started_at_ms:
            return upstream.started_at_ms < removed.started_at_ms
        return (
            upstream.report_number is not None
            and removed.report_number is not None
            and upstream.report_number <= removed.report_number
        )
