"""Metrics and log lines on what waits at an owner, and in which order."""

import logging
from collections import Counter

from ..common import CustomerId, Metrics, log_event
from ..workflows import GraphScheduler
from ..workflows.urgency import Band, measure, waited_s

__all__ = ["WaitingReporter"]

logger = logging.getLogger(__name__)

# Visiting all waiting steps takes milliseconds, so it is not done in every tick.
COUNT_INTERVAL_S = 1.0
LOG_INTERVAL_S = 10.0
# Higher priorities share one gauge, so that the configuration cannot add more.
MAX_PRIORITY = 9
# Customers listed in one log line or as gauges, those with the most excess first.
MAX_CUSTOMERS = 20


class WaitingReporter:
    """Reports the waiting steps by band and priority, and the excess by customer.

    :param name: prefix of the metrics.
    """

    def __init__(self, scheduler: GraphScheduler, metrics: Metrics, name: str):
        self._scheduler = scheduler
        self._metrics = metrics
        self._name = name
        self._next_count_s = 0.0
        self._next_log_s = 0.0
        self._names: set[str] = set()
        self._excess_by_customer: Counter[CustomerId] = Counter()

    def check(self, now_s: float, wall_ms: int) -> None:
        """Report if the interval has passed.

        :param now_s: monotonic time.
        :param wall_ms: Unix time, in milliseconds.
        """
        if now_s < self._next_count_s:
            return
        self._next_count_s = now_s + COUNT_INTERVAL_S
        counts: Counter[str] = Counter()
        oldest_s = 0.0
        for step in self._scheduler.state.open_steps.values():
            band, _ = measure(step, now_s, wall_ms)
            priority = min(MAX_PRIORITY, max(0, step.job.queue.priority))
            counts[f"steps_waiting.{band.name.lower()}.priority_{priority}"] += 1
            counts["steps_waiting.excess"] += step.job.excess
            oldest_s = max(oldest_s, waited_s(step, now_s, wall_ms))
        order = self._scheduler.order
        counts["jobs_aged"] = order.aged_jobs
        counts["jobs_raised"] = len(order.raised_job_ids)
        counts["workers_held"] = self._scheduler.held_workers
        self._set_gauges(counts)
        self._metrics.gauge(f"{self._name}.longest_wait_s", oldest_s)
        self._count_marks()
        if now_s >= self._next_log_s:
            self._next_log_s = now_s + LOG_INTERVAL_S
            self._log(counts, oldest_s)

    def _set_gauges(self, counts: Counter[str]) -> None:
        """Set the gauges; those that are not counted any more become zero."""
        self._names.update(counts)
        for each in self._names:
            self._metrics.gauge(f"{self._name}.{each}", counts[each])

    def _count_marks(self) -> None:
        """Count the jobs marked as excess since the last call."""
        marked = self._scheduler.state.rates.take_marked()
        self._excess_by_customer.update(marked)
        if marked:
            self._metrics.count(f"{self._name}.jobs_excess", sum(marked.values()))

    def _log(self, counts: Counter[str], oldest_s: float) -> None:
        weights = self._scheduler.state.rates.weights_by_id
        for customer_id, jobs in self._excess_by_customer.most_common(MAX_CUSTOMERS):
            log_event(
                logger,
                "jobs_marked_excess",
                customer=customer_id,
                jobs=jobs,
                weight=weights.get(customer_id, 0.0),
                interval_s=LOG_INTERVAL_S,
                customers=len(self._excess_by_customer),
            )
        self._excess_by_customer.clear()
        bands = Counter()
        for name, count in counts.items():
            for band in Band:
                if f".{band.name.lower()}." in name:
                    bands[band] += count
        if not bands[Band.LATE] and not bands[Band.USELESS]:
            return
        log_event(
            logger,
            "work_waits",
            on_time=bands[Band.ON_TIME],
            late=bands[Band.LATE],
            useless=bands[Band.USELESS],
            excess=counts["steps_waiting.excess"],
            aged_jobs=counts["jobs_aged"],
            raised_jobs=counts["jobs_raised"],
            held_workers=counts["workers_held"],
            longest_wait_s=oldest_s,
        )
