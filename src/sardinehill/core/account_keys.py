"""Issues, revokes and checks account keys, which are stored as keyed digests.

The text of a key is `account.random`. The account's name determines which
object holds its records, so a check needs no scan, and one read lists the keys
of an account. The records are spread over `BUCKET_COUNT` objects in the store.
With a single object, all concurrent issues and revocations would conflict, and
the object could outgrow the store's size limit for a value.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import hashlib
import hmac

import xxhash

from sardinehill import errors

# Objects over which the records are spread. The number is part of the stored
# format: with a different number, existing records are not found.
BUCKET_COUNT = 64
# Random bytes in a key, which its text contains in URL-safe base64.
KEY_RANDOM_BYTES = 32
# Longer texts are refused without hashing, so that a long header is cheap.
MAX_KEY_TEXT_CHARS = 256
DIGEST_BYTES = 32
# Leading characters of a digest that operators use as the id of a key.
KEY_ID_CHARS = 16
# A daemon whose records have not been confirmed for this long refuses all
# callers, so that a revocation takes effect within seconds even on a daemon
# that cannot learn of it.
MAX_CONFIRMATION_AGE_S = 3.0

_BLAKE2_PERSONALIZATION = b"sardinehill-key"
# Maximum key length of blake2b.
_MAX_SECRET_BYTES = 64


@dataclasses.dataclass(frozen=True)
class AccountKey:
    """The text of a key, which is shown once and never stored.

    Attributes:
      text: the text that the caller presents; hidden from `repr`.
    """

    text: str = dataclasses.field(repr=False)

    def __str__(self) -> str:
        return "AccountKey(hidden)"


@dataclasses.dataclass(frozen=True)
class KeyRecord:
    """The stored record of one account key.

    Attributes:
      account: the client account that the key authenticates.
      digest: the keyed digest of the key's text, in hexadecimal digits.
      issued_at_s: wall clock time of issue, in seconds since 1970.
      revoked_at_s: wall clock time of revocation, in seconds since 1970, or
        None.
    """

    account: str
    digest: str
    issued_at_s: float
    revoked_at_s: float | None = None

    @property
    def key_id(self) -> str:
        """The id by which operators refer to the key."""
        return self.digest[:KEY_ID_CHARS]


@dataclasses.dataclass(frozen=True)
class KeyBucket:
    """The records of one `account-keys/{bucket}` object.

    Attributes:
      records: the records of all accounts that share the bucket.
    """

    records: tuple[KeyRecord, ...] = ()


@dataclasses.dataclass(frozen=True)
class Caller:
    """A caller that presented a valid key.

    Attributes:
      account: the client account.
      key_id: the id of the presented key.
    """

    account: str
    key_id: str


def bucket_name(account: str) -> str:
    """Returns the name of the object that holds an account's records."""
    # A header may contain invalid UTF-8, which is decoded to surrogates.
    data = account.encode("utf-8", "surrogatepass")
    return str(xxhash.xxh3_64_intdigest(data) % BUCKET_COUNT)


def claimed_account(text: str) -> str:
    """Returns the account that a key's text names, without verification."""
    return text.rpartition(".")[0]


def key_digest(text: str, secret: str) -> str:
    """Returns the keyed digest under which a key is stored.

    With a plain hash, anyone who reads the store could test keys obtained
    elsewhere against it. Without the hosts' secret, the keyed digest doesn't
    allow that.
    """
    key = secret.encode()
    if len(key) > _MAX_SECRET_BYTES:
        key = hashlib.blake2b(key, digest_size=_MAX_SECRET_BYTES).digest()
    hasher = hashlib.blake2b(
        text.encode("utf-8", "surrogatepass"),
        digest_size=DIGEST_BYTES,
        key=key,
        person=_BLAKE2_PERSONALIZATION,
    )
    return hasher.hexdigest()


def issue_key(
    bucket: KeyBucket,
    account: str,
    secret: str,
    random_text: str,
    now_s: float,
) -> tuple[KeyBucket, AccountKey, KeyRecord]:
    """Adds a new key to a bucket.

    Args:
      bucket: the records read from `bucket_name(account)`.
      account: the client account that the key is for.
      secret: the hosts' secret for digests.
      random_text: the text of `KEY_RANDOM_BYTES` from the system's random
        source; it must not contain a dot.
      now_s: wall clock time in seconds since 1970.

    Returns:
      The bucket to write, the key to show once, and the key's record.

    Raises:
      ValueError: `random_text` contains a dot.
    """
    if "." in random_text:
        raise ValueError("random_text must not contain a dot")
    key = AccountKey(f"{account}.{random_text}")
    record = KeyRecord(account, key_digest(key.text, secret), now_s)
    return KeyBucket((*bucket.records, record)), key, record


def revoke_key(bucket: KeyBucket, key_id: str, now_s: float) -> KeyBucket:
    """Returns the bucket with a key marked as revoked.

    The bucket is unchanged if the key is unknown or already revoked. The record
    stays in the bucket, so that a revoked key can be distinguished from a
    mistyped one.
    """
    return KeyBucket(
        tuple(
            dataclasses.replace(record, revoked_at_s=now_s)
            if record.key_id == key_id and record.revoked_at_s is None
            else record
            for record in bucket.records
        )
    )


def purge_revoked(bucket: KeyBucket, revoked_before_s: float) -> KeyBucket:
    """Returns the bucket without the records revoked before a given time.

    This bounds the size of the object.
    """
    return KeyBucket(
        tuple(
            record
            for record in bucket.records
            if record.revoked_at_s is None
            or record.revoked_at_s >= revoked_before_s
        )
    )


def account_records(bucket: KeyBucket, account: str) -> list[KeyRecord]:
    """Returns the records of one account."""
    return [record for record in bucket.records if record.account == account]


class KeyRing:
    """The key records on one daemon, against which each request is checked.

    A daemon serves only while it is confirmed to know every revocation. The
    confirmation comes from the store or from peers that reached the store.
    During an outage the store accepts no revocations, so a majority of peers
    that cannot reach the store confirms it as well.
    """

    def __init__(
        self,
        secret: str,
        compare: Callable[[str, str], bool] = hmac.compare_digest,
    ):
        """Creates an empty key ring.

        Args:
          secret: the hosts' secret for digests.
          compare: compares two digests in constant time.
        """
        self._secret = secret
        self._compare = compare
        self._versions: dict[str, int] = {}
        self._records: dict[str, dict[str, list[KeyRecord]]] = {}
        self._revoked: set[str] = set()
        self._confirmed_at_s = float("-inf")

    def __repr__(self) -> str:
        return f"KeyRing(buckets={len(self._records)})"

    def update_bucket(self, name: str, version: int, bucket: KeyBucket) -> bool:
        """Stores a bucket if it is newer and returns whether it was."""
        if version <= self._versions.get(name, -1):
            return False
        self._versions[name] = version
        by_account: dict[str, list[KeyRecord]] = {}
        for record in bucket.records:
            by_account.setdefault(record.account, []).append(record)
            if record.revoked_at_s is not None:
                self._revoked.add(record.digest)
        self._records[name] = by_account
        return True

    def bucket_version(self, name: str) -> int:
        """Returns the known version of a bucket, or -1 if there is none."""
        return self._versions.get(name, -1)

    def confirm_fresh(self, at_s: float) -> None:
        """Records that all revocations up to a given time are known.

        Args:
          at_s: when the read that showed nothing newer began. The time of its
            answer is too late, because a revocation may have been accepted in
            between.
        """
        self._confirmed_at_s = max(self._confirmed_at_s, at_s)

    def is_confirmed(self, now_s: float) -> bool:
        """Returns whether the records were confirmed recently enough."""
        return now_s - self._confirmed_at_s <= MAX_CONFIRMATION_AGE_S

    def authenticate(self, text: str | None, now_s: float) -> Caller:
        """Returns the caller that a key authenticates.

        Args:
          text: the key's text from the request, or None if there is none.
          now_s: the current time, by the clock that `confirm_fresh` uses.

        Raises:
          RequestRefusedError: the key is missing, unknown or revoked, or the
            records are not confirmed. The verdict is NOT_RUN.
        """
        if not text:
            raise _refusal(errors.Reason.ACCOUNT_KEY_MISSING)
        if len(text) > MAX_KEY_TEXT_CHARS:
            raise _refusal(errors.Reason.ACCOUNT_KEY_UNKNOWN)
        if not self.is_confirmed(now_s):
            raise _refusal(
                errors.Reason.STALE,
                "this daemon cannot learn of revoked keys now",
            )
        account = claimed_account(text)
        digest = key_digest(text, self._secret)
        found = self._find_record(self._records_of(account), digest)
        if found is None:
            raise _refusal(errors.Reason.ACCOUNT_KEY_UNKNOWN)
        if digest in self._revoked:
            raise _refusal(errors.Reason.ACCOUNT_KEY_REVOKED)
        return Caller(found.account, found.key_id)

    def _records_of(self, account: str) -> list[KeyRecord]:
        bucket = self._records.get(bucket_name(account), {})
        return bucket.get(account, [])

    def _find_record(
        self, records: Iterable[KeyRecord], digest: str
    ) -> KeyRecord | None:
        # The loop doesn't stop at a match, so that its duration doesn't reveal
        # which record matched.
        found = None
        for record in records:
            if self._compare(record.digest, digest):
                found = record
        return found


def _refusal(
    reason: errors.Reason, detail: str = ""
) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(reason, errors.Verdict.NOT_RUN, detail)
