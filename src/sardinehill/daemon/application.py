"""Puts the parts of one daemon together, and runs them on one loop."""

import asyncio
import dataclasses
import logging
import signal
import sys
import time

import aiomisc

from sardinehill import events
from sardinehill import metrics
from sardinehill.adapters import platform
from sardinehill.adapters import upstream
from sardinehill.core import account_keys
from sardinehill.core import fleet
from sardinehill.daemon import accounts
from sardinehill.daemon import controller
from sardinehill.daemon import duplicates
from sardinehill.daemon import entry
from sardinehill.daemon import gateway
from sardinehill.daemon import gateway_leases
from sardinehill.daemon import news
from sardinehill.daemon import operators
from sardinehill.daemon import peers
from sardinehill.daemon import undivided
from sardinehill.daemon import view

CONNECTIONS_PER_UPSTREAM = 8

_log = logging.getLogger(__name__)


class Application:
    """One daemon: every part of it, started and stopped in order."""

    def __init__(
        self, settings: fleet.HostSettings, recent: events.Recent | None = None
    ) -> None:
        self.metrics = metrics.Metrics()
        self.view = view.View(
            settings, account_keys.KeyRing(settings.account_key_secret)
        )
        self.platform = platform.PlatformClient(settings.platform_url)
        self.upstreams = upstream.UpstreamClient(CONNECTIONS_PER_UPSTREAM)
        self.bus = peers.PeerBus(
            settings.name, self._locate, settings.peer_secrets
        )
        self.news = news.News(self.platform, self.view, self.bus)
        self.gateway_leases = gateway_leases.GatewayLeases(self.bus)
        self.gateway = gateway.Gateway(
            self.view, self.upstreams, self.bus, self.gateway_leases
        )
        self.controller = controller.Controller(
            self.view, self.platform, self.upstreams, self.bus
        )
        self.undivided = undivided.UndividedSender(self.view, self.bus)
        self.accounts = accounts.Accounts(self.view, self.bus, self._age_s)
        self.entry = entry.Entry(
            self.view,
            self.bus,
            self.accounts,
            self.undivided.forward,
            self.metrics,
        )
        self.duplicates = duplicates.Duplicates(
            self.view,
            self.bus,
            self.gateway.forward,
            self.entry.send_undivided,
            self.gateway_leases.covers,
            self.accounts.held_for_s,
            self._age_s,
        )
        self.operators = operators.Operators(
            operators.Sources(
                self.view,
                self.platform,
                self._versions_in_force,
                self._is_ready,
            ),
            self.metrics,
            recent or events.Recent(),
        )
        self.operators.add_facts(
            "news", lambda: dataclasses.asdict(self.news.status())
        )
        self.news.subscribe(self.gateway.on_news)
        self.news.subscribe(self.operators.on_news)
        self.news.subscribe(self.duplicates.on_news)

    async def start(self) -> None:
        """Binds every address, joins the fleet and begins to serve."""
        settings = self.view.settings
        peers_address = await self.bus.listen(settings.peers_address)
        self.news.start(_member(settings, peers_address))
        operators_address = await self.operators.listen(
            settings.operators_address
        )
        callers_address = await self.entry.listen(settings.callers_address)
        self.view.settings = dataclasses.replace(
            settings,
            peers_address=peers_address,
            callers_address=callers_address,
            operators_address=operators_address,
        )
        self.accounts.start()
        self.duplicates.start()
        self.controller.start()
        _announce("callers", callers_address)
        _announce("operators", operators_address)
        events.log(events.DAEMON_STARTED, daemon=settings.name)

    async def stop(self) -> None:
        """Finishes what is in flight, then ends every part."""
        events.log(events.DAEMON_STOPPING, daemon=self.view.settings.name)
        await self.news.leave()
        await self.entry.close()
        await self.duplicates.close()
        await self.gateway.close()
        await self.undivided.close()
        await self.accounts.close()
        await self.controller.close()
        await self.operators.close()
        await self.news.close()
        await self.bus.close()
        await self.upstreams.close()
        await self.platform.close()
        events.log(events.DAEMON_STOPPED, daemon=self.view.settings.name)

    def _versions_in_force(self) -> dict[str, int]:
        # What this daemon has heard of and cannot read is not in force.
        status = self.news.status()
        return {
            place: version
            for place, version in status.versions.items()
            if place not in status.problems
        }

    def _is_ready(self) -> bool:
        return self.entry.is_ready()

    def _age_s(self) -> float:
        now_s = asyncio.get_running_loop().time()
        return self.news.member.replica.age_s(now_s)

    def _locate(self, name: str) -> fleet.Address | None:
        member = self.view.members.get(name)
        return None if member is None else member.peer_address


def _member(
    settings: fleet.HostSettings, peers_address: fleet.Address
) -> fleet.DaemonHost:
    return fleet.DaemonHost(
        settings.name,
        peers_address,
        settings.availability_zone,
        settings.region,
        incarnation=time.time_ns(),
    )


def run(settings: fleet.HostSettings) -> None:
    """Runs a daemon until it is told to stop by SIGTERM or SIGINT."""
    recent = events.configure_logging()
    with aiomisc.entrypoint(pool_size=1, log_config=False) as loop:
        loop.run_until_complete(_run(settings, recent))


async def _run(settings: fleet.HostSettings, recent: events.Recent) -> None:
    application = Application(settings, recent)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    starting = asyncio.ensure_future(application.start())
    stopping = asyncio.ensure_future(stopped.wait())
    # While the store is down a start lasts; a stop must not wait for it.
    await asyncio.wait(
        (starting, stopping), return_when=asyncio.FIRST_COMPLETED
    )
    if starting.done():
        starting.result()
        await stopping
    starting.cancel()
    await application.stop()


def _announce(name: str, address: fleet.Address) -> None:
    sys.stdout.write(f"listening {name} {address.ip} {address.port}\n")
    sys.stdout.flush()
