"""Metrics of one instance's requests, in Prometheus' text format."""

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from pomeloglade_coordination.refusals import Reason, Refusal

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
QUANTILES = (50.0, 95.0, 99.0)
SHARED_ACCOUNTS = ""
"""Account label of a route's histogram for all accounts without one of their own.

Calls on open routes have this label as well.
"""
MAX_HISTOGRAMS = 128
"""Maximum number of pairs of route and account with a histogram of their own."""


class Metrics:
    """Counts answers, refusals and retries, and records latencies."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._answers = self._counter("answers", "Whole answers", "route")
        self._refusals = self._counter("refusals", "Refusals", "reason", "step")
        self._retries = self._counter("retries", "Retries by reason", "reason")
        self._events = self._counter("events", "Other events", "part", "event")
        self._open = Gauge(
            "pomeloglade_open_requests", "Requests open now", registry=self._registry
        )
        self._histograms_by_route_and_account: dict[tuple[str, str], HdrHistogram] = {}
        for reason in Reason:
            self._retries.labels(reason.value)

    def count_answer(self, route: str, account: str, seconds: float) -> None:
        """Count a complete answer, sent ``seconds`` after its request arrived."""
        self._answers.labels(route).inc()
        microseconds = max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS_PER_SECOND))
        histogram = self._histogram(route, account)
        histogram.record_value(min(microseconds, HIGHEST_MICROSECONDS))

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal by reason and step."""
        self._refusals.labels(refusal.reason.value, refusal.step.value).inc()

    def count_retry(self, reason: Reason) -> None:
        """Count a retry by the reason that caused it."""
        self._retries.labels(reason.value).inc()

    def event(self, part: str, event: str) -> None:
        """Count any other event of a component."""
        self._events.labels(part, event).inc()

    def open_requests_changed(self, change: int) -> None:
        """Add ``change`` to the number of open requests; it is negative on close."""
        self._open.inc(change)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        lines = [
            "# HELP pomeloglade_latency_seconds Latency of whole answers",
            "# TYPE pomeloglade_latency_seconds gauge",
        ]
        for (route, account), histogram in sorted(
            self._histograms_by_route_and_account.items()
        ):
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile)
                seconds = value / MICROSECONDS_PER_SECOND
                labels = f'route="{route}",account="{account}"'
                labels += f',quantile="{quantile / 100:g}"'
                lines.append(f"pomeloglade_latency_seconds{{{labels}}} {seconds:g}")
        return generate_latest(self._registry) + "\n".join(lines).encode() + b"\n"

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"pomeloglade_{name}", text, labels, registry=self._registry)

    def _histogram(self, route: str, account: str) -> HdrHistogram:
        key = (route, account)
        if key not in self._histograms_by_route_and_account:
            if len(self._histograms_by_route_and_account) >= MAX_HISTOGRAMS:
                key = (route, SHARED_ACCOUNTS)
            self._histograms_by_route_and_account.setdefault(
                key,
                HdrHistogram(
                    LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
                ),
            )
        return self._histograms_by_route_and_account[key]
