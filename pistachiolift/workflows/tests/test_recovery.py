"""Tests with random store outages, takeovers and worker faults."""

import random
import zlib

import pytest

from pistachiolift.workflows import JobStatus
from pistachiolift.workflows.model import AdvicePolicy

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

WORKERS = 24
TASKS_PER_WORKER = {"gangs": 4, "urgent": 6}
GOOD_PERCENT = {"gangs": 40, "urgent": 70}
QUEUES = [
    make_queue(
        "gangs",
        priority=1,
        max_failures=20,
        advice=AdvicePolicy(decide_s=0.44, each_s=0.03, valid_s=1.5),
    ),
    make_queue(
        "urgent",
        max_failures=20,
        advice=AdvicePolicy(decide_s=0.009, each_s=0.0005, valid_s=1.5),
    ),
]


def approves(job_id, queue_id, worker_id):
    draw = zlib.crc32(f"{job_id} {worker_id}".encode()) % 100
    return draw < GOOD_PERCENT[queue_id]


class OutageScenario:
    """Eight seconds of jobs, with store outages of up to 2.5 s."""

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        self.cell = cell = VirtualCell(workers=WORKERS, cpu=32_000, memory=65_536)
        cell.scheduler.advice.instances = rng.choice([1, 5, 20])
        cell.scheduler.set_queues(QUEUES)
        cell.approve = self._approve
        self.queue_by_job = {}
        for number in range(25):
            step = make_step(
                rng.randint(4, 30),
                cpu=7500,
                memory=9000,
                estimate_s=rng.uniform(0.5, 4),
                gang=True,
            )
            self._submit_later(f"g{number}", QUEUES[0], step)
        for number in range(100):
            gang = rng.random() < 0.3
            step = make_step(3, cpu=5000, memory=4000, estimate_s=0.6, gang=gang)
            self._submit_later(f"u{number}", QUEUES[1], step)
        at_s = 0.0
        while at_s < 9.0:
            at_s += rng.uniform(0.5, 3)
            cell.at(at_s, self._set_store, False)
            at_s += rng.uniform(0.3, 2.5)
            cell.at(at_s, self._set_store, True)

    def _submit_later(self, job_id, queue, step):
        queue_id = queue.queue_id
        good = sum(approves(job_id, queue_id, f"w{i}") for i in range(WORKERS))
        if good * TASKS_PER_WORKER[queue_id] < step.count:
            return
        self.queue_by_job[job_id] = queue_id
        at_s = self.rng.uniform(0, 8)
        self.cell.at(at_s, self.cell.submit, job_id, queue, make_graph(step))

    def _approve(self, key, worker_id):
        return approves(key.job_id, self.queue_by_job[key.job_id], worker_id)

    def _set_store(self, up):
        self.cell.store_up = up

    def unfinished(self):
        """Return the accepted jobs that have not been completed."""
        known = self.cell.scheduler.state.jobs_by_id
        return [
            job_id
            for job_id in self.queue_by_job
            if job_id in known and self.cell.status(job_id) is not JobStatus.COMPLETED
        ]


# Temporary worker faults: attribute of the fake worker and its value.
FAULTS = [("cut", True), ("hangs", True), ("fails", True), ("late_share", 0.5)]


class FaultyWorkersScenario(OutageScenario):
    """Adds temporary faults of random workers, and replaces some workers."""

    def __init__(self, seed):
        super().__init__(seed)
        at_s = 0.0
        while at_s < 12.0:
            at_s += self.rng.uniform(0.1, 0.8)
            name = f"w{self.rng.randrange(WORKERS)}"
            fault, value = self.rng.choice(FAULTS)
            duration_s = self.rng.uniform(1, 7)
            self.cell.at(at_s, self._set, name, fault, value)
            healthy = False if isinstance(value, bool) else type(value)()
            self.cell.at(at_s + duration_s, self._set, name, fault, healthy)
        for _ in range(4):
            at_s = self.rng.uniform(1, 10)
            self.cell.at(at_s, self._replace, f"w{self.rng.randrange(WORKERS)}")

    def _set(self, name, fault, value):
        fake = self.cell.workers_by_id.get(name)
        if fake is not None:
            setattr(fake, fault, value)

    def _replace(self, name):
        """End a worker process; its replacement starts after one second."""
        if name in self.cell.workers_by_id:
            self.cell.crash(name)
            index = int(name.removeprefix("w"))
            self.cell.at(1.0, self._add, index)

    def _add(self, index):
        self.cell.add_worker(index, cpu=32_000, memory=65_536, incarnation=2)


def check_all_completed(scenario, takeovers):
    for _ in range(takeovers):
        scenario.cell.at(scenario.rng.uniform(2, 9), scenario.cell.replace_owner)
    scenario.cell.run(60.0)
    assert len(scenario.queue_by_job) > 100
    assert scenario.unfinished() == []


class TestOutagesAndTakeovers:
    """Guards against lost and repeated runs when starts wait for the store.

    Tickets expire meanwhile, and owners change. The cell checks at each start that no
    task runs twice, after its success, out of order, above the capacity of its worker
    or with an expired ticket.
    """

    @pytest.mark.parametrize("takeovers", [0, 1, 2])
    @pytest.mark.parametrize("seed", [1, 7])
    def test_every_accepted_job_is_completed(self, seed, takeovers):
        check_all_completed(OutageScenario(seed), takeovers)


class TestFaultyWorkers:
    """Guards against lost and repeated runs when workers fail.

    Workers become unreachable, hang, fail all tasks or execute starts late. Store
    outages happen as well, and the cell makes the same checks.
    """

    @pytest.mark.parametrize("takeovers", [0, 1])
    @pytest.mark.parametrize("seed", [1, 2, 3, 4])
    def test_every_accepted_job_is_completed(self, seed, takeovers):
        check_all_completed(FaultyWorkersScenario(seed), takeovers)
