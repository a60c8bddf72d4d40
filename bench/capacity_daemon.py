"""Runs one daemon and records the cost of its control work.

`bench.capacity` starts it as `python -m bench.capacity_daemon SETTINGS
REPORT`. The report has one JSON object on each line: a sample every second,
and the monotonic time at which each object of the store came into force. All
processes on a machine share that clock.
"""

import os

os.environ["UV_USE_IO_URING"] = "0"

import asyncio  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import uvloop  # noqa: E402

from sardinehill import events  # noqa: E402
from sardinehill import settings  # noqa: E402
from sardinehill.core import fleet  # noqa: E402
from sardinehill.daemon import application  # noqa: E402

SAMPLE_INTERVAL_S = 1.0


async def _run(host: fleet.HostSettings, report: pathlib.Path) -> None:
    daemon = application.Application(host, events.configure_logging())
    with report.open("a", buffering=1) as lines:

        def write_record(**fields: object) -> None:
            record = {"at_s": time.monotonic(), **fields}
            lines.write(json.dumps(record) + "\n")

        def on_change(kind: str, name: str) -> None:
            versions = daemon.replication.status().versions
            write_record(
                changed=f"{kind}/{name}", version=versions[f"{kind}/{name}"]
            )

        # Objects may come into force while the daemon starts.
        daemon.replication.subscribe(on_change)
        await daemon.start()
        while True:
            status = daemon.replication.status()
            sent, received = daemon.bus.traffic_bytes
            write_record(
                members=status.members,
                watcher=status.is_watcher,
                age_s=status.age_s,
                sent_bytes=sent,
                received_bytes=received,
                store_calls=sum(daemon.platform.call_counts.values()),
            )
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def main() -> None:
    """Runs the daemon until the process is terminated."""
    settings_file = pathlib.Path(sys.argv[1])
    host = settings.read_host_settings(
        settings_file.read_text(), str(settings_file)
    )
    uvloop.run(_run(host, pathlib.Path(sys.argv[2])))


if __name__ == "__main__":
    main()
