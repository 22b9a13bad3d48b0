"""Choice of the tasks to preempt for more urgent ones."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from sortedcontainers import SortedDict

from ..common import WorkerId, choose_victims
from .model import Resources, TaskState
from .tasks import TaskRecord
from .workers import WorkerState

__all__ = ["PreemptionPlan", "PreemptionPlanner"]

# Limits of the search for one plan; the candidates with the least lost work are tried.
MAX_VICTIM_CANDIDATES = 64
MAX_WORKER_CANDIDATES = 16


@dataclass(slots=True, frozen=True)
class PreemptionPlan:
    """Tasks to stop on one worker, which then has room for one more urgent task."""

    worker_id: WorkerId
    victims: tuple[TaskRecord, ...]
    lost_cpu_s: float


class PreemptionPlanner:
    """Orders running tasks by priority and by the time up to which work is saved.

    A stop loses the work since the start or the last checkpoint. A task that supports
    checkpoints loses nothing, because a checkpoint is made before the stop.
    """

    def __init__(self):
        # Least urgent first, then the most recently saved.
        self._tasks_by_key: SortedDict[tuple, TaskRecord] = SortedDict()

    def __len__(self) -> int:
        return len(self._tasks_by_key)

    def put(self, task: TaskRecord, saved_until_s: float, checkpointable: bool) -> None:
        """Add a running task or record a newer checkpoint.

        :param saved_until_s: monotonic time up to which the work is saved.
        """
        self.discard(task)
        order_s = float("-inf") if checkpointable else -saved_until_s
        task.preempt_key = (task.priority, order_s, task.task_id)
        self._tasks_by_key[task.preempt_key] = task

    def discard(self, task: TaskRecord) -> None:
        """Remove a task, if it is present."""
        if task.preempt_key is not None:
            del self._tasks_by_key[task.preempt_key]
            task.preempt_key = None

    def plan(
        self,
        need: Resources,
        priority: int,
        workers_by_id: Mapping[WorkerId, WorkerState],
        excluded: set[WorkerId],
        now_s: float,
    ) -> PreemptionPlan | None:
        """Choose a worker and the victims with the least lost work on it.

        :param need: size of the task that needs room.
        :param priority: its priority; only tasks of a lower one are victims.
        :param workers_by_id: workers that may get the task.
        :param excluded: workers that another plan already uses.
        """
        worker_ids: dict[WorkerId, None] = {}
        candidates = 0
        for key, task in self._tasks_by_key.items():
            if key[0] >= priority or candidates >= MAX_VICTIM_CANDIDATES:
                break
            if task.worker_id in workers_by_id and task.worker_id not in excluded:
                candidates += 1
                worker_ids[task.worker_id] = None
                if len(worker_ids) >= MAX_WORKER_CANDIDATES:
                    break
        plans = [
            self._plan_on(workers_by_id[worker_id], need, priority, now_s)
            for worker_id in worker_ids
        ]
        return min(
            (plan for plan in plans if plan is not None),
            key=lambda plan: (plan.lost_cpu_s, len(plan.victims), plan.worker_id),
            default=None,
        )

    def _plan_on(
        self, worker: WorkerState, need: Resources, priority: int, now_s: float
    ) -> PreemptionPlan | None:
        running = [
            task
            for task in worker.tasks_by_id.values()
            if task.preempt_key is not None
            and task.priority < priority
            and task.state is TaskState.RUNNING
        ]
        running.sort(key=lambda task: task.task_id)

        def fits(stopped: Sequence[TaskRecord]) -> bool:
            room = worker.free
            for task in stopped:
                room = room.plus(task.resources)
            return need.fits_in(room)

        victims = choose_victims(
            running, fits=fits, lost=lambda task: self.lost_cpu_s(task, now_s)
        )
        if victims is None:
            return None
        lost = sum(self.lost_cpu_s(task, now_s) for task in victims)
        return PreemptionPlan(worker.worker_id, tuple(victims), lost)

    @staticmethod
    def lost_cpu_s(task: TaskRecord, now_s: float) -> float:
        """Return the processor seconds of work that a stop of the task loses."""
        if task.preempt_key is None or task.preempt_key[1] == float("-inf"):
            return 0.0
        saved_until_s = -task.preempt_key[1]
        return max(0.0, now_s - saved_until_s) * task.resources.cpu_milli / 1000
