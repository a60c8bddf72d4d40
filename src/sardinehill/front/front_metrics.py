"""Counters, latencies and gauges of one daemon, in Prometheus text format."""

from collections.abc import Callable
from collections.abc import Mapping

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 1
LATENCY_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_US_PER_S = 1_000_000


class FrontMetrics:
    """Collects a daemon's metrics and renders them as text."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], int] = {}
        self._latencies: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self._gauge_sources: list[Callable[[], Mapping[str, float]]] = []

    def increment(self, name: str, label: str = "") -> None:
        """Adds one to the counter of a name and label."""
        key = (name, label)
        self._counts[key] = self._counts.get(key, 0) + 1

    def get(self, name: str, label: str = "") -> int:
        """Returns the value of a counter."""
        return self._counts.get((name, label), 0)

    def record_latency(
        self, label: str, latency_s: float, name: str = "latency"
    ) -> None:
        """Records the latency of a request, or a part of it, under a label."""
        key = (name, label)
        latencies = self._latencies.get(key)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._latencies[key] = latencies
        latencies.record_value(
            min(max(int(latency_s * _US_PER_S), MIN_LATENCY_US), MAX_LATENCY_US)
        )

    def add_gauge_source(
        self, source: Callable[[], Mapping[str, float]]
    ) -> None:
        """Adds a source of gauges, which is called for each rendering."""
        self._gauge_sources.append(source)

    def render(self) -> str:
        """Returns all metrics as text, one sample a line."""
        lines = [
            f'sardinehill_{name}_total{{label="{label}"}} {value}'
            if label
            else f"sardinehill_{name}_total {value}"
            for (name, label), value in sorted(self._counts.items())
        ]
        for (name, label), latencies in sorted(self._latencies.items()):
            for percentile in LATENCY_PERCENTILES:
                value_s = (
                    latencies.get_value_at_percentile(percentile) / _US_PER_S
                )
                lines.append(
                    f'sardinehill_{name}_seconds{{label="{label}",'
                    f'quantile="{percentile / 100}"}} {value_s:.6f}'
                )
            lines.append(
                f'sardinehill_{name}_seconds_count{{label="{label}"}} '
                f"{latencies.get_total_count()}"
            )
        for source in self._gauge_sources:
            lines.extend(
                f"sardinehill_{name} {value}"
                for name, value in sorted(source().items())
            )
        return "\n".join(lines) + "\n"
