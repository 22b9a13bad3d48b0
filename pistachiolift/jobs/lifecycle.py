"""Start, stop and end of tasks, and the resulting changes of their jobs."""

from ..common import ErrorCode
from .constants import (
    CHECKPOINT_LIMIT_S,
    JOBS_WOKEN_BY_QUOTA,
    LEASE_BOUND_S,
    POLL_AGAIN_S,
    RETRY_BASE_S,
    RETRY_CAP_S,
    START_BOUND_S,
    STOP_RETRY_S,
    TASK_LEASE_S,
    with_margin_s,
)
from .decisions import CheckpointTask, RenewLease, StartTask, StopTask
from .model import EndReason, JobState, TaskState, WorkerStatus
from .records import JobRecord, WaitingTask
from .state import SchedulerState
from .tasks import TaskRecord
from .workers import WorkerState

__all__ = ["TaskLifecycle"]

# Ends caused by the task or its worker; only these count as failed attempts.
FAILURES = frozenset({EndReason.FAILED, EndReason.RUN_LIMIT, EndReason.OVERUSE})


class TaskLifecycle:
    """Reserves, starts, stops and ends tasks.

    Room and quota are reserved in :meth:`attach` and freed only in :meth:`end`, which
    is called once the attempt is known not to run and cannot start any more.
    """

    def __init__(self, state: SchedulerState):
        self.state = state

    def reserve(
        self, job: JobRecord, waiting: WaitingTask, worker: WorkerState, now_s: float
    ) -> TaskRecord:
        """Place a task on a worker; it starts when the placement is durable."""
        task = TaskRecord(
            job_id=job.job_id,
            index=waiting.index,
            attempt=waiting.attempt,
            failures=waiting.failures,
            worker_id=worker.worker_id,
            resources=job.spec.resources,
            priority=job.spec.priority,
            avoided=waiting.avoided,
        )
        self.attach(job, task, worker, now_s)
        self.state.health.record_placement(worker.worker_id)
        self.state.refresh(worker, now_s)
        self.state.ledger.place(job, task)
        return task

    def attach(
        self, job: JobRecord, task: TaskRecord, worker: WorkerState, now_s: float
    ) -> None:
        """Add a task to its job, its worker and the quota use of its customer."""
        worker.add_task(task)
        job.running_by_index[task.index] = task
        job.tasks_by_worker[worker.worker_id] += 1
        job.tasks_by_rack[worker.rack_id] += 1
        self.state.quota.charge(job.customer_id, task.resources)
        self.state.running_tasks += 1

    def start(self, task: TaskRecord, now_s: float) -> None:
        """Send the start command of a durable placement."""
        state = self.state
        worker = state.workers_by_id[task.worker_id]
        job = state.jobs_by_id[task.job_id]
        if worker.status is not WorkerStatus.LIVE:
            self.end(task, EndReason.NOT_STARTED, now_s)
            return
        task.events.start_sent()
        task.started_s = now_s
        task.start_expires_s = now_s + START_BOUND_S
        state.emit(
            StartTask(
                worker_id=worker.worker_id,
                task_id=task.task_id,
                issued_s=now_s,
                job_id=job.job_id,
                resources=task.resources,
                run_s=job.spec.run_s,
                payload=job.spec.payload,
            )
        )
        state.timers.schedule(task.start_expires_s, self._check_start, task)

    def assume_started(
        self, task: TaskRecord, now_s: float, start_expires_s: float
    ) -> None:
        """Treat a placement from the ledger as started until its worker reports.

        :param start_expires_s: time from which a report is requested if none contains
            the task.
        """
        task.events.start_sent()
        task.started_s = now_s
        task.start_expires_s = start_expires_s
        self.state.timers.schedule(start_expires_s, self._check_start, task)

    def renew(self, worker: WorkerState, now_s: float) -> None:
        """Renew the leases at a worker and extend its latest lease end."""
        worker.last_renew_s = now_s
        worker.lease_until_s = now_s + LEASE_BOUND_S
        self.state.emit(
            RenewLease(worker_id=worker.worker_id, issued_s=now_s, lease_s=TASK_LEASE_S)
        )

    def request_report(self, worker: WorkerState, now_s: float) -> None:
        """Request a worker's report without renewing its leases."""
        self.state.emit(
            RenewLease(worker_id=worker.worker_id, issued_s=now_s, lease_s=0.0)
        )

    def _check_start(self, task: TaskRecord, now_s: float) -> None:
        """Request a report if a start was not acknowledged by its expiry."""
        if task.state is not TaskState.STARTING:
            return
        worker = self.state.workers_by_id[task.worker_id]
        next_check = self._check_start
        if worker.reachable:
            self.state.metrics.count("jobs.start_unconfirmed")
            self.request_report(worker, now_s)
            next_check = self._stop_unconfirmed_start
        self.state.timers.schedule(now_s + POLL_AGAIN_S, next_check, task)

    def _stop_unconfirmed_start(self, task: TaskRecord, now_s: float) -> None:
        """Stop a task that no report has contained.

        The start command has expired and the worker would refuse it, so the answer to
        the stop proves whether the task runs.
        """
        if task.state is TaskState.STARTING:
            self.stop(task, EndReason.NOT_STARTED, now_s)

    def confirm(self, task: TaskRecord, now_s: float) -> None:
        """Record that the worker has accepted or reported the task."""
        job = self.state.jobs_by_id[task.job_id]
        was_starting = task.state is TaskState.STARTING
        task.confirmed_s = min(task.confirmed_s, now_s)
        task.events.confirmed()
        if was_starting:
            self.state.planner.put(task, task.started_s, job.spec.checkpointable)
            if job.spec.max_run_s:
                # The end of a task within the limit may be reported late.
                limit_s = with_margin_s(job.spec.max_run_s)
                due_s = task.started_s + limit_s + self.state.report_interval_s
                self.state.timers.schedule(due_s, self._run_limit, task)
            if job.gang_restarting:
                self.stop(task, EndReason.GANG_RESTART, now_s)

    def _run_limit(self, task: TaskRecord, now_s: float) -> None:
        if task.state in (TaskState.RUNNING, TaskState.CHECKPOINTING):
            self.stop(task, EndReason.RUN_LIMIT, now_s)

    def stop(self, task: TaskRecord, reason: EndReason, now_s: float) -> None:
        """Stop a task; its room stays reserved until its end is confirmed."""
        if task.state is TaskState.RESERVED:
            self.end(task, reason, now_s)
            return
        if task.state in (TaskState.STOPPING, TaskState.ENDED):
            return
        task.stop_reason = reason
        task.events.stop_sent()
        self.state.planner.discard(task)
        self._send_stop(task, now_s)

    def _send_stop(self, task: TaskRecord, now_s: float) -> None:
        """Send the stop command and repeat it until the end is confirmed."""
        if task.state is not TaskState.STOPPING:
            return
        if self.state.workers_by_id[task.worker_id].reachable:
            self.state.emit(
                StopTask(
                    worker_id=task.worker_id,
                    task_id=task.task_id,
                    issued_s=now_s,
                    reason=task.stop_reason,
                )
            )
        self.state.timers.schedule(now_s + STOP_RETRY_S, self._send_stop, task)

    def evict(self, task: TaskRecord, reason: EndReason, now_s: float) -> None:
        """Stop a task, after a checkpoint if it supports checkpoints."""
        job = self.state.jobs_by_id[task.job_id]
        if task.state is not TaskState.RUNNING or not job.spec.checkpointable:
            self.stop(task, reason, now_s)
            return
        task.stop_reason = reason
        task.events.checkpoint_sent()
        self.state.planner.discard(task)
        self.state.emit(
            CheckpointTask(
                worker_id=task.worker_id, task_id=task.task_id, issued_s=now_s
            )
        )
        self.state.timers.schedule(
            now_s + CHECKPOINT_LIMIT_S, self.checkpoint_done, task
        )
        self.state.timers.schedule(
            now_s + POLL_AGAIN_S, self._request_checkpoint_report, task
        )

    def _request_checkpoint_report(self, task: TaskRecord, now_s: float) -> None:
        if task.state is TaskState.CHECKPOINTING:
            worker = self.state.workers_by_id[task.worker_id]
            if worker.reachable:
                self.request_report(worker, now_s)

    def checkpoint_done(self, task: TaskRecord, now_s: float) -> None:
        """Stop a task whose checkpoint is complete or has timed out."""
        if task.state is TaskState.CHECKPOINTING:
            self.stop(task, task.stop_reason, now_s)

    def end(self, task: TaskRecord, reason: EndReason, now_s: float) -> None:
        """End a task that is known not to run and cannot start, and free its room."""
        state = self.state
        job = state.jobs_by_id[task.job_id]
        worker = state.workers_by_id[task.worker_id]
        task.events.ended()
        state.planner.discard(task)
        worker.remove_task(task)
        del job.running_by_index[task.index]
        self._decrement_counters(job, worker)
        state.quota.release(job.customer_id, task.resources)
        state.running_tasks -= 1
        self._update_health(task, reason, now_s)
        state.room_freed(worker, now_s)
        state.queue.wake_customer(job.customer_id, JOBS_WOKEN_BY_QUOTA)
        state.ledger.change(job)
        state.metrics.count(f"jobs.task_ended.{reason.value}")
        if job.state is JobState.ENDING:
            self._finish_if_idle(job, now_s)
        elif reason is EndReason.SUCCEEDED:
            self._task_done(job, now_s)
        elif job.is_gang:
            self._restart_gang(job, task, reason, now_s)
        else:
            self._retry(job, task, reason, now_s)

    @staticmethod
    def _decrement_counters(job: JobRecord, worker: WorkerState) -> None:
        for counter, key in (
            (job.tasks_by_worker, worker.worker_id),
            (job.tasks_by_rack, worker.rack_id),
        ):
            counter[key] -= 1
            if counter[key] <= 0:
                del counter[key]

    def _update_health(self, task: TaskRecord, reason: EndReason, now_s: float) -> None:
        """Update the health of the worker from the end of the attempt."""
        state = self.state
        if reason is EndReason.SUCCEEDED:
            state.health.record_success(task.worker_id, task.job_id)
        elif reason is EndReason.FAILED:
            changed = state.health.record_failure(task.worker_id, task.job_id, now_s)
            for worker_id in changed:
                state.metrics.count("jobs.quarantine_changed")
                worker = state.workers_by_id.get(worker_id)
                if worker is not None:
                    state.room_freed(worker, now_s)
                until_s = state.health.quarantined_until_s(worker_id)
                if until_s is not None:
                    state.timers.schedule(until_s, self._retry_quarantined, worker_id)
        else:
            state.health.record_inconclusive_end(task.worker_id)

    def _retry_quarantined(self, worker_id, now_s: float) -> None:
        worker = self.state.workers_by_id.get(worker_id)
        if worker is not None:
            self.state.room_freed(worker, now_s)

    def _task_done(self, job: JobRecord, now_s: float) -> None:
        job.done += 1
        if job.done == job.spec.tasks:
            self.end_job(job, EndReason.SUCCEEDED, None, now_s)

    def _retry(
        self, job: JobRecord, task: TaskRecord, reason: EndReason, now_s: float
    ) -> None:
        """Schedule another attempt of a task, or end the job as failed."""
        failures = task.failures + (reason in FAILURES)
        if reason in FAILURES and self._is_hopeless(job, failures):
            self.end_job(job, EndReason.FAILED, ErrorCode.RETRIES_EXHAUSTED, now_s)
            return
        avoided = frozenset()
        if reason in FAILURES:
            avoided = task.avoided | {task.worker_id}
        job.waiting_by_index[task.index] = WaitingTask(
            task.index, task.attempt + 1, failures, avoided
        )
        delay_s = self._delay_s(reason, failures)
        self.state.metrics.count(f"jobs.retry.{reason.value}")
        if delay_s:
            self.state.timers.schedule(
                now_s + delay_s, self._retry_due, job, task.index, task.attempt + 1
            )
        else:
            self._retry_due(job, task.index, task.attempt + 1, now_s)

    def _is_hopeless(self, job: JobRecord, failures: int) -> bool:
        return (
            failures >= job.spec.max_attempts
            or self.state.health.job_fails_everywhere(job.job_id)
        )

    def _delay_s(self, reason: EndReason, failures: int) -> float:
        """Return the backoff before the next attempt, with full jitter."""
        if reason in FAILURES:
            limit_s = min(RETRY_CAP_S, RETRY_BASE_S * 2 ** min(failures - 1, 30))
            return limit_s * self.state.rng.random()
        # Prevents a tight loop with a worker that refuses every start.
        return RETRY_BASE_S if reason is EndReason.NOT_STARTED else 0.0

    def _retry_due(
        self, job: JobRecord, index: int, attempt: int, now_s: float
    ) -> None:
        waiting = job.waiting_by_index.get(index)
        if waiting is None or waiting.attempt != attempt:
            return
        job.ready.append(index)
        self.state.queue.add(job)

    def _restart_gang(
        self, job: JobRecord, task: TaskRecord, reason: EndReason, now_s: float
    ) -> None:
        """Stop the remaining tasks of a gang and restart it as a whole."""
        if reason in FAILURES:
            job.gang_failed = True
            job.avoided |= {task.worker_id}
        if not job.gang_restarting:
            job.gang_restarting = True
            for other in list(job.running_by_index.values()):
                if other.state is not TaskState.ENDED:
                    self.stop(other, EndReason.GANG_RESTART, now_s)
        self._begin_round(job, now_s)

    def check_gang(self, job: JobRecord, complete: bool, now_s: float) -> None:
        """Restart a restored gang if tasks are missing in its ledger entry."""
        if not complete:
            job.gang_restarting = True
            self._begin_round(job, now_s)

    def _begin_round(self, job: JobRecord, now_s: float) -> None:
        if job.running_by_index or not job.gang_restarting:
            return
        if job.gang_failed:
            job.failures += 1
            if self._is_hopeless(job, job.failures):
                self.end_job(job, EndReason.FAILED, ErrorCode.RETRIES_EXHAUSTED, now_s)
                return
        cause = EndReason.FAILED if job.gang_failed else EndReason.NOT_STARTED
        job.restart()
        job.gang_delayed = True
        self.state.timers.schedule(
            now_s + self._delay_s(cause, job.failures), self._gang_due, job
        )

    def _gang_due(self, job: JobRecord, now_s: float) -> None:
        job.gang_delayed = False
        if job.placeable:
            self.state.queue.add(job)

    def end_job(
        self, job: JobRecord, reason: EndReason, code: ErrorCode | None, now_s: float
    ) -> None:
        """End a job and stop its tasks; the end is announced once it is durable."""
        state = self.state
        if job.state in (JobState.ENDING, JobState.ENDED):
            return
        job.state = JobState.ENDING
        job.end_reason, job.end_code = reason, code
        job.drop_waiting()
        state.queue.remove(job)
        for worker_id in list(state.held_ids_by_job.get(job.job_id, ())):
            state.set_hold(state.workers_by_id[worker_id], None, now_s)
        state.ledger.change(job)
        for task in list(job.running_by_index.values()):
            if task.state is not TaskState.ENDED:
                self.stop(task, reason, now_s)
        self._finish_if_idle(job, now_s)

    def _finish_if_idle(self, job: JobRecord, now_s: float) -> None:
        if job.running_by_index or job.state is not JobState.ENDING:
            return
        job.state = JobState.ENDED
        self.state.ledger.change(job)
        self.state.health.forget_job(job.job_id)
        self.state.ended_at_by_id[job.job_id] = now_s
