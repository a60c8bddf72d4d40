"""Runs the control of each service: store, peers and upstreams.

Every decision is made in `core.controlling`. Here each command becomes a
call, and each call ends in exactly one event for the core.
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

MAX_STEP_INTERVAL_S = 0.05
# Answers that arrive together are worked off in one step.
MIN_STEP_INTERVAL_S = 0.002
GRANT_TIMEOUT_S = 0.3
VOTE_TIMEOUT_S = 0.3
RESIGN_TIMEOUT_S = 0.5
# One lost call is no news; the second makes the holder a suspect.
UNANSWERED_GRANTS_BEFORE_EVENT = 2


class Controller:
    """This daemon's part in controlling every service."""

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
        """Begins to control."""
        self._loop_task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Ends the control, and gives held leases back.

        Nothing is released: the next controller goes on with the same
        assignment before any grant lapses.
        """
        running = [task for task in (self._loop_task, *self._tasks) if task]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        resigning = [self._resign(duty) for duty in self._controls.values()]
        await asyncio.gather(*resigning, return_exceptions=True)

    def control_for(
        self, service: str
    ) -> service_control.ServiceControl | None:
        """Returns this daemon's part in a service, for status pages."""
        return self._controls.get(service)

    # The loop.

    async def _run(self) -> None:
        while True:
            for service in self._services():
                try:
                    self._step(service)
                except Exception as error:
                    # One service's fault must not end the others' control.
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
        duty = self._controls.get(service)
        if duty is None:
            config = self._view.config
            known = config.services.get(service) if config else None
            duty = service_control.new_service_control(
                service,
                known.shard_count if known else 0,
                self._view.settings.name,
                self._timing,
                self._nonces.__next__,
                boot_clock.now_s(),
            )
            self._controls[service] = duty
        return duty

    def _step(self, service: fleet.ServiceConfig) -> None:
        duty = self._get_or_add_control(service.name)
        known = self._view.assignments.get(service.name)
        if known is not None:
            service_control.on_assignment_seen(duty, known)
        seen = self._service_view(service)
        rank = service_control.candidate_rank(
            service.name, duty.daemon_name, sorted(self._view.members)
        )
        commands = service_control.step(duty, seen, boot_clock.now_s(), rank)
        for command in commands:
            self._spawn(self._execute(duty, service, command))
        self._log_status_changes(duty)

    def _log_status_changes(self, duty: service_control.ServiceControl) -> None:
        """Logs a change of what this daemon may do for a service."""
        service = duty.controller.service
        now = service_control.control_status(duty, boot_clock.now_s())
        before = self._logged_statuses.get(
            service, service_control.ControlStatus()
        )
        self._logged_statuses[service] = now
        if now.term != before.term and now.term:
            events.log(events.LEASE_TAKEN, service=service, term=now.term)
        if before.term and now.term != before.term:
            events.log(events.LEASE_LOST, service=service, term=before.term)
        if now.is_quorum_only and not before.is_quorum_only:
            events.log(events.OUTAGE_MODE_ENTERED, service=service)
        if before.is_quorum_only and not now.is_quorum_only:
            events.log(events.OUTAGE_MODE_LEFT, service=service)
        same_term = now.term == before.term and now.term > 0
        if same_term and before.is_authorized and not now.is_authorized:
            events.log(events.LICENCE_LAPSED, service=service, term=now.term)

    def _service_view(
        self, service: fleet.ServiceConfig
    ) -> controller_state.ServiceView:
        members = self._view.members
        taken_out = self._view.exclusions
        current: tuple[str, ...] = ()
        duty = self._get_or_add_control(service.name)
        committed = duty.controller.committed
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
                    name in taken_out.hosts_out or zone in taken_out.zones_out,
                )
                for name, zone in zones.items()
            },
            electorate=service_control.choose_electorate(
                service.name, current, zones, duty.daemon_name
            ),
            shard_loads=duty.load_estimator.shard_loads,
            hot_keys=duty.load_estimator.hot_keys,
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(
        self,
        duty: service_control.ServiceControl,
        service: fleet.ServiceConfig,
        command: service_control.Command,
    ) -> None:
        match command:
            case lease.ReadLease():
                await self._read_lease(duty)
            case lease.WriteLease():
                await self._write_lease(duty, command)
            case controller_state.ReadAssignment():
                await self._read_assignment(duty, service)
            case controller_state.WriteAssignment():
                await self._write_assignment(duty, command)
            case controller_state.SendGrant():
                await self._send_grant(duty, command.grant)
            case service_control.SendVoteRequest():
                await self._request_vote(duty, command)

    # The store.

    async def _read_lease(self, duty: service_control.ServiceControl) -> None:
        name = _lease_name(duty)
        try:
            found = await self._client.get("lease", name)
            record = (
                lease.ABSENT
                if found is None
                else records.decode_lease(name, found.version, found.value)
            )
        except errors.StoreError:
            lease.on_reply_lost(duty.lease, boot_clock.now_s())
            return
        service_control.on_lease_read(duty, record, boot_clock.now_s())
        self._wake.set()

    async def _write_lease(
        self, duty: service_control.ServiceControl, command: lease.WriteLease
    ) -> None:
        try:
            version = await self._client.put(
                "lease",
                _lease_name(duty),
                records.encode_lease(command.record),
                command.expected_version,
            )
        except errors.StoreConflictError:
            lease.on_conflict(duty.lease, boot_clock.now_s())
            self._wake.set()
            return
        except errors.StoreError:
            lease.on_reply_lost(duty.lease, boot_clock.now_s())
            return
        record = dataclasses.replace(command.record, version=version)
        service_control.on_lease_written(duty, record, boot_clock.now_s())

    async def _read_assignment(
        self, duty: service_control.ServiceControl, service: fleet.ServiceConfig
    ) -> None:
        term = duty.controller.term
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
            ownership.on_assignment_call_failed(duty.controller)
            return
        service_control.on_assignment_read(
            duty, assignment, term, boot_clock.now_s()
        )
        self._wake.set()

    async def _write_assignment(
        self,
        duty: service_control.ServiceControl,
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
            # Also after a conflict: the version found may be our own write,
            # of which the reply was lost.
            ownership.on_assignment_call_failed(duty.controller)
            if isinstance(error, errors.StoreConflictError):
                events.log(
                    events.ASSIGNMENT_CONFLICT, service=assignment.service
                )
            self._wake.set()
            return
        written = dataclasses.replace(assignment, version=version)
        service_control.on_assignment_written(duty, written, boot_clock.now_s())
        self._wake.set()

    # Holders and members.

    async def _send_grant(
        self, duty: service_control.ServiceControl, grant: grants.Grant
    ) -> None:
        # The loop may have been held up since the step that made this grant.
        answer = None
        if service_control.is_authorized(duty, boot_clock.now_s()):
            answer = await self._deliver_grant(duty, grant)
        if answer is None:
            ownership.on_grant_unanswered(duty.controller, grant)
            if (
                service_control.unanswered_calls(duty, grant)
                == UNANSWERED_GRANTS_BEFORE_EVENT
            ):
                events.log(
                    events.GRANT_UNANSWERED,
                    service=duty.controller.service,
                    upstream=grant.target.upstream,
                    gateway=grant.target.daemon,
                )
            return
        service_control.on_grant_answer(duty, grant, answer, boot_clock.now_s())
        if not answer.accepted or service_control.is_moving(duty):
            self._wake.set()

    async def _deliver_grant(
        self, duty: service_control.ServiceControl, grant: grants.Grant
    ) -> grants.GrantAnswer | None:
        service = duty.controller.service
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
            service_control.on_usage_report(duty, report)
            return answer
        # An upstream that has vanished from the platform's list can still
        # give its keys up by itself, which is faster than to wait for lapses.
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
        duty: service_control.ServiceControl,
        ask: service_control.SendVoteRequest,
    ) -> None:
        payload = ownership_wire.encode_vote_request(ask.request)
        try:
            reply = await self._bus.ask(
                ask.voter,
                message_kinds.MessageKind.VOTE_REQUEST,
                payload,
                VOTE_TIMEOUT_S,
            )
            answer = ownership_wire.decode_vote_response(reply)
        except errors.PeerError:
            return
        service_control.on_vote_response(duty, ask, answer, boot_clock.now_s())
        if ask.request.seal:
            self._wake.set()

    def _handle_vote_request(self, sender: str, payload: bytes) -> bytes:
        query = ownership_wire.decode_vote_request(payload)
        duty = self._get_or_add_control(query.service)
        answer = service_control.on_vote_request(
            duty, query, boot_clock.now_s()
        )
        return ownership_wire.encode_vote_response(answer)

    async def _resign(self, duty: service_control.ServiceControl) -> None:
        command = service_control.resign(duty)
        if command is None:
            return
        async with asyncio.timeout(RESIGN_TIMEOUT_S):
            await self._client.put(
                "lease",
                _lease_name(duty),
                records.encode_lease(command.record),
                command.expected_version,
            )


def _lease_name(duty: service_control.ServiceControl) -> str:
    return f"controller-{duty.controller.service}"
