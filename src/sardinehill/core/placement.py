"""Where keys live: shards of a service, their owners and their gateways."""

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True)
class ShardAssignment:
    """The accepted placement of one service, as kept in the store.

    Attributes:
      service: the service's name.
      version: the store's version of the object; it only grows.
      term: the controller lease's term under which this was written.
      upstreams: names of upstreams that `owners` points into.
      owners: for each shard an index into `upstreams`, or -1 for none.
      gateways: for each upstream's name the daemon its requests pass through.
      hot_owners: owners of keys that were split out of their shard.
      writer_id: the daemon that wrote this version.
      nonce: tells this write from every other when a reply was lost.
      moving_shards: for each shard on its way to its owner, who may still
        hold it. Kept here so that a new controller knows what the old one
        had not yet been told.
      moving_keys: the same for keys that were split out of their shard.
      moving_gateways: for each upstream whose gateway changes, the old one.
      electorate: the daemons whose majority vouches for the controller.
      electorate_before: those before, while a majority of both is needed.
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
    """Returns the upstream that owns a key, or None while none does."""
    hot_owner = assignment.hot_owners.get(key)
    if hot_owner is not None:
        return hot_owner
    owner_index = assignment.owners[shard_of(key, len(assignment.owners))]
    if owner_index < 0:
        return None
    return assignment.upstreams[owner_index]


def rendezvous(key: str, candidates: list[str]) -> str | None:
    """Returns the candidate with the highest hash for a key.

    Every daemon that knows the same candidates names the same one, and a
    candidate that leaves moves only what it held.
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
