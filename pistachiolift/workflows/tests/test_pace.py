"""Tests with workers on which runs stand still or are slowed down for a while."""

import pytest

from pistachiolift.workflows import JobStatus
from pistachiolift.workflows.pace import record_percent
from pistachiolift.workflows.state import TaskRun

from .uneven_cell import LARGE, REBUILD, URGENT, UnevenCell
from .uneven_scenarios import hang, none, run_scenario, slow
from .virtual_cell import make_graph, make_step

# Polls wait 0.8 s; a hang shows in the second report after its begin.
DETECTION_S = 2.2


def submit_checks(cell, *, every_s, count, tasks=3, estimate_s=0.8, queue=URGENT):
    """Submit small jobs at a steady rate."""
    step = make_step(tasks, cpu=4000, estimate_s=estimate_s)
    for number in range(count):
        job_id = f"{queue.queue_id}{number}"
        cell.at(number * every_s, cell.submit, job_id, queue, make_graph(step))


def starts_on(cell, worker_id, since_s):
    runs = [run for runs in cell.runs_by_job.values() for run in runs]
    return [at_s for at_s, worker, _ in runs if worker == worker_id and at_s > since_s]


class TestHangingWorkers:
    def make_cell(self):
        """Return a cell with rebuilds on all of 6 workers, and urgent checks."""
        cell = UnevenCell(sizes=(32,) * 6)
        for number in range(2):
            step = make_step(6, cpu=8000, estimate_s=6.0, max_per_worker=1)
            cell.submit(f"r{number}", REBUILD, make_graph(step))
        submit_checks(cell, every_s=0.2, count=60)
        cell.run(2.0)
        return cell

    def test_new_work_avoids_a_worker_on_which_runs_of_several_jobs_stand(self):
        """Load: rebuilds on 6 workers and 5 urgent checks a second; one hangs 6 s.

        Guards against the stall time of a run, 2.5 s and more, for each further task.
        """
        cell = self.make_cell()
        cell.hang("w0", 6.0)
        cell.run(DETECTION_S)
        detected_s = cell.now_s
        cell.run(2.0)
        assert cell.counts["pace.worker_behind"] == 1
        assert len(starts_on(cell, "w0", detected_s)) <= 2, "at most probes"

    def test_urgent_runs_there_start_elsewhere(self):
        """Load: as above; each check is done within three times its objective."""
        cell = self.make_cell()
        cell.hang("w0", 6.0)
        cell.run(20.0)
        checks = [job for job in cell.submitted_s if job.startswith("urgent")]
        assert all(cell.status(job) is JobStatus.COMPLETED for job in checks)
        assert max(cell.took_s(job) for job in checks) < 3 * 1.5

    def test_the_worker_is_used_again_after_a_single_probe(self):
        """Load: as above, with more rebuilds than workers that do not hang hold."""
        cell = self.make_cell()
        cell.hang("w0", 5.0)
        cell.run(5.0)
        began_s = cell.now_s
        step = make_step(40, cpu=8000, estimate_s=2.0)
        cell.submit("more", REBUILD, make_graph(step))
        entry = cell.scheduler.state.workers_by_id["w0"]
        most = 0
        while entry.behind_s is not None and cell.now_s < began_s + 6.0:
            most = max(most, len(entry.runs))
            cell.run(0.1)
        assert entry.behind_s is None
        assert most <= 1
        cell.run(1.0)
        assert len(entry.runs) > 1

    def test_checkpoints_are_kept(self):
        """Load: large runs with checkpoints on 6 workers; one hangs for 6 s."""
        cell = UnevenCell(sizes=(32,) * 6)
        for number in range(2):
            step = make_step(
                6, cpu=8000, estimate_s=4.0, checkpoints=True, max_per_worker=1
            )
            cell.submit(f"l{number}", LARGE, make_graph(step))
        cell.run(2.5)
        cell.hang("w0", 6.0)
        cell.run(8.0)
        assert {cell.status(job) for job in cell.submitted_s} == {JobStatus.COMPLETED}
        # The hang shows after 2.2 s; starting anew would take 4 s from there.
        assert max(cell.took_s(job) for job in cell.submitted_s) < 2.5 + 2.2 + 4.0


class TestSoundWorkers:
    @pytest.mark.parametrize("factor", [0.1, 0.5, 2.0, 10.0])
    def test_wrong_declared_times_stop_no_run(self, factor):
        """Load: checks that take 0.1 to 10 times the time, beside right ones."""
        cell = UnevenCell(sizes=(32,) * 6)
        cell.duration_of = lambda task, step: (
            step.estimate_s * (factor if task.job_id.startswith("urgent") else 1.0)
        )
        submit_checks(cell, every_s=0.5, count=20)
        submit_checks(cell, every_s=1.0, count=10, estimate_s=3.0, queue=REBUILD)
        cell.run(30.0)
        assert {cell.status(job) for job in cell.submitted_s} == {JobStatus.COMPLETED}
        assert cell.counts["pace.run_moved"] == 0

    def test_a_worker_of_half_the_speed_is_not_behind(self):
        """Load: checks declared at half their time; one worker is 1.8 times slower."""
        cell = UnevenCell(sizes=(32,) * 6)
        cell.duration_of = lambda task, step: 2 * step.estimate_s
        cell.workers_by_id["w0"].slowness = 1.8
        submit_checks(cell, every_s=0.3, count=40)
        cell.run(25.0)
        assert cell.counts["pace.worker_behind"] == 0

    def test_gangs_that_wait_for_members_are_no_evidence(self):
        """Load: two gangs with a member on a slow worker, beside rebuilds."""
        cell = UnevenCell(sizes=(32,) * 6)
        cell.workers_by_id["w5"].slowness = 8.0
        for number in range(2):
            step = make_step(6, cpu=4000, estimate_s=1.0, gang=True, max_per_worker=1)
            cell.submit(f"g{number}", LARGE, make_graph(step))
        submit_checks(cell, every_s=0.5, count=10, estimate_s=2.0, queue=REBUILD)
        cell.run(20.0)
        assert cell.status("g0") is cell.status("g1") is JobStatus.COMPLETED
        assert all(len(cell.runs_by_job[f"g{number}"]) == 6 for number in range(2))

    @pytest.mark.parametrize("frozen_s", [0.6, 1.5, 3.0])
    def test_a_frozen_owner_takes_no_worker_for_stalled(self, frozen_s):
        """Load: rebuilds and checks; the owner is paused while the workers go on."""
        cell = TestHangingWorkers().make_cell()
        tick, send = cell._tick, cell._send_report
        cell._tick = cell._send_report = lambda *_: None
        cell.run(frozen_s)
        cell._tick, cell._send_report = tick, send
        tick()
        cell.run(3.0)
        assert cell.counts["pace.worker_behind"] == 0
        assert cell.counts["pace.run_moved"] == 0


class TestMeasuring:
    """The pace is measured on the worker's clock, whenever its reports are read."""

    def measure(self, *reports, estimate_s=1.0):
        cell = UnevenCell(sizes=(8,))
        cell.run(0.2)
        job = cell.submit("a", REBUILD, make_graph(make_step(1, estimate_s=estimate_s)))
        [step] = cell.scheduler.state.jobs_by_id[job].steps()
        run: TaskRun = step.runs_by_index[0]
        for percent, clock_ms in reports:
            record_percent(run, step, percent, clock_ms)
        return run.pace

    def test_work_done_per_second(self):
        assert self.measure((0, 1000), (50, 2000)) == pytest.approx(0.5)

    def test_reports_read_together_after_a_pause_of_the_owner(self):
        assert self.measure((0, 1000), (0, 1010), (0, 1020)) is None

    def test_a_pause_of_the_worker_is_no_standstill(self):
        assert self.measure((10, 1000), (10, 9000)) is None
        assert self.measure((10, 1000), (10, 9000), (60, 9600)) > 0.8

    def test_a_worker_without_a_clock_is_not_measured(self):
        assert self.measure((0, 0), (0, 0)) is None

    def test_a_long_task_needs_a_longer_time(self):
        reports = ((0, 1000), (0, 2000))
        assert self.measure(*reports, estimate_s=4.0) == 0.0
        assert self.measure(*reports, estimate_s=60.0) is None


class TestMixedLoad:
    def test_no_run_is_moved_without_faults(self):
        """Load: all three kinds at 0.7 of the cores of 36 workers."""
        cell = run_scenario(none, 1)
        assert not cell.counts

    @pytest.mark.parametrize("scenario", [hang, slow])
    def test_all_jobs_complete(self, scenario):
        """Load: as above; 5 of 36 workers hang or are 8 times slower for 5 to 7 s."""
        cell = run_scenario(scenario, 1)
        assert {cell.status(job) for job in cell.submitted_s} == {JobStatus.COMPLETED}
        assert cell.counts["pace.worker_behind"] > 0
