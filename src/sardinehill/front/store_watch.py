"""Watches three kinds of stored objects while no peer sends their changes."""

import asyncio
from collections.abc import Callable
import hashlib

from sardinehill import errors
from sardinehill import events
from sardinehill.core import store_versions
from sardinehill.front import store_view
from sardinehill.front import watched_kinds
from sardinehill.platform import names
from sardinehill.platform import store as store_module

MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.5
# Vanished entries whose grace is over are removed this often.
EXPIRY_INTERVAL_S = 0.1
# A watch pauses after a change, so that changes close together cost one call.
COALESCE_PAUSES_S = {
    names.CONFIG_KIND: 0.05,
    names.UPSTREAMS_KIND: 0.25,
    names.EVACUATIONS_KIND: 0.05,
}
_NEVER_S = -1e9
# A daemon that has lost its leader waits this long for another one before it
# watches the store itself.
WATCH_DELAY_S = 0.3
# In a large fleet, this many daemons do so. The others wait longer, as a new
# leader usually sends them the changes earlier than that.
FIRST_WATCHERS_COUNT = 16
LATER_WATCH_DELAY_S = 1.1
PROBE_INTERVAL_S = 0.25
# This is well above the latency of a slow store, because a leader that has lost
# the store hands over.
PROBE_TIMEOUT_S = 0.6
# A probe that ends later than this after its timeout was delayed by this
# process.
MAX_LOOP_DELAY_S = 0.1


def watch_delay_s(name: str, daemons: int) -> float:
    """Returns how long a daemon waits for a leader before it watches the store.

    Args:
      name: the daemon.
      daemons: how many daemons there are.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    is_first = int.from_bytes(digest) % max(daemons, 1) < FIRST_WATCHERS_COUNT
    return WATCH_DELAY_S if is_first else LATER_WATCH_DELAY_S


class StoreWatch:
    """Keeps a view up to date from the store while no peer does."""

    def __init__(
        self,
        view: store_view.StoreView,
        store: store_module.StoreClient,
        watch_delay_s: Callable[[], float] = lambda: WATCH_DELAY_S,
    ):
        """Creates a watch that relies on no peer.

        Args:
          view: is kept up to date.
          store: the store.
          watch_delay_s: returns how long to wait for a leader before watching
            the store.
        """
        self._view = view
        self._store = store
        self._watch_delay_s = watch_delay_s
        # Since when no peer has been relied on, by the loop's clock; None while
        # one is.
        self._unreliable_since_s: float | None = None
        self._relies_on_peers = False
        # Whether probes show that the store answers, so that a silent watch
        # means that nothing has changed.
        self._is_probing = False
        # Cleared while the store does not answer: then only the first kind is
        # retried.
        self._may_try_others = asyncio.Event()
        self._may_try_others.set()
        # The running watches by kind.
        self._watches: dict[str, asyncio.Task[None]] = {}
        # Set when peers become reliable or the store must be watched at once.
        self._reliance_changed = asyncio.Event()

    def rely_on_peers(self, enabled: bool) -> None:
        """Sets whether a peer is relied on to send the store's changes."""
        if enabled == self._relies_on_peers:
            return
        self._relies_on_peers = enabled
        if enabled:
            self._unreliable_since_s = None
        else:
            self._unreliable_since_s = asyncio.get_running_loop().time()
        self._reliance_changed.set()

    def watch_at_once(self) -> None:
        """Starts to watch the store without waiting for a leader."""
        self._relies_on_peers = False
        self._unreliable_since_s = _NEVER_S
        self._reliance_changed.set()

    async def run(self) -> None:
        """Watches the store while no peer is relied on, until cancelled."""
        if not self._relies_on_peers and self._unreliable_since_s is None:
            self._unreliable_since_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._remove_expired())
            while True:
                await self._wait_until_watch_is_due()
                await self._watch_until_peers_suffice()

    async def _wait_until_watch_is_due(self) -> None:
        """Waits until no peer has been relied on for the delay."""
        loop = asyncio.get_running_loop()
        while True:
            timeout_s: float | None = None
            if self._unreliable_since_s is not None:
                due_s = self._unreliable_since_s + self._watch_delay_s()
                timeout_s = due_s - loop.time()
                if timeout_s <= 0:
                    return
            try:
                async with asyncio.timeout(timeout_s):
                    await self._reliance_changed.wait()
            except TimeoutError:
                continue
            self._reliance_changed.clear()

    async def _watch_until_peers_suffice(self) -> None:
        self._may_try_others.set()
        for watched in self._view.kinds:
            # The first kind is always listed: a list is answered at once, while
            # a watch may be answered only after its wait time.
            needs_list = (
                watched is self._view.kinds[0]
                or watched.version == store_versions.NEVER_READ
            )
            self._start_watch(watched, needs_list)
        try:
            while not self._relies_on_peers:
                await self._reliance_changed.wait()
                self._reliance_changed.clear()
        finally:
            watches, self._watches = list(self._watches.values()), {}
            for watch in watches:
                watch.cancel()
            await asyncio.gather(*watches, return_exceptions=True)
            for watched in self._view.kinds:
                watched.watch_sent_s = None
        self._store.failing_since_s = None
        self._view.note_unwatched()

    def _start_watch(
        self, watched: watched_kinds.WatchedKind, needs_list: bool
    ) -> None:
        self._watches[watched.kind] = asyncio.ensure_future(
            self._watch(watched, needs_list)
        )

    def _replace_pending_watches(self) -> None:
        """Lists all kinds anew whose watch was sent before an outage ended.

        The store may never answer such a watch, even once it is back, nor one
        that was sent before it was restored.
        """
        for watched in self._view.kinds:
            if (
                watched.watch_sent_s is not None
                and watched.kind in self._watches
            ):
                watched.watch_sent_s = None
                self._watches[watched.kind].cancel()
                self._start_watch(watched, needs_list=True)

    async def _watch(
        self, watched: watched_kinds.WatchedKind, needs_list: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        retry_s = MIN_RETRY_S
        is_first_kind = watched is self._view.kinds[0]
        while True:
            try:
                if needs_list:
                    asked_s = loop.time()
                    listed = await self._store.list_objects(watched.kind)
                    was_lost = watched.lost_since_s is not None
                    self._view.apply_list(watched, *listed, asked_s)
                    if was_lost and is_first_kind:
                        self._replace_pending_watches()
                    needs_list = False
                    retry_s = MIN_RETRY_S
                    if is_first_kind:
                        self._may_try_others.set()
                stream = self._store.watch(watched.kind, watched.version)
                watched.watch_sent_s = loop.time()
                async for changes, version in stream:
                    if not self._is_probing:
                        self._view.note_watch_pending(watched, loop.time())
                    self._view.apply_changes(watched, changes, version)
                    retry_s = MIN_RETRY_S
                    await asyncio.sleep(COALESCE_PAUSES_S[watched.kind])
                    watched.watch_sent_s = loop.time()
            except store_module.WatchHistoryExpiredError:
                events.log(events.STORE_HISTORY_GONE, kind=watched.kind)
                watched.watch_sent_s = None
                needs_list = True
            except errors.StoreError as error:
                self._view.note_lost(watched, error)
                watched.watch_sent_s = None
                # A list is answered at once, so it shows early that the store
                # is back.
                needs_list = True
                if is_first_kind:
                    self._may_try_others.clear()
                await asyncio.sleep(retry_s)
                retry_s = min(retry_s * 1.6, MAX_RETRY_S)
                if not is_first_kind:
                    await self._may_try_others.wait()
            except Exception as error:
                # Without its watch, this daemon would miss all later changes.
                events.log_with_traceback(
                    events.TASK_FAILED, error, task=f"watch-{watched.kind}"
                )
                watched.watch_sent_s = None
                needs_list = True
                await asyncio.sleep(MAX_RETRY_S)

    async def run_probe(self, on_lost: Callable[[], None]) -> None:
        """Probes the store periodically until cancelled.

        Followers rely on this daemon, but a pending watch shows only late that
        the store is lost. Reads that may be stale show it early, at a tenth of
        the cost of other reads.

        Args:
          on_lost: called when the store is lost.
        """
        self._is_probing = True
        try:
            await self._probe_periodically(on_lost)
        finally:
            self._is_probing = False

    async def _probe_periodically(self, on_lost: Callable[[], None]) -> None:
        first = self._view.kinds[0]
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            probe_started_s = loop.time()
            try:
                await self._store.get_stale(
                    names.CONFIG_KIND, names.CONFIG_NAME, PROBE_TIMEOUT_S
                )
            except errors.StoreError as error:
                if (
                    loop.time() - probe_started_s
                    > PROBE_TIMEOUT_S + MAX_LOOP_DELAY_S
                ):
                    # This process was delayed itself, so the timeout does not
                    # show that the store is lost.
                    continue
                was_reachable = self._view.store_reachable
                self._view.note_lost(first, error)
                if was_reachable:
                    on_lost()
            else:
                was_lost = first.lost_since_s is not None
                self._view.note_answered(first)
                if was_lost or self._view.era < self._store.era:
                    self._replace_pending_watches()
                for watched in self._view.kinds:
                    self._view.note_watch_pending(watched, probe_started_s)

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._view.remove_expired()
