"""Authenticates callers and enforces the rate of each client account.

`core.account_keys` and `core.token_lending` make the decisions. This module
updates them from the fleet view and exchanges messages with other daemons.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
from typing import Any

import xxhash

from sardinehill import errors
from sardinehill.core import account_keys
from sardinehill.core import fleet
from sardinehill.core import token_lending
from sardinehill.daemon import fleet_view
from sardinehill.daemon import peer_bus
from sardinehill.wire import accounts as accounts_wire
from sardinehill.wire import message_kinds

# Time between two updates of members and buckets from the fleet view.
TICK_INTERVAL_S = 0.1
# When the member list was last confirmed longer ago than this, the members are
# asked to confirm that it is the newest.
LEASE_RENEWAL_AGE_S = 0.5
# How long a daemon waits for a peer's answer to a token request or to a
# question about the member list.
PEER_ANSWER_TIMEOUT_S = 0.25
# How long the lending lease is renewed after the last token request or scope
# lookup.
LEASE_UPKEEP_S = 5.0
# Time between two requests to a holder that is lost or not ready, and longest
# time between two requests to one that has lent too few tokens.
HOLDER_RETRY_INTERVAL_S = 0.05
# Limit on the requests of one account that wait for tokens at one daemon.
MAX_WAITING_REQUESTS = 512


@dataclasses.dataclass(eq=False)
class _WaitingRequest:
    """A request that waits for a token.

    Attributes:
      admitted: its result is None once the request is admitted; its exception
        is the refusal.
      arrived_s: the loop time at which the request arrived.
      deadline_s: the loop time at which the wait ends without a token.
    """

    admitted: asyncio.Future[None]
    arrived_s: float
    deadline_s: float


@dataclasses.dataclass
class _AccountState:
    """One account's state at this daemon.

    Attributes:
      tokens: the tokens borrowed from the account's holder.
      waiting: requests that wait for a token, in order of arrival.
      is_borrowing: whether a task is requesting tokens from the holder.
    """

    tokens: token_lending.BorrowedTokens = dataclasses.field(
        default_factory=token_lending.BorrowedTokens
    )
    waiting: collections.deque[_WaitingRequest] = dataclasses.field(
        default_factory=collections.deque
    )
    is_borrowing: bool = False


class AccountAdmission:
    """Admits requests of client accounts at one daemon."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        bus: peer_bus.PeerBus,
        replica_age_s: Callable[[], float],
    ) -> None:
        """Registers the message handler; `start` begins the periodic work.

        Args:
          view: the daemon's view of the fleet.
          bus: carries messages between daemons.
          replica_age_s: returns for how long the store may have had newer
            objects than the view.
        """
        self._view = view
        self._bus = bus
        self._replica_age_s = replica_age_s
        self._key_ring = view.key_ring
        self._bucket_holder = token_lending.BucketHolder(view.settings.name)
        self._member_incarnations: tuple[tuple[str, int], ...] = ()
        self._list_id = 0
        self._account_states: dict[str, _AccountState] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._tick_task: asyncio.Task[None] | None = None
        self._is_confirming = False
        self._lease_needed_until_s = float("-inf")
        bus.register(
            message_kinds.MessageKind.LEND_TOKENS, self._handle_loan_request
        )

    def start(self) -> None:
        """Starts to update members, buckets and the lease periodically."""
        self._tick_task = asyncio.ensure_future(self._tick_forever())

    async def close(self) -> None:
        """Cancels the periodic work and all token requests."""
        tasks = list(self._tasks)
        if self._tick_task is not None:
            tasks.append(self._tick_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def authenticate(self, account_key: str | None) -> account_keys.Caller:
        """Returns the caller that an account key belongs to.

        Raises:
          RequestRefusedError: the key is not valid; nothing was run.
        """
        now_s = _now_s()
        self._key_ring.confirm_fresh(now_s - self._replica_age_s())
        return self._key_ring.authenticate(account_key, now_s)

    def has_fresh_keys(self) -> bool:
        """Returns whether this daemon's account keys are known to be current.

        A daemon that can't learn of revoked keys refuses every caller, so the
        load balancer should send callers to other daemons.
        """
        now_s = _now_s()
        self._key_ring.confirm_fresh(now_s - self._replica_age_s())
        return self._key_ring.is_confirmed(now_s)

    async def admit(
        self, account: fleet.ClientAccountConfig, deadline_s: float
    ) -> None:
        """Takes one token of an account, waiting for one if necessary.

        Args:
          account: the caller's account.
          deadline_s: the loop time at which the wait ends at the latest.

        Raises:
          RequestRefusedError: no token arrived in time; nothing was run.
        """
        now_s = _now_s()
        state = self._account_states.setdefault(account.name, _AccountState())
        state.tokens.record_request(now_s)
        if not state.waiting and state.tokens.try_take(now_s):
            self._start_borrowing_if_needed(account.name, state)
            return
        if len(state.waiting) >= MAX_WAITING_REQUESTS:
            raise _refusal(errors.Reason.OVER_RATE, token_lending.TOKEN_WAIT_S)
        waiter = _WaitingRequest(
            asyncio.get_running_loop().create_future(),
            now_s,
            min(deadline_s, now_s + token_lending.HOLDER_WAIT_S),
        )
        state.waiting.append(waiter)
        self._start_borrowing_if_needed(account.name, state)
        try:
            await waiter.admitted
        finally:
            if waiter in state.waiting:
                state.waiting.remove(waiter)

    def members(self) -> list[str]:
        """Returns the members that holders of scopes are chosen from."""
        self._update_members(_now_s())
        return self._bucket_holder.members

    def scope_held_for_s(self, scope: str) -> float | None:
        """Returns how long no other daemon can have held a scope.

        Returns:
          Seconds, or None while another daemon holds the scope or may still
          hold it.
        """
        now_s = _now_s()
        self._update_members(now_s)
        self._keep_lease(now_s)
        since_s = self._bucket_holder.scope_held_since_s(scope, now_s)
        return None if since_s is None else now_s - since_s

    def _update_members(self, now_s: float) -> None:
        members = tuple(
            sorted(
                (name, member.incarnation)
                for name, member in self._view.members.items()
            )
        )
        if members != self._member_incarnations:
            self._member_incarnations = members
            self._list_id = xxhash.xxh3_64_intdigest(repr(members).encode())
            names = [name for name, _ in members]
            self._bucket_holder.adopt_members(
                self._bucket_holder.epoch + 1, names, now_s
            )
        self._bucket_holder.confirm_members(
            self._bucket_holder.epoch, now_s - self._replica_age_s()
        )

    def _start_borrowing_if_needed(
        self, name: str, state: _AccountState
    ) -> None:
        if state.is_borrowing:
            return
        terms = self._terms(name)
        request = state.tokens.next_request(terms, len(state.waiting), _now_s())
        if request is not None:
            state.is_borrowing = True
            self._spawn(self._borrow_while_needed(name, state))

    async def _borrow_while_needed(
        self, name: str, state: _AccountState
    ) -> None:
        try:
            while True:
                terms = self._terms(name)
                request = state.tokens.next_request(
                    terms, len(state.waiting), _now_s()
                )
                if request is None:
                    return
                pause_s = await self._borrow_once(name, state, terms, request)
                if not state.waiting:
                    return
                await asyncio.sleep(pause_s)
        finally:
            state.is_borrowing = False

    async def _borrow_once(
        self,
        name: str,
        state: _AccountState,
        terms: token_lending.LoanTerms,
        request: token_lending.LoanRequest,
    ) -> float:
        """Requests tokens once and admits waiting requests.

        Returns:
          Seconds to wait before the next token request.
        """
        asked_s = _now_s()
        answer = await self._request_loan(name, request)
        now_s = _now_s()
        if answer is None or answer.status is not token_lending.LoanStatus.LENT:
            state.tokens.record_missing_holder(now_s)
            self._refuse_expired(state, now_s)
            return HOLDER_RETRY_INTERVAL_S
        state.tokens.add_loan(terms, answer.tokens, asked_s)
        self._admit_waiting(state, now_s)
        self._refuse_expired(state, now_s)
        self._refuse_over_rate(state, answer.retry_after_s, now_s)
        return min(answer.retry_after_s, HOLDER_RETRY_INTERVAL_S)

    async def _request_loan(
        self, name: str, loan_request: token_lending.LoanRequest
    ) -> accounts_wire.LoanAnswerMessage | None:
        self._update_members(_now_s())
        holder = token_lending.holder_of(name, self._bucket_holder.members)
        if holder is None:
            return None
        request = accounts_wire.LoanRequestMessage(
            name, self._list_id, loan_request
        )
        try:
            payload = await self._bus.ask(
                holder,
                message_kinds.MessageKind.LEND_TOKENS,
                accounts_wire.encode_loan_request(request),
                PEER_ANSWER_TIMEOUT_S,
            )
            return accounts_wire.decode_loan_answer(payload)
        except errors.PeerError:
            return None

    def _admit_waiting(self, state: _AccountState, now_s: float) -> None:
        while state.waiting:
            if state.waiting[0].admitted.done():
                state.waiting.popleft()
                continue
            if not state.tokens.try_take(now_s):
                return
            state.waiting.popleft().admitted.set_result(None)

    def _refuse_over_rate(
        self, state: _AccountState, retry_after_s: float, now_s: float
    ) -> None:
        max_wait_s = state.tokens.max_wait_s(now_s)
        for waiter in list(state.waiting):
            waited_s = now_s - waiter.arrived_s
            if waited_s + retry_after_s > max_wait_s:
                self._refuse(
                    state, waiter, errors.Reason.OVER_RATE, retry_after_s
                )

    def _refuse_expired(self, state: _AccountState, now_s: float) -> None:
        for waiter in list(state.waiting):
            if now_s >= waiter.deadline_s:
                reason = errors.Reason.RATE_UNKNOWN
                self._refuse(
                    state, waiter, reason, token_lending.LENDING_LEASE_S
                )

    def _refuse(
        self,
        state: _AccountState,
        waiter: _WaitingRequest,
        reason: errors.Reason,
        retry_after_s: float,
    ) -> None:
        state.waiting.remove(waiter)
        if not waiter.admitted.done():
            waiter.admitted.set_exception(_refusal(reason, retry_after_s))

    def _terms(self, name: str) -> token_lending.LoanTerms:
        config = self._view.config
        account = config.accounts.get(name) if config else None
        if account is None:
            return token_lending.LoanTerms(
                0.0, 0.0, token_lending.MIN_LOAN_LIFETIME_S
            )
        return token_lending.terms_for(account)

    def _handle_loan_request(self, sender: str, payload: bytes) -> bytes:
        request = accounts_wire.decode_loan_request(payload)
        now_s = _now_s()
        self._update_members(now_s)
        epoch = self._bucket_holder.epoch
        if request.member_list_id != self._list_id:
            # No list has this epoch, so that `lend` declines the request.
            epoch = -1
        elif request.account:
            self._keep_lease(now_s)
        loan = self._bucket_holder.lend(
            request.account,
            self._terms(request.account),
            epoch,
            request.loan_request,
            now_s,
        )
        return accounts_wire.encode_loan_answer(
            accounts_wire.LoanAnswerMessage(
                loan.status, loan.tokens, loan.retry_after_s, self._list_id
            )
        )

    async def _tick_forever(self) -> None:
        while True:
            now_s = _now_s()
            self._update_members(now_s)
            config = self._view.config
            for account in config.accounts.values() if config else ():
                self._bucket_holder.ensure_bucket(
                    account.name, token_lending.terms_for(account)
                )
            if now_s < self._lease_needed_until_s:
                self._renew_lease_if_due(now_s)
            await asyncio.sleep(TICK_INTERVAL_S)

    def _renew_lease_if_due(self, now_s: float) -> None:
        """Starts a renewal once half of the lending lease has passed.

        Only a daemon whose buckets or scopes were used recently calls this. If
        all daemons renewed all the time, the number of messages in an idle
        fleet would grow with the square of its size.
        """
        if (
            self._is_confirming
            or self._bucket_holder.confirmation_age_s(now_s)
            < LEASE_RENEWAL_AGE_S
        ):
            return
        self._is_confirming = True
        self._spawn(self._confirm_with_quorum())

    def _keep_lease(self, now_s: float) -> None:
        self._lease_needed_until_s = now_s + LEASE_UPKEEP_S
        self._renew_lease_if_due(now_s)

    async def _confirm_with_quorum(self) -> None:
        """Asks all members whether they have the same member list.

        While the store is down, the view ages in every daemon, and nothing can
        be changed. A majority of members with the same list distinguishes this
        case from the one where only this daemon is cut off.
        """
        try:
            asked_s = _now_s()
            epoch, list_id = self._bucket_holder.epoch, self._list_id
            members = self._bucket_holder.members
            answers = await asyncio.gather(
                *(self._has_same_list(name, list_id) for name in members)
            )
            if 2 * sum(answers) > len(members):
                self._bucket_holder.confirm_members(epoch, asked_s)
                self._key_ring.confirm_fresh(asked_s)
        finally:
            self._is_confirming = False

    async def _has_same_list(self, name: str, list_id: int) -> bool:
        if name == self._view.settings.name:
            return True
        request = accounts_wire.LoanRequestMessage(
            "", list_id, token_lending.LoanRequest(0, 0)
        )
        try:
            payload = await self._bus.ask(
                name,
                message_kinds.MessageKind.LEND_TOKENS,
                accounts_wire.encode_loan_request(request),
                PEER_ANSWER_TIMEOUT_S,
            )
            answer = accounts_wire.decode_loan_answer(payload)
        except errors.PeerError:
            return False
        return answer.member_list_id == list_id

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _refusal(
    reason: errors.Reason, retry_after_s: float
) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(
        reason, errors.Verdict.NOT_RUN, retry_after_s=retry_after_s
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
