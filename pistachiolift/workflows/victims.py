"""Finds the runs that may be stopped for more urgent work, and what that costs."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..common import JobId, WorkerId, choose_victims
from .ageing import AGED_AFTER_S
from .model import Size, TaskKey, TaskRunStatus
from .placement import count_tasks
from .room_forecast import rest_s
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry
from .urgency import (
    LATE_LIMIT_FACTOR,
    critical_path_s,
    measure,
    objective_s,
    waited_s,
)

__all__ = [
    "JOB_PAUSE_S",
    "MAX_STOPS_PER_JOB",
    "MAX_STOPS_PER_TASK",
    "RoomPlan",
    "StopHistory",
    "Victim",
    "VictimFinder",
    "plan_room",
]

# A stopped task needs about its run time to get room again in a full pool. With more
# stops, it might never end under a sustained load of urgent work.
MAX_STOPS_PER_TASK = 2
MAX_STOPS_PER_JOB = 4
JOB_PAUSE_S = 2.0

# A run without checkpoints is stopped only within this time after its start.
JUST_STARTED_S = 0.3
# Time for which the processors of a stopped run do no work: the stop, and the start
# from the checkpoint. It counts as lost in addition to unsaved work.
IDLE_S = 0.5

# Workers on which victims are looked for, and among which the cheapest is chosen, for
# each task. A pass may take 5 ms for 270 workers.
MAX_WORKERS_EXAMINED = 40
MAX_WORKERS_COMPARED = 12


@dataclass(slots=True)
class _JobStops:
    count: int = 0
    last_s: float = float("-inf")
    count_by_task: dict[TaskKey, int] = field(default_factory=dict)


class StopHistory:
    """Counts the stops of each job and task under this owner.

    After a takeover the counts start from zero, since stops are not in the ledger.
    """

    def __init__(self) -> None:
        self._stops_by_job: dict[JobId, _JobStops] = {}

    def allows(self, tasks: Sequence[TaskKey], now_s: float) -> bool:
        """Whether tasks of one job may be stopped once more."""
        stops = self._stops_by_job.get(tasks[0].job_id)
        if stops is None:
            return True
        return (
            stops.count < MAX_STOPS_PER_JOB
            and now_s - stops.last_s >= JOB_PAUSE_S
            and all(
                stops.count_by_task.get(task, 0) < MAX_STOPS_PER_TASK for task in tasks
            )
        )

    def left(self, job_id: JobId) -> int:
        """Return how many more stops of a job are allowed."""
        stops = self._stops_by_job.get(job_id)
        return MAX_STOPS_PER_JOB - (0 if stops is None else stops.count)

    def record(self, tasks: Sequence[TaskKey], now_s: float) -> None:
        """Count a stop of a task, or of a gang."""
        stops = self._stops_by_job.setdefault(tasks[0].job_id, _JobStops())
        stops.count += 1
        stops.last_s = now_s
        for task in tasks:
            stops.count_by_task[task] = stops.count_by_task.get(task, 0) + 1

    def keep_only(self, job_ids: Iterable[JobId]) -> None:
        """Forget all other jobs."""
        for job_id in self._stops_by_job.keys() - job_ids:
            del self._stops_by_job[job_id]


@dataclass(frozen=True, slots=True, eq=False)
class Victim:
    """A run that may be stopped, or all runs of a gang.

    :param lost_core_s: work that the stop loses, in core-seconds.
    """

    step: StepEntry
    runs: tuple[TaskRun, ...]
    lost_core_s: float

    @property
    def job_id(self) -> JobId:
        """The job that is delayed."""
        return self.step.job.job_id


class VictimFinder:
    """Finds the runs that one search may stop.

    :param state: the owner's jobs and workers.
    :param history: earlier stops.
    :param first_run: lowest number of the runs of this owner; when the others started
        is not known.
    :param now_s: monotonic time.
    :param wall_ms: Unix time, in milliseconds.
    """

    def __init__(
        self,
        state: SchedulerState,
        history: StopHistory,
        *,
        first_run: int,
        now_s: float,
        wall_ms: float,
    ):
        self._state = state
        self._history = history
        self._first_run = first_run
        self._now_s = now_s
        self._wall_ms = wall_ms
        self._victims_by_worker: dict[WorkerId, list[Victim]] = {}
        self._gangs_by_step: dict[int, Victim | None] = {}
        self._stopped_jobs: set[JobId] = set()

    def victims_on(self, entry: WorkerEntry, priority: int) -> list[Victim]:
        """Return what may be stopped on a worker for work of a priority.

        :param priority: only runs of queues with a larger number are returned.
        """
        victims = self._victims_by_worker.get(entry.worker_id)
        if victims is None:
            found = (self._victim(run) for run in entry.runs.values())
            # The members of a gang are one victim.
            victims = list({id(each): each for each in found if each}.values())
            self._victims_by_worker[entry.worker_id] = victims
        return [
            each
            for each in victims
            if each.step.job.queue.priority > priority
            and each.job_id not in self._stopped_jobs
        ]

    def exclude_jobs_of(self, victims: Iterable[Victim]) -> None:
        """Return no more runs of jobs of which some are being stopped."""
        self._stopped_jobs.update(victim.job_id for victim in victims)

    def stops_left(self, job_id: JobId) -> int:
        """Return how many more stops of a job are allowed."""
        return self._history.left(job_id)

    def _victim(self, run: TaskRun) -> Victim | None:
        step = self._state.step_of(run.task)
        if step is None or step.job.status.final:
            return None
        if step.step.long_running or step.step.fills:
            return None
        if not step.step.gang:
            return self._assess(step, (run,))
        key = id(step)
        if key not in self._gangs_by_step:
            members = tuple(step.runs_by_index.values())
            whole = len(members) == step.step.count
            self._gangs_by_step[key] = self._assess(step, members) if whole else None
        return self._gangs_by_step[key]

    def _assess(self, step: StepEntry, runs: tuple[TaskRun, ...]) -> Victim | None:
        """Return the runs as a victim if they may be stopped."""
        lost_core_s = 0.0
        for run in runs:
            if run.status is not TaskRunStatus.RUNNING or run.confirmed_s is None:
                return None
            age_s = self._now_s - run.confirmed_s
            unsaved_s = 0.0
            if not step.step.checkpoints:
                if run.number < self._first_run or age_s > JUST_STARTED_S:
                    return None
                unsaved_s = age_s
            lost_core_s += (unsaved_s + IDLE_S) * run.size.cpu_milli / 1000
        if not self._history.allows([run.task for run in runs], self._now_s):
            return None
        if self._would_be_late(step, runs):
            return None
        return Victim(step, runs, lost_core_s)

    def _would_be_late(self, step: StepEntry, runs: tuple[TaskRun, ...]) -> bool:
        """Whether a stop makes the job's result late, or late and useless.

        In a full pool, a stopped task is expected to wait for a run's time. Jobs that
        have waited long are not delayed further.
        """
        now_s, job = self._now_s, step.job
        if waited_s(step, now_s, self._wall_ms) > AGED_AFTER_S:
            return True
        workers = self._state.workers_by_id
        left_s = max(rest_s(run, step, workers[run.worker_id], now_s) for run in runs)
        path_s = critical_path_s(job, from_step=step.key.step)
        left_s += path_s - step.step.estimate_s
        delay_s = IDLE_S + step.step.estimate_s
        if not step.step.checkpoints:
            delay_s += now_s - min(run.confirmed_s for run in runs)
        _, latest_s = measure(step, now_s, self._wall_ms)
        objective = objective_s(job)
        on_time_s = latest_s + path_s
        useful_s = on_time_s + (LATE_LIMIT_FACTOR - 1) * objective
        for limit_s in (on_time_s, useful_s):
            if now_s + left_s <= limit_s:
                return now_s + left_s + delay_s > limit_s
        return False


class RoomPlan:
    """Room for tasks of a step: their workers, and the victims to stop on them."""

    def __init__(self) -> None:
        self.workers: list[WorkerEntry] = []
        self.victims: list[Victim] = []
        self.stops_by_job: Counter[JobId] = Counter()
        # Planned changes of what is reserved on a worker: processors, memory and
        # accelerators.
        self._change_by_worker: dict[WorkerId, tuple[int, int, int]] = {}

    @property
    def lost_core_s(self) -> float:
        """Work that the stops lose, in core-seconds."""
        return sum(victim.lost_core_s for victim in self.victims)

    def add(self, entry: WorkerEntry, size: Size, victims: Sequence[Victim]) -> None:
        """Plan one more task on a worker once the victims have ended."""
        self.workers.append(entry)
        self._change(entry.worker_id, size, 1)
        for victim in victims:
            self.victims.append(victim)
            self.stops_by_job[victim.job_id] += 1
            for run in victim.runs:
                self._change(run.worker_id, run.size, -1)

    def _change(self, worker_id: WorkerId, size: Size, sign: int) -> None:
        before = self._change_by_worker.get(worker_id, (0, 0, 0))
        self._change_by_worker[worker_id] = (
            before[0] + sign * size.cpu_milli,
            before[1] + sign * size.memory_mb,
            before[2] + sign * size.accelerators,
        )

    def fits(self, entry: WorkerEntry, size: Size, more: Sequence[Victim]) -> bool:
        """Whether one more task fits on a worker once the victims have ended.

        :param more: victims in addition to those of the plan.
        """
        worker_id = entry.worker_id
        change = self._change_by_worker.get(worker_id, (0, 0, 0))
        cpu_milli = entry.used_cpu_milli + change[0] + size.cpu_milli
        memory_mb = entry.used_memory_mb + change[1] + size.memory_mb
        accelerators = entry.used_accelerators + change[2] + size.accelerators
        for victim in more:
            for run in victim.runs:
                if run.worker_id == worker_id:
                    cpu_milli -= run.size.cpu_milli
                    memory_mb -= run.size.memory_mb
                    accelerators -= run.size.accelerators
        capacity = entry.worker.capacity
        return (
            cpu_milli <= capacity.cpu_milli
            and memory_mb <= capacity.memory_mb
            and accelerators <= capacity.accelerators
        )


def plan_room(
    step: StepEntry, tasks: int, workers: list[WorkerEntry], finder: VictimFinder
) -> RoomPlan | None:
    """Plan room for tasks of a step, each on the worker that loses the least work.

    :param workers: workers that the step may use; the first ones are tried.
    :returns: ``None`` unless all the tasks get room.
    """
    size, limit = step.step.reserved, step.step.max_per_worker
    plan = RoomPlan()
    for _ in range(tasks):
        open_workers = workers
        if limit:
            open_workers = [
                each
                for each in workers
                if count_tasks(step, each) + plan.workers.count(each) < limit
            ]
        best = _cheapest_worker(step, size, open_workers, plan, finder)
        if best is None:
            return None
        plan.add(best[0], size, best[1])
    return plan


def _cheapest_worker(
    step: StepEntry,
    size: Size,
    workers: list[WorkerEntry],
    plan: RoomPlan,
    finder: VictimFinder,
) -> tuple[WorkerEntry, list[Victim]] | None:
    """Return the worker that needs the least lost work for one more task."""
    priority = step.job.queue.priority
    best, least, compared = None, (float("inf"), 0), 0
    for entry in workers[:MAX_WORKERS_EXAMINED]:
        candidates = finder.victims_on(entry, priority)
        if plan.victims:
            candidates = [each for each in candidates if each not in plan.victims]
        victims = choose_victims(
            candidates,
            fits=lambda chosen, entry=entry: plan.fits(entry, size, chosen),
            lost=_lost_core_s,
        )
        if victims is None or _exceeds_limit(victims, plan, finder):
            continue
        cost = sum(victim.lost_core_s for victim in victims), len(victims)
        if cost < least:
            best, least = (entry, victims), cost
        compared += 1
        if compared >= MAX_WORKERS_COMPARED or not victims:
            break
    return best


def _lost_core_s(victim: Victim) -> float:
    return victim.lost_core_s


def _exceeds_limit(victims: list[Victim], plan: RoomPlan, finder: VictimFinder) -> bool:
    """Whether the plan and the victims together exceed a job's limit of stops."""
    stops = Counter(victim.job_id for victim in victims)
    return any(
        count + plan.stops_by_job[job_id] > finder.stops_left(job_id)
        for job_id, count in stops.items()
    )
