"""Messages between daemons over TCP."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import inspect
import itertools

from sardinehill import errors
from sardinehill import events
from sardinehill.adapters import handshake
from sardinehill.core import fleet
from sardinehill.daemon import peer_connection
from sardinehill.wire import envelopes
from sardinehill.wire import message_kinds

CONNECT_TIMEOUT_S = 0.5
# Messages that wait for one connection to be made; more are dropped.
MAX_WAITING_MESSAGES = 64
# A peer that could not be reached is not dialed for a mere message again
# before this time; a question always dials.
MIN_REDIAL_INTERVAL_S = 0.5
# Connections that have proved nothing yet, whoever made them.
MAX_UNAUTHENTICATED_CONNECTIONS = 256

Handler = Callable[[str, bytes], "bytes | None | Awaitable[bytes | None]"]
LocatePeer = Callable[[str], fleet.Address | None]


class PeerBus:
    """Asks and tells other daemons, and answers them.

    Connections are made when first needed and kept; a question and its answer
    travel on one connection, so that its loss ends every question on it.

    Attributes:
      bad_frames: frames dropped, with the connections they came on.
      dropped_messages: messages that could not be sent.
      message_counts: messages by direction and kind, for instance `("sent", 2)`.
    """

    def __init__(
        self, own_name: str, locate: LocatePeer, secrets: tuple[str, ...]
    ):
        self.bad_frames = 0
        self.dropped_messages = 0
        self.message_counts: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._own_name = own_name
        self._locate = locate
        self._secrets = secrets
        self._handlers: dict[int, Handler] = {}
        self._connections: dict[str, peer_connection.PeerConnection] = {}
        self._dialing: dict[
            str, asyncio.Task[peer_connection.PeerConnection]
        ] = {}
        self._waiting_messages: dict[str, list[envelopes.Envelope]] = {}
        self._dialed_at_s: dict[str, float] = {}
        self._open_connections: set[peer_connection.PeerConnection] = set()
        self._closed_traffic_bytes = [0, 0]
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._message_ids = itertools.count(1)

    @property
    def traffic_bytes(self) -> tuple[int, int]:
        """Bytes sent and received since the start."""
        sent, received = self._closed_traffic_bytes
        for one in self._open_connections:
            sent += one.sent_bytes
            received += one.received_bytes
        return sent, received

    def register(
        self, kind: message_kinds.MessageKind, handler: Handler
    ) -> None:
        """Names the function that handles messages of a kind."""
        self._handlers[int(kind)] = handler

    async def listen(self, address: fleet.Address) -> fleet.Address:
        """Accepts peers, and returns the address as bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, address.ip, address.port, backlog=1024
        )
        ip, port = self._server.sockets[0].getsockname()[:2]
        return fleet.Address(ip, port)

    async def close(self) -> None:
        """Closes the server and every connection."""
        if self._server is not None:
            self._server.close()
        for task in [*self._tasks, *self._dialing.values()]:
            task.cancel()
        for one in list(self._open_connections):
            one.close()

    async def ask(
        self,
        peer: str,
        kind: message_kinds.MessageKind,
        payload: bytes,
        timeout_s: float,
    ) -> bytes:
        """Sends a question and returns its answer.

        Args:
          peer: the name of the daemon to ask; it may be this one.
          kind: what the payload is.
          payload: a message of the kind's schema.
          timeout_s: seconds to wait for the answer.

        Raises:
          PeerNotSentError: nothing left this daemon.
          PeerLostError: the question was sent and no answer came.
        """
        if peer == self._own_name:
            return await self._ask_self(kind, payload)
        one = await self._connect(peer)
        envelope = envelopes.Envelope(
            int(kind), next(self._message_ids), False, self._own_name, payload
        )
        self.message_counts["sent", int(kind)] += 1
        return await one.ask(envelope, timeout_s)

    def send(
        self, peer: str, kind: message_kinds.MessageKind, payload: bytes
    ) -> None:
        """Sends a message that wants no answer; it may be dropped.

        A peer that is not connected is dialed, and the message waits for that
        one attempt.
        """
        envelope = envelopes.Envelope(
            int(kind), 0, False, self._own_name, payload
        )
        one = self._connections.get(peer)
        if one is None or one.is_closed:
            self._send_when_connected(peer, envelope)
        elif one.send(envelope):
            self.message_counts["sent", int(kind)] += 1
        else:
            self.dropped_messages += 1

    def connected_peers(self) -> list[str]:
        """Returns the names of the peers that are connected."""
        return [
            name for name, one in self._connections.items() if not one.is_closed
        ]

    async def connect_to(self, address: fleet.Address) -> str:
        """Connects to whoever listens at an address, and returns its name.

        Raises:
          PeerNotSentError: nobody there proved to share a secret.
        """
        one = await self._dial("", address)
        return one.peer

    async def _ask_self(
        self, kind: message_kinds.MessageKind, payload: bytes
    ) -> bytes:
        answer = await self._handle(self._own_name, int(kind), payload)
        if answer is None:
            raise errors.PeerNotSentError(f"no handler answers {kind!r}")
        return answer

    def _send_when_connected(
        self, peer: str, envelope: envelopes.Envelope
    ) -> None:
        waiting = self._waiting_messages.get(peer)
        if waiting is not None:
            if len(waiting) < MAX_WAITING_MESSAGES:
                waiting.append(envelope)
            else:
                self.dropped_messages += 1
            return
        now_s = asyncio.get_running_loop().time()
        dialed_at_s = self._dialed_at_s.get(peer, float("-inf"))
        if now_s - dialed_at_s < MIN_REDIAL_INTERVAL_S:
            self.dropped_messages += 1
            return
        self._waiting_messages[peer] = [envelope]
        self._spawn(self._send_waiting(peer))

    async def _send_waiting(self, peer: str) -> None:
        try:
            one = await self._connect(peer)
        except errors.PeerError:
            self.dropped_messages += len(self._waiting_messages.pop(peer, []))
            return
        for envelope in self._waiting_messages.pop(peer, []):
            self.message_counts["sent", envelope.kind] += 1
            one.send(envelope)

    async def _connect(self, peer: str) -> peer_connection.PeerConnection:
        one = self._connections.get(peer)
        if one is not None and not one.is_closed:
            return one
        task = self._dialing.get(peer)
        if task is None:
            address = self._locate(peer)
            if address is None:
                raise errors.PeerNotSentError(f"no address of {peer!r}")
            self._dialed_at_s[peer] = asyncio.get_running_loop().time()
            task = asyncio.ensure_future(self._dial(peer, address))
            self._dialing[peer] = task
            task.add_done_callback(lambda done: self._on_dial_done(peer, done))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                raise errors.PeerNotSentError("the daemon stops") from None
            raise

    def _on_dial_done(
        self, peer: str, task: "asyncio.Task[peer_connection.PeerConnection]"
    ) -> None:
        self._dialing.pop(peer, None)
        if not task.cancelled():
            # Read here, since everybody who waited may have been cancelled.
            task.exception()

    async def _dial(
        self, expected_name: str, address: fleet.Address
    ) -> peer_connection.PeerConnection:
        loop = asyncio.get_running_loop()
        side = handshake.Dialer(self._own_name, self._secrets, expected_name)
        one: peer_connection.PeerConnection | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, one = await loop.create_connection(
                    lambda: self._new_connection(side), address.ip, address.port
                )
                await one.authenticated
        except (OSError, TimeoutError) as error:
            if one is not None:
                one.abort()
            raise errors.PeerNotSentError(
                f"{expected_name} at {address}: {error!r}"
            ) from error
        return one

    def _accept(self) -> peer_connection.PeerConnection:
        one = self._new_connection(
            handshake.Acceptor(self._own_name, self._secrets)
        )
        unproven = sum(not each.peer for each in self._open_connections)
        if unproven > MAX_UNAUTHENTICATED_CONNECTIONS:
            asyncio.get_running_loop().call_soon(one.abort)
        return one

    def _new_connection(
        self, side: handshake.Dialer | handshake.Acceptor
    ) -> peer_connection.PeerConnection:
        one = peer_connection.PeerConnection(
            side, self._on_request, self._on_bad_frame
        )
        one.on_authenticated = self._on_authenticated
        one.on_lost = self._on_lost
        self._open_connections.add(one)
        return one

    def _on_authenticated(self, one: peer_connection.PeerConnection) -> None:
        # The newest connection is the one in use: an older one of the same
        # name may lead to a process that is gone.
        self._connections[one.peer] = one
        self._dialed_at_s.pop(one.peer, None)

    def _on_lost(self, one: peer_connection.PeerConnection) -> None:
        self._open_connections.discard(one)
        self._closed_traffic_bytes[0] += one.sent_bytes
        self._closed_traffic_bytes[1] += one.received_bytes
        if self._connections.get(one.peer) is one:
            del self._connections[one.peer]

    def _on_bad_frame(self, detail: str) -> None:
        self.bad_frames += 1
        events.log(events.PEER_REFUSED, detail=detail)

    def _on_request(
        self, one: peer_connection.PeerConnection, envelope: envelopes.Envelope
    ) -> None:
        self.message_counts["received", envelope.kind] += 1
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            return
        try:
            outcome = handler(one.peer, envelope.payload)
        except errors.PeerFrameError as error:
            # The frame was whole, so the connection can go on.
            self._on_bad_frame(f"from {one.peer}: {error}")
            return
        if inspect.isawaitable(outcome):
            self._spawn(self._answer_when_done(one, envelope, outcome))
        else:
            self._answer(one, envelope, outcome)

    async def _answer_when_done(
        self,
        one: peer_connection.PeerConnection,
        envelope: envelopes.Envelope,
        outcome: Awaitable[bytes | None],
    ) -> None:
        try:
            answer = await outcome
        except errors.PeerFrameError as error:
            self._on_bad_frame(f"from {one.peer}: {error}")
            return
        self._answer(one, envelope, answer)

    def _answer(
        self,
        one: peer_connection.PeerConnection,
        envelope: envelopes.Envelope,
        answer: bytes | None,
    ) -> None:
        if answer is None or envelope.message_id == 0:
            return
        one.send(
            envelopes.Envelope(
                envelope.kind,
                envelope.message_id,
                True,
                self._own_name,
                answer,
            )
        )

    async def _handle(
        self, sender: str, kind: int, payload: bytes
    ) -> bytes | None:
        handler = self._handlers.get(kind)
        if handler is None:
            return None
        with contextlib.suppress(errors.PeerFrameError):
            outcome = handler(sender, payload)
            if inspect.isawaitable(outcome):
                return await outcome
            return outcome
        return None

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
