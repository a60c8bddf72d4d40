"""Tests of when a leader resigns and whom it names as its successor."""

import asyncio
import contextlib
import dataclasses
import fractions
import socket
import types

import pytest

from sardinehill import events
from sardinehill.front import election
from sardinehill.front import followers
from sardinehill.front import known_leader
from sardinehill.front import leader_term
from sardinehill.front import order_sender
from sardinehill.front import peer_links
from sardinehill.front import peer_registry
from sardinehill.wire import envelopes
from sardinehill.wire import message_kinds


@dataclasses.dataclass
class Clock:
    """A clock that a test sets."""

    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


def new_term(clock, **core_shares):
    registry = peer_registry.PeerRegistry("me", "127.0.0.1:1", 1.0, None)
    registry.core_shares = {"me": 1.0, **core_shares}
    registry.peer_addresses = dict.fromkeys(registry.core_shares, "127.0.0.1:1")
    return leader_term.LeaderTerm(
        "me",
        registry,
        election.Election("me", None, registry, clock),
        followers.Followers(),
        clock,
    )


def test_a_leader_stays_when_the_store_answers_a_follower_first_again():
    # After an outage for all, the leader resigned because a follower had been
    # answered some milliseconds earlier.
    clock = Clock()
    term = new_term(clock)
    assert not term.should_hand_over(store_lost_s=4.0)
    clock.now_s += 0.3
    assert not term.should_hand_over(store_lost_s=0.0)
    clock.now_s += 5.0
    assert not term.should_hand_over(store_lost_s=4.0)


def let_run(term, clock, duration_s):
    """Lets time pass in which the leader's process does not stand still."""
    end_s = clock.now_s + duration_s
    while clock.now_s < end_s:
        clock.now_s += leader_term.PAUSE_CHECK_INTERVAL_S
        term.note_running()


def test_a_leader_that_is_cut_off_from_the_store_hands_over():
    clock = Clock()
    term = new_term(clock)
    lost_since_s = clock.now_s
    handed_over_s = None
    while handed_over_s is None:
        clock.now_s += 0.25
        # A follower has noticed the loss, and watches the store itself.
        if clock.now_s - lost_since_s >= 0.4 and term.should_hand_over(
            clock.now_s - lost_since_s
        ):
            handed_over_s = clock.now_s - lost_since_s
    assert handed_over_s <= leader_term.STORE_LOST_HANDOVER_S + 0.25


def test_the_successor_is_on_a_large_host_and_reaches_the_store():
    # A small host led 195 daemons; its link took over a second for the spans,
    # and loans of tokens waited behind them.
    clock = Clock()
    term = new_term(clock, small=0.4, a=0.7, b=0.7, silent=2.0)
    assert term.successor() == ""
    for name in ("small", "a", "b"):
        term.note_report(name, "127.0.0.1:1")
    term.note_store_reached("small")
    assert term.successor() == "b"
    term.note_store_reached("a")
    assert term.successor() == "a"
    clock.now_s += 2 * leader_term.FOLLOWER_TIMEOUT_S
    assert term.successor() == ""


def test_a_leader_that_is_cut_off_from_the_upstreams_hands_over():
    clock = Clock()
    term = new_term(clock, large=2.0, small=0.4, silent=1.0)
    term.note_report("silent", "127.0.0.1:1")
    let_run(term, clock, 2 * leader_term.FOLLOWER_TIMEOUT_S)
    term.note_report("large", "127.0.0.1:1", reaches_upstreams=False)
    cut_off_s = leader_term.CUT_OFF_HANDOVER_S
    # Nobody that is heard reaches more.
    assert not term.should_hand_over_if_cut_off(cut_off_s)
    term.note_report("small", "127.0.0.1:1", reaches_upstreams=True)
    assert not term.should_hand_over_if_cut_off(0.0)
    assert not term.should_hand_over_if_cut_off(cut_off_s / 2)
    assert term.should_hand_over_if_cut_off(cut_off_s)
    assert term.successor() == "small"


def test_a_follower_that_reaches_the_upstreams_again_may_lead():
    term = new_term(Clock(), large=2.0, small=0.4)
    term.note_report("small", "127.0.0.1:1", reaches_upstreams=True)
    term.note_report("large", "127.0.0.1:1", reaches_upstreams=False)
    assert term.successor() == "small"
    term.note_report("large", "127.0.0.1:1", reaches_upstreams=True)
    assert term.successor() == "large"


class FakeLease(peer_registry.PeerRegistry):
    """A registry whose store holds the lease of an earlier copy, or none."""

    def __init__(self, stored):
        super().__init__("me", "127.0.0.1:1", 1.0, None)
        self.stored = stored
        self.store_era = 1
        self.acquired_terms = []
        self.lease = peer_registry.LeaderLease(7, "me", "", self._incarnation)
        self.peer_addresses = {"me": "127.0.0.1:1"}
        self.lease_asked_s = 0.0

    store_era = 1

    async def read_lease(self):
        self.lease = self.stored

    async def acquire_lease(self, term, electorate):
        self.acquired_terms.append(term)
        self.lease = peer_registry.LeaderLease(
            term, "me", "", self._incarnation, electorate
        )
        return True


def ends_after_a_restore(registry):
    """Returns whether the term of a leader ends after a restore."""
    return term_after_a_restore(registry).ended.is_set()


def term_after_a_restore(registry, heard_before=(), heard_since=()):
    """Returns the term of a leader that has noticed a restore.

    Args:
      registry: the leader's registry.
      heard_before: the daemons that report just before the restore.
      heard_since: the daemons that report from then on.
    """

    async def body():
        loop = asyncio.get_running_loop()
        term = leader_term.LeaderTerm(
            "me", registry, registry, followers.Followers(), loop.time
        )
        for daemon in heard_before:
            term.note_report(daemon, "127.0.0.1:1")
        registry.store_era = 2
        checking = asyncio.ensure_future(term.check_lease())
        end_s = loop.time() + leader_term.FOLLOWER_TIMEOUT_S + 0.4
        while loop.time() < end_s:
            await asyncio.sleep(2 * leader_term.ERA_CHECK_INTERVAL_S)
            term.note_running()
            for daemon in heard_since:
                term.note_report(daemon, "127.0.0.1:1")
        checking.cancel()
        return term

    return asyncio.run(body())


@pytest.mark.parametrize("stored_term", [0, 6])
def test_leader_takes_the_lease_again_that_a_restored_store_has_lost(
    stored_term,
):
    registry = FakeLease(peer_registry.LeaderLease(stored_term, "other"))
    assert not ends_after_a_restore(registry)
    assert registry.acquired_terms == [7]


def test_leader_holds_the_present_lease_once_it_has_read_it_after_a_restore():
    registry = FakeLease(peer_registry.LeaderLease(6, "other"))
    term = term_after_a_restore(registry)
    assert term.holds_present_lease()
    registry.store_era += 1
    assert not term.holds_present_lease()


def test_leader_ends_if_another_one_took_the_lease_after_a_restore():
    registry = FakeLease(peer_registry.LeaderLease(8, "other", "", "x"))
    assert ends_after_a_restore(registry)
    assert registry.acquired_terms == []


@pytest.mark.parametrize("stored_term", [6, 7])
@pytest.mark.parametrize("heard_before", [(), ("a",)])
def test_a_restored_store_does_not_confirm_a_leader_that_nobody_follows(
    stored_term, heard_before
):
    # The store may have forgotten the lease of a later leader.
    registry = FakeLease(peer_registry.LeaderLease(stored_term, "me"))
    registry.stored = dataclasses.replace(
        registry.stored, incarnation=registry.lease.incarnation
    )
    registry.peer_addresses = dict.fromkeys(("me", "a", "b"), "127.0.0.1:1")
    term = term_after_a_restore(registry, heard_before)
    assert term.ended.is_set()
    assert not term.may_send_orders()
    assert registry.acquired_terms == []


def test_leader_that_a_majority_follows_outlasts_a_restore():
    registry = FakeLease(peer_registry.LeaderLease(6, "other"))
    registry.peer_addresses = dict.fromkeys(("me", "a", "b"), "127.0.0.1:1")
    term = term_after_a_restore(registry, heard_since=("a",))
    assert not term.ended.is_set()
    assert registry.acquired_terms == [7]


def test_leader_that_outlasts_a_restore_waits_for_orders_of_forgotten_leaders():
    registry = FakeLease(peer_registry.LeaderLease(6, "other"))
    registry.peer_addresses = dict.fromkeys(("me", "a", "b"), "127.0.0.1:1")
    term = term_after_a_restore(registry, heard_since=("a",))
    assert term.holds_present_lease()
    assert not term.has_settled()
    term._era_seen_s -= order_sender.earlier_orders_end_s(0.0)
    assert term.has_settled()


def test_leader_ends_if_another_one_leads_whom_its_followers_do_not_hear(
    monkeypatch,
):
    # The other one removes silent daemons, so that it has a majority as well.
    monkeypatch.setattr(leader_term, "LEASE_CHECK_INTERVAL_S", 0.1)
    monkeypatch.setattr(leader_term, "LEASE_RECHECK_INTERVAL_S", 0.3)

    async def body():
        loop = asyncio.get_running_loop()
        registry = FakeLease(peer_registry.LeaderLease(8, "other", "", "x"))
        registry.peer_addresses = dict.fromkeys(("me", "a", "b"), "127.0.0.1:1")
        registry.lease_era = registry.store_era
        registry.lease_asked_s = loop.time()
        term = leader_term.LeaderTerm(
            "me", registry, registry, followers.Followers(), loop.time
        )
        tasks = [
            asyncio.create_task(term.check_lease()),
            asyncio.create_task(term.watch_pauses()),
        ]
        for _ in range(20):
            term.note_report("a", "127.0.0.1:1")
            await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        return term.ended.is_set()

    assert asyncio.run(body())


class SlowRegistry(FakeLease):
    """A registry whose daemon stands still once it has asked for the lease."""

    def __init__(self, clock):
        super().__init__(peer_registry.LeaderLease(6, "other"))
        self._clock = clock
        self.lease_era = self.store_era

    async def acquire_lease(self, term, electorate):
        is_acquired = await super().acquire_lease(term, electorate)
        self._clock.now_s += 5.0
        return is_acquired

    async def read_peers(self):
        self.peer_addresses = dict.fromkeys(("me", "a", "b"), "127.0.0.1:1")


def test_a_lease_granted_before_a_long_pause_does_not_confirm_the_term():
    # Another daemon has led meanwhile, and the orders of this one had lapsed.
    clock = Clock()
    registry = SlowRegistry(clock)
    leader = known_leader.KnownLeader("me", clock)
    leader.note_term(registry.stored.term)
    candidate = election.Election("me", leader, registry, clock)
    assert asyncio.run(candidate.try_to_lead())
    term = leader_term.LeaderTerm(
        "me", registry, candidate, followers.Followers(), clock
    )
    assert not term.may_send_orders()


def test_a_lease_just_granted_confirms_the_term():
    clock = Clock()
    term = new_term(clock, a=1.0, b=1.0)
    assert term.may_send_orders()
    clock.now_s += 1.1 * order_sender.TERM_VALIDITY_S
    assert not term.may_send_orders()


def test_a_restored_lease_names_a_leader_only_once_later_ones_have_lapsed():
    # Until then it needs the support of keys that a forgotten leader may have.
    clock = Clock()
    registry = FakeLease(None)
    registry.stored = registry.lease
    registry.peer_addresses = dict.fromkeys(("me", "a", "b"), "127.0.0.1:1")
    term = leader_term.LeaderTerm(
        "me",
        registry,
        types.SimpleNamespace(
            lease_asked_s=clock.now_s, read_lease=registry.read_lease
        ),
        followers.Followers(),
        clock,
    )

    def go_on(duration_s):
        end_s = clock.now_s + duration_s
        while clock.now_s < end_s:
            let_run(term, clock, leader_term.PAUSE_CHECK_INTERVAL_S)
            for name in ("a", "b"):
                term.note_report(name, "127.0.0.1:1")

    def needs_support():
        return not term.has_support(lambda: fractions.Fraction(0))

    go_on(12.0)
    assert needs_support()
    registry.store_era = 2
    term._outlasts_restore()
    go_on(0.5)
    asyncio.run(term._confirm_lease())
    assert not term.ended.is_set()
    assert needs_support()
    settled_s = order_sender.earlier_orders_end_s(0.0)
    go_on(settled_s)
    asyncio.run(term._confirm_lease())
    assert not needs_support()


def report_frame(daemon):
    kind = int(message_kinds.MessageKind.DAEMON_REPORT)
    return envelopes.encode(envelopes.Envelope(kind, 0, False, daemon, b""))


async def serve_reports(term):
    """Starts to accept reports for a term; returns the address and a log."""
    received = []

    def receive(link, envelope):
        received.append(envelope.sender)
        term.note_report(envelope.sender, "127.0.0.1:1")

    server = await peer_links.serve(
        "127.0.0.1", 0, "me", receive, lambda link: None
    )
    return server.sockets[0].getsockname(), received


def test_reports_that_wait_while_a_leader_stands_still_do_not_confirm_it():
    # Their senders have given it up and follow the next leader.
    async def body():
        clock = Clock()
        term = new_term(clock, a=1.0, b=1.0)
        watching = asyncio.create_task(term.watch_pauses())
        address, received = await serve_reports(term)
        with socket.create_connection(address) as follower:
            follower.sendall(report_frame("a"))
            await asyncio.sleep(2 * leader_term.PAUSE_CHECK_INTERVAL_S)
            clock.now_s += 1.1 * order_sender.TERM_VALIDITY_S
            follower.sendall(report_frame("a"))
        await asyncio.sleep(2 * leader_term.PAUSE_CHECK_INTERVAL_S)
        assert received == ["a", "a"]
        assert not term.may_send_orders()
        ends_s = clock.now_s + leader_term.REPORT_DISTRUST_S
        while clock.now_s < ends_s:
            clock.now_s += leader_term.PAUSE_CHECK_INTERVAL_S
            await asyncio.sleep(1.2 * leader_term.PAUSE_CHECK_INTERVAL_S)
        term.note_report("a", "127.0.0.1:1")
        assert term.may_send_orders()
        watching.cancel()

    asyncio.run(body())


LONG_S = 2 * order_sender.TERM_VALIDITY_S


def terms_of_a_cut(old_side, new_side):
    """Returns an earlier and a later term that the two sides of a cut follow.

    The cut refuses connections.
    """
    clock = Clock()
    names = [
        *(f"old-{index}" for index in range(old_side)),
        *(f"new-{index}" for index in range(new_side)),
    ]
    terms = []
    for leader in ("old-0", "new-0"):
        registry = peer_registry.PeerRegistry(leader, "127.0.0.1:1", 1.0, None)
        # Nothing listens on this port, so it refuses connections.
        registry.peer_addresses = dict.fromkeys(names, "127.0.0.1:1")
        terms.append(
            leader_term.LeaderTerm(
                leader,
                registry,
                types.SimpleNamespace(lease_asked_s=clock.now_s - LONG_S),
                followers.Followers(),
                clock,
            )
        )
    old, new = terms
    # The earlier leader has lost the store, but its followers report to it.
    for name in names:
        follower_of = old if name.startswith("old") else new
        follower_of.note_report(name, "127.0.0.1:1")

    async def announce():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(leader_term.ANNOUNCE_INTERVAL_S / 2):
                await new.announce(lambda link: None)

    asyncio.run(announce())
    return old, new


@pytest.mark.parametrize("old_side", range(1, 6))
@pytest.mark.parametrize("new_side", range(1, 6))
def test_term_is_exclusive_only_if_no_earlier_one_can_be_confirmed(
    old_side, new_side
):
    old, new = terms_of_a_cut(old_side, new_side)
    assert not (old.may_send_orders() and new.is_exclusive())
    # A leader need not wait for daemons that could not confirm another one.
    assert old.may_send_orders() or new.is_exclusive()


def test_the_log_says_by_what_a_term_was_confirmed(caplog):
    clock = Clock()
    term = new_term(clock, other=1.0, third=1.0)
    with caplog.at_level("INFO"):
        assert term.may_send_orders()
        clock.now_s += order_sender.TERM_VALIDITY_S + 0.1
        assert not term.may_send_orders()
        term.note_running()
        clock.now_s += leader_term.REPORT_DISTRUST_S
        term.note_running()
        term.note_report("other", "127.0.0.1:1")
        assert term.may_send_orders()
    lines = [events.record_as_dict(record) for record in caplog.records]
    assert [line["event_name"] for line in lines] == [
        "term-confirmed",
        "term-unconfirmed",
        "term-confirmed",
    ]
    assert lines[0]["by_store_ago_s"] < order_sender.TERM_VALIDITY_S
    assert lines[2]["by_store_ago_s"] > order_sender.TERM_VALIDITY_S
    assert (lines[2]["heard"], lines[2]["voters"]) == (2, 3)
