"""Enforces each client account's rate with one bucket for all daemons.

One daemon, the holder, keeps an account's bucket. It lends tokens to the
daemons that receive callers' requests, slightly ahead of their demand and for a
short time. A lent token counts as spent, whether it is used or not, so a lost
loan or a lost borrower costs the account tokens and never adds any.

No account gets more than its rate and burst, for these reasons:

- A loan is used within its lifetime, which the borrower counts from the moment
  of its request. The tokens used in any window were lent in a window that is
  longer by one lifetime, and the bucket is smaller than the burst by what it
  earns in one lifetime.
- A holder lends only while it has a lending lease: its member list was
  confirmed within the last `LENDING_LEASE_S`, counted from the start of the
  read. A holder under a newer list waits until the lease of every earlier
  holder has expired, and then starts with an empty bucket, unless the earlier
  holder hands its bucket over and stops lending.
- A holder that stays the same from one list to another keeps its bucket only
  when there was no list in between, or when its lease was valid until it
  learned of the newer list: any holder in between is then still waiting.
- The rates of two clocks differ by at most `MAX_CLOCK_DRIFT_RATIO`, and every
  wait, lifetime and rate includes that as a margin.
"""

import collections
import dataclasses
import enum
import math

from sardinehill.core import fleet
from sardinehill.core import placement

# The longest lifetime of a loan. Longer loans need fewer messages, but take
# more from the burst and tie up more tokens where they aren't needed.
MAX_LOAN_LIFETIME_S = 0.25
# The shortest lifetime of a loan, which must exceed the travel time of the
# answer.
MIN_LOAN_LIFETIME_S = 0.02
# How long a holder may lend after its member list was confirmed.
LENDING_LEASE_S = 1.0
# The maximum relative difference between the rate of a clock and true time.
MAX_CLOCK_DRIFT_RATIO = 0.001
# How long a new holder waits for earlier leases to expire. The earlier holder's
# clock may be slow and the new holder's clock fast.
TAKEOVER_WAIT_S = LENDING_LEASE_S * (1 + 3 * MAX_CLOCK_DRIFT_RATIO)
# A borrower requests tokens ahead for the demand expected within this ratio of
# a loan's lifetime.
PREFETCH_RATIO = 0.5
# A holder lends at most this ratio of its tokens ahead of demand, so that the
# first borrower does not tie up what the next one needs at once.
MAX_PREFETCH_LEVEL_RATIO = 0.25
# How long a request within its account's rate waits for a token before it is
# refused.
TOKEN_WAIT_S = 0.1
# How long a request waits while no holder can lend its account's tokens. It
# exceeds the time to detect a lost holder plus one lease.
HOLDER_WAIT_S = 3.0
# The time constant over which a borrower's demand is averaged.
DEMAND_AVERAGING_S = 0.5


@dataclasses.dataclass(frozen=True)
class LoanTerms:
    """How an account's tokens are lent.

    Attributes:
      rate_per_s: tokens that the bucket earns per second.
      capacity_tokens: the maximum number of tokens in the bucket.
      loan_lifetime_s: how long a borrower may use lent tokens.
    """

    rate_per_s: float
    capacity_tokens: float
    loan_lifetime_s: float


_NO_TERMS = LoanTerms(0.0, 0.0, MIN_LOAN_LIFETIME_S)


class LoanStatus(enum.Enum):
    """A holder's decision on a token request.

    Attributes:
      LENT: the given number of tokens was lent, possibly none.
      NOT_HOLDER: another daemon holds the bucket, or the lists differ.
      NOT_READY: the holder may not lend yet, or not at the moment.
    """

    LENT = "lent"
    NOT_HOLDER = "not-holder"
    NOT_READY = "not-ready"


@dataclasses.dataclass(frozen=True)
class LoanDecision:
    """A holder's answer to a token request.

    Attributes:
      status: the decision.
      tokens: the number of tokens lent.
      retry_after_s: seconds until another token may be available.
      epoch: the epoch of the holder's member list.
    """

    status: LoanStatus
    tokens: int
    retry_after_s: float
    epoch: int


@dataclasses.dataclass(frozen=True)
class LoanRequest:
    """What a borrower asks for.

    Attributes:
      urgent_tokens: tokens for requests that are waiting.
      prefetch_tokens: tokens for future requests.
    """

    urgent_tokens: int
    prefetch_tokens: int


def terms_for(account: fleet.ClientAccountConfig) -> LoanTerms:
    """Returns terms under which no window exceeds the rate and the burst."""
    rate_per_s = account.rate_per_s / (1 + 2 * MAX_CLOCK_DRIFT_RATIO)
    burst_tokens = account.burst_requests
    if rate_per_s <= 0 or burst_tokens < 1:
        return LoanTerms(0.0, 0.0, MIN_LOAN_LIFETIME_S)
    max_lifetime_s = (burst_tokens - 1) / (2 * rate_per_s)
    lifetime_s = min(MAX_LOAN_LIFETIME_S, max_lifetime_s)
    if lifetime_s >= MIN_LOAN_LIFETIME_S:
        earned_tokens = (
            rate_per_s * lifetime_s * (1 + 3 * MAX_CLOCK_DRIFT_RATIO)
        )
        return LoanTerms(rate_per_s, burst_tokens - earned_tokens, lifetime_s)
    # The burst is too small for the tokens earned in one loan lifetime. With a
    # capacity of a single token the same limit holds when each token is earned
    # one lifetime later.
    slower_per_s = 1 / (
        1 / rate_per_s + MIN_LOAN_LIFETIME_S * (1 + 3 * MAX_CLOCK_DRIFT_RATIO)
    )
    return LoanTerms(slower_per_s, 1.0, MIN_LOAN_LIFETIME_S)


def holder_of(account: str, members: list[str]) -> str | None:
    """Returns the member that holds an account's bucket."""
    return placement.rendezvous(f"tokens\0{account}", members)


class LendingBucket:
    """An account's bucket at its holder."""

    def __init__(
        self, terms: LoanTerms, opens_at_s: float, tokens: float = 0.0
    ):
        """Creates a bucket that earns nothing before it opens.

        Args:
          terms: how the tokens are lent.
          opens_at_s: when it starts to earn and to lend.
          tokens: the tokens that it holds then.
        """
        self._terms = terms
        self._opens_at_s = opens_at_s
        self._tokens = min(tokens, terms.capacity_tokens)
        self._updated_s = opens_at_s

    @property
    def opens_at_s(self) -> float:
        """The time from which it earns and lends."""
        return self._opens_at_s

    def is_open(self, now_s: float) -> bool:
        """Returns whether the bucket may lend."""
        return now_s >= self._opens_at_s

    def opens_in_s(self, now_s: float) -> float:
        """Returns the seconds until the bucket opens, 0 when it is open."""
        return max(0.0, self._opens_at_s - now_s)

    def level(self, now_s: float) -> float:
        """Returns the number of tokens in the bucket."""
        self._earn(now_s)
        return self._tokens

    def set_terms(self, terms: LoanTerms, now_s: float) -> None:
        """Applies new terms after a change of configuration."""
        if terms == self._terms:
            return
        self._earn(now_s)
        self._terms = terms
        self._tokens = min(self._tokens, terms.capacity_tokens)

    def lend(self, request: LoanRequest, now_s: float) -> int:
        """Takes as many whole tokens as a request can be granted."""
        self._earn(now_s)
        urgent = min(request.urgent_tokens, math.floor(self._tokens))
        prefetchable = (self._tokens - urgent) * MAX_PREFETCH_LEVEL_RATIO
        prefetch = min(request.prefetch_tokens, math.floor(prefetchable))
        self._tokens -= urgent + prefetch
        return urgent + prefetch

    def next_token_in_s(self, now_s: float) -> float:
        """Returns the seconds until a whole token is available."""
        self._earn(now_s)
        if self._tokens >= 1:
            return 0.0
        if self._terms.rate_per_s <= 0:
            return 60.0
        return (1 - self._tokens) / self._terms.rate_per_s

    def _earn(self, now_s: float) -> None:
        if now_s <= self._updated_s:
            return
        earned = (now_s - self._updated_s) * self._terms.rate_per_s
        self._tokens = min(self._tokens + earned, self._terms.capacity_tokens)
        self._updated_s = now_s


class BucketHolder:
    """The buckets that one daemon holds, and its lease to lend from them."""

    def __init__(self, name: str):
        """Creates a holder without a member list.

        Args:
          name: this daemon's name in the member list.
        """
        self._name = name
        self._epoch = -1
        self._members: list[str] = []
        self._previous_members: list[str] = []
        self._adopted_s = float("-inf")
        self._confirmed_s = float("-inf")
        self._buckets: dict[str, LendingBucket] = {}
        self._released: dict[str, LendingBucket] = {}

    @property
    def epoch(self) -> int:
        """The epoch of the current member list, -1 for none."""
        return self._epoch

    @property
    def members(self) -> list[str]:
        """The members in the current list."""
        return self._members

    def adopt_members(
        self,
        epoch: int,
        members: list[str],
        now_s: float,
        previous_epoch: int | None = None,
    ) -> None:
        """Switches to a newer member list.

        Args:
          epoch: the list's epoch; epochs only increase.
          members: the members' names.
          now_s: the current time.
          previous_epoch: the epoch of the list just before, if known. Without
            it no bucket is handed over, because another daemon may have held it
            under a list that neither side has seen.
        """
        if epoch <= self._epoch:
            return
        consecutive = previous_epoch == self._epoch
        kept = (
            self._buckets
            if consecutive or self.has_lending_lease(now_s)
            else {}
        )
        released = self._buckets if consecutive else {}
        self._previous_members = self._members if consecutive else []
        self._epoch = epoch
        self._members = members
        self._adopted_s = now_s
        # The confirmation was for the old list; the new one has none yet.
        self._confirmed_s = float("-inf")
        self._buckets = {
            account: bucket
            for account, bucket in kept.items()
            if holder_of(account, members) == self._name
        }
        self._released = {
            account: bucket
            for account, bucket in released.items()
            if holder_of(account, members) != self._name
        }

    def confirm_members(self, epoch: int, began_s: float) -> None:
        """Records that a member list was the newest.

        Args:
          epoch: the list's epoch.
          began_s: when the read that showed it began, by this daemon's clock.
        """
        if epoch == self._epoch:
            self._confirmed_s = max(self._confirmed_s, began_s)

    def confirmation_age_s(self, now_s: float) -> float:
        """Returns the seconds since the member list was last confirmed."""
        return now_s - self._confirmed_s

    def has_lending_lease(self, now_s: float) -> bool:
        """Returns whether this daemon may lend at all."""
        return self.confirmation_age_s(now_s) < LENDING_LEASE_S

    def lend(
        self,
        account: str,
        terms: LoanTerms,
        epoch: int,
        request: LoanRequest,
        now_s: float,
    ) -> LoanDecision:
        """Decides on a borrower's token request.

        Args:
          account: the client account.
          terms: its terms according to the configuration known here.
          epoch: the epoch of the borrower's member list.
          request: what the borrower asks for.
          now_s: the current time.
        """
        if epoch != self._epoch:
            return self._decline(LoanStatus.NOT_HOLDER)
        if holder_of(account, self._members) != self._name:
            return self._decline(LoanStatus.NOT_HOLDER)
        bucket = self._bucket(account, terms)
        if not self.has_lending_lease(now_s):
            return self._decline(LoanStatus.NOT_READY, MIN_LOAN_LIFETIME_S)
        if not bucket.is_open(now_s):
            return self._decline(LoanStatus.NOT_READY, bucket.opens_in_s(now_s))
        bucket.set_terms(terms, now_s)
        tokens = bucket.lend(request, now_s)
        wait_s = bucket.next_token_in_s(now_s)
        return LoanDecision(LoanStatus.LENT, tokens, wait_s, self._epoch)

    def scope_held_since_s(self, scope: str, now_s: float) -> float | None:
        """Returns the time since which no other daemon can hold a scope.

        The rule that selects one daemon as an account's holder also selects the
        holder of any other scope that is assigned by its name.

        Returns:
          The time, or None while another daemon holds the scope or may still
          hold it.
        """
        if holder_of(scope, self._members) != self._name:
            return None
        bucket = self._bucket(scope, _NO_TERMS)
        if not self.has_lending_lease(now_s) or not bucket.is_open(now_s):
            return None
        return bucket.opens_at_s

    def ensure_bucket(self, account: str, terms: LoanTerms) -> None:
        """Creates the bucket of an account held here, if there is none yet.

        This is called periodically for every account, because a bucket created
        only on the first request could not be handed over before that request.
        """
        if holder_of(account, self._members) == self._name:
            self._bucket(account, terms)

    def previous_holder(self, account: str, now_s: float) -> str | None:
        """Returns the daemon to ask for an account's bucket, if any.

        That is the holder under the previous list, provided that this daemon
        knew that list and its own bucket has not opened yet.
        """
        if holder_of(account, self._members) != self._name:
            return None
        bucket = self._buckets.get(account)
        if bucket is not None and bucket.is_open(now_s):
            return None
        previous = holder_of(account, self._previous_members)
        return None if previous == self._name else previous

    def hand_over_bucket(
        self, account: str, epoch: int, previous_epoch: int, now_s: float
    ) -> float | None:
        """Hands a bucket over to the holder under the next member list.

        A bucket is handed over once. If the answer is lost, the new holder
        waits until this daemon's lease has expired, as if this daemon had been
        lost.

        Args:
          account: the client account.
          epoch: the epoch under which the requesting daemon is the holder.
          previous_epoch: the epoch of the list just before that.
          now_s: the current time.

        Returns:
          The tokens in the bucket, or None when there is nothing to hand over.
        """
        if epoch == self._epoch:
            bucket = self._released.pop(account, None)
        elif previous_epoch == self._epoch:
            bucket = self._buckets.pop(account, None)
            # The next list makes another daemon the holder. Until this daemon
            # has learned of that list, it must not open the bucket again.
            self._adopted_s = now_s
            self._confirmed_s = float("-inf")
        else:
            return None
        if bucket is None or not bucket.is_open(now_s):
            return None
        return bucket.level(now_s)

    def receive_bucket(
        self,
        account: str,
        terms: LoanTerms,
        epoch: int,
        tokens: float,
        now_s: float,
    ) -> bool:
        """Opens a bucket with the tokens that the previous holder handed over.

        Returns:
          False when it is no longer needed, because the list has changed or the
          bucket has opened in the meantime.
        """
        if epoch != self._epoch:
            return False
        if self.previous_holder(account, now_s) is None:
            return False
        self._buckets[account] = LendingBucket(terms, now_s, tokens)
        return True

    def _bucket(self, account: str, terms: LoanTerms) -> LendingBucket:
        bucket = self._buckets.get(account)
        if bucket is None:
            opens_at_s = self._adopted_s + TAKEOVER_WAIT_S
            bucket = self._buckets[account] = LendingBucket(terms, opens_at_s)
        return bucket

    def _decline(
        self, status: LoanStatus, retry_after_s: float = 0.0
    ) -> LoanDecision:
        return LoanDecision(status, 0, retry_after_s, self._epoch)


class BorrowedTokens:
    """The tokens of one account that one daemon may use now."""

    def __init__(self) -> None:
        self._loans: collections.deque[tuple[float, int]] = collections.deque()
        self._demand_per_s = 0.0
        self._holder_missing_s = float("-inf")
        self._updated_s: float | None = None

    def available_tokens(self, now_s: float) -> int:
        """Returns the number of tokens that have not expired."""
        while self._loans and self._loans[0][0] <= now_s:
            self._loans.popleft()
        return sum(tokens for _, tokens in self._loans)

    def try_take(self, now_s: float) -> bool:
        """Uses one token; returns False when there is none."""
        if not self.available_tokens(now_s):
            return False
        expires_s, tokens = self._loans.popleft()
        if tokens > 1:
            self._loans.appendleft((expires_s, tokens - 1))
        return True

    def record_request(self, now_s: float) -> None:
        """Adds one request of a caller to the demand."""
        self._decay(now_s)
        self._demand_per_s += 1 / DEMAND_AVERAGING_S

    def record_missing_holder(self, now_s: float) -> None:
        """Records that no holder could lend."""
        self._holder_missing_s = now_s

    def max_wait_s(self, now_s: float) -> float:
        """Returns how long a request waits for a token.

        After a time without a holder, the new bucket is empty and all waiting
        requests need a token at once. They keep waiting, because their account
        is within its rate and the bucket earns faster than new requests arrive.
        """
        if now_s - self._holder_missing_s <= HOLDER_WAIT_S:
            return HOLDER_WAIT_S
        return TOKEN_WAIT_S

    def next_request(
        self, terms: LoanTerms, waiting_requests: int, now_s: float
    ) -> LoanRequest | None:
        """Returns the tokens to request, or None while there are enough.

        Args:
          terms: the account's terms.
          waiting_requests: requests that wait for a token.
          now_s: the current time.
        """
        available = self.available_tokens(now_s)
        self._decay(now_s)
        prefetch_s = terms.loan_lifetime_s * PREFETCH_RATIO
        target = math.floor(self._demand_per_s * prefetch_s)
        if not waiting_requests and available > target / 2:
            return None
        prefetch = max(0, target - available)
        if not waiting_requests and not prefetch:
            return None
        return LoanRequest(waiting_requests, prefetch)

    def add_loan(self, terms: LoanTerms, tokens: int, asked_s: float) -> None:
        """Adds a loan.

        Args:
          terms: the account's terms.
          tokens: the tokens lent.
          asked_s: when they were requested. The lifetime counts from then,
            since the answer may have been in transit for any time.
        """
        if tokens <= 0:
            return
        self._loans.append((asked_s + terms.loan_lifetime_s, tokens))

    def _decay(self, now_s: float) -> None:
        if self._updated_s is not None:
            age_s = max(0.0, now_s - self._updated_s)
            self._demand_per_s *= math.exp(-age_s / DEMAND_AVERAGING_S)
        self._updated_s = now_s
