"""State of jobs and the partition, as shown to operators."""

from collections import Counter
from collections.abc import Iterator
from itertools import chain, islice

import msgspec

from ..common import (
    CustomerId,
    Epoch,
    ErrorCode,
    JobId,
    NotFoundError,
    PartitionId,
    WaitReason,
    WorkerId,
)
from .model import EndReason, JobState, Resources, TaskState, WorkerStatus
from .policies import NoPlacementReason
from .records import JobRecord
from .state import SchedulerState

__all__ = [
    "JobDetails",
    "SchedulerStatus",
    "TaskDetails",
    "describe",
    "explain_job",
]

# Limits the size of the answer for a job with many tasks; its counts cover all tasks.
MAX_LISTED_TASKS = 100


class TaskDetails(msgspec.Struct, frozen=True, kw_only=True):
    """State of a task that is not done; without a state, it is not placed.

    :param worker_id: worker on which it is placed.
    :param waits_for: reason why it does not run; ``None`` if it runs.
    """

    index: int
    attempt: int
    failures: int
    state: TaskState | None = None
    worker_id: WorkerId | None = None
    waits_for: WaitReason | None = None


class JobDetails(msgspec.Struct, frozen=True, kw_only=True):
    """State of a job, and the reasons why its waiting tasks do not run.

    :param listed_tasks: the first tasks that are not done: first those that wait for
        another attempt, then placed ones, then those never placed.
    """

    job_id: JobId
    customer_id: CustomerId
    state: JobState
    tasks: int
    running: int
    done: int
    retrying: int
    not_started: int
    durable: bool
    blocked_by: NoPlacementReason | None
    making_room: bool
    end_reason: EndReason | None
    end_code: ErrorCode | None
    quota_share: Resources | None
    quota_used: Resources
    listed_tasks: list[TaskDetails]


class SchedulerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Statistics of one partition."""

    partition_id: PartitionId
    epoch: Epoch
    jobs: int
    jobs_waiting: int
    tasks_placed: int
    workers_by_status: dict[WorkerStatus, int]
    quarantined: list[WorkerId]
    foreign_tasks: int
    ledger_available: bool
    superseded: bool


def explain_job(state: SchedulerState, job_id: JobId) -> JobDetails:
    """Return the details of a job.

    :raises NotFoundError: if the job is unknown.
    """
    job = state.jobs_by_id.get(job_id)
    if job is None:
        raise NotFoundError(f"job {job_id!r} is unknown")
    ending = job.state in (JobState.ENDING, JobState.ENDED)
    return JobDetails(
        job_id=job_id,
        customer_id=job.customer_id,
        state=job.state,
        tasks=job.spec.tasks,
        running=len(job.running_by_index),
        done=job.done,
        retrying=len(job.waiting_by_index),
        not_started=0 if ending else job.spec.tasks - job.next_index,
        durable=job.durable,
        blocked_by=_blocked_by(state, job),
        making_room=job_id in state.held_ids_by_job,
        end_reason=job.end_reason,
        end_code=job.end_code,
        quota_share=state.quota.share(job.customer_id),
        quota_used=state.quota.used(job.customer_id),
        listed_tasks=list(islice(_tasks(state, job), MAX_LISTED_TASKS)),
    )


def _tasks(state: SchedulerState, job: JobRecord) -> Iterator[TaskDetails]:
    """Describe the tasks of a job that are not done."""
    return chain(_retrying(state, job), _placed(state, job), _unplaced(state, job))


def _retrying(state: SchedulerState, job: JobRecord) -> Iterator[TaskDetails]:
    ready = set(islice(job.ready, MAX_LISTED_TASKS))
    reason = _reason_of_waiting(state, job)
    for waiting in job.waiting_by_index.values():
        yield TaskDetails(
            index=waiting.index,
            attempt=waiting.attempt,
            failures=waiting.failures,
            waits_for=reason if waiting.index in ready else WaitReason.RETRY_DELAY,
        )


def _placed(state: SchedulerState, job: JobRecord) -> Iterator[TaskDetails]:
    for task in job.running_by_index.values():
        worker = state.workers_by_id[task.worker_id]
        waits_for = _REASON_BY_STATE.get(task.state)
        if waits_for is not WaitReason.LEDGER and not worker.reachable:
            waits_for = WaitReason.WORKER_SILENT
        yield TaskDetails(
            index=task.index,
            attempt=task.attempt,
            failures=task.failures,
            state=task.state,
            worker_id=task.worker_id,
            waits_for=waits_for,
        )


def _unplaced(state: SchedulerState, job: JobRecord) -> Iterator[TaskDetails]:
    if job.state in (JobState.ENDING, JobState.ENDED):
        return
    reason = _reason_of_waiting(state, job)
    for index in range(job.next_index, job.spec.tasks):
        yield TaskDetails(
            index=index, attempt=job.round, failures=job.failures, waits_for=reason
        )


_REASON_BY_STATE = {
    TaskState.RESERVED: WaitReason.LEDGER,
    TaskState.STARTING: WaitReason.START,
    TaskState.STOPPING: WaitReason.STOP,
}


def _reason_of_waiting(state: SchedulerState, job: JobRecord) -> WaitReason:
    """Return why the placeable tasks of a job are not placed."""
    if job.gang_restarting or job.gang_delayed:
        return WaitReason.GANG_RESTART
    if not state.index.workers_by_id:
        return WaitReason.NO_WORKERS
    blocked_by = _blocked_by(state, job)
    return WaitReason.TURN if blocked_by is None else WaitReason(blocked_by.value)


def _blocked_by(state: SchedulerState, job: JobRecord) -> NoPlacementReason | None:
    """Return why a job waits; ``NEVER_FITS`` if empty workers could not hold it."""
    if not job.placeable or job.blocked_by is not NoPlacementReason.NO_ROOM:
        return job.blocked_by if job.placeable else None
    needed = job.spec.tasks if job.is_gang else 1
    if state.room_when_empty(job.spec.resources) < needed:
        return NoPlacementReason.NEVER_FITS
    return NoPlacementReason.NO_ROOM


def describe(state: SchedulerState) -> SchedulerStatus:
    """Return statistics of the partition."""
    workers = state.workers_by_id.values()
    return SchedulerStatus(
        partition_id=state.partition_id,
        epoch=state.epoch,
        jobs=len(state.jobs_by_id),
        jobs_waiting=len(state.queue),
        tasks_placed=state.running_tasks,
        workers_by_status=dict(Counter(worker.status for worker in workers)),
        quarantined=[
            worker_id
            for worker_id in state.workers_by_id
            if state.health.is_quarantined(worker_id)
        ],
        foreign_tasks=sum(len(worker.unexpected_by_id) for worker in workers),
        ledger_available=state.ledger.available,
        superseded=state.superseded,
    )
