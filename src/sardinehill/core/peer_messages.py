"""What members tell each other about themselves and about news."""

import dataclasses

from sardinehill.core import fleet
from sardinehill.core import membership
from sardinehill.core import replica


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A probe, which also tells what the sender knows.

    Attributes:
      probe_id: repeated in the answer.
      expected_name: the member that the sender means to reach.
      incarnation: the sender's own incarnation.
      digest: the digest of the sender's news.
    """

    probe_id: int
    expected_name: str
    incarnation: int
    digest: int


@dataclasses.dataclass(frozen=True)
class HeartbeatAnswer:
    """The answer to a probe.

    Attributes:
      probe_id: that of the probe.
      name: the answering daemon's own name.
      incarnation: the answering daemon's own incarnation.
      digest: the digest of the answering daemon's news.
      age_ms: for how long its news may have been out of date.
    """

    probe_id: int
    name: str
    incarnation: int
    digest: int
    age_ms: int


@dataclasses.dataclass(frozen=True)
class Alarms:
    """Alarms of one monitor, told to a steward."""

    alarms: tuple[membership.Alarm, ...]


@dataclasses.dataclass(frozen=True)
class JoinRequest:
    """A daemon's wish to be a member, told to a steward."""

    host: fleet.DaemonHost


@dataclasses.dataclass(frozen=True)
class LeaveRequest:
    """A daemon's wish to be a member no more, told to a steward."""

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class VersionNotices:
    """Versions that the sender has.

    Attributes:
      notices: the versions.
      complete: whether these are all; the receiver then tells what it has
        that is newer or missing there.
    """

    notices: tuple[replica.VersionNotice, ...]
    complete: bool = False


@dataclasses.dataclass(frozen=True)
class BodyRequest:
    """Items whose bodies the sender asks for."""

    notices: tuple[replica.VersionNotice, ...]


@dataclasses.dataclass(frozen=True)
class ItemBodies:
    """Items with their bodies."""

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
    """A message and the daemon it is for; it may be lost."""

    recipient: str
    message: Message
