"""Tokens of client accounts that the leader lends to daemons.

A request that a daemon's own part does not cover takes a lent token. One that
is lent counts as spent, whether it is used or its loan is lost on the way.
"""

from sardinehill.core import fleet_messages
from sardinehill.core import routes
from sardinehill.core import shares

# A new leader lends nothing for so long: the one before may still be lending.
QUIET_S = 1.0


class Lender:
    """What a leader lends in one term."""

    def __init__(self, allowance: shares.Allowance, now_s: float):
        self._allowance = allowance
        self._since_s = now_s + QUIET_S
        self._buckets: dict[str, shares.Bucket] = {}

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
        if bucket is None:
            # The tokens of earlier terms count as spent.
            bucket = shares.Bucket(self._since_s, first_share=0.0)
            bucket.set_terms(part, self._since_s)
            self._buckets[account.name] = bucket
        bucket.set_terms(part, now_s)
        if now_s < self._since_s:
            return fleet_messages.Loan(account.name, 0, self._since_s - now_s)
        tokens = bucket.take_some(wish.tokens, now_s)
        wait_s = 0.0
        if tokens < wish.tokens:
            wait_s = bucket.next_token_s(now_s)
        return fleet_messages.Loan(account.name, tokens, wait_s)
