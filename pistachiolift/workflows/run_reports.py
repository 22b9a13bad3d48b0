"""Reconciles the run reports of workers with the owner's state."""

import logging

import msgspec

from ..common import log_event
from .crashes import CrashTracker
from .lifecycle import Lifecycle
from .model import EndKind, RunCharge, Size, TaskKey, TaskRunStatus
from .pace import record_percent
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = ["SURVIVAL_S", "ReportedEnd", "ReportedRun", "RunReportHandler"]

logger = logging.getLogger(__name__)

# A report requested this long after the start of a run shows whether the run has
# survived its start; a task that crashes its worker does so within about 10 ms.
SURVIVAL_S = 0.1


class ReportedRun(msgspec.Struct, frozen=True):
    """A run that a worker reports as present.

    :param checkpoint: saved position, empty for none.
    :param percent: progress, 0 to 100.
    :param usage: tail latency in milliseconds for a serving task, thousandths of a
        core in use for any other.
    """

    task: TaskKey
    number: int
    checkpoint: str = ""
    percent: int = 0
    usage: int = 0


class ReportedEnd(msgspec.Struct, frozen=True):
    """A run that a worker reports as ended.

    :param checkpoint: saved position, empty for none.
    """

    task: TaskKey
    number: int
    kind: EndKind
    checkpoint: str = ""


class RunReportHandler:
    """Applies run reports.

    :param state: the owner's jobs and workers.
    :param lifecycle: applies the changes.
    :param crashes: counts the crashes of workers.
    """

    def __init__(
        self, state: SchedulerState, lifecycle: Lifecycle, crashes: CrashTracker
    ):
        self._state = state
        self._lifecycle = lifecycle
        self._crashes = crashes

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
        clock_ms: int = 0,
    ) -> None:
        """Apply ended runs, then running ones, then runs missing from the report.

        :param complete: whether the report contains all ended runs.
        :param sent_s: time at which the report was requested.
        :param clock_ms: worker's clock at the time of the report; 0 if unknown.
        """
        for end in ended:
            self._log_end(worker, end)
            self._crashes.handle_reported_run(end.task, end.number)
            self._lifecycle.record_run_end(
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
        worker.reported_s = now_s
        worker.clock_ms = max(worker.clock_ms, clock_ms)
        present = set()
        for reported in running:
            present.add((reported.task, reported.number))
            self._crashes.handle_reported_run(reported.task, reported.number)
            self._apply_running(worker, reported, sent_s, now_s)
            step = self._state.step_of(reported.task)
            run = worker.runs.get((reported.task, reported.number))
            if step is not None and run is not None:
                record_percent(run, step, reported.percent, clock_ms)
        if complete:
            worker.release_possible_runs()
            self._end_missing(worker, present, sent_s, now_s)

    def _apply_running(
        self, worker: WorkerEntry, reported: ReportedRun, sent_s: float, now_s: float
    ) -> None:
        run = worker.runs.get((reported.task, reported.number))
        step = self._state.step_of(reported.task)
        if run is None:
            run = self._adopt(worker, step, reported, now_s)
        if step is None:
            # The size of the run is unknown: place no other run on its worker.
            worker.has_unknown_run = True
        if run.status is TaskRunStatus.STARTING:
            self._lifecycle.confirm_run(run, now_s)
        if run.first_percent_s is None:
            run.first_percent, run.first_percent_s = reported.percent, now_s
        if reported.percent != run.percent:
            run.percent, run.progressed_s = reported.percent, now_s
        run.usage = reported.usage
        self._check_survival(worker, step, run, sent_s)
        if step is not None:
            step.keep_checkpoint(reported.task.index, reported.checkpoint)

    def _check_survival(
        self, worker: WorkerEntry, step: StepEntry | None, run: TaskRun, sent_s: float
    ) -> None:
        started_s = run.confirmed_s if run.answered_s is None else run.answered_s
        if run.survived or started_s is None or sent_s < started_s + SURVIVAL_S:
            return
        worker.record_survival(run)
        if step is not None:
            self._crashes.record_survival(step, run)

    def _adopt(
        self,
        worker: WorkerEntry,
        step: StepEntry | None,
        reported: ReportedRun,
        now_s: float,
    ) -> TaskRun:
        """Add a run that an earlier owner started, or stop it if it is not needed."""
        run = TaskRun(
            task=reported.task,
            number=reported.number,
            worker_id=worker.worker_id,
            size=Size() if step is None else step.step.reserved,
            status=TaskRunStatus.RUNNING,
            placed_s=now_s,
            sent=True,
            answered_s=now_s,
            charge=self._charge(worker, step, reported),
        )
        if step is None:
            worker.reserve(run)
            self._lifecycle.stop(run, "job_unknown")
            return run
        index = reported.task.index
        other = step.runs_by_index.get(index)
        wanted = (
            not step.job.status.final
            and index not in step.finished
            and (other is None or other.number < reported.number)
        )
        log_event(
            logger,
            "run_found",
            worker=worker.worker_id,
            task=f"{reported.task.job_id}.{reported.task.step}.{index}",
            run=reported.number,
            wanted=wanted,
        )
        if not wanted:
            worker.reserve(run)
            self._lifecycle.stop(run, "run_not_wanted")
            return run
        if other is not None:
            self._lifecycle.stop(other, "newer_run_found")
        self._lifecycle.add_run(step, run, worker)
        self._lifecycle.confirm_run(run, now_s)
        return run

    @staticmethod
    def _charge(
        worker: WorkerEntry, step: StepEntry | None, reported: ReportedRun
    ) -> RunCharge | None:
        """Return what a found run counts; its job may be known no longer."""
        if step is not None:
            return step.charge
        return worker.possible_charges_by_run.get((reported.task, reported.number))

    def _end_missing(
        self, worker: WorkerEntry, present: set, sent_s: float, now_s: float
    ) -> None:
        """End runs that the report would contain if the worker still had them."""
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
            self._lifecycle.end_without_result(run, EndKind.STOPPED, now_s)

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
