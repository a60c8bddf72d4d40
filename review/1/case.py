"""A backend crashes and starts again at once, under the id that it had."""

import asyncio
import pathlib
import random
import sys

CASE = pathlib.Path(__file__).parent
sys.path.insert(0, str(CASE.parent))

from support import fleet as fleet_module  # noqa: E402

# RULES.md, OWNER: "hold the same keys for over half a second".
MAX_DOUBLE_HOLD_S = 0.5
BACKENDS = 20
# The site file of the users names a share of 0.14 of a service's backends, for
# up to 4.5 s.
CRASHED = 2
DOWN_S = 0.9
ROUNDS = 10
ROUND_S = 6.0


async def send_requests(fleet: fleet_module.Fleet) -> None:
    """Sends requests for random keys until cancelled."""
    number = 0
    while True:
        number += 1
        asyncio.ensure_future(
            fleet.request(
                fleet.daemons[number % len(fleet.daemons)],
                f"r{number:06x}",
                random.randrange(65536),
            )
        )
        await asyncio.sleep(0.02)


async def crash_and_start(fleet: fleet_module.Fleet, names: list[str]) -> None:
    """Kills backends and starts them again under the same ids."""
    born = {
        line["backend"]: line["born"]
        for line in fleet.lines()
        if line["what"] == "start"
    }
    for name in names:
        fleet.backends[name].kill()
        fleet.note("killed", backend=name, born=born[name])
    await asyncio.sleep(DOWN_S)
    for name in names:
        fleet.backends[name].start()


async def run(fleet: fleet_module.Fleet) -> None:
    """Plays the case."""
    await fleet.start_store(fleet_module.config())
    for index in range(BACKENDS):
        fleet.add_backend(index, "prenota", True)
    fleet.add_backend(BACKENDS, "conti", False)
    for _ in range(3):
        fleet.add_daemon()
    await fleet.wait_until_ready()
    await fleet.wait_until_served()
    sending = asyncio.ensure_future(send_requests(fleet))
    await asyncio.sleep(4.0)
    for number in range(ROUNDS):
        names = [f"i-{(number * CRASHED + i):04x}" for i in range(CRASHED)]
        if fleet_module.TROUBLE:
            await crash_and_start(fleet, names)
        await asyncio.sleep(ROUND_S)
    sending.cancel()


def main() -> int:
    """Plays and judges the case; returns the exit status."""
    fleet = fleet_module.Fleet(CASE)
    verdict = "the case could not run"
    status = 2
    try:
        fleet_module.play(run(fleet))
        found = fleet_module.doubles(fleet.lines())
        long_ones = [
            double for double in found if double["for_s"] > MAX_DOUBLE_HOLD_S
        ]
        for double in sorted(long_ones, key=lambda item: item["start"])[:10]:
            print(
                f"keys {double['first']} to {double['last']} held by "
                f"{double['one']['life'][0]} (epoch {double['one']['epoch']}) "
                f"and {double['other']['life'][0]} (epoch "
                f"{double['other']['epoch']}) for {double['for_s']} s"
            )
        if not fleet_module.holds(fleet.lines()):
            verdict = "the case could not run: no grants"
        else:
            status = 1 if long_ones else 0
            verdict = (
                f"OWNER: {len(long_ones)} double holds of more than "
                f"{MAX_DOUBLE_HOLD_S} s, of {len(found)} in all; "
                f"{'broken' if long_ones else 'held'}"
            )
    except fleet_module.UnableError as error:
        verdict = f"the case could not run: {error}"
    finally:
        fleet.close(verdict)
    print(verdict)
    return status


if __name__ == "__main__":
    fleet_module.exit_with(main)
