"""What counts against caps after lost workers and takeovers (C7)."""

import random

import msgspec
import pytest

from pistachiolift.common import JobId, WorkerId
from pistachiolift.workflows import JobStatus, Size

from .cap_check import make_customer
from .cap_load import replace_owner, submit_stream
from .virtual_cell import LEASE_S, VirtualCell, make_graph, make_queue, make_step


class TestRunsThatStillCount:
    """Guards against runs that are forgotten while they may still be running (C7)."""

    def test_unreachable_workers(self):
        cell = VirtualCell(workers=6)
        cell.set_customers(make_customer(cpu=12_000))
        job = cell.submit(
            "a", make_queue(), make_graph(make_step(60, estimate_s=2)), customer_id="c"
        )
        cell.run(1)
        used = {worker_id for _, worker_id, _ in cell.runs_by_job[job]}
        for worker_id in used:
            cell.workers_by_id[worker_id].cut = True
        cell.run(LEASE_S - 0.5)
        # Nothing new: each of these runs may still be running.
        assert len(cell.runs_by_job[job]) == 12
        cell.run(4)
        assert len(cell.runs_by_job[job]) > 12
        for worker_id in used:
            cell.workers_by_id[worker_id].cut = False
        cell.run(40)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_starts_without_an_answer(self):
        cell = VirtualCell(workers=6, seed=3)
        cell.set_customers(make_customer(cpu=10_000))
        for fake in cell.workers_by_id.values():
            fake.late_share = 0.3
        submit_stream(cell, make_queue(), "c", per_s=8, until_s=20)
        cell.run(60)
        assert cell.caps.starts_by_customer["c"] > 100

    @pytest.mark.parametrize("crash_s", [0.3, 0.304, 0.31, 0.5])
    def test_replaced_worker_may_have_the_start(self, crash_s):
        cell = VirtualCell(workers=4)
        cell.restart_s = 0.5
        cell.set_customers(make_customer(cpu=6000))
        submit_stream(cell, make_queue(), "c", per_s=10, until_s=10)
        cell.at(crash_s, cell.crash_silently, cell.workers_by_id[WorkerId("w0")])
        cell.run(30)
        assert cell.caps.starts_by_customer["c"] > 100

    def test_uncertain_starts_count_until_the_replacement_reports(self):
        cell = VirtualCell(workers=1)
        cell.set_customers(make_customer(cpu=4000))
        cell.submit("a", make_queue(), make_graph(make_step(4)), customer_id="c")
        cell.run(0.05)
        scheduler = cell.scheduler
        fake = cell.workers_by_id.pop(WorkerId("w0"))
        fake.alive = False
        replacement = msgspec.structs.replace(fake.worker, incarnation=2)
        scheduler.fleet.replace_worker(replacement, now_s=cell.now_s, registered=False)
        assert scheduler.state.caps.used("c") == Size(cpu_milli=4000, memory_mb=400)
        cell.run(5)
        assert scheduler.state.caps.used("c") == Size(cpu_milli=4000, memory_mb=400)
        cell.add_worker(0, incarnation=2)
        cell.run(0.001)
        cell.caps.check_totals()
        cell.run(8)
        assert cell.status(JobId("a")) is JobStatus.COMPLETED

    def test_all_power_lost(self):
        """All workers are cut off, and come back as new processes."""
        cell = VirtualCell(workers=6, seed=5)
        cell.set_customers(make_customer(cpu=16_000), make_customer("d", cpu=9000))
        submit_stream(cell, make_queue(), "c", per_s=4, until_s=30)
        submit_stream(cell, make_queue("b"), "d", per_s=3, until_s=30)
        cell.run(5)
        for fake in list(cell.workers_by_id.values()):
            cell.crash_silently(fake)
        cell.run(2)
        replace_owner(cell)
        cell.run(90)
        cell.caps.check_totals()
        assert cell.finished_s.keys() == cell.submitted_s.keys()


class TestTakeover:
    """Guards against a new owner that does not count what the earlier one placed."""

    @pytest.mark.parametrize("seed", range(6))
    def test_starts_in_flight(self, seed):
        cell = VirtualCell(workers=6, seed=seed)
        cell.set_customers(make_customer(cpu=10_000))
        submit_stream(cell, make_queue(), "c", per_s=6, until_s=20)
        for number in range(8):
            cell.run(cell.rng.uniform(0.2, 3.0))
            if number % 3 == 2:
                cell.compact()
            replace_owner(cell)
        cell.run(150)
        assert cell.finished_s.keys() == cell.submitted_s.keys()

    @pytest.mark.parametrize("compact", [False, True])
    @pytest.mark.parametrize("forget", [False, True])
    def test_cancelled_jobs_on_unreachable_workers(self, compact, forget):
        """The runs go on, although the job may not even be known any more."""
        cell = VirtualCell(workers=6)
        cell.set_customers(make_customer(cpu=6000))
        queue = make_queue()
        old = cell.submit(
            "old", queue, make_graph(make_step(6, estimate_s=60)), customer_id="c"
        )
        cell.run(1)
        for _, worker_id, _ in cell.runs_by_job[old]:
            cell.workers_by_id[worker_id].cut = True
        cell.cancel(old)
        cell.run(0.1)
        if forget:
            cell.scheduler.state.jobs_by_id[old].finished_s -= 1000
            cell.run(0.2)
            assert cell.status(old) is None
        if compact:
            cell.compact()
        replace_owner(cell)
        assert cell.scheduler.state.caps.used("c").cpu_milli == 6000
        new = cell.submit("new", queue, make_graph(make_step(6)), customer_id="c")
        cell.run(2)
        assert not cell.runs_by_job[new]
        cell.run(6)
        assert cell.status(new) is JobStatus.COMPLETED
        assert not cell.scheduler.state.caps.used_by_customer()

    def test_run_of_a_forgotten_job_that_is_slow_to_stop(self):
        """The worker reports it, but the new owner knows nothing of its job."""
        cell = VirtualCell(workers=1)
        cell.set_customers(make_customer(cpu=5000))
        old = cell.submit(
            "old",
            make_queue(),
            make_graph(make_step(4, estimate_s=60)),
            customer_id="c",
        )
        cell.run(1)
        cell.workers_by_id[WorkerId("w0")].late_share = 1.0
        cell.cancel(old)
        cell.scheduler.state.jobs_by_id[old].finished_s -= 1000
        cell.run(0.2)
        cell.compact()
        replace_owner(cell)
        cell.add_worker(1)
        new = cell.submit(
            "new", make_queue(), make_graph(make_step(4)), customer_id="c"
        )
        cell.run(2)
        assert len(cell.runs_by_job[new]) <= 2
        assert cell.caps.peak_by_customer["c"] == 5000
        cell.workers_by_id[WorkerId("w0")].late_share = 0.0
        cell.run(10)
        assert cell.status(new) is JobStatus.COMPLETED

    def test_finished_work_does_not_count(self):
        """Guards against a cap that is held for tasks which the ledger says ended."""
        cell = VirtualCell(workers=4)
        cell.set_customers(make_customer(cpu=8000))
        queue = make_queue()
        for number in range(5):
            cell.submit(f"j{number}", queue, make_graph(make_step(8)), customer_id="c")
        cell.run(20)
        for fake in cell.workers_by_id.values():
            fake.cut = True
        replace_owner(cell)
        assert cell.scheduler.state.caps.used("c") == Size()

    @pytest.mark.parametrize("seed", range(20))
    def test_all_faults_together(self, seed):
        cell = VirtualCell(workers=8, seed=seed)
        cell.restart_s = 1.0
        rng = random.Random(seed)
        cell.set_customers(make_customer(cpu=16_000), make_customer("d", cpu=9000))
        queues = [make_queue(max_failures=100), make_queue("b", max_failures=100)]
        submit_stream(cell, queues[0], "c", per_s=4, until_s=30)
        submit_stream(cell, queues[1], "d", per_s=2, until_s=30, gang=True)
        for _ in range(40):
            cell.run(rng.uniform(0.1, 1.5))
            fakes = list(cell.workers_by_id.values())
            fake = rng.choice(fakes)
            action = rng.randrange(6)
            if action == 0:
                fake.cut = not fake.cut
            elif action == 1:
                fake.late_share = rng.choice([0.0, 0.5])
            elif action == 2 and fake.alive:
                cell.crash_silently(fake)
            elif action == 3:
                replace_owner(cell)
            elif action == 4:
                known = [j for j in cell.submitted_s if cell.status(j)]
                cell.cancel(rng.choice(known))
            else:
                cell.set_customers(
                    make_customer(cpu=rng.choice([4000, 16_000])),
                    make_customer("d", cpu=rng.choice([9000, 20_000])),
                )
                if rng.random() < 0.5:
                    cell.compact()
        for fake in cell.workers_by_id.values():
            fake.cut, fake.late_share = False, 0.0
        cell.set_customers()
        cell.run(120)
        assert not cell.scheduler.state.caps.used_by_customer()
