"""Claims about connections between daemons, over real sockets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import struct

import pytest

from sardinehill import errors
from sardinehill.adapters import handshake
from sardinehill.adapters import peers as peer_codec
from sardinehill.core import fleet
from sardinehill.core import peer_messages
from sardinehill.core import replica
from sardinehill.daemon import peers
from sardinehill.wire import envelopes
from sardinehill.wire import kinds

OLD = "the-old-secret-of-all"
NEW = "the-new-secret-of-all"
ANY_PORT = fleet.Address("127.0.0.1", 0)


class Pair:
    """Two buses, of which `a` knows where `b` listens."""

    def __init__(
        self,
        secrets_a: tuple[str, ...] = (OLD,),
        secrets_b: tuple[str, ...] = (OLD,),
    ) -> None:
        self.address: fleet.Address | None = None
        self.heard: list[tuple[str, bytes]] = []
        self.a = peers.PeerBus("a", lambda _: self.address, secrets_a)
        self.b = peers.PeerBus("b", lambda _: None, secrets_b)
        self.b.register(kinds.Kind.FORWARD, self._answer)

    def _answer(self, sender: str, payload: bytes) -> bytes:
        self.heard.append((sender, payload))
        return payload + b"!"

    async def start(self) -> None:
        """Lets `b` listen."""
        self.address = await self.b.listen(ANY_PORT)

    async def ask(self) -> bytes:
        """Returns the answer of `b` to a question of `a`."""
        return await self.a.ask("b", kinds.Kind.FORWARD, b"q", 1.0)


def _run(pair: Pair, story: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await pair.start()
        try:
            await story()
        finally:
            await pair.a.close()
            await pair.b.close()

    asyncio.run(run())


async def _until(holds: Callable[[], bool]) -> None:
    """Returns once a condition holds; the suite's limit ends a wait."""
    for _ in range(1000):
        if holds():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition never held")


def _frame(kind: int, payload: bytes, sender: str = "") -> bytes:
    return envelopes.encode(
        envelopes.Envelope(int(kind), 0, False, sender, payload)
    )


async def _send_raw(pair: Pair, data: bytes) -> bytes:
    """Sends bytes to `b` and returns what it answers before it closes."""
    assert pair.address is not None
    reader, writer = await asyncio.open_connection(
        pair.address.ip, pair.address.port
    )
    writer.write(data)
    writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("secrets_a", "secrets_b"),
    [((OLD,), (OLD,)), ((NEW, OLD), (OLD,)), ((OLD,), (NEW, OLD))],
)
def test_peers_that_share_a_secret_talk(
    secrets_a: tuple[str, ...], secrets_b: tuple[str, ...]
) -> None:
    pair = Pair(secrets_a, secrets_b)

    async def story() -> None:
        assert await pair.ask() == b"q!"
        assert pair.heard == [("a", b"q")]

    _run(pair, story)


def test_peers_without_a_shared_secret_do_not_talk() -> None:
    pair = Pair((NEW,), (OLD,))

    async def story() -> None:
        with pytest.raises(errors.PeerNotSentError):
            await pair.ask()
        assert pair.heard == []
        assert pair.b.bad_frames == 1

    _run(pair, story)


def test_both_ends_of_a_connection_ask() -> None:
    pair = Pair()
    pair.a.register(kinds.Kind.CANCEL, lambda sender, payload: b"back")

    async def story() -> None:
        await pair.ask()
        answer = await pair.b.ask("a", kinds.Kind.CANCEL, b"", 1.0)
        assert answer == b"back"

    _run(pair, story)


def test_a_message_waits_for_the_connection_to_be_made() -> None:
    pair = Pair()

    async def story() -> None:
        pair.a.tell("b", kinds.Kind.FORWARD, b"1")
        pair.a.tell("b", kinds.Kind.FORWARD, b"2")
        await _until(lambda: len(pair.heard) == 2)
        assert pair.heard == [("a", b"1"), ("a", b"2")]

    _run(pair, story)


def test_a_host_under_another_name_is_not_the_peer() -> None:
    pair = Pair()

    async def story() -> None:
        with pytest.raises(errors.PeerNotSentError):
            await pair.a.ask("c", kinds.Kind.FORWARD, b"q", 1.0)
        assert pair.heard == []

    _run(pair, story)


def test_a_stranger_who_proves_nothing_is_not_heard() -> None:
    pair = Pair()

    async def story() -> None:
        await _send_raw(pair, _frame(kinds.Kind.FORWARD, b"q", "a"))
        assert pair.heard == []
        assert pair.b.bad_frames == 1

    _run(pair, story)


def test_a_proof_of_the_accepting_side_is_no_proof_of_the_dialing_one() -> None:
    acceptor = handshake.Acceptor("b", (OLD,))
    dialer = handshake.Dialer("a", (OLD,), "b")
    welcome = acceptor.welcome(dialer.hello())
    with pytest.raises(errors.PeerFrameError):
        acceptor.check(handshake.Proof(welcome.proof))
    acceptor.check(dialer.prove(welcome))


def test_a_proof_before_a_hello_is_refused() -> None:
    acceptor = handshake.Acceptor("b", (OLD,))
    with pytest.raises(errors.PeerFrameError):
        acceptor.check(handshake.Proof(b""))


def test_an_oversized_frame_of_a_stranger_is_not_kept() -> None:
    pair = Pair()

    async def story() -> None:
        length = struct.pack(">I", 1024 * 1024)
        assert await _send_raw(pair, length + b"x" * 100) == b""
        assert pair.b.bad_frames == 1

    _run(pair, story)


def test_a_peer_that_speaks_for_another_is_cut_off() -> None:
    pair = Pair()

    async def story() -> None:
        await pair.ask()
        (one,) = pair.a._all
        one.send(envelopes.Envelope(10, 0, False, "c", b"q"))
        await _until(lambda: not pair.a.peers())
        assert pair.heard == [("a", b"q")]
        assert pair.b.bad_frames == 1

    _run(pair, story)


def test_a_bad_payload_is_dropped_and_the_connection_goes_on() -> None:
    pair = Pair()

    def decode(sender: str, payload: bytes) -> None:
        peer_codec.decode(kinds.Kind.HEARTBEAT, payload)

    pair.b.register(kinds.Kind.HEARTBEAT, decode)

    async def story() -> None:
        pair.a.tell("b", kinds.Kind.HEARTBEAT, b"garbage")
        assert await pair.ask() == b"q!"
        assert pair.b.bad_frames == 1

    _run(pair, story)


def test_a_lost_connection_ends_every_question_on_it() -> None:
    pair = Pair()

    async def never(sender: str, payload: bytes) -> bytes:
        await asyncio.Event().wait()
        return b""

    pair.b.register(kinds.Kind.CANCEL, never)

    async def story() -> None:
        await pair.ask()
        question = asyncio.ensure_future(
            pair.a.ask("b", kinds.Kind.CANCEL, b"", 30.0)
        )
        await asyncio.sleep(0.05)
        for one in list(pair.b._all):
            one.abort()
        with pytest.raises(errors.PeerLostError):
            await question

    _run(pair, story)


def test_garbage_never_ends_a_daemon() -> None:
    pair = Pair()
    noise = random.Random(3)
    dialer = handshake.Dialer("a", (OLD,), "b")
    hello = _frame(1, handshake.encode(dialer.hello()))

    async def story() -> None:
        for number in range(150):
            data = bytearray(hello if number % 2 else noise.randbytes(80))
            for _ in range(noise.randrange(1, 5)):
                data[noise.randrange(len(data))] = noise.randrange(256)
            cut = noise.randrange(len(data)) if number % 3 == 0 else len(data)
            await _send_raw(pair, bytes(data[:cut]))
        assert await pair.ask() == b"q!"
        assert pair.heard == [("a", b"q")]

    _run(pair, story)


def test_garbage_payloads_are_told_as_errors() -> None:
    noise = random.Random(4)
    messages: list[peer_messages.Message] = [
        peer_messages.Heartbeat(1, "b", 2, 3),
        peer_messages.HeartbeatAnswer(1, "b", 2, 3, 4),
        peer_messages.LeaveRequest("b", 2),
    ]
    refused = 0
    for number in range(6000):
        kind, payload = peer_codec.encode(messages[number % len(messages)])
        data = bytearray(payload)
        for _ in range(noise.randrange(1, 4)):
            data[noise.randrange(len(data))] = noise.randrange(256)
        cut = noise.randrange(len(data)) if number % 4 == 0 else len(data)
        try:
            peer_codec.decode(kind, bytes(data[:cut]))
        except errors.PeerFrameError:
            refused += 1
    assert refused > 1000


@pytest.mark.parametrize("body", [b"", b"short", b"long " * 10_000])
def test_a_body_comes_as_it_was_sent(body: bytes) -> None:
    message = peer_messages.ItemBodies(
        (replica.Item("config", "fleet", 1, body),)
    )
    kind, payload = peer_codec.encode(message)
    assert peer_codec.decode(kind, payload) == message
    assert len(payload) < 2000


def test_a_body_that_grows_without_end_is_refused() -> None:
    body = b"x" * (peer_codec.BODY_LIMIT_BYTES + 1)
    message = peer_messages.ItemBodies(
        (replica.Item("config", "fleet", 1, body),)
    )
    kind, payload = peer_codec.encode(message)
    with pytest.raises(errors.PeerFrameError):
        peer_codec.decode(kind, payload)


def test_a_garbled_compressed_body_is_refused() -> None:
    noise = random.Random(5)
    body = b"long " * 10_000
    message = peer_messages.ItemBodies(
        (replica.Item("config", "fleet", 1, body),)
    )
    kind, payload = peer_codec.encode(message)
    for _ in range(500):
        data = bytearray(payload)
        data[noise.randrange(len(data))] ^= 1 << noise.randrange(8)
        try:
            found = peer_codec.decode(kind, bytes(data))
        except errors.PeerFrameError:
            continue
        assert isinstance(found, peer_messages.Message)
