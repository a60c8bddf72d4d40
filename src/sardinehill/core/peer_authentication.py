"""How two daemons prove to each other that they share a secret.

The one that connects names the secrets that it knows by a keyed hash of
each. The other picks the newest of its own that is among them. Each then
proves the secret over both names and both nonces, under a label of its own
role, so that no proof can be sent back to who made it. While a secret is
replaced, hosts with the old list and hosts with the new one share one.
"""

from collections.abc import Sequence
import hashlib
import hmac

NONCE_BYTES = 16


def secret_id(secret: str) -> bytes:
    """Returns what names a secret without telling it."""
    return _mac(secret, b"id")


def select_shared_secret(
    secrets: Sequence[str], known_ids: Sequence[bytes]
) -> str | None:
    """Returns the newest own secret that the other side knows, or None."""
    for secret in secrets:
        if secret_id(secret) in known_ids:
            return secret
    return None


def acceptor_proof(
    secret: str, dialer: str, acceptor: str, nonces: bytes
) -> bytes:
    """Returns the proof of the side that accepted the connection.

    Args:
      secret: the shared secret.
      dialer: the name of the daemon that connected.
      acceptor: the name of the daemon that accepted.
      nonces: the dialer's nonce and then the acceptor's.
    """
    return _mac(secret, b"accept", dialer.encode(), acceptor.encode(), nonces)


def dialer_proof(
    secret: str, dialer: str, acceptor: str, nonces: bytes
) -> bytes:
    """Returns the proof of the side that connected; see `accepting_proof`."""
    return _mac(secret, b"dial", dialer.encode(), acceptor.encode(), nonces)


def proof_matches(expected: bytes, given: bytes) -> bool:
    """Returns whether a proof is right, in time that does not tell where."""
    return hmac.compare_digest(expected, given)


def _mac(secret: str, *parts: bytes) -> bytes:
    # Each part's length goes before it: two names that are cut elsewhere
    # must not give the same text.
    text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()
