"""Tokens of client accounts that the leader lends to daemons.

A request that a daemon's own part does not cover takes a lent token. One that
is lent counts as spent, whether it is used or its loan is lost on the way.
"""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import fleet_messages
from sardinehill.core import quota_shares
from sardinehill.core import routes

# A leader that was cut off may still lend for a while.
PARTITIONED_LEADER_WAIT_S = 0.5
# How much of what the leader before had last told is taken as still there.
INHERITED_TOKENS_RATIO = 0.5
# Where no daemon knows of a leader, all were down, and this share of the burst
# has been earned meanwhile.
RESTART_BURST_RATIO = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class LendingStart:
    """What a leader knows of what the one before has lent.

    Attributes:
      lends_from_s: when it begins to lend.
      inherited_tokens: what the one before had left, by account.
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
    """Returns how a new leader starts to lend.

    Args:
      now_s: when it leads.
      previous_table: the last table of the leader before, or None.
      is_restart: whether no daemon knows of a leader before.
    """
    if is_restart:
        return LendingStart(now_s, {}, is_restart=True)
    if previous_table is None:
        return LendingStart(now_s + PARTITIONED_LEADER_WAIT_S, {})
    quiet_s = 0.0 if previous_table.resigned else PARTITIONED_LEADER_WAIT_S
    return LendingStart(now_s + quiet_s, previous_table.lendable)


class Lender:
    """What a leader lends in one term."""

    def __init__(
        self, allowance: quota_shares.FleetQuota, start_from: LendingStart
    ):
        self._allowance = allowance
        self._start = start_from
        self._buckets: dict[str, quota_shares.TokenBucket] = {}

    def lendable_tokens(self, now_s: float) -> dict[str, float]:
        """Returns how many tokens there are to lend, by account."""
        return {
            name: bucket.level(now_s) for name, bucket in self._buckets.items()
        }

    def lend(
        self,
        account: routes.ClientAccount,
        wish: fleet_messages.TokenRequest,
        daemons: int,
        now_s: float,
    ) -> fleet_messages.TokenLoan:
        """Returns what a daemon gets of an account's tokens.

        Args:
          account: as the configuration in force has it.
          wish: what the daemon asks for.
          daemons: among how many daemons allowances are divided.
          now_s: the time.
        """
        part = self._allowance.lendable_limit(account, daemons)
        bucket = self._buckets.get(account.name)
        since_s = self._start.lends_from_s
        if bucket is None:
            bucket = quota_shares.TokenBucket(
                since_s, self._first_tokens(account, part)
            )
            self._buckets[account.name] = bucket
        bucket.set_limit(part, now_s)
        if now_s < since_s:
            return fleet_messages.TokenLoan(account.name, 0, since_s - now_s)
        tokens = bucket.take_available(wish.tokens, now_s)
        wait_s = 0.0
        if tokens < wish.tokens:
            wait_s = bucket.next_token_in_s(now_s)
        return fleet_messages.TokenLoan(account.name, tokens, wait_s)

    def _first_tokens(
        self, account: routes.ClientAccount, part: quota_shares.RateLimit
    ) -> float:
        if self._start.is_restart:
            return part.burst * RESTART_BURST_RATIO
        left = self._start.inherited_tokens.get(account.name, 0.0)
        return min(left, part.burst) * INHERITED_TOKENS_RATIO
