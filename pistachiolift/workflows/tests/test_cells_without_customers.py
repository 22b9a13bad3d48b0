"""Judgement of workers in cells that are not shared by customers."""

import logging

from pistachiolift.common import JobId

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

QUEUE = make_queue()


def make_failed_cell(jobs, *, shared=False):
    """Return a cell and its only worker, on which a task of each job has failed."""
    cell = VirtualCell(workers=1, queues=[QUEUE])
    cell.scheduler.set_shared(shared)
    (entry,) = cell.scheduler.state.workers_by_id.values()
    for name in jobs:
        cell.submit(name, QUEUE, make_graph(make_step()))
    cell.run(0.1)
    lifecycle = cell.scheduler._lifecycle
    for run in list(entry.runs.values()):
        lifecycle.record_failure(entry, run, cell.now_s)
    return cell, entry


class TestFailures:
    def test_no_last_attempt_avoids_the_worker(self):
        """Guards against the rule of shared cells until the next check."""
        _, entry = make_failed_cell(["a"])
        assert not entry.risky
        _, entry = make_failed_cell(["a"], shared=True)
        assert entry.risky

    def test_a_quarantine_is_logged(self, caplog):
        """Guards against a quarantine that operators cannot find."""
        caplog.set_level(logging.INFO)
        cell, entry = make_failed_cell(["a", "b", "c"])
        assert cell.scheduler.state.health.is_quarantined(entry.worker_id)
        lines = [r.getMessage() for r in caplog.records]
        lines = [line for line in lines if "worker_quarantine_changed" in line]
        assert len(lines) == 1
        assert "quarantined=True" in lines[0]
        assert entry.probes_since_s is None


class TestChangeOfTheConfiguration:
    def test_a_worker_that_was_behind_is_used_again(self):
        """Guards against a worker that stays out of use for good.

        Only the pace of its runs takes it back, which other cells do not measure.
        """
        cell, entry = make_failed_cell(["a", "b"], shared=True)
        entry.behind_s, entry.suspect = cell.now_s, True
        assert not entry.usable(cell.now_s)
        cell.scheduler.set_shared(False)
        assert entry.usable(cell.now_s)
        assert not entry.risky and not entry.suspect
        assert entry.quarantined_s is None
        job = cell.submit("later", QUEUE, make_graph(make_step()))
        cell.run(5.0)
        assert cell.status(JobId(job)).value == "completed"
