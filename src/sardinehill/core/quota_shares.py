"""Divides client accounts' rates and bursts among daemons by demand.

The leader assigns the shares, and each daemon spends its own share from a token
bucket. The shares never add up to more than the whole, so the fleet stays
within the rate however many daemons lose contact with the leader. The rest is
lent by the leader on demand (`core.quota_lending`), because shares smaller than
one request would be of no use.
"""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import routes

# The part of each account that is split evenly, for callers that arrive at a
# daemon without earlier demand for that account.
EVEN_SPLIT_RATIO = 0.35
# The ratio of a daemon's earlier demand that counts at its next report.
DEMAND_RETENTION_RATIO = 0.9
# The ratio of the tokens allowed beyond the rate that is given out.
USABLE_BURST_RATIO = 0.8
# The ratio of a quota that is divided among daemons ahead of demand.
PREALLOCATED_RATIO = 0.5
# If a daemon's share of the burst would be smaller than this, nothing is
# divided and all tokens are lent.
MIN_PREALLOCATED_TOKENS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The rate and burst of one daemon's, or the leader's, token bucket."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class FleetQuota:
    """The fleet-wide limit on the requests of an account in one window.

    Attributes:
      window_s: the window's length.
      over_ratio: the ratio by which the fleet may exceed rate and burst.
      slack_requests: further requests allowed in a window.
    """

    window_s: float
    over_ratio: float
    slack_requests: float

    def daemon_limit(
        self, account: routes.ClientAccount, share: float, daemons: int
    ) -> RateLimit:
        """Returns one daemon's rate limit.

        The rate follows demand. What the quota allows beyond the rate is
        divided evenly, because each daemon may get a few requests at once.
        """
        ratio = self._preallocated_ratio(account, daemons)
        return RateLimit(
            account.rate_per_s * share * ratio,
            self._usable_burst(account) * ratio / max(daemons, 1),
        )

    def lendable_limit(
        self, account: routes.ClientAccount, daemons: int
    ) -> RateLimit:
        """Returns the rate limit of the tokens that the leader lends."""
        ratio = 1.0 - self._preallocated_ratio(account, daemons)
        return RateLimit(
            account.rate_per_s * ratio, self._usable_burst(account) * ratio
        )

    def is_preallocated(
        self, account: routes.ClientAccount, daemons: int
    ) -> bool:
        """Returns whether daemons get shares of an account's quota."""
        return self._preallocated_ratio(account, daemons) > 0

    def _preallocated_ratio(
        self, account: routes.ClientAccount, daemons: int
    ) -> float:
        daemon_burst = (
            self._usable_burst(account) * PREALLOCATED_RATIO / max(daemons, 1)
        )
        return (
            PREALLOCATED_RATIO
            if daemon_burst >= MIN_PREALLOCATED_TOKENS
            else 0.0
        )

    def _usable_burst(self, account: routes.ClientAccount) -> float:
        """Returns the maximum number of tokens given out beyond the rate."""
        sustained_requests = account.rate_per_s * self.window_s
        bound = (sustained_requests + account.burst) * (1 + self.over_ratio)
        return (
            bound + self.slack_requests - sustained_requests
        ) * USABLE_BURST_RATIO


class TokenBucket:
    """Tokens of one client account, at a daemon or for lending."""

    def __init__(self, now_s: float, tokens: float | None = None):
        """Creates a bucket that earns tokens once `set_limit` was called.

        Args:
          now_s: the time from which tokens are earned.
          tokens: the initial tokens; by default half of the burst, because the
            previous process may have spent some before a restart.
        """
        self._tokens = tokens or 0.0
        self._is_new = tokens is None
        self._updated_s = now_s
        self._limit: RateLimit | None = None

    def set_limit(self, limit: RateLimit, now_s: float) -> None:
        """Changes the rate and burst; tokens beyond the burst are discarded."""
        self._earn(now_s)
        if self._is_new:
            self._is_new = False
            self._tokens = limit.burst / 2
        self._limit = limit
        self._tokens = min(self._tokens, limit.burst)

    def reserve(self, now_s: float) -> float:
        """Takes one token, even if it has yet to be earned.

        Returns:
          The seconds until the token is earned, 0 if it is available now.
        """
        self._earn(now_s)
        self._tokens -= 1.0
        if self._tokens >= 0:
            return 0.0
        rate_per_s = self._limit.rate_per_s if self._limit else 0.0
        return -self._tokens / rate_per_s if rate_per_s > 0 else 1.0

    def take_available(self, wanted: int, now_s: float) -> int:
        """Takes up to `wanted` available tokens and returns their number."""
        self._earn(now_s)
        taken = min(wanted, max(0, int(self._tokens)))
        self._tokens -= taken
        return taken

    def level(self, now_s: float) -> float:
        """Returns how many tokens are available."""
        self._earn(now_s)
        return max(0.0, self._tokens)

    def next_token_in_s(self, now_s: float) -> float:
        """Returns the seconds until a token is available."""
        self._earn(now_s)
        rate_per_s = self._limit.rate_per_s if self._limit else 0.0
        if rate_per_s <= 0:
            return 1.0
        return max(0.0, 1.0 - self._tokens) / rate_per_s

    def return_token(self) -> None:
        """Puts back the token of a request that was not sent."""
        self._tokens += 1.0

    def _earn(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        if self._limit is not None:
            earned = elapsed_s * self._limit.rate_per_s
            self._tokens = min(self._tokens + earned, self._limit.burst)


@dataclasses.dataclass(slots=True)
class _Demand:
    """A daemon's demand for one account, smoothed over its reports.

    Attributes:
      requests: the smoothed number of requests per report.
      report_count: how many reports the daemon had sent at the last request.
    """

    requests: float = 0.0
    report_count: int = 0


class DemandTracker:
    """The leader's view of demand, and the shares that follow from it.

    A daemon that no longer reports keeps its share during this term, since it
    may have lost contact and still spend the share.
    """

    def __init__(self) -> None:
        self._demand: dict[str, dict[str, _Demand]] = {}
        self._report_counts: dict[str, int] = {}

    def record_demand(self, daemon: str, requests: Mapping[str, float]) -> None:
        """Records a daemon's requests by account since its last report."""
        self._report_counts[daemon] = self._report_counts.get(daemon, 0) + 1
        for account, count in requests.items():
            by_daemon = self._demand.setdefault(account, {})
            demand = by_daemon.setdefault(daemon, _Demand())
            demand.requests = self._current_requests(daemon, demand) + count
            demand.report_count = self._report_counts[daemon]

    def _current_requests(self, daemon: str, demand: _Demand) -> float:
        reports_since = self._report_counts[daemon] - demand.report_count
        return demand.requests * DEMAND_RETENTION_RATIO**reports_since

    def share(self, account: str, daemon: str, daemons: int) -> float:
        """Returns a daemon's share of an account, from 0 to 1."""
        even_share = 1.0 / max(daemons, 1)
        requests = {
            name: self._current_requests(name, demand)
            for name, demand in self._demand.get(account, {}).items()
        }
        total = sum(requests.values())
        if total <= 0:
            return even_share
        demand_share = requests.get(daemon, 0.0) / total
        return (
            EVEN_SPLIT_RATIO * even_share
            + (1 - EVEN_SPLIT_RATIO) * demand_share
        )

    def accounts(self) -> list[str]:
        """Returns the accounts that any daemon has reported."""
        return list(self._demand)
