"""Lends the fleet's sends to cold upstreams from the leader to daemons.

This answers the load that returns to upstreams which have just started or have
become cold again. A cold upstream tolerates a few requests a second from all
daemons together, fewer than there are daemons, so a fixed part for each daemon
would be less than one request. The leader lends each send to the daemon that
needs it.
"""

import collections
import dataclasses

from sardinehill.core import fleet_messages

# A daemon sends a request at most this long after it has asked for the loan.
LOAN_VALIDITY_S = 0.1
# The bound holds for the requests that are sent within a second. Those lent in
# this window include them.
WINDOW_S = 1.0 + LOAN_VALIDITY_S + 0.05
# An earlier leader may still lend for this time after another one has taken the
# lease: as long as its term may count as confirmed.
EARLIER_LEADER_S = 1.7
MIN_WAIT_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBound:
    """The fleet-wide bound on the requests to a cold upstream.

    Attributes:
      ratio: the multiple of the service's rate for cold upstreams.
      slack_requests: further requests allowed in a second.
    """

    ratio: float
    slack_requests: float

    def sends_per_s(self, cold_rate_per_s: float) -> int:
        """Returns how many requests may be sent within a second."""
        return int(cold_rate_per_s * self.ratio + self.slack_requests)


class ColdSendLender:
    """Lends sends to cold upstreams during one term of a leader."""

    def __init__(self, term_began_s: float, earlier_leader_ended: bool):
        """Creates a lender.

        Args:
          term_began_s: when the leader's term began. It lends only once all
            loans of earlier leaders are older than the window.
          earlier_leader_ended: whether no earlier leader lends any more.
        """
        earlier_leader_s = 0.0 if earlier_leader_ended else EARLIER_LEADER_S
        self._lends_from_s = term_began_s + earlier_leader_s + WINDOW_S
        self._lent_times_s: dict[str, collections.deque[float]] = {}

    def lend(
        self,
        request: fleet_messages.TokenRequest,
        sends_per_s: int,
        now_s: float,
    ) -> fleet_messages.TokenLoan:
        """Returns the loan of sends to one upstream.

        Args:
          request: names the upstream and how many sends are wanted.
          sends_per_s: how many requests may be sent to it within a second.
          now_s: the current time.
        """
        if now_s < self._lends_from_s:
            return fleet_messages.TokenLoan(
                request.name, 0, self._lends_from_s - now_s
            )
        lent_times_s = self._lent_times_s.setdefault(
            request.name, collections.deque()
        )
        while lent_times_s and lent_times_s[0] <= now_s - WINDOW_S:
            lent_times_s.popleft()
        lent = min(request.tokens, max(0, sends_per_s - len(lent_times_s)))
        lent_times_s.extend([now_s] * lent)
        wait_s = 0.0
        if lent < request.tokens:
            oldest_s = lent_times_s[0] if lent_times_s else now_s
            wait_s = max(oldest_s + WINDOW_S - now_s, MIN_WAIT_S)
        return fleet_messages.TokenLoan(request.name, lent, wait_s)

    def forget_upstreams(self, now_s: float) -> None:
        """Drops the records of upstreams without recent loans."""
        for name, lent_times_s in list(self._lent_times_s.items()):
            if not lent_times_s or lent_times_s[-1] <= now_s - WINDOW_S:
                del self._lent_times_s[name]
