"""Claims about account keys."""

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


def issued(
    account: str, random_text: str = "r4nd0m"
) -> tuple[account_keys.KeyBucket, str, account_keys.KeyRecord]:
    bucket, key, record = account_keys.issue(
        account_keys.KeyBucket(), account, SECRET, random_text, 10.0
    )
    return bucket, key.text, record


def ring_with(
    account: str, bucket: account_keys.KeyBucket, version: int = 1
) -> account_keys.KeyRing:
    ring = account_keys.KeyRing(SECRET)
    ring.replace_bucket(account_keys.bucket_name(account), version, bucket)
    ring.confirm(0.0)
    return ring


def reason_of(call: Callable[[], object]) -> errors.Reason:
    with pytest.raises(errors.RequestRefusedError) as caught:
        call()
    assert caught.value.verdict is errors.Verdict.NOT_RUN
    return caught.value.reason


@given(ACCOUNTS, st.text(st.sampled_from("abcXYZ019-_"), min_size=1))
@settings(derandomize=True)
def test_an_issued_key_names_its_account(
    account: str, random_text: str
) -> None:
    bucket, text, record = issued(account, random_text)
    caller = ring_with(account, bucket).check(text, 1.0)
    assert caller == account_keys.Caller(account, record.key_id)


@given(ACCOUNTS, st.text(max_size=300))
@settings(derandomize=True)
def test_no_other_text_is_taken_for_a_key(account: str, other: str) -> None:
    bucket, text, _ = issued(account)
    ring = ring_with(account, bucket)
    for guess in (other, f"{account}.{other}", text[:-1], text + "x"):
        if guess != text:
            assert reason_of(lambda guess=guess: ring.check(guess, 1.0)) in (
                errors.Reason.ACCOUNT_KEY_UNKNOWN,
                errors.Reason.ACCOUNT_KEY_MISSING,
            )


def test_a_key_of_one_account_is_none_of_another() -> None:
    bucket, _, record = issued("hotel")
    stolen = dataclasses.replace(record, account="venue")
    ring = ring_with("venue", account_keys.KeyBucket((stolen,)))
    text = "venue.r4nd0m"
    assert (
        reason_of(lambda: ring.check(text, 1.0))
        is errors.Reason.ACCOUNT_KEY_UNKNOWN
    )


def test_a_revoked_key_stays_revoked_though_old_news_comes_late() -> None:
    bucket, text, record = issued("hotel")
    name = account_keys.bucket_name("hotel")
    ring = ring_with("hotel", bucket, version=5)
    revoked = account_keys.revoke(bucket, record.key_id, 20.0)
    assert ring.replace_bucket(name, 6, revoked)
    assert not ring.replace_bucket(name, 5, bucket)
    assert (
        reason_of(lambda: ring.check(text, 1.0))
        is errors.Reason.ACCOUNT_KEY_REVOKED
    )


def test_a_daemon_that_is_cut_off_refuses_every_key_within_seconds() -> None:
    bucket, text, _ = issued("hotel")
    ring = ring_with("hotel", bucket)
    ring.check(text, account_keys.CONFIRMED_WITHIN_S)
    late_s = account_keys.CONFIRMED_WITHIN_S + 0.01
    assert reason_of(lambda: ring.check(text, late_s)) is errors.Reason.STALE
    ring.confirm(late_s)
    ring.check(text, late_s)


def test_no_representation_shows_a_key_or_the_secret() -> None:
    bucket, key, record = account_keys.issue(
        account_keys.KeyBucket(), "hotel", SECRET, "r4nd0m", 10.0
    )
    ring = ring_with("hotel", bucket)
    for shown in (
        repr(key),
        str(key),
        f"{key}",
        repr(bucket),
        repr(record),
        repr(ring),
        repr(ring.check(key.text, 1.0)),
    ):
        assert "r4nd0m" not in shown
        assert SECRET not in shown


def test_a_refusal_does_not_show_the_key() -> None:
    ring = ring_with("hotel", account_keys.KeyBucket())
    with pytest.raises(errors.RequestRefusedError) as caught:
        ring.check("hotel.r4nd0m", 1.0)
    assert "r4nd0m" not in repr(caught.value) + str(caught.value)


def test_every_record_of_the_account_is_compared() -> None:
    compared = []

    def compare(one: str, other: str) -> bool:
        compared.append(one)
        return one == other

    bucket = account_keys.KeyBucket()
    texts = []
    for number in range(5):
        bucket, key, _ = account_keys.issue(
            bucket, "hotel", SECRET, f"r{number}", 10.0
        )
        texts.append(key.text)
    ring = account_keys.KeyRing(SECRET, compare)
    ring.replace_bucket(account_keys.bucket_name("hotel"), 1, bucket)
    ring.confirm(0.0)
    ring.check(texts[0], 1.0)
    assert len(compared) == 5


def test_a_secret_longer_than_the_hash_allows_still_counts_whole() -> None:
    long_secret = "x" * 100
    assert account_keys.digest_of("t", long_secret) != account_keys.digest_of(
        "t", long_secret + "y"
    )


def test_purging_drops_only_long_revoked_records() -> None:
    bucket, _, record = issued("hotel")
    assert account_keys.purge(bucket, 1e9) == bucket
    revoked = account_keys.revoke(bucket, record.key_id, 20.0)
    assert account_keys.purge(revoked, 20.0) == revoked
    assert account_keys.purge(revoked, 21.0) == account_keys.KeyBucket()


@pytest.mark.parametrize("text", ["\udcff.x", "hotel.\ud800", ".", "a."])
def test_bytes_that_are_no_text_are_an_unknown_key(text: str) -> None:
    ring = ring_with("hotel", issued("hotel")[0])
    assert (
        reason_of(lambda: ring.check(text, 1.0))
        is errors.Reason.ACCOUNT_KEY_UNKNOWN
    )


def test_a_bucket_comes_back_from_the_store_as_it_was_written() -> None:
    bucket, _, record = issued("hotel")
    revoked = account_keys.revoke(bucket, record.key_id, 20.0)
    for one in (bucket, revoked, account_keys.KeyBucket()):
        value = records.key_bucket_value(one)
        assert records.read_key_bucket("0", value) == one


@pytest.mark.parametrize(
    "value", [{}, {"records": 5}, {"records": [{}]}, {"records": [{"d": 1}]}]
)
def test_a_bucket_that_makes_no_sense_is_refused(
    value: dict[str, object],
) -> None:
    with pytest.raises(errors.StoreReplyError):
        records.read_key_bucket("0", value)
