"""Assembles the parts of one daemon and runs them on one event loop."""

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
from sardinehill.daemon import account_admission
from sardinehill.daemon import caller_server
from sardinehill.daemon import controller
from sardinehill.daemon import deduplicator
from sardinehill.daemon import fleet_view
from sardinehill.daemon import gateway
from sardinehill.daemon import grant_receiver
from sardinehill.daemon import operator_server
from sardinehill.daemon import peer_bus
from sardinehill.daemon import replication
from sardinehill.daemon import undivided_sender

CONNECTIONS_PER_UPSTREAM = 8

_log = logging.getLogger(__name__)


class Application:
    """One daemon, whose parts are started and stopped in order."""

    def __init__(
        self,
        settings: fleet.HostSettings,
        recent: events.RecentEventsHandler | None = None,
    ) -> None:
        self.metrics = metrics.Metrics()
        self.view = fleet_view.FleetView(
            settings, account_keys.KeyRing(settings.account_key_secret)
        )
        self.platform = platform.PlatformClient(settings.platform_url)
        self.upstreams = upstream.UpstreamClient(CONNECTIONS_PER_UPSTREAM)
        self.bus = peer_bus.PeerBus(
            settings.name, self._locate, settings.peer_secrets
        )
        self.replication = replication.Replication(
            self.platform, self.view, self.bus
        )
        self.grant_receiver = grant_receiver.GrantReceiver(self.bus)
        self.gateway = gateway.Gateway(
            self.view, self.upstreams, self.bus, self.grant_receiver
        )
        self.controller = controller.Controller(
            self.view, self.platform, self.upstreams, self.bus
        )
        self.undivided_sender = undivided_sender.UndividedSender(
            self.view, self.bus
        )
        self.account_admission = account_admission.AccountAdmission(
            self.view, self.bus, self._replica_age_s
        )
        self.caller_server = caller_server.CallerServer(
            self.view,
            self.bus,
            self.account_admission,
            self.undivided_sender.forward,
            self.metrics,
        )
        self.deduplicator = deduplicator.Deduplicator(
            self.view,
            self.bus,
            self.gateway.forward,
            self.caller_server.send_undivided,
            self.grant_receiver.has_grant,
            self.account_admission.scope_held_for_s,
            self._replica_age_s,
        )
        self.operator_server = operator_server.OperatorServer(
            operator_server.StatusSources(
                self.view,
                self.platform,
                self._versions_in_force,
                self._is_ready,
            ),
            self.metrics,
            recent or events.RecentEventsHandler(),
        )
        self.operator_server.add_status_section(
            "news", lambda: dataclasses.asdict(self.replication.status())
        )
        self.replication.subscribe(self.gateway.on_object_changed)
        self.replication.subscribe(self.operator_server.on_object_changed)
        self.replication.subscribe(self.deduplicator.on_object_changed)

    async def start(self) -> None:
        """Binds all addresses, joins the fleet and starts to serve."""
        settings = self.view.settings
        peers_address = await self.bus.listen(settings.peers_address)
        self.replication.start(_daemon_host(settings, peers_address))
        operators_address = await self.operator_server.listen(
            settings.operators_address
        )
        callers_address = await self.caller_server.listen(
            settings.callers_address
        )
        self.view.settings = dataclasses.replace(
            settings,
            peers_address=peers_address,
            callers_address=callers_address,
            operators_address=operators_address,
        )
        self.account_admission.start()
        self.deduplicator.start()
        self.controller.start()
        _print_address("callers", callers_address)
        _print_address("operators", operators_address)
        events.log(events.DAEMON_STARTED, daemon=settings.name)

    async def stop(self) -> None:
        """Completes requests in flight and stops every part."""
        events.log(events.DAEMON_STOPPING, daemon=self.view.settings.name)
        await self.replication.leave()
        await self.caller_server.close()
        await self.deduplicator.close()
        await self.gateway.close()
        await self.undivided_sender.close()
        await self.account_admission.close()
        await self.controller.close()
        await self.operator_server.close()
        await self.replication.close()
        await self.bus.close()
        await self.upstreams.close()
        await self.platform.close()
        events.log(events.DAEMON_STOPPED, daemon=self.view.settings.name)

    def _versions_in_force(self) -> dict[str, int]:
        # An object that this daemon has received but can't apply is not in
        # force.
        status = self.replication.status()
        return {
            object_path: version
            for object_path, version in status.versions.items()
            if object_path not in status.problems
        }

    def _is_ready(self) -> bool:
        return self.caller_server.is_ready()

    def _replica_age_s(self) -> float:
        now_s = asyncio.get_running_loop().time()
        return self.replication.protocol.replica.age_s(now_s)

    def _locate(self, name: str) -> fleet.Address | None:
        member = self.view.members.get(name)
        return None if member is None else member.peer_address


def _daemon_host(
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
    """Runs a daemon until it receives SIGTERM or SIGINT."""
    recent = events.configure_logging()
    with aiomisc.entrypoint(pool_size=1, log_config=False) as loop:
        loop.run_until_complete(_run(settings, recent))


async def _run(
    settings: fleet.HostSettings, recent: events.RecentEventsHandler
) -> None:
    application = Application(settings, recent)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    starting = asyncio.ensure_future(application.start())
    stopping = asyncio.ensure_future(stopped.wait())
    # A stop must not wait until the start is complete, however long that takes.
    await asyncio.wait(
        (starting, stopping), return_when=asyncio.FIRST_COMPLETED
    )
    if starting.done():
        starting.result()
        await stopping
    starting.cancel()
    await application.stop()


def _print_address(name: str, address: fleet.Address) -> None:
    sys.stdout.write(f"listening {name} {address.ip} {address.port}\n")
    sys.stdout.flush()
