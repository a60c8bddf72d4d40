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
from sardinehill.core import control_state
from sardinehill.core import controlling
from sardinehill.core import fleet
from sardinehill.core import grants
from sardinehill.core import lease
from sardinehill.core import ownership
from sardinehill.daemon import boot_clock
from sardinehill.daemon import peers
from sardinehill.daemon import view
from sardinehill.wire import kinds
from sardinehill.wire import ownership as ownership_wire

STEP_INTERVAL_S = 0.05
# Answers that arrive together are worked off in one step.
SHORTEST_STEP_INTERVAL_S = 0.002
GRANT_TIMEOUT_S = 0.3
ASK_TIMEOUT_S = 0.3
RESIGN_TIMEOUT_S = 0.5
# One lost call is no news; the second makes the holder a suspect.
CALLS_BEFORE_TOLD = 2


class Controller:
    """This daemon's part in controlling every service."""

    def __init__(
        self,
        knowledge: view.View,
        client: platform.PlatformClient,
        upstreams: upstream.UpstreamClient,
        bus: peers.PeerBus,
        timing: controlling.Timing | None = None,
    ) -> None:
        self._view = knowledge
        self._client = client
        self._upstreams = upstreams
        self._bus = bus
        self._timing = timing or controlling.Timing()
        self._duties: dict[str, controlling.Duty] = {}
        self._main: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._last_seen: dict[str, fleet.UpstreamHost] = {}
        self._told: dict[str, controlling.State] = {}
        self._wake = asyncio.Event()
        self._nonces = map(f"{uuid.uuid4()}/{{}}".format, itertools.count())
        bus.register(kinds.Kind.VOUCH, self._handle_question)

    def start(self) -> None:
        """Begins to control."""
        self._main = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Ends the control, and gives held leases back.

        Nothing is released: the next controller goes on with the same
        assignment before any grant lapses.
        """
        running = [task for task in (self._main, *self._calls) if task]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        resigning = [self._resign(duty) for duty in self._duties.values()]
        await asyncio.gather(*resigning, return_exceptions=True)

    def duty(self, service: str) -> controlling.Duty | None:
        """Returns this daemon's part in a service, for status pages."""
        return self._duties.get(service)

    # The loop.

    async def _run(self) -> None:
        while True:
            for service in self._services():
                try:
                    self._step(service)
                except Exception as error:
                    # One service's fault must not end the others' control.
                    events.log_failure(
                        events.TASK_FAILED, error, service=service.name
                    )
            await asyncio.sleep(SHORTEST_STEP_INTERVAL_S)
            try:
                async with asyncio.timeout(STEP_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    def _services(self) -> list[fleet.Service]:
        config = self._view.config
        return [] if config is None else list(config.services.values())

    def _duty(self, service: str) -> controlling.Duty:
        duty = self._duties.get(service)
        if duty is None:
            config = self._view.config
            known = config.services.get(service) if config else None
            duty = controlling.new_duty(
                service,
                known.shard_count if known else 0,
                self._view.settings.name,
                self._timing,
                self._nonces.__next__,
                boot_clock.now_s(),
            )
            self._duties[service] = duty
        return duty

    def _step(self, service: fleet.Service) -> None:
        duty = self._duty(service.name)
        known = self._view.assignments.get(service.name)
        if known is not None:
            controlling.on_known(duty, known)
        seen = self._look(service)
        rank = controlling.rank_of(
            service.name, duty.me, sorted(self._view.members)
        )
        commands = controlling.step(duty, seen, boot_clock.now_s(), rank)
        for command in commands:
            self._call(self._carry_out(duty, service, command))
        self._tell_state(duty)

    def _tell_state(self, duty: controlling.Duty) -> None:
        """Logs a change of what this daemon may do for a service."""
        service = duty.controller.service
        now = controlling.state_of(duty, boot_clock.now_s())
        before = self._told.get(service, controlling.State())
        self._told[service] = now
        if now.term != before.term and now.term:
            events.log(events.LEASE_TAKEN, service=service, term=now.term)
        if before.term and now.term != before.term:
            events.log(events.LEASE_LOST, service=service, term=before.term)
        if now.is_vouched and not before.is_vouched:
            events.log(events.OUTAGE_MODE_ENTERED, service=service)
        if before.is_vouched and not now.is_vouched:
            events.log(events.OUTAGE_MODE_LEFT, service=service)
        same_term = now.term == before.term and now.term > 0
        if same_term and before.is_licensed and not now.is_licensed:
            events.log(events.LICENCE_LAPSED, service=service, term=now.term)

    def _look(self, service: fleet.Service) -> control_state.View:
        members = self._view.members
        taken_out = self._view.taken_out
        current: tuple[str, ...] = ()
        duty = self._duty(service.name)
        committed = duty.controller.committed
        if committed is not None:
            current = committed.electorate
        zones = {
            name: member.availability_zone for name, member in members.items()
        }
        return control_state.View(
            shard_count=service.shard_count,
            checks_fencing=service.checks_fencing,
            upstreams={
                host.name: control_state.UpstreamView(
                    host.availability_zone, self._view.is_out(host)
                )
                for host in self._view.upstreams.values()
                if host.service == service.name
            },
            daemons={
                name: control_state.DaemonView(
                    zone,
                    name in taken_out.hosts_out or zone in taken_out.zones_out,
                )
                for name, zone in zones.items()
            },
            electorate=controlling.choose_electorate(
                service.name, current, zones, duty.me
            ),
            shard_loads=duty.popularity.shard_loads,
            hot_keys=duty.popularity.hot_keys,
        )

    def _call(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _carry_out(
        self,
        duty: controlling.Duty,
        service: fleet.Service,
        command: controlling.Command,
    ) -> None:
        match command:
            case lease.ReadLease():
                await self._read_lease(duty)
            case lease.WriteLease():
                await self._write_lease(duty, command)
            case control_state.ReadAssignment():
                await self._read_assignment(duty, service)
            case control_state.WriteAssignment():
                await self._write_assignment(duty, command)
            case control_state.SendGrant():
                await self._send_grant(duty, command.grant)
            case controlling.Ask():
                await self._ask(duty, command)

    # The store.

    async def _read_lease(self, duty: controlling.Duty) -> None:
        name = _lease_name(duty)
        try:
            found = await self._client.get("lease", name)
            record = (
                lease.ABSENT
                if found is None
                else records.read_lease(name, found.version, found.value)
            )
        except errors.StoreError:
            lease.on_lost(duty.lease, boot_clock.now_s())
            return
        controlling.on_lease_read(duty, record, boot_clock.now_s())
        self._wake.set()

    async def _write_lease(
        self, duty: controlling.Duty, command: lease.WriteLease
    ) -> None:
        try:
            version = await self._client.put(
                "lease",
                _lease_name(duty),
                records.lease_value(command.record),
                command.expected,
            )
        except errors.StoreConflictError:
            lease.on_conflict(duty.lease, boot_clock.now_s())
            self._wake.set()
            return
        except errors.StoreError:
            lease.on_lost(duty.lease, boot_clock.now_s())
            return
        record = dataclasses.replace(command.record, version=version)
        controlling.on_lease_written(duty, record, boot_clock.now_s())

    async def _read_assignment(
        self, duty: controlling.Duty, service: fleet.Service
    ) -> None:
        term = duty.controller.term
        try:
            found = await self._client.get("assignment", service.name)
            assignment = (
                control_state.empty_assignment(
                    service.name, service.shard_count
                )
                if found is None
                else records.read_assignment(
                    service.name, found.version, found.value
                )
            )
        except errors.StoreError:
            ownership.on_assignment_unknown(duty.controller)
            return
        controlling.on_assignment_read(
            duty, assignment, term, boot_clock.now_s()
        )
        self._wake.set()

    async def _write_assignment(
        self, duty: controlling.Duty, command: control_state.WriteAssignment
    ) -> None:
        assignment = command.assignment
        try:
            version = await self._client.put(
                "assignment",
                assignment.service,
                records.assignment_value(assignment),
                command.expected,
            )
        except errors.StoreError as error:
            # Also after a conflict: the version found may be our own write,
            # of which the reply was lost.
            ownership.on_assignment_unknown(duty.controller)
            if isinstance(error, errors.StoreConflictError):
                events.log(
                    events.ASSIGNMENT_CONFLICT, service=assignment.service
                )
            self._wake.set()
            return
        written = dataclasses.replace(assignment, version=version)
        controlling.on_assignment_written(duty, written, boot_clock.now_s())
        self._wake.set()

    # Holders and members.

    async def _send_grant(
        self, duty: controlling.Duty, grant: grants.Grant
    ) -> None:
        # The loop may have been held up since the step that made this grant.
        answer = None
        if controlling.is_licensed(duty, boot_clock.now_s()):
            answer = await self._offer(duty, grant)
        if answer is None:
            ownership.on_grant_lost(duty.controller, grant)
            if controlling.lost_calls(duty, grant) == CALLS_BEFORE_TOLD:
                events.log(
                    events.GRANT_UNANSWERED,
                    service=duty.controller.service,
                    upstream=grant.target.upstream,
                    gateway=grant.target.daemon,
                )
            return
        controlling.on_grant_answer(duty, grant, answer, boot_clock.now_s())
        if not answer.accepted or controlling.is_moving(duty):
            self._wake.set()

    async def _offer(
        self, duty: controlling.Duty, grant: grants.Grant
    ) -> grants.GrantAnswer | None:
        service = duty.controller.service
        target = grant.target
        if target.daemon:
            payload = ownership_wire.encode_grant(service, grant)
            try:
                reply = await self._bus.ask(
                    target.daemon,
                    kinds.Kind.GATEWAY_GRANT,
                    payload,
                    GRANT_TIMEOUT_S,
                )
                answer, report = ownership_wire.decode_grant_answer(reply)
            except errors.PeerError:
                return None
            controlling.on_report(duty, report)
            return answer
        # An upstream that has vanished from the platform's list can still
        # give its keys up by itself, which is faster than to wait for lapses.
        host = self._view.upstreams.get(target.upstream)
        host = host or self._last_seen.get(target.upstream)
        if host is None:
            return None
        self._last_seen[host.name] = host
        return await self._upstreams.grant(
            host, service, grant, self._view.settings.name, GRANT_TIMEOUT_S
        )

    async def _ask(self, duty: controlling.Duty, ask: controlling.Ask) -> None:
        payload = ownership_wire.encode_query(ask.query)
        try:
            reply = await self._bus.ask(
                ask.member, kinds.Kind.VOUCH, payload, ASK_TIMEOUT_S
            )
            answer = ownership_wire.decode_vouch(reply)
        except errors.PeerError:
            return
        controlling.on_answer(duty, ask, answer, boot_clock.now_s())
        if ask.query.seal:
            self._wake.set()

    def _handle_question(self, sender: str, payload: bytes) -> bytes:
        query = ownership_wire.decode_query(payload)
        duty = self._duty(query.service)
        answer = controlling.on_question(duty, query, boot_clock.now_s())
        return ownership_wire.encode_vouch(answer)

    async def _resign(self, duty: controlling.Duty) -> None:
        command = controlling.resign(duty)
        if command is None:
            return
        async with asyncio.timeout(RESIGN_TIMEOUT_S):
            await self._client.put(
                "lease",
                _lease_name(duty),
                records.lease_value(command.record),
                command.expected,
            )


def _lease_name(duty: controlling.Duty) -> str:
    return f"controller-{duty.controller.service}"
