"""Exchanges frames between daemons over TCP, as a server and as a client."""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
from typing import cast

from sardinehill import errors
from sardinehill import tcp_options
from sardinehill.wire import envelopes
from sardinehill.wire import message_kinds

PEER_CONNECT_TIMEOUT_S = 0.4
# A link is closed when more than this is buffered for a peer that does not
# read.
MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024


class PeerLink(asyncio.Protocol):
    """One connection between two daemons, opened by either side.

    Public attributes:
      peer: the peer's name, empty until it has sent a frame.
      sent_bytes: how many bytes were sent.
    """

    def __init__(
        self,
        own_name: str,
        on_message: Callable[["PeerLink", envelopes.Envelope], None],
        on_lost: Callable[["PeerLink"], None],
    ):
        self._own_name = own_name
        self._on_message = on_message
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._pending_answers: dict[
            int, asyncio.Future[envelopes.Envelope]
        ] = {}
        self._message_ids = itertools.count(1)
        self._closes_when_idle = False
        self._may_write = asyncio.Event()
        self._may_write.set()
        self.peer = ""
        self.sent_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket's options."""
        # uvloop's transports do not inherit from asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        tcp_options.set_options(transport, keepalive=True)
        # A report or table that arrives late would be taken for a sign of life.
        tcp_options.set_discard_unsent_on_close(transport, True)

    def data_received(self, data: bytes) -> None:
        """Handles complete frames; a malformed one closes the connection."""
        self._buffer += data
        try:
            for envelope in self._read_frames():
                # Nothing more is read of a peer whose message was malformed.
                if not self.is_open:
                    return
                self._receive(envelope)
        except errors.PeerFrameError:
            self.close()

    def _read_frames(self) -> list[envelopes.Envelope]:
        envelopes_read: list[envelopes.Envelope] = []
        while True:
            length = envelopes.envelope_length_bytes(self._buffer)
            if length is None:
                return envelopes_read
            end = envelopes.LENGTH_PREFIX_BYTES + length
            if len(self._buffer) < end:
                return envelopes_read
            frame = bytes(self._buffer[envelopes.LENGTH_PREFIX_BYTES : end])
            del self._buffer[:end]
            envelopes_read.append(envelopes.decode(frame))

    def _receive(self, envelope: envelopes.Envelope) -> None:
        self.peer = envelope.sender
        if envelope.is_answer:
            answer = self._pending_answers.pop(envelope.message_id, None)
            if answer is not None and not answer.done():
                answer.set_result(envelope)
            return
        self._on_message(self, envelope)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the requests that wait for an answer."""
        for answer in self._pending_answers.values():
            if not answer.done():
                answer.set_exception(errors.PeerLostError("link lost"))
        self._pending_answers.clear()
        self._may_write.set()
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Makes `drain` wait, as the peer reads slowly."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """Lets `drain` return."""
        self._may_write.set()

    async def drain(self) -> None:
        """Waits until little is buffered for the peer or the link is lost."""
        await self._may_write.wait()

    @property
    def is_congested(self) -> bool:
        """Whether much is buffered for the peer."""
        return not self._may_write.is_set()

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    def send(
        self,
        kind: message_kinds.MessageKind,
        payload: bytes,
        message_id: int = 0,
        is_answer: bool = False,
    ) -> None:
        """Sends a frame.

        The frame is dropped if the link is closed, or if the send buffer is
        over `MAX_SEND_BUFFER_BYTES`, which closes the link.
        """
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
            self.close()
            return
        frame = envelopes.encode(
            envelopes.Envelope(
                int(kind), message_id, is_answer, self._own_name, payload
            )
        )
        self.sent_bytes += len(frame)
        self._transport.write(frame)

    async def ask(
        self,
        kind: message_kinds.MessageKind,
        payload: bytes,
        timeout_s: float,
        cancel_kind: message_kinds.MessageKind | None = None,
    ) -> envelopes.Envelope:
        """Sends a request and returns the answer.

        Args:
          kind: the kind of the request.
          payload: its payload.
          timeout_s: how long to wait for the answer.
          cancel_kind: the kind of a message that is sent with the same id if
            the caller stops waiting, or None.

        Raises:
          PeerLostError: the link was lost or no answer came in time.
        """
        message_id = next(self._message_ids)
        answer: asyncio.Future[envelopes.Envelope]
        answer = asyncio.get_running_loop().create_future()
        self.send(kind, payload, message_id)
        self._pending_answers[message_id] = answer
        try:
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError as error:
            raise errors.PeerLostError("no answer in time") from error
        finally:
            was_pending = self._pending_answers.pop(message_id, None)
            if was_pending is not None and cancel_kind is not None:
                self.send(cancel_kind, b"", message_id)
            if self._closes_when_idle:
                self.close_when_idle()

    def close_when_idle(self) -> None:
        """Closes the connection as soon as no request waits for an answer."""
        self._closes_when_idle = True
        if not self._pending_answers:
            self.close()

    def close(self) -> None:
        """Closes the connection and discards unsent frames."""
        if self._transport is not None:
            self._transport.abort()


async def connect(
    address: str,
    own_name: str,
    on_message: Callable[[PeerLink, envelopes.Envelope], None],
    on_lost: Callable[[PeerLink], None],
) -> PeerLink:
    """Opens a link to a peer.

    Raises:
      PeerNotSentError: the peer cannot be reached.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(PEER_CONNECT_TIMEOUT_S):
            _, link = await loop.create_connection(
                lambda: PeerLink(own_name, on_message, on_lost), host, int(port)
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        raise errors.PeerNotSentError(f"{address}: {error!r}") from error
    return link


async def ask_once(
    address: str,
    own_name: str,
    kind: message_kinds.MessageKind,
    payload: bytes,
    timeout_s: float,
) -> envelopes.Envelope:
    """Sends one request over a new link, which is closed afterwards.

    Raises:
      PeerError: the peer cannot be reached or does not answer.
    """
    link = await connect(
        address, own_name, lambda _link, _message: None, lambda _link: None
    )
    with contextlib.closing(link):
        return await link.ask(kind, payload, timeout_s)


async def serve(
    host: str,
    port: int,
    own_name: str,
    on_message: Callable[[PeerLink, envelopes.Envelope], None],
    on_lost: Callable[[PeerLink], None],
) -> asyncio.Server:
    """Starts to accept links from peers."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: PeerLink(own_name, on_message, on_lost),
        host,
        port,
        reuse_address=True,
    )
