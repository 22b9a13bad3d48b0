"""Tests of the metrics and log lines on waiting work."""

import logging

import pytest

from pistachiolift.common import CustomerId, Metrics
from pistachiolift.node.waiting_report import (
    LOG_INTERVAL_S,
    MAX_CUSTOMERS,
    WaitingReporter,
)
from pistachiolift.workflows import Customer
from pistachiolift.workflows.tests.virtual_cell import (
    VirtualCell,
    make_graph,
    make_queue,
)

URGENT = make_queue("urgent", priority=0, stretch=1.5, target_s=0.3)
REBUILD = make_queue("rebuild", priority=12, stretch=4.0, target_s=3.0)


@pytest.fixture
def cell():
    """Return a cell without workers, whose customers may submit a job per second."""
    customers = [Customer(customer_id=CustomerId(f"c{i}"), weight=1) for i in range(50)]
    return VirtualCell(workers=0, queues=[URGENT, REBUILD], customers=customers)


class TestReports:
    """Guards against missing and against unbounded reports."""

    def report(self, cell, metrics):
        reporter = WaitingReporter(cell.scheduler, metrics, "p")
        reporter.check(cell.now_s, cell.wall_ms)
        return reporter

    def test_steps_are_counted_by_band_and_priority(self, cell):
        cell.submit("a", URGENT, make_graph(), "c0")
        cell.run(2.0)
        cell.submit("b", URGENT, make_graph(), "c1")
        cell.submit("c", REBUILD, make_graph(), "c1")
        metrics = Metrics()
        self.report(cell, metrics)
        gauges = metrics.gauges_by_name
        assert gauges["p.steps_waiting.late.priority_0"] == 1
        assert gauges["p.steps_waiting.on_time.priority_0"] == 1
        assert gauges["p.steps_waiting.on_time.priority_9"] == 1
        assert gauges["p.steps_waiting.excess"] == 1
        assert gauges["p.longest_wait_s"] == pytest.approx(2.0)
        assert metrics.totals_by_name["p.jobs_excess"] == 1

    def test_a_gauge_returns_to_zero(self, cell):
        job_id = cell.submit("a", URGENT, make_graph())
        metrics = Metrics()
        reporter = self.report(cell, metrics)
        cell.cancel(job_id)
        cell.run(1.5)
        reporter.check(cell.now_s, cell.wall_ms)
        assert metrics.gauges_by_name["p.steps_waiting.on_time.priority_0"] == 0

    def test_the_log_is_bounded(self, cell, caplog):
        caplog.set_level(logging.INFO, "pistachiolift.node.waiting_report")
        for index in range(200):
            cell.submit(f"j{index}", URGENT, make_graph(), f"c{index % 50}")
        cell.run(2.0)
        reporter = self.report(cell, Metrics())
        for _ in range(8):
            cell.run(1.0)
            reporter.check(cell.now_s, cell.wall_ms)
        marked = [r for r in caplog.messages if "event=jobs_marked_excess" in r]
        assert len(marked) == MAX_CUSTOMERS
        assert "jobs=3" in marked[0] and "customers=50" in marked[0]
        waits = [r for r in caplog.messages if "event=work_waits" in r]
        assert len(waits) == 1
        assert "late=200" in waits[0] and "excess=150" in waits[0]
        cell.run(LOG_INTERVAL_S)
        reporter.check(cell.now_s, cell.wall_ms)
        assert sum("event=work_waits" in r for r in caplog.messages) == 2
