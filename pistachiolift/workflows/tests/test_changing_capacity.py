"""Tests with workers whose capacity shrinks and grows while tasks run on them."""

import random

import pytest

from pistachiolift.workflows import JobStatus, Size
from pistachiolift.workflows.model import TaskRunStatus

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

# Longer than the time after which no start may exceed a shrunk capacity.
OUTAGE_S = 7.0


def unsent_workers(cell, job_id):
    """Return the worker of each run of a job whose start has not been sent."""
    return [
        run.worker_id
        for step in cell.scheduler.state.jobs_by_id[job_id].steps()
        for run in step.runs_by_index.values()
        if run.status is TaskRunStatus.STARTING and not run.sent
    ]


class TestStartsHeldByTheStore:
    """Guards against starts that were placed before a shrink and are sent after it."""

    def test_starts_that_no_longer_fit_are_placed_again(self):
        cell = VirtualCell(workers=2)
        cell.run(0.2)
        cell.store_up = False
        job = cell.submit("a", make_queue(), make_graph(make_step(8, cpu=2000)))
        assert set(unsent_workers(cell, job)) == {"w0", "w1"}
        cell.set_capacity("w0", cpu_milli=2000)
        cell.run(OUTAGE_S)
        cell.store_up = True
        cell.run(8.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) == 8

    def test_memory_that_has_shrunk_counts_as_well(self):
        cell = VirtualCell(workers=1, memory=16_000)
        cell.run(0.2)
        cell.store_up = False
        step = make_step(4, cpu=100, memory=4000)
        job = cell.submit("a", make_queue(), make_graph(step))
        cell.set_capacity("w0", memory_mb=8000)
        cell.run(OUTAGE_S)
        cell.store_up = True
        cell.run(4.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_the_start_that_was_placed_first_is_kept(self):
        cell = VirtualCell(workers=1)
        cell.run(0.2)
        cell.store_up = False
        graph = make_graph(make_step(cpu=4000))
        first = cell.submit("a", make_queue(), graph)
        second = cell.submit("b", make_queue(), graph)
        cell.set_capacity("w0", cpu_milli=4000)
        cell.run(OUTAGE_S)
        cell.store_up = True
        cell.run(0.5)
        assert len(cell.runs_by_job[first]) == 1
        assert not cell.runs_by_job[second]
        cell.run(2.5)
        assert cell.status(second) is JobStatus.COMPLETED

    def test_a_running_task_keeps_its_room(self):
        cell = VirtualCell(workers=1)
        running = cell.submit(
            "a", make_queue(), make_graph(make_step(cpu=4000, estimate_s=20.0))
        )
        cell.run(0.2)
        cell.store_up = False
        held = cell.submit("b", make_queue(), make_graph(make_step(cpu=4000)))
        assert unsent_workers(cell, held) == ["w0"]
        cell.set_capacity("w0", cpu_milli=6000)
        cell.run(OUTAGE_S)
        cell.store_up = True
        cell.run(2.0)
        assert not cell.runs_by_job[held]
        assert len(cell.runs_by_job[running]) == 1
        cell.set_capacity("w0", cpu_milli=8000)
        cell.run(2.0)
        assert cell.status(held) is JobStatus.COMPLETED

    def test_a_gang_is_withdrawn_before_its_first_member_is_sent(self):
        cell = VirtualCell(workers=2)
        cell.run(0.2)
        cell.store_up = False
        step = make_step(4, cpu=4000, gang=True)
        job = cell.submit("a", make_queue(), make_graph(step))
        workers = unsent_workers(cell, job)
        assert set(workers) == {"w0", "w1"}
        # The last member does not fit, so that the others would be sent before it.
        cell.set_capacity(workers[-1], cpu_milli=4000)
        cell.run(OUTAGE_S)
        cell.store_up = True
        cell.run(2.0)
        assert not cell.runs_by_job[job]
        assert not unsent_workers(cell, job)
        cell.set_capacity(workers[-1], cpu_milli=8000)
        cell.run(3.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) == 4

    def test_a_start_whose_room_has_grown_again_is_sent(self):
        cell = VirtualCell(workers=1)
        cell.run(0.2)
        cell.store_up = False
        job = cell.submit("a", make_queue(), make_graph(make_step(2, cpu=4000)))
        cell.set_capacity("w0", cpu_milli=4000)
        cell.run(OUTAGE_S)
        cell.set_capacity("w0", cpu_milli=8000)
        cell.run(1.0)
        placed = unsent_workers(cell, job)
        cell.store_up = True
        cell.run(0.2)
        assert placed == ["w0", "w0"]
        assert len(cell.runs_by_job[job]) == 2


class TestRunsOnAShrunkWorker:
    def test_runs_beyond_the_capacity_end_and_no_other_starts_beside_them(self):
        cell = VirtualCell(workers=1)
        step = make_step(4, cpu=2000, estimate_s=10.0)
        running = cell.submit("a", make_queue(), make_graph(step))
        cell.run(0.2)
        cell.set_capacity("w0", cpu_milli=3000)
        cell.run(6.0)
        waiting = cell.submit("b", make_queue(), make_graph(make_step(cpu=1000)))
        cell.run(3.0)
        assert not cell.runs_by_job[waiting]
        cell.run(3.0)
        assert cell.status(running) is JobStatus.COMPLETED
        assert cell.status(waiting) is JobStatus.COMPLETED

    def test_runs_that_are_being_stopped_keep_their_room(self):
        cell = VirtualCell(workers=1)
        step = make_step(2, cpu=4000, estimate_s=30.0)
        job = cell.submit("a", make_queue(), make_graph(step))
        cell.run(0.2)
        cell.set_capacity("w0", cpu_milli=4000)
        cell.run(6.0)
        # Stops go unanswered for a while.
        cell.workers_by_id["w0"].late_share = 1.0
        cell.cancel(job)
        waiting = cell.submit("b", make_queue(), make_graph(make_step(cpu=4000)))
        cell.run(2.0)
        assert not cell.runs_by_job[waiting]
        cell.workers_by_id["w0"].late_share = 0.0
        cell.run(3.0)
        assert cell.status(waiting) is JobStatus.COMPLETED

    def test_a_new_owner_counts_the_runs_of_the_earlier_one(self):
        cell = VirtualCell(workers=1)
        step = make_step(4, cpu=2000, estimate_s=12.0)
        cell.submit("a", make_queue(), make_graph(step))
        cell.run(0.2)
        cell.set_capacity("w0", cpu_milli=3000)
        cell.run(6.0)
        cell.replace_owner()
        waiting = cell.submit("b", make_queue(), make_graph(make_step(cpu=1000)))
        cell.run(3.0)
        entry = cell.scheduler.state.workers_by_id["w0"]
        assert entry.free_cpu_milli == 3000 - 4 * 2000
        assert entry.room_for(Size(cpu_milli=1000, memory_mb=100)) == 0
        assert not cell.runs_by_job[waiting]


class TestRoomThatGrowsAgain:
    def test_waiting_tasks_start_as_soon_as_the_entry_shows_it(self):
        cell = VirtualCell(workers=1)
        cell.set_capacity("w0", cpu_milli=1000)
        cell.run(1.0)
        job = cell.submit("a", make_queue(), make_graph(make_step(8, estimate_s=5.0)))
        cell.run(1.0)
        assert len(cell.runs_by_job[job]) == 1
        cell.set_capacity("w0", notice_s=0.5, cpu_milli=8000)
        cell.run(0.6)
        assert len(cell.runs_by_job[job]) == 8

    def test_a_waiting_gang_starts(self):
        cell = VirtualCell(workers=2)
        cell.set_capacity("w0", cpu_milli=1000)
        cell.run(1.0)
        step = make_step(4, cpu=4000, gang=True)
        job = cell.submit("a", make_queue(), make_graph(step))
        cell.run(2.0)
        assert not cell.runs_by_job[job]
        cell.set_capacity("w0", notice_s=0.5, cpu_milli=8000)
        cell.run(0.6)
        assert len(cell.runs_by_job[job]) == 4


class TestWorkersHeldForGangs:
    def test_a_worker_too_small_for_a_gang_is_not_kept_free_for_it(self):
        cell = VirtualCell(workers=2)
        for name in ("w0", "w1"):
            filler = make_graph(make_step(cpu=7000, estimate_s=20.0))
            cell.submit(f"filler-{name}", make_queue(), filler)
        cell.run(0.2)
        cell.set_capacity("w0", cpu_milli=7500)
        cell.run(1.0)
        gang = cell.submit(
            "gang", make_queue(), make_graph(make_step(cpu=7800, gang=True))
        )
        small = make_graph(make_step(2, cpu=500, estimate_s=5.0))
        job = cell.submit("small", make_queue(priority=1), small)
        cell.run(1.0)
        assert not cell.runs_by_job[gang]
        assert {worker_id for _, worker_id, _ in cell.runs_by_job[job]} == {"w0"}


class ShrinkingScenario:
    """Ten seconds of jobs while workers shrink and grow and the store is often away."""

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        self.cell = cell = VirtualCell(workers=12, seed=seed)
        self._submissions = []
        queues = {
            False: make_queue("tasks", priority=1, max_failures=20),
            True: make_queue("gangs", max_failures=20),
        }
        for number in range(80):
            gang = rng.random() < 0.3
            step = make_step(
                rng.randint(1, 8),
                cpu=rng.choice([500, 1500, 3000]),
                memory=rng.choice([500, 2000]),
                estimate_s=rng.uniform(0.3, 4.0),
                gang=gang,
            )
            self._submissions.append((f"j{number}", queues[gang], make_graph(step)))
            cell.at(rng.uniform(0.0, 10.0), cell.submit, *self._submissions[-1])
        for _ in range(40):
            worker_id = f"w{rng.randrange(12)}"
            cell.at(rng.uniform(0.0, 10.0), self._change, worker_id)
        begin_s = rng.uniform(1.0, 4.0)
        cell.at(begin_s, self._set_store, False)
        cell.at(begin_s + rng.uniform(5.5, 9.0), self._set_store, True)
        if rng.random() < 0.5:
            cell.at(rng.uniform(1.0, 12.0), self._replace_owner)
        for fake in cell.workers_by_id.values():
            fake.late_share = rng.choice([0.0, 0.0, 0.1])
            cell.at(15.0, self._recover, fake)

    def _change(self, worker_id):
        self.cell.set_capacity(
            worker_id,
            notice_s=self.rng.uniform(0.0, 1.5),
            cpu_milli=self.rng.choice([1000, 4000, 8000]),
            memory_mb=self.rng.choice([2000, 8000, 16_000]),
        )

    def _replace_owner(self):
        """Replace the owner; callers repeat the jobs that were not durable."""
        self.cell.replace_owner()
        for job_id, queue, graph in self._submissions:
            if job_id in self.cell.submitted_s and self.cell.status(job_id) is None:
                self.cell.submit(job_id, queue, graph)

    def _set_store(self, up):
        self.cell.store_up = up

    def _recover(self, fake):
        fake.late_share = 0.0
        self.cell.set_capacity(
            fake.worker.worker_id, notice_s=1.5, cpu_milli=8000, memory_mb=16_000
        )


class TestRandomChanges:
    @pytest.mark.parametrize("seed", range(40))
    def test_no_worker_exceeds_its_capacity_and_all_jobs_complete(self, seed):
        cell = ShrinkingScenario(seed).cell
        cell.run(60.0)
        assert len(cell.submitted_s) == 80
        assert {cell.status(job) for job in cell.submitted_s} == {JobStatus.COMPLETED}
