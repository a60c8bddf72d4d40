"""Borrows tokens of limits that the fleet shares from the leader."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from sardinehill import errors
from sardinehill import events
from sardinehill.core import fleet_messages

# Token requests within this time go to the leader in one message.
BATCH_DELAY_S = 0.002
# How long token requests are retried while no leader answers them.
MAX_LEADER_WAIT_S = 0.3
LEADER_RETRY_INTERVAL_S = 0.1
# The time until the next attempt that is returned while no leader answers.
NO_LEADER_RETRY_AFTER_S = 0.25
MIN_RETRY_AFTER_S = 0.001
# After the leader lent too few tokens, none is requested for at most this time.
MAX_EXHAUSTED_S = 0.1

RequestLoans = Callable[
    [list[fleet_messages.TokenRequest]],
    Awaitable[list[fleet_messages.TokenLoan]],
]


class TokenBorrower:
    """Collects a daemon's token requests and distributes the loans.

    Args:
      request_loans: sends token requests to the leader and returns its loans;
        it raises PeerError, or returns no loans, when no leader answers.
    """

    def __init__(self, request_loans: RequestLoans):
        self._request_loans = request_loans
        self._exhausted_until_s: dict[str, float] = {}
        self._pending: dict[str, list[asyncio.Future[float]]] = {}
        self._batch_task: asyncio.Task[None] | None = None

    async def borrow(self, name: str) -> float:
        """Borrows one token.

        Args:
          name: the client account, or the id of the cold upstream.

        Returns:
          0 if a token was lent, else the seconds until the next attempt.
        """
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        exhausted_until_s = self._exhausted_until_s.get(name, now_s)
        if now_s < exhausted_until_s:
            return exhausted_until_s - now_s
        waiter: asyncio.Future[float] = loop.create_future()
        self._pending.setdefault(name, []).append(waiter)
        if self._batch_task is None:
            self._batch_task = loop.create_task(self._send_batch())
        return await waiter

    async def _send_batch(self) -> None:
        await asyncio.sleep(BATCH_DELAY_S)
        self._batch_task = None
        pending, self._pending = self._pending, {}
        token_requests = [
            fleet_messages.TokenRequest(name, len(waiters))
            for name, waiters in pending.items()
        ]
        loans = await self._request_loans_with_retries(token_requests)
        by_name = {loan.name: loan for loan in loans}
        for name, waiters in pending.items():
            loan = by_name.get(name)
            if loan is None:
                loan = fleet_messages.TokenLoan(
                    name, 0, NO_LEADER_RETRY_AFTER_S
                )
            self._distribute(loan, waiters)

    async def _request_loans_with_retries(
        self, token_requests: list[fleet_messages.TokenRequest]
    ) -> list[fleet_messages.TokenLoan]:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + MAX_LEADER_WAIT_S
        while True:
            try:
                loans = await self._request_loans(token_requests)
            except errors.PeerError:
                loans = []
            except Exception as error:
                # The requests that wait for the loans must not wait for ever.
                events.log_with_traceback(
                    events.TASK_FAILED, error, task="borrowing"
                )
                return []
            if loans or loop.time() + LEADER_RETRY_INTERVAL_S > deadline_s:
                return loans
            await asyncio.sleep(LEADER_RETRY_INTERVAL_S)

    def _distribute(
        self,
        loan: fleet_messages.TokenLoan,
        waiters: list[asyncio.Future[float]],
    ) -> None:
        open_waiters = [waiter for waiter in waiters if not waiter.done()]
        for index, waiter in enumerate(open_waiters):
            is_unserved = index >= loan.tokens
            waiter.set_result(
                max(loan.wait_s, MIN_RETRY_AFTER_S) if is_unserved else 0.0
            )
        if loan.tokens < len(waiters):
            now_s = asyncio.get_running_loop().time()
            # The wait applies to these requests. Later ones may get a token
            # earlier than they return.
            self._exhausted_until_s[loan.name] = now_s + min(
                loan.wait_s, MAX_EXHAUSTED_S
            )
