"""A client of the platform's object store."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
from typing import Any
import urllib.parse

from sardinehill import errors
from sardinehill import events
from sardinehill import http1
from sardinehill import tcp_options
from sardinehill import tolerant_json
from sardinehill.core import store_versions
from sardinehill.platform import documents as documents_module
from sardinehill.platform import names

CONNECT_TIMEOUT_S = 0.5
# A slow store takes some hundred milliseconds to answer.
CALL_TIMEOUT_S = 1.2
# The longest time for which the store waits for a change before it answers a
# watch.
WATCH_WAIT_MS = 20_000
# Added to a watch's waiting time, because the answer may arrive a little later.
WATCH_TIMEOUT_MARGIN_S = 2.0
MAX_IDLE_CONNECTIONS = 4
# Eras with more digits are malformed.
MAX_ERA_DIGITS = 5
# Objects with longer names are malformed.
MAX_NAME_CHARS = 1000
# Longer answers to watches are not read; a list comes in pages of about half of
# this.
MAX_WATCH_ANSWER_BYTES = 2 * 1024 * 1024
IDLE_TIMEOUT_S = 5.0
_MS_PER_S = 1000

Json = Any


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One object of the store.

    Attributes:
      kind: the kind of the object.
      name: the name, unique within the kind.
      revision: the revision of its last change.
      spec: the content that its writer has set.
      document: the complete object, for kinds with further fields.
    """

    kind: str
    name: str
    revision: int
    spec: Json
    document: Json


@dataclasses.dataclass(frozen=True)
class ObjectChange:
    """One event of a watch.

    Attributes:
      object: the object after the change, or before it was deleted.
      deleted: whether the object was deleted.
    """

    object: StoredObject
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    """The store's answer to a call.

    Attributes:
      status: the HTTP status.
      body: the decoded body, or None without one.
      era: the store's era.
    """

    status: int
    body: Json
    era: int


class StoreBusyError(errors.StoreError):
    """Raised when a call was refused or not sent, and so had no effect."""


class StoreReplyTooLargeError(errors.StoreReplyError):
    """Raised when an answer has more bytes than may be read."""


class WatchHistoryExpiredError(errors.StoreError):
    """Raised when a watch asks for changes that the store no longer has.

    It has discarded them, or was restored from an earlier copy.
    """


class StoreClient:
    """Calls the platform's store over pooled connections.

    Public attributes:
      call_counts: how many calls were sent, by the name of the call.
      failing_since_s: the time of the first failed call since the last
        answered one, by the loop's clock, or None. Calls of watches do not
        count.
      era: how often the store was restored from an earlier copy, as its
        answers said last. 0 if it does not say so.
    """

    def __init__(self, address: str):
        self._address = address
        self._idle: list[http1.Connection] = []
        self.call_counts: dict[str, int] = {}
        self.failing_since_s: float | None = None
        self.era = 0

    async def list_objects(
        self, kind: str, may_be_stale: bool = False
    ) -> tuple[list[StoredObject], store_versions.StoreVersion]:
        """Returns all objects of a kind, and the version to watch from.

        Args:
          kind: the kind.
          may_be_stale: whether outdated objects will do, which costs less.

        Raises:
          StoreError: the list could not be read completely.
        """
        items: list[StoredObject] = []
        after = ""
        first_version: store_versions.StoreVersion | None = None
        while True:
            query = {"after": after} if after else {}
            if may_be_stale:
                query["serializable"] = "1"
            call = "list-stale" if may_be_stale else "list"
            reply = await self._call(
                call,
                "GET",
                (kind,),
                query,
                fields=documents_module.page_fields(kind),
            )
            body = reply.body
            page = body.get("items") if isinstance(body, dict) else None
            revision = body.get("currentRev") if page is not None else None
            if not isinstance(page, list) or not isinstance(revision, int):
                raise errors.StoreReplyError(f"list of {kind}: {body!r:.200}")
            if first_version is None:
                # A watch from here also yields changes between two pages.
                first_version = store_versions.StoreVersion(reply.era, revision)
            if reply.era != first_version.era:
                # The pages before this one are of an earlier era.
                items, after, first_version = [], "", None
                continue
            items.extend(_decode_objects(kind, page))
            last_name = _last_name(page)
            if not body.get("hasMore") or last_name in (None, after):
                return items, first_version
            after = last_name or ""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns one object, or None if it does not exist.

        Raises:
          StoreError: the object could not be read.
        """
        reply = await self._call("get", "GET", (kind, name), {})
        return None if reply.status == 404 else _decode_object(kind, reply.body)

    async def get_stale(
        self, kind: str, name: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> StoredObject | None:
        """Returns one object, or None if it does not exist.

        The object may be outdated. This call costs the store less than `get`.

        Raises:
          StoreError: the object could not be read in time.
        """
        reply = await self._call(
            "get-stale",
            "GET",
            (kind, name),
            {"serializable": "1"},
            timeout_s=timeout_s,
        )
        return None if reply.status == 404 else _decode_object(kind, reply.body)

    async def create(self, kind: str, name: str, spec: Json) -> StoredObject:
        """Creates an object.

        Raises:
          StoreConflictError: the object exists already.
          StoreUnavailableError: no answer came; the object may have been
            created.
          StoreError: the object was not created.
        """
        body = {"metadata": {"name": name}, "spec": spec}
        reply = await self._call("create", "POST", (kind,), {}, body)
        return _decode_written_object(kind, name, reply)

    async def replace(
        self, kind: str, name: str, spec: Json, revision: int
    ) -> StoredObject:
        """Replaces an object if it is still at `revision`.

        Raises:
          StoreConflictError: the object has another revision or is deleted.
          StoreUnavailableError: no answer came; the object may have been
            replaced.
          StoreError: the object was not replaced.
        """
        body = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        reply = await self._call("replace", "PUT", (kind, name), {}, body)
        return _decode_written_object(kind, name, reply)

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Deletes an object if it is still at `revision`.

        Raises:
          StoreError: the object may still exist.
        """
        reply = await self._call(
            "delete", "DELETE", (kind, name), {"revision": str(revision)}
        )
        if reply.status == 409:
            raise errors.StoreConflictError(
                f"{kind}/{name}: {reply.body!r:.200}", 0
            )

    async def watch(
        self, kind: str, version: store_versions.StoreVersion
    ) -> AsyncIterator[tuple[list[ObjectChange], store_versions.StoreVersion]]:
        """Yields the changes of a kind as they occur, with the new version.

        An empty list of changes shows that the store has answered.

        Raises:
          WatchHistoryExpiredError: the changes since `version` are no longer
            available, so the kind must be listed again.
          StoreError: the watch ended.
        """
        connection = await self._open_connection()
        try:
            while True:
                changes, version = await self._watch_once(
                    connection, kind, version
                )
                yield changes, version
        finally:
            connection.close()

    async def _watch_once(
        self,
        connection: http1.Connection,
        kind: str,
        version: store_versions.StoreVersion,
    ) -> tuple[list[ObjectChange], store_versions.StoreVersion]:
        query = {"watch": str(version.revision), "waitMs": str(WATCH_WAIT_MS)}
        try:
            reply = await self._exchange(
                connection,
                "watch",
                "GET",
                (kind,),
                query,
                None,
                WATCH_WAIT_MS / _MS_PER_S + WATCH_TIMEOUT_MARGIN_S,
                documents_module.changes_fields(kind),
                MAX_WATCH_ANSWER_BYTES,
            )
        except StoreReplyTooLargeError as error:
            raise WatchHistoryExpiredError(
                f"{kind}: changes are listed instead: {error}"
            ) from error
        if reply.status == 410 or reply.era != version.era:
            raise WatchHistoryExpiredError(f"{kind}: no history from {version}")
        body = reply.body
        found = body.get("events") if isinstance(body, dict) else None
        newest = body.get("currentRev") if found is not None else None
        if not isinstance(found, list) or not isinstance(newest, int):
            raise errors.StoreReplyError(f"watch of {kind}: {body!r:.200}")
        changes = [
            ObjectChange(item, bool(event["deleted"]))
            for event in found
            if isinstance(event, dict) and "deleted" in event
            for item in _decode_objects(kind, [event.get("object")])
        ]
        return changes, store_versions.StoreVersion(reply.era, newest)

    async def _call(
        self,
        call: str,
        method: str,
        path: tuple[str, ...],
        query: dict[str, str],
        body: Json = None,
        timeout_s: float = CALL_TIMEOUT_S,
        fields: tolerant_json.Fields = None,
    ) -> _Reply:
        try:
            connection = await self._acquire_connection()
            reply = await self._exchange(
                connection, call, method, path, query, body, timeout_s, fields
            )
        except errors.StoreError:
            if self.failing_since_s is None:
                self.failing_since_s = asyncio.get_running_loop().time()
            raise
        self.failing_since_s = None
        if connection.usable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()
        return reply

    async def _exchange(
        self,
        connection: http1.Connection,
        call: str,
        method: str,
        path: tuple[str, ...],
        query: dict[str, str],
        body: Json,
        timeout_s: float,
        fields: tolerant_json.Fields = None,
        max_body_bytes: int = http1.MAX_RESPONSE_BODY_BYTES,
    ) -> _Reply:
        data = self._encode(method, path, query, body)
        self.call_counts[call] = self.call_counts.get(call, 0) + 1
        try:
            async with asyncio.timeout(timeout_s):
                response = await connection.exchange(
                    data, body_limit_bytes=lambda _head: max_body_bytes
                )
        except http1.BodyTooLargeError as error:
            raise StoreReplyTooLargeError(f"{path}: {error}") from error
        except (TimeoutError, http1.ConnectionFailedError) as error:
            connection.close()
            raise errors.StoreUnavailableError(
                f"{method} {'/'.join(path)}: {error!r}"
            ) from error
        era = self._note_era(response)
        if response.status in (429, 503):
            connection.close()
            raise StoreBusyError(
                f"{method} {'/'.join(path)}: status {response.status}"
            )
        try:
            decoded = _decode_body(response.body, fields)
        except ValueError as error:
            connection.close()
            raise errors.StoreReplyError(f"{path}: {error}") from error
        if response.status not in (200, 201, 204, 404, 409, 410):
            raise errors.StoreReplyError(
                f"{method} {'/'.join(path)}: status {response.status}"
            )
        return _Reply(response.status, decoded, era)

    def _note_era(self, response: http1.Response) -> int:
        """Returns the era of an answer, which is the last one if it names none.

        A malformed era counts as missing.
        """
        value = response.header(names.STORE_ERA)
        if value is None or not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            return self.era
        era = int(value)
        if era > self.era:
            if self.era:
                events.log(
                    events.STORE_RESTORED, era=era, previous_era=self.era
                )
            self.era = era
        return era

    def _encode(
        self,
        method: str,
        path: tuple[str, ...],
        query: dict[str, str],
        body: Json,
    ) -> bytes:
        target = "/objects/" + "/".join(
            urllib.parse.quote(part, safe="") for part in path
        )
        if query:
            target += "?" + urllib.parse.urlencode(query)
        payload = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"
        if body is not None:
            head += (
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(payload)}\r\n"
            )
        return head.encode() + b"\r\n" + payload

    async def _acquire_connection(self) -> http1.Connection:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable(now_s, IDLE_TIMEOUT_S):
                return connection
            connection.close()
        return await self._open_connection()

    async def _open_connection(self) -> http1.Connection:
        try:
            return await http1.connect(
                self._address,
                CONNECT_TIMEOUT_S,
                keepalive=True,
                user_timeout_ms=tcp_options.KEEPALIVE_USER_TIMEOUT_MS,
            )
        except http1.ConnectionFailedError as error:
            raise StoreBusyError(str(error)) from error

    def close(self) -> None:
        """Closes the idle connections."""
        with contextlib.suppress(IndexError):
            while True:
                self._idle.pop().close()


def _name_of(document: Json) -> str | None:
    metadata = document.get("metadata") if isinstance(document, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else None


def _last_name(page: list[Json]) -> str | None:
    """Returns the last name of a page that can be read, if there is any.

    The next page goes on after it, so that an object whose name cannot be read
    does not hide those behind it.
    """
    names_read = (_name_of(document) for document in reversed(page))
    return next((name for name in names_read if name), None)


def _decode_body(body: bytes, fields: tolerant_json.Fields) -> Json:
    """Returns the value of a body, None without one.

    Args:
      body: the body.
      fields: what is read of a long one, None for all.

    Raises:
      ValueError: the body is not JSON.
    """
    if not body:
        return None
    if fields is None:
        return tolerant_json.loads(body)
    return tolerant_json.loads_fields(body, fields)


def _decode_objects(kind: str, documents: list[Json]) -> list[StoredObject]:
    """Returns the objects that can be decoded; the others are logged."""
    decoded = []
    for document in documents:
        try:
            decoded.append(_decode_object(kind, document))
        except errors.StoreReplyError as error:
            events.log(events.STORE_REPLY_BAD, kind=kind, error=str(error))
    return decoded


def _decode_object(kind: str, document: Json) -> StoredObject:
    metadata = document.get("metadata") if isinstance(document, dict) else None
    if not isinstance(metadata, dict):
        raise errors.StoreReplyError(
            f"{kind}: {document!r:.200} has no metadata"
        )
    name, revision = metadata.get("name"), metadata.get("revision")
    # Names become parts of headers and of messages between daemons.
    is_valid = (
        isinstance(name, str)
        and len(name) <= MAX_NAME_CHARS
        and name.isascii()
        and name.isprintable()
    )
    if not name or not is_valid or not isinstance(revision, int):
        raise errors.StoreReplyError(f"{kind}: {metadata!r:.200}")
    reduced = documents_module.reduced(kind, document)
    return StoredObject(kind, name, revision, reduced.get("spec"), reduced)


def _decode_written_object(kind: str, name: str, reply: _Reply) -> StoredObject:
    if reply.status in (404, 409):
        body = reply.body
        metadata = body.get("metadata") if isinstance(body, dict) else None
        revision = metadata.get("revision") if isinstance(metadata, dict) else 0
        raise errors.StoreConflictError(
            f"{kind}/{name}: status {reply.status}",
            revision if isinstance(revision, int) else 0,
        )
    return _decode_object(kind, reply.body)
