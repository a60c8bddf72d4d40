"""What daemons that send to upstreams directly tell each other."""

import dataclasses


@dataclasses.dataclass(slots=True)
class KeyUse:
    """Requests for one service since the last report.

    Attributes:
      service: the service's name.
      keys: the key of each request.
      latency_s: their mean latency.
    """

    service: str
    keys: list[int]
    latency_s: float


@dataclasses.dataclass(slots=True)
class UpstreamUse:
    """Answers of one upstream since the last report.

    Attributes:
      upstream: its id.
      answers: how many came.
      slowness_sum: the sum of their latencies against their routes' means.
    """

    upstream: str
    answers: int
    slowness_sum: float


@dataclasses.dataclass(slots=True)
class RefusedKey:
    """A key that its owner says it does not hold."""

    service: str
    key: int
    epoch: int


@dataclasses.dataclass(slots=True)
class DaemonReport:
    """What a daemon tells the leader several times a second.

    Attributes:
      daemon: who reports.
      address: where its peers reach it.
      term: the highest term of a leader that it knows.
      demand: requests of each client account since the last report.
      keys: the use of divided services' keys.
      upstreams: what upstreams' answers showed.
      refused: keys that were refused by their owner.
      store_reachable: whether the store has answered the daemon lately.
    """

    daemon: str
    address: str
    term: int
    demand: dict[str, int] = dataclasses.field(default_factory=dict)
    keys: list[KeyUse] = dataclasses.field(default_factory=list)
    upstreams: list[UpstreamUse] = dataclasses.field(default_factory=list)
    refused: list[RefusedKey] = dataclasses.field(default_factory=list)
    store_reachable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSpan:
    """Keys of one owner, as daemons route by them."""

    first: int
    last: int
    upstream: str
    epoch: int
    live: bool


@dataclasses.dataclass(slots=True)
class LeaderTable:
    """What the leader tells all daemons.

    Attributes:
      term: the leader's term; a higher one replaces a lower one.
      leader: its name.
      leader_address: where its peers reach it.
      serial: grows with each change of the spans in one term.
      daemons: how many daemons the leader hears.
      store_reachable: whether the leader reaches the store.
      spans: the owners by service, or None when nothing has changed.
      shares: the receiver's part of each client account, from 0 to 1.
      lendable: tokens of each client account that the leader may lend.
      age_s: how long ago the leader itself spoke.
      resigned: whether the leader has laid its duty down.
      store_revisions: of the store when config, upstreams and zones out last
        changed, as the leader knows.
    """

    term: int
    leader: str
    leader_address: str
    serial: int
    daemons: int
    store_reachable: bool = True
    spans: dict[str, list[OwnerSpan]] | None = None
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    lendable: dict[str, float] = dataclasses.field(default_factory=dict)
    age_s: float = 0.0
    resigned: bool = False
    store_revisions: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChange:
    """What changed in one kind of the store's objects.

    Attributes:
      kind: the kind.
      since_revision: of the store when they changed before.
      revision: of the store when it was read.
      documents: those that are new or changed, as JSON by name.
      gone: names of those that are no more.
    """

    kind: str
    since_revision: int
    revision: int
    documents: bytes
    gone: list[str]


@dataclasses.dataclass(slots=True)
class StoreStateQuery:
    """Asks a peer for what is newer than these revisions of the store."""

    config_revision: int
    upstreams_revision: int
    zones_revision: int


@dataclasses.dataclass(slots=True)
class StoreState:
    """What a peer has read in the store; empty bytes for what is not newer."""

    config_revision: int = 0
    config: bytes = b""
    upstreams_revision: int = 0
    upstreams: bytes = b""
    zones_revision: int = 0
    zones: bytes = b""
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks the leader for tokens of a client account.

    Attributes:
      account: the client account.
      tokens: how many requests wait for one.
    """

    account: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenLoan:
    """The leader's answer to a wish.

    Attributes:
      account: the client account.
      tokens: how many are lent.
      wait_s: when there may be more, if fewer are lent than were wished for.
    """

    account: str
    tokens: int
    wait_s: float
