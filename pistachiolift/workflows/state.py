"""State of jobs, steps, runs and workers at the owner."""

from dataclasses import dataclass, field
from math import log

from ..common import JobId, WorkerId
from .model import (
    JobGraph,
    JobStatus,
    Queue,
    Size,
    Step,
    StepKey,
    TaskKey,
    TaskRunStatus,
    Worker,
    WorkerState,
)

__all__ = [
    "JobEntry",
    "OccurrenceEntry",
    "SpeedEstimate",
    "StepEntry",
    "TaskRun",
    "WorkerEntry",
]

# A sample counts at most as a factor of 12 either way.
LOG_LIMIT = 2.5
# About the last 40 tasks of a worker, some ten seconds under load.
LEAST_WEIGHT = 0.025
# Weight of the assumption that an unknown worker takes the declared time, in tasks.
PRIOR_SAMPLES = 3
# Speeds are compared in steps of a sixth of a natural logarithm.
BUCKETS_PER_E = 6


@dataclass(slots=True)
class SpeedEstimate:
    """How long a worker takes for its tasks, against what the tasks declare.

    Declared times are off by large factors either way, so that the mean is taken of
    logarithms. An unknown worker counts as fast, which sees to it that it is tried.

    :param log_ratio: mean logarithm of the time taken over the time declared.
    :param samples: number of tasks that have ended.
    """

    log_ratio: float = 0.0
    samples: int = 0

    def add(self, taken_s: float, declared_s: float) -> None:
        """Take a task that has ended."""
        if taken_s <= 0 or declared_s <= 0:
            return
        sample = max(-LOG_LIMIT, min(LOG_LIMIT, log(taken_s / declared_s)))
        weight = max(LEAST_WEIGHT, 1 / (PRIOR_SAMPLES + self.samples))
        self.samples += 1
        self.log_ratio += weight * (sample - self.log_ratio)

    @property
    def bucket(self) -> int:
        """Speeds that differ by less than a sixth are not told apart."""
        return round(self.log_ratio * BUCKETS_PER_E)


@dataclass(slots=True, eq=False)
class TaskRun:
    """One run of a task on a worker.

    :param placed_s: time of the decision.
    :param confirmed_s: time at which the worker was known to have it, or ``None``.
    :param answered_s: time at which the worker last answered an order about it; a
        listing requested later must name the run if it still exists.
    :param stop_answered: whether the worker has answered a stop of it.
    :param sent: whether a start may have left this process.
    :param usage: what the worker reported last: for a serving task its tail latency
        in milliseconds, for any other thousandths of a core.
    :param pace_percent: share that it may use, as ordered last.
    :param percent: progress that the worker reported last.
    :param progressed_s: time at which ``percent`` last rose.
    """

    task: TaskKey
    number: int
    worker_id: WorkerId
    size: Size
    status: TaskRunStatus
    placed_s: float
    sent: bool = False
    stop_answered: bool = False
    confirmed_s: float | None = None
    answered_s: float | None = None
    percent: int = 0
    progressed_s: float = 0.0
    usage: int = 0
    speed_percent: int = 100
    speed_set_s: float = 0.0


@dataclass(slots=True, eq=False)
class StepEntry:
    """A step of one occurrence.

    :param waiting: indices of tasks that are to be started.
    :param finished: indices of tasks that succeeded.
    :param failed_runs_by_index: numbers of the runs that failed; those of a gang,
        which fails as a whole, stand under 0.
    :param tickets_by_worker: ticket and the time at which it expires.
    :param approved: workers that the adviser named; ``None`` before its answer.
    :param asked_s: time of the advice call in flight, or ``None``.
    """

    key: StepKey
    step: Step
    job: "JobEntry"
    waiting: set[int]
    finished: set[int] = field(default_factory=set)
    failed_runs_by_index: dict[int, set[int]] = field(default_factory=dict)
    runs_by_index: dict[int, TaskRun] = field(default_factory=dict)
    checkpoint_by_index: dict[int, str] = field(default_factory=dict)
    failed_on_by_index: dict[int, set[WorkerId]] = field(default_factory=dict)
    last_run_by_index: dict[int, int] = field(default_factory=dict)
    tickets_by_worker: dict[WorkerId, tuple[str, float]] = field(default_factory=dict)
    approved: frozenset[WorkerId] | None = None
    asked_s: float | None = None
    asked_workers: set[WorkerId] = field(default_factory=set)
    tickets_end_s: float = 0.0
    not_before_s: float = 0.0

    @property
    def complete(self) -> bool:
        """Whether all tasks have succeeded."""
        return len(self.finished) == self.step.count

    def failure_slot(self, index: int) -> int:
        """Return the index under which the failed runs of a task stand."""
        return 0 if self.step.gang else index

    def checkpoint(self, index: int) -> str:
        """Return the position from which a task resumes; a gang shares one."""
        if self.step.gang:
            return next(iter(self.checkpoint_by_index.values()), "")
        return self.checkpoint_by_index.get(index, "")

    def keep_checkpoint(self, index: int, checkpoint: str) -> None:
        """Take note of a saved position."""
        if not checkpoint or not self.step.checkpoints:
            return
        if self.step.gang:
            self.checkpoint_by_index.clear()
        self.checkpoint_by_index[index] = checkpoint

    def next_number(self, indices: list[int], floor: int) -> int:
        """Return a run number above all earlier ones of the tasks."""
        last = max((self.last_run_by_index.get(i, 0) for i in indices), default=0)
        return max(floor, last + 1)


@dataclass(slots=True, eq=False)
class OccurrenceEntry:
    """One execution of a job's steps."""

    number: int
    due_ms: int
    steps: list[StepEntry]
    due: bool = False

    @property
    def complete(self) -> bool:
        """Whether all steps have succeeded."""
        return all(step.complete for step in self.steps)


@dataclass(slots=True, eq=False)
class JobEntry:
    """A job that the owner knows.

    :param received_s: monotonic time of the first request.
    :param final_s: monotonic time of its end, or ``None``.
    :param accepted_record: number of the record that must be durable before a start.
    :param settled_record: number of the newest record that tells of its state.
    """

    job_id: JobId
    graph: JobGraph
    queue: Queue
    received_s: float
    received_ms: int
    occurrences: list[OccurrenceEntry] = field(default_factory=list)
    status: JobStatus = JobStatus.PENDING
    finished_s: float | None = None
    has_started: bool = False
    accepted_record: int = 0
    last_record: int = 0

    def steps(self) -> list[StepEntry]:
        """Return the steps of all occurrences."""
        return [step for entry in self.occurrences for step in entry.steps]


@dataclass(slots=True, eq=False)
class WorkerEntry:
    """A worker and what the owner has placed there.

    :param listed: whether its runs have been listed under this owner's fence.
    :param reachable: whether its last listing was answered.
    :param registered: whether the directory names it.
    :param listed_s: time at which its newest listing was requested.
    :param fill_percent: share that its filling tasks may use; ``None`` without any.
    :param use_record: number of the record that must be durable before a start.
    :param lease_end_s: time after which nothing that was ever granted can run there.
    """

    worker: Worker
    has_reported: bool = False
    reachable: bool = True
    registered: bool = True
    lease_end_s: float = 0.0
    used_cpu_milli: int = 0
    used_memory_mb: int = 0
    used_accelerators: int = 0
    runs: dict[tuple[TaskKey, int], TaskRun] = field(default_factory=dict)
    report_requested_s: float = 0.0
    recorded: bool = False
    use_record: int = 0
    paused_until_s: float = 0.0
    has_unknown_run: bool = False
    speed: SpeedEstimate = field(default_factory=SpeedEstimate)
    fill_percent: int | None = None

    @property
    def worker_id(self) -> WorkerId:
        """The worker's identifier."""
        return self.worker.worker_id

    @property
    def free_cpu_milli(self) -> int:
        """Processors not reserved, in thousandths of a core."""
        return self.worker.capacity.cpu_milli - self.used_cpu_milli

    def usable(self, now_s: float) -> bool:
        """Whether new runs may be placed there."""
        return (
            self.has_reported
            and self.reachable
            and self.registered
            and not self.has_unknown_run
            and self.worker.state is WorkerState.READY
            and now_s >= self.paused_until_s
        )

    def room_for(self, size: Size) -> int:
        """Return how many tasks of a size fit into what is free."""
        capacity = self.worker.capacity
        counts = []
        if size.cpu_milli:
            counts.append((capacity.cpu_milli - self.used_cpu_milli) // size.cpu_milli)
        if size.memory_mb:
            counts.append((capacity.memory_mb - self.used_memory_mb) // size.memory_mb)
        if size.accelerators:
            counts.append(
                (capacity.accelerators - self.used_accelerators) // size.accelerators
            )
        return max(0, min(counts, default=1_000_000))

    def reserve(self, run: TaskRun) -> None:
        """Occupy a run's resources."""
        self.runs[run.task, run.number] = run
        self._add(run.size, 1)

    def release(self, run: TaskRun) -> bool:
        """Free a run's resources.

        :returns: whether the run was on record.
        """
        if self.runs.pop((run.task, run.number), None) is None:
            return False
        self._add(run.size, -1)
        return True

    def _add(self, size: Size, sign: int) -> None:
        self.used_cpu_milli += sign * size.cpu_milli
        self.used_memory_mb += sign * size.memory_mb
        self.used_accelerators += sign * size.accelerators
