"""Runs daemons whose every connection a test can cut, and cuts them."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import dataclasses
import itertools
import pathlib
import random
import time

import aiohttp
from aiohttp import web

from standins import users_platform_upstream as upstream_module
from tests.common import owner_checks
from tests.common import platform_fleet
from tests.common import proxied_network

LEASES = "sardinehill-leases"
# Each key is served again this long after a loss ended, by the target.
SERVICE_RETURN_S = 5.0
PROBED_KEYS = range(0, 65536, 2000)
PROBE_INTERVAL_S = 0.1
SEND_INTERVAL_S = 0.05
START_TIMEOUT_S = 30.0
LAG_CHECK_INTERVAL_S = 0.02
# Late renewals of a side that was cut off have arrived then.
SETTLE_S = 1.0


@dataclasses.dataclass
class Cut:
    """A cut and what came of it.

    Attributes:
      what: what was cut, and how.
      began_s: when it began.
      healed_s: when it ended.
      served_after_s: how long after that the last key was served again.
    """

    what: str
    began_s: float
    healed_s: float = 0.0
    served_after_s: float = 0.0


class PartedFleet(platform_fleet.PlatformFleet):
    """A fleet with a fault proxy on each way of each daemon.

    Public attributes:
      network: the proxies.
      cuts: the cuts until now.
      statuses: the number of answers to callers by status; 0 for none.
      longest_lag_s: how long the proxies were held up at most.
    """

    network: proxied_network.ProxiedNetwork

    def __init__(
        self,
        directory: pathlib.Path,
        seed: int,
        daemons: int = 5,
        upstreams: int = 6,
    ):
        self.random = random.Random(seed)
        self.cuts: list[Cut] = []
        self.statuses: collections.Counter[int] = collections.Counter()
        self.longest_lag_s = 0.0
        self._request_numbers = itertools.count()
        super().__init__(directory, daemons, upstreams)

    async def _start(self, upstreams: int) -> None:
        self.network = proxied_network.ProxiedNetwork(
            self.daemons, self.directory
        )
        await self.network.open()
        await super()._start(upstreams)

    async def _serve(
        self, name: str, application: web.Application, port: int
    ) -> None:
        await super()._serve(name, application, port)
        await self.network.add_target(f"{platform_fleet.HOST}:{port}")

    async def _close(self) -> None:
        await super()._close()
        self.network.close()

    @property
    def store_address(self) -> str:
        """Where daemons reach the store."""
        return f"{platform_fleet.HOST}:{self.store_port}"

    def divided_upstreams(self) -> list[upstream_module.UsersPlatformUpstream]:
        """Returns the upstreams that own keys."""
        return [item for item in self.upstreams.values() if item.is_divided]

    def names(self) -> list[str]:
        """Returns the names of all daemons, the leader first."""
        holder = self.store.spec(LEASES, "leader")["holder"]
        others = [item.name for item in self.daemons if item.name != holder]
        self.random.shuffle(others)
        return [holder, *others]

    # cuts

    def part(
        self, side: Sequence[str], others: Sequence[str], unreached: int
    ) -> None:
        """Parts two sides; one keeps the store, the other all upstreams.

        Args:
          side: the daemons that lose the store.
          others: the daemons that lose some upstreams.
          unreached: how many upstreams these lose.
        """
        divided = [item.name for item in self.divided_upstreams()]
        lost = self.random.sample(divided, unreached)
        self._note_cut(f"{side} without store, {others} without {lost}")
        drop = proxied_network.DROP
        self.network.cut_between(side, others, drop)
        for name in side:
            self.network.cut(name, [self.store_address], drop)
        for name in others:
            self.network.cut(
                name, [self.addresses[upstream] for upstream in lost], drop
            )

    def cut_pair(self, one: str, other: str) -> None:
        """Cuts one pair of daemons."""
        kind = self.random.choice(proxied_network.KINDS)
        self._note_cut(f"{one} and {other}: {kind}")
        self.network.cut_between([one], [other], kind)

    def cut_store(self, daemon: str) -> None:
        """Cuts one daemon off from the store."""
        kind = self.random.choice(proxied_network.KINDS)
        self._note_cut(f"{daemon} from the store: {kind}")
        self.network.cut(daemon, [self.store_address], kind)

    def cut_upstreams(self, daemon: str) -> None:
        """Cuts one daemon off from some or all of the upstreams."""
        kind = self.random.choice(proxied_network.KINDS)
        names = sorted(self.addresses)
        lost = self.random.sample(names, self.random.randint(1, len(names)))
        self._note_cut(f"{daemon} from {lost}: {kind}")
        self.network.cut(
            daemon, [self.addresses[upstream] for upstream in lost], kind
        )

    def _note_cut(self, what: str) -> None:
        self.cuts.append(Cut(what, time.monotonic()))

    def end_cut(self) -> Cut:
        """Ends the cut and returns it."""
        cut = self.cuts[-1]
        cut.healed_s = time.monotonic()
        self.network.heal()
        return cut

    async def heal(self) -> None:
        """Ends the cut and waits until each key is served again.

        Raises:
          AssertionError: a key is not served again in time.
        """
        cut = self.end_cut()
        await asyncio.gather(
            *(
                self._probe(key, self.daemons[index % len(self.daemons)], cut)
                for index, key in enumerate(PROBED_KEYS)
            )
        )

    async def _probe(
        self, key: int, daemon: platform_fleet.DaemonProcess, cut: Cut
    ) -> None:
        """Asks a daemon for a key until it is served."""
        status = 0
        while time.monotonic() - cut.healed_s < SERVICE_RETURN_S:
            status = await self._send(daemon, key)
            served_after_s = time.monotonic() - cut.healed_s
            if status == 200 and served_after_s <= SERVICE_RETURN_S:
                cut.served_after_s = max(cut.served_after_s, served_after_s)
                return
            await asyncio.sleep(PROBE_INTERVAL_S)
        raise AssertionError(
            f"key {key} is not served by {daemon.name} {SERVICE_RETURN_S} s "
            f"after the cut ended ({cut.what}): last status {status}"
        )

    async def _send(
        self, daemon: platform_fleet.DaemonProcess, key: int
    ) -> int:
        """Sends a request; returns its status, or 0 if there was no answer."""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(1.5):
                number = next(self._request_numbers)
                reply = await self.send_request(
                    daemon, "/stock/a", key, f"r{number:06}", wait_ms=1000
                )
                return reply.status
        return 0

    @contextlib.asynccontextmanager
    async def steady_load(self) -> AsyncIterator[None]:
        """Sends requests to all daemons in turn while it is entered."""
        tasks = [
            asyncio.ensure_future(self._send_steadily()),
            asyncio.ensure_future(self._watch_lag()),
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _watch_lag(self) -> None:
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            lag_s = time.monotonic() - before_s - LAG_CHECK_INTERVAL_S
            self.longest_lag_s = max(self.longest_lag_s, lag_s)

    def check_proxies_are_used(self) -> None:
        """Checks that daemons reach the store and the upstreams by proxies.

        Raises:
          AssertionError: they do not, so that cuts would have no effect.
        """
        for daemon in self.daemons:
            name = daemon.name
            assert self.network.is_connected(name, self.store_address), name
            assert any(
                self.network.is_connected(name, address)
                for address in self.addresses.values()
            ), name

    async def _send_steadily(self) -> None:
        async def send(daemon: platform_fleet.DaemonProcess, key: int) -> None:
            self.statuses[await self._send(daemon, key)] += 1

        generator = random.Random(5)
        async with asyncio.TaskGroup() as sending:
            while True:
                for daemon in self.daemons:
                    key = generator.randrange(65536)
                    sending.create_task(send(daemon, key))
                    await asyncio.sleep(SEND_INTERVAL_S)


# Scenarios


async def _hold_cut(fleet: PartedFleet, cut_s: float) -> None:
    await asyncio.sleep(cut_s)
    await fleet.heal()


def _check_leader_among(fleet: PartedFleet, daemons: Sequence[str]) -> None:
    """Checks that the side with the store has a leader, as two must lead."""
    leader = fleet.names()[0]
    assert leader in daemons, f"{leader} of the other side holds the lease"


async def part_once(
    fleet: PartedFleet, cut_s: float, unreached: int = 2
) -> None:
    """Parts the leader and just over half of the daemons from the others."""
    names = fleet.names()
    majority = len(names) // 2 + 1
    side, others = names[:majority], names[majority:]
    fleet.part(side, others, unreached)
    await asyncio.sleep(cut_s)
    _check_leader_among(fleet, others)
    await fleet.heal()


async def part_from_half(fleet: PartedFleet, cut_s: float) -> None:
    """Parts the daemons; one side does not reach half of the upstreams."""
    await part_once(fleet, cut_s, len(fleet.divided_upstreams()) // 2)


async def part_with_swap(fleet: PartedFleet, cut_s: float) -> None:
    """Parts the daemons; then the sides swap what they reach."""
    names = fleet.names()
    majority = len(names) // 2 + 1
    side, others = names[:majority], names[majority:]
    fleet.part(side, others, unreached=2)
    await asyncio.sleep(cut_s)
    _check_leader_among(fleet, others)
    fleet.end_cut()
    fleet.part(others, side, unreached=2)
    await asyncio.sleep(cut_s)
    _check_leader_among(fleet, side)
    await fleet.heal()


async def cut_each_pair(fleet: PartedFleet, cut_s: float) -> None:
    """Cuts each pair of daemons, one after the other."""
    names = sorted(fleet.names())
    for index, one in enumerate(names):
        for other in names[index + 1 :]:
            fleet.cut_pair(one, other)
            await _hold_cut(fleet, cut_s)


async def cut_each_from_store(fleet: PartedFleet, cut_s: float) -> None:
    """Cuts each daemon off from the store, one after the other."""
    for name in sorted(fleet.names()):
        fleet.cut_store(name)
        await _hold_cut(fleet, cut_s)


async def cut_each_from_upstreams(fleet: PartedFleet, cut_s: float) -> None:
    """Cuts each daemon off from upstreams, one after the other."""
    for name in sorted(fleet.names()):
        fleet.cut_upstreams(name)
        await _hold_cut(fleet, cut_s)


async def cut_leader(fleet: PartedFleet, cut_s: float) -> None:
    """Cuts the leader off from a peer, from the store and from upstreams."""
    leader, follower, *_ = fleet.names()
    fleet.cut_pair(leader, follower)
    await _hold_cut(fleet, cut_s)
    fleet.cut_store(fleet.names()[0])
    await _hold_cut(fleet, cut_s)
    fleet.cut_upstreams(fleet.names()[0])
    await _hold_cut(fleet, cut_s)


SCENARIOS = {
    "part": part_once,
    "half": part_from_half,
    "swap": part_with_swap,
    "pairs": cut_each_pair,
    "store": cut_each_from_store,
    "upstreams": cut_each_from_upstreams,
    "leader": cut_leader,
}


async def play(fleet: PartedFleet, scenario: str, cut_s: float) -> None:
    """Runs a scenario under load and checks who held keys.

    Raises:
      AssertionError: keys were held twice, or were not served again in time.
    """
    for daemon in fleet.daemons:
        await fleet.wait_until_served(daemon, timeout_s=START_TIMEOUT_S)
    fleet.check_proxies_are_used()
    try:
        async with fleet.steady_load():
            await SCENARIOS[scenario](fleet, cut_s)
            await asyncio.sleep(SETTLE_S)
    finally:
        # A key that is held twice matters more than one that is not served.
        owner_checks.check_held_once(fleet.divided_upstreams())
