"""Simulates a fleet, its network and its store to check the ownership rules.

Everything runs on one simulated time. Each process has its own drifting clock.
A frozen process handles nothing, and what reaches it is deferred until it
resumes. Messages may be lost, duplicated, delayed and reordered, and a write
may take effect although its reply is lost.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from sardinehill.core import controller_state
from sardinehill.core import grants
from sardinehill.core import lease
from sardinehill.core import ownership
from sardinehill.core import placement
from sardinehill.core import quorum
from sardinehill.core import service_control

SHARD_COUNT = 6
HOT_KEYS = ("wedding", "holiday")
STEP_INTERVAL_S = 0.04
STORE_TIMEOUT_S = 0.4
GRANT_TIMEOUT_S = 0.25
VOTE_TIMEOUT_S = 0.25
TICK_JITTER_S = 0.01
# Longest extra delay of a message that a test sets.
MAX_DELAY_S = 4.0


@dataclasses.dataclass
class BrokenRules:
    """The rules that are broken on purpose in a simulation.

    Attributes:
      reuse_term: a takeover keeps the term that it found.
      stale_clock: the expiry of the lease is checked by a clock that is read
        only when a reply of the store arrives.
      trust_lost_reply: a write without a reply is taken as successful.
      ttl_from_receipt: holders count a grant's ttl from its receipt.
      no_seal: a new controller does not wait for seals.
      grant_before_commit: changes are in force before the store accepts them.
    """

    reuse_term: bool = False
    stale_clock: bool = False
    trust_lost_reply: bool = False
    ttl_from_receipt: bool = False
    no_seal: bool = False
    grant_before_commit: bool = False


class Process:
    """A process with its own clock that can be frozen, killed and restarted."""

    def __init__(
        self, simulation: "FleetSimulation", name: str, clock_rate: float
    ):
        self.simulation = simulation
        self.name = name
        self.clock_rate = clock_rate
        self.offset_s = simulation.random.uniform(0.0, 100.0)
        self.incarnation = 0
        self.frozen = False
        self.dead = False
        self.deferred: list[Callable[[], None]] = []

    def clock_s(self) -> float:
        """Returns this process's clock, which also runs while it is frozen."""
        return self.offset_s + self.simulation.now_s * self.clock_rate

    def deliver(self, incarnation: int, action: Callable[[], None]) -> None:
        """Runs an action in this process, or defers it while it is frozen."""
        if self.dead or incarnation != self.incarnation:
            return
        if self.frozen:
            self.deferred.append(action)
        else:
            action()

    def resume(self) -> None:
        """Unfreezes the process and runs the deferred actions in any order."""
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        self.simulation.random.shuffle(deferred)
        for action in deferred:
            action()
            self.simulation.check_after_grant()

    def restart(self) -> None:
        """Loses all memory and everything in flight to this process."""
        self.incarnation += 1
        self.frozen = False
        self.dead = False
        self.deferred = []


class Upstream(Process):
    """An upstream, which keeps the grant that it holds."""

    def __init__(
        self, simulation: "FleetSimulation", name: str, clock_rate: float
    ):
        super().__init__(simulation, name, clock_rate)
        self.held = grants.HeldGrant("")
        self.restart()

    def restart(self) -> None:
        """Loses all memory, including the grant."""
        super().restart()
        self.held = grants.HeldGrant(f"{self.name}/{self.incarnation}")


class Daemon(Process):
    """A daemon, which is a lease candidate, a voter and a gateway."""

    def __init__(
        self, simulation: "FleetSimulation", name: str, clock_rate: float
    ):
        super().__init__(simulation, name, clock_rate)
        self.rank = 0
        self.stale_clock_s = 0.0
        self.held: dict[str, grants.HeldGrant] = {}
        self.control: service_control.ServiceControl
        self.restart()

    def restart(self) -> None:
        """Loses all memory and learns the assignment from its peers."""
        super().restart()
        self.held = {}
        self.control = service_control.new_service_control(
            "s",
            SHARD_COUNT,
            self.name,
            service_control.ControlTiming(),
            self.simulation.new_nonce,
            self.clock_s(),
        )
        self.stale_clock_s = self.clock_s()
        for daemon in self.simulation.daemons.values():
            if daemon is not self and daemon.control.controller.committed:
                service_control.on_assignment_seen(
                    self.control, daemon.control.controller.committed
                )

    def held_as_gateway(self, upstream: str) -> grants.HeldGrant:
        """Returns the grant that this daemon holds as an upstream's gateway."""
        name = f"{self.name}/{self.incarnation}"
        return self.held.setdefault(upstream, grants.HeldGrant(name))


class FleetSimulation:
    """The processes, store, network and time of a simulated fleet."""

    def __init__(
        self,
        seed: int,
        daemons: int = 3,
        upstreams: int = 3,
        fencing: bool = True,
        broken_rules: BrokenRules | None = None,
    ):
        self.random = random.Random(seed)
        self.broken_rules = broken_rules or BrokenRules()
        self.fencing = fencing
        self.now_s = 0.0
        self.nonces = itertools.count(1)
        self.event_order = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.store_up = True
        self.revision = 0
        self.lease = lease.ABSENT
        self.assignment: placement.ShardAssignment | None = None
        self.cut_links: set[tuple[str, str]] = set()
        self.loss_probability = 0.0
        self.duplication_probability = 0.0
        self.max_extra_delay_s = 0.0
        self.upstreams: dict[str, Upstream] = {}
        self.daemons: dict[str, Daemon] = {}
        for index in range(upstreams):
            name = f"u{index}"
            self.upstreams[name] = Upstream(
                self, name, self._random_clock_rate()
            )
        for index in range(daemons):
            name = f"d{index}"
            self.daemons[name] = Daemon(self, name, self._random_clock_rate())
            self.daemons[name].rank = index
        self.taken_out: set[str] = set()
        self.hot_keys: set[str] = set()
        self.electorate = tuple(self.daemons)
        self.step_count = 0
        self.needs_check = False
        for daemon in self.daemons.values():
            self._schedule_tick(daemon)

    def _random_clock_rate(self) -> float:
        return self.random.uniform(0.992, 1.008)

    def new_nonce(self) -> str:
        """Returns a nonce, which is never returned again."""
        return str(next(self.nonces))

    # Time.

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action for a later simulated time."""
        entry = (self.now_s + delay_s, next(self.event_order), action)
        heapq.heappush(self.events, entry)

    def advance(self, seconds: float) -> None:
        """Runs all events of a period, with a check after each grant."""
        until_s = self.now_s + seconds
        while self.events and self.events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self.events)
            self.now_s = at_s
            action()
            self.check_after_grant()
        self.now_s = until_s

    def _schedule_tick(self, daemon: Daemon) -> None:
        def action() -> None:
            self._schedule_tick(daemon)
            if not daemon.frozen and not daemon.dead:
                self._step(daemon)

        self.schedule(
            STEP_INTERVAL_S + self.random.uniform(0, TICK_JITTER_S), action
        )

    # The network.

    def _delay_s(self) -> float:
        if self.max_extra_delay_s and self.random.random() < 0.5:
            return self.random.uniform(0.0, self.max_extra_delay_s)
        return self.random.uniform(0.001, 0.008)

    def _is_cut(self, source: str, target: str) -> bool:
        return (source, target) in self.cut_links

    def send(
        self,
        source: str,
        target: str,
        action: Callable[[], None],
    ) -> None:
        """Delivers an action, or loses, duplicates or delays it."""
        if (
            self._is_cut(source, target)
            or self.random.random() < self.loss_probability
        ):
            return
        self.schedule(self._delay_s(), action)
        if self.random.random() < self.duplication_probability:
            self.schedule(self._delay_s() + self._delay_s(), action)

    def call(
        self,
        daemon: Daemon,
        target: str,
        serve: Callable[[Callable[[Callable[[], None]], None]], None],
        on_lost: Callable[[], None],
        timeout_s: float,
    ) -> None:
        """Calls a target, with exactly one outcome: a reply or a timeout."""
        done: list[bool] = []
        incarnation = daemon.incarnation

        def finish(outcome: Callable[[], None]) -> None:
            def action() -> None:
                if not done:
                    done.append(True)
                    outcome()

            daemon.deliver(incarnation, action)

        def reply(outcome: Callable[[], None]) -> None:
            def action() -> None:
                if target == "store" and not daemon.frozen:
                    daemon.stale_clock_s = daemon.clock_s()
                finish(outcome)

            self.send(target, daemon.name, action)

        self.send(daemon.name, target, lambda: serve(reply))
        self.schedule(timeout_s, lambda: finish(on_lost))

    # A daemon's step.

    def view(self) -> controller_state.ServiceView:
        """Returns the service and the fleet as every daemon sees them."""
        return controller_state.ServiceView(
            shard_count=SHARD_COUNT,
            checks_fencing=self.fencing,
            upstreams={
                name: controller_state.UpstreamView("z", name in self.taken_out)
                for name in self.upstreams
            },
            daemons={
                name: controller_state.DaemonView("z", name in self.taken_out)
                for name in self.daemons
            },
            electorate=self.electorate,
            hot_keys=dict.fromkeys(self.hot_keys, 1.0),
        )

    def _step(self, daemon: Daemon) -> None:
        self.step_count += 1
        now_s = daemon.clock_s()
        if self.broken_rules.no_seal and daemon.control.controller.committed:
            ownership.on_predecessors_fenced(daemon.control.controller, now_s)
        true_until_s = daemon.control.lease.valid_until_s
        if (
            self.broken_rules.stale_clock
            and daemon.stale_clock_s < true_until_s
        ):
            daemon.control.lease.valid_until_s = max(true_until_s, now_s + 1.0)
        commands = service_control.step(
            daemon.control, self.view(), now_s, daemon.rank
        )
        daemon.control.lease.valid_until_s = true_until_s
        for command in commands:
            self._carry_out(daemon, command)

    def _carry_out(
        self, daemon: Daemon, command: service_control.Command
    ) -> None:
        match command:
            case lease.ReadLease():
                self._read_lease(daemon)
            case lease.WriteLease():
                self._write_lease(daemon, command)
            case controller_state.ReadAssignment():
                self._read_assignment(daemon)
            case controller_state.WriteAssignment():
                self._write_assignment(daemon, command)
            case controller_state.SendGrant():
                self._send_grant(daemon, command.grant)
            case service_control.SendVoteRequest():
                self._send_vote_request(daemon, command)

    # The store.

    def _read_lease(self, daemon: Daemon) -> None:
        control = daemon.control

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            if self.store_up:
                record = self.lease
                reply(
                    lambda: service_control.on_lease_read(
                        control, record, daemon.clock_s()
                    )
                )

        self.call(
            daemon,
            "store",
            serve,
            lambda: lease.on_reply_lost(control.lease, daemon.clock_s()),
            STORE_TIMEOUT_S,
        )

    def _write_lease(self, daemon: Daemon, command: lease.WriteLease) -> None:
        control = daemon.control
        record = command.record
        if (
            self.broken_rules.reuse_term
            and control.lease.last_record is not None
        ):
            term = max(1, control.lease.last_record.term)
            record = dataclasses.replace(record, term=term)

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            if not self.store_up:
                return
            if self.lease.version != command.expected_version:
                reply(
                    lambda: lease.on_conflict(control.lease, daemon.clock_s())
                )
                return
            self.revision += 1
            written = dataclasses.replace(record, version=self.revision)
            self.lease = written
            reply(
                lambda: service_control.on_lease_written(
                    control, written, daemon.clock_s()
                )
            )

        def on_lost() -> None:
            if self.broken_rules.trust_lost_reply:
                guessed = dataclasses.replace(
                    record, version=command.expected_version + 1
                )
                service_control.on_lease_written(
                    control, guessed, daemon.clock_s()
                )
            else:
                lease.on_reply_lost(control.lease, daemon.clock_s())

        self.call(daemon, "store", serve, on_lost, STORE_TIMEOUT_S)

    def _read_assignment(self, daemon: Daemon) -> None:
        control = daemon.control
        term = control.controller.term

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            if self.store_up:
                found = self.assignment or controller_state.empty_assignment(
                    "s", SHARD_COUNT
                )
                reply(
                    lambda: service_control.on_assignment_read(
                        control, found, term, daemon.clock_s()
                    )
                )

        self.call(
            daemon,
            "store",
            serve,
            lambda: ownership.on_assignment_call_failed(control.controller),
            STORE_TIMEOUT_S,
        )

    def _write_assignment(
        self, daemon: Daemon, command: controller_state.WriteAssignment
    ) -> None:
        control = daemon.control

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            if not self.store_up:
                return
            current = self.assignment.version if self.assignment else 0
            if current != command.expected_version:
                reply(
                    lambda: ownership.on_assignment_call_failed(
                        control.controller
                    )
                )
                return
            self.revision += 1
            written = dataclasses.replace(
                command.assignment, version=self.revision
            )
            self.assignment = written
            reply(
                lambda: service_control.on_assignment_written(
                    control, written, daemon.clock_s()
                )
            )

        def on_lost() -> None:
            if self.broken_rules.trust_lost_reply:
                service_control.on_assignment_written(
                    control, command.assignment, daemon.clock_s()
                )
            else:
                ownership.on_assignment_call_failed(control.controller)

        if self.broken_rules.grant_before_commit:
            service_control.on_assignment_written(
                control, command.assignment, daemon.clock_s()
            )
        self.call(daemon, "store", serve, on_lost, STORE_TIMEOUT_S)

    # Holders and voters.

    def _send_grant(self, daemon: Daemon, grant: grants.Grant) -> None:
        control = daemon.control
        name = grant.target.daemon or grant.target.upstream

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            holder = self.daemons.get(name) or self.upstreams[name]

            def action() -> None:
                answer = self._handle_grant(holder, grant)
                reply(
                    lambda: service_control.on_grant_answer(
                        control, grant, answer, daemon.clock_s()
                    )
                )

            holder.deliver(holder.incarnation, action)

        self.call(
            daemon,
            name,
            serve,
            lambda: ownership.on_grant_unanswered(control.controller, grant),
            GRANT_TIMEOUT_S,
        )

    def _handle_grant(
        self, holder: Process, grant: grants.Grant
    ) -> grants.GrantAnswer:
        clock_ms = int(holder.clock_s() * 1000)
        if self.broken_rules.ttl_from_receipt and grant.incarnation:
            grant = dataclasses.replace(grant, stamp_ms=clock_ms)
        if isinstance(holder, Daemon):
            held = holder.held_as_gateway(grant.target.upstream)
        else:
            assert isinstance(holder, Upstream)
            held = holder.held
        running_outside = 1 if self.random.random() < 0.1 else 0
        answer = grants.try_accept(held, grant, clock_ms, running_outside)
        self.needs_check = self.needs_check or answer.accepted
        return answer

    def _send_vote_request(
        self, daemon: Daemon, command: service_control.SendVoteRequest
    ) -> None:
        control = daemon.control

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            voter = self.daemons[command.voter]

            def action() -> None:
                response: quorum.VoteResponse = service_control.on_vote_request(
                    voter.control, command.request, voter.clock_s()
                )
                reply(
                    lambda: service_control.on_vote_response(
                        control, command, response, daemon.clock_s()
                    )
                )

            voter.deliver(voter.incarnation, action)

        self.call(daemon, command.voter, serve, lambda: None, VOTE_TIMEOUT_S)

    # Invariants.

    def owners(self, unit: grants.Unit) -> list[str]:
        """Returns the upstreams on which requests of a unit may run now."""
        return [name for name in self.upstreams if self._may_run_on(name, unit)]

    def _may_run_on(self, name: str, unit: grants.Unit) -> bool:
        upstream = self.upstreams[name]
        if upstream.dead:
            return False
        if self.fencing:
            clock_ms = int(upstream.clock_s() * 1000)
            return grants.holds(upstream.held, unit, SHARD_COUNT, clock_ms)
        return any(
            daemon.name in self.gateways_of(name)
            and grants.holds(
                daemon.held[name],
                unit,
                SHARD_COUNT,
                int(daemon.clock_s() * 1000),
            )
            for daemon in self.daemons.values()
        )

    def gateways_of(self, upstream: str) -> list[str]:
        """Returns the daemons that may act as an upstream's gateway now."""
        return [
            daemon.name
            for daemon in self.daemons.values()
            if not daemon.dead
            and upstream in daemon.held
            and grants.holds(
                daemon.held[upstream],
                grants.GATEWAY_ROLE,
                SHARD_COUNT,
                int(daemon.clock_s() * 1000),
            )
        ]

    def check_after_grant(self) -> None:
        """Checks the invariants if a grant was accepted since the last check.

        Only an accepted grant can break them: time alone only ends grants.
        """
        if self.needs_check:
            self.needs_check = False
            self.check()

    def check(self) -> None:
        """Fails when a unit has two owners, or an upstream two gateways."""
        for unit in (*range(SHARD_COUNT), *HOT_KEYS):
            owners = self.owners(unit)
            assert len(owners) <= 1, f"{unit!r} has the owners {owners}"
        for name in self.upstreams:
            gateways = self.gateways_of(name)
            assert len(gateways) <= 1, f"{name} has the gateways {gateways}"

    def end_faults(self) -> None:
        """Ends all faults except those that the fleet must always tolerate.

        One dead daemon stays dead, and so do dead upstreams as long as one is
        alive.
        """
        self.store_up = True
        self.cut_links.clear()
        self.loss_probability = self.duplication_probability = (
            self.max_extra_delay_s
        ) = 0.0
        dead_daemons = [one for one in self.daemons.values() if one.dead]
        for daemon in dead_daemons[1:]:
            daemon.restart()
        if all(one.dead for one in self.upstreams.values()):
            self.upstreams["u0"].restart()
        for process in (*self.daemons.values(), *self.upstreams.values()):
            if process.frozen:
                process.resume()

    def unserved_shards(self) -> list[grants.Unit]:
        """Returns the shards that no upstream serves through a gateway."""
        unserved: list[grants.Unit] = []
        for shard in range(SHARD_COUNT):
            owners = self.owners(shard)
            if not owners or not self.gateways_of(owners[0]):
                unserved.append(shard)
        return unserved
