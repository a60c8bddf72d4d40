"""The term of a leader as ac9eea9 counted it, to compare with."""

from sardinehill.core import electorates
from sardinehill.front import leader_term


class CountsRegistrations(leader_term.LeaderTerm):
    """A mutant: the count of ac9eea9.

    It counts a majority of the registrations in this daemon's own copy, from
    which the leader removes daemons that are silent. A leader that owners of
    half of the keys refuse still ends its term, as in this build.
    """

    def _count_registrations(self) -> None:
        self._confirmation.electorate = electorates.Electorate(
            frozenset(self._registry.peer_addresses)
        )
        self._confirmation.proposed = None

    def may_send_orders(self) -> bool:
        self._count_registrations()
        return super().may_send_orders()

    def is_exclusive(self) -> bool:
        self._count_registrations()
        return super().is_exclusive()

    def _is_followed_by_majority(self) -> bool:
        self._count_registrations()
        return super()._is_followed_by_majority()

    def has_support(self, key_share) -> bool:
        return True

    async def _change_electorate(self) -> None:
        return
