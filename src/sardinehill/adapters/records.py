"""Encodes the core's data as values of the store's objects and decodes it."""

import dataclasses
from typing import Any

from sardinehill import errors
from sardinehill.core import account_keys
from sardinehill.core import fleet
from sardinehill.core import lease
from sardinehill.core import placement


def encode_assignment(assignment: placement.ShardAssignment) -> dict[str, Any]:
    """Returns an assignment as a value of the store, without its version."""
    return {
        "term": assignment.term,
        "upstreams": list(assignment.upstreams),
        "owners": list(assignment.owners),
        "gateways": assignment.gateways,
        "hot_owners": assignment.hot_owners,
        "writer_id": assignment.writer_id,
        "nonce": assignment.nonce,
        "moving_shards": {
            str(shard): former_owner
            for shard, former_owner in assignment.moving_shards.items()
        },
        "moving_keys": assignment.moving_keys,
        "moving_gateways": assignment.moving_gateways,
        "electorate": list(assignment.electorate),
        "electorate_before": list(assignment.electorate_before),
    }


def decode_assignment(
    service: str, version: int, value: dict[str, Any]
) -> placement.ShardAssignment:
    """Returns the assignment in a value of the store.

    Raises:
      StoreReplyError: a field is missing or has an invalid value.
    """
    try:
        return placement.ShardAssignment(
            service=service,
            version=version,
            term=int(value["term"]),
            upstreams=tuple(value["upstreams"]),
            owners=tuple(int(owner) for owner in value["owners"]),
            gateways=dict(value["gateways"]),
            hot_owners=dict(value["hot_owners"]),
            writer_id=str(value["writer_id"]),
            nonce=str(value["nonce"]),
            moving_shards={
                int(shard): str(former_owner)
                for shard, former_owner in value.get(
                    "moving_shards", {}
                ).items()
            },
            moving_keys=dict(value.get("moving_keys", {})),
            moving_gateways=dict(value.get("moving_gateways", {})),
            electorate=tuple(value.get("electorate", ())),
            electorate_before=tuple(value.get("electorate_before", ())),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.StoreReplyError(
            f"assignment/{service}: {error!r}"
        ) from error


def encode_lease(record: lease.LeaseRecord) -> dict[str, Any]:
    """Returns a lease as a value of the store, without its version."""
    return {
        "term": record.term,
        "holder": record.holder,
        "nonce": record.nonce,
    }


def decode_lease(
    name: str, version: int, value: dict[str, Any]
) -> lease.LeaseRecord:
    """Returns the lease in a value of the store.

    Raises:
      StoreReplyError: a field is missing or has an invalid value.
    """
    try:
        return lease.LeaseRecord(
            version,
            int(value["term"]),
            str(value["holder"]),
            str(value["nonce"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.StoreReplyError(f"lease/{name}: {error!r}") from error


def encode_member(member: fleet.DaemonHost) -> dict[str, Any]:
    """Returns one member as an entry of the `members/fleet` value."""
    return {
        "address": str(member.peer_address),
        "availability_zone": member.availability_zone,
        "region": member.region,
        "incarnation": member.incarnation,
    }


def decode_members(value: dict[str, Any]) -> dict[str, fleet.DaemonHost]:
    """Returns the members of a `members/fleet` value, by name.

    Raises:
      StoreReplyError: a field is missing or has an invalid value.
    """
    try:
        return {
            name: _decode_member(name, member)
            for name, member in value["members"].items()
        }
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.StoreReplyError(f"members/fleet: {error!r}") from error


def decode_placement_exclusions(
    version: int, value: dict[str, Any]
) -> fleet.PlacementExclusions:
    """Returns the zones and hosts that operators have excluded.

    Raises:
      StoreReplyError: a field is missing or has an invalid value.
    """
    try:
        return fleet.PlacementExclusions(
            version,
            frozenset(value["zones_out"]),
            frozenset(value["hosts_out"]),
        )
    except (KeyError, TypeError) as error:
        raise errors.StoreReplyError(f"placement/fleet: {error!r}") from error


def encode_key_bucket(bucket: account_keys.KeyBucket) -> dict[str, Any]:
    """Returns a bucket of account key records as a value of the store."""
    return {
        "records": [dataclasses.asdict(record) for record in bucket.records]
    }


def decode_key_bucket(
    name: str, value: dict[str, Any]
) -> account_keys.KeyBucket:
    """Returns the bucket of account key records in a value of the store.

    Raises:
      StoreReplyError: a field is missing or has an invalid value.
    """
    try:
        return account_keys.KeyBucket(
            tuple(
                account_keys.KeyRecord(**record) for record in value["records"]
            )
        )
    except (KeyError, TypeError) as error:
        # The error's text may contain a digest, which must not be logged.
        raise errors.StoreReplyError(
            f"account-keys/{name}: {type(error).__name__}"
        ) from None


def _decode_member(name: str, value: dict[str, Any]) -> fleet.DaemonHost:
    ip, _, port = str(value["address"]).rpartition(":")
    return fleet.DaemonHost(
        name=name,
        peer_address=fleet.Address(ip, int(port)),
        availability_zone=str(value["availability_zone"]),
        region=str(value.get("region", "")),
        incarnation=int(value["incarnation"]),
    )
