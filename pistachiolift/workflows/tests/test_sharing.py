"""Tests of serving tasks that share workers with filling tasks."""

from pistachiolift.workflows import JobStatus, ReportedRun, SetRunSpeed

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

TARGET_S = 0.1


class SharedCell(VirtualCell):
    """Serving tasks report a tail latency that grows with the share of the fill.

    :param harm: increase at a share of 100 %, relative to the target.
    """

    def __init__(self, *, harm, **options):
        self.harm = harm
        self.percent_by_worker = {}
        self.over_target_s = {}
        super().__init__(**options)

    def _decide(self):
        self.scheduler.dispatch(now_s=self.now_s, wall_ms=self.wall_ms)
        kept = []
        for decision in self.scheduler.state.decisions:
            if isinstance(decision, SetRunSpeed):
                self.percent_by_worker[decision.worker_id] = decision.percent
            else:
                kept.append(decision)
        self.scheduler.state.decisions = kept
        super()._decide()

    def _usage(self, fake, task):
        step = self.scheduler.state.jobs_by_id[task.job_id].graph.steps[task.step]
        if not step.tail_target_s:
            return 500
        filled = any(self._fills(other) for other, _ in fake.running)
        percent = self.percent_by_worker.get(fake.worker.worker_id, 100)
        return int(1000 * TARGET_S * (0.5 + filled * self.harm * percent / 100))

    def _fills(self, task):
        return self.scheduler.state.jobs_by_id[task.job_id].graph.steps[task.step].fills

    def _send_report(self, fake):
        worker_id = fake.worker.worker_id
        ended, fake.unacknowledged_ends = fake.unacknowledged_ends, []
        running = [
            ReportedRun(task, number, "", 100, self._usage(fake, task))
            for task, number in fake.running
        ]
        serving_runs = [run for run in running if not self._fills(run.task)]
        over = any(run.usage > 1000 * TARGET_S for run in serving_runs)
        since = self.over_target_s.get(worker_id)
        self.over_target_s[worker_id] = (since or self.now_s) if over else None
        if over and since is not None:
            assert self.now_s - since < 4.0, "tail latency above its target for 4 s"
        self.scheduler.fleet.apply_report(
            worker_id,
            running,
            ended,
            complete=True,
            sent_s=self.now_s - 0.004,
            now_s=self.now_s,
            wall_ms=self.wall_ms,
        )


def serving(count):
    return make_step(
        count, cpu=4000, long_running=True, tail_target_s=TARGET_S, may_miss=1
    )


def filling(count):
    return make_step(count, cpu=8000, fills=True, estimate_s=300.0)


class TestSharing:
    def _run(self, harm):
        cell = SharedCell(harm=harm, workers=2)
        cell.submit("serve", make_queue(), make_graph(serving(4)))
        cell.run(1.0)
        cell.submit("fill", make_queue("fill", priority=2), make_graph(filling(2)))
        cell.run(20.0)
        return cell

    def test_a_harmful_fill_is_slowed_down_to_meet_the_target(self):
        cell = self._run(harm=2.0)
        shares = list(cell.percent_by_worker.values())
        assert len(shares) == 2
        assert all(0 < share <= 25 for share in shares)

    def test_a_fill_that_is_harmful_at_any_share_is_paused(self):
        cell = self._run(harm=50.0)
        assert all(share <= 8 for share in cell.percent_by_worker.values())

    def test_a_harmless_fill_grows_to_the_full_free_share(self):
        cell = self._run(harm=0.0)
        assert all(share == 100 for share in cell.percent_by_worker.values())

    def test_a_fill_reserves_no_processors(self):
        cell = VirtualCell(workers=1)
        cell.submit("batch", make_queue(), make_graph(make_step(8, estimate_s=5.0)))
        cell.run(0.2)
        job = cell.submit("fill", make_queue("fill"), make_graph(filling(1)))
        cell.run(0.2)
        assert cell.status(job) is JobStatus.RUNNING


class TestLongRunning:
    def test_a_long_running_task_is_restarted_after_any_end(self):
        cell = VirtualCell()
        job = cell.submit("serve", make_queue(max_failures=1), make_graph(serving(2)))
        cell.run(1.0)
        for fake in cell.workers_by_id.values():
            for key in list(fake.running):
                fake.fails = True
                cell._finish(fake, key)
        cell.run(2.0)
        assert cell.status(job) is JobStatus.RUNNING
        assert sum(len(f.running) for f in cell.workers_by_id.values()) == 2

    def test_a_long_running_job_ends_only_by_cancellation(self):
        cell = VirtualCell()
        job = cell.submit("serve", make_queue(), make_graph(serving(2)))
        cell.run(30.0)
        assert cell.status(job) is JobStatus.RUNNING
        cell.cancel(job)
        cell.run(1.0)
        assert cell.status(job) is JobStatus.CANCELLED


class TestScheduledJobs:
    def test_each_occurrence_starts_at_its_due_time(self):
        cell = VirtualCell()
        due_ms = cell.wall_ms + 2000
        graph = make_graph(
            make_step(1, estimate_s=0.2),
            occurrences=3,
            first_due_ms=due_ms,
            interval_ms=1500,
        )
        job = cell.submit("timed", make_queue(), graph)
        cell.run(1.9)
        assert not cell.runs_by_job[job]
        cell.run(6.0)
        starts = [time_s for time_s, _, _ in cell.runs_by_job[job]]
        assert [round(start - 102, 1) for start in starts] == [0.0, 1.5, 3.0]
        assert cell.status(job) is JobStatus.COMPLETED
