"""Tests that the reports of benchmark daemons miss nothing."""

import asyncio
import contextlib
import json
import types

from bench import capacity_daemon
from bench import idle_fleet


class StartingApplication:
    """A daemon in which an object comes into force while it starts."""

    def __init__(self, host, handler):
        self._listeners = []
        self.replication = types.SimpleNamespace(
            subscribe=self._listeners.append,
            status=lambda: types.SimpleNamespace(
                versions={"config/fleet": 11},
                members=5,
                is_watcher=False,
                age_s=0.5,
            ),
        )
        self.bus = types.SimpleNamespace(traffic_bytes=(0, 0))
        self.platform = types.SimpleNamespace(call_counts={})

    async def start(self):
        for listener in self._listeners:
            listener("config", "fleet")


async def run_briefly(report):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.05):
            await capacity_daemon._run(None, report)


def test_object_in_force_before_the_daemon_has_started_is_reported(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(
        capacity_daemon.application, "Application", StartingApplication
    )
    report = tmp_path / "host.report"
    earlier = {"changed": "config/fleet", "version": 10}
    report.write_text(json.dumps(earlier) + "\n")
    daemon = idle_fleet.DaemonProcess("host", None, report, earlier_records=1)
    assert daemon.versions_in_force() == {}
    asyncio.run(run_briefly(report))
    assert daemon.versions_in_force() == {"config/fleet": 11}
