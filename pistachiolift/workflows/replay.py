"""Rebuilds the owner's state from the ledger, and compacts old records."""

import logging
from collections.abc import Iterable

from ..common import JobId, WorkerId, log_event
from .crashes import CrashTracker
from .lifecycle import Lifecycle
from .model import (
    CrashCause,
    EndKind,
    JobGraph,
    JobStatus,
    PoolId,
    QueueId,
    Size,
    TaskKey,
    TaskRunStatus,
    Worker,
    WorkerState,
)
from .records import (
    JobAccepted,
    JobCancelled,
    JobFinished,
    JobForgotten,
    LedgerRecord,
    QueueChanged,
    RunCrashed,
    RunPlaced,
    TaskFinished,
    WorkerInUse,
    WorkerReleased,
)
from .scheduler_state import SchedulerState
from .state import JobEntry, StepEntry, TaskRun, WorkerEntry

__all__ = ["Replay", "compact_records"]

logger = logging.getLogger(__name__)


class Replay:
    """Applies records in the order in which they were written.

    :param state: the state to rebuild; it holds only the workers of the directory.
    :param crashes: counts the crashes of workers.
    :param now_s: monotonic time.
    :param wall_ms: Unix time, in milliseconds.
    """

    def __init__(
        self,
        state: SchedulerState,
        lifecycle: Lifecycle,
        crashes: CrashTracker,
        *,
        now_s: float,
        wall_ms: int,
    ):
        self._state = state
        self._lifecycle = lifecycle
        self._crashes = crashes
        self._now_s = now_s
        self._wall_ms = wall_ms
        self._in_use: dict[WorkerId, WorkerInUse] = {}
        self._placed: dict[TaskKey, RunPlaced] = {}
        # All runs that count against a cap, also of jobs that have been forgotten.
        self._charged: dict[tuple[TaskKey, int], RunPlaced] = {}
        self._ended: set[tuple[TaskKey, int]] = set()
        self._policies_by_queue: dict[QueueId, QueueChanged] = {}
        # Queues with jobs that were accepted under another policy.
        self._changed: set[QueueId] = set()

    def _monotonic_s(self, unix_ms: int) -> float:
        """Convert the Unix time of a past event to monotonic time."""
        return self._now_s - max(0.0, (self._wall_ms - unix_ms) / 1000)

    def apply(self, record: LedgerRecord) -> None:
        """Apply one record."""
        match record:
            case JobAccepted():
                self._apply_accepted(record)
            case JobFinished():
                self._apply_finished_job(record)
            case JobCancelled():
                job = self._state.jobs_by_id.get(record.job_id)
                if job is not None:
                    self._lifecycle.finish_job(
                        job,
                        JobStatus.CANCELLED,
                        "replayed",
                        self._monotonic_s(record.at_ms),
                    )
            case TaskFinished():
                self._apply_task_end(record)
            case RunCrashed():
                step = self._state.step_of(record.task)
                if step is not None:
                    self._crashes.apply(step, record)
            case RunPlaced():
                # After compaction, the WorkerInUse record may follow this one, so the
                # run is added only after all records.
                known = self._placed.get(record.task)
                if known is None or known.run <= record.run:
                    self._placed[record.task] = record
                if record.charge is not None:
                    # Compaction repeats it behind a later end only if it is running.
                    self._ended.discard((record.task, record.run))
                    self._charged[record.task, record.run] = record
            case JobForgotten():
                self._state.drop_job(record.job_id)
            case QueueChanged():
                # Compaction may move the record of an older version behind a newer one.
                queue_id = record.queue.queue_id
                known = self._policies_by_queue.get(queue_id)
                if known is None or known.version <= record.version:
                    self._policies_by_queue[queue_id] = record
            case WorkerInUse():
                # Compaction may move the record of an older process behind a newer one.
                known = self._in_use.get(record.worker_id)
                if known is None or known.incarnation <= record.incarnation:
                    self._in_use[record.worker_id] = record
            case WorkerReleased():
                known = self._in_use.get(record.worker_id)
                if known is not None and known.incarnation == record.incarnation:
                    del self._in_use[record.worker_id]

    def _apply_accepted(self, record: JobAccepted) -> None:
        if record.job_id in self._state.jobs_by_id:
            return
        queue = self._state.queues_by_id.get(record.queue.queue_id, record.queue)
        if queue != record.queue:
            self._changed.add(queue.queue_id)
        self._lifecycle.add_job(
            record.job_id,
            record.graph,
            queue,
            received_s=self._monotonic_s(record.received_ms),
            received_ms=record.received_ms,
            customer_id=record.customer_id,
            excess=record.excess,
        )

    def _apply_finished_job(self, record: JobFinished) -> None:
        self._state.drop_job(record.job_id)
        job = self._lifecycle.add_job(
            record.job_id,
            JobGraph(payload="", steps=()),
            record.queue,
            received_s=self._monotonic_s(record.received_ms),
            received_ms=record.received_ms,
            customer_id=record.customer_id,
            excess=record.excess,
        )
        job.has_started = True
        job.status = record.status
        job.finished_s = self._monotonic_s(record.at_ms)

    def _apply_task_end(self, record: TaskFinished) -> None:
        self._ended.add((record.task, record.run))
        step = self._state.step_of(record.task)
        if step is None:
            return
        job = step.job
        job.has_started = True
        if job.status is JobStatus.PENDING:
            job.status = JobStatus.RUNNING
        self._lifecycle.apply_end(
            step,
            record.task.index,
            record.run,
            record.kind,
            record.checkpoint,
            self._monotonic_s(record.at_ms),
        )

    def apply_policies(self) -> None:
        """Apply the recorded policies that this owner does not know, after all records.

        These are the policies of removed queues, and those of a newer configuration
        than the one that this owner has read.
        """
        state = self._state
        for queue_id, record in self._policies_by_queue.items():
            if queue_id not in state.queues_by_id or (
                record.version > state.queues_version
            ):
                state.queues_by_id[queue_id] = record.queue
        for job in state.jobs_by_id.values():
            if not job.status.final:
                queue_id = job.queue.queue_id
                job.queue = state.queues_by_id.get(queue_id, job.queue)

    def record_policies(self) -> None:
        """Record the policies of this owner that differ from the recorded ones."""
        state = self._state
        candidates = self._changed | set(self._policies_by_queue)
        for queue_id in sorted(candidates & state.used_queues()):
            queue = state.queues_by_id[queue_id]
            known = self._policies_by_queue.get(queue_id)
            if known is None or known.queue != queue:
                state.record(QueueChanged(queue, state.queues_version))

    def give_up_failed_jobs(self) -> None:
        """Finish the jobs that have failed too often, after all records.

        The limit may have changed, and must not decide about a job that has finished
        under an earlier one.
        """
        for job in self._state.jobs_by_id.values():
            limit = self._failure_limit(job)
            for step in job.steps():
                for slot in step.failed_runs_by_index:
                    self._lifecycle.give_up_if_failed(
                        step, slot, self._now_s, limit=limit
                    )
                for index in list(step.crashed_runs_by_index):
                    self._crashes.give_up_if_crashed(step, index, self._now_s)

    def _failure_limit(self, job: JobEntry) -> int:
        """Return the number of failed runs with which a job is given up now.

        Two policies of the same version have no order. The higher limit decides then,
        because a verdict is final.
        """
        limit = job.queue.max_failures
        known = self._policies_by_queue.get(job.queue.queue_id)
        if known is not None and known.version == self._state.queues_version:
            limit = max(limit, known.queue.max_failures)
        return limit

    def add_runs(self, lease_end_s: float, replaced_lease_end_s: float) -> None:
        """Add the runs that may still be on their workers.

        :param lease_end_s: monotonic time at which leases of earlier owners end.
        :param replaced_lease_end_s: the same for a process that replaced the one to
            which they were sent.
        """
        for use in self._in_use.values():
            self._add_worker(use, lease_end_s)
        for placed in self._placed.values():
            self._add_run(placed, replaced_lease_end_s)
        for placed in self._charged.values():
            self._charge_run(placed, replaced_lease_end_s)

    def _charge_run(self, placed: RunPlaced, replaced_lease_end_s: float) -> None:
        """Count a run that was not added, unless its process is known to have ended.

        Its job may have finished, but its worker has not said that it has stopped.
        """
        worker = self._state.workers_by_id.get(placed.worker_id)
        if worker is None or worker.worker.incarnation < placed.incarnation:
            return
        if (placed.task, placed.run) in self._ended:
            return
        if worker.worker.incarnation > placed.incarnation:
            worker.lease_end_s = max(worker.lease_end_s, replaced_lease_end_s)
        worker.charge_possible_run((placed.task, placed.run), placed.charge)

    def _add_worker(self, use: WorkerInUse, lease_end_s: float) -> None:
        entry = self._state.workers_by_id.get(use.worker_id)
        if entry is not None and entry.worker.incarnation > use.incarnation:
            # The process in use was replaced and has ended.
            return
        if entry is None or entry.worker.incarnation < use.incarnation:
            # The process has left the directory, or its entry has not been read yet.
            gone = Worker(
                worker_id=use.worker_id,
                address=use.address,
                pool_id=PoolId(""),
                zone="",
                incarnation=use.incarnation,
                state=WorkerState.DRAINING,
                capacity=Size(),
            )
            entry = WorkerEntry(gone, self._state.caps, registered=False)
            self._state.workers_by_id[use.worker_id] = entry
        entry.recorded = True
        entry.lease_end_s = lease_end_s

    def _add_run(self, placed: RunPlaced, replaced_lease_end_s: float) -> None:
        task = placed.task
        step = self._state.step_of(task)
        if step is None or step.job.status.final:
            return
        last = step.last_run_by_index.get(task.index, 0)
        if task.index in step.finished or last >= placed.run:
            return
        worker = self._state.workers_by_id.get(placed.worker_id)
        if worker is None:
            self._log_ended(placed, "worker_released")
            return
        if worker.worker.incarnation < placed.incarnation:
            self._log_ended(placed, "newer_process_released")
            step.last_run_by_index[task.index] = placed.run
            return
        run = TaskRun(
            task=task,
            number=placed.run,
            worker_id=placed.worker_id,
            size=step.step.reserved,
            status=TaskRunStatus.STARTING,
            placed_s=self._now_s,
            sent=True,
            # The first report request raises the fencing token at the worker, so that
            # it rejects a delayed start of the earlier owner.
            answered_s=0.0,
            # The earlier owner may have had no answer to a start.
            unanswered_s=self._now_s,
            charge=step.charge,
        )
        if worker.worker.incarnation > placed.incarnation:
            # The older process has ended, but its replacement may have got the start.
            worker.lease_end_s = max(worker.lease_end_s, replaced_lease_end_s)
            self._count_crash(step, run)
            if step.job.status.final:
                return
        self._lifecycle.add_run(step, run, worker)

    @staticmethod
    def _log_ended(placed: RunPlaced, reason: str) -> None:
        """Log that a run has ended with its worker, which was released after it."""
        log_event(
            logger,
            "run_ended_before_takeover",
            job=placed.task.job_id,
            task=placed.task.position,
            run=placed.run,
            worker=placed.worker_id,
            incarnation=placed.incarnation,
            reason=reason,
        )

    def _count_crash(self, step: StepEntry, run: TaskRun) -> None:
        """Count the end of a run's process, unless the earlier owner has done so."""
        if run.number not in step.crashed_runs_by_index.get(run.task.index, {}):
            # How long the run had existed is unknown.
            self._crashes.record_run_crash(run, CrashCause.UNKNOWN, self._now_s)


def compact_records(
    state: SchedulerState,
    records: Iterable[LedgerRecord],
    *,
    now_s: float,
    wall_ms: int,
) -> list[LedgerRecord]:
    """Return current records that replace old ones.

    :param records: the old records.
    :param now_s: monotonic time.
    :param wall_ms: Unix time, in milliseconds.
    """
    jobs: dict[JobId, None] = {}
    workers: list[LedgerRecord] = []
    charged: dict[tuple[TaskKey, int], RunPlaced] = {}
    policies: dict[QueueId, LedgerRecord] = {}
    for record in records:
        match record:
            case JobAccepted() | JobFinished():
                jobs[record.job_id] = None
            case WorkerInUse():
                entry = state.workers_by_id.get(record.worker_id)
                if (
                    entry is not None
                    and entry.recorded
                    and entry.worker.incarnation == record.incarnation
                ):
                    workers.append(record)
            case RunPlaced():
                # The JobAccepted record may be in a newer value of the log.
                jobs[record.task.job_id] = None
                key = record.task, record.run
                if record.charge and state.is_charged(record.worker_id, key):
                    charged[key] = record
            case QueueChanged():
                queue_id = record.queue.queue_id
                if state.queues_by_id.get(queue_id) == record.queue:
                    policies[queue_id] = record
    used = state.used_queues() if policies else ()
    kept = workers + [policies[queue_id] for queue_id in policies if queue_id in used]
    for job_id in jobs:
        job = state.jobs_by_id.get(job_id)
        if job is None:
            continue
        if job.finished_s is not None:
            # Its last records may follow in the same write; they change nothing then.
            at_ms = wall_ms - int((now_s - job.finished_s) * 1000)
            kept.append(
                JobFinished(
                    job_id,
                    job.queue,
                    job.status,
                    job.received_ms,
                    at_ms,
                    job.customer_id,
                    job.excess,
                )
            )
        else:
            kept += _snapshot(state, job)
    # The snapshot of a job does not contain the runs that it needs no longer.
    known = {(r.task, r.run) for r in kept if isinstance(r, RunPlaced)}
    return kept + [record for key, record in charged.items() if key not in known]


def _snapshot(state: SchedulerState, job: JobEntry) -> list[LedgerRecord]:
    """Return records from which the state of an unfinished job can be rebuilt."""
    job_id = job.job_id
    received_ms = job.received_ms
    records: list[LedgerRecord] = [
        JobAccepted(
            job_id, job.queue, received_ms, job.graph, job.customer_id, job.excess
        )
    ]
    for step in job.steps():
        for index in sorted(step.finished):
            number = step.last_run_by_index.get(index, 0)
            task = step.key.task(index)
            records.append(TaskFinished(task, number, EndKind.DONE, "", received_ms))
            if step.step.gang:
                break
        for index, numbers in step.failed_runs_by_index.items():
            task = step.key.task(index)
            records += [
                TaskFinished(task, number, EndKind.FAILED, "", received_ms)
                for number in sorted(numbers)
            ]
        for index, crashes in step.crashed_runs_by_index.items():
            task = step.key.task(index)
            records += [
                RunCrashed(task, number, crashes[number]) for number in sorted(crashes)
            ]
        records += [
            RunPlaced(
                run.task,
                run.number,
                run.worker_id,
                state.workers_by_id[run.worker_id].worker.incarnation,
                run.charge,
            )
            for run in step.runs_by_index.values()
            if run.worker_id in state.workers_by_id
        ]
    return records
