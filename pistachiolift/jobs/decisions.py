"""Decisions of the job scheduler, which its caller carries out."""

import msgspec

from ..common import CustomerId, ErrorCode, JobId, TaskId, WorkerId
from .model import EndReason, JobSpec, Resources

__all__ = [
    "CheckpointTask",
    "JobAccepted",
    "JobDecision",
    "JobEnded",
    "JobRefused",
    "LedgerEntry",
    "LedgerWrite",
    "RenewLease",
    "RunningEntry",
    "StartTask",
    "StopTask",
    "TaskDecision",
    "ThrottleTask",
    "WaitingEntry",
]


class RunningEntry(msgspec.Struct, frozen=True, array_like=True):
    """Ledger entry of a placed attempt of a task."""

    index: int
    attempt: int
    failures: int
    worker_id: WorkerId


class WaitingEntry(msgspec.Struct, frozen=True, array_like=True):
    """Ledger entry of a task that waits for another attempt."""

    index: int
    attempt: int
    failures: int


class LedgerEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Durable state of one job.

    Every index below ``next_index`` that is neither running nor waiting is done, so
    the size does not grow with the number of finished tasks.

    :param next_index: lowest index that was not placed in this round.
    :param round: number of times that a gang was started; first attempt number.
    :param end_reason: set when the job has ended or its tasks are being stopped.
    :param ended: whether the job has ended; the entry then only prevents a second run.
    """

    spec: JobSpec
    next_index: int = 0
    round: int = 1
    failures: int = 0
    done: int = 0
    running: tuple[RunningEntry, ...] = ()
    waiting: tuple[WaitingEntry, ...] = ()
    end_reason: EndReason | None = None
    end_code: ErrorCode | None = None
    ended: bool = False


class JobDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all decisions."""


class TaskDecision(JobDecision, frozen=True, kw_only=True):
    """Base class of commands about one task.

    :param issued_s: monotonic time of the decision; the command must not reach the
        worker later than ``issued_s`` plus the start-before time.
    """

    worker_id: WorkerId
    task_id: TaskId
    issued_s: float


class StartTask(TaskDecision, frozen=True, kw_only=True):
    """Start a task whose placement is durable.

    A ``RenewLease`` for the worker follows in the same list and must be sent in the
    same batch, so that the task starts with a lease.
    """

    job_id: JobId
    resources: Resources
    run_s: float
    payload: str


class StopTask(TaskDecision, frozen=True, kw_only=True):
    """Stop a task; repeated until the worker confirms the end."""

    reason: EndReason


class CheckpointTask(TaskDecision, frozen=True, kw_only=True):
    """Save a task's progress before it is stopped."""


class ThrottleTask(TaskDecision, frozen=True, kw_only=True):
    """Limit a task to its declared size."""


class RenewLease(JobDecision, frozen=True, kw_only=True):
    """Renew all leases at a worker and request its report.

    :param lease_s: duration of the new leases; 0 only requests the report.
    """

    worker_id: WorkerId
    issued_s: float
    lease_s: float


class JobAccepted(JobDecision, frozen=True, kw_only=True):
    """The job is durable and may be reported as accepted."""

    job_id: JobId
    customer_id: CustomerId


class JobRefused(JobDecision, frozen=True, kw_only=True):
    """A submitted job was dropped before a ledger write included it; it never ran."""

    job_id: JobId
    customer_id: CustomerId
    code: ErrorCode
    retry_after_s: float


class JobEnded(JobDecision, frozen=True, kw_only=True):
    """The end of the job is durable.

    :param code: ``None`` when all tasks succeeded.
    """

    job_id: JobId
    customer_id: CustomerId
    reason: EndReason
    code: ErrorCode | None
    tasks_done: int


class LedgerWrite(JobDecision, frozen=True, kw_only=True):
    """Ledger entries to write by job; ``None`` removes the entry."""

    batch_id: int
    entries: dict[JobId, LedgerEntry | None]
