"""Tests of the mapping of keys to shards and candidates."""

from hypothesis import given
from hypothesis import strategies as st

from sardinehill.core import placement


@given(st.text(), st.integers(min_value=1, max_value=65536))
def test_every_key_has_one_shard_in_range(key: str, shard_count: int) -> None:
    shard = placement.shard_of(key, shard_count)
    assert 0 <= shard < shard_count
    assert shard == placement.shard_of(key, shard_count)


@given(st.sets(st.text(min_size=1), min_size=2), st.data())
def test_leaving_candidate_moves_only_its_own_keys(
    names: set[str], data: st.DataObject
) -> None:
    leaving = data.draw(st.sampled_from(sorted(names)))
    staying = sorted(names - {leaving})
    for key in ("a", "b", "c"):
        before = placement.rendezvous(key, sorted(names))
        after = placement.rendezvous(key, staying)
        assert before in (leaving, after)
