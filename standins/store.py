"""Stands in for the platform's object store, in one process's memory.

Started as `python -m standins.store --port 0 --journal FILE`. Faults are
set by `POST /-/control`; see `StoreFaults` for the fields.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import time
from typing import Any

from aiohttp import web

from standins import journal as journal_module
from standins import serving

MAX_VALUE_BYTES = 1_000_000
MAX_BODY_BYTES = 4 * MAX_VALUE_BYTES
MAX_WATCH_MS = 60_000


@dataclasses.dataclass
class StoredObject:
    """Holds an object's value and the revision that wrote it."""

    version: int
    value: Any


@dataclasses.dataclass
class StoreFaults:
    """Holds the faults that the stand-in injects.

    Attributes:
      outage: "reset" drops each connection, "hang" never answers, "error"
        answers 503; empty for none.
      delay_ms: delay added to each call.
      lag_s: age of the state that the list of hosts shows.
      stale_list: the list of hosts stays as it was when this was set.
      lose_replies: number of next writes that take effect without a reply.
      garbage_replies: number of next calls that get a malformed reply.
    """

    outage: str = ""
    delay_ms: float = 0.0
    lag_s: float = 0.0
    stale_list: bool = False
    lose_replies: int = 0
    garbage_replies: int = 0


class StoreServer:
    """Holds the objects, hosts, faults and call counts of the store."""

    def __init__(self, journal: journal_module.Journal):
        self.journal = journal
        self.revision = 0
        self.objects: dict[str, dict[str, StoredObject]] = {}
        self.deletions: dict[str, dict[str, int]] = {}
        self.faults = StoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.started_s = time.monotonic()
        self.hosts: dict[str, dict[str, str]] = {}
        self.host_history: list[tuple[float, list[dict[str, str]]]] = []
        self.stale_hosts: list[dict[str, str]] = []
        self.changed = asyncio.Event()

    def current_version(self, kind: str, name: str) -> int:
        """Returns the version of an object, 0 when it is absent."""
        stored = self.objects.get(kind, {}).get(name)
        return stored.version if stored else 0

    def put(self, kind: str, name: str, value: Any) -> int:
        """Writes an object and returns its new version."""
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = StoredObject(
            self.revision, value
        )
        self.deletions.get(kind, {}).pop(name, None)
        self._record_change("put", kind, name, value)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object that exists."""
        self.revision += 1
        del self.objects[kind][name]
        self.deletions.setdefault(kind, {})[name] = self.revision
        self._record_change("delete", kind, name, None)

    def _record_change(
        self, event: str, kind: str, name: str, value: Any
    ) -> None:
        self.journal.write(
            event, kind=kind, name=name, version=self.revision, value=value
        )
        self.notify_watches()

    def notify_watches(self) -> None:
        """Wakes every waiting watch to check for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_host(self, name: str, host: dict[str, str] | None) -> None:
        """Adds or changes a host of the list, or removes it with None."""
        if host is None:
            self.hosts.pop(name, None)
        else:
            self.hosts[name] = host
        self.host_history.append((time.monotonic(), list(self.hosts.values())))
        self.journal.write("host", name=name, host=host)

    def visible_hosts(self) -> list[dict[str, str]]:
        """Returns the list of hosts as the faults let a caller see it."""
        if self.faults.stale_list:
            return self.stale_hosts
        visible_until_s = time.monotonic() - self.faults.lag_s
        for since_s, hosts in reversed(self.host_history):
            if since_s <= visible_until_s:
                return hosts
        return []


STORE = web.AppKey("store", StoreServer)


def _object_json(stored: StoredObject, name: str) -> dict[str, Any]:
    return {"name": name, "version": stored.version, "value": stored.value}


def _expected_version(request: web.Request) -> int:
    try:
        return int(request.headers["If-Match"].strip('"'))
    except (KeyError, ValueError):
        raise web.HTTPBadRequest(text="If-Match must be a version") from None


async def get_object(request: web.Request) -> web.Response:
    """Answers `GET /v1/objects/{kind}/{name}`."""
    kind, name = request.match_info["kind"], request.match_info["name"]
    stored = request.app[STORE].objects.get(kind, {}).get(name)
    if stored is None:
        raise web.HTTPNotFound
    return web.json_response(_object_json(stored, name))


async def list_objects(request: web.Request) -> web.Response:
    """Answers `GET /v1/objects/{kind}`."""
    store = request.app[STORE]
    stored = store.objects.get(request.match_info["kind"], {})
    objects = [
        _object_json(stored_object, name)
        for name, stored_object in stored.items()
    ]
    return web.json_response({"revision": store.revision, "objects": objects})


async def put_object(request: web.Request) -> web.Response:
    """Answers `PUT /v1/objects/{kind}/{name}`."""
    store = request.app[STORE]
    kind, name = request.match_info["kind"], request.match_info["name"]
    expected_version = _expected_version(request)
    body = await request.read()
    if len(body) > MAX_VALUE_BYTES:
        raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(body))
    try:
        value = json.loads(body)["value"]
    except (ValueError, KeyError, TypeError):
        raise web.HTTPBadRequest(text='the body is {"value": ...}') from None
    version = store.current_version(kind, name)
    if version != expected_version:
        return web.json_response({"version": version}, status=409)
    return _reply_to_write(request, {"version": store.put(kind, name, value)})


async def delete_object(request: web.Request) -> web.Response:
    """Answers `DELETE /v1/objects/{kind}/{name}`."""
    store = request.app[STORE]
    kind, name = request.match_info["kind"], request.match_info["name"]
    expected_version = _expected_version(request)
    version = store.current_version(kind, name)
    if version == 0:
        raise web.HTTPNotFound
    if version != expected_version:
        return web.json_response({"version": version}, status=409)
    store.delete(kind, name)
    return _reply_to_write(request, {"version": store.revision})


def _reply_to_write(
    request: web.Request, reply: dict[str, Any]
) -> web.Response:
    store = request.app[STORE]
    if store.faults.lose_replies > 0:
        store.faults.lose_replies -= 1
        _abort_connection(request)
    return web.json_response(reply)


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def watch(request: web.Request) -> web.Response:
    """Answers `GET /v1/watch/{kind}` upon a change or at its timeout."""
    store = request.app[STORE]
    kind = request.match_info["kind"]
    try:
        since = int(request.query.get("since", "0"))
        timeout_ms = int(request.query.get("timeout_ms", "0"))
    except ValueError:
        raise web.HTTPBadRequest(text="since and timeout_ms: int") from None
    end_s = time.monotonic() + min(timeout_ms, MAX_WATCH_MS) / 1000
    while True:
        reply = _changes_since(store, kind, since)
        remaining_s = end_s - time.monotonic()
        if reply["objects"] or reply["deleted"] or remaining_s <= 0:
            return web.json_response(reply)
        changed = store.changed
        try:
            await asyncio.wait_for(changed.wait(), remaining_s)
        except TimeoutError:
            continue
        if store.faults.outage:
            await _simulate_outage(request, store)


def _changes_since(store: StoreServer, kind: str, since: int) -> dict[str, Any]:
    objects = [
        _object_json(stored, name)
        for name, stored in store.objects.get(kind, {}).items()
        if stored.version > since
    ]
    deleted = [
        name
        for name, revision in store.deletions.get(kind, {}).items()
        if revision > since
    ]
    return {
        "revision": store.revision,
        "objects": objects,
        "deleted": deleted,
    }


async def list_hosts(request: web.Request) -> web.Response:
    """Answers `GET /v1/hosts`."""
    return web.json_response({"hosts": request.app[STORE].visible_hosts()})


async def control(request: web.Request) -> web.Response:
    """Answers `POST /-/control`, which sets faults and hosts.

    The JSON fields are those of `StoreFaults`, `put_host` with a host of the
    list, and `delete_host` with a name.
    """
    store = request.app[STORE]
    command = await request.json()
    if "put_host" in command:
        host = command.pop("put_host")
        store.set_host(host["name"], host)
    if "delete_host" in command:
        store.set_host(command.pop("delete_host"), None)
    known_fields = {field.name for field in dataclasses.fields(StoreFaults)}
    if not known_fields.issuperset(command):
        raise web.HTTPBadRequest(text=f"known fields: {sorted(known_fields)}")
    was_stale = store.faults.stale_list
    store.faults = dataclasses.replace(store.faults, **command)
    if store.faults.stale_list and not was_stale:
        store.faults.stale_list = False
        store.stale_hosts = store.visible_hosts()
        store.faults.stale_list = True
    if command:
        store.journal.write("fault", **command)
        store.notify_watches()
    return web.json_response({"accepted": True})


async def stats(request: web.Request) -> web.Response:
    """Answers `GET /-/stats` with the calls counted since the start."""
    store = request.app[STORE]
    return web.json_response(
        {
            "calls": dict(store.calls),
            "since_s": time.monotonic() - store.started_s,
            "revision": store.revision,
        }
    )


async def _simulate_outage(request: web.Request, store: StoreServer) -> None:
    if store.faults.outage == "error":
        raise web.HTTPServiceUnavailable
    while store.faults.outage == "hang":
        await store.changed.wait()
    _abort_connection(request)
    raise web.HTTPServiceUnavailable


def _call_category(request: web.Request) -> str:
    parts = request.path.split("/")
    area = parts[2] if len(parts) > 2 else ""
    kind = parts[3] if len(parts) > 3 else ""
    verb = {"PUT": "write", "DELETE": "write"}.get(request.method, "read")
    return f"{verb} {area} {kind}".strip()


@web.middleware
async def _inject_faults(
    request: web.Request, handler: Any
) -> web.StreamResponse:
    store = request.app[STORE]
    if request.path.startswith("/-/"):
        return await handler(request)  # type: ignore[no-any-return]
    store.calls[_call_category(request)] += 1
    if store.faults.delay_ms > 0:
        await asyncio.sleep(store.faults.delay_ms / 1000)
    if store.faults.outage:
        await _simulate_outage(request, store)
    if store.faults.garbage_replies > 0:
        store.faults.garbage_replies -= 1
        return web.Response(text='{"nonsense": [', status=200)
    return await handler(request)  # type: ignore[no-any-return]


def make_application(store: StoreServer) -> web.Application:
    """Returns the application that serves a store."""
    application = web.Application(
        middlewares=[_inject_faults], client_max_size=MAX_BODY_BYTES
    )
    application[STORE] = store
    application.router.add_get("/v1/objects/{kind}", list_objects)
    application.router.add_get("/v1/objects/{kind}/{name}", get_object)
    application.router.add_put("/v1/objects/{kind}/{name}", put_object)
    application.router.add_delete("/v1/objects/{kind}/{name}", delete_object)
    application.router.add_get("/v1/watch/{kind}", watch)
    application.router.add_get("/v1/hosts", list_hosts)
    application.router.add_post("/-/control", control)
    application.router.add_get("/-/stats", stats)
    return application


def main() -> None:
    """Parses the command line and runs the store."""
    parser = argparse.ArgumentParser(prog="standins.store")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--journal", required=True)
    options = parser.parse_args()
    store = StoreServer(journal_module.Journal(options.journal, "store"))
    serving.run(make_application(store), options.ip, options.port)


if __name__ == "__main__":
    main()
