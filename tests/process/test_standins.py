"""Tests that the stand-ins behave and fail as they are documented."""

import asyncio
import time

import aiohttp
import pytest

from standins import journal
from standins import processes


class StandinHarness:
    """Runs stand-in processes and an HTTP client on one event loop."""

    def __init__(self, directory):
        self.directory = directory
        self.runner = asyncio.Runner()
        self.started = []
        self.session = self.runner.run(self._open())

    async def _open(self):
        timeout = aiohttp.ClientTimeout(total=10)
        session = aiohttp.ClientSession(timeout=timeout)
        # By default aiohttp retries idempotent requests when a connection
        # breaks, even a PUT that has already taken effect.
        session._retry_connection = False
        return session

    def start(self, name, *arguments):
        """Starts a stand-in and returns the address that it listens on."""
        process_arguments = ["-m", f"standins.{name}", *arguments]
        if name != "fault_proxy":
            process_arguments += [
                "--journal",
                str(self.directory / f"{name}.journal"),
            ]
        process = processes.ServerProcess(
            name, process_arguments, self.directory / f"{name}.log"
        )
        self.started.append(process)
        self.runner.run(process.start())
        return process.addresses["listening"]

    async def _ask(self, address, method, path, headers, body):
        ip, port = address
        async with self.session.request(
            method, f"http://{ip}:{port}{path}", headers=headers, json=body
        ) as reply:
            is_json = "json" in reply.headers.get("Content-Type", "")
            content = await (reply.json() if is_json else reply.text())
            return reply.status, content, reply.headers

    def ask(self, address, method, path, headers=None, body=None):
        """Sends one request; returns the answer's status, content, headers."""
        coroutine = self._ask(address, method, path, headers, body)
        return self.runner.run(coroutine)

    def ask_concurrently(self, *requests):
        """Sends requests concurrently; returns answers or exceptions."""

        async def ask_all():
            return await asyncio.gather(
                *(self._ask(*request) for request in requests),
                return_exceptions=True,
            )

        return self.runner.run(ask_all())

    def close(self):
        """Closes the client and kills the started processes."""
        self.runner.run(self.session.close())
        self.runner.run(processes.kill_all(self.started))
        self.runner.close()


@pytest.fixture
def harness(tmp_path):
    found = StandinHarness(tmp_path)
    try:
        yield found
    finally:
        found.close()


@pytest.fixture
def store(harness):
    return harness.start("store")


@pytest.fixture
def upstream(harness):
    return harness.start("upstream", *UPSTREAM, "--warm")


UPSTREAM = ("--name", "u1", "--service", "s", "--availability-zone", "pa-1")


def put_object(harness, store, version, value="a", name="fleet"):
    path = f"/v1/objects/config/{name}"
    headers = {"If-Match": str(version)}
    return harness.ask(store, "PUT", path, headers, {"value": value})


def request_headers(request_id, shard=1, key="k", deadline_ms=5000):
    return {
        "Sardinehill-Request-Id": request_id,
        "Sardinehill-Shard": str(shard),
        "Sardinehill-Key": key,
        "Sardinehill-Deadline-Ms": str(deadline_ms),
    }


def send_grant(harness, upstream, sequence, shards=((0, 9),), ttl_ms=5000):
    body = {
        "service": "s",
        "term": 1,
        "sequence": sequence,
        "shards": shards,
        "hot_keys": ["hot"],
        "ttl_ms": ttl_ms,
        "sent_by": "test",
    }
    return harness.ask(upstream, "PUT", "/-/grant", None, body)[1]


def journaled_events(harness, name):
    path = harness.directory / f"{name}.journal"
    return [record["event"] for record in journal.read(path)]


def test_store_writes_only_at_the_expected_version(harness, store):
    assert put_object(harness, store, 0)[0] == 200
    status, body, _ = put_object(harness, store, 0, "b")
    assert (status, body["version"]) == (409, 1)
    assert put_object(harness, store, 1, "c")[1]["version"] == 2
    found = harness.ask(store, "GET", "/v1/objects/config/fleet")[1]
    assert found == {"name": "fleet", "version": 2, "value": "c"}
    path = "/v1/objects/config/fleet"
    assert harness.ask(store, "DELETE", path, {"If-Match": "1"})[0] == 409
    assert harness.ask(store, "DELETE", path, {"If-Match": "2"})[0] == 200
    assert put_object(harness, store, 0)[1]["version"] == 4


def test_store_refuses_a_value_over_a_megabyte(harness, store):
    assert put_object(harness, store, 0, "x" * 1_000_001)[0] == 413
    assert harness.ask(store, "GET", "/v1/objects/config/fleet")[0] == 404


def test_watch_returns_changes_and_deletions_at_once(harness, store):
    put_object(harness, store, 0)
    watch = "/v1/watch/config?since=1&timeout_ms=8000"
    write = ("PUT", "/v1/objects/config/fleet", {"If-Match": "1"})
    began_s = time.monotonic()
    watched, _ = harness.ask_concurrently(
        (store, "GET", watch, None, None),
        (store, *write, {"value": "b"}),
    )
    assert time.monotonic() - began_s < 8.0
    assert watched[1]["objects"][0]["value"] == "b"
    harness.ask(store, "DELETE", write[1], {"If-Match": "2"})
    watched = harness.ask(store, "GET", "/v1/watch/config?since=2&timeout_ms=0")
    assert watched[1]["deleted"] == ["fleet"]


def test_lost_reply_follows_a_completed_write(harness, store):
    harness.ask(store, "POST", "/-/control", None, {"lose_replies": 1})
    with pytest.raises(aiohttp.ClientError):
        put_object(harness, store, 0)
    found = harness.ask(store, "GET", "/v1/objects/config/fleet")[1]
    assert found["version"] == 1


def test_outage_drops_calls_and_waiting_watches(harness, store):
    control = {"outage": "reset"}
    watched, _ = harness.ask_concurrently(
        (store, "GET", "/v1/watch/config?since=0&timeout_ms=8000", None, None),
        (store, "POST", "/-/control", None, control),
    )
    assert isinstance(watched, aiohttp.ClientError)
    with pytest.raises(aiohttp.ClientError):
        harness.ask(store, "GET", "/v1/hosts")
    harness.ask(store, "POST", "/-/control", None, {"outage": ""})
    assert harness.ask(store, "GET", "/v1/hosts")[0] == 200
    calls = harness.ask(store, "GET", "/-/stats")[1]["calls"]
    assert calls["read watch config"] == 1
    assert calls["read hosts"] == 2


def test_list_of_hosts_can_lag_and_be_stale(harness, store):
    def control(**command):
        harness.ask(store, "POST", "/-/control", None, command)

    def names():
        hosts = harness.ask(store, "GET", "/v1/hosts")[1]["hosts"]
        return [host["name"] for host in hosts]

    control(put_host={"name": "u1"})
    assert names() == ["u1"]
    control(lag_s=60.0, put_host={"name": "u2"})
    assert names() == []
    control(lag_s=0.0, stale_list=True)
    control(put_host={"name": "u3"})
    assert names() == ["u1", "u2"]
    control(stale_list=False)
    assert names() == ["u1", "u2", "u3"]


def test_upstream_runs_only_what_a_grant_covers(harness, upstream):
    def ask(request_id, **fields):
        headers = request_headers(request_id, **fields)
        return harness.ask(upstream, "POST", "/x", headers)

    status, _, headers = ask("r0")
    assert (status, headers["Upstream-Not-Run"]) == (409, "fenced")
    assert send_grant(harness, upstream, 2)["accepted"]
    assert not send_grant(harness, upstream, 1)["accepted"]
    assert ask("r1")[0] == 200
    assert ask("r2", shard=10)[0] == 409
    assert ask("r3", shard=10, key="hot")[0] == 200
    body = {"service": "s", "term": 1, "sequence": 3}
    released = harness.ask(upstream, "POST", "/-/release", None, body)[1]
    assert released["released"]
    assert ask("r4")[0] == 409
    assert not send_grant(harness, upstream, 3)["accepted"]


def test_frozen_upstream_does_not_finish_after_its_grant_expired(
    harness, upstream
):
    send_grant(harness, upstream, 1, ttl_ms=300)
    answered, _ = harness.ask_concurrently(
        (
            upstream,
            "POST",
            "/x?service_time_ms=100",
            request_headers("r1"),
            None,
        ),
        (upstream, "POST", "/-/control", None, {"freeze_ms": 600}),
    )
    assert answered[0] == 409
    assert "finished" not in journaled_events(harness, "upstream")


def test_release_is_answered_once_nothing_is_in_flight(harness, upstream):
    send_grant(harness, upstream, 1)
    body = {"service": "s", "term": 1, "sequence": 2}
    answered, released = harness.ask_concurrently(
        (
            upstream,
            "POST",
            "/x?service_time_ms=300",
            request_headers("r1"),
            None,
        ),
        (upstream, "POST", "/-/release", None, body),
    )
    assert released[1]["in_flight"] == 0
    assert answered[0] in (200, 409)
    if answered[0] == 200:
        events = journaled_events(harness, "upstream")
        assert events.index("finished") < events.index("release")


def test_cold_upstream_collapses_under_overload(harness):
    cold = harness.start("upstream", *UPSTREAM, "--no-fencing")

    async def overload():
        # One is running when the others arrive.
        path = "/x?service_time_ms=1000"
        running = asyncio.ensure_future(
            harness._ask(cold, "GET", path, request_headers("r0"), None)
        )
        for _ in range(200):
            if "started" in journaled_events(harness, "upstream"):
                break
            await asyncio.sleep(0.02)
        others = (
            harness._ask(cold, "GET", "/x", request_headers(f"r{n}"), None)
            for n in range(1, 4)
        )
        return await asyncio.gather(running, *others, return_exceptions=True)

    answers = harness.runner.run(overload())
    assert "collapsed" in journaled_events(harness, "upstream")
    assert any(isinstance(answer, aiohttp.ClientError) for answer in answers)
    assert harness.ask(cold, "GET", "/-/health")[1]["state"] == "cold"


def test_cold_upstream_warms_up_by_finished_requests(harness):
    cold = harness.start("upstream", *UPSTREAM, "--no-fencing")
    for number in range(20):
        headers = request_headers(f"r{number}")
        assert harness.ask(cold, "GET", "/x", headers)[0] == 200
    assert harness.ask(cold, "GET", "/-/health")[1]["state"] == "ready"
    control = {"fall_cold_grace_ms": 0, "health_lies": True}
    harness.ask(cold, "POST", "/-/control", None, control)
    assert harness.ask(cold, "GET", "/-/health")[1]["state"] == "ready"
    harness.ask_concurrently(
        *((cold, "GET", "/x", request_headers(f"s{n}"), None) for n in range(4))
    )
    assert "collapsed" in journaled_events(harness, "upstream")


def test_upstream_sheds_drains_and_enforces_deadlines(harness, upstream):
    send_grant(harness, upstream, 1)
    # Long enough that no slot is free again before all requests have arrived.
    path = "/x?service_time_ms=2000"
    answers = harness.ask_concurrently(
        *(
            (
                upstream,
                "POST",
                path,
                request_headers(f"r{n}", deadline_ms=100),
                None,
            )
            for n in range(14)
        )
    )
    reasons = [answer[2].get("Upstream-Not-Run", "ran") for answer in answers]
    assert reasons.count("ran") == 3
    assert set(reasons) == {"ran", "deadline", "shed"}
    harness.ask(upstream, "POST", "/-/control", None, {"drain": True})
    headers = harness.ask(upstream, "POST", "/x", request_headers("late"))[2]
    assert headers["Upstream-Not-Run"] == "draining"
    assert harness.ask(upstream, "GET", "/-/health")[1]["state"] == "draining"


def test_cancel_reports_the_state_of_the_request(harness, upstream):
    def cancel(request_id):
        body = {"request_id": request_id}
        return harness.ask(upstream, "POST", "/-/cancel", None, body)[1][
            "state"
        ]

    send_grant(harness, upstream, 1)
    run, cancelled = harness.ask_concurrently(
        (
            upstream,
            "POST",
            "/x?service_time_ms=900",
            request_headers("r1"),
            None,
        ),
        (upstream, "POST", "/-/cancel", None, {"request_id": "r1"}),
    )
    if cancelled[1]["state"] != "unknown":
        assert run[2]["Upstream-Not-Run"] == "cancelled"
    assert "finished" not in journaled_events(harness, "upstream")
    assert harness.ask(upstream, "POST", "/x", request_headers("r2"))[0] == 200
    assert cancel("r2") == "running"
    assert cancel("r3") == "unknown"
    overtaken = harness.ask(upstream, "POST", "/x", request_headers("r3"))
    assert overtaken[2]["Upstream-Not-Run"] == "cancelled"


def test_answers_can_be_foreign_cut_lost_and_malformed(harness, upstream):
    def control(**command):
        harness.ask(upstream, "POST", "/-/control", None, command)

    send_grant(harness, upstream, 1)
    harness.ask(upstream, "POST", "/x", request_headers("r1"))
    control(foreign_answers=1)
    headers = harness.ask(upstream, "POST", "/x", request_headers("r2"))[2]
    assert headers["Upstream-Request-Id"] == "r1"
    for fault in ("cut_answers", "lost_answers", "malformed_answers"):
        control(**{fault: 1})
        with pytest.raises(aiohttp.ClientError):
            harness.ask(
                upstream, "POST", "/x?size=9000", request_headers(fault)
            )
    assert journaled_events(harness, "upstream").count("finished") == 5


def test_connection_over_the_limit_is_refused(harness):
    limited = harness.start(
        "upstream", *UPSTREAM, "--warm", "--no-fencing", "--connections", "2"
    )
    path = "/x?service_time_ms=300"
    answers = harness.ask_concurrently(
        *(
            (limited, "POST", path, request_headers(f"r{n}"), None)
            for n in range(5)
        )
    )
    served = [answer for answer in answers if isinstance(answer, tuple)]
    assert len(served) == 2


def test_proxy_refuses_delays_resets_and_cuts(harness, upstream):
    proxy = harness.start("fault_proxy", "--target", *map(str, upstream))
    control_address = harness.started[-1].addresses["control"]

    def control(**command):
        harness.ask(control_address, "POST", "/-/control", None, command)

    def ask(request_id):
        return harness.ask(proxy, "POST", "/x", request_headers(request_id))

    send_grant(harness, upstream, 1)
    assert ask("r1")[0] == 200
    control(refuse=True, reset_all=True)
    with pytest.raises(aiohttp.ClientError):
        ask("r2")
    control(refuse=False, reset_after_to_target_bytes=20)
    with pytest.raises(aiohttp.ClientError):
        ask("r3")
    control(reset_after_to_target_bytes=-1, reset_after_to_client_bytes=0)
    with pytest.raises(aiohttp.ClientError):
        ask("r4")
    events = journal.read(harness.directory / "upstream.journal")
    finished = {
        event["request_id"] for event in events if event["event"] == "finished"
    }
    assert finished == {"r1", "r4"}
