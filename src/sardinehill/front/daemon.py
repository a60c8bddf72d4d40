"""Builds a front daemon from its components and runs it until it stops."""

import asyncio
import pathlib
import signal

from sardinehill import errors
from sardinehill import events
from sardinehill.core import byte_budget
from sardinehill.core import crash_suspects
from sardinehill.core import fleet_messages
from sardinehill.core import leaving_upstreams
from sardinehill.core import quota_shares
from sardinehill.core import routes
from sardinehill.core import stop_window
from sardinehill.core.load import cold_lending
from sardinehill.core.load import named_limits
from sardinehill.core.load import scheduler_choice
from sardinehill.daemon import boot_clock
from sardinehill.front import admission as admission_module
from sardinehill.front import background_tasks
from sardinehill.front import borrowing
from sardinehill.front import crash_evidence
from sardinehill.front import forward_server
from sardinehill.front import forwarding
from sardinehill.front import front_metrics as metrics_module
from sardinehill.front import leadership as leadership_module
from sardinehill.front import log as log_module
from sardinehill.front import peer_links
from sardinehill.front import reach_monitor
from sardinehill.front import relay as relay_module
from sardinehill.front import replies
from sardinehill.front import report_counters as counters_module
from sardinehill.front import requests
from sardinehill.front import sending
from sardinehill.front import server as server_module
from sardinehill.front import startup
from sardinehill.front import store_view as view_module
from sardinehill.front import store_watch
from sardinehill.front import upstream_directory as directory_module
from sardinehill.front.load import designated_schedulers
from sardinehill.front.load import scheduled_targets
from sardinehill.front.load import slot_client
from sardinehill.front.load import slot_server
from sardinehill.platform import settings as settings_module
from sardinehill.platform import store as store_module
from sardinehill.wire import envelopes

# A stopping daemon says that it is not ready, but goes on accepting connections
# for this long, unless its limit for stopping ends that sooner. The balancer
# checks readiness once a second and removes a daemon after two misses.
UNREADY_SERVING_S = 2.2
# The last requests are answered this long before the platform kills the
# process.
STOP_MARGIN_S = 0.5
# These answers have at most this time to leave the host.
LAST_ANSWERS_LIMIT_S = 0.2
# Callers that only have not read their answers are waited for until so long
# before the last requests are answered. The process needs the time to end.
READERS_MARGIN_S = 0.5
STOP_POLL_INTERVAL_S = 0.05
LOG_FLUSH_INTERVAL_S = 0.25
# The longest name of a peer that is logged, as the peer states it.
MAX_LOGGED_NAME_CHARACTERS = 64
DROPPED_LINES_REPORT_INTERVAL_S = 5.0
# Which part of the process's memory large messages may hold together. A message
# is copied once when it is complete, and the rest of the process takes a third.
MESSAGES_MEMORY_RATIO = 0.3
# Which part of the process's sockets callers may have. The others are for
# upstreams, peers and the store.
CALLERS_SOCKETS_RATIO = 0.75
# A process that may have fewer sockets than it needs still serves this many.
MIN_CALLERS = 50
_BYTES_PER_MB = 1024 * 1024


class Daemon:
    """The front daemon of one entry host."""

    def __init__(
        self,
        settings: settings_module.HostSettings,
        log_output: log_module.NonBlockingHandler,
    ):
        self._settings = settings
        self._log_output = log_output
        self._clock_s = asyncio.get_running_loop().time
        self._stopping = asyncio.Event()
        self._front_metrics = metrics_module.FrontMetrics()
        self._request_log = log_module.RequestLog(self._clock_s)
        self._refusal_log = log_module.KeyedLog(self._clock_s)
        self._budget = byte_budget.ByteBudget(
            int(settings.memory_mb * MESSAGES_MEMORY_RATIO * _BYTES_PER_MB)
        )
        self._store = store_module.StoreClient(settings.store_address)
        self._view = view_module.StoreView(
            self._clock_s, lambda: self._store.failing_since_s
        )
        self._watch = store_watch.StoreWatch(
            self._view,
            self._store,
            lambda: store_watch.watch_delay_s(
                settings.daemon, self._leadership.peer_count
            ),
        )
        # What daemons tell each other of upstreams and requests.
        self._named_limits = named_limits.NamedLimits()
        self._suspects = crash_suspects.CrashSuspects()
        self._leaving = leaving_upstreams.LeavingUpstreams()
        self._reach = self._new_reach_monitor()
        self._directory = self._new_directory()
        self._forwarder = self._new_forwarder()
        self._forward_server = forward_server.ForwardServer(
            self._directory,
            self._reach,
            self._front_metrics,
            self._request_log,
            settings.zone,
        )
        self._slot_server = slot_server.SlotServer(
            self._directory, self._clock_s, settings.daemon
        )
        self._reach.state.subscribe(self._note_reach)
        self._counters = counters_module.ReportCounters()
        self._quota = quota_shares.FleetQuota(
            settings.allowance_window_s,
            settings.allowance_over_ratio,
            settings.allowance_slack,
        )
        self._slot_client = slot_client.SlotClient(
            settings.daemon,
            self._slot_server,
            self._clock_s,
            self._front_metrics,
        )
        self._sender = self._new_sender()
        self._relay = self._new_relay()
        self._leadership = self._new_leadership()
        self._server = self._new_server(self._relay.serve)
        self._front_metrics.add_gauge_source(self._gauge_values)

    # parts

    def _new_reach_monitor(self) -> reach_monitor.ReachMonitor:
        return reach_monitor.ReachMonitor(
            lambda: self._view.upstreams,
            lambda upstream: self._directory.pool(upstream),
            self._clock_s,
            lambda: self._leadership.leads,
        )

    def _new_directory(self) -> directory_module.UpstreamDirectory:
        return directory_module.UpstreamDirectory(
            self._view,
            self._settings.drain_limit_s,
            self._clock_s,
            self._named_limits,
            self._suspects,
            self._leaving,
            self._reach.note_attempt,
            self._budget,
        )

    def _new_server(
        self, handle: server_module.Handler
    ) -> server_module.Server:
        max_callers = int(self._settings.max_sockets * CALLERS_SOCKETS_RATIO)
        return server_module.Server(
            handle,
            self._limits,
            self._budget,
            max(max_callers, MIN_CALLERS),
            self._refusal_log,
        )

    def _new_forwarder(self) -> forwarding.Forwarder:
        return forwarding.Forwarder(
            self._settings.daemon,
            self._settings.zone,
            lambda: self._leadership.peer_addresses,
            lambda: self._leadership.refresh_peers(),
        )

    def _new_sender(self) -> sending.Sender:
        return sending.Sender(
            self._directory,
            self._front_metrics,
            self._request_log,
            self._counters,
            self._borrower(fleet_messages.LoanKind.COLD_SENDS),
            self._borrower(fleet_messages.LoanKind.LIMITED_SENDS),
            self._suspects,
            crash_evidence.CrashEvidence(
                self._suspects,
                lambda: self._view.upstreams,
                self._clock_s,
                self._reach.reaches_others,
            ),
            self._reach,
            self._forwarder,
        )

    def _new_relay(self) -> relay_module.Relay:
        settings = self._settings
        admission = admission_module.Admission(
            self._directory,
            self._counters,
            self._quota,
            self._borrower(fleet_messages.LoanKind.QUOTA),
        )
        return relay_module.Relay(
            self._directory,
            self._front_metrics,
            self._request_log,
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
            admission,
            self._sender,
            settings.zone,
            scheduled_targets.ScheduledTargets(
                self._slot_client,
                self._directory,
                self._sender,
                self._front_metrics,
                settings.zone,
            ),
        )

    def _new_leadership(self) -> leadership_module.Leadership:
        settings = self._settings
        return leadership_module.Leadership(
            settings.daemon,
            f"{settings.host_ip}:{settings.peer_port}",
            settings.core_share,
            self._store,
            self._view,
            self._watch,
            boot_clock.now_s,
            self._collect_report,
            self._apply_table,
            self._quota,
            cold_lending.ColdBound(settings.cold_ratio, settings.cold_slack),
            self._named_limits,
            self._suspects,
            self._leaving,
            self._reach,
            designated_schedulers.DesignatedSchedulers(
                self._own_capacity(),
                settings.request_scheduling,
                self._view,
                boot_clock.now_s,
            ),
        )

    def _apply_table(self, table: fleet_messages.LeaderTable) -> None:
        self._directory.apply_table(table)
        if table.schedulers is not None:
            self._slot_server.set_schedulers(table.schedulers)
            self._slot_client.set_schedulers(
                [] if self._schedules_nothing() else table.schedulers
            )

    def _schedules_nothing(self) -> bool:
        mode = self._settings.request_scheduling
        return mode is scheduler_choice.SchedulingMode.OFF

    def _own_capacity(self) -> scheduler_choice.DaemonCapacity:
        """Returns what decides whether this daemon schedules requests.

        One that stops does not, so that others take its groups over before its
        links close.
        """
        settings = self._settings
        is_off = self._schedules_nothing() or self._stopping.is_set()
        return scheduler_choice.DaemonCapacity(
            settings.daemon,
            f"{settings.host_ip}:{settings.peer_port}",
            settings.zone,
            0.0 if is_off else settings.cpu_capacity,
        )

    async def run(self) -> None:
        """Serves requests until a signal, then drains and returns."""
        settings = self._settings
        self._handle_signals()
        callers = await self._listen_unless_stopped()
        if callers is None:
            return
        events.log(
            events.DAEMON_STARTED,
            daemon=settings.daemon,
            zone=settings.zone,
            settings=repr(settings),
        )
        tasks = [
            asyncio.create_task(background_tasks.run_with_restarts(name, task))
            for name, task in (
                ("store-watch", self._watch.run),
                ("news", self._leadership.replication.run),
                ("leadership", self._leadership.run),
                ("connections", self._directory.sweep),
                ("reach", self._reach.run),
                ("slots", self._slot_server.run),
                ("slot-client", self._slot_client.run),
                ("callers", self._server.enforce_limits),
                ("metrics", self._serve_metrics),
                ("logs", self._flush_logs),
            )
        ]
        await self._stopping.wait()
        await self._drain_and_stop(callers)
        for task in tasks:
            task.cancel()

    async def _listen_unless_stopped(self) -> asyncio.Server | None:
        """Binds all addresses but that of the metrics.

        Returns:
          What listens for callers, or None if the daemon was stopped before.
        """
        listening = asyncio.create_task(self._listen())
        stopping = asyncio.create_task(self._stopping.wait())
        await asyncio.wait(
            {listening, stopping}, return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
        if listening.done():
            return listening.result()
        listening.cancel()
        return None

    async def _listen(self) -> asyncio.Server:
        settings = self._settings
        callers = await startup.listen(
            "callers", settings.callers_address, self._server.listen
        )
        await startup.listen(
            "readiness",
            settings.readiness_address,
            self._new_server(self._readiness).listen,
        )
        await startup.listen(
            "peers",
            f"{settings.host_ip}:{settings.peer_port}",
            lambda host, port: peer_links.serve(
                host,
                port,
                settings.daemon,
                self._receive,
                self._note_link_lost,
            ),
        )
        return callers

    async def _serve_metrics(self) -> None:
        """Serves metrics until cancelled.

        A daemon serves callers also if the metrics' port is taken.
        """
        server = await startup.listen(
            "metrics",
            f"{self._settings.host_ip}:{self._settings.metrics_port}",
            self._new_server(self._metrics).listen,
        )
        await server.serve_forever()

    def _limits(self) -> routes.CallerLimits:
        configuration = self._view.configuration
        return configuration.limits if configuration else routes.CallerLimits()

    def _collect_report(self) -> fleet_messages.DaemonReport:
        own = self._own_capacity()
        report = fleet_messages.DaemonReport(
            own.daemon,
            own.address,
            0,
            zone=own.zone,
            cpu_capacity=own.cpu_capacity,
        )
        self._counters.move_to_report(report)
        return report

    def _receive(
        self, link: peer_links.PeerLink, envelope: envelopes.Envelope
    ) -> None:
        try:
            if not (
                self._forward_server.receive(link, envelope)
                or self._slot_server.receive(link, envelope)
            ):
                self._leadership.receive(link, envelope)
        except errors.PeerFrameError as error:
            # One line a second for all peers, as a stranger may use many names.
            self._refusal_log(
                events.PEER_REFUSED,
                "",
                peer=envelope.sender[:MAX_LOGGED_NAME_CHARACTERS],
                error=str(error),
            )
            link.close()

    def _note_link_lost(self, link: peer_links.PeerLink) -> None:
        self._forward_server.link_lost(link)
        self._slot_server.link_lost(link)
        self._leadership.link_lost(link)

    def _note_reach(self, is_cut_off: bool) -> None:
        """Adapts the sending of requests when a cut begins or ends."""
        # Failures shortly before a cut was noticed followed from it, too.
        self._directory.forget_failures()
        if is_cut_off:
            self._directory.close_idle_connections()
            if self._reach.is_silent():
                self._sender.give_up_repeatable()
        self._forwarder.note_reach(is_cut_off)

    def _borrower(
        self, kind: fleet_messages.LoanKind
    ) -> borrowing.TokenBorrower:
        async def request_loans(
            token_requests: list[fleet_messages.TokenRequest],
        ) -> list[fleet_messages.TokenLoan]:
            return await self._leadership.borrow(kind, token_requests)

        return borrowing.TokenBorrower(request_loans)

    # readiness and metrics

    async def _readiness(self, request: requests.Request) -> requests.Reply:
        ready = (
            self._view.configuration is not None and not self._stopping.is_set()
        )
        return requests.Reply(200 if ready else 503, b"")

    async def _metrics(self, request: requests.Request) -> requests.Reply:
        return requests.Reply(
            200,
            b"content-type: text/plain; version=0.0.4\r\n",
            self._front_metrics.render().encode(),
        )

    def _gauge_values(self) -> dict[str, float]:
        configuration = self._view.configuration
        values: dict[str, float] = {
            "config_version": configuration.version if configuration else 0,
            "store_lost_seconds": self._view.store_lost_for_s(),
            "requests_in_flight": self._relay.in_flight,
            "message_bytes": self._budget.held_bytes,
            "small_message_bytes": self._budget.small_bytes,
            "callers": len(self._server.connections),
            "upstreams": len(self._view.upstreams),
            "forwarding_peers": len(self._forwarder.peers),
            "peer_requests_in_flight": self._forward_server.in_flight,
            "cut_off_seconds": self._reach.cut_off_for_s(),
            "log_lines_dropped": self._log_output.dropped_lines
            + self._request_log.dropped_lines,
        }
        values.update(self._leadership.status())
        values.update(self._slot_server.status())
        for call, count in self._store.call_counts.items():
            values[f'store_calls_total{{call="{call}"}}'] = count
        return values

    async def _flush_logs(self) -> None:
        reported = 0
        next_report_s = 0.0
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
            self._log_output.write_pending()
            dropped = (
                self._log_output.dropped_lines + self._request_log.dropped_lines
            )
            if dropped > reported and loop.time() >= next_report_s:
                events.log(events.LINES_DROPPED, lines=dropped - reported)
                reported = dropped
                next_report_s = loop.time() + DROPPED_LINES_REPORT_INTERVAL_S

    # signals and stopping

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._request_stop)
        loop.add_signal_handler(signal.SIGINT, self._request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._check_settings_file)

    def _request_stop(self) -> None:
        if not self._stopping.is_set():
            events.log(events.DAEMON_STOPPING, in_flight=self._relay.in_flight)
        self._stopping.set()

    def _check_settings_file(self) -> None:
        """Validates the settings file and logs whether it has changed.

        The process keeps the settings that it was started with.
        """
        try:
            settings = settings_module.read(
                settings_module.path_from_environment()
            )
        except errors.SettingsErrors as error:
            events.log(
                events.SETTINGS_REFUSED,
                errors=[str(problem) for problem in error.exceptions],
            )
            return
        events.log(
            events.SETTINGS_READ_AGAIN, changed=settings != self._settings
        )

    async def _drain_and_stop(self, callers: asyncio.Server) -> None:
        """Drains callers' connections, within the limit for stopping.

        Connections are accepted for `UNREADY_SERVING_S`, so that the balancer
        notices that the daemon is not ready. Then the daemon accepts no
        connections and closes idle ones.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        end_s = started_s + self._settings.stop_limit_s - STOP_MARGIN_S
        self._leadership.stop()
        self._forward_server.stop()
        self._server.draining = True
        self._relay.stop(stop_window.StopWindow(started_s, end_s))
        await asyncio.sleep(min(UNREADY_SERVING_S, end_s - started_s))
        await self._server.stop_listening(callers)
        while loop.time() < end_s + LAST_ANSWERS_LIMIT_S:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            if loop.time() >= end_s:
                self._server.refuse_incomplete_requests(
                    replies.Refusal(503, relay_module.STOPPING_RETRY_AFTER_S)
                )
            self._server.close_idle_connections()
            if (
                not self._server.connections
                and not self._forward_server.in_flight
            ):
                break
            if (
                loop.time() >= end_s - READERS_MARGIN_S
                and self._server.waits_only_for_readers(LAST_ANSWERS_LIMIT_S)
                and not self._forward_server.in_flight
            ):
                break
        self._server.report_untaken()
        cut_short = self._relay.cut_short + self._relay.in_flight
        if cut_short:
            events.log(events.STOP_CUT_SHORT, in_flight=cut_short)
        events.log(
            events.DAEMON_STOPPED, took_s=round(loop.time() - started_s, 3)
        )


async def run(
    path: pathlib.Path, log_output: log_module.NonBlockingHandler
) -> None:
    """Runs a daemon with the settings of a file.

    Raises:
      SettingsErrors: the settings are invalid.
    """
    await Daemon(await startup.read_settings(path), log_output).run()
