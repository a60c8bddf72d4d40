"""The binary form of what members tell each other.

Schemas are read from the package when this module is first used, so that no
generator is needed. A payload comes from an authenticated peer, but that
peer may run another release or be broken: everything is checked here.
"""

from collections.abc import Sequence
import ipaddress
from typing import Any
import zlib

import capnp

from sardinehill import errors
from sardinehill.core import fleet
from sardinehill.core import membership
from sardinehill.core import peer_messages
from sardinehill.core import replica
from sardinehill.wire import message_kinds
from sardinehill.wire import schemas

# Eight bytes a word; four times the longest frame, since a reader counts a
# word again each time it is read.
TRAVERSAL_LIMIT_WORDS = 2 * 1024 * 1024
NESTING_LIMIT = 8
# More than the store takes for one value.
MAX_BODY_BYTES = 2 * 1024 * 1024

_membership = schemas.load("membership")
_news = schemas.load("news")


def encode(
    message: peer_messages.Message,
) -> tuple[message_kinds.MessageKind, bytes]:
    """Returns a message's kind and payload."""
    match message:
        case peer_messages.Heartbeat():
            return _pack_member(
                heartbeat={
                    "probeId": message.probe_id,
                    "expectedName": message.expected_name,
                    "incarnation": message.incarnation,
                    "digest": message.digest,
                }
            )
        case peer_messages.HeartbeatAnswer():
            return _pack_member(
                heartbeatAnswer={
                    "probeId": message.probe_id,
                    "name": message.name,
                    "incarnation": message.incarnation,
                    "digest": message.digest,
                    "ageMs": message.age_ms,
                }
            )
        case peer_messages.Alarms():
            return _pack_member(alarms=_alarm_dicts(message.alarms))
        case peer_messages.JoinRequest():
            return _pack_member(join=_host_dict(message.host))
        case peer_messages.LeaveRequest():
            return _pack_member(
                leave={
                    "name": message.name,
                    "incarnation": message.incarnation,
                }
            )
        case peer_messages.VersionNotices(complete=True):
            return _pack_digest(everything=_notice_dicts(message.notices))
        case peer_messages.VersionNotices():
            return _pack_digest(notices=_notice_dicts(message.notices))
        case peer_messages.BodyRequest():
            return _pack_digest(want=_notice_dicts(message.notices))
        case peer_messages.ItemBodies():
            payload = _news.NewsMessage.new_message(
                bodies=[_item_dict(item) for item in message.items]
            )
            return (
                message_kinds.MessageKind.REPLICATION_BODIES,
                payload.to_bytes(),
            )


def decode(kind: int, payload: bytes) -> peer_messages.Message:
    """Returns the message that a payload holds.

    Raises:
      PeerFrameError: the payload is not a message of that kind.
    """
    try:
        if kind == message_kinds.MessageKind.HEARTBEAT:
            with _open(_membership.MemberMessage, payload) as reader:
                return _decode_member(reader)
        with _open(_news.NewsMessage, payload) as reader:
            return _decode_news(reader)
    except (capnp.KjException, ValueError, zlib.error) as error:
        raise errors.PeerFrameError(
            f"a payload of kind {kind} and {len(payload)} bytes cannot be read"
        ) from error


def _open(schema: Any, payload: bytes) -> Any:
    # The packed form is a third of the size, but its reader ends the whole
    # process on a payload that was cut short, before Python hears of it.
    return schema.from_bytes(
        payload,
        traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
        nesting_limit=NESTING_LIMIT,
    )


def _pack_member(**fields: Any) -> tuple[message_kinds.MessageKind, bytes]:
    message = _membership.MemberMessage.new_message(**fields)
    return message_kinds.MessageKind.HEARTBEAT, message.to_bytes()


def _pack_digest(**fields: Any) -> tuple[message_kinds.MessageKind, bytes]:
    message = _news.NewsMessage.new_message(**fields)
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
    # A list of 640 members is twelve times shorter so, and each restart of
    # one of them sends a new list to all.
    compressed = zlib.compress(item.body, zlib.Z_BEST_SPEED)
    is_compressed = len(compressed) < len(item.body)
    return {
        "notice": _notice_dict(item.version_notice),
        "body": compressed if is_compressed else item.body,
        "deleted": item.deleted,
        "isCompressed": is_compressed,
    }


def _decode_member(reader: Any) -> peer_messages.Message:
    match reader.which():
        case "heartbeat":
            beat = reader.heartbeat
            return peer_messages.Heartbeat(
                probe_id=beat.probeId,
                expected_name=beat.expectedName,
                incarnation=beat.incarnation,
                digest=beat.digest,
            )
        case "heartbeatAnswer":
            beat = reader.heartbeatAnswer
            return peer_messages.HeartbeatAnswer(
                probe_id=beat.probeId,
                name=beat.name,
                incarnation=beat.incarnation,
                digest=beat.digest,
                age_ms=beat.ageMs,
            )
        case "alarms":
            return peer_messages.Alarms(
                tuple(
                    membership.Alarm(a.reporter, a.subject, a.incarnation)
                    for a in reader.alarms
                )
            )
        case "join":
            return peer_messages.JoinRequest(_decode_host(reader.join))
        case "leave":
            leave = reader.leave
            return peer_messages.LeaveRequest(leave.name, leave.incarnation)
    raise ValueError("a message of an unknown variant")


def _decode_host(host: Any) -> fleet.DaemonHost:
    if not host.name or not host.port:
        raise ValueError("a host without a name or a port")
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
        raise ValueError("a notice of an unknown kind")
    return replica.VersionNotice(notice.kind, notice.name, notice.version)


def _decode_news(reader: Any) -> peer_messages.Message:
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
    raise ValueError("a message of an unknown variant")


def _decode_item(item: Any) -> replica.Item:
    notice = _decode_notice(item.notice)
    return replica.Item(
        kind=notice.kind,
        name=notice.name,
        version=notice.version,
        body=_decompress(item.body) if item.isCompressed else bytes(item.body),
        deleted=item.deleted,
    )


def _decompress(body: Any) -> bytes:
    inflater = zlib.decompressobj()
    # Bounded, since a few bytes can stand for any number of them.
    inflated = inflater.decompress(bytes(body), MAX_BODY_BYTES)
    if not inflater.eof:
        raise ValueError("a body that is too long or was cut short")
    return inflated
