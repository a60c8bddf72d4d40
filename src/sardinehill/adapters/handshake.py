"""The messages that begin a connection between two daemons."""

import dataclasses
import secrets
from typing import Any

import capnp

from sardinehill import errors
from sardinehill.core import peer_authentication
from sardinehill.wire import schemas

_schema = schemas.load("membership")

# The list of secrets is short: the newest, and the one it replaces.
MAX_SECRETS = 8


@dataclasses.dataclass(frozen=True)
class Hello:
    """What the connecting daemon says first.

    Attributes:
      name: its own name.
      expected_name: the daemon it means to reach, empty when it knows none.
      nonce: its nonce for this connection.
      secret_ids: names of the secrets that it knows.
    """

    name: str
    expected_name: str
    nonce: bytes
    secret_ids: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class Welcome:
    """What the accepting daemon answers.

    Attributes:
      name: its own name.
      nonce: its nonce for this connection.
      secret_id: the name of the secret it picked.
      proof: that it knows this secret.
    """

    name: str
    nonce: bytes
    secret_id: bytes
    proof: bytes


@dataclasses.dataclass(frozen=True)
class Proof:
    """The connecting daemon's proof."""

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
        """Returns the first message."""
        ids = tuple(
            peer_authentication.secret_id(secret) for secret in self._secrets
        )
        return Hello(
            self._own_name, self._expected_name, self._nonce, ids[:MAX_SECRETS]
        )

    def prove(self, welcome: Welcome) -> Proof:
        """Checks the other side's proof and returns the own one.

        Raises:
          PeerFrameError: the proof or the name is not as expected.
        """
        if self._expected_name not in ("", welcome.name):
            raise errors.PeerFrameError(
                f"{welcome.name!r} answers in place of {self._expected_name!r}"
            )
        secret = peer_authentication.select_shared_secret(
            self._secrets, [welcome.secret_id]
        )
        if secret is None:
            raise errors.PeerFrameError(f"{welcome.name!r} shares no secret")
        names = (self._own_name, welcome.name)
        nonces = self._nonce + welcome.nonce
        expected = peer_authentication.acceptor_proof(secret, *names, nonces)
        if not peer_authentication.proof_matches(expected, welcome.proof):
            raise errors.PeerFrameError(f"{welcome.name!r} proves no secret")
        return Proof(peer_authentication.dialer_proof(secret, *names, nonces))


class Acceptor:
    """The accepting side of one handshake."""

    def __init__(self, own_name: str, own_secrets: tuple[str, ...]):
        self._own_name = own_name
        self._secrets = own_secrets
        self._expected_proof = b""
        self.peer_name = ""

    def welcome(self, hello: Hello) -> Welcome:
        """Returns the answer to a hello.

        Raises:
          PeerFrameError: no secret is shared, or the nonce is too short.
        """
        if (
            not hello.name
            or len(hello.nonce) != peer_authentication.NONCE_BYTES
        ):
            raise errors.PeerFrameError("a hello without a name or a nonce")
        secret = peer_authentication.select_shared_secret(
            self._secrets, hello.secret_ids
        )
        if secret is None:
            raise errors.PeerFrameError(f"{hello.name!r} shares no secret")
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
        """Checks the connecting side's proof.

        Raises:
          PeerFrameError: it is wrong, or came before a hello.
        """
        expected = self._expected_proof
        if not expected or not peer_authentication.proof_matches(
            expected, proof.proof
        ):
            raise errors.PeerFrameError(f"{self.peer_name!r} proves no secret")


def encode(message: HandshakeMessage) -> bytes:
    """Returns a handshake message's payload."""
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
    """Returns the message that a payload holds.

    Raises:
      PeerFrameError: the payload is no handshake message.
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
                raise ValueError("a hello that names too many secrets")
            return Hello(
                hello.name,
                hello.expectedName,
                bytes(hello.nonce),
                tuple(bytes(each) for each in hello.secretIds),
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
    raise ValueError("a message of an unknown variant")
