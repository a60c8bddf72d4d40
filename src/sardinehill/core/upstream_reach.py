"""Decides whether this daemon is cut off from all upstreams.

Only new connections decide: a broken path may leave open connections alive, or
an upstream may drop them for reasons of its own. Failures on open connections
only make the state doubtful, so that new connections are tried.
"""

from collections.abc import Callable
from collections.abc import Mapping

from sardinehill.core import routes

# A failed attempt to connect counts for this long.
FAILURE_TTL_S = 2.0
# The daemon is cut off when attempts at this many upstreams have failed, or at
# all of them if there are fewer.
MIN_FAILED_UPSTREAMS = 3
# These failures show a cut if no other upstream answers for this long after the
# first of them. Several upstreams may end at once while the others go on
# answering.
MIN_SILENCE_S = 0.1
# The state is doubtful when this many upstreams have failed.
MIN_DOUBTFUL_UPSTREAMS = 2
# Although others answer on open connections, the daemon is also cut off when
# attempts at this many upstreams have failed for this long, and none has
# succeeded.
MIN_FAILED_AMONG_ANSWERING = 6
MIN_FAILING_AMONG_ANSWERING_S = 0.5
# It is connected again when attempts at this many upstreams have succeeded, or
# at all of them if there are fewer.
MIN_REACHED_UPSTREAMS = 2
_NEVER_S = float("-inf")

ReachListener = Callable[[bool], None]


class UpstreamReach:
    """What this daemon's attempts to reach upstreams show of its own links.

    All times are of one monotonic clock, in seconds.
    """

    def __init__(self, upstreams: Callable[[], Mapping[str, routes.Upstream]]):
        """Creates the state of a daemon that reaches the upstreams.

        Args:
          upstreams: returns the listed upstreams by id. Others do not count.
        """
        self._upstreams = upstreams
        # The first and the last of the consecutive failed attempts to connect,
        # by upstream, and the last failure on a connection that was open.
        self._failing_since_s: dict[str, float] = {}
        self._failed_s: dict[str, float] = {}
        self._broken_s: dict[str, float] = {}
        # The last successful attempt, and the last answer.
        self._reached_s: dict[str, float] = {}
        self._answered_s: dict[str, float] = {}
        self._last_reached_s = self._last_heard_s = _NEVER_S
        self._is_cut_off = False
        self._changed_s = _NEVER_S
        self._listeners: list[ReachListener] = []

    def subscribe(self, listener: ReachListener) -> None:
        """Calls a listener with `is_cut_off` after each change of it."""
        self._listeners.append(listener)

    # evidence

    def record_reached(self, upstream_id: str, now_s: float) -> None:
        """Records that a new connection to an upstream was opened."""
        self._reached_s[upstream_id] = now_s
        self._last_reached_s = self._last_heard_s = now_s
        self._failing_since_s.clear()
        self._failed_s.clear()
        self._broken_s.clear()
        if self._is_cut_off and self._has_regained():
            self._change(False, now_s)

    def record_failed(
        self, upstream_id: str, now_s: float, began_s: float | None = None
    ) -> None:
        """Records that a new connection to an upstream could not be opened.

        An attempt that began before another one succeeded does not count.

        Args:
          upstream_id: the upstream.
          now_s: the current time.
          began_s: when the attempt began; now if it failed at once.
        """
        since_s = now_s if began_s is None else began_s
        if since_s < self._last_reached_s:
            return
        self._failing_since_s.setdefault(upstream_id, since_s)
        self._failed_s[upstream_id] = now_s
        self._reached_s.pop(upstream_id, None)
        if not self._is_cut_off and self._shows_cut(now_s):
            self._change(True, now_s)

    def record_answer(self, upstream_id: str, now_s: float) -> None:
        """Records that an upstream has answered on an open connection."""
        self._answered_s[upstream_id] = self._last_heard_s = now_s

    def record_broken(self, upstream_id: str, now_s: float) -> None:
        """Records that an open connection ended without an answer."""
        self._broken_s[upstream_id] = now_s

    # what it shows

    def is_cut_off(self, now_s: float) -> bool:
        """Returns whether this daemon reaches no upstream."""
        return self._is_cut_off

    def was_cut_off_since(self, since_s: float) -> bool:
        """Returns whether this daemon was cut off at any time since then."""
        return self._is_cut_off or self._changed_s >= since_s

    def failed(self, now_s: float) -> set[str]:
        """Returns the upstreams to which connecting failed.

        Failures before the last success at any upstream do not count, nor those
        longer than `FAILURE_TTL_S` ago.
        """
        return self._recent(self._failed_s, now_s)

    def answered_since(self, since_s: float) -> set[str]:
        """Returns the upstreams that have answered after a point in time."""
        return {
            name
            for name, answered_s in self._answered_s.items()
            if answered_s > since_s
        }

    def is_doubtful(self, now_s: float) -> bool:
        """Returns whether failures may be those of this daemon's own links.

        A failure at a single upstream is taken for the upstream's own.
        """
        doubtful_count = min(MIN_DOUBTFUL_UPSTREAMS, len(self._upstreams()))
        failed_count = self._count_failed_or_broken(now_s)
        return self._is_cut_off or failed_count >= max(doubtful_count, 1)

    def should_probe(self, now_s: float) -> bool:
        """Returns whether new connections should be opened as probes now."""
        return self._is_cut_off or self._count_failed_or_broken(now_s) > 0

    def _count_failed_or_broken(self, now_s: float) -> int:
        broken = self._recent(self._broken_s, now_s)
        return len(self.failed(now_s) | broken)

    def last_heard_s(self) -> float:
        """Returns when an upstream last answered or was connected to."""
        return self._last_heard_s

    def forget_unlisted(self) -> None:
        """Removes the times of upstreams that are no longer listed."""
        listed = self._upstreams()
        for times_s in (
            self._failing_since_s,
            self._failed_s,
            self._broken_s,
            self._reached_s,
            self._answered_s,
        ):
            for name in [name for name in times_s if name not in listed]:
                del times_s[name]

    # internal methods

    def _recent(self, times_s: dict[str, float], now_s: float) -> set[str]:
        """Returns the listed upstreams whose failure is recent."""
        listed = self._upstreams()
        return {
            name
            for name, failed_s in times_s.items()
            if now_s - failed_s <= FAILURE_TTL_S and name in listed
        }

    def _shows_cut(self, now_s: float) -> bool:
        failing = self.failed(now_s)
        if not self._can_show_cut(failing):
            return False
        answering_count = sum(
            self._answered_s.get(name, _NEVER_S) > self._failing_since_s[name]
            for name in failing
        )
        if answering_count >= MIN_FAILED_UPSTREAMS:
            # Upstreams that answer on open connections have not ended, so the
            # failures of new ones are those of this daemon's links.
            return True
        return self._fails_where_others_answer(
            failing, now_s
        ) or self._are_others_silent(failing, now_s)

    def _fails_where_others_answer(
        self, failing: set[str], now_s: float
    ) -> bool:
        """Returns whether new connections fail wherever open ones work.

        That is in all zones and services of the upstreams that answer.
        """
        first_s = min(self._failing_since_s[name] for name in failing)
        if (
            len(failing) < MIN_FAILED_AMONG_ANSWERING
            or now_s - first_s < MIN_FAILING_AMONG_ANSWERING_S
        ):
            return False
        listed = self._upstreams()
        answering = [
            listed[name]
            for name in self.answered_since(first_s)
            if name in listed
        ]
        return all(
            {group_of(upstream) for upstream in answering}
            <= {group_of(listed[name]) for name in failing}
            for group_of in (_zone, _service)
        )

    def _can_show_cut(self, failing: set[str]) -> bool:
        """Returns whether failures are enough to show a cut of this daemon.

        Those in a single availability zone or service are not.
        """
        listed = self._upstreams()
        if len(failing) < min(MIN_FAILED_UPSTREAMS, len(listed)):
            return False
        for group_of in (_zone, _service):
            groups = {group_of(upstream) for upstream in listed.values()}
            failing_groups = {group_of(listed[name]) for name in failing}
            if len(failing_groups) < min(2, len(groups)):
                return False
        return True

    def _are_others_silent(self, failing: set[str], now_s: float) -> bool:
        """Returns whether only failing upstreams answered since they failed.

        The failures that began last are looked at, so that upstreams that have
        been away for longer do not count.
        """
        latest_first = sorted(
            failing, key=self._failing_since_s.__getitem__, reverse=True
        )
        considered = set()
        for name in latest_first:
            considered.add(name)
            since_s = self._failing_since_s[name]
            if now_s - since_s >= MIN_SILENCE_S and self._can_show_cut(
                considered
            ):
                return self.answered_since(since_s) <= failing
        return False

    def _has_regained(self) -> bool:
        """Returns whether enough upstreams were reached since the cut."""
        reached_count = sum(
            reached_s >= self._changed_s
            for reached_s in self._reached_s.values()
        )
        return reached_count >= min(
            MIN_REACHED_UPSTREAMS, max(len(self._upstreams()), 1)
        )

    def _change(self, is_cut_off: bool, now_s: float) -> None:
        self._is_cut_off = is_cut_off
        self._changed_s = now_s
        self._reached_s.clear()
        for listener in self._listeners:
            listener(is_cut_off)


def _zone(upstream: routes.Upstream) -> str:
    return upstream.zone


def _service(upstream: routes.Upstream) -> str:
    return upstream.service
