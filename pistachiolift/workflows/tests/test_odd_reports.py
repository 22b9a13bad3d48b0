"""Run reports that name tasks which no job has."""

import pytest

from pistachiolift.workflows import (
    EndKind,
    JobStatus,
    ReportedEnd,
    ReportedRun,
    TaskKey,
)

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

QUEUE = make_queue()


def make_cell():
    """Return a cell with a job of two tasks, of which none has ended."""
    cell = VirtualCell(queues=[QUEUE])
    job = cell.submit("j", QUEUE, make_graph(make_step(2, estimate_s=5.0)))
    cell.run(1.0)
    return cell, job


def report(cell, *, running=(), ended=()):
    """Deliver a run report that adds rows to those of a worker."""
    fake = next(iter(cell.workers_by_id.values()))
    runs = [ReportedRun(task, number) for task, number in fake.running]
    cell.scheduler.fleet.apply_report(
        fake.worker.worker_id,
        [*runs, *running],
        list(ended),
        complete=True,
        sent_s=cell.now_s,
        now_s=cell.now_s,
        wall_ms=cell.wall_ms,
    )


class TestUnknownTasks:
    """Guards against jobs that are shown as completed too early, or never."""

    @pytest.mark.parametrize("index", [2, 7, 999_999_999])
    def test_the_success_of_a_task_beyond_the_last_one_is_ignored(self, index):
        cell, job = make_cell()
        ends = [
            ReportedEnd(TaskKey(job, 0, 0, index + n), 1, EndKind.DONE)
            for n in range(2)
        ]
        report(cell, ended=ends)
        cell.run(0.5)
        assert cell.status(job) is JobStatus.RUNNING
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED

    @pytest.mark.parametrize("kind", [EndKind.FAILED, EndKind.STOPPED])
    def test_a_task_beyond_the_last_one_is_not_started(self, kind):
        cell, job = make_cell()
        report(cell, ended=[ReportedEnd(TaskKey(job, 0, 0, 2), 1, kind)])
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED
        tasks = {task for _, _, task in cell.runs_by_job[job]}
        assert {task.index for task in tasks} == {0, 1}

    def test_a_run_of_such_a_task_is_stopped(self):
        cell, job = make_cell()
        report(cell, running=[ReportedRun(TaskKey(job, 0, 0, 2), 1)])
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED
        tasks = {task for _, _, task in cell.runs_by_job[job]}
        assert {task.index for task in tasks} == {0, 1}
