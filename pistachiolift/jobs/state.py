"""State shared by the components of the job scheduler."""

import random
from collections import Counter, OrderedDict

from ..common import (
    Epoch,
    JobId,
    Metrics,
    PartitionId,
    QuotaTable,
    WorkerHealth,
    WorkerId,
)
from .decisions import JobDecision
from .index import WorkerIndex
from .ledger import LedgerBuffer
from .model import Resources, WorkerStatus
from .preemption import PreemptionPlanner
from .queue import JobQueue
from .records import JobRecord
from .timers import Timers
from .workers import WorkerState

__all__ = ["SchedulerState"]


class SchedulerState:
    """Collections, timers and the decisions of the current event."""

    def __init__(
        self,
        *,
        partition_id: PartitionId,
        epoch: Epoch,
        rng: random.Random,
        metrics: Metrics,
        ledger_interval_s: float,
        report_interval_s: float,
    ):
        self.partition_id = partition_id
        self.epoch = epoch
        self.rng = rng
        self.metrics = metrics
        self.report_interval_s = report_interval_s
        self.jobs_by_id: dict[JobId, JobRecord] = {}
        self.ended_at_by_id: OrderedDict[JobId, float] = OrderedDict()
        self.workers_by_id: dict[WorkerId, WorkerState] = {}
        # Number of workers by capacity. There are few different capacities, so a sum
        # over them avoids a scan of all workers.
        self.workers_by_capacity: Counter[Resources] = Counter()
        self.held_ids_by_job: dict[JobId, set[WorkerId]] = {}
        self.index = WorkerIndex()
        # Workers whose room has grown since it was last offered to blocked jobs.
        self.roomy_workers_by_id: dict[WorkerId, WorkerState] = {}
        self.queue = JobQueue()
        self.quota = QuotaTable(Resources())
        self.health = WorkerHealth()
        self.planner = PreemptionPlanner()
        self.ledger = LedgerBuffer(interval_s=ledger_interval_s, rng=rng)
        self.timers = Timers()
        self.superseded = False
        self.joining_since_s = float("inf")
        self.running_tasks = 0
        self._decisions: list[JobDecision] = []

    def emit(self, decision: JobDecision) -> None:
        """Add a decision to the result of the current event."""
        self._decisions.append(decision)

    def drain(self) -> list[JobDecision]:
        """Return and clear the decisions; none if another owner has taken over."""
        decisions, self._decisions = self._decisions, []
        return [] if self.superseded else decisions

    def room_when_empty(self, size: Resources) -> int:
        """Return how many tasks of a size would fit if all workers were empty."""
        return sum(
            size.count_in(capacity) * workers
            for capacity, workers in self.workers_by_capacity.items()
        )

    def set_capacity(self, worker: WorkerState, capacity: Resources) -> None:
        """Change a worker's capacity; zero removes it from the total."""
        self.workers_by_capacity[worker.capacity] -= 1
        if self.workers_by_capacity[worker.capacity] <= 0:
            del self.workers_by_capacity[worker.capacity]
        if capacity != Resources():
            self.workers_by_capacity[capacity] += 1
        worker.set_capacity(capacity)

    def refresh(self, worker: WorkerState, now_s: float) -> None:
        """Update the index after a change of a worker."""
        if (
            worker.status is WorkerStatus.LIVE
            and worker.hold is None
            and self.health.accepts(worker.worker_id, now_s)
        ):
            self.index.put(worker)
        else:
            self.index.discard(worker.worker_id)

    def room_freed(self, worker: WorkerState, now_s: float) -> None:
        """Record that a worker may have room for blocked jobs."""
        self.refresh(worker, now_s)
        if worker.worker_id in self.index.workers_by_id:
            self.roomy_workers_by_id[worker.worker_id] = worker
        elif worker.hold is not None:
            self.queue.wake(self.jobs_by_id[worker.hold.job_id])

    def set_hold(self, worker: WorkerState, hold, now_s: float) -> None:
        """Reserve a worker's room for one job; ``None`` removes the hold."""
        if worker.hold is not None:
            held = self.held_ids_by_job[worker.hold.job_id]
            held.discard(worker.worker_id)
            if not held:
                del self.held_ids_by_job[worker.hold.job_id]
        worker.hold = hold
        if hold is not None:
            held = self.held_ids_by_job.setdefault(hold.job_id, set())
            held.add(worker.worker_id)
        else:
            self.room_freed(worker, now_s)
            return
        self.refresh(worker, now_s)
