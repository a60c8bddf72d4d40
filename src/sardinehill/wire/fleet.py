"""Codec of the messages in `core.fleet_messages`."""

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


def _reader(function: Callable[_P, _T]) -> Callable[_P, _T]:
    """Turns what the library raises for garbage into a `PeerFrameError`."""

    @functools.wraps(function)
    def read(*args: _P.args, **kwargs: _P.kwargs) -> _T:
        try:
            return function(*args, **kwargs)
        except (capnp.KjException, ValueError, IndexError) as error:
            raise errors.PeerFrameError(f"a bad message: {error}") from error

    return read


def _count(value: float) -> int:
    return min(max(int(value), 0), _MAX_UINT32)


def encode_report(report: fleet_messages.DaemonReport) -> bytes:
    """Returns the bytes of a report."""
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
                "latencyUs": _count(use.latency_s * _MILLION),
            }
            for use in report.keys
        ],
        upstreams=[
            {
                "upstream": use.upstream,
                "answers": use.answers,
                "slownessSum": _count(use.slowness_sum * _THOUSAND),
            }
            for use in report.upstreams
        ],
        refused=[
            {"service": span.service, "key": span.key, "epoch": span.epoch}
            for span in report.refused
        ],
        storeReachable=report.store_reachable,
    )
    return bytes(message.to_bytes())


@_reader
def decode_report(data: bytes) -> fleet_messages.DaemonReport:
    """Returns the report in some bytes.

    Raises:
      PeerFrameError: the bytes are not a report.
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
    places = {name: place for place, name in enumerate(upstreams)}
    return {
        "service": service,
        "upstreams": upstreams,
        "spans": [
            {
                "first": span.first,
                "last": span.last,
                "upstream": places[span.upstream],
                "live": span.live,
                "epoch": span.epoch,
            }
            for span in spans
        ],
    }


def encode_table(table: fleet_messages.LeaderTable) -> bytes:
    """Returns the bytes of a table."""
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
            {"account": account, "shareMillionths": _count(share * _MILLION)}
            for account, share in table.shares.items()
        ],
        ageMs=_count(table.age_s * _THOUSAND),
        resigned=table.resigned,
        newsRevisions=table.store_revisions,
        lendable=[
            {"account": account, "tokens": _count(tokens * _THOUSAND)}
            for account, tokens in table.lendable.items()
        ],
    )
    return bytes(message.to_bytes())


@_reader
def decode_table(data: bytes) -> fleet_messages.LeaderTable:
    """Returns the table in some bytes.

    Raises:
      PeerFrameError: the bytes are not a table.
    """
    message = schemas.read(_SCHEMA.Table, data)
    spans: dict[str, list[fleet_messages.OwnerSpan]] | None = None
    if message.hasSpans:
        spans = {}
        for service in message.services:
            names = list(service.upstreams)
            spans[service.service] = [
                fleet_messages.OwnerSpan(
                    span.first,
                    span.last,
                    names[span.upstream],
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
    """Returns the bytes of a change in the store."""
    message = _SCHEMA.NewsChange.new_message(
        kind=change.kind,
        sinceRevision=change.since_revision,
        revision=change.revision,
        documents=change.documents,
        gone=change.gone,
    )
    return bytes(message.to_bytes())


@_reader
def decode_store_change(data: bytes) -> fleet_messages.StoreChange:
    """Returns the change in some bytes.

    Raises:
      PeerFrameError: the bytes are not a change.
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
    """Returns the bytes of a question for news."""
    message = _SCHEMA.NewsQuery.new_message(
        configRevision=query.config_revision,
        upstreamsRevision=query.upstreams_revision,
        zonesRevision=query.zones_revision,
    )
    return bytes(message.to_bytes())


@_reader
def decode_store_state_query(data: bytes) -> fleet_messages.StoreStateQuery:
    """Returns the question in some bytes.

    Raises:
      PeerFrameError: the bytes are not such a question.
    """
    message = schemas.read(_SCHEMA.NewsQuery, data)
    return fleet_messages.StoreStateQuery(
        message.configRevision, message.upstreamsRevision, message.zonesRevision
    )


def encode_store_state(news: fleet_messages.StoreState) -> bytes:
    """Returns the bytes of news."""
    message = _SCHEMA.News.new_message(
        configRevision=news.config_revision,
        config=news.config,
        upstreamsRevision=news.upstreams_revision,
        upstreams=news.upstreams,
        zonesRevision=news.zones_revision,
        zones=news.zones,
        ageMs=_count(news.age_s * _THOUSAND),
    )
    return bytes(message.to_bytes())


@_reader
def decode_store_state(data: bytes) -> fleet_messages.StoreState:
    """Returns the news in some bytes.

    Raises:
      PeerFrameError: the bytes are not news.
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


def encode_token_requests(wishes: list[fleet_messages.TokenRequest]) -> bytes:
    """Returns the bytes of a question for tokens."""
    message = _SCHEMA.LoanQuery.new_message(
        wishes=[
            {
                "account": wish.account,
                "tokens": min(wish.tokens, _MAX_UINT16),
            }
            for wish in wishes
        ]
    )
    return bytes(message.to_bytes())


@_reader
def decode_token_requests(data: bytes) -> list[fleet_messages.TokenRequest]:
    """Returns the wishes in some bytes.

    Raises:
      PeerFrameError: the bytes are not such a question.
    """
    message = schemas.read(_SCHEMA.LoanQuery, data)
    return [
        fleet_messages.TokenRequest(item.account, item.tokens)
        for item in message.wishes
    ]


def encode_token_loans(loans: list[fleet_messages.TokenLoan]) -> bytes:
    """Returns the bytes of an answer to wishes."""
    message = _SCHEMA.Loans.new_message(
        loans=[
            {
                "account": loan.account,
                "tokens": loan.tokens,
                "waitMs": _count(loan.wait_s * _THOUSAND),
            }
            for loan in loans
        ]
    )
    return bytes(message.to_bytes())


@_reader
def decode_token_loans(data: bytes) -> list[fleet_messages.TokenLoan]:
    """Returns the loans in some bytes.

    Raises:
      PeerFrameError: the bytes are not such an answer.
    """
    message = schemas.read(_SCHEMA.Loans, data)
    return [
        fleet_messages.TokenLoan(
            item.account, item.tokens, item.waitMs / _THOUSAND
        )
        for item in message.loans
    ]
