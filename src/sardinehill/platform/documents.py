"""Decodes objects of the platform's store into the project's types."""

from collections.abc import Callable
import dataclasses
import functools
import ipaddress
from typing import Any
from typing import ParamSpec
from typing import TypeVar

from sardinehill import tolerant_json
from sardinehill.core import routes
from sardinehill.platform import names

Json = Any
_P = ParamSpec("_P")
_T = TypeVar("_T")
# Far above any sensible value; larger integers cannot be converted to a float.
_MAX_NUMBER = 1e15
# An upstream that claims more would be given all keys.
_MAX_SLOTS = 10_000
_MAX_PORT = 65_535
_PORT_DIGITS = 5
# The longest text that an entry is read with.
_MAX_TEXT_CHARS = 1000

# The fields of entries that are read, with their own fields.
_Fields = dict[str, "_Fields | None"]
_METADATA_FIELDS: _Fields = {"name": None, "revision": None, "deleting": None}
_REGISTRATION_FIELDS: _Fields = {
    "address": None,
    "born": None,
    "info": {"service": None, "zone": None, "slots": None, "version": None},
    "status": {"state": None, "seqNo": None, "coldLeftS": None, "born": None},
}
_READ_FIELDS: dict[str, _Fields] = {
    names.UPSTREAMS_KIND: {
        "metadata": _METADATA_FIELDS,
        "spec": _REGISTRATION_FIELDS,
        **_REGISTRATION_FIELDS,
    },
    names.EVACUATIONS_KIND: {"metadata": _METADATA_FIELDS},
}


class MalformedDocumentError(Exception):
    """Raised for an object of the store with an invalid or missing field."""


def _raises_malformed_document_error(
    function: Callable[_P, _T],
) -> Callable[_P, _T]:
    """Makes a decoder raise `MalformedDocumentError` for any invalid value."""

    @functools.wraps(function)
    def decode(*args: _P.args, **kwargs: _P.kwargs) -> _T:
        try:
            return function(*args, **kwargs)
        except (AttributeError, TypeError, ValueError) as error:
            raise MalformedDocumentError(f"invalid value: {error}") from error

    return decode


def page_fields(kind: str) -> tolerant_json.Fields:
    """Returns what is read of a long page of a list; None for all."""
    fields = _READ_FIELDS.get(kind)
    if fields is None:
        return None
    return {"items": [fields], "hasMore": None, "currentRev": None}


def changes_fields(kind: str) -> tolerant_json.Fields:
    """Returns what is read of a long answer to a watch; None for all."""
    fields = _READ_FIELDS.get(kind)
    if fields is None:
        return None
    event_fields = {"object": fields, "deleted": None}
    return {"events": [event_fields], "currentRev": None}


def reduced(kind: str, document: Json) -> Json:
    """Returns an object with those of its fields only that are read.

    Other writers may create entries of any size, and of some kinds a daemon
    keeps all. A field of a type that none of the fields has is emptied, so that
    it stays invalid. Objects of other kinds are returned as they are.
    """
    fields = _READ_FIELDS.get(kind)
    return document if fields is None else _reduced_value(document, fields)


def _reduced_value(value: Json, fields: _Fields | None) -> Json:
    if isinstance(value, dict):
        return {
            name: _reduced_value(value[name], inner)
            for name, inner in (fields or {}).items()
            if name in value
        }
    if isinstance(value, list):
        return []
    if isinstance(value, str) and len(value) > _MAX_TEXT_CHARS:
        return ""
    return value


def _text(document: Json, field: str) -> str:
    value = document.get(field) if isinstance(document, dict) else None
    if not isinstance(value, str) or not value:
        raise MalformedDocumentError(
            f"{field}: {value!r:.200} is not a non-empty string"
        )
    # Lone surrogates cannot be encoded in messages to other daemons.
    value.encode()
    return value


def _number(document: Json, field: str, default: float | None = None) -> float:
    value = document.get(field, default) if isinstance(document, dict) else None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedDocumentError(f"{field}: {value!r:.200} is not a number")
    # This is also true of infinity and of NaN.
    if not abs(value) <= _MAX_NUMBER:
        raise MalformedDocumentError(f"{field}: the number is out of range")
    return float(value)


def _list(document: Json, field: str) -> list[Json]:
    value = document.get(field, []) if isinstance(document, dict) else None
    if value is None:
        return []
    if not isinstance(value, list):
        raise MalformedDocumentError(f"{field}: not a list")
    return value


def parse_version(text: Json) -> int:
    """Returns the number of a config version, for example 12 for `r12`.

    Raises:
      MalformedDocumentError: the text does not have this form.
    """
    if isinstance(text, str) and text[:1] == "r" and text[1:].isdigit():
        return int(text[1:])
    raise MalformedDocumentError(
        f"version: {text!r} is not 'r' followed by digits"
    )


@_raises_malformed_document_error
def configuration_version(document: Json) -> int:
    """Returns the version of the configuration that an object holds.

    Raises:
      MalformedDocumentError: the object has no valid version.
    """
    spec = document.get("spec")
    return parse_version(spec.get("version"))


@_raises_malformed_document_error
def decode_configuration(document: Json) -> routes.Configuration:
    """Decodes the object that holds the whole configuration.

    Raises:
      MalformedDocumentError: a required field is missing or has a wrong type.
    """
    spec = document.get("spec") if isinstance(document, dict) else None
    if not isinstance(spec, dict):
        raise MalformedDocumentError("the config's spec is not an object")
    hosts: dict[bytes, tuple[routes.Route, ...]] = {}
    for virtual_host in _list(spec, "virtualHosts"):
        host_routes = [
            _route(item) for item in _list(virtual_host, "pathRoutes")
        ]
        host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
        name = _text(virtual_host, "host").encode().lower()
        hosts[name] = tuple(host_routes)
    services = [_service(item) for item in _list(spec, "services")]
    accounts: dict[bytes, routes.ClientAccount] = {}
    for item in _list(spec, "tenants"):
        account = _account(item)
        for key in _list(item, "apiKeys"):
            if isinstance(key, str):
                accounts[key.encode()] = account
    if not _list(spec, "tenants"):
        hosts = {
            name: tuple(_without_account(route) for route in host_routes)
            for name, host_routes in hosts.items()
        }
    return routes.Configuration(
        version=parse_version(spec.get("version")),
        routes=hosts,
        services={service.name: service for service in services},
        accounts=accounts,
        limits=_limits(spec.get("limits") or {}),
    )


def _without_account(route: routes.Route) -> routes.Route:
    # In a config without client accounts no caller has an account key.
    return dataclasses.replace(route, needs_account=False)


def _route(item: Json) -> routes.Route:
    targets = _list(item, "trafficSplit")
    services = tuple(
        routes.WeightedService(
            _text(target, "service"), _number(target, "weight")
        )
        for target in targets
    )
    if not services:
        services = (routes.WeightedService(_text(item, "service"), 1.0),)
    return routes.Route(
        name=_text(item, "name"),
        prefix=_text(item, "pathPrefix").encode(),
        services=services,
        is_idempotent=item.get("kind") == names.IDEMPOTENT,
        timeout_s=_number(item, "timeoutS"),
        latency_objective_s=_number(item, "targetLatencyS", 1.0),
        max_attempts=int(_number(item, "maxAttempts", 1)),
        priority=int(_number(item, "priority", 0)),
        needs_account=item.get("authExempt") is not True,
    )


def _service(item: Json) -> routes.Service:
    return routes.Service(
        name=_text(item, "name"),
        health_path=_text(item, "healthPath").encode(),
        connection_limit=int(_number(item, "maxConns", 100)),
        cold_start_s=_number(item, "coldStartS", 0),
        cold_rate_per_s=_number(item, "coldPerS", 0),
        is_divided=item.get("sharded") is True,
        warm_up_s=_number(item, "warmS", 0),
    )


def _account(item: Json) -> routes.ClientAccount:
    priority = item.get("priority")
    return routes.ClientAccount(
        name=_text(item, "name"),
        rate_per_s=_number(item, "ratePerS", 0),
        burst=_number(item, "burst", 0),
        priority=priority if isinstance(priority, int) else None,
    )


def _limits(item: Json) -> routes.CallerLimits:
    default = routes.CallerLimits()
    return routes.CallerLimits(
        header_bytes=int(_number(item, "maxHeaderBytes", default.header_bytes)),
        body_bytes=int(_number(item, "maxBodyBytes", default.body_bytes)),
        header_timeout_s=_number(
            item, "headerTimeoutS", default.header_timeout_s
        ),
        idle_timeout_s=_number(item, "idleTimeoutS", default.idle_timeout_s),
    )


@_raises_malformed_document_error
def decode_upstream(name: str, document: Json) -> routes.Upstream:
    """Decodes the object with which an upstream registers itself.

    Args:
      name: the name of the object, which is the upstream's id.
      document: the complete object.

    Raises:
      MalformedDocumentError: the object does not describe an upstream; other
        writers may create such objects.
    """
    if not isinstance(document, dict):
        raise MalformedDocumentError("the entry is not an object")
    registration = (
        document.get("spec") if "address" not in document else document
    )
    if not isinstance(registration, dict):
        raise MalformedDocumentError("spec: not an object")
    info = registration.get("info")
    status = document.get("status") or registration.get("status")
    state = _text(status, "state")
    if state not in (names.READY, names.DRAINING):
        raise MalformedDocumentError(f"state: {state!r:.200} is not known")
    started_at_ms = registration.get("born", document.get("born"))
    if isinstance(status, dict):
        started_at_ms = status.get("born", started_at_ms)
    return routes.Upstream(
        id=name,
        started_at_ms=_count(started_at_ms) or 0,
        service=_text(info, "service"),
        address=_address(_text(registration, "address")),
        zone=_text(info, "zone"),
        slots=_slots(info),
        is_draining=state == names.DRAINING,
        cold_remaining_s=_number(status, "coldLeftS", 0),
        report_number=_report_number(status),
    )


def _report_number(status: Json) -> int | None:
    return _count(status.get("seqNo")) if isinstance(status, dict) else None


def _count(value: Json) -> int | None:
    """Returns a count, or None for any other or a much too large value."""
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value if 0 <= value <= _MAX_NUMBER else None


def _slots(info: Json) -> int:
    slots = int(_number(info, "slots"))
    if slots > _MAX_SLOTS:
        raise MalformedDocumentError(f"slots: {slots} is out of range")
    return max(1, slots)


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= _PORT_DIGITS
    if not is_port or not 0 < int(port) <= _MAX_PORT:
        raise MalformedDocumentError(
            f"address: {text!r:.200} has no valid port"
        )
    # Raises ValueError for anything but four numbers.
    ipaddress.IPv4Address(host)
    return text


def is_evacuation_active(document: Json) -> bool:
    """Returns whether the evacuation of a zone is still in force."""
    metadata = document.get("metadata") if isinstance(document, dict) else None
    return (
        not isinstance(metadata, dict) or metadata.get("deleting") is not True
    )
