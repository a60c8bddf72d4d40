"""Tests which resources a running daemon uses on its host."""

from tests.common import inspect_process


def test_daemon_is_one_process_without_io_uring_or_shared_memory(small_fleet):
    # After a served request, resources that are opened late for callers, peers
    # or upstreams are open too.
    assert small_fleet.send("venue-1", "/bookings/1", key="k").status == 200
    for daemon in small_fleet.deployment.daemons.values():
        assert inspect_process.child_pids(daemon.pid) == []
        assert inspect_process.io_uring_descriptors(daemon.pid) == []
        assert inspect_process.writable_shared_mappings(daemon.pid) == []
