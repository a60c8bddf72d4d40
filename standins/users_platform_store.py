"""Stands in for the object store of the users' platform.

It implements the HTTP API in the platform's documentation: objects by kind and
name, one revision counter, conditional writes and long-polling watches.
"""

import asyncio
import copy
import dataclasses
import json
from typing import Any

from aiohttp import web

Json = Any
_MS_PER_S = 1000
_CALLER = web.AppKey("caller", str)


@dataclasses.dataclass
class UsersPlatformFaults:
    """Holds the faults that the stand-in injects.

    Attributes:
      busy: whether every call is refused with 503.
      silent: whether every call waits until this is false again.
      lose_answers: number of next writes that take effect unanswered.
      history_from: watches from a lower revision are answered with 410.
      delay_s: how long each call waits before it takes effect.
      refused: callers whose calls are refused with 503.
    """

    busy: bool = False
    silent: bool = False
    lose_answers: int = 0
    history_from: int = 0
    delay_s: float = 0.0
    refused: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """A copy of the store's objects at one moment.

    Attributes:
      revision: the store's revision.
      objects: the documents by kind and name.
    """

    revision: int
    objects: dict[tuple[str, str], Json]


class UsersPlatformStore:
    """Holds the objects of one store and serves the calls on them."""

    def __init__(self) -> None:
        self.revision = 10
        self.era = 1
        self.page_size = 500
        # Bytes that answers hold in place of a string, by that string.
        self.raw_values: dict[str, bytes] = {}
        self.faults = UsersPlatformFaults()
        self._objects: dict[tuple[str, str], Json] = {}
        self._events: list[tuple[int, str, Json, bool]] = []
        self._changed = asyncio.Condition()
        self.calls = 0

    async def put(self, kind: str, name: str, **fields: Json) -> None:
        """Writes an object as an operator or an upstream would."""
        document = self._objects.get((kind, name), {"status": None})
        await self._write(kind, name, {**document, **fields})

    async def remove(self, kind: str, name: str) -> None:
        """Deletes an object, as when an entry expires."""
        document = self._objects.pop((kind, name), None)
        if document is not None:
            self.revision += 1
            document["metadata"]["revision"] = self.revision
            self._events.append((self.revision, kind, document, True))
            async with self._changed:
                self._changed.notify_all()

    def spec(self, kind: str, name: str) -> Json:
        """Returns an object's `spec`, or None when there is no object."""
        document = self._objects.get((kind, name))
        return None if document is None else document.get("spec")

    def take_copy(self) -> StoreCopy:
        """Returns a copy that `restore` can go back to."""
        return StoreCopy(self.revision, copy.deepcopy(self._objects))

    async def restore(self, earlier: StoreCopy) -> None:
        """Goes back to an earlier copy and begins the next era."""
        self.revision = earlier.revision
        self._objects = copy.deepcopy(earlier.objects)
        self._events = [
            event for event in self._events if event[0] <= earlier.revision
        ]
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    async def _write(self, kind: str, name: str, document: Json) -> Json:
        self.revision += 1
        previous = self._objects.get((kind, name))
        created = (
            previous["metadata"]["createRevision"]
            if previous
            else self.revision
        )
        document["metadata"] = {
            "name": name,
            "revision": self.revision,
            "createRevision": created,
            "finalizers": [],
            "deleting": False,
        }
        self._objects[kind, name] = document
        self._events.append((self.revision, kind, document, False))
        async with self._changed:
            self._changed.notify_all()
        return document

    def _json_response(self, reply: Json, status: int = 200) -> web.Response:
        body = json.dumps(reply).encode()
        for text, raw in self.raw_values.items():
            body = body.replace(json.dumps(text).encode(), raw)
        return web.Response(
            body=body, status=status, content_type="application/json"
        )

    # HTTP calls and their faults.

    async def set_silent(self, is_silent: bool) -> None:
        """Stops answering calls, or resumes with those that waited."""
        async with self._changed:
            self.faults.silent = is_silent
            self._changed.notify_all()

    def application(self, caller: str = "") -> web.Application:
        """Returns the HTTP application that serves the calls of a caller."""
        application = web.Application(middlewares=[self._inject_faults])
        application[_CALLER] = caller
        application.router.add_get("/objects/{kind}", self._list_or_watch)
        application.router.add_get("/objects/{kind}/{name}", self._get)
        application.router.add_post("/objects/{kind}", self._create)
        application.router.add_put("/objects/{kind}/{name}", self._replace)
        application.router.add_delete("/objects/{kind}/{name}", self._delete)
        return application

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        self.calls += 1
        if self.faults.busy or request.app[_CALLER] in self.faults.refused:
            return web.Response(status=503)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        async with self._changed:
            await self._changed.wait_for(lambda: not self.faults.silent)
        response: web.StreamResponse = await handler(request)
        response.headers["Store-Era"] = str(self.era)
        if request.method != "GET" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _list_or_watch(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" not in request.query:
            after = request.query.get("after", "")
            items = [
                document
                for (stored_kind, name), document in sorted(
                    self._objects.items()
                )
                if stored_kind == kind and name > after
            ]
            return self._json_response(
                {
                    "items": items[: self.page_size],
                    "hasMore": len(items) > self.page_size,
                    "currentRev": self.revision,
                }
            )
        return await self._watch(request, kind)

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        if since < self.faults.history_from or since > self.revision:
            return self._json_response({"error": "gone"}, status=410)
        wait_s = int(request.query.get("waitMs", "0")) / _MS_PER_S

        def events() -> list[Json]:
            return [
                {"object": document, "deleted": deleted}
                for revision, stored_kind, document, deleted in self._events
                if stored_kind == kind and revision > since
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        bool(events())
                        or self.faults.busy
                        or self.revision < since
                    )
                )
        except TimeoutError:
            pass
        if self.faults.busy:
            return web.Response(status=503)
        if self.revision < since:
            return self._json_response({"error": "gone"}, status=410)
        return self._json_response(
            {"events": events(), "currentRev": self.revision}
        )

    async def _get(self, request: web.Request) -> web.Response:
        document = self._objects.get(_object_id(request))
        if document is None:
            return self._json_response({"error": "absent"}, status=404)
        return self._json_response(document)

    async def _create(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        if (kind, name) in self._objects:
            return self._json_response(self._objects[kind, name], status=409)
        document = {"spec": body["spec"], "status": None}
        return self._json_response(await self._write(kind, name, document))

    async def _replace(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = _object_id(request)
        stored = self._objects.get((kind, name))
        if stored is None:
            return self._json_response({"error": "absent"}, status=404)
        expected = body["metadata"].get("revision")
        if expected not in (None, stored["metadata"]["revision"]):
            return self._json_response(stored, status=409)
        document = {**stored, "spec": body["spec"]}
        return self._json_response(await self._write(kind, name, document))

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = _object_id(request)
        stored = self._objects.get((kind, name))
        if stored is None:
            return self._json_response({"error": "absent"}, status=404)
        expected = request.query.get("revision")
        if expected not in (None, str(stored["metadata"]["revision"])):
            return self._json_response(stored, status=409)
        await self.remove(kind, name)
        return self._json_response(stored)


def _object_id(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]
