"""Counters and gauges of prometheus_client, latencies of HdrHistogram."""

import collections.abc
import contextlib
import time

import hdrh.histogram
import prometheus_client
import prometheus_client.core

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (0.5, 0.9, 0.99, 0.999)
US_PER_SECOND = 1_000_000


class Metrics:
    """The counters, gauges and latency histograms of one process.

    A histogram takes 185 KB of memory, so there is one per path and stage, but
    not one per backend server or caller.
    """

    __slots__ = ('_counters', '_histograms', '_registry')

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._histograms: dict[
            tuple[str, str], hdrh.histogram.HdrHistogram
        ] = {}
        self._registry.register(_LatencyCollector(self._histograms))

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add `amount` to the counter `name`."""
        counter = self._counters.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                f'swiftjunction_{name}',
                name.replace('_', ' '),
                sorted(labels),
                registry=self._registry,
            )
            self._counters[name] = counter
        (counter.labels(**labels) if labels else counter).inc(amount)

    def add_gauge(
        self, name: str, read: collections.abc.Callable[[], float]
    ) -> None:
        """Add a gauge whose value is what `read` returns at collection."""
        gauge = prometheus_client.Gauge(
            f'swiftjunction_{name}',
            name.replace('_', ' '),
            registry=self._registry,
        )
        gauge.set_function(read)

    def record_latency(self, path: str, stage: str, seconds: float) -> None:
        """Record a latency, clamped to the range of the histogram."""
        key = (path, stage)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._histograms[key] = histogram
        histogram.record_value(
            min(
                max(int(seconds * US_PER_SECOND), LOWEST_LATENCY_US),
                HIGHEST_LATENCY_US,
            )
        )

    @contextlib.contextmanager
    def measure(self, path: str, stage: str) -> collections.abc.Iterator[None]:
        """Record the duration of the ``with`` block, also if it fails."""
        started_at = time.monotonic()
        try:
            yield
        finally:
            self.record_latency(path, stage, time.monotonic() - started_at)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def summarize(self) -> dict[str, dict[str, float]]:
        """Return latency percentiles in seconds and counts, for a dump."""
        return {
            f'{path} {stage}': {
                f'p{100 * q:g}': histogram.get_value_at_percentile(100 * q)
                / US_PER_SECOND
                for q in QUANTILES
            }
            | {'count': histogram.get_total_count()}
            for (path, stage), histogram in self._histograms.items()
        }


class _LatencyCollector(prometheus_client.registry.Collector):
    def __init__(
        self,
        histograms: dict[tuple[str, str], hdrh.histogram.HdrHistogram],
    ) -> None:
        self._histograms = histograms

    def collect(
        self,
    ) -> collections.abc.Iterator[prometheus_client.core.Metric]:
        family = prometheus_client.core.GaugeMetricFamily(
            'swiftjunction_latency_seconds',
            'latency by path and stage',
            labels=['path', 'stage', 'quantile'],
        )
        for (path, stage), histogram in list(self._histograms.items()):
            for quantile in QUANTILES:
                value_us = histogram.get_value_at_percentile(100 * quantile)
                family.add_metric(
                    [path, stage, str(quantile)], value_us / US_PER_SECOND
                )
        yield family
