"""Keeps and lends the rates to which upstreams limit their requests.

An upstream in need names in its answers how many requests a second it takes
from all daemons together. One daemon hears it; the leader tells the others, and
lends each request to such an upstream to the daemon that needs it.
"""

from collections.abc import Container
from collections.abc import Iterable
import dataclasses

from sardinehill.core import fleet_messages

# What is not used may be lent later, up to the requests of this time.
MAX_UNUSED_S = 0.25
# An upstream that takes less than this still gets this many requests a second,
# as only its answers show when the limit ends.
MIN_RATE_PER_S = 0.2
# The end of a limit is remembered for this time, in which all daemons learn of
# it.
ENDED_RETENTION_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _NamedLimit:
    """What an upstream last said of its limit.

    Attributes:
      rate_per_s: the requests a second that it takes from all daemons, or None
        if it names no limit any more.
      heard_s: when it said so, by the local clock.
    """

    rate_per_s: float | None
    heard_s: float


class NamedLimits:
    """The limits of all upstreams, as far as this daemon knows them.

    Public attributes:
      has_changed: whether a rate has changed; the reader resets it.
    """

    def __init__(self) -> None:
        self._limits: dict[str, _NamedLimit] = {}
        # Heard from upstreams since the last report to the leader.
        self._unreported: dict[str, _NamedLimit] = {}
        self.has_changed = False

    def rate_per_s(self, upstream: str) -> float | None:
        """Returns the rate that an upstream names as its limit, or None."""
        limit = self._limits.get(upstream)
        return None if limit is None else limit.rate_per_s

    def record_answer(
        self,
        upstream: str,
        rate_per_s: float | None,
        sent_s: float,
        answered_s: float,
    ) -> None:
        """Records the limit that an answer names, or that it names none.

        Args:
          upstream: the id of the upstream that answered.
          rate_per_s: the limit, or None.
          sent_s: when the request was sent. An answer without a limit may have
            been under way when the limit was first named.
          answered_s: when the answer arrived.
        """
        if rate_per_s is None and upstream not in self._limits:
            return
        heard_s = sent_s if rate_per_s is None else answered_s
        limit = _NamedLimit(rate_per_s, heard_s)
        if self._record(upstream, limit):
            self._unreported[upstream] = limit

    def record_news(
        self, all_news: Iterable[fleet_messages.LimitNews], now_s: float
    ) -> None:
        """Records what peers have heard, unless later news are known."""
        for news in all_news:
            limit = _NamedLimit(news.rate_per_s, now_s - news.age_s)
            self._record(news.upstream, limit)

    def _record(self, upstream: str, limit: _NamedLimit) -> bool:
        known = self._limits.get(upstream)
        if known is not None and limit.heard_s <= known.heard_s:
            return False
        if self.rate_per_s(upstream) != limit.rate_per_s:
            self.has_changed = True
        self._limits[upstream] = limit
        return True

    def take_unreported(self, now_s: float) -> list[fleet_messages.LimitNews]:
        """Returns what upstreams have said since the last call."""
        unreported, self._unreported = self._unreported, {}
        return _as_news(unreported, now_s)

    def all_news(self, now_s: float) -> list[fleet_messages.LimitNews]:
        """Returns all limits, and those that ended a short time ago."""
        return _as_news(self._limits, now_s)

    def forget(self, upstreams: Container[str], now_s: float) -> None:
        """Forgets upstreams that do not exist any more, and ended limits.

        Args:
          upstreams: the ids of all upstreams.
          now_s: the current time.
        """
        self._limits = {
            upstream: limit
            for upstream, limit in self._limits.items()
            if upstream in upstreams
            and (
                limit.rate_per_s is not None
                or now_s - limit.heard_s < ENDED_RETENTION_S
            )
        }


def _as_news(
    limits: dict[str, _NamedLimit], now_s: float
) -> list[fleet_messages.LimitNews]:
    return [
        fleet_messages.LimitNews(
            upstream, limit.rate_per_s, now_s - limit.heard_s
        )
        for upstream, limit in limits.items()
    ]


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The requests that may be lent for one upstream.

    Attributes:
      tokens: how many may be lent at `updated_s`.
      updated_s: when they were counted.
    """

    tokens: float
    updated_s: float


class LimitedSendLender:
    """Lends requests to limited upstreams during one term of a leader."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def lend(
        self,
        request: fleet_messages.TokenRequest,
        rate_per_s: float | None,
        now_s: float,
    ) -> fleet_messages.TokenLoan:
        """Returns the loan of requests to one upstream.

        Args:
          request: names the upstream and how many requests are wanted.
          rate_per_s: the limit that the upstream names, or None if it names
            none; then all are lent.
          now_s: the current time.
        """
        if rate_per_s is None:
            self._buckets.pop(request.name, None)
            return fleet_messages.TokenLoan(request.name, request.tokens, 0.0)
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        bucket = self._buckets.setdefault(request.name, _Bucket(0.0, now_s))
        bucket.tokens = min(
            bucket.tokens + (now_s - bucket.updated_s) * rate_per_s,
            1.0 + MAX_UNUSED_S * rate_per_s,
        )
        bucket.updated_s = now_s
        lent = min(request.tokens, int(bucket.tokens))
        bucket.tokens -= lent
        wait_s = 0.0
        if lent < request.tokens:
            wait_s = (1.0 - bucket.tokens) / rate_per_s
        return fleet_messages.TokenLoan(request.name, lent, wait_s)

    def forget(self, upstreams: Container[str]) -> None:
        """Forgets the upstreams that do not exist any more."""
        self._buckets = {
            upstream: bucket
            for upstream, bucket in self._buckets.items()
            if upstream in upstreams
        }
