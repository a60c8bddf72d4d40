"""Finds requests that end the upstreams that run them.

An upstream also ends for other reasons, and then takes requests with it that
were there by chance. A request is therefore quarantined only after several
upstreams have ended while they ran it and none has run it to an end since.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math

from sardinehill.core import fleet_messages
from sardinehill.core import request_digests

# A request is quarantined once this many upstreams have ended running it.
QUARANTINE_ENDINGS = 3
# A quarantine lasts for this long after the last of them.
QUARANTINE_S = 600.0
# Endings are forgotten this long after the last one. Until then a request whose
# quarantine is over is quarantined again if it ends one more upstream.
MEMORY_S = 2 * QUARANTINE_S
# Within this time all daemons learn that an upstream ran a suspect to an end.
SURVIVAL_MEMORY_S = 10.0
MAX_SUSPECTS = 64
# Further endings of one request change nothing.
MAX_ENDINGS = 2 * QUARANTINE_ENDINGS


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A request that was under way at upstreams that ended.

    Attributes:
      endings: when upstreams ended while they ran it, by incarnation.
      survived_s: when an upstream last ran it to an end; minus infinity if that
        is not known. Earlier endings do not count.
    """

    endings: dict[str, float] = dataclasses.field(default_factory=dict)
    survived_s: float = -math.inf

    @property
    def last_s(self) -> float:
        """When the last upstream ended, or else when it was last survived."""
        return max(self.endings.values(), default=self.survived_s)


class CrashSuspects:
    """The requests that may have ended upstreams, as far as a daemon knows.

    Public attributes:
      has_changed: whether anything was learnt that the fleet should be told;
        the reader resets it.
    """

    def __init__(self) -> None:
        self._suspects: dict[bytes, _Suspect] = {}
        self._heads: frozenset[bytes] = frozenset()
        self._unreported: set[bytes] = set()
        self.has_changed = False

    def may_include(self, head_digest: bytes) -> bool:
        """Returns whether a request with this head is a suspect with some body.

        Args:
          head_digest: the result of `request_digests.head_digest`.
        """
        return head_digest in self._heads

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected."""
        return not self._heads

    def ending_count(self, digest: bytes) -> int:
        """Returns how many upstreams ended while they ran a request."""
        suspect = self._suspects.get(digest)
        return 0 if suspect is None else len(suspect.endings)

    def quarantine_s(self, digest: bytes, now_s: float) -> float:
        """Returns for how long a request is still quarantined, or 0."""
        suspect = self._suspects.get(digest)
        if suspect is None or len(suspect.endings) < QUARANTINE_ENDINGS:
            return 0.0
        return max(suspect.last_s + QUARANTINE_S - now_s, 0.0)

    def record_ending(
        self, digest: bytes, incarnation: str, now_s: float
    ) -> None:
        """Records that an upstream has ended while it ran a request.

        Args:
          digest: the request.
          incarnation: names the upstream and its start.
          now_s: the current time.
        """
        if self._add_ending(digest, incarnation, now_s):
            self._note_change(digest)

    def record_survival(self, digest: bytes, now_s: float) -> None:
        """Records that an upstream has run a request to an end."""
        if self.ending_count(digest) and self._set_survived(digest, now_s):
            self._note_change(digest)

    def record_news(
        self,
        all_news: Iterable[fleet_messages.SuspectNews],
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
            has_changed = False
            if news.survived_age_s is not None:
                has_changed = self._set_survived(
                    news.digest, now_s - news.survived_age_s
                )
            for incarnation, age_s in news.ending_ages_s.items():
                has_changed |= self._add_ending(
                    news.digest, incarnation, now_s - age_s
                )
            if has_changed:
                self.has_changed = True
                if is_passed_on:
                    self._unreported.add(news.digest)

    def _note_change(self, digest: bytes) -> None:
        self.has_changed = True
        self._unreported.add(digest)

    def _add_ending(self, digest: bytes, incarnation: str, at_s: float) -> bool:
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = _Suspect()
        if (
            incarnation in suspect.endings
            or len(suspect.endings) >= MAX_ENDINGS
            or at_s <= suspect.survived_s
        ):
            return False
        suspect.endings[incarnation] = at_s
        if digest not in self._suspects:
            self._suspects[digest] = suspect
            self._evict()
            self._update_heads()
        return True

    def _set_survived(self, digest: bytes, at_s: float) -> bool:
        suspect = self._suspects.get(digest)
        if suspect is None or at_s <= suspect.survived_s:
            return False
        suspect.survived_s = at_s
        earlier = [
            incarnation
            for incarnation, ended_s in suspect.endings.items()
            if ended_s <= at_s
        ]
        for incarnation in earlier:
            del suspect.endings[incarnation]
        return bool(earlier)

    def _evict(self) -> None:
        """Forgets the suspect with the fewest endings if there are too many."""
        if len(self._suspects) > MAX_SUSPECTS:
            least = min(
                self._suspects,
                key=lambda digest: (
                    len(self._suspects[digest].endings),
                    self._suspects[digest].last_s,
                ),
            )
            del self._suspects[least]

    def _update_heads(self) -> None:
        self._heads = frozenset(
            digest[: request_digests.HEAD_BYTES] for digest in self._suspects
        )

    def forget(self, now_s: float) -> None:
        """Forgets what is no longer needed."""
        kept = {
            digest: suspect
            for digest, suspect in self._suspects.items()
            if now_s - suspect.last_s
            < (MEMORY_S if suspect.endings else SURVIVAL_MEMORY_S)
        }
        if len(kept) < len(self._suspects):
            self._suspects = kept
            self._update_heads()

    def report_all(self) -> None:
        """Lets the next report contain all that is known, for a new leader."""
        self._unreported = set(self._suspects)

    def take_unreported(self, now_s: float) -> list[fleet_messages.SuspectNews]:
        """Returns what has become known since the last call."""
        unreported, self._unreported = self._unreported, set()
        return list(self._news_of(unreported & self._suspects.keys(), now_s))

    def all_news(self, now_s: float) -> list[fleet_messages.SuspectNews]:
        """Returns all that is known."""
        return list(self._news_of(self._suspects, now_s))

    def _news_of(
        self, digests: Iterable[bytes], now_s: float
    ) -> Iterator[fleet_messages.SuspectNews]:
        for digest in digests:
            suspect = self._suspects[digest]
            yield fleet_messages.SuspectNews(
                digest,
                {
                    incarnation: now_s - ended_s
                    for incarnation, ended_s in suspect.endings.items()
                },
                None
                if math.isinf(suspect.survived_s)
                else now_s - suspect.survived_s,
            )
