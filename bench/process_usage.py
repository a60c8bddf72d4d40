"""Reads the resource usage of a process from /proc."""

import dataclasses
import os
import pathlib

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True)
class ProcessUsage:
    """Resource usage of one process.

    Attributes:
      cpu_time_s: user and system CPU time since the start of the process.
      io_bytes: bytes read and written since the start; for a daemon, which
        uses no files, these are its socket traffic.
      resident_bytes: current resident memory.
    """

    cpu_time_s: float
    io_bytes: int
    resident_bytes: int


def read(pid: int) -> ProcessUsage | None:
    """Returns the usage of a process, None when it has ended."""
    directory = pathlib.Path("/proc") / str(pid)
    try:
        stat = (directory / "stat").read_text().rpartition(")")[2].split()
        io_lines = (directory / "io").read_text().splitlines()
        pages = int((directory / "statm").read_text().split()[1])
    except (OSError, IndexError):
        return None
    io_counters = dict(line.split(": ") for line in io_lines)
    return ProcessUsage(
        (int(stat[11]) + int(stat[12])) / _TICKS_PER_S,
        int(io_counters["rchar"]) + int(io_counters["wchar"]),
        pages * os.sysconf("SC_PAGE_SIZE"),
    )
