"""Defines the messages between daemons that send to upstreams directly."""

import dataclasses
import enum

from sardinehill.core import keyspace
from sardinehill.core import store_versions
from sardinehill.core.load import slot_messages

# What a daemon understands beyond the first version: from version 1 on, changes
# of spans and compressed documents.
PROTOCOL_VERSION = 1


@dataclasses.dataclass(slots=True)
class KeyUse:
    """The requests for one service since the last report.

    Attributes:
      service: the service's name.
      keys: the key of each request, as its position in the key space.
      latency_s: the mean service time of such requests at an upstream of
        usual speed, without waits.
    """

    service: str
    keys: list[int]
    latency_s: float


@dataclasses.dataclass(slots=True)
class UpstreamUse:
    """The answers of one upstream since the last report.

    Attributes:
      upstream: the upstream's id.
      answers: the number of answers that show how slow the upstream is.
      slowness_sum: the sum over these answers of how long work takes at the
        upstream, relative to the usual time.
    """

    upstream: str
    answers: int
    slowness_sum: float


@dataclasses.dataclass(slots=True)
class RefusedKey:
    """A key for which an upstream refused a request as not its owner.

    Attributes:
      service: the service's name.
      key: the key, as its position in the key space.
      epoch: the epoch under which the daemon took the upstream for the owner.
    """

    service: str
    key: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNews:
    """What a daemon knows of the limit that an upstream names.

    Attributes:
      upstream: the upstream's id.
      rate_per_s: the requests a second that it takes from all daemons, or None
        if it names no limit any more.
      age_s: the time since the upstream said so.
    """

    upstream: str
    rate_per_s: float | None
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectNews:
    """What a daemon knows of a request that may end upstreams.

    Attributes:
      digest: the digest of the request.
      ending_ages_s: the time since upstreams ended while they ran it, by
        incarnation.
      survived_age_s: the time since an upstream ran it to an end, or None.
    """

    digest: bytes
    ending_ages_s: dict[str, float]
    survived_age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNews:
    """What a daemon knows of an upstream that has said that it leaves.

    Attributes:
      incarnation: the upstream's id and the time of its start.
      age_s: the time since it first said so.
    """

    incarnation: keyspace.Incarnation
    age_s: float


@dataclasses.dataclass(slots=True)
class DaemonReport:
    """The usage report that a daemon sends the leader several times a second.

    Attributes:
      daemon: the name of the reporting daemon.
      address: where its peers connect to it.
      term: the highest leader term that it knows.
      demand: requests of each client account since the last report.
      keys: the use of the keys of divided services.
      upstreams: the answers of upstreams.
      refused: the keys that their presumed owners refused.
      store_reachable: whether the store has recently answered the daemon.
      protocol_version: the daemon's `PROTOCOL_VERSION`.
      needs_spans: whether the daemon needs all spans, because it has missed the
        table that the last changes refer to.
      limits: what upstreams have said of their limits since the last report.
      suspects: what has become known since then of requests that may end
        upstreams.
      leaving: the upstreams that have said since then that they leave.
      upstreams_reachable: whether the daemon reaches upstreams.
      zone: the daemon's availability zone.
      cpu_capacity: its CPU capacity in standard cores; 0 if it does not
        schedule requests, as daemons of earlier releases.
    """

    daemon: str
    address: str
    term: int
    demand: dict[str, int] = dataclasses.field(default_factory=dict)
    keys: list[KeyUse] = dataclasses.field(default_factory=list)
    upstreams: list[UpstreamUse] = dataclasses.field(default_factory=list)
    refused: list[RefusedKey] = dataclasses.field(default_factory=list)
    store_reachable: bool = True
    protocol_version: int = 0
    needs_spans: bool = False
    limits: list[LimitNews] = dataclasses.field(default_factory=list)
    suspects: list[SuspectNews] = dataclasses.field(default_factory=list)
    leaving: list[LeavingNews] = dataclasses.field(default_factory=list)
    upstreams_reachable: bool = True
    zone: str = ""
    cpu_capacity: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSpan:
    """A range of keys with one owner, as daemons route by it.

    Attributes:
      first: the lowest key.
      last: the highest key.
      upstream: the owner's id.
      epoch: the epoch under which the owner is granted the range.
      live: whether the owner has confirmed the grant.
    """

    first: int
    last: int
    upstream: str
    epoch: int
    live: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpanChanges:
    """The changes of one service's spans.

    Attributes:
      removed_first_keys: the first keys of the spans that are replaced.
      added: the new spans.
    """

    removed_first_keys: list[int]
    added: list[OwnerSpan]


@dataclasses.dataclass(frozen=True, slots=True)
class SpanChanges:
    """The differences between the spans of two tables of one term.

    Attributes:
      base_serial: the serial of the table that they refer to.
      services: the changes of each service with different spans.
    """

    base_serial: int
    services: dict[str, ServiceSpanChanges]


@dataclasses.dataclass(slots=True)
class LeaderTable:
    """The state that the leader sends to all daemons.

    Attributes:
      term: the leader's term; a higher one replaces a lower one.
      leader: the leader's name.
      leader_address: where its peers connect to it.
      serial: a number that increases with each change of the spans in a term.
      daemons: the number of daemons from which the leader receives reports.
      store_reachable: whether the leader reaches the store.
      spans: the spans of each service, or None if they have not changed or if
        `span_changes` are sent in their place.
      span_changes: how the spans have changed, or None.
      shares: the receiver's share of each client account's quota, from 0 to 1.
      lendable: the tokens of each client account that the leader can lend.
      age_s: the time since the leader itself sent an update.
      documents_age_s: for how long the leader's documents may have been
        outdated when it sent the update.
      resigned: whether the leader has resigned.
      successor: the daemon that is to lead after a resigned leader; empty if it
        named none.
      document_versions: the store's versions at the last changes of config,
        upstreams and excluded zones, in this order, as the leader knows them.
      configuration: the version of the configuration that the leader has. It
        may be newer than the one in a store that was restored.
      limits: the limits that upstreams name; those that are not listed have not
        changed.
      suspects: the requests that may end upstreams; those that are not listed
        have not changed.
      leaving: the upstreams that have said that they leave; of those that are
        not listed nothing new is known.
      designates_schedulers: whether the leader's release designates schedulers.
      schedulers: the daemons that schedule requests; empty if none are
        scheduled, None if the list has not changed.
    """

    term: int
    leader: str
    leader_address: str
    serial: int
    daemons: int
    store_reachable: bool = True
    spans: dict[str, list[OwnerSpan]] | None = None
    span_changes: SpanChanges | None = None
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    lendable: dict[str, float] = dataclasses.field(default_factory=dict)
    age_s: float = 0.0
    documents_age_s: float = 0.0
    resigned: bool = False
    successor: str = ""
    document_versions: list[store_versions.StoreVersion] = dataclasses.field(
        default_factory=list
    )
    configuration: int = 0
    limits: list[LimitNews] = dataclasses.field(default_factory=list)
    suspects: list[SuspectNews] = dataclasses.field(default_factory=list)
    leaving: list[LeavingNews] = dataclasses.field(default_factory=list)
    designates_schedulers: bool = False
    schedulers: list[slot_messages.SchedulerEntry] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChange:
    """A change in one kind of the store's objects.

    Attributes:
      kind: the kind.
      since_version: the store's version at the previous change of the kind.
      version: the store's version when the change was read.
      documents: a JSON object of the new and changed documents by name.
      gone: the names of the removed documents.
    """

    kind: str
    since_version: store_versions.StoreVersion
    version: store_versions.StoreVersion
    documents: bytes
    gone: list[str]


@dataclasses.dataclass(slots=True)
class StoreStateQuery:
    """A request to a peer for all documents newer than the given versions.

    Attributes:
      config_version: the store's version of the config that the sender has.
      upstreams_version: the store's version of its upstreams.
      zones_version: the store's version of its excluded zones.
      configuration: the version of the configuration that the sender has.
      protocol_version: the sender's `PROTOCOL_VERSION`.
    """

    config_version: store_versions.StoreVersion
    upstreams_version: store_versions.StoreVersion
    zones_version: store_versions.StoreVersion
    configuration: int = 0
    protocol_version: int = PROTOCOL_VERSION


@dataclasses.dataclass(slots=True)
class StoreState:
    """A peer's answer to a `StoreStateQuery`.

    Attributes:
      config_version: the store's version of `config`.
      config: the config documents as JSON; empty if they are not newer.
      upstreams_version: the store's version of `upstreams`.
      upstreams: the upstreams' documents as JSON; empty if they are not newer.
      zones_version: the store's version of `zones`.
      zones: the zones' documents as JSON; empty if they are not newer.
      age_s: the time since the peer last reached the store.
    """

    config_version: store_versions.StoreVersion = store_versions.NEVER_READ
    config: bytes = b""
    upstreams_version: store_versions.StoreVersion = store_versions.NEVER_READ
    upstreams: bytes = b""
    zones_version: store_versions.StoreVersion = store_versions.NEVER_READ
    zones: bytes = b""
    age_s: float = 0.0


class LoanKind(enum.Enum):
    """What the leader lends.

    Attributes:
      QUOTA: requests within a client account's quota.
      COLD_SENDS: sends to an upstream that is cold.
      LIMITED_SENDS: sends to an upstream that names a limit.
    """

    QUOTA = "quota"
    COLD_SENDS = "cold-sends"
    LIMITED_SENDS = "limited-sends"


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """A request to the leader for tokens of a limit that the fleet shares.

    Attributes:
      name: the client account, or the id of the upstream.
      tokens: the number of tokens, one for each waiting request.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenLoan:
    """The leader's answer to a `TokenRequest`.

    Attributes:
      name: the client account, or the id of the upstream.
      tokens: the number of lent tokens.
      wait_s: if fewer are lent than requested, the time until there may be
        more.
    """

    name: str
    tokens: int
    wait_s: float
