"""Implements `sardinehill account` and `sardinehill key`."""

import secrets
import time
from typing import Annotated
from typing import Any
import uuid

import typer

from sardinehill import errors
from sardinehill import settings
from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.cli import console
from sardinehill.cli import exit_codes
from sardinehill.cli import fleet_status
from sardinehill.core import account_keys
from sardinehill.core import fleet

OBJECT_KIND = "account-keys"
MAX_WRITE_ATTEMPTS = 8

account_commands = typer.Typer(no_args_is_help=True, help="Client accounts.")
key_commands = typer.Typer(no_args_is_help=True, help="Account keys.")

AccountName = Annotated[str, typer.Argument(help="The client account.")]
KeyId = Annotated[
    str, typer.Argument(help="The key's identifier, as in `key list`.")
]


async def _read_accounts(
    client: platform.PlatformClient,
) -> dict[str, fleet.ClientAccountConfig]:
    stored = await client.get("config", "fleet")
    if stored is None:
        return {}
    config = settings.read_fleet_config(
        str(stored.value["text"]), "the text in force", stored.version
    )
    return config.accounts


def _check_account(
    accounts: dict[str, fleet.ClientAccountConfig], account: str
) -> None:
    if account not in accounts:
        known = ", ".join(sorted(accounts)) or "none"
        raise errors.CommandFailedError(
            f"{account!r} is not a client account of the configuration in"
            f" force ({known}); nothing was changed",
            exit_codes.REFUSED,
        )


async def _read_bucket(
    client: platform.PlatformClient, account: str
) -> tuple[int, account_keys.KeyBucket]:
    stored = await client.get(OBJECT_KIND, account_keys.bucket_name(account))
    if stored is None:
        return 0, account_keys.KeyBucket()
    return stored.version, records.decode_key_bucket(stored.name, stored.value)


async def _write_bucket(
    client: platform.PlatformClient,
    account: str,
    version: int,
    bucket: account_keys.KeyBucket,
) -> int:
    value = {**records.encode_key_bucket(bucket), "nonce": uuid.uuid4().hex}
    name = account_keys.bucket_name(account)
    return await platform.put_and_confirm(
        client, OBJECT_KIND, name, value, version
    )


def _key_rows(
    bucket: account_keys.KeyBucket, account: str
) -> list[dict[str, Any]]:
    return [
        {
            "key_id": record.key_id,
            "account": record.account,
            "issued_at_s": record.issued_at_s,
            "revoked_at_s": record.revoked_at_s,
        }
        for record in account_keys.account_records(bucket, account)
    ]


@account_commands.command("list")
def account_list(context: typer.Context, as_json: console.Json = False) -> None:
    """Lists the client accounts of the configuration in force."""

    async def task(client: platform.PlatformClient) -> None:
        accounts = await _read_accounts(client)
        rows = [
            {
                "account": config.name,
                "rate_per_s": config.rate_per_s,
                "burst_requests": config.burst_requests,
                "weight": config.weight,
            }
            for config in accounts.values()
        ]
        if as_json:
            console.print_json({"accounts": rows})
            return
        console.print_table(
            ("account", "rate_per_s", "burst_requests", "weight"),
            [tuple(row.values()) for row in rows],
        )

    console.run_with_client(context, task)


@account_commands.command("show")
def account_show(
    context: typer.Context, account: AccountName, as_json: console.Json = False
) -> None:
    """Shows one client account and its keys."""

    async def task(client: platform.PlatformClient) -> None:
        accounts = await _read_accounts(client)
        _check_account(accounts, account)
        config = accounts[account]
        _, bucket = await _read_bucket(client, account)
        keys = _key_rows(bucket, account)
        active = sum(row["revoked_at_s"] is None for row in keys)
        console.print_result(
            {
                "account": account,
                "rate_per_s": config.rate_per_s,
                "burst_requests": config.burst_requests,
                "weight": config.weight,
                "keys": keys,
            },
            as_json,
            f"{account}: {config.rate_per_s} requests a second, bursts of"
            f" {config.burst_requests}, weight {config.weight}; {active} of"
            f" {len(keys)} account keys are active",
        )

    console.run_with_client(context, task)


@key_commands.command("list")
def key_list(
    context: typer.Context, account: AccountName, as_json: console.Json = False
) -> None:
    """Lists the identifiers of a client account's keys."""

    async def task(client: platform.PlatformClient) -> None:
        _, bucket = await _read_bucket(client, account)
        rows = _key_rows(bucket, account)
        if as_json:
            console.print_json({"keys": rows})
            return
        console.print_table(
            ("key", "issued", "revoked"),
            [
                (
                    row["key_id"],
                    _format_time(row["issued_at_s"]),
                    _format_time(row["revoked_at_s"]),
                )
                for row in rows
            ],
        )

    console.run_with_client(context, task)


def _format_time(time_s: float | None) -> str:
    if time_s is None:
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(time_s))


@key_commands.command("issue")
def key_issue(
    context: typer.Context,
    account: AccountName,
    wait_s: console.WaitSeconds = console.DEFAULT_WAIT_S,
    as_json: console.Json = False,
) -> None:
    """Issues an account key and shows it this one time."""

    async def task(client: platform.PlatformClient) -> None:
        _check_account(await _read_accounts(client), account)
        hash_secret = console.root_options(context).account_key_secret
        if not hash_secret:
            raise errors.CommandFailedError(
                "SARDINEHILL_ACCOUNT_KEY_SECRET must be the hosts'"
                " account_key_secret; nothing was changed",
                exit_codes.REFUSED,
            )
        version, key, record = await _issue_key(client, account, hash_secret)
        rollout = await _wait_for_rollout(client, account, version, wait_s)
        console.print_result(
            {
                "account_key": key.text,
                "key_id": record.key_id,
                **rollout.as_dict(),
            },
            as_json,
            f"{key.text}\nThis account key is shown once; its identifier is"
            f" {record.key_id}, {rollout.summary()}",
        )
        fleet_status.exit_if_incomplete(rollout)

    console.run_with_client(context, task)


async def _issue_key(
    client: platform.PlatformClient, account: str, hash_secret: str
) -> tuple[int, account_keys.AccountKey, account_keys.KeyRecord]:
    """Adds a key's record to its bucket, retrying on conflicting writes.

    Returns:
      The bucket's new version, the key and its record.

    Raises:
      errors.CommandFailedError: every attempt met a conflicting write.
    """
    random_text = secrets.token_urlsafe(account_keys.KEY_RANDOM_BYTES)
    for _ in range(MAX_WRITE_ATTEMPTS):
        version, bucket = await _read_bucket(client, account)
        new_bucket, key, record = account_keys.issue_key(
            bucket, account, hash_secret, random_text, time.time()
        )
        try:
            version = await _write_bucket(client, account, version, new_bucket)
        except errors.StoreConflictError:
            continue
        return version, key, record
    raise _write_conflict_error()


def _write_conflict_error() -> errors.CommandFailedError:
    return errors.CommandFailedError(
        "other operators changed keys at the same time on every attempt;"
        " nothing of yours was applied",
        exit_codes.CONFLICT,
    )


@key_commands.command("revoke")
def key_revoke(
    context: typer.Context,
    account: AccountName,
    key_id: KeyId,
    wait_s: console.WaitSeconds = console.DEFAULT_WAIT_S,
    as_json: console.Json = False,
) -> None:
    """Revokes an account key and waits until every daemon refuses it."""

    async def task(client: platform.PlatformClient) -> None:
        version = await _revoke_key(client, account, key_id)
        rollout = await _wait_for_rollout(client, account, version, wait_s)
        console.print_result(
            {"key_id": key_id, **rollout.as_dict()},
            as_json,
            f"the account key {key_id} of {account} is revoked,"
            f" {rollout.summary()}",
        )
        fleet_status.exit_if_incomplete(rollout)

    console.run_with_client(context, task)


async def _revoke_key(
    client: platform.PlatformClient, account: str, key_id: str
) -> int:
    for _ in range(MAX_WRITE_ATTEMPTS):
        version, bucket = await _read_bucket(client, account)
        _check_key_id(bucket, account, key_id)
        new_bucket = account_keys.revoke_key(bucket, key_id, time.time())
        if new_bucket == bucket:
            return version
        try:
            return await _write_bucket(client, account, version, new_bucket)
        except errors.StoreConflictError:
            continue
    raise _write_conflict_error()


def _check_key_id(
    bucket: account_keys.KeyBucket, account: str, key_id: str
) -> None:
    account_records = account_keys.account_records(bucket, account)
    if key_id not in {record.key_id for record in account_records}:
        raise errors.CommandFailedError(
            f"{key_id!r} is not the identifier of an account key of"
            f" {account}; see `key list {account}`; nothing was changed",
            exit_codes.REFUSED,
        )


async def _wait_for_rollout(
    client: platform.PlatformClient,
    account: str,
    version: int,
    wait_s: float,
) -> fleet_status.RolloutStatus:
    object_path = f"{OBJECT_KIND}/{account_keys.bucket_name(account)}"
    return await fleet_status.wait_for_rollout(
        client, object_path, version, wait_s
    )
