"""One token bucket for each client account, counted over all hosts together.

One daemon, the holder, keeps an account's bucket. It lends tokens to the
daemons that callers enter by, a little ahead of their demand and for a short
time. A token that is lent counts as spent, whether it is used or not. So a
lost loan or a lost borrower costs the account tokens and never gives it any.

Why no account gets more than its rate and burst:

- A loan is used within its life, counted by the borrower from the moment it
  asked. The tokens used in any window were lent in a window that is longer by
  one life. The bucket is smaller than the burst by what it earns in one life.
- A holder lends only while its member list was confirmed within `LICENCE_S`,
  counted from the beginning of the read. A holder under a newer list waits
  until every older one's licence has lapsed, and then begins with an empty
  bucket. Or the old holder hands its bucket over and lends no more.
- A holder that stays the same from one list to another keeps its bucket only
  when no list came between, or when it was licensed until it heard of the
  newer one: whoever became the holder in between is still waiting then.
- Rates of two clocks differ by at most `CLOCK_DRIFT`; every wait, life and
  rate is on the safe side by that much.
"""

import collections
import dataclasses
import enum
import math

from sardinehill.core import fleet
from sardinehill.core import placement

# The longest life of a loan. Longer loans need fewer messages, but take more
# from the burst and lock more tokens up where nobody wants them.
MAX_LOAN_LIFETIME_S = 0.25
# The shortest life of a loan, which must outlast the answer's way back.
MIN_LOAN_LIFETIME_S = 0.02
# How long a holder may lend after its member list was confirmed.
LENDING_LEASE_S = 1.0
# How much the rates of a clock and of true time may differ.
MAX_CLOCK_DRIFT_RATIO = 0.001
# How long a new holder waits for older licences to lapse. The old holder's
# clock may be slow and its own fast.
TAKEOVER_WAIT_S = LENDING_LEASE_S * (1 + 3 * MAX_CLOCK_DRIFT_RATIO)
# A borrower asks for tokens for this share of a loan's life ahead.
PREFETCH_RATIO = 0.5
# A holder lends at most this share of its level ahead of demand, so that the
# first borrower does not lock up what the next one needs at once.
MAX_PREFETCH_LEVEL_RATIO = 0.25
# A request within its rate is refused only when no token comes in this time.
TOKEN_WAIT_S = 0.1
# How long a request waits while nobody can count its account's tokens. It
# outlasts the detection of a loss and one licence.
HOLDER_WAIT_S = 3.0
# The time over which a borrower's demand is averaged.
DEMAND_AVERAGING_S = 0.5


@dataclasses.dataclass(frozen=True)
class LoanTerms:
    """How an account's tokens are lent.

    Attributes:
      rate_per_s: tokens that the bucket earns in a second.
      capacity_tokens: tokens that the bucket holds at most.
      loan_lifetime_s: how long a borrower may use what it was lent.
    """

    rate_per_s: float
    capacity_tokens: float
    loan_lifetime_s: float


_NO_TERMS = LoanTerms(0.0, 0.0, MIN_LOAN_LIFETIME_S)


class LoanStatus(enum.Enum):
    """What a holder answers to a borrower.

    Attributes:
      LENT: the tokens named were lent, perhaps none.
      NOT_HOLDER: another daemon holds the bucket, or the lists differ.
      NOT_READY: the holder may not lend yet, or not at the moment.
    """

    LENT = "lent"
    NOT_HOLDER = "not-holder"
    NOT_READY = "not-ready"


@dataclasses.dataclass(frozen=True)
class LoanDecision:
    """A holder's answer.

    Attributes:
      status: what was decided.
      tokens: tokens lent, a whole number.
      retry_after_s: seconds until another token may be there.
      epoch: the member list's epoch by which the holder decided.
    """

    status: LoanStatus
    tokens: int
    retry_after_s: float
    epoch: int


@dataclasses.dataclass(frozen=True)
class LoanRequest:
    """What a borrower asks for.

    Attributes:
      urgent_tokens: for requests that wait.
      prefetch_tokens: for requests to come.
    """

    urgent_tokens: int
    prefetch_tokens: int


def terms_for(account: fleet.ClientAccountConfig) -> LoanTerms:
    """Returns terms under which no window exceeds the rate and the burst."""
    rate_per_s = account.rate_per_s / (1 + 2 * MAX_CLOCK_DRIFT_RATIO)
    burst_tokens = account.burst_requests
    if rate_per_s <= 0 or burst_tokens < 1:
        return LoanTerms(0.0, 0.0, MIN_LOAN_LIFETIME_S)
    spare_s = (burst_tokens - 1) / (2 * rate_per_s)
    life_s = min(MAX_LOAN_LIFETIME_S, spare_s)
    if life_s >= MIN_LOAN_LIFETIME_S:
        earned_tokens = rate_per_s * life_s * (1 + 3 * MAX_CLOCK_DRIFT_RATIO)
        return LoanTerms(rate_per_s, burst_tokens - earned_tokens, life_s)
    # The burst has no room for one loan's life. With room for a single token
    # the same bound holds when each token is earned one life later.
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
        """Makes a bucket that earns nothing before it opens.

        Args:
          terms: how the tokens are lent.
          opens_at_s: when it begins to earn and to lend.
          tokens: what it holds then.
        """
        self._terms = terms
        self._opens_at_s = opens_at_s
        self._tokens = min(tokens, terms.capacity_tokens)
        self._updated_s = opens_at_s

    @property
    def opens_at_s(self) -> float:
        """When it began, or begins, to earn and to lend."""
        return self._opens_at_s

    def is_open(self, now_s: float) -> bool:
        """Returns whether the bucket may lend."""
        return now_s >= self._opens_at_s

    def opens_in_s(self, now_s: float) -> float:
        """Returns the seconds until the bucket opens, 0 when it is open."""
        return max(0.0, self._opens_at_s - now_s)

    def level(self, now_s: float) -> float:
        """Returns the tokens held."""
        self._earn(now_s)
        return self._tokens

    def set_terms(self, terms: LoanTerms, now_s: float) -> None:
        """Goes on under other terms, when the configuration changed."""
        if terms == self._terms:
            return
        self._earn(now_s)
        self._terms = terms
        self._tokens = min(self._tokens, terms.capacity_tokens)

    def lend(self, request: LoanRequest, now_s: float) -> int:
        """Takes out as many whole tokens as a wish can be given."""
        self._earn(now_s)
        urgent = min(request.urgent_tokens, math.floor(self._tokens))
        rest = (self._tokens - urgent) * MAX_PREFETCH_LEVEL_RATIO
        ahead = min(request.prefetch_tokens, math.floor(rest))
        self._tokens -= urgent + ahead
        return urgent + ahead

    def next_token_in_s(self, now_s: float) -> float:
        """Returns the seconds until a whole token is there."""
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
    """The buckets that one daemon holds, and its licence to lend."""

    def __init__(self, name: str):
        """Makes a holder that knows no member list yet.

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
        """The epoch of the member list known, -1 for none."""
        return self._epoch

    @property
    def members(self) -> list[str]:
        """The members of that list."""
        return self._members

    def adopt_members(
        self,
        epoch: int,
        members: list[str],
        now_s: float,
        previous_epoch: int | None = None,
    ) -> None:
        """Goes over to a newer member list.

        Args:
          epoch: the list's epoch; epochs only grow.
          members: the members' names.
          now_s: the time now.
          previous_epoch: the epoch of the list just before, if that is known.
            Without it no bucket is handed over: another daemon may have held
            it under a list that neither side has seen.
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
        # The confirmation was of the old list; one of the new list follows.
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
        """Notes that a member list was the newest.

        Args:
          epoch: the list's epoch.
          began_s: when the read began that showed it, by this daemon's clock.
        """
        if epoch == self._epoch:
            self._confirmed_s = max(self._confirmed_s, began_s)

    def confirmation_age_s(self, now_s: float) -> float:
        """Returns for how long its member list has not been confirmed."""
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
        """Decides on a borrower's wish.

        Args:
          account: the client account.
          terms: its terms by the configuration known here.
          epoch: the epoch of the member list known to the borrower.
          request: what it asks for.
          now_s: the time now.
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

    def duty_held_since_s(self, duty: str, now_s: float) -> float | None:
        """Returns since when no other daemon can hold a duty.

        The same rule that makes one daemon an account's holder makes one
        daemon the holder of any other duty that is spread by its name.

        Returns:
          The time, or None while another daemon holds it or still may.
        """
        if holder_of(duty, self._members) != self._name:
            return None
        bucket = self._bucket(duty, _NO_TERMS)
        if not self.has_lending_lease(now_s) or not bucket.is_open(now_s):
            return None
        return bucket.opens_at_s

    def ensure_bucket(self, account: str, terms: LoanTerms) -> None:
        """Makes the bucket of an account held here, if it has none yet.

        Called for every account now and then: a bucket that was only made on
        the first wish would have nothing to hand over before.
        """
        if holder_of(account, self._members) == self._name:
            self._bucket(account, terms)

    def previous_holder(self, account: str, now_s: float) -> str | None:
        """Returns the daemon to ask for an account's bucket, if any.

        That is the holder under the list before, when this daemon knew that
        list and its own bucket has not opened yet.
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
        """Gives a bucket away to the holder under the next member list.

        It is given once. When the answer is lost, the new holder waits until
        this daemon's licence has lapsed, as if this daemon had been lost.

        Args:
          account: the client account.
          epoch: the epoch by which the asking daemon is the holder.
          previous_epoch: the epoch of the list just before that.
          now_s: the time now.

        Returns:
          The tokens held, or None when there is nothing to give.
        """
        if epoch == self._epoch:
            bucket = self._released.pop(account, None)
        elif previous_epoch == self._epoch:
            bucket = self._buckets.pop(account, None)
            # The next list makes another daemon the holder. Until this one
            # has learnt that list it must not open the bucket anew.
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
        """Opens a bucket with what the holder before has handed over.

        Returns:
          False when it is of no use any longer: the list has changed, or the
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
        self, ruling: LoanStatus, retry_after_s: float = 0.0
    ) -> LoanDecision:
        return LoanDecision(ruling, 0, retry_after_s, self._epoch)


class BorrowedTokens:
    """The tokens of one account that one daemon may use now."""

    def __init__(self) -> None:
        self._loans: collections.deque[tuple[float, int]] = collections.deque()
        self._demand_per_s = 0.0
        self._holder_missing_s = float("-inf")
        self._updated_s: float | None = None

    def available_tokens(self, now_s: float) -> int:
        """Returns the tokens that have not lapsed."""
        while self._loans and self._loans[0][0] <= now_s:
            self._loans.popleft()
        return sum(tokens for _, tokens in self._loans)

    def try_take(self, now_s: float) -> bool:
        """Uses one token; False when there is none."""
        if not self.available_tokens(now_s):
            return False
        expires_s, tokens = self._loans.popleft()
        if tokens > 1:
            self._loans.appendleft((expires_s, tokens - 1))
        return True

    def record_request(self, now_s: float) -> None:
        """Counts one request of a caller into the demand."""
        self._decay(now_s)
        self._demand_per_s += 1 / DEMAND_AVERAGING_S

    def record_missing_holder(self, now_s: float) -> None:
        """Notes that nobody could lend."""
        self._holder_missing_s = now_s

    def max_wait_s(self, now_s: float) -> float:
        """Returns how long a request waits for a token.

        After a gap the new bucket is empty and those who waited through the
        gap come all at once. They wait on: their account is within its rate,
        and the bucket earns faster than new ones arrive.
        """
        if now_s - self._holder_missing_s <= HOLDER_WAIT_S:
            return HOLDER_WAIT_S
        return TOKEN_WAIT_S

    def next_request(
        self, terms: LoanTerms, waiting_requests: int, now_s: float
    ) -> LoanRequest | None:
        """Returns what to ask for, or None while there is enough.

        Args:
          terms: the account's terms.
          waiting_requests: requests that wait for a token.
          now_s: the time now.
        """
        held = self.available_tokens(now_s)
        self._decay(now_s)
        ahead_s = terms.loan_lifetime_s * PREFETCH_RATIO
        wanted = math.floor(self._demand_per_s * ahead_s)
        if not waiting_requests and held > wanted / 2:
            return None
        ahead = max(0, wanted - held)
        if not waiting_requests and not ahead:
            return None
        return LoanRequest(waiting_requests, ahead)

    def add_loan(self, terms: LoanTerms, tokens: int, asked_s: float) -> None:
        """Adds a loan.

        Args:
          terms: the account's terms.
          tokens: the tokens lent.
          asked_s: when it was asked for. Its life counts from there, since
            the answer may have been on its way for any time.
        """
        if tokens <= 0:
            return
        self._loans.append((asked_s + terms.loan_lifetime_s, tokens))

    def _decay(self, now_s: float) -> None:
        if self._updated_s is not None:
            age_s = max(0.0, now_s - self._updated_s)
            self._demand_per_s *= math.exp(-age_s / DEMAND_AVERAGING_S)
        self._updated_s = now_s
