"""Finds the tasks that crash the workers on which they are started."""

import logging
from dataclasses import dataclass

from ..common import WorkerId, log_event
from .lifecycle import Lifecycle
from .model import CrashCause, TaskKey, TaskRunStatus, Worker, WorkerState
from .records import RunCrashed
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun

__all__ = ["CrashTracker"]

logger = logging.getLogger(__name__)

# A job fails when this many workers were lost soon after starting one of its tasks.
# Workers crash for other reasons too, and then in numbers, and one that has left the
# directory may only be cut off; but crashed workers may come back under other
# identifiers, so that such losses cannot be left out. The first loss may have hit many
# new runs; after it the task is started alone, and is exposed only for the short time
# until the next report. A task that crashes every worker must not be started three
# times more after the third crash.
MAX_CRASHES = 4

# A worker that was taken for crashed, but was only unreachable, reports again within
# this time.
RETURN_LIMIT_S = 60.0

# The directory removes the entry of a crashed worker, after which the crash counts, at
# most this long after the lease of its runs has ended.
COUNT_DELAY_S = 3.0

# Number of suspected tasks that a log line lists.
MAX_LOGGED_TASKS = 8


@dataclass(slots=True)
class LostRuns:
    """Runs that had not survived their start when the lease of their worker ended.

    :param crashed: whether the worker counts as crashed.
    :param forget_s: time after which a report of the worker is no longer expected.
    """

    worker: Worker
    runs: list[TaskRun]
    crashed: bool
    forget_s: float


class CrashTracker:
    """Counts the crashes of workers against the tasks that they had just started.

    A run that a report has shown some time after its start has survived its start, and
    is not the cause of a later crash. The others are suspected. Their tasks are started
    again one at a time on a worker, so that a second crash has one possible cause.

    :param state: the owner's jobs and workers.
    :param lifecycle: ends the jobs.
    """

    def __init__(self, state: SchedulerState, lifecycle: Lifecycle):
        self._state = state
        self._lifecycle = lifecycle
        self._lost_by_worker: dict[WorkerId, LostRuns] = {}

    def record_lost(self, worker: Worker, runs: list[TaskRun], now_s: float) -> None:
        """Record that a lease has ended; the worker crashed or is unreachable."""
        lost = [run for run in runs if run.sent and not run.survived]
        for run in lost:
            step = self._state.step_of(run.task)
            if step is not None and _is_suspected(worker, run):
                step.isolated.add(step.failure_slot(run.task.index))
        known = self._lost_by_worker.get(worker.worker_id)
        if known is not None and known.worker.incarnation == worker.incarnation:
            known.runs += lost
        elif lost:
            self._lost_by_worker[worker.worker_id] = LostRuns(
                worker, lost, False, now_s + RETURN_LIMIT_S
            )
        for run in lost:
            self._hold_at_limit(run, now_s)

    def _hold_at_limit(self, run: TaskRun, now_s: float) -> None:
        """Do not start a task again while its newest loss may still end its job."""
        step = self._state.step_of(run.task)
        if step is None:
            return
        index = run.task.index
        numbers = set(step.crashed_runs_by_index.get(index, ()))
        if not run.alone and len(numbers) < MAX_CRASHES - 1:
            # Most runs: the first loss of a task.
            return
        for lost in self._lost_by_worker.values():
            numbers.update(r.number for r in lost.runs if r.task == run.task)
        if len(numbers) >= MAX_CRASHES:
            step.held_until_by_index[step.failure_slot(index)] = now_s + COUNT_DELAY_S

    def record_crash(
        self, worker: Worker, runs: list[TaskRun], now_s: float, *, replaced: bool
    ) -> None:
        """Count the loss of a worker against the runs that had not survived.

        :param replaced: whether another process has taken its place. A worker that
            only left the directory may be cut off and still be running.
        """
        self.record_lost(worker, runs, now_s)
        lost = self._lost_by_worker.get(worker.worker_id)
        if (
            lost is None
            or lost.crashed
            or lost.worker.incarnation != worker.incarnation
        ):
            return
        lost.crashed = True
        suspected = [run for run in lost.runs if _is_suspected(worker, run)]
        names = [f"{run.task.job_id}.{run.task.position}" for run in suspected]
        log_event(
            logger,
            "worker_crashed",
            worker=worker.worker_id,
            incarnation=worker.incarnation,
            replaced=replaced,
            runs=len(lost.runs),
            suspected=len(suspected),
            tasks=",".join(names[:MAX_LOGGED_TASKS]),
        )
        for run in lost.runs:
            # A run whose lease had ended before says nothing about the crash.
            proven = replaced and run in suspected and run in runs
            cause = CrashCause.SUSPECTED if proven else CrashCause.UNKNOWN
            self._log_evidence(
                worker, run, cause, now_s, replaced=replaced, suspected=len(suspected)
            )
            self.record_run_crash(run, cause, now_s)

    @staticmethod
    def _log_evidence(
        worker: Worker,
        run: TaskRun,
        cause: CrashCause,
        now_s: float,
        *,
        replaced: bool,
        suspected: int,
    ) -> None:
        """Log what speaks for a run as the cause of the crash of its worker."""
        age_s = -1.0 if run.confirmed_s is None else now_s - run.confirmed_s
        log_event(
            logger,
            "run_crashed",
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            worker=worker.worker_id,
            worker_state=worker.state.value,
            replaced=replaced,
            cause=cause.value,
            run_status=run.status.value,
            started_alone=run.alone,
            suspected_there=suspected,
            confirmed_age_s=age_s,
        )

    def handle_report(self, worker: Worker, now_s: float) -> None:
        """Clear the suspicion against the lost runs of a worker that is alive."""
        lost = self._lost_by_worker.get(worker.worker_id)
        if lost is None or lost.worker.incarnation != worker.incarnation:
            return
        del self._lost_by_worker[worker.worker_id]
        if not lost.crashed:
            return
        log_event(logger, "worker_crash_retracted", worker=worker.worker_id)
        for run in lost.runs:
            self.record_run_crash(run, CrashCause.NO_CRASH, now_s)

    def handle_reported_run(self, task: TaskKey, number: int) -> None:
        """Clear a counted crash whose run a worker reports, at work or ended.

        The crash may have been counted by an earlier owner.
        """
        step = self._state.step_of(task)
        if step is None or step.job.status.final:
            return
        if number in step.crashed_runs_by_index.get(task.index, {}):
            record = RunCrashed(task, number, CrashCause.NO_CRASH)
            step.job.last_record = self._state.record(record)
            self.apply(step, record)

    def record_survival(self, step: StepEntry, run: TaskRun) -> None:
        """Clear the counted crashes of a task, one of whose runs survived its start.

        The ledger gets the retractions, since the next owner would count the crashes
        again.
        """
        index = run.task.index
        crashes = step.crashed_runs_by_index.get(index, {})
        if step.job.status.final:
            # The counts are the evidence on which the job may have been given up.
            return
        for number in crashes:
            record = RunCrashed(run.task, number, CrashCause.NO_CRASH)
            step.job.last_record = self._state.record(record)
        if crashes:
            log_event(
                logger,
                "run_crashes_cleared",
                job=run.task.job_id,
                task=run.task.position,
                run=run.number,
                crashes=len(crashes),
            )
        step.record_survival(index, run.number)

    def record_run_crash(self, run: TaskRun, cause: CrashCause, now_s: float) -> None:
        """Count a crash against the task of a run, and write it to the ledger."""
        step = self._state.step_of(run.task)
        if step is None or step.job.status.final or run.task.index in step.finished:
            return
        survived = step.survived_run_by_index.get(run.task.index, 0)
        if cause is not CrashCause.NO_CRASH and run.number < survived:
            return
        record = RunCrashed(run.task, run.number, cause)
        step.job.last_record = self._state.record(record)
        self.apply(step, record)
        self.give_up_if_crashed(step, run.task.index, now_s)

    @staticmethod
    def apply(step: StepEntry, record: RunCrashed) -> None:
        """Apply a counted crash to its step; also used to replay the ledger.

        It does not give the job up, see :meth:`give_up_if_crashed`.
        """
        index = record.task.index
        # Each member of a gang has its own count: the workers of the gang are many.
        crashes = step.crashed_runs_by_index.setdefault(index, {})
        if record.cause is CrashCause.NO_CRASH:
            crashes.pop(record.run, None)
            if not crashes:
                del step.crashed_runs_by_index[index]
            return
        crashes[record.run] = record.cause
        step.isolated.add(step.failure_slot(index))

    def give_up_if_crashed(self, step: StepEntry, index: int, now_s: float) -> None:
        """Fail a job if too many workers were lost under one of its tasks."""
        crashes = step.crashed_runs_by_index.get(index, {})
        if len(crashes) < MAX_CRASHES:
            return
        if step.job.status.final or index in step.finished:
            return
        log_event(
            logger,
            "job_given_up",
            job=step.job.job_id,
            task=step.key.task(index).position,
            reason="workers_crashed",
            crashes=",".join(f"{run}:{cause.value}" for run, cause in crashes.items()),
            limit=MAX_CRASHES,
        )
        self._lifecycle.fail_job(step.job, "workers_crashed", now_s)

    def check(self, now_s: float) -> None:
        """Forget the lost runs of workers that did not report again."""
        for worker_id, lost in list(self._lost_by_worker.items()):
            if now_s > lost.forget_s:
                del self._lost_by_worker[worker_id]


def _is_suspected(worker: Worker, run: TaskRun) -> bool:
    """Whether a run may be the cause of the crash of its worker.

    A draining worker ends by plan, and a start without an answer may never have
    arrived.
    """
    return (
        worker.state is WorkerState.READY
        and run.confirmed_s is not None
        and run.status is not TaskRunStatus.STARTING
    )
