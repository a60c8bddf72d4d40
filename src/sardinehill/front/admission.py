"""Which requests are served: route, account key, allowance, time."""

import asyncio

from sardinehill import errors
from sardinehill.core import routes
from sardinehill.core import shares
from sardinehill.front import borrowing
from sardinehill.front import directory as directory_module
from sardinehill.front import requests
from sardinehill.front import usage as usage_module
from sardinehill.platform import exchanges

DEFAULT_WAIT_S = 10.0
# What an answer needs to get back to the caller.
RETURN_MARGIN_S = 0.012
# A request waits this long for its account's next token.
TOKEN_PATIENCE_S = 0.1


class Admission:
    """Checks requests against the configuration in force."""

    def __init__(
        self,
        directory: directory_module.Directory,
        usage: usage_module.Usage,
        allowance: shares.Allowance,
        borrower: borrowing.Borrower,
    ):
        self._directory = directory
        self._usage = usage
        self._allowance = allowance
        self._borrower = borrower
        self._buckets: dict[str, shares.Bucket] = {}
        self._splitter = routes.Splitter()
        self._split_version = 0

    def admit(
        self, request: requests.Request, fields: exchanges.CallerFields
    ) -> requests.Work:
        """Returns the work that a request means.

        Raises:
          RefusedError: it is not to be served.
        """
        configuration = self._directory.configuration
        if configuration is None:
            raise requests.RefusedError(
                errors.Reason.CONFIGURATION_MISSING, 503, 0.3
            )
        if configuration.version != self._split_version:
            self._split_version = configuration.version
            self._splitter.forget_unused(configuration)
        route = routes.find_route(configuration, fields.host, request.target)
        if route is None:
            raise requests.RefusedError(errors.Reason.SERVICE_UNKNOWN, 404)
        account: routes.ClientAccount | None = None
        if route.needs_account:
            if fields.account_key is None:
                raise requests.RefusedError(
                    errors.Reason.ACCOUNT_KEY_MISSING, 401
                )
            account = configuration.accounts.get(fields.account_key)
            if account is None:
                raise requests.RefusedError(
                    errors.Reason.ACCOUNT_KEY_UNKNOWN, 401
                )
        wait_s = fields.wait_s if fields.wait_s else DEFAULT_WAIT_S
        wait_s = min(wait_s - RETURN_MARGIN_S, route.timeout_s)
        rank = route.priority
        if account is not None and account.priority is not None:
            rank = account.priority
        return requests.Work(
            request,
            fields,
            route,
            self._splitter.choose(route),
            account,
            rank,
            request.arrived_s + max(wait_s, 0.0),
            self._directory.waiting.next_ticket(),
        )

    async def meter(self, work: requests.Work) -> None:
        """Takes a token of the account that a request belongs to.

        The daemon's own part goes first, then a token that the leader lends,
        then one of its own that comes soon.

        Raises:
          RefusedError: the account has no token.
        """
        account = work.account
        if account is None or account.rate_per_s <= 0:
            return
        self._usage.demanded(account.name)
        bucket, part = self._bucket(account)
        loop = asyncio.get_running_loop()
        if bucket.take(loop.time()) <= 0:
            return
        bucket.give_back()
        lent_after_s = await self._borrower.borrow(account.name)
        if lent_after_s <= 0:
            return
        own_after_s = bucket.take(loop.time())
        if own_after_s <= TOKEN_PATIENCE_S:
            await asyncio.sleep(own_after_s)
            return
        bucket.give_back()
        raise requests.RefusedError(
            errors.Reason.OVER_RATE,
            429,
            min(own_after_s, lent_after_s),
            over_account=account.name,
            fleet_rate_per_s=account.rate_per_s,
            part_rate_per_s=round(part.rate_per_s, 3),
            part_burst=round(part.burst, 3),
            next_token_s=round(own_after_s, 3),
            next_loan_s=round(lent_after_s, 3),
        )

    def _bucket(
        self, account: routes.ClientAccount
    ) -> tuple[shares.Bucket, shares.Part]:
        """Returns this daemon's tokens of an account, under today's terms."""
        now_s = asyncio.get_running_loop().time()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = shares.Bucket(now_s)
        part = self._allowance.part(
            account,
            self._directory.share(account.name),
            self._directory.daemons,
        )
        bucket.set_terms(part, now_s)
        return bucket, part
