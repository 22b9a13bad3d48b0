"""Tests with workers that leave with a notice of 2 s while tasks run on them."""

import pytest

from pistachiolift.workflows import JobStatus

from .uneven_cell import LARGE, REBUILD, URGENT, UnevenCell
from .uneven_scenarios import leave, run_scenario
from .virtual_cell import make_graph, make_step


def start_on_w0(cell, job_id, queue, step):
    """Submit a job whose tasks all fit on the first worker only, at first."""
    for fake in list(cell.workers_by_id.values())[1:]:
        cell.scheduler.state.workers_by_id[fake.worker.worker_id].paused_until_s = (
            cell.now_s + 0.15
        )
    job = cell.submit(job_id, queue, make_graph(step))
    cell.run(0.2)
    return job


def started_on(cell, job):
    return [worker_id for _, worker_id, _ in cell.runs_by_job[job]]


class TestRunsWithCheckpoints:
    def test_a_run_goes_on_elsewhere_from_its_checkpoint(self):
        """Load: one run of 6 s with checkpoints; its worker leaves after 3 s.

        Guards against waiting for the lease of a run that a leaving worker killed.
        """
        cell = UnevenCell(sizes=(8, 8))
        step = make_step(1, cpu=4000, estimate_s=6.0, checkpoints=True)
        job = start_on_w0(cell, "a", LARGE, step)
        cell.run(2.8)
        cell.leave("w0")
        cell.run(6.0)
        assert started_on(cell, job) == ["w0", "w1"]
        assert cell.counts["runs_killed"] == 0
        assert cell.status(job) is JobStatus.COMPLETED
        assert cell.took_s(job) < 6.0 + 1.0

    def test_a_run_that_ends_in_time_is_left_alone(self):
        """Load: one run of 4 s, declared as 8 s; its worker leaves at 2.5 s."""
        cell = UnevenCell(sizes=(8, 8))
        cell.duration_of = lambda task, step: 4.0
        step = make_step(1, cpu=4000, estimate_s=8.0, checkpoints=True)
        job = start_on_w0(cell, "a", LARGE, step)
        cell.run(2.3)
        cell.leave("w0")
        cell.run(3.0)
        assert started_on(cell, job) == ["w0"]
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_gang_is_stopped_as_a_whole(self):
        """Load: a gang of 4 tasks of 6 s on two workers, one of which leaves."""
        cell = UnevenCell(sizes=(8, 8, 8, 8))
        step = make_step(
            4, cpu=4000, estimate_s=6.0, checkpoints=True, gang=True, max_per_worker=2
        )
        job = cell.submit("a", LARGE, make_graph(step))
        cell.run(1.0)
        first = set(started_on(cell, job))
        assert len(first) == 2
        cell.leave(sorted(first)[0])
        cell.run(2.5)
        assert len(started_on(cell, job)) == 8
        assert cell.counts["runs_killed"] == 0
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED


class TestRunsWithoutCheckpoints:
    def test_a_run_whose_work_is_lost_in_any_case_restarts_at_once(self):
        """Load: one run of 8 s; its worker leaves after 0.5 s."""
        cell = UnevenCell(sizes=(8, 8))
        job = start_on_w0(cell, "a", REBUILD, make_step(1, cpu=4000, estimate_s=8.0))
        cell.run(0.3)
        cell.leave("w0")
        cell.run(0.8)
        assert started_on(cell, job) == ["w0", "w1"]

    def test_without_room_elsewhere_it_stays_until_shortly_before_the_end(self):
        """Load: as above, beside a full second worker."""
        cell = UnevenCell(sizes=(8, 8))
        job = start_on_w0(cell, "a", REBUILD, make_step(1, cpu=4000, estimate_s=8.0))
        cell.submit("b", URGENT, make_graph(make_step(1, cpu=8000, estimate_s=3.0)))
        cell.run(0.3)
        cell.leave("w0")
        cell.run(1.0)
        assert len(cell.workers_by_id["w0"].running) == 1
        cell.run(3.0)
        assert cell.counts["runs_killed"] == 0
        assert started_on(cell, job) == ["w0", "w1"]

    def test_a_run_that_may_still_end_in_time_is_not_restarted(self):
        """Load: one run of 2.5 s; its worker leaves after 1 s."""
        cell = UnevenCell(sizes=(8, 8))
        job = start_on_w0(cell, "a", REBUILD, make_step(1, cpu=4000, estimate_s=2.5))
        cell.run(0.8)
        cell.leave("w0")
        cell.run(2.5)
        assert started_on(cell, job) == ["w0"]
        assert cell.status(job) is JobStatus.COMPLETED


class TestLongRunningTasks:
    @pytest.mark.parametrize("may_miss", [0, 1, 2])
    def test_no_more_are_down_than_may_be_missing(self, may_miss):
        """Load: a service of 6 tasks on 3 workers, two of which leave at once."""
        cell = UnevenCell(sizes=(8, 8, 8, 8, 8))
        step = make_step(
            6, cpu=4000, long_running=True, may_miss=may_miss, max_per_worker=2
        )
        job = cell.submit("service", URGENT, make_graph(step))
        cell.run(2.0)
        leaving = sorted(set(started_on(cell, job)))[:2]
        for worker_id in leaving:
            cell.leave(worker_id)
        lowest = 6
        for _ in range(36):
            cell.run(0.05)
            running = sum(len(fake.running) for fake in cell.workers_by_id.values())
            lowest = min(lowest, running)
        assert lowest >= 6 - may_miss
        if may_miss:
            cell.run(0.1)
            assert not any(cell.workers_by_id[w].running for w in leaving)


class TestMixedLoad:
    @pytest.mark.parametrize("seed", range(4))
    def test_no_run_is_killed_with_a_leaving_worker(self, seed):
        """Load: all three kinds at 0.7 of the cores; 5 of 36 workers leave."""
        cell = run_scenario(leave, seed)
        assert all(cell.status(job) is JobStatus.COMPLETED for job in cell.submitted_s)
        assert cell.counts["runs_killed"] == 0


class TestNotices:
    def report(self, cell, remaining_s):
        cell.scheduler.fleet.apply_report(
            "w0",
            [],
            [],
            complete=True,
            sent_s=cell.now_s,
            now_s=cell.now_s,
            wall_ms=cell.wall_ms,
            remaining_s=remaining_s,
        )
        return cell.scheduler.state.workers_by_id["w0"]

    def test_a_worker_that_leaves_by_its_report_gets_no_tasks(self):
        """Guards against starts before the directory shows that a worker leaves."""
        cell = UnevenCell(sizes=(8, 8))
        cell.run(0.2)
        cell.leave("w0", directory_s=1.5)
        cell.run(0.9)
        step = make_step(2, cpu=4000, estimate_s=5.0)
        job = cell.submit("a", REBUILD, make_graph(step))
        cell.run(0.2)
        assert started_on(cell, job) == ["w1", "w1"]

    def test_a_report_without_a_time_takes_the_notice_back(self):
        cell = UnevenCell(sizes=(8, 8))
        cell.run(0.2)
        assert self.report(cell, 2.0).leaves_s == cell.now_s + 2.0
        assert self.report(cell, 3.0).leaves_s == cell.now_s + 2.0, "the earliest"
        assert self.report(cell, None).leaves_s is None

    def test_a_time_of_zero_counts_only_for_a_draining_worker(self):
        """Guards against workers that always send the field."""
        cell = UnevenCell(sizes=(8, 8))
        cell.run(0.2)
        assert self.report(cell, 0.0).leaves_s is None
