"""Tokens of client accounts that the leader lends to daemons.

A request that a daemon's own part does not cover takes a lent token. One that
is lent counts as spent, whether it is used or its loan is lost on the way.
"""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import fleet_messages
from sardinehill.core import routes
from sardinehill.core import shares

# A leader that was cut off may still lend for a while.
CUT_OFF_QUIET_S = 0.5
# How much of what the leader before had last told is taken as still there.
INHERITED_SHARE = 0.5
# Where no daemon knows of a leader, all were down, and this share of the burst
# has been earned meanwhile.
RESTART_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """What a leader knows of what the one before has lent.

    Attributes:
      since_s: when it begins to lend.
      tokens: what the one before had left, by account.
      is_restart: whether the whole fleet has just started.
    """

    since_s: float
    tokens: Mapping[str, float]
    is_restart: bool = False


def start(
    now_s: float, before: fleet_messages.Table | None, is_restart: bool
) -> Start:
    """Returns how a new leader starts to lend.

    Args:
      now_s: when it leads.
      before: the last table of the leader before, or None.
      is_restart: whether no daemon knows of a leader before.
    """
    if is_restart:
        return Start(now_s, {}, is_restart=True)
    if before is None:
        return Start(now_s + CUT_OFF_QUIET_S, {})
    quiet_s = 0.0 if before.resigned else CUT_OFF_QUIET_S
    return Start(now_s + quiet_s, before.lendable)


class Lender:
    """What a leader lends in one term."""

    def __init__(self, allowance: shares.Allowance, start_from: Start):
        self._allowance = allowance
        self._start = start_from
        self._buckets: dict[str, shares.Bucket] = {}

    def left(self, now_s: float) -> dict[str, float]:
        """Returns how many tokens there are to lend, by account."""
        return {
            name: bucket.level(now_s) for name, bucket in self._buckets.items()
        }

    def lend(
        self,
        account: routes.ClientAccount,
        wish: fleet_messages.Wish,
        daemons: int,
        now_s: float,
    ) -> fleet_messages.Loan:
        """Returns what a daemon gets of an account's tokens.

        Args:
          account: as the configuration in force has it.
          wish: what the daemon asks for.
          daemons: among how many daemons allowances are divided.
          now_s: the time.
        """
        part = self._allowance.lent(account, daemons)
        bucket = self._buckets.get(account.name)
        since_s = self._start.since_s
        if bucket is None:
            bucket = shares.Bucket(since_s, self._first_tokens(account, part))
            self._buckets[account.name] = bucket
        bucket.set_terms(part, now_s)
        if now_s < since_s:
            return fleet_messages.Loan(account.name, 0, since_s - now_s)
        tokens = bucket.take_some(wish.tokens, now_s)
        wait_s = 0.0
        if tokens < wish.tokens:
            wait_s = bucket.next_token_s(now_s)
        return fleet_messages.Loan(account.name, tokens, wait_s)

    def _first_tokens(
        self, account: routes.ClientAccount, part: shares.Part
    ) -> float:
        if self._start.is_restart:
            return part.burst * RESTART_SHARE
        left = self._start.tokens.get(account.name, 0.0)
        return min(left, part.burst) * INHERITED_SHARE
