"""Maps keys to shards, and shards to their owners and gateways."""

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True)
class ShardAssignment:
    """The placement of one service as it is stored.

    Attributes:
      service: the service's name.
      version: the store's version of the object, which only grows.
      term: the term of the controller that wrote this version.
      upstreams: the names that `owners` refers to by index.
      owners: for each shard an index into `upstreams`, or -1 for none.
      gateways: for each upstream's name, the daemon that is its gateway.
      hot_owners: the owners of hot keys that are placed apart from their shard.
      writer_id: the daemon that wrote this version.
      nonce: identifies this write, in case its reply is lost.
      moving_shards: for each shard that moves, the former owner, which may
        still hold it. It is stored so that a new controller knows which
        releases are outstanding.
      moving_keys: the same for hot keys.
      moving_gateways: for each upstream whose gateway changes, the former one.
      electorate: the daemons whose majority votes for the controller.
      electorate_before: the previous electorate, while a majority of both is
        needed.
    """

    service: str
    version: int
    term: int
    upstreams: tuple[str, ...]
    owners: tuple[int, ...]
    gateways: dict[str, str]
    hot_owners: dict[str, str]
    writer_id: str
    nonce: str
    moving_shards: dict[int, str] = dataclasses.field(default_factory=dict)
    moving_keys: dict[str, str] = dataclasses.field(default_factory=dict)
    moving_gateways: dict[str, str] = dataclasses.field(default_factory=dict)
    electorate: tuple[str, ...] = ()
    electorate_before: tuple[str, ...] = ()


def shard_of(key: str, shard_count: int) -> int:
    """Returns the shard of a key, from 0 to `shard_count` - 1."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shard_count


def owner_of(assignment: ShardAssignment, key: str) -> str | None:
    """Returns the upstream that owns a key, or None if there is none."""
    hot_owner = assignment.hot_owners.get(key)
    if hot_owner is not None:
        return hot_owner
    owner_index = assignment.owners[shard_of(key, len(assignment.owners))]
    if owner_index < 0:
        return None
    return assignment.upstreams[owner_index]


def rendezvous(key: str, candidates: list[str]) -> str | None:
    """Chooses a candidate for a key by rendezvous hashing.

    All daemons with the same candidates choose the same one, and when a
    candidate leaves, only the keys for which it was chosen move.
    """
    if not candidates:
        return None
    return max(
        candidates,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode()),
            name,
        ),
    )
