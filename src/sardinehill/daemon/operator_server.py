"""Serves a daemon's health, status, metrics and events to operators."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import time
from typing import Any
import uuid

from aiohttp import web

from sardinehill import errors
from sardinehill import events
from sardinehill import metrics as metrics_module
from sardinehill.adapters import platform
from sardinehill.core import fleet
from sardinehill.core import owner_times
from sardinehill.daemon import fleet_view

STATUS_KIND = "status"
PUBLISH_RETRY_INTERVAL_S = 1.0
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

StatusSection = Callable[[], dict[str, Any]]


@dataclasses.dataclass(frozen=True)
class StatusSources:
    """The sources of a daemon's status.

    Attributes:
      view: the daemon's view of the fleet.
      client: the client of the platform's store.
      versions: returns the version in force of each object, by kind/name.
      is_ready: returns whether callers can be served.
    """

    view: fleet_view.FleetView
    client: platform.PlatformClient
    versions: Callable[[], Mapping[str, int]]
    is_ready: Callable[[], bool]


class OperatorServer:
    """Serves operators and publishes its own address in the store."""

    def __init__(
        self,
        sources: StatusSources,
        counts: metrics_module.Metrics,
        recent: events.RecentEventsHandler,
    ):
        self._sources = sources
        self._view = sources.view
        self._client = sources.client
        self._metrics = counts
        self._recent = recent
        self._owner_times = owner_times.OwnerTimes()
        self._status_sections: dict[str, StatusSection] = {}
        self._runner: web.AppRunner | None = None
        self._publish_task: asyncio.Task[None] | None = None
        self._published_version = 0

    def add_status_section(self, name: str, section: StatusSection) -> None:
        """Adds a section with the given name to the status."""
        self._status_sections[name] = section

    def on_object_changed(self, kind: str, name: str) -> None:
        """Records when shards and hot keys change their owners."""
        assignment = self._view.assignments.get(name)
        if kind == "assignment" and assignment is not None:
            self._owner_times.observe(assignment, time.time())

    async def listen(self, address: fleet.Address) -> fleet.Address:
        """Starts to serve operators and returns the bound address."""
        application = web.Application()
        routes = application.router
        routes.add_get("/-/health", self._health)
        routes.add_get("/-/ready", self._ready)
        routes.add_get("/-/status", self._status)
        routes.add_get("/-/owner", self._owner)
        routes.add_get("/-/events", self._events)
        routes.add_get("/metrics", self._metrics_text)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.ip, address.port)
        await site.start()
        ip, port = self._runner.addresses[0][:2]
        bound = fleet.Address(ip, port)
        self._publish_task = asyncio.ensure_future(self._publish(bound))
        return bound

    async def close(self) -> None:
        """Deletes the address from the store and stops serving."""
        if self._publish_task is not None:
            self._publish_task.cancel()
            await asyncio.gather(self._publish_task, return_exceptions=True)
        if self._published_version:
            await self._withdraw()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _publish(self, address: fleet.Address) -> None:
        """Writes this daemon's operator address to the store once.

        The versions in force change often, so they are read from that address.
        Writing each change to the store would take a number of calls that grows
        with the fleet, and the store limits calls.
        """
        name = self._view.settings.name
        while True:
            value = {
                "operators_address": str(address),
                "availability_zone": self._view.settings.availability_zone,
                "started_at_s": time.time(),
                "nonce": uuid.uuid4().hex,
            }
            try:
                found = await self._client.get(STATUS_KIND, name)
                version = 0 if found is None else found.version
                self._published_version = await platform.put_and_confirm(
                    self._client, STATUS_KIND, name, value, version
                )
            except errors.StoreError:
                await asyncio.sleep(PUBLISH_RETRY_INTERVAL_S)
                continue
            return

    async def _withdraw(self) -> None:
        try:
            await self._client.delete(
                STATUS_KIND, self._view.settings.name, self._published_version
            )
        except errors.StoreError:
            # The next daemon with this name overwrites it.
            return

    async def _health(self, _request: web.Request) -> web.Response:
        return web.json_response({"alive": True})

    async def _ready(self, _request: web.Request) -> web.Response:
        ready = self._sources.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _status(self, _request: web.Request) -> web.Response:
        return web.json_response(self._status_value())

    def _status_value(self) -> dict[str, Any]:
        view = self._view
        return {
            "name": view.settings.name,
            "availability_zone": view.settings.availability_zone,
            "ready": self._sources.is_ready(),
            "versions": dict(self._sources.versions()),
            "members": sorted(view.members),
            "upstreams": len(view.upstreams),
            "store_reachable": self._client.is_reachable,
            **{
                name: section()
                for name, section in self._status_sections.items()
            },
        }

    async def _owner(self, request: web.Request) -> web.Response:
        found = self._owner_times.find(
            request.query.get("service", ""), request.query.get("key", "")
        )
        if found is None:
            raise web.HTTPNotFound(text="{}", content_type="application/json")
        return web.json_response(dataclasses.asdict(found))

    async def _events(self, request: web.Request) -> web.Response:
        try:
            since_s = float(request.query.get("since_s", "0"))
        except ValueError:
            raise web.HTTPBadRequest(text="since_s: a wall time") from None
        return web.json_response(
            {"events": self._recent.logged_after(since_s)},
            dumps=events.dump_json,
        )

    async def _metrics_text(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.render_text(),
            headers={"Content-Type": METRICS_CONTENT_TYPE},
        )
