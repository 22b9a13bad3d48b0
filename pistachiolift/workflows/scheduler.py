"""The scheduler of one partition, called by its owner."""

import logging
from collections.abc import Iterable

import msgspec

from ..common import CustomerId, JobId, WorkerId, log_event
from .admission import Admission
from .advice import AdvicePlanner
from .cap_gate import CapGate
from .crashes import CrashTracker
from .decisions import Decision, StartRun
from .dispatch import Dispatcher
from .evacuation import EvacuationPlanner
from .fleet import Fleet
from .lifecycle import Lifecycle
from .model import (
    Customer,
    EndKind,
    JobGraph,
    JobStatus,
    Queue,
    QueueId,
    StepKey,
    TaskKey,
    TaskRunStatus,
)
from .order import OrderPolicy
from .pace import PaceMonitor
from .progress import ProgressMonitor
from .records import (
    JobAccepted,
    JobCancelled,
    JobForgotten,
    LedgerRecord,
    QueueChanged,
)
from .replay import Replay, compact_records
from .scheduler_state import SchedulerState
from .sharing import SharingController
from .state import StepEntry, TaskRun

__all__ = ["GraphScheduler", "StartAnswer"]

logger = logging.getLogger(__name__)

# A worker that refused a start gets no new runs for this time.
REFUSED_START_PAUSE_S = 0.5


class StartAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's answer to a start.

    :param started: whether the worker has the run.
    :param reason: reason of a refusal, in snake case.
    :param repeated: whether an earlier attempt to send the start had no answer, so
        that the worker may still carry it out.
    :param clock_ms: worker's clock when it answered, in milliseconds; 0 if unknown.
    """

    started: bool
    reason: str = ""
    repeated: bool = False
    clock_ms: int = 0


class GraphScheduler:
    """Decides which task runs on which worker; performs no I/O.

    Methods that change the state queue decisions and records, which the owner fetches
    with :meth:`take_decisions` and :meth:`take_records`. Times in seconds are readings
    of the boot time clock unless documented otherwise.

    :param fence: this owner's fencing token.
    :param keep_final_s: retention period of finished jobs, in seconds.
    :param longest_lease_s: time by which the longest lease that a worker accepts has
        certainly expired, in seconds.
    :param policy: order of the waiting steps; :class:`CostAware` by default.
    """

    def __init__(
        self,
        *,
        fence: int,
        keep_final_s: float,
        longest_lease_s: float,
        policy: OrderPolicy | None = None,
    ):
        self.state = SchedulerState(fence=fence)
        self._keep_final_s = keep_final_s
        self._longest_lease_s = longest_lease_s
        self._lifecycle = Lifecycle(self.state)
        self._crashes = CrashTracker(self.state, self._lifecycle)
        self.advice = AdvicePlanner(self.state)
        self.cap_gate = CapGate(self.state)
        self._dispatcher = Dispatcher(
            self.state, self._lifecycle, self.advice, self.cap_gate, policy
        )
        self.order = self._dispatcher.order
        self.admission = Admission(self.state, self.order)
        self._progress = ProgressMonitor(self.state, self._lifecycle)
        self._pace = PaceMonitor(self.state, self._lifecycle)
        self._evacuation = EvacuationPlanner(self.state, self._lifecycle)
        self._sharing = SharingController(self.state)
        self.fleet = Fleet(
            self.state,
            self._lifecycle,
            self.advice,
            self._crashes,
            longest_lease_s=longest_lease_s,
        )

    @property
    def held_workers(self) -> int:
        """Number of workers on which the last pass has kept room."""
        return self._dispatcher.holder.held_workers

    # Replay of the ledger.

    def replay(
        self,
        records: Iterable[LedgerRecord],
        *,
        lease_end_s: float,
        now_s: float,
        wall_ms: int,
    ) -> None:
        """Rebuild the state of the earlier owner from its records.

        The workers of the directory must have been added before.

        :param lease_end_s: time by which all leases granted by earlier owners have
            expired.
        """
        replay = Replay(
            self.state,
            self._lifecycle,
            self._crashes,
            now_s=now_s,
            wall_ms=wall_ms,
        )
        for record in records:
            replay.apply(record)
        replay.apply_policies()
        self.state.rates.rebuild(self.state.jobs_by_id.values())
        for job in self.state.jobs_by_id.values():
            job.last_record = job.accepted_record = 0
        # Policies, verdicts and crashes that are recorded now are not durable yet.
        replay.record_policies()
        replay.give_up_failed_jobs()
        replay.add_runs(lease_end_s, lease_end_s + self._longest_lease_s)
        self.state.decisions.clear()

    def compact(
        self, records: Iterable[LedgerRecord], *, now_s: float, wall_ms: int
    ) -> list[LedgerRecord]:
        """Return current records that replace old ones."""
        return compact_records(self.state, records, now_s=now_s, wall_ms=wall_ms)

    # Configuration.

    def set_queues(self, queues: Iterable[Queue], *, version: int = 0) -> None:
        """Update the queues; jobs of a removed queue keep its last policy.

        :param version: version of the configuration.
        """
        self.state.queues_version = version
        used = self.state.used_queues()
        for queue in queues:
            known = self.state.queues_by_id.get(queue.queue_id)
            self.state.queues_by_id[queue.queue_id] = queue
            if queue.queue_id in used and known not in (None, queue):
                self.state.record(QueueChanged(queue, version))
        for job in self.state.jobs_by_id.values():
            job.queue = self.state.queues_by_id.get(job.queue.queue_id, job.queue)

    def set_shared(self, shared: bool) -> None:
        """Choose the decisions of a cell with or without customers."""
        self.state.set_shared(shared)

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Replace the customers; jobs of a removed customer stay without its limits."""
        self.state.customers_by_id = {each.customer_id: each for each in customers}
        self.state.rates.set_customers(self.state.customers_by_id.values())
        self.state.caps.set_customers(self.state.customers_by_id.values())

    # Calls of clients.

    def submit(
        self,
        job_id: JobId,
        queue: Queue,
        graph: JobGraph,
        *,
        received_s: float,
        received_ms: int,
        customer_id: CustomerId = CustomerId(""),
    ) -> int:
        """Add a job unless it is known already.

        :param customer_id: the customer whose job it is; empty for none.
        :returns: number of the record that must be durable before the job is reported
            as accepted.
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
            customer_id=customer_id,
            excess=self.state.rates.take(customer_id, received_ms),
        )
        self.admission.record_submission(job)
        record = JobAccepted(job_id, queue, received_ms, graph, customer_id, job.excess)
        job.accepted_record = self.state.record(record)
        return job.accepted_record

    def withdraw(self, job_id: JobId) -> None:
        """Remove a job that was refused before its record was written.

        Its starts wait for later records, so none of them has been sent.
        """
        job = self.state.jobs_by_id.get(job_id)
        if job is None:
            return
        for step in job.steps():
            for run in list(step.runs_by_index.values()):
                self._lifecycle.stop(run, "job_refused")
        self.state.rates.give_back(job)
        self.state.drop_job(job_id)

    def cancel(self, job_id: JobId, *, now_s: float, wall_ms: int) -> int | None:
        """Cancel a job.

        :returns: number of the record that must be durable before the caller is
            answered, or ``None`` if the job is unknown.
        """
        job = self.state.jobs_by_id.get(job_id)
        if job is None:
            return None
        if not job.status.final:
            self._lifecycle.finish_job(job, JobStatus.CANCELLED, "cancelled", now_s)
            job.last_record = self.state.record(JobCancelled(job_id, wall_ms))
        return job.last_record

    def status(self, job_id: JobId) -> JobStatus | None:
        """Return the state to report; a final state is reported once it is durable."""
        job = self.state.jobs_by_id.get(job_id)
        if job is None:
            return None
        if job.status.final and job.last_record > self.state.committed:
            return JobStatus.RUNNING
        return job.status

    def count_pending_jobs(self, queue_id: QueueId) -> int:
        """Return the number of jobs of a queue without a started task."""
        return sum(
            1
            for job in self.state.jobs_by_id.values()
            if job.queue.queue_id == queue_id and job.status is JobStatus.PENDING
        )

    # Starts, stops and advice.

    def prepare_start(self, order: StartRun, now_s: float) -> StartRun | None:
        """Mark a run as sent, unless its start is obsolete.

        :returns: the start with the newest ticket, or ``None`` if the run was stopped,
            its ticket has expired or its worker has shrunk.
        """
        run = self.state.run(order.worker_id, (order.task, order.number))
        if run is None or run.status is TaskRunStatus.STOPPING:
            return None
        step = self.state.step_of(order.task)
        if step is not None and step.job.queue.advice is not None:
            ticket, end_s = step.tickets_by_worker.get(order.worker_id, ("", 0.0))
            if end_s <= now_s:
                self._lifecycle.stop(run, "ticket_expired")
                return None
            order = msgspec.structs.replace(order, ticket=ticket)
        if not self._has_room_to_send(run, step):
            self._withdraw_start(run, "capacity_shrunk")
            return None
        if self._exceeds_cap(run, step):
            self._withdraw_start(run, "cap_lowered")
            return None
        run.sent, run.sent_s = True, now_s
        return order

    def _has_room_to_send(self, run: TaskRun, step: StepEntry | None) -> bool:
        """Whether a run still fits; the members of a gang must fit together.

        The capacity may have shrunk since the placement. Starts are sent in the order
        of their placement, so that earlier runs keep their room.
        """
        runs = [run]
        if step is not None and step.step.gang:
            members = step.runs_by_index.values()
            if not any(member.sent for member in members):
                runs = list(members)
        runs_by_worker: dict[WorkerId, list[TaskRun]] = {}
        for each in runs:
            runs_by_worker.setdefault(each.worker_id, []).append(each)
        workers = self.state.workers_by_id
        return all(
            workers[worker_id].has_room_to_send(placed)
            for worker_id, placed in runs_by_worker.items()
            if worker_id in workers
        )

    def _exceeds_cap(self, run: TaskRun, step: StepEntry | None) -> bool:
        """Whether the customer's cap has been lowered below its use meanwhile.

        The rest of a gang is sent if the start of a member has been sent.
        """
        if run.charge is None or not self.state.caps.is_exceeded(
            run.charge.customer_id
        ):
            return False
        gang = step is not None and step.step.gang
        return not (gang and any(r.sent for r in step.runs_by_index.values()))

    def _withdraw_start(self, run: TaskRun, reason: str) -> None:
        """Place a run anew, and with it its gang, whose start is not sent."""
        worker = self.state.workers_by_id[run.worker_id]
        log_event(
            logger,
            "start_withdrawn",
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            worker=run.worker_id,
            free_cpu_milli=worker.free_cpu_milli,
            reason=reason,
        )
        self._lifecycle.stop(run, reason)

    def handle_start_answer(
        self,
        worker_id: WorkerId,
        task: TaskKey,
        number: int,
        answer: StartAnswer,
        *,
        now_s: float,
    ) -> None:
        """Apply a worker's answer to a start."""
        run = self.state.run(worker_id, (task, number))
        if run is None:
            return
        if answer.started:
            run.answered_s = now_s
            self._record_start(run, answer)
            self._lifecycle.confirm_run(run, now_s)
            return
        if answer.reason == "old":
            # The run has ended or was blocked there; the next report shows which.
            run.answered_s = now_s
            return
        if answer.repeated:
            self._lifecycle.stop(run, "start_uncertain")
            return
        worker = self.state.workers_by_id[worker_id]
        step = self.state.step_of(task)
        if answer.reason == "ticket" and step is not None:
            step.tickets_by_worker.pop(worker_id, None)
        else:
            worker.paused_until_s = now_s + REFUSED_START_PAUSE_S
        worker.release(run)
        self._lifecycle.end_without_result(run, EndKind.STOPPED, now_s)

    def _record_start(self, run: TaskRun, answer: StartAnswer) -> None:
        """Begin to measure the pace of a run that the worker has just started."""
        if answer.repeated or run.started_ms:
            return
        run.started_ms = answer.clock_ms
        step = self.state.step_of(run.task)
        # A run that resumes begins at an unknown percent.
        if step is not None and not step.checkpoint(run.task.index):
            run.mark_ms = run.mark_ms or answer.clock_ms

    def record_unanswered_start(
        self, worker_id: WorkerId, task: TaskKey, number: int, *, sent_s: float
    ) -> None:
        """Record that a start has no answer and may be carried out later.

        :param sent_s: time at which it was sent.
        """
        run = self.state.run(worker_id, (task, number))
        if run is not None:
            run.unanswered_s = sent_s

    def handle_unanswered_start(
        self, worker_id: WorkerId, task: TaskKey, number: int
    ) -> None:
        """Stop a run whose start had no answer and may have been carried out."""
        run = self.state.run(worker_id, (task, number))
        if run is not None and run.status is TaskRunStatus.STARTING:
            self._lifecycle.stop(run, "start_unanswered")

    def handle_stop_answer(
        self, worker_id: WorkerId, task: TaskKey, number: int, *, now_s: float
    ) -> None:
        """Record that a worker accepted a stop; the next run report shows its end.

        The stop is repeated until then, more often than an idle worker is polled.
        Only the first answer counts: a later one would postpone the time from which a
        report must contain the run.
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
        """Apply an answer of the adviser; ``None`` means that the call failed."""
        self.advice.handle_answer(
            step, asked, tickets_by_worker, valid_s=valid_s, now_s=now_s
        )

    # Time.

    def tick(self, now_s: float) -> None:
        """Handle timeouts, stalled runs, lost workers and expired jobs."""
        self.advice.expire_calls(now_s)
        self._progress.check(now_s)
        if self.state.shared:
            self._pace.check(now_s)
            self._evacuation.check(now_s)
        self._sharing.check(now_s)
        self.fleet.check(now_s)
        self.admission.observe(now_s)
        for job_id, job in list(self.state.jobs_by_id.items()):
            if (
                job.finished_s is not None
                and now_s > job.finished_s + self._keep_final_s
            ):
                self.state.drop_job(job_id)
                self.state.record(JobForgotten(job_id))

    def dispatch(self, *, now_s: float, wall_ms: int) -> None:
        """Place waiting tasks."""
        self._dispatcher.run(now_s, wall_ms)

    def take_decisions(self) -> list[Decision]:
        """Return and clear the decisions made so far."""
        decisions, self.state.decisions = self.state.decisions, []
        return decisions

    def take_records(self) -> list[LedgerRecord]:
        """Return and clear the records to be committed."""
        records, self.state.records = self.state.records, []
        return records

    def take_counts(self) -> dict[str, int]:
        """Return and clear the numbers of decisions, by dotted name."""
        counts = dict(self.state.counts)
        self.state.counts.clear()
        return counts

    def record_commit(self, count: int) -> None:
        """Record that the next ``count`` records are durable."""
        self.state.committed += count
