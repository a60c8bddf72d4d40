"""Encodes and decodes the messages for membership and replication.

The schemas are loaded from the package on import, so that no code generator is
needed. A payload comes from an authenticated peer, but this peer may run
another release or be faulty; therefore each payload is fully checked here.
"""

from collections.abc import Sequence
import ipaddress
from typing import Any

import capnp

from sardinehill import errors
from sardinehill.core import fleet
from sardinehill.core import membership
from sardinehill.core import peer_messages
from sardinehill.core import replica
from sardinehill.wire import compression
from sardinehill.wire import message_kinds
from sardinehill.wire import schemas

NESTING_LIMIT = 8
# Limit on a decompressed body, larger than any value that the store accepts.
MAX_BODY_BYTES = 2 * 1024 * 1024

_membership = schemas.load("membership")
_replication = schemas.load("news")


def encode(
    message: peer_messages.Message,
) -> tuple[message_kinds.MessageKind, bytes]:
    """Returns the kind and the payload for a message."""
    match message:
        case peer_messages.Heartbeat():
            return _encode_membership(
                heartbeat={
                    "probeId": message.probe_id,
                    "expectedName": message.expected_name,
                    "incarnation": message.incarnation,
                    "digest": message.digest,
                }
            )
        case peer_messages.HeartbeatAnswer():
            return _encode_membership(
                heartbeatAnswer={
                    "probeId": message.probe_id,
                    "name": message.name,
                    "incarnation": message.incarnation,
                    "digest": message.digest,
                    "ageMs": message.age_ms,
                }
            )
        case peer_messages.Alarms():
            return _encode_membership(alarms=_alarm_dicts(message.alarms))
        case peer_messages.JoinRequest():
            return _encode_membership(join=_host_dict(message.host))
        case peer_messages.LeaveRequest():
            return _encode_membership(
                leave={
                    "name": message.name,
                    "incarnation": message.incarnation,
                }
            )
        case peer_messages.VersionNotices(complete=True):
            return _encode_versions(everything=_notice_dicts(message.notices))
        case peer_messages.VersionNotices():
            return _encode_versions(notices=_notice_dicts(message.notices))
        case peer_messages.BodyRequest():
            return _encode_versions(want=_notice_dicts(message.notices))
        case peer_messages.ItemBodies():
            payload = _replication.NewsMessage.new_message(
                bodies=[_item_dict(item) for item in message.items]
            )
            return (
                message_kinds.MessageKind.REPLICATION_BODIES,
                payload.to_bytes(),
            )


def decode(kind: int, payload: bytes) -> peer_messages.Message:
    """Returns the message in a payload.

    Raises:
      PeerFrameError: the payload is not a message of that kind.
    """
    try:
        if kind == message_kinds.MessageKind.HEARTBEAT:
            with _open(_membership.MemberMessage, payload) as reader:
                return _decode_membership(reader)
        with _open(_replication.NewsMessage, payload) as reader:
            return _decode_replication(reader)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(
            f"a payload of kind {kind} and {len(payload)} bytes is malformed"
        ) from error


def _open(schema: Any, payload: bytes) -> Any:
    # Cap'n Proto's packed encoding has a third of the size, but its reader
    # aborts the whole process on a truncated payload instead of raising a
    # Python exception.
    return schema.from_bytes(
        payload,
        traversal_limit_in_words=schemas.traversal_limit_words(payload),
        nesting_limit=NESTING_LIMIT,
    )


def _encode_membership(
    **fields: Any,
) -> tuple[message_kinds.MessageKind, bytes]:
    message = _membership.MemberMessage.new_message(**fields)
    return message_kinds.MessageKind.HEARTBEAT, message.to_bytes()


def _encode_versions(**fields: Any) -> tuple[message_kinds.MessageKind, bytes]:
    message = _replication.NewsMessage.new_message(**fields)
    return message_kinds.MessageKind.REPLICATION_VERSIONS, message.to_bytes()


def _host_dict(host: fleet.DaemonHost) -> dict[str, Any]:
    return {
        "name": host.name,
        "ip": host.peer_address.ip,
        "port": host.peer_address.port,
        "availabilityZone": host.availability_zone,
        "region": host.region,
        "incarnation": host.incarnation,
    }


def _alarm_dicts(alarms: Sequence[membership.Alarm]) -> list[dict[str, Any]]:
    return [
        {
            "reporter": alarm.reporter,
            "subject": alarm.subject,
            "incarnation": alarm.incarnation,
        }
        for alarm in alarms
    ]


def _notice_dict(notice: replica.VersionNotice) -> dict[str, Any]:
    return {
        "kind": notice.kind,
        "name": notice.name,
        "version": notice.version,
    }


def _notice_dicts(
    notices: Sequence[replica.VersionNotice],
) -> list[dict[str, Any]]:
    return [_notice_dict(notice) for notice in notices]


def _item_dict(item: replica.Item) -> dict[str, Any]:
    # Compression makes a list of 640 members twelve times shorter, and each
    # restart of a member sends a new list to all of them.
    body, is_compressed = compression.compress(item.body)
    return {
        "notice": _notice_dict(item.version_notice),
        "body": body,
        "deleted": item.deleted,
        "isCompressed": is_compressed,
    }


def _decode_membership(reader: Any) -> peer_messages.Message:
    match reader.which():
        case "heartbeat":
            heartbeat = reader.heartbeat
            return peer_messages.Heartbeat(
                probe_id=heartbeat.probeId,
                expected_name=heartbeat.expectedName,
                incarnation=heartbeat.incarnation,
                digest=heartbeat.digest,
            )
        case "heartbeatAnswer":
            answer = reader.heartbeatAnswer
            return peer_messages.HeartbeatAnswer(
                probe_id=answer.probeId,
                name=answer.name,
                incarnation=answer.incarnation,
                digest=answer.digest,
                age_ms=answer.ageMs,
            )
        case "alarms":
            return peer_messages.Alarms(
                tuple(
                    membership.Alarm(
                        alarm.reporter, alarm.subject, alarm.incarnation
                    )
                    for alarm in reader.alarms
                )
            )
        case "join":
            return peer_messages.JoinRequest(_decode_host(reader.join))
        case "leave":
            leave = reader.leave
            return peer_messages.LeaveRequest(leave.name, leave.incarnation)
    raise ValueError("the message has an unknown variant")


def _decode_host(host: Any) -> fleet.DaemonHost:
    if not host.name or not host.port:
        raise ValueError("the host has no name or no port")
    address = fleet.Address(str(ipaddress.ip_address(host.ip)), host.port)
    return fleet.DaemonHost(
        name=host.name,
        peer_address=address,
        availability_zone=host.availabilityZone,
        region=host.region,
        incarnation=host.incarnation,
    )


def _decode_notices(notices: Any) -> tuple[replica.VersionNotice, ...]:
    return tuple(_decode_notice(notice) for notice in notices)


def _decode_notice(notice: Any) -> replica.VersionNotice:
    if notice.kind not in replica.ITEM_KINDS:
        raise ValueError("the version notice has an unknown kind")
    return replica.VersionNotice(notice.kind, notice.name, notice.version)


def _decode_replication(reader: Any) -> peer_messages.Message:
    match reader.which():
        case "notices":
            return peer_messages.VersionNotices(_decode_notices(reader.notices))
        case "everything":
            everything = _decode_notices(reader.everything)
            return peer_messages.VersionNotices(everything, complete=True)
        case "want":
            return peer_messages.BodyRequest(_decode_notices(reader.want))
        case "bodies":
            return peer_messages.ItemBodies(
                tuple(_decode_item(item) for item in reader.bodies)
            )
    raise ValueError("the message has an unknown variant")


def _decode_item(item: Any) -> replica.Item:
    notice = _decode_notice(item.notice)
    body = bytes(item.body)
    if item.isCompressed:
        body = compression.decompress(body, MAX_BODY_BYTES)
    return replica.Item(
        kind=notice.kind,
        name=notice.name,
        version=notice.version,
        body=body,
        deleted=item.deleted,
    )
