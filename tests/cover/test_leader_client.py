"""Tests of queries to the followed leader and to other peers."""

import asyncio

import pytest

from sardinehill import errors
from sardinehill.core import fleet_messages
from sardinehill.core import store_versions
from sardinehill.front import known_leader
from sardinehill.front import leader_client
from sardinehill.front import leader_term
from sardinehill.front import peer_links
from sardinehill.front import peer_registry
from sardinehill.wire import envelopes
from sardinehill.wire import fleet
from sardinehill.wire import message_kinds

REVISION_1 = store_versions.StoreVersion(1, 1)
QUERY_AT_REVISION_1 = fleet_messages.StoreStateQuery(
    REVISION_1, REVISION_1, REVISION_1
)
NEWER_CONFIG = fleet_messages.StoreState(
    config_version=store_versions.StoreVersion(1, 5), config=b"{}"
)


async def serve_peer(state):
    """Serves a peer that answers with a state; returns server and address."""

    def answer(link, envelope):
        assert envelope.kind == message_kinds.MessageKind.STORE_STATE_QUERY
        link.send(
            message_kinds.MessageKind.STORE_STATE,
            fleet.encode_store_state(state, 1),
            envelope.message_id,
            is_answer=True,
        )

    server = await peer_links.serve(
        "127.0.0.1", 0, "peer", answer, lambda _: None
    )
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


def new_client(peers):
    loop = asyncio.get_running_loop()
    registry = peer_registry.PeerRegistry("me", "127.0.0.1:1", 1.0, None)
    registry.peer_addresses = {"me": "127.0.0.1:1", **peers}
    return leader_client.LeaderClient(
        "me",
        known_leader.KnownLeader("me", loop.time),
        registry,
        lambda link, envelope: None,
        lambda: fleet_messages.DaemonReport("me", "127.0.0.1:1", 1),
        lambda: None,
        no_answers,
    )


async def no_answers():
    """Asks no peer who leads."""
    return []


class LeaderLink:
    """A link to a leader that answers with a state, or not at all."""

    is_open = True

    def __init__(self, state=None):
        self._state = state

    async def ask(self, kind, payload, timeout_s):
        if self._state is None:
            raise errors.PeerLostError("no answer in time")
        encoded = fleet.encode_store_state(self._state, 1)
        return envelopes.Envelope(
            int(message_kinds.MessageKind.STORE_STATE), 1, True, "x", encoded
        )


def fetch_with_link(link):
    """Returns what a client fetches that has a leader link and one peer.

    The peer has newer documents.
    """

    async def body():
        server, address = await serve_peer(NEWER_CONFIG)
        client = new_client({"peer": address})
        client._link = link
        try:
            return await client.fetch_documents(QUERY_AT_REVISION_1)
        finally:
            server.close()

    return asyncio.run(body())


def test_peers_are_queried_when_the_leader_has_nothing_newer():
    # Guards against a fault in which an empty answer from a leader that had
    # also lost the store kept the client from asking peers that had read it.
    assert (
        fetch_with_link(LeaderLink(fleet_messages.StoreState())) == NEWER_CONFIG
    )


def test_peers_are_queried_when_the_leader_does_not_answer():
    assert fetch_with_link(LeaderLink()) == NEWER_CONFIG


def test_peers_are_queried_without_a_leader():
    assert fetch_with_link(None) == NEWER_CONFIG


def test_borrowing_fails_without_a_leader():
    async def body():
        try:
            await new_client({}).borrow(
                fleet_messages.LoanKind.QUOTA,
                [fleet_messages.TokenRequest("a", 1)],
            )
        except errors.PeerLostError:
            return True
        return False

    assert asyncio.run(body())


@pytest.mark.parametrize(
    ("silent_s", "registers_again"),
    [
        (leader_client.MAX_UNREPORTED_S - 1, False),
        (leader_term.REGISTRATION_EXPIRY_S, True),
    ],
)
def test_daemon_that_returns_after_a_long_cut_has_itself_registered_again(
    silent_s, registers_again
):
    async def body():
        server, address = await serve_peer(NEWER_CONFIG)
        client = new_client({"leader": address})
        client._registry.lease = peer_registry.LeaderLease(1, "leader", address)
        client._known_leader._reported_s -= silent_s
        following = asyncio.ensure_future(client.follow())
        await asyncio.sleep(0.1)
        following.cancel()
        server.close()
        return client._registry._may_be_removed

    assert asyncio.run(body()) is registers_again


def test_daemon_that_learns_of_a_later_leader_through_a_peer_follows_that_one():
    # It went on to the leader that the peer had named at first, whose daemon
    # passed on the later one's tables, and never reported to that.
    earlier = fleet_messages.LeaderTable(1, "old", "127.0.0.1:9", 1, 2)
    later = fleet_messages.LeaderTable(2, "new", "127.0.0.1:8", 1, 2)

    async def body():
        def answer(link, envelope):
            link.send(
                message_kinds.MessageKind.LEADER_TABLE,
                fleet.encode_table(later),
            )

        server = await peer_links.serve(
            "127.0.0.1", 0, "peer", answer, lambda _: None
        )
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = new_client({"peer": address})
        leader = client._known_leader
        leader.note_term(earlier.term)
        client._receive = lambda link, envelope: leader.apply_table(
            fleet.decode_table(envelope.payload)
        )

        async def name_the_earlier_one():
            return [(earlier, address)]

        client._query_peers = name_the_earlier_one
        assert await client._follow_via_peer()
        server.close()
        return leader.next_leader

    assert asyncio.run(body()).holder == "new"
