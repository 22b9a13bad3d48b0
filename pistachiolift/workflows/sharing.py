"""Keeps tasks that fill a worker from slowing the tasks that serve beside them."""

import logging

from ..common import log_event
from .decisions import SetRunSpeed
from .model import TaskRunStatus
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = ["SharingController"]

logger = logging.getLogger(__name__)

# Tail latencies are figures for the last half second.
CONTROL_INTERVAL_S = 0.5

# Shares of a serving task's target above which the fill is halved, and below which
# it may grow. The gap keeps the controller from swinging.
SHRINK_ABOVE = 0.8
GROW_BELOW = 0.65
GROWTH_PERCENT = 8
# A smaller share is of no use to the fill and is taken away.
LEAST_PERCENT = 4
# Share of a fill that starts beside serving tasks whose reaction is not known yet.
FIRST_PERCENT = 20

# Orders are repeated after this time, since one may have been lost.
REPEAT_S = 2.0


class SharingController:
    """Paces the fill of each worker by the tail latencies that it reports.

    The share shrinks by half and grows in small steps, so that the tail is back
    under its target within two or three reports.

    :param book: the owner's tables.
    """

    def __init__(self, book: SchedulerState):
        self._book = book
        self._checked_s = float("-inf")

    def check(self, now_s: float) -> None:
        """Adjust all workers, at most twice a second."""
        if now_s - self._checked_s < CONTROL_INTERVAL_S:
            return
        self._checked_s = now_s
        for worker in self._book.workers_by_id.values():
            if worker.reachable and worker.runs:
                self._adjust(worker, now_s)

    def _adjust(self, worker: WorkerEntry, now_s: float) -> None:
        fills: list[TaskRun] = []
        load = None
        for run in worker.runs.values():
            step = self._book.step(run.task.step_key)
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
            self._pace(run, percent, now_s)

    @staticmethod
    def _load(run: TaskRun, step: StepEntry) -> float:
        """Return a serving task's tail latency as a share of its target."""
        return run.usage / (step.step.tail_target_s * 1000)

    @staticmethod
    def _next_percent(worker: WorkerEntry, load: float | None) -> int:
        if load is None:
            return 100
        if worker.fill_percent is None:
            return FIRST_PERCENT
        if load > SHRINK_ABOVE:
            shrunk = worker.fill_percent // 2
            return shrunk if shrunk >= LEAST_PERCENT else 0
        if load < GROW_BELOW:
            return min(100, worker.fill_percent + GROWTH_PERCENT)
        return worker.fill_percent

    def _pace(self, run: TaskRun, percent: int, now_s: float) -> None:
        repeat = percent < 100 and now_s - run.speed_set_s > REPEAT_S
        if run.speed_percent == percent and not repeat:
            return
        run.speed_percent, run.speed_set_s = percent, now_s
        self._book.emit(
            SetRunSpeed(
                task=run.task,
                number=run.number,
                worker_id=run.worker_id,
                percent=percent,
            )
        )
