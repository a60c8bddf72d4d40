"""Simulates leaders that grant keys to upstreams, with all parts.

Leaders follow each other with their own assignment manager, order sender and
record of upstreams, over the models of `grants_platform`.
"""

import asyncio
import json
from unittest import mock

from sardinehill import http1
from sardinehill.core import fencing
from sardinehill.core import key_orders
from sardinehill.core import key_plan
from sardinehill.core import keyspace
from sardinehill.front import assignment_manager
from sardinehill.front import assignment_store
from sardinehill.front import key_owners
from sardinehill.front import order_sender
from tests.common import grants_platform

PARTS = 4
SIZE = keyspace.KEY_COUNT // PARTS
NAMES = ("a", "b", "c")
ADDRESSES = ("1", "2", "3", "4")
REUSE_AFTER_S = 2.0
# Each living upstream that is listed may get keys within this time.
MAY_GET_KEYS_WITHIN_S = 5.0


class Leader:
    """One leader's term, which ends some time after its successor began."""

    def __init__(self, world, term, exclusive_s):
        self._world = world
        self._exclusive_s = exclusive_s
        self.term = term
        self.ends_s = float("inf")
        clock_s = world.loop.time
        self.owners = key_owners.KeyOwners(
            "stock", lambda: world.entries, frozenset, clock_s()
        )
        self.store_client = grants_platform.StoreClient(world.store)
        self.manager = assignment_manager.AssignmentManager(
            "stock",
            assignment_store.AssignmentStore(
                "stock", term, self.store_client, self._end
            ),
            self.owners,
            lambda: clock_s() < self.ends_s and not world.is_unconfirmed,
            lambda: clock_s() >= self._exclusive_s,
            lambda: None,
            clock_s,
            lambda upstream: None,
        )
        self.task = world.loop.create_task(self.manager.run())

    def _end(self):
        self.ends_s = min(self.ends_s, self._world.loop.time())


class GrantsWorld:
    """Leaders, upstreams that start again, late orders and a restored store.

    Attributes:
      clock_steps_ms: by how much the start of a later life may differ.
      has_earlier_entries: whether the list may show an earlier life again.
      unlists_over_restores: whether upstreams may be missing in a restored
        store.
      restarts_beside_leaders: whether an upstream may start again while an
        earlier leader may still send orders.
      has_strays: whether stray answers come on idle connections.
      allowed: the kinds of violations that are not reported.
      mutations: what is replaced: module or class, name, and replacement.
    """

    clock_steps_ms = (1,)
    has_earlier_entries = False
    unlists_over_restores = False
    restarts_beside_leaders = False
    has_strays = False
    allowed = ()
    mutations = ()

    def __init__(self):
        self.loop = grants_platform.VirtualLoop()
        self.patches = [
            mock.patch.object(http1, "connect", self.connect),
            mock.patch.object(key_plan, "plan", self.plan),
            *(mock.patch.object(*mutation) for mutation in self.mutations),
        ]
        for patch in self.patches:
            patch.start()
        self.store = grants_platform.Store()
        self.violations = []
        self.lives = []
        self.entries = {}
        self.fates = dict.fromkeys(NAMES, "answered")
        self.carry_out_delay_s = 2.0
        self.wanted = []
        self.is_unconfirmed = False
        self.leaders = []
        for name, address in zip(NAMES, ADDRESSES, strict=False):
            self.lives.append(grants_platform.Life(name, 100, address))
            self.entries[name] = self.lives[-1].entry()
        self.begin_term(0.0)
        self.wait(3.0)

    def close(self):
        for patch in self.patches:
            patch.stop()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0.01))
        self.loop.close()

    def all_is_well_again(self):
        """Checks that every living upstream may get keys in time."""
        self.fates = dict.fromkeys(NAMES, "answered")
        self.store.fate = "answers"
        self.is_unconfirmed = False
        for life in self.living():
            self.entries[life.name] = life.entry()
        self.wait(MAY_GET_KEYS_WITHIN_S)
        capacities = self.leaders[-1].owners.capacities(
            self.loop.time(), lambda upstream: 1.0
        )
        for life in self.living():
            assert (life.name, life.born) in capacities, life

    # The model.

    def living(self):
        return [life for life in self.lives if life.is_up]

    def life_of(self, name):
        return next((one for one in self.living() if one.name == name), None)

    def wait(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for leader in self.leaders:
            if leader.task.done() and not leader.task.cancelled():
                leader.task.result()

    def begin_term(self, exclusive_after_s):
        self.store.term = fencing.next_term(self.store.term, self.store.era)
        self.leaders.append(
            Leader(self, self.store.term, self.loop.time() + exclusive_after_s)
        )

    async def connect(self, address, timeout_s, user_timeout_ms):
        at_address = [one for one in self.living() if one.address == address]
        if not at_address:
            raise http1.ConnectionFailedError("refused", written=False)
        if self.fates[at_address[0].name] == "cut":
            await asyncio.sleep(timeout_s)
            raise http1.ConnectionFailedError("no path", written=False)
        return grants_platform.Connection(self, at_address[0])

    def plan(self, assignment, capacities, loads, policy):
        """Plans the moves that are due or wanted by the search."""
        targets = sorted(capacities)
        if not targets:
            return []
        moves = [
            keyspace.KeyMove(part * SIZE, (part + 1) * SIZE - 1, target)
            for part in range(PARTS)
            if keyspace.find_span(assignment.spans, part * SIZE).owner
            not in capacities
            for target in [targets[part % len(targets)]]
        ]
        wanted, self.wanted = self.wanted, []
        return moves + [
            keyspace.KeyMove(first, last, target)
            for first, last, name in wanted
            for target in targets
            if target[0] == name
        ]

    def carry_out(self, life, request, arrived_s):
        head, _, body = request.partition(b"\r\n\r\n")
        if f"instance: {life.name}\r\n".encode() not in head.lower() + b"\r\n":
            return 421
        order = json.loads(body)
        parts = range(order["from"] // SIZE, order["to"] // SIZE + 1)
        if head.startswith(b"POST /release"):
            for part in parts:
                life.holds_until_s.pop(part, None)
            return 200
        epoch = order["fence"]
        if any(life.epochs.get(part, 0) > epoch for part in parts):
            return 409
        drift_ratio = 1 + key_orders.CLOCK_DRIFT_RATIO
        until_s = arrived_s + order["holdS"] * drift_ratio
        if until_s > self.loop.time():
            for part in parts:
                self.take(life, part, epoch, until_s)
        return 200

    def take(self, life, part, epoch, until_s):
        now_s = self.loop.time()
        for other in self.lives:
            if other is life:
                continue
            if other.holds(part, now_s):
                self.report("held twice", life, other, part, epoch)
            if other.epochs.get(part, 0) >= epoch:
                kind = "of a life" if other.name == life.name else "of another"
                self.report(f"epoch {kind}", life, other, part, epoch)
        life.epochs[part] = epoch
        life.holds_until_s[part] = max(
            life.holds_until_s.get(part, 0.0), until_s
        )

    def report(self, kind, life, other, part, epoch):
        if kind not in self.allowed:
            self.violations.append(
                f"{kind}: at {self.loop.time():.2f} s {life.name} {life.born} "
                f"takes part {part} under {epoch} after {other.name} "
                f"{other.born}, which had {other.epochs[part]}"
            )

    # What may happen.

    def time_passes(self, seconds):
        self.wait(seconds)

    def orders_fare(self, name, fate, delay_s, seconds):
        if fate == "stray" and not self.has_strays:
            fate = "answered"
        self.fates[name] = fate
        self.carry_out_delay_s = delay_s
        self.wait(seconds)

    def keys_move(self, part, width, name, seconds):
        last = min((part + width) * SIZE, keyspace.KEY_COUNT) - 1
        self.wanted.append((part * SIZE, last, name))
        self.leaders[-1].manager.replan()
        self.wait(seconds)

    def keys_move_on(self, name, fate):
        """Moves keys on that a new owner was granted with a fate."""
        self.orders_fare(name, fate, 2.0, 0.0)
        self.keys_move(0, PARTS, name, 1.0)
        self.fates[name] = "answered"
        to = NAMES[(NAMES.index(name) + 1) % len(NAMES)]
        self.keys_move(0, PARTS, to, 1.0)

    def upstream_ends(self, name):
        life = self.life_of(name)
        if life is None:
            return
        life.is_up = False
        life.ended_s = self.loop.time()
        for connection in life.connections:
            connection.lose()

    def upstream_starts_again(self, name, address, step, is_listed):
        sends = any(
            self.loop.time() < leader.ends_s + order_sender.ORDER_TIMEOUT_S
            and not leader.task.done()
            for leader in self.leaders[:-1]
        )
        if sends and not self.restarts_beside_leaders:
            return
        self.upstream_ends(name)
        for life in self.lives:
            age_s = self.loop.time() - life.ended_s
            if life.address == address and (
                life.is_up or (life.name != name and age_s < REUSE_AFTER_S)
            ):
                return
        steps_ms = self.clock_steps_ms
        earlier = [one for one in self.lives if one.name == name]
        born = earlier[-1].born + steps_ms[step % len(steps_ms)]
        self.lives.append(grants_platform.Life(name, born, address))
        if is_listed:
            self.entry_is_read(name)

    def keys_move_after_restart(self, name, is_moved_away, seconds):
        """Moves keys in one rule, as a search rarely finds the steps."""
        life = self.life_of(name)
        if life is None:
            return
        self.upstream_starts_again(name, life.address, 0, False)
        self.wait(seconds)
        self.entry_is_read(name)
        to = NAMES[(NAMES.index(name) + is_moved_away) % len(NAMES)]
        self.keys_move(0, PARTS, to, 1.0)

    def entry_is_read(self, name):
        life = self.life_of(name)
        if life is not None:
            self.entries[name] = life.entry()

    def entry_vanishes(self, name):
        if self.store.era == 1 or self.unlists_over_restores:
            self.entries.pop(name, None)

    def earlier_entry_is_read(self, name, back):
        lives = [one for one in self.lives if one.name == name]
        if self.has_earlier_entries and len(lives) > back:
            self.entries[name] = lives[-1 - back].entry()

    def connections_end(self, name):
        for life in self.lives:
            if life.name == name:
                for connection in life.connections:
                    connection.lose()

    def leader_is_unconfirmed(self, is_unconfirmed):
        self.is_unconfirmed = is_unconfirmed

    def another_daemon_leads(
        self, is_killed, exclusive_after_s, validity_ratio, is_cut
    ):
        validity_s = validity_ratio * order_sender.TERM_VALIDITY_S
        ends_s = self.loop.time() + exclusive_after_s + validity_s
        for leader in self.leaders:
            leader.ends_s = min(leader.ends_s, ends_s)
            leader.store_client.is_cut |= is_cut
        if is_killed:
            self.leaders[-1].task.cancel()
            self.wait(0.001)
        self.begin_term(exclusive_after_s)
        self.wait(0.05)

    def store_fares(self, fate):
        self.store.fate = fate

    def store_is_restored(self, back):
        copies = self.store.copies
        stored, term = copies[max(0, len(copies) - 1 - back)]
        self.store.era += 1
        self.store.term = term
        self.store.put(stored)
        self.list_after_restore()

    def leader_is_lost_over_a_restore(self, name, is_killed, exclusive_after_s):
        """Loses moves in one rule, as a search rarely finds the steps."""
        self.keys_move(0, PARTS, name, 1.0)
        self.store_is_restored(2)
        self.another_daemon_leads(is_killed, exclusive_after_s, 1.0, True)
        self.wait(4.0)

    def list_after_restore(self):
        if not self.unlists_over_restores:
            for life in self.living():
                self.entry_is_read(life.name)
