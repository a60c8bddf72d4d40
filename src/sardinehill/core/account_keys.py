"""Account keys: their text, their digests and who they stand for.

A key's text is `ACCOUNT.SECRET`. The store keeps a keyed hash of the text in
the bucket that the account's name hashes to, so a daemon finds it unaided.
"""

import hashlib
import hmac
from typing import Any

import xxhash

BUCKET_COUNT = 16


def bucket_of(account: str) -> str:
    """Returns the name of the bucket that keeps an account's keys."""
    digest = xxhash.xxh3_64_intdigest(account.encode())
    return f"bucket-{digest % BUCKET_COUNT}"


def digest_of(account_key: str, hash_secret: str) -> str:
    """Returns the keyed hash under which an account key is kept."""
    return hashlib.blake2b(
        account_key.encode(), key=hash_secret.encode()[:64], digest_size=32
    ).hexdigest()


def account_of(account_key: str) -> str:
    """Returns the account that a key's text names; nothing is proven."""
    return account_key.partition(".")[0]


def is_known(digest: str, account: str, bucket: dict[str, Any]) -> bool:
    """Whether a bucket holds a key of the account that is not revoked."""
    found = False
    for known, record in bucket.get("keys", {}).items():
        if not hmac.compare_digest(known, digest):
            continue
        if record["account"] == account and record["revoked_at_s"] is None:
            found = True
    return found
