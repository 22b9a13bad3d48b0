"""The owner's side: the scheduler, its ledger and the drivers of its workers."""

import logging
from collections import deque
from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import LoopingCall

from ..common import Clock, Metrics, WorkerId, log_event
from ..workflows import (
    AskAdvice,
    Decision,
    GraphScheduler,
    JobChanged,
    LedgerRecord,
    SetRunSpeed,
    StartAnswer,
    StartRun,
    StopRun,
    TaskKey,
    Worker,
)
from .advice_service import AdviceService
from .background import run_in_background
from .decision_log import log_job_changed, log_start, log_stop
from .interfaces import CoordinationStore, PlatformAdapter, QueueTable, RunReport
from .job_calls import STALLED_LIMIT_S, JobCalls
from .ledger import Ledger, read_ledger
from .partition_map import PartitionKeys
from .poll_limiter import PollLimiter
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


class Owner(WorkerEvents):
    """Schedules a partition while this instance owns it.

    :param keys: keys of the partition.
    :param fence: version of the claim.
    :param contact_s: tells when the store was last heard.
    :param commit_interval_s: returns the shortest time between two writes.
    :param on_superseded: called with a reason when a later owner has been seen.
    :param on_failed_call: called when a call to the store had no answer.
    :param table: returns the configuration in force.
    :param directory: returns the workers of the partition that the directory names.
    :param authority_s: time for which an earlier owner may still renew leases.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: CoordinationStore,
        translation: PlatformAdapter,
        *,
        clock: Clock,
        metrics: Metrics,
        keys: PartitionKeys,
        fence: int,
        commit_interval_s: Callable[[], float],
        terms: LeaseTerms,
        keep_final_s: float,
        desk: AdviceService,
        contact_s: Callable[[], float],
        heard: Callable[[float], None],
        on_superseded: Callable[[str], None],
        on_failed_call: Callable[[], None],
        table: Callable[[], QueueTable],
        directory: Callable[[], dict[WorkerId, Worker]],
        authority_s: float = AUTHORITY_S,
    ):
        self._reactor = reactor
        self._store = store
        self._translation = translation
        self._clock = clock
        self._metrics = metrics
        self._keys = keys
        self._terms = terms
        self._desk = desk
        self._contact_s = contact_s
        self._heard = heard
        self._on_superseded = on_superseded
        self._earlier_authority_s = authority_s
        self._newest_table = table
        self._directory = directory
        self.scheduler = GraphScheduler(fence=fence, keep_final_s=keep_final_s)
        self.ledger = Ledger(
            reactor,
            store,
            clock=clock,
            metrics=metrics,
            keys=keys,
            fence=fence,
            interval_s=commit_interval_s,
            on_durable=self._durable,
            on_superseded=lambda: self.handle_superseded("ledger"),
            on_failed_call=on_failed_call,
        )
        self.calls = JobCalls(
            self.scheduler,
            self.ledger,
            clock=clock,
            metrics=metrics,
            is_ready=lambda: self.ready,
            contact_s=contact_s,
            on_changed=self._apply,
        )
        self._drivers_by_id: dict[WorkerId, WorkerDriver] = {}
        self._listing_pace = PollLimiter(lambda: len(self._drivers_by_id))
        self._table = QueueTable()
        self._pending: IDelayedCall | None = None
        self._ticking = LoopingCall(self._tick)
        self._ticking.clock = reactor
        self.ready = False
        self._closed = False
        self._dead_s_by_id: dict[WorkerId, float] = {}
        # Starts whose placement is not durable yet, in order.
        self._held_starts: deque[StartRun] = deque()

    # Beginning and end.

    async def recover(self) -> None:
        """Read the ledger and begin to list what runs."""
        begun_s = self._clock.monotonic_s()
        log = await read_ledger(self._store, self._keys)
        if self._closed:
            return
        read_s = self._clock.monotonic_s() - begun_s
        now_s, wall_ms = self._now()
        # Both may have changed while the ledger was read.
        self.set_table(self._newest_table())
        for worker in self._directory().values():
            self.scheduler.fleet.update_worker(worker, now_s=now_s)
        records = [record for batch in log.values() for record in batch]
        self.scheduler.replay(
            records,
            lease_end_s=self._terms.end_s(now_s + self._earlier_authority_s),
            now_s=now_s,
            wall_ms=wall_ms,
        )
        self.ledger.adopt(log, self._compact)
        for entry in list(self.scheduler.state.workers_by_id.values()):
            self._drive(entry.worker)
        self.ready = True
        self._ticking.start(TICK_INTERVAL_S, now=False)
        log_event(
            logger,
            "owner_ready",
            partition=self._keys.number,
            fence=self.scheduler.state.fence,
            jobs=len(self.scheduler.state.jobs_by_id),
            records=len(records),
            workers=len(self._drivers_by_id),
            read_s=read_s,
            took_s=self._clock.monotonic_s() - begun_s,
        )
        self._changed()

    def _compact(self, records: list[LedgerRecord]) -> list[LedgerRecord]:
        now_s, wall_ms = self._now()
        return self.scheduler.compact(records, now_s=now_s, wall_ms=wall_ms)

    def renew_fence(self, fence: int) -> None:
        """Go on under a new fence; no other owner was in between."""
        self.scheduler.state.fence = fence
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
        pending, self._pending = self._pending, None
        if pending is not None and pending.active():
            # The tick decides on what the call was waiting to decide on.
            pending.cancel()
        if self._closed or not self.ready:
            return
        if self.may_send_commands():
            now_s, wall_ms = self._now()
            self._desk.update_instance_count(self.scheduler)
            self.scheduler.dispatch(now_s=now_s, wall_ms=wall_ms)
        self._carry_out()

    def _apply(self) -> None:
        """Carry out what has been decided, and decide again soon."""
        self._carry_out()
        self._changed()

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
                log_stop(decision)
                driver = self._drivers_by_id.get(decision.worker_id)
                if driver is not None:
                    driver.stop(decision)
            case SetRunSpeed():
                driver = self._drivers_by_id.get(decision.worker_id)
                if driver is not None:
                    driver.set_speed(decision.task, decision.number, decision.percent)
            case AskAdvice():
                self._metrics.count("advice.asked")
                run_in_background(
                    self._ask(decision),
                    logger=logger,
                    event="owner_failed",
                    on_failure=lambda: self.handle_superseded("internal_error"),
                )
            case JobChanged():
                self._metrics.count(f"jobs.{decision.status.value}")
                log_job_changed(decision)

    def _send_starts(self) -> None:
        """Send the starts whose placement is durable."""
        held = self._held_starts
        while held and held[0].after_record <= self.scheduler.state.committed:
            order = held.popleft()
            driver = self._drivers_by_id.get(order.worker_id)
            if driver is None:
                continue
            order = self.scheduler.prepare_start(order, self._clock.monotonic_s())
            if order is not None:
                log_start(order, self.scheduler.state, self._table.version)
                driver.start(order)

    async def _ask(self, decision: AskAdvice) -> None:
        answer = await self._desk.ask(decision)
        if self._closed:
            return
        self.scheduler.handle_advice(
            decision.step,
            decision.worker_ids,
            None if answer is None else answer.tickets_by_worker,
            valid_s=0.0 if answer is None else answer.valid_s,
            now_s=self._clock.monotonic_s(),
        )
        self._changed()

    def _tick(self) -> None:
        if self.ledger.stalled_s > STALLED_LIMIT_S:
            self.calls.refuse_unsent()
        self.scheduler.tick(self._clock.monotonic_s())
        self._drop_drivers()
        self._see_again()
        self._decide()
        book = self.scheduler.state
        name = f"partition.{self._keys.number}"
        self._metrics.gauge(f"{name}.jobs_known", len(book.jobs_by_id))
        self._metrics.gauge(f"{name}.steps_open", len(book.open_steps))
        self._metrics.gauge(f"{name}.workers_known", len(book.workers_by_id))

    def _durable(self, count: int) -> None:
        self._heard(self.ledger.last_contact_s)
        self.scheduler.record_commit(count)
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

    def update_worker(self, worker: Worker) -> None:
        """Take a directory entry."""
        self.scheduler.fleet.update_worker(worker, now_s=self._clock.monotonic_s())
        self._drive(worker)
        self._changed()

    def _see_again(self) -> None:
        """Enter workers that were taken for dead and still stand in the directory."""
        now_s = self._clock.monotonic_s()
        due = [
            worker_id
            for worker_id, dead_s in self._dead_s_by_id.items()
            if now_s - dead_s >= DEAD_IN_DIRECTORY_S
        ]
        workers = self._directory() if due else {}
        for worker_id in due:
            del self._dead_s_by_id[worker_id]
            worker = workers.get(worker_id)
            if worker is not None and worker_id not in self._drivers_by_id:
                log_event(logger, "worker_seen_again", worker=worker_id)
                self.update_worker(worker)

    def mark_worker_unregistered(self, worker_id: WorkerId) -> None:
        """Note that the directory no longer names a worker."""
        self.scheduler.fleet.mark_unregistered(worker_id)

    def _drive(self, worker: Worker) -> None:
        known = self._drivers_by_id.get(worker.worker_id)
        if known is not None:
            if (
                not known.closed
                and known.worker.incarnation == worker.incarnation
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
            pace=self._listing_pace,
            fence=lambda: self.scheduler.state.fence,
        )
        self._drivers_by_id[worker.worker_id] = driver
        driver.run()

    def _drop_drivers(self) -> None:
        """Close the drivers of workers that the scheduler no longer knows."""
        known = self.scheduler.state.workers_by_id
        for worker_id in [w for w in self._drivers_by_id if w not in known]:
            self._drivers_by_id.pop(worker_id).close()

    # Events of drivers.

    def may_send_commands(self) -> bool:
        """Whether the last contact with the store is recent enough."""
        return (
            not self._closed
            and self._clock.monotonic_s() - self._contact_s() < AUTHORITY_S
        )

    def handle_run_report(
        self, worker: Worker, listing: RunReport, sent_s: float
    ) -> Deferred:
        """Take a listing; fires when its ends are durable."""
        now_s, wall_ms = self._now()
        taken = self.scheduler.fleet.apply_report(
            worker.worker_id,
            listing.running,
            listing.ended,
            complete=listing.complete,
            sent_s=sent_s,
            now_s=now_s,
            wall_ms=wall_ms,
        )
        if not taken:
            return succeed(False)
        number = self.scheduler.state.recorded
        self._apply()
        if not listing.ended:
            return succeed(True)
        return self.ledger.when_durable(number)

    def handle_start_answer(self, order: StartRun, answer: StartAnswer) -> None:
        """Take the answer to a start."""
        if not answer.started:
            self._metrics.count(f"workers.start_refused.{answer.reason}")
            log_event(
                logger,
                "start_refused",
                job=order.task.job_id,
                task=order.task.position,
                run=order.number,
                worker=order.worker_id,
                reason=answer.reason,
            )
        self.scheduler.handle_start_answer(
            order.worker_id,
            order.task,
            order.number,
            answer,
            now_s=self._clock.monotonic_s(),
        )
        if not answer.started:
            self._changed()

    def handle_unanswered_start(self, order: StartRun) -> None:
        """Block a start that may have been carried out."""
        log_event(
            logger,
            "start_unanswered",
            job=order.task.job_id,
            run=order.number,
            worker=order.worker_id,
        )
        self.scheduler.handle_unanswered_start(
            order.worker_id, order.task, order.number
        )
        self._changed()

    def handle_stop_answer(self, order: StopRun) -> None:
        """Note that a stop is in force."""
        self.scheduler.handle_stop_answer(
            order.worker_id, order.task, order.number, now_s=self._clock.monotonic_s()
        )

    def handle_unreachable(self, worker: Worker) -> None:
        """Note that a worker does not answer."""
        self.scheduler.fleet.mark_unreachable(worker.worker_id)

    def handle_worker_ended(self, worker: Worker, reason: str) -> None:
        """Note that a worker's process has ended."""
        now_s = self._clock.monotonic_s()
        entry = self.scheduler.state.workers_by_id.get(worker.worker_id)
        if entry is not None and entry.worker.incarnation == worker.incarnation:
            self.scheduler.fleet.remove_worker(
                worker.worker_id, now_s=now_s, replaced=reason == "replaced"
            )
            self._dead_s_by_id[worker.worker_id] = now_s
        self._changed()

    def record_lease(self, worker: Worker, lease_end_s: float) -> None:
        """Note how long a worker's runs may go on."""
        self.scheduler.fleet.extend_lease(worker.worker_id, lease_end_s)

    def has_run(self, worker: Worker, task: TaskKey, number: int) -> bool:
        """Whether a run is still on record."""
        return self.scheduler.state.run(worker.worker_id, (task, number)) is not None

    def handle_superseded(self, reason: str) -> None:
        """Stop, because a later owner has been seen."""
        if not self._closed:
            self.close()
            self._on_superseded(reason)
