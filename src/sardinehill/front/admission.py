"""Admits requests by route, account key and quota, and sets deadlines."""

import asyncio
import math

from sardinehill import errors
from sardinehill.core import quota_shares
from sardinehill.core import routes
from sardinehill.front import borrowing
from sardinehill.front import report_counters as counters_module
from sardinehill.front import requests
from sardinehill.front import upstream_directory as directory_module
from sardinehill.platform import http_messages

# The timeout of a request whose caller states none.
DEFAULT_TIMEOUT_S = 10.0
# Subtracted from the timeout, so that the reply reaches the caller in time.
REPLY_TRANSIT_MARGIN_S = 0.012
# A request is refused if its account's next token takes longer than this.
MAX_TOKEN_WAIT_S = 0.1
# Longer waits are logged as this value.
MAX_LOGGED_WAIT_S = 999.0


class Admission:
    """Checks requests against the configuration and the quotas in force."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        counters: counters_module.ReportCounters,
        quota: quota_shares.FleetQuota,
        borrower: borrowing.TokenBorrower,
    ):
        self._directory = directory
        self._counters = counters
        self._quota = quota
        self._borrower = borrower
        self._buckets: dict[str, quota_shares.TokenBucket] = {}
        self._splitter = routes.WeightedSplitter()
        self._splitter_version = 0

    def admit(
        self, request: requests.Request, metadata: http_messages.RequestMetadata
    ) -> requests.RequestContext:
        """Returns the context of an admitted request.

        Raises:
          RefusedError: the request must not be served.
        """
        configuration = self._directory.configuration
        if configuration is None:
            raise requests.RefusedError(
                errors.Reason.CONFIGURATION_MISSING, 503, 0.3
            )
        if configuration.version != self._splitter_version:
            self._splitter_version = configuration.version
            self._splitter.remove_unused(configuration)
        route = routes.find_route(configuration, metadata.host, request.target)
        if route is None:
            raise requests.RefusedError(errors.Reason.SERVICE_UNKNOWN, 404)
        account: routes.ClientAccount | None = None
        if route.needs_account:
            if metadata.account_key is None:
                raise requests.RefusedError(
                    errors.Reason.ACCOUNT_KEY_MISSING, 401
                )
            account = configuration.accounts.get(metadata.account_key)
            if account is None:
                raise requests.RefusedError(
                    errors.Reason.ACCOUNT_KEY_UNKNOWN, 401
                )
        timeout_s = (
            metadata.timeout_s if metadata.timeout_s else DEFAULT_TIMEOUT_S
        )
        timeout_s = min(timeout_s - REPLY_TRANSIT_MARGIN_S, route.timeout_s)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return requests.RequestContext(
            request,
            metadata,
            route,
            self._splitter.choose(route),
            account,
            priority,
            request.arrived_s + max(timeout_s, 0.0),
            self._directory.waiting.next_sequence_number(),
        )

    async def take_token(self, context: requests.RequestContext) -> None:
        """Takes one token of the request's client account.

        The token comes from this daemon's part of the quota if one is left
        there, otherwise from the leader as a loan. If the leader lends none,
        the request waits up to `MAX_TOKEN_WAIT_S` for the next loan or the next
        token of this daemon's part.

        Raises:
          RefusedError: no token is available in time.
        """
        account = context.account
        if account is None or account.rate_per_s <= 0:
            return
        self._counters.count_account_request(account.name)
        bucket, limit = self._account_bucket(account)
        loop = asyncio.get_running_loop()
        if bucket.reserve(loop.time()) <= 0:
            return
        bucket.return_token()
        next_loan_s = await self._borrower.borrow(account.name)
        if 0 < next_loan_s <= MAX_TOKEN_WAIT_S:
            await asyncio.sleep(next_loan_s)
            next_loan_s = await self._borrower.borrow(account.name)
        if next_loan_s <= 0:
            return
        next_token_s = bucket.reserve(loop.time())
        if limit.rate_per_s <= 0:
            next_token_s = math.inf
        if next_token_s <= MAX_TOKEN_WAIT_S:
            await asyncio.sleep(next_token_s)
            return
        bucket.return_token()
        raise requests.RefusedError(
            errors.Reason.OVER_RATE,
            429,
            min(next_token_s, next_loan_s),
            over_account=account.name,
            fleet_rate_per_s=account.rate_per_s,
            part_rate_per_s=round(limit.rate_per_s, 3),
            part_burst=round(limit.burst, 3),
            next_token_s=min(round(next_token_s, 3), MAX_LOGGED_WAIT_S),
            next_loan_s=round(next_loan_s, 3),
        )

    def _account_bucket(
        self, account: routes.ClientAccount
    ) -> tuple[quota_shares.TokenBucket, quota_shares.RateLimit]:
        """Returns this daemon's bucket and current rate limit of an account."""
        now_s = asyncio.get_running_loop().time()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = quota_shares.TokenBucket(
                now_s
            )
        limit = self._quota.daemon_limit(
            account,
            self._directory.quota_share(account.name),
            self._directory.daemon_count,
        )
        bucket.set_limit(limit, now_s)
        return bucket, limit
