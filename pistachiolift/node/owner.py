"""The owner of a partition: its scheduler, its ledger and its workers' drivers."""

import logging
from collections import deque
from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import LoopingCall

from ..common import Clock, InvalidInputError, Metrics, WorkerId, log_event
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
    WorkerState,
)
from .advice_service import AdviceService
from .background import run_in_background
from .cap_gauges import CapGauges
from .cap_shares import CapShares
from .decision_log import log_job_changed, log_start, log_stop
from .interfaces import (
    COMMAND_TIMEOUT_S,
    CoordinationStore,
    PlatformAdapter,
    QueueTable,
    RunReport,
)
from .job_calls import STALLED_LIMIT_S, JobCalls
from .ledger import Ledger, read_ledger
from .ownership import AUTHORITY_S
from .partition_map import PartitionKeys
from .poll_limiter import PollLimiter
from .waiting_report import WaitingReporter
from .worker_driver import LeaseTerms, WorkerDriver, WorkerEvents
from .worker_fence import WorkerFence

__all__ = ["Owner"]

logger = logging.getLogger(__name__)

# Events that arrive within this time are handled by one scheduling pass.
PASS_INTERVAL_S = 0.004
TICK_INTERVAL_S = 0.1

# The directory removes the entries of dead workers within this time.
DEAD_ENTRY_LIMIT_S = 6.0


class Owner(WorkerEvents):
    """Schedules a partition while this instance owns it.

    :param keys: keys of the partition.
    :param fence: version of the claim, used as the fencing token.
    :param commit_interval_s: returns the shortest time between two ledger writes, in
        seconds.
    :param keep_final_s: time for which the state of a finished job is kept.
    :param last_contact_s: returns when the last answered store call was sent.
    :param lease_left_s: returns for how long the lease of the ownership certainly
        lasts, in seconds.
    :param record_contact: called with the time at which an answered store call was
        sent.
    :param on_superseded: called with a reason when a later owner is detected.
    :param on_failed_call: called when a call to the store was not answered.
    :param table: returns the configuration in force.
    :param directory: returns the partition's workers that are in the directory.
    :param authority_s: time for which earlier owners may still renew leases.
    :param partitions: returns the number of partitions of the cell.
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
        advice_service: AdviceService,
        last_contact_s: Callable[[], float],
        lease_left_s: Callable[[], float],
        record_contact: Callable[[float], None],
        on_superseded: Callable[[str], None],
        on_failed_call: Callable[[], None],
        table: Callable[[], QueueTable],
        directory: Callable[[], dict[WorkerId, Worker]],
        authority_s: float = AUTHORITY_S,
        partitions: Callable[[], int] = lambda: 1,
    ):
        self._reactor = reactor
        self._store = store
        self._translation = translation
        self._clock = clock
        self._metrics = metrics
        self._keys = keys
        self._terms = terms
        self._advice_service = advice_service
        self._last_contact_s = last_contact_s
        self._lease_left_s = lease_left_s
        self._record_contact = record_contact
        self._on_superseded = on_superseded
        self._earlier_authority_s = authority_s
        self._newest_table = table
        self._directory = directory
        self.scheduler = GraphScheduler(
            fence=fence,
            keep_final_s=keep_final_s,
            longest_lease_s=terms.longest_s,
        )
        self.ledger = Ledger(
            reactor,
            store,
            clock=clock,
            metrics=metrics,
            keys=keys,
            fence=fence,
            interval_s=commit_interval_s,
            on_durable=self._handle_durable,
            on_superseded=lambda: self.handle_superseded("ledger"),
            on_failed_call=on_failed_call,
        )
        self.calls = JobCalls(
            self.scheduler,
            self.ledger,
            clock=clock,
            metrics=metrics,
            is_ready=lambda: self.ready,
            last_contact_s=last_contact_s,
            on_changed=self._execute_and_reschedule,
        )
        self._cap_shares = CapShares(
            reactor,
            store,
            partition=keys.number,
            partitions=partitions,
            fence=lambda: self.scheduler.state.fence,
            clock=clock,
            metrics=metrics,
            scheduler=self.scheduler,
            may_write=self.may_send_commands,
            on_changed=self._schedule_pass,
        )
        self._cap_gauges = CapGauges(metrics, prefix=f"partition.{keys.number}")
        self._waiting_report = WaitingReporter(
            self.scheduler, metrics, f"partition.{keys.number}"
        )
        self._drivers_by_id: dict[WorkerId, WorkerDriver] = {}
        # Kept for workers that have gone, which may come back.
        self._fences_by_id: dict[WorkerId, WorkerFence] = {}
        self._poll_limiter = PollLimiter(lambda: len(self._drivers_by_id))
        self._table = QueueTable()
        self._scheduled_pass: IDelayedCall | None = None
        self._ticking = LoopingCall(self._tick)
        self._ticking.clock = reactor
        self.ready = False
        self._closed = False
        self._dead_s_by_id: dict[WorkerId, float] = {}
        # Starts whose placement is not durable yet, in the order of their records.
        self._pending_starts: deque[StartRun] = deque()

    # Recovery and shutdown.

    async def recover(self) -> None:
        """Rebuild the state from the ledger and start polling the workers."""
        begun_s = self._clock.monotonic_s()
        log = await read_ledger(self._store, self._keys)
        if self._closed:
            return
        read_s = self._clock.monotonic_s() - begun_s
        now_s, wall_ms = self._now()
        # The configuration and the directory may have changed during the read.
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
            self._ensure_driver(entry.worker)
        self._advice_service.update_instance_count(self.scheduler)
        self._cap_shares.start()
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
        self._schedule_pass()

    def _compact(self, records: list[LedgerRecord]) -> list[LedgerRecord]:
        now_s, wall_ms = self._now()
        return self.scheduler.compact(records, now_s=now_s, wall_ms=wall_ms)

    def renew_fence(self, fence: int) -> None:
        """Continue under a new fencing token; no other owner was in between."""
        self.scheduler.state.fence = fence
        self.ledger.fence = fence

    def close(self) -> None:
        """Stop sending commands and answering calls."""
        if self._closed:
            return
        self._closed = True
        self.ready = False
        if self._ticking.running:
            self._ticking.stop()
        if self._scheduled_pass is not None:
            self._scheduled_pass.cancel()
            self._scheduled_pass = None
        self._cap_shares.close()
        self.ledger.close()
        for driver in self._drivers_by_id.values():
            driver.close()

    def _now(self) -> tuple[float, int]:
        return self._clock.monotonic_s(), int(self._clock.wall_s() * 1000)

    # Decisions.

    def _schedule_pass(self) -> None:
        """Schedule a pass that handles all events arriving until then."""
        if self._scheduled_pass is None and not self._closed:
            self._scheduled_pass = self._reactor.callLater(
                PASS_INTERVAL_S, self._run_pass
            )

    def _run_pass(self) -> None:
        scheduled, self._scheduled_pass = self._scheduled_pass, None
        if scheduled is not None and scheduled.active():
            # This tick handles the events for which the pass was scheduled.
            scheduled.cancel()
        if self._closed or not self.ready:
            return
        if self.may_send_commands():
            now_s, wall_ms = self._now()
            self.scheduler.dispatch(now_s=now_s, wall_ms=wall_ms)
        self._execute_decisions()

    def _execute_and_reschedule(self) -> None:
        """Execute the decisions made so far, and schedule another pass."""
        self._execute_decisions()
        self._schedule_pass()

    def _execute_decisions(self) -> None:
        records = self.scheduler.take_records()
        if records:
            self.ledger.append(records)
        for decision in self.scheduler.take_decisions():
            self._execute(decision)

    def _execute(self, decision: Decision) -> None:
        match decision:
            case StartRun():
                self._pending_starts.append(decision)
            case StopRun():
                self._metrics.count(f"runs.stopped.{decision.reason}")
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
                    self._request_advice(decision),
                    logger=logger,
                    event="owner_failed",
                    on_failure=lambda: self.handle_superseded("internal_error"),
                )
            case JobChanged():
                self._metrics.count(f"jobs.{decision.status.value}")
                self.calls.handle_job_changed(decision)
                log_job_changed(decision)

    def _send_starts(self) -> None:
        """Send the start commands whose placement is durable."""
        starts = self._pending_starts
        while starts and starts[0].after_record <= self.scheduler.state.committed:
            command = starts.popleft()
            driver = self._drivers_by_id.get(command.worker_id)
            if driver is None:
                continue
            command = self.scheduler.prepare_start(command, self._clock.monotonic_s())
            if command is not None:
                log_start(command, self.scheduler.state, self._table.version)
                driver.start(command)

    async def _request_advice(self, decision: AskAdvice) -> None:
        answer = await self._advice_service.ask(decision)
        if self._closed:
            return
        self.scheduler.handle_advice(
            decision.step,
            decision.worker_ids,
            None if answer is None else answer.tickets_by_worker,
            valid_s=0.0 if answer is None else answer.valid_s,
            now_s=self._clock.monotonic_s(),
        )
        self._schedule_pass()

    def _tick(self) -> None:
        if self.ledger.stalled_s > STALLED_LIMIT_S:
            self.calls.refuse_unsent()
        self._advice_service.update_instance_count(self.scheduler)
        self.scheduler.tick(self._clock.monotonic_s())
        self._close_unused_drivers()
        self._restore_workers()
        self._run_pass()
        for counter, count in self.scheduler.take_counts().items():
            self._metrics.count(f"scheduler.{counter}", count)
        self._waiting_report.check(*self._now())
        state = self.scheduler.state
        name = f"partition.{self._keys.number}"
        self._metrics.gauge(f"{name}.jobs_known", len(state.jobs_by_id))
        self._metrics.gauge(f"{name}.steps_open", len(state.open_steps))
        self._metrics.gauge(f"{name}.workers_known", len(state.workers_by_id))
        self._cap_gauges.update(state.caps)

    def _handle_durable(self, count: int) -> None:
        self._record_contact(self.ledger.last_contact_s)
        self.scheduler.record_commit(count)
        self._send_starts()
        self._schedule_pass()

    # Configuration and worker directory.

    def set_table(self, table: QueueTable) -> None:
        """Apply a version of the configuration unless a newer one is in force."""
        if table.version < self._table.version:
            return
        self._table = table
        self.scheduler.set_queues(table.queues, version=table.version)
        self.scheduler.set_shared(table.needs_keys)
        self.scheduler.set_customers(table.customers)
        self._cap_shares.handle_new_caps()
        self._schedule_pass()

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self._table.version

    def update_worker(self, worker: Worker) -> None:
        """Apply a worker's directory entry, unless a newer process is known."""
        self.scheduler.fleet.update_worker(worker, now_s=self._clock.monotonic_s())
        entry = self.scheduler.state.workers_by_id[worker.worker_id]
        self._ensure_driver(entry.worker)
        self._schedule_pass()

    def _restore_workers(self) -> None:
        """Re-add workers that counted as dead but are still in the directory."""
        now_s = self._clock.monotonic_s()
        due = [
            worker_id
            for worker_id, dead_s in self._dead_s_by_id.items()
            if now_s - dead_s >= DEAD_ENTRY_LIMIT_S
        ]
        workers = self._directory() if due else {}
        for worker_id in due:
            del self._dead_s_by_id[worker_id]
            worker = workers.get(worker_id)
            if worker is not None and worker_id not in self._drivers_by_id:
                log_event(logger, "worker_seen_again", worker=worker_id)
                self.update_worker(worker)

    def mark_worker_unregistered(self, worker_id: WorkerId) -> None:
        """Record that a worker is no longer in the directory."""
        self.scheduler.fleet.mark_unregistered(worker_id)

    def _ensure_driver(self, worker: Worker) -> None:
        known = self._drivers_by_id.get(worker.worker_id)
        if known is not None:
            if (
                not known.closed
                and known.worker.incarnation == worker.incarnation
                and known.worker.address == worker.address
            ):
                drains = worker.state is WorkerState.DRAINING
                if drains and known.worker.state is not WorkerState.DRAINING:
                    known.request_report()
                known.worker = worker
                return
            known.close()
        try:
            connection = self._translation.connect(worker)
        except InvalidInputError as error:
            # Without a driver its runs, if any, end with their lease.
            log_event(
                logger,
                "worker_address_invalid",
                level=logging.ERROR,
                worker=worker.worker_id,
                reason=error.message[:120],
            )
            self._drivers_by_id.pop(worker.worker_id, None)
            self.scheduler.fleet.mark_unreachable(worker.worker_id)
            return
        fence = self._fences_by_id.get(worker.worker_id)
        if fence is None:
            fence = WorkerFence(lambda: self.scheduler.state.fence)
            self._fences_by_id[worker.worker_id] = fence
        elif known is None or known.worker.incarnation != worker.incarnation:
            # What was sent to the earlier process must not reach this one later.
            fence.advance()
        driver = WorkerDriver(
            self._reactor,
            worker,
            connection,
            clock=self._clock,
            metrics=self._metrics,
            terms=self._terms,
            events=self,
            poll_limiter=self._poll_limiter,
            fence=fence,
        )
        self._drivers_by_id[worker.worker_id] = driver
        driver.run()

    def _close_unused_drivers(self) -> None:
        """Close the drivers of workers that the scheduler has removed."""
        known = self.scheduler.state.workers_by_id
        unused = [w for w in self._drivers_by_id if w not in known]
        directory = self._directory() if unused else {}
        for worker_id in unused:
            self._drivers_by_id.pop(worker_id).close()
            # An entry that seemed to be of an older process is its replacement's.
            if worker_id in directory and worker_id not in self._dead_s_by_id:
                self.update_worker(directory[worker_id])

    # Events of drivers.

    def may_send_commands(self) -> bool:
        """Whether the last contact with the store is recent enough to send commands."""
        return (
            not self._closed
            and self._clock.monotonic_s() - self._last_contact_s() < AUTHORITY_S
        )

    def may_start_runs(self) -> bool:
        """Whether no other instance owns the partition until a start has been sent."""
        return not self._closed and self._lease_left_s() > COMMAND_TIMEOUT_S

    def handle_run_report(
        self, worker: Worker, report: RunReport, sent_s: float
    ) -> Deferred:
        """Process a run report; fires with whether its ends are durable."""
        now_s, wall_ms = self._now()
        taken = self.scheduler.fleet.apply_report(
            worker.worker_id,
            report.running,
            report.ended,
            complete=report.complete,
            sent_s=sent_s,
            now_s=now_s,
            wall_ms=wall_ms,
            remaining_s=report.remaining_s,
            clock_ms=report.clock_ms,
        )
        if not taken:
            return succeed(False)
        number = self.scheduler.state.recorded
        self._execute_and_reschedule()
        if not report.ended:
            return succeed(True)
        return self.ledger.when_durable(number)

    def handle_start_answer(self, command: StartRun, answer: StartAnswer) -> None:
        """Process a worker's answer to a start command."""
        if not answer.started:
            self._metrics.count(f"workers.start_refused.{answer.reason}")
            log_event(
                logger,
                "start_refused",
                job=command.task.job_id,
                task=command.task.position,
                run=command.number,
                worker=command.worker_id,
                reason=answer.reason,
            )
        self.scheduler.handle_start_answer(
            command.worker_id,
            command.task,
            command.number,
            answer,
            now_s=self._clock.monotonic_s(),
        )
        if not answer.started:
            self._schedule_pass()

    def record_unanswered_start(self, command: StartRun, sent_s: float) -> None:
        """Record that an attempt at a start has no answer."""
        self.scheduler.record_unanswered_start(
            command.worker_id, command.task, command.number, sent_s=sent_s
        )

    def handle_unanswered_start(self, command: StartRun) -> None:
        """Block a start command that may have been carried out."""
        log_event(
            logger,
            "start_unanswered",
            job=command.task.job_id,
            run=command.number,
            worker=command.worker_id,
        )
        self.scheduler.handle_unanswered_start(
            command.worker_id, command.task, command.number
        )
        self._schedule_pass()

    def handle_stop_answer(self, command: StopRun) -> None:
        """Record that a worker has confirmed a stop command."""
        self.scheduler.handle_stop_answer(
            command.worker_id,
            command.task,
            command.number,
            now_s=self._clock.monotonic_s(),
        )

    def handle_unreachable(self, worker: Worker) -> None:
        """Record that a worker does not answer."""
        self.scheduler.fleet.mark_unreachable(worker.worker_id)

    def handle_worker_replaced(self, worker: Worker, incarnation: int | None) -> None:
        """Record that another process has replaced a worker's process.

        One with the worker's identifier is polled at once, before it is listed.
        """
        now_s = self._clock.monotonic_s()
        entry = self.scheduler.state.workers_by_id.get(worker.worker_id)
        if entry is not None and entry.worker.incarnation == worker.incarnation:
            fleet = self.scheduler.fleet
            if incarnation is None:
                fleet.remove_worker(worker.worker_id, now_s=now_s, replaced=True)
                self._dead_s_by_id[worker.worker_id] = now_s
            else:
                listed = self._directory().get(worker.worker_id)
                registered = listed is not None and listed.incarnation == incarnation
                if not registered:
                    listed = msgspec.structs.replace(worker, incarnation=incarnation)
                fleet.replace_worker(listed, now_s=now_s, registered=registered)
                self._ensure_driver(listed)
        self._schedule_pass()

    def record_lease(self, worker: Worker, lease_end_s: float) -> None:
        """Record until when a worker's runs may continue without another renewal."""
        self.scheduler.fleet.extend_lease(worker.worker_id, lease_end_s)

    def has_run(self, worker: Worker, task: TaskKey, number: int) -> bool:
        """Whether the scheduler still has a record of a run."""
        return self.scheduler.state.run(worker.worker_id, (task, number)) is not None

    def handle_superseded(self, reason: str) -> None:
        """Close because a later owner has been detected or a fault has occurred."""
        if not self._closed:
            self.close()
            self._on_superseded(reason)
