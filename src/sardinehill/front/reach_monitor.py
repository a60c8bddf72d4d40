"""Watches whether this daemon reaches the upstreams, and probes when in doubt.

Requests show whether upstreams are reached. While that is in doubt, as several
upstreams fail or none answers, connections are opened to a few of them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import random

from sardinehill import events
from sardinehill import http1
from sardinehill.core import routes
from sardinehill.core import upstream_reach
from sardinehill.front import pool as pool_module

CHECK_INTERVAL_S = 0.1
# Upstreams are probed when none has answered for this long, although a request
# was sent at least as long ago.
MAX_SILENCE_S = 0.3
# A leader probes them when none has answered for this long, also while it has
# no requests.
MAX_LEADER_SILENCE_S = 0.6
PROBES_PER_ROUND = 3
# A first probe that takes longer than this is followed by a full round.
USUAL_CONNECT_TIME_S = 0.1
# The time to the next round while this daemon is cut off, and after a probe
# that reached an upstream.
CUT_OFF_PROBE_INTERVAL_S = 0.25
REACHED_PROBE_INTERVAL_S = 0.6
# How many others are probed to tell the end of an upstream from a cut.
MAX_OTHERS_PROBED = 2
MAX_LOGGED_UPSTREAMS = 8

PoolOf = Callable[[routes.Upstream], pool_module.ConnectionPool | None]


class ReachMonitor:
    """Feeds `UpstreamReach` with what requests and probes show.

    Public attributes:
      state: what they show.
    """

    def __init__(
        self,
        upstreams: Callable[[], Mapping[str, routes.Upstream]],
        pool_of: PoolOf,
        clock_s: Callable[[], float],
        leads: Callable[[], bool] = lambda: False,
    ):
        """Creates a monitor; nothing is probed until `run` is called.

        Args:
          upstreams: returns the listed upstreams by id.
          pool_of: returns the pool of an upstream, or None.
          clock_s: the event loop's clock.
          leads: returns whether this daemon leads the fleet. It must notice a
            cut then even if it has no requests.
        """
        self.state = upstream_reach.UpstreamReach(upstreams)
        self._upstreams = upstreams
        self._pool_of = pool_of
        self._clock_s = clock_s
        self._leads = leads
        # When the request on each connection was sent, oldest first.
        self._sent_s: dict[http1.Connection, float] = {}
        self._probes: set[asyncio.Task[bool]] = set()
        self._next_round_s = 0.0
        self._round_began_s = 0.0
        self._is_first_round = False
        self._last_change_s = clock_s()
        self.state.subscribe(self._log_change)

    def is_cut_off(self) -> bool:
        """Returns whether this daemon reaches no upstream now."""
        return self.state.is_cut_off(self._clock_s())

    def cut_off_for_s(self) -> float:
        """Returns how long this daemon has been cut off, or 0."""
        if not self.is_cut_off():
            return 0.0
        return self._clock_s() - self._last_change_s

    def is_silent(self) -> bool:
        """Returns whether upstreams no longer answer on open connections."""
        return self._is_unanswered(self._clock_s())

    def hears_upstreams(self) -> bool:
        """Returns whether upstreams are reached and requests are answered.

        False already before it is certain that this daemon is cut off.
        """
        now_s = self._clock_s()
        return not self.is_cut_off() and not self._is_unanswered(now_s)

    # what requests show

    def note_attempt(
        self, upstream_id: str, is_success: bool, began_s: float
    ) -> None:
        """Records the outcome of an attempt to connect to an upstream."""
        if is_success:
            self.state.record_reached(upstream_id, self._clock_s())
        else:
            self.state.record_failed(upstream_id, self._clock_s(), began_s)

    def note_sent(self, connection: http1.Connection) -> None:
        """Records that a request was sent over a connection."""
        self._sent_s[connection] = self._clock_s()

    def note_done(self, connection: http1.Connection) -> None:
        """Records that the exchange on a connection has ended in any way."""
        self._sent_s.pop(connection, None)

    def note_answer(self, upstream_id: str) -> None:
        """Records that an upstream has answered."""
        self.state.record_answer(upstream_id, self._clock_s())

    def note_broken(self, upstream_id: str) -> None:
        """Records that an exchange ended without an answer."""
        self.state.record_broken(upstream_id, self._clock_s())

    # probes

    async def run(self) -> None:
        """Probes upstreams while the state is in doubt, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = self._clock_s()
            if self._is_due(now_s):
                interval_s = (
                    CUT_OFF_PROBE_INTERVAL_S
                    if self.is_cut_off()
                    else CHECK_INTERVAL_S
                )
                self._next_round_s = now_s + interval_s
                self._start_round(now_s)
            self.state.forget_unlisted()

    def _is_due(self, now_s: float) -> bool:
        if self.is_cut_off():
            return now_s >= self._next_round_s
        if self._probes:
            # The first probe should have connected long ago.
            return (
                self._is_first_round
                and now_s - self._round_began_s >= USUAL_CONNECT_TIME_S
            )
        if now_s < self._next_round_s:
            return False
        return self.state.should_probe(now_s) or self._should_probe_silent(
            now_s
        )

    def _should_probe_silent(self, now_s: float) -> bool:
        """Returns whether upstreams have been silent for too long."""
        heard_s = self.state.last_heard_s()
        if self._leads() and now_s - heard_s >= MAX_LEADER_SILENCE_S:
            return True
        return self._is_unanswered(now_s)

    def _is_unanswered(self, now_s: float) -> bool:
        """Returns whether requests have been unanswered for `MAX_SILENCE_S`."""
        heard_s = self.state.last_heard_s()
        oldest_sent_s = next(iter(self._sent_s.values()), now_s)
        return now_s - max(oldest_sent_s, heard_s) >= MAX_SILENCE_S

    def _start_round(self, now_s: float) -> None:
        """Starts a first round of one probe, which usually shows enough.

        If its connection is not open soon, a full round follows.
        """
        is_continued = self.is_cut_off() or bool(self._probes)
        is_answered = bool(self.state.answered_since(now_s - CHECK_INTERVAL_S))
        self._is_first_round = not is_continued and (
            is_answered or not self.state.failed(now_s)
        )
        self._round_began_s = now_s
        count = 1 if self._is_first_round else PROBES_PER_ROUND
        for upstream in self._choose(now_s, count):
            probe = asyncio.ensure_future(self._probe(upstream))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)

    def _choose(self, now_s: float, count: int) -> list[routes.Upstream]:
        """Returns upstreams to probe, in different zones and services.

        Those that failed last are left for the end. Those that have just
        answered come first.
        """
        failed = self.state.failed(now_s)
        answering = self.state.answered_since(now_s - CHECK_INTERVAL_S)
        remaining = [
            upstream
            for upstream in self._upstreams().values()
            if not upstream.is_draining
        ]
        random.shuffle(remaining)
        remaining.sort(
            key=lambda upstream: (
                upstream.id in failed,
                upstream.id not in answering,
            )
        )
        chosen: list[routes.Upstream] = []
        while remaining and len(chosen) < count:
            best = min(remaining, key=lambda other: _overlap(other, chosen))
            remaining.remove(best)
            chosen.append(best)
        return chosen

    async def _probe(self, upstream: routes.Upstream) -> bool:
        """Opens a connection; returns whether the upstream was reached.

        The connection is kept if the pool has none.
        """
        pool = self._pool_of(upstream)
        if pool is None:
            return False
        try:
            connection = await pool.open(pool_module.CONNECT_TIMEOUT_S)
        except http1.ConnectionFailedError:
            return False
        if not self.is_cut_off():
            self._next_round_s = self._clock_s() + REACHED_PROBE_INTERVAL_S
        if pool.has_idle():
            connection.close()
        else:
            pool.release(connection)
        return True

    async def reaches_others(self, upstream: routes.Upstream) -> bool:
        """Returns whether another upstream is reached now.

        Those in the availability zone of the given one are probed first, as a
        broken path may lead to the zone only.
        """
        others = [
            other
            for other in self._upstreams().values()
            if other.id != upstream.id and not other.is_draining
        ]
        random.shuffle(others)
        others.sort(key=lambda other: other.zone != upstream.zone)
        for other in others[:MAX_OTHERS_PROBED]:
            if await self._probe(other):
                return True
        return False

    def _log_change(self, is_cut_off: bool) -> None:
        now_s = self._clock_s()
        if is_cut_off:
            failed = sorted(self.state.failed(now_s))
            events.log(
                events.DAEMON_CUT_OFF,
                failed=failed[:MAX_LOGGED_UPSTREAMS],
                failed_count=len(failed),
                silent_s=round(now_s - self.state.last_heard_s(), 3),
            )
        else:
            events.log(
                events.REACH_REGAINED,
                cut_off_s=round(now_s - self._last_change_s, 3),
            )
        self._last_change_s = now_s
        self._next_round_s = now_s


def _overlap(
    upstream: routes.Upstream, chosen: Iterable[routes.Upstream]
) -> int:
    """Returns how much an upstream has in common with others."""
    return sum(
        (other.zone == upstream.zone) + (other.service == upstream.service)
        for other in chosen
    )
