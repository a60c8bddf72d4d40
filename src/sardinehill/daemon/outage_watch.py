"""Keeps news from growing old while the store answers nobody."""

import asyncio

from sardinehill import errors
from sardinehill.adapters import platform
from sardinehill.core import member_roles
from sardinehill.core import outage
from sardinehill.core import peer_protocol
from sardinehill.daemon import news_part
from sardinehill.daemon import peers
from sardinehill.wire import kinds

_REACHED = b"reached"
_FAILED = b"failed"


class OutageWatch:
    """Asks the members whether they reach the store, and answers them."""

    def __init__(
        self,
        client: platform.PlatformClient,
        bus: peers.PeerBus,
        part: news_part.NewsPart,
    ) -> None:
        self._client = client
        self._bus = bus
        self._news = part
        bus.register(kinds.Kind.STORE_QUESTION, self._answer)

    async def run(self) -> None:
        """Asks whenever this daemon's news is old enough for its rank."""
        while True:
            await asyncio.sleep(peer_protocol.TICK_INTERVAL_S)
            part = self._news.member
            if not part.is_member:
                continue
            age_s = part.replica.age_s(asyncio.get_running_loop().time())
            ranked = part.duties.holders(
                member_roles.STORE_WATCHER_ROLE, len(part.members.hosts)
            )
            if outage.should_poll(age_s, ranked.index(part.host.name)):
                await self._ask_all()

    async def _ask_all(self) -> None:
        asked_s = asyncio.get_running_loop().time()
        names = list(self._news.member.members.by_name)
        answers = await asyncio.gather(*(self._ask(name) for name in names))
        failed = [
            name
            for name, answer in zip(names, answers, strict=True)
            if answer == _FAILED
        ]
        # The list may have changed meanwhile; the newest one decides.
        if outage.is_outage(failed, self._news.member.members.by_name):
            self._news.member.replica.confirm_fresh(asked_s)

    async def _ask(self, name: str) -> bytes:
        try:
            return await self._bus.ask(
                name,
                kinds.Kind.STORE_QUESTION,
                b"",
                outage.POLL_TIMEOUT_S,
            )
        except errors.PeerError:
            return b""

    async def _answer(self, sender: str, payload: bytes) -> bytes:
        return await self._try_store()

    async def _try_store(self) -> bytes:
        try:
            found = await self._client.get(
                "members", "fleet", outage.STORE_ATTEMPT_TIMEOUT_S
            )
        except errors.StoreUnavailableError:
            return _FAILED
        except errors.StoreError:
            return _REACHED
        if found is not None:
            self._news.apply(found)
        return _REACHED
