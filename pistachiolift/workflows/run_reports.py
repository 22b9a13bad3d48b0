"""Compares a worker's list of runs with the owner's record."""

import logging

import msgspec

from ..common import log_event
from .lifecycle import Lifecycle
from .model import EndKind, Size, TaskKey, TaskRunStatus
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = ["ReportedEnd", "ReportedRun", "RunReportHandler"]

logger = logging.getLogger(__name__)


class ReportedRun(msgspec.Struct, frozen=True):
    """A run that a worker has.

    :param checkpoint: saved position, empty for none.
    :param percent: progress.
    :param usage: tail latency in milliseconds for a serving task, thousandths of a
        core in use for any other.
    """

    task: TaskKey
    number: int
    checkpoint: str = ""
    percent: int = 0
    usage: int = 0


class ReportedEnd(msgspec.Struct, frozen=True):
    """A run that has ended on a worker.

    :param checkpoint: saved position, empty for none.
    """

    task: TaskKey
    number: int
    kind: EndKind
    checkpoint: str = ""


class RunReportHandler:
    """Applies listings.

    :param book: the owner's tables.
    :param lifecycle: applies what has changed.
    """

    def __init__(self, book: SchedulerState, lifecycle: Lifecycle):
        self._book = book
        self._lifecycle = lifecycle

    def apply(
        self,
        worker: WorkerEntry,
        running: list[ReportedRun],
        ended: list[ReportedEnd],
        *,
        complete: bool,
        sent_s: float,
        now_s: float,
        wall_ms: int,
    ) -> None:
        """Take ends first, then runs, then what is missing from both."""
        for end in ended:
            self._log_end(worker, end)
            self._lifecycle.run_ended(
                worker,
                end.task,
                end.number,
                end.kind,
                end.checkpoint,
                now_s=now_s,
                wall_ms=wall_ms,
            )
        worker.has_unknown_run = False
        worker.report_requested_s = max(worker.report_requested_s, sent_s)
        present = set()
        for listed in running:
            present.add((listed.task, listed.number))
            self._take_running(worker, listed, now_s)
        if complete:
            self._end_missing(worker, present, sent_s, now_s)

    def _take_running(self, worker: WorkerEntry, listed: ReportedRun, now_s: float):
        run = worker.runs.get((listed.task, listed.number))
        step = self._book.step(listed.task.step_key)
        if run is None:
            run = self._adopt(worker, step, listed, now_s)
        if step is None:
            # The run's size is not known, so nothing is placed beside it.
            worker.has_unknown_run = True
        if run.status is TaskRunStatus.STARTING:
            self._lifecycle.run_confirmed(run, now_s)
        if listed.percent != run.percent:
            run.percent, run.progressed_s = listed.percent, now_s
        run.usage = listed.usage
        if step is not None:
            step.keep_checkpoint(listed.task.index, listed.checkpoint)

    def _adopt(
        self,
        worker: WorkerEntry,
        step: StepEntry | None,
        listed: ReportedRun,
        now_s: float,
    ) -> TaskRun:
        """Enter a run that an earlier owner started, or stop one nobody needs."""
        run = TaskRun(
            task=listed.task,
            number=listed.number,
            worker_id=worker.worker_id,
            size=Size() if step is None else step.step.reserved,
            status=TaskRunStatus.RUNNING,
            placed_s=now_s,
            sent=True,
            answered_s=now_s,
        )
        if step is None:
            worker.reserve(run)
            self._lifecycle.stop(run, "job_unknown")
            return run
        index = listed.task.index
        other = step.runs_by_index.get(index)
        wanted = (
            not step.job.status.final
            and index not in step.finished
            and 0 <= index < step.step.count
            and (other is None or other.number < listed.number)
        )
        log_event(
            logger,
            "run_found",
            worker=worker.worker_id,
            task=f"{listed.task.job_id}.{listed.task.step}.{index}",
            run=listed.number,
            wanted=wanted,
        )
        if not wanted:
            worker.reserve(run)
            self._lifecycle.stop(run, "run_not_wanted")
            return run
        if other is not None:
            self._lifecycle.stop(other, "newer_run_found")
        self._lifecycle.begin_run(step, run, worker)
        self._lifecycle.run_confirmed(run, now_s)
        return run

    def _end_missing(
        self, worker: WorkerEntry, present: set, sent_s: float, now_s: float
    ) -> None:
        """End runs that the worker must have listed if it still had them."""
        for key, run in list(worker.runs.items()):
            if key in present or run.answered_s is None or run.answered_s >= sent_s:
                continue
            worker.release(run)
            log_event(
                logger,
                "run_missing",
                worker=worker.worker_id,
                task=f"{run.task.job_id}.{run.task.step}.{run.task.index}",
                run=run.number,
                status=run.status.value,
            )
            self._lifecycle.end_unlisted(run, EndKind.STOPPED, now_s)

    @staticmethod
    def _log_end(worker: WorkerEntry, end: ReportedEnd) -> None:
        task = end.task
        log_event(
            logger,
            "run_ended",
            job=task.job_id,
            task=task.position,
            run=end.number,
            worker=worker.worker_id,
            how=end.kind.value,
        )
