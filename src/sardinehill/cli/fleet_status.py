"""Queries the daemons for the versions that they have in force."""

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
    """Records which daemons have a change in force.

    Attributes:
      confirmed: names of the daemons that report it in force.
      missing: for each other daemon, why it is not confirmed.
    """

    confirmed: tuple[str, ...]
    missing: dict[str, str]

    def as_dict(self) -> dict[str, Any]:
        """Returns the status for JSON output."""
        return {
            "in_force_on": len(self.confirmed),
            "daemons": len(self.confirmed) + len(self.missing),
            "missing": self.missing,
        }

    def summary(self) -> str:
        """Returns the status as part of a sentence."""
        total = len(self.confirmed) + len(self.missing)
        text = f"in force on {len(self.confirmed)} of {total} daemons"
        if not self.missing:
            return text
        missing = ", ".join(
            f"{name} ({reason})"
            for name, reason in sorted(self.missing.items())
        )
        return f"{text}; missing: {missing}"


async def read_operators_addresses(
    client: platform.PlatformClient,
) -> dict[str, str]:
    """Returns the operators' address of each member, empty if unknown.

    Raises:
      errors.StoreError: the member list or the statuses cannot be read.
    """
    members = await client.get("members", "fleet")
    names = list(members.value.get("members", {})) if members else []
    statuses = await client.list_kind("status")
    addresses = {
        status.name: str(status.value.get("operators_address", ""))
        for status in statuses.objects
    }
    return {name: addresses.get(name, "") for name in names}


async def query_daemons(
    addresses: dict[str, str], path: str
) -> dict[str, Status | None]:
    """Returns each daemon's JSON response, None if there was none.

    Args:
      addresses: operators' address by daemon; an empty one is not queried.
      path: path and query of the URL.
    """
    connector = aiohttp.TCPConnector(limit=MAX_CONCURRENT_REQUESTS)
    timeout = aiohttp.ClientTimeout(total=STATUS_REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        responses = await asyncio.gather(
            *(
                _query_daemon(session, address, path)
                for address in addresses.values()
            )
        )
    return dict(zip(addresses, responses, strict=True))


async def _query_daemon(
    session: aiohttp.ClientSession, address: str, path: str
) -> Status | None:
    if not address:
        return None
    try:
        async with session.get(f"http://{address}{path}") as response:
            status = await response.json()
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        return None
    return status if isinstance(status, dict) else None


async def wait_for_rollout(
    client: platform.PlatformClient,
    object_path: str,
    version: int,
    wait_s: float,
) -> RolloutStatus:
    """Waits until a version is in force on all daemons, or until a timeout.

    The member list is read again in each round: a daemon that is lost
    meanwhile leaves it, and one that joins has to confirm as well.

    Args:
      client: the platform's object API.
      object_path: kind and name of the object, separated by a slash.
      version: the version to wait for; a later one is sufficient.
      wait_s: the longest time to wait.
    """
    deadline_s = time.monotonic() + wait_s
    while True:
        addresses = await read_operators_addresses(client)
        statuses = await query_daemons(addresses, "/-/status")
        rollout = _classify_daemons(statuses, object_path, version)
        if not rollout.missing or time.monotonic() >= deadline_s:
            return rollout
        await asyncio.sleep(STATUS_POLL_INTERVAL_S)


def version_in_force(status: Status, object_path: str) -> int:
    """Returns the version of an object in force on a daemon, 0 for none."""
    return int(status.get("versions", {}).get(object_path, 0))


def _classify_daemons(
    statuses: dict[str, Status | None], object_path: str, version: int
) -> RolloutStatus:
    confirmed = []
    missing = {}
    for name, status in statuses.items():
        if status is None:
            missing[name] = "does not answer"
        elif version_in_force(status, object_path) >= version:
            confirmed.append(name)
        else:
            missing[name] = "has an older version"
    return RolloutStatus(tuple(confirmed), missing)


def exit_if_incomplete(rollout: RolloutStatus) -> None:
    """Ends the command with `NOT_IN_FORCE` if any daemon is missing."""
    if rollout.missing:
        raise typer.Exit(exit_codes.NOT_IN_FORCE)


def conflict_error(error: errors.StoreConflictError, changed: str) -> Exception:
    """Returns the error for a write that conflicts with another operator's.

    Args:
      error: the conflict reported by the store.
      changed: what the other operator changed, one change per line.
    """
    return errors.CommandFailedError(
        "another operator changed this at the same time (version"
        f" {error.current_version}); nothing of yours was applied.\n{changed}",
        exit_codes.CONFLICT,
    )
