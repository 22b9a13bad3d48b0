"""Tests with hanging, failing and slow workers among healthy ones."""

from pistachiolift.workflows import EndKind, JobStatus, ReportedEnd

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step


def submit_stream(cell, queue, *, jobs, every_s, estimate_s=0.6, tasks=2):
    """Submit jobs at a steady rate."""
    for index in range(jobs):
        graph = make_graph(make_step(tasks, estimate_s=estimate_s))
        cell.at(index * every_s, cell.submit, f"j{index}", queue, graph)


class TestHangingWorkers:
    def test_tasks_of_a_hanging_worker_finish_elsewhere(self):
        cell = VirtualCell(workers=6)
        cell.workers_by_id["w0"].hangs = True
        queue = make_queue()
        submit_stream(cell, queue, jobs=60, every_s=0.1)
        cell.run(16.0)
        assert len(cell.finished_s) == 60
        late = [job for job in cell.finished_s if cell.took_s(job) > 5.0]
        assert not late

    def test_a_task_that_takes_ten_times_its_declared_time_is_not_stopped(self):
        cell = VirtualCell()
        cell.duration_of = lambda task, step: 10 * step.estimate_s
        job = cell.submit("a", make_queue(), make_graph(make_step(3, estimate_s=2.0)))
        cell.run(25.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) == 3

    def test_gang_members_wait_for_members_on_slow_workers(self):
        """Guards against stops of large gangs that span fast and slow workers."""
        cell = VirtualCell(workers=6)
        cell.workers_by_id["w0"].slowness = 8.0
        job = cell.submit("a", make_queue(), make_graph(make_step(48, gang=True)))
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) == 48

    def test_a_gang_that_does_not_end_at_full_progress_is_restarted(self):
        cell = VirtualCell(workers=2)
        cell.duration_of = lambda task, step: 1.0
        job = cell.submit("a", make_queue(), make_graph(make_step(4, gang=True)))
        cell.run(0.5)
        for fake in cell.workers_by_id.values():
            fake.lose_ends = True
        cell.run(8.0)
        for fake in cell.workers_by_id.values():
            fake.lose_ends = False
        cell.run(8.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) > 4


class TestFailingWorkers:
    def test_a_worker_that_fails_all_tasks_gets_few_of_them(self):
        cell = VirtualCell(workers=6)
        cell.workers_by_id["w0"].fails = True
        queue = make_queue(max_failures=3)
        submit_stream(cell, queue, jobs=80, every_s=0.1)
        cell.run(20.0)
        assert all(cell.status(job) is JobStatus.COMPLETED for job in cell.submitted_s)
        on_w0 = [run for runs in cell.runs_by_job.values() for run in runs]
        assert sum(1 for _, worker, _ in on_w0 if worker == "w0") < 30

    def test_a_gang_is_not_restarted_on_workers_where_it_failed(self):
        """Guards against large gangs that never avoid workers that fail all tasks."""
        cell = VirtualCell(workers=12)
        for name in ("w0", "w5"):
            cell.workers_by_id[name].fails = True
        step = make_step(9, cpu=8000, gang=True)
        job = cell.submit("a", make_queue(max_failures=3), make_graph(step))
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) <= 18

    def test_gangs_avoid_workers_on_which_other_jobs_have_failed(self):
        cell = VirtualCell(workers=12)
        cell.workers_by_id["w0"].fails = True
        queue = make_queue(max_failures=3)
        first = cell.submit("first", queue, make_graph(make_step(12)))
        cell.run(3.0)
        step = make_step(10, cpu=8000, gang=True)
        gangs = []
        for number in range(4):
            gangs.append(cell.submit(f"g{number}", queue, make_graph(step)))
            cell.run(3.0)
        assert cell.status(first) is JobStatus.COMPLETED
        assert {cell.status(gang) for gang in gangs} == {JobStatus.COMPLETED}
        assert all(len(cell.runs_by_job[gang]) == 10 for gang in gangs)


class TestProbes:
    """A quarantined worker gets one task as a probe; it must end in every case."""

    def test_a_probe_that_was_never_sent_is_replaced(self):
        cell = VirtualCell(workers=1)
        fake = cell.workers_by_id["w0"]
        fake.fails = True
        queue = make_queue(max_failures=9)
        for number in range(3):
            cell.submit(f"f{number}", queue, make_graph(make_step(estimate_s=0.1)))
        cell.run(1.0)
        assert cell.scheduler.state.health.is_quarantined("w0")
        for number in range(3):
            cell.cancel(f"f{number}")
        fake.fails = False
        cell.store_up = False
        probe = cell.submit("probe", queue, make_graph())
        cell.run(7.0)
        assert cell.runs_by_job[probe] == []
        cell.scheduler.withdraw(probe)
        cell.store_up = True
        later = cell.submit("later", queue, make_graph())
        cell.run(4.0)
        assert cell.status(later) is JobStatus.COMPLETED


class TestSlowWorkers:
    def test_fast_workers_are_preferred_once_speeds_are_known(self):
        cell = VirtualCell(workers=6, seed=3)
        for index in range(3):
            cell.workers_by_id[f"w{index}"].slowness = 2.5
        noise = cell.rng
        cell.duration_of = lambda task, step: (
            step.estimate_s * noise.lognormvariate(0, 0.5)
        )
        queue = make_queue()
        submit_stream(cell, queue, jobs=300, every_s=0.1)
        cell.run(45.0)
        recent = [
            run for runs in cell.runs_by_job.values() for run in runs if run[0] > 115
        ]
        slow = sum(1 for _, worker, _ in recent if worker in ("w0", "w1", "w2"))
        assert slow < 0.2 * len(recent)


class TestSilentDrivers:
    def test_a_worker_without_run_reports_loses_its_tasks(self):
        cell = VirtualCell(workers=2)
        job = cell.submit("a", make_queue(), make_graph(make_step(1, estimate_s=30.0)))
        cell.run(0.5)
        worker_id = cell.runs_by_job[job][0][1]
        fake = cell.workers_by_id[worker_id]
        # The driver reports neither runs of the worker nor that it is unreachable.
        real = cell._send_report
        cell._send_report = lambda other: None if other is fake else real(other)
        cell.run(4.0)
        assert len(cell.runs_by_job[job]) == 1
        fake.running.clear()
        cell.run(3.0)
        assert len(cell.runs_by_job[job]) == 2


class TestDroppedWorkers:
    def test_the_report_of_a_removed_worker_is_ignored(self):
        """Guards against ended runs that are acknowledged without being applied."""
        cell = VirtualCell(workers=2)
        fake = cell.workers_by_id["w0"]
        cell.run(0.2)
        cell.scheduler.fleet.remove_worker("w0", now_s=cell.now_s)
        taken = cell.scheduler.fleet.apply_report(
            fake.worker.worker_id,
            [],
            [],
            complete=True,
            sent_s=cell.now_s,
            now_s=cell.now_s,
            wall_ms=cell.wall_ms,
        )
        assert taken is False


class TestRepeatedStops:
    def test_a_run_whose_start_was_lost_ends_on_an_idle_worker(self):
        """Guards against a gang that is never restarted.

        The start of a member was lost, and polls for reports wait longer than the
        interval at which stops are repeated. If every answer to a stop counted, no
        report would be recent enough to prove that the run does not exist.
        """
        cell = VirtualCell(workers=1)
        fake = cell.workers_by_id["w0"]
        step = make_step(2, cpu=4000, estimate_s=60.0, gang=True)
        job = cell.submit("a", make_queue(), make_graph(step))
        cell.run(0.5)
        first, second = list(fake.running)
        # The second start was lost; the first member ended after waiting for it.
        fake.running.clear()
        cell.scheduler.state.run("w0", second).answered_s = None
        cell._send_report = lambda other: None
        ended = [ReportedEnd(*first, EndKind.GANG_INCOMPLETE)]
        for _ in range(3):
            sent_s = cell.now_s
            for _ in range(2):
                cell.run(0.4)
                if not ended:
                    cell.scheduler.handle_stop_answer("w0", *second, now_s=cell.now_s)
            cell.scheduler.fleet.apply_report(
                "w0",
                [],
                ended,
                complete=True,
                sent_s=sent_s,
                now_s=cell.now_s,
                wall_ms=cell.wall_ms,
            )
            ended = []
            if cell.scheduler.state.run("w0", second) is None:
                break
        cell.run(0.5)
        assert len(cell.runs_by_job[job]) == 4
