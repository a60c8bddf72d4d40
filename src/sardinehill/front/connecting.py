"""Connects a request to its upstream, directly or through a peer.

It also borrows the send from the leader if the upstream is cold or names a
limit.
"""

import asyncio
from collections.abc import Callable

from sardinehill import errors
from sardinehill import events
from sardinehill import http1
from sardinehill.core.load import cold_lending
from sardinehill.daemon import boot_clock
from sardinehill.front import borrowing
from sardinehill.front import forwarding
from sardinehill.front import front_metrics as metrics_module
from sardinehill.front import reach_monitor
from sardinehill.front import requests
from sardinehill.front import upstream_directory as directory_module

# The Retry-After of a request that this daemon cannot send in any way.
NO_PEER_RETRY_AFTER_S = 0.25


class Connector:
    """Connects requests to the upstreams that were selected for them."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        metrics: metrics_module.FrontMetrics,
        log_request: Callable[..., None],
        cold_sends: borrowing.TokenBorrower,
        limited_sends: borrowing.TokenBorrower,
        reach: reach_monitor.ReachMonitor,
        forwarder: forwarding.Forwarder,
        service_time_s: Callable[[str], float],
    ):
        """Creates a connector.

        Args:
          directory: the upstreams.
          metrics: counts requests that could not be connected.
          log_request: logs them.
          cold_sends: lends sends to cold upstreams.
          limited_sends: lends sends to upstreams that name a limit.
          reach: whether this daemon reaches the upstreams.
          forwarder: connects through peers.
          service_time_s: returns the usual time that a route's requests take.
        """
        self._directory = directory
        self._metrics = metrics
        self._log = log_request
        self._cold_sends = cold_sends
        self._limited_sends = limited_sends
        self._reach = reach
        self._forwarder = forwarder
        self._service_time_s = service_time_s

    def refuse_if_cut_off(self) -> None:
        """Refuses a request that cannot be sent in any way now.

        Raises:
          requests.RefusedError: neither this daemon nor a peer reaches the
            upstreams.
        """
        if self._reach.is_cut_off() and not self._forwarder.may_forward():
            raise self._no_peer_refusal("no peer forwards requests now")

    def _no_peer_refusal(self, error: str) -> requests.RefusedError:
        self._metrics.increment("forwards", "no-peer")
        return requests.RefusedError(
            errors.Reason.CUT_OFF, 503, NO_PEER_RETRY_AFTER_S, error=error
        )

    async def connect(
        self, context: requests.RequestContext, target: requests.Target
    ) -> requests.AnyConnection | None:
        """Returns a connection, or None if the upstream is unreachable.

        It leads through a peer while this daemon reaches no upstream. The send
        counts in the upstream's state from now on.

        Raises:
          requests.RefusedError: no peer sends the request either.
        """
        loop = asyncio.get_running_loop()
        target.upstream_state.record_send()
        try:
            if self._reach.is_cut_off():
                return await self._connect_via_peer(context, target)
            return await target.pool.acquire(
                context.deadline_s - loop.time(), context.used_connections
            )
        except http1.ConnectionFailedError as error:
            target.upstream_state.record_end()
            self._record_connect_failure(context, target, error)
            return None
        except BaseException:
            target.upstream_state.record_end()
            raise

    async def _connect_via_peer(
        self, context: requests.RequestContext, target: requests.Target
    ) -> forwarding.ForwardedConnection:
        used_peers = {
            connection.peer
            for connection in context.used_connections
            if isinstance(connection, forwarding.ForwardedConnection)
            and connection.upstream_id == target.upstream.id
        }
        try:
            return await self._forwarder.connect(
                target.upstream,
                context.metadata.request_id,
                len(context.request.body),
                used_peers,
                context.deadline_s,
                self._service_time_s(context.route.name),
            )
        except forwarding.NoPeerError as error:
            raise self._no_peer_refusal(str(error)) from error

    async def may_send_within_limit(self, target: requests.Target) -> bool:
        """Borrows a send if the upstream names a limit; returns if it may go.

        This comes before a connection is opened: of many requests for such an
        upstream few get a loan.
        """
        if not self._directory.is_limited(target.upstream):
            return True
        wait_s = await self._limited_sends.borrow(target.upstream.id)
        if wait_s <= 0:
            return True
        target.upstream_state.no_limited_sends_until_s = (
            asyncio.get_running_loop().time() + wait_s
        )
        return False

    async def may_send_while_cold(self, target: requests.Target) -> bool:
        """Borrows a send if the upstream is cold; returns whether it may go.

        This comes after the connection was opened, as a loan is valid only for
        a short time.
        """
        loop = asyncio.get_running_loop()
        state = target.upstream_state
        # The lender's time goes on while this host is suspended.
        asked_s = boot_clock.now_s()
        if not state.is_cold(loop.time()):
            return True
        wait_s = await self._cold_sends.borrow(target.upstream.id)
        if wait_s > 0:
            state.no_cold_sends_until_s = loop.time() + wait_s
            return False
        return boot_clock.now_s() - asked_s <= cold_lending.LOAN_VALIDITY_S

    def _record_connect_failure(
        self,
        context: requests.RequestContext,
        target: requests.Target,
        error: http1.ConnectionFailedError,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._reach.is_cut_off():
            target.upstream_state.record_lost_path(now_s)
        else:
            target.upstream_state.record_unreachable(now_s)
        context.last_failure = "connect-failed"
        self._metrics.increment("connect_failures", target.upstream.service)
        self._log(
            events.REQUEST_TRIED_AGAIN,
            request=context.metadata.request_id,
            reason="connect-failed",
            upstream=target.upstream.id,
            error=str(error),
        )
