"""Estimates of the run time of each kind, learned from finished attempts."""

from collections import OrderedDict

from hdrh.histogram import HdrHistogram

from ..common import KindId

__all__ = ["RunTimeModel"]

# Estimates are based on the last 256 to 512 run times. This is enough for a p99, and
# after a change in behaviour the old run times have no effect after 512 attempts.
WINDOW_RECORDS = 256

# A histogram of this range with 2-byte counters takes about 6 KB. With two histograms
# per kind, 1,000 kinds take about 12 MB of the 256 MB of a process.
MAX_KINDS = 1000
LOWEST_MS, HIGHEST_MS, SIGNIFICANT_FIGURES, WORD_BYTES = 1, 86_400_000, 2, 2

# Run limits are usually far above the run times, so the prior estimate is a tenth of
# the limit. With a prior at the limit, a kind with a short deadline would be refused
# before its first attempt.
PRIOR_FRACTION_OF_LIMIT = 0.1
PRIOR_WITHOUT_LIMIT_S = 1.0

# hdrhistogram iterates over all counters to compute a quantile (about 0.2 ms), so a
# quantile is recomputed only after the window has grown by this fraction.
QUANTILE_REFRESH_FRACTION = 1 / 16


class RunTimeModel:
    """Mean and quantiles of the run time per kind, over a window of attempts.

    Beyond ``max_kinds``, the least recently recorded kind is evicted.

    :param max_kinds: largest number of kinds that are kept.
    """

    def __init__(self, *, max_kinds: int = MAX_KINDS):
        if max_kinds < 1:
            raise ValueError(f"max_kinds is {max_kinds}; it must be 1 or more")
        self._max_kinds = max_kinds
        self._windows_by_kind: OrderedDict[KindId, _OverlappingWindows] = OrderedDict()

    def __len__(self) -> int:
        return len(self._windows_by_kind)

    def record(self, kind_id: KindId, run_s: float) -> None:
        """Add the run time of a finished attempt.

        :param run_s: seconds, 0 or more.
        """
        if not run_s >= 0:
            raise ValueError(f"run_s is {run_s}; it must be 0 or more")
        windows = self._windows_by_kind.get(kind_id)
        if windows is None:
            windows = self._windows_by_kind[kind_id] = _OverlappingWindows()
            if len(self._windows_by_kind) > self._max_kinds:
                self._windows_by_kind.popitem(last=False)
        self._windows_by_kind.move_to_end(kind_id)
        windows.record(run_s)

    def has_samples(self, kind_id: KindId) -> bool:
        """Return whether a run time of the kind has been recorded."""
        return kind_id in self._windows_by_kind

    def mean(self, kind_id: KindId, *, max_run_s: float | None = None) -> float:
        """Return the mean run time in seconds.

        :param max_run_s: the run limit, from which an unknown kind is estimated.
        """
        windows = self._windows_by_kind.get(kind_id)
        return _prior_s(max_run_s) if windows is None else windows.mean_s()

    def quantile(
        self, kind_id: KindId, q: float, *, max_run_s: float | None = None
    ) -> float:
        """Return a quantile of the run time in seconds.

        :param q: 0 to 1.
        :param max_run_s: the run limit, from which an unknown kind is estimated.
        """
        if not 0 <= q <= 1:
            raise ValueError(f"q is {q}; it must be from 0 to 1")
        windows = self._windows_by_kind.get(kind_id)
        return _prior_s(max_run_s) if windows is None else windows.quantile_s(q)


def _prior_s(max_run_s: float | None) -> float:
    if max_run_s is None:
        return PRIOR_WITHOUT_LIMIT_S
    return max_run_s * PRIOR_FRACTION_OF_LIMIT


class _Window:
    """A histogram and the exact sum, which hdrhistogram would compute slowly."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(
            LOWEST_MS, HIGHEST_MS, SIGNIFICANT_FIGURES, word_size=WORD_BYTES
        )
        self.count = 0
        self.sum_s = 0.0

    def record(self, run_s: float) -> None:
        run_ms = min(max(round(run_s * 1000), LOWEST_MS), HIGHEST_MS)
        self.histogram.record_value(run_ms)
        self.count += 1
        self.sum_s += run_s


class _OverlappingWindows:
    """Two windows; the younger one replaces the older one when it is full."""

    def __init__(self) -> None:
        self._older = _Window()
        self._younger: _Window | None = None
        self._quantiles_s: dict[float, float] = {}
        self._count_at_refresh = 0

    def record(self, run_s: float) -> None:
        self._older.record(run_s)
        if self._younger is not None:
            self._younger.record(run_s)
        elif self._older.count >= WINDOW_RECORDS:
            self._younger = _Window()
        if self._younger is not None and self._younger.count >= WINDOW_RECORDS:
            self._older, self._younger = self._younger, _Window()
            self._count_at_refresh = 0

    def mean_s(self) -> float:
        return self._older.sum_s / self._older.count

    def quantile_s(self, q: float) -> float:
        grown = self._older.count - self._count_at_refresh
        if grown > self._count_at_refresh * QUANTILE_REFRESH_FRACTION:
            self._quantiles_s.clear()
            self._count_at_refresh = self._older.count
        quantile_s = self._quantiles_s.get(q)
        if quantile_s is None:
            value_ms = self._older.histogram.get_value_at_percentile(q * 100)
            quantile_s = self._quantiles_s[q] = value_ms / 1000
        return quantile_s
