"""Routes calls about jobs to the partitions that own them."""

from collections.abc import Awaitable, Callable, Iterable

from twisted.internet.defer import ensureDeferred

from ..common import CustomerId, JobId
from ..workflows import JobGraph, Queue, QueueId
from .job_service import JobService
from .partition_map import PartitionMap, PartitionNumber
from .peer_messages import JobAnswer, JobOutcome

__all__ = ["JobRouter"]

Call = Callable[[JobService], Awaitable[JobAnswer]]


class JobRouter:
    """Routes calls about jobs in a cell of any number of partitions.

    :param partition_map: returns the map, ``None`` until it is known.
    :param service: returns the service that calls the owner of a partition.
    """

    def __init__(
        self,
        *,
        partition_map: Callable[[], PartitionMap | None],
        service: Callable[[PartitionNumber], JobService],
    ):
        self._partition_map = partition_map
        self._service = service

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
        :param configuration_version: version that the queue and the customer are from.
        """
        partition_map = self._partition_map()
        if partition_map is None:
            return JobAnswer(JobOutcome.REFUSED)
        service = self._service(partition_map.of_graph(job_id, graph))
        return await service.submit(
            job_id,
            queue,
            graph,
            until_s=until_s,
            customer_id=customer_id,
            configuration_version=configuration_version,
        )

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
        return await self._find(
            job_id,
            lambda s: s.cancel(
                job_id,
                until_s=until_s,
                customer_id=customer_id,
                configuration_version=configuration_version,
            ),
        )

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
        return await self._find(
            job_id,
            lambda s: s.status(
                job_id,
                until_s=until_s,
                customer_id=customer_id,
                configuration_version=configuration_version,
            ),
        )

    async def explain(self, job_id: JobId, *, until_s: float) -> JobAnswer:
        """Return the details of a job and of its tasks."""
        return await self._find(job_id, lambda s: s.explain(job_id, until_s=until_s))

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
        partition_map = self._partition_map()
        if partition_map is None:
            return JobAnswer(JobOutcome.REFUSED)
        answers = await self._ask(
            partition_map.numbers(),
            lambda s: s.count_pending_jobs(
                queue_id, until_s=until_s, configuration_version=configuration_version
            ),
        )
        for answer in answers:
            if answer.outcome is not JobOutcome.OK:
                return answer
        return JobAnswer(JobOutcome.OK, count=sum(each.count for each in answers))

    async def _find(self, job_id: JobId, call: Call) -> JobAnswer:
        """Call the partition that a job's identifier hashes to, then all others.

        A job whose data is on a known rack is in the partition of that rack.
        """
        partition_map = self._partition_map()
        if partition_map is None:
            return JobAnswer(JobOutcome.REFUSED)
        home = partition_map.of_job(job_id)
        answer = await call(self._service(home))
        if answer.outcome is not JobOutcome.UNKNOWN_JOB:
            return answer
        others = [number for number in partition_map.numbers() if number != home]
        answers = await self._ask(others, call)
        known = [a for a in answers if a.outcome is not JobOutcome.UNKNOWN_JOB]
        # An answer from a partition that knows the job precedes a failed call.
        known.sort(key=lambda each: each.outcome is not JobOutcome.OK)
        return known[0] if known else answer

    async def _ask(
        self, numbers: Iterable[PartitionNumber], call: Call
    ) -> list[JobAnswer]:
        calls = [ensureDeferred(call(self._service(number))) for number in numbers]
        return [await each for each in calls]
