"""Counters and latencies of one daemon, and the text that shows them."""

from collections.abc import Callable
from collections.abc import Mapping

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 1
LATENCY_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_US_PER_S = 1_000_000


class FrontMetrics:
    """What one daemon counts; names follow the usual text format."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], int] = {}
        self._latencies: dict[str, histogram.HdrHistogram] = {}
        self._gauge_sources: list[Callable[[], Mapping[str, float]]] = []

    def increment(self, name: str, label: str = "") -> None:
        """Adds one to a counter."""
        key = (name, label)
        self._counts[key] = self._counts.get(key, 0) + 1

    def get(self, name: str, label: str = "") -> int:
        """Returns a counter."""
        return self._counts.get((name, label), 0)

    def record_latency(self, label: str, latency_s: float) -> None:
        """Records the latency of a request under a label."""
        found = self._latencies.get(label)
        if found is None:
            found = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._latencies[label] = found
        found.record_value(
            min(max(int(latency_s * _US_PER_S), MIN_LATENCY_US), MAX_LATENCY_US)
        )

    def add_gauge_source(
        self, source: Callable[[], Mapping[str, float]]
    ) -> None:
        """Has `source` asked for its figures when the text is made."""
        self._gauge_sources.append(source)

    def render(self) -> str:
        """Returns all figures, one a line."""
        lines = [
            f'sardinehill_{name}_total{{label="{label}"}} {value}'
            if label
            else f"sardinehill_{name}_total {value}"
            for (name, label), value in sorted(self._counts.items())
        ]
        for label, found in sorted(self._latencies.items()):
            for quantile in LATENCY_PERCENTILES:
                value_s = found.get_value_at_percentile(quantile) / _US_PER_S
                lines.append(
                    f'sardinehill_latency_seconds{{label="{label}",'
                    f'quantile="{quantile / 100}"}} {value_s:.6f}'
                )
            lines.append(
                f'sardinehill_latency_seconds_count{{label="{label}"}} '
                f"{found.get_total_count()}"
            )
        for source in self._gauge_sources:
            lines.extend(
                f"sardinehill_{name} {value}"
                for name, value in sorted(source().items())
            )
        return "\n".join(lines) + "\n"
