"""Tests that test processes do not take each other's ports."""

import json
import subprocess
import sys

from tests.common import platform_fleet

PROCESSES = 4
PORTS_EACH = 10
# Few enough that processes which draw alone draw the same ports.
PORT_COUNT = 60
DRAW = f"""
import json, sys
from tests.common import platform_fleet
platform_fleet._PORT_RANGE = range(20_000, 20_000 + {PORT_COUNT})
print(json.dumps(platform_fleet.free_ports({PORTS_EACH})), flush=True)
sys.stdin.read()
"""


def test_a_port_is_given_to_one_test_process_only():
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", DRAW],
            cwd=platform_fleet.ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(PROCESSES)
    ]
    try:
        ports = [
            port
            for process in processes
            for port in json.loads(process.stdout.readline())
        ]
    finally:
        for process in processes:
            process.communicate()
    assert len(set(ports)) == PROCESSES * PORTS_EACH
