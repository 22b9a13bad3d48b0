"""Stops runs on leaving workers in time, so that their tasks go on elsewhere."""

import logging
from enum import Enum

from ..common import WorkerId, log_event
from .forecast import RunForecast, forecast_run
from .lifecycle import Lifecycle
from .model import PoolId, StepKey, TaskKey, TaskRunStatus
from .placement import count_room
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = ["EvacuationPlanner"]

logger = logging.getLogger(__name__)

# Time before a worker leaves at which runs that will not end are stopped. It holds two
# repetitions of a lost stop.
STOP_LEAD_S = 0.8
# With less time left, the end of a run that is stopped would not be reported.
MIN_STOP_S = 0.15


class _Action(Enum):
    """What is done with a run on a leaving worker."""

    # It ends in time, or a later decision has more information.
    CONTINUE = "continue"
    # Its checkpoint, if any, is kept and it goes on elsewhere.
    STOP = "stop"
    # Its work is lost in any case, and it fits elsewhere now.
    RESTART = "restart"
    # The step allows no more missing tasks.
    KEEP = "keep"


class EvacuationPlanner:
    """Stops the runs on leaving workers that will not end in time.

    A worker that leaves kills its runs without a report, and the owner would have to
    wait for their lease before it starts the tasks elsewhere.

    :param state: the owner's jobs and workers.
    :param lifecycle: stops the runs.
    """

    def __init__(self, state: SchedulerState, lifecycle: Lifecycle):
        self._state = state
        self._lifecycle = lifecycle
        # Runs of leaving workers whose last decision was logged.
        self._logged_by_worker: dict[WorkerId, set[tuple[TaskKey, int]]] = {}
        self._room_by_step: dict[StepKey, int] = {}

    def check(self, now_s: float) -> None:
        """Decide about all runs on leaving workers.

        :param now_s: monotonic time.
        """
        leaving = [
            worker
            for worker in self._state.workers_by_id.values()
            if worker.leaves_s is not None and worker.reachable
        ]
        known = {worker.worker_id for worker in leaving}
        for worker_id in self._logged_by_worker.keys() - known:
            del self._logged_by_worker[worker_id]
        self._room_by_step = {}
        for worker in leaving:
            for run in list(worker.runs.values()):
                if run.status is not TaskRunStatus.STOPPING:
                    self._check_run(run, worker, now_s)

    def _check_run(self, run: TaskRun, worker: WorkerEntry, now_s: float) -> None:
        step = self._state.step_of(run.task)
        if step is None:
            return
        if not run.sent:
            self._lifecycle.stop(run, "worker_leaving")
            return
        left_s = worker.leaves_s - now_s
        if left_s < MIN_STOP_S:
            return
        forecast = self._forecast(run, step, worker, now_s)
        action = self._choose(run, step, forecast, left_s, now_s)
        self._log(run, step, forecast, action, left_s)
        if action not in (_Action.STOP, _Action.RESTART):
            return
        self._state.counts[f"evacuation.{action.value}"] += 1
        members = [run]
        if step.step.gang:
            members = [
                member
                for member in step.runs_by_index.values()
                if member.number == run.number
            ]
        for member in members:
            self._lifecycle.stop(member, "worker_leaving")

    def _forecast(
        self, run: TaskRun, step: StepEntry, worker: WorkerEntry, now_s: float
    ) -> RunForecast:
        """Forecast the end of a run; a gang ends with its slowest member."""
        if not step.step.gang:
            return forecast_run(run, step, worker, now_s)
        workers = self._state.workers_by_id
        return max(
            (
                forecast_run(member, step, workers[member.worker_id], now_s)
                for member in step.runs_by_index.values()
                if member.worker_id in workers
            ),
            key=lambda forecast: forecast.rest_s,
            default=RunForecast(0.0, measured=False),
        )

    def _choose(
        self,
        run: TaskRun,
        step: StepEntry,
        forecast: RunForecast,
        left_s: float,
        now_s: float,
    ) -> _Action:
        if step.step.long_running:
            allowed = _count_missing(step) < step.step.may_miss
            return _Action.STOP if allowed else _Action.KEEP
        if left_s <= STOP_LEAD_S:
            return _Action.STOP if forecast.rest_s > left_s else _Action.CONTINUE
        if step.step.checkpoints or forecast.shortest_s <= left_s:
            return _Action.CONTINUE
        return self._take_room(run, step, now_s)

    def _take_room(self, run: TaskRun, step: StepEntry, now_s: float) -> _Action:
        """Choose to restart a run if it fits on a worker that stays."""
        room = self._room_by_step.get(step.key)
        if room is None:
            room = self._room_elsewhere(step, step.job.queue.pool_id, now_s)
        needed = 1
        if step.step.gang:
            needed = sum(
                self._state.workers_by_id[member.worker_id].leaves_s is not None
                for member in step.runs_by_index.values()
                if member.worker_id in self._state.workers_by_id
            )
        self._room_by_step[step.key] = max(0, room - needed)
        return _Action.RESTART if room >= needed else _Action.CONTINUE

    def _room_elsewhere(self, step: StepEntry, pool_id: PoolId, now_s: float) -> int:
        return count_room(step, self._state.usable_workers(pool_id, now_s).values())

    def _log(
        self,
        run: TaskRun,
        step: StepEntry,
        forecast: RunForecast,
        action: _Action,
        left_s: float,
    ) -> None:
        """Log a stop, or once for each run that it is left on the worker."""
        logged = self._logged_by_worker.setdefault(run.worker_id, set())
        stops = action in (_Action.STOP, _Action.RESTART)
        if not stops and (run.key in logged or left_s > STOP_LEAD_S):
            return
        logged.add(run.key)
        log_event(
            logger,
            "run_evacuated" if stops else "run_left_on_leaving_worker",
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            worker=run.worker_id,
            action=action.value,
            left_s=left_s,
            rest_s=forecast.rest_s,
            measured=forecast.measured,
            percent=run.percent,
            checkpoints=step.step.checkpoints,
            missing=_count_missing(step) if step.step.long_running else 0,
            may_miss=step.step.may_miss,
        )


def _count_missing(step: StepEntry) -> int:
    """Return how many tasks of a long-running step are not running."""
    running = sum(
        run.status is TaskRunStatus.RUNNING for run in step.runs_by_index.values()
    )
    return step.step.count - running
