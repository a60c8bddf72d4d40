"""What a daemon counts for the leader between two reports."""

from sardinehill.core import fleet_messages

# One very late answer says no more than one that is so much slower than usual.
MAX_SLOWNESS_RATIO = 10.0


class ReportCounters:
    """Demand of accounts, use of keys, and what upstreams' answers showed."""

    def __init__(self) -> None:
        self._demand: dict[str, int] = {}
        self._keys: dict[str, tuple[list[int], list[float]]] = {}
        self._upstreams: dict[str, fleet_messages.UpstreamUse] = {}
        self._refused: list[fleet_messages.RefusedKey] = []

    def count_account_request(self, account: str) -> None:
        """Counts a request of a client account."""
        self._demand[account] = self._demand.get(account, 0) + 1

    def count_key_request(
        self, service: str, key: int, usual_latency_s: float
    ) -> None:
        """Counts a request for a key, with what such requests usually take."""
        keys, spent_s = self._keys.setdefault(service, ([], []))
        keys.append(key)
        spent_s.append(usual_latency_s)

    def count_answer(self, upstream: str, slowness: float) -> None:
        """Counts an answer of an idle upstream.

        Args:
          upstream: its id.
          slowness: the answer's latency against what is usual.
        """
        use = self._upstreams.get(upstream)
        if use is None:
            use = fleet_messages.UpstreamUse(upstream, 0, 0.0)
            self._upstreams[upstream] = use
        use.answers += 1
        use.slowness_sum += min(slowness, MAX_SLOWNESS_RATIO)

    def count_refused_key(self, service: str, key: int, epoch: int) -> None:
        """Notes that an owner says it does not hold a key."""
        self._refused.append(fleet_messages.RefusedKey(service, key, epoch))

    def move_to_report(self, report: fleet_messages.DaemonReport) -> None:
        """Moves all counts into a report and starts anew."""
        report.demand, self._demand = self._demand, {}
        report.keys = [
            fleet_messages.KeyUse(service, keys, sum(spent_s) / len(spent_s))
            for service, (keys, spent_s) in self._keys.items()
        ]
        self._keys = {}
        report.upstreams = list(self._upstreams.values())
        self._upstreams = {}
        report.refused, self._refused = self._refused, []
