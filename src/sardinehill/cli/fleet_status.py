"""Asks the daemons themselves what is in force on them."""

import asyncio
import dataclasses
import time
from typing import Any

import aiohttp
import typer

from sardinehill import errors
from sardinehill.adapters import platform
from sardinehill.cli import exit_codes

STATUS_REQUEST_TIMEOUT_S = 1.0
STATUS_POLL_INTERVAL_S = 0.1
MAX_CONCURRENT_REQUESTS = 64

Status = dict[str, Any]


@dataclasses.dataclass(frozen=True)
class RolloutStatus:
    """On which daemons a change is in force.

    Attributes:
      confirmed: daemons that say so.
      missing: daemons that do not, with what is known of them.
    """

    confirmed: tuple[str, ...]
    missing: dict[str, str]

    def as_dict(self) -> dict[str, Any]:
        """Returns the same for `--json`."""
        return {
            "in_force_on": len(self.confirmed),
            "daemons": len(self.confirmed) + len(self.missing),
            "missing": self.missing,
        }

    def summary(self) -> str:
        """Returns the same for a person."""
        total = len(self.confirmed) + len(self.missing)
        text = f"in force on {len(self.confirmed)} of {total} daemons"
        if not self.missing:
            return text
        missing = ", ".join(
            f"{name} ({why})" for name, why in sorted(self.missing.items())
        )
        return f"{text}; missing: {missing}"


async def read_operators_addresses(
    client: platform.PlatformClient,
) -> dict[str, str]:
    """Returns the operators' address of each member, empty if unknown."""
    members = await client.get("members", "fleet")
    names = list(members.value.get("members", {})) if members else []
    statuses = await client.list_kind("status")
    known = {
        found.name: str(found.value.get("operators_address", ""))
        for found in statuses.objects
    }
    return {name: known.get(name, "") for name in names}


async def query_daemons(
    addresses: dict[str, str], path: str
) -> dict[str, Status | None]:
    """Returns each daemon's JSON answer, None where there was none."""
    connector = aiohttp.TCPConnector(limit=MAX_CONCURRENT_REQUESTS)
    timeout = aiohttp.ClientTimeout(total=STATUS_REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        answers = await asyncio.gather(
            *(
                _query_daemon(session, address, path)
                for address in addresses.values()
            )
        )
    return dict(zip(addresses, answers, strict=True))


async def _query_daemon(
    session: aiohttp.ClientSession, address: str, path: str
) -> Status | None:
    if not address:
        return None
    try:
        async with session.get(f"http://{address}{path}") as reply:
            answer = await reply.json()
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        return None
    return answer if isinstance(answer, dict) else None


async def wait_for_rollout(
    client: platform.PlatformClient,
    object_path: str,
    version: int,
    wait_s: float,
) -> RolloutStatus:
    """Waits until a version is in force on all daemons, or time is up.

    Args:
      client: the platform's object API.
      object_path: kind and name of the object, with a slash between.
      version: the version that was accepted; a later one is as good.
      wait_s: seconds to wait.

    Members are read again in each round: a daemon that was lost meanwhile
    leaves the list, and one that joined has to confirm as well.
    """
    end_s = time.monotonic() + wait_s
    while True:
        addresses = await read_operators_addresses(client)
        statuses = await query_daemons(addresses, "/-/status")
        found = _classify_daemons(statuses, object_path, version)
        if not found.missing or time.monotonic() >= end_s:
            return found
        await asyncio.sleep(STATUS_POLL_INTERVAL_S)


def version_in_force(status: Status, object_path: str) -> int:
    """Returns the version of an object that a daemon has in force."""
    return int(status.get("versions", {}).get(object_path, 0))


def _classify_daemons(
    statuses: dict[str, Status | None], place: str, version: int
) -> RolloutStatus:
    confirmed = []
    missing = {}
    for name, status in statuses.items():
        if status is None:
            missing[name] = "does not answer"
        elif version_in_force(status, place) >= version:
            confirmed.append(name)
        else:
            missing[name] = "has an older version"
    return RolloutStatus(tuple(confirmed), missing)


def exit_if_incomplete(found: RolloutStatus) -> None:
    """Ends the command with its own status when daemons are missing."""
    if found.missing:
        raise typer.Exit(exit_codes.NOT_IN_FORCE)


def conflict_error(error: errors.StoreConflictError, changed: str) -> Exception:
    """Returns the failure of an operator who lost a race."""
    return errors.CommandFailedError(
        "another operator changed this at the same time (version"
        f" {error.current_version}); nothing of yours was applied.\n{changed}",
        exit_codes.CONFLICT,
    )
