"""Takes keys back from owners that a restored store has forgotten.

Any upstream may hold any key then. Once no order of an earlier leader can
arrive any more, each upstream is asked to release all keys that are not its
own. When all have answered, nobody holds a key of another.
"""

import asyncio
from collections.abc import Callable

from sardinehill import events
from sardinehill.core import key_orders
from sardinehill.core import keyspace
from sardinehill.front import key_owners
from sardinehill.platform import http_messages


class UnknownOwners:
    """Asks upstreams to release what the assignment gives to others."""

    def __init__(
        self,
        service: str,
        assignment: keyspace.KeyAssignment,
        owners: key_owners.KeyOwners,
        group: asyncio.TaskGroup,
        may_send_orders: Callable[[], bool],
        clock_s: Callable[[], float],
    ):
        self._service = service
        self._assignment = assignment
        self._owners = owners
        self._group = group
        self._may_send_orders = may_send_orders
        self._clock_s = clock_s
        # What each upstream was asked to release, and answered.
        self._answered: dict[keyspace.Incarnation, set[tuple[int, int]]] = {}
        self._asked: set[tuple[keyspace.Incarnation, tuple[int, int]]] = set()
        # Upstreams whose address answers for another one by now. They may hold
        # keys at an address that the restored store has forgotten.
        self._elsewhere: set[keyspace.Incarnation] = set()
        self._asked_since_s: float | None = None

    def release_due(self) -> None:
        """Asks for the releases that are missing, and records when all came."""
        if not keyspace.waits_for_unknown_owners(self._assignment):
            return
        now_s = self._clock_s()
        if now_s < self._orders_arrived_s():
            return
        if self._asked_since_s is None:
            self._asked_since_s = now_s
        if self._ask_for_missing():
            key_orders.record_released_by_all(
                self._assignment, self._asked_since_s
            )
            events.log(
                events.KEYS_TAKEN_BACK,
                service=self._service,
                upstreams=len(self._answered),
                took_s=round(now_s - self._asked_since_s, 3),
            )

    def _orders_arrived_s(self) -> float:
        """Returns when orders of earlier leaders have certainly arrived."""
        return max(
            span.former_owner.in_flight_until_s
            for span in self._assignment.spans
            if span.former_owner is not None
            and span.former_owner.incarnation == keyspace.UNKNOWN_OWNER
        )

    def _ask_for_missing(self) -> bool:
        """Returns whether all upstreams have released what is not theirs.

        An owner that was never seen, as it is cut off from the store, cannot be
        asked. Then the keys wait until the last grants have lapsed.
        """
        is_complete = not self._names_unseen_owner()
        for owner in self._owners.not_ended():
            if owner.incarnation in self._elsewhere:
                is_complete = False
                continue
            answered = self._answered.setdefault(owner.incarnation, set())
            for keys in keyspace.ranges_of_others(
                self._assignment, owner.incarnation
            ):
                if keys in answered:
                    continue
                is_complete = False
                if (owner.incarnation, keys) not in self._asked:
                    self._asked.add((owner.incarnation, keys))
                    self._group.create_task(self._release(owner, keys))
        return is_complete

    def _names_unseen_owner(self) -> bool:
        """Returns whether the assignment names an owner that was not seen."""
        return any(
            span.owner is not None
            and span.owner not in self._owners.ended
            and self._owners.holder_of_grants(span.owner) is None
            for span in self._assignment.spans
        )

    async def _release(
        self, owner: key_owners.KeyOwner, keys: tuple[int, int]
    ) -> None:
        request = http_messages.encode_release_request(
            owner.address,
            owner.incarnation[0],
            *keys,
            self._assignment.top_epoch,
        )
        result = await self._owners.send_order(
            owner,
            request,
            key_owners.RELEASE_TIMEOUT_S,
            self._may_send_orders,
            on_new_connection=True,
        )
        if result.status == 200:
            self._answered[owner.incarnation].add(keys)
        elif result.status == 421:
            self._elsewhere.add(owner.incarnation)
        else:
            await asyncio.sleep(key_owners.ORDER_RETRY_S)
        self._asked.discard((owner.incarnation, keys))
