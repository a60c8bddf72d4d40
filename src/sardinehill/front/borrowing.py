"""Asks the leader for tokens that a daemon's own part does not cover."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from sardinehill import errors
from sardinehill.core import fleet_messages

# Wishes that come so close together travel together.
GATHERING_S = 0.002
# Without a leader nobody lends; requests wait for the next one for so long.
LEADER_PATIENCE_S = 0.3
LEADER_RETRY_S = 0.1
NO_LEADER_WAIT_S = 0.25
LEAST_WAIT_S = 0.001

Ask = Callable[
    [list[fleet_messages.Wish]], Awaitable[list[fleet_messages.Loan]]
]


class Borrower:
    """One daemon's lent tokens."""

    def __init__(self, ask: Ask):
        self._ask = ask
        self._empty_until_s: dict[str, float] = {}
        self._waiting: dict[str, list[asyncio.Future[float]]] = {}
        self._gathering: asyncio.Task[None] | None = None

    async def borrow(self, account: str) -> float:
        """Takes a lent token.

        Returns:
          0 when there was one, else after how many seconds to try again.
        """
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        empty_until_s = self._empty_until_s.get(account, now_s)
        if now_s < empty_until_s:
            return empty_until_s - now_s
        token: asyncio.Future[float] = loop.create_future()
        self._waiting.setdefault(account, []).append(token)
        if self._gathering is None:
            self._gathering = loop.create_task(self._send_soon())
        return await token

    async def _send_soon(self) -> None:
        await asyncio.sleep(GATHERING_S)
        self._gathering = None
        waiting, self._waiting = self._waiting, {}
        wishes = [
            fleet_messages.Wish(account, len(tokens))
            for account, tokens in waiting.items()
        ]
        answered = await self._ask_patiently(wishes)
        by_account = {loan.account: loan for loan in answered}
        for account, tokens in waiting.items():
            loan = by_account.get(account)
            if loan is None:
                loan = fleet_messages.Loan(account, 0, NO_LEADER_WAIT_S)
            self._hand_out(loan, tokens)

    async def _ask_patiently(
        self, wishes: list[fleet_messages.Wish]
    ) -> list[fleet_messages.Loan]:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + LEADER_PATIENCE_S
        while True:
            try:
                answered = await self._ask(wishes)
            except errors.PeerError:
                answered = []
            if answered or loop.time() + LEADER_RETRY_S > until_s:
                return answered
            await asyncio.sleep(LEADER_RETRY_S)

    def _hand_out(
        self, loan: fleet_messages.Loan, tokens: list[asyncio.Future[float]]
    ) -> None:
        wanted = [token for token in tokens if not token.done()]
        for place, token in enumerate(wanted):
            lacks = place >= loan.tokens
            token.set_result(max(loan.wait_s, LEAST_WAIT_S) if lacks else 0.0)
        if loan.tokens < len(tokens):
            now_s = asyncio.get_running_loop().time()
            self._empty_until_s[loan.account] = now_s + loan.wait_s
