"""Tests of connections between daemons over real sockets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import struct
import threading

import pytest
import uvloop

from sardinehill import errors
from sardinehill.adapters import handshake
from sardinehill.adapters import peers as peer_codec
from sardinehill.core import fleet
from sardinehill.core import peer_messages
from sardinehill.core import replica
from sardinehill.daemon import peer_bus
from sardinehill.wire import envelopes
from sardinehill.wire import message_kinds

OLD_SECRET = "the-old-secret-of-all"
NEW_SECRET = "the-new-secret-of-all"
ANY_PORT = fleet.Address("127.0.0.1", 0)


class BusPair:
    """Two buses, of which `a` knows the address of `b`.

    Attributes:
      address: the address of `b` once it listens.
      received: the sender and payload of each `FORWARD` message to `b`.
      a: the bus that connects to `b`.
      b: the bus that listens.
    """

    def __init__(
        self,
        secrets_a: tuple[str, ...] = (OLD_SECRET,),
        secrets_b: tuple[str, ...] = (OLD_SECRET,),
    ) -> None:
        self.address: fleet.Address | None = None
        self.received: list[tuple[str, bytes]] = []
        self.a = peer_bus.PeerBus("a", lambda _: self.address, secrets_a)
        self.b = peer_bus.PeerBus("b", lambda _: None, secrets_b)
        self.b.register(message_kinds.MessageKind.FORWARD, self._answer)

    def _answer(self, sender: str, payload: bytes) -> bytes:
        self.received.append((sender, payload))
        return payload + b"!"

    async def start(self) -> None:
        """Makes `b` listen."""
        self.address = await self.b.listen(ANY_PORT)

    async def ask(self) -> bytes:
        """Returns the answer of `b` to a request of `a`."""
        return await self.a.ask(
            "b", message_kinds.MessageKind.FORWARD, b"q", 1.0
        )


def _run(pair: BusPair, scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await pair.start()
        try:
            await scenario()
        finally:
            await pair.a.close()
            await pair.b.close()

    asyncio.run(run())


async def _wait_until(condition: Callable[[], bool]) -> None:
    """Waits about 10 seconds at most until a condition is true."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not become true")


def _frame(kind: int, payload: bytes, sender: str = "") -> bytes:
    return envelopes.encode(
        envelopes.Envelope(int(kind), 0, False, sender, payload)
    )


async def _send_raw(pair: BusPair, data: bytes) -> bytes:
    """Sends bytes to `b` and returns its answer once it has closed."""
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
    [
        ((OLD_SECRET,), (OLD_SECRET,)),
        ((NEW_SECRET, OLD_SECRET), (OLD_SECRET,)),
        ((OLD_SECRET,), (NEW_SECRET, OLD_SECRET)),
    ],
)
def test_peers_with_a_shared_secret_exchange_messages(
    secrets_a: tuple[str, ...], secrets_b: tuple[str, ...]
) -> None:
    pair = BusPair(secrets_a, secrets_b)

    async def scenario() -> None:
        assert await pair.ask() == b"q!"
        assert pair.received == [("a", b"q")]

    _run(pair, scenario)


def test_peers_without_a_shared_secret_exchange_no_messages() -> None:
    pair = BusPair((NEW_SECRET,), (OLD_SECRET,))

    async def scenario() -> None:
        with pytest.raises(errors.PeerNotSentError):
            await pair.ask()
        assert pair.received == []
        assert pair.b.bad_frames == 1

    _run(pair, scenario)


def test_both_ends_of_a_connection_can_send_requests() -> None:
    pair = BusPair()
    pair.a.register(
        message_kinds.MessageKind.CANCEL, lambda sender, payload: b"back"
    )

    async def scenario() -> None:
        await pair.ask()
        answer = await pair.b.ask(
            "a", message_kinds.MessageKind.CANCEL, b"", 1.0
        )
        assert answer == b"back"

    _run(pair, scenario)


def test_messages_are_queued_until_the_connection_is_made() -> None:
    pair = BusPair()

    async def scenario() -> None:
        pair.a.send("b", message_kinds.MessageKind.FORWARD, b"1")
        pair.a.send("b", message_kinds.MessageKind.FORWARD, b"2")
        await _wait_until(lambda: len(pair.received) == 2)
        assert pair.received == [("a", b"1"), ("a", b"2")]

    _run(pair, scenario)


def test_a_peer_with_an_unexpected_name_is_rejected() -> None:
    pair = BusPair()

    async def scenario() -> None:
        with pytest.raises(errors.PeerNotSentError):
            await pair.a.ask("c", message_kinds.MessageKind.FORWARD, b"q", 1.0)
        assert pair.received == []

    _run(pair, scenario)


def test_messages_before_the_handshake_are_rejected() -> None:
    pair = BusPair()

    async def scenario() -> None:
        await _send_raw(
            pair, _frame(message_kinds.MessageKind.FORWARD, b"q", "a")
        )
        assert pair.received == []
        assert pair.b.bad_frames == 1

    _run(pair, scenario)


def test_an_acceptor_proof_is_not_valid_as_a_dialer_proof() -> None:
    acceptor = handshake.Acceptor("b", (OLD_SECRET,))
    dialer = handshake.Dialer("a", (OLD_SECRET,), "b")
    welcome = acceptor.welcome(dialer.hello())
    with pytest.raises(errors.PeerFrameError):
        acceptor.verify(handshake.Proof(welcome.proof))
    acceptor.verify(dialer.prove(welcome))


def test_a_proof_before_a_hello_is_rejected() -> None:
    acceptor = handshake.Acceptor("b", (OLD_SECRET,))
    with pytest.raises(errors.PeerFrameError):
        acceptor.verify(handshake.Proof(b""))


def test_an_oversized_frame_before_the_handshake_is_rejected() -> None:
    pair = BusPair()

    async def scenario() -> None:
        length = struct.pack(">I", 1024 * 1024)
        assert await _send_raw(pair, length + b"x" * 100) == b""
        assert pair.b.bad_frames == 1

    _run(pair, scenario)


def test_a_peer_that_sends_under_another_name_is_disconnected() -> None:
    pair = BusPair()

    async def scenario() -> None:
        await pair.ask()
        (connection,) = pair.a._open_connections
        connection.send(envelopes.Envelope(10, 0, False, "c", b"q"))
        await _wait_until(lambda: not pair.a.connected_peers())
        assert pair.received == [("a", b"q")]
        assert pair.b.bad_frames == 1

    _run(pair, scenario)


def test_a_malformed_payload_does_not_close_the_connection() -> None:
    pair = BusPair()

    def decode(sender: str, payload: bytes) -> None:
        peer_codec.decode(message_kinds.MessageKind.HEARTBEAT, payload)

    pair.b.register(message_kinds.MessageKind.HEARTBEAT, decode)

    async def scenario() -> None:
        pair.a.send("b", message_kinds.MessageKind.HEARTBEAT, b"garbage")
        assert await pair.ask() == b"q!"
        assert pair.b.bad_frames == 1

    _run(pair, scenario)


def test_a_lost_connection_fails_every_pending_request() -> None:
    pair = BusPair()

    async def never_answer(sender: str, payload: bytes) -> bytes:
        await asyncio.Event().wait()
        return b""

    pair.b.register(message_kinds.MessageKind.CANCEL, never_answer)

    async def scenario() -> None:
        await pair.ask()
        request = asyncio.ensure_future(
            pair.a.ask("b", message_kinds.MessageKind.CANCEL, b"", 30.0)
        )
        await asyncio.sleep(0.05)
        for connection in list(pair.b._open_connections):
            connection.abort()
        with pytest.raises(errors.PeerLostError):
            await request

    _run(pair, scenario)


def test_malformed_frames_do_not_stop_the_daemon() -> None:
    pair = BusPair()
    generator = random.Random(3)
    dialer = handshake.Dialer("a", (OLD_SECRET,), "b")
    hello = _frame(1, handshake.encode(dialer.hello()))

    async def scenario() -> None:
        for number in range(150):
            data = bytearray(hello if number % 2 else generator.randbytes(80))
            for _ in range(generator.randrange(1, 5)):
                data[generator.randrange(len(data))] = generator.randrange(256)
            length = (
                generator.randrange(len(data)) if number % 3 == 0 else len(data)
            )
            await _send_raw(pair, bytes(data[:length]))
        assert await pair.ask() == b"q!"
        assert pair.received == [("a", b"q")]

    _run(pair, scenario)


def test_malformed_payloads_raise_only_peer_frame_error() -> None:
    generator = random.Random(4)
    messages: list[peer_messages.Message] = [
        peer_messages.Heartbeat(1, "b", 2, 3),
        peer_messages.HeartbeatAnswer(1, "b", 2, 3, 4),
        peer_messages.LeaveRequest("b", 2),
    ]
    rejected = 0
    for number in range(6000):
        kind, payload = peer_codec.encode(messages[number % len(messages)])
        data = bytearray(payload)
        for _ in range(generator.randrange(1, 4)):
            data[generator.randrange(len(data))] = generator.randrange(256)
        length = (
            generator.randrange(len(data)) if number % 4 == 0 else len(data)
        )
        try:
            peer_codec.decode(kind, bytes(data[:length]))
        except errors.PeerFrameError:
            rejected += 1
    assert rejected > 1000


@pytest.mark.parametrize("body", [b"", b"short", b"long " * 10_000])
def test_item_bodies_round_trip_in_short_payloads(body: bytes) -> None:
    message = peer_messages.ItemBodies(
        (replica.Item("config", "fleet", 1, body),)
    )
    kind, payload = peer_codec.encode(message)
    assert peer_codec.decode(kind, payload) == message
    assert len(payload) < 2000


def test_a_body_that_decompresses_beyond_the_limit_is_rejected() -> None:
    body = b"x" * (peer_codec.MAX_BODY_BYTES + 1)
    message = peer_messages.ItemBodies(
        (replica.Item("config", "fleet", 1, body),)
    )
    kind, payload = peer_codec.encode(message)
    with pytest.raises(errors.PeerFrameError):
        peer_codec.decode(kind, payload)


def test_a_corrupt_compressed_body_decodes_or_raises_peer_frame_error() -> None:
    generator = random.Random(5)
    body = b"long " * 10_000
    message = peer_messages.ItemBodies(
        (replica.Item("config", "fleet", 1, body),)
    )
    kind, payload = peer_codec.encode(message)
    for _ in range(500):
        data = bytearray(payload)
        data[generator.randrange(len(data))] ^= 1 << generator.randrange(8)
        try:
            decoded = peer_codec.decode(kind, bytes(data))
        except errors.PeerFrameError:
            continue
        assert isinstance(decoded, peer_messages.Message)


@pytest.fixture
def bus_of_another_loop():
    """Yields the address of a bus `b` that answers from another thread."""
    bus = peer_bus.PeerBus("b", lambda _: None, (OLD_SECRET,))
    bus.register(
        message_kinds.MessageKind.FORWARD, lambda sender, payload: payload
    )
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    address = asyncio.run_coroutine_threadsafe(bus.listen(ANY_PORT), loop)
    yield address.result()
    asyncio.run_coroutine_threadsafe(bus.close(), loop).result()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.mark.parametrize("new_loop", [uvloop.new_event_loop, None])
def test_answer_that_arrived_in_time_is_taken_by_a_loop_that_was_held_up(
    bus_of_another_loop, new_loop
):
    async def scenario():
        bus = peer_bus.PeerBus(
            "a", lambda _: bus_of_another_loop, (OLD_SECRET,)
        )
        kind = message_kinds.MessageKind.FORWARD
        await bus.ask("b", kind, b"first", 1.0)
        asking = asyncio.ensure_future(bus.ask("b", kind, b"second", 0.2))
        await asyncio.sleep(0)
        threading.Event().wait(0.4)
        try:
            assert await asking == b"second"
        finally:
            await bus.close()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(scenario())
