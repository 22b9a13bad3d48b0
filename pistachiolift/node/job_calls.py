"""The owner's answers to calls about jobs."""

import logging
from collections.abc import Callable

from twisted.internet.defer import Deferred, DeferredList

from ..common import Clock, CustomerId, JobId, Metrics, log_event
from ..workflows import (
    AdmissionDecision,
    GraphScheduler,
    JobAccepted,
    JobChanged,
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
from .refusals import NAME_LIMIT, RefusalLog
from .wait_predictions import WaitPredictions

__all__ = ["STALLED_LIMIT_S", "JobCalls"]

logger = logging.getLogger(__name__)

# While a write has been in flight for longer than this, new jobs are refused.
STALLED_LIMIT_S = 0.6

# Longest time since the last contact with the store for which an unknown job counts as
# unknown to the whole cell. It is shorter than the lease of the ownership, so no other
# owner can have accepted the job.
MAX_CONTACT_AGE_S = 1.2


class JobCalls:
    """Accepts, cancels and describes jobs.

    :param is_ready: returns whether the owner has recovered from its ledger.
    :param last_contact_s: returns when the last answered store call was sent.
    :param on_changed: called after a change of the scheduler's state.
    """

    def __init__(
        self,
        scheduler: GraphScheduler,
        ledger: Ledger,
        *,
        clock: Clock,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        last_contact_s: Callable[[], float],
        on_changed: Callable[[], None],
    ):
        self._scheduler = scheduler
        self._ledger = ledger
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._last_contact_s = last_contact_s
        self._on_changed = on_changed
        self._predictions = WaitPredictions(metrics)
        self._refusals = RefusalLog(logger, clock=clock, metrics=metrics)
        # For each job that is not durable yet, the Deferreds of the submitting calls.
        # They fire if the job is withdrawn.
        self._withdrawals_by_id: dict[JobId, list[Deferred]] = {}

    def _wall_ms(self) -> int:
        return int(self._clock.wall_s() * 1000)

    async def submit(
        self,
        job_id: JobId,
        queue: Queue,
        graph: JobGraph,
        age_s: float,
        customer_id: CustomerId = CustomerId(""),
    ) -> JobAnswer:
        """Accept a job and wait until it is durable, or refuse it.

        :param age_s: seconds since the caller's request arrived.
        :param customer_id: the customer that submits it; empty for none.
        """
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        known = job_id in self._scheduler.state.jobs_by_id
        if self._is_foreign(job_id, customer_id):
            return self._reject_identifier(job_id, customer_id)
        if not known and self._ledger.stalled_s > STALLED_LIMIT_S:
            return self._refuse(job_id, "ledger_stalled")
        now_s, wall_ms = self._clock.monotonic_s(), self._wall_ms()
        received_s, received_ms = self._scheduler.admission.first_received(
            job_id, now_s - age_s, wall_ms - int(age_s * 1000)
        )
        if not known:
            decision = self._scheduler.admission.decide(
                job_id,
                queue,
                graph,
                received_s=received_s,
                received_ms=received_ms,
                now_s=now_s,
                wall_ms=wall_ms,
                customer_id=customer_id,
            )
            if not decision.admitted:
                self._scheduler.admission.record_refusal(
                    job_id,
                    received_s=received_s,
                    received_ms=received_ms,
                    now_s=now_s,
                )
                return self._refuse_overload(job_id, queue, customer_id, decision)
            self._predictions.add(job_id, queue.queue_id, decision, now_s)
        number = self._scheduler.submit(
            job_id,
            queue,
            graph,
            received_s=received_s,
            received_ms=received_ms,
            customer_id=customer_id,
        )
        self._on_changed()
        withdrawn, durable = await self._wait_until_durable(job_id, number)
        if withdrawn:
            return self._refuse(job_id, "not_durable")
        log_event(
            logger,
            "job_submitted",
            job=job_id,
            queue=queue.queue_id,
            customer=customer_id,
            known=known,
            durable=durable,
            age_ms=age_s * 1000,
            took_ms=(self._clock.monotonic_s() - now_s) * 1000,
            steps=len(graph.steps),
            tasks=sum(step.count for step in graph.steps),
        )
        return JobAnswer(JobOutcome.OK if durable else JobOutcome.UNDECIDED)

    async def _wait_until_durable(
        self, job_id: JobId, number: int
    ) -> tuple[bool, bool]:
        """Wait until a job is durable or withdrawn.

        :param number: number of the job's record in the ledger.
        :returns: whether the job was withdrawn, and whether it is durable.
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
            # The caller has left and both waits were cancelled; the record remains.
            return False, False
        value, index = outcome
        return (True, False) if index == 1 else (False, value)

    def refuse_unsent(self) -> None:
        """Refuse the jobs whose records are not part of a ledger write in flight."""
        self._ledger.replace_unsent(self._withdraw)

    def _withdraw(self, record: LedgerRecord) -> LedgerRecord:
        """Return the replacement of a record; later records keep their numbers."""
        if not isinstance(record, JobAccepted):
            return record
        self._scheduler.withdraw(record.job_id)
        self._predictions.drop(record.job_id)
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

    def _refuse_overload(
        self,
        job_id: JobId,
        queue: Queue,
        customer_id: CustomerId,
        decision: AdmissionDecision,
    ) -> JobAnswer:
        """Refuse a job that cannot end in time."""
        self._metrics.count(f"refusal.admission.{decision.reason.value}")
        log_event(
            logger,
            "job_refused",
            job=job_id,
            queue=queue.queue_id,
            customer=customer_id,
            reason=decision.reason.value,
            retry_after_s=decision.retry_after_s,
            excess=decision.excess,
            least_wait_s=decision.least_wait_s,
            most_wait_s=decision.most_wait_s,
            ahead_s=decision.ahead_s,
            running_s=decision.running_s,
            capacity_milli=decision.capacity_milli,
            totals_age_s=decision.age_s,
        )
        return JobAnswer(
            JobOutcome.REFUSED, retry_after_s=float(decision.retry_after_s)
        )

    def handle_job_changed(self, change: JobChanged) -> None:
        """Compare the predicted with the actual wait once a job starts or ends."""
        self._predictions.resolve(change, self._clock.monotonic_s())

    def _is_visible(self, job_id: JobId, customer_id: CustomerId | None) -> bool:
        """Whether a caller may see a job.

        Jobs without a customer are for all, and those of a public queue also for
        callers without a key.

        :param customer_id: the caller's customer; empty for a caller without a key,
            ``None`` if callers need no keys.
        """
        job = self._scheduler.state.jobs_by_id.get(job_id)
        if job is None or customer_id is None or not job.customer_id:
            return True
        if not customer_id:
            return job.queue.public
        return job.customer_id == customer_id

    def _is_foreign(self, job_id: JobId, customer_id: CustomerId) -> bool:
        """Whether an identifier belongs to a job of another customer."""
        job = self._scheduler.state.jobs_by_id.get(job_id)
        return job is not None and job.customer_id not in ("", customer_id)

    def _reject_identifier(self, job_id: JobId, customer_id: CustomerId) -> JobAnswer:
        """Refuse a job whose identifier another customer's job has."""
        self._refusals.record(
            "identifier_in_use",
            event="job_refused",
            job=job_id,
            customer=customer_id[:NAME_LIMIT],
        )
        return JobAnswer(JobOutcome.FORBIDDEN)

    async def cancel(
        self, job_id: JobId, customer_id: CustomerId | None = None
    ) -> JobAnswer:
        """Cancel a job and wait until the cancellation is durable.

        :param customer_id: the caller's customer; empty for a caller without a key,
            ``None`` if callers need no keys.
        """
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        if not self._is_visible(job_id, customer_id):
            return self._unknown()
        number = self._scheduler.cancel(
            job_id, now_s=self._clock.monotonic_s(), wall_ms=self._wall_ms()
        )
        if number is None:
            return self._unknown()
        self._on_changed()
        durable = await self._ledger.when_durable(number)
        log_event(logger, "job_cancel", job=job_id, durable=durable)
        return JobAnswer(JobOutcome.OK if durable else JobOutcome.UNDECIDED)

    def status(self, job_id: JobId, customer_id: CustomerId | None = None) -> JobAnswer:
        """Return a job's state.

        :param customer_id: the caller's customer; empty for a caller without a key,
            ``None`` if callers need no keys.
        """
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        if not self._is_visible(job_id, customer_id):
            return self._unknown()
        status = self._scheduler.status(job_id)
        if status is None:
            return self._unknown()
        return JobAnswer(JobOutcome.OK, status=status)

    def _unknown(self) -> JobAnswer:
        if self._clock.monotonic_s() - self._last_contact_s() > MAX_CONTACT_AGE_S:
            # Another instance may have become the owner and accepted the job.
            return JobAnswer(JobOutcome.UNDECIDED)
        return JobAnswer(JobOutcome.UNKNOWN_JOB)

    def count_pending_jobs(self, queue_id: QueueId) -> JobAnswer:
        """Return the number of a queue's jobs that have not started."""
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        return JobAnswer(
            JobOutcome.OK, count=self._scheduler.count_pending_jobs(queue_id)
        )

    def explain(self, job_id: JobId) -> JobAnswer:
        """Return the details of a job and of its tasks."""
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        details = describe_job(
            self._scheduler.state,
            job_id,
            now_s=self._clock.monotonic_s(),
            wall_ms=self._wall_ms(),
        )
        if details is None:
            return self._unknown()
        return JobAnswer(JobOutcome.OK, details=details)

    def statistics(self) -> JobAnswer:
        """Return the statistics of the partition."""
        if not self._is_ready():
            return JobAnswer(JobOutcome.NOT_OWNER)
        return JobAnswer(
            JobOutcome.OK, statistics=describe_partition(self._scheduler.state)
        )
