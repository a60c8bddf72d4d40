"""Which requests are served: route, account key, allowance, time."""

from sardinehill import errors
from sardinehill.core import routes
from sardinehill.core import shares
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
    ):
        self._directory = directory
        self._usage = usage
        self._allowance = allowance
        self._buckets: dict[str, shares.Bucket] = {}
        self._splitter = routes.Splitter()

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
        route = routes.find_route(configuration, fields.host, request.target)
        if route is None:
            raise requests.RefusedError(errors.Reason.SERVICE_UNKNOWN, 404)
        account: routes.ClientAccount | None = None
        token_wait_s = 0.0
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
            token_wait_s = self._meter(account, request.arrived_s)
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
            account.name if account else None,
            rank,
            request.arrived_s + max(wait_s, 0.0),
            self._directory.waiting.next_ticket(),
            token_wait_s,
        )

    def _meter(self, account: routes.ClientAccount, now_s: float) -> float:
        """Takes a token of an account; returns how long to wait for it."""
        if account.rate_per_s <= 0:
            return 0.0
        self._usage.demanded(account.name)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = shares.Bucket(now_s)
        part = self._allowance.part(
            account,
            self._directory.share(account.name),
            self._directory.daemons,
        )
        bucket.set_terms(part, now_s)
        wait_s = bucket.take(now_s)
        if wait_s > TOKEN_PATIENCE_S:
            bucket.give_back()
            raise requests.RefusedError(
                errors.Reason.OVER_RATE,
                429,
                wait_s,
                over_account=account.name,
                fleet_rate_per_s=account.rate_per_s,
                part_rate_per_s=round(part.rate_per_s, 3),
                part_burst=round(part.burst, 3),
                next_token_s=round(wait_s, 3),
            )
        return wait_s
