"""Stands in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import copy
import json
import time
from typing import Any
import urllib.parse

from support import wire

Json = Any
ANSWER_S = 0.004
PAGE = 500
PAGE_BYTES = 1_048_576
# An entry of a backend goes after three check-in intervals of silence.
SILENT_BEATS = 3


class Store:
    """Objects by kind and name, one revision, conditional writes, watches."""

    def __init__(self, heartbeat_s: float):
        self._heartbeat_s = heartbeat_s
        self._objects: dict[tuple[str, str], Json] = {}
        self._events: list[tuple[int, str, Json, bool]] = []
        self._changed = asyncio.Condition()
        self._beaten_s: dict[str, float] = {}
        self.revision = 10

    async def write(self, kind: str, name: str, **fields: Json) -> Json:
        """Writes an object; nothing happens if that changes nothing."""
        old = self._objects.get((kind, name))
        new = copy.deepcopy(old) if old else {"spec": None, "status": None}
        new.update(copy.deepcopy(fields))
        if old is not None and new == old:
            return old
        self.revision += 1
        metadata = new.get("metadata") or {
            "name": name,
            "createRevision": self.revision,
            "finalizers": [],
            "deleting": False,
        }
        new["metadata"] = {**metadata, "revision": self.revision}
        self._objects[kind, name] = new
        await self._note(kind, new, False)
        return new

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        old = self._objects.pop((kind, name), None)
        if old is not None:
            self.revision += 1
            await self._note(kind, copy.deepcopy(old), True)

    async def _note(self, kind: str, document: Json, deleted: bool) -> None:
        self._events.append((self.revision, kind, document, deleted))
        async with self._changed:
            self._changed.notify_all()

    def spec(self, kind: str, name: str) -> Json:
        """Returns what an object holds, or None."""
        found = self._objects.get((kind, name))
        return None if found is None else found["spec"]

    async def expire(self) -> None:
        """Removes the entries of silent backends, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            limit_s = time.monotonic() - SILENT_BEATS * self._heartbeat_s
            for name, beaten_s in list(self._beaten_s.items()):
                if beaten_s < limit_s:
                    del self._beaten_s[name]
                    await self.remove("servers", name)

    async def handle(self, request: wire.Message) -> bytes | None:
        """Answers a call."""
        await asyncio.sleep(ANSWER_S)
        status, reply = await self._reply(request)
        return wire.encode(
            status,
            {"Content-Type": "application/json", "Store-Era": "1"},
            json.dumps(reply, separators=(",", ":")).encode(),
        )

    async def _reply(self, request: wire.Message) -> tuple[int, Json]:
        method, target = request.start[0], request.start[1]
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        parts = [urllib.parse.unquote(part) for part in path.split("/")[2:]]
        body = json.loads(request.body) if request.body else None
        if path.startswith("/beat/"):
            return await self._beat(parts[0], body)
        if len(parts) == 1:
            if method == "POST":
                return await self._create(parts[0], body)
            if "watch" in query:
                return await self._watch(parts[0], query)
            return 200, self._list(parts[0], query.get("after", ""))
        kind, name = parts
        stored = self._objects.get((kind, name))
        if stored is None:
            return 404, {"error": "absent"}
        if method == "GET":
            return 200, stored
        expected = query.get("revision")
        if body is not None:
            expected = body["metadata"].get("revision")
        if (
            expected is not None
            and int(expected) != (stored["metadata"]["revision"])
        ):
            return 409, stored
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, stored
        return 200, await self.write(kind, name, spec=body["spec"])

    async def _beat(self, name: str, body: Json) -> tuple[int, Json]:
        """A backend writes its entry, by a call of this stand-in's own."""
        self._beaten_s[name] = time.monotonic()
        old = self._objects.get(("servers", name))
        if old is not None:
            known, said = copy.deepcopy(old["spec"]), copy.deepcopy(body)
            known["status"].pop("seqNo", None)
            said["status"].pop("seqNo", None)
            if known == said:
                # The entry changes when more than seqNo changes.
                return 200, {}
        await self.write("servers", name, spec=body, status=body["status"])
        return 200, {}

    def _list(self, kind: str, after: str) -> Json:
        items = [
            document
            for (of_kind, name), document in sorted(self._objects.items())
            if of_kind == kind and name > after
        ]
        page: list[Json] = []
        size = 0
        for document in items[:PAGE]:
            size += len(json.dumps(document, separators=(",", ":")))
            if page and size > PAGE_BYTES:
                break
            page.append(document)
        return {
            "items": page,
            "hasMore": len(items) > len(page),
            "currentRev": self.revision,
        }

    async def _create(self, kind: str, body: Json) -> tuple[int, Json]:
        name = body["metadata"]["name"]
        if (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        return 200, await self.write(kind, name, spec=body["spec"])

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, Json]:
        since = int(query["watch"])

        def events() -> list[Json]:
            return [
                {"object": document, "deleted": deleted}
                for revision, of_kind, document, deleted in self._events
                if of_kind == kind and revision > since
            ]

        try:
            wait_s = int(query.get("waitMs", "0")) / 1000
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: bool(events()))
        except TimeoutError:
            pass
        return 200, {"events": events(), "currentRev": self.revision}
