"""Tests of the holders of roles under a member list."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from sardinehill.core import member_roles
from sardinehill.core import membership
from tests.common import peer_network


def _table(names: list[str], zones: int = 3) -> member_roles.RoleTable:
    hosts = tuple(
        peer_network.daemon_host(name, f"z{index % zones}")
        for index, name in enumerate(names)
    )
    return member_roles.RoleTable(membership.MemberList(1, hosts))


@given(st.integers(2, 40), st.data())
def test_leaving_member_moves_only_its_own_roles(
    count: int, data: st.DataObject
) -> None:
    names = [f"d{i:02}" for i in range(count)]
    leaving = data.draw(st.sampled_from(names))
    before = _table(names)
    after = _table([name for name in names if name != leaving])
    for account in range(30):
        holder = before.bucket_holder(f"{account}")
        if holder != leaving:
            assert after.bucket_holder(f"{account}") == holder
        else:
            second = before.ranked_members(f"bucket/{account}")[1]
            assert after.bucket_holder(f"{account}") == second


def test_roles_are_spread_over_members() -> None:
    table = _table([f"d{i:02}" for i in range(10)])
    role_counts = collections.Counter(
        table.bucket_holder(f"{account}") for account in range(2000)
    )
    assert len(role_counts) == 10
    assert max(role_counts.values()) < 2 * 200


def test_holders_are_in_distinct_zones_while_possible() -> None:
    table = _table([f"d{i:02}" for i in range(9)])
    zones = {
        table.members.by_name[name].availability_zone
        for name in table.holders("watch", 3)
    }
    assert len(zones) == 3
    assert len(set(table.holders("watch", 9))) == 9
    assert len(table.holders("watch", 20)) == 9


def test_preferred_zone_comes_first() -> None:
    table = _table([f"d{i:02}" for i in range(9)])
    holder = table.holder("gateway/u1", preferred_zone="z2")
    assert holder is not None
    assert table.members.by_name[holder].availability_zone == "z2"


def test_empty_member_list_has_no_role_holders() -> None:
    table = _table([])
    assert table.holder("watch") is None
    assert table.store_watchers() == ()
