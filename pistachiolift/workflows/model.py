"""Queues, graphs of steps, and workers as the scheduler sees them."""

from enum import Enum
from typing import NewType

import msgspec

from ..common import JobId, RackId, WorkerId

__all__ = [
    "AdvicePolicy",
    "EndKind",
    "JobGraph",
    "JobStatus",
    "PoolId",
    "Queue",
    "QueueId",
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
    """State of a job as callers see it."""

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


class WorkerState(Enum):
    """What a worker's directory entry says of it."""

    READY = "ready"
    DRAINING = "draining"


class Size(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An amount of a worker's resources.

    :param cpu_milli: thousandths of a core.
    :param memory_mb: megabytes.
    :param accelerators: whole devices.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def holds(self, other: "Size") -> bool:
        """Whether another amount fits into this one."""
        return (
            other.cpu_milli <= self.cpu_milli
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


class AdvicePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """What a call to the placement adviser costs, and how long its answer holds.

    :param decide_s: fixed time of a call, in seconds.
    :param each_s: time for each worker named, in seconds.
    :param valid_s: lifetime of a ticket, in seconds.
    """

    decide_s: float
    each_s: float
    valid_s: float


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of work with its policy.

    :param priority: 0 is the most urgent.
    :param max_failures: failed runs of a task after which its job has failed.
    :param stretch: the objective is this multiple of the longest chain of work.
    :param target_s: seconds added to the objective.
    :param advice: set if workers must be approved for each step.
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


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of a job that have the same size and become ready together.

    :param count: number of tasks.
    :param size: what each task occupies.
    :param estimate_s: declared run time of a task; off by a large factor at times.
    :param after: indices of earlier steps that must have succeeded.
    :param checkpoints: whether a run can resume from a saved position.
    :param gang: the tasks make progress only together.
    :param same_rack: a gang that spans racks is slower.
    :param required_label: label that the worker must have.
    :param data_rack: rack on which the tasks are fastest.
    :param max_per_worker: most tasks of the step on one worker; 0 for no limit.
    :param copies_allowed: copies of a task may run in parallel.
    :param long_running: the tasks run until the job is cancelled.
    :param image: name of what the tasks run.
    :param tail_target_s: bound of a serving task's tail latency; 0 for none.
    :param fills: the tasks use only what others leave of a worker's processors.
    :param may_miss: tasks of a long-running step that the system may take down at once.
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
        """What a task takes out of a worker's capacity."""
        if not self.fills:
            return self.size
        return Size(memory_mb=self.size.memory_mb, accelerators=self.size.accelerators)


class JobGraph(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a caller submits: steps with dependencies, run once or at set times.

    :param payload: opaque text passed to every task.
    :param occurrences: how often the steps run at set times; 0 for once, at once.
    :param first_due_ms: Unix time of the first occurrence, in milliseconds.
    :param interval_ms: time between two occurrences, in milliseconds.
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
        """The task's place in its job, for log lines."""
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
