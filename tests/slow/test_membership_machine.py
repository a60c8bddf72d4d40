"""Tests membership with a state machine of faults among a few members."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sardinehill.core import fleet
from sardinehill.core import membership
from sardinehill.core import membership_coordinator
from tests.common import peer_network

NAMES = ("a", "b", "c", "d", "e", "f", "g")
ZONES = ("z1", "z2", "z3")
# The longest time that an alarm from before a member became reachable again can
# still take effect: its lifetime, plus one second until it is sent, plus the
# ticks until it is evaluated.
MAX_STALE_ALARM_S = (
    membership_coordinator.ALARM_LIFETIME_S + 1.0 + 2 * peer_network.TICK_S
)
# The longest time that a silent member stays in the list. It covers the probes,
# the alarms, the delays of all dead coordinators before the first live one, and
# the delay for the platform's list.
SETTLING_TIME_S = 120.0
names = st.sampled_from(NAMES)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Applies faults of all kinds to seven members in any order."""

    def __init__(self) -> None:
        super().__init__()
        hosts = [
            peer_network.daemon_host(name, ZONES[index % len(ZONES)])
            for index, name in enumerate(NAMES)
        ]
        self.network = peer_network.Network(hosts)
        self.network.commit_all()
        self.reachable_since_s = dict.fromkeys(NAMES, 0.0)
        self.checked_history = 1
        self.versions = dict.fromkeys(NAMES, 0)
        self.left: set[str] = set()

    @stateful.rule(ticks=st.integers(1, 40))
    def time_passes(self, ticks: int) -> None:
        """Lets up to eight seconds pass."""
        seconds = ticks * peer_network.TICK_S
        self.network.run(seconds, self._check_tick)

    @stateful.rule(sender=names, receiver=names)
    def cut_one_way(self, sender: str, receiver: str) -> None:
        """Loses all messages from one member to another."""
        self.network.cut_links.add((sender, receiver))

    @stateful.rule(side=st.sets(names, min_size=1))
    def partition(self, side: set[str]) -> None:
        """Cuts some members from the others both ways."""
        for one in side:
            for other in set(NAMES) - side:
                self.network.cut_links |= {(one, other), (other, one)}

    @stateful.rule()
    def heal(self) -> None:
        """Ends all cuts."""
        self.network.cut_links.clear()

    @stateful.rule(name=names)
    def pause(self, name: str) -> None:
        """Pauses a member."""
        self.network.daemons[name].is_paused = True

    @stateful.rule(name=names)
    def resume(self, name: str) -> None:
        """Resumes a paused member."""
        self.network.daemons[name].is_paused = False

    @stateful.rule(name=names)
    def kill(self, name: str) -> None:
        """Ends a member without a leave request."""
        self.network.daemons[name].is_alive = False

    @stateful.rule(name=names)
    def restart(self, name: str) -> None:
        """Restarts a member with a higher incarnation."""
        old = self.network.daemons[name].protocol.host
        host = peer_network.daemon_host(
            name, old.availability_zone, incarnation=old.incarnation + 1
        )
        self.network.start(host)
        self.versions[name] = 0
        self.left.discard(name)
        self.reachable_since_s[name] = self.network.now_s

    @stateful.rule(name=names)
    def leave(self, name: str) -> None:
        """Makes a member request its removal from the list."""
        self.network.daemons[name].protocol.leaving = True
        self.left.add(name)

    @stateful.rule(available=st.booleans(), loses_replies=st.booleans())
    def store_changes(self, available: bool, loses_replies: bool) -> None:
        """Starts or ends an outage or the loss of the store's replies."""
        self.network.store.is_available = available
        self.network.store.loses_replies = loses_replies

    @stateful.rule(name=names, live=st.sets(names))
    def platform_lists(self, name: str, live: set[str]) -> None:
        """Gives a member a platform host list that may be wrong."""
        if self.network.is_running(name):
            daemon = self.network.daemons[name]
            daemon.protocol.update_platform_hosts(live, self.network.now_s)

    def teardown(self) -> None:
        """Ends all faults and checks that the list converges."""
        network = self.network
        network.cut_links.clear()
        network.store.is_available = True
        network.store.loses_replies = False
        for daemon in network.daemons.values():
            daemon.is_paused = False
        network.run(SETTLING_TIME_S, self._update_platform_hosts)
        wanted = [
            n for n in NAMES if network.is_running(n) and n not in self.left
        ]
        if not wanted:
            return
        listed = network.store.members
        assert sorted(listed.by_name) == wanted
        for name in wanted:
            daemon = network.daemons[name]
            assert listed.by_name[name] == daemon.protocol.host
            holders = daemon.protocol.roles.holders("any", len(NAMES))
            assert sorted(holders) == wanted

    def _update_platform_hosts(self) -> None:
        self._check_tick()
        network = self.network
        live = [name for name in NAMES if network.is_running(name)]
        for name in live:
            protocol = network.daemons[name].protocol
            protocol.update_platform_hosts(live, network.now_s)

    def _check_tick(self) -> None:
        self._check_versions()
        self._check_removals()
        for name in NAMES:
            if not self._is_reachable(name):
                self.reachable_since_s[name] = float("inf")
            elif self.reachable_since_s[name] == float("inf"):
                self.reachable_since_s[name] = self.network.now_s

    def _check_versions(self) -> None:
        for name, daemon in self.network.daemons.items():
            version = daemon.protocol.members.version
            assert version >= self.versions[name]
            self.versions[name] = version

    def _check_removals(self) -> None:
        history = self.network.store.history
        for at in range(self.checked_history, len(history)):
            before, after = history[at - 1], history[at]
            assert after.version > before.version
            for host in before.hosts:
                if host.name not in after.by_name:
                    self._check_removal(host)
        self.checked_history = len(history)

    def _check_removal(self, host: fleet.DaemonHost) -> None:
        current = self.network.daemons[host.name].protocol.host
        if host.name in self.left or current != host:
            return
        reachable_s = self.network.now_s - self.reachable_since_s[host.name]
        assert reachable_s < MAX_STALE_ALARM_S, (
            f"{host.name} was live and reachable"
        )

    def _is_reachable(self, name: str) -> bool:
        """Returns whether fewer monitors than a quorum fail to reach it."""
        if not self.network.is_running(name):
            return False
        overlay = membership.Overlay(self.network.store.members)
        monitors = overlay.monitors_of(name)
        reaching = [m for m in monitors if self._reach_each_other(m, name)]
        quorum = max(
            membership_coordinator.MIN_REMOVAL_QUORUM, len(monitors) // 2 + 1
        )
        return len(reaching) > len(monitors) - quorum

    def _reach_each_other(self, one: str, other: str) -> bool:
        cut = self.network.cut_links
        return (
            self.network.is_running(one)
            and (one, other) not in cut
            and (other, one) not in cut
        )


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = hypothesis.settings(
    max_examples=30,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
