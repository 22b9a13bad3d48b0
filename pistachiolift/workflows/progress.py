"""Stops runs that make no progress."""

import logging

from ..common import log_event
from .lifecycle import Lifecycle
from .model import TaskRunStatus
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = ["ProgressMonitor"]

logger = logging.getLogger(__name__)

# A run is stalled after STALL_BASE_S plus this share of its declared time without
# progress. On a healthy worker, a task advances by a percent within this time, even if
# it takes several times its declared time. A lost run report delays the value by 1 s.
STALL_BASE_S = 2.5
STALL_SHARE = 0.15

# A worker on which a run has stalled gets no new runs for this time.
STALLED_WORKER_PAUSE_S = 2.0

CHECK_INTERVAL_S = 0.5

DONE_PERCENT = 100


class ProgressMonitor:
    """Stops runs whose progress has not changed over several run reports.

    :param state: the owner's jobs and workers.
    :param lifecycle: stops the runs.
    """

    def __init__(self, state: SchedulerState, lifecycle: Lifecycle):
        self._state = state
        self._lifecycle = lifecycle
        self._checked_s = float("-inf")

    def check(self, now_s: float) -> None:
        """Check all runs, at most twice a second."""
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        for worker in list(self._state.workers_by_id.values()):
            if worker.reachable:
                self._check_worker(worker, now_s)

    def _check_worker(self, worker: WorkerEntry, now_s: float) -> None:
        for run in list(worker.runs.values()):
            step = self._state.step_of(run.task)
            if step is None or not self._is_stalled(run, step, worker):
                continue
            log_event(
                logger,
                "run_stalled",
                job=run.task.job_id,
                worker=worker.worker_id,
                run=run.number,
                percent=run.percent,
                stalled_s=worker.report_requested_s - run.progressed_s,
            )
            worker.paused_until_s = now_s + STALLED_WORKER_PAUSE_S
            self._lifecycle.record_failure(worker, run, now_s)
            step.failed_on_by_index.setdefault(run.task.index, set()).add(
                worker.worker_id
            )
            self._lifecycle.stop(run, "no_progress")

    @staticmethod
    def _is_stalled(run: TaskRun, step: StepEntry, worker: WorkerEntry) -> bool:
        spec = step.step
        if run.status is not TaskRunStatus.RUNNING or spec.long_running or spec.fills:
            return False
        if spec.gang and run.percent >= DONE_PERCENT:
            # A member that has done its part waits for members on slower workers.
            others = step.runs_by_index.values()
            if any(other.percent < DONE_PERCENT for other in others):
                return False
        limit_s = STALL_BASE_S + STALL_SHARE * spec.estimate_s
        return worker.report_requested_s - run.progressed_s > limit_s
