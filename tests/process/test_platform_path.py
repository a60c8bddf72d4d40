"""Tests requests through daemon processes in the platform's formats."""

import asyncio
import collections
import os
import signal
import time

import pytest

from tests.common import platform_fleet


@pytest.fixture
def fleet(tmp_path):
    fleet = platform_fleet.PlatformFleet(tmp_path)
    try:
        for daemon in fleet.daemons:
            fleet.run(fleet.wait_until_served(daemon))
        yield fleet
    finally:
        fleet.close()


def runs_with_id(fleet, request_id):
    return [
        run
        for upstream in fleet.upstreams.values()
        for run in upstream.runs
        if run.request_id == request_id
    ]


def test_a_request_reaches_the_owner_without_the_account_key(fleet):
    reply = fleet.run(
        fleet.send_request(
            fleet.daemons[0], "/stock/a?q=1", 7, "one", **{"X-Tenant-Id": "x"}
        )
    )
    assert reply.status == 200
    assert "X-Response-Stamp" in reply.headers
    (run,) = runs_with_id(fleet, "one")
    assert run.account == "trattoria"
    assert "X-Credential" not in run.headers
    assert run.headers["X-Shard-Key"] == "7"
    assert 0 < int(run.headers["X-Deadline-Ms"]) <= 1000


def test_unknown_account_key_or_route_reaches_no_upstream(fleet):
    daemon = fleet.daemons[0]
    refused = fleet.run(
        fleet.send_request(daemon, "/stock/a", account_key="no")
    )
    unknown = fleet.run(fleet.send_request(daemon, "/nowhere/"))
    assert (refused.status, unknown.status) == (401, 404)
    assert runs_with_id(fleet, "r1") == []


def test_a_key_has_one_owner_at_a_time_over_all_daemons(fleet):
    async def scenario():
        for index in range(40):
            await fleet.send_request(
                fleet.daemons[index % 2], "/stock/a", 5, f"same-{index}"
            )

    fleet.run(scenario())
    owners = {
        name
        for name, upstream in fleet.upstreams.items()
        if any(run.request_id.startswith("same-") for run in upstream.runs)
    }
    assert len(owners) == 1


def test_answer_to_another_request_is_never_returned(fleet):
    for upstream in fleet.upstreams.values():
        upstream.mode = "extra"
    reply = fleet.run(
        fleet.send_request(fleet.daemons[0], "/stock/a", 7, "mine")
    )
    assert reply.text != "wrong"
    assert reply.headers["X-Request-Id"] == "mine"


def test_answer_without_content_length_is_returned_without_one(fleet):
    for upstream in fleet.upstreams.values():
        upstream.mode = "unframed"
    reply = fleet.run(
        fleet.send_request(fleet.daemons[0], "/stock/a", 7, "bare")
    )
    assert (reply.status, reply.text) == (200, "bare answer")
    assert "Content-Length" not in reply.headers


def test_head_request_does_not_wait_for_a_body(fleet):
    reply = fleet.run(
        fleet.send_request(
            fleet.daemons[0], "/stock/a", 7, "head", method="HEAD"
        )
    )
    assert (reply.status, reply.text) == (200, "")


def test_non_idempotent_request_cut_short_runs_once(fleet):
    for upstream in fleet.upstreams.values():
        upstream.mode = "cut"
    reply = fleet.run(
        fleet.send_request(
            fleet.daemons[0], "/stock/book/a", 7, "book", method="POST"
        )
    )
    assert reply.status == 502
    assert len(runs_with_id(fleet, "book")) == 1


def test_refusal_that_comes_twice_does_not_make_a_request_run_twice(fleet):
    for upstream in fleet.upstreams.values():
        upstream.mode = "repeat"
        upstream.service_time_s = 0.1
    for number in range(20):
        reply = fleet.run(
            fleet.send_request(
                fleet.daemons[0],
                "/stock/book/a",
                7,
                f"again-{number}",
                method="POST",
            )
        )
        runs = len(runs_with_id(fleet, f"again-{number}"))
        assert runs <= 1
        assert runs == 0 or reply.status != 503


def test_request_shed_by_every_upstream_is_reported_as_not_run(fleet):
    for upstream in fleet.upstreams.values():
        upstream.mode = "shed"
    reply = fleet.run(
        fleet.send_request(
            fleet.daemons[0], "/stock/book/a", 7, "shed", method="POST"
        )
    )
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert runs_with_id(fleet, "shed") == []


# Guards against this failure: an upstream's 408 or 429 after the work was
# handed on, and callers took it for the promise that nothing was booked.
@pytest.mark.parametrize("in_chunks", [False, True])
@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_failure_of_a_request_that_has_run_promises_nothing(
    fleet, status, in_chunks
):
    for upstream in fleet.upstreams.values():
        upstream.mode = "failing"
        upstream.failure_status = status
        upstream.answers_in_chunks = in_chunks
    for path, key in (("/stock/book/a", 7), ("/stock/a", 7), ("/view/a", None)):
        request_id = f"failed{path}"
        reply = fleet.run(
            fleet.send_request(
                fleet.daemons[0], path, key, request_id, method="POST"
            )
        )
        assert reply.status == 502
        assert "X-Response-Stamp" not in reply.headers
        runs = len(runs_with_id(fleet, request_id))
        assert runs == 1 or path != "/stock/book/a"


@pytest.mark.parametrize("status", [400, 404, 409, 413, 500])
def test_failure_that_promises_nothing_is_handed_on(fleet, status):
    for upstream in fleet.upstreams.values():
        upstream.mode = "failing"
        upstream.failure_status = status
    reply = fleet.run(
        fleet.send_request(
            fleet.daemons[0], "/stock/book/a", 7, "failed", method="POST"
        )
    )
    assert (reply.status, reply.text) == (status, "failed")
    assert len(runs_with_id(fleet, "failed")) == 1


def test_request_that_ended_in_the_upstreams_queue_is_reported_as_not_run(
    fleet,
):
    for upstream in fleet.upstreams.values():
        upstream.mode = "queue"
    for number in range(5):
        started_s = time.monotonic()
        reply = fleet.run(
            fleet.send_request(
                fleet.daemons[0],
                "/stock/book/a",
                7,
                f"queued-{number}",
                method="POST",
                wait_ms=5000,
            )
        )
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert 0.9 < time.monotonic() - started_s < 1.5


def test_request_past_its_route_timeout_is_answered_at_once(fleet):
    for upstream in fleet.upstreams.values():
        upstream.mode = "silent"
    started_s = time.monotonic()
    reply = fleet.run(
        fleet.send_request(
            fleet.daemons[0], "/stock/a", 7, "slow", wait_ms=5000
        )
    )
    assert reply.status == 504
    assert time.monotonic() - started_s < 1.5


def test_revoked_account_key_never_works_again(fleet):
    fleet.run(fleet.put_config(9, keys=("another",)))

    async def refused_everywhere():
        for _ in range(100):
            statuses = [
                (await fleet.send_request(daemon, "/stock/a")).status
                for daemon in fleet.daemons
            ]
            if statuses == [401, 401]:
                return True
            await asyncio.sleep(0.02)
        return False

    assert fleet.run(refused_everywhere())
    # An older version that arrives late must not replace the newer one.
    fleet.run(fleet.put_config(8))
    fleet.run(asyncio.sleep(0.3))
    assert (
        fleet.run(fleet.send_request(fleet.daemons[0], "/stock/a")).status
        == 401
    )


def test_keys_of_a_draining_upstream_are_served_by_another(fleet):
    fleet.run(fleet.register("i-0", state="draining"))

    async def scenario():
        await asyncio.sleep(1.0)
        before = len(fleet.upstreams["i-0"].runs)
        for key in range(0, 65536, 4096):
            reply = await fleet.send_request(
                fleet.daemons[1], "/stock/a", key, f"left-{key}"
            )
            assert reply.status == 200
        return len(fleet.upstreams["i-0"].runs) - before

    assert fleet.run(scenario()) == 0


def test_keys_of_a_dead_upstream_are_served_again_within_five_seconds(fleet):
    fleet.run(fleet.stop_upstream("i-1"))
    keys = tuple(range(0, 65536, 4096))
    elapsed_s = fleet.run(
        fleet.wait_until_served(fleet.daemons[0], keys=keys, timeout_s=5.0)
    )
    assert elapsed_s < 5.0


def test_another_daemon_leads_when_the_leader_is_killed(fleet):
    leader, other = fleet.daemons
    if not leader.events("lease-taken"):
        leader, other = other, leader
    fleet.run(leader.kill())
    fleet.run(fleet.register("i-2", state="draining"))
    fleet.run(
        fleet.wait_until_served(
            other, keys=tuple(range(0, 65536, 4096)), timeout_s=5.0
        )
    )
    assert other.events("lease-taken")
    epochs = collections.defaultdict(list)
    for name, upstream in fleet.upstreams.items():
        for first, last, epoch, at_s in upstream.granted:
            for key in (0, 30000, 65535):
                if first <= key <= last:
                    epochs[key].append((at_s, epoch, name))
    for grants in epochs.values():
        in_order = [epoch for _, epoch, _ in sorted(grants)]
        assert in_order == sorted(in_order)


def test_malformed_upstream_entry_is_ignored_and_logged(fleet):
    async def scenario():
        await fleet.store.put("servers", "i-odd", spec={"address": 5})
        await fleet.store.put("servers", "i-none", spec=None)
        await fleet.add_upstream("i-9")
        await asyncio.sleep(0.5)

    fleet.run(scenario())
    daemon = fleet.daemons[0]
    assert fleet.run(fleet.send_request(daemon, "/stock/a")).status == 200
    names = {event["name"] for event in daemon.events("entry-malformed")}
    assert names == {"i-odd", "i-none"}
    found = {event["upstream"] for event in daemon.events("upstream-found")}
    assert "i-9" in found


ODD_ENTRIES = {
    "deep": {"extra": "@deep@"},
    "deep-spec": {"spec": "@deep@"},
    "long-number": {"status": "@long-number@"},
    "unreadable-bytes": {"status": {"state": "@bytes@"}},
    "port-out-of-range": {"address": "127.0.0.1:70000"},
    "port-of-other-digits": {"address": "127.0.0.1:\u0662\u0662"},
    "no-ip-number": {"address": "a.b.c.d:80"},
    "many-slots": {"slots": 10**15},
    "huge-start": {"born": 10**30},
    "surrogate": {"zone": "\ud800"},
}
RAW_VALUES = {
    "@deep@": b"[" * 100_000 + b"]" * 100_000,
    "@long-number@": b"9" * 10_000,
    "@bytes@": b'"\xff\xfe"',
}


def odd_entry(address, changes):
    """Returns an upstream's entry with some fields changed."""
    spec = {
        "address": changes.get("address", address),
        "born": changes.get("born", 1700000000000),
        "extra": changes.get("extra"),
        "info": {
            "service": "prenota",
            "zone": changes.get("zone", "pa-1"),
            "slots": changes.get("slots", 3),
        },
    }
    status = {"state": "ready", "seqNo": 1, "coldLeftS": 0}
    return {
        "spec": changes.get("spec", spec),
        "status": changes.get("status", status),
    }


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_one_odd_entry_does_not_end_or_blind_daemons(fleet, name):
    async def scenario():
        fleet.store.raw_values = RAW_VALUES
        address = f"127.0.0.1:{platform_fleet.free_ports(1)[0]}"
        entry = odd_entry(address, ODD_ENTRIES[name])
        await fleet.store.put("servers", "i-odd", **entry)
        await asyncio.sleep(1.0)
        await fleet.add_upstream("i-new")
        await asyncio.sleep(1.0)
        await fleet.register("i-0", state="draining")
        await asyncio.sleep(3.0)
        # A daemon that starts now has to list the odd entry as well.
        await fleet.daemons[0].kill()
        await fleet.daemons[0].start()
        for daemon in fleet.daemons:
            await fleet.wait_until_served(daemon)
        await asyncio.sleep(1.0)
        for daemon in fleet.daemons:
            for key in range(0, 65536, 4096):
                reply = await fleet.send_request(
                    daemon, "/stock/a", key, f"odd-{key}"
                )
                assert reply.status == 200, (daemon.name, key)

    fleet.run(scenario())
    assert all(daemon.process.returncode is None for daemon in fleet.daemons)
    assert fleet.upstreams["i-new"].runs
    for daemon in fleet.daemons:
        assert daemon.events("task-failed") == []


def test_watch_restarts_when_its_history_has_expired(fleet):
    async def scenario():
        fleet.store.faults.history_from = fleet.store.revision + 1
        await fleet.put_config(11, timeoutS=2)
        await asyncio.sleep(0.2)
        fleet.store.faults.history_from = 0
        await fleet.put_config(12, keys=("new",))
        await asyncio.sleep(0.5)
        return await fleet.send_request(
            fleet.daemons[0], "/stock/a", account_key="new"
        )

    assert fleet.run(scenario()).status == 200


def test_service_continues_through_a_logged_store_outage(fleet):
    async def scenario():
        fleet.store.faults.busy = True
        async with fleet.store._changed:
            fleet.store._changed.notify_all()
        await asyncio.sleep(3.5)
        for key in range(0, 65536, 8192):
            reply = await fleet.send_request(fleet.daemons[0], "/stock/a", key)
            assert reply.status == 200
        fleet.store.faults.busy = False
        await asyncio.sleep(1.0)

    fleet.run(scenario())
    assert fleet.daemons[0].events("store-lost")
    assert fleet.daemons[0].events("store-back")


def test_leader_keeps_its_lease_while_the_store_answers_nobody(fleet):
    # This guards against followers that report the store as reachable because
    # they do not watch it. The leader then resigned without a successor, and
    # the grants of all keys expired.
    async def scenario():
        await fleet.store.set_silent(True)
        statuses = []
        for _ in range(50):
            await asyncio.sleep(0.1)
            reply = await fleet.send_request(fleet.daemons[0], "/stock/a", 7)
            statuses.append(reply.status)
        await fleet.store.set_silent(False)
        await asyncio.sleep(1.5)
        statuses.append(
            (await fleet.send_request(fleet.daemons[1], "/stock/a")).status
        )
        return statuses

    assert set(fleet.run(scenario())) == {200}
    for daemon in fleet.daemons:
        assert daemon.events("lease-resigned") == []


def test_stop_finishes_requests_in_flight(fleet):
    for upstream in fleet.upstreams.values():
        upstream.service_time_s = 0.8

    async def scenario():
        daemon = fleet.daemons[1]
        reply_task = asyncio.create_task(
            fleet.send_request(daemon, "/stock/a", 7, "last", wait_ms=3000)
        )
        await asyncio.sleep(0.2)
        daemon.signal(signal.SIGTERM)
        reply = await reply_task
        async with asyncio.timeout(6.0):
            status = await daemon.process.wait()
        return reply.status, status

    assert fleet.run(scenario()) == (200, 0)


def test_blocked_log_reader_does_not_block_requests(tmp_path):
    fleet = platform_fleet.PlatformFleet(tmp_path, daemons=1)
    try:
        daemon = fleet.daemons[0]
        fleet.run(fleet.wait_until_served(daemon))
        fleet.run(daemon.kill())

        # A pipe without a reader is full after some kilobytes.
        read_end, write_end = os.pipe()

        async def scenario():
            await daemon.start(write_end)
            await fleet.wait_until_served(daemon)
            for _ in range(600):
                await fleet.send_request(daemon, "/nowhere/")
            return await fleet.send_request(daemon, "/stock/a", 3, "after")

        assert fleet.run(scenario()).status == 200
        os.close(read_end)
        os.close(write_end)
    finally:
        fleet.close()
