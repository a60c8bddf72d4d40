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
# An upstream that nobody has asked for during this time is forgotten. When it
# is asked for again, it may have been warm in between.
RETENTION_S = 2.0
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


@dataclasses.dataclass(slots=True)
class _ColdUpstream:
    """The loans of sends to one upstream.

    Attributes:
      lends_from_s: when the first loan may be given. Until daemons knew that
        the upstream is cold, they sent without loans, and these requests count
        as well.
      asked_s: when a daemon last asked for a loan.
      lent_times_s: when sends were lent in the last window.
    """

    lends_from_s: float
    asked_s: float = 0.0
    lent_times_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


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
        self._upstreams: dict[str, _ColdUpstream] = {}

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
        upstream = self._upstreams.setdefault(
            request.name, _ColdUpstream(now_s + WINDOW_S)
        )
        upstream.asked_s = now_s
        lends_from_s = max(self._lends_from_s, upstream.lends_from_s)
        if now_s < lends_from_s:
            return fleet_messages.TokenLoan(
                request.name, 0, lends_from_s - now_s
            )
        lent_times_s = upstream.lent_times_s
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
        """Drops the records of upstreams that nobody has asked for lately."""
        for name, upstream in list(self._upstreams.items()):
            if upstream.asked_s <= now_s - RETENTION_S:
                del self._upstreams[name]
