"""Tracks one term of the leader: its validity and which daemons follow it."""

import asyncio
from collections.abc import Callable
import fractions

from sardinehill import errors
from sardinehill import events
from sardinehill.core import electorates
from sardinehill.core import leader_confirmation
from sardinehill.front import election
from sardinehill.front import followers as followers_module
from sardinehill.front import order_sender
from sardinehill.front import peer_links
from sardinehill.front import peer_registry

# A leader whose process was paused for longer than `MAX_PAUSE_S` then reads the
# reports that have arrived meanwhile. Those that it reads in the next
# `REPORT_DISTRUST_S` do not count, as their senders may follow another leader
# by now. After a shorter pause they count: daemons give up a silent leader no
# earlier than after `known_leader.LEADER_TIMEOUT_S`.
PAUSE_CHECK_INTERVAL_S = 0.05
MAX_PAUSE_S = 0.4
REPORT_DISTRUST_S = 0.25
FOLLOWER_TIMEOUT_S = leader_confirmation.FOLLOWER_TIMEOUT_S
# A silent daemon is assumed to keep serving callers for this long.
SERVING_TIMEOUT_S = 5.0
# A leader that has not reached the store for this long resigns if followers
# have reached it for `MIN_REACHED_BY_OTHERS_S`. When the store returns, it
# answers some daemons before others.
STORE_LOST_HANDOVER_S = 1.0
MIN_REACHED_BY_OTHERS_S = 0.5
# A leader that has been cut off from the upstreams for this long resigns if a
# follower reaches them.
CUT_OFF_HANDOVER_S = 0.3
ANNOUNCE_INTERVAL_S = 0.25
# A link that carries only an announcement stays open for this long, so that its
# frame can arrive.
ANNOUNCE_LINK_OPEN_S = 0.05
LEASE_CHECK_INTERVAL_S = 1.0
# A term that a majority follows reads the lease again this long after the last
# time, so that its leader learns of a later one that most daemons do not hear.
LEASE_RECHECK_INTERVAL_S = 4.0
# How often a leader looks whether the store was restored.
ERA_CHECK_INTERVAL_S = 0.1
# The registration of a daemon that has been silent for this long is removed.
REGISTRATION_EXPIRY_S = 10.0
MAX_NAMES_LOGGED = 16
_NEVER_S = -1e9


class LeaderTerm:
    """One term, during which the leader acts only while it is confirmed.

    `core/leader_confirmation` decides by what it is confirmed.

    Public attributes:
      resigned: whether the leader has resigned.
      ended: set when the term has ended.
    """

    def __init__(
        self,
        name: str,
        registry: peer_registry.PeerRegistry,
        leader_election: election.Election,
        followers: followers_module.Followers,
        clock_s: Callable[[], float],
        keys_exclude_earlier: Callable[[], bool] = lambda: False,
        refuses_half_of_keys: Callable[[], bool] = lambda: False,
    ):
        self._name = name
        self._registry = registry
        self._election = leader_election
        self._followers = followers
        self._clock_s = clock_s
        self._keys_exclude_earlier = keys_exclude_earlier
        self._refuses_half_of_keys = refuses_half_of_keys
        self._began_s = clock_s()
        # The answer may have come late, when another daemon led already.
        asked_s = leader_election.lease_asked_s
        self._confirmation = leader_confirmation.LeaderConfirmation(
            name,
            registry.lease.electorate
            or electorates.Electorate(frozenset(registry.peer_addresses)),
            began_s=self._began_s,
            store_confirmed_s=asked_s,
            lease_read_s=asked_s,
        )
        self._lease_checked_s = asked_s
        self._number = registry.lease.term
        self._first_era = registry.lease_era
        # The latest era of the store and when it was first seen.
        self._seen_era = registry.lease_era
        self._era_seen_s = self._began_s
        # The store's era in which the lease was last known to be held.
        self._lease_era = registry.lease_era
        self._reached_store_s: dict[str, float] = {}
        # The daemons that reached no upstreams when they last reported.
        self._cut_off: set[str] = set()
        self._reached_by_others_since_s: float | None = None
        self._was_confirmed = False
        self._last_ran_s = self._began_s
        self._distrust_reports_until_s = self._began_s
        self.resigned = False
        self.ended = asyncio.Event()

    @property
    def voter_count(self) -> int:
        """The number of daemons whose reports may confirm the term."""
        return len(self._confirmation.electorate.all_voters)

    def age_s(self) -> float:
        """Returns the time since the term began."""
        return self._clock_s() - self._began_s

    def note_report(
        self, daemon: str, address: str, reaches_upstreams: bool = True
    ) -> None:
        """Records that a daemon reported now, and its address if unknown.

        Args:
          daemon: the daemon.
          address: where its peers connect to it.
          reaches_upstreams: whether it reaches the upstreams.
        """
        if reaches_upstreams:
            self._cut_off.discard(daemon)
        else:
            self._cut_off.add(daemon)
        self._registry.peer_addresses.setdefault(daemon, address)
        self._note_pause()
        now_s = self._clock_s()
        if now_s >= self._distrust_reports_until_s:
            self._confirmation.heard_s[daemon] = now_s

    async def watch_pauses(self) -> None:
        """Detects pauses of this process, until cancelled."""
        self._last_ran_s = self._clock_s()
        while True:
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_S)
            self.note_running()

    def note_running(self) -> None:
        """Records that this process is running, and whether it was paused."""
        self._note_pause()
        self._last_ran_s = self._clock_s()

    def _note_pause(self) -> None:
        """Distrusts reports for a while if this process was paused."""
        now_s = self._clock_s()
        if now_s - self._last_ran_s > MAX_PAUSE_S:
            self._distrust_reports_until_s = now_s + REPORT_DISTRUST_S

    def note_store_reached(self, daemon: str) -> None:
        """Records that a daemon has reached the store itself."""
        self._reached_store_s[daemon] = self._clock_s()

    def should_hand_over(self, store_lost_s: float) -> bool:
        """Returns whether followers reach the store and this leader does not.

        To be called when a follower has reported that it reaches the store.

        Args:
          store_lost_s: how long the leader has not reached the store; 0 if it
            reaches it.
        """
        if store_lost_s <= 0:
            self._reached_by_others_since_s = None
            return False
        now_s = self._clock_s()
        if self._reached_by_others_since_s is None:
            self._reached_by_others_since_s = now_s
        reached_s = now_s - self._reached_by_others_since_s
        return (
            store_lost_s > STORE_LOST_HANDOVER_S
            and reached_s >= MIN_REACHED_BY_OTHERS_S
        )

    def should_hand_over_if_cut_off(self, cut_off_s: float) -> bool:
        """Returns whether followers reach upstreams and this leader does not.

        It does not take the lead back when it reaches them again, as nobody
        takes the lead from a leader that reaches upstreams.

        Args:
          cut_off_s: how long the leader has been cut off from all upstreams; 0
            if it reaches them.
        """
        return cut_off_s >= CUT_OFF_HANDOVER_S and any(
            name not in self._cut_off for name in self._following()
        )

    def _following(self) -> set[str]:
        """Returns the daemons that follow this term."""
        return self._heard(FOLLOWER_TIMEOUT_S) - {self._name}

    def _heard(self, within_s: float) -> set[str]:
        return leader_confirmation.heard_within(
            self._confirmation, self._clock_s(), within_s
        )

    def successor(self) -> str:
        """Returns the daemon that should lead next; empty if there is none.

        Among the daemons that follow this term, those that reach upstreams go
        first, then those on larger hosts: a new leader sends all spans to each
        daemon, which takes a small host's link over a second in a large fleet.
        Among equal hosts, those that have just reached the store themselves go
        first.
        """
        now_s = self._clock_s()

        def preference(name: str) -> tuple[bool, float, bool, str]:
            reached_s = self._reached_store_s.get(name, _NEVER_S)
            return (
                name not in self._cut_off,
                self._registry.core_shares.get(name, 0.0),
                now_s - reached_s < FOLLOWER_TIMEOUT_S,
                name,
            )

        return max(self._following(), key=preference, default="")

    def daemon_count(self) -> int:
        """Returns the number of daemons that quotas are divided among.

        A silent daemon may still serve callers, so it counts for
        `SERVING_TIMEOUT_S`. A term younger than that counts all registered
        daemons.
        """
        count = len(self._heard(SERVING_TIMEOUT_S))
        if self.age_s() < SERVING_TIMEOUT_S:
            count = max(count, len(self._registry.peer_addresses))
        return max(1, count)

    def may_send_orders(self) -> bool:
        """Returns whether the term is confirmed, so that orders may be sent."""
        if self.resigned or self.ended.is_set():
            return False
        is_confirmed = leader_confirmation.is_confirmed(
            self._confirmation, self._clock_s()
        )
        if is_confirmed != self._was_confirmed:
            self._was_confirmed = is_confirmed
            self._log_confirmation(is_confirmed)
        return is_confirmed

    def has_support(self, key_share: Callable[[], fractions.Fraction]) -> bool:
        """Returns whether orders of a service may be sent without the store.

        Args:
          key_share: returns the share of its keys whose grants support this
            leader; called only if the store has been silent for long.
        """
        now_s = self._clock_s()
        return not leader_confirmation.needs_support(
            self._confirmation, now_s
        ) or leader_confirmation.has_support(
            self._confirmation, now_s, key_share()
        )

    def store_silent_s(self) -> float:
        """Returns since when the store has not named this leader."""
        return self._clock_s() - self._confirmation.lease_read_s

    def _log_confirmation(self, is_confirmed: bool) -> None:
        """Logs by what the term is confirmed, or that it is no longer."""
        confirmation = self._confirmation
        voters = confirmation.electorate.all_voters
        events.log(
            events.TERM_CONFIRMED if is_confirmed else events.TERM_UNCONFIRMED,
            term=self._number,
            by_store_ago_s=round(
                self._clock_s() - confirmation.store_confirmed_s, 3
            ),
            heard=len(self._heard(order_sender.TERM_VALIDITY_S) & voters),
            voters=len(voters),
            exclusive=confirmation.is_exclusive,
        )

    def holds_present_lease(self) -> bool:
        """Returns whether the lease is held in the store's present era."""
        return self._lease_era >= self._registry.store_era

    def has_settled(self) -> bool:
        """Returns whether no order of a leader that is forgotten has an effect.

        The store may have forgotten the lease of one that had no majority.
        """
        if not self.holds_present_lease():
            return False
        if self._seen_era == self._first_era:
            return True
        settled_s = order_sender.earlier_orders_end_s(self._era_seen_s)
        return self._clock_s() >= settled_s

    def is_exclusive(self) -> bool:
        """Returns whether no earlier leader's term can be confirmed any more.

        It then stays the case for the rest of the term. A port that refuses
        connections does not show that a voter has ended, as a cut may refuse
        them too.
        """
        if self._confirmation.is_exclusive:
            return True
        is_exclusive = leader_confirmation.update_exclusive(
            self._confirmation, self._clock_s()
        )
        if is_exclusive:
            self._log_exclusive()
        return is_exclusive

    def excludes_earlier(
        self,
        exclusion: leader_confirmation.KeyExclusion,
        key_share: Callable[[], fractions.Fraction],
    ) -> bool:
        """Returns whether no earlier leader sends orders for a service.

        Args:
          exclusion: what the service's keys show, changed in place.
          key_share: returns the share of its keys that support no earlier
            leader.
        """
        return (
            self.is_exclusive()
            or exclusion.is_complete
            or leader_confirmation.update_exclusion(
                exclusion, self._confirmation, self._clock_s(), key_share()
            )
        )

    def _log_exclusive(self) -> None:
        voters = self._confirmation.electorate.all_voters
        events.log(
            events.TERM_EXCLUSIVE,
            term=self._number,
            age_s=round(self.age_s(), 3),
            heard=len(self._following() & voters),
            voters=len(voters),
        )

    async def announce(
        self, send_announcement: Callable[[peer_links.PeerLink], None]
    ) -> None:
        """Announces the leader to daemons until a majority follows it.

        Args:
          send_announcement: sends the announcement over a link.
        """

        async def announce_to(name: str, address: str) -> None:
            try:
                link = await peer_links.connect(
                    address, self._name, lambda *_: None, lambda _: None
                )
            except errors.PeerNotSentError:
                return
            send_announcement(link)
            await asyncio.sleep(ANNOUNCE_LINK_OPEN_S)
            link.close()

        while not self._is_followed_by_majority():
            await asyncio.gather(
                *(
                    announce_to(name, address)
                    for name, address in self._registry.peer_addresses.items()
                    if name not in self._followers and name != self._name
                )
            )
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def check_lease(self) -> None:
        """Confirms the term from the store while no majority follows it.

        A term with a majority is confirmed every `LEASE_RECHECK_INTERVAL_S`.
        Also writes the lease again if a restored store has lost it and the term
        outlasts that, writes changes of the electorate, and removes the
        registrations of daemons that have been silent for
        `REGISTRATION_EXPIRY_S`.
        """
        check_due_s = self._clock_s() + LEASE_CHECK_INTERVAL_S
        removal_due_s = self._clock_s() + REGISTRATION_EXPIRY_S
        while True:
            await asyncio.sleep(ERA_CHECK_INTERVAL_S)
            is_lost = not self.holds_present_lease()
            if is_lost and not self._outlasts_restore():
                if self.ended.is_set():
                    return
                continue
            if self._clock_s() < check_due_s and not is_lost:
                continue
            check_due_s = self._clock_s() + LEASE_CHECK_INTERVAL_S
            if is_lost or self._needs_lease():
                try:
                    await self._confirm_lease()
                except errors.StoreError:
                    # The next read may succeed. Otherwise the confirmation
                    # expires and no more orders are sent.
                    if self._is_superseded():
                        return
                    continue
                if self.ended.is_set():
                    return
            await self._change_electorate()
            if self.ended.is_set():
                return
            if self._clock_s() > removal_due_s:
                removal_due_s = self._clock_s() + REGISTRATION_EXPIRY_S
                await self._registry.remove_peers(self._silent_peers())

    def _is_superseded(self) -> bool:
        """Ends the term if owners of most keys follow a later leader.

        To be called when the store does not answer. While it names this leader,
        its epochs are raised instead.
        """
        if (
            self.store_silent_s() <= STORE_LOST_HANDOVER_S
            or not self._refuses_half_of_keys()
        ):
            return False
        events.log(
            events.TERM_SUPERSEDED,
            term=self._number,
            store_silent_s=round(self.store_silent_s(), 3),
        )
        self.ended.set()
        return True

    def _outlasts_restore(self) -> bool:
        """Returns whether a majority has reported since the store was restored.

        Ends the term if none has in time. The daemons may follow a later leader
        whose lease the store has forgotten.
        """
        now_s = self._clock_s()
        if self._seen_era < self._registry.store_era:
            self._seen_era = self._registry.store_era
            self._era_seen_s = now_s
        if leader_confirmation.has_majority(
            self._confirmation, now_s, now_s - self._era_seen_s
        ):
            return True
        if now_s - self._era_seen_s > FOLLOWER_TIMEOUT_S:
            self.ended.set()
        return False

    def _is_followed_by_majority(self) -> bool:
        return leader_confirmation.has_majority(
            self._confirmation, self._clock_s(), FOLLOWER_TIMEOUT_S
        )

    async def _change_electorate(self) -> None:
        """Writes the electorate with the lease if it needs to change."""
        confirmation = self._confirmation
        wanted = leader_confirmation.wanted_electorate(
            confirmation, self._clock_s(), self._keys_exclude_earlier()
        )
        if wanted is None or not self.holds_present_lease():
            return
        leader_confirmation.begin_change(confirmation, wanted)
        asked_s = self._clock_s()
        try:
            is_held = await self._registry.acquire_lease(self._number, wanted)
        except errors.StoreError:
            # The outcome is not known. The next attempt writes the same.
            return
        if not is_held:
            self.ended.set()
        elif self._registry.lease.electorate == wanted:
            self._log_electorate(confirmation.electorate, wanted)
            leader_confirmation.end_change(confirmation, wanted)
            self._note_named(asked_s)

    def _log_electorate(
        self, before: electorates.Electorate, after: electorates.Electorate
    ) -> None:
        added = sorted(after.all_voters - before.all_voters)
        removed = sorted(before.all_voters - after.all_voters)
        events.log(
            events.ELECTORATE_CHANGED,
            term=self._number,
            voters=len(after.voters),
            added=added[:MAX_NAMES_LOGGED],
            removed=removed[:MAX_NAMES_LOGGED],
        )

    def _needs_lease(self) -> bool:
        """Returns whether the lease must be read now to confirm the term."""
        return (
            not self._is_followed_by_majority()
            or self._clock_s() - self._lease_checked_s
            > LEASE_RECHECK_INTERVAL_S
            or self._refuses_half_of_keys()
        )

    async def _confirm_lease(self) -> None:
        """Reads the lease, and ends the term if another daemon holds it.

        A store that was restored during the term may have forgotten the lease
        of a later leader. It confirms nothing; the term goes on only with a
        majority. The lease of an earlier leader is replaced.

        Raises:
          StoreError: the lease could not be read, or its outcome is not known.
        """
        query_started_s = self._clock_s()
        await self._election.read_lease()
        era = self._registry.store_era
        is_restored = era > self._first_era
        if is_restored:
            if not self._outlasts_restore():
                return
            if not self._is_followed_by_majority():
                self.ended.set()
                return
        if self._registry.lease.term < self._number:
            await self._registry.acquire_lease(
                self._number, self._confirmation.electorate
            )
        if not self._registry.holds_lease:
            self.ended.set()
            return
        self._lease_era = era
        self._lease_checked_s = query_started_s
        self._note_named(query_started_s)
        if not is_restored:
            self._confirmation.store_confirmed_s = query_started_s

    def _note_named(self, asked_s: float) -> None:
        """Records that the store named this leader when it was asked.

        A restored store may have forgotten a later leader, which keys follow
        until its last orders have lapsed.
        """
        if self.has_settled():
            self._confirmation.lease_read_s = asked_s

    def _silent_peers(self) -> list[str]:
        now_s = self._clock_s()
        return [
            name
            for name in self._registry.peer_addresses
            if name != self._name
            and now_s - self._confirmation.heard_s.get(name, _NEVER_S)
            > REGISTRATION_EXPIRY_S
        ]
