"""Tests how requests that get no answer end in the HTTP client."""

import asyncio

import pytest

from sardinehill import errors
from sardinehill.adapters import upstream
from sardinehill.core import fleet
from sardinehill.core import forward_messages
from sardinehill.core import upstream_queue


class SecondRequestDroppingServer:
    """Answers the first request on a connection and drops the second."""

    def __init__(self) -> None:
        self.requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request, reads another and closes the connection."""
        for number in range(2):
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            if number == 0:
                request_id = _header(head, b"sardinehill-request-id")
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                    b"Upstream-Request-Id: " + request_id + b"\r\n\r\n"
                )
        writer.close()


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        found, _, value = line.partition(b": ")
        if found.lower() == name:
            return value
    raise AssertionError(f"{name!r} is missing")


async def _refuse_at_its_time_limit(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Refuses a request that waited for a slot for all of its time."""
    head = await reader.readuntil(b"\r\n\r\n")
    request_id = _header(head, b"sardinehill-request-id")
    await asyncio.sleep(int(_header(head, b"sardinehill-deadline-ms")) / 1000)
    writer.write(
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
        b"Upstream-Not-Run: deadline\r\n"
        b"Upstream-Request-Id: " + request_id + b"\r\n\r\n"
    )
    writer.close()


def _request(number: int, method: str) -> forward_messages.ForwardRequest:
    return forward_messages.ForwardRequest(
        request_id=f"id-{number}",
        service="conti",
        key="k",
        account="hotel",
        method=method,
        path="/x",
        headers=(),
        body=b"",
        deadline_ms=2000,
        upstream="up-1",
        assignment_version=1,
        idempotency_key="",
    )


async def _send_to_full_upstream() -> upstream_queue.SendResult:
    server = await asyncio.start_server(
        _refuse_at_its_time_limit, "127.0.0.1", 0
    )
    ip, port = server.sockets[0].getsockname()[:2]
    client = upstream.UpstreamClient(1)
    host = fleet.UpstreamHost("up-1", "conti", fleet.Address(ip, port), "pa-1")
    result = await client.send(host, _request(0, "POST"), {}, 0.5)
    await client.close()
    server.close()
    return result


async def _send_twice(method: str) -> tuple[int, upstream_queue.SendResult]:
    dropping_server = SecondRequestDroppingServer()
    server = await asyncio.start_server(dropping_server.serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()[:2]
    client = upstream.UpstreamClient(1)
    host = fleet.UpstreamHost("up-1", "conti", fleet.Address(ip, port), "pa-1")
    for number in range(2):
        request = _request(number, method)
        result = await client.send(host, request, {}, 2.0)
    await client.close()
    server.close()
    return dropping_server.requests, result


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_the_http_client_does_not_retry(method: str) -> None:
    requests, result = asyncio.run(_send_twice(method))
    assert requests == 2
    assert result.answer.verdict is errors.Verdict.MAY_HAVE_RUN


def test_request_that_ended_in_the_upstreams_queue_has_not_run() -> None:
    result = asyncio.run(_send_to_full_upstream())
    assert result.answer.verdict is errors.Verdict.NOT_RUN
    assert result.answer.reason is errors.Reason.DEADLINE_PASSED
