"""The owner's jobs and workers, and its pending records and decisions."""

import logging
from collections import Counter
from dataclasses import dataclass, field

from ..common import CustomerId, JobId, WorkerId, log_event
from .caps import CustomerCaps
from .customer_rates import CustomerRates
from .decisions import Decision, JobChanged
from .failure_rates import FailingJobCounts, FailureRates
from .model import (
    Customer,
    JobStatus,
    PoolId,
    Queue,
    QueueId,
    StepKey,
    TaskKey,
)
from .records import LedgerRecord
from .state import JobEntry, StepEntry, TaskRun, WorkerEntry

__all__ = ["SchedulerState"]

logger = logging.getLogger(__name__)

# Share of the workers that may be in quarantine, so that work does not wait beside many
# idle workers if jobs are to blame. A data centre that fails may hold as many.
MAX_QUARANTINED_SHARE = 0.5


@dataclass(slots=True)
class SchedulerState:
    """State shared by the components of the scheduler.

    :param fence: this owner's fencing token; run numbers are derived from it.
    :param queues_version: version of the configuration with the queues.
    :param rates: division of the customers' jobs into due work and excess.
    :param caps: what the customers' runs reserve, and the limits.
    :param shared: whether several customers share the cell: the order weighs costs, and
        workers are judged by their pace and their recent failures. Other cells keep the
        order and the judgement that they were measured with.
    :param open_steps: steps with tasks to place whose predecessors are complete.
    :param timed_steps: steps that wait for the due time of their occurrence.
    :param records: records to be committed, in order.
    :param decisions: decisions to be carried out, in order.
    :param recorded: number of records ever emitted.
    :param committed: number of records known to be durable.
    :param counts: number of decisions by dotted name since the owner last read them.
    """

    fence: int = 0
    queues_by_id: dict[QueueId, Queue] = field(default_factory=dict)
    queues_version: int = 0
    customers_by_id: dict[CustomerId, Customer] = field(default_factory=dict)
    rates: CustomerRates = field(default_factory=CustomerRates)
    caps: CustomerCaps = field(default_factory=CustomerCaps)
    jobs_by_id: dict[JobId, JobEntry] = field(default_factory=dict)
    workers_by_id: dict[WorkerId, WorkerEntry] = field(default_factory=dict)
    open_steps: dict[StepKey, StepEntry] = field(default_factory=dict)
    timed_steps: dict[StepKey, StepEntry] = field(default_factory=dict)
    records: list[LedgerRecord] = field(default_factory=list)
    decisions: list[Decision] = field(default_factory=list)
    recorded: int = 0
    committed: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    shared: bool = True
    health: FailureRates = field(init=False)

    def __post_init__(self):
        self.health = FailureRates(limit=self._quarantine_limit)

    def set_shared(self, shared: bool) -> None:
        """Choose the decisions of a cell with or without customers.

        What is known against the workers is forgotten if this changes, since what takes
        it back may not be in force any more.
        """
        if shared == self.shared:
            return
        self.shared = shared
        make = FailureRates if shared else FailingJobCounts
        self.health = make(limit=self._quarantine_limit)
        for entry in self.workers_by_id.values():
            entry.clear_judgement()

    def _quarantine_limit(self) -> int:
        return max(1, int(MAX_QUARANTINED_SHARE * len(self.workers_by_id)))

    def record(self, record: LedgerRecord) -> int:
        """Queue a record for the ledger.

        :returns: number of the record; it is durable once :attr:`committed` reaches it.
        """
        self.records.append(record)
        self.recorded += 1
        return self.recorded

    def emit(self, decision: Decision) -> None:
        """Queue a decision."""
        self.decisions.append(decision)

    def suspect(
        self, entry: WorkerEntry, reason: str, now_s: float, for_s: float
    ) -> None:
        """Use a worker only if no other fits, for some time.

        :param reason: reason in snake case.
        """
        if not self.shared:
            return
        if not entry.suspect:
            self.counts[f"health.suspect.{reason}"] += 1
            log_event(
                logger,
                "worker_suspect",
                worker=entry.worker_id,
                reason=reason,
                for_s=for_s,
                runs=len(entry.runs),
                report_age_s=now_s - entry.report_requested_s,
            )
        entry.suspect = True
        entry.suspect_until_s = max(entry.suspect_until_s, now_s + for_s)

    def set_status(self, job: JobEntry, status: JobStatus, reason: str) -> None:
        """Change a job's state and emit a :class:`JobChanged`."""
        if job.status is status:
            return
        job.status = status
        self.emit(JobChanged(job_id=job.job_id, status=status, reason=reason))

    def used_queues(self) -> set[QueueId]:
        """Return the queues that have unfinished jobs."""
        return {
            job.queue.queue_id
            for job in self.jobs_by_id.values()
            if not job.status.final
        }

    def step(self, key: StepKey) -> StepEntry | None:
        """Return a step, or ``None`` if the job or the step is unknown."""
        job = self.jobs_by_id.get(key.job_id)
        if job is None or not 0 <= key.occurrence < len(job.occurrences):
            return None
        steps = job.occurrences[key.occurrence].steps
        return steps[key.step] if 0 <= key.step < len(steps) else None

    def step_of(self, task: TaskKey) -> StepEntry | None:
        """Return a task's step, or ``None`` if it has no such task."""
        step = self.step(task.step_key)
        return step if step is not None and 0 <= task.index < step.step.count else None

    def drop_job(self, job_id: JobId) -> None:
        """Remove a job with its steps and health data."""
        job = self.jobs_by_id.pop(job_id, None)
        if job is None:
            return
        self.health.forget_job(job_id)
        for step in job.steps():
            self.open_steps.pop(step.key, None)
            self.timed_steps.pop(step.key, None)

    def usable_workers(
        self, pool_id: PoolId, now_s: float
    ) -> dict[WorkerId, WorkerEntry]:
        """Return the workers of a pool that may get new runs, by identifier."""
        accepts = self.health.accepts
        committed = self.committed
        return {
            worker_id: entry
            for worker_id, entry in self.workers_by_id.items()
            if entry.usable(now_s)
            and entry.worker.pool_id == pool_id
            and entry.use_record <= committed
            and accepts(worker_id, now_s)
        }

    def is_charged(self, worker_id: WorkerId, key: tuple) -> bool:
        """Whether a run placed on a worker still counts against a cap."""
        entry = self.workers_by_id.get(worker_id)
        return entry is not None and (
            key in entry.runs or key in entry.possible_charges_by_run
        )

    def run(self, worker_id: WorkerId, key: tuple) -> TaskRun | None:
        """Return a run at a worker, or ``None`` if the owner has no record of it."""
        entry = self.workers_by_id.get(worker_id)
        return None if entry is None else entry.runs.get(key)
