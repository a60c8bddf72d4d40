"""Claims about what a daemon asks of whom it follows, and of its peers."""

import asyncio

from sardinehill import errors
from sardinehill.core import fleet_messages
from sardinehill.front import bus
from sardinehill.front import following as following_module
from sardinehill.front import known_leader
from sardinehill.front import registry
from sardinehill.wire import envelopes
from sardinehill.wire import fleet
from sardinehill.wire import kinds

QUERY = fleet_messages.NewsQuery(1, 1, 1)
NEWER = fleet_messages.News(config_revision=5, config=b"{}")


async def peer(news):
    """Serves one peer that tells some news; returns where it is reached."""

    def answer(link, envelope):
        assert envelope.kind == kinds.Kind.NEWS_QUERY
        link.send(
            kinds.Kind.NEWS,
            fleet.encode_news(news),
            envelope.message_id,
            is_answer=True,
        )

    server = await bus.serve("127.0.0.1", 0, "peer", answer, lambda _: None)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


def following(peers):
    loop = asyncio.get_running_loop()
    listed = registry.Registry("me", "127.0.0.1:1", 1.0, None)
    listed.peers = {"me": "127.0.0.1:1", **peers}
    return following_module.Following(
        "me",
        known_leader.KnownLeader("me", loop.time),
        listed,
        lambda link, envelope: None,
        lambda: fleet_messages.Report("me", "127.0.0.1:1", 1),
        lambda: None,
    )


class LeaderLink:
    """A link to a leader that knows nothing newer, or does not answer."""

    is_open = True

    def __init__(self, news=None):
        self._news = news

    async def ask(self, kind, payload, timeout_s):
        if self._news is None:
            raise errors.PeerLostError("no answer in time")
        encoded = fleet.encode_news(self._news)
        return envelopes.Envelope(int(kinds.Kind.NEWS), 1, True, "x", encoded)


def ask_behind(link):
    """Returns the news of a peer that has some, behind a leader."""

    async def body():
        server, address = await peer(NEWER)
        part = following({"peer": address})
        part._link = link
        try:
            return await part.ask_for_news(QUERY)
        finally:
            server.close()

    return asyncio.run(body())


def test_peers_are_asked_when_the_leader_knows_nothing_newer():
    # A leader that has lost the store as well told nothing, and others that
    # had read it were not asked.
    assert ask_behind(LeaderLink(fleet_messages.News())) == NEWER


def test_peers_are_asked_when_the_leader_does_not_answer():
    assert ask_behind(LeaderLink()) == NEWER


def test_peers_are_asked_without_a_leader():
    assert ask_behind(None) == NEWER


def test_nobody_lends_without_a_leader():
    async def body():
        try:
            await following({}).borrow([fleet_messages.Wish("a", 1)])
        except errors.PeerLostError:
            return True
        return False

    assert asyncio.run(body())
