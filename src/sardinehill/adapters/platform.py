"""Calls the platform's object API over HTTP with JSON.

This is the only module that knows the API's format. The rest of the daemon uses
the typed methods of `PlatformClient`.
"""

import asyncio
import collections
import dataclasses
import json
from typing import Any

import aiohttp

from sardinehill import errors
from sardinehill import events
from sardinehill.core import fleet
from sardinehill.core import store_budget

CALL_TIMEOUT_S = 1.0
MAX_VALUE_BYTES = 1_000_000
# The service name under which the platform lists the hosts of daemons.
DAEMON_SERVICE = "sardinehill"
# Limits on one daemon's store calls. A controller needs a few calls per second
# for each of its services; the rest suffices for reading all objects once.
MAX_CALLS_PER_S = 50.0
MAX_BURST_CALLS = 100.0
_JSON_STATUSES = frozenset({200, 409})


@dataclasses.dataclass(frozen=True)
class VersionedObject:
    """One object of the store.

    Attributes:
      kind: the kind, for instance `assignment`.
      name: the name, unique within its kind.
      version: the store's version of this object, which only increases.
      value: the JSON value.
    """

    kind: str
    name: str
    version: int
    value: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class KindChanges:
    """All objects of a kind, or its changes since an earlier revision.

    Attributes:
      revision: the store's revision up to which the objects are complete.
      objects: all existing objects, or those that changed.
      deleted: the names of the deleted objects.
    """

    revision: int
    objects: tuple[VersionedObject, ...]
    deleted: tuple[str, ...] = ()


class PlatformClient:
    """Calls the object API with one connection pool and one call budget.

    Attributes:
      call_counts: the number of calls by method and kind.
      budget_wait_s: the total time in seconds that calls waited for the budget.
      is_reachable: whether the store answered the last call.
    """

    def __init__(self, base_url: str, timeout_s: float = CALL_TIMEOUT_S):
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.budget_wait_s = 0.0
        self._budget = store_budget.CallBudget(MAX_CALLS_PER_S, MAX_BURST_CALLS)
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None
        self.is_reachable = False

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def get(
        self, kind: str, name: str, timeout_s: float | None = None
    ) -> VersionedObject | None:
        """Returns an object, or None if it does not exist.

        Args:
          kind: the object's kind.
          name: the object's name.
          timeout_s: seconds to wait for the answer, or None for the client's
            default timeout.

        Raises:
          StoreUnavailableError: the store did not answer.
          StoreReplyError: the store's answer is invalid.
        """
        path = f"/v1/objects/{kind}/{name}"
        status, body = await self._call("GET", path, timeout_s=timeout_s)
        if status == 404:
            return None
        self._check_status(status, path)
        return _versioned_object(kind, body, path)

    async def list_kind(self, kind: str) -> KindChanges:
        """Returns all objects of a kind; raises as `get` does."""
        path = f"/v1/objects/{kind}"
        status, body = await self._call("GET", path)
        self._check_status(status, path)
        return _kind_changes(kind, body, path)

    async def put(
        self, kind: str, name: str, value: dict[str, Any], expected_version: int
    ) -> int:
        """Writes an object if its version is the expected one.

        Args:
          kind: the object's kind.
          name: the object's name.
          value: the JSON value, of at most `MAX_VALUE_BYTES` when encoded.
          expected_version: the version to replace, or 0 to create the object.

        Returns:
          The new version.

        Raises:
          StoreConflictError: the object has another version; nothing was
            written.
          StoreUnavailableError: the store did not answer; the write may have
            taken effect.
          StoreReplyError: the store's answer is invalid; the write may have
            taken effect.
        """
        path = f"/v1/objects/{kind}/{name}"
        headers = {"If-Match": str(expected_version)}
        status, body = await self._call("PUT", path, headers, value)
        if status == 409:
            found = _integer_field(body, "version", path)
            raise errors.StoreConflictError(
                f"{kind}/{name}: version {expected_version} was expected and "
                f"{found} was found; nothing was written",
                found,
            )
        self._check_status(status, path)
        return _integer_field(body, "version", path)

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Deletes an object if its version is the expected one.

        Does nothing if the object does not exist. Raises as `put` does.
        """
        path = f"/v1/objects/{kind}/{name}"
        headers = {"If-Match": str(expected_version)}
        status, body = await self._call("DELETE", path, headers)
        if status == 404:
            return
        if status == 409:
            found = _integer_field(body, "version", path)
            raise errors.StoreConflictError(
                f"{kind}/{name}: version {expected_version} was expected and "
                f"{found} was found; nothing was deleted",
                found,
            )
        self._check_status(status, path)

    async def watch(
        self, kind: str, since_revision: int, wait_s: float
    ) -> KindChanges:
        """Waits for changes of a kind after a revision.

        Raises as `get` does.
        """
        path = f"/v1/watch/{kind}"
        query = f"?since={since_revision}&timeout_ms={int(wait_s * 1000)}"
        status, body = await self._call(
            "GET", path + query, timeout_s=wait_s + self._timeout_s
        )
        self._check_status(status, path)
        return _kind_changes(kind, body, path)

    async def list_hosts(self) -> list[dict[str, Any]]:
        """Returns the platform's list of hosts in its own format, by name.

        The list lags behind the actual state. Raises as `get` does.
        """
        path = "/v1/hosts"
        status, body = await self._call("GET", path)
        self._check_status(status, path)
        # Parsed only as a check, so that an invalid list is rejected here
        # rather than by every daemon to which it is replicated.
        parse_hosts(body)
        return sorted(body["hosts"], key=lambda host: str(host["name"]))

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        value: dict[str, Any] | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, Any]:
        if self._session is None:
            self._session = aiohttp.ClientSession()
            # By default the session silently repeats a write whose reply was
            # lost and then reports a conflict with its own first attempt.
            self._session._retry_connection = False
        await self._wait_for_budget(method, path)
        timeout = aiohttp.ClientTimeout(total=timeout_s or self._timeout_s)
        data = None if value is None else json.dumps({"value": value}).encode()
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                headers=headers,
                data=data,
                timeout=timeout,
            ) as response:
                raw = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._set_reachable(False, repr(error))
            raise errors.StoreUnavailableError(f"{path}: {error!r}") from error
        self._set_reachable(status < 500, f"status {status}")
        if status >= 500:
            raise errors.StoreUnavailableError(f"{path}: status {status}")
        if status not in _JSON_STATUSES:
            # The body of an error is text for humans without a format.
            return status, {}
        return status, _decode_json(raw, path)

    def _set_reachable(self, reachable: bool, detail: str) -> None:
        """Logs only changes, so that an outage is not logged for each call."""
        if reachable and not self.is_reachable:
            events.log(events.STORE_BACK)
        elif self.is_reachable and not reachable:
            events.log(events.STORE_LOST, detail=detail)
        self.is_reachable = reachable

    async def _wait_for_budget(self, method: str, path: str) -> None:
        # The third segment of a path is the kind; `/v1/hosts` has none.
        self.call_counts[
            "/".join([method, *path.split("?")[0].split("/")[2:4]])
        ] += 1
        wait_s = self._budget.reserve_call_wait_s(
            asyncio.get_running_loop().time()
        )
        if wait_s > 0:
            self.budget_wait_s += wait_s
            await asyncio.sleep(wait_s)

    def _check_status(self, status: int, path: str) -> None:
        if status != 200:
            raise errors.StoreReplyError(f"{path}: status {status}")


async def put_and_confirm(
    client: PlatformClient,
    kind: str,
    name: str,
    value: dict[str, Any],
    expected_version: int,
) -> int:
    """Writes an object and, if the reply is lost, reads it to confirm it.

    The value must have a `nonce` that is unique to this write. If the stored
    object has this nonce, the write took effect although its reply was lost.

    Returns:
      The new version.

    Raises:
      StoreConflictError: the object has another version; the write took no
        effect.
      StoreUnavailableError: it is unknown whether the write took effect.
      StoreReplyError: the store's answer is invalid.
    """
    try:
        return await client.put(kind, name, value, expected_version)
    except errors.StoreUnavailableError:
        await asyncio.sleep(0)
        found = await client.get(kind, name)
        if found is not None and found.value.get("nonce") == value["nonce"]:
            return found.version
        raise


def _decode_json(raw: bytes, path: str) -> Any:
    if not raw:
        return {}
    try:
        return json.loads(raw)
    except ValueError as error:
        raise errors.StoreReplyError(f"{path}: not JSON: {error}") from error


def _integer_field(body: Any, field: str, path: str) -> int:
    value = body.get(field) if isinstance(body, dict) else None
    if not isinstance(value, int):
        raise errors.StoreReplyError(f"{path}: {field} is {value!r}")
    return value


def _versioned_object(kind: str, body: Any, path: str) -> VersionedObject:
    try:
        return VersionedObject(
            kind, str(body["name"]), int(body["version"]), dict(body["value"])
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.StoreReplyError(f"{path}: {error!r}") from error


def _kind_changes(kind: str, body: Any, path: str) -> KindChanges:
    revision = _integer_field(body, "revision", path)
    raw_objects = body.get("objects", [])
    objects = tuple(_versioned_object(kind, raw, path) for raw in raw_objects)
    deleted = tuple(str(name) for name in body.get("deleted", []))
    return KindChanges(revision, objects, deleted)


def parse_hosts(value: Any) -> list[fleet.UpstreamHost]:
    """Returns all hosts of a host list, including those of daemons.

    Raises:
      StoreReplyError: a field is missing or has an invalid value.
    """
    try:
        return [_upstream_host(host) for host in value["hosts"]]
    except (KeyError, TypeError, ValueError) as error:
        raise errors.StoreReplyError(f"hosts: {error!r}") from error


def parse_upstreams(value: Any) -> list[fleet.UpstreamHost]:
    """Returns the upstreams of a host list; raises as `parse_hosts` does."""
    return [
        host for host in parse_hosts(value) if host.service != DAEMON_SERVICE
    ]


def daemon_host_names(hosts: list[dict[str, Any]]) -> list[str]:
    """Returns the names of the hosts of daemons in a valid host list."""
    return [
        str(host["name"]) for host in hosts if host["service"] == DAEMON_SERVICE
    ]


def _upstream_host(host: dict[str, Any]) -> fleet.UpstreamHost:
    ip, _, port = str(host["address"]).rpartition(":")
    return fleet.UpstreamHost(
        name=str(host["name"]),
        service=str(host["service"]),
        address=fleet.Address(ip, int(port)),
        availability_zone=str(host["availability_zone"]),
        leaving=host.get("state") != "live",
    )
