"""Calls about jobs at an entry instance, forwarded to the owner."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from ..common import Clock, JobId, Metrics, NoOwnerError, log_event
from ..workflows import JobGraph, Queue, QueueId
from .owner import Owner
from .owner_link import OwnerLink
from .peer_messages import (
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

# An owner that is replaced leaves calls undecided; its successor decides them.
RETRIED_OUTCOMES = (JobOutcome.NOT_OWNER, JobOutcome.UNDECIDED)

# Longest wait for an answer of the owner before the call is made again.
CALL_TIMEOUT_S = 1.5
RETRY_INTERVAL_S = 0.05

# A takeover takes about 2 s; beyond that a caller is better off coming back.
OWNER_WAIT_S = 2.3

# Without the store no instance can become the owner. The store's connections break
# for shorter times than this when it drops a watch.
STORE_LOST_S = 0.3


class JobService:
    """Makes calls to whichever instance owns, until the caller's time is over.

    :param owner: returns the owner's side if it runs in this process.
    :param link: connection to the owner in another process.
    :param store_lost_s: returns the seconds for which the store has not been reached.
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
    ):
        self._reactor = reactor
        self._clock = clock
        self._metrics = metrics
        self._owner = owner
        self._link = link
        self._store_lost_s = store_lost_s

    async def submit(
        self, job_id: JobId, queue: Queue, graph: JobGraph, *, until_s: float
    ) -> JobAnswer:
        """Submit a job."""
        begun_s = self._clock.monotonic_s()

        def message() -> SubmitJob:
            age_s = self._clock.monotonic_s() - begun_s
            return SubmitJob(job_id, queue, graph, age_s)

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

    async def cancel(self, job_id: JobId, *, until_s: float) -> JobAnswer:
        """Cancel a job."""
        return await self._call(lambda: CancelJob(job_id), until_s)

    async def status(self, job_id: JobId, *, until_s: float) -> JobAnswer:
        """Ask for a job's state."""
        return await self._call(lambda: GetStatus(job_id), until_s)

    async def count_waiting(self, queue_id: QueueId, *, until_s: float) -> JobAnswer:
        """Ask how many jobs of a queue have not begun."""
        return await self._call(lambda: CountWaiting(queue_id), until_s)

    async def explain(self, job_id: JobId, *, until_s: float) -> JobAnswer:
        """Ask where a job stands."""
        return await self._call(lambda: ExplainJob(job_id), until_s)

    async def statistics(self, *, until_s: float) -> JobAnswer:
        """Ask for the figures of the partition."""
        return await self._call(DescribePartition, until_s)

    async def _call(self, message: Callable[[], Message], until_s: float) -> JobAnswer:
        """Call until there is an answer or the time is over.

        The calls are idempotent, so that a call without an answer is made again.
        """
        undecided = False
        give_up_s = min(until_s, self._clock.monotonic_s() + OWNER_WAIT_S)
        while True:
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0:
                break
            sent, answer = await self._call_once(message(), left_s)
            undecided = undecided or sent
            if answer is not None and answer.outcome not in RETRIED_OUTCOMES:
                if answer.outcome is JobOutcome.REFUSED and undecided:
                    # An earlier call may have been taken by another owner.
                    break
                return answer
            if self._clock.monotonic_s() >= give_up_s or self._is_hopeless(answer):
                break
            await deferLater(self._reactor, RETRY_INTERVAL_S)
        if undecided:
            return JobAnswer(JobOutcome.UNDECIDED)
        return JobAnswer(JobOutcome.REFUSED)

    def _is_hopeless(self, answer: JobAnswer | None) -> bool:
        """Whether no instance owns and none can before the store is back."""
        if answer is None:
            unowned = self._owner() is None and self._link.connection is None
        else:
            unowned = answer.outcome is JobOutcome.NOT_OWNER
        return unowned and self._store_lost_s() > STORE_LOST_S

    async def _call_once(
        self, message: Message, left_s: float
    ) -> tuple[bool, JobAnswer | None]:
        """Make one call.

        :returns: whether it may have taken effect without an answer, and the answer.
        """
        owner = self._owner()
        if owner is not None:
            answer = await self._in_time(self.answer(owner, message), left_s)
            return answer is None or answer.outcome is JobOutcome.UNDECIDED, answer
        connection = self._link.connection
        if connection is None:
            return False, None
        try:
            answer = await connection.call(
                message, timeout_s=min(left_s, CALL_TIMEOUT_S)
            )
        except NoOwnerError:
            self._metrics.count("entry.call_unanswered")
            return True, None
        return answer.outcome is JobOutcome.UNDECIDED, answer

    async def _in_time(
        self, answering: Coroutine[Any, Any, JobAnswer], left_s: float
    ) -> JobAnswer | None:
        """Return an answer, or ``None`` after a time; the call goes on then."""
        result: Deferred[JobAnswer | None] = Deferred()
        answered = ensureDeferred(answering)

        def expire() -> None:
            if not result.called:
                self._metrics.count("entry.call_unanswered")
                result.callback(None)

        def settle(value: object) -> None:
            if timer.active():
                timer.cancel()
            if not result.called:
                result.callback(value)

        timer = self._reactor.callLater(left_s, expire)
        answered.addBoth(settle)
        return await result

    @staticmethod
    async def answer(owner: Owner, message: Message) -> JobAnswer:
        """Answer a call at the owner."""
        match message:
            case SubmitJob():
                return await owner.calls.submit(
                    message.job_id, message.queue, message.graph, message.age_s
                )
            case CancelJob():
                return await owner.calls.cancel(message.job_id)
            case GetStatus():
                return owner.calls.status(message.job_id)
            case CountWaiting():
                return owner.calls.count_waiting(message.queue_id)
            case ExplainJob():
                return owner.calls.explain(message.job_id)
            case DescribePartition():
                return owner.calls.statistics()
        return JobAnswer(JobOutcome.NOT_OWNER)
