"""The codec of messages about tokens and repeated requests."""

import dataclasses

import capnp

from sardinehill import errors
from sardinehill.core import deduplication
from sardinehill.core import forward_messages
from sardinehill.core import token_lending
from sardinehill.wire import forwards
from sardinehill.wire import schemas

_SCHEMA = schemas.load("accounts")

Recollection = deduplication.LookupResult[forward_messages.ForwardAnswer]


@dataclasses.dataclass(frozen=True)
class LendRequest:
    """A borrower's wish.

    Attributes:
      account: the client account, empty to be vouched for only.
      list_id: names the member list that the borrower goes by.
      wish: what it asks for.
    """

    account: str
    list_id: int
    wish: token_lending.LoanRequest


@dataclasses.dataclass(frozen=True)
class LendAnswer:
    """A holder's answer.

    Attributes:
      ruling: what was decided.
      tokens: tokens lent.
      retry_after_s: seconds until another token may be there.
      list_id: names the member list that the holder goes by.
    """

    ruling: token_lending.LoanStatus
    tokens: int
    retry_after_s: float
    list_id: int


@dataclasses.dataclass(frozen=True)
class DuplicateQuestion:
    """A question to the daemon that was in charge before.

    Attributes:
      scope: the scope that the request belongs to.
      name: the caller's name for the request.
    """

    scope: str
    name: deduplication.RequestIdentity


def encode_lend_request(request: LendRequest) -> bytes:
    """Returns the message of a wish."""
    message = _SCHEMA.LendRequest.new_message(
        account=request.account,
        listId=request.list_id,
        urgentTokens=request.wish.urgent_tokens,
        aheadTokens=request.wish.prefetch_tokens,
    )
    return bytes(message.to_bytes())


def decode_lend_request(data: bytes) -> LendRequest:
    """Returns the wish of a message.

    Raises:
      PeerFrameError: the bytes are not such a message.
    """
    try:
        message = schemas.read(_SCHEMA.LendRequest, data)
        wish = token_lending.LoanRequest(
            message.urgentTokens, message.aheadTokens
        )
        return LendRequest(message.account, message.listId, wish)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a wish: {error}") from error


def encode_lend_answer(answer: LendAnswer) -> bytes:
    """Returns the message of a holder's answer."""
    message = _SCHEMA.LendAnswer.new_message(
        ruling=answer.ruling.value,
        tokens=answer.tokens,
        retryAfterS=answer.retry_after_s,
        listId=answer.list_id,
    )
    return bytes(message.to_bytes())


def decode_lend_answer(data: bytes) -> LendAnswer:
    """Returns the holder's answer of a message.

    Raises:
      PeerFrameError: the bytes are not such a message.
    """
    try:
        message = schemas.read(_SCHEMA.LendAnswer, data)
        return LendAnswer(
            token_lending.LoanStatus(message.ruling),
            message.tokens,
            message.retryAfterS,
            message.listId,
        )
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a loan: {error}") from error


def encode_question(question: DuplicateQuestion) -> bytes:
    """Returns the message of a question about a request."""
    message = _SCHEMA.DuplicateQuestion.new_message(
        scope=question.scope,
        account=question.name.account,
        idempotencyKey=question.name.idempotency_key,
    )
    return bytes(message.to_bytes())


def decode_question(data: bytes) -> DuplicateQuestion:
    """Returns the question of a message.

    Raises:
      PeerFrameError: the bytes are not such a message.
    """
    try:
        message = schemas.read(_SCHEMA.DuplicateQuestion, data)
        name = deduplication.RequestIdentity(
            message.account, message.idempotencyKey
        )
        return DuplicateQuestion(message.scope, name)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a question: {error}") from error


def encode_recollection(found: Recollection) -> bytes:
    """Returns the message of what is remembered."""
    answer = b""
    if found.answer is not None:
        answer = forwards.encode_answer(found.answer)
    message = _SCHEMA.DuplicateAnswer.new_message(
        seen=found.status.value,
        proves=found.complete_since_s is not None,
        sinceS=found.complete_since_s or 0.0,
        answer=answer,
    )
    return bytes(message.to_bytes())


def decode_recollection(data: bytes) -> Recollection:
    """Returns what another daemon remembers.

    Raises:
      PeerFrameError: the bytes are not such a message.
    """
    try:
        message = schemas.read(_SCHEMA.DuplicateAnswer, data)
        seen = deduplication.LookupStatus(message.seen)
        since_s = message.sinceS if message.proves else None
        payload = bytes(message.answer)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not an answer: {error}") from error
    answer = forwards.decode_answer(payload) if payload else None
    return deduplication.LookupResult(seen, since_s, answer)
