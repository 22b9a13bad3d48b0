"""Takeover of jobs and placements from the ledger."""

from .constants import MISSING_AFTER_S
from .decisions import LedgerEntry, RunningEntry
from .fleet import Fleet
from .lifecycle import TaskLifecycle
from .model import JobState
from .records import JobRecord, WaitingTask
from .state import SchedulerState
from .tasks import TaskRecord

__all__ = ["Recovery"]


class Recovery:
    """Rebuilds jobs from ledger entries.

    Their placements count as running until a worker or the end of its leases proves
    otherwise.
    """

    def __init__(self, state: SchedulerState, lifecycle: TaskLifecycle, fleet: Fleet):
        self.state = state
        self.lifecycle = lifecycle
        self.fleet = fleet

    def restore_job(self, entry: LedgerEntry, now_s: float) -> None:
        """Restore a job from its ledger entry."""
        state = self.state
        job = JobRecord(
            entry.spec,
            state=JobState.ACTIVE,
            next_index=entry.next_index,
            round=entry.round,
            failures=entry.failures,
            done=entry.done,
            durable=True,
            written=True,
        )
        state.jobs_by_id[job.job_id] = job
        for waiting in entry.waiting:
            job.waiting_by_index[waiting.index] = WaitingTask(
                waiting.index, waiting.attempt, waiting.failures
            )
            job.ready.append(waiting.index)
        for placed in entry.running:
            self._restore_task(job, placed, now_s)
        if entry.end_reason is not None:
            self.lifecycle.end_job(job, entry.end_reason, entry.end_code, now_s)
        elif job.is_gang and entry.next_index:
            present = entry.done + len(entry.running)
            self.lifecycle.check_gang(job, present == entry.spec.tasks, now_s)
        if job.placeable:
            state.queue.add(job)

    def _restore_task(self, job: JobRecord, placed: RunningEntry, now_s: float) -> None:
        worker = self.fleet.placeholder(placed.worker_id, now_s)
        task = TaskRecord(
            job_id=job.job_id,
            index=placed.index,
            attempt=placed.attempt,
            failures=placed.failures,
            worker_id=worker.worker_id,
            resources=job.spec.resources,
            priority=job.spec.priority,
        )
        self.lifecycle.attach(job, task, worker, now_s)
        self.lifecycle.assume_started(task, now_s, now_s + MISSING_AFTER_S)
