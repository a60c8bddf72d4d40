"""Identifies requests that are the same, whoever received them."""

from collections.abc import Iterable
import hashlib

HEAD_BYTES = 16
BODY_BYTES = 16


def digest(
    account: str | None, method: bytes, target: bytes, body: bytes
) -> bytes:
    """Returns a digest that two requests share only if they are the same.

    It begins with the digest of the head, which takes less time to compute.

    Args:
      account: the caller's client account, or None.
      method: the HTTP method.
      target: path and query.
      body: the complete body.
    """
    head = head_digest(account, method, target)
    return head + hashlib.blake2b(body, digest_size=BODY_BYTES).digest()


def head_digest(account: str | None, method: bytes, target: bytes) -> bytes:
    """Returns the beginning of the digests of requests with any body.

    The arguments are those of `digest`.
    """
    return _digest_of_parts(((account or "").encode(), method, target))


def _digest_of_parts(parts: Iterable[bytes]) -> bytes:
    hasher = hashlib.blake2b(digest_size=HEAD_BYTES)
    for part in parts:
        # The lengths keep the parts apart.
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return hasher.digest()
