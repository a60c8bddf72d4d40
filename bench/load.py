"""Callers of a deployment: open-loop load, seeded and journaled."""

import asyncio
import dataclasses
import random
import time

from standins import deployment as deployment_module
from standins import driver as driver_module

KEYS = 400
# A few keys take much of the load, as a wedding season does.
ZIPF_EXPONENT = 0.9
SUBMISSIONS = 3
SUBMIT_AGAIN_S = 0.25


@dataclasses.dataclass
class Plan:
    """How callers behave; workloads change it while it runs.

    Attributes:
      load: requests sent, as a share of each account's rate.
      divided_share: share of requests to the service divided by key.
      acting_share: share of those that are not idempotent.
      noisy: accounts that send that many times their planned load.
      hot_keys: keys that take `hot_share` of the divided requests.
      hot_share: the share that hot keys take together.
    """

    load: float = 0.5
    divided_share: float = 0.7
    acting_share: float = 0.4
    noisy: dict[str, float] = dataclasses.field(default_factory=dict)
    hot_keys: tuple[str, ...] = ()
    hot_share: float = 0.0


class Load:
    """Sends each account's requests at random times, by one seed."""

    def __init__(
        self, deployment: deployment_module.Deployment, seed: int, plan: Plan
    ):
        self.deployment = deployment
        self.plan = plan
        self.sent = 0
        self._seed = seed
        self._stopping = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._keys = [f"order-{number}" for number in range(KEYS)]
        self._weights = [
            1.0 / (number + 1) ** ZIPF_EXPONENT for number in range(KEYS)
        ]

    async def run(self, seconds: float) -> None:
        """Sends for so long, and waits for the last answers."""
        end_s = time.monotonic() + seconds
        await asyncio.gather(
            *(
                self._send_for(account, number, end_s)
                for number, account in enumerate(self.deployment.shape.accounts)
            )
        )
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def stop(self) -> None:
        """Lets `run` end before its time."""
        self._stopping = True

    async def _send_for(
        self,
        account: deployment_module.AccountShape,
        number: int,
        end_s: float,
    ) -> None:
        chance = random.Random(f"{self._seed}-{number}")
        next_s = time.monotonic()
        while not self._stopping:
            factor = self.plan.noisy.get(account.name, 1.0)
            rate_per_s = account.rate_per_s * self.plan.load * factor
            next_s += chance.expovariate(rate_per_s)
            if next_s >= end_s:
                return
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            order, body = self._order(account.name, chance)
            task = asyncio.ensure_future(self._submit(order, body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _order(
        self, account: str, chance: random.Random
    ) -> tuple[driver_module.Order, bytes]:
        services = self.deployment.shape.services
        divided = chance.random() < self.plan.divided_share
        service = next(s for s in services if s.divided_by_key == divided)
        acting = divided and chance.random() < self.plan.acting_share
        marker = driver_module.new_marker(chance.getrandbits(74))
        order = driver_module.Order(
            account=account,
            path=f"{service.path}/{chance.randrange(1000)}",
            key=self._key(chance) if divided else "",
            method="POST" if acting else "GET",
            size_bytes=chance.choice((100, 1000, 4000)),
            marker=marker,
        )
        body = chance.randbytes(200) if acting else b""
        return order, body

    def _key(self, chance: random.Random) -> str:
        if self.plan.hot_keys and chance.random() < self.plan.hot_share:
            return chance.choice(self.plan.hot_keys)
        return chance.choices(self._keys, self._weights)[0]

    async def _submit(self, order: driver_module.Order, body: bytes) -> None:
        """Submits an order, again under its own id while it is uncertain."""
        for _ in range(SUBMISSIONS):
            self.sent += 1
            answer = await self.deployment.driver.send(order, body)
            settled = answer.status == 200 or answer.reason == "over-rate"
            if settled or order.method == "GET":
                return
            await asyncio.sleep(SUBMIT_AGAIN_S)
