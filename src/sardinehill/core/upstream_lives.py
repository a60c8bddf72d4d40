"""Orders the lives of an upstream, each of which begins with a start.

A start time is taken from the clock of the upstream's host, which may go back.
It tells two lives apart and does not order them. What orders them is the
version of the store that listed each: the life that the newest version lists is
the present one. See `docs/design/lives.md`.
"""

from collections.abc import Callable
import dataclasses

from sardinehill.core import routes
from sardinehill.core import store_versions

# A restored store goes back some seconds. It removes the entries that nobody
# writes any more within the time of a few heartbeats. After this time an entry
# of a life that has been replaced or removed is taken as it is listed.
MEMORY_S = 60.0


def replaces(listed: routes.Upstream, known: routes.Upstream) -> bool:
    """Returns whether a listed life takes the place of a known one.

    Args:
      listed: the upstream as listed now.
      known: the upstream as it was listed before.
    """
    return (
        listed.id == known.id
        and listed.incarnation != known.incarnation
        and not listed.listed_at < known.listed_at
    )


@dataclasses.dataclass(slots=True)
class _Life:
    """What is known of one life.

    Attributes:
      upstream: its entry as last listed.
      listed_at: the version of the store that first listed it, or listed it
        again after it had ended.
      ended_s: when it was replaced or removed; None while it is listed.
    """

    upstream: routes.Upstream
    listed_at: store_versions.StoreVersion
    ended_s: float | None = None


class UpstreamLives:
    """The listed lives of all upstreams and those that ended lately."""

    def __init__(self, clock_s: Callable[[], float]):
        self._clock_s = clock_s
        # By the id, and then by the start time.
        self._by_id: dict[str, dict[int, _Life]] = {}

    def is_outdated(self, upstream: routes.Upstream) -> bool:
        """Returns whether an entry is an older copy of a life that is known.

        Only a living upstream counts on, so a life that has ended is taken for
        the present one again only by an entry with a higher number than its
        last one. Where that can't be told, since the entry has no number or no
        valid start time, the store's version decides.
        """
        life = self._life(upstream)
        if life is None:
            return False
        if life.ended_s is None:
            return upstream.is_outdated_by(life.upstream)
        if self._clock_s() - life.ended_s >= MEMORY_S:
            return False
        return not upstream.is_later_report_than(life.upstream)

    def list(
        self,
        upstreams: dict[str, routes.Upstream],
        version: store_versions.StoreVersion,
    ) -> dict[str, routes.Upstream]:
        """Records which lives are listed.

        Args:
          upstreams: the upstreams by id, without outdated entries.
          version: the version of the store that lists them.

        Returns:
          The upstreams with the version that each life is listed at.
        """
        now_s = self._clock_s()
        self._end_unlisted(upstreams, now_s)
        listed: dict[str, routes.Upstream] = {}
        for name, upstream in upstreams.items():
            life = self._life(upstream)
            if life is None or life.ended_s is not None:
                life = _Life(upstream, version)
                lives = self._by_id.setdefault(name, {})
                lives[upstream.started_at_ms] = life
            if upstream.listed_at != life.listed_at:
                upstream = dataclasses.replace(
                    upstream, listed_at=life.listed_at
                )
            life.upstream = upstream
            listed[name] = upstream
        return listed

    def _life(self, upstream: routes.Upstream) -> _Life | None:
        return self._by_id.get(upstream.id, {}).get(upstream.started_at_ms)

    def _end_unlisted(
        self, upstreams: dict[str, routes.Upstream], now_s: float
    ) -> None:
        """Ends the lives that are not listed, and forgets the oldest."""
        for name, lives in list(self._by_id.items()):
            listed = upstreams.get(name)
            for started_at_ms, life in list(lives.items()):
                if listed is not None and listed.started_at_ms == started_at_ms:
                    continue
                if life.ended_s is None:
                    life.ended_s = now_s
                elif now_s - life.ended_s >= MEMORY_S:
                    del lives[started_at_ms]
            if not lives:
                del self._by_id[name]
