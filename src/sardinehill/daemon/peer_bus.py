"""Exchanges messages between daemons over TCP."""

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
# Limit on the messages that wait for one connection; more are dropped.
MAX_WAITING_MESSAGES = 64
# Time after an attempt to connect to an unreachable peer in which one-way
# messages to it are dropped without a new attempt. A request always connects.
MIN_REDIAL_INTERVAL_S = 0.5
# Limit on unauthenticated connections, whichever side opened them.
MAX_UNAUTHENTICATED_CONNECTIONS = 256

Handler = Callable[[str, bytes], "bytes | None | Awaitable[bytes | None]"]
LocatePeer = Callable[[str], fleet.Address | None]


class PeerBus:
    """Sends requests and one-way messages to peers and handles theirs.

    A connection is opened when it is first needed and then kept. A request and
    its answer use the same connection, so the loss of a connection fails every
    request on it.

    Attributes:
      bad_frames: the number of malformed frames and payloads received.
      dropped_messages: the number of one-way messages that could not be sent.
      message_counts: the number of messages by direction and kind, for instance
        `("sent", 2)`.
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
        for connection in self._open_connections:
            sent += connection.sent_bytes
            received += connection.received_bytes
        return sent, received

    def register(
        self, kind: message_kinds.MessageKind, handler: Handler
    ) -> None:
        """Sets the handler of messages of a kind, replacing any earlier one."""
        self._handlers[int(kind)] = handler

    async def listen(self, address: fleet.Address) -> fleet.Address:
        """Starts to accept peers and returns the bound address."""
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
        for connection in list(self._open_connections):
            connection.close()

    async def ask(
        self,
        peer: str,
        kind: message_kinds.MessageKind,
        payload: bytes,
        timeout_s: float,
    ) -> bytes:
        """Sends a request and returns its answer.

        Args:
          peer: the name of the receiving daemon, which may be this one.
          kind: the kind of the message.
          payload: a message in the schema of the kind.
          timeout_s: seconds to wait for the answer.

        Raises:
          PeerNotSentError: nothing was sent.
          PeerLostError: the request was sent, but no answer arrived.
        """
        if peer == self._own_name:
            return await self._ask_self(kind, payload)
        connection = await self._connect(peer)
        envelope = envelopes.Envelope(
            int(kind), next(self._message_ids), False, self._own_name, payload
        )
        self.message_counts["sent", int(kind)] += 1
        return await connection.ask(envelope, timeout_s)

    def send(
        self, peer: str, kind: message_kinds.MessageKind, payload: bytes
    ) -> None:
        """Sends a one-way message, which may be dropped.

        If the peer is not connected, it is dialed once, and the message waits
        for the result of that attempt.
        """
        envelope = envelopes.Envelope(
            int(kind), 0, False, self._own_name, payload
        )
        connection = self._connections.get(peer)
        if connection is None or connection.is_closed:
            self._send_when_connected(peer, envelope)
        elif connection.send(envelope):
            self.message_counts["sent", int(kind)] += 1
        else:
            self.dropped_messages += 1

    def connected_peers(self) -> list[str]:
        """Returns the names of the connected peers."""
        return [
            name
            for name, connection in self._connections.items()
            if not connection.is_closed
        ]

    async def connect_to(self, address: fleet.Address) -> str:
        """Connects to the daemon at an address and returns its name.

        Raises:
          PeerNotSentError: the connection or the authentication failed.
        """
        connection = await self._dial("", address)
        return connection.peer

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
            connection = await self._connect(peer)
        except errors.PeerError:
            self.dropped_messages += len(self._waiting_messages.pop(peer, []))
            return
        for envelope in self._waiting_messages.pop(peer, []):
            self.message_counts["sent", envelope.kind] += 1
            connection.send(envelope)

    async def _connect(self, peer: str) -> peer_connection.PeerConnection:
        connection = self._connections.get(peer)
        if connection is not None and not connection.is_closed:
            return connection
        task = self._dialing.get(peer)
        if task is None:
            address = self._locate(peer)
            if address is None:
                raise errors.PeerNotSentError(
                    f"the address of {peer!r} is unknown"
                )
            self._dialed_at_s[peer] = asyncio.get_running_loop().time()
            task = asyncio.ensure_future(self._dial(peer, address))
            self._dialing[peer] = task
            task.add_done_callback(lambda done: self._on_dial_done(peer, done))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                raise errors.PeerNotSentError(
                    "the daemon is stopping"
                ) from None
            raise

    def _on_dial_done(
        self, peer: str, task: "asyncio.Task[peer_connection.PeerConnection]"
    ) -> None:
        self._dialing.pop(peer, None)
        if not task.cancelled():
            # The exception is retrieved here, because all tasks that waited for
            # it may have been cancelled.
            task.exception()

    async def _dial(
        self, expected_name: str, address: fleet.Address
    ) -> peer_connection.PeerConnection:
        loop = asyncio.get_running_loop()
        side = handshake.Dialer(self._own_name, self._secrets, expected_name)
        connection: peer_connection.PeerConnection | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: self._new_connection(side), address.ip, address.port
                )
                await connection.authenticated
        except (OSError, TimeoutError) as error:
            if connection is not None:
                connection.abort()
            raise errors.PeerNotSentError(
                f"{expected_name} at {address}: {error!r}"
            ) from error
        return connection

    def _accept(self) -> peer_connection.PeerConnection:
        connection = self._new_connection(
            handshake.Acceptor(self._own_name, self._secrets)
        )
        unauthenticated = sum(
            not opened.peer for opened in self._open_connections
        )
        if unauthenticated > MAX_UNAUTHENTICATED_CONNECTIONS:
            asyncio.get_running_loop().call_soon(connection.abort)
        return connection

    def _new_connection(
        self, side: handshake.Dialer | handshake.Acceptor
    ) -> peer_connection.PeerConnection:
        connection = peer_connection.PeerConnection(
            side, self._on_request, self._on_bad_frame
        )
        connection.on_authenticated = self._on_authenticated
        connection.on_lost = self._on_lost
        self._open_connections.add(connection)
        return connection

    def _on_authenticated(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        # The newest connection is used, because an older one of the same name
        # may belong to a process that no longer exists.
        self._connections[connection.peer] = connection
        self._dialed_at_s.pop(connection.peer, None)

    def _on_lost(self, connection: peer_connection.PeerConnection) -> None:
        self._open_connections.discard(connection)
        self._closed_traffic_bytes[0] += connection.sent_bytes
        self._closed_traffic_bytes[1] += connection.received_bytes
        if self._connections.get(connection.peer) is connection:
            del self._connections[connection.peer]

    def _on_bad_frame(self, detail: str) -> None:
        self.bad_frames += 1
        events.log(events.PEER_REFUSED, detail=detail)

    def _on_request(
        self,
        connection: peer_connection.PeerConnection,
        envelope: envelopes.Envelope,
    ) -> None:
        self.message_counts["received", envelope.kind] += 1
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            return
        try:
            result = handler(connection.peer, envelope.payload)
        except errors.PeerFrameError as error:
            # The frame itself was complete, so the connection remains usable.
            self._on_bad_frame(f"from {connection.peer}: {error}")
            return
        if inspect.isawaitable(result):
            self._spawn(self._answer_when_done(connection, envelope, result))
        else:
            self._answer(connection, envelope, result)

    async def _answer_when_done(
        self,
        connection: peer_connection.PeerConnection,
        envelope: envelopes.Envelope,
        result: Awaitable[bytes | None],
    ) -> None:
        try:
            answer = await result
        except errors.PeerFrameError as error:
            self._on_bad_frame(f"from {connection.peer}: {error}")
            return
        self._answer(connection, envelope, answer)

    def _answer(
        self,
        connection: peer_connection.PeerConnection,
        envelope: envelopes.Envelope,
        answer: bytes | None,
    ) -> None:
        if answer is None or envelope.message_id == 0:
            return
        connection.send(
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
            result = handler(sender, payload)
            if inspect.isawaitable(result):
                return await result
            return result
        return None

    def _spawn(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
