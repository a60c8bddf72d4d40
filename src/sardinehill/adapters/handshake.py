"""Implements the handshake that authenticates a connection of two daemons."""

import dataclasses
import secrets
from typing import Any

import capnp

from sardinehill import errors
from sardinehill.core import peer_authentication
from sardinehill.wire import schemas

_schema = schemas.load("membership")

# A daemon normally has two secrets: the newest and the one it replaces.
MAX_SECRETS = 8


@dataclasses.dataclass(frozen=True)
class Hello:
    """The first message of a handshake, sent by the connecting daemon.

    Attributes:
      name: the name of the connecting daemon.
      expected_name: the name of the daemon that it intends to reach, or empty
        if it knows only an address.
      nonce: its nonce for this connection.
      secret_ids: the ids of the secrets that it knows, the newest first.
    """

    name: str
    expected_name: str
    nonce: bytes
    secret_ids: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class Welcome:
    """The accepting daemon's answer to a hello.

    Attributes:
      name: the name of the accepting daemon.
      nonce: its nonce for this connection.
      secret_id: the id of the secret that it selected.
      proof: the proof that it knows this secret.
    """

    name: str
    nonce: bytes
    secret_id: bytes
    proof: bytes


@dataclasses.dataclass(frozen=True)
class Proof:
    """The connecting daemon's proof, the last message of a handshake."""

    proof: bytes


HandshakeMessage = Hello | Welcome | Proof


class Dialer:
    """The connecting side of one handshake."""

    def __init__(
        self, own_name: str, own_secrets: tuple[str, ...], expected_name: str
    ):
        self._own_name = own_name
        self._secrets = own_secrets
        self._expected_name = expected_name
        self._nonce = secrets.token_bytes(peer_authentication.NONCE_BYTES)

    def hello(self) -> Hello:
        """Returns the hello that begins the handshake."""
        ids = tuple(
            peer_authentication.secret_id(secret) for secret in self._secrets
        )
        return Hello(
            self._own_name, self._expected_name, self._nonce, ids[:MAX_SECRETS]
        )

    def prove(self, welcome: Welcome) -> Proof:
        """Verifies the acceptor's proof and returns the dialer's own proof.

        Raises:
          PeerFrameError: the acceptor has another name than expected, shares
            no secret with the dialer or sent an invalid proof.
        """
        if self._expected_name not in ("", welcome.name):
            raise errors.PeerFrameError(
                f"{welcome.name!r} answered instead of {self._expected_name!r}"
            )
        secret = peer_authentication.select_shared_secret(
            self._secrets, [welcome.secret_id]
        )
        if secret is None:
            raise errors.PeerFrameError(
                f"{welcome.name!r} has no secret in common with this daemon"
            )
        names = (self._own_name, welcome.name)
        nonces = self._nonce + welcome.nonce
        expected = peer_authentication.acceptor_proof(secret, *names, nonces)
        if not peer_authentication.proof_matches(expected, welcome.proof):
            raise errors.PeerFrameError(
                f"{welcome.name!r} sent an invalid proof"
            )
        return Proof(peer_authentication.dialer_proof(secret, *names, nonces))


class Acceptor:
    """The accepting side of one handshake.

    Attributes:
      peer_name: the name in the hello, or empty before there was one. It is
        authentic only after `verify`.
    """

    def __init__(self, own_name: str, own_secrets: tuple[str, ...]):
        self._own_name = own_name
        self._secrets = own_secrets
        self._expected_proof = b""
        self.peer_name = ""

    def welcome(self, hello: Hello) -> Welcome:
        """Returns the answer to a hello.

        Raises:
          PeerFrameError: the hello has no name or a nonce of the wrong length,
            or the two daemons share no secret.
        """
        if (
            not hello.name
            or len(hello.nonce) != peer_authentication.NONCE_BYTES
        ):
            raise errors.PeerFrameError(
                "the hello has no name or no valid nonce"
            )
        secret = peer_authentication.select_shared_secret(
            self._secrets, hello.secret_ids
        )
        if secret is None:
            raise errors.PeerFrameError(
                f"{hello.name!r} has no secret in common with this daemon"
            )
        nonce = secrets.token_bytes(peer_authentication.NONCE_BYTES)
        names = (hello.name, self._own_name)
        nonces = hello.nonce + nonce
        self.peer_name = hello.name
        self._expected_proof = peer_authentication.dialer_proof(
            secret, *names, nonces
        )
        return Welcome(
            self._own_name,
            nonce,
            peer_authentication.secret_id(secret),
            peer_authentication.acceptor_proof(secret, *names, nonces),
        )

    def verify(self, proof: Proof) -> None:
        """Verifies the dialer's proof.

        Raises:
          PeerFrameError: the proof is invalid or arrived before a hello.
        """
        expected = self._expected_proof
        if not expected or not peer_authentication.proof_matches(
            expected, proof.proof
        ):
            raise errors.PeerFrameError(
                f"{self.peer_name!r} sent an invalid proof"
            )


def encode(message: HandshakeMessage) -> bytes:
    """Returns the payload for a handshake message."""
    match message:
        case Hello():
            fields: dict[str, Any] = {
                "hello": {
                    "name": message.name,
                    "expectedName": message.expected_name,
                    "nonce": message.nonce,
                    "secretIds": list(message.secret_ids),
                }
            }
        case Welcome():
            fields = {
                "welcome": {
                    "name": message.name,
                    "nonce": message.nonce,
                    "secretId": message.secret_id,
                    "proof": message.proof,
                }
            }
        case Proof():
            fields = {"proof": message.proof}
    payload = _schema.HandshakeMessage.new_message(**fields).to_bytes()
    return bytes(payload)


def decode(payload: bytes) -> HandshakeMessage:
    """Returns the handshake message in a payload.

    Raises:
      PeerFrameError: the payload is not a handshake message.
    """
    try:
        return _decode(schemas.read(_schema.HandshakeMessage, payload))
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError("not a handshake message") from error


def _decode(reader: Any) -> HandshakeMessage:
    match reader.which():
        case "hello":
            hello = reader.hello
            if len(hello.secretIds) > MAX_SECRETS:
                raise ValueError("the hello has too many secret ids")
            return Hello(
                hello.name,
                hello.expectedName,
                bytes(hello.nonce),
                tuple(bytes(secret_id) for secret_id in hello.secretIds),
            )
        case "welcome":
            welcome = reader.welcome
            return Welcome(
                welcome.name,
                bytes(welcome.nonce),
                bytes(welcome.secretId),
                bytes(welcome.proof),
            )
        case "proof":
            return Proof(bytes(reader.proof))
    raise ValueError("the message has an unknown variant")
