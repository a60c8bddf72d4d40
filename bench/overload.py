"""Measures goodput at 0.5, 0.9, 2 and 5 times a service's capacity.

Run as `python -m bench.overload [--seconds S]`. Four upstreams with three
slots and 100 ms per request serve 120 requests per second of a service.
Callers have a deadline of one second.
"""

import argparse
import asyncio
import collections
import pathlib
import tempfile

from standins import deployment as deployment_module
from tests.common import direct_fleet

CAPACITY_PER_S = 120.0
LOAD_FACTORS = (0.5, 0.9, 2.0, 5.0, 0.5)

_ACCOUNT_RATE_PER_S = 20000.0


def _make_shape() -> deployment_module.DeploymentShape:
    return deployment_module.DeploymentShape(
        "overload",
        ("pa-1", "pa-2"),
        3,
        (
            deployment_module.ServiceShape("prenota", "/bookings", True, 4),
            deployment_module.ServiceShape("conti", "/stock", False, 4),
        ),
        tuple(
            deployment_module.AccountShape(
                name, _ACCOUNT_RATE_PER_S, _ACCOUNT_RATE_PER_S
            )
            for name in ("venue-1", "venue-2")
        ),
    )


async def _measure_goodput(
    fleet: direct_fleet.DirectFleet, seconds: float
) -> None:
    request_fields = {"service_time_ms": 100.0, "deadline_ms": 1000}
    for service in fleet.deployment.shape.services:
        await fleet.send_at_rate(service, 60.0, 4.0, **request_fields)
        for factor in LOAD_FACTORS:
            rate_per_s = CAPACITY_PER_S * factor
            answers = await fleet.send_at_rate(
                service, rate_per_s, seconds, **request_fields
            )
            served = sum(answer.status == 200 for answer in answers)
            verdicts = collections.Counter(
                answer.verdict or answer.outcome
                for answer in answers
                if answer.status != 200
            )
            print(
                f"| {service.name} | {factor} | {len(answers) / seconds:.0f}"
                f" | {served / seconds:.0f} | {dict(verdicts)} |",
                flush=True,
            )
            await asyncio.sleep(1.0)


def main() -> None:
    """Prints one table row for each service and load factor."""
    parser = argparse.ArgumentParser(prog="bench.overload")
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        fleet = direct_fleet.DirectFleet(pathlib.Path(directory), _make_shape())
        try:
            fleet.start()
            fleet.run(_measure_goodput(fleet, options.seconds))
        finally:
            fleet.close()


if __name__ == "__main__":
    main()
