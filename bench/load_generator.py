"""Generates a seeded open-loop load on a deployment.

The driver journals each request.
"""

import asyncio
import dataclasses
import random
import time

from standins import deployment as deployment_module
from standins import driver as driver_module

KEY_COUNT = 400
# A few keys get much of the load, as in a wedding season.
ZIPF_EXPONENT = 0.9
MAX_SUBMISSIONS = 3
RESUBMIT_DELAY_S = 0.25


@dataclasses.dataclass
class LoadPlan:
    """Describes how callers behave; workloads may change it during a run.

    Attributes:
      load_ratio: rate of requests, as a ratio of each account's rate.
      divided_share: share of requests to the service divided by key.
      non_idempotent_share: share of the divided requests that are not
        idempotent.
      rate_factors: factors on the planned rate, by account; 1 if missing.
      hot_keys: keys that get `hot_key_share` of the divided requests.
      hot_key_share: share of the divided requests to all hot keys together.
    """

    load_ratio: float = 0.5
    divided_share: float = 0.7
    non_idempotent_share: float = 0.4
    rate_factors: dict[str, float] = dataclasses.field(default_factory=dict)
    hot_keys: tuple[str, ...] = ()
    hot_key_share: float = 0.0


class LoadGenerator:
    """Sends each account's requests at random times derived from a seed."""

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
        """Sends requests for some seconds and waits for the last answers."""
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
        """Makes `run` stop sending and return after the last answers."""
        self._stopping = True

    async def _send_for_account(
        self,
        account: deployment_module.AccountShape,
        number: int,
        end_s: float,
    ) -> None:
        rng = random.Random(f"{self._seed}-{number}")
        next_s = time.monotonic()
        while not self._stopping:
            factor = self.plan.rate_factors.get(account.name, 1.0)
            rate_per_s = account.rate_per_s * self.plan.load_ratio * factor
            next_s += rng.expovariate(rate_per_s)
            if next_s >= end_s:
                return
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            request, body = self._make_request(account.name, rng)
            task = asyncio.ensure_future(self._submit(request, body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _make_request(
        self, account: str, rng: random.Random
    ) -> tuple[driver_module.ClientRequest, bytes]:
        services = self.deployment.shape.services
        divided = rng.random() < self.plan.divided_share
        service = next(
            service for service in services if service.divided_by_key == divided
        )
        is_non_idempotent = (
            divided and rng.random() < self.plan.non_idempotent_share
        )
        marker = driver_module.uuid7_from_bits(rng.getrandbits(74))
        request = driver_module.ClientRequest(
            account=account,
            path=f"{service.path}/{rng.randrange(1000)}",
            key=self._choose_key(rng) if divided else "",
            method="POST" if is_non_idempotent else "GET",
            size_bytes=rng.choice((100, 1000, 4000)),
            marker=marker,
        )
        body = rng.randbytes(200) if is_non_idempotent else b""
        return request, body

    def _choose_key(self, rng: random.Random) -> str:
        if self.plan.hot_keys and rng.random() < self.plan.hot_key_share:
            return rng.choice(self.plan.hot_keys)
        return rng.choices(self._keys, self._weights)[0]

    async def _submit(
        self, request: driver_module.ClientRequest, body: bytes
    ) -> None:
        """Submits a request and resubmits it while its outcome is uncertain.

        Resubmissions use the same idempotency key. GET requests are sent
        once.
        """
        for _ in range(MAX_SUBMISSIONS):
            self.sent_count += 1
            answer = await self.deployment.driver.send(request, body)
            is_settled = answer.status == 200 or answer.reason == "over-rate"
            if is_settled or request.method == "GET":
                return
            await asyncio.sleep(RESUBMIT_DELAY_S)
