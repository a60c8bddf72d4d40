"""Claims about news of the store between daemons."""

import asyncio
import json

import pytest

from sardinehill import errors
from sardinehill.core import fleet_messages
from sardinehill.front import store_replication as spreading_module
from sardinehill.front import store_view as view_module
from sardinehill.front import store_watch
from sardinehill.platform import names
from sardinehill.platform import store as store_module

KIND = names.UPSTREAMS_KIND


class FakeStore:
    """Answers lists with what the test put there; watches never end."""

    def __init__(self):
        self.failing_since_s = None
        self.objects = {}
        self.revision = 7
        self.listed_kinds = []
        self.is_down = False

    async def list_objects(self, kind):
        self.listed_kinds.append(kind)
        if self.is_down:
            raise store_module.StoreBusyError("down")
        found = [
            store_module.StoredObject(kind, name, 1, None, document)
            for name, document in self.objects.get(kind, {}).items()
        ]
        return found, self.revision

    async def watch(self, kind, revision):
        if self.is_down:
            raise store_module.StoreBusyError("down")
        await asyncio.Event().wait()
        yield [], revision

    async def get_stale(self, kind, name, timeout_s):
        if self.is_down:
            raise errors.StoreUnavailableError("down")


class Daemon:
    """One daemon's view with what feeds it."""

    def __init__(self):
        self.store = FakeStore()
        self.view = view_module.StoreView(
            asyncio.get_running_loop().time, lambda: None
        )
        self.watch = store_watch.StoreWatch(self.view, self.store)
        self.sent_changes = []
        self.query_count = 0
        self.answer = None
        self.spreading = spreading_module.StoreReplication(
            self.view, self.watch, self.query, self.sent_changes.append
        )

    async def query(self, query):
        self.query_count += 1
        return self.answer

    @property
    def upstreams(self):
        return self.view.kinds[1]

    def change(self, since, revision, documents=None, gone=()):
        self.spreading.apply_change(
            fleet_messages.StoreChange(
                KIND,
                since,
                revision,
                json.dumps(documents or {}).encode(),
                list(gone),
            )
        )


def upstream_document(address="127.0.0.1:1"):
    return {"address": address}


def run(story):
    async def body():
        part = Daemon()
        for watched in part.view.kinds:
            part.view.replace_documents(watched, {}, 3)
        part.sent_changes.clear()
        await story(part)

    asyncio.run(body())


async def run_for(part, seconds):
    tasks = [
        asyncio.ensure_future(part.watch.run()),
        asyncio.ensure_future(part.spreading.run()),
    ]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def table(revisions, reachable=True):
    return fleet_messages.LeaderTable(
        1,
        "a",
        "127.0.0.1:1",
        1,
        2,
        store_reachable=reachable,
        store_revisions=revisions,
    )


def test_change_is_applied_and_forwarded():
    async def story(part):
        part.change(3, 5, {"u": upstream_document(), "v": upstream_document()})
        part.change(5, 6, {"u": upstream_document("127.0.0.1:2")}, gone=["v"])
        assert part.upstreams.documents == {
            "u": upstream_document("127.0.0.1:2")
        }
        assert part.upstreams.revision == 6
        assert [
            (one.since_revision, one.revision) for one in part.sent_changes
        ] == [
            (3, 5),
            (5, 6),
        ]

    run(story)


def test_earlier_change_is_ignored():
    async def story(part):
        part.change(3, 6, {"u": upstream_document()})
        part.change(3, 5, gone=["u"])
        assert "u" in part.upstreams.documents

    run(story)


def test_removal_at_the_same_revision_is_applied():
    async def story(part):
        part.change(3, 6, {"u": upstream_document()})
        part.change(6, 6, gone=["u"])
        assert part.upstreams.documents == {}

    run(story)


def test_missed_change_causes_a_full_resync():
    async def story(part):
        part.answer = fleet_messages.StoreState(
            upstreams_revision=9,
            upstreams=json.dumps({"u": upstream_document()}).encode(),
        )
        part.change(8, 9, {"w": upstream_document()})
        assert part.upstreams.documents == {}
        await run_for(part, 0.05)
        assert part.query_count == 1
        assert part.upstreams.documents == {"u": upstream_document()}

    run(story)


@pytest.mark.parametrize("data", [b"{", b"[]"])
def test_malformed_change_is_ignored(data):
    async def story(part):
        part.change(3, 5, {"u": upstream_document()})
        part.spreading.apply_change(
            fleet_messages.StoreChange(KIND, 5, 6, data, ["u"])
        )
        assert part.upstreams.documents == {"u": upstream_document()}
        assert part.upstreams.revision == 5

    run(story)


def test_store_is_not_watched_while_the_leader_reaches_it():
    async def story(part):
        part.spreading.apply_table(table([3, 3, 3]))
        await run_for(part, store_watch.WATCH_DELAY_S * 2)
        assert part.store.listed_kinds == []

    run(story)


def test_store_is_watched_when_the_leader_loses_it():
    async def story(part):
        part.store.objects = {KIND: {"u": upstream_document()}}
        part.store.is_down = True
        part.spreading.apply_table(table([3, 3, 3]))
        task = asyncio.ensure_future(part.watch.run())
        await asyncio.sleep(0)
        part.spreading.apply_table(table([3, 3, 3], reachable=False))
        await asyncio.sleep(store_watch.WATCH_DELAY_S * 2)
        assert not part.view.store_reachable
        part.store.is_down = False
        await asyncio.sleep(store_watch.MAX_RETRY_S * 2)
        assert part.view.store_reachable
        assert part.upstreams.documents == {"u": upstream_document()}
        task.cancel()

    run(story)


def test_only_one_kind_is_retried_while_the_store_is_down():
    async def story(part):
        part.store.is_down = True
        await run_for(part, store_watch.WATCH_DELAY_S + 3.0)
        others = [kind for kind in part.store.listed_kinds if kind != "config"]
        assert len(others) <= 2
        assert len(part.store.listed_kinds) > 4

    run(story)


def test_daemon_behind_its_leader_queries_peers():
    async def story(part):
        part.spreading.apply_table(table([3, 4, 3]))
        await run_for(part, store_watch.WATCH_DELAY_S * 2)
        assert part.query_count >= 1

    run(story)


def test_probe_notices_a_lost_store():
    async def story(part):
        lost = asyncio.Event()
        check = asyncio.ensure_future(part.watch.run_probe(lost.set))
        part.store.is_down = True
        async with asyncio.timeout(3 * store_watch.PROBE_INTERVAL_S):
            await lost.wait()
        assert not part.view.store_reachable
        part.store.is_down = False
        await asyncio.sleep(2 * store_watch.PROBE_INTERVAL_S)
        assert part.view.store_reachable
        check.cancel()

    run(story)


def test_store_counts_as_reached_only_after_an_answer():
    async def story(part):
        part.spreading.apply_table(table([3, 3, 3]))
        task = asyncio.ensure_future(part.watch.run())
        await asyncio.sleep(0)
        assert part.view.store_reachable
        assert not part.view.store_answered_recently()
        part.store.is_down = True
        part.spreading.leader_lost()
        await asyncio.sleep(store_watch.WATCH_DELAY_S * 2)
        assert not part.view.store_answered_recently()
        part.store.is_down = False
        await asyncio.sleep(store_watch.MAX_RETRY_S * 2)
        assert part.view.store_answered_recently()
        task.cancel()

    run(story)


def test_probe_ignores_its_own_delay():
    # A starved leader of 65 daemons took its own delay for a lost store, and
    # one after the other handed over.
    async def story(part):
        async def late(kind, name, timeout_s):
            await asyncio.sleep(timeout_s + 2 * store_watch.MAX_LOOP_DELAY_S)
            raise errors.StoreUnavailableError("timed out")

        part.store.get_stale = late
        check = asyncio.ensure_future(part.watch.run_probe(lambda: None))
        await asyncio.sleep(
            store_watch.PROBE_INTERVAL_S
            + store_watch.PROBE_TIMEOUT_S
            + 4 * store_watch.MAX_LOOP_DELAY_S
        )
        assert part.view.store_reachable
        check.cancel()

    run(story)
