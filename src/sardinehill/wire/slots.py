"""Encodes and decodes the messages in `core.load.slot_messages`."""

from typing import Any

import capnp

from sardinehill import errors
from sardinehill.core.load import slot_messages
from sardinehill.wire import schemas

_SCHEMA = schemas.load("slots")
_US_PER_S = 1_000_000
_MAX_INT32 = 2**31 - 1
_MAX_UINT32 = 2**32 - 1
_MAX_UINT16 = 2**16 - 1
# A longer message, or one with more items in a list, is refused: reading it
# would delay requests.
MAX_MESSAGE_BYTES = 256 * 1024
MAX_ITEMS = 8192


def _bounded(value: float, lowest: int, highest: int) -> int:
    """Returns an integer in these bounds; the lowest for not a number."""
    if not value > lowest:
        return lowest
    return highest if value >= highest else int(value)


def _microseconds(time_s: float) -> int:
    return _bounded(time_s * _US_PER_S, 0, _MAX_UINT32)


def _index(positions: dict[str, int], name: str) -> int:
    """Returns the position of a name in the message, which it is added to."""
    return positions.setdefault(name, len(positions))


def _encoded(struct: Any, **lists: list[Any]) -> bytes:
    """Returns a message of lists. Empty ones are omitted to save bytes."""
    message = struct.new_message(
        **{name: items for name, items in lists.items() if items}
    )
    return bytes(message.to_bytes())


def _read(struct: Any, data: bytes, *lists: str) -> Any:
    """Returns a reader of a message with bounded lists of these names.

    Raises:
      ValueError: the message is too long.
      capnp.KjException: the bytes are not a message of this struct.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"{len(data)} bytes are too long")
    message = schemas.read(struct, data)
    for name in lists:
        if len(getattr(message, name)) > MAX_ITEMS:
            raise ValueError(f"too many {name}")
    return message


def encode_requests(message: slot_messages.SlotRequests) -> bytes:
    """Returns the message for requests for slots, and releases of slots."""
    names: dict[str, int] = {}
    groups: dict[slot_messages.SlotGroup, int] = {}
    for request in message.requests:
        groups.setdefault(request.group, len(groups))
    for release in message.releases:
        groups.setdefault(release.group, len(groups))
    lists: dict[str, list[Any]] = {
        "groups": [
            {
                "service": _index(names, group.service),
                "zone": _index(names, group.zone),
                "upstream": _index(names, group.upstream),
                "part": group.part,
            }
            for group in groups
        ],
        "requests": [
            {
                "requestId": request.request_id,
                "group": groups[request.group],
                "priority": _bounded(
                    request.priority, 0, slot_messages.LOWEST_PRIORITY
                ),
                "hasReturned": request.has_returned,
                "onlyIfFree": request.only_if_free,
                "workUs": _microseconds(request.work_s),
                "objectiveLeftUs": _bounded(
                    request.objective_left_s * _US_PER_S,
                    -_MAX_INT32,
                    _MAX_INT32,
                ),
                "timeLeftUs": _microseconds(request.time_left_s),
                "bodyBytes": _bounded(request.body_bytes, 0, _MAX_UINT32),
                "routeId": _bounded(request.route_id, 0, _MAX_UINT32),
                "avoided": [_index(names, name) for name in request.avoided],
            }
            for request in message.requests
        ],
        "releases": [
            {
                "requestId": release.request_id,
                "group": groups[release.group],
                "upstream": _index(names, release.upstream),
                "outcome": release.outcome.value,
                "latencyUs": _microseconds(release.latency_s),
                **_load_fields(release.load),
            }
            for release in message.releases
        ],
    }
    return _encoded(_SCHEMA.Requests, names=list(names), **lists)


def _load_fields(
    load: slot_messages.LoadReport | None,
) -> dict[str, int | float | bool]:
    if load is None:
        return {}
    return {
        "hasLoad": True,
        "running": _bounded(load.running, -_MAX_INT32, _MAX_INT32),
        "waiting": _bounded(load.waiting, -_MAX_INT32, _MAX_INT32),
        "slowness": load.slowness,
    }


def decode_requests(data: bytes) -> slot_messages.SlotRequests:
    """Returns the requests for slots, and releases of slots, in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = _read(
            _SCHEMA.Requests, data, "names", "groups", "requests", "releases"
        )
        names = list(message.names)
        groups = [
            slot_messages.SlotGroup(
                names[group.service],
                names[group.zone],
                group.part,
                names[group.upstream],
            )
            for group in message.groups
        ]
        return slot_messages.SlotRequests(
            [
                slot_messages.SlotRequest(
                    request_id=request.requestId,
                    group=groups[request.group],
                    priority=request.priority,
                    work_s=request.workUs / _US_PER_S,
                    objective_left_s=request.objectiveLeftUs / _US_PER_S,
                    time_left_s=request.timeLeftUs / _US_PER_S,
                    avoided=tuple(names[index] for index in request.avoided),
                    body_bytes=request.bodyBytes,
                    route_id=request.routeId,
                    has_returned=request.hasReturned,
                    only_if_free=request.onlyIfFree,
                )
                for request in message.requests
            ],
            [
                slot_messages.SlotRelease(
                    request_id=release.requestId,
                    group=groups[release.group],
                    upstream=names[release.upstream],
                    outcome=slot_messages.SlotOutcome(release.outcome),
                    latency_s=release.latencyUs / _US_PER_S,
                    load=slot_messages.LoadReport(
                        release.running, release.waiting, release.slowness
                    )
                    if release.hasLoad
                    else None,
                )
                for release in message.releases
            ],
        )
    except (capnp.KjException, ValueError, IndexError) as error:
        raise errors.PeerFrameError(f"not slot requests: {error}") from error


def encode_decisions(message: slot_messages.SlotDecisions) -> bytes:
    """Returns the message for a scheduler's decisions."""
    names: dict[str, int] = {}
    lists: dict[str, list[Any]] = {
        "grants": [
            {
                "requestId": grant.request_id,
                "upstream": _index(names, grant.upstream),
            }
            for grant in message.grants
        ],
        "refusals": [
            {
                "requestId": refusal.request_id,
                "reason": refusal.reason.value,
                "slots": _bounded(refusal.slots, 0, _MAX_UINT16),
                "requestsAhead": _bounded(
                    refusal.requests_ahead, 0, _MAX_UINT32
                ),
                "retryAfterUs": _microseconds(refusal.retry_after_s),
                "expectedWaitUs": _microseconds(refusal.expected_wait_s),
            }
            for refusal in message.refusals
        ],
        "queued": [
            {
                "requestId": queued.request_id,
                "expectedWaitUs": _microseconds(queued.expected_wait_s),
            }
            for queued in message.queued
        ],
    }
    return _encoded(_SCHEMA.Decisions, names=list(names), **lists)


def decode_decisions(data: bytes) -> slot_messages.SlotDecisions:
    """Returns the scheduler's decisions in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = _read(
            _SCHEMA.Decisions, data, "names", "grants", "refusals", "queued"
        )
        names = list(message.names)
        return slot_messages.SlotDecisions(
            [
                slot_messages.SlotGrant(grant.requestId, names[grant.upstream])
                for grant in message.grants
            ],
            [
                slot_messages.SlotRefusal(
                    request_id=refusal.requestId,
                    reason=slot_messages.SlotRefusalReason(refusal.reason),
                    retry_after_s=refusal.retryAfterUs / _US_PER_S,
                    expected_wait_s=refusal.expectedWaitUs / _US_PER_S,
                    requests_ahead=refusal.requestsAhead,
                    slots=refusal.slots,
                )
                for refusal in message.refusals
            ],
            [
                slot_messages.SlotQueued(
                    queued.requestId, queued.expectedWaitUs / _US_PER_S
                )
                for queued in message.queued
            ],
        )
    except (capnp.KjException, ValueError, IndexError) as error:
        raise errors.PeerFrameError(f"not slot decisions: {error}") from error
