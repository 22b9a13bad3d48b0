"""Faults found in a review of the counts of crashed workers."""

import pytest

from pistachiolift.common import JobId
from pistachiolift.workflows import JobStatus, TaskKey
from pistachiolift.workflows.model import CrashCause
from pistachiolift.workflows.records import RunCrashed

from . import virtual_cell
from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

LEASE_AND_A_TICK_S = 4.8


def cut_after_start(cell, job, count):
    """Cut off the worker of a start before a report shows the run.

    :param count: number of starts of the job to wait for.
    """
    end_s = cell.now_s + 30.0
    while len(cell.runs_by_job[job]) < count:
        assert cell.now_s < end_s, f"{job} was not started {count} times"
        cell.run(0.002)
    cell.run(0.01)
    fake = cell.workers_by_id[cell.runs_by_job[job][-1][1]]
    fake.cut = True
    return fake


class TestLateDirectory:
    """Guards against a task that crashes each worker and is started too often (BUDGET).

    The directory keeps the entry of a dead worker for up to 6 s, longer than the lease
    of its runs lasts, so that the task starts again before the crash counts.
    """

    @pytest.mark.parametrize("directory_s", [4.0, 5.0, 6.0])
    @pytest.mark.parametrize("restart_s", [0.3, 6.5])
    def test_starts_are_bounded(self, monkeypatch, directory_s, restart_s):
        monkeypatch.setattr(virtual_cell, "DIRECTORY_S", directory_s)
        cell = VirtualCell(workers=8)
        cell.crashes_worker = lambda task: True
        cell.restart_s = restart_s
        cell.restart_under_new_id = True
        job = cell.submit("bad", make_queue(), make_graph())
        cell.run(50.0)
        assert cell.status(job) is JobStatus.FAILED
        assert len(cell.runs_by_job[job]) <= 5

    def test_starts_are_bounded_for_gangs(self, monkeypatch):
        monkeypatch.setattr(virtual_cell, "DIRECTORY_S", 6.0)
        cell = VirtualCell(workers=8)
        cell.crashes_worker = lambda task: task.index == 2
        step = make_step(4, cpu=8000, estimate_s=8.0, gang=True)
        job = cell.submit("bad", make_queue(), make_graph(step))
        cell.run(58.0)
        tasks = [task for _, _, task in cell.runs_by_job[job]]
        assert cell.status(job) is JobStatus.FAILED
        assert max(tasks.count(task) for task in tasks) <= 5

    @pytest.mark.parametrize("changes", [1, 2])
    @pytest.mark.parametrize("delay_s", [0.05, 4.8, 5.5])
    def test_starts_are_bounded_if_the_owner_changes(
        self, monkeypatch, delay_s, changes
    ):
        monkeypatch.setattr(virtual_cell, "DIRECTORY_S", 6.0)
        cell = VirtualCell(workers=8)
        cell.crashes_worker = lambda task: True
        cell.restart_under_new_id = True
        job = cell.submit("bad", make_queue(), make_graph())
        seen = 0
        for _ in range(900):
            cell.run(0.1)
            if len(cell.runs_by_job[job]) > seen:
                seen = len(cell.runs_by_job[job])
                if seen <= changes:
                    cell.at(delay_s, cell.replace_owner)
            if cell.status(job) is JobStatus.FAILED:
                break
        assert cell.status(job) is JobStatus.FAILED
        assert seen <= 5
