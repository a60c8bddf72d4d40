"""A client that keeps a connection and may send ahead on it."""

import asyncio
import contextlib
import time

import fleet as fleet_module

# TCP sends the first 10 segments at once and twice as many in each round trip
# after it.
SEGMENT_BYTES = 1448
FIRST_SEGMENTS = 10
ROUND_TRIP_S = 0.006


async def write_as_tcp(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes bytes in the bursts in which a network delivers them."""
    segments = FIRST_SEGMENTS
    while data:
        burst = data[: segments * SEGMENT_BYTES]
        data = data[len(burst) :]
        writer.write(burst)
        await writer.drain()
        if data:
            await asyncio.sleep(ROUND_TRIP_S)
        segments *= 2


async def send_batch(
    fleet: fleet_module.Fleet,
    daemon: fleet_module.Daemon,
    path: str,
    count: int,
    headers: dict[str, str],
    sends_ahead: bool,
    limit_s: float = 2.0,
) -> list[fleet_module.Outcome]:
    """Sends requests over one connection and returns what became of each.

    A request behind an answer that closes the connection counts as not read. It
    is left out, as the client would send it again elsewhere.

    Args:
      fleet: the fleet.
      daemon: the daemon.
      path: the path of all requests.
      count: how many requests are sent.
      headers: further headers of each.
      sends_ahead: whether all are sent before the first is answered.
      limit_s: the time limit of each request.
    """
    outcomes: list[fleet_module.Outcome] = []
    reader, writer = await asyncio.open_connection(
        fleet_module.HOST, daemon.front_port, limit=1 << 21
    )
    ids = [fleet.new_id() for _ in range(count)]
    requests = []
    for request_id in ids:
        lines = [
            f"GET {path} HTTP/1.1",
            f"Host: {fleet_module.SITE_HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {int(limit_s * 1000)}",
            f"X-Credential: {fleet_module.API_KEY}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        requests.append("\r\n".join([*lines, "", ""]).encode())
    writing: asyncio.Task[None] | None = None
    try:
        for index, request_id in enumerate(ids):
            if not sends_ahead:
                await write_as_tcp(writer, requests[index])
            elif writing is None:
                writing = asyncio.create_task(
                    write_as_tcp(writer, b"".join(requests))
                )
            sent_s = time.monotonic()
            fleet.record.write(
                "sent", id=request_id, daemon=daemon.name, path=path
            )
            found = None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s + 1.0):
                    found = await fleet_module.read_message(reader)
            if found is None:
                break
            outcome = fleet_module.Outcome(
                request_id,
                found.status,
                found.headers,
                found.body,
                sent_s,
                time.monotonic(),
                daemon.front_port,
            )
            outcomes.append(outcome)
            fleet.record.write(
                "answered",
                id=request_id,
                daemon=daemon.name,
                status=found.status,
                stamp=found.headers.get("x-response-stamp"),
            )
            if found.headers.get("connection", "").lower() == "close":
                break
    except OSError:
        pass
    finally:
        if writing is not None:
            writing.cancel()
        writer.close()
    return outcomes
