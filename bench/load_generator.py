"""Callers of a deployment: open-loop load, seeded and journaled."""

import asyncio
import dataclasses
import random
import time

from standins import deployment as deployment_module
from standins import driver as driver_module

KEY_COUNT = 400
# A few keys take much of the load, as a wedding season does.
ZIPF_EXPONENT = 0.9
MAX_SUBMISSIONS = 3
RESUBMIT_DELAY_S = 0.25


@dataclasses.dataclass
class LoadPlan:
    """How callers behave; workloads change it while it runs.

    Attributes:
      load_ratio: requests sent, as a share of each account's rate.
      divided_share: share of requests to the service divided by key.
      non_idempotent_share: share of those that are not idempotent.
      rate_factors: accounts that send that many times their planned load.
      hot_keys: keys that take `hot_share` of the divided requests.
      hot_key_share: the share that hot keys take together.
    """

    load_ratio: float = 0.5
    divided_share: float = 0.7
    non_idempotent_share: float = 0.4
    rate_factors: dict[str, float] = dataclasses.field(default_factory=dict)
    hot_keys: tuple[str, ...] = ()
    hot_key_share: float = 0.0


class LoadGenerator:
    """Sends each account's requests at random times, by one seed."""

    def __init__(
        self,
        deployment: deployment_module.Deployment,
        seed: int,
        plan: LoadPlan,
    ):
        self.deployment = deployment
        self.plan = plan
        self.sent_count = 0
        self._seed = seed
        self._stopping = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._keys = [f"order-{number}" for number in range(KEY_COUNT)]
        self._weights = [
            1.0 / (number + 1) ** ZIPF_EXPONENT for number in range(KEY_COUNT)
        ]

    async def run(self, seconds: float) -> None:
        """Sends for so long, and waits for the last answers."""
        end_s = time.monotonic() + seconds
        await asyncio.gather(
            *(
                self._send_for_account(account, number, end_s)
                for number, account in enumerate(self.deployment.shape.accounts)
            )
        )
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def stop(self) -> None:
        """Lets `run` end before its time."""
        self._stopping = True

    async def _send_for_account(
        self,
        account: deployment_module.AccountShape,
        number: int,
        end_s: float,
    ) -> None:
        chance = random.Random(f"{self._seed}-{number}")
        next_s = time.monotonic()
        while not self._stopping:
            factor = self.plan.rate_factors.get(account.name, 1.0)
            rate_per_s = account.rate_per_s * self.plan.load_ratio * factor
            next_s += chance.expovariate(rate_per_s)
            if next_s >= end_s:
                return
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            order, body = self._make_order(account.name, chance)
            task = asyncio.ensure_future(self._submit(order, body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _make_order(
        self, account: str, chance: random.Random
    ) -> tuple[driver_module.ClientRequest, bytes]:
        services = self.deployment.shape.services
        divided = chance.random() < self.plan.divided_share
        service = next(s for s in services if s.divided_by_key == divided)
        acting = divided and chance.random() < self.plan.non_idempotent_share
        marker = driver_module.uuid7_from_bits(chance.getrandbits(74))
        order = driver_module.ClientRequest(
            account=account,
            path=f"{service.path}/{chance.randrange(1000)}",
            key=self._choose_key(chance) if divided else "",
            method="POST" if acting else "GET",
            size_bytes=chance.choice((100, 1000, 4000)),
            marker=marker,
        )
        body = chance.randbytes(200) if acting else b""
        return order, body

    def _choose_key(self, chance: random.Random) -> str:
        if self.plan.hot_keys and chance.random() < self.plan.hot_key_share:
            return chance.choice(self.plan.hot_keys)
        return chance.choices(self._keys, self._weights)[0]

    async def _submit(
        self, order: driver_module.ClientRequest, body: bytes
    ) -> None:
        """Submits an order, again under its own id while it is uncertain."""
        for _ in range(MAX_SUBMISSIONS):
            self.sent_count += 1
            answer = await self.deployment.driver.send(order, body)
            settled = answer.status == 200 or answer.reason == "over-rate"
            if settled or order.method == "GET":
                return
            await asyncio.sleep(RESUBMIT_DELAY_S)
