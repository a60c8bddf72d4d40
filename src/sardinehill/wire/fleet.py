"""Encodes and decodes the messages in `core.fleet_messages`."""

from collections.abc import Callable
import functools
import itertools
from typing import Any
from typing import ParamSpec
from typing import TypeVar

import capnp

from sardinehill import errors
from sardinehill.core import fleet_messages
from sardinehill.core import store_versions
from sardinehill.core.load import slot_messages
from sardinehill.wire import compression
from sardinehill.wire import schemas

_SCHEMA = schemas.load("fleet")
_MILLION = 1_000_000
_THOUSAND = 1000
# All documents of one kind take less than this.
_MAX_DOCUMENTS_BYTES = 64 * 1024 * 1024
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
    return int(min(max(value, 0), _MAX_UINT32))


def _encode_documents(
    documents: bytes, receiver_version: int
) -> tuple[bytes, bool]:
    """Returns documents, compressed if the receiver understands that."""
    if receiver_version < 1:
        return documents, False
    return compression.compress(documents)


def _decode_documents(data: Any, is_compressed: bool) -> bytes:
    if not is_compressed:
        return bytes(data)
    return compression.decompress(bytes(data), _MAX_DOCUMENTS_BYTES)


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
        protocolVersion=report.protocol_version,
        needsSpans=report.needs_spans,
        limits=[_encoded_limit(news) for news in report.limits],
        suspects=[_encoded_suspect(news) for news in report.suspects],
        leaving=[_encoded_leaving(news) for news in report.leaving],
        upstreamsReachable=report.upstreams_reachable,
        zone=report.zone,
        cpuCapacity=_clamped_uint32(report.cpu_capacity * _THOUSAND),
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
        protocol_version=message.protocolVersion,
        needs_spans=message.needsSpans,
        limits=[_decoded_limit(item) for item in message.limits],
        suspects=[_decoded_suspect(item) for item in message.suspects],
        leaving=[_decoded_leaving(item) for item in message.leaving],
        upstreams_reachable=message.upstreamsReachable,
        zone=message.zone,
        cpu_capacity=message.cpuCapacity / _THOUSAND,
    )


def _encoded_limit(news: fleet_messages.LimitNews) -> dict[str, Any]:
    return {
        "upstream": news.upstream,
        "rate": _clamped_uint32((news.rate_per_s or 0.0) * _THOUSAND),
        "hasEnded": news.rate_per_s is None,
        "ageMs": _clamped_uint32(news.age_s * _THOUSAND),
    }


def _decoded_limit(item: Any) -> fleet_messages.LimitNews:
    return fleet_messages.LimitNews(
        item.upstream,
        None if item.hasEnded else item.rate / _THOUSAND,
        item.ageMs / _THOUSAND,
    )


def _encoded_suspect(news: fleet_messages.SuspectNews) -> dict[str, Any]:
    return {
        "digest": news.digest,
        "endings": [
            {
                "incarnation": incarnation,
                "ageMs": _clamped_uint32(age_s * _THOUSAND),
            }
            for incarnation, age_s in news.ending_ages_s.items()
        ],
        "hasSurvived": news.survived_age_s is not None,
        "survivedAgeMs": _clamped_uint32(
            (news.survived_age_s or 0.0) * _THOUSAND
        ),
    }


def _decoded_suspect(item: Any) -> fleet_messages.SuspectNews:
    return fleet_messages.SuspectNews(
        bytes(item.digest),
        {
            ending.incarnation: ending.ageMs / _THOUSAND
            for ending in item.endings
        },
        item.survivedAgeMs / _THOUSAND if item.hasSurvived else None,
    )


def _encoded_leaving(news: fleet_messages.LeavingNews) -> dict[str, Any]:
    upstream, started_at_ms = news.incarnation
    return {
        "upstream": upstream,
        "startedAtMs": started_at_ms,
        "ageMs": _clamped_uint32(news.age_s * _THOUSAND),
    }


def _decoded_leaving(item: Any) -> fleet_messages.LeavingNews:
    return fleet_messages.LeavingNews(
        (item.upstream, item.startedAtMs), item.ageMs / _THOUSAND
    )


def _service_table(
    service: str, spans: list[fleet_messages.OwnerSpan]
) -> dict[str, Any]:
    upstreams, encoded_spans = _encode_spans(spans)
    return {
        "service": service,
        "upstreams": upstreams,
        "spans": encoded_spans,
    }


def _service_changes(
    service: str, changes: fleet_messages.ServiceSpanChanges
) -> dict[str, Any]:
    upstreams, encoded_spans = _encode_spans(changes.added)
    return {
        "service": service,
        "removedFirstKeys": changes.removed_first_keys,
        "upstreams": upstreams,
        "added": encoded_spans,
    }


def _encode_spans(
    spans: list[fleet_messages.OwnerSpan],
) -> tuple[list[str], list[dict[str, Any]]]:
    """Returns the spans' owners, and the spans with indexes into them."""
    upstreams = sorted({span.upstream for span in spans})
    index_by_name = {name: index for index, name in enumerate(upstreams)}
    return upstreams, [
        {
            "first": span.first,
            "last": span.last,
            "upstream": index_by_name[span.upstream],
            "live": span.live,
            "epoch": span.epoch,
        }
        for span in spans
    ]


def _decode_spans(
    upstreams: list[str], spans: Any
) -> list[fleet_messages.OwnerSpan]:
    return [
        fleet_messages.OwnerSpan(
            span.first,
            span.last,
            upstreams[span.upstream],
            span.epoch,
            span.live,
        )
        for span in spans
    ]


def encode_table(table: fleet_messages.LeaderTable) -> bytes:
    """Returns the message for a leader table."""
    changes = table.span_changes
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
        documentsAgeMs=_clamped_uint32(table.documents_age_s * _THOUSAND),
        resigned=table.resigned,
        successor=table.successor,
        newsRevisions=[version.revision for version in table.document_versions],
        newsEras=[version.era for version in table.document_versions],
        configuration=table.configuration,
        limits=[_encoded_limit(news) for news in table.limits],
        suspects=[_encoded_suspect(news) for news in table.suspects],
        leaving=[_encoded_leaving(news) for news in table.leaving],
        lendable=[
            {"account": account, "tokens": _clamped_uint32(tokens * _THOUSAND)}
            for account, tokens in table.lendable.items()
        ],
        hasSpanChanges=changes is not None,
        baseSerial=changes.base_serial if changes else 0,
        changedServices=[
            _service_changes(service, service_changes)
            for service, service_changes in (
                changes.services if changes else {}
            ).items()
        ],
        designatesSchedulers=table.designates_schedulers,
        hasSchedulers=table.schedulers is not None,
    )
    if table.schedulers:
        message.schedulers = [
            {"daemon": item.daemon, "address": item.address, "zone": item.zone}
            for item in table.schedulers
        ]
    return bytes(message.to_bytes())


def _decoded_schedulers(
    message: Any,
) -> list[slot_messages.SchedulerEntry] | None:
    if not message.hasSchedulers:
        return None
    return [
        slot_messages.SchedulerEntry(item.daemon, item.address, item.zone)
        for item in message.schedulers
    ]


def _decode_versions(message: Any) -> list[store_versions.StoreVersion]:
    """Returns the versions in a table; daemons that know no eras send none."""
    revisions = list(message.newsRevisions)
    eras = itertools.chain(message.newsEras, itertools.repeat(0))
    return [
        store_versions.StoreVersion(era, revision)
        for era, revision in zip(eras, revisions, strict=False)
    ]


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
            spans[service.service] = _decode_spans(
                list(service.upstreams), service.spans
            )
    span_changes: fleet_messages.SpanChanges | None = None
    if message.hasSpanChanges:
        span_changes = fleet_messages.SpanChanges(
            message.baseSerial,
            {
                service.service: fleet_messages.ServiceSpanChanges(
                    list(service.removedFirstKeys),
                    _decode_spans(list(service.upstreams), service.added),
                )
                for service in message.changedServices
            },
        )
    return fleet_messages.LeaderTable(
        term=message.term,
        leader=message.leader,
        leader_address=message.leaderAddress,
        serial=message.serial,
        daemons=message.daemons,
        store_reachable=message.storeReachable,
        spans=spans,
        span_changes=span_changes,
        shares={
            item.account: item.shareMillionths / _MILLION
            for item in message.shares
        },
        age_s=message.ageMs / _THOUSAND,
        documents_age_s=message.documentsAgeMs / _THOUSAND,
        resigned=message.resigned,
        successor=message.successor,
        document_versions=_decode_versions(message),
        configuration=message.configuration,
        limits=[_decoded_limit(item) for item in message.limits],
        suspects=[_decoded_suspect(item) for item in message.suspects],
        leaving=[_decoded_leaving(item) for item in message.leaving],
        lendable={
            item.account: item.tokens / _THOUSAND for item in message.lendable
        },
        designates_schedulers=message.designatesSchedulers,
        schedulers=_decoded_schedulers(message),
    )


def encode_store_change(
    change: fleet_messages.StoreChange, receiver_version: int
) -> bytes:
    """Returns the message for a change in the store.

    Args:
      change: the change.
      receiver_version: the receiver's `fleet_messages.PROTOCOL_VERSION`.
    """
    documents, is_compressed = _encode_documents(
        change.documents, receiver_version
    )
    message = _SCHEMA.NewsChange.new_message(
        kind=change.kind,
        sinceEra=change.since_version.era,
        sinceRevision=change.since_version.revision,
        era=change.version.era,
        revision=change.version.revision,
        documents=documents,
        gone=change.gone,
        isCompressed=is_compressed,
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
        store_versions.StoreVersion(message.sinceEra, message.sinceRevision),
        store_versions.StoreVersion(message.era, message.revision),
        _decode_documents(message.documents, message.isCompressed),
        list(message.gone),
    )


def encode_store_state_query(query: fleet_messages.StoreStateQuery) -> bytes:
    """Returns the message for a query of the store's state."""
    message = _SCHEMA.NewsQuery.new_message(
        configEra=query.config_version.era,
        configRevision=query.config_version.revision,
        upstreamsEra=query.upstreams_version.era,
        upstreamsRevision=query.upstreams_version.revision,
        zonesEra=query.zones_version.era,
        zonesRevision=query.zones_version.revision,
        configuration=query.configuration,
        protocolVersion=query.protocol_version,
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
        store_versions.StoreVersion(message.configEra, message.configRevision),
        store_versions.StoreVersion(
            message.upstreamsEra, message.upstreamsRevision
        ),
        store_versions.StoreVersion(message.zonesEra, message.zonesRevision),
        message.configuration,
        message.protocolVersion,
    )


def encode_store_state(
    state: fleet_messages.StoreState, receiver_version: int
) -> bytes:
    """Returns the message for a state of the store.

    Args:
      state: the state.
      receiver_version: the receiver's `fleet_messages.PROTOCOL_VERSION`.
    """
    config, config_is_compressed = _encode_documents(
        state.config, receiver_version
    )
    upstreams, upstreams_is_compressed = _encode_documents(
        state.upstreams, receiver_version
    )
    message = _SCHEMA.News.new_message(
        configEra=state.config_version.era,
        configRevision=state.config_version.revision,
        config=config,
        configIsCompressed=config_is_compressed,
        upstreamsEra=state.upstreams_version.era,
        upstreamsRevision=state.upstreams_version.revision,
        upstreams=upstreams,
        upstreamsIsCompressed=upstreams_is_compressed,
        zonesEra=state.zones_version.era,
        zonesRevision=state.zones_version.revision,
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
        config_version=store_versions.StoreVersion(
            message.configEra, message.configRevision
        ),
        config=_decode_documents(message.config, message.configIsCompressed),
        upstreams_version=store_versions.StoreVersion(
            message.upstreamsEra, message.upstreamsRevision
        ),
        upstreams=_decode_documents(
            message.upstreams, message.upstreamsIsCompressed
        ),
        zones_version=store_versions.StoreVersion(
            message.zonesEra, message.zonesRevision
        ),
        zones=bytes(message.zones),
        age_s=message.ageMs / _THOUSAND,
    )


def encode_token_requests(requests: list[fleet_messages.TokenRequest]) -> bytes:
    """Returns the message for token requests."""
    message = _SCHEMA.LoanQuery.new_message(
        wishes=[
            {
                "account": request.name,
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
                "account": loan.name,
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
