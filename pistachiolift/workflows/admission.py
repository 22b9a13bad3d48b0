"""Decides whether a new job is accepted, or refused because it cannot end in time."""

from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum
from math import ceil
from zlib import crc32

import msgspec

from ..common import CustomerId, JobId
from .backlog import NOTHING, RESOURCES, SHORTEST_SHARE, Backlog
from .fleet_capacity import FleetCapacity
from .model import JobGraph, Queue, StepKey
from .order import WaitingOrder
from .scheduler_state import SchedulerState
from .state import JobEntry, StepEntry
from .urgency import LATE_LIMIT_FACTOR, objective_s
from .wait_estimate import (
    WaitEstimate,
    amounts,
    estimate_waits,
    least_duration_s,
)

__all__ = ["Admission", "AdmissionDecision", "AdmissionReason"]

# Longest age of the totals of waiting and running work, in seconds. Totalling 2,000
# steps and the runs of 270 workers takes some milliseconds.
BACKLOG_AGE_S = 0.5
# Time between two counts of the workers.
OBSERVE_INTERVAL_S = 0.5

# Clients retry four times; with at most 4 s between, the retries fall into the time in
# which most jobs are still worth something.
RETRY_LEAST_S = 1
RETRY_MOST_S = 4

# Refused jobs whose first request is remembered, and for how long: longer than the
# retries of a client.
REMEMBERED_JOBS = 4096
REMEMBERED_S = 60.0


class AdmissionReason(Enum):
    """What decided about a job."""

    # Admission is not in force, or the job has no end to judge by.
    NOT_JUDGED = "not_judged"
    IN_TIME = "in_time"
    # It could not end in time on empty workers.
    TOO_LATE = "too_late"
    # A task or gang does not fit on all workers of its pool together.
    FITS_NOWHERE = "fits_nowhere"
    # A task or gang is larger than its customer's cap.
    ABOVE_CAP = "above_cap"
    # The work ahead of it fills its pool for too long.
    NO_CAPACITY = "no_capacity"
    # The work ahead of it fills its customer's cap for too long.
    CAP_FILLED = "cap_filled"


class AdmissionDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a job is accepted, with the figures that decided.

    :param retry_after_s: time after which a refused job should be submitted again.
    :param excess: whether the job was judged as excess of its customer.
    :param wait_s: predicted time until its first start; ``None`` if not judged.
    :param least_wait_s: shortest time for which the work ahead fills the pool.
    :param most_wait_s: longest wait after which it can still end in time.
    :param ahead_s: time that all workers of the pool need for what waits ahead.
    :param running_s: time that they need for what runs.
    :param capacity_milli: processors of the pool, in thousandths of a core.
    :param age_s: age of the totals.
    """

    reason: AdmissionReason
    admitted: bool = True
    retry_after_s: int = 0
    excess: bool = False
    wait_s: float | None = None
    least_wait_s: float = 0.0
    most_wait_s: float = 0.0
    ahead_s: float = 0.0
    running_s: float = 0.0
    capacity_milli: int = 0
    age_s: float = 0.0


NOT_JUDGED = AdmissionDecision(reason=AdmissionReason.NOT_JUDGED)


class Admission:
    """Refuses new jobs that certainly cannot end in three times their objective.

    It estimates how long the work that precedes a job fills its pool, with the shortest
    durations that the declared ones allow. What is uncertain counts for the job: work
    of a lower priority, work that may not need the same workers, work of a customer
    beyond its cap, and workers that may come back. It is in force while the
    configuration has customers and the owner has known its workers for some seconds.

    :param state: the owner's jobs and workers.
    :param order: order in which waiting steps are placed.
    """

    def __init__(self, state: SchedulerState, order: WaitingOrder):
        self._state = state
        self._order = order
        self._capacity = FleetCapacity(state)
        self._observed_s = float("-inf")
        self._backlog: Backlog | None = None
        # Monotonic and Unix time of the first request of refused jobs.
        self._first_received: OrderedDict[JobId, tuple[float, int]] = OrderedDict()

    @property
    def in_force(self) -> bool:
        """Whether the configuration has customers."""
        return bool(self._state.customers_by_id)

    def observe(self, now_s: float) -> None:
        """Take note of the workers; called regularly."""
        if self.in_force and now_s - self._observed_s >= OBSERVE_INTERVAL_S:
            self._observed_s = now_s
            self._capacity.observe(now_s)

    def record_submission(self, job: JobEntry) -> None:
        """Count the work of a job that has been accepted."""
        if self._backlog is not None and self.in_force:
            self._backlog.add_job(job)

    def first_received(
        self, job_id: JobId, received_s: float, received_ms: int
    ) -> tuple[float, int]:
        """Return when a job was first sent, if it was refused before.

        :param received_s: monotonic time of this request.
        :param received_ms: Unix time of this request, in milliseconds.
        """
        return self._first_received.get(job_id, (received_s, received_ms))

    def record_refusal(
        self, job_id: JobId, *, received_s: float, received_ms: int, now_s: float
    ) -> None:
        """Keep the time of the first request for the retries of a refused job.

        :param received_s: monotonic time of the first request.
        :param received_ms: Unix time of the first request, in milliseconds.
        """
        first = self._first_received
        first.setdefault(job_id, (received_s, received_ms))
        while first:
            oldest_s, _ = next(iter(first.values()))
            if len(first) <= REMEMBERED_JOBS and now_s - oldest_s < REMEMBERED_S:
                return
            first.popitem(last=False)

    def decide(
        self,
        job_id: JobId,
        queue: Queue,
        graph: JobGraph,
        *,
        received_s: float,
        received_ms: int,
        now_s: float,
        wall_ms: int,
        customer_id: CustomerId = CustomerId(""),
    ) -> AdmissionDecision:
        """Decide about a job that the owner does not know yet; changes nothing.

        :param received_s: monotonic time of the first request.
        :param received_ms: Unix time of the first request, in milliseconds.
        """
        if not self.in_force or not self._capacity.is_known(now_s):
            return NOT_JUDGED
        if graph.occurrences or any(step.long_running for step in graph.steps):
            return NOT_JUDGED
        queue = self._state.queues_by_id.get(queue.queue_id, queue)
        excess = self._state.rates.would_exceed(customer_id, received_ms)
        job = JobEntry(
            job_id, graph, queue, received_s, received_ms, customer_id, excess
        )
        if objective_s(job) <= 0 or not self._capacity.has_pool(queue.pool_id):
            return NOT_JUDGED
        return self._judge(job, now_s, wall_ms)

    def _judge(self, job: JobEntry, now_s: float, wall_ms: int) -> AdmissionDecision:
        if not self._fits(job):
            return self._refuse(job, AdmissionReason.FITS_NOWHERE, RETRY_MOST_S)
        if self._is_above_cap(job):
            return self._refuse(job, AdmissionReason.ABOVE_CAP, RETRY_MOST_S)
        backlog = self._newest_backlog(now_s, wall_ms)
        total = amounts(self._capacity.total(job.queue.pool_id))
        shortest_s = SHORTEST_SHARE * least_duration_s(job, total)
        end_s = job.received_s + LATE_LIMIT_FACTOR * objective_s(job)
        most_wait_s = end_s - now_s - shortest_s
        key = self._key(job, now_s, wall_ms)
        age_s = now_s - backlog.taken_s
        waits = [
            (each, AdmissionReason.NO_CAPACITY)
            for each in self._pool_waits(job, backlog, key, most_wait_s, age_s)
        ]
        waits += [
            (each, AdmissionReason.CAP_FILLED)
            for each in self._cap_waits(job, backlog, key, age_s)
        ]
        worst, reason = max(
            waits,
            key=lambda item: item[0].least_s,
            default=(WaitEstimate(), AdmissionReason.IN_TIME),
        )
        figures = dict(
            excess=job.excess,
            wait_s=max((each.expected_s for each, _ in waits), default=0.0),
            least_wait_s=worst.least_s,
            most_wait_s=most_wait_s,
            ahead_s=worst.ahead_s,
            running_s=worst.running_s,
            capacity_milli=total[0],
            age_s=age_s,
        )
        if most_wait_s < 0:
            return self._refuse(job, AdmissionReason.TOO_LATE, RETRY_MOST_S, **figures)
        if worst.least_s > most_wait_s:
            shortage_s = (worst.least_s - most_wait_s) / SHORTEST_SHARE
            return self._refuse(job, reason, shortage_s, **figures)
        return AdmissionDecision(reason=AdmissionReason.IN_TIME, **figures)

    def _pool_waits(
        self,
        job: JobEntry,
        backlog: Backlog,
        key: tuple,
        most_wait_s: float,
        age_s: float,
    ) -> Iterator[WaitEstimate]:
        """Return how long the work ahead fills the pool, and the labelled workers."""
        pool_id, first = job.queue.pool_id, job.graph.steps[0]
        total = amounts(self._capacity.total(pool_id))
        held = backlog.held_by_pool.get(pool_id, NOTHING)
        capacity_by_label = {
            "": tuple(total[index] - held[index] for index in range(RESOURCES))
        }
        label = first.required_label
        if label:
            capacity_by_label[label] = amounts(self._capacity.total(pool_id, label))

        def limit_of(customer_id: CustomerId, index: int) -> float:
            """Return what a customer's cap allows until the last useful start."""
            return self._cap_of(customer_id)[index] * max(0.0, most_wait_s)

        for each, capacity in capacity_by_label.items():
            yield from estimate_waits(
                list(backlog.ahead_of(job, key, label=each)),
                amounts(first.reserved),
                capacity,
                limit_of=limit_of,
                age_s=age_s,
            )

    def _cap_waits(
        self, job: JobEntry, backlog: Backlog, key: tuple, age_s: float
    ) -> Iterator[WaitEstimate]:
        """Return how long the customer's own work ahead fills its cap."""
        cap = self._cap_of(job.customer_id)
        first = amounts(job.graph.steps[0].reserved)
        needed = tuple(
            amount if limit else 0 for amount, limit in zip(first, cap, strict=True)
        )
        parts = list(backlog.ahead_of(job, key, label=None, only_own=True))
        yield from estimate_waits(parts, needed, cap, age_s=age_s)

    def _newest_backlog(self, now_s: float, wall_ms: int) -> Backlog:
        backlog = self._backlog
        if backlog is None or now_s - backlog.taken_s > BACKLOG_AGE_S:
            backlog = self._backlog = Backlog(
                self._state,
                self._capacity,
                lambda step: self._order.key(step, now_s, wall_ms),
                now_s=now_s,
            )
        return backlog

    def _fits(self, job: JobEntry) -> bool:
        """Whether each task and each gang fits on the workers if they are empty."""
        for step in job.graph.steps:
            needed = step.count if step.gang else 1
            room = self._capacity.room_for(
                job.queue.pool_id,
                step.required_label,
                step.reserved,
                most=needed,
                per_worker=step.max_per_worker,
            )
            if room < needed:
                return False
        return True

    def _key(self, job: JobEntry, now_s: float, wall_ms: int) -> tuple:
        """Return the sort key of the job's first step, which has no predecessor."""
        step = job.graph.steps[0]
        entry = StepEntry(StepKey(job.job_id, 0, 0), step, job, set(range(step.count)))
        return self._order.key(entry, now_s, wall_ms)

    def _is_above_cap(self, job: JobEntry) -> bool:
        """Whether a task or a gang of the job is larger than its customer's cap."""
        return any(
            not self._state.caps.ever_allows(
                job.customer_id, step.size.times(step.count if step.gang else 1)
            )
            for step in job.graph.steps
        )

    def _cap_of(self, customer_id: CustomerId) -> tuple[int, int, int]:
        """Return the cap of a customer; 0 for no limit."""
        customer = self._state.customers_by_id.get(customer_id)
        return (0, 0, 0) if customer is None else amounts(customer.cap)

    def _refuse(
        self,
        job: JobEntry,
        reason: AdmissionReason,
        shortage_s: float,
        **figures: object,
    ) -> AdmissionDecision:
        return AdmissionDecision(
            reason=reason,
            admitted=False,
            retry_after_s=_spread_s(job.job_id, shortage_s),
            **figures,
        )


def _spread_s(job_id: JobId, shortage_s: float) -> int:
    """Return the seconds after which a job should be sent again.

    Jobs that are refused together come back at different times, which depend on their
    identifiers.

    :param shortage_s: predicted time until the shortage ends.
    """
    base = ceil(min(RETRY_MOST_S, max(RETRY_LEAST_S, shortage_s)))
    low, high = max(RETRY_LEAST_S, base - 1), min(RETRY_MOST_S, base + 1)
    return low + crc32(job_id.encode()) % (high - low + 1)
