"""Client accounts' rate and burst, divided among daemons by demand.

The leader divides; each daemon spends its part from a bucket of its own. The
parts never add up to more than the whole, so the fleet keeps the rate however
many daemons stop hearing from the leader.
"""

from collections.abc import Mapping
import dataclasses

# A part of each account that is divided evenly, for callers who turn up at
# a daemon that has had none of that account.
EVEN_SHARE = 0.25
DEMAND_MEMORY = 0.7
# What part of its bucket a daemon gets when its share first becomes known.
FIRST_FILL_SHARE = 0.5


class Bucket:
    """One daemon's part of one client account's allowance."""

    def __init__(self, now_s: float):
        self._tokens = 0.0
        self._filled = False
        self._at_s = now_s
        self._rate_per_s = 0.0
        self._burst = 0.0

    def set_terms(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Changes the rate and burst; tokens beyond the burst are lost."""
        self._earn(now_s)
        self._rate_per_s = rate_per_s
        self._burst = max(burst, 1.0)
        if not self._filled:
            self._filled = True
            self._tokens = self._burst * FIRST_FILL_SHARE
        self._tokens = min(self._tokens, self._burst)

    def take(self, now_s: float) -> float:
        """Takes one token.

        Returns:
          0 when a token was there, else the seconds until the next one.
        """
        self._earn(now_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        if self._rate_per_s <= 0:
            return 1.0
        return (1.0 - self._tokens) / self._rate_per_s

    def give_back(self) -> None:
        """Returns a token of a request that was not sent."""
        self._tokens = min(self._tokens + 1.0, self._burst)

    def _earn(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self._tokens = min(
            self._tokens + passed_s * self._rate_per_s, self._burst
        )


@dataclasses.dataclass(slots=True)
class _Demand:
    """What each daemon asks for of one account, smoothed over reports."""

    by_daemon: dict[str, float] = dataclasses.field(default_factory=dict)


class Divider:
    """The leader's view of demand, and the parts that follow from it."""

    def __init__(self) -> None:
        self._demand: dict[str, _Demand] = {}

    def report(self, daemon: str, requests: Mapping[str, float]) -> None:
        """Takes in a daemon's requests by account since its last report."""
        for account in requests:
            self._demand.setdefault(account, _Demand())
        for account, demand in self._demand.items():
            before = demand.by_daemon.get(daemon, 0.0)
            demand.by_daemon[daemon] = before * DEMAND_MEMORY + requests.get(
                account, 0.0
            )

    def forget(self, daemon: str) -> None:
        """Drops a daemon that has left."""
        for demand in self._demand.values():
            demand.by_daemon.pop(daemon, None)

    def share(self, account: str, daemon: str, daemons: int) -> float:
        """Returns a daemon's part of an account, from 0 to 1."""
        even = 1.0 / max(daemons, 1)
        demand = self._demand.get(account)
        if demand is None:
            return even
        total = sum(demand.by_daemon.values())
        if total <= 0:
            return even
        part = demand.by_daemon.get(daemon, 0.0) / total
        return EVEN_SHARE * even + (1 - EVEN_SHARE) * part

    def accounts(self) -> list[str]:
        """Returns the accounts that anybody has reported."""
        return list(self._demand)
