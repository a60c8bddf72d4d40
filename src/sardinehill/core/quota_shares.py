"""Client accounts' rate and burst, divided among daemons by demand.

The leader divides; each daemon spends its part from a bucket of its own. The
parts never add up to more than the whole, so the fleet keeps the rate however
many daemons stop hearing from the leader. The rest is lent by the leader where
it is asked for (`core.loans`): parts of an allowance that are smaller than one
request would serve nobody.
"""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import routes

# A part of each account that is divided evenly, for callers who turn up at
# a daemon that has had none of that account.
EVEN_SPLIT_RATIO = 0.35
# How much of a daemon's earlier demand counts at its next report.
DEMAND_RETENTION_RATIO = 0.9
# How much of what the bound leaves beyond the rate is given out.
USABLE_BURST_RATIO = 0.8
# How much of an allowance is divided ahead of demand.
PREALLOCATED_RATIO = 0.5
# Unless each daemon would have less than this of the burst: then all is lent.
MIN_PREALLOCATED_TOKENS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """One daemon's part of one client account's allowance."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class FleetQuota:
    """The fleet's bound on what an account gets in one window.

    Attributes:
      window_s: the window's length.
      over_ratio: how far beyond rate and burst the fleet may go.
      slack_requests: requests in a window beyond that.
    """

    window_s: float
    over_ratio: float
    slack_requests: float

    def daemon_limit(
        self, account: routes.ClientAccount, share: float, daemons: int
    ) -> RateLimit:
        """Returns one daemon's part.

        The rate follows demand. What the bound allows beyond the rate is
        divided evenly, as each daemon may see a few requests at once.
        """
        divided = self._preallocated_ratio(account, daemons)
        return RateLimit(
            account.rate_per_s * share * divided,
            self._usable_burst(account) * divided / max(daemons, 1),
        )

    def lendable_limit(
        self, account: routes.ClientAccount, daemons: int
    ) -> RateLimit:
        """Returns the part that the leader lends."""
        rest = 1.0 - self._preallocated_ratio(account, daemons)
        return RateLimit(
            account.rate_per_s * rest, self._usable_burst(account) * rest
        )

    def is_preallocated(
        self, account: routes.ClientAccount, daemons: int
    ) -> bool:
        """Returns whether daemons have parts of an account of their own."""
        return self._preallocated_ratio(account, daemons) > 0

    def _preallocated_ratio(
        self, account: routes.ClientAccount, daemons: int
    ) -> float:
        part = (
            self._usable_burst(account) * PREALLOCATED_RATIO / max(daemons, 1)
        )
        return PREALLOCATED_RATIO if part >= MIN_PREALLOCATED_TOKENS else 0.0

    def _usable_burst(self, account: routes.ClientAccount) -> float:
        """Returns the tokens beyond the rate that are given out at most."""
        sustained = account.rate_per_s * self.window_s
        bound = (sustained + account.burst) * (1 + self.over_ratio)
        return (bound + self.slack_requests - sustained) * USABLE_BURST_RATIO


class TokenBucket:
    """Tokens of one client account, at a daemon or to be lent.

    Args:
      now_s: from when on tokens are earned.
      tokens: how many are there at first; by default half of the burst, as
        whoever has just started may have spent some before.
    """

    def __init__(self, now_s: float, tokens: float | None = None):
        self._tokens = tokens or 0.0
        self._is_new = tokens is None
        self._updated_s = now_s
        self._limit: RateLimit | None = None

    def set_limit(self, part: RateLimit, now_s: float) -> None:
        """Changes the rate and burst; tokens beyond the burst are lost."""
        self._earn(now_s)
        if self._is_new:
            self._is_new = False
            self._tokens = part.burst / 2
        self._limit = part
        self._tokens = min(self._tokens, part.burst)

    def reserve(self, now_s: float) -> float:
        """Takes one token, also of those to come.

        Returns:
          How many seconds from now the token is earned, 0 if it is there.
        """
        self._earn(now_s)
        self._tokens -= 1.0
        if self._tokens >= 0:
            return 0.0
        rate_per_s = self._limit.rate_per_s if self._limit else 0.0
        return -self._tokens / rate_per_s if rate_per_s > 0 else 1.0

    def take_available(self, wanted: int, now_s: float) -> int:
        """Takes tokens that are there; returns how many, at most `wanted`."""
        self._earn(now_s)
        taken = min(wanted, max(0, int(self._tokens)))
        self._tokens -= taken
        return taken

    def level(self, now_s: float) -> float:
        """Returns how many tokens there are."""
        self._earn(now_s)
        return max(0.0, self._tokens)

    def next_token_in_s(self, now_s: float) -> float:
        """Returns in how many seconds there will be a token."""
        self._earn(now_s)
        rate_per_s = self._limit.rate_per_s if self._limit else 0.0
        if rate_per_s <= 0:
            return 1.0
        return max(0.0, 1.0 - self._tokens) / rate_per_s

    def return_token(self) -> None:
        """Returns a token of a request that was not sent."""
        self._tokens += 1.0

    def _earn(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        if self._limit is not None:
            earned = passed_s * self._limit.rate_per_s
            self._tokens = min(self._tokens + earned, self._limit.burst)


@dataclasses.dataclass(slots=True)
class _Demand:
    """What each daemon asks for of one account, smoothed over reports."""

    by_daemon: dict[str, float] = dataclasses.field(default_factory=dict)


class DemandTracker:
    """The leader's view of demand, and the parts that follow from it.

    A daemon that is not heard any more keeps its part in this term: it may be
    cut off and still spend it.
    """

    def __init__(self) -> None:
        self._demand: dict[str, _Demand] = {}

    def record_demand(self, daemon: str, requests: Mapping[str, float]) -> None:
        """Takes in a daemon's requests by account since its last report."""
        for account in requests:
            self._demand.setdefault(account, _Demand())
        for account, demand in self._demand.items():
            before = demand.by_daemon.get(daemon, 0.0)
            demand.by_daemon[daemon] = (
                before * DEMAND_RETENTION_RATIO + requests.get(account, 0.0)
            )

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
        return EVEN_SPLIT_RATIO * even + (1 - EVEN_SPLIT_RATIO) * part

    def accounts(self) -> list[str]:
        """Returns the accounts that anybody has reported."""
        return list(self._demand)
