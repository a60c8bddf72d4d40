"""Tests of requests that end each upstream that runs them."""

import asyncio
import collections
import itertools
import time

import aiohttp
import pytest

from tests.common import platform_fleet

DEADLY = "/stock/deadly"
DEADLY_UNDIVIDED = "/view/deadly"
KEY = 100
# An upstream is back this long after it has ended.
RESTART_S = 1.0
# All daemons must know of a deadly request this long after its third end.
LEARNING_S = 3.0
MAX_ENDS = 3
# What an upstream has sent of its answer when it ends.
ANSWERS = {
    "nothing": b"",
    "head": b"Content-Length: 50\r\n\r\n",
    "part-of-head": b"X-Other: ",
    "part": b"Content-Length: 50\r\n\r\npart",
    "chunk": b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    "without-a-length": b"Connection: close\r\n\r\npart",
}


class DeadlyFleet(platform_fleet.PlatformFleet):
    """A fleet whose upstreams end when they run a deadly request."""

    def __init__(self, directory):
        self.ends_s = []
        self.deadly_answer = b""
        self._restarts = set()
        super().__init__(directory, daemons=3, upstreams=4)
        for index in range(2):
            self.run(self.add_upstream(f"i-more-{index}", "conti", False))

    async def add_upstream(self, name, service="prenota", is_divided=True):
        upstream = await super().add_upstream(name, service, is_divided)
        upstream.deadly_path = DEADLY if is_divided else DEADLY_UNDIVIDED
        upstream.on_deadly_request = lambda: self._end(name, service)
        return upstream

    def _end(self, name, service):
        self.upstreams[name].deadly_answer = self.deadly_answer
        self.ends_s.append(time.monotonic())
        task = asyncio.ensure_future(self._restart(name, service))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, name, service):
        is_divided = self.upstreams[name].is_divided
        await self.stop_upstream(name)
        await asyncio.sleep(RESTART_S)
        ends = len(self.ends_s)
        await self.store.remove("servers", name)
        await self.add_upstream(f"i-{service}-{ends}", service, is_divided)

    def sends_of(self, path):
        """Returns when upstreams ran requests of a path."""
        return sorted(
            run.at_s
            for upstream in self.upstreams.values()
            for run in upstream.runs
            if run.headers["X-Request-Id"].startswith(path)
        )


@pytest.fixture
def fleet(tmp_path):
    fleet = DeadlyFleet(tmp_path)
    try:
        for daemon in fleet.daemons:
            fleet.run(fleet.wait_until_served(daemon))
        yield fleet
    finally:
        fleet.close()


async def send_for(fleet, seconds, path, statuses, key=KEY):
    """Sends one request after the other, to each daemon in turn."""
    end_s = time.monotonic() + seconds
    for number, daemon in zip(
        itertools.count(), itertools.cycle(fleet.daemons)
    ):
        if time.monotonic() > end_s:
            return
        try:
            reply = await fleet.send_request(
                daemon, path, key, f"{path}-{number}", wait_ms=1000
            )
            statuses[reply.status] += 1
        except (aiohttp.ClientError, OSError):
            statuses["lost"] += 1
        await asyncio.sleep(0.1)


# Guards against this failure: a request whose upstreams had begun to answer
# when they ended was never quarantined.
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
@pytest.mark.parametrize("path", [DEADLY, DEADLY_UNDIVIDED])
def test_deadly_request_ends_no_more_than_three_upstreams(fleet, path, answer):
    fleet.deadly_answer = answer
    statuses = collections.Counter()
    fleet.run(send_for(fleet, 16.0, path, statuses))
    assert len(fleet.ends_s) >= MAX_ENDS
    learnt_s = fleet.ends_s[MAX_ENDS - 1] + LEARNING_S
    late = [sent_s for sent_s in fleet.sends_of(path) if sent_s > learnt_s]
    assert late == [], fleet.ends_s
    assert statuses[503] > 0


def test_deadly_request_is_known_after_the_leader_was_killed(fleet):
    async def scenario():
        statuses = collections.Counter()
        await send_for(fleet, 10.0, DEADLY, statuses)
        ends = len(fleet.ends_s)
        lease = fleet.store.spec("sardinehill-leases", "leader")
        for daemon in fleet.daemons:
            if daemon.name == lease["holder"]:
                await daemon.kill()
                await daemon.start()
        await asyncio.sleep(3.0)
        await send_for(fleet, 4.0, DEADLY, statuses)
        assert MAX_ENDS <= ends == len(fleet.ends_s)

    fleet.run(scenario())


def test_other_requests_for_the_same_key_are_served(fleet):
    async def scenario():
        deadly, others = collections.Counter(), collections.Counter()
        sending = asyncio.ensure_future(send_for(fleet, 18.0, DEADLY, deadly))
        await asyncio.sleep(14.0)
        await send_for(fleet, 3.0, "/stock/other", others)
        await sending
        assert others[200] > 0
        assert set(others) == {200}

    fleet.run(scenario())


# In the mode "slow", upstreams have begun to answer when they end.
@pytest.mark.parametrize("mode", ["serve", "slow"])
def test_request_that_was_at_ended_upstreams_by_chance_is_served(fleet, mode):
    async def scenario():
        statuses = collections.Counter()
        for index in range(MAX_ENDS + 1):
            # Requests are under way at each upstream when it ends.
            for upstream in fleet.upstreams.values():
                upstream.service_time_s = 0.5
                upstream.mode = mode
            running = [
                asyncio.ensure_future(
                    fleet.send_request(
                        daemon, "/view/popular", None, f"at-{index}-{number}"
                    )
                )
                for number, daemon in enumerate(fleet.daemons * 4)
            ]
            await asyncio.sleep(0.2)
            (name, *_) = (
                name
                for name, upstream in fleet.upstreams.items()
                if not upstream.is_divided and name in fleet.running()
            )
            await fleet.stop_upstream(name)
            await asyncio.gather(*running, return_exceptions=True)
            for upstream in fleet.upstreams.values():
                upstream.service_time_s = 0.002
            await fleet.store.remove("servers", name)
            await fleet.add_upstream(f"i-again-{index}", "conti", False)
            await asyncio.sleep(1.0)
            await send_for(fleet, 1.0, "/view/popular", statuses, key=None)
        assert set(statuses) == {200}

    fleet.run(scenario())


def test_request_that_upstreams_truncate_and_live_on_is_not_quarantined(fleet):
    async def scenario():
        statuses = collections.Counter()
        for upstream in fleet.upstreams.values():
            upstream.mode = "cut"
        await send_for(fleet, 6.0, "/view/cut", statuses, key=None)
        assert set(statuses) == {502}
        for upstream in fleet.upstreams.values():
            upstream.mode = "serve"
        await asyncio.sleep(1.0)
        statuses.clear()
        await send_for(fleet, 2.0, "/view/cut", statuses, key=None)
        assert set(statuses) == {200}

    fleet.run(scenario())
