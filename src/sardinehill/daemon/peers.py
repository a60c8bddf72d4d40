"""Messages between daemons over TCP."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import inspect
import itertools
import logging
import typing

from sardinehill import errors
from sardinehill.core import fleet
from sardinehill.wire import envelopes
from sardinehill.wire import kinds

CONNECT_TIMEOUT_S = 0.5

Handler = Callable[[str, bytes], "bytes | None | Awaitable[bytes | None]"]
Locate = Callable[[str], fleet.Address | None]

_log = logging.getLogger(__name__)


class PeerBus:
    """Asks and tells other daemons, and answers them.

    Connections are made when first needed and kept; a question and its answer
    travel on one connection, so that its loss ends every question on it.
    """

    def __init__(self, own_name: str, locate: Locate):
        self._own_name = own_name
        self._locate = locate
        self._handlers: dict[int, Handler] = {}
        self._connections: dict[str, _Connection] = {}
        self._connecting: dict[str, asyncio.Task[_Connection]] = {}
        self._accepted: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._ids = itertools.count(1)

    def register(self, kind: kinds.Kind, handler: Handler) -> None:
        """Names the function that handles messages of a kind."""
        self._handlers[int(kind)] = handler

    async def listen(self, address: fleet.Address) -> fleet.Address:
        """Accepts peers, and returns the address as bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, address.ip, address.port
        )
        ip, port = self._server.sockets[0].getsockname()[:2]
        return fleet.Address(ip, port)

    async def close(self) -> None:
        """Closes the server and every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in [*self._connections.values(), *self._accepted]:
            connection.close()

    async def ask(
        self, peer: str, kind: kinds.Kind, payload: bytes, timeout_s: float
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
        connection = await self._connect(peer)
        message_id = next(self._ids)
        return await connection.ask(
            envelopes.Envelope(
                int(kind), message_id, False, self._own_name, payload
            ),
            timeout_s,
        )

    def tell(self, peer: str, kind: kinds.Kind, payload: bytes) -> None:
        """Sends a message that wants no answer, if the peer is connected."""
        connection = self._connections.get(peer)
        if connection is None or connection.is_closed:
            return
        envelope = envelopes.Envelope(
            int(kind), 0, False, self._own_name, payload
        )
        connection.send(envelope)

    def peers(self) -> list[str]:
        """Returns the names of the peers that are connected."""
        return [
            name
            for name, connection in self._connections.items()
            if not connection.is_closed
        ]

    async def _ask_self(self, kind: kinds.Kind, payload: bytes) -> bytes:
        answer = await self._handle(self._own_name, int(kind), payload)
        if answer is None:
            raise errors.PeerNotSentError(f"no handler answers {kind!r}")
        return answer

    async def _connect(self, peer: str) -> "_Connection":
        connection = self._connections.get(peer)
        if connection is not None and not connection.is_closed:
            return connection
        task = self._connecting.get(peer)
        if task is None:
            task = asyncio.ensure_future(self._dial(peer))
            self._connecting[peer] = task
            task.add_done_callback(lambda _: self._connecting.pop(peer, None))
        return await asyncio.shield(task)

    async def _dial(self, peer: str) -> "_Connection":
        address = self._locate(peer)
        if address is None:
            raise errors.PeerNotSentError(f"no address of {peer!r} is known")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self._receive), address.ip, address.port
                )
        except (OSError, TimeoutError) as error:
            raise errors.PeerNotSentError(f"{peer}: {error!r}") from error
        self._connections[peer] = connection
        return connection

    def _accept(self) -> "_Connection":
        connection = _Connection(self._receive)
        self._accepted.add(connection)
        connection.on_lost = lambda: self._accepted.discard(connection)
        return connection

    def _receive(
        self, connection: "_Connection", envelope: envelopes.Envelope
    ) -> None:
        task = asyncio.ensure_future(self._serve(connection, envelope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, connection: "_Connection", envelope: envelopes.Envelope
    ) -> None:
        answer = await self._handle(
            envelope.sender, envelope.kind, envelope.payload
        )
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
        try:
            outcome = handler(sender, payload)
            if inspect.isawaitable(outcome):
                return await outcome
            return outcome
        except errors.PeerFrameError:
            _log.warning("a frame of kind %d from %s is garbage", kind, sender)
            return None


class _Connection(asyncio.Protocol):
    """One TCP connection; both ends may ask on it."""

    def __init__(
        self, receive: Callable[["_Connection", envelopes.Envelope], None]
    ):
        self._receive = receive
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._waiting: dict[int, asyncio.Future[bytes]] = {}
        self.on_lost: Callable[[], None] | None = None

    @property
    def is_closed(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast, because uvloop's transports inherit from no such class.
        self._transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(errors.PeerLostError(f"lost: {exc!r}"))
        self._waiting.clear()
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        try:
            while (envelope := self._next_envelope()) is not None:
                self._dispatch(envelope)
        except errors.PeerFrameError as error:
            # Where the next frame begins is no longer known.
            _log.warning("closing a peer's connection: %s", error)
            self.close()

    async def ask(
        self, envelope: envelopes.Envelope, timeout_s: float
    ) -> bytes:
        if self.is_closed:
            raise errors.PeerNotSentError("the connection is closed")
        future = asyncio.get_running_loop().create_future()
        self._waiting[envelope.message_id] = future
        self.send(envelope)
        try:
            async with asyncio.timeout(timeout_s):
                return bytes(await future)
        except TimeoutError as error:
            raise errors.PeerLostError("no answer in time") from error
        finally:
            self._waiting.pop(envelope.message_id, None)

    def send(self, envelope: envelopes.Envelope) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(envelopes.encode(envelope))

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _next_envelope(self) -> envelopes.Envelope | None:
        length_bytes = envelopes.frame_length(self._buffer)
        if length_bytes is None:
            return None
        end = envelopes.LENGTH_BYTES + length_bytes
        if len(self._buffer) < end:
            return None
        data = bytes(self._buffer[envelopes.LENGTH_BYTES : end])
        del self._buffer[:end]
        return envelopes.decode(data)

    def _dispatch(self, envelope: envelopes.Envelope) -> None:
        if not envelope.is_answer:
            self._receive(self, envelope)
            return
        future = self._waiting.get(envelope.message_id)
        if future is not None and not future.done():
            future.set_result(envelope.payload)
