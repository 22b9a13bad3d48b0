"""Forwards calls about jobs from an entry instance to a partition's owner."""

import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from ..common import Clock, CustomerId, JobId, Metrics, NoOwnerError, log_event
from ..workflows import JobGraph, Queue, QueueId
from .call_versions import CallVersions, VersionOrder
from .owner import Owner
from .owner_link import OwnerLink
from .peer_messages import (
    CallMessage,
    CancelJob,
    CountWaiting,
    DescribePartition,
    ExplainJob,
    GetStatus,
    JobAnswer,
    JobOutcome,
    Message,
    SubmitJob,
)

__all__ = ["JobService"]

logger = logging.getLogger(__name__)

# An owner that is being replaced leaves calls undecided; they are repeated to its
# successor.
RETRIED_OUTCOMES = (JobOutcome.NOT_OWNER, JobOutcome.UNDECIDED)

# Outcomes that hold for one attempt: an earlier one may have been accepted by another
# owner.
UNDONE_OUTCOMES = (JobOutcome.REFUSED, JobOutcome.OLDER_CONFIGURATION)

# Longest wait for the owner's answer before the call is repeated.
CALL_TIMEOUT_S = 1.5
RETRY_INTERVAL_S = 0.05

# Longest wait for an owner. A takeover takes about 2 s; after that it is better for the
# caller to retry later.
OWNER_WAIT_S = 2.3

# Time without contact to the store after which no takeover is expected, since no
# instance can become the owner without the store. The interruptions when the store
# drops a watch are shorter.
STORE_LOST_S = 0.3


class JobService:
    """Calls the current owner of a partition until the caller's deadline.

    :param owner: returns the owner if it runs in this process.
    :param link: connection to the owner in another process.
    :param store_lost_s: returns the seconds for which the store has not answered.
    :param catch_up: waits for a time until a version of the configuration, or a newer
        one, is in force at this instance.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        clock: Clock,
        metrics: Metrics,
        owner: Callable[[], Owner | None],
        link: OwnerLink,
        store_lost_s: Callable[[], float],
        catch_up: Callable[[int], Awaitable[bool]],
    ):
        self._reactor = reactor
        self._clock = clock
        self._metrics = metrics
        self._owner = owner
        self._link = link
        self._store_lost_s = store_lost_s
        self._catch_up = catch_up
        self._versions = CallVersions(metrics)

    async def submit(
        self,
        job_id: JobId,
        queue: Queue,
        graph: JobGraph,
        *,
        until_s: float,
        customer_id: CustomerId = CustomerId(""),
        configuration_version: int | None = None,
    ) -> JobAnswer:
        """Submit a job.

        :param until_s: time by which the call must be answered.
        :param customer_id: the customer that submits it; empty for none.
        :param configuration_version: version that the queue and the customer are from.
        """
        begun_s = self._clock.monotonic_s()

        def message() -> SubmitJob:
            age_s = self._clock.monotonic_s() - begun_s
            return SubmitJob(
                job_id, queue, graph, age_s, customer_id, configuration_version
            )

        answer = await self._call(message, until_s)
        if answer.outcome is not JobOutcome.OK:
            self._metrics.count(f"refusal.submit.{answer.outcome.value}")
            log_event(
                logger,
                "submit_not_accepted",
                job=job_id,
                queue=queue.queue_id,
                outcome=answer.outcome.value,
                took_ms=(self._clock.monotonic_s() - begun_s) * 1000,
            )
        self._metrics.timing_ms(
            "entry.submit", (self._clock.monotonic_s() - begun_s) * 1000
        )
        return answer

    async def cancel(
        self,
        job_id: JobId,
        *,
        until_s: float,
        customer_id: CustomerId | None = None,
        configuration_version: int | None = None,
    ) -> JobAnswer:
        """Cancel a job.

        :param customer_id: the caller's customer; empty for a caller without a key,
            ``None`` if callers need no keys.
        :param configuration_version: version that the customer is from.
        """
        message = CancelJob(job_id, customer_id, configuration_version)
        return await self._call(lambda: message, until_s)

    async def status(
        self,
        job_id: JobId,
        *,
        until_s: float,
        customer_id: CustomerId | None = None,
        configuration_version: int | None = None,
    ) -> JobAnswer:
        """Return a job's state.

        :param customer_id: the caller's customer; empty for a caller without a key,
            ``None`` if callers need no keys.
        :param configuration_version: version that the customer is from.
        """
        message = GetStatus(job_id, customer_id, configuration_version)
        return await self._call(lambda: message, until_s)

    async def count_pending_jobs(
        self,
        queue_id: QueueId,
        *,
        until_s: float,
        configuration_version: int | None = None,
    ) -> JobAnswer:
        """Return the number of a queue's jobs that have not started.

        :param configuration_version: version that the queue is from.
        """
        message = CountWaiting(queue_id, configuration_version)
        return await self._call(lambda: message, until_s)

    async def explain(self, job_id: JobId, *, until_s: float) -> JobAnswer:
        """Return the details of a job and of its tasks."""
        return await self._call(lambda: ExplainJob(job_id), until_s)

    async def statistics(self, *, until_s: float) -> JobAnswer:
        """Return the statistics of the partition."""
        return await self._call(DescribePartition, until_s)

    async def _call(self, message: Callable[[], Message], until_s: float) -> JobAnswer:
        """Call the owner until it answers or the time is over.

        All calls are idempotent, so a call without an answer can be repeated.
        """
        undecided = False
        give_up_s = min(until_s, self._clock.monotonic_s() + OWNER_WAIT_S)
        while True:
            remaining_s = until_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                break
            sent, answer = await self._call_once(message(), remaining_s)
            undecided = undecided or sent
            if answer is not None and answer.outcome not in RETRIED_OUTCOMES:
                if answer.outcome in UNDONE_OUTCOMES and undecided:
                    break
                return answer
            if self._clock.monotonic_s() >= give_up_s or self._is_owner_impossible(
                answer
            ):
                break
            await deferLater(self._reactor, RETRY_INTERVAL_S)
        if undecided:
            return JobAnswer(JobOutcome.UNDECIDED)
        return JobAnswer(JobOutcome.REFUSED)

    def _is_owner_impossible(self, answer: JobAnswer | None) -> bool:
        """Whether there is no owner, and none is possible until the store answers."""
        if answer is None:
            has_no_owner = self._owner() is None and self._link.connection is None
        else:
            has_no_owner = answer.outcome is JobOutcome.NOT_OWNER
        return has_no_owner and self._store_lost_s() > STORE_LOST_S

    async def _call_once(
        self, message: Message, remaining_s: float
    ) -> tuple[bool, JobAnswer | None]:
        """Make one attempt at a call.

        :returns: whether the attempt may have taken effect without a decisive answer,
            and the answer.
        """
        owner = self._owner()
        if owner is not None:
            answer = await self._answer_in_time(
                self.answer(owner, message), remaining_s
            )
            return answer is None or answer.outcome is JobOutcome.UNDECIDED, answer
        connection = self._link.connection
        if connection is None:
            return False, None
        try:
            answer = await connection.call(
                message, timeout_s=min(remaining_s, CALL_TIMEOUT_S)
            )
        except NoOwnerError:
            self._metrics.count("entry.call_unanswered")
            return True, None
        return answer.outcome is JobOutcome.UNDECIDED, answer

    async def _answer_in_time(
        self, answering: Coroutine[Any, Any, JobAnswer], remaining_s: float
    ) -> JobAnswer | None:
        """Return an answer, or ``None`` when the time is over; the call continues."""
        result: Deferred[JobAnswer | None] = Deferred()
        answered = ensureDeferred(answering)

        def expire() -> None:
            if not result.called:
                self._metrics.count("entry.call_unanswered")
                result.callback(None)

        def finish(value: object) -> None:
            if timer.active():
                timer.cancel()
            if not result.called:
                result.callback(value)

        timer = self._reactor.callLater(remaining_s, expire)
        answered.addBoth(finish)
        return await result

    async def answer(self, owner: Owner, message: Message) -> JobAnswer:
        """Answer a call as the owner.

        The newest configuration that either instance has decides. If the owner cannot
        get the sender's version in time, it decides under its own.
        """
        if isinstance(message, CallMessage):
            order = self._versions.compare(message, owner.configuration_version)
            if order is VersionOrder.CALLER_NEWER:
                await self._catch_up(message.configuration_version)
                order = self._versions.compare(message, owner.configuration_version)
            if order is VersionOrder.CALLER_OLDER:
                return JobAnswer(
                    JobOutcome.OLDER_CONFIGURATION,
                    configuration_version=owner.configuration_version,
                )
        match message:
            case SubmitJob():
                return await owner.calls.submit(
                    message.job_id,
                    message.queue,
                    message.graph,
                    message.age_s,
                    message.customer_id,
                )
            case CancelJob():
                return await owner.calls.cancel(message.job_id, message.customer_id)
            case GetStatus():
                return owner.calls.status(message.job_id, message.customer_id)
            case CountWaiting():
                return owner.calls.count_pending_jobs(message.queue_id)
            case ExplainJob():
                return owner.calls.explain(message.job_id)
            case DescribePartition():
                return owner.calls.statistics()
        return JobAnswer(JobOutcome.NOT_OWNER)
