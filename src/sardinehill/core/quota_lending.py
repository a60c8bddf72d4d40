"""Lends client accounts' tokens from the leader to daemons.

A request that exceeds the daemon's own share of an account uses a lent token. A
lent token counts as spent, whether it is used or its loan is lost in transit.
"""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import fleet_messages
from sardinehill.core import quota_shares
from sardinehill.core import routes

# A leader that lost contact with the others may still lend for this time.
PARTITIONED_LEADER_WAIT_S = 0.5
# The ratio of the previous leader's last reported tokens that a new leader
# assumes to be still available.
INHERITED_TOKENS_RATIO = 0.5
# If no daemon knows a leader, the whole fleet was down. This ratio of the burst
# counts as earned while it was down.
RESTART_BURST_RATIO = 0.25
# Refused requests are scheduled to return at most this much later, as callers
# wait only for a part of their timeout.
MAX_RETURN_WAIT_S = 2.0
MIN_RATE_PER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LendingStart:
    """When and with which tokens a new leader starts to lend.

    Attributes:
      lends_from_s: when it starts to lend.
      inherited_tokens: the tokens that the previous leader had left, by
        account.
      is_restart: whether the whole fleet has just started.
    """

    lends_from_s: float
    inherited_tokens: Mapping[str, float]
    is_restart: bool = False


def lending_start(
    now_s: float,
    previous_table: fleet_messages.LeaderTable | None,
    is_restart: bool,
) -> LendingStart:
    """Returns when and with which tokens a new leader starts to lend.

    Args:
      now_s: when it became the leader.
      previous_table: the last table of the previous leader, or None.
      is_restart: whether no daemon knows a previous leader.
    """
    if is_restart:
        return LendingStart(now_s, {}, is_restart=True)
    if previous_table is None:
        return LendingStart(now_s + PARTITIONED_LEADER_WAIT_S, {})
    wait_s = 0.0 if previous_table.resigned else PARTITIONED_LEADER_WAIT_S
    return LendingStart(now_s + wait_s, previous_table.lendable)


class Lender:
    """Lends tokens of all client accounts during one term of a leader."""

    def __init__(self, quota: quota_shares.FleetQuota, start: LendingStart):
        self._quota = quota
        self._start = start
        self._buckets: dict[str, quota_shares.TokenBucket] = {}
        self._next_return_s: dict[str, float] = {}

    def lendable_tokens(self, now_s: float) -> dict[str, float]:
        """Returns how many tokens can be lent, by account."""
        return {
            name: bucket.level(now_s) for name, bucket in self._buckets.items()
        }

    def lend(
        self,
        account: routes.ClientAccount,
        request: fleet_messages.TokenRequest,
        daemons: int,
        now_s: float,
    ) -> fleet_messages.TokenLoan:
        """Returns the loan of an account's tokens to a daemon.

        Args:
          account: the account in the configuration in force.
          request: the daemon's token request.
          daemons: how many daemons share the quota.
          now_s: the current time.
        """
        limit = self._quota.lendable_limit(account, daemons)
        bucket = self._buckets.get(account.name)
        lends_from_s = self._start.lends_from_s
        if bucket is None:
            bucket = quota_shares.TokenBucket(
                lends_from_s, self._first_tokens(account, limit)
            )
            self._buckets[account.name] = bucket
        bucket.set_limit(limit, now_s)
        if now_s < lends_from_s:
            return fleet_messages.TokenLoan(
                account.name, 0, lends_from_s - now_s
            )
        tokens = bucket.take_available(request.tokens, now_s)
        wait_s = 0.0
        if tokens < request.tokens:
            next_token_s = now_s + bucket.next_token_in_s(now_s)
            missing = request.tokens - tokens
            wait_s = self._schedule_return(
                account.name, next_token_s, missing, limit.rate_per_s, now_s
            )
        return fleet_messages.TokenLoan(account.name, tokens, wait_s)

    def _schedule_return(
        self,
        account: str,
        next_token_s: float,
        requests: int,
        rate_per_s: float,
        now_s: float,
    ) -> float:
        """Returns when refused requests should return, in seconds from now.

        Each refused request is scheduled for a token of its own. Told the time
        of the next token, all of them would return for that one.
        """
        return_s = max(next_token_s, self._next_return_s.get(account, 0.0))
        return_s = min(return_s, now_s + MAX_RETURN_WAIT_S)
        self._next_return_s[account] = return_s + requests / max(
            rate_per_s, MIN_RATE_PER_S
        )
        return return_s - now_s

    def _first_tokens(
        self, account: routes.ClientAccount, limit: quota_shares.RateLimit
    ) -> float:
        if self._start.is_restart:
            return limit.burst * RESTART_BURST_RATIO
        inherited = self._start.inherited_tokens.get(account.name, 0.0)
        return min(inherited, limit.burst) * INHERITED_TOKENS_RATIO
