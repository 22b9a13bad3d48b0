"""Metrics in the Prometheus text format."""

import re

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.registry import Collector

from ..common import Metrics

__all__ = ["render_metrics"]

_NOT_ALLOWED = re.compile(r"[^a-zA-Z0-9_]")


def _name(dotted: str) -> str:
    return "pistachiolift_" + _NOT_ALLOWED.sub("_", dotted)


class _MetricsCollector(Collector):
    """Exposes the process's metrics to the Prometheus client library."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def collect(self):
        """Yield all metric families."""
        for name, value in sorted(self._metrics.totals_by_name.items()):
            yield CounterMetricFamily(_name(name), name, value=value)
        for name, value in sorted(self._metrics.gauges_by_name.items()):
            yield GaugeMetricFamily(_name(name), name, value=value)
        for name, histogram in sorted(self._metrics.histograms_by_name.items()):
            yield HistogramMetricFamily(
                _name(name) + "_ms",
                f"{name}, in milliseconds",
                buckets=histogram.buckets(),
                sum_value=histogram.total_ms,
            )


def render_metrics(metrics: Metrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)
