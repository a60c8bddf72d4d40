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


class AssignmentStore:
    """Stores the assignment of one service for the leader of one term.

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
    ):
        self._service = service
        self._term = term
        self._store = store
        self._on_superseded = on_superseded
        self.revision = 0

    async def read(
        self, may_hold_until_s: float
    ) -> keyspace.KeyAssignment | None:
        """Returns the stored assignment, or None if the read fails.

        Its top epoch is above all that were used in earlier terms, also if the
        store has forgotten them.

        Args:
          may_hold_until_s: the time until which each stored owner may still
            hold its keys.
        """
        try:
            stored = await self._store.get(ASSIGNMENTS_KIND, self._service)
            if stored is None:
                self.revision = 0
                assignment = keyspace.empty_assignment()
            else:
                self.revision = stored.revision
                assignment = keyspace.from_document(
                    stored.spec, may_hold_until_s
                )
            assignment.top_epoch = fencing.top_epoch(
                assignment.top_epoch, self._term
            )
            return assignment
        except (errors.StoreError, ValueError) as error:
            self._log_failure(error)
            return None

    def _log_failure(self, error: Exception) -> None:
        events.log(
            events.ASSIGNMENT_CONFLICT,
            service=self._service,
            error=str(error)[:200],
        )

    async def write(self, assignment: keyspace.KeyAssignment) -> bool:
        """Writes an assignment.

        If the answer is lost, the object is read back to learn the outcome.

        Returns:
          Whether the assignment is certainly stored.
        """
        spec: dict[str, Any] = keyspace.to_document(assignment)
        spec["term"] = self._term
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
        while True:
            try:
                stored = await self._store.get(ASSIGNMENTS_KIND, self._service)
            except errors.StoreError:
                await asyncio.sleep(READ_BACK_RETRY_S)
                continue
            found = stored.spec if stored is not None else {}
            if not isinstance(found, dict):
                found = {}
            self.revision = stored.revision if stored is not None else 0
            if found.get("writer") == spec["writer"]:
                return True
            if int(found.get("term", 0)) > self._term:
                self._on_superseded()
            return False
