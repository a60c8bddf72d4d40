"""Identifies requests that are the same, whoever received them."""

import hashlib

DIGEST_BYTES = 16


def digest(
    account: str | None, method: bytes, target: bytes, body: bytes
) -> bytes:
    """Returns a digest that two requests share only if they are the same.

    Args:
      account: the caller's client account, or None.
      method: the HTTP method.
      target: path and query.
      body: the complete body.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in ((account or "").encode(), method, target):
        # The lengths keep the parts apart.
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    hasher.update(body)
    return hasher.digest()
