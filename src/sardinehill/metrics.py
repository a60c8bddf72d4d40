"""Collects the metrics of one daemon in the Prometheus text format."""

from collections.abc import Callable
from collections.abc import Iterator

from hdrh import histogram
import prometheus_client
from prometheus_client import metrics_core
from prometheus_client import registry as registry_module

from sardinehill import errors

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
# Two digits distinguish 10.0 ms from 10.1 ms and take 16 KB per histogram; a
# third digit would take eight times that for each service.
HISTOGRAM_SIGNIFICANT_DIGITS = 2
LATENCY_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_US_PER_S = 1_000_000


class _LatencyCollector(registry_module.Collector):
    """Collects latencies by service in HDR histograms."""

    def __init__(self, name: str, help_text: str):
        self._name = name
        self._help_text = help_text
        self._histograms: dict[str, histogram.HdrHistogram] = {}
        self._sums_s: dict[str, float] = {}

    def record(self, service: str, latency_s: float) -> None:
        service_histogram = self._histograms.get(service)
        if service_histogram is None:
            service_histogram = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, HISTOGRAM_SIGNIFICANT_DIGITS
            )
            self._histograms[service] = service_histogram
        latency_us = int(latency_s * _US_PER_S)
        service_histogram.record_value(
            min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US)
        )
        self._sums_s[service] = self._sums_s.get(service, 0.0) + latency_s

    def quantile_s(self, service: str, quantile: float) -> float:
        service_histogram = self._histograms.get(service)
        if service_histogram is None:
            return 0.0
        return (
            float(service_histogram.get_value_at_percentile(quantile * 100))
            / _US_PER_S
        )

    def collect(self) -> Iterator[metrics_core.Metric]:
        family = metrics_core.Metric(self._name, self._help_text, "summary")
        for service, service_histogram in self._histograms.items():
            for quantile in LATENCY_QUANTILES:
                family.add_sample(
                    self._name,
                    {"service": service, "quantile": str(quantile)},
                    self.quantile_s(service, quantile),
                )
            labels = {"service": service}
            family.add_sample(
                f"{self._name}_count",
                labels,
                service_histogram.get_total_count(),
            )
            family.add_sample(
                f"{self._name}_sum", labels, self._sums_s[service]
            )
        yield family


class Metrics:
    """The metrics of one daemon.

    The counters of every reason exist from the start at zero: a counter that
    appeared with its first refusal would look the same as one that was lost.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "sardinehill_requests",
            "Callers' requests answered, by service and verdict.",
            ["service", "verdict"],
            registry=self.registry,
        )
        self._refusals = prometheus_client.Counter(
            "sardinehill_refusals",
            "Callers' requests refused, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._retries = prometheus_client.Counter(
            "sardinehill_retries",
            "Requests sent again, by the reason of the failure before.",
            ["reason"],
            registry=self.registry,
        )
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._latencies = _LatencyCollector(
            "sardinehill_request_latency_seconds",
            "Time from a caller's request to the end of its answer.",
        )
        self.registry.register(self._latencies)
        for reason in errors.Reason:
            self._refusals.labels(reason.value)
            self._retries.labels(reason.value)

    def count_request(
        self, service: str, verdict: errors.Verdict, latency_s: float
    ) -> None:
        """Counts one answered request and records its latency."""
        self._requests.labels(service, verdict.value).inc()
        self._latencies.record(service, latency_s)

    def count_refusal(self, reason: errors.Reason) -> None:
        """Counts one refused request."""
        self._refusals.labels(reason.value).inc()

    def count_retry(self, reason: errors.Reason) -> None:
        """Counts one retry by the reason of the previous failure."""
        self._retries.labels(reason.value).inc()

    def increment_counter(
        self, name: str, help_text: str, amount: float = 1.0
    ) -> None:
        """Adds to a counter, which is created on first use."""
        counter = self._counters.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                name, help_text, registry=self.registry
            )
            self._counters[name] = counter
        counter.inc(amount)

    def add_gauge(
        self, name: str, help_text: str, read_value: Callable[[], float]
    ) -> None:
        """Adds a gauge whose value is read whenever metrics are collected."""
        prometheus_client.Gauge(
            name, help_text, registry=self.registry
        ).set_function(read_value)

    def latency_quantile_s(self, service: str, quantile: float) -> float:
        """Returns a latency quantile in seconds, 0 without any requests.

        Args:
          service: the service's name.
          quantile: from 0 to 1.
        """
        return self._latencies.quantile_s(service, quantile)

    def render_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
