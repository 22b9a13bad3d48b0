"""Callers' calls about jobs, answered by the owner."""

import logging
from collections.abc import Callable

from twisted.internet.defer import Deferred, DeferredList

from ..common import Clock, JobId, Metrics, log_event
from ..workflows import (
    GraphScheduler,
    JobAccepted,
    JobForgotten,
    JobGraph,
    LedgerRecord,
    Queue,
    QueueId,
    describe_job,
    describe_partition,
)
from .ledger import Ledger
from .peer_messages import JobAnswer, JobOutcome

__all__ = ["STALLED_LIMIT_S", "JobCalls"]

logger = logging.getLogger(__name__)

# A write in flight for longer than this means that nothing can be accepted now.
STALLED_LIMIT_S = 0.6

# Age of the last contact with the store up to which a job that is not known here is
# known nowhere: below the lease of the ownership.
FRESH_S = 1.2


class JobCalls:
    """Accepts, cancels and tells of jobs.

    :param is_ready: whether the owner has read its ledger.
    :param contact_s: tells when the store was last heard.
    :param on_changed: called after the scheduler has been told something.
    """

    def __init__(
        self,
        scheduler: GraphScheduler,
        ledger: Ledger,
        *,
        clock: Clock,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        contact_s: Callable[[], float],
        on_changed: Callable[[], None],
    ):
        self._scheduler = scheduler
        self._ledger = ledger
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._contact_s = contact_s
        self._on_changed = on_changed
        # Calls whose job is not durable yet, by job; they fire if it is withdrawn.
        self._withdrawals_by_id: dict[JobId, list[Deferred]] = {}

    def _wall_ms(self) -> int:
        return int(self._clock.wall_s() * 1000)

    async def submit(
        self, job_id: JobId, queue: Queue, graph: JobGraph, age_s: float
    ) -> JobAnswer:
        """Accept a job, durably, or refuse it.

        :param age_s: seconds since the caller's request arrived.
        """
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        known = job_id in self._scheduler.state.jobs_by_id
        if not known and self._ledger.stalled_s > STALLED_LIMIT_S:
            return self._refuse(job_id, "ledger_stalled")
        now_s = self._clock.monotonic_s()
        number = self._scheduler.submit(
            job_id,
            queue,
            graph,
            received_s=now_s - age_s,
            received_ms=self._wall_ms() - int(age_s * 1000),
        )
        self._on_changed()
        withdrawn, durable = await self._settled(job_id, number)
        if withdrawn:
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

    async def _settled(self, job_id: JobId, number: int) -> tuple[bool, bool]:
        """Wait until a job is durable or has been withdrawn.

        :returns: whether it was withdrawn, and whether it is durable.
        """
        durable = self._ledger.when_durable(number)
        if durable.called:
            return False, await durable
        withdrawal: Deferred = Deferred()
        self._withdrawals_by_id.setdefault(job_id, []).append(withdrawal)
        outcome = await DeferredList(
            [durable, withdrawal], fireOnOneCallback=True, consumeErrors=True
        )
        waiting = self._withdrawals_by_id.get(job_id, [])
        if withdrawal in waiting:
            waiting.remove(withdrawal)
        if not waiting:
            self._withdrawals_by_id.pop(job_id, None)
        if isinstance(outcome, list):
            # Both were cancelled, as the caller has left; the record stays.
            return False, False
        value, index = outcome
        return (True, False) if index == 1 else (False, value)

    def refuse_unsent(self) -> None:
        """Refuse the jobs that wait for the ledger and have not been sent to it."""
        self._ledger.replace_unsent(self._withdraw)

    def _withdraw(self, record: LedgerRecord) -> LedgerRecord:
        """Return what takes a record's place, so that the numbers stay the same."""
        if not isinstance(record, JobAccepted):
            return record
        self._scheduler.withdraw(record.job_id)
        for withdrawal in self._withdrawals_by_id.pop(record.job_id, ()):
            withdrawal.callback(None)
        return JobForgotten(record.job_id)

    def _refuse(self, job_id: JobId, reason: str) -> JobAnswer:
        self._metrics.count(f"refusal.{reason}")
        log_event(
            logger,
            "job_refused",
            job=job_id,
            reason=reason,
            stalled_s=self._ledger.stalled_s,
        )
        return JobAnswer(JobOutcome.REFUSED)

    async def cancel(self, job_id: JobId) -> JobAnswer:
        """Cancel a job, durably."""
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        number = self._scheduler.cancel(
            job_id, now_s=self._clock.monotonic_s(), wall_ms=self._wall_ms()
        )
        if number is None:
            return self._unknown()
        self._on_changed()
        durable = await self._ledger.when_durable(number)
        log_event(logger, "job_cancel", job=job_id, durable=durable)
        return JobAnswer(JobOutcome.OK if durable else JobOutcome.UNDECIDED)

    def status(self, job_id: JobId) -> JobAnswer:
        """Tell a job's state."""
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        status = self._scheduler.status(job_id)
        if status is None:
            return self._unknown()
        return JobAnswer(JobOutcome.OK, status=status)

    def _unknown(self) -> JobAnswer:
        if self._clock.monotonic_s() - self._contact_s() > FRESH_S:
            # Another instance may have become the owner and accepted it.
            return JobAnswer(JobOutcome.UNDECIDED)
        return JobAnswer(JobOutcome.UNKNOWN_JOB)

    def count_waiting(self, queue_id: QueueId) -> JobAnswer:
        """Tell how many jobs of a queue have not begun."""
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        return JobAnswer(
            JobOutcome.OK, count=self._scheduler.count_pending_jobs(queue_id)
        )

    def explain(self, job_id: JobId) -> JobAnswer:
        """Tell where a job stands."""
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        standing = describe_job(
            self._scheduler.state,
            job_id,
            now_s=self._clock.monotonic_s(),
            wall_ms=self._wall_ms(),
        )
        if standing is None:
            return self._unknown()
        return JobAnswer(JobOutcome.OK, details=standing)

    def statistics(self) -> JobAnswer:
        """Tell the figures of the partition."""
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        return JobAnswer(
            JobOutcome.OK, statistics=describe_partition(self._scheduler.state)
        )
