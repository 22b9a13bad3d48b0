"""Tests of the details of jobs and the statistics of partitions."""

import pytest

from pistachiolift.common import JobId, WaitReason
from pistachiolift.workflows import (
    AdvicePolicy,
    JobStatus,
    describe_job,
    describe_partition,
)

from .cap_check import make_customer
from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

ADVICE = AdvicePolicy(decide_s=0.4, each_s=0.005, valid_s=1.5)


def get_details(cell, job):
    return describe_job(
        cell.scheduler.state, job, now_s=cell.now_s, wall_ms=cell.wall_ms
    )


def reasons(cell, job):
    return [task.waits_for for task in get_details(cell, job).listed_tasks]


class TestJobs:
    def test_task_counts_and_workers_are_reported(self):
        cell = VirtualCell(workers=1)
        graph = make_graph(make_step(9), make_step(1, after=(0,)))
        job = cell.submit("a", make_queue(), graph)
        cell.run(0.5)
        details = get_details(cell, job)
        assert details.status is JobStatus.RUNNING
        assert (details.tasks, details.running, details.not_started) == (10, 8, 2)
        assert details.durable
        assert [task.worker_id for task in details.listed_tasks] == ["w0"] * 8 + [
            None,
            None,
        ]
        assert reasons(cell, job)[8:] == [WaitReason.NO_ROOM, WaitReason.EARLIER_STEPS]
        cell.run(4.0)
        assert get_details(cell, job).done == 10
        assert get_details(cell, job).listed_tasks == ()

    @pytest.mark.parametrize(
        "step, changes, expected",
        [
            (make_step(1, required_label="none"), {}, WaitReason.NO_WORKERS),
            (make_step(1, cpu=9000), {}, WaitReason.NEVER_FITS),
            (make_step(40, gang=True), {}, WaitReason.NO_ROOM),
        ],
    )
    def test_reason_why_a_step_waits(self, step, changes, expected):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph(step, **changes))
        cell.run(0.5)
        assert set(reasons(cell, job)) == {expected}

    def test_a_step_that_its_customers_cap_holds_back(self):
        cell = VirtualCell()
        cell.set_customers(make_customer(cpu=2000))
        graph = make_graph(make_step(3))
        job = cell.submit("a", make_queue(), graph, customer_id="c")
        cell.run(0.5)
        assert reasons(cell, job) == [None, None, WaitReason.QUOTA]

    def test_a_step_without_tickets_waits_for_advice(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(advice=ADVICE), make_graph())
        cell.run(0.1)
        assert reasons(cell, job) == [WaitReason.ADVICE]

    def test_a_scheduled_job_waits_for_its_first_due_time(self):
        cell = VirtualCell()
        graph = make_graph(
            occurrences=1, first_due_ms=cell.wall_ms + 60_000, interval_ms=1000
        )
        job = cell.submit("a", make_queue(), graph)
        cell.run(0.5)
        assert reasons(cell, job) == [WaitReason.DUE_TIME]

    def test_a_restarted_task_shows_its_run_and_worker(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph(make_step(1, estimate_s=9.0)))
        cell.run(0.5)
        [(_, worker_id, _)] = cell.runs_by_job[job]
        cell.crash(worker_id)
        cell.run(0.5)
        [task] = get_details(cell, job).listed_tasks
        assert task.run > 0
        assert task.worker_id not in (worker_id, None)

    def test_an_unknown_job_has_no_details(self):
        cell = VirtualCell()
        assert get_details(cell, JobId("a")) is None


class TestPartitions:
    def test_partition_statistics(self):
        cell = VirtualCell(workers=2)
        cell.submit("a", make_queue(), make_graph(make_step(3)))
        cell.submit("b", make_queue(), make_graph(make_step(1, cpu=9000)))
        cell.run(0.5)
        statistics = describe_partition(cell.scheduler.state)
        assert statistics.jobs == statistics.open_jobs == 2
        assert statistics.pending_by_queue == {"urgent": 1}
        assert statistics.tasks_placed == 3
        assert statistics.workers_by_state == {"ready": 2}
        assert statistics.quarantined == ()
