"""Finds out whether an upstream has ended while it ran a request.

It may end before it has begun to answer, within its answer, or in silence. The
end of an answer without a length may be the end of the upstream, too.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import math

from sardinehill import events
from sardinehill import http1
from sardinehill.core import crash_suspects
from sardinehill.core import keyspace
from sardinehill.core import routes
from sardinehill.core import upstream_lives
from sardinehill.front import pool as pool_module

# The end of an exchange is no proof. For this long after it, a later start of
# the same upstream or refused connections are taken for one.
CONFIRM_TIMEOUT_S = 5.0
CONFIRM_INTERVAL_S = 0.25
# How long after the last connection another one is opened to see whether it is
# refused: after a broken exchange, and after an answer without a length.
BROKEN_PROBE_INTERVAL_S = 1.0
ANSWERED_PROBE_INTERVAL_S = CONFIRM_TIMEOUT_S


class _End(enum.Enum):
    """How an exchange ended.

    BROKEN: the connection broke.
    ANSWERED: the connection's end was that of an answer without a length.
    GIVEN_UP: no answer came in time, or the caller left.
    """

    BROKEN = enum.auto()
    ANSWERED = enum.auto()
    GIVEN_UP = enum.auto()


@dataclasses.dataclass(slots=True)
class _Watch:
    """The exchanges to which the end of one upstream matters.

    Attributes:
      ended_s: when exchanges ended last, by request and how.
      probed_s: when a connection was opened last.
      probe_due_s: when the next one is to be opened.
      has_vanished: whether the upstream's entry was seen to be missing.
      is_leaving: whether the upstream was seen to drain. One that leaves ends
        after whatever it has answered last.
    """

    ended_s: dict[tuple[bytes, _End], float] = dataclasses.field(
        default_factory=dict
    )
    probed_s: float = -math.inf
    probe_due_s: float = math.inf
    has_vanished: bool = False
    is_leaving: bool = False


class CrashEvidence:
    """Turns exchanges without a certain end into evidence against requests."""

    def __init__(
        self,
        suspects: crash_suspects.CrashSuspects,
        upstreams: Callable[[], dict[str, routes.Upstream]],
        clock_s: Callable[[], float],
        reaches_others: Callable[[routes.Upstream], Awaitable[bool]],
    ):
        """Creates an object without pending checks.

        Args:
          suspects: is told of requests whose upstream has ended.
          upstreams: returns the listed upstreams by id.
          clock_s: the clock of `suspects`.
          reaches_others: returns whether another upstream, if possible on the
            same path as the given one, is reached now.
        """
        self._suspects = suspects
        self._upstreams = upstreams
        self._clock_s = clock_s
        self._reaches_others = reaches_others
        self._watches: dict[keyspace.Incarnation, _Watch] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def note_broken(self, upstream: routes.Upstream, digest: bytes) -> None:
        """Checks whether an upstream has ended, as a connection to it broke."""
        self._note(upstream, digest, _End.BROKEN, BROKEN_PROBE_INTERVAL_S)

    def note_end_of_answer(
        self, upstream: routes.Upstream, digest: bytes
    ) -> None:
        """Checks whether an upstream has ended with its connection.

        The connection's end was that of an answer without a length. If the
        upstream has not ended, it has run the request to an end.
        """
        self._note(upstream, digest, _End.ANSWERED, ANSWERED_PROBE_INTERVAL_S)

    def note_given_up(self, upstream: routes.Upstream, digest: bytes) -> None:
        """Checks whether an upstream ends soon after a request was given up.

        Requests are given up often, so no connection is opened unless the
        upstream's entry vanishes.
        """
        self._note(upstream, digest, _End.GIVEN_UP, math.inf)

    def _note(
        self,
        upstream: routes.Upstream,
        digest: bytes,
        end: _End,
        probe_interval_s: float,
    ) -> None:
        watch = self._watches.get(upstream.incarnation)
        if watch is None:
            watch = self._watches[upstream.incarnation] = _Watch()
            task = asyncio.ensure_future(self._run(upstream, watch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        now_s = self._clock_s()
        watch.ended_s[digest, end] = now_s
        if math.isfinite(probe_interval_s):
            watch.probe_due_s = min(
                watch.probe_due_s,
                max(watch.probed_s + probe_interval_s, now_s),
            )

    async def _run(self, upstream: routes.Upstream, watch: _Watch) -> None:
        try:
            while watch.ended_s:
                if await self._has_ended(upstream, watch):
                    self._record_end(upstream, watch)
                    return
                self._expire(watch)
                await asyncio.sleep(CONFIRM_INTERVAL_S)
        finally:
            del self._watches[upstream.incarnation]

    async def _has_ended(
        self, upstream: routes.Upstream, watch: _Watch
    ) -> bool:
        listed = self._upstreams().get(upstream.id)
        now_s = self._clock_s()
        if listed is None:
            if not watch.has_vanished:
                # Entries also vanish before upstreams leave.
                watch.has_vanished = True
                watch.probe_due_s = now_s
        elif upstream_lives.replaces(listed, upstream):
            return True
        else:
            watch.is_leaving |= listed.is_draining
        if now_s < watch.probe_due_s:
            return False
        watch.probe_due_s = math.inf
        watch.probed_s = now_s
        # A broken path may refuse connections, too.
        return await _refuses_connections(
            upstream.address
        ) and await self._reaches_others(upstream)

    def _expire(self, watch: _Watch) -> None:
        """Forgets exchanges after which the upstream has lived on."""
        limit_s = self._clock_s() - CONFIRM_TIMEOUT_S
        for (digest, end), ended_s in list(watch.ended_s.items()):
            if ended_s < limit_s:
                del watch.ended_s[digest, end]
                if end is _End.ANSWERED:
                    self._suspects.record_survival(digest, ended_s)

    def _record_end(self, upstream: routes.Upstream, watch: _Watch) -> None:
        for (digest, end), ended_s in watch.ended_s.items():
            if end is _End.BROKEN or not watch.is_leaving:
                self._record_ending(upstream, digest)
            elif end is _End.ANSWERED:
                self._suspects.record_survival(digest, ended_s)

    def _record_ending(self, upstream: routes.Upstream, digest: bytes) -> None:
        now_s = self._clock_s()
        name = f"{upstream.id}@{upstream.started_at_ms}"
        self._suspects.record_ending(digest, name, now_s)
        events.log(
            events.REQUEST_SUSPECTED,
            digest=digest.hex(),
            upstream=upstream.id,
            endings=self._suspects.ending_count(digest),
            quarantine_s=round(self._suspects.quarantine_s(digest, now_s), 1),
        )


async def _refuses_connections(address: str) -> bool:
    try:
        connection = await http1.connect(address, pool_module.CONNECT_TIMEOUT_S)
    except http1.ConnectionFailedError as error:
        return error.refused
    connection.close()
    return False
