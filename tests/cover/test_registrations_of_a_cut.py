"""Tests of two leaders that count different registrations of daemons."""

import asyncio
import dataclasses
import types

from sardinehill.front import followers
from sardinehill.front import leader_term
from sardinehill.front import order_sender
from sardinehill.front import peer_registry
from sardinehill.platform import store as store_module

ADDRESS = "127.0.0.1:1"
NAMES = ("old", "a", "b", "new")


@dataclasses.dataclass
class Clock:
    """A clock that a test sets."""

    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


class Registrations:
    """The part of the store that holds the registrations of daemons."""

    era = 1

    def __init__(self):
        self.names = set(NAMES)

    async def list_objects(self, kind, may_be_stale=False):
        del kind, may_be_stale
        objects = [
            store_module.StoredObject(
                "daemons", name, 1, {"address": ADDRESS}, {}
            )
            for name in sorted(self.names)
        ]
        return objects, types.SimpleNamespace(era=self.era)

    async def delete(self, kind, name, revision):
        del kind, revision
        self.names.discard(name)


def new_term(name, store, clock):
    """Returns a term whose leader has just read the registrations.

    The store confirmed it too long ago to count.
    """
    registry = peer_registry.PeerRegistry(name, ADDRESS, 1.0, store)
    asyncio.run(registry.read_peers())
    asked_s = clock.now_s - 2 * order_sender.TERM_VALIDITY_S
    term = leader_term.LeaderTerm(
        name,
        registry,
        types.SimpleNamespace(lease_asked_s=asked_s),
        followers.Followers(),
        clock,
    )
    return term, registry


def follow(term, names, clock, duration_s):
    """Lets daemons report to a leader for some time."""
    end_s = clock.now_s + duration_s
    while clock.now_s < end_s:
        clock.now_s += leader_term.PAUSE_CHECK_INTERVAL_S
        term.note_running()
        for name in names:
            term.note_report(name, ADDRESS)


def remove_silent(term, registry):
    """Does what a term does each `REGISTRATION_EXPIRY_S`."""
    asyncio.run(registry.remove_peers(term._silent_peers()))


def test_a_leader_without_a_majority_is_not_exclusive_once_it_forgot_the_rest():
    clock, store = Clock(), Registrations()
    old, _ = new_term("old", store, clock)
    new, registry = new_term("new", store, clock)
    follow(old, ("a", "b"), clock, leader_term.REGISTRATION_EXPIRY_S + 1)
    new.note_running()
    assert old.may_send_orders()
    assert not new.is_exclusive()
    remove_silent(new, registry)
    assert not (old.may_send_orders() and new.is_exclusive())


def test_a_leader_that_forgot_silent_daemons_is_not_confirmed_without_them():
    clock, store = Clock(), Registrations()
    old, registry = new_term("old", store, clock)
    follow(old, (), clock, leader_term.REGISTRATION_EXPIRY_S + 1)
    remove_silent(old, registry)
    # The others start again behind a cut, and elect a leader of their own.
    store.names |= {"a", "b", "new"}
    new, _ = new_term("new", store, clock)
    follow(new, ("a", "b"), clock, 1.0)
    old.note_running()
    assert new.is_exclusive()
    assert not old.may_send_orders()
