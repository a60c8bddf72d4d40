"""Encodes and decodes the messages in `core.fleet_messages`."""

from collections.abc import Callable
import functools
from typing import Any
from typing import ParamSpec
from typing import TypeVar

import capnp

from sardinehill import errors
from sardinehill.core import fleet_messages
from sardinehill.wire import schemas

_SCHEMA = schemas.load("fleet")
_MILLION = 1_000_000
_THOUSAND = 1000
_MAX_UINT16 = 2**16 - 1
_MAX_UINT32 = 2**32 - 1

_P = ParamSpec("_P")
_T = TypeVar("_T")


def _raises_peer_frame_error(function: Callable[_P, _T]) -> Callable[_P, _T]:
    """Makes a decoder raise `PeerFrameError` for malformed messages."""

    @functools.wraps(function)
    def decode(*args: _P.args, **kwargs: _P.kwargs) -> _T:
        try:
            return function(*args, **kwargs)
        except (capnp.KjException, ValueError, IndexError) as error:
            raise errors.PeerFrameError(
                f"malformed message: {error}"
            ) from error

    return decode


def _clamped_uint32(value: float) -> int:
    return min(max(int(value), 0), _MAX_UINT32)


def encode_report(report: fleet_messages.DaemonReport) -> bytes:
    """Returns the message for a report."""
    message = _SCHEMA.Report.new_message(
        daemon=report.daemon,
        address=report.address,
        term=report.term,
        demand=[
            {"account": account, "requests": requests}
            for account, requests in report.demand.items()
        ],
        keys=[
            {
                "service": use.service,
                "keys": use.keys,
                "latencyUs": _clamped_uint32(use.latency_s * _MILLION),
            }
            for use in report.keys
        ],
        upstreams=[
            {
                "upstream": use.upstream,
                "answers": use.answers,
                "slownessSum": _clamped_uint32(use.slowness_sum * _THOUSAND),
            }
            for use in report.upstreams
        ],
        refused=[
            {
                "service": refused.service,
                "key": refused.key,
                "epoch": refused.epoch,
            }
            for refused in report.refused
        ],
        storeReachable=report.store_reachable,
    )
    return bytes(message.to_bytes())


@_raises_peer_frame_error
def decode_report(data: bytes) -> fleet_messages.DaemonReport:
    """Returns the report in a message.

    Raises:
      PeerFrameError: the bytes are not a valid report.
    """
    message = schemas.read(_SCHEMA.Report, data)
    return fleet_messages.DaemonReport(
        daemon=message.daemon,
        address=message.address,
        term=message.term,
        demand={item.account: item.requests for item in message.demand},
        keys=[
            fleet_messages.KeyUse(
                item.service, list(item.keys), item.latencyUs / _MILLION
            )
            for item in message.keys
        ],
        upstreams=[
            fleet_messages.UpstreamUse(
                item.upstream, item.answers, item.slownessSum / _THOUSAND
            )
            for item in message.upstreams
        ],
        refused=[
            fleet_messages.RefusedKey(item.service, item.key, item.epoch)
            for item in message.refused
        ],
        store_reachable=message.storeReachable,
    )


def _service_table(
    service: str, spans: list[fleet_messages.OwnerSpan]
) -> dict[str, Any]:
    upstreams = sorted({span.upstream for span in spans})
    index_by_name = {name: index for index, name in enumerate(upstreams)}
    return {
        "service": service,
        "upstreams": upstreams,
        "spans": [
            {
                "first": span.first,
                "last": span.last,
                "upstream": index_by_name[span.upstream],
                "live": span.live,
                "epoch": span.epoch,
            }
            for span in spans
        ],
    }


def encode_table(table: fleet_messages.LeaderTable) -> bytes:
    """Returns the message for a leader table."""
    message = _SCHEMA.Table.new_message(
        term=table.term,
        leader=table.leader,
        leaderAddress=table.leader_address,
        serial=table.serial,
        daemons=table.daemons,
        storeReachable=table.store_reachable,
        hasSpans=table.spans is not None,
        services=[
            _service_table(service, spans)
            for service, spans in (table.spans or {}).items()
        ],
        shares=[
            {
                "account": account,
                "shareMillionths": _clamped_uint32(share * _MILLION),
            }
            for account, share in table.shares.items()
        ],
        ageMs=_clamped_uint32(table.age_s * _THOUSAND),
        resigned=table.resigned,
        newsRevisions=table.store_revisions,
        lendable=[
            {"account": account, "tokens": _clamped_uint32(tokens * _THOUSAND)}
            for account, tokens in table.lendable.items()
        ],
    )
    return bytes(message.to_bytes())


@_raises_peer_frame_error
def decode_table(data: bytes) -> fleet_messages.LeaderTable:
    """Returns the leader table in a message.

    Raises:
      PeerFrameError: the bytes are not a valid leader table.
    """
    message = schemas.read(_SCHEMA.Table, data)
    spans: dict[str, list[fleet_messages.OwnerSpan]] | None = None
    if message.hasSpans:
        spans = {}
        for service in message.services:
            upstreams = list(service.upstreams)
            spans[service.service] = [
                fleet_messages.OwnerSpan(
                    span.first,
                    span.last,
                    upstreams[span.upstream],
                    span.epoch,
                    span.live,
                )
                for span in service.spans
            ]
    return fleet_messages.LeaderTable(
        term=message.term,
        leader=message.leader,
        leader_address=message.leaderAddress,
        serial=message.serial,
        daemons=message.daemons,
        store_reachable=message.storeReachable,
        spans=spans,
        shares={
            item.account: item.shareMillionths / _MILLION
            for item in message.shares
        },
        age_s=message.ageMs / _THOUSAND,
        resigned=message.resigned,
        store_revisions=list(message.newsRevisions),
        lendable={
            item.account: item.tokens / _THOUSAND for item in message.lendable
        },
    )


def encode_store_change(change: fleet_messages.StoreChange) -> bytes:
    """Returns the message for a change in the store."""
    message = _SCHEMA.NewsChange.new_message(
        kind=change.kind,
        sinceRevision=change.since_revision,
        revision=change.revision,
        documents=change.documents,
        gone=change.gone,
    )
    return bytes(message.to_bytes())


@_raises_peer_frame_error
def decode_store_change(data: bytes) -> fleet_messages.StoreChange:
    """Returns the change of the store in a message.

    Raises:
      PeerFrameError: the bytes are not a valid change.
    """
    message = schemas.read(_SCHEMA.NewsChange, data)
    return fleet_messages.StoreChange(
        message.kind,
        message.sinceRevision,
        message.revision,
        bytes(message.documents),
        list(message.gone),
    )


def encode_store_state_query(query: fleet_messages.StoreStateQuery) -> bytes:
    """Returns the message for a query of the store's state."""
    message = _SCHEMA.NewsQuery.new_message(
        configRevision=query.config_revision,
        upstreamsRevision=query.upstreams_revision,
        zonesRevision=query.zones_revision,
    )
    return bytes(message.to_bytes())


@_raises_peer_frame_error
def decode_store_state_query(data: bytes) -> fleet_messages.StoreStateQuery:
    """Returns the query in a message.

    Raises:
      PeerFrameError: the bytes are not a valid query.
    """
    message = schemas.read(_SCHEMA.NewsQuery, data)
    return fleet_messages.StoreStateQuery(
        message.configRevision, message.upstreamsRevision, message.zonesRevision
    )


def encode_store_state(state: fleet_messages.StoreState) -> bytes:
    """Returns the message for a state of the store."""
    message = _SCHEMA.News.new_message(
        configRevision=state.config_revision,
        config=state.config,
        upstreamsRevision=state.upstreams_revision,
        upstreams=state.upstreams,
        zonesRevision=state.zones_revision,
        zones=state.zones,
        ageMs=_clamped_uint32(state.age_s * _THOUSAND),
    )
    return bytes(message.to_bytes())


@_raises_peer_frame_error
def decode_store_state(data: bytes) -> fleet_messages.StoreState:
    """Returns the state of the store in a message.

    Raises:
      PeerFrameError: the bytes are not a valid state.
    """
    message = schemas.read(_SCHEMA.News, data)
    return fleet_messages.StoreState(
        config_revision=message.configRevision,
        config=bytes(message.config),
        upstreams_revision=message.upstreamsRevision,
        upstreams=bytes(message.upstreams),
        zones_revision=message.zonesRevision,
        zones=bytes(message.zones),
        age_s=message.ageMs / _THOUSAND,
    )


def encode_token_requests(requests: list[fleet_messages.TokenRequest]) -> bytes:
    """Returns the message for token requests."""
    message = _SCHEMA.LoanQuery.new_message(
        wishes=[
            {
                "account": request.account,
                "tokens": min(request.tokens, _MAX_UINT16),
            }
            for request in requests
        ]
    )
    return bytes(message.to_bytes())


@_raises_peer_frame_error
def decode_token_requests(data: bytes) -> list[fleet_messages.TokenRequest]:
    """Returns the token requests in a message.

    Raises:
      PeerFrameError: the bytes are not valid token requests.
    """
    message = schemas.read(_SCHEMA.LoanQuery, data)
    return [
        fleet_messages.TokenRequest(item.account, item.tokens)
        for item in message.wishes
    ]


def encode_token_loans(loans: list[fleet_messages.TokenLoan]) -> bytes:
    """Returns the message for token loans."""
    message = _SCHEMA.Loans.new_message(
        loans=[
            {
                "account": loan.account,
                "tokens": loan.tokens,
                "waitMs": _clamped_uint32(loan.wait_s * _THOUSAND),
            }
            for loan in loans
        ]
    )
    return bytes(message.to_bytes())


@_raises_peer_frame_error
def decode_token_loans(data: bytes) -> list[fleet_messages.TokenLoan]:
    """Returns the token loans in a message.

    Raises:
      PeerFrameError: the bytes are not valid token loans.
    """
    message = schemas.read(_SCHEMA.Loans, data)
    return [
        fleet_messages.TokenLoan(
            item.account, item.tokens, item.waitMs / _THOUSAND
        )
        for item in message.loans
    ]
