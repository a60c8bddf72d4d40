"""Encodes and decodes messages about token loans and duplicate requests."""

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
    """A borrower's request for tokens of a client account.

    Attributes:
      account: the client account, or empty in a request that only asks whether
        the receiver uses the same member list.
      member_list_id: the id of the member list that the borrower uses.
      loan_request: the requested tokens.
    """

    account: str
    member_list_id: int
    loan_request: token_lending.LoanRequest


@dataclasses.dataclass(frozen=True)
class LoanAnswerMessage:
    """A holder's answer to a loan request.

    Attributes:
      status: the holder's decision.
      tokens: the number of tokens lent.
      retry_after_s: seconds until another token may be available.
      member_list_id: the id of the member list that the holder uses.
    """

    status: token_lending.LoanStatus
    tokens: int
    retry_after_s: float
    member_list_id: int


@dataclasses.dataclass(frozen=True)
class DuplicateQuery:
    """A query to the previous owner of a scope about a request.

    Attributes:
      scope: the scope to which the request belongs.
      identity: the client account and idempotency key of the request.
    """

    scope: str
    identity: deduplication.RequestIdentity


def encode_loan_request(request: LoanRequestMessage) -> bytes:
    """Returns the message for a loan request."""
    message = _SCHEMA.LendRequest.new_message(
        account=request.account,
        listId=request.member_list_id,
        urgentTokens=request.loan_request.urgent_tokens,
        aheadTokens=request.loan_request.prefetch_tokens,
    )
    return bytes(message.to_bytes())


def decode_loan_request(data: bytes) -> LoanRequestMessage:
    """Returns the loan request in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.LendRequest, data)
        loan_request = token_lending.LoanRequest(
            message.urgentTokens, message.aheadTokens
        )
        return LoanRequestMessage(message.account, message.listId, loan_request)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a loan request: {error}") from error


def encode_loan_answer(answer: LoanAnswerMessage) -> bytes:
    """Returns the message for a holder's answer."""
    message = _SCHEMA.LendAnswer.new_message(
        ruling=answer.status.value,
        tokens=answer.tokens,
        retryAfterS=answer.retry_after_s,
        listId=answer.member_list_id,
    )
    return bytes(message.to_bytes())


def decode_loan_answer(data: bytes) -> LoanAnswerMessage:
    """Returns the holder's answer in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
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
        raise errors.PeerFrameError(f"not a loan answer: {error}") from error


def encode_duplicate_query(query: DuplicateQuery) -> bytes:
    """Returns the message for a query about a request."""
    message = _SCHEMA.DuplicateQuestion.new_message(
        scope=query.scope,
        account=query.identity.account,
        idempotencyKey=query.identity.idempotency_key,
    )
    return bytes(message.to_bytes())


def decode_duplicate_query(data: bytes) -> DuplicateQuery:
    """Returns the query about a request in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.DuplicateQuestion, data)
        identity = deduplication.RequestIdentity(
            message.account, message.idempotencyKey
        )
        return DuplicateQuery(message.scope, identity)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(
            f"not a duplicate query: {error}"
        ) from error


def encode_lookup_result(result: DuplicateLookupResult) -> bytes:
    """Returns the message for the result of a lookup."""
    answer = b""
    if result.answer is not None:
        answer = forwards.encode_answer(result.answer)
    message = _SCHEMA.DuplicateAnswer.new_message(
        seen=result.status.value,
        proves=result.complete_since_s is not None,
        sinceS=result.complete_since_s or 0.0,
        answer=answer,
    )
    return bytes(message.to_bytes())


def decode_lookup_result(data: bytes) -> DuplicateLookupResult:
    """Returns the result of another daemon's lookup in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.DuplicateAnswer, data)
        status = deduplication.LookupStatus(message.seen)
        complete_since_s = message.sinceS if message.proves else None
        payload = bytes(message.answer)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a lookup result: {error}") from error
    answer = forwards.decode_answer(payload) if payload else None
    return deduplication.LookupResult(status, complete_since_s, answer)
