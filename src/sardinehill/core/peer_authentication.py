"""Lets two daemons prove to each other that they share a secret.

The connecting daemon, the dialer, identifies each secret that it knows by a
keyed hash. The accepting daemon, the acceptor, selects its newest secret among
them. Each side then sends a proof of that secret over both names and both
nonces, labeled with its own role, so that a proof cannot be reflected to its
sender. During the replacement of a secret, hosts with the old list of secrets
and hosts with the new one still have one secret in common.
"""

from collections.abc import Sequence
import hashlib
import hmac

NONCE_BYTES = 16


def secret_id(secret: str) -> bytes:
    """Returns an id of a secret that doesn't reveal the secret."""
    return _mac(secret, b"id")


def select_shared_secret(
    secrets: Sequence[str], known_ids: Sequence[bytes]
) -> str | None:
    """Returns the newest own secret that the other side knows, or None.

    Args:
      secrets: this daemon's secrets, the newest first.
      known_ids: the ids of the secrets that the other side knows.
    """
    for secret in secrets:
        if secret_id(secret) in known_ids:
            return secret
    return None


def acceptor_proof(
    secret: str, dialer: str, acceptor: str, nonces: bytes
) -> bytes:
    """Returns the acceptor's proof.

    Args:
      secret: the shared secret.
      dialer: the name of the daemon that connected.
      acceptor: the name of the daemon that accepted.
      nonces: the dialer's nonce followed by the acceptor's.
    """
    return _mac(secret, b"accept", dialer.encode(), acceptor.encode(), nonces)


def dialer_proof(
    secret: str, dialer: str, acceptor: str, nonces: bytes
) -> bytes:
    """Returns the dialer's proof; see `acceptor_proof` for the arguments."""
    return _mac(secret, b"dial", dialer.encode(), acceptor.encode(), nonces)


def proof_matches(expected: bytes, given: bytes) -> bool:
    """Returns whether a proof is valid, comparing in constant time."""
    return hmac.compare_digest(expected, given)


def _mac(secret: str, *parts: bytes) -> bytes:
    # Each part is prefixed with its length, so that two pairs of names whose
    # concatenations are equal don't give the same text.
    text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()
