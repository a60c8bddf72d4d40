"""Tests that what was given up with its connection does not arrive later.

A receiver that reads nothing stands for a network that holds bytes back: they
stay in the sender's kernel until it reads again.
"""

import asyncio
import os
import pathlib
import socket
import subprocess
import sys
import time

import pytest
import uvloop

from sardinehill import http1
from sardinehill.core import key_orders
from sardinehill.core import keyspace
from sardinehill.front import key_owners
from sardinehill.front import order_sender
from sardinehill.front import peer_links
from sardinehill.wire import message_kinds

# The kernel of the sender takes a message of this size as a whole, the receiver
# only its beginning.
MESSAGE_BYTES = 16 * 1024
RECEIVE_BUFFER_BYTES = 2048
ORDER_TIMEOUT_S = 0.2
ROOT = pathlib.Path(__file__).parents[2]
SENDING_PROCESS = f"""
import asyncio
import sys

import uvloop

from sardinehill.front import key_owners

async def run():
    owners = key_owners.KeyOwners("stock", dict, frozenset, 0.0)
    owner = key_owners.KeyOwner(("a", 1), sys.argv[1], 3)
    order = asyncio.create_task(
        owners.send_order(owner, b"x" * {MESSAGE_BYTES}, 60.0, lambda: True)
    )
    await asyncio.sleep(0.2)
    print("sent", flush=True)
    await order

loops = {{"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}}
with asyncio.Runner(loop_factory=loops[sys.argv[2]]) as runner:
    runner.run(run())
"""


# The daemon uses uvloop, which closes sockets by itself.
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


@pytest.fixture(params=LOOPS)
def loop_name(request):
    return request.param


@pytest.fixture
def run(loop_name):
    with asyncio.Runner(loop_factory=LOOPS[loop_name]) as runner:
        yield runner.run


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        yield listener


def owner_at(listener):
    host, port = listener.getsockname()
    return key_owners.KeyOwner(("a", 1), f"{host}:{port}", 3)


async def send_order(listener, may_send=lambda: True):
    owners = key_owners.KeyOwners("stock", dict, frozenset, 0.0)
    return await owners.send_order(
        owner_at(listener), b"x" * MESSAGE_BYTES, ORDER_TIMEOUT_S, may_send
    )


def freeze(duration_s):
    time.sleep(duration_s)


def count_arriving_bytes(listener):
    """Returns how much arrives on the connection once the receiver reads."""
    connection, _ = listener.accept()
    with connection:
        return receive_all(connection)


def receive_all(connection):
    """Returns how much arrives on a connection until it ends."""
    received = 0
    connection.settimeout(5.0)
    while True:
        try:
            data = connection.recv(MESSAGE_BYTES)
        except ConnectionResetError:
            break
        if not data:
            break
        received += len(data)
    return received


def test_order_given_up_behind_a_cut_does_not_arrive_after_it(listener, run):
    result = run(send_order(listener))
    assert result.status is None
    assert result.written
    assert count_arriving_bytes(listener) < MESSAGE_BYTES


def test_order_of_a_killed_daemon_does_not_arrive_after_a_cut(
    listener, loop_name
):
    # The kernel closes the connections of a process that has ended.
    host, port = listener.getsockname()
    process = subprocess.Popen(
        [sys.executable, "-c", SENDING_PROCESS, f"{host}:{port}", loop_name],
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        stdout=subprocess.PIPE,
    )
    with process:
        process.stdout.readline()
        process.kill()
    assert count_arriving_bytes(listener) < MESSAGE_BYTES


def test_order_of_a_frozen_daemon_does_not_arrive_after_a_cut(listener, run):
    async def freeze_while_waiting():
        order = asyncio.create_task(send_order(listener))
        await asyncio.sleep(ORDER_TIMEOUT_S / 2)
        freeze(2 * key_owners.MAX_UNACKNOWLEDGED_S)
        received = await asyncio.to_thread(count_arriving_bytes, listener)
        await order
        return received

    assert run(freeze_while_waiting()) < MESSAGE_BYTES


def test_order_of_a_frozen_daemon_is_discarded_before_the_next_leader_grants(
    listener, run
):
    # The next leader counts on it from when the order would be given up.
    wait_s = order_sender.ORDER_TIMEOUT_S + key_orders.IN_FLIGHT_MARGIN_S

    async def freeze_while_waiting():
        owners = key_owners.KeyOwners("stock", dict, frozenset, 0.0)
        order = asyncio.create_task(
            owners.send_order(
                owner_at(listener),
                b"x" * MESSAGE_BYTES,
                order_sender.ORDER_TIMEOUT_S,
                lambda: True,
            )
        )
        connection, _ = await asyncio.to_thread(listener.accept)
        with connection:
            await asyncio.to_thread(connection.recv, 1)
            freeze(wait_s)
            received = await asyncio.to_thread(receive_all, connection)
        await order
        return received

    assert run(freeze_while_waiting()) < MESSAGE_BYTES / 2


def test_order_under_way_is_discarded_once_the_term_is_not_confirmed(
    listener, run, monkeypatch
):
    # The host was suspended with the order in its kernel, and has just woken.
    monkeypatch.setattr(key_owners, "MAX_UNACKNOWLEDGED_S", 60.0)

    async def lose_the_term():
        owners = key_owners.KeyOwners("stock", dict, frozenset, 0.0)
        order = asyncio.create_task(
            owners.send_order(
                owner_at(listener), b"x" * MESSAGE_BYTES, 60.0, lambda: True
            )
        )
        connection, _ = await asyncio.to_thread(listener.accept)
        with connection:
            await asyncio.to_thread(connection.recv, 1)
            sender = order_sender.OrderSender(
                "stock",
                keyspace.empty_assignment(),
                owners,
                asyncio.TaskGroup(),
                may_send_orders=lambda: False,
                is_exclusive=lambda: True,
                on_spans_changed=lambda: None,
                on_owners_changed=lambda: None,
                on_former_gone=lambda: None,
                on_fenced=lambda grant: None,
                clock_s=time.monotonic,
            )
            sender.send_due()
            async with asyncio.timeout(5.0):
                result = await order
            return result, receive_all(connection)

    result, received = run(lose_the_term())
    assert result.status is None
    assert result.written
    assert received < MESSAGE_BYTES / 2


def test_report_over_a_link_that_was_given_up_does_not_arrive_after_a_cut(
    listener, run
):
    # A leader would take it for a sign that its term is confirmed now.
    async def give_up_the_link():
        host, port = listener.getsockname()
        link = await peer_links.connect(
            f"{host}:{port}", "front-0", lambda *_: None, lambda _: None
        )
        link.send(message_kinds.MessageKind.DAEMON_REPORT, b"x" * MESSAGE_BYTES)
        await asyncio.sleep(ORDER_TIMEOUT_S)
        link.close()

    run(give_up_the_link())
    assert count_arriving_bytes(listener) < MESSAGE_BYTES


def test_request_given_up_after_the_upstream_half_closed_does_not_arrive(
    listener, run
):
    # The transport waits then until it has written what it has buffered.
    request_bytes = 4 * 1024 * 1024

    async def give_up_the_request():
        host, port = listener.getsockname()
        connection = await http1.connect(f"{host}:{port}", 1.0)
        upstream, _ = listener.accept()
        upstream.shutdown(socket.SHUT_WR)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                await connection.exchange(b"x" * request_bytes)
        await asyncio.sleep(ORDER_TIMEOUT_S / 2)
        with upstream:
            return await asyncio.to_thread(receive_all, upstream)

    assert run(give_up_the_request()) < request_bytes / 16
