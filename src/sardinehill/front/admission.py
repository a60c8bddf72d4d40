"""Which requests are served: route, account key, allowance, time."""

import asyncio

from sardinehill import errors
from sardinehill.core import quota_shares
from sardinehill.core import routes
from sardinehill.front import borrowing
from sardinehill.front import report_counters as usage_module
from sardinehill.front import requests
from sardinehill.front import upstream_directory as directory_module
from sardinehill.platform import http_messages

DEFAULT_TIMEOUT_S = 10.0
# What an answer needs to get back to the caller.
REPLY_TRANSIT_MARGIN_S = 0.012
# A request waits this long for its account's next token.
MAX_TOKEN_WAIT_S = 0.1


class Admission:
    """Checks requests against the configuration in force."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        usage: usage_module.ReportCounters,
        allowance: quota_shares.FleetQuota,
        borrower: borrowing.TokenBorrower,
    ):
        self._directory = directory
        self._usage = usage
        self._allowance = allowance
        self._borrower = borrower
        self._buckets: dict[str, quota_shares.TokenBucket] = {}
        self._splitter = routes.WeightedSplitter()
        self._splitter_version = 0

    def admit(
        self, request: requests.Request, fields: http_messages.RequestMetadata
    ) -> requests.RequestContext:
        """Returns the work that a request means.

        Raises:
          RefusedError: it is not to be served.
        """
        configuration = self._directory.configuration
        if configuration is None:
            raise requests.RefusedError(
                errors.Reason.CONFIGURATION_MISSING, 503, 0.3
            )
        if configuration.version != self._splitter_version:
            self._splitter_version = configuration.version
            self._splitter.remove_unused(configuration)
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
        wait_s = fields.timeout_s if fields.timeout_s else DEFAULT_TIMEOUT_S
        wait_s = min(wait_s - REPLY_TRANSIT_MARGIN_S, route.timeout_s)
        rank = route.priority
        if account is not None and account.priority is not None:
            rank = account.priority
        return requests.RequestContext(
            request,
            fields,
            route,
            self._splitter.choose(route),
            account,
            rank,
            request.arrived_s + max(wait_s, 0.0),
            self._directory.waiting.next_sequence_number(),
        )

    async def take_token(self, work: requests.RequestContext) -> None:
        """Takes a token of the account that a request belongs to.

        The daemon's own part goes first, then a token that the leader lends,
        then one of its own that comes soon.

        Raises:
          RefusedError: the account has no token.
        """
        account = work.account
        if account is None or account.rate_per_s <= 0:
            return
        self._usage.count_account_request(account.name)
        bucket, part = self._account_bucket(account)
        loop = asyncio.get_running_loop()
        if bucket.reserve(loop.time()) <= 0:
            return
        bucket.return_token()
        lent_after_s = await self._borrower.borrow(account.name)
        if lent_after_s <= 0:
            return
        own_after_s = bucket.reserve(loop.time())
        if own_after_s <= MAX_TOKEN_WAIT_S:
            await asyncio.sleep(own_after_s)
            return
        bucket.return_token()
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

    def _account_bucket(
        self, account: routes.ClientAccount
    ) -> tuple[quota_shares.TokenBucket, quota_shares.RateLimit]:
        """Returns this daemon's tokens of an account, under today's terms."""
        now_s = asyncio.get_running_loop().time()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = quota_shares.TokenBucket(
                now_s
            )
        part = self._allowance.daemon_limit(
            account,
            self._directory.quota_share(account.name),
            self._directory.daemon_count,
        )
        bucket.set_limit(part, now_s)
        return bucket, part
