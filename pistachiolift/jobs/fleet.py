"""Membership and reachability of the workers, and their reports."""

from collections.abc import Iterable

from ..common import WorkerId
from .constants import (
    LEASE_BOUND_S,
    MISSING_AFTER_S,
    OVERUSE_GRACE_S,
    OVERUSE_RATIO,
    RENEW_INTERVAL_S,
    REPORT_TIMEOUT_S,
    STOP_RETRY_S,
)
from .decisions import (
    JobDecision,
    StartTask,
    StopTask,
    TaskDecision,
    ThrottleTask,
)
from .lifecycle import TaskLifecycle
from .model import (
    CommandStatus,
    EndReason,
    ReportedState,
    Resources,
    TaskReport,
    TaskState,
    WorkerSpec,
    WorkerStatus,
)
from .state import SchedulerState
from .tasks import TaskRecord
from .workers import UnexpectedTask, WorkerState

__all__ = ["Fleet"]

ENDED_STATES = {
    ReportedState.SUCCEEDED: EndReason.SUCCEEDED,
    ReportedState.FAILED: EndReason.FAILED,
    ReportedState.STOPPED: EndReason.LOST,
    ReportedState.LEASE_EXPIRED: EndReason.LOST,
}


def _is_routine(task: TaskRecord, report: TaskReport) -> bool:
    """Whether a report changes nothing, as is the case for nearly all reports."""
    return (
        task.state is TaskState.RUNNING
        and report.state is ReportedState.RUNNING
        and task.over_since_s is None
        and report.used_cpu_milli <= task.resources.cpu_milli
        and report.used_memory_mb <= task.resources.memory_mb
        and report.checkpoint_s <= task.checkpoint_s
    )


class Fleet:
    """Keeps the state of the workers and turns their reports into task events."""

    def __init__(self, state: SchedulerState, lifecycle: TaskLifecycle):
        self.state = state
        self.lifecycle = lifecycle

    def join(self, spec: WorkerSpec, now_s: float) -> None:
        """Add or update a worker; a new one gets tasks after its first report."""
        worker = self.state.workers_by_id.get(spec.worker_id)
        if worker is None:
            worker = WorkerState(spec.worker_id)
            self.state.workers_by_id[spec.worker_id] = worker
        if worker.rack_id != spec.rack_id:
            self._move(worker, spec)
        self.state.set_capacity(worker, spec.capacity)
        worker.leaving = False
        if worker.status in (WorkerStatus.LOST, WorkerStatus.LEAVING):
            worker.status = WorkerStatus.JOINING
            worker.poll_generation += 1
            self._await_leases(worker, now_s)
            self._poll(worker, worker.poll_generation, now_s)
        self.state.room_freed(worker, now_s)

    def _move(self, worker: WorkerState, spec: WorkerSpec) -> None:
        self.state.index.discard(worker.worker_id)
        for task in worker.tasks_by_id.values():
            by_rack = self.state.jobs_by_id[task.job_id].tasks_by_rack
            by_rack[worker.rack_id] -= 1
            if not by_rack[worker.rack_id]:
                del by_rack[worker.rack_id]
            by_rack[spec.rack_id] += 1
        worker.rack_id = spec.rack_id

    def placeholder(self, worker_id: WorkerId, now_s: float) -> WorkerState:
        """Return a worker from the ledger, which may not have joined yet.

        The previous owner may have renewed its leases until just before the takeover.
        """
        worker = self.state.workers_by_id.get(worker_id)
        if worker is None:
            worker = WorkerState(worker_id, lease_until_s=now_s + LEASE_BOUND_S)
            self.state.workers_by_id[worker_id] = worker
            self._await_leases(worker, now_s)
        return worker

    def leave(self, worker_id: WorkerId, now_s: float) -> None:
        """Evict all tasks of a worker that is about to stop."""
        worker = self.state.workers_by_id.get(worker_id)
        if worker is None or worker.status is WorkerStatus.LEAVING:
            return
        if worker.status is not WorkerStatus.LOST:
            was_live = worker.status is WorkerStatus.LIVE
            worker.status = WorkerStatus.LEAVING
            worker.leaving = True
            if not was_live:
                worker.last_report_s = now_s
            self._withdraw(worker, now_s)
            for task in list(worker.tasks_by_id.values()):
                self.lifecycle.evict(task, EndReason.DRAINED, now_s)

    def lose(self, worker_id: WorkerId, now_s: float) -> None:
        """Stop renewing the leases of a worker; its tasks end when they expire."""
        worker = self.state.workers_by_id.get(worker_id)
        if worker is None or worker.status is WorkerStatus.LOST:
            return
        worker.status = WorkerStatus.LOST
        worker.poll_generation += 1
        self._withdraw(worker, now_s)
        self._await_leases(worker, now_s)

    def _withdraw(self, worker: WorkerState, now_s: float) -> None:
        """Exclude a worker from placement and end its tasks that were not sent yet."""
        self.state.refresh(worker, now_s)
        if worker.hold is not None:
            self.state.set_hold(worker, None, now_s)
        for task in list(worker.tasks_by_id.values()):
            if task.state is TaskState.RESERVED:
                self.lifecycle.end(task, EndReason.NOT_STARTED, now_s)

    def _await_leases(self, worker: WorkerState, now_s: float) -> None:
        due_s = max(now_s, worker.lease_until_s)
        self.state.timers.schedule(due_s, self._leases_due, worker)

    def _leases_due(self, worker: WorkerState, now_s: float) -> None:
        """End the tasks of an unreachable worker whose leases have expired."""
        known = self.state.workers_by_id.get(worker.worker_id)
        if worker is not known or worker.reachable:
            return
        if now_s < worker.lease_until_s:
            self._await_leases(worker, now_s)
            return
        for task_id in list(worker.unexpected_by_id):
            worker.remove_unexpected(task_id)
        for task in list(worker.tasks_by_id.values()):
            if task.state is not TaskState.ENDED:
                self.lifecycle.end(task, EndReason.LOST, now_s)
        if worker.status is WorkerStatus.LOST and worker.empty:
            self.state.index.discard(worker.worker_id)
            self.state.set_capacity(worker, Resources())
            self.state.health.forget_worker(worker.worker_id)
            del self.state.workers_by_id[worker.worker_id]

    def _poll(self, worker: WorkerState, generation: int, now_s: float) -> None:
        """Renew the leases or only request a report, at regular intervals."""
        if worker.poll_generation != generation:
            return
        if worker.reachable and now_s - worker.last_report_s > REPORT_TIMEOUT_S:
            worker.status = WorkerStatus.SILENT
            self.state.metrics.count("jobs.worker_silent")
            self._withdraw(worker, now_s)
            self._await_leases(worker, now_s)
        if worker.reachable and now_s - worker.last_renew_s >= RENEW_INTERVAL_S:
            self.lifecycle.renew(worker, now_s)
        else:
            self.lifecycle.request_report(worker, now_s)
        self.state.timers.schedule(
            now_s + self.state.report_interval_s, self._poll, worker, generation
        )

    def report(
        self, worker_id: WorkerId, reports: Iterable[TaskReport], now_s: float
    ) -> None:
        """Apply a worker's report, which contains all its tasks of the partition."""
        worker = self.state.workers_by_id.get(worker_id)
        if worker is None:
            self.state.metrics.count("jobs.report_of_unknown_worker")
            return
        worker.last_report_s = now_s
        reported_ids = set()
        tasks_by_id = worker.tasks_by_id
        for report in reports:
            reported_ids.add(report.task_id)
            task = tasks_by_id.get(report.task_id)
            if task is None:
                self._handle_unexpected_task(worker, report, now_s)
            elif _is_routine(task, report):
                task.missing_since_s = None
            elif task.state is not TaskState.RESERVED:
                self._apply_report_of_task(task, report, now_s)
        if worker.status in (WorkerStatus.JOINING, WorkerStatus.SILENT):
            leaving, live = WorkerStatus.LEAVING, WorkerStatus.LIVE
            worker.status = leaving if worker.leaving else live
            self.lifecycle.renew(worker, now_s)
            self.state.room_freed(worker, now_s)
        # Iterate in dictionary order: set order depends on the hash seed, and a replay
        # must make the same decisions.
        missing = [
            task for task_id, task in tasks_by_id.items() if task_id not in reported_ids
        ]
        for task in missing:
            self._check_missing_task(task, now_s)

    def _apply_report_of_task(
        self, task: TaskRecord, report: TaskReport, now_s: float
    ) -> None:
        task.missing_since_s = None
        if report.state is ReportedState.RUNNING:
            self._apply_running_report(task, report, now_s)
            return
        reason = ENDED_STATES[report.state]
        if task.stop_reason is not None and reason is not EndReason.SUCCEEDED:
            reason = task.stop_reason
        self.lifecycle.end(task, reason, now_s)

    def _apply_running_report(
        self, task: TaskRecord, report: TaskReport, now_s: float
    ) -> None:
        task.started_s = min(task.started_s, now_s - report.run_s)
        self.lifecycle.confirm(task, now_s)
        if report.checkpoint_s > task.checkpoint_s:
            task.checkpoint_s = report.checkpoint_s
            spec = self.state.jobs_by_id[task.job_id].spec
            if task.state is TaskState.RUNNING:
                saved_s = task.started_s + task.checkpoint_s
                self.state.planner.put(task, saved_s, spec.checkpointable)
            self.lifecycle.checkpoint_done(task, now_s)
        if task.state is TaskState.RUNNING:
            self._check_use(task, report, now_s)

    def _check_use(self, task: TaskRecord, report: TaskReport, now_s: float) -> None:
        """Throttle a task above its declared size; evict it if its usage stays high."""
        size = task.resources
        if (
            report.used_cpu_milli <= size.cpu_milli * OVERUSE_RATIO
            and report.used_memory_mb <= size.memory_mb * OVERUSE_RATIO
        ):
            task.over_since_s = None
        elif task.over_since_s is None:
            task.over_since_s = now_s
            self.state.metrics.count("jobs.throttled")
            self.state.emit(
                ThrottleTask(
                    worker_id=task.worker_id, task_id=task.task_id, issued_s=now_s
                )
            )
        elif now_s - task.over_since_s >= OVERUSE_GRACE_S:
            self.lifecycle.evict(task, EndReason.OVERUSE, now_s)

    def _check_missing_task(self, task: TaskRecord, now_s: float) -> None:
        """Stop a running task that reports have not contained for MISSING_AFTER_S."""
        if task.state is not TaskState.RUNNING:
            return
        if task.missing_since_s is None:
            task.missing_since_s = now_s
        elif now_s - task.missing_since_s >= MISSING_AFTER_S:
            self.state.metrics.count("jobs.task_missing")
            self.lifecycle.stop(task, EndReason.LOST, now_s)

    def _handle_unexpected_task(
        self, worker: WorkerState, report: TaskReport, now_s: float
    ) -> None:
        """Reserve room for a task of which the owner has no record, and stop it."""
        if report.state is not ReportedState.RUNNING:
            worker.remove_unexpected(report.task_id)
        elif report.task_id not in worker.unexpected_by_id:
            self.state.metrics.count("jobs.foreign_task")
            worker.add_unexpected(UnexpectedTask(report.task_id, report.resources))
            self._stop_unexpected_task(worker, report.task_id, now_s)
        self.state.room_freed(worker, now_s)

    def _stop_unexpected_task(self, worker: WorkerState, task_id, now_s: float) -> None:
        if task_id not in worker.unexpected_by_id:
            return
        if worker.status is not WorkerStatus.LOST:
            self.state.emit(
                StopTask(
                    worker_id=worker.worker_id,
                    task_id=task_id,
                    issued_s=now_s,
                    reason=EndReason.LOST,
                )
            )
        self.state.timers.schedule(
            now_s + STOP_RETRY_S, self._stop_unexpected_task, worker, task_id
        )

    def command_result(
        self, command: JobDecision, status: CommandStatus | None, now_s: float
    ) -> None:
        """Apply a worker's answer to a command; ``None`` means that there was none."""
        if status is CommandStatus.STALE_EPOCH:
            self.state.superseded = True
            return
        worker = self.state.workers_by_id.get(getattr(command, "worker_id", None))
        if worker is None or not isinstance(command, TaskDecision):
            return
        if status is not None:
            self.state.metrics.count(f"jobs.command.{status.value}")
        task = worker.tasks_by_id.get(command.task_id)
        if isinstance(command, StopTask) and status is CommandStatus.UNKNOWN_TASK:
            self._stop_unknown(worker, task, command, now_s)
        elif isinstance(command, StartTask) and task is not None:
            if status is CommandStatus.ACCEPTED:
                self.lifecycle.confirm(task, now_s)
            elif status in (CommandStatus.TOO_LATE, CommandStatus.NO_CAPACITY):
                self._start_refused(task, now_s)

    def _start_refused(self, task: TaskRecord, now_s: float) -> None:
        # A confirmed task is running; the refusal answers a second, late delivery.
        if task.confirmed_s == float("inf"):
            reason = task.stop_reason or EndReason.NOT_STARTED
            self.lifecycle.end(task, reason, now_s)

    def _stop_unknown(
        self,
        worker: WorkerState,
        task: TaskRecord | None,
        command: StopTask,
        now_s: float,
    ) -> None:
        """End a task that is unknown to its worker, unless a start can still arrive.

        A start command in flight may reach the worker after the answer to the stop.
        Only a stop issued after the start expired or was confirmed proves that the
        task does not run.
        """
        if task is None:
            worker.remove_unexpected(command.task_id)
            self.state.room_freed(worker, now_s)
        elif task.state is TaskState.STOPPING and (
            command.issued_s > task.confirmed_s
            or command.issued_s >= task.start_expires_s
        ):
            self.lifecycle.end(task, task.stop_reason, now_s)
