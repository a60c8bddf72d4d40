"""A simulated fleet for the ownership rules: clocks, network, store, faults.

Everything runs on one simulated time. Each process has a clock of its own
that drifts; a frozen process takes in nothing, and whatever reached it waits
until it goes on. Messages may be lost, doubled, late and reordered, and a
write may take effect though its reply is lost.
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
STEP_S = 0.04
STORE_TIMEOUT_S = 0.4
GRANT_TIMEOUT_S = 0.25
ASK_TIMEOUT_S = 0.25
TICK_JITTER_S = 0.01
MAX_DELAY_S = 4.0


@dataclasses.dataclass
class BrokenRules:
    """Rules that a test may break on purpose.

    Attributes:
      reuse_term: a takeover keeps the term it found.
      stale_clock: the licence is judged by a clock that is read only when a
        reply of the store comes in.
      trust_lost_reply: a write without a reply is taken as done.
      ttl_from_receipt: holders count a grant's ttl from its receipt.
      no_seal: a new controller does not wait for seals.
      grant_before_commit: changes count before the store accepted them.
    """

    reuse_term: bool = False
    stale_clock: bool = False
    trust_lost_reply: bool = False
    ttl_from_receipt: bool = False
    no_seal: bool = False
    grant_before_commit: bool = False


class Process:
    """One process: a clock, and deliveries that wait while it is frozen."""

    def __init__(self, world: "FleetSimulation", name: str, rate: float):
        self.world = world
        self.name = name
        self.clock_rate = rate
        self.offset_s = world.random.uniform(0.0, 100.0)
        self.incarnation = 0
        self.frozen = False
        self.dead = False
        self.deferred: list[Callable[[], None]] = []

    def clock_s(self) -> float:
        """Returns this process's clock, which also runs while frozen."""
        return self.offset_s + self.world.now_s * self.clock_rate

    def deliver(self, incarnation: int, act: Callable[[], None]) -> None:
        """Runs an act in this process, or keeps it while it is frozen."""
        if self.dead or incarnation != self.incarnation:
            return
        if self.frozen:
            self.deferred.append(act)
        else:
            act()

    def resume(self) -> None:
        """Goes on as if nothing had happened."""
        self.frozen = False
        waiting, self.deferred = self.deferred, []
        self.world.random.shuffle(waiting)
        for act in waiting:
            act()
            self.world.check_if_granted()

    def restart(self) -> None:
        """Loses all memory, and everything on its way to this process."""
        self.incarnation += 1
        self.frozen = False
        self.dead = False
        self.deferred = []


class Upstream(Process):
    """An upstream that checks its grants."""

    def __init__(self, world: "FleetSimulation", name: str, rate: float):
        super().__init__(world, name, rate)
        self.held = grants.HeldGrant("")
        self.restart()

    def restart(self) -> None:
        """Forgets every grant."""
        super().restart()
        self.held = grants.HeldGrant(f"{self.name}/{self.incarnation}")


class Daemon(Process):
    """A daemon: candidate, member and gateway."""

    def __init__(self, world: "FleetSimulation", name: str, rate: float):
        super().__init__(world, name, rate)
        self.rank = 0
        self.stale_clock_s = 0.0
        self.held: dict[str, grants.HeldGrant] = {}
        self.control: service_control.ServiceControl
        self.restart()

    def restart(self) -> None:
        """Forgets everything, and learns the assignment from peers."""
        super().restart()
        self.held = {}
        self.control = service_control.new_service_control(
            "s",
            SHARD_COUNT,
            self.name,
            service_control.ControlTiming(),
            self.world.new_nonce,
            self.clock_s(),
        )
        self.stale_clock_s = self.clock_s()
        for daemon in self.world.daemons.values():
            if daemon is not self and daemon.control.controller.committed:
                service_control.on_assignment_seen(
                    self.control, daemon.control.controller.committed
                )

    def gateway(self, upstream: str) -> grants.HeldGrant:
        """Returns what this daemon holds as an upstream's gateway."""
        name = f"{self.name}/{self.incarnation}"
        return self.held.setdefault(upstream, grants.HeldGrant(name))


class FleetSimulation:
    """All processes, the store, the network and the time."""

    def __init__(
        self,
        seed: int,
        daemons: int = 3,
        upstreams: int = 3,
        fencing: bool = True,
        rules: BrokenRules | None = None,
    ):
        self.random = random.Random(seed)
        self.rules = rules or BrokenRules()
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
        self.loss = 0.0
        self.duplication = 0.0
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
        self.steps = 0
        self.needs_check = False
        for daemon in self.daemons.values():
            self._schedule_tick(daemon)

    def _random_clock_rate(self) -> float:
        return self.random.uniform(0.992, 1.008)

    def new_nonce(self) -> str:
        """Returns a text that was never used before."""
        return str(next(self.nonces))

    # Time.

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Runs an act later in simulated time."""
        entry = (self.now_s + delay_s, next(self.event_order), act)
        heapq.heappush(self.events, entry)

    def advance(self, seconds: float) -> None:
        """Lets time pass, with a check after everything that happens."""
        until_s = self.now_s + seconds
        while self.events and self.events[0][0] <= until_s:
            at_s, _, act = heapq.heappop(self.events)
            self.now_s = at_s
            act()
            self.check_if_granted()
        self.now_s = until_s

    def _schedule_tick(self, daemon: Daemon) -> None:
        def act() -> None:
            self._schedule_tick(daemon)
            if not daemon.frozen and not daemon.dead:
                self._step(daemon)

        self.after(STEP_S + self.random.uniform(0, TICK_JITTER_S), act)

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
        act: Callable[[], None],
    ) -> None:
        """Carries an act over, or loses, doubles or delays it."""
        if self._is_cut(source, target) or self.random.random() < self.loss:
            return
        self.after(self._delay_s(), act)
        if self.random.random() < self.duplication:
            self.after(self._delay_s() + self._delay_s(), act)

    def call(
        self,
        daemon: Daemon,
        target: str,
        serve: Callable[[Callable[[Callable[[], None]], None]], None],
        on_lost: Callable[[], None],
        timeout_s: float,
    ) -> None:
        """Makes a call of which exactly one outcome reaches the daemon."""
        done: list[bool] = []
        incarnation = daemon.incarnation

        def settle(outcome: Callable[[], None]) -> None:
            def act() -> None:
                if not done:
                    done.append(True)
                    outcome()

            daemon.deliver(incarnation, act)

        def reply(outcome: Callable[[], None]) -> None:
            def act() -> None:
                if target == "store" and not daemon.frozen:
                    daemon.stale_clock_s = daemon.clock_s()
                settle(outcome)

            self.send(target, daemon.name, act)

        self.send(daemon.name, target, lambda: serve(reply))
        self.after(timeout_s, lambda: settle(on_lost))

    # A daemon's step.

    def view(self) -> controller_state.ServiceView:
        """Returns the world as every daemon sees it."""
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
        self.steps += 1
        now_s = daemon.clock_s()
        if self.rules.no_seal and daemon.control.controller.committed:
            ownership.on_predecessors_fenced(daemon.control.controller, now_s)
        true_until_s = daemon.control.lease.valid_until_s
        if self.rules.stale_clock and daemon.stale_clock_s < true_until_s:
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
        duty = daemon.control

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            if self.store_up:
                record = self.lease
                reply(
                    lambda: service_control.on_lease_read(
                        duty, record, daemon.clock_s()
                    )
                )

        self.call(
            daemon,
            "store",
            serve,
            lambda: lease.on_reply_lost(duty.lease, daemon.clock_s()),
            STORE_TIMEOUT_S,
        )

    def _write_lease(self, daemon: Daemon, command: lease.WriteLease) -> None:
        duty = daemon.control
        record = command.record
        if self.rules.reuse_term and duty.lease.last_record is not None:
            term = max(1, duty.lease.last_record.term)
            record = dataclasses.replace(record, term=term)

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            if not self.store_up:
                return
            if self.lease.version != command.expected_version:
                reply(lambda: lease.on_conflict(duty.lease, daemon.clock_s()))
                return
            self.revision += 1
            written = dataclasses.replace(record, version=self.revision)
            self.lease = written
            reply(
                lambda: service_control.on_lease_written(
                    duty, written, daemon.clock_s()
                )
            )

        def on_lost() -> None:
            if self.rules.trust_lost_reply:
                guessed = dataclasses.replace(
                    record, version=command.expected_version + 1
                )
                service_control.on_lease_written(
                    duty, guessed, daemon.clock_s()
                )
            else:
                lease.on_reply_lost(duty.lease, daemon.clock_s())

        self.call(daemon, "store", serve, on_lost, STORE_TIMEOUT_S)

    def _read_assignment(self, daemon: Daemon) -> None:
        duty = daemon.control
        term = duty.controller.term

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            if self.store_up:
                found = self.assignment or controller_state.empty_assignment(
                    "s", SHARD_COUNT
                )
                reply(
                    lambda: service_control.on_assignment_read(
                        duty, found, term, daemon.clock_s()
                    )
                )

        self.call(
            daemon,
            "store",
            serve,
            lambda: ownership.on_assignment_call_failed(duty.controller),
            STORE_TIMEOUT_S,
        )

    def _write_assignment(
        self, daemon: Daemon, command: controller_state.WriteAssignment
    ) -> None:
        duty = daemon.control

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            if not self.store_up:
                return
            current = self.assignment.version if self.assignment else 0
            if current != command.expected_version:
                reply(
                    lambda: ownership.on_assignment_call_failed(duty.controller)
                )
                return
            self.revision += 1
            written = dataclasses.replace(
                command.assignment, version=self.revision
            )
            self.assignment = written
            reply(
                lambda: service_control.on_assignment_written(
                    duty, written, daemon.clock_s()
                )
            )

        def on_lost() -> None:
            if self.rules.trust_lost_reply:
                service_control.on_assignment_written(
                    duty, command.assignment, daemon.clock_s()
                )
            else:
                ownership.on_assignment_call_failed(duty.controller)

        if self.rules.grant_before_commit:
            service_control.on_assignment_written(
                duty, command.assignment, daemon.clock_s()
            )
        self.call(daemon, "store", serve, on_lost, STORE_TIMEOUT_S)

    # Holders and members.

    def _send_grant(self, daemon: Daemon, grant: grants.Grant) -> None:
        duty = daemon.control
        name = grant.target.daemon or grant.target.upstream

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            holder = self.daemons.get(name) or self.upstreams[name]

            def act() -> None:
                answer = self._handle_grant(holder, grant)
                reply(
                    lambda: service_control.on_grant_answer(
                        duty, grant, answer, daemon.clock_s()
                    )
                )

            holder.deliver(holder.incarnation, act)

        self.call(
            daemon,
            name,
            serve,
            lambda: ownership.on_grant_unanswered(duty.controller, grant),
            GRANT_TIMEOUT_S,
        )

    def _handle_grant(
        self, holder: Process, grant: grants.Grant
    ) -> grants.GrantAnswer:
        clock_ms = int(holder.clock_s() * 1000)
        if self.rules.ttl_from_receipt and grant.incarnation:
            grant = dataclasses.replace(grant, stamp_ms=clock_ms)
        if isinstance(holder, Daemon):
            held = holder.gateway(grant.target.upstream)
        else:
            assert isinstance(holder, Upstream)
            held = holder.held
        running = 1 if self.random.random() < 0.1 else 0
        answer = grants.try_accept(held, grant, clock_ms, running)
        self.needs_check = self.needs_check or answer.accepted
        return answer

    def _send_vote_request(
        self, daemon: Daemon, ask: service_control.SendVoteRequest
    ) -> None:
        duty = daemon.control

        def serve(reply: Callable[[Callable[[], None]], None]) -> None:
            member = self.daemons[ask.voter]

            def act() -> None:
                answer: quorum.VoteResponse = service_control.on_vote_request(
                    member.control, ask.request, member.clock_s()
                )
                reply(
                    lambda: service_control.on_vote_response(
                        duty, ask, answer, daemon.clock_s()
                    )
                )

            member.deliver(member.incarnation, act)

        self.call(daemon, ask.voter, serve, lambda: None, ASK_TIMEOUT_S)

    # Claims.

    def owners(self, unit: grants.Unit) -> list[str]:
        """Returns the upstreams on which a unit may run now."""
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

    def check_if_granted(self) -> None:
        """Checks the claims after a grant: time alone only ends grants."""
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

    def heal(self) -> None:
        """Ends all faults, but those that the fleet must bear for good.

        One dead daemon and all dead upstreams but one stay dead.
        """
        self.store_up = True
        self.cut_links.clear()
        self.loss = self.duplication = self.max_extra_delay_s = 0.0
        dead_daemons = [one for one in self.daemons.values() if one.dead]
        for daemon in dead_daemons[1:]:
            daemon.restart()
        if all(one.dead for one in self.upstreams.values()):
            self.upstreams["u0"].restart()
        for process in (*self.daemons.values(), *self.upstreams.values()):
            if process.frozen:
                process.resume()

    def unowned(self) -> list[grants.Unit]:
        """Returns the shards that no upstream serves through a gateway."""
        missing: list[grants.Unit] = []
        for shard in range(SHARD_COUNT):
            owners = self.owners(shard)
            if not owners or not self.gateways_of(owners[0]):
                missing.append(shard)
        return missing
