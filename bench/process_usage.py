"""What daemons use of the machine, as the kernel counts it."""

import dataclasses
import os
import pathlib

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True)
class ProcessUsage:
    """Counts of one process since its start.

    Attributes:
      cpu_time_s: processor time.
      io_bytes: bytes read and written, which for a daemon without files
        is what it moves over sockets.
      resident_bytes: memory now.
    """

    cpu_time_s: float
    io_bytes: int
    resident_bytes: int


def read(pid: int) -> ProcessUsage | None:
    """Returns a process's counts, None when it has ended."""
    directory = pathlib.Path("/proc") / str(pid)
    try:
        stat = (directory / "stat").read_text().rpartition(")")[2].split()
        io_lines = (directory / "io").read_text().splitlines()
        pages = int((directory / "statm").read_text().split()[1])
    except (OSError, IndexError):
        return None
    moved = dict(line.split(": ") for line in io_lines)
    return ProcessUsage(
        (int(stat[11]) + int(stat[12])) / _TICKS_PER_S,
        int(moved["rchar"]) + int(moved["wchar"]),
        pages * os.sysconf("SC_PAGE_SIZE"),
    )
