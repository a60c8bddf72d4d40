"""Reads from /proc which resources and children a process has."""

import pathlib

_PROC = pathlib.Path("/proc")


def io_uring_descriptors(pid: int) -> list[str]:
    """Returns the targets of a process's open io_uring descriptors."""
    found = []
    for link in (_PROC / str(pid) / "fd").iterdir():
        try:
            target = str(link.readlink())
        except OSError:
            continue
        if "io_uring" in target:
            found.append(target)
    return found


def child_pids(pid: int) -> list[int]:
    """Returns the ids of a process's child processes."""
    found = []
    for task in (_PROC / str(pid) / "task").iterdir():
        found += [
            int(pid_text)
            for pid_text in (task / "children").read_text().split()
        ]
    return found


def writable_shared_mappings(pid: int) -> list[str]:
    """Returns lines of `maps` for memory shared with other processes."""
    found = []
    for line in (_PROC / str(pid) / "maps").read_text().splitlines():
        parts = line.split(maxsplit=5)
        is_shared = parts[1].endswith("s") and "w" in parts[1]
        if is_shared or "/dev/shm" in line or "SYSV" in line:
            found.append(line)
    return found


def thread_count(pid: int) -> int:
    """Returns the number of threads of a process."""
    return sum(1 for _ in (_PROC / str(pid) / "task").iterdir())
