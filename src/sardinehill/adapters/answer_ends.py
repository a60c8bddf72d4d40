"""Makes aiohttp's client take answers that are reset on the way for cut ones.

aiohttp takes each end of a connection, also a reset, for the end of an answer
without a length.
"""

import functools
from typing import Any

import aiohttp
from aiohttp import client_proto

from sardinehill import socket_state


class _Protocol(client_proto.ResponseHandler):
    """A client's connection that tells a reset from an end in order."""

    _end_error: BaseException | None = None

    def eof_received(self) -> None:
        """Notes an error that the event loop reports as an end."""
        if self.transport is not None:
            self._end_error = socket_state.end_error(self.transport)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails an answer that an error has ended."""
        error = exc or self._end_error
        payload = self._payload
        if error is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"the answer was cut off: {error!r}")
            )
        super().connection_lost(error)


class Connector(aiohttp.TCPConnector):
    """Opens connections whose answers end only in order."""

    def __init__(self, **options: Any) -> None:
        """Creates a connector; takes the options of `aiohttp.TCPConnector`."""
        super().__init__(**options)
        # There is no public option for this.
        self._factory = functools.partial(  # type: ignore[assignment]
            _Protocol, loop=self._loop
        )
