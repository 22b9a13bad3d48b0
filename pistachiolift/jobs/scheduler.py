"""The job scheduler of one partition, called by its owner."""

import random
from collections.abc import Callable, Iterable, Mapping
from functools import wraps

from ..common import (
    CustomerId,
    Epoch,
    ErrorCode,
    IdempotencyMismatchError,
    InvalidInputError,
    JobId,
    Metrics,
    NoOwnerError,
    NotFoundError,
    PartitionId,
    QueueFullError,
    QuotaDemand,
    QuotaUse,
    StoreUnavailableError,
    WorkerId,
)
from .constants import (
    ENDED_JOB_RETENTION_S,
    LEASE_BOUND_S,
    LEDGER_INTERVAL_S,
    LEDGER_RETRY_CAP_S,
    MAX_JOBS,
    REPORT_INTERVAL_S,
)
from .decisions import (
    JobAccepted,
    JobDecision,
    JobEnded,
    JobRefused,
    LedgerEntry,
)
from .dispatch import Dispatcher
from .fleet import Fleet
from .lifecycle import TaskLifecycle
from .model import (
    CommandStatus,
    EndReason,
    JobSpec,
    JobState,
    PolicyName,
    Resources,
    TaskReport,
    TaskState,
    WorkerSpec,
    validate_spec,
)
from .policies import PlacementPolicy, make_policies
from .records import JobRecord
from .recovery import Recovery
from .state import SchedulerState
from .views import JobDetails, SchedulerStatus, describe, explain_job

__all__ = ["JobScheduler"]


def _event(method: Callable) -> Callable:
    """Place tasks and start a ledger write after an event; return all decisions."""

    @wraps(method)
    def handle(self: "JobScheduler", *args, **kwargs) -> list[JobDecision]:
        now_s = method(self, *args, **kwargs)
        self._dispatcher.run(now_s)
        write = self._state.ledger.start_write(now_s)
        if write is not None:
            self._state.emit(write)
        return self._state.drain()

    return handle


class JobScheduler:
    """Decides which task runs on which worker of one partition.

    Every event method returns a list of decisions in the order in which they must be
    carried out. All times are monotonic seconds of one clock. A worker gets tasks after
    its first report that follows :meth:`worker_joined`.

    :param rng: random numbers for jitter.
    :param policies: policies that replace the default ones, by name.
    :param ledger_interval_s: shortest time between two ledger writes.
    :param report_interval_s: time between two requests for a worker's report.
    """

    lifecycle_class = TaskLifecycle
    fleet_class = Fleet

    def __init__(
        self,
        *,
        partition_id: PartitionId,
        epoch: Epoch,
        rng: random.Random,
        metrics: Metrics | None = None,
        policies: Mapping[PolicyName, PlacementPolicy] | None = None,
        ledger_interval_s: float = LEDGER_INTERVAL_S,
        report_interval_s: float = REPORT_INTERVAL_S,
    ):
        self._state = SchedulerState(
            partition_id=partition_id,
            epoch=epoch,
            rng=rng,
            metrics=metrics or Metrics(),
            ledger_interval_s=ledger_interval_s,
            report_interval_s=report_interval_s,
        )
        self._lifecycle = self.lifecycle_class(self._state)
        self._fleet = self.fleet_class(self._state, self._lifecycle)
        self._recovery = Recovery(self._state, self._lifecycle, self._fleet)
        self._dispatcher = Dispatcher(
            self._state, self._lifecycle, {**make_policies(), **(policies or {})}
        )

    @property
    def epoch(self) -> Epoch:
        """Epoch of the commands."""
        return self._state.epoch

    def change_epoch(self, epoch: Epoch) -> None:
        """Use a new epoch in later commands; the owner remains the same."""
        self._state.epoch = epoch

    @_event
    def submit_job(self, spec: JobSpec, now_s: float):
        """Submit a job; ``JobAccepted`` follows once it is durable.

        :raises InvalidInputError: if a field is out of range or no worker of the
            partition could ever run it.
        :raises IdempotencyMismatchError: if another job has the identifier.
        :raises QueueFullError: if the partition holds too many jobs.
        :raises StoreUnavailableError: if the last ledger write failed.
        :raises NoOwnerError: if another owner has taken over.
        """
        validate_spec(spec)
        known = self._state.jobs_by_id.get(spec.job_id)
        if known is None:
            self._check_admission(spec, now_s)
            job = JobRecord(spec)
            self._state.jobs_by_id[spec.job_id] = job
            self._state.queue.add(job)
            self._state.ledger.change(job)
        elif known.spec != spec:
            raise IdempotencyMismatchError(
                f"job {spec.job_id!r} exists with another specification"
            )
        elif known.durable:
            self._announce(known, JobAccepted)
            if known.announced:
                self._announce_end(known)
        return now_s

    def _check_admission(self, spec: JobSpec, now_s: float) -> None:
        state = self._state
        if state.superseded:
            raise NoOwnerError(f"partition {state.partition_id} has another owner")
        if not state.ledger.available:
            raise StoreUnavailableError(
                "the last ledger write failed", retry_after_s=LEDGER_RETRY_CAP_S
            )
        if len(state.jobs_by_id) - len(state.ended_at_by_id) >= MAX_JOBS:
            raise QueueFullError(
                f"the partition has {MAX_JOBS} jobs waiting or running",
                retry_after_s=ENDED_JOB_RETENTION_S,
            )
        # After a start or takeover, not all workers have joined yet.
        if now_s - state.joining_since_s >= LEASE_BOUND_S:
            self._check_capacity(spec)

    def _check_capacity(self, spec: JobSpec) -> None:
        """Reject a job that would not fit even if all workers were empty."""
        needed = spec.tasks if spec.policy is PolicyName.GANG else 1
        workers = len(self._state.workers_by_id)
        room = self._state.room_when_empty(spec.resources)
        if workers and room < needed:
            raise InvalidInputError(
                f"{needed} tasks of {spec.resources} must run at the same time;"
                f" the {workers} empty workers would hold {room}"
            )

    @_event
    def cancel_job(self, customer_id: CustomerId, job_id: JobId, now_s: float):
        """Cancel a job; ``JobEnded`` follows once none of its tasks runs.

        :raises NotFoundError: if the customer has no such job.
        """
        job = self._state.jobs_by_id.get(job_id)
        if job is None or job.customer_id != customer_id:
            raise NotFoundError(f"customer {customer_id!r} has no job {job_id!r}")
        self._lifecycle.end_job(job, EndReason.CANCELLED, ErrorCode.CANCELLED, now_s)
        return now_s

    @_event
    def worker_joined(self, worker: WorkerSpec, now_s: float):
        """Add or update a worker of the directory, also one that returns."""
        if self._state.joining_since_s == float("inf"):
            self._state.joining_since_s = now_s
        self._fleet.join(worker, now_s)
        return now_s

    @_event
    def worker_leaving(self, worker_id: WorkerId, now_s: float):
        """Evict the tasks of a worker that is about to stop."""
        self._fleet.leave(worker_id, now_s)
        return now_s

    @_event
    def worker_lost(self, worker_id: WorkerId, now_s: float):
        """Mark a worker as lost; its tasks keep their room until its leases expire."""
        self._fleet.lose(worker_id, now_s)
        return now_s

    @_event
    def worker_report(
        self, worker_id: WorkerId, reports: Iterable[TaskReport], now_s: float
    ):
        """Apply a worker's report, which contains all its tasks of the partition."""
        self._fleet.report(worker_id, reports, now_s)
        return now_s

    @_event
    def command_result(
        self, command: JobDecision, status: CommandStatus | None, now_s: float
    ):
        """Apply a worker's answer to a command.

        :param command: the decision that was sent.
        :param status: ``None`` if no answer came.
        """
        self._fleet.command_result(command, status, now_s)
        return now_s

    @_event
    def ledger_written(self, batch_id: int, now_s: float):
        """Accept jobs, start tasks and announce ends of a batch that is durable."""
        batch = self._state.ledger.succeed(batch_id)
        if batch is None:
            return now_s
        for job in batch.jobs:
            if not job.durable:
                job.durable = True
                if job.state is JobState.SUBMITTED:
                    job.state = JobState.ACTIVE
                self._announce(job, JobAccepted)
        started: dict[WorkerId, None] = {}
        for task in batch.placed:
            if task.state is TaskState.RESERVED:
                self._lifecycle.start(task, now_s)
                if task.state is TaskState.STARTING:
                    started[task.worker_id] = None
        for worker_id in started:
            self._lifecycle.renew(self._state.workers_by_id[worker_id], now_s)
        for job in batch.ended:
            job.announced = True
            self._announce_end(job)
        return now_s

    @_event
    def ledger_failed(self, batch_id: int, now_s: float):
        """Schedule another write of a batch; the effect of this one is unknown.

        Jobs that no write has included yet are refused: they did not run, so the caller
        may submit them elsewhere.
        """
        state = self._state
        batch = state.ledger.fail(batch_id, now_s)
        if batch is None:
            return now_s
        state.metrics.count("jobs.ledger_failed")
        for job in list(state.ledger.changed_by_id.values()):
            if not job.written:
                self._refuse(job, now_s)
        return now_s

    def _refuse(self, job: JobRecord, now_s: float) -> None:
        state = self._state
        self._lifecycle.end_job(job, EndReason.NOT_STARTED, None, now_s)
        del state.ledger.changed_by_id[job.job_id]
        del state.ended_at_by_id[job.job_id]
        del state.jobs_by_id[job.job_id]
        state.metrics.count("jobs.refused.store_unavailable")
        state.emit(
            JobRefused(
                job_id=job.job_id,
                customer_id=job.customer_id,
                code=ErrorCode.STORE_UNAVAILABLE,
                retry_after_s=LEDGER_RETRY_CAP_S,
            )
        )

    @_event
    def restore(self, entries: Iterable[LedgerEntry], epoch: Epoch, now_s: float):
        """Restore jobs from the ledger; see :class:`Recovery`."""
        self._state.epoch = epoch
        self._state.joining_since_s = now_s
        for entry in entries:
            self._recovery.restore_job(entry, now_s)
        return now_s

    def set_quota(
        self, customer_id: CustomerId, share: Resources | None, now_s: float
    ) -> list[JobDecision]:
        """Set this owner's share of a customer's quota; ``None`` means no limit."""
        self._state.quota.set_share(customer_id, share)
        self._state.queue.wake_customer(customer_id, MAX_JOBS)
        return self.tick(now_s)

    def quota_uses(self) -> dict[CustomerId, QuotaUse[Resources]]:
        """Return the reserved and awaited resources of each customer with jobs."""
        uses = {
            customer_id: QuotaUse(used)
            for customer_id, used in self._state.quota.used_by_customer().items()
        }
        queued = [j for j in self._state.jobs_by_id.values() if j.queue_key is not None]
        for job in sorted(queued, key=lambda job: job.queue_key):
            use = uses.setdefault(job.customer_id, QuotaUse(Resources()))
            tasks, size = job.placeable, job.spec.resources
            unit, count = (size.times(tasks), 1) if job.is_gang else (size, tasks)
            if tasks:
                use.demand.append(QuotaDemand(unit, count))
        return uses

    @_event
    def tick(self, now_s: float):
        """Run due timers and forget old jobs; see :meth:`next_wakeup_s`."""
        state = self._state
        state.timers.run(now_s)
        while state.ended_at_by_id:
            job_id, ended_s = next(iter(state.ended_at_by_id.items()))
            if (
                now_s - ended_s < ENDED_JOB_RETENTION_S
                or not state.jobs_by_id[job_id].announced
            ):
                break
            del state.ended_at_by_id[job_id]
            del state.jobs_by_id[job_id]
            state.ledger.remove(job_id)
        return now_s

    def next_wakeup_s(self) -> float | None:
        """Return when :meth:`tick` is due; a past time means immediately."""
        if self._state.queue.pending or self._state.roomy_workers_by_id:
            return 0.0
        due = (self._state.timers.next_due_s(), self._state.ledger.due_s())
        return min((due_s for due_s in due if due_s is not None), default=None)

    def knows(self, job_id: JobId) -> bool:
        """Whether a job of this identifier is active or retained after its end."""
        return job_id in self._state.jobs_by_id

    def explain(self, job_id: JobId) -> JobDetails:
        """Return the details of a job.

        :raises NotFoundError: if the job is unknown.
        """
        return explain_job(self._state, job_id)

    def status(self) -> SchedulerStatus:
        """Return statistics of the partition."""
        return describe(self._state)

    def _announce(self, job: JobRecord, kind: type[JobAccepted]) -> None:
        self._state.emit(kind(job_id=job.job_id, customer_id=job.customer_id))

    def _announce_end(self, job: JobRecord) -> None:
        self._state.emit(
            JobEnded(
                job_id=job.job_id,
                customer_id=job.customer_id,
                reason=job.end_reason,
                code=job.end_code,
                tasks_done=job.done,
            )
        )
