"""Prometheus counters and latency histograms of forwarded calls."""

from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 1
"""One digit is enough for on-call engineers and keeps histograms small."""

MICROSECONDS_PER_SECOND = 1_000_000
QUANTILES = (50.0, 95.0, 99.0)
MAX_HISTOGRAMS = 32


class ForwardingMetrics:
    """Counts outcomes by route and records latencies."""

    def __init__(self) -> None:
        self._outcomes: Counter[tuple[str, str, int]] = Counter()
        self._histograms_by_route: dict[str, HdrHistogram] = {}
        self._gauges_by_name: dict[str, Callable[[], float]] = {}

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read when metrics are rendered."""
        self._gauges_by_name[name] = read

    def record_call(
        self, route: str, outcome: str, status: int, seconds: float
    ) -> None:
        """Count a finished call and record its latency."""
        self._outcomes[route, outcome, status] += 1
        histogram = self._histograms_by_route.get(route)
        if histogram is None:
            if len(self._histograms_by_route) >= MAX_HISTOGRAMS:
                return
            histogram = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._histograms_by_route[route] = histogram
        micros = int(seconds * MICROSECONDS_PER_SECOND)
        histogram.record_value(
            max(LOWEST_MICROSECONDS, min(micros, HIGHEST_MICROSECONDS))
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        lines = ["# TYPE pomeloglade_calls_total counter"]
        for (route, outcome, status), count in sorted(self._outcomes.items()):
            labels = f'route="{route}",outcome="{outcome}",status="{status}"'
            lines.append(f"pomeloglade_calls_total{{{labels}}} {count}")
        lines.append("# TYPE pomeloglade_call_seconds summary")
        for route, histogram in sorted(self._histograms_by_route.items()):
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile)
                labels = f'route="{route}",quantile="{quantile / 100:g}"'
                seconds = value / MICROSECONDS_PER_SECOND
                lines.append(f"pomeloglade_call_seconds{{{labels}}} {seconds:g}")
        for name, read in sorted(self._gauges_by_name.items()):
            lines.append(f"# TYPE pomeloglade_{name} gauge")
            lines.append(f"pomeloglade_{name} {read():g}")
        return "\n".join(lines).encode() + b"\n"
