"""Authenticates callers and admits them within their account's rate.

What is decided stands in `core.account_keys` and `core.tokens`; this module
keeps them up to date from the view, and asks other daemons.
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

TICK_INTERVAL_S = 0.1
# News older than this and peers are asked to vouch that there is no newer.
LEASE_RENEWAL_AGE_S = 0.5
PEER_ANSWER_TIMEOUT_S = 0.25
# How long after a wish or a look at a duty the licence is kept up.
LEASE_UPKEEP_S = 5.0
# Time between two questions to a holder that is lost or not ready.
HOLDER_RETRY_INTERVAL_S = 0.05
# Requests of one account that wait for tokens at one daemon.
MAX_WAITING_REQUESTS = 512


@dataclasses.dataclass(eq=False)
class _WaitingRequest:
    """A request that waits for a token.

    Attributes:
      admitted: set to None, or to the refusal.
      arrived_s: when it arrived.
      deadline_s: when its deadline ends the wait.
    """

    admitted: asyncio.Future[None]
    arrived_s: float
    deadline_s: float


@dataclasses.dataclass
class _AccountState:
    """One account at this daemon."""

    tokens: token_lending.BorrowedTokens = dataclasses.field(
        default_factory=token_lending.BorrowedTokens
    )
    waiting: collections.deque[_WaitingRequest] = dataclasses.field(
        default_factory=collections.deque
    )
    is_borrowing: bool = False


class AccountAdmission:
    """The client accounts as one daemon knows them."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        bus: peer_bus.PeerBus,
        replica_age_s: Callable[[], float],
    ) -> None:
        """Makes an idle part; `start` begins its timer.

        Args:
          view: the daemon's view.
          bus: asks other daemons.
          replica_age_s: for how long the store may have had something newer than the
            view.
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
        """Begins to follow the view."""
        self._tick_task = asyncio.ensure_future(self._tick_forever())

    async def close(self) -> None:
        """Ends the timer and all questions."""
        tasks = list(self._tasks)
        if self._tick_task is not None:
            tasks.append(self._tick_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def authenticate(self, account_key: str | None) -> account_keys.Caller:
        """Returns who presents an account key.

        Raises:
          RequestRefusedError: nobody that is known; nothing was run.
        """
        now_s = _now_s()
        self._key_ring.confirm_fresh(now_s - self._replica_age_s())
        return self._key_ring.authenticate(account_key, now_s)

    def has_fresh_keys(self) -> bool:
        """Tells whether this daemon can learn of revoked account keys.

        While it cannot, it refuses every caller, so the balancer had better
        send them elsewhere.
        """
        now_s = _now_s()
        self._key_ring.confirm_fresh(now_s - self._replica_age_s())
        return self._key_ring.is_confirmed(now_s)

    async def admit(
        self, account: fleet.ClientAccountConfig, deadline_s: float
    ) -> None:
        """Takes one token of an account, and waits for it a little.

        Raises:
          RequestRefusedError: there is none in time; nothing was run.
        """
        now_s = _now_s()
        own = self._account_states.setdefault(account.name, _AccountState())
        own.tokens.record_request(now_s)
        if not own.waiting and own.tokens.try_take(now_s):
            self._start_borrowing_if_needed(account.name, own)
            return
        if len(own.waiting) >= MAX_WAITING_REQUESTS:
            raise _refusal(errors.Reason.OVER_RATE, token_lending.TOKEN_WAIT_S)
        waiter = _WaitingRequest(
            asyncio.get_running_loop().create_future(),
            now_s,
            min(deadline_s, now_s + token_lending.HOLDER_WAIT_S),
        )
        own.waiting.append(waiter)
        self._start_borrowing_if_needed(account.name, own)
        try:
            await waiter.admitted
        finally:
            if waiter in own.waiting:
                own.waiting.remove(waiter)

    def members(self) -> list[str]:
        """Returns the members by which duties are spread."""
        self._update_members(_now_s())
        return self._bucket_holder.members

    def scope_held_for_s(self, scope: str) -> float | None:
        """Returns for how long this daemon alone has held a duty, or None."""
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

    def _start_borrowing_if_needed(self, name: str, own: _AccountState) -> None:
        if own.is_borrowing:
            return
        terms = self._terms(name)
        wish = own.tokens.next_request(terms, len(own.waiting), _now_s())
        if wish is not None:
            own.is_borrowing = True
            self._spawn(self._borrow_while_needed(name, own))

    async def _borrow_while_needed(self, name: str, own: _AccountState) -> None:
        try:
            while True:
                terms = self._terms(name)
                wish = own.tokens.next_request(
                    terms, len(own.waiting), _now_s()
                )
                if wish is None:
                    return
                pause_s = await self._borrow_once(name, own, terms, wish)
                if not own.waiting:
                    return
                await asyncio.sleep(pause_s)
        finally:
            own.is_borrowing = False

    async def _borrow_once(
        self,
        name: str,
        own: _AccountState,
        terms: token_lending.LoanTerms,
        wish: token_lending.LoanRequest,
    ) -> float:
        """Asks once, serves who waits, and returns the pause until the next."""
        asked_s = _now_s()
        answer = await self._request_loan(name, wish)
        now_s = _now_s()
        if answer is None or answer.status is not token_lending.LoanStatus.LENT:
            own.tokens.record_missing_holder(now_s)
            self._refuse_expired(own, now_s)
            return HOLDER_RETRY_INTERVAL_S
        own.tokens.add_loan(terms, answer.tokens, asked_s)
        self._admit_waiting(own, now_s)
        self._refuse_expired(own, now_s)
        self._refuse_over_rate(own, answer.retry_after_s, now_s)
        return min(answer.retry_after_s, HOLDER_RETRY_INTERVAL_S)

    async def _request_loan(
        self, name: str, wish: token_lending.LoanRequest
    ) -> accounts_wire.LoanAnswerMessage | None:
        self._update_members(_now_s())
        holder = token_lending.holder_of(name, self._bucket_holder.members)
        if holder is None:
            return None
        request = accounts_wire.LoanRequestMessage(name, self._list_id, wish)
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

    def _admit_waiting(self, own: _AccountState, now_s: float) -> None:
        while own.waiting:
            if own.waiting[0].admitted.done():
                own.waiting.popleft()
                continue
            if not own.tokens.try_take(now_s):
                return
            own.waiting.popleft().admitted.set_result(None)

    def _refuse_over_rate(
        self, own: _AccountState, retry_after_s: float, now_s: float
    ) -> None:
        patience_s = own.tokens.max_wait_s(now_s)
        for waiter in list(own.waiting):
            waited_s = now_s - waiter.arrived_s
            if waited_s + retry_after_s > patience_s:
                self._refuse(
                    own, waiter, errors.Reason.OVER_RATE, retry_after_s
                )

    def _refuse_expired(self, own: _AccountState, now_s: float) -> None:
        for waiter in list(own.waiting):
            if now_s >= waiter.deadline_s:
                reason = errors.Reason.RATE_UNKNOWN
                self._refuse(own, waiter, reason, token_lending.LENDING_LEASE_S)

    def _refuse(
        self,
        own: _AccountState,
        waiter: _WaitingRequest,
        reason: errors.Reason,
        retry_after_s: float,
    ) -> None:
        own.waiting.remove(waiter)
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
                self._renew_lease(now_s)
            await asyncio.sleep(TICK_INTERVAL_S)

    def _renew_lease(self, now_s: float) -> None:
        """Asks to vouch when the licence is half gone.

        Only a daemon whose buckets or duties were lately asked for does so:
        when each did at all times, an idle fleet's messages grew with the
        square of its size.
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
        self._renew_lease(now_s)

    async def _confirm_with_quorum(self) -> None:
        """Asks all members whether they know anything newer.

        While the store is down the view grows old everywhere, and nothing can
        be changed. A majority of the list that knows the same list tells that
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

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
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
