"""Watches the three kinds in the store while nobody else tells their news."""

import asyncio
from collections.abc import Callable

from sardinehill import errors
from sardinehill import events
from sardinehill.front import store_view as view_module
from sardinehill.platform import names
from sardinehill.platform import store as store_module

MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.5
EXPIRY_INTERVAL_S = 0.1
# After a change a watch pauses, so that changes that come together cost one
# call.
COALESCE_PAUSES_S = {
    names.CONFIG_KIND: 0.05,
    names.UPSTREAMS_KIND: 0.25,
    names.EVACUATIONS_KIND: 0.05,
}
# A daemon that has lost its leader waits so long for another before it watches.
WATCH_DELAY_S = 0.3
PROBE_INTERVAL_S = 0.25
# Well above what a slow store takes: a leader that lost it hands over.
PROBE_TIMEOUT_S = 0.6
MAX_LOOP_DELAY_S = 0.1


class StoreWatch:
    """Keeps a view up to date from the store."""

    def __init__(
        self, view: view_module.StoreView, store: store_module.StoreClient
    ):
        self._view = view
        self._store = store
        self._relies_on_peers = False
        # Of a store that does not answer only the first kind is tried.
        self._may_try_others = asyncio.Event()
        self._may_try_others.set()
        # Set by each change of whom this daemon relies on.
        self._reliance_changed = asyncio.Event()

    def rely_on_peers(self, enabled: bool) -> None:
        """Says whether a peer tells what changes in the store."""
        if enabled != self._relies_on_peers:
            self._relies_on_peers = enabled
            if enabled:
                self._reliance_changed.set()

    def watch_at_once(self) -> None:
        """Has the store watched without waiting for a leader."""
        self._relies_on_peers = False
        self._reliance_changed.set()

    async def run(self) -> None:
        """Watches whenever no peer can be relied on, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._remove_expired())
            while True:
                try:
                    async with asyncio.timeout(WATCH_DELAY_S):
                        await self._reliance_changed.wait()
                except TimeoutError:
                    pass
                self._reliance_changed.clear()
                if not self._relies_on_peers:
                    await self._watch_until_peers_suffice()

    async def _watch_until_peers_suffice(self) -> None:
        self._may_try_others.set()
        watches = [
            asyncio.ensure_future(self._watch(watched))
            for watched in self._view.kinds
        ]
        try:
            while not self._relies_on_peers:
                await self._reliance_changed.wait()
                self._reliance_changed.clear()
        finally:
            for watch in watches:
                watch.cancel()
            await asyncio.gather(*watches, return_exceptions=True)
        self._store.failing_since_s = None
        self._view.note_unwatched()

    async def _watch(self, watched: view_module.WatchedKind) -> None:
        retry_s = MIN_RETRY_S
        # Of the first kind at once, as a watch may be answered late.
        is_first = watched is self._view.kinds[0]
        must_list = is_first or watched.revision == 0
        while True:
            try:
                if must_list:
                    found = await self._store.list_objects(watched.kind)
                    self._view.apply_list(watched, *found)
                    must_list = False
                    retry_s = MIN_RETRY_S
                    if is_first:
                        self._may_try_others.set()
                stream = self._store.watch(watched.kind, watched.revision)
                async for changes, revision in stream:
                    self._view.apply_changes(watched, changes, revision)
                    retry_s = MIN_RETRY_S
                    await asyncio.sleep(COALESCE_PAUSES_S[watched.kind])
            except store_module.WatchHistoryExpiredError:
                events.log(events.STORE_HISTORY_GONE, kind=watched.kind)
                must_list = True
            except errors.StoreError as error:
                self._view.note_lost(watched, error)
                # A list answers at once, which shows that the store is back.
                must_list = True
                if is_first:
                    self._may_try_others.clear()
                await asyncio.sleep(retry_s)
                retry_s = min(retry_s * 1.6, MAX_RETRY_S)
                if not is_first:
                    await self._may_try_others.wait()

    async def run_probe(self, on_lost: Callable[[], None]) -> None:
        """Sees early that the store is lost, until cancelled.

        A watch that waits shows it late, and others rely on this daemon. Reads
        that may be stale show it too, and cost a tenth.

        Args:
          on_lost: called when it is.
        """
        first = self._view.kinds[0]
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            asked_s = loop.time()
            try:
                await self._store.get_stale(
                    names.CONFIG_KIND, names.CONFIG_NAME, PROBE_TIMEOUT_S
                )
            except errors.StoreError as error:
                if loop.time() - asked_s > PROBE_TIMEOUT_S + MAX_LOOP_DELAY_S:
                    # This daemon was late itself, so it proves nothing.
                    continue
                was_reachable = self._view.store_reachable
                self._view.note_lost(first, error)
                if was_reachable:
                    on_lost()
            else:
                self._view.note_answered(first)

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._view.remove_expired()
