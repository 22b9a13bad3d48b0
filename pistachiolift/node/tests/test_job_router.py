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
    """The calls to one partition's owner, which may be out of reach."""

    def __init__(self):
        self.jobs = set()
        self.count = 0
        self.out_of_reach = None

    async def submit(self, job_id, queue, graph, *, until_s):
        if self.out_of_reach:
            return JobAnswer(self.out_of_reach)
        self.jobs.add(job_id)
        return JobAnswer(JobOutcome.OK)

    async def status(self, job_id, *, until_s):
        if self.out_of_reach:
            return JobAnswer(self.out_of_reach)
        if job_id not in self.jobs:
            return JobAnswer(JobOutcome.UNKNOWN_JOB)
        return JobAnswer(JobOutcome.OK, JobStatus.RUNNING)

    cancel = status

    async def count_waiting(self, queue_id, *, until_s):
        if self.out_of_reach:
            return JobAnswer(self.out_of_reach)
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
        call = self.router.count_waiting(QueueId("urgent"), until_s=UNTIL_S)
        return ensureDeferred(call).result


class TestJobs:
    @pytest.mark.parametrize("rack", ["", "far"])
    def test_a_job_is_found_wherever_its_data_led(self, rack):
        cell = Cell()
        graph = make_graph(make_step(data_rack=RackId(rack)))
        assert cell.submit(graph) is JobOutcome.OK
        assert [JOB in each.jobs for each in cell.services].count(True) == 1
        assert cell.status() is JobOutcome.OK
        assert cell.cancel() is JobOutcome.OK

    def test_a_job_that_nobody_knows_is_unknown(self):
        assert Cell().status() is JobOutcome.UNKNOWN_JOB

    def test_a_job_is_not_unknown_while_a_partition_cannot_be_asked(self):
        cell = Cell()
        cell.services[(cell.home + 1) % 3].out_of_reach = JobOutcome.UNDECIDED
        assert cell.status() is JobOutcome.UNDECIDED

    def test_another_partition_out_of_reach_does_not_matter_to_a_known_job(self):
        cell = Cell()
        cell.submit(make_graph())
        for service in cell.services:
            if not service.jobs:
                service.out_of_reach = JobOutcome.REFUSED
        assert cell.status() is JobOutcome.OK

    def test_before_the_map_is_known_jobs_are_refused(self):
        cell = Cell()
        cell.map = None
        assert cell.submit(make_graph()) is JobOutcome.REFUSED
        assert cell.status() is JobOutcome.REFUSED


class TestWaiting:
    def test_the_jobs_of_all_partitions_are_counted(self):
        cell = Cell()
        for number, service in enumerate(cell.services):
            service.count = 10 + number
        assert cell.waiting().count == 33

    def test_no_count_is_given_while_a_partition_cannot_be_asked(self):
        cell = Cell()
        cell.services[1].out_of_reach = JobOutcome.UNDECIDED
        assert cell.waiting().outcome is JobOutcome.UNDECIDED
