"""Tests of issuing, revoking and checking account keys."""

from collections.abc import Callable
import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sardinehill import errors
from sardinehill.adapters import records
from sardinehill.core import account_keys

SECRET = "a secret of the hosts"
ACCOUNTS = st.text(
    st.characters(codec="ascii", categories=("L", "N")), min_size=1
).map(lambda name: f"{name}.it")


def issue_for(
    account: str, random_text: str = "r4nd0m"
) -> tuple[account_keys.KeyBucket, str, account_keys.KeyRecord]:
    bucket, key, record = account_keys.issue_key(
        account_keys.KeyBucket(), account, SECRET, random_text, 10.0
    )
    return bucket, key.text, record


def key_ring_with(
    account: str, bucket: account_keys.KeyBucket, version: int = 1
) -> account_keys.KeyRing:
    ring = account_keys.KeyRing(SECRET)
    ring.update_bucket(account_keys.bucket_name(account), version, bucket)
    ring.confirm_fresh(0.0)
    return ring


def refusal_reason(call: Callable[[], object]) -> errors.Reason:
    with pytest.raises(errors.RequestRefusedError) as caught:
        call()
    assert caught.value.verdict is errors.Verdict.NOT_RUN
    return caught.value.reason


@given(ACCOUNTS, st.text(st.sampled_from("abcXYZ019-_"), min_size=1))
@settings(derandomize=True)
def test_issued_key_identifies_its_account(
    account: str, random_text: str
) -> None:
    bucket, text, record = issue_for(account, random_text)
    caller = key_ring_with(account, bucket).authenticate(text, 1.0)
    assert caller == account_keys.Caller(account, record.key_id)


@given(ACCOUNTS, st.text(max_size=300))
@settings(derandomize=True)
def test_any_other_text_is_rejected(account: str, other: str) -> None:
    bucket, text, _ = issue_for(account)
    ring = key_ring_with(account, bucket)
    for guess in (other, f"{account}.{other}", text[:-1], text + "x"):
        if guess != text:
            assert refusal_reason(
                lambda guess=guess: ring.authenticate(guess, 1.0)
            ) in (
                errors.Reason.ACCOUNT_KEY_UNKNOWN,
                errors.Reason.ACCOUNT_KEY_MISSING,
            )


def test_key_of_one_account_is_invalid_for_another() -> None:
    bucket, _, record = issue_for("hotel")
    stolen = dataclasses.replace(record, account="venue")
    ring = key_ring_with("venue", account_keys.KeyBucket((stolen,)))
    text = "venue.r4nd0m"
    assert (
        refusal_reason(lambda: ring.authenticate(text, 1.0))
        is errors.Reason.ACCOUNT_KEY_UNKNOWN
    )


def test_older_bucket_does_not_undo_a_revocation() -> None:
    bucket, text, record = issue_for("hotel")
    name = account_keys.bucket_name("hotel")
    ring = key_ring_with("hotel", bucket, version=5)
    revoked = account_keys.revoke_key(bucket, record.key_id, 20.0)
    assert ring.update_bucket(name, 6, revoked)
    assert not ring.update_bucket(name, 5, bucket)
    assert (
        refusal_reason(lambda: ring.authenticate(text, 1.0))
        is errors.Reason.ACCOUNT_KEY_REVOKED
    )


def test_every_key_is_refused_once_confirmation_is_too_old() -> None:
    bucket, text, _ = issue_for("hotel")
    ring = key_ring_with("hotel", bucket)
    ring.authenticate(text, account_keys.MAX_CONFIRMATION_AGE_S)
    late_s = account_keys.MAX_CONFIRMATION_AGE_S + 0.01
    assert (
        refusal_reason(lambda: ring.authenticate(text, late_s))
        is errors.Reason.STALE
    )
    ring.confirm_fresh(late_s)
    ring.authenticate(text, late_s)


def test_representations_hide_keys_and_the_secret() -> None:
    bucket, key, record = account_keys.issue_key(
        account_keys.KeyBucket(), "hotel", SECRET, "r4nd0m", 10.0
    )
    ring = key_ring_with("hotel", bucket)
    for shown in (
        repr(key),
        str(key),
        f"{key}",
        repr(bucket),
        repr(record),
        repr(ring),
        repr(ring.authenticate(key.text, 1.0)),
    ):
        assert "r4nd0m" not in shown
        assert SECRET not in shown


def test_refusal_hides_the_key() -> None:
    ring = key_ring_with("hotel", account_keys.KeyBucket())
    with pytest.raises(errors.RequestRefusedError) as caught:
        ring.authenticate("hotel.r4nd0m", 1.0)
    assert "r4nd0m" not in repr(caught.value) + str(caught.value)


def test_all_records_of_the_account_are_compared() -> None:
    compared = []

    def compare(one: str, other: str) -> bool:
        compared.append(one)
        return one == other

    bucket = account_keys.KeyBucket()
    texts = []
    for number in range(5):
        bucket, key, _ = account_keys.issue_key(
            bucket, "hotel", SECRET, f"r{number}", 10.0
        )
        texts.append(key.text)
    ring = account_keys.KeyRing(SECRET, compare)
    ring.update_bucket(account_keys.bucket_name("hotel"), 1, bucket)
    ring.confirm_fresh(0.0)
    ring.authenticate(texts[0], 1.0)
    assert len(compared) == 5


def test_all_of_a_long_secret_affects_the_digest() -> None:
    long_secret = "x" * 100
    assert account_keys.key_digest("t", long_secret) != account_keys.key_digest(
        "t", long_secret + "y"
    )


def test_purge_drops_only_records_revoked_before_the_time() -> None:
    bucket, _, record = issue_for("hotel")
    assert account_keys.purge_revoked(bucket, 1e9) == bucket
    revoked = account_keys.revoke_key(bucket, record.key_id, 20.0)
    assert account_keys.purge_revoked(revoked, 20.0) == revoked
    assert account_keys.purge_revoked(revoked, 21.0) == account_keys.KeyBucket()


@pytest.mark.parametrize("text", ["\udcff.x", "hotel.\ud800", ".", "a."])
def test_invalid_unicode_is_an_unknown_key(text: str) -> None:
    ring = key_ring_with("hotel", issue_for("hotel")[0])
    assert (
        refusal_reason(lambda: ring.authenticate(text, 1.0))
        is errors.Reason.ACCOUNT_KEY_UNKNOWN
    )


def test_bucket_round_trips_through_the_store_format() -> None:
    bucket, _, record = issue_for("hotel")
    revoked = account_keys.revoke_key(bucket, record.key_id, 20.0)
    for one in (bucket, revoked, account_keys.KeyBucket()):
        value = records.encode_key_bucket(one)
        assert records.decode_key_bucket("0", value) == one


@pytest.mark.parametrize(
    "value", [{}, {"records": 5}, {"records": [{}]}, {"records": [{"d": 1}]}]
)
def test_malformed_bucket_is_rejected(
    value: dict[str, object],
) -> None:
    with pytest.raises(errors.StoreReplyError):
        records.decode_key_bucket("0", value)
