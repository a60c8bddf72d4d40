"""Plays one scenario of cuts with real daemons and prints what came of it."""

import argparse
import pathlib
import sys
import time

from tests.common import parted_fleet


def main() -> int:
    """Runs one scenario; returns 1 if keys were held twice or not served."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=sorted(parted_fleet.SCENARIOS))
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--cut-s", type=float, default=20.0)
    parser.add_argument("--daemons", type=int, default=5)
    parser.add_argument("--upstreams", type=int, default=6)
    parser.add_argument("--directory", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    arguments.directory.mkdir(parents=True)
    began_s, began_wall_s = time.monotonic(), time.time()
    fleet = parted_fleet.PartedFleet(
        arguments.directory,
        arguments.seed,
        arguments.daemons,
        arguments.upstreams,
    )
    verdict = "held"
    try:
        fleet.run(parted_fleet.play(fleet, arguments.scenario, arguments.cut_s))
    except AssertionError as error:
        verdict = f"FAILED: {error}"
        if error.__context__ is not None:
            verdict += f"\n  and before: {error.__context__}"
    finally:
        fleet.close()
    print(f"{arguments.scenario} {arguments.seed}, began at {began_wall_s:.3f}")
    for cut in fleet.cuts:
        print(
            f"  {cut.began_s - began_s:.2f} to {cut.healed_s - began_s:.2f}: "
            f"{cut.what}; served {cut.served_after_s:.2f} s after it"
        )
    print(
        f"  statuses {dict(fleet.statuses)}, "
        f"longest lag {fleet.longest_lag_s:.3f} s"
    )
    print(f"  {verdict}", flush=True)
    return int(verdict != "held")


if __name__ == "__main__":
    sys.exit(main())
