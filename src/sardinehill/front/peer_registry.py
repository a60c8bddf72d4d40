"""Stores the registrations of daemons and the lease of their leader."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import secrets
from typing import Any

from sardinehill import errors
from sardinehill import events
from sardinehill.core import electorates
from sardinehill.platform import store as store_module

LEASES_KIND = "sardinehill-leases"
LEASE_NAME = "leader"
DAEMONS_KIND = "sardinehill-daemons"
REGISTRATION_RETRY_S = 0.1
REGISTRATION_CHECK_INTERVAL_S = 0.5
REGISTRATION_SPREAD_S = 0.5

_Spec = dict[str, Any]


@dataclasses.dataclass(frozen=True)
class LeaderLease:
    """The leader as named by the lease in the store or by a leader table.

    Attributes:
      term: the leader's term; each new leader has a higher one.
      holder: the leader's name.
      address: the address for its peers.
      incarnation: a random id of one start of the leader's process; empty if
        a leader table named the leader.
      electorate: the daemons whose reports confirm the leader, or None if a
        leader table named it or its build knows no electorate.
      electorate_error: why the stored electorate is none; empty if it is one.
    """

    term: int = 0
    holder: str = ""
    address: str = ""
    incarnation: str = ""
    electorate: electorates.Electorate | None = None
    electorate_error: str = ""


class PeerRegistry:
    """Reads and writes registrations and the lease for one daemon.

    Public attributes:
      peer_addresses: the address of each registered daemon by name, including
        this one.
      core_shares: the share of a core that each daemon has, as registered.
      lease: the lease as last read or written.
      lease_revision: the revision of the lease's object; 0 while there is no
        lease.
      lease_era: the store's era when the lease was last read or written.
    """

    def __init__(
        self,
        name: str,
        address: str,
        core_share: float,
        store: store_module.StoreClient,
    ):
        self._name = name
        self._address = address
        self._core_share = core_share
        self._store = store
        self._incarnation = secrets.token_hex(8)
        self.peer_addresses: dict[str, str] = {}
        self.core_shares = {name: core_share}
        self.lease = LeaderLease()
        self.lease_revision = 0
        self.lease_era = 0
        self._peers_era = 0
        # Whether a leader may have removed this daemon's registration.
        self._may_be_removed = False

    @property
    def store_era(self) -> int:
        """The store's era, as its last answers said."""
        return self._store.era

    @property
    def holds_lease(self) -> bool:
        """Whether the lease names this incarnation of this daemon."""
        return self.lease.incarnation == self._incarnation

    async def register(self, known_era: Callable[[], int]) -> None:
        """Keeps this daemon's address registered until cancelled.

        It is registered again when the store was restored, or a leader did not
        hear this daemon for long, as the registration may be lost.

        Args:
          known_era: returns the store's era as far as this daemon knows, which
            may not have called the store itself since it was restored.
        """
        await self._register_once()
        registered_era = self.store_era
        while True:
            await asyncio.sleep(REGISTRATION_CHECK_INTERVAL_S)
            is_restored = max(self.store_era, known_era()) > registered_era
            if not is_restored and not self._may_be_removed:
                continue
            self._may_be_removed = False
            # Not all daemons of the fleet call the store at the same time.
            await asyncio.sleep(random.uniform(0, REGISTRATION_SPREAD_S))
            await self._register_once()
            registered_era = self.store_era

    def note_absence(self) -> None:
        """Records that no leader has heard this daemon for long."""
        self._may_be_removed = True

    async def _register_once(self) -> None:
        spec: _Spec = {
            "address": self._address,
            "coreShare": self._core_share,
            "life": self._incarnation,
        }
        while True:
            try:
                await self._write_registration(spec)
                return
            except errors.StoreError:
                await asyncio.sleep(REGISTRATION_RETRY_S)

    async def _write_registration(self, spec: _Spec) -> None:
        try:
            await self._store.create(DAEMONS_KIND, self._name, spec)
        except errors.StoreConflictError:
            stored = await self._store.get(DAEMONS_KIND, self._name)
            if stored is not None and (
                _decode_address(stored) != self._address
                or _decode_core_share(stored) != self._core_share
            ):
                await self._store.replace(
                    DAEMONS_KIND, self._name, spec, stored.revision
                )

    async def read_lease(self) -> None:
        """Reads the lease from the store.

        Raises:
          StoreError: the lease could not be read.
        """
        self._set_lease(await self._store.get(LEASES_KIND, LEASE_NAME))

    def _set_lease(self, stored: store_module.StoredObject | None) -> None:
        self.lease_era = self._store.era
        if stored is None:
            self.lease, self.lease_revision = LeaderLease(), 0
            return
        spec = stored.spec if isinstance(stored.spec, dict) else {}
        electorate, error = None, ""
        try:
            electorate = _decode_electorate(spec)
        except ValueError as malformed:
            error = str(malformed)
        self.lease = LeaderLease(
            _decode_term(spec),
            str(spec.get("holder", "")),
            str(spec.get("address", "")),
            str(spec.get("life", "")),
            electorate,
            error,
        )
        self.lease_revision = stored.revision

    async def read_peers(self, may_be_stale: bool = False) -> None:
        """Reads the addresses and core shares of registered daemons.

        Args:
          may_be_stale: whether outdated registrations will do, which costs
            less.

        Raises:
          StoreError: the registrations could not be read.
        """
        objects, version = await self._store.list_objects(
            DAEMONS_KIND, may_be_stale
        )
        if version.era == self._peers_era:
            self.peer_addresses = {}
            self.core_shares = {}
        # A restored store has lost the daemons that registered last, so those
        # that were known before are kept until the next read.
        self._peers_era = version.era
        self.peer_addresses |= {
            stored.name: address
            for stored in objects
            if (address := _decode_address(stored))
        }
        self.peer_addresses[self._name] = self._address
        self.core_shares |= {
            stored.name: _decode_core_share(stored) for stored in objects
        }
        self.core_shares[self._name] = self._core_share

    async def acquire_lease(
        self, term: int, electorate: electorates.Electorate
    ) -> bool:
        """Writes this daemon and an electorate into the lease.

        If the outcome is not known, the lease is read. The write may then still
        be carried out later, while the lease is the one that was read.

        Returns:
          Whether this daemon holds the lease in `term`.

        Raises:
          StoreError: the write failed or its outcome could not be read.
        """
        spec: _Spec = {
            "term": term,
            "holder": self._name,
            "address": self._address,
            "life": self._incarnation,
            "voters": sorted(electorate.voters),
        }
        if electorate.previous_voters:
            spec["previousVoters"] = sorted(electorate.previous_voters)
        try:
            if self.lease_revision == 0:
                stored = await self._store.create(LEASES_KIND, LEASE_NAME, spec)
            else:
                stored = await self._store.replace(
                    LEASES_KIND, LEASE_NAME, spec, self.lease_revision
                )
            self._set_lease(stored)
        except (errors.StoreConflictError, errors.StoreUnavailableError):
            await self.read_lease()
        return (
            self.lease.incarnation == self._incarnation
            and self.lease.term == term
        )

    async def remove_peers(self, names: list[str]) -> None:
        """Removes the registrations of the named daemons."""
        if not names:
            return
        try:
            objects, _ = await self._store.list_objects(DAEMONS_KIND)
            for stored in objects:
                if stored.name in names:
                    await self._store.delete(
                        DAEMONS_KIND, stored.name, stored.revision
                    )
                    events.log(events.PEER_LOST, peer=stored.name)
            await self.read_peers()
        except errors.StoreError as error:
            events.log(events.MEMBERS_NOT_WRITTEN, error=str(error)[:200])


def _decode_term(spec: _Spec) -> int:
    """Returns a lease's term, or 0 if it has none that is a number."""
    term = spec.get("term")
    if not isinstance(term, int) or isinstance(term, bool):
        return 0
    return max(0, term)


def _decode_electorate(spec: _Spec) -> electorates.Electorate | None:
    """Returns a lease's electorate, or None if it has none.

    Raises:
      ValueError: the electorate is malformed or empty.
    """
    if "voters" not in spec:
        return None
    voters = _decode_names(spec, "voters")
    previous_voters = (
        _decode_names(spec, "previousVoters")
        if "previousVoters" in spec
        else frozenset()
    )
    return electorates.Electorate(voters, previous_voters)


def _decode_names(spec: _Spec, field: str) -> frozenset[str]:
    names = spec[field]
    is_list = isinstance(names, list) and bool(names)
    if not is_list or not all(isinstance(name, str) and name for name in names):
        raise ValueError(f"{field}: not a list of names of daemons")
    return frozenset(names)


def _decode_address(stored: store_module.StoredObject) -> str:
    spec = stored.spec
    address = spec.get("address") if isinstance(spec, dict) else None
    return address if isinstance(address, str) else ""


def _decode_core_share(stored: store_module.StoredObject) -> float:
    spec = stored.spec
    share = spec.get("coreShare") if isinstance(spec, dict) else None
    return float(share) if isinstance(share, (int, float)) else 0.0
