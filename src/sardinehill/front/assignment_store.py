"""Reads and writes the stored key assignment of one divided service."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

from sardinehill import errors
from sardinehill import events
from sardinehill.core import fencing
from sardinehill.core import keyspace
from sardinehill.platform import store as store_module

ASSIGNMENTS_KIND = "sardinehill-assignments"
READ_BACK_RETRY_S = 0.2
# The era of a store that was never restored.
FIRST_ERA = 1


class AssignmentStore:
    """Stores the assignment of one service for the leader of one term.

    Each write names the store's era. An object of an earlier era may be older
    than what was written last, as the store has lost what followed.

    Public attributes:
      revision: the object's revision as last read or written; 0 while there is
        no object.
    """

    def __init__(
        self,
        service: str,
        term: int,
        store: store_module.StoreClient,
        on_superseded: Callable[[], None],
        may_change: Callable[[], bool] = lambda: True,
        holds_lease: Callable[[], bool] = lambda: True,
        has_settled: Callable[[], bool] = lambda: True,
    ):
        """Creates an object that has not read anything.

        Args:
          service: the service.
          term: the leader's term.
          store: the store.
          on_superseded: called when a later leader has written.
          may_change: returns whether the leader may change owners now. One that
            hears no upstream would take keys from owners that others reach.
          holds_lease: returns whether the leader holds the lease in the store's
            present era. One that was replaced would hide its successor's moves.
          has_settled: returns whether no order of a leader that a restored
            store has forgotten has an effect any more.
        """
        self._service = service
        self._term = term
        self._store = store
        self._on_superseded = on_superseded
        self._may_change = may_change
        self._holds_lease = holds_lease
        self._has_settled = has_settled
        self._has_written = False
        # The era of the last read or write, and the one that is written as that
        # of the owners.
        self._era = 0
        self._owners_era = 0
        self._is_superseded = False
        self.revision = 0

    @property
    def is_lost(self) -> bool:
        """Whether the store was restored since the last read or write."""
        return self._era < self._store.era

    @property
    def is_trusted_late(self) -> bool:
        """Whether owners may now be written as those of the present era."""
        return self._owners_era < self._era and self._has_settled()

    async def read(
        self, may_hold_until_s: float, in_flight_until_s: float
    ) -> keyspace.KeyAssignment | None:
        """Returns the stored assignment, or None if the read fails.

        Nothing is returned and the term ends if a later leader has written.
        Its top epoch is above all that were used in earlier terms, also if the
        store has forgotten them. If it is of an earlier era, any upstream may
        hold any key.

        Args:
          may_hold_until_s: the time until which each stored owner may still
            hold its keys.
          in_flight_until_s: the time until which an order of an earlier leader
            may still arrive.
        """
        try:
            stored = await self._get()
            self._check_term(stored)
            if self._is_superseded:
                return None
            if stored is None:
                assignment = keyspace.empty_assignment()
                written_era = FIRST_ERA
            else:
                assignment = keyspace.from_document(
                    stored.spec, may_hold_until_s
                )
                # Earlier releases wrote no era.
                written_era = int(stored.spec.get("era", self._era))
            self._owners_era = self._era
            if written_era < self._era:
                events.log(
                    events.ASSIGNMENT_OUTDATED,
                    service=self._service,
                    era=self._era,
                    written_era=written_era,
                )
                keyspace.suspect_unknown_owners(
                    assignment, may_hold_until_s, in_flight_until_s
                )
            assignment.top_epoch = fencing.top_epoch(
                assignment.top_epoch, self._term
            )
            return assignment
        except (errors.StoreError, TypeError, ValueError) as error:
            self._log_failure(error)
            return None

    async def _get(self) -> store_module.StoredObject | None:
        """Reads the object and notes its revision and the store's era.

        Raises:
          StoreError: the object could not be read.
        """
        stored = await self._store.get(ASSIGNMENTS_KIND, self._service)
        self._era = self._store.era
        self.revision = stored.revision if stored is not None else 0
        return stored

    async def write_again(self, assignment: keyspace.KeyAssignment) -> bool:
        """Writes an assignment that a restored store has lost.

        It counts as of the earlier era while a forgotten leader's moves may
        still have an effect, so that a next leader looks for their owners.

        Returns:
          Whether the assignment is certainly stored in the present era.
        """
        lost_era = self._era
        try:
            stored = await self._get()
        except errors.StoreError as error:
            self._log_failure(error)
            return False
        self._check_term(stored)
        if self._holds_lease() and await self._write(assignment):
            return not self.is_lost
        self._era = lost_era
        return False

    def _log_failure(self, error: Exception) -> None:
        events.log(
            events.ASSIGNMENT_CONFLICT,
            service=self._service,
            error=str(error)[:200],
        )

    async def write(self, assignment: keyspace.KeyAssignment) -> bool:
        """Writes an assignment.

        If the answer is lost, the object is read back to learn the outcome.
        Once a later leader has written, nothing is written any more. After the
        first write of a term, nothing is written either while the leader may
        not change owners.

        Returns:
          Whether the assignment is certainly stored.
        """
        if self._has_written and not self._may_change():
            return False
        is_written = await self._write(assignment)
        self._has_written = self._has_written or is_written
        return is_written

    async def _write(self, assignment: keyspace.KeyAssignment) -> bool:
        if self._is_superseded:
            return False
        spec: dict[str, Any] = keyspace.to_document(assignment)
        spec["term"] = self._term
        if self._has_settled():
            self._owners_era = self._era
        spec["era"] = self._owners_era
        spec["writer"] = f"{self._term}-{time.monotonic_ns()}"
        try:
            if self.revision == 0:
                stored = await self._store.create(
                    ASSIGNMENTS_KIND, self._service, spec
                )
            else:
                stored = await self._store.replace(
                    ASSIGNMENTS_KIND, self._service, spec, self.revision
                )
            self.revision = stored.revision
        except errors.StoreConflictError as error:
            self._log_failure(error)
            return await self._resolve_write(spec)
        except errors.StoreUnavailableError:
            return await self._resolve_write(spec)
        except errors.StoreError as error:
            self._log_failure(error)
            return False
        events.log(
            events.ASSIGNMENT_WRITTEN,
            service=self._service,
            revision=self.revision,
            top_epoch=assignment.top_epoch,
            spans=len(assignment.spans),
        )
        return True

    async def _resolve_write(self, spec: dict[str, Any]) -> bool:
        """Returns whether a write without a clear outcome took effect.

        Such a write may still take effect later, so the object is read back
        until a read succeeds. Nothing else is written at the same revision
        before that.
        """
        era = self._era
        while True:
            try:
                stored = await self._get()
            except errors.StoreError:
                await asyncio.sleep(READ_BACK_RETRY_S)
                continue
            # An era that is new here makes the caller write it again.
            self._era = era
            if _spec_of(stored).get("writer") == spec["writer"]:
                return True
            self._check_term(stored)
            return False

    def _check_term(self, stored: store_module.StoredObject | None) -> None:
        """Ends this term if a later leader has written."""
        if int(_spec_of(stored).get("term", 0)) > self._term:
            self._is_superseded = True
            self._on_superseded()


def _spec_of(stored: store_module.StoredObject | None) -> dict[str, Any]:
    """Returns the object's content; empty if there is none."""
    spec = stored.spec if stored is not None else None
    return spec if isinstance(spec, dict) else {}
