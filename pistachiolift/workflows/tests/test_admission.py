"""What counts when a job is admitted or refused."""

import pytest

from pistachiolift.common import CustomerId
from pistachiolift.workflows import AdmissionReason, Customer, Size
from pistachiolift.workflows.fleet_capacity import HOLD_S

from .burst_cell import (
    CAPACITY_CORES,
    CHECK,
    CHECKS,
    CORES,
    LARGE,
    REBUILD,
    REBUILDS,
    WORKERS,
    BurstCell,
)
from .virtual_cell import make_graph, make_queue, make_step


class TestCellsWithoutCustomers:
    def test_nothing_is_refused(self):
        cell = BurstCell(customers=())
        cell.know_workers()
        assert all(
            d.reason is AdmissionReason.NOT_JUDGED for d in cell.flood(REBUILDS, 400)
        )


class TestWorkThatDoesNotCount:
    """Guards against refusals because of work that takes no room from a job."""

    def _refuses(self, cell):
        return not cell.decide("new", REBUILDS, REBUILD).admitted

    def _load(self, cell, *steps, queue=REBUILDS, customer_id="a", count=400):
        for number in range(count):
            cell.submit(f"load-{number}", queue, make_graph(*steps), customer_id)

    def test_the_same_work_counts_otherwise(self):
        cell = BurstCell()
        cell.know_workers()
        self._load(cell, *REBUILD.steps)
        assert self._refuses(cell)

    @pytest.mark.parametrize(
        "changes",
        [
            # No worker has the label.
            {"required_label": "none"},
            # Two workers have it; the others are free.
            {"required_label": "r9"},
            # No worker can hold it.
            {"cpu": CORES * 1000 + 1},
            # The fleet cannot hold it.
            {"gang": True, "count": 1 + CAPACITY_CORES // 7},
            # It reserves no processors.
            {"fills": True},
        ],
    )
    def test_work_that_needs_other_workers(self, changes):
        cell = BurstCell()
        cell.know_workers()
        fields = {"count": 25, "cpu": 7000, "estimate_s": 3.4, **changes}
        self._load(cell, make_step(**fields))
        assert not self._refuses(cell)

    def test_work_of_a_customer_above_its_cap(self):
        """It does not start before, so it keeps nothing from the others."""
        cap = Size(cpu_milli=CAPACITY_CORES * 100)
        customers = (
            Customer(customer_id=CustomerId("a"), weight=1e4, cap=cap),
            Customer(customer_id=CustomerId("b"), weight=1e4),
        )
        cell = BurstCell(customers=customers)
        cell.know_workers()
        self._load(cell, *REBUILD.steps, customer_id="a")
        assert cell.decide("new", REBUILDS, REBUILD, "b").admitted

    def test_excess_work_of_other_customers(self):
        customers = (
            Customer(customer_id=CustomerId("a"), weight=1.0),
            Customer(customer_id=CustomerId("b"), weight=1e4),
        )
        cell = BurstCell(customers=customers)
        cell.know_workers()
        self._load(cell, *REBUILD.steps, customer_id="a")
        assert cell.decide("new", REBUILDS, REBUILD, "b").admitted
        own = cell.decide("own", REBUILDS, REBUILD, "a")
        assert own.excess and not own.admitted

    def test_workers_that_have_just_left_still_count(self):
        """They may come back: a cut or a restart takes some seconds."""
        cell = BurstCell()
        cell.know_workers()
        self._load(cell, *REBUILD.steps, count=60)
        for fake in list(cell.workers_by_id.values())[1:]:
            cell.crash(fake.worker.worker_id)
        cell.run(1.0)
        assert not self._refuses(cell)
        cell.run(HOLD_S + 0.5)
        assert self._refuses(cell)


class TestExcessJobs:
    def test_due_work_of_any_priority_precedes_them(self):
        customers = (
            Customer(customer_id=CustomerId("a"), weight=1.0),
            Customer(customer_id=CustomerId("b"), weight=1e4),
        )
        cell = BurstCell(customers=customers)
        cell.know_workers()
        for number in range(40):
            cell.submit(f"due-{number}", REBUILDS, REBUILD, "b")
        assert cell.decide("first", CHECKS, CHECK, "a").admitted
        for number in range(2):
            cell.submit(f"check-{number}", CHECKS, CHECK, "a")
        decision = cell.decide("excess", CHECKS, CHECK, "a")
        assert decision.excess and not decision.admitted
        assert decision.reason is AdmissionReason.NO_CAPACITY


class TestJobsThatFitNowhere:
    """Guards against jobs that are held although no worker can ever run them."""

    def _gang(self, count):
        return make_graph(make_step(count, cpu=18_000, estimate_s=4.0, gang=True))

    def test_a_gang_larger_than_the_fleet_is_refused(self):
        cell = BurstCell()
        slots = WORKERS * (CORES // 18)
        cell.run(1.0)
        assert cell.decide("g", LARGE, self._gang(slots + 1)).admitted
        cell.know_workers()
        assert cell.decide("g", LARGE, self._gang(slots)).admitted
        decision = cell.decide("g", LARGE, self._gang(slots + 1))
        assert decision.reason is AdmissionReason.FITS_NOWHERE

    def test_a_worker_that_has_just_left_counts_as_room(self):
        cell = BurstCell()
        cell.know_workers()
        slots = WORKERS * (CORES // 18)
        cell.crash("w3")
        cell.run(1.0)
        assert cell.decide("g", LARGE, self._gang(slots)).admitted
        cell.run(HOLD_S + 0.5)
        assert not cell.decide("g", LARGE, self._gang(slots)).admitted

    def test_jobs_without_an_end_to_judge_by_are_accepted(self):
        cell = BurstCell()
        cell.know_workers()
        cell.flood(REBUILDS, 400)
        service = make_graph(make_step(long_running=True))
        timed = make_graph(occurrences=2, first_due_ms=cell.wall_ms, interval_ms=1000)
        without = make_queue("no-objective", priority=9, stretch=0.0, target_s=0.0)
        for queue, graph in [(REBUILDS, service), (REBUILDS, timed), (without, CHECK)]:
            decision = cell.decide("j", queue, graph)
            assert decision.reason is AdmissionReason.NOT_JUDGED

    def test_a_pool_without_workers_refuses_nothing(self):
        cell = BurstCell()
        cell.know_workers()
        queue = make_queue("other", pool_id="other")
        assert cell.decide("j", queue, CHECK).reason is AdmissionReason.NOT_JUDGED


class TestCaps:
    """Guards against jobs that are held although their customer's cap is filled."""

    @pytest.fixture
    def cell(self):
        cap = Size(cpu_milli=100_000)
        capped = Customer(customer_id=CustomerId("a"), weight=1e4, cap=cap)
        other = Customer(customer_id=CustomerId("b"), weight=1e4)
        cell = BurstCell(customers=(capped, other))
        cell.know_workers()
        return cell

    def test_work_ahead_that_fills_the_cap(self, cell):
        """20 rebuilds take 119 s under the cap, and 21 s on all workers."""
        for number in range(20):
            cell.submit(f"load-{number}", REBUILDS, REBUILD, "a")
        decision = cell.decide("new", REBUILDS, REBUILD, "a")
        assert decision.reason is AdmissionReason.CAP_FILLED
        assert cell.decide("other", REBUILDS, REBUILD, "b").admitted
        assert cell.decide("check", CHECKS, CHECK, "a").admitted

    def test_a_gang_above_the_cap(self, cell):
        gang = make_graph(make_step(6, cpu=18_000, estimate_s=4.0, gang=True))
        decision = cell.decide("gang", LARGE, gang, "a")
        assert decision.reason is AdmissionReason.ABOVE_CAP
        assert cell.decide("gang", LARGE, gang, "b").admitted
