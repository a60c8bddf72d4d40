"""How the core's data is written in the store's objects."""

from typing import Any

from sardinehill import errors
from sardinehill.core import fleet
from sardinehill.core import placement


def assignment_value(assignment: placement.Assignment) -> dict[str, Any]:
    """Returns the store's value of an assignment, without its version."""
    return {
        "term": assignment.term,
        "upstreams": list(assignment.upstreams),
        "owners": list(assignment.owners),
        "gateways": assignment.gateways,
        "hot_owners": assignment.hot_owners,
        "writer_id": assignment.writer_id,
        "nonce": assignment.nonce,
    }


def read_assignment(
    service: str, version: int, value: dict[str, Any]
) -> placement.Assignment:
    """Returns an assignment as read from the store.

    Raises:
      StoreReplyError: a field is missing or makes no sense.
    """
    try:
        return placement.Assignment(
            service=service,
            version=version,
            term=int(value["term"]),
            upstreams=tuple(value["upstreams"]),
            owners=tuple(int(owner) for owner in value["owners"]),
            gateways=dict(value["gateways"]),
            hot_owners=dict(value["hot_owners"]),
            writer_id=str(value["writer_id"]),
            nonce=str(value["nonce"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.StoreReplyError(
            f"assignment/{service}: {error!r}"
        ) from error


def member_value(member: fleet.DaemonHost) -> dict[str, Any]:
    """Returns the store's value of one member."""
    return {
        "address": str(member.peer_address),
        "availability_zone": member.availability_zone,
        "region": member.region,
        "incarnation": member.incarnation,
    }


def read_members(value: dict[str, Any]) -> dict[str, fleet.DaemonHost]:
    """Returns the members of a `members/fleet` value, by name.

    Raises:
      StoreReplyError: a field is missing or makes no sense.
    """
    try:
        return {
            name: _read_member(name, each)
            for name, each in value["members"].items()
        }
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.StoreReplyError(f"members/fleet: {error!r}") from error


def read_placement(version: int, value: dict[str, Any]) -> fleet.Placement:
    """Returns what operators have taken out.

    Raises:
      StoreReplyError: a field is missing or makes no sense.
    """
    try:
        return fleet.Placement(
            version,
            frozenset(value["zones_out"]),
            frozenset(value["hosts_out"]),
        )
    except (KeyError, TypeError) as error:
        raise errors.StoreReplyError(f"placement/fleet: {error!r}") from error


def _read_member(name: str, value: dict[str, Any]) -> fleet.DaemonHost:
    ip, _, port = str(value["address"]).rpartition(":")
    return fleet.DaemonHost(
        name=name,
        peer_address=fleet.Address(ip, int(port)),
        availability_zone=str(value["availability_zone"]),
        region=str(value.get("region", "")),
        incarnation=int(value["incarnation"]),
    )
