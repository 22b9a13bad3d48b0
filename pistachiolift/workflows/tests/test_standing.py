"""What operators are told of a job and of a partition."""

import pytest

from pistachiolift.common import JobId, WaitReason
from pistachiolift.workflows import (
    AdvicePolicy,
    JobStatus,
    describe_job,
    describe_partition,
)

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

ADVICE = AdvicePolicy(decide_s=0.4, each_s=0.005, valid_s=1.5)


def stand(cell, job):
    return describe_job(
        cell.scheduler.state, job, now_s=cell.now_s, wall_ms=cell.wall_ms
    )


def reasons(cell, job):
    return [task.waits_for for task in stand(cell, job).listed_tasks]


class TestJobs:
    def test_tasks_are_counted_and_located(self):
        cell = VirtualCell(workers=1)
        graph = make_graph(make_step(9), make_step(1, after=(0,)))
        job = cell.submit("a", make_queue(), graph)
        cell.run(0.5)
        standing = stand(cell, job)
        assert standing.status is JobStatus.RUNNING
        assert (standing.tasks, standing.running, standing.not_started) == (10, 8, 2)
        assert standing.durable
        assert [task.worker_id for task in standing.listed_tasks] == ["w0"] * 8 + [
            None,
            None,
        ]
        assert reasons(cell, job)[8:] == [WaitReason.NO_ROOM, WaitReason.EARLIER_STEPS]
        cell.run(4.0)
        assert stand(cell, job).done == 10
        assert stand(cell, job).listed_tasks == ()

    @pytest.mark.parametrize(
        "step, changes, expected",
        [
            (make_step(1, required_label="none"), {}, WaitReason.NO_WORKERS),
            (make_step(1, cpu=9000), {}, WaitReason.NEVER_FITS),
            (make_step(40, gang=True), {}, WaitReason.NO_ROOM),
        ],
    )
    def test_why_a_step_waits(self, step, changes, expected):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph(step, **changes))
        cell.run(0.5)
        assert set(reasons(cell, job)) == {expected}

    def test_a_step_without_tickets_waits_for_advice(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(advice=ADVICE), make_graph())
        cell.run(0.1)
        assert reasons(cell, job) == [WaitReason.ADVICE]

    def test_a_job_with_times_waits_for_the_first(self):
        cell = VirtualCell()
        graph = make_graph(
            occurrences=1, first_due_ms=cell.wall_ms + 60_000, interval_ms=1000
        )
        job = cell.submit("a", make_queue(), graph)
        cell.run(0.5)
        assert reasons(cell, job) == [WaitReason.DUE_TIME]

    def test_a_failed_task_tells_its_attempts(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph(make_step(1, estimate_s=9.0)))
        cell.run(0.5)
        [(_, worker_id, _)] = cell.runs_by_job[job]
        cell.crash(worker_id)
        cell.run(0.5)
        [task] = stand(cell, job).listed_tasks
        assert task.run > 0
        assert task.worker_id not in (worker_id, None)

    def test_an_unknown_job(self):
        cell = VirtualCell()
        assert stand(cell, JobId("a")) is None


class TestPartitions:
    def test_figures(self):
        cell = VirtualCell(workers=2)
        cell.submit("a", make_queue(), make_graph(make_step(3)))
        cell.submit("b", make_queue(), make_graph(make_step(1, cpu=9000)))
        cell.run(0.5)
        figures = describe_partition(cell.scheduler.state)
        assert figures.jobs == figures.open_jobs == 2
        assert figures.pending_by_queue == {"urgent": 1}
        assert figures.tasks_placed == 3
        assert figures.workers_by_state == {"ready": 2}
        assert figures.quarantined == ()
