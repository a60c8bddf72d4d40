"""Finds out whether an upstream has ended when a connection to it breaks."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from sardinehill import events
from sardinehill import http1
from sardinehill.core import crash_suspects
from sardinehill.core import keyspace
from sardinehill.core import routes
from sardinehill.core import upstream_lives
from sardinehill.front import pool as pool_module

# A connection that breaks is no proof. For this long a later start of the same
# upstream is taken for one.
CONFIRM_TIMEOUT_S = 5.0
CONFIRM_INTERVAL_S = 0.25


class CrashEvidence:
    """Turns broken connections into evidence against requests."""

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
        # The requests whose connection broke, by upstream, while that is
        # checked.
        self._pending: dict[keyspace.Incarnation, set[bytes]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def note_broken(self, upstream: routes.Upstream, digest: bytes) -> None:
        """Checks whether an upstream has ended while it ran a request."""
        digests = self._pending.get(upstream.incarnation)
        if digests is not None:
            digests.add(digest)
            return
        self._pending[upstream.incarnation] = {digest}
        check = asyncio.ensure_future(self._check(upstream))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, upstream: routes.Upstream) -> None:
        try:
            # A broken path may refuse connections, too.
            has_ended = await _refuses_connections(
                upstream.address
            ) and await self._reaches_others(upstream)
            if not has_ended:
                has_ended = await self._starts_again(upstream)
        finally:
            digests = self._pending.pop(upstream.incarnation)
        if has_ended:
            self._record(upstream, digests)

    async def _starts_again(self, upstream: routes.Upstream) -> bool:
        """Returns whether another start of an upstream is listed in time."""
        due_s = self._clock_s() + CONFIRM_TIMEOUT_S
        while self._clock_s() < due_s:
            listed = self._upstreams().get(upstream.id)
            if listed is not None and upstream_lives.replaces(listed, upstream):
                return True
            await asyncio.sleep(CONFIRM_INTERVAL_S)
        return False

    def _record(self, upstream: routes.Upstream, digests: set[bytes]) -> None:
        now_s = self._clock_s()
        name = f"{upstream.id}@{upstream.started_at_ms}"
        for digest in digests:
            self._suspects.record_ending(digest, name, now_s)
            events.log(
                events.REQUEST_SUSPECTED,
                digest=digest.hex(),
                upstream=upstream.id,
                endings=self._suspects.ending_count(digest),
                quarantine_s=round(
                    self._suspects.quarantine_s(digest, now_s), 1
                ),
            )


async def _refuses_connections(address: str) -> bool:
    try:
        connection = await http1.connect(address, pool_module.CONNECT_TIMEOUT_S)
    except http1.ConnectionFailedError as error:
        return error.refused
    connection.close()
    return False
