"""Remembers which upstreams have said in an answer that they leave.

The store may say so later, or not at all. The daemon that receives the answer
reports it to the leader, which tells the others.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import heapq

from sardinehill.core import fleet_messages
from sardinehill.core import keyspace
from sardinehill.core import routes

# An incarnation that is not listed is remembered for this long, as a daemon may
# be told that it leaves before the daemon reads its entry in the store.
UNLISTED_RETENTION_S = 15.0
# A message tells of at most this many upstreams. The latest come first, as the
# store lists earlier ones as draining by then.
MAX_NEWS_COUNT = 64


@dataclasses.dataclass(slots=True)
class _Departure:
    """What is known of an upstream that leaves, by the local clock.

    Attributes:
      said_s: when it first said so.
      learnt_s: when this daemon learnt of it.
    """

    said_s: float
    learnt_s: float


class LeavingUpstreams:
    """The incarnations that have said that they leave, as far as known."""

    def __init__(self) -> None:
        self._departures: dict[keyspace.Incarnation, _Departure] = {}
        # What the leader has not been told yet, and what followers have not.
        self._unreported: set[keyspace.Incarnation] = set()
        self._unpublished: set[keyspace.Incarnation] = set()

    def said_s(self, incarnation: keyspace.Incarnation) -> float | None:
        """Returns when an incarnation first said that it leaves, or None."""
        departure = self._departures.get(incarnation)
        return None if departure is None else departure.said_s

    def incarnations(self) -> list[keyspace.Incarnation]:
        """Returns all incarnations that have said that they leave."""
        return list(self._departures)

    @property
    def has_unpublished(self) -> bool:
        """Whether the followers of this daemon have to be told something."""
        return bool(self._unpublished)

    def record_answer(
        self, incarnation: keyspace.Incarnation, now_s: float
    ) -> None:
        """Records that an answer says that an incarnation leaves."""
        if self._record(incarnation, now_s, now_s):
            self._unreported.add(incarnation)

    def record_news(
        self,
        all_news: Iterable[fleet_messages.LeavingNews],
        now_s: float,
        is_passed_on: bool,
    ) -> None:
        """Records what peers know.

        Args:
          all_news: what they know.
          now_s: the current time.
          is_passed_on: whether the leader has to be told, too.
        """
        for news in all_news:
            is_new = self._record(news.incarnation, now_s - news.age_s, now_s)
            if is_new and is_passed_on:
                self._unreported.add(news.incarnation)

    def _record(
        self, incarnation: keyspace.Incarnation, said_s: float, now_s: float
    ) -> bool:
        """Records when an incarnation said so; returns whether that is new."""
        known = self._departures.get(incarnation)
        if known is not None:
            known.said_s = min(known.said_s, said_s)
            return False
        self._departures[incarnation] = _Departure(said_s, now_s)
        self._unpublished.add(incarnation)
        return True

    def report_all(self) -> None:
        """Lets the next reports contain all that is known, for a new leader."""
        self._unreported = set(self._departures)

    def take_unreported(self, now_s: float) -> list[fleet_messages.LeavingNews]:
        """Returns what the leader has to be told; the rest stays for later."""
        return self._take(self._unreported, now_s)

    def take_unpublished(
        self, now_s: float
    ) -> list[fleet_messages.LeavingNews]:
        """Returns what followers have to be told; the rest stays for later."""
        return self._take(self._unpublished, now_s)

    def latest_news(self, now_s: float) -> list[fleet_messages.LeavingNews]:
        """Returns what a daemon that begins to follow this one is told."""
        return self._news_of(self._latest(self._departures), now_s)

    def _take(
        self, pending: set[keyspace.Incarnation], now_s: float
    ) -> list[fleet_messages.LeavingNews]:
        taken = self._latest(pending)
        pending.difference_update(taken)
        return self._news_of(taken, now_s)

    def _latest(
        self, incarnations: Iterable[keyspace.Incarnation]
    ) -> list[keyspace.Incarnation]:
        return heapq.nlargest(
            MAX_NEWS_COUNT,
            incarnations,
            key=lambda incarnation: self._departures[incarnation].said_s,
        )

    def _news_of(
        self, incarnations: Iterable[keyspace.Incarnation], now_s: float
    ) -> list[fleet_messages.LeavingNews]:
        return [
            fleet_messages.LeavingNews(
                incarnation, now_s - self._departures[incarnation].said_s
            )
            for incarnation in incarnations
        ]

    def forget(
        self, upstreams: Mapping[str, routes.Upstream], now_s: float
    ) -> None:
        """Forgets incarnations that are not listed any more.

        Args:
          upstreams: all upstreams by their ids.
          now_s: the current time.
        """
        forgotten = [
            incarnation
            for incarnation, departure in self._departures.items()
            if now_s - departure.learnt_s > UNLISTED_RETENTION_S
            and not _is_listed(incarnation, upstreams)
        ]
        for incarnation in forgotten:
            del self._departures[incarnation]
            self._unreported.discard(incarnation)
            self._unpublished.discard(incarnation)


def _is_listed(
    incarnation: keyspace.Incarnation, upstreams: Mapping[str, routes.Upstream]
) -> bool:
    upstream = upstreams.get(incarnation[0])
    return upstream is not None and upstream.incarnation == incarnation
