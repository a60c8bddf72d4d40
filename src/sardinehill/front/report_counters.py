"""Counts what a daemon reports to the leader."""

from sardinehill.core import fleet_messages

# A higher slowness is counted as this value, which limits the weight of a
# single very late answer.
MAX_SLOWNESS_RATIO = 10.0


class ReportCounters:
    """Counts accounts' demand, requested keys and upstreams' latencies.

    The counts cover the time since the last report.
    """

    def __init__(self) -> None:
        self._demand: dict[str, int] = {}
        self._keys: dict[str, tuple[list[int], list[float]]] = {}
        self._upstreams: dict[str, fleet_messages.UpstreamUse] = {}
        self._refused: list[fleet_messages.RefusedKey] = []

    def count_account_request(self, account: str) -> None:
        """Counts a request from a client account."""
        self._demand[account] = self._demand.get(account, 0) + 1

    def count_key_request(
        self, service: str, key: int, usual_latency_s: float
    ) -> None:
        """Counts a request for a key.

        Args:
          service: the divided service.
          key: the requested key.
          usual_latency_s: the usual latency of such requests.
        """
        keys, latencies_s = self._keys.setdefault(service, ([], []))
        keys.append(key)
        latencies_s.append(usual_latency_s)

    def count_answer(self, upstream: str, slowness: float) -> None:
        """Counts an answer from an idle upstream.

        Args:
          upstream: the upstream's id.
          slowness: the ratio of the answer's latency to the usual one.
        """
        use = self._upstreams.get(upstream)
        if use is None:
            use = fleet_messages.UpstreamUse(upstream, 0, 0.0)
            self._upstreams[upstream] = use
        use.answers += 1
        use.slowness_sum += min(slowness, MAX_SLOWNESS_RATIO)

    def count_refused_key(self, service: str, key: int, epoch: int) -> None:
        """Counts a request that an owner refused as not holding the key."""
        self._refused.append(fleet_messages.RefusedKey(service, key, epoch))

    def move_to_report(self, report: fleet_messages.DaemonReport) -> None:
        """Moves all counts into a report and resets them."""
        report.demand, self._demand = self._demand, {}
        report.keys = [
            fleet_messages.KeyUse(
                service, keys, sum(latencies_s) / len(latencies_s)
            )
            for service, (keys, latencies_s) in self._keys.items()
        ]
        self._keys = {}
        report.upstreams = list(self._upstreams.values())
        self._upstreams = {}
        report.refused, self._refused = self._refused, []
