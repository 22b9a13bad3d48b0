"""State of jobs, tasks and the partition, as shown to operators."""

from collections import Counter

import msgspec

from ..common import CustomerId, JobId, WaitReason, WorkerId
from .model import JobStatus, TaskRunStatus, WorkerState
from .placement import room_for_step, with_required_label
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = [
    "JobDetails",
    "PartitionStatistics",
    "TaskDetails",
    "describe_job",
    "describe_partition",
]

# Limit of the tasks that the details of a job list individually.
MAX_LISTED_TASKS = 20


class TaskDetails(msgspec.Struct, frozen=True, kw_only=True):
    """A task that has not succeeded.

    :param run: number of its last run, 0 before the first.
    :param failures: number of failed runs.
    :param state: state of its run, or ``None`` if it has none.
    :param waits_for: what the task waits for, or ``None`` if it is running.
    """

    occurrence: int
    step: int
    index: int
    run: int
    failures: int
    state: TaskRunStatus | None = None
    worker_id: WorkerId | None = None
    waits_for: WaitReason | None = None


class JobDetails(msgspec.Struct, frozen=True, kw_only=True):
    """State of a job at its owner, with task counts over all steps.

    :param customer_id: the customer whose job it is; empty for none.
    :param durable: whether its acceptance is durable; no task starts before.
    :param listed_tasks: the first tasks that have not succeeded.
    """

    job_id: JobId
    queue_id: str
    status: JobStatus
    tasks: int
    running: int
    done: int
    retrying: int
    not_started: int
    durable: bool
    customer_id: CustomerId = CustomerId("")
    listed_tasks: tuple[TaskDetails, ...] = ()


class PartitionStatistics(msgspec.Struct, frozen=True, kw_only=True):
    """Statistics of a partition.

    :param pending_by_queue: number of jobs without a started task.
    :param workers_by_state: number of workers by their state at the owner.
    """

    fence: int
    jobs: int
    open_jobs: int
    pending_by_queue: dict[str, int]
    tasks_placed: int
    workers_by_state: dict[str, int]
    quarantined: tuple[WorkerId, ...]


def describe_job(
    state: SchedulerState, job_id: JobId, *, now_s: float, wall_ms: int
) -> JobDetails | None:
    """Return the details of a job, or ``None`` if it is unknown.

    :param now_s: monotonic time.
    :param wall_ms: Unix time, in milliseconds.
    """
    job = state.jobs_by_id.get(job_id)
    if job is None:
        return None
    steps = job.steps()
    waiting = sum(len(step.waiting) for step in steps)
    retrying = sum(i in step.last_run_by_index for step in steps for i in step.waiting)
    unfinished: list[TaskDetails] = []
    for step in steps:
        if not job.status.final and len(unfinished) < MAX_LISTED_TASKS:
            unfinished += _describe_tasks(state, step, now_s, wall_ms)
    return JobDetails(
        job_id=job_id,
        queue_id=job.queue.queue_id,
        status=job.status,
        tasks=sum(step.step.count for step in steps),
        running=sum(len(step.runs_by_index) for step in steps),
        done=sum(len(step.finished) for step in steps),
        retrying=retrying,
        not_started=waiting - retrying,
        durable=job.accepted_record <= state.committed,
        customer_id=job.customer_id,
        listed_tasks=tuple(unfinished[:MAX_LISTED_TASKS]),
    )


def _describe_tasks(
    state: SchedulerState, step: StepEntry, now_s: float, wall_ms: int
) -> list[TaskDetails]:
    open_tasks = [i for i in range(step.step.count) if i not in step.finished]
    details = []
    reason: WaitReason | None = None
    for index in open_tasks[:MAX_LISTED_TASKS]:
        run = step.runs_by_index.get(index)
        if run is None and reason is None:
            # All tasks of a step without a run wait for the same reason.
            reason = _wait_of_step(state, step, now_s, wall_ms)
        details.append(
            TaskDetails(
                occurrence=step.key.occurrence,
                step=step.key.step,
                index=index,
                run=step.last_run_by_index.get(index, 0),
                failures=len(
                    step.failed_runs_by_index.get(step.failure_slot(index), ())
                ),
                state=None if run is None else run.status,
                worker_id=None if run is None else run.worker_id,
                waits_for=reason if run is None else _wait_of_run(state, run),
            )
        )
    return details


def _wait_of_run(state: SchedulerState, run: TaskRun) -> WaitReason | None:
    worker = state.workers_by_id.get(run.worker_id)
    if worker is not None and not worker.reachable:
        return WaitReason.WORKER_SILENT
    if run.status is TaskRunStatus.STARTING:
        return WaitReason.START
    return WaitReason.STOP if run.status is TaskRunStatus.STOPPING else None


def _wait_of_step(
    state: SchedulerState, step: StepEntry, now_s: float, wall_ms: int
) -> WaitReason:
    if step.job.accepted_record > state.committed:
        return WaitReason.LEDGER
    if step.key in state.timed_steps:
        return WaitReason.DUE_TIME
    if step.key not in state.open_steps:
        return WaitReason.EARLIER_STEPS
    if step.not_before_s > now_s:
        return WaitReason.RETRY_DELAY
    needed = step.step.count if step.step.gang else 1
    if not state.caps.allows(step.job.customer_id, step.step.size.times(needed)):
        return WaitReason.QUOTA
    pool_id, size = step.job.queue.pool_id, step.step.reserved
    usable = list(state.usable_workers(pool_id, now_s).values())
    labelled = with_required_label(step, usable)
    if not labelled:
        return WaitReason.NO_WORKERS
    if not any(each.worker.capacity.holds(size) for each in labelled):
        return WaitReason.NEVER_FITS
    if sum(room_for_step(step, each) for each in labelled) < needed:
        return WaitReason.NO_ROOM
    if step.job.queue.advice is not None and step.tickets_end_s <= now_s:
        return WaitReason.ADVICE
    return WaitReason.TURN


def describe_partition(state: SchedulerState) -> PartitionStatistics:
    """Return the statistics of a partition."""
    jobs = state.jobs_by_id.values()
    workers = state.workers_by_id.values()
    pending = Counter(
        job.queue.queue_id for job in jobs if job.status is JobStatus.PENDING
    )
    return PartitionStatistics(
        fence=state.fence,
        jobs=len(jobs),
        open_jobs=sum(not job.status.final for job in jobs),
        pending_by_queue=dict(pending),
        tasks_placed=sum(len(worker.runs) for worker in workers),
        workers_by_state=dict(Counter(map(_worker_state, workers))),
        quarantined=tuple(
            worker_id
            for worker_id in sorted(state.workers_by_id)
            if state.health.is_quarantined(worker_id)
        ),
    )


def _worker_state(entry: WorkerEntry) -> str:
    if not entry.registered:
        return "gone"
    if not entry.reachable:
        return "unreachable"
    if entry.worker.state is WorkerState.DRAINING:
        return "draining"
    return "ready" if entry.has_reported else "not_listed"
