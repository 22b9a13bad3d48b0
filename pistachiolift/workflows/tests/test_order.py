"""Tests of the order in which waiting steps are placed."""

import random

import pytest

from pistachiolift.common import CustomerId
from pistachiolift.workflows import Customer
from pistachiolift.workflows.ageing import (
    AGED_AFTER_S,
    FIRST_AFTER_S,
    RAISED_IDLE_S,
)
from pistachiolift.workflows.order import BandsFirst

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

URGENT = make_queue("urgent", priority=0, stretch=1.5, target_s=0.3)
LARGE = make_queue("large", priority=1, stretch=2.0, target_s=2.0)
REBUILD = make_queue("rebuild", priority=2, stretch=4.0, target_s=3.0)
QUEUES = (URGENT, LARGE, REBUILD)


def make_cell(*, queues=QUEUES, customers=(), **options):
    """Return a cell without workers, so that everything waits."""
    options.setdefault("workers", 0)
    return VirtualCell(queues=queues, customers=customers, **options)


def customer(name, weight):
    return Customer(customer_id=CustomerId(name), weight=weight)


def arranged(cell):
    steps = cell.scheduler.order.arrange(cell.now_s, cell.wall_ms)
    return [step.key.job_id for step in steps]


class TestClasses:
    """Guards against delays of the work that is worth the most."""

    def test_late_urgent_work_precedes_less_urgent_work(self):
        cell = make_cell()
        cell.submit("late", URGENT, make_graph())
        cell.run(1.5)
        cell.submit("rebuild", REBUILD, make_graph())
        cell.submit("check", URGENT, make_graph())
        assert arranged(cell) == ["check", "late", "rebuild"]

    def test_on_time_work_precedes_late_work_of_a_more_urgent_queue(self):
        cell = make_cell()
        cell.submit("large", LARGE, make_graph())
        cell.run(5.0)
        cell.submit("rebuild", REBUILD, make_graph())
        assert arranged(cell) == ["rebuild", "large"]

    def test_useless_urgent_work_comes_last(self):
        cell = make_cell()
        cell.submit("useless", URGENT, make_graph())
        cell.run(7.0)
        cell.submit("rebuild", REBUILD, make_graph())
        assert arranged(cell) == ["rebuild", "useless"]

    @pytest.mark.parametrize("seed", range(5))
    def test_with_one_priority_the_order_is_by_band_and_latest_start(self, seed):
        rng = random.Random(seed)
        queues = [make_queue(name, target_s=t) for name, t in (("a", 1), ("b", 9))]
        cell = make_cell(queues=queues)
        for number in range(60):
            step = make_step(rng.randint(1, 9), estimate_s=rng.uniform(0.1, 9))
            cell.submit(f"j{number}", rng.choice(queues), make_graph(step))
            cell.run(rng.expovariate(0.7))
        policy = BandsFirst()
        expected = sorted(
            cell.scheduler.state.open_steps.values(),
            key=lambda step: policy.key(step, cell.now_s, cell.wall_ms),
        )
        assert arranged(cell) == [step.key.job_id for step in expected]


class TestExcess:
    """Guards against excess that displaces due work, and against unequal shares."""

    def test_excess_follows_the_due_work_of_every_priority(self):
        cell = make_cell(customers=[customer("a", 1), customer("b", 1)])
        for number in range(3):
            cell.submit(f"a{number}", URGENT, make_graph(), "a")
        cell.submit("b0", REBUILD, make_graph(), "b")
        cell.submit("none", REBUILD, make_graph())
        order = arranged(cell)
        assert order[0] == "a0"
        assert set(order[1:3]) == {"b0", "none"}
        assert order[3:] == ["a1", "a2"]

    def test_excess_work_shares_the_workers_by_weight(self):
        cell = make_cell(
            workers=4, customers=[customer("a", 1), customer("b", 3)], seed=2
        )
        for number in range(150):
            for name in "ab":
                cell.submit(f"{name}{number}", REBUILD, make_graph(), name)
        used = {"a": 0, "b": 0}
        for _ in range(40):
            cell.run(0.1)
            for worker in cell.workers_by_id.values():
                for task, _number in worker.running:
                    used[task.job_id[0]] += 1
        assert 2.5 < used["b"] / used["a"] < 3.6


class TestGangs:
    """Guards against workers that are kept free from urgent work."""

    def test_a_less_urgent_gang_keeps_no_worker_free_from_urgent_tasks(self):
        cell = make_cell(workers=2, cpu=8000)
        cell.submit("busy", REBUILD, make_graph(make_step(6, estimate_s=3.0)))
        cell.run(0.3)
        gang = make_step(2, cpu=8000, estimate_s=1.0, gang=True)
        cell.submit("gang", LARGE, make_graph(gang))
        cell.run(0.3)
        cell.submit("check", URGENT, make_graph(make_step(3, estimate_s=0.5)))
        cell.submit("later", REBUILD, make_graph(make_step(1, estimate_s=0.5)))
        cell.run(0.1)
        assert cell.wait_s("check") < 0.05
        assert "later" not in cell.first_start_s

    def test_neither_once_the_urgent_task_is_late(self):
        cell = make_cell(workers=1, cpu=8000)
        cell.submit("busy", REBUILD, make_graph(make_step(8, estimate_s=1.5)))
        cell.run(0.1)
        gang = make_step(1, cpu=8000, estimate_s=1.0, gang=True)
        cell.submit("gang", LARGE, make_graph(gang))
        cell.submit("check", URGENT, make_graph(make_step(1, estimate_s=0.5)))
        cell.run(6.0)
        assert cell.first_start_s["check"] < cell.first_start_s["gang"]


class TestAgeing:
    """Guards against work that waits without a bound."""

    def run_overload(self, *, load_s, **old):
        """Submit more due work than fits, behind one old job."""
        cell = make_cell(workers=2, cpu=8000, **old)
        customer_id = "a" if old else ""
        cell.submit("first", LARGE, make_graph(make_step(16)))
        if old:
            cell.submit("due", REBUILD, make_graph(), customer_id)
        cell.submit("old", REBUILD, make_graph(make_step(2)), customer_id)
        cell.scheduler.state.jobs_by_id["old"].received_s -= 0 if old else 16.0
        for number in range(int(load_s * 10)):
            job_id, queue = f"j{number}", LARGE
            step = make_step(2, estimate_s=1.0)
            cell.at(number / 10, cell.submit, job_id, queue, make_graph(step))
        cell.run(load_s)
        return cell

    def test_useless_work_is_raised(self):
        cell = self.run_overload(load_s=AGED_AFTER_S)
        assert "old" in cell.finished_s

    def test_excess_work_is_raised(self):
        cell = self.run_overload(
            load_s=AGED_AFTER_S + 5, customers=[customer("a", 0.01)]
        )
        assert AGED_AFTER_S <= cell.wait_s("old") < AGED_AFTER_S + 3

    def test_urgent_work_that_fills_all_workers_does_not_starve_raised_work(self):
        cell = make_cell(workers=2, cpu=8000)
        cell.submit("first", URGENT, make_graph(make_step(16, estimate_s=0.8)))
        cell.submit("old", REBUILD, make_graph(make_step(1, cpu=6000)))
        cell.scheduler.state.jobs_by_id["old"].received_s -= AGED_AFTER_S
        for number in range(300):
            step = make_step(2, estimate_s=0.8)
            cell.at(number / 20, cell.submit, f"j{number}", URGENT, make_graph(step))
        cell.run(15.0)
        assert cell.wait_s("old") < FIRST_AFTER_S + 2.0

    def test_raised_work_uses_a_limited_share(self):
        cell = make_cell(workers=10, cpu=8000)
        for number in range(50):
            cell.submit(f"old{number}", REBUILD, make_graph(make_step(4)))
        for job in cell.scheduler.state.jobs_by_id.values():
            job.received_s -= AGED_AFTER_S
        arranged(cell)
        assert len(cell.scheduler.order.raised_job_ids) == 1

    def test_a_raised_job_that_fits_nowhere_makes_way(self):
        cell = make_cell(workers=1, cpu=8000)
        cell.submit("huge", REBUILD, make_graph(make_step(1, cpu=9000)))
        cell.scheduler.state.jobs_by_id["huge"].received_s -= 2 * AGED_AFTER_S
        cell.submit("busy", REBUILD, make_graph(make_step(8, estimate_s=30.0)))
        cell.submit("other", REBUILD, make_graph())
        cell.scheduler.state.jobs_by_id["other"].received_s -= AGED_AFTER_S
        cell.run(RAISED_IDLE_S + 1)
        assert set(cell.scheduler.order.raised_job_ids) == {"other"}
