"""Frames between daemons over TCP: a server, and connections to peers."""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
from typing import cast

from sardinehill import errors
from sardinehill import http1
from sardinehill.wire import envelopes
from sardinehill.wire import kinds

PEER_CONNECT_TIMEOUT_S = 0.4
# A peer that does not read gets no more than this queued.
MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024


class PeerLink(asyncio.Protocol):
    """One connection to a peer, opened by either side."""

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
        self.peer = ""
        self.sent_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket's options."""
        # uvloop's transports do not inherit from asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        http1.watch_for_silence(transport, probes=True)

    def data_received(self, data: bytes) -> None:
        """Reads whole frames; garbage ends the connection."""
        self._buffer += data
        try:
            for envelope in self._frames():
                self._receive(envelope)
        except errors.PeerFrameError:
            self.close()

    def _frames(self) -> list[envelopes.Envelope]:
        found: list[envelopes.Envelope] = []
        while True:
            length = envelopes.frame_length(self._buffer)
            if length is None:
                return found
            end = envelopes.LENGTH_BYTES + length
            if len(self._buffer) < end:
                return found
            frame = bytes(self._buffer[envelopes.LENGTH_BYTES : end])
            del self._buffer[:end]
            found.append(envelopes.decode(frame))

    def _receive(self, envelope: envelopes.Envelope) -> None:
        self.peer = envelope.sender
        if envelope.is_answer:
            question = self._pending_answers.pop(envelope.message_id, None)
            if question is not None and not question.done():
                question.set_result(envelope)
            return
        self._on_message(self, envelope)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails what waits for an answer."""
        for question in self._pending_answers.values():
            if not question.done():
                question.set_exception(errors.PeerLostError("link lost"))
        self._pending_answers.clear()
        self._on_lost(self)

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(
        self,
        kind: kinds.Kind,
        payload: bytes,
        message_id: int = 0,
        is_answer: bool = False,
    ) -> None:
        """Sends a frame; a link that is closed or does not drain drops it."""
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
        self, kind: kinds.Kind, payload: bytes, timeout_s: float
    ) -> envelopes.Envelope:
        """Sends a question and returns its answer.

        Raises:
          PeerLostError: no answer came in time.
        """
        message_id = next(self._message_ids)
        question: asyncio.Future[envelopes.Envelope]
        question = asyncio.get_running_loop().create_future()
        self.send(kind, payload, message_id)
        self._pending_answers[message_id] = question
        try:
            async with asyncio.timeout(timeout_s):
                return await question
        except TimeoutError as error:
            raise errors.PeerLostError("no answer in time") from error
        finally:
            self._pending_answers.pop(message_id, None)

    def close(self) -> None:
        """Ends the connection at once."""
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
    except (OSError, TimeoutError, ValueError) as error:
        raise errors.PeerNotSentError(f"{address}: {error!r}") from error
    return link


async def ask_once(
    address: str,
    own_name: str,
    kind: kinds.Kind,
    payload: bytes,
    timeout_s: float,
) -> envelopes.Envelope:
    """Opens a link, asks one question and closes the link.

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
    """Listens for peers."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: PeerLink(own_name, on_message, on_lost),
        host,
        port,
        reuse_address=True,
    )
