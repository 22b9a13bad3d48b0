"""Counters, gauges and timers, aggregated in memory and flushed to statsd."""

import socket
from bisect import bisect_left
from collections import Counter
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import statsd

__all__ = ["Histogram", "Metrics"]


# Upper bounds of the buckets of latency histograms.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)


class Histogram:
    """Counts of durations by bucket, and their sum."""

    def __init__(self):
        self._counts = [0] * (len(BUCKETS_MS) + 1)
        self.total_ms = 0.0

    def add(self, value_ms: float) -> None:
        """Add a duration, in milliseconds."""
        self._counts[bisect_left(BUCKETS_MS, value_ms)] += 1
        self.total_ms += value_ms

    def buckets(self) -> list[tuple[str, int]]:
        """Return the cumulative count for each upper bound."""
        bounds = [str(bound) for bound in BUCKETS_MS] + ["+Inf"]
        return list(zip(bounds, accumulate(self._counts), strict=True))


class Metrics:
    """Aggregates metrics in memory and sends them to statsd on each flush.

    Counting in memory costs less than a microsecond for each event; a datagram for
    each event would cost more than the scheduling decision that it counts.

    :param address: host and port of statsd, or ``None`` to keep values in memory.
    :param prefix: first component of all metric names sent to statsd.
    """

    def __init__(
        self, *, address: tuple[str, int] | None = None, prefix: str = "pistachiolift"
    ):
        self.totals_by_name: Counter[str] = Counter()
        self.gauges_by_name: dict[str, float] = {}
        self.histograms_by_name: dict[str, Histogram] = {}
        self._unsent_by_name: Counter[str] = Counter()
        self._unsent_timings: list[tuple[str, float]] = []
        self._client: "statsd.StatsClient | None" = None
        if address is not None:
            import statsd

            self._client = statsd.StatsClient(*address, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter.

        :param name: dotted name, such as ``refusal.queue_full``.
        :param value: the increment.
        """
        self.totals_by_name[name] += value
        if self._client is not None:
            self._unsent_by_name[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        :param name: dotted name.
        :param value: the new value, in the unit that the name states.
        """
        self.gauges_by_name[name] = value

    def timing_ms(self, name: str, value_ms: float) -> None:
        """Record a duration.

        :param name: dotted name.
        :param value_ms: the duration in milliseconds.
        """
        histogram = self.histograms_by_name.get(name)
        if histogram is None:
            histogram = self.histograms_by_name[name] = Histogram()
        histogram.add(value_ms)
        # Bounds the memory used between two flushes; further timings are not sent.
        if self._client is not None and len(self._unsent_timings) < 1000:
            self._unsent_timings.append((name, value_ms))

    def snapshot(self) -> dict[str, float]:
        """Return all counters and gauges by name."""
        return {**self.totals_by_name, **self.gauges_by_name}

    def flush(self) -> None:
        """Send the values collected since the last flush; lost if statsd is down."""
        if self._client is None:
            return
        counts, self._unsent_by_name = self._unsent_by_name, Counter()
        timings, self._unsent_timings = self._unsent_timings, []
        try:
            with self._client.pipeline() as pipeline:
                for name, value in counts.items():
                    pipeline.incr(name, value)
                for name, value in self.gauges_by_name.items():
                    pipeline.gauge(name, value)
                for name, value_ms in timings:
                    pipeline.timing(name, value_ms)
        except (OSError, socket.gaierror):
            self.totals_by_name["metrics.flush_failed"] += 1
