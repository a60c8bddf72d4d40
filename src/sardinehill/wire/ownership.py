"""Encodes and decodes a controller's messages with members and gateways."""

from collections.abc import Iterable
from typing import Any

import capnp

from sardinehill import errors
from sardinehill.core import grants
from sardinehill.core import load_estimation
from sardinehill.core import quorum
from sardinehill.wire import schemas

_SCHEMA = schemas.load("ownership")


def encode_vote_request(request: quorum.VoteRequest) -> bytes:
    """Returns the message for a vote request."""
    message = _SCHEMA.VouchQuery.new_message(
        service=request.service, term=request.term, seal=request.seal
    )
    return bytes(message.to_bytes())


def decode_vote_request(data: bytes) -> quorum.VoteRequest:
    """Returns the vote request in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.VouchQuery, data)
        return quorum.VoteRequest(message.service, message.term, message.seal)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a vote request: {error}") from error


def encode_vote_response(response: quorum.VoteResponse) -> bytes:
    """Returns the message for a vote response.

    The age of the last vote is rounded down. The vote then seems newer, and the
    controller at most waits longer than necessary.
    """
    message = _SCHEMA.VouchAnswer.new_message(
        granted=response.granted,
        highestTerm=response.highest_term,
        primed=response.primed,
        vouchedAgoMs=int(response.last_vote_age_s * 1000),
    )
    return bytes(message.to_bytes())


def decode_vote_response(data: bytes) -> quorum.VoteResponse:
    """Returns the vote response in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.VouchAnswer, data)
        return quorum.VoteResponse(
            message.granted,
            message.highestTerm,
            message.primed,
            message.vouchedAgoMs / 1000,
        )
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a vote response: {error}") from error


def encode_grant(service: str, grant: grants.Grant) -> bytes:
    """Returns the message for a grant to a gateway."""
    shards = [unit for unit in grant.units if isinstance(unit, int)]
    message = _SCHEMA.GatewayGrant.new_message(
        service=service,
        upstream=grant.target.upstream,
        daemon=grant.target.daemon,
        term=grant.term,
        sequence=grant.sequence,
        shards=[
            {"first": first, "last": last}
            for first, last in grants.shard_ranges(shards)
        ],
        hotKeys=sorted(unit for unit in grant.units if isinstance(unit, str)),
        exceptKeys=sorted(grant.except_keys),
        ttlMs=int(grant.ttl_s * 1000),
        incarnation=grant.incarnation,
        stampMs=grant.stamp_ms,
    )
    return bytes(message.to_bytes())


def decode_grant(data: bytes) -> tuple[str, grants.Grant]:
    """Returns the service and the grant in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.GatewayGrant, data)
        units: set[grants.Unit] = set(_decode_shards(message.shards))
        units.update(message.hotKeys)
        grant = grants.Grant(
            target=grants.GrantTarget(message.upstream, message.daemon),
            term=message.term,
            sequence=message.sequence,
            units=frozenset(units),
            except_keys=frozenset(message.exceptKeys),
            ttl_s=message.ttlMs / 1000,
            incarnation=message.incarnation,
            stamp_ms=message.stampMs,
        )
        return message.service, grant
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a grant: {error}") from error


def _decode_shards(shard_ranges: Any) -> Iterable[int]:
    count = 0
    for shard_range in shard_ranges:
        count += max(0, shard_range.last - shard_range.first + 1)
        if count > grants.MAX_GRANT_SHARDS:
            raise ValueError(f"more than {grants.MAX_GRANT_SHARDS} shards")
        yield from range(shard_range.first, shard_range.last + 1)


def encode_grant_answer(
    answer: grants.GrantAnswer, report: load_estimation.UsageReport
) -> bytes:
    """Returns the message for a gateway's grant answer and usage report."""
    message = _SCHEMA.GatewayAnswer.new_message(
        accepted=answer.accepted,
        term=answer.term,
        sequence=answer.sequence,
        incarnation=answer.incarnation,
        clockMs=answer.clock_ms,
        runningOutside=answer.running_outside,
        shardCounts=[
            {"shard": shard, "count": count}
            for shard, count in report.shard_requests.items()
        ],
        keyCounts=[
            {"key": key, "count": count}
            for key, count in report.key_requests.items()
        ],
    )
    return bytes(message.to_bytes())


def decode_grant_answer(
    data: bytes,
) -> tuple[grants.GrantAnswer, load_estimation.UsageReport]:
    """Returns a gateway's grant answer and its usage report.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.GatewayAnswer, data)
        answer = grants.GrantAnswer(
            message.accepted,
            message.term,
            message.sequence,
            message.incarnation,
            message.clockMs,
            message.runningOutside,
        )
        report = load_estimation.UsageReport(
            {item.shard: item.count for item in message.shardCounts},
            {item.key: item.count for item in message.keyCounts},
        )
        return answer, report
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a grant answer: {error}") from error
