"""Resources, job specifications, states and worker reports."""

import re
from enum import Enum

import msgspec

from ..common import (
    CustomerId,
    InvalidInputError,
    JobId,
    RackId,
    ResourceAmounts,
    TaskId,
    WorkerId,
)
from .constants import (
    MAX_ACCELERATORS,
    MAX_ATTEMPTS,
    MAX_CPU_MILLI,
    MAX_ID_LENGTH,
    MAX_MEMORY_MB,
    MAX_PAYLOAD_LENGTH,
    MAX_PRIORITY,
    MAX_TASKS,
)

__all__ = [
    "CommandStatus",
    "EndReason",
    "JobSpec",
    "JobState",
    "PolicyName",
    "ReportedState",
    "Resources",
    "TaskReport",
    "TaskState",
    "WorkerSpec",
    "WorkerStatus",
    "make_task_id",
    "parse_task_id",
    "validate_spec",
]


# Job identifiers become part of task identifiers and of keys of the store.
_JOB_ID = re.compile(r"[A-Za-z0-9._:-]+")


class PolicyName(Enum):
    """Placement policy of a job."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class JobState(Enum):
    """State of a job at its owner."""

    SUBMITTED = "submitted"
    ACTIVE = "active"
    ENDING = "ending"
    ENDED = "ended"


class TaskState(Enum):
    """State of one attempt of a task at the partition's owner."""

    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    ENDED = "ended"


class ReportedState(Enum):
    """State of a task as its worker reports it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"


class CommandStatus(Enum):
    """A worker's answer to a command."""

    ACCEPTED = "accepted"
    STALE_EPOCH = "stale_epoch"
    TOO_LATE = "too_late"
    NO_CAPACITY = "no_capacity"
    UNKNOWN_TASK = "unknown_task"


class WorkerStatus(Enum):
    """State of a worker at the owner.

    ``JOINING`` and ``SILENT`` workers are polled for reports but get neither tasks nor
    lease renewals.
    """

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    LOST = "lost"


class EndReason(Enum):
    """Why a job ended, or why an attempt of a task ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    LOST = "lost"
    NOT_STARTED = "not_started"
    PREEMPTED = "preempted"
    DRAINED = "drained"
    RUN_LIMIT = "run_limit"
    OVERUSE = "overuse"
    GANG_RESTART = "gang_restart"


class Resources(ResourceAmounts, frozen=True, array_like=True):
    """Processors in thousandths of a core, memory in megabytes, accelerators."""


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Specification of a job as submitted by a customer.

    :param tasks: number of equal tasks.
    :param resources: declared size of one task.
    :param priority: 0 to 9; a larger number is more urgent.
    :param run_s: declared run time in seconds, passed to the worker; 0 for a service.
    :param max_run_s: run time limit of one attempt in seconds; 0 for none.
    :param max_attempts: number of failed attempts of a task after which the job ends.
    :param checkpointable: whether the tasks can save a checkpoint before a stop.
    :param payload: description of the program, passed to the worker unchanged.
    """

    job_id: JobId
    customer_id: CustomerId
    policy: PolicyName
    tasks: int
    resources: Resources
    priority: int = 0
    run_s: float = 0.0
    max_run_s: float = 0.0
    max_attempts: int = 3
    checkpointable: bool = False
    payload: str = ""


class WorkerSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Directory entry of a worker."""

    worker_id: WorkerId
    rack_id: RackId
    capacity: Resources


class TaskReport(msgspec.Struct, frozen=True, kw_only=True):
    """State and usage of one task as its worker reports it.

    :param checkpoint_s: run time that the last checkpoint covers, in seconds.
    """

    task_id: TaskId
    job_id: JobId
    state: ReportedState
    resources: Resources = Resources()
    used_cpu_milli: int = 0
    used_memory_mb: int = 0
    run_s: float = 0.0
    checkpoint_s: float = 0.0


def make_task_id(job_id: JobId, index: int, attempt: int) -> TaskId:
    """Return the identifier of one attempt of a task.

    It contains the attempt number, so that a late report of an earlier attempt is not
    mistaken for one of the current attempt.
    """
    return TaskId(f"{job_id}.{index}.{attempt}")


def parse_task_id(task_id: TaskId) -> tuple[JobId, int, int] | None:
    """Return job, index and attempt, or ``None`` if the identifier is malformed."""
    parts = task_id.rsplit(".", 2)
    if len(parts) != 3 or not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return JobId(parts[0]), int(parts[1]), int(parts[2])


def _check_range(name: str, value: object, low: float, high: float) -> None:
    kinds = (int, float) if isinstance(high, float) else int
    is_number = isinstance(value, kinds) and not isinstance(value, bool)
    if not is_number or not low <= value <= high:
        raise InvalidInputError(f"{name} is {value!r}; allowed are {low} to {high}")


def validate_spec(spec: JobSpec) -> None:
    """Check every field against its allowed range.

    :raises InvalidInputError: with the field, its value and the allowed range.
    """
    for name, text in (("job_id", spec.job_id), ("customer_id", spec.customer_id)):
        if not isinstance(text, str) or not 1 <= len(text) <= MAX_ID_LENGTH:
            raise InvalidInputError(
                f"{name} is {text!r}; allowed are 1 to {MAX_ID_LENGTH} characters"
            )
    if not _JOB_ID.fullmatch(spec.job_id):
        raise InvalidInputError(
            f"job_id is {spec.job_id!r}; allowed are letters, digits and . _ : -"
        )
    if not isinstance(spec.policy, PolicyName):
        allowed = ", ".join(name.value for name in PolicyName)
        raise InvalidInputError(f"policy is {spec.policy!r}; allowed are {allowed}")
    size = spec.resources
    _check_range("tasks", spec.tasks, 1, MAX_TASKS)
    _check_range("cpu_milli", size.cpu_milli, 1, MAX_CPU_MILLI)
    _check_range("memory_mb", size.memory_mb, 1, MAX_MEMORY_MB)
    _check_range("accelerators", size.accelerators, 0, MAX_ACCELERATORS)
    _check_range("priority", spec.priority, 0, MAX_PRIORITY)
    _check_range("run_s", spec.run_s, 0, float("1e9"))
    _check_range("max_run_s", spec.max_run_s, 0, float("1e9"))
    _check_range("max_attempts", spec.max_attempts, 1, MAX_ATTEMPTS)
    if len(spec.payload) > MAX_PAYLOAD_LENGTH:
        raise InvalidInputError(
            f"payload has {len(spec.payload)} characters;"
            f" allowed are 0 to {MAX_PAYLOAD_LENGTH}"
        )
