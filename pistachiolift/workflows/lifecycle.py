"""Start and end of jobs and of the runs of their tasks."""

import logging

from ..common import CustomerId, JobId, WorkerId, log_event
from .decisions import StopRun
from .model import EndKind, JobGraph, JobStatus, Queue, StepKey, TaskKey, TaskRunStatus
from .records import JobFinished, TaskFinished
from .scheduler_state import SchedulerState
from .state import JobEntry, OccurrenceEntry, StepEntry, TaskRun, WorkerEntry

__all__ = ["START_DELAY_LIMIT_S", "Lifecycle"]

logger = logging.getLogger(__name__)

# Keeps a task that fails at once from using up its attempts on the same busy worker.
RETRY_DELAY_S = 0.15

# A start without an answer is carried out within this time or not at all.
START_DELAY_LIMIT_S = 12.0


class Lifecycle:
    """Applies the events that change jobs and runs.

    :param state: the owner's jobs and workers.
    """

    def __init__(self, state: SchedulerState):
        self._state = state

    def add_job(
        self,
        job_id: JobId,
        graph: JobGraph,
        queue: Queue,
        *,
        received_s: float,
        received_ms: int,
        customer_id: CustomerId = CustomerId(""),
        excess: bool = False,
    ) -> JobEntry:
        """Add a job with all its occurrences.

        :param received_s: monotonic time of the first request.
        :param received_ms: Unix time of the first request, in milliseconds.
        """
        job = JobEntry(
            job_id=job_id,
            graph=graph,
            queue=queue,
            received_s=received_s,
            received_ms=received_ms,
            customer_id=customer_id,
            excess=excess,
        )
        for number in range(max(1, graph.occurrences)):
            due_ms = graph.first_due_ms + number * graph.interval_ms
            steps = [
                StepEntry(
                    key=StepKey(job_id, number, index),
                    step=step,
                    job=job,
                    waiting=set(range(step.count)),
                )
                for index, step in enumerate(graph.steps)
            ]
            job.occurrences.append(OccurrenceEntry(number, due_ms, steps))
        self._state.jobs_by_id[job_id] = job
        for occurrence in job.occurrences:
            self.open_ready_steps(job, occurrence)
        return job

    def open_ready_steps(self, job: JobEntry, occurrence: OccurrenceEntry) -> None:
        """Open the steps whose predecessors are complete for placement."""
        if job.status.final:
            return
        for entry in occurrence.steps:
            if not entry.waiting or entry.key in self._state.open_steps:
                continue
            if all(occurrence.steps[i].complete for i in entry.step.after):
                table = self._state.open_steps
                if job.graph.occurrences and not occurrence.due:
                    table = self._state.timed_steps
                table[entry.key] = entry

    def add_run(self, step: StepEntry, run: TaskRun, worker: WorkerEntry) -> None:
        """Add a run that was placed on a worker or found there."""
        index = run.task.index
        worker.reserve(run)
        step.runs_by_index[index] = run
        step.waiting.discard(index)
        last = step.last_run_by_index.get(index, 0)
        step.last_run_by_index[index] = max(last, run.number)
        if not step.waiting:
            self._state.open_steps.pop(step.key, None)

    def confirm_run(self, run: TaskRun, now_s: float) -> None:
        """Record that a worker has started a run."""
        if run.confirmed_s is None:
            run.confirmed_s = run.progressed_s = now_s
        if run.status is TaskRunStatus.STARTING:
            run.status = TaskRunStatus.RUNNING
        job = self._state.jobs_by_id.get(run.task.job_id)
        if job is not None:
            job.has_started = True
            if job.status is JobStatus.PENDING:
                self._state.set_status(job, JobStatus.RUNNING, "first_start")

    def stop(self, run: TaskRun, reason: str) -> None:
        """Stop a run; its resources stay reserved until its worker reports the end."""
        if run.status is TaskRunStatus.STOPPING:
            return
        run.status = TaskRunStatus.STOPPING
        if not run.sent:
            self._discard_unsent(run)
            return
        self._state.emit(
            StopRun(
                task=run.task,
                number=run.number,
                worker_id=run.worker_id,
                reason=reason,
            )
        )

    def _discard_unsent(self, run: TaskRun) -> None:
        """End a run whose start has not been sent."""
        worker = self._state.workers_by_id.get(run.worker_id)
        if worker is not None:
            worker.release(run)
        self.end_without_result(run, EndKind.STOPPED, run.placed_s)

    def end_without_result(self, run: TaskRun, kind: EndKind, now_s: float) -> None:
        """End a run that no worker reports and that has no result."""
        self._state.health.record_inconclusive_end(run.worker_id)
        step = self._state.step_of(run.task)
        if step is not None:
            self.apply_end(step, run.task.index, run.number, kind, "", now_s)

    def record_run_end(
        self,
        worker: WorkerEntry,
        task: TaskKey,
        number: int,
        kind: EndKind,
        checkpoint: str,
        *,
        now_s: float,
        wall_ms: int,
    ) -> None:
        """Apply the end of a run that a worker reports, and record its result."""
        run = worker.runs.get((task, number))
        if run is not None:
            worker.release(run)
        step = self._state.step_of(task)
        if step is None:
            return
        job = step.job
        was_final = job.status.final
        if run is not None:
            self._update_worker(worker, step, run, kind, now_s)
        # The end of a long-running task is recorded with the first report only.
        known = run is None if step.step.long_running else task.index in step.finished
        if kind is EndKind.FAILED:
            slot = step.failure_slot(task.index)
            known = number in step.failed_runs_by_index.get(slot, ())
        if kind in (EndKind.DONE, EndKind.FAILED) and not known:
            record = TaskFinished(task, number, kind, checkpoint, wall_ms)
            written = self._state.record(record)
            # A final state that callers may know does not wait for later records.
            if not was_final:
                job.last_record = written
        self.apply_end(step, task.index, number, kind, checkpoint, now_s)
        if kind is EndKind.FAILED:
            slot = step.failure_slot(task.index)
            self.give_up_if_failed(step, slot, now_s)
        if kind is EndKind.FAILED and not job.status.final:
            step.failed_on_by_index.setdefault(task.index, set()).add(worker.worker_id)

    def apply_end(
        self,
        step: StepEntry,
        index: int,
        number: int,
        kind: EndKind,
        checkpoint: str,
        now_s: float,
    ) -> None:
        """Apply the end of a run to its step; also used to replay the ledger.

        It does not give the job up, see :meth:`give_up_if_failed`.
        """
        last = step.last_run_by_index.get(index, 0)
        step.last_run_by_index[index] = max(last, number)
        step.keep_checkpoint(index, checkpoint)
        current = step.runs_by_index.get(index)
        if current is not None and current.number == number:
            del step.runs_by_index[index]
        # A long-running task that exits is restarted, also after a success.
        if kind is EndKind.DONE and not step.step.long_running:
            self._record_success(step, index, number, now_s)
            return
        if kind is EndKind.FAILED:
            step.not_before_s = now_s + RETRY_DELAY_S
            slot = step.failure_slot(index)
            step.failed_runs_by_index.setdefault(slot, set()).add(number)
        if step.job.status.final or index in step.finished:
            return
        if step.step.gang and kind is not EndKind.DONE and not step.complete:
            self._stop_members(step, number, "gang_member_ended")
        # An end is reported until it is acknowledged: a newer run may exist already.
        if index not in step.runs_by_index:
            step.waiting.add(index)
            occurrence = step.job.occurrences[step.key.occurrence]
            self.open_ready_steps(step.job, occurrence)

    def _record_success(self, step: StepEntry, index: int, number: int, now_s: float):
        members = range(step.step.count) if step.step.gang else (index,)
        step.finished.update(members)
        step.waiting.difference_update(members)
        for member in members:
            other = step.runs_by_index.get(member)
            if other is not None and (not step.step.gang or other.number != number):
                self.stop(other, "already_done")
        if not step.waiting:
            self._state.open_steps.pop(step.key, None)
        if not step.complete:
            return
        job = step.job
        occurrence = job.occurrences[step.key.occurrence]
        self.open_ready_steps(job, occurrence)
        if not job.status.final and all(o.complete for o in job.occurrences):
            job.finished_s = now_s
            self._state.set_status(job, JobStatus.COMPLETED, "all_tasks_done")

    def give_up_if_failed(
        self, step: StepEntry, slot: int, now_s: float, *, limit: int | None = None
    ) -> None:
        """Fail a job if one of its tasks or gangs has failed too often.

        :param slot: index under which the failed runs are stored.
        :param limit: number of failed runs with which the job is given up; by default
            that of its queue.
        """
        job = step.job
        failed_runs = step.failed_runs_by_index.get(slot, ())
        if limit is None:
            limit = job.queue.max_failures
        if step.step.long_running or len(failed_runs) < limit:
            return
        if job.status.final or slot in step.finished:
            return
        log_event(
            logger,
            "job_given_up",
            job=job.job_id,
            task=step.key.task(slot).position,
            reason="too_many_failures",
            failed_runs=",".join(str(run) for run in sorted(failed_runs)),
            limit=limit,
            queue=job.queue.queue_id,
        )
        self.fail_job(job, "too_many_failures", now_s)

    def fail_job(self, job: JobEntry, reason: str, now_s: float) -> None:
        """Finish a job as failed, and write the verdict to the ledger.

        A later owner may have other limits when it reads the ends and the crashes.
        """
        self.finish_job(job, JobStatus.FAILED, reason, now_s)
        at_ms = job.received_ms + int((now_s - job.received_s) * 1000)
        job.last_record = self._state.record(
            JobFinished(
                job.job_id,
                job.queue,
                job.status,
                job.received_ms,
                at_ms,
                job.customer_id,
                job.excess,
            )
        )

    def finish_job(
        self, job: JobEntry, status: JobStatus, reason: str, now_s: float
    ) -> None:
        """Finish a job that has failed or was cancelled, and stop its runs."""
        if job.status.final:
            return
        job.finished_s = now_s
        self._state.set_status(job, status, reason)
        for step in job.steps():
            self._state.open_steps.pop(step.key, None)
            self._state.timed_steps.pop(step.key, None)
            for run in list(step.runs_by_index.values()):
                self.stop(run, reason)

    def _stop_members(self, step: StepEntry, number: int, reason: str) -> None:
        for run in list(step.runs_by_index.values()):
            if run.number == number:
                self.stop(run, reason)

    def _update_worker(
        self,
        worker: WorkerEntry,
        step: StepEntry,
        run: TaskRun,
        kind: EndKind,
        now_s: float,
    ) -> None:
        """Update a worker's health and speed from the end of a run."""
        health = self._state.health
        if kind is EndKind.DONE:
            health.record_success(
                worker.worker_id,
                run.task.job_id,
                zone=worker.worker.zone,
                started_s=run.placed_s,
                now_s=now_s,
            )
            self.apply_quarantine(worker, run.task.job_id, now_s)
        elif kind is EndKind.FAILED:
            self.record_failure(worker, run, now_s)
        else:
            health.record_inconclusive_end(worker.worker_id)
        if kind is EndKind.DONE and not step.step.gang and run.confirmed_s is not None:
            worker.speed.add(now_s - run.confirmed_s, step.step.estimate_s)

    def record_failure(self, worker: WorkerEntry, run: TaskRun, now_s: float) -> None:
        """Record that a run has failed or made no progress on its worker."""
        health = self._state.health
        changed = health.record_failure(
            worker.worker_id,
            run.task.job_id,
            now_s,
            zone=worker.worker.zone,
            started_s=run.placed_s,
        )
        worker.risky = worker.risky or health.is_risky(worker.worker_id, now_s)
        for worker_id in changed:
            entry = self._state.workers_by_id.get(worker_id)
            if entry is not None:
                self._apply_quarantine(entry, run.task.job_id, now_s)

    def apply_quarantine(
        self, worker: WorkerEntry, job_id: JobId, now_s: float
    ) -> None:
        """Note and log a change of a worker's quarantine, if there is one."""
        since_s = self._state.health.quarantined_since_s(worker.worker_id)
        if since_s != worker.quarantined_s:
            self._apply_quarantine(worker, job_id, now_s)

    def _apply_quarantine(
        self, worker: WorkerEntry, job_id: JobId, now_s: float
    ) -> None:
        """Note and log that a worker's quarantine has begun, was renewed or is over."""
        health = self._state.health
        worker.quarantined_s = health.quarantined_since_s(worker.worker_id)
        quarantined = health.is_quarantined(worker.worker_id)
        until_s = health.quarantined_until_s(worker.worker_id)
        name = "quarantined" if quarantined else "released"
        self._state.counts[f"health.worker_{name}"] += 1
        log_event(
            logger,
            "worker_quarantine_changed",
            worker=worker.worker_id,
            zone=worker.worker.zone,
            quarantined=quarantined,
            period_s=-1.0 if until_s is None else until_s - now_s,
            failing_jobs=health.failing_job_count(worker.worker_id),
            failure_share=health.failure_share(worker.worker_id),
            zone_fails=worker.worker.zone in health.failing_zones,
            job=job_id,
        )

    def end_runs_of(self, worker: WorkerEntry, *, now_s: float) -> None:
        """End all runs of a worker on which none can still be running."""
        worker_id: WorkerId = worker.worker_id
        if worker.runs:
            log_event(
                logger,
                "worker_runs_lost",
                worker=worker_id,
                runs=len(worker.runs),
                lease_end_s=worker.lease_end_s,
            )
        worker.release_possible_runs()
        for run in list(worker.runs.values()):
            worker.release(run)
            log_event(
                logger,
                "run_lost",
                job=run.task.job_id,
                task=run.task.position,
                run=run.number,
                worker=worker_id,
                incarnation=worker.worker.incarnation,
                status=run.status.value,
                sent=run.sent,
                lease_left_s=worker.lease_end_s - now_s,
                reported=worker.has_reported,
            )
            self.end_without_result(run, EndKind.LEASE_EXPIRED, now_s)

    def take_uncertain_starts(self, worker: WorkerEntry, now_s: float) -> list[TaskRun]:
        """Remove and return the runs that the replacement process may start.

        The replacement carries out a start whose answer is outstanding or was lost,
        even if a repetition of it was answered by the old process. An answer that came
        after the last report of the old process was requested may be its own.
        """
        uncertain = [
            run
            for run in worker.runs.values()
            if run.sent
            and (
                run.answered_s is None
                or run.answered_s >= worker.report_requested_s
                or _may_be_delayed(run, now_s)
            )
        ]
        for run in uncertain:
            worker.release(run)
        return uncertain

    def move_uncertain_start(
        self, run: TaskRun, worker: WorkerEntry, now_s: float
    ) -> None:
        """Expect a run at the replacement process, which may have started it.

        Calls to the replacement carry a higher fencing token than the start did, so
        that its first report shows whether it has the run, and ends it otherwise.
        """
        moved = TaskRun(
            task=run.task,
            number=run.number,
            worker_id=worker.worker_id,
            size=run.size,
            status=TaskRunStatus.STARTING,
            placed_s=now_s,
            sent=True,
            # Any report of the replacement is newer than the start.
            answered_s=0.0,
            unanswered_s=run.unanswered_s,
            alone=run.alone,
            charge=run.charge,
        )
        worker.reserve(moved)
        log_event(
            logger,
            "run_in_doubt",
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            worker=worker.worker_id,
            incarnation=worker.worker.incarnation,
            unanswered_age_s=_age_s(run.unanswered_s, now_s),
            answered_age_s=_age_s(run.answered_s, now_s),
        )
        step = self._state.step_of(run.task)
        if step is not None and step.runs_by_index.get(run.task.index) is run:
            step.runs_by_index[run.task.index] = moved
        if run.status is TaskRunStatus.STOPPING:
            self.stop(moved, "worker_replaced")


def _age_s(event_s: float | None, now_s: float) -> float:
    """Return the age of an event for the log; -1 if there was none."""
    return -1.0 if event_s is None else now_s - event_s


def _may_be_delayed(run: TaskRun, now_s: float) -> bool:
    """Whether a start of the run without an answer may still be carried out."""
    return (
        run.unanswered_s is not None and now_s - run.unanswered_s <= START_DELAY_LIMIT_S
    )
