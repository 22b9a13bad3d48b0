"""The owner's side of one partition: job scheduling."""

import logging
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterable

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import deferLater

from ..backends import (
    Capacity,
    CommandAction,
    CommandBatch,
    DirectoryEntry,
    InstanceState,
    KeyValueStore,
    TaskCommand,
    WorkerAnswer,
    WorkerClient,
)
from ..common import (
    Clock,
    CustomerId,
    Epoch,
    JobId,
    Metrics,
    OutcomeUnknownError,
    PartitionId,
    PistachioliftError,
    QuotaUse,
    RackId,
    StoreUnavailableError,
    WorkerId,
    error_from_code,
    log_event,
)
from ..jobs import (
    CheckpointTask,
    CommandStatus,
    JobAccepted,
    JobDecision,
    JobEnded,
    JobRefused,
    JobScheduler,
    JobSpec,
    LedgerEntry,
    LedgerWrite,
    RenewLease,
    ReportedState,
    Resources,
    StartTask,
    StopTask,
    TaskDecision,
    TaskReport,
    WorkerSpec,
)
from .paged_log import PagedLog, delete_pages_before, read_page
from .quota_manager import JobQuotas, QuotaManager, QuotaUser
from .trace import open_trace

__all__ = ["HomeJobs"]

logger = logging.getLogger(__name__)

# Workers refuse to start a task later than this after the command was issued.
START_VALIDITY_S = 1.0
MIN_WAKEUP_DELAY_S = 0.005
READ_RETRY_INTERVAL_S = 0.2
# Marks a complete copy of the ledger: a new owner writes this record last when it
# copies the ledger to its epoch. Pages of earlier epochs are ignored from then on. They
# may not be deleted yet, or a paused former owner may write them late, and reading them
# would restore jobs that were removed.
COPY_COMPLETE_KEY = ""
PROBE_RETRY_AFTER_S = 8.0
# Limit of the batches that wait for a worker; more would be sent too late.
QUEUED_BATCHES_LIMIT = 100

_entry_decoder = msgspec.msgpack.Decoder(LedgerEntry)


def ledger_prefix(partition_id: PartitionId) -> str:
    """Return the prefix of the ledger of a partition."""
    return f"jobs/{partition_id}/"


class HomeJobs(QuotaUser):
    """Feeds events into the job scheduler and carries out its decisions.

    :param has_authority: returns whether decisions may be made now.
    :param quotas: quotas of the customers across the fleet.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: KeyValueStore,
        workers: WorkerClient,
        *,
        partition_id: PartitionId,
        epoch: Epoch,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        has_authority: Callable[[], bool],
        quotas: JobQuotas,
    ):
        self._reactor = reactor
        self._store = store
        self._workers = workers
        self._partition_id = partition_id
        self._epoch = epoch
        self._clock = clock
        self._metrics = metrics
        self._has_authority = has_authority
        trace = open_trace(clock, rng, partition_id, epoch)
        self.scheduler = trace.record_jobs(
            JobScheduler(
                partition_id=partition_id, epoch=epoch, rng=trace.rng, metrics=metrics
            )
        )
        self._log: PagedLog | None = None
        self._restored = False
        self._restoring = False
        self._entries_by_worker: dict[WorkerId, DirectoryEntry] = {}
        self._limit_by_customer: dict[CustomerId, Resources] = {}
        self._quotas = quotas
        self._quota_manager = QuotaManager(
            reactor,
            store,
            partition_id=partition_id,
            epoch=epoch,
            clock=clock,
            metrics=metrics,
            quotas=quotas,
            user=self,
        )
        self._address_by_worker: dict[WorkerId, str] = {}
        self._spec_by_worker: dict[WorkerId, WorkerSpec] = {}
        self._batches_by_worker: dict[WorkerId, deque[list[JobDecision]]] = {}
        self._busy_workers: set[WorkerId] = set()
        self._submitters_by_job: dict[JobId, list[Callable]] = defaultdict(list)
        self._unprobed_submissions: list[tuple[JobSpec, Callable]] = []
        self._probing = False
        self._wakeup: IDelayedCall | None = None
        self._deferred_events: list[Callable[[float], list[JobDecision]]] = []
        self._closed = False

    def close(self) -> None:
        """Stop the timers and the log."""
        self._closed = True
        if self._log is not None:
            self._log.close()
            self._quota_manager.close()
        if self._wakeup is not None and self._wakeup.active():
            self._wakeup.cancel()

    @property
    def _now_s(self) -> float:
        return self._clock.monotonic_s()

    # Recovery

    async def read_ledger(self) -> list[LedgerEntry]:
        """Read the entries of all earlier epochs.

        :raises StoreUnavailableError: if the store does not answer.
        """
        prefix = ledger_prefix(self._partition_id)
        listing = await self._store.list_prefix(prefix)
        records: dict[str, bytes] = {}
        records_by_epoch: dict[str, dict[str, bytes]] = defaultdict(dict)
        for key, entry in sorted(listing.entries_by_key.items()):
            epoch = key.removeprefix(prefix).partition("/")[0]
            records_by_epoch[epoch].update(read_page(entry.value))
        for _, epoch_records in sorted(records_by_epoch.items()):
            if COPY_COMPLETE_KEY in epoch_records:
                records.clear()
            records.update(epoch_records)
        records.pop(COPY_COMPLETE_KEY, None)
        return [_entry_decoder.decode(value) for value in records.values()]

    @property
    def is_ready(self) -> bool:
        """Whether the ledger is restored and this owner has authority to decide."""
        return self._restored and not self._closed and self._has_authority()

    def restore(self, entries: list[LedgerEntry], epoch: Epoch) -> None:
        """Restore the jobs of earlier epochs and copy them to this epoch."""
        self._restored = True
        prefix = f"{ledger_prefix(self._partition_id)}{epoch:010d}/"
        self._log = PagedLog(
            self._reactor, self._store, prefix=prefix, metrics=self._metrics
        )
        self._epoch_prefix = prefix
        self._quota_manager = QuotaManager(
            self._reactor,
            self._store,
            partition_id=self._partition_id,
            epoch=epoch,
            clock=self._clock,
            metrics=self._metrics,
            quotas=self._quotas,
            user=self,
        )
        if entries:
            records = {e.spec.job_id: msgspec.msgpack.encode(e) for e in entries}
            records[COPY_COMPLETE_KEY] = b""
            self._log.put(records, self._delete_earlier_pages)
        for customer_id in {entry.spec.customer_id for entry in entries}:
            self._quota_manager.apply_limit(customer_id)
        self.carry_out(self.scheduler.restore(entries, epoch, self._now_s))

    async def _restore_with_authority(self) -> None:
        """Restore the ledger after a hand-over, where authority begins before that."""
        try:
            while not self._closed and not self._restored:
                try:
                    entries = await self.read_ledger()
                except PistachioliftError as error:
                    self._metrics.count(f"retry.ledger_read.{error.code.value}")
                    await deferLater(self._reactor, READ_RETRY_INTERVAL_S)
                    continue
                if self._closed or not self._has_authority():
                    return
                self.restore(entries, self.scheduler.epoch)
                self.sync_workers(self._entries_by_worker)
                self.wake()
        finally:
            self._restoring = False

    def _delete_earlier_pages(self, durable: bool) -> None:
        if durable:
            prefix = ledger_prefix(self._partition_id)
            ensureDeferred(delete_pages_before(self._store, prefix, self._epoch_prefix))

    # Workers

    def sync_workers(self, entries_by_id: dict[WorkerId, DirectoryEntry]) -> None:
        """Set the workers of the partition after authority has begun."""
        self._entries_by_worker = dict(entries_by_id)
        if not self._restored:
            if not self._restoring:
                self._restoring = True
                work = ensureDeferred(self._restore_with_authority())
                work.addErrback(self._log_failure)
            return
        for worker_id in set(self._address_by_worker) - set(entries_by_id):
            self.remove_worker(worker_id)
        for entry in list(entries_by_id.values()):
            self.update_worker(entry)

    def update_worker(self, entry: DirectoryEntry) -> None:
        """Add or update a worker of the directory."""
        worker_id = WorkerId(entry.id)
        self._entries_by_worker[worker_id] = entry
        if not self.is_ready:
            # All workers are passed to sync_workers when authority begins.
            return
        if entry.state is InstanceState.LEAVING:
            self._spec_by_worker.pop(worker_id, None)
            self._decide(lambda now_s: self.scheduler.worker_leaving(worker_id, now_s))
            return
        self._address_by_worker[worker_id] = entry.address
        spec = WorkerSpec(
            worker_id=worker_id,
            rack_id=RackId(entry.rack),
            capacity=_resources_from(entry.capacity),
        )
        if self._spec_by_worker.get(worker_id) == spec:
            return
        self._spec_by_worker[worker_id] = spec
        self._decide(lambda now_s: self.scheduler.worker_joined(spec, now_s))

    def remove_worker(self, worker_id: WorkerId) -> None:
        """Remove a worker that has left the directory or the partition."""
        self._entries_by_worker.pop(worker_id, None)
        if not self.is_ready:
            return
        self._spec_by_worker.pop(worker_id, None)
        if self._address_by_worker.pop(worker_id, None) is not None:
            self._decide(lambda now_s: self.scheduler.worker_lost(worker_id, now_s))

    # Operators

    def submit_job(self, spec: JobSpec, on_result: Callable) -> None:
        """Submit a job after a read has shown that the store answers.

        If a write that contains the job fails, the job may be stored all the same and
        can no longer be refused as not run. The read allows a refusal beforehand.

        :param on_result: called with ``None`` when the job is durable, or an error.
        """
        if not self.is_ready:
            # The entry instance repeats its call until the ledger is restored.
            return
        if self.scheduler.knows(spec.job_id):
            self._submit(spec, on_result)
            return
        self._unprobed_submissions.append((spec, on_result))
        if not self._probing:
            self._probing = True
            ensureDeferred(self._probe_store()).addErrback(self._log_failure)

    async def _probe_store(self) -> None:
        """Probe the store once for all jobs submitted before the probe."""
        while self._unprobed_submissions and not self._closed:
            submissions, self._unprobed_submissions = self._unprobed_submissions, []
            try:
                await self._store.get(ledger_prefix(self._partition_id))
            except PistachioliftError:
                self._refuse_unprobed(submissions)
                continue
            if self.is_ready:
                for spec, on_result in submissions:
                    self._submit(spec, on_result)
        self._probing = False

    def _refuse_unprobed(self, submissions: list[tuple[JobSpec, Callable]]) -> None:
        for spec, on_result in submissions:
            if self.scheduler.knows(spec.job_id):
                self._submit(spec, on_result)
                continue
            error = StoreUnavailableError(
                "the store does not answer, so the job was not accepted",
                retry_after_s=PROBE_RETRY_AFTER_S,
            )
            self._metrics.count(f"refusal.job.{error.code.value}")
            on_result(error)

    def _submit(self, spec: JobSpec, on_result: Callable) -> None:
        self._submitters_by_job[spec.job_id].append(on_result)
        self._quota_manager.apply_limit(spec.customer_id)
        try:
            self._decide(lambda now_s: self.scheduler.submit_job(spec, now_s))
        except PistachioliftError as error:
            self._metrics.count(f"refusal.job.{error.code.value}")
            self._answer_submitters(spec.job_id, error)
        if spec.customer_id in self._limit_by_customer:
            self._quota_manager.rebalance()

    def cancel_job(self, customer_id: CustomerId, job_id: JobId) -> None:
        """Cancel a job.

        :raises NotFoundError: if the customer has no such job.
        """
        self._decide(
            lambda now_s: self.scheduler.cancel_job(customer_id, job_id, now_s)
        )

    def _answer_submitters(
        self, job_id: JobId, error: PistachioliftError | None
    ) -> None:
        for on_result in self._submitters_by_job.pop(job_id, []):
            on_result(error)

    # Quotas

    def has_authority(self) -> bool:
        """See :meth:`QuotaUser.has_authority`."""
        return self.is_ready

    def quota_uses(self) -> dict[CustomerId, QuotaUse]:
        """See :meth:`QuotaUser.quota_uses`."""
        return self.scheduler.quota_uses()

    def limit_customer(self, customer_id: CustomerId, limit: Resources | None) -> None:
        """See :meth:`QuotaUser.limit_customer`."""
        if self._limit_by_customer.get(customer_id) == limit:
            return
        if limit is None:
            del self._limit_by_customer[customer_id]
        else:
            self._limit_by_customer[customer_id] = limit
        self._apply_or_defer(
            lambda now_s: self.scheduler.set_quota(customer_id, limit, now_s)
        )

    # Decisions

    def wake(self) -> None:
        """Apply the events deferred without authority, then process due timers."""
        if self.is_ready:
            events, self._deferred_events = self._deferred_events, []
            for event in events:
                self._decide(event)
        self._decide(self.scheduler.tick)

    def _decide(self, decide: Callable[[float], list[JobDecision]]) -> None:
        if self._closed:
            return
        if self.is_ready:
            self.carry_out(decide(self._now_s))
        else:
            self._schedule_wakeup()

    def _apply_or_defer(self, event: Callable[[float], list[JobDecision]]) -> None:
        """Apply an event now, or once authority has returned."""
        if self.is_ready:
            self._decide(event)
        elif not self._closed:
            self._deferred_events.append(event)

    def carry_out(self, decisions: list[JobDecision]) -> None:
        """Carry out decisions in order."""
        commands_by_worker: dict[WorkerId, list[JobDecision]] = defaultdict(list)
        for decision in decisions:
            match decision:
                case TaskDecision() | RenewLease():
                    commands_by_worker[decision.worker_id].append(decision)
                case LedgerWrite():
                    self._write_ledger(decision)
                case JobAccepted(job_id=job_id):
                    self._answer_submitters(job_id, None)
                case JobRefused(job_id=job_id, code=code, retry_after_s=after_s):
                    error = error_from_code(
                        code,
                        "the job could not be stored",
                        outcome=PistachioliftError.outcome,
                        retry_after_s=after_s,
                    )
                    self._answer_submitters(job_id, error)
                case JobEnded():
                    self._log_job_ended(decision)
        for worker_id, commands in commands_by_worker.items():
            self._queue_batch(worker_id, commands)
        self._schedule_wakeup()

    def _log_job_ended(self, decision: JobEnded) -> None:
        self._metrics.count(f"job.ended.{decision.reason.value}")
        log_event(
            logger,
            "job_ended",
            job=decision.job_id,
            customer=decision.customer_id,
            reason=decision.reason.value,
            code=decision.code.value if decision.code else "",
            tasks_done=decision.tasks_done,
        )

    def _schedule_wakeup(self) -> None:
        due_s = self.scheduler.next_wakeup_s()
        if due_s is None or self._closed:
            return
        delay_s = max(MIN_WAKEUP_DELAY_S, due_s - self._now_s)
        if self._wakeup is not None and self._wakeup.active():
            if self._wakeup.getTime() - self._reactor.seconds() <= delay_s:
                return
            self._wakeup.cancel()
        self._wakeup = self._reactor.callLater(delay_s, self.wake)

    def _write_ledger(self, write: LedgerWrite) -> None:
        records = {
            job_id: None if entry is None else msgspec.msgpack.encode(entry)
            for job_id, entry in write.entries.items()
        }

        def on_done(durable: bool) -> None:
            method = (
                self.scheduler.ledger_written
                if durable
                else self.scheduler.ledger_failed
            )
            self._apply_or_defer(lambda now_s: method(write.batch_id, now_s))
            if not durable:
                self._answer_outcome_unknown(records)

        self._log.put(records, on_done)

    def _answer_outcome_unknown(self, job_ids: Iterable[JobId]) -> None:
        """Answer the submitters of jobs that may or may not be stored."""
        for job_id in job_ids:
            if job_id in self._submitters_by_job:
                error = OutcomeUnknownError(
                    "the job may be stored and run later; repeat the call with the"
                    " same identifier, or cancel the job",
                    retry_after_s=PROBE_RETRY_AFTER_S,
                )
                self._metrics.count("job.submission_unknown")
                self._answer_submitters(job_id, error)

    # Commands

    def _queue_batch(self, worker_id: WorkerId, commands: list[JobDecision]) -> None:
        queue = self._batches_by_worker.setdefault(worker_id, deque())
        if len(queue) >= QUEUED_BATCHES_LIMIT:
            self._metrics.count("worker.batch_dropped")
            self._apply_results(commands, None)
            return
        queue.append(commands)
        if worker_id not in self._busy_workers:
            self._busy_workers.add(worker_id)
            ensureDeferred(self._send_batches(worker_id, queue)).addErrback(
                self._log_failure
            )

    def _log_failure(self, failure) -> None:
        log_event(
            logger,
            "worker_commands_failed",
            level=logging.ERROR,
            error=failure.getErrorMessage(),
            traceback=failure.getTraceback(),
        )

    async def _send_batches(
        self, worker_id: WorkerId, queue: deque[list[JobDecision]]
    ) -> None:
        try:
            while queue and not self._closed:
                await self._send_batch(worker_id, queue.popleft())
        finally:
            self._busy_workers.discard(worker_id)

    async def _send_batch(
        self, worker_id: WorkerId, commands: list[JobDecision]
    ) -> None:
        address = self._address_by_worker.get(worker_id)
        if address is None or not self._has_authority():
            self._apply_results(commands, None)
            return
        batch = self._build_batch(commands)
        try:
            answer = await self._workers.send(address, batch)
        except PistachioliftError as error:
            self._metrics.count(f"retry.worker.{error.code.value}")
            self._apply_results(commands, None)
            return
        self._apply_results(commands, answer)
        reports = [
            _task_report_from(task)
            for task in answer.tasks
            if task.partition_id == self._partition_id
        ]
        self._apply_or_defer(
            lambda now_s: self.scheduler.worker_report(worker_id, reports, now_s)
        )

    def _build_batch(self, commands: list[JobDecision]) -> CommandBatch:
        issued_s = min(command.issued_s for command in commands)
        wall_s = self._clock.wall_s() + issued_s - self._now_s
        renewals = [c.lease_s for c in commands if isinstance(c, RenewLease)]
        return CommandBatch(
            partition_id=self._partition_id,
            epoch=self.scheduler.epoch,
            start_before_ms=int((wall_s + START_VALIDITY_S) * 1000),
            renew_lease_s=max(renewals, default=0.0),
            commands=[
                _task_command_from(c) for c in commands if isinstance(c, TaskDecision)
            ],
        )

    def _apply_results(
        self, commands: list[JobDecision], answer: WorkerAnswer | None
    ) -> None:
        statuses = {}
        if answer is not None:
            statuses = {r.task_id: r.status.value for r in answer.results}
        for command in commands:
            status = None
            if isinstance(command, TaskDecision) and command.task_id in statuses:
                status = CommandStatus(statuses[command.task_id])
            elif isinstance(command, RenewLease) and answer is not None:
                status = CommandStatus.ACCEPTED
            self._apply_or_defer(
                lambda now_s, command=command, status=status: (
                    self.scheduler.command_result(command, status, now_s)
                )
            )


def _resources_from(capacity: Capacity) -> Resources:
    return Resources(capacity.cpu_milli, capacity.memory_mb, capacity.accelerators)


def _task_command_from(decision: TaskDecision) -> TaskCommand:
    if isinstance(decision, StartTask):
        size = decision.resources
        return TaskCommand(
            task_id=decision.task_id,
            action=CommandAction.START,
            job_id=decision.job_id,
            resources=Capacity(
                cpu_milli=size.cpu_milli,
                memory_mb=size.memory_mb,
                accelerators=size.accelerators,
            ),
            run_s=decision.run_s,
            payload=decision.payload,
        )
    action = CommandAction.THROTTLE
    if isinstance(decision, StopTask):
        action = CommandAction.STOP
    elif isinstance(decision, CheckpointTask):
        action = CommandAction.CHECKPOINT
    return TaskCommand(task_id=decision.task_id, action=action)


def _task_report_from(task) -> TaskReport:
    return TaskReport(
        task_id=task.task_id,
        job_id=task.job_id,
        state=ReportedState(task.state.value),
        resources=_resources_from(task.resources),
        used_cpu_milli=task.used_cpu_milli,
        used_memory_mb=task.used_memory_mb,
        run_s=task.run_s,
        checkpoint_s=task.checkpoint_s,
    )
