"""Counts what a daemon reports to the leader."""

from sardinehill.core import fleet_messages


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
        self, service: str, key: int, service_time_s: float
    ) -> None:
        """Counts a request for a key.

        Args:
          service: the divided service.
          key: the requested key.
          service_time_s: how long such requests take at an upstream of usual
            speed, without waits.
        """
        keys, service_times_s = self._keys.setdefault(service, ([], []))
        keys.append(key)
        service_times_s.append(service_time_s)

    def count_slowness(self, upstream: str, slowness: float) -> None:
        """Counts an answer that shows how slow an upstream is.

        Args:
          upstream: the upstream's id.
          slowness: how long work takes there, relative to the usual time.
        """
        use = self._upstreams.get(upstream)
        if use is None:
            use = fleet_messages.UpstreamUse(upstream, 0, 0.0)
            self._upstreams[upstream] = use
        use.answers += 1
        use.slowness_sum += slowness

    def count_refused_key(self, service: str, key: int, epoch: int) -> None:
        """Counts a request that an owner refused as not holding the key."""
        self._refused.append(fleet_messages.RefusedKey(service, key, epoch))

    def move_to_report(self, report: fleet_messages.DaemonReport) -> None:
        """Moves all counts into a report and resets them."""
        report.demand, self._demand = self._demand, {}
        report.keys = [
            fleet_messages.KeyUse(
                service, keys, sum(service_times_s) / len(service_times_s)
            )
            for service, (keys, service_times_s) in self._keys.items()
        ]
        self._keys = {}
        report.upstreams = list(self._upstreams.values())
        self._upstreams = {}
        report.refused, self._refused = self._refused, []
