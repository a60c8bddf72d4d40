"""Tests replication with a state machine of changes, losses and restarts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sardinehill.core import replica
from tests.common import peer_network

NAMES = ("a", "b", "c", "d", "e")
OBJECTS = (
    ("config", "fleet"),
    ("placement", "fleet"),
    ("account-keys", "0"),
    ("assignment", "prenota"),
)
names = st.sampled_from(NAMES)
objects = st.sampled_from(OBJECTS)
# Heartbeats, sent each second, repair losses over one hop each. A change needs
# only a few hops.
SETTLING_TIME_S = 8.0


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Applies faults to five members that read late or old versions."""

    def __init__(self) -> None:
        super().__init__()
        hosts = [peer_network.daemon_host(name) for name in NAMES]
        self.network = peer_network.Network(hosts)
        self.network.commit_all()
        self.revision = 0
        self.written: dict[tuple[str, str], list[replica.Item]] = {}
        self.applied: dict[str, dict[tuple[str, str], int]] = {
            name: {} for name in NAMES
        }

    @stateful.rule(key=objects, deleted=st.booleans())
    def store_changes(self, key: tuple[str, str], deleted: bool) -> None:
        """Writes or deletes an object in the store."""
        self.revision += 1
        body = b"" if deleted else str(self.revision).encode()
        item = replica.Item(*key, self.revision, body, deleted)
        self.written.setdefault(key, []).append(item)

    @stateful.rule(name=names, key=objects, versions_back=st.integers(0, 3))
    def daemon_reads(
        self, name: str, key: tuple[str, str], versions_back: int
    ) -> None:
        """Makes a daemon read an object, possibly in an old version."""
        versions = self.written.get(key, [])
        if versions and self.network.is_running(name):
            item = versions[max(0, len(versions) - 1 - versions_back)]
            self.network.offer(name, item)
            self._check()

    @stateful.rule(ticks=st.integers(1, 10))
    def time_passes(self, ticks: int) -> None:
        """Lets up to two seconds pass."""
        self.network.run(ticks * peer_network.TICK_S, self._check)

    @stateful.rule(sender=names, receiver=names)
    def cut_one_way(self, sender: str, receiver: str) -> None:
        """Loses all messages from one member to another."""
        self.network.cut_links.add((sender, receiver))

    @stateful.rule()
    def heal(self) -> None:
        """Ends all cuts."""
        self.network.cut_links.clear()

    @stateful.rule(name=names, paused=st.booleans())
    def pause_or_resume(self, name: str, paused: bool) -> None:
        """Pauses or resumes a member."""
        self.network.daemons[name].is_paused = paused

    @stateful.rule(name=names)
    def restart_in_an_outage(self, name: str) -> None:
        """Restarts a member, which can learn only from its peers."""
        old = self.network.daemons[name].protocol.host
        host = peer_network.daemon_host(name, incarnation=old.incarnation + 1)
        self.network.start(host)
        self.applied[name] = {}

    def teardown(self) -> None:
        """Ends all faults and checks that all replicas become equal."""
        self.network.cut_links.clear()
        for daemon in self.network.daemons.values():
            daemon.is_paused = False
        notices = {
            notice
            for daemon in self.network.daemons.values()
            for notice in daemon.protocol.replica.notices()
        }
        newest: dict[tuple[str, str], int] = {}
        for notice in notices:
            key = (notice.kind, notice.name)
            newest[key] = max(newest.get(key, 0), notice.version)
        self.network.run(SETTLING_TIME_S, self._check)
        for daemon in self.network.daemons.values():
            versions = {
                (notice.kind, notice.name): notice.version
                for notice in daemon.protocol.replica.notices()
            }
            assert versions == newest

    def _check(self) -> None:
        for name, daemon in self.network.daemons.items():
            table = daemon.protocol.replica
            versions = {(n.kind, n.name): n.version for n in table.notices()}
            for key, version in self.applied[name].items():
                assert versions.get(key, 0) >= version, "a version decreased"
            self.applied[name] = versions
            for item in table.items("config"):
                assert item in self.written["config", "fleet"]


TestReplicaMachine = ReplicaMachine.TestCase
TestReplicaMachine.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
