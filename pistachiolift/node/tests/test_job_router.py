"""Calls about jobs in a cell of several partitions."""

import pytest
from twisted.internet.defer import ensureDeferred

from pistachiolift.common import JobId, RackId
from pistachiolift.node.job_router import JobRouter
from pistachiolift.node.partition_map import PartitionMap
from pistachiolift.node.peer_messages import JobAnswer, JobOutcome
from pistachiolift.workflows import JobStatus, QueueId
from pistachiolift.workflows.tests.virtual_cell import (
    make_graph,
    make_queue,
    make_step,
)

JOB = JobId("0123456789abcdef")
UNTIL_S = 3.0


class Service:
    """The job service of one partition, whose calls can be made to fail."""

    def __init__(self):
        self.jobs = set()
        self.count = 0
        self.failed_outcome = None

    async def submit(self, job_id, queue, graph, *, until_s, **_):
        if self.failed_outcome:
            return JobAnswer(self.failed_outcome)
        self.jobs.add(job_id)
        return JobAnswer(JobOutcome.OK)

    async def status(self, job_id, *, until_s, **_):
        if self.failed_outcome:
            return JobAnswer(self.failed_outcome)
        if job_id not in self.jobs:
            return JobAnswer(JobOutcome.UNKNOWN_JOB)
        return JobAnswer(JobOutcome.OK, JobStatus.RUNNING)

    cancel = status

    async def count_pending_jobs(self, queue_id, *, until_s, **_):
        if self.failed_outcome:
            return JobAnswer(self.failed_outcome)
        return JobAnswer(JobOutcome.OK, count=self.count)


class Cell:
    def __init__(self):
        self.map = PartitionMap(count=3, partition_by_rack={RackId("far"): 2})
        self.services = [Service() for _ in range(3)]
        self.router = JobRouter(
            partition_map=lambda: self.map, service=lambda n: self.services[n]
        )
        self.home = self.map.of_job(JOB)

    def submit(self, graph):
        call = self.router.submit(JOB, make_queue(), graph, until_s=UNTIL_S)
        return ensureDeferred(call).result.outcome

    def status(self):
        return ensureDeferred(self.router.status(JOB, until_s=UNTIL_S)).result.outcome

    def cancel(self):
        return ensureDeferred(self.router.cancel(JOB, until_s=UNTIL_S)).result.outcome

    def waiting(self):
        call = self.router.count_pending_jobs(QueueId("urgent"), until_s=UNTIL_S)
        return ensureDeferred(call).result


class TestJobs:
    @pytest.mark.parametrize("rack", ["", "far"])
    def test_a_job_is_found_in_the_partition_of_its_data(self, rack):
        cell = Cell()
        graph = make_graph(make_step(data_rack=RackId(rack)))
        assert cell.submit(graph) is JobOutcome.OK
        assert [JOB in each.jobs for each in cell.services].count(True) == 1
        assert cell.status() is JobOutcome.OK
        assert cell.cancel() is JobOutcome.OK

    def test_a_job_that_no_partition_knows_is_unknown(self):
        assert Cell().status() is JobOutcome.UNKNOWN_JOB

    def test_a_job_is_not_unknown_while_a_partition_is_unreachable(self):
        cell = Cell()
        cell.services[(cell.home + 1) % 3].failed_outcome = JobOutcome.UNDECIDED
        assert cell.status() is JobOutcome.UNDECIDED

    def test_an_unreachable_partition_does_not_hide_a_known_job(self):
        cell = Cell()
        cell.submit(make_graph())
        for service in cell.services:
            if not service.jobs:
                service.failed_outcome = JobOutcome.REFUSED
        assert cell.status() is JobOutcome.OK

    def test_before_the_map_is_known_jobs_are_refused(self):
        cell = Cell()
        cell.map = None
        assert cell.submit(make_graph()) is JobOutcome.REFUSED
        assert cell.status() is JobOutcome.REFUSED


class TestPendingJobs:
    def test_the_jobs_of_all_partitions_are_counted(self):
        cell = Cell()
        for number, service in enumerate(cell.services):
            service.count = 10 + number
        assert cell.waiting().count == 33

    def test_no_count_is_returned_while_a_partition_is_unreachable(self):
        cell = Cell()
        cell.services[1].failed_outcome = JobOutcome.UNDECIDED
        assert cell.waiting().outcome is JobOutcome.UNDECIDED
