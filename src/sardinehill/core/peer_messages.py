"""Defines the messages for membership and replication between daemons."""

import dataclasses

from sardinehill.core import fleet
from sardinehill.core import membership
from sardinehill.core import replica


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A probe, which also carries the digest of the sender's replica.

    Attributes:
      probe_id: an id that the answer repeats.
      expected_name: the member that the sender intends to reach.
      incarnation: the sender's own incarnation.
      digest: the digest of the sender's replica.
    """

    probe_id: int
    expected_name: str
    incarnation: int
    digest: int


@dataclasses.dataclass(frozen=True)
class HeartbeatAnswer:
    """The answer to a probe.

    Attributes:
      probe_id: the id from the probe.
      name: the answering daemon's own name.
      incarnation: the answering daemon's own incarnation.
      digest: the digest of the answering daemon's replica.
      age_ms: for how long that replica may have been out of date.
    """

    probe_id: int
    name: str
    incarnation: int
    digest: int
    age_ms: int


@dataclasses.dataclass(frozen=True)
class Alarms:
    """The current alarms of one monitor, sent to a coordinator."""

    alarms: tuple[membership.Alarm, ...]


@dataclasses.dataclass(frozen=True)
class JoinRequest:
    """A daemon's request to become a member, sent to a coordinator."""

    host: fleet.DaemonHost


@dataclasses.dataclass(frozen=True)
class LeaveRequest:
    """A daemon's request to be removed from the member list.

    Attributes:
      name: the daemon's name.
      incarnation: the incarnation that leaves; later ones stay members.
    """

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class VersionNotices:
    """Versions of items that the sender has.

    Attributes:
      notices: the versions.
      complete: whether these are all versions that the sender has. The receiver
        then answers with its own newer versions and those the sender lacks.
    """

    notices: tuple[replica.VersionNotice, ...]
    complete: bool = False


@dataclasses.dataclass(frozen=True)
class BodyRequest:
    """A request for the bodies of items, at the given versions or later."""

    notices: tuple[replica.VersionNotice, ...]


@dataclasses.dataclass(frozen=True)
class ItemBodies:
    """Items with their bodies, in answer to a `BodyRequest`."""

    items: tuple[replica.Item, ...]


Message = (
    Heartbeat
    | HeartbeatAnswer
    | Alarms
    | JoinRequest
    | LeaveRequest
    | VersionNotices
    | BodyRequest
    | ItemBodies
)


@dataclasses.dataclass(frozen=True)
class OutgoingMessage:
    """A message with its recipient; delivery is not guaranteed."""

    recipient: str
    message: Message
