"""Queues, job graphs, keys and workers."""

from enum import Enum
from typing import NewType

import msgspec

from ..common import CustomerId, JobId, RackId, ResourceAmounts, WorkerId

__all__ = [
    "AdvicePolicy",
    "CrashCause",
    "Customer",
    "EndKind",
    "JobGraph",
    "JobStatus",
    "PoolId",
    "Queue",
    "QueueId",
    "RunCharge",
    "Size",
    "Step",
    "StepKey",
    "TaskKey",
    "TaskRunStatus",
    "Worker",
    "WorkerState",
]

QueueId = NewType("QueueId", str)
PoolId = NewType("PoolId", str)


class JobStatus(Enum):
    """State of a job as reported to callers."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state no longer changes."""
        return self not in (JobStatus.PENDING, JobStatus.RUNNING)


class TaskRunStatus(Enum):
    """State of one run of a task."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"
    MEMBER_ENDED = "member_ended"
    GANG_INCOMPLETE = "gang_incomplete"


class CrashCause(Enum):
    """What is known of a run as the cause of the crash of its worker."""

    # Another process has taken the worker's place.
    SUSPECTED = "suspected"
    # The worker may be cut off, or the run may not have been there.
    UNKNOWN = "unknown"
    # The worker was only unreachable, or a later run has survived its start.
    NO_CRASH = "no_crash"


class WorkerState(Enum):
    """State of a worker according to its directory entry."""

    READY = "ready"
    DRAINING = "draining"


class Size(ResourceAmounts, frozen=True, kw_only=True, omit_defaults=True):
    """An amount of a worker's resources."""

    def holds(self, other: "Size") -> bool:
        """Whether another amount fits into this one."""
        return other.fits_in(self)


class AdvicePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of a call to the placement adviser and lifetime of its tickets.

    :param decide_s: fixed duration of a call, in seconds.
    :param each_s: additional duration for each worker included, in seconds.
    :param valid_s: lifetime of a ticket, in seconds.
    """

    decide_s: float
    each_s: float
    valid_s: float


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer with its share of the workers.

    :param weight: jobs per second that are the customer's due; relative to those of the
        others, its share of the workers beyond that.
    :param cap: limit of what its running tasks reserve on all workers; a component of
        0 has no limit.
    """

    customer_id: CustomerId
    weight: float = 1.0
    cap: Size = Size()


class RunCharge(msgspec.Struct, frozen=True, array_like=True):
    """What a run counts against the cap of its customer.

    :param size: resources of the task; a filling task counts with its processors.
    :param long_running: whether the run ends only when its job is cancelled.
    """

    customer_id: CustomerId
    size: Size
    long_running: bool = False


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of job with its scheduling policy.

    :param priority: 0 is the most urgent.
    :param max_failures: number of failed runs of a task after which its job fails.
    :param stretch: factor of the critical path in the latency objective of a job.
    :param target_s: constant part of the latency objective, in seconds.
    :param advice: set if workers must be approved for each step.
    :param public: whether callers need no key.
    """

    queue_id: QueueId
    host: str
    prefix: str
    pool_id: PoolId
    priority: int = 0
    max_failures: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    advice: AdvicePolicy | None = None
    public: bool = False


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of a job that have the same size and become ready at the same time.

    :param count: number of tasks.
    :param size: resources of each task.
    :param estimate_s: declared run time of a task, sometimes wrong by a large factor.
    :param after: indices of the earlier steps that must succeed first.
    :param checkpoints: whether a run can resume from a saved position.
    :param gang: whether the tasks make progress only if all of them run.
    :param same_rack: whether a gang is slower if it spans racks.
    :param required_label: label that the worker must have.
    :param data_rack: rack on which the tasks are fastest.
    :param max_per_worker: limit of tasks of the step on one worker; 0 for no limit.
    :param copies_allowed: whether copies of a task may run in parallel.
    :param long_running: whether the tasks run until the job is cancelled.
    :param image: name of the program that the tasks run.
    :param tail_target_s: limit of a serving task's tail latency; 0 for none.
    :param fills: whether the tasks use only processor time left over by other tasks.
    :param may_miss: number of tasks of a long-running step that the system may take
        down at the same time.
    """

    count: int
    size: Size
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: RackId = RackId("")
    max_per_worker: int = 0
    copies_allowed: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_s: float = 0.0
    fills: bool = False
    may_miss: int = 0

    @property
    def reserved(self) -> Size:
        """Resources that a task reserves on its worker; no processors if it fills."""
        if not self.fills:
            return self.size
        return Size(memory_mb=self.size.memory_mb, accelerators=self.size.accelerators)


class JobGraph(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as submitted: steps with dependencies, run once or on a schedule.

    :param payload: opaque text passed to every task.
    :param occurrences: number of scheduled runs; 0 to run once, immediately.
    :param first_due_ms: Unix time of the first occurrence, in milliseconds.
    :param interval_ms: time between occurrences, in milliseconds.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


class StepKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a step of one occurrence of a job."""

    job_id: JobId
    occurrence: int
    step: int

    def task(self, index: int) -> "TaskKey":
        """Return the key of one of the step's tasks."""
        return TaskKey(self.job_id, self.occurrence, self.step, index)


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a task."""

    job_id: JobId
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """The task's step."""
        return StepKey(self.job_id, self.occurrence, self.step)

    @property
    def position(self) -> str:
        """Occurrence, step and index of the task, for log lines."""
        return f"{self.occurrence}.{self.step}.{self.index}"


class Worker(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's directory entry.

    :param address: IP address and port.
    :param incarnation: start time of the process, Unix milliseconds.
    :param labels: labels that steps may require.
    """

    worker_id: WorkerId
    address: str
    pool_id: PoolId
    zone: str
    incarnation: int
    state: WorkerState
    capacity: Size
    labels: tuple[str, ...] = ()
    rack: RackId = RackId("")
