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

DuplicateLookupResult = deduplication.LookupResult[
    forward_messages.ForwardAnswer
]


@dataclasses.dataclass(frozen=True)
class LoanRequestMessage:
    """A borrower's wish.

    Attributes:
      account: the client account, empty to be vouched for only.
      member_list_id: names the member list that the borrower goes by.
      loan_request: what it asks for.
    """

    account: str
    member_list_id: int
    loan_request: token_lending.LoanRequest


@dataclasses.dataclass(frozen=True)
class LoanAnswerMessage:
    """A holder's answer.

    Attributes:
      status: what was decided.
      tokens: tokens lent.
      retry_after_s: seconds until another token may be there.
      member_list_id: names the member list that the holder goes by.
    """

    status: token_lending.LoanStatus
    tokens: int
    retry_after_s: float
    member_list_id: int


@dataclasses.dataclass(frozen=True)
class DuplicateQuery:
    """A question to the daemon that was in charge before.

    Attributes:
      scope: the scope that the request belongs to.
      identity: the caller's name for the request.
    """

    scope: str
    identity: deduplication.RequestIdentity


def encode_loan_request(request: LoanRequestMessage) -> bytes:
    """Returns the message of a wish."""
    message = _SCHEMA.LendRequest.new_message(
        account=request.account,
        listId=request.member_list_id,
        urgentTokens=request.loan_request.urgent_tokens,
        aheadTokens=request.loan_request.prefetch_tokens,
    )
    return bytes(message.to_bytes())


def decode_loan_request(data: bytes) -> LoanRequestMessage:
    """Returns the wish of a message.

    Raises:
      PeerFrameError: the bytes are not such a message.
    """
    try:
        message = schemas.read(_SCHEMA.LendRequest, data)
        wish = token_lending.LoanRequest(
            message.urgentTokens, message.aheadTokens
        )
        return LoanRequestMessage(message.account, message.listId, wish)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a wish: {error}") from error


def encode_loan_answer(answer: LoanAnswerMessage) -> bytes:
    """Returns the message of a holder's answer."""
    message = _SCHEMA.LendAnswer.new_message(
        ruling=answer.status.value,
        tokens=answer.tokens,
        retryAfterS=answer.retry_after_s,
        listId=answer.member_list_id,
    )
    return bytes(message.to_bytes())


def decode_loan_answer(data: bytes) -> LoanAnswerMessage:
    """Returns the holder's answer of a message.

    Raises:
      PeerFrameError: the bytes are not such a message.
    """
    try:
        message = schemas.read(_SCHEMA.LendAnswer, data)
        return LoanAnswerMessage(
            token_lending.LoanStatus(message.ruling),
            message.tokens,
            message.retryAfterS,
            message.listId,
        )
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a loan: {error}") from error


def encode_duplicate_query(question: DuplicateQuery) -> bytes:
    """Returns the message of a question about a request."""
    message = _SCHEMA.DuplicateQuestion.new_message(
        scope=question.scope,
        account=question.identity.account,
        idempotencyKey=question.identity.idempotency_key,
    )
    return bytes(message.to_bytes())


def decode_duplicate_query(data: bytes) -> DuplicateQuery:
    """Returns the question of a message.

    Raises:
      PeerFrameError: the bytes are not such a message.
    """
    try:
        message = schemas.read(_SCHEMA.DuplicateQuestion, data)
        name = deduplication.RequestIdentity(
            message.account, message.idempotencyKey
        )
        return DuplicateQuery(message.scope, name)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a question: {error}") from error


def encode_lookup_result(found: DuplicateLookupResult) -> bytes:
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


def decode_lookup_result(data: bytes) -> DuplicateLookupResult:
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
