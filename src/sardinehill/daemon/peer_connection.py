"""Implements an authenticated TCP connection between two daemons."""

import asyncio
from collections.abc import Callable
import logging
from typing import cast

from sardinehill import errors
from sardinehill import send_watch
from sardinehill import tcp_options
from sardinehill.adapters import handshake
from sardinehill.wire import envelopes
from sardinehill.wire import message_kinds

HANDSHAKE_TIMEOUT_S = 2.0
# Limits the memory that an unauthenticated peer can use in this daemon.
MAX_UNAUTHENTICATED_FRAME_BYTES = 4096
# A connection is closed if the peer's host owes an acknowledgement and sends
# none for this long, or if the peer reads nothing of what waits for it.
MAX_UNACKNOWLEDGED_S = 4.0
# After a timeout, the loop runs this many times, so that it reads what has
# arrived.
READ_PASSES = 3
# Limit on the bytes that wait for a slow peer; more messages are rejected.
MAX_WRITE_BUFFER_BYTES = 16 * 1024 * 1024

_log = logging.getLogger(__name__)


class PeerConnection(asyncio.Protocol):
    """A connection on which both ends may send requests.

    Attributes:
      peer: the other daemon's name, empty until it is authenticated.
      received_bytes: the number of bytes received.
      sent_bytes: the number of bytes passed to the transport.
      authenticated: completes when the handshake succeeds or fails.
      on_authenticated: called after a successful handshake.
      on_lost: called after the connection was lost.
    """

    def __init__(
        self,
        handshake_side: handshake.Dialer | handshake.Acceptor,
        on_request: Callable[["PeerConnection", envelopes.Envelope], None],
        on_bad_frame: Callable[[str], None],
    ):
        self.peer = ""
        self.received_bytes = 0
        self.sent_bytes = 0
        self.on_authenticated: Callable[[PeerConnection], None] | None = None
        self.on_lost: Callable[[PeerConnection], None] | None = None
        loop = asyncio.get_running_loop()
        self.authenticated: asyncio.Future[None] = loop.create_future()
        self._handshake_side = handshake_side
        self._on_request = on_request
        self._on_bad_frame = on_bad_frame
        self._transport: asyncio.Transport | None = None
        self._send_watch: send_watch.SendWatch | None = None
        self._handshake_timeout: asyncio.TimerHandle | None = None
        self._buffer = bytearray()
        self._pending_answers: dict[int, asyncio.Future[bytes]] = {}

    @property
    def is_closed(self) -> bool:
        """Whether the connection can no longer send."""
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the handshake; called by the event loop."""
        # The transports of uvloop have these methods, but not this base class.
        self._transport = cast(asyncio.Transport, transport)
        tcp_options.set_options(
            transport, keepalive=False, user_timeout_ms=None
        )
        loop = asyncio.get_running_loop()
        # The kernel of a frozen peer still acknowledges what its window takes,
        # so a paused process usually loses no connection.
        self._send_watch = send_watch.SendWatch(
            loop,
            self._transport,
            self.abort,
            max_unacknowledged_s=MAX_UNACKNOWLEDGED_S,
            max_stalled_s=MAX_UNACKNOWLEDGED_S,
        )
        self._handshake_timeout = loop.call_later(
            HANDSHAKE_TIMEOUT_S, self.close
        )
        if isinstance(self._handshake_side, handshake.Dialer):
            self._send_handshake(self._handshake_side.hello())

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails all pending requests; called by the event loop."""
        self._transport = None
        if self._send_watch is not None:
            self._send_watch.stop()
            self._send_watch = None
        if self._handshake_timeout is not None:
            self._handshake_timeout.cancel()
        if not self.authenticated.done():
            self.authenticated.set_exception(
                errors.PeerNotSentError(f"the handshake failed: {exc!r}")
            )
            # On the accepting side, nothing awaits this future, so the
            # exception is retrieved here.
            self.authenticated.exception()
        for future in self._pending_answers.values():
            if not future.done():
                future.set_exception(
                    errors.PeerLostError(f"the connection was lost: {exc!r}")
                )
        self._pending_answers.clear()
        if self.on_lost is not None:
            self.on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Processes received bytes; called by the event loop."""
        self.received_bytes += len(data)
        self._buffer += data
        try:
            while (envelope := self._next_envelope()) is not None:
                self._handle_envelope(envelope)
        except errors.PeerFrameError as error:
            # The start of the next frame is unknown after a malformed one.
            self._on_bad_frame(str(error))
            self.close()

    async def ask(
        self, envelope: envelopes.Envelope, timeout_s: float
    ) -> bytes:
        """Sends a request and returns its answer.

        Raises:
          PeerNotSentError: nothing was sent.
          PeerLostError: the request was sent, but no answer arrived.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending_answers[envelope.message_id] = future
        try:
            if not self.send(envelope):
                raise errors.PeerNotSentError(
                    "the connection is closed or its write buffer is full"
                )
            await asyncio.wait([future], timeout=timeout_s)
            for _ in range(READ_PASSES):
                # A loop that was held up runs timers that are due before it
                # reads answers that arrived in time.
                if not future.done():
                    await asyncio.sleep(0)
            if not future.done():
                raise errors.PeerLostError("no answer in time")
            return bytes(future.result())
        finally:
            self._pending_answers.pop(envelope.message_id, None)

    def send(self, envelope: envelopes.Envelope) -> bool:
        """Sends a message; returns False if nothing of it was sent."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            return False
        frame = envelopes.encode(envelope)
        self.sent_bytes += len(frame)
        transport.write(frame)
        if self._send_watch is not None:
            self._send_watch.note_written(len(frame))
        return True

    def close(self) -> None:
        """Closes the connection after all written bytes were sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _next_envelope(self) -> envelopes.Envelope | None:
        length_bytes = envelopes.envelope_length_bytes(self._buffer)
        if length_bytes is None:
            return None
        if not self.peer and length_bytes > MAX_UNAUTHENTICATED_FRAME_BYTES:
            raise errors.PeerFrameError(
                f"a frame of {length_bytes} bytes before authentication"
            )
        end = envelopes.LENGTH_PREFIX_BYTES + length_bytes
        if len(self._buffer) < end:
            return None
        data = bytes(self._buffer[envelopes.LENGTH_PREFIX_BYTES : end])
        del self._buffer[:end]
        return envelopes.decode(data)

    def _handle_envelope(self, envelope: envelopes.Envelope) -> None:
        if not self.peer:
            self._handle_handshake(envelope)
            return
        if envelope.sender != self.peer:
            raise errors.PeerFrameError(
                f"{self.peer!r} sent a message as {envelope.sender!r}"
            )
        if not envelope.is_answer:
            self._on_request(self, envelope)
            return
        future = self._pending_answers.get(envelope.message_id)
        if future is not None and not future.done():
            future.set_result(envelope.payload)

    def _handle_handshake(self, envelope: envelopes.Envelope) -> None:
        if envelope.kind != message_kinds.MessageKind.HELLO:
            raise errors.PeerFrameError("a message before authentication")
        message = handshake.decode(envelope.payload)
        match self._handshake_side, message:
            case handshake.Acceptor() as acceptor, handshake.Hello():
                self._send_handshake(acceptor.welcome(message))
            case handshake.Acceptor() as acceptor, handshake.Proof():
                acceptor.verify(message)
                self._complete_handshake(acceptor.peer_name)
            case handshake.Dialer() as dialer, handshake.Welcome():
                self._send_handshake(dialer.prove(message))
                self._complete_handshake(message.name)
            case _:
                raise errors.PeerFrameError("an unexpected handshake message")

    def _send_handshake(self, message: handshake.HandshakeMessage) -> None:
        payload = handshake.encode(message)
        self.send(
            envelopes.Envelope(
                int(message_kinds.MessageKind.HELLO), 0, False, "", payload
            )
        )

    def _complete_handshake(self, peer: str) -> None:
        self.peer = peer
        if self._handshake_timeout is not None:
            self._handshake_timeout.cancel()
        if not self.authenticated.done():
            self.authenticated.set_result(None)
        if self.on_authenticated is not None:
            self.on_authenticated(self)
