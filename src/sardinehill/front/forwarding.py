"""Sends requests through peers while this daemon reaches no upstream.

A peer only carries out the one exchange with the upstream that this daemon has
chosen.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import random
from typing import Any

from sardinehill import errors
from sardinehill import events
from sardinehill import http1
from sardinehill.core import exchange_messages
from sardinehill.core import forward_choice
from sardinehill.core import routes
from sardinehill.daemon import boot_clock
from sardinehill.front import peer_links
from sardinehill.wire import envelopes
from sardinehill.wire import exchanges
from sardinehill.wire import message_kinds

STATUS_INTERVAL_S = 0.25
STATUS_TIMEOUT_S = 0.4
# A peer that has not answered for this long is taken to hang. Its link is
# closed, which fails the exchanges that it carries out.
MAX_PEER_SILENCE_S = 1.5
# A link through which nothing was sent for this long is closed.
LINK_IDLE_TIMEOUT_S = 5.0
# The list of registered daemons is read again this often while it is needed.
PEER_REFRESH_INTERVAL_S = 5.0
# The next search begins this long after the last one has ended. If that found
# no peer, requests are refused meanwhile.
SEARCH_PAUSE_S = 0.25
# A search asks this many peers at a time.
MAX_PARALLEL_QUERIES = 16
# The peer ends an exchange at its deadline; its answer may take this long.
ANSWER_MARGIN_S = 0.5

# Stands for the status of a peer that has not answered. Only that there is a
# refusal matters, not which.
_NO_ANSWER_STATUS = exchange_messages.ForwardingStatus(
    exchange_messages.NotSentReason.STOPPING, ""
)


class NoPeerError(errors.SardinehillError):
    """Raised when no peer forwards a request now."""


class NotForwardedError(http1.ConnectionFailedError):
    """Raised when a peer states that it did not send a request.

    Attributes:
      reason: why.
      retry_after_s: how long the upstream wants no requests, or 0.
    """

    def __init__(
        self,
        reason: exchange_messages.NotSentReason,
        retry_after_s: float = 0.0,
    ):
        super().__init__(f"not forwarded: {reason.value}", written=False)
        self.reason = reason
        self.retry_after_s = retry_after_s


class PeerFailedError(http1.ConnectionFailedError):
    """Raised when the link to a peer ends while it carries out an exchange."""

    def __init__(self, detail: str):
        super().__init__(f"peer: {detail}", written=True)


class ForwardedConnection:
    """One exchange with an upstream through a peer.

    It has the methods and attributes of `http1.Connection` that are used for
    one exchange.

    Public attributes:
      peer: the peer's name.
      upstream_id: the upstream's id.
      usable: always False, so that it is not pooled.
      exchange_count: 0 at first. Once the peer has reported a failure after
        the request was sent, 1 if it opened a connection for the exchange, or
        2 if it used an earlier one.
    """

    def __init__(
        self,
        link: peer_links.PeerLink,
        peer: str,
        upstream: routes.Upstream,
        request_id: bytes,
        needs_new_connection: bool,
        deadline_s: float,
        service_time_s: float,
        on_not_sent: Callable[[exchange_messages.NotSentReason], None],
        on_end: Callable[[], None],
    ):
        """Creates a connection.

        Args:
          link: the link to the peer.
          peer: the peer's name.
          upstream: the upstream.
          request_id: the request's id.
          needs_new_connection: whether the same request was sent to this
            upstream through this peer before.
          deadline_s: the request's deadline, by the loop's clock.
          service_time_s: the usual time that the request takes.
          on_not_sent: called if the peer did not send the request.
          on_end: called once, when the exchange has ended or is given up.
        """
        self._link = link
        self._upstream = upstream
        self._request_id = request_id
        self._needs_new_connection = needs_new_connection
        self._deadline_s = deadline_s
        self._service_time_s = service_time_s
        self._on_not_sent = on_not_sent
        self._on_end = on_end
        self._has_ended = False
        self.peer = peer
        self.upstream_id = upstream.id
        self.usable = False
        self.exchange_count = 0

    async def exchange(
        self,
        data: bytes,
        matches_request: Callable[[http1.Response], bool] | None = None,
        has_no_body: bool = False,
        body_limit_bytes: Callable[[http1.Response], int] | None = None,
        body: bytes = b"",
    ) -> http1.Response:
        """Sends one request and returns its complete response.

        The peer is told if the caller is cancelled.

        Args:
          data: the request, complete or up to its body.
          matches_request: returns whether a response belongs to this request.
          has_no_body: whether the response has no body, as after HEAD.
          body_limit_bytes: as of a direct exchange; the peer has its own limit.
          body: the request's body, unless `data` has it.

        Raises:
          ConnectionFailedError: no complete response was received.
        """
        try:
            result = await self._ask(data + body, has_no_body)
        finally:
            self.close()
        response = self._response_of(result)
        if matches_request is not None and not matches_request(response):
            raise http1.ConnectionFailedError(
                "the response belongs to another request",
                written=True,
                response_started=True,
            )
        return response

    async def _ask(
        self, data: bytes, has_no_body: bool
    ) -> exchange_messages.ExchangeResult:
        if not self._link.is_open:
            return exchange_messages.NotSent(
                exchange_messages.NotSentReason.STOPPING
            )
        if self._link.is_congested:
            return exchange_messages.NotSent(
                exchange_messages.NotSentReason.BUSY
            )
        remaining_s = self._deadline_s - asyncio.get_running_loop().time()
        payload = exchanges.encode_request(
            exchange_messages.ExchangeRequest(
                self._upstream.id,
                self._upstream.started_at_ms,
                self._request_id,
                data,
                has_no_body,
                self._needs_new_connection,
                remaining_s,
                self._service_time_s,
                boot_clock.now_s(),
            )
        )
        try:
            answer = await self._link.ask(
                message_kinds.MessageKind.EXCHANGE,
                payload,
                remaining_s + ANSWER_MARGIN_S,
                message_kinds.MessageKind.EXCHANGE_CANCEL,
            )
            return exchanges.decode_result(answer.payload)
        except errors.PeerError as error:
            raise PeerFailedError(str(error)) from error

    def _response_of(
        self, result: exchange_messages.ExchangeResult
    ) -> http1.Response:
        match result:
            case exchange_messages.UpstreamAnswer():
                return http1.Response(
                    result.status,
                    result.headers,
                    result.body,
                    ends_with_connection=result.ends_with_connection,
                )
            case exchange_messages.NotSent():
                self._on_not_sent(result.reason)
                raise NotForwardedError(result.reason, result.retry_after_s)
        self.exchange_count = 1 if result.was_new_connection else 2
        raise http1.ConnectionFailedError(
            result.detail,
            written=True,
            response_started=result.response_started,
            reset=result.was_reset,
        )

    def close(self) -> None:
        """Ends the use of the peer."""
        if not self._has_ended:
            self._has_ended = True
            self._on_end()


class Forwarder:
    """Keeps links to peers that forward, while this daemon needs them."""

    def __init__(
        self,
        name: str,
        zone: str,
        peer_addresses: Callable[[], Mapping[str, str]],
        refresh_peers: Callable[[], Awaitable[None]],
    ):
        """Creates a forwarder without links.

        Args:
          name: this daemon's name.
          zone: this daemon's availability zone.
          peer_addresses: returns the addresses of all daemons by name.
          refresh_peers: reads them from the store again.
        """
        self._name = name
        self._zone = zone
        self._is_needed = False
        self._peer_addresses = peer_addresses
        self._refresh_peers = refresh_peers
        self._refreshed_s = float("-inf")
        self._choice = forward_choice.ForwardChoice(random.random)
        self._links: dict[str, peer_links.PeerLink] = {}
        self._last_used_s = 0.0
        self._search: asyncio.Task[None] | None = None
        self._search_ended_s = float("-inf")
        # Whether there was no link to a peer when the last search ended.
        self._last_search_failed = False
        self._peer_found = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def peers(self) -> list[str]:
        """The names of the peers that forward requests."""
        return list(self._choice.serving)

    def note_reach(self, is_cut_off: bool) -> None:
        """Searches for peers as soon as this daemon reaches no upstream."""
        self._is_needed = is_cut_off
        self._last_search_failed = False
        if is_cut_off:
            self._last_used_s = asyncio.get_running_loop().time()
            self._start_search()

    def may_forward(self) -> bool:
        """Returns whether a peer forwards requests, as far as is known.

        It starts a search if there is no link to a peer, also after one has
        found none.
        """
        if self._links:
            return True
        self._start_search()
        return self._search is not None and not self._last_search_failed

    async def connect(
        self,
        upstream: routes.Upstream,
        request_id: bytes,
        request_bytes: int,
        used_peers: set[str],
        deadline_s: float,
        service_time_s: float,
    ) -> ForwardedConnection:
        """Returns a connection to an upstream through a peer.

        Args:
          upstream: the upstream.
          request_id: the request's id.
          request_bytes: the length of the request's body.
          used_peers: the peers through which the same request was sent to this
            upstream before.
          deadline_s: the request's deadline, by the loop's clock.
          service_time_s: the usual time that the request takes.

        Raises:
          NoPeerError: no peer forwards the request now.
        """
        if request_bytes > exchange_messages.MAX_FORWARDED_BYTES:
            raise NoPeerError("the request is too long")
        loop = asyncio.get_running_loop()
        self._last_used_s = loop.time()
        if self.may_forward() and not self._links:
            await self._wait_for_peer()
        zones = (self._zone, upstream.zone)
        peer = self._choice.choose(zones, loop.time())
        if peer is None:
            raise NoPeerError("no peer forwards requests now")
        return ForwardedConnection(
            self._links[peer],
            peer,
            upstream,
            request_id,
            peer in used_peers,
            deadline_s,
            service_time_s,
            lambda reason: self._note_not_sent(peer, reason),
            lambda: self._choice.end(peer),
        )

    def _note_not_sent(
        self, peer: str, reason: exchange_messages.NotSentReason
    ) -> None:
        if peer not in self._links:
            return
        self._choice.record_not_sent(
            peer, reason, asyncio.get_running_loop().time()
        )
        if peer not in self._choice.serving:
            self._remove(peer, reason.value)

    # finding and losing peers

    async def _wait_for_peer(self) -> None:
        """Waits until a search has found a peer or has ended."""
        search = self._search
        if search is None:
            return
        found = asyncio.ensure_future(self._peer_found.wait())
        try:
            await asyncio.wait(
                (search, found), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            found.cancel()

    def _start_search(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._refreshed_s >= PEER_REFRESH_INTERVAL_S:
            self._refreshed_s = now_s
            self._start_task(self._refresh())
        if (
            self._search is None
            and now_s - self._search_ended_s >= SEARCH_PAUSE_S
        ):
            self._search = asyncio.ensure_future(self._search_once())
            self._search.add_done_callback(self._note_search_ended)

    async def _refresh(self) -> None:
        """Reads the list of daemons again, and searches without a pause."""
        await self._refresh_peers()
        self._search_ended_s = float("-inf")
        self._start_search()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note_search_ended(self, search: asyncio.Task[None]) -> None:
        self._search = None
        self._search_ended_s = asyncio.get_running_loop().time()
        self._last_search_failed = not self._links
        if not search.cancelled() and search.exception() is not None:
            events.log(
                events.TASK_FAILED,
                task="forwarding",
                error=repr(search.exception()),
            )

    async def _search_once(self) -> None:
        """Asks peers that are not in use until enough of them forward."""
        addresses = dict(self._peer_addresses())
        addresses.pop(self._name, None)
        names = iter(
            self._choice.peers_to_ask(
                addresses.keys(), asyncio.get_running_loop().time()
            )
        )

        async def ask_in_turn() -> None:
            for name in names:
                if not self._choice.wants_more:
                    return
                await self._try_peer(name, addresses[name])

        await asyncio.gather(
            *(ask_in_turn() for _ in range(MAX_PARALLEL_QUERIES))
        )

    async def _try_peer(self, name: str, address: str) -> None:
        """Adds a peer if it says that it forwards requests."""
        link = None
        try:
            link = await peer_links.connect(
                address,
                self._name,
                lambda _link, _message: None,
                lambda _link: self._note_link_lost(name, _link),
            )
            status = await _ask_status(link, STATUS_TIMEOUT_S)
        except errors.PeerError:
            status = _NO_ANSWER_STATUS
        if (
            status.refusal is None
            and link is not None
            and self._choice.add(name, status.zone)
        ):
            self._links[name] = link
            self._peer_found.set()
            self._start_task(self._watch(name, link))
            events.log(events.FORWARDING_PEER_FOUND, peer=name)
            return
        if status.refusal is not None:
            self._choice.remove(name, asyncio.get_running_loop().time())
        if link is not None:
            link.close()

    def _note_link_lost(self, name: str, link: peer_links.PeerLink) -> None:
        if self._links.get(name) is link:
            self._remove(name, "link lost")

    async def _watch(self, name: str, link: peer_links.PeerLink) -> None:
        """Asks a peer regularly whether it forwards, while it is used."""
        loop = asyncio.get_running_loop()
        while self._links.get(name) is link:
            await asyncio.sleep(STATUS_INTERVAL_S)
            if self._links.get(name) is not link:
                return
            if loop.time() - self._last_used_s > LINK_IDLE_TIMEOUT_S:
                self._remove(name, "not needed")
                return
            try:
                refusal = (await _ask_status(link, STATUS_TIMEOUT_S)).refusal
            except errors.PeerError as error:
                self._remove(name, str(error))
                await _close_if_hung(link)
                return
            if refusal is exchange_messages.NotSentReason.BUSY:
                self._note_not_sent(name, refusal)
            elif refusal is not None:
                self._remove(name, refusal.value)
                return
            if self._is_needed and self._choice.wants_more:
                self._start_search()

    def _remove(self, name: str, reason: str) -> None:
        """Stops using a peer; exchanges under way through it may end."""
        self._choice.remove(name, asyncio.get_running_loop().time())
        link = self._links.pop(name, None)
        if not self._links:
            self._peer_found.clear()
        if link is None:
            return
        events.log(events.FORWARDING_PEER_LOST, peer=name, reason=reason)
        link.close_when_idle()


async def _ask_status(
    link: peer_links.PeerLink, timeout_s: float
) -> exchange_messages.ForwardingStatus:
    """Returns what a peer would do with a request now.

    Raises:
      PeerError: it does not answer, or not in this way.
    """
    answer: envelopes.Envelope = await link.ask(
        message_kinds.MessageKind.FORWARDING_STATUS_QUERY, b"", timeout_s
    )
    return exchanges.decode_status(answer.payload)


async def _close_if_hung(link: peer_links.PeerLink) -> None:
    """Closes a link if its peer does not answer a second query either."""
    try:
        await _ask_status(link, MAX_PEER_SILENCE_S - STATUS_TIMEOUT_S)
    except errors.PeerError:
        link.close()
