"""Account keys: issued, revoked, kept as keyed digests and checked.

The text of a key is `account.random`: the account's name tells where its
records are, so that no scan is needed and one account's keys can be listed
with one read. Records are spread over `BUCKET_COUNT` objects in the store,
because one object for all would make every issue and revocation conflict
with every other and would one day outgrow the store's limit for a value.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import hashlib
import hmac

import xxhash

from sardinehill import errors

# Objects over which the records are spread. The number is part of the stored
# format: with another number old records are not found.
BUCKET_COUNT = 64
# Random bytes in a key; its text is their URL-safe base 64.
KEY_RANDOM_BYTES = 32
# Longest text that is looked at, so that a long header costs no hashing.
MAX_KEY_TEXT_CHARS = 256
# Bytes in a digest.
DIGEST_BYTES = 32
# Characters of a digest by which operators name a key.
KEY_ID_CHARS = 16
# A daemon that has had no word of revocations for this long refuses all
# callers: a revocation that it cannot hear of must still work within seconds.
MAX_CONFIRMATION_AGE_S = 3.0

_BLAKE2_PERSONALIZATION = b"sardinehill-key"
# blake2b takes keys of at most 64 bytes.
_MAX_SECRET_BYTES = 64


@dataclasses.dataclass(frozen=True)
class AccountKey:
    """The text of a key, to be shown once and never kept.

    Attributes:
      text: what the caller presents; hidden from `repr`.
    """

    text: str = dataclasses.field(repr=False)

    def __str__(self) -> str:
        return "AccountKey(hidden)"


@dataclasses.dataclass(frozen=True)
class KeyRecord:
    """What is kept of one account key.

    Attributes:
      account: the client account that it stands for.
      digest: the keyed digest of its text, in hexadecimal digits.
      issued_at_s: wall clock time of issue, in seconds since 1970.
      revoked_at_s: wall clock time of revocation, or None.
    """

    account: str
    digest: str
    issued_at_s: float
    revoked_at_s: float | None = None

    @property
    def key_id(self) -> str:
        """The name by which operators revoke it."""
        return self.digest[:KEY_ID_CHARS]


@dataclasses.dataclass(frozen=True)
class KeyBucket:
    """The records of one `account-keys/{bucket}` object.

    Attributes:
      records: records of all accounts that share the bucket.
    """

    records: tuple[KeyRecord, ...] = ()


@dataclasses.dataclass(frozen=True)
class Caller:
    """Who presented a key.

    Attributes:
      account: the client account.
      key_id: which of its keys.
    """

    account: str
    key_id: str


def bucket_name(account: str) -> str:
    """Returns the name of the object that holds an account's records."""
    # A header may hold bytes that are no UTF-8; those come as surrogates.
    data = account.encode("utf-8", "surrogatepass")
    return str(xxhash.xxh3_64_intdigest(data) % BUCKET_COUNT)


def claimed_account(text: str) -> str:
    """Returns the account that a key's text claims, which proves nothing."""
    return text.rpartition(".")[0]


def key_digest(text: str, secret: str) -> str:
    """Returns the keyed digest under which a key is kept.

    A plain hash would let whoever reads the store try keys from elsewhere
    against it; with the hosts' secret as a key it tells nothing.
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
      random_text: `RANDOM_BYTES` from the system's source, without dots.
      now_s: wall clock time.

    Returns:
      The bucket to write, the key to show once, and its record.
    """
    if "." in random_text:
        raise ValueError("random_text must not contain a dot")
    key = AccountKey(f"{account}.{random_text}")
    record = KeyRecord(account, key_digest(key.text, secret), now_s)
    return KeyBucket((*bucket.records, record)), key, record


def revoke_key(bucket: KeyBucket, key_id: str, now_s: float) -> KeyBucket:
    """Marks a key as revoked; unchanged when it is unknown or was before.

    The record stays: without it a caller and its operator could not tell a
    revoked key from a mistyped one.
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
    """Drops records that were revoked before a time, to bound the object."""
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
    """The records that one daemon knows, checked on every request.

    A daemon that is cut off keeps serving only while it is confirmed that it
    has heard of every revocation, by the store or by peers that reached it.
    While the store itself is down no revocation can be accepted, and then the
    peers' word that they cannot reach it either confirms as well.
    """

    def __init__(
        self,
        secret: str,
        compare: Callable[[str, str], bool] = hmac.compare_digest,
    ):
        """Makes an empty ring.

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
        """Takes over a bucket; False when it is not newer than the known."""
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
        """Returns the version known of a bucket, -1 for none."""
        return self._versions.get(name, -1)

    def confirm_fresh(self, at_s: float) -> None:
        """Notes that all revocations up to a time are known.

        Args:
          at_s: when the read began that showed nothing newer, not when its
            answer came: a revocation may have been accepted in between.
        """
        self._confirmed_at_s = max(self._confirmed_at_s, at_s)

    def is_confirmed(self, now_s: float) -> bool:
        """Returns whether the ring is recent enough to be relied on."""
        return now_s - self._confirmed_at_s <= MAX_CONFIRMATION_AGE_S

    def authenticate(self, text: str | None, now_s: float) -> Caller:
        """Returns who presents a key.

        Args:
          text: the key's text from the request, None when there is none.
          now_s: the time now, of the clock that `confirm` is told.

        Raises:
          RequestRefusedError: the key is missing, unknown or revoked, or this
            daemon cannot know; the verdict is NOT_RUN.
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
        # No early end at a match: the time must not tell which one matched.
        found = None
        for record in records:
            if self._compare(record.digest, digest):
                found = record
        return found


def _refusal(
    reason: errors.Reason, detail: str = ""
) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(reason, errors.Verdict.NOT_RUN, detail)
