"""The scheduler of one cell, as its owner calls it."""

from collections.abc import Iterable

import msgspec

from ..common import JobId, WorkerId
from .advice import AdvicePlanner
from .decisions import Decision, StartRun
from .dispatch import Dispatcher
from .fleet import Fleet
from .lifecycle import Lifecycle
from .model import (
    EndKind,
    JobGraph,
    JobStatus,
    Queue,
    QueueId,
    StepKey,
    TaskKey,
    TaskRunStatus,
)
from .progress import ProgressMonitor
from .records import (
    JobAccepted,
    JobCancelled,
    JobForgotten,
    LedgerRecord,
)
from .replay import Replay, compact_records
from .scheduler_state import SchedulerState
from .sharing import SharingController

__all__ = ["GraphScheduler", "StartAnswer"]

# Time that a refused start keeps a worker from getting more.
REFUSED_PAUSE_S = 0.5


class StartAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker answered to a start.

    :param started: whether the run is there.
    :param reason: why not, in snake case.
    :param repeated: whether an earlier send of the start had no answer, so that it
        may still be carried out.
    """

    started: bool
    reason: str = ""
    repeated: bool = False


class GraphScheduler:
    """Decides which task runs where; it does no input or output.

    Every method that changes something leaves decisions and records behind, to be
    fetched with :meth:`take_decisions` and :meth:`take_records`. All times are
    seconds of the boot time clock unless they are named otherwise.

    :param fence: this owner's fence.
    :param keep_final_s: time for which the state of a finished job is kept.
    """

    def __init__(self, *, fence: int, keep_final_s: float):
        self.state = SchedulerState(fence=fence)
        self._keep_final_s = keep_final_s
        self._lifecycle = Lifecycle(self.state)
        self.advice = AdvicePlanner(self.state)
        self._dispatcher = Dispatcher(self.state, self._lifecycle, self.advice)
        self._progress = ProgressMonitor(self.state, self._lifecycle)
        self._sharing = SharingController(self.state)
        self.fleet = Fleet(self.state, self._lifecycle, self.advice)

    # Replay of the ledger.

    def replay(
        self,
        records: Iterable[LedgerRecord],
        *,
        lease_end_s: float,
        now_s: float,
        wall_ms: int,
    ) -> None:
        """Rebuild the state that an earlier owner has left.

        The directory's workers have been entered before.

        :param lease_end_s: time by which everything that earlier owners have granted
            has certainly ended.
        """
        replay = Replay(self.state, self._lifecycle, now_s=now_s, wall_ms=wall_ms)
        for record in records:
            replay.apply(record)
        replay.enter_runs(lease_end_s)
        for job in self.state.jobs_by_id.values():
            job.last_record = job.accepted_record = 0
        self.state.decisions.clear()

    def compact(
        self, records: Iterable[LedgerRecord], *, now_s: float, wall_ms: int
    ) -> list[LedgerRecord]:
        """Return what has to be kept of old records, brought up to date."""
        return compact_records(self.state, records, now_s=now_s, wall_ms=wall_ms)

    # Configuration.

    def set_queues(self, queues: Iterable[Queue]) -> None:
        """Replace the policies; jobs of a queue that is gone keep its last one."""
        for queue in queues:
            self.state.queues_by_id[queue.queue_id] = queue
        for job in self.state.jobs_by_id.values():
            job.queue = self.state.queues_by_id.get(job.queue.queue_id, job.queue)

    # Callers.

    def submit(
        self,
        job_id: JobId,
        queue: Queue,
        graph: JobGraph,
        *,
        received_s: float,
        received_ms: int,
    ) -> int:
        """Enter a job, or find that it is known.

        :returns: number of the record that must be durable before it is accepted.
        """
        job = self.state.jobs_by_id.get(job_id)
        if job is not None:
            return job.accepted_record
        queue = self.state.queues_by_id.setdefault(queue.queue_id, queue)
        job = self._lifecycle.add_job(
            job_id,
            graph,
            queue,
            received_s=received_s,
            received_ms=received_ms,
        )
        record = JobAccepted(job_id, queue, received_ms, graph)
        job.accepted_record = self.state.record(record)
        return job.accepted_record

    def withdraw(self, job_id: JobId) -> None:
        """Forget a job that has been refused before its record was written.

        Its starts wait for later records, so that none has been sent.
        """
        job = self.state.jobs_by_id.get(job_id)
        if job is None:
            return
        for step in job.steps():
            for run in list(step.runs_by_index.values()):
                self._lifecycle.stop(run, "job_refused")
        self.state.drop_job(job_id)

    def cancel(self, job_id: JobId, *, now_s: float, wall_ms: int) -> int | None:
        """Withdraw a job.

        :returns: number of the record that must be durable before the caller is told,
            or ``None`` if no such job is known.
        """
        job = self.state.jobs_by_id.get(job_id)
        if job is None:
            return None
        if not job.status.final:
            self._lifecycle.finish_job(job, JobStatus.CANCELLED, "cancelled", now_s)
            job.last_record = self.state.record(JobCancelled(job_id, wall_ms))
        return job.last_record

    def status(self, job_id: JobId) -> JobStatus | None:
        """Return what may be told of a job: an end only once it is durable."""
        job = self.state.jobs_by_id.get(job_id)
        if job is None:
            return None
        if job.status.final and job.last_record > self.state.committed:
            return JobStatus.RUNNING
        return job.status

    def count_pending_jobs(self, queue_id: QueueId) -> int:
        """Return how many jobs of a queue have no task that has started."""
        return sum(
            1
            for job in self.state.jobs_by_id.values()
            if job.queue.queue_id == queue_id and job.status is JobStatus.PENDING
        )

    # Orders.

    def prepare_start(self, order: StartRun, now_s: float) -> StartRun | None:
        """Note that a start is about to be sent.

        :returns: the start with the newest ticket, or ``None`` if it is no longer
            wanted or its ticket has expired.
        """
        run = self.state.run(order.worker_id, (order.task, order.number))
        if run is None or run.status is TaskRunStatus.STOPPING:
            return None
        step = self.state.step(order.task.step_key)
        if step is not None and step.job.queue.advice is not None:
            ticket, end_s = step.tickets_by_worker.get(order.worker_id, ("", 0.0))
            if end_s <= now_s:
                self._lifecycle.stop(run, "ticket_expired")
                return None
            order = msgspec.structs.replace(order, ticket=ticket)
        run.sent = True
        return order

    def handle_start_answer(
        self,
        worker_id: WorkerId,
        task: TaskKey,
        number: int,
        answer: StartAnswer,
        *,
        now_s: float,
    ) -> None:
        """Take a worker's answer to a start."""
        run = self.state.run(worker_id, (task, number))
        if run is None:
            return
        if answer.started:
            run.answered_s = now_s
            self._lifecycle.run_confirmed(run, now_s)
            return
        if answer.reason == "old":
            # It has run and ended here, or was blocked: the next listing tells.
            run.answered_s = now_s
            return
        if answer.repeated:
            self._lifecycle.stop(run, "start_uncertain")
            return
        worker = self.state.workers_by_id[worker_id]
        step = self.state.step(task.step_key)
        if answer.reason == "ticket" and step is not None:
            step.tickets_by_worker.pop(worker_id, None)
        else:
            worker.paused_until_s = now_s + REFUSED_PAUSE_S
        worker.release(run)
        self._lifecycle.end_unlisted(run, EndKind.STOPPED, now_s)

    def handle_unanswered_start(
        self, worker_id: WorkerId, task: TaskKey, number: int
    ) -> None:
        """Block a start that may or may not have been carried out."""
        run = self.state.run(worker_id, (task, number))
        if run is not None and run.status is TaskRunStatus.STARTING:
            self._lifecycle.stop(run, "start_unanswered")

    def handle_stop_answer(
        self, worker_id: WorkerId, task: TaskKey, number: int, *, now_s: float
    ) -> None:
        """Note that a stop is in force; the next listing tells the end.

        Stops are repeated until then, more often than a quiet worker is listed, so
        that only the first answer counts.
        """
        run = self.state.run(worker_id, (task, number))
        if run is not None and not run.stop_answered:
            run.stop_answered = True
            run.answered_s = now_s

    def handle_advice(
        self,
        step: StepKey,
        asked: tuple[WorkerId, ...],
        tickets_by_worker: dict[WorkerId, str] | None,
        *,
        valid_s: float,
        now_s: float,
    ) -> None:
        """Take the adviser's answer, ``None`` if the call failed."""
        self.advice.answered(
            step, asked, tickets_by_worker, valid_s=valid_s, now_s=now_s
        )

    # Time.

    def tick(self, now_s: float) -> None:
        """Apply what follows from the passing of time."""
        self.advice.expire(now_s)
        self._progress.check(now_s)
        self._sharing.check(now_s)
        self.fleet.check(now_s)
        for job_id, job in list(self.state.jobs_by_id.items()):
            if (
                job.finished_s is not None
                and now_s > job.finished_s + self._keep_final_s
            ):
                self.state.drop_job(job_id)
                self.state.record(JobForgotten(job_id))

    def dispatch(self, *, now_s: float, wall_ms: int) -> None:
        """Place what waits."""
        self._dispatcher.run(now_s, wall_ms)

    def take_decisions(self) -> list[Decision]:
        """Return and clear the decisions made so far."""
        decisions, self.state.decisions = self.state.decisions, []
        return decisions

    def take_records(self) -> list[LedgerRecord]:
        """Return and clear the records to be committed."""
        records, self.state.records = self.state.records, []
        return records

    def record_commit(self, count: int) -> None:
        """Note that so many more records are durable."""
        self.state.committed += count
