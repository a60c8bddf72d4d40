"""Defines the messages by which daemons ask schedulers for upstreams' slots."""

import dataclasses
import enum

# The least urgent priority. Others are bounded to it.
LOWEST_PRIORITY = 255
# The route of a request whose route is not told.
NO_ROUTE = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGroup:
    """The upstreams whose slots one scheduler grants.

    Attributes:
      service: the service's name.
      zone: the availability zone of its upstreams.
      part: the number of a part of the zone's upstreams, if they are divided
        among several groups; 0 otherwise.
      upstream: the only upstream of the group if the service's keys are divided
        among upstreams, otherwise empty.
    """

    service: str
    zone: str
    part: int = 0
    upstream: str = ""

    @property
    def label(self) -> str:
        """The id of its only upstream, or what it consists of, for logs."""
        return self.upstream or f"{self.service}/{self.zone}/{self.part}"


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A daemon's request for a slot, for one request of a caller.

    Attributes:
      request_id: a number that the daemon uses once.
      group: the upstreams that may serve the request.
      avoided: the ids of those among them that are of no use to it.
      priority: its priority; 0 is the most urgent.
      work_s: the usual time that such requests take at an upstream of usual
        speed, without waits, as far as the daemon knows.
      objective_left_s: the time until its latency objective is missed; negative
        if it is missed already.
      time_left_s: the time until its deadline.
      body_bytes: the length of its body.
      route_id: a number that all daemons derive from its route's name, or
        `NO_ROUTE`.
      has_returned: whether its caller was refused before and has come back.
      only_if_free: whether it is refused unless a slot is free that no waiting
        request could use.
    """

    request_id: int
    group: SlotGroup
    priority: int
    work_s: float
    objective_left_s: float
    time_left_s: float
    avoided: tuple[str, ...] = ()
    body_bytes: int = 0
    route_id: int = NO_ROUTE
    has_returned: bool = False
    only_if_free: bool = False


class SlotOutcome(enum.IntEnum):
    """What became of a request that was granted a slot.

    Attributes:
      ANSWERED: the upstream answered it.
      FAILED: the answer was a failure of the upstream, or the connection broke.
      REFUSED: the upstream stated that it is full.
      RESET: the upstream reset the connection without an answer.
      UNREACHABLE: no connection could be opened.
      UNUSED: it was not sent. If it still waits for a slot, it is withdrawn.
      ABANDONED: its caller left, or its time was over, while it was at the
        upstream.
    """

    ANSWERED = 0
    FAILED = 1
    REFUSED = 2
    RESET = 3
    UNREACHABLE = 4
    UNUSED = 5
    ABANDONED = 6


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an upstream stated in an answer.

    Attributes:
      running: how many requests it is running.
      waiting: how many requests wait for a slot there.
      slowness: how long work takes on its host, relative to the usual time.
    """

    running: int
    waiting: int
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRelease:
    """The end of a request that was granted a slot, or that waits for one.

    Attributes:
      request_id: the number of the request.
      group: its group.
      upstream: the upstream whose slot is released; empty if none was granted.
      outcome: what became of it.
      latency_s: the time from sending to the complete answer; 0 without one.
      load: the load that the answer stated, or None.
    """

    request_id: int
    group: SlotGroup
    upstream: str
    outcome: SlotOutcome
    latency_s: float = 0.0
    load: LoadReport | None = None


class SlotRefusalReason(enum.IntEnum):
    """Why a scheduler grants no slot.

    Attributes:
      FULL: no upstream of the group can serve the request in its time.
      NOT_FREE: no slot is free for a request that is to have one only then.
      UNKNOWN_UPSTREAM: the scheduler knows no usable upstream of the group.
    """

    FULL = 0
    NOT_FREE = 1
    UNKNOWN_UPSTREAM = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGrant:
    """The grant of a slot.

    Attributes:
      request_id: the number of the request.
      upstream: the id of the upstream that it is to be sent to.
    """

    request_id: int
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefusal:
    """A refusal to grant a slot.

    Attributes:
      request_id: the number of the request.
      reason: why it is refused.
      retry_after_s: when its caller should come back.
      expected_wait_s: how long it would have waited for a slot.
      requests_ahead: how many requests would have gone before it.
      slots: the slots of the upstreams that could serve it.
    """

    request_id: int
    reason: SlotRefusalReason
    retry_after_s: float
    expected_wait_s: float
    requests_ahead: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotQueued:
    """States that a request waits for a slot.

    Attributes:
      request_id: the number of the request.
      expected_wait_s: how long it is expected to wait from now on.
    """

    request_id: int
    expected_wait_s: float


@dataclasses.dataclass(slots=True)
class SlotRequests:
    """What a daemon sends a scheduler.

    Attributes:
      requests: its new requests.
      releases: the slots that it releases, after the new requests were added.
    """

    requests: list[SlotRequest] = dataclasses.field(default_factory=list)
    releases: list[SlotRelease] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SlotDecisions:
    """What a scheduler sends a daemon; empty only to show that it is alive.

    Attributes:
      grants: the granted slots.
      refusals: the refused requests.
      queued: the requests that wait.
    """

    grants: list[SlotGrant] = dataclasses.field(default_factory=list)
    refusals: list[SlotRefusal] = dataclasses.field(default_factory=list)
    queued: list[SlotQueued] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerEntry:
    """A daemon that the leader has designated to grant slots.

    Attributes:
      daemon: its name.
      address: where its peers connect to it.
      zone: its availability zone.
    """

    daemon: str
    address: str
    zone: str
