"""Claims about who stands for leader first."""

import asyncio

import pytest

from sardinehill.front import election as election_module
from sardinehill.front import known_leader
from sardinehill.front import registry


class FakeRegistry(registry.Registry):
    """Daemons that are registered, with nobody to answer; the lease is free."""

    def __init__(self, name, core_shares):
        super().__init__(name, "127.0.0.1:1", core_shares[name], None)
        self.peers = dict.fromkeys(core_shares, "127.0.0.1:1")
        self.core_shares = core_shares

    async def read_peers(self):
        return

    async def read_lease(self):
        return

    async def take_lease(self, term):
        self.lease = registry.Lease(term, self._name)
        return True


def turn_s(name, core_shares):
    """Returns how long a daemon waits before it takes the lease."""

    async def stand():
        loop = asyncio.get_running_loop()
        known = known_leader.KnownLeader(name, loop.time)
        choice = election_module.Election(
            name, known, FakeRegistry(name, core_shares)
        )
        began_s = loop.time()
        assert await choice.stand()
        return loop.time() - began_s

    return asyncio.run(stand())


@pytest.mark.parametrize("name", ["a", "b"])
def test_one_of_equals_whom_nobody_answers_stands_at_once(name):
    assert turn_s(name, {"a": 0.86, "b": 0.86}) < election_module.TURN_S


def test_one_with_less_of_a_core_lets_the_others_go_first():
    shares = {"small": 0.43, "large": 0.72}
    assert turn_s("small", shares) >= (
        election_module.WEAKER_TURNS * election_module.TURN_S
    )
