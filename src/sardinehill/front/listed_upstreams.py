"""Decodes the stored entries of upstreams and logs how they change."""

from collections.abc import Callable
from typing import Any

from sardinehill import events
from sardinehill.core import routes
from sardinehill.core import store_versions
from sardinehill.core import upstream_lives
from sardinehill.platform import documents as documents_module

Json = Any


class ListedUpstreams:
    """The upstreams that the store lists, without malformed and old entries.

    Public attributes:
      by_id: the upstreams by id, including those that drain.
    """

    def __init__(self, clock_s: Callable[[], float]):
        self._lives = upstream_lives.UpstreamLives(clock_s)
        self._decoded: dict[str, tuple[Json, routes.Upstream]] = {}
        # The errors that were logged, by the name of the entry.
        self._malformed: dict[str, str] = {}
        self.by_id: dict[str, routes.Upstream] = {}

    def without_outdated(
        self, documents: dict[str, Json], revision: int
    ) -> dict[str, Json]:
        """Returns the entries without those that are older than known ones.

        A write that the store did not answer may take effect seconds later, and
        then overwrites what the upstream has written since. A restored store
        goes back to earlier entries. Such an entry is replaced by the known
        one, which may be of a later start, and that of an upstream which has
        left is dropped. Peers and daemons that start must not get them from
        here.

        Args:
          documents: the entries by name, as read.
          revision: the store's revision, for logs.
        """
        newest: dict[str, Json] = {}
        for name, document in documents.items():
            upstream = self._decode(name, document)
            known = self.by_id.get(name)
            if upstream is None or not self._lives.is_outdated(upstream):
                newest[name] = document
            else:
                _log_outdated(upstream, revision)
                if known is not None:
                    newest[name] = self._decoded[name][0]
        return newest

    def update(
        self,
        documents: dict[str, Json],
        version: store_versions.StoreVersion,
        max_age_s: float | None,
    ) -> None:
        """Decodes the entries of all upstreams.

        Args:
          documents: the entries by name, without outdated ones.
          version: the version of the store that lists them.
          max_age_s: how long ago the last change may have occurred, for logs;
            None if that is not known.
        """
        upstreams: dict[str, routes.Upstream] = {}
        for name, document in documents.items():
            upstream = self._decode(name, document)
            if upstream is not None:
                upstreams[name] = upstream
        upstreams = self._lives.list(upstreams, version)
        _log_changes(self.by_id, upstreams, version.revision, max_age_s)
        self._decoded = {
            name: (documents[name], upstream)
            for name, upstream in upstreams.items()
        }
        self.by_id = upstreams

    def _decode(self, name: str, document: Json) -> routes.Upstream | None:
        known_document, known_upstream = self._decoded.get(name, (None, None))
        if known_upstream is not None and known_document is document:
            return known_upstream
        try:
            return documents_module.decode_upstream(name, document)
        except documents_module.MalformedDocumentError as error:
            self._note_malformed(name, str(error))
            return None

    def _note_malformed(self, name: str, error: str) -> None:
        if self._malformed.get(name) != error:
            self._malformed[name] = error
            events.log(events.ENTRY_MALFORMED, name=name, error=error)


def _log_outdated(upstream: routes.Upstream, revision: int) -> None:
    events.log(
        events.REPORT_OUTDATED,
        upstream=upstream.id,
        number=upstream.report_number,
        revision=revision,
    )


def _log_changes(
    before: dict[str, routes.Upstream],
    after: dict[str, routes.Upstream],
    revision: int,
    max_age_s: float | None,
) -> None:
    for name in after.keys() - before.keys():
        events.log(
            events.UPSTREAM_FOUND,
            upstream=name,
            service=after[name].service,
            zone=after[name].zone,
            revision=revision,
        )
    for name in before.keys() - after.keys():
        events.log(
            events.UPSTREAM_GONE,
            upstream=name,
            max_age_s=max_age_s,
            revision=revision,
        )
    for name in before.keys() & after.keys():
        known, upstream = before[name], after[name]
        if (
            upstream.is_draining != known.is_draining
            or upstream.started_at_ms != known.started_at_ms
        ):
            events.log(
                events.UPSTREAM_CHANGED,
                upstream=name,
                draining=upstream.is_draining,
                born_ms=upstream.started_at_ms,
                max_age_s=max_age_s,
                revision=revision,
            )
