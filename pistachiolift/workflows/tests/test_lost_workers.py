"""Losses of workers that count against a task, are refuted, or count late."""

import pytest

from pistachiolift.common import JobId
from pistachiolift.workflows import JobStatus, TaskKey
from pistachiolift.workflows.crashes import MAX_CRASHES
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


class TestCrashesBeforeALaterSurvival:
    """Guards against crashes that count after a later run has survived its start."""

    @pytest.mark.parametrize("replaced", [True, False])
    def test_a_running_service_is_not_given_up(self, replaced):
        cell = VirtualCell(workers=9)
        graph = make_graph(make_step(long_running=True))
        job = cell.submit("a", make_queue(), graph)
        lost = [cut_after_start(cell, job, count) for count in range(1, 6)]
        cell.run(LEASE_AND_A_TICK_S + 3.0)
        # The sixth run has survived its start and works on.
        assert len(cell.runs_by_job[job]) == 6
        step = cell.scheduler.state.jobs_by_id[job].steps()[0]
        assert step.runs_by_index[0].survived
        for fake in lost:
            if replaced:
                cell._restart(fake)
            else:
                cell._remove_entry(fake)
        cell.run(2.0)
        assert cell.status(job) is JobStatus.RUNNING
        assert not step.crashed_runs_by_index


class TestRunsThatLapsed:
    """Guards against runs that lapsed long before their worker's process ended."""

    def test_a_worker_replaced_after_the_lease_does_not_prove_a_crash(self):
        cell = VirtualCell(workers=8)
        job = cell.submit("a", make_queue(), make_graph(make_step(estimate_s=9.0)))
        for count in range(1, 6):
            fake = cut_after_start(cell, job, count)
            if count < 5:
                # The lease ends while the worker is cut off; it is replaced later.
                cell.at(LEASE_AND_A_TICK_S, cell._restart, fake)
        cell.run(30.0)
        assert cell.status(job) is JobStatus.COMPLETED


class TestUncertainLosses:
    """Guards against a verdict on cuts alone, none of which is a certain crash."""

    def test_five_workers_that_stay_cut_off_have_not_crashed(self):
        cell = VirtualCell(workers=8)
        job = cell.submit("a", make_queue(), make_graph(make_step(estimate_s=9.0)))
        for count in range(1, 6):
            fake = cut_after_start(cell, job, count)
            cell.at(4.0, cell.scheduler.fleet.mark_unregistered, fake.worker.worker_id)
            cell.at(30.0, self._restore, cell, fake)
        cell.run(60.0)
        assert cell.status(job) is JobStatus.COMPLETED

    @staticmethod
    def _restore(cell, fake):
        fake.cut = False
        cell.scheduler.fleet.update_worker(fake.worker, now_s=cell.now_s)
        cell._send_report(fake)


class TestVerdictOfATakeover:
    """Guards against a final state that is told before its record is durable."""

    def test_the_verdict_is_told_once_it_is_durable(self):
        cell = VirtualCell(workers=4)
        graph = make_graph(make_step(long_running=True))
        job = cell.submit("a", make_queue(), graph)
        cell.run(1.0)
        task = TaskKey(job, 0, 0, 0)
        cell.committed += [
            RunCrashed(task, number, CrashCause.UNKNOWN)
            for number in range(1, MAX_CRASHES)
        ]
        worker_id = cell.runs_by_job[job][-1][1]
        fake = cell.workers_by_id[worker_id]
        fake.alive = False
        directory = [f.worker for f in cell.workers_by_id.values() if f is not fake]
        cell.store_up = False
        # The next owner reads the replacement of the worker, and counts the last loss.
        cell._restart(fake)
        cell.replace_owner()
        told = cell.status(job)
        # The owner after it finds no entry of the worker.
        cell.replace_owner(directory)
        assert told is not JobStatus.FAILED or cell.status(job) is JobStatus.FAILED


class TestIsolatedGangs:
    """Guards against an isolated gang that never finds its workers without new runs."""

    @pytest.mark.parametrize("seed", [0, 1, 2])
    def test_it_starts_although_all_workers_get_starts(self, seed):
        cell = VirtualCell(workers=4, seed=seed)
        cell.report_s = 0.8
        queue = make_queue()
        for number in range(600):
            graph = make_graph(make_step(estimate_s=cell.rng.uniform(0.2, 0.6)))
            cell.at(number * 0.05, cell.submit, f"s{number}", queue, graph)
        cell.run(1.0)
        step = make_step(4, estimate_s=2.0, gang=True, max_per_worker=1)
        job = JobId("a")
        cell.submitted_s[job] = cell.now_s
        cell.scheduler.submit(
            job,
            queue,
            make_graph(step),
            received_s=cell.now_s,
            received_ms=cell.wall_ms,
        )
        cell.scheduler.state.jobs_by_id[job].steps()[0].isolated.add(0)
        cell.run(10.0)
        assert cell.runs_by_job[job]
        assert cell.wait_s(job) < 2.0


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


class TestReturnAfterATakeover:
    """Guards against counts of cut workers that stay when the owner has changed."""

    def test_a_lapsed_run_that_is_reported_has_not_crashed_its_worker(self):
        cell = VirtualCell(workers=8)
        job = cell.submit("a", make_queue(), make_graph(make_step(estimate_s=9.0)))
        for count in range(1, 6):
            fake = cut_after_start(cell, job, count)
            cell.run(4.0)
            cell.scheduler.fleet.mark_unregistered(fake.worker.worker_id)
            while fake.worker.worker_id in cell.scheduler.state.workers_by_id:
                cell.run(0.001)
            cell.run(0.005)
            # The loss is counted and durable; the next owner gets the report.
            fake.cut = False
            cell._expire_lease(fake)
            cell.replace_owner()
            if len(cell.runs_by_job[job]) > count:
                raise AssertionError("the next run was started before the takeover")
        cell.run(30.0)
        assert cell.status(job) is JobStatus.COMPLETED


class TestUnusedCounts:
    """Guards against a verdict that is lost when a run survives after it."""

    def test_a_verdict_is_kept_by_compaction(self):
        cell = VirtualCell(workers=4)
        graph = make_graph(make_step(long_running=True))
        job = cell.submit("a", make_queue(), graph)
        cell.run(1.0)
        step = cell.scheduler.state.jobs_by_id[job].steps()[0]
        run = step.runs_by_index[0]
        tracker = cell.scheduler._crashes
        for number in range(1001, 1006):
            # The first four crashes are durable.
            cell.run(0.05)
            old = type(run)(run.task, number, run.worker_id, run.size, run.status, 0.0)
            tracker.record_run_crash(old, CrashCause.UNKNOWN, cell.now_s)
        assert step.job.status is JobStatus.FAILED
        # A report shows the run, before the verdict is durable and the run has ended.
        tracker.record_survival(step, run)
        cell.committed = cell.scheduler.compact(
            cell.committed, now_s=cell.now_s, wall_ms=cell.wall_ms
        )
        cell._decide()
        cell.run(1.0)
        assert cell.status(job) is JobStatus.FAILED
        cell.replace_owner()
        assert cell.status(job) is JobStatus.FAILED


class TestLimitOfAnEarlierConfiguration:
    """Guards against a failed job that runs again after a takeover.

    The state is derived from the ledger with the limit that is in force then.
    """

    def test_a_job_that_has_failed_stays_failed(self):
        cell = VirtualCell(workers=2)
        queue = make_queue(max_failures=1)
        cell.scheduler.set_queues([queue])
        for fake in cell.workers_by_id.values():
            fake.fails = True
        job = cell.submit("a", queue, make_graph(make_step(estimate_s=0.2)))
        cell.run(2.0)
        assert cell.status(job) is JobStatus.FAILED
        cell.scheduler.set_queues([make_queue(max_failures=3)])
        cell.replace_owner()
        assert cell.status(job) is JobStatus.FAILED
