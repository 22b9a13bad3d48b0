"""The owner's side: the scheduler, its ledger and the drivers of its workers."""

import logging
from collections import deque
from collections.abc import Callable
from math import exp

from twisted.internet.defer import (
    Deferred,
    DeferredList,
    ensureDeferred,
    succeed,
)
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import LoopingCall

from ..common import Clock, JobId, Metrics, WorkerId, log_event
from ..workflows import (
    AskAdvice,
    Decision,
    GraphScheduler,
    JobAccepted,
    JobChanged,
    JobForgotten,
    JobGraph,
    LedgerRecord,
    PaceRun,
    Queue,
    QueueId,
    StartAnswer,
    StartRun,
    StopRun,
    TaskKey,
    Worker,
)
from .advice_desk import AdviceDesk
from .interfaces import CoordinationStore, QueueTable, RunListing, Translation
from .ledger import Ledger, read_ledger
from .peer_messages import JobAnswer, JobOutcome
from .worker_driver import LeaseTerms, WorkerDriver, WorkerEvents

__all__ = ["AUTHORITY_S", "Owner"]

logger = logging.getLogger(__name__)

# Events that arrive within this time are decided on together.
DECISION_INTERVAL_S = 0.004
TICK_INTERVAL_S = 0.1

# Leases are renewed for this long without the store, so that an outage does not end
# what runs. Nothing is started then, since no placement can be made durable; an
# owner that is cut off alone is fenced at the workers by its successor.
AUTHORITY_S = 10.0

# Entries of workers that have died leave the directory within this time.
DEAD_IN_DIRECTORY_S = 6.0

# A write in flight for longer than this means that nothing can be accepted now.
STALLED_LIMIT_S = 0.6

# Age of the last contact with the store up to which a job that is not known here is
# known nowhere: below the lease of the ownership.
FRESH_S = 1.2


class Owner(WorkerEvents):
    """Schedules while this instance owns.

    :param fence: version of the claim.
    :param contact_s: tells when the store was last heard.
    :param on_superseded: called with a reason when a later owner has been seen.
    :param on_failed_call: called when a call to the store had no answer.
    :param directory: returns the workers that the directory names.
    :param authority_s: time for which an earlier owner may still renew leases.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: CoordinationStore,
        translation: Translation,
        *,
        clock: Clock,
        metrics: Metrics,
        fence: int,
        terms: LeaseTerms,
        keep_final_s: float,
        desk: AdviceDesk,
        contact_s: Callable[[], float],
        heard: Callable[[float], None],
        on_superseded: Callable[[str], None],
        on_failed_call: Callable[[], None],
        directory: Callable[[], dict[WorkerId, Worker]],
        authority_s: float = AUTHORITY_S,
    ):
        self._reactor = reactor
        self._store = store
        self._translation = translation
        self._clock = clock
        self._metrics = metrics
        self._terms = terms
        self._desk = desk
        self._contact_s = contact_s
        self._heard = heard
        self._on_superseded = on_superseded
        self._earlier_authority_s = authority_s
        self._directory = directory
        self.scheduler = GraphScheduler(fence=fence, keep_final_s=keep_final_s)
        self.ledger = Ledger(
            reactor,
            store,
            clock=clock,
            metrics=metrics,
            fence=fence,
            on_durable=self._durable,
            on_superseded=lambda: self.superseded("ledger"),
            on_failed_call=on_failed_call,
        )
        self._drivers_by_id: dict[WorkerId, WorkerDriver] = {}
        self._table = QueueTable()
        self._pending: IDelayedCall | None = None
        self._ticking = LoopingCall(self._tick)
        self._ticking.clock = reactor
        self.ready = False
        self._closed = False
        self._dead_s_by_id: dict[WorkerId, float] = {}
        # Jobs whose submission is not durable yet.
        self._submits_by_id: dict[JobId, Deferred] = {}
        # Starts whose placement is not durable yet, in order.
        self._held_starts: deque[StartRun] = deque()

    # Beginning and end.

    async def recover(self, table: QueueTable, workers: dict[WorkerId, Worker]) -> None:
        """Read the ledger and begin to list what runs."""
        begun_s = self._clock.monotonic_s()
        log = await read_ledger(self._store)
        if self._closed:
            return
        now_s, wall_ms = self._now()
        self.set_table(table)
        for worker in workers.values():
            self.scheduler.worker_seen(worker, now_s=now_s, wall_ms=wall_ms)
        records = [record for batch in log.values() for record in batch]
        self.scheduler.replay(
            records,
            lease_end_s=self._terms.end_s(now_s + self._earlier_authority_s),
            now_s=now_s,
            wall_ms=wall_ms,
        )
        self.ledger.adopt(log, self._compact)
        for entry in list(self.scheduler.book.workers_by_id.values()):
            self._drive(entry.worker)
        self.ready = True
        self._ticking.start(TICK_INTERVAL_S, now=False)
        log_event(
            logger,
            "owner_ready",
            fence=self.scheduler.book.fence,
            jobs=len(self.scheduler.book.jobs_by_id),
            records=len(records),
            workers=len(self._drivers_by_id),
            took_s=self._clock.monotonic_s() - begun_s,
        )
        self._changed()

    def _compact(self, records: list[LedgerRecord]) -> list[LedgerRecord]:
        now_s, wall_ms = self._now()
        return self.scheduler.compact(records, now_s=now_s, wall_ms=wall_ms)

    def claimed_again(self, fence: int) -> None:
        """Go on under a new fence; no other owner was in between."""
        self.scheduler.book.fence = fence
        self.ledger.fence = fence

    def close(self) -> None:
        """Stop giving orders and answering."""
        if self._closed:
            return
        self._closed = True
        self.ready = False
        if self._ticking.running:
            self._ticking.stop()
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None
        self.ledger.close()
        for driver in self._drivers_by_id.values():
            driver.close()

    def _now(self) -> tuple[float, int]:
        return self._clock.monotonic_s(), int(self._clock.wall_s() * 1000)

    # Decisions.

    def _changed(self) -> None:
        """Decide soon, together with what else arrives until then."""
        if self._pending is None and not self._closed:
            self._pending = self._reactor.callLater(DECISION_INTERVAL_S, self._decide)

    def _decide(self) -> None:
        self._pending = None
        if self._closed or not self.ready:
            return
        if self.may_order():
            now_s, wall_ms = self._now()
            self._desk.note_instances(self.scheduler)
            self.scheduler.dispatch(now_s=now_s, wall_ms=wall_ms)
        self._carry_out()

    def _carry_out(self) -> None:
        records = self.scheduler.take_records()
        if records:
            self.ledger.append(records)
        for decision in self.scheduler.take_decisions():
            self._carry_out_one(decision)

    def _carry_out_one(self, decision: Decision) -> None:
        match decision:
            case StartRun():
                self._held_starts.append(decision)
            case StopRun():
                self._log_stop(decision)
                driver = self._drivers_by_id.get(decision.worker_id)
                if driver is not None:
                    driver.stop(decision)
            case PaceRun():
                driver = self._drivers_by_id.get(decision.worker_id)
                if driver is not None:
                    driver.pace(decision.task, decision.number, decision.percent)
            case AskAdvice():
                self._metrics.count("advice.asked")
                asked = ensureDeferred(self._ask(decision))
                asked.addErrback(self._failed)
            case JobChanged():
                self._metrics.count(f"jobs.{decision.status.value}")
                log_event(
                    logger,
                    "job_changed",
                    job=decision.job_id,
                    status=decision.status.value,
                    reason=decision.reason,
                )

    def _send_starts(self) -> None:
        """Send the starts whose placement is durable."""
        held = self._held_starts
        while held and held[0].after_record <= self.scheduler.book.committed:
            order = held.popleft()
            driver = self._drivers_by_id.get(order.worker_id)
            if driver is not None and self.scheduler.start_sent(order):
                self._log_start(order)
                driver.start(order)

    def _log_start(self, order: StartRun) -> None:
        entry = self.scheduler.book.workers_by_id[order.worker_id]
        log_event(
            logger,
            "run_placed",
            job=order.task.job_id,
            task=f"{order.task.occurrence}.{order.task.step}.{order.task.index}",
            run=order.number,
            worker=order.worker_id,
            free_cpu_milli=entry.free_cpu_milli,
            pace=exp(entry.pace.log_ratio),
            estimate_ms=self._estimate_ms(order.task),
            resumed=bool(order.checkpoint),
            config=self._table.version,
        )

    def _estimate_ms(self, task: TaskKey) -> float:
        step = self.scheduler.book.step(task.step_key)
        return 0.0 if step is None else step.step.estimate_s * 1000

    def _log_stop(self, order: StopRun) -> None:
        log_event(
            logger,
            "run_stopped",
            job=order.task.job_id,
            task=f"{order.task.occurrence}.{order.task.step}.{order.task.index}",
            run=order.number,
            worker=order.worker_id,
            reason=order.reason,
        )

    async def _ask(self, decision: AskAdvice) -> None:
        answer = await self._desk.ask(decision)
        if self._closed:
            return
        self.scheduler.advice_answered(
            decision.step,
            decision.worker_ids,
            None if answer is None else answer.tickets_by_worker,
            valid_s=0.0 if answer is None else answer.valid_s,
            now_s=self._clock.monotonic_s(),
        )
        self._changed()

    def _failed(self, failure) -> None:
        log_event(
            logger,
            "owner_failed",
            level=logging.ERROR,
            error=f"{failure.type.__name__}: {failure.value}",
            traceback=failure.getTraceback(elideFrameworkCode=True),
        )
        self.superseded("internal_error")

    def _tick(self) -> None:
        now_s, wall_ms = self._now()
        if self.ledger.stalled_s > STALLED_LIMIT_S:
            self._refuse_unsent()
        self.scheduler.tick(now_s=now_s, wall_ms=wall_ms)
        self._drop_drivers()
        self._see_again()
        self._decide()
        book = self.scheduler.book
        self._metrics.gauge("jobs.known", len(book.jobs_by_id))
        self._metrics.gauge("steps.open", len(book.open_steps))
        self._metrics.gauge("workers.known", len(book.workers_by_id))

    def _refuse_unsent(self) -> None:
        """Refuse the jobs that wait for the ledger and have not been sent to it."""

        def withdraw(record: LedgerRecord) -> LedgerRecord:
            if not isinstance(record, JobAccepted):
                return record
            waiter = self._submits_by_id.pop(record.job_id, None)
            if waiter is None:
                return record
            self.scheduler.withdraw(record.job_id)
            waiter.callback(False)
            return JobForgotten(record.job_id)

        self.ledger.replace_unsent(withdraw)

    def _durable(self, count: int) -> None:
        self._heard(self.ledger.last_contact_s)
        self.scheduler.committed(count)
        self._send_starts()
        self._changed()

    # Configuration and directory.

    def set_table(self, table: QueueTable) -> None:
        """Put a version of the configuration in force."""
        if table.version < self._table.version:
            return
        self._table = table
        self.scheduler.set_queues(table.queues)
        self._changed()

    def worker_seen(self, worker: Worker) -> None:
        """Take a directory entry."""
        now_s, wall_ms = self._now()
        self.scheduler.worker_seen(worker, now_s=now_s, wall_ms=wall_ms)
        self._drive(worker)
        self._changed()

    def _see_again(self) -> None:
        """Enter workers that were taken for dead and still stand in the directory."""
        now_s = self._clock.monotonic_s()
        workers = self._directory()
        for worker_id, dead_s in list(self._dead_s_by_id.items()):
            if now_s - dead_s < DEAD_IN_DIRECTORY_S:
                continue
            del self._dead_s_by_id[worker_id]
            worker = workers.get(worker_id)
            if worker is not None and worker_id not in self._drivers_by_id:
                log_event(logger, "worker_seen_again", worker=worker_id)
                self.worker_seen(worker)

    def worker_unregistered(self, worker_id: WorkerId) -> None:
        """Note that the directory no longer names a worker."""
        self.scheduler.worker_unregistered(worker_id)

    def _drive(self, worker: Worker) -> None:
        known = self._drivers_by_id.get(worker.worker_id)
        if known is not None:
            if (
                known.worker.incarnation == worker.incarnation
                and known.worker.address == worker.address
            ):
                known.worker = worker
                return
            known.close()
        driver = WorkerDriver(
            self._reactor,
            worker,
            self._translation.connect(worker),
            clock=self._clock,
            metrics=self._metrics,
            terms=self._terms,
            events=self,
            fence=lambda: self.scheduler.book.fence,
        )
        self._drivers_by_id[worker.worker_id] = driver
        driver.run()

    def _drop_drivers(self) -> None:
        """Close the drivers of workers that the scheduler no longer knows."""
        known = self.scheduler.book.workers_by_id
        for worker_id in [w for w in self._drivers_by_id if w not in known]:
            self._drivers_by_id.pop(worker_id).close()

    # Events of drivers.

    def may_order(self) -> bool:
        """Whether the last contact with the store is recent enough."""
        return (
            not self._closed
            and self._clock.monotonic_s() - self._contact_s() < AUTHORITY_S
        )

    def listed(self, worker: Worker, listing: RunListing, sent_s: float) -> Deferred:
        """Take a listing; fires when its ends are durable."""
        now_s, wall_ms = self._now()
        self.scheduler.worker_listed(
            worker.worker_id,
            listing.running,
            listing.ended,
            complete=listing.complete,
            sent_s=sent_s,
            now_s=now_s,
            wall_ms=wall_ms,
        )
        number = self.scheduler.book.recorded
        self._carry_out()
        self._changed()
        if not listing.ended:
            return succeed(True)
        return self.ledger.when_durable(number)

    def start_answered(self, order: StartRun, answer: StartAnswer) -> None:
        """Take the answer to a start."""
        if not answer.started:
            self._metrics.count(f"workers.start_refused.{answer.reason}")
            log_event(
                logger,
                "start_refused",
                job=order.task.job_id,
                task=f"{order.task.occurrence}.{order.task.step}.{order.task.index}",
                run=order.number,
                worker=order.worker_id,
                reason=answer.reason,
            )
        self.scheduler.start_answered(
            order.worker_id,
            order.task,
            order.number,
            answer,
            now_s=self._clock.monotonic_s(),
        )
        if not answer.started:
            self._changed()

    def start_unanswered(self, order: StartRun) -> None:
        """Block a start that may have been carried out."""
        log_event(
            logger,
            "start_unanswered",
            job=order.task.job_id,
            run=order.number,
            worker=order.worker_id,
        )
        self.scheduler.start_unanswered(order.worker_id, order.task, order.number)
        self._changed()

    def stop_answered(self, order: StopRun) -> None:
        """Note that a stop is in force."""
        self.scheduler.stop_answered(
            order.worker_id, order.task, order.number, now_s=self._clock.monotonic_s()
        )

    def unreachable(self, worker: Worker) -> None:
        """Note that a worker does not answer."""
        self.scheduler.worker_unreachable(worker.worker_id)

    def ended(self, worker: Worker, reason: str) -> None:
        """Note that a worker's process has ended."""
        now_s, wall_ms = self._now()
        entry = self.scheduler.book.workers_by_id.get(worker.worker_id)
        if entry is not None and entry.worker.incarnation == worker.incarnation:
            self.scheduler.worker_dead(
                worker.worker_id,
                now_s=now_s,
                wall_ms=wall_ms,
                replaced=reason == "replaced",
            )
            self._dead_s_by_id[worker.worker_id] = now_s
        self._changed()

    def lease_granted(self, worker: Worker, lease_end_s: float) -> None:
        """Note how long a worker's runs may go on."""
        self.scheduler.lease_granted(worker.worker_id, lease_end_s)

    def has_run(self, worker: Worker, task: TaskKey, number: int) -> bool:
        """Whether a run is still on record."""
        return self.scheduler.book.run(worker.worker_id, (task, number)) is not None

    def superseded(self, reason: str) -> None:
        """Stop, because a later owner has been seen."""
        if not self._closed:
            self.close()
            self._on_superseded(reason)

    # Calls about jobs.

    async def submit(
        self, job_id: JobId, queue: Queue, graph: JobGraph, age_s: float
    ) -> JobAnswer:
        """Accept a job, durably, or refuse it."""
        if not self.ready:
            return JobAnswer(JobOutcome.NOT_OWNER)
        known = job_id in self.scheduler.book.jobs_by_id
        if not known and self.ledger.stalled_s > STALLED_LIMIT_S:
            return self._refuse(job_id, "ledger_stalled")
        now_s, wall_ms = self._now()
        number = self.scheduler.submit(
            job_id,
            queue,
            graph,
            received_s=now_s - age_s,
            received_ms=wall_ms - int(age_s * 1000),
        )
        self._carry_out()
        self._changed()
        withdrawn: Deferred = Deferred()
        if not known:
            self._submits_by_id[job_id] = withdrawn
        durable, _ = await DeferredList(
            [self.ledger.when_durable(number), withdrawn], fireOnOneCallback=True
        )
        self._submits_by_id.pop(job_id, None)
        if withdrawn.called:
            return self._refuse(job_id, "not_durable")
        log_event(
            logger,
            "job_submitted",
            job=job_id,
            queue=queue.queue_id,
            known=known,
            durable=durable,
            age_ms=age_s * 1000,
            took_ms=(self._clock.monotonic_s() - now_s) * 1000,
            steps=len(graph.steps),
            tasks=sum(step.count for step in graph.steps),
        )
        return JobAnswer(JobOutcome.OK if durable else JobOutcome.UNDECIDED)

    def _refuse(self, job_id: JobId, reason: str) -> JobAnswer:
        self._metrics.count(f"refusal.{reason}")
        log_event(
            logger,
            "job_refused",
            job=job_id,
            reason=reason,
            stalled_s=self.ledger.stalled_s,
        )
        return JobAnswer(JobOutcome.REFUSED)

    async def cancel(self, job_id: JobId) -> JobAnswer:
        """Cancel a job, durably."""
        if not self.ready:
            return JobAnswer(JobOutcome.NOT_OWNER)
        now_s, wall_ms = self._now()
        number = self.scheduler.cancel(job_id, now_s=now_s, wall_ms=wall_ms)
        if number is None:
            return self._unknown()
        self._carry_out()
        self._changed()
        durable = await self.ledger.when_durable(number)
        log_event(logger, "job_cancel", job=job_id, durable=durable)
        return JobAnswer(JobOutcome.OK if durable else JobOutcome.UNDECIDED)

    def status(self, job_id: JobId) -> JobAnswer:
        """Tell a job's state."""
        if not self.ready:
            return JobAnswer(JobOutcome.NOT_OWNER)
        status = self.scheduler.status(job_id)
        if status is None:
            return self._unknown()
        return JobAnswer(JobOutcome.OK, status=status)

    def _unknown(self) -> JobAnswer:
        if self._clock.monotonic_s() - self._contact_s() > FRESH_S:
            # Another instance may have become the owner and accepted it.
            return JobAnswer(JobOutcome.UNDECIDED)
        return JobAnswer(JobOutcome.UNKNOWN_JOB)

    def waiting(self, queue_id: QueueId) -> JobAnswer:
        """Tell how many jobs of a queue have not begun."""
        if not self.ready:
            return JobAnswer(JobOutcome.NOT_OWNER)
        return JobAnswer(JobOutcome.OK, count=self.scheduler.waiting(queue_id))
