"""Limits tasks that fill a worker so that serving tasks on it meet their latency."""

import logging

from ..common import log_event
from .decisions import SetRunSpeed
from .model import TaskRunStatus
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = ["SharingController"]

logger = logging.getLogger(__name__)

# Reported tail latencies cover the last half second.
CONTROL_INTERVAL_S = 0.5

# Ratios of tail latency to target above which the fill's share is halved, and below
# which it grows. The gap between them prevents oscillation.
SHRINK_ABOVE = 0.8
GROW_BELOW = 0.65
GROWTH_PERCENT = 8
# A smaller share is of no use to the fill; it is paused instead.
MIN_PERCENT = 4
# Initial share of a fill on a worker with serving tasks.
INITIAL_PERCENT = 20

# A speed below 100 % is sent again after this time, since the order may be lost.
RESEND_INTERVAL_S = 2.0


class SharingController:
    """Sets the speed of the fill on each worker by the reported tail latencies.

    The share is halved or grows in small steps, so that the tail latency is back below
    its target within two or three reports.

    :param state: the owner's jobs and workers.
    """

    def __init__(self, state: SchedulerState):
        self._state = state
        self._checked_s = float("-inf")

    def check(self, now_s: float) -> None:
        """Adjust all workers, at most twice a second."""
        if now_s - self._checked_s < CONTROL_INTERVAL_S:
            return
        self._checked_s = now_s
        for worker in self._state.workers_by_id.values():
            if worker.reachable and worker.runs:
                self._adjust(worker, now_s)

    def _adjust(self, worker: WorkerEntry, now_s: float) -> None:
        fills: list[TaskRun] = []
        load = None
        for run in worker.runs.values():
            step = self._state.step_of(run.task)
            if step is None or run.status is not TaskRunStatus.RUNNING:
                continue
            if step.step.fills:
                fills.append(run)
            elif step.step.tail_target_s:
                load = max(load or 0.0, self._load(run, step))
        if not fills:
            worker.fill_percent = None
            return
        percent = self._next_percent(worker, load)
        if percent != worker.fill_percent:
            log_event(
                logger,
                "fill_paced",
                worker=worker.worker_id,
                percent=percent,
                before=worker.fill_percent,
                load=-1.0 if load is None else load,
                report_age_s=now_s - worker.report_requested_s,
            )
        worker.fill_percent = percent
        for run in fills:
            self._set_speed(run, percent, now_s)

    @staticmethod
    def _load(run: TaskRun, step: StepEntry) -> float:
        """Return the ratio of a serving task's tail latency to its target."""
        return run.usage / (step.step.tail_target_s * 1000)

    @staticmethod
    def _next_percent(worker: WorkerEntry, load: float | None) -> int:
        if load is None:
            return 100
        if worker.fill_percent is None:
            return INITIAL_PERCENT
        if load > SHRINK_ABOVE:
            shrunk = worker.fill_percent // 2
            return shrunk if shrunk >= MIN_PERCENT else 0
        if load < GROW_BELOW:
            return min(100, worker.fill_percent + GROWTH_PERCENT)
        return worker.fill_percent

    def _set_speed(self, run: TaskRun, percent: int, now_s: float) -> None:
        repeat = percent < 100 and now_s - run.speed_set_s > RESEND_INTERVAL_S
        if run.speed_percent == percent and not repeat:
            return
        run.speed_percent, run.speed_set_s = percent, now_s
        self._state.emit(
            SetRunSpeed(
                task=run.task,
                number=run.number,
                worker_id=run.worker_id,
                percent=percent,
            )
        )
