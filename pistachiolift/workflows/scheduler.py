"""The scheduler of one cell, as its owner calls it."""

import logging
from collections.abc import Iterable

import msgspec

from ..common import InvalidInputError, JobId, WorkerId
from .advice import AdvicePlanner
from .book import Book
from .decisions import Decision, StartRun
from .dispatch import Dispatcher
from .lifecycle import Lifecycle
from .listing import ListedEnd, ListedRun, ListingReader
from .model import (
    EndKind,
    JobGraph,
    JobStatus,
    Queue,
    QueueId,
    StepKey,
    TaskKey,
    TaskRunStatus,
    Worker,
)
from .progress import ProgressMonitor
from .records import (
    JobAccepted,
    JobCancelled,
    JobForgotten,
    LedgerRecord,
    WorkerInUse,
    WorkerReleased,
)
from .replay import Replay, compact_records
from .sharing import SharingController
from .state import TaskRun, WorkerEntry

__all__ = ["GraphScheduler", "StartAnswer", "validate_graph"]

logger = logging.getLogger(__name__)

# Time that a refused start keeps a worker from getting more.
REFUSED_PAUSE_S = 0.5

# A worker that has not been listed for so long counts as unreachable, whatever its
# driver says; listings follow each other within 1.5 s.
SILENT_S = 4.0

# A process that has taken the place of another is in the directory by then, or its
# runs have lost their lease.
ASTRAY_S = 12.0

# Largest numbers accepted in a job.
MAX_TASKS = 10_000
MAX_STEPS = 256
MAX_OCCURRENCES = 10_000


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


def validate_graph(graph: JobGraph) -> None:
    """Check a job before it is accepted.

    :raises InvalidInputError: if a figure is out of range or a step waits for a step
        that does not precede it.
    """
    if not 1 <= len(graph.steps) <= MAX_STEPS:
        raise InvalidInputError(f"job has {len(graph.steps)} steps; 1 to {MAX_STEPS}")
    if not 0 <= graph.occurrences <= MAX_OCCURRENCES:
        raise InvalidInputError(
            f"job has {graph.occurrences} occurrences; 0 to {MAX_OCCURRENCES}"
        )
    if graph.interval_ms < 0:
        raise InvalidInputError(f"interval is {graph.interval_ms} ms; 0 or more")
    for index, step in enumerate(graph.steps):
        if not 1 <= step.count <= MAX_TASKS:
            raise InvalidInputError(
                f"step {index} has {step.count} tasks; 1 to {MAX_TASKS}"
            )
        size = step.size
        if min(size.cpu_milli, size.memory_mb, size.accelerators) < 0:
            raise InvalidInputError(f"step {index} asks for a negative size")
        if any(not 0 <= before < index for before in step.after):
            raise InvalidInputError(
                f"step {index} waits for steps {step.after}; 0 to {index - 1}"
            )


class GraphScheduler:
    """Decides which task runs where; it does no input or output.

    Every method that changes something leaves decisions and records behind, to be
    fetched with :meth:`take_decisions` and :meth:`take_records`. All times are
    seconds of the boot time clock unless they are named otherwise.

    :param fence: this owner's fence.
    :param keep_final_s: time for which the state of a finished job is kept.
    """

    def __init__(self, *, fence: int, keep_final_s: float):
        self.book = Book(fence=fence)
        self._keep_final_s = keep_final_s
        self._lifecycle = Lifecycle(self.book)
        self.advice = AdvicePlanner(self.book)
        self._dispatcher = Dispatcher(self.book, self._lifecycle, self.advice)
        self._listings = ListingReader(self.book, self._lifecycle)
        self._progress = ProgressMonitor(self.book, self._lifecycle)
        self._sharing = SharingController(self.book)
        # Starts that a worker's next process may have taken, until it is listed,
        # with the time at which they are given up.
        self._astray: dict[WorkerId, tuple[float, list[TaskRun]]] = {}

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
        replay = Replay(self.book, self._lifecycle, now_s=now_s, wall_ms=wall_ms)
        for record in records:
            replay.apply(record)
        replay.enter_runs(lease_end_s)
        for job in self.book.jobs_by_id.values():
            job.settled_record = job.accepted_record = 0
        self.book.decisions.clear()

    def compact(
        self, records: Iterable[LedgerRecord], *, now_s: float, wall_ms: int
    ) -> list[LedgerRecord]:
        """Return what has to be kept of old records, brought up to date."""
        return compact_records(self.book, records, now_s=now_s, wall_ms=wall_ms)

    # Configuration.

    def set_queues(self, queues: Iterable[Queue]) -> None:
        """Replace the policies; jobs of a queue that is gone keep its last one."""
        for queue in queues:
            self.book.queues_by_id[queue.queue_id] = queue
        for job in self.book.jobs_by_id.values():
            job.queue = self.book.queues_by_id.get(job.queue.queue_id, job.queue)

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
        job = self.book.jobs_by_id.get(job_id)
        if job is not None:
            return job.accepted_record
        queue = self.book.queues_by_id.setdefault(queue.queue_id, queue)
        job = self._lifecycle.add_job(
            job_id,
            graph,
            queue,
            received_s=received_s,
            received_ms=received_ms,
        )
        record = JobAccepted(job_id, queue, received_ms, graph)
        job.accepted_record = self.book.record(record)
        return job.accepted_record

    def withdraw(self, job_id: JobId) -> None:
        """Forget a job that has been refused before its record was written.

        Its starts wait for later records, so that none has been sent.
        """
        job = self.book.jobs_by_id.get(job_id)
        if job is None:
            return
        for step in job.steps():
            for run in list(step.runs_by_index.values()):
                self._lifecycle.stop(run, "job_refused")
        self.book.drop_job(job_id)

    def cancel(self, job_id: JobId, *, now_s: float, wall_ms: int) -> int | None:
        """Withdraw a job.

        :returns: number of the record that must be durable before the caller is told,
            or ``None`` if no such job is known.
        """
        job = self.book.jobs_by_id.get(job_id)
        if job is None:
            return None
        if not job.status.final:
            self._lifecycle.finish_job(job, JobStatus.CANCELLED, "cancelled", now_s)
            job.settled_record = self.book.record(JobCancelled(job_id, wall_ms))
        return job.settled_record

    def status(self, job_id: JobId) -> JobStatus | None:
        """Return what may be told of a job: an end only once it is durable."""
        job = self.book.jobs_by_id.get(job_id)
        if job is None:
            return None
        if job.status.final and job.settled_record > self.book.committed:
            return JobStatus.RUNNING
        return job.status

    def waiting(self, queue_id: QueueId) -> int:
        """Return how many jobs of a queue have no task that has started."""
        return sum(
            1
            for job in self.book.jobs_by_id.values()
            if job.queue.queue_id == queue_id and job.status is JobStatus.PENDING
        )

    # Workers.

    def worker_seen(self, worker: Worker, *, now_s: float, wall_ms: int) -> None:
        """Take a directory entry; a new incarnation ends all runs of the old one."""
        entry = self.book.workers_by_id.get(worker.worker_id)
        if entry is not None and entry.worker.incarnation != worker.incarnation:
            self.worker_dead(
                worker.worker_id, now_s=now_s, wall_ms=wall_ms, replaced=True
            )
            entry = None
        if entry is None:
            entry = self.book.workers_by_id[worker.worker_id] = WorkerEntry(worker)
            self.advice.worker_replaced(worker.worker_id)
            for run in self._astray.pop(worker.worker_id, (0.0, []))[1]:
                self._lifecycle.block_astray(run, entry)
            return
        entry.worker = worker
        entry.registered = True

    def worker_unregistered(self, worker_id: WorkerId) -> None:
        """Note that the directory no longer names a worker."""
        entry = self.book.workers_by_id.get(worker_id)
        if entry is not None:
            entry.registered = False

    def worker_dead(
        self,
        worker_id: WorkerId,
        *,
        now_s: float,
        wall_ms: int,
        replaced: bool = False,
    ) -> None:
        """Forget a worker whose process has certainly ended.

        :param replaced: whether another process answers in its place, which may have
            taken the newest starts.
        """
        entry = self.book.workers_by_id.pop(worker_id, None)
        if entry is None:
            return
        if replaced:
            astray = self._lifecycle.take_astray(entry)
            if astray:
                self._astray[worker_id] = (now_s + ASTRAY_S, astray)
        self._lifecycle.worker_lost(entry, now_s=now_s, wall_ms=wall_ms)
        self.book.health.forget_worker(worker_id)
        if entry.recorded:
            self.book.record(WorkerReleased(worker_id, entry.worker.incarnation))

    def worker_unreachable(self, worker_id: WorkerId) -> None:
        """Note that a worker does not answer; its runs may go on."""
        entry = self.book.workers_by_id.get(worker_id)
        if entry is not None:
            entry.reachable = False

    def lease_granted(self, worker_id: WorkerId, lease_end_s: float) -> None:
        """Note the latest time until which a worker's runs may go on."""
        entry = self.book.workers_by_id.get(worker_id)
        if entry is not None:
            entry.lease_end_s = max(entry.lease_end_s, lease_end_s)

    def worker_listed(
        self,
        worker_id: WorkerId,
        running: list[ListedRun],
        ended: list[ListedEnd],
        *,
        complete: bool,
        sent_s: float,
        now_s: float,
        wall_ms: int,
    ) -> None:
        """Take a worker's list of runs.

        :param complete: whether no end was left out of the list.
        :param sent_s: time at which the list was requested.
        """
        entry = self.book.workers_by_id.get(worker_id)
        if entry is None:
            return
        entry.reachable = True
        self._listings.apply(
            entry,
            running,
            ended,
            complete=complete,
            sent_s=sent_s,
            now_s=now_s,
            wall_ms=wall_ms,
        )
        if complete and not entry.listed:
            entry.listed = True
            self._record_use(entry)

    def _record_use(self, entry: WorkerEntry) -> None:
        """See that later owners know of the worker before a run is placed there."""
        if entry.recorded:
            return
        entry.recorded = True
        worker = entry.worker
        entry.use_record = self.book.record(
            WorkerInUse(worker.worker_id, worker.address, worker.incarnation)
        )

    # Orders.

    def start_sent(self, order: StartRun) -> bool:
        """Note that a start is about to be sent.

        :returns: whether it is still wanted.
        """
        run = self.book.run(order.worker_id, (order.task, order.number))
        if run is None or run.status is TaskRunStatus.STOPPING:
            return False
        run.sent = True
        return True

    def start_answered(
        self,
        worker_id: WorkerId,
        task: TaskKey,
        number: int,
        answer: StartAnswer,
        *,
        now_s: float,
    ) -> None:
        """Take a worker's answer to a start."""
        run = self.book.run(worker_id, (task, number))
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
        worker = self.book.workers_by_id[worker_id]
        step = self.book.step(task.step_key)
        if answer.reason == "ticket" and step is not None:
            step.tickets_by_worker.pop(worker_id, None)
        else:
            worker.refused_until_s = now_s + REFUSED_PAUSE_S
        worker.release(run)
        self.book.health.task_inconclusive(worker_id)
        if step is not None:
            self._lifecycle.apply_end(
                step, task.index, number, EndKind.STOPPED, "", now_s
            )

    def start_unanswered(self, worker_id: WorkerId, task: TaskKey, number: int) -> None:
        """Block a start that may or may not have been carried out."""
        run = self.book.run(worker_id, (task, number))
        if run is not None and run.status is TaskRunStatus.STARTING:
            self._lifecycle.stop(run, "start_unanswered")

    def stop_answered(
        self, worker_id: WorkerId, task: TaskKey, number: int, *, now_s: float
    ) -> None:
        """Note that a stop is in force; the next listing tells the end."""
        run = self.book.run(worker_id, (task, number))
        if run is not None:
            run.answered_s = now_s

    def advice_answered(
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

    def tick(self, *, now_s: float, wall_ms: int) -> None:
        """Apply what follows from the passing of time."""
        self.advice.expire(now_s)
        self._progress.check(now_s)
        self._sharing.check(now_s)
        for worker_id, (end_s, runs) in list(self._astray.items()):
            if now_s > end_s:
                del self._astray[worker_id]
                for run in runs:
                    self._lifecycle.astray_ended(run, now_s)
        for worker_id, entry in list(self.book.workers_by_id.items()):
            self._check_worker(worker_id, entry, now_s, wall_ms)
        for job_id, job in list(self.book.jobs_by_id.items()):
            if job.final_s is not None and now_s > job.final_s + self._keep_final_s:
                self.book.drop_job(job_id)
                self.book.record(JobForgotten(job_id))

    def _check_worker(
        self, worker_id: WorkerId, entry: WorkerEntry, now_s: float, wall_ms: int
    ) -> None:
        if entry.listed and now_s - entry.listed_s > SILENT_S:
            entry.reachable = False
        if entry.reachable and entry.listed:
            return
        if now_s < entry.lease_end_s:
            return
        if not entry.registered:
            self.worker_dead(worker_id, now_s=now_s, wall_ms=wall_ms)
        elif entry.listed:
            # Its later listings are taken like those of a worker not seen before.
            entry.listed = False
            self._lifecycle.worker_lost(entry, now_s=now_s, wall_ms=wall_ms)

    def dispatch(self, *, now_s: float, wall_ms: int) -> None:
        """Place what waits."""
        self._dispatcher.run(now_s, wall_ms)

    def take_decisions(self) -> list[Decision]:
        """Return and clear the decisions made so far."""
        decisions, self.book.decisions = self.book.decisions, []
        return decisions

    def take_records(self) -> list[LedgerRecord]:
        """Return and clear the records to be committed."""
        records, self.book.records = self.book.records, []
        return records

    def committed(self, count: int) -> None:
        """Note that so many more records are durable."""
        self.book.committed += count
