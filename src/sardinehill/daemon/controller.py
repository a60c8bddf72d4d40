"""Controls each service through the store, peers and upstreams.

`core.service_control` makes all decisions. This module executes each of its
commands as a call to the store, a peer or an upstream, and reports the result
of each call to the core exactly once. Only a vote request without an answer is
not reported.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
import itertools
from typing import Any
import uuid

from sardinehill import errors
from sardinehill import events
from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.adapters import upstream
from sardinehill.core import controller_state
from sardinehill.core import fleet
from sardinehill.core import grants
from sardinehill.core import lease
from sardinehill.core import ownership
from sardinehill.core import service_control
from sardinehill.daemon import boot_clock
from sardinehill.daemon import fleet_view
from sardinehill.daemon import peer_bus
from sardinehill.wire import message_kinds
from sardinehill.wire import ownership as ownership_wire

# A step follows this long after the previous one if no answer triggers it.
MAX_STEP_INTERVAL_S = 0.05
# Answers that arrive within this time are processed in one step.
MIN_STEP_INTERVAL_S = 0.002
# How long the controller waits for the answer to one grant or vote request.
GRANT_TIMEOUT_S = 0.3
VOTE_TIMEOUT_S = 0.3
# How long a stopping daemon waits until the store has recorded that it gave up
# a lease.
RESIGN_TIMEOUT_S = 0.5
# The number of consecutive unanswered grants at which an event is logged. One
# lost call is not reported; after a second one the holder is suspected.
UNANSWERED_GRANTS_BEFORE_EVENT = 2


class Controller:
    """Runs the control of every service at one daemon."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        client: platform.PlatformClient,
        upstreams: upstream.UpstreamClient,
        bus: peer_bus.PeerBus,
        timing: service_control.ControlTiming | None = None,
    ) -> None:
        self._view = view
        self._client = client
        self._upstreams = upstreams
        self._bus = bus
        self._timing = timing or service_control.ControlTiming()
        self._controls: dict[str, service_control.ServiceControl] = {}
        self._loop_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_known_hosts: dict[str, fleet.UpstreamHost] = {}
        self._logged_statuses: dict[str, service_control.ControlStatus] = {}
        self._wake = asyncio.Event()
        self._nonces = map(f"{uuid.uuid4()}/{{}}".format, itertools.count())
        bus.register(
            message_kinds.MessageKind.VOTE_REQUEST, self._handle_vote_request
        )

    def start(self) -> None:
        """Starts the control loop."""
        self._loop_task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stops the control loop and resigns the leases held.

        No grant is released, because the next controller continues with the
        same assignment before any grant expires.
        """
        running = [task for task in (self._loop_task, *self._tasks) if task]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        resigning = [
            self._resign(control) for control in self._controls.values()
        ]
        await asyncio.gather(*resigning, return_exceptions=True)

    def control_for(
        self, service: str
    ) -> service_control.ServiceControl | None:
        """Returns this daemon's control state of a service, if any."""
        return self._controls.get(service)

    # The control loop.

    async def _run(self) -> None:
        while True:
            for service in self._services():
                try:
                    self._step(service)
                except Exception as error:
                    # A failure in one service must not stop the control of the
                    # others.
                    events.log_with_traceback(
                        events.TASK_FAILED, error, service=service.name
                    )
            await asyncio.sleep(MIN_STEP_INTERVAL_S)
            try:
                async with asyncio.timeout(MAX_STEP_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    def _services(self) -> list[fleet.ServiceConfig]:
        config = self._view.config
        return [] if config is None else list(config.services.values())

    def _get_or_add_control(
        self, service: str
    ) -> service_control.ServiceControl:
        control = self._controls.get(service)
        if control is None:
            config = self._view.config
            newest = config.services.get(service) if config else None
            control = service_control.new_service_control(
                service,
                newest.shard_count if newest else 0,
                self._view.settings.name,
                self._timing,
                self._nonces.__next__,
                boot_clock.now_s(),
            )
            self._controls[service] = control
        return control

    def _step(self, service: fleet.ServiceConfig) -> None:
        control = self._get_or_add_control(service.name)
        newest = self._view.assignments.get(service.name)
        if newest is not None:
            service_control.on_assignment_seen(control, newest)
        service_view = self._service_view(service)
        rank = service_control.candidate_rank(
            service.name, control.daemon_name, sorted(self._view.members)
        )
        commands = service_control.step(
            control, service_view, boot_clock.now_s(), rank
        )
        for command in commands:
            self._spawn(self._execute(control, service, command))
        self._log_status_changes(control)

    def _log_status_changes(
        self, control: service_control.ServiceControl
    ) -> None:
        """Logs changes of this daemon's authority over a service."""
        service = control.controller.service
        status = service_control.control_status(control, boot_clock.now_s())
        previous = self._logged_statuses.get(
            service, service_control.ControlStatus()
        )
        self._logged_statuses[service] = status
        if status.term != previous.term and status.term:
            events.log(events.LEASE_TAKEN, service=service, term=status.term)
        if previous.term and status.term != previous.term:
            events.log(events.LEASE_LOST, service=service, term=previous.term)
        if status.is_quorum_only and not previous.is_quorum_only:
            events.log(events.OUTAGE_MODE_ENTERED, service=service)
        if previous.is_quorum_only and not status.is_quorum_only:
            events.log(events.OUTAGE_MODE_LEFT, service=service)
        same_term = status.term == previous.term and status.term > 0
        if same_term and previous.is_authorized and not status.is_authorized:
            events.log(events.LICENCE_LAPSED, service=service, term=status.term)

    def _service_view(
        self, service: fleet.ServiceConfig
    ) -> controller_state.ServiceView:
        members = self._view.members
        exclusions = self._view.exclusions
        current: tuple[str, ...] = ()
        control = self._get_or_add_control(service.name)
        committed = control.controller.committed
        if committed is not None:
            current = committed.electorate
        zones = {
            name: member.availability_zone for name, member in members.items()
        }
        return controller_state.ServiceView(
            shard_count=service.shard_count,
            checks_fencing=service.checks_fencing,
            upstreams={
                host.name: controller_state.UpstreamView(
                    host.availability_zone, self._view.is_excluded(host)
                )
                for host in self._view.upstreams.values()
                if host.service == service.name
            },
            daemons={
                name: controller_state.DaemonView(
                    zone,
                    name in exclusions.hosts_out
                    or zone in exclusions.zones_out,
                )
                for name, zone in zones.items()
            },
            electorate=service_control.choose_electorate(
                service.name, current, zones, control.daemon_name
            ),
            shard_loads=control.load_estimator.shard_loads,
            hot_keys=control.load_estimator.hot_keys,
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(
        self,
        control: service_control.ServiceControl,
        service: fleet.ServiceConfig,
        command: service_control.Command,
    ) -> None:
        match command:
            case lease.ReadLease():
                await self._read_lease(control)
            case lease.WriteLease():
                await self._write_lease(control, command)
            case controller_state.ReadAssignment():
                await self._read_assignment(control, service)
            case controller_state.WriteAssignment():
                await self._write_assignment(control, command)
            case controller_state.SendGrant():
                await self._send_grant(control, command.grant)
            case service_control.SendVoteRequest():
                await self._request_vote(control, command)

    # Calls to the store.

    async def _read_lease(
        self, control: service_control.ServiceControl
    ) -> None:
        name = _lease_name(control)
        try:
            found = await self._client.get("lease", name)
            record = (
                lease.ABSENT
                if found is None
                else records.decode_lease(name, found.version, found.value)
            )
        except errors.StoreError:
            lease.on_reply_lost(control.lease, boot_clock.now_s())
            return
        service_control.on_lease_read(control, record, boot_clock.now_s())
        self._wake.set()

    async def _write_lease(
        self, control: service_control.ServiceControl, command: lease.WriteLease
    ) -> None:
        try:
            version = await self._client.put(
                "lease",
                _lease_name(control),
                records.encode_lease(command.record),
                command.expected_version,
            )
        except errors.StoreConflictError:
            lease.on_conflict(control.lease, boot_clock.now_s())
            self._wake.set()
            return
        except errors.StoreError:
            lease.on_reply_lost(control.lease, boot_clock.now_s())
            return
        record = dataclasses.replace(command.record, version=version)
        service_control.on_lease_written(control, record, boot_clock.now_s())

    async def _read_assignment(
        self,
        control: service_control.ServiceControl,
        service: fleet.ServiceConfig,
    ) -> None:
        term = control.controller.term
        try:
            found = await self._client.get("assignment", service.name)
            assignment = (
                controller_state.empty_assignment(
                    service.name, service.shard_count
                )
                if found is None
                else records.decode_assignment(
                    service.name, found.version, found.value
                )
            )
        except errors.StoreError:
            ownership.on_assignment_call_failed(control.controller)
            return
        service_control.on_assignment_read(
            control, assignment, term, boot_clock.now_s()
        )
        self._wake.set()

    async def _write_assignment(
        self,
        control: service_control.ServiceControl,
        command: controller_state.WriteAssignment,
    ) -> None:
        assignment = command.assignment
        try:
            version = await self._client.put(
                "assignment",
                assignment.service,
                records.encode_assignment(assignment),
                command.expected_version,
            )
        except errors.StoreError as error:
            # This also applies to a conflict, because the version in the store
            # may be this daemon's own write whose reply was lost.
            ownership.on_assignment_call_failed(control.controller)
            if isinstance(error, errors.StoreConflictError):
                events.log(
                    events.ASSIGNMENT_CONFLICT, service=assignment.service
                )
            self._wake.set()
            return
        written = dataclasses.replace(assignment, version=version)
        service_control.on_assignment_written(
            control, written, boot_clock.now_s()
        )
        self._wake.set()

    # Calls to grant holders and voters.

    async def _send_grant(
        self, control: service_control.ServiceControl, grant: grants.Grant
    ) -> None:
        # The event loop may have been delayed since the step that created this
        # grant.
        answer = None
        if service_control.is_authorized(control, boot_clock.now_s()):
            answer = await self._deliver_grant(control, grant)
        if answer is None:
            ownership.on_grant_unanswered(control.controller, grant)
            if (
                service_control.unanswered_calls(control, grant)
                == UNANSWERED_GRANTS_BEFORE_EVENT
            ):
                events.log(
                    events.GRANT_UNANSWERED,
                    service=control.controller.service,
                    upstream=grant.target.upstream,
                    gateway=grant.target.daemon,
                )
            return
        service_control.on_grant_answer(
            control, grant, answer, boot_clock.now_s()
        )
        if not answer.accepted or service_control.is_moving(control):
            self._wake.set()

    async def _deliver_grant(
        self, control: service_control.ServiceControl, grant: grants.Grant
    ) -> grants.GrantAnswer | None:
        service = control.controller.service
        target = grant.target
        if target.daemon:
            payload = ownership_wire.encode_grant(service, grant)
            try:
                reply = await self._bus.ask(
                    target.daemon,
                    message_kinds.MessageKind.GATEWAY_GRANT,
                    payload,
                    GRANT_TIMEOUT_S,
                )
                answer, report = ownership_wire.decode_grant_answer(reply)
            except errors.PeerError:
                return None
            service_control.on_usage_report(control, report)
            return answer
        # An upstream that has disappeared from the platform's list can still
        # release its keys itself, which is faster than waiting until its grants
        # expire.
        host = self._view.upstreams.get(target.upstream)
        host = host or self._last_known_hosts.get(target.upstream)
        if host is None:
            return None
        self._last_known_hosts[host.name] = host
        return await self._upstreams.send_grant(
            host, service, grant, self._view.settings.name, GRANT_TIMEOUT_S
        )

    async def _request_vote(
        self,
        control: service_control.ServiceControl,
        vote_request: service_control.SendVoteRequest,
    ) -> None:
        payload = ownership_wire.encode_vote_request(vote_request.request)
        try:
            reply = await self._bus.ask(
                vote_request.voter,
                message_kinds.MessageKind.VOTE_REQUEST,
                payload,
                VOTE_TIMEOUT_S,
            )
            answer = ownership_wire.decode_vote_response(reply)
        except errors.PeerError:
            return
        service_control.on_vote_response(
            control, vote_request, answer, boot_clock.now_s()
        )
        if vote_request.request.seal:
            self._wake.set()

    def _handle_vote_request(self, sender: str, payload: bytes) -> bytes:
        vote_request = ownership_wire.decode_vote_request(payload)
        control = self._get_or_add_control(vote_request.service)
        answer = service_control.on_vote_request(
            control, vote_request, boot_clock.now_s()
        )
        return ownership_wire.encode_vote_response(answer)

    async def _resign(self, control: service_control.ServiceControl) -> None:
        command = service_control.resign(control)
        if command is None:
            return
        async with asyncio.timeout(RESIGN_TIMEOUT_S):
            await self._client.put(
                "lease",
                _lease_name(control),
                records.encode_lease(command.record),
                command.expected_version,
            )


def _lease_name(control: service_control.ServiceControl) -> str:
    return f"controller-{control.controller.service}"
