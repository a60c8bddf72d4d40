"""Asks the leader for tokens that a daemon's own part does not cover."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from sardinehill import errors
from sardinehill.core import fleet_messages

# Wishes that come so close together travel together.
BATCH_DELAY_S = 0.002
# Without a leader nobody lends; requests wait for the next one for so long.
MAX_LEADER_WAIT_S = 0.3
LEADER_RETRY_INTERVAL_S = 0.1
NO_LEADER_RETRY_AFTER_S = 0.25
MIN_RETRY_AFTER_S = 0.001

RequestLoans = Callable[
    [list[fleet_messages.TokenRequest]],
    Awaitable[list[fleet_messages.TokenLoan]],
]


class TokenBorrower:
    """One daemon's lent tokens."""

    def __init__(self, ask: RequestLoans):
        self._request_loans = ask
        self._exhausted_until_s: dict[str, float] = {}
        self._pending: dict[str, list[asyncio.Future[float]]] = {}
        self._batch_task: asyncio.Task[None] | None = None

    async def borrow(self, account: str) -> float:
        """Takes a lent token.

        Returns:
          0 when there was one, else after how many seconds to try again.
        """
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        empty_until_s = self._exhausted_until_s.get(account, now_s)
        if now_s < empty_until_s:
            return empty_until_s - now_s
        token: asyncio.Future[float] = loop.create_future()
        self._pending.setdefault(account, []).append(token)
        if self._batch_task is None:
            self._batch_task = loop.create_task(self._send_batch())
        return await token

    async def _send_batch(self) -> None:
        await asyncio.sleep(BATCH_DELAY_S)
        self._batch_task = None
        waiting, self._pending = self._pending, {}
        wishes = [
            fleet_messages.TokenRequest(account, len(tokens))
            for account, tokens in waiting.items()
        ]
        answered = await self._request_loans_with_retries(wishes)
        by_account = {loan.account: loan for loan in answered}
        for account, tokens in waiting.items():
            loan = by_account.get(account)
            if loan is None:
                loan = fleet_messages.TokenLoan(
                    account, 0, NO_LEADER_RETRY_AFTER_S
                )
            self._distribute(loan, tokens)

    async def _request_loans_with_retries(
        self, wishes: list[fleet_messages.TokenRequest]
    ) -> list[fleet_messages.TokenLoan]:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_LEADER_WAIT_S
        while True:
            try:
                answered = await self._request_loans(wishes)
            except errors.PeerError:
                answered = []
            if answered or loop.time() + LEADER_RETRY_INTERVAL_S > until_s:
                return answered
            await asyncio.sleep(LEADER_RETRY_INTERVAL_S)

    def _distribute(
        self,
        loan: fleet_messages.TokenLoan,
        tokens: list[asyncio.Future[float]],
    ) -> None:
        wanted = [token for token in tokens if not token.done()]
        for place, token in enumerate(wanted):
            lacks = place >= loan.tokens
            token.set_result(
                max(loan.wait_s, MIN_RETRY_AFTER_S) if lacks else 0.0
            )
        if loan.tokens < len(tokens):
            now_s = asyncio.get_running_loop().time()
            self._exhausted_until_s[loan.account] = now_s + loan.wait_s
