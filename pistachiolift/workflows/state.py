"""State of jobs, steps, runs and workers at the owner."""

from collections.abc import Collection
from dataclasses import dataclass, field
from math import log

from ..common import CustomerId, JobId, WorkerId
from .caps import CustomerCaps
from .model import (
    CrashCause,
    JobGraph,
    JobStatus,
    Queue,
    RunCharge,
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

# Limit of the logarithm of one sample: a factor of 12 in either direction.
MAX_LOG_RATIO = 2.5
# Averages over about the last 40 tasks of a worker, some ten seconds under load.
MIN_WEIGHT = 0.025
# Weight, in tasks, of the prior that a worker takes exactly the declared time.
PRIOR_SAMPLES = 3
# Speeds are compared in buckets of one sixth of a natural logarithm.
BUCKETS_PER_E = 6
# Room for tasks that reserve nothing.
UNLIMITED_ROOM = 1_000_000


@dataclass(slots=True)
class SpeedEstimate:
    """Moving average of a worker's run times relative to the declared times.

    Declared times are wrong by large factors in both directions, so logarithms are
    averaged. A new worker counts as fast, which ensures that it gets tasks.

    :param log_ratio: mean logarithm of the ratio of run time to declared time.
    :param samples: number of finished tasks.
    """

    log_ratio: float = 0.0
    samples: int = 0

    def add(self, taken_s: float, declared_s: float) -> None:
        """Add the run time of a finished task."""
        if taken_s <= 0 or declared_s <= 0:
            return
        sample = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log(taken_s / declared_s)))
        weight = max(MIN_WEIGHT, 1 / (PRIOR_SAMPLES + self.samples))
        self.samples += 1
        self.log_ratio += weight * (sample - self.log_ratio)

    @property
    def bucket(self) -> int:
        """Speed class for comparisons, so that small differences do not count."""
        return round(self.log_ratio * BUCKETS_PER_E)


@dataclass(slots=True, eq=False)
class TaskRun:
    """One run of a task on a worker.

    :param placed_s: time of the placement decision.
    :param confirmed_s: time at which the worker was first known to have the run, or
        ``None``.
    :param answered_s: time at which the worker last answered a start or stop of the
        run; a report requested later contains the run if it still exists.
    :param stop_answered: whether the worker has answered a stop.
    :param unanswered_s: time at which the newest start without an answer was sent, or
        ``None``. It may still be carried out, also after the answer to its repetition.
    :param sent: whether a start may have been sent.
    :param sent_s: time from which it may have been sent, or ``None``.
    :param usage: last reported usage: the tail latency in milliseconds for a serving
        task, thousandths of a core in use for any other.
    :param speed_percent: last ordered share of the free processor time.
    :param speed_set_s: time of that order.
    :param percent: last reported progress.
    :param progressed_s: time at which ``percent`` last changed.
    :param first_percent: progress in the first report that shows the run.
    :param first_percent_s: time of that report, or ``None``.
    :param started_ms: worker's clock when it answered the start; 0 if unknown.
    :param mark_percent: progress at the begin of the window that measures the pace.
    :param mark_ms: worker's clock at that time; 0 before the first.
    :param pace: work done in the last window, in seconds of the declared time per
        second; ``None`` before its end.
    :param pace_ms: worker's clock at the end of that window.
    :param survived: whether a report has shown it some time after its start.
    :param alone: whether its worker gets no other run until it has survived.
    :param charge: what it counts against its customer's cap; ``None`` without one.
    """

    task: TaskKey
    number: int
    worker_id: WorkerId
    size: Size
    status: TaskRunStatus
    placed_s: float
    sent: bool = False
    sent_s: float | None = None
    stop_answered: bool = False
    unanswered_s: float | None = None
    confirmed_s: float | None = None
    answered_s: float | None = None
    percent: int = 0
    progressed_s: float = 0.0
    first_percent: int = 0
    first_percent_s: float | None = None
    started_ms: int = 0
    mark_percent: int = 0
    mark_ms: int = 0
    pace: float | None = None
    pace_ms: int = 0
    usage: int = 0
    speed_percent: int = 100
    speed_set_s: float = 0.0
    survived: bool = False
    alone: bool = False
    charge: RunCharge | None = None

    @property
    def key(self) -> tuple[TaskKey, int]:
        """Key of the run at its worker."""
        return self.task, self.number


@dataclass(slots=True, eq=False)
class StepEntry:
    """A step of one occurrence of a job.

    :param waiting: indices of tasks to start.
    :param finished: indices of tasks that succeeded.
    :param failed_runs_by_index: numbers of the failed runs; those of a gang, which
        fails as a whole, are stored under index 0.
    :param crashed_runs_by_index: for each task its runs whose worker was lost before
        a report had shown them, and what is known of the loss.
    :param isolated: tasks that are started alone on a worker, because a worker was
        lost soon after their start; indices as in ``failed_runs_by_index``.
    :param held_until_by_index: time before which a task is not started again, because
        a loss may still count; indices as in ``failed_runs_by_index``.
    :param survived_run_by_index: newest run of a task that has survived its start.
    :param tickets_by_worker: ticket and the time at which it expires.
    :param approved: workers that the adviser approved; ``None`` before its answer.
    :param moves_by_index: for each task the number of its runs that were stopped since
        their worker was behind.
    :param safe_waits: tasks that have waited, or wait, with their last attempt for a
        worker on which none has failed lately.
    :param pace_elsewhere: last known pace of its runs on workers that are not behind;
        ``None`` before two of them are known.
    :param asked_s: time of the advice call in flight, or ``None``.
    :param asked_workers: workers for which the adviser was called.
    :param last_asked: workers included in the newest calls.
    :param tickets_end_s: time at which the first ticket of those workers expires.
    :param timing: objective of the job under a queue's policy, and length of the
        critical path from this step, in seconds; ``None`` until they are needed.
    """

    key: StepKey
    step: Step
    job: "JobEntry"
    waiting: set[int]
    finished: set[int] = field(default_factory=set)
    failed_runs_by_index: dict[int, set[int]] = field(default_factory=dict)
    crashed_runs_by_index: dict[int, dict[int, CrashCause]] = field(
        default_factory=dict
    )
    isolated: set[int] = field(default_factory=set)
    held_until_by_index: dict[int, float] = field(default_factory=dict)
    survived_run_by_index: dict[int, int] = field(default_factory=dict)
    runs_by_index: dict[int, TaskRun] = field(default_factory=dict)
    checkpoint_by_index: dict[int, str] = field(default_factory=dict)
    failed_on_by_index: dict[int, set[WorkerId]] = field(default_factory=dict)
    last_run_by_index: dict[int, int] = field(default_factory=dict)
    moves_by_index: dict[int, int] = field(default_factory=dict)
    safe_waits: set[int] = field(default_factory=set)
    pace_elsewhere: float | None = None
    tickets_by_worker: dict[WorkerId, tuple[str, float]] = field(default_factory=dict)
    approved: frozenset[WorkerId] | None = None
    asked_s: float | None = None
    asked_workers: set[WorkerId] = field(default_factory=set)
    last_asked: tuple[WorkerId, ...] = ()
    tickets_end_s: float = 0.0
    not_before_s: float = 0.0
    timing: tuple[Queue, float, float] | None = None

    @property
    def complete(self) -> bool:
        """Whether all tasks have succeeded."""
        return len(self.finished) == self.step.count

    @property
    def charge(self) -> RunCharge | None:
        """What one of the tasks counts against its customer's cap."""
        customer_id = self.job.customer_id
        if not customer_id:
            return None
        return RunCharge(customer_id, self.step.size, self.step.long_running)

    def failure_slot(self, index: int) -> int:
        """Return the index under which the failed runs of a task are stored."""
        return 0 if self.step.gang else index

    def is_isolated(self, index: int) -> bool:
        """Whether a task is started alone on a worker."""
        return self.failure_slot(index) in self.isolated

    def is_last_attempt(self, index: int) -> bool:
        """Whether a task has failed, and its job fails with the next failure."""
        if self.step.long_running:
            return False
        failures = len(self.failed_runs_by_index.get(self.failure_slot(index), ()))
        return 0 < failures >= self.job.queue.max_failures - 1

    def is_held(self, index: int, now_s: float) -> bool:
        """Whether a task may not be started yet."""
        return now_s < self.held_until_by_index.get(self.failure_slot(index), 0.0)

    def record_survival(self, index: int, number: int) -> None:
        """Clear the suspicion that a task crashes the workers that start it.

        A gang is no longer isolated once none of its members is suspected.
        """
        survived = self.survived_run_by_index.get(index, 0)
        self.survived_run_by_index[index] = max(survived, number)
        self.crashed_runs_by_index.pop(index, None)
        if not self.step.gang or not self.crashed_runs_by_index:
            self.isolated.discard(self.failure_slot(index))

    def checkpoint(self, index: int) -> str:
        """Return the checkpoint from which a task resumes; a gang shares one."""
        if self.step.gang:
            return next(iter(self.checkpoint_by_index.values()), "")
        return self.checkpoint_by_index.get(index, "")

    def keep_checkpoint(self, index: int, checkpoint: str) -> None:
        """Store a checkpoint if the step can resume from one."""
        if not checkpoint or not self.step.checkpoints:
            return
        if self.step.gang:
            self.checkpoint_by_index.clear()
        self.checkpoint_by_index[index] = checkpoint

    def next_number(self, indices: list[int], floor: int) -> int:
        """Return a run number above all earlier ones of the tasks.

        :param floor: lowest number to return.
        """
        last = max((self.last_run_by_index.get(i, 0) for i in indices), default=0)
        return max(floor, last + 1)


@dataclass(slots=True, eq=False)
class OccurrenceEntry:
    """One execution of a job's steps.

    :param due_ms: Unix time at which its steps may start, in milliseconds.
    """

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
    """A job at its owner.

    :param received_s: monotonic time of the first request.
    :param received_ms: Unix time of the first request, in milliseconds.
    :param customer_id: the customer whose job it is; empty for none.
    :param excess: whether its customer had submitted more than its rate allows.
    :param finished_s: monotonic time at which the job finished, or ``None``.
    :param has_started: whether a run has started.
    :param accepted_record: number of the record that must be durable before a start.
    :param last_record: number of the newest record that may change its state.
    """

    job_id: JobId
    graph: JobGraph
    queue: Queue
    received_s: float
    received_ms: int
    customer_id: CustomerId = CustomerId("")
    excess: bool = False
    occurrences: list[OccurrenceEntry] = field(default_factory=list)
    status: JobStatus = JobStatus.PENDING
    finished_s: float | None = None
    has_started: bool = False
    accepted_record: int = 0
    last_record: int = 0
    # Lengths of critical paths, by the step at which they start.
    path_s_by_step: dict[int, float] = field(default_factory=dict)

    def steps(self) -> list[StepEntry]:
        """Return the steps of all occurrences."""
        return [step for entry in self.occurrences for step in entry.steps]


@dataclass(slots=True, eq=False)
class WorkerEntry:
    """A worker and the runs placed on it.

    The runs are charged to their customers here, where their resources are reserved and
    freed, so that no way of adding or ending a run is missed.

    :param caps: adds up the charges of all workers.
    :param has_reported: whether a complete run report was applied under this owner.
    :param reachable: whether the worker answered the last poll.
    :param registered: whether the worker is in the directory.
    :param report_requested_s: time at which its newest run report was requested.
    :param reported_s: time at which its newest run report was applied.
    :param has_unknown_run: whether it has a run of unknown size.
    :param recorded: whether the ledger shall hold that the worker is in use.
    :param use_record: number of the record that must be durable before a start.
    :param paused_until_s: time before which it gets no new runs.
    :param fill_percent: share that its filling tasks may use; ``None`` without any.
    :param lease_end_s: time after which no run can still be running on the worker.
    :param leaves_s: time at which it kills its runs, by its own report; ``None`` if it
        stays.
    :param clock_ms: worker's clock at its newest run report; 0 if unknown.
    :param behind_s: time at which its runs were last far slower than those elsewhere;
        ``None`` if they are not.
    :param quarantined_s: begin of its quarantine for failures; ``None`` without one.
    :param risky: whether a task has failed on it lately, or its data centre fails; it
        gets no last attempts.
    :param zone_fails_s: time since which its data centre fails as a whole, or ``None``.
    :param probe_only: whether it gets a single task at a time, to see whether it works.
    :param probe_urgent: whether this may be an urgent task.
    :param suspect: whether it is used only if no other fits.
    :param suspect_until_s: time until which this holds.
    :param unproven: keys of the runs that have not survived their start yet.
    :param isolated: keys of those that were started alone.
    :param possible_charges_by_run: charges of runs that earlier owners placed and that
        may still be on the worker, although their tasks need them no longer.
    """

    worker: Worker
    caps: CustomerCaps
    has_reported: bool = False
    reachable: bool = True
    registered: bool = True
    lease_end_s: float = 0.0
    used_cpu_milli: int = 0
    used_memory_mb: int = 0
    used_accelerators: int = 0
    runs: dict[tuple[TaskKey, int], TaskRun] = field(default_factory=dict)
    report_requested_s: float = 0.0
    reported_s: float = 0.0
    recorded: bool = False
    use_record: int = 0
    paused_until_s: float = 0.0
    has_unknown_run: bool = False
    speed: SpeedEstimate = field(default_factory=SpeedEstimate)
    fill_percent: int | None = None
    leaves_s: float | None = None
    clock_ms: int = 0
    behind_s: float | None = None
    quarantined_s: float | None = None
    risky: bool = False
    zone_fails_s: float | None = None
    probe_only: bool = False
    probe_urgent: bool = False
    suspect: bool = False
    suspect_until_s: float = 0.0
    unproven: set[tuple[TaskKey, int]] = field(default_factory=set)
    isolated: set[tuple[TaskKey, int]] = field(default_factory=set)
    possible_charges_by_run: dict[tuple[TaskKey, int], RunCharge] = field(
        default_factory=dict
    )

    @property
    def worker_id(self) -> WorkerId:
        """The worker's identifier."""
        return self.worker.worker_id

    @property
    def probes_since_s(self) -> float | None:
        """Time since which it gets a single task at a time; ``None``: any number."""
        if self.quarantined_s is not None:
            return self.quarantined_s
        return 0.0 if self.probe_only else self.zone_fails_s

    def clear_judgement(self) -> None:
        """Forget that the worker has failed, stood still or been out of reach."""
        self.behind_s = self.quarantined_s = self.zone_fails_s = None
        self.risky = self.probe_only = self.probe_urgent = self.suspect = False

    @property
    def free_cpu_milli(self) -> int:
        """Unreserved processors, in thousandths of a core."""
        return self.worker.capacity.cpu_milli - self.used_cpu_milli

    def usable(self, now_s: float) -> bool:
        """Whether new runs may be placed on the worker."""
        return (
            self.has_reported
            and self.reachable
            and self.registered
            and not self.has_unknown_run
            and self.worker.state is WorkerState.READY
            and self.leaves_s is None
            and (self.behind_s is None or self.probe_only)
            and now_s >= self.paused_until_s
        )

    def room_for(self, size: Size) -> int:
        """Return how many tasks of a size fit into the free capacity."""
        capacity = self.worker.capacity
        count = UNLIMITED_ROOM
        # Most workers are full, so each resource can end the calculation.
        if size.cpu_milli:
            count = (capacity.cpu_milli - self.used_cpu_milli) // size.cpu_milli
            if count < 1:
                return 0
        if size.memory_mb:
            free_mb = capacity.memory_mb - self.used_memory_mb
            count = min(count, free_mb // size.memory_mb)
            if count < 1:
                return 0
        if size.accelerators:
            free = capacity.accelerators - self.used_accelerators
            count = min(count, free // size.accelerators)
        return max(0, count)

    @property
    def overcommitted(self) -> bool:
        """Whether the runs reserve more than the capacity, which may have shrunk."""
        capacity = self.worker.capacity
        return (
            self.used_cpu_milli > capacity.cpu_milli
            or self.used_memory_mb > capacity.memory_mb
            or self.used_accelerators > capacity.accelerators
        )

    def has_room_to_send(self, runs: Collection[TaskRun]) -> bool:
        """Whether unsent runs fit into the capacity beside those that were sent.

        :param runs: runs placed on the worker.
        """
        if not self.overcommitted:
            return True
        sizes = [run.size for run in self.runs.values() if run.sent]
        sizes += [run.size for run in runs]
        total = Size(
            cpu_milli=sum(size.cpu_milli for size in sizes),
            memory_mb=sum(size.memory_mb for size in sizes),
            accelerators=sum(size.accelerators for size in sizes),
        )
        return self.worker.capacity.holds(total)

    def reserve(self, run: TaskRun) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        self._add(run.size, 1)
        self.caps.charge(run.charge)
        self.caps.release(self.possible_charges_by_run.pop(run.key, None))
        if not run.survived:
            self.unproven.add(run.key)
            if run.alone:
                self.isolated.add(run.key)

    def record_survival(self, run: TaskRun) -> None:
        """Record that a run has survived its start."""
        run.survived = True
        self.unproven.discard(run.key)
        self.isolated.discard(run.key)

    def release(self, run: TaskRun) -> bool:
        """Remove a run and free its resources.

        :returns: whether the worker had the run.
        """
        if self.runs.pop(run.key, None) is None:
            return False
        self.unproven.discard(run.key)
        self.isolated.discard(run.key)
        self._add(run.size, -1)
        self.caps.release(run.charge)
        return True

    def charge_possible_run(self, key: tuple[TaskKey, int], charge: RunCharge) -> None:
        """Count a run that may still be on the worker, until it reports."""
        if key not in self.runs and key not in self.possible_charges_by_run:
            self.possible_charges_by_run[key] = charge
            self.caps.charge(charge)

    def release_possible_runs(self) -> dict[tuple[TaskKey, int], RunCharge]:
        """Stop counting, and return, what may have been on the worker."""
        charges, self.possible_charges_by_run = self.possible_charges_by_run, {}
        for charge in charges.values():
            self.caps.release(charge)
        return charges

    def _add(self, size: Size, sign: int) -> None:
        self.used_cpu_milli += sign * size.cpu_milli
        self.used_memory_mb += sign * size.memory_mb
        self.used_accelerators += sign * size.accelerators
