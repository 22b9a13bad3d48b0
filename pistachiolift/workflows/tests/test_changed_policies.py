"""Policies of queues that change while their jobs are known, by version."""

import pytest

from pistachiolift.workflows import JobStatus

from .test_failure_counts import CountingCell, fail_first_runs, with_limit
from .virtual_cell import make_graph, make_step


class VersionedCell(CountingCell):
    """A cell whose owners know the version of their configuration."""

    version = 1

    def put(self, version, limit):
        """Put a version into force at the present owner."""
        self.version = version
        self.scheduler.set_queues([with_limit(limit)], version=version)

    def take_over(self, version, limit):
        """Replace the owner by one that has read a version."""
        self.version = version
        self.table = [with_limit(limit)]
        self.replace_owner()

    def _make_scheduler(self, fence):
        scheduler = super()._make_scheduler(fence)
        scheduler.state.queues_version = self.version
        set_queues = scheduler.set_queues

        def set_versioned(queues, *, version=None):
            set_queues(queues, version=self.version if version is None else version)

        scheduler.set_queues = set_versioned
        return scheduler


def start(*, limit, failures):
    """Return a cell with a job that fails so often."""
    cell = VersionedCell(queues=[with_limit(limit)])
    # The cell's own check of the limits does not know versions.
    cell.limits = {"urgent": [(0.0, 0)]}
    fail_first_runs(cell, failures)
    job = cell.submit("j", with_limit(limit), make_graph(make_step(estimate_s=0.5)))
    cell.run(0.1)
    return cell, job


class TestTakeovers:
    """Guards against verdicts by a policy that is not the newest one."""

    def test_the_recorded_policy_is_newer(self):
        """Also the failures after the takeover are judged by it."""
        cell, job = start(limit=2, failures=4)
        cell.put(2, 5)
        cell.run(0.2)
        cell.take_over(1, 2)
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED

    @pytest.mark.parametrize("compacts", [False, True])
    def test_the_new_owner_has_read_a_newer_policy(self, compacts):
        cell, job = start(limit=2, failures=4)
        cell.put(2, 5)
        cell.run(2.0)
        assert cell.most_failures(job) == 3
        cell.take_over(3, 3)
        if compacts:
            cell.compact_with_next_write()
        cell.run(1.0)
        assert cell.status(job) is JobStatus.FAILED

    @pytest.mark.parametrize("share", [0.5, 1.0])
    def test_a_compaction_keeps_the_policy(self, share):
        cell, job = start(limit=2, failures=4)
        cell.put(2, 5)
        for _ in range(4):
            cell.run(0.3)
            cell.compact_with_next_write(share)
        cell.take_over(1, 2)
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_an_owner_records_the_policy_that_it_has_read(self):
        """A third owner has read the older configuration again."""
        cell, job = start(limit=2, failures=4)
        cell.take_over(2, 5)
        cell.run(0.2)
        cell.take_over(1, 2)
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_an_unchanged_configuration_writes_nothing(self):
        cell, _ = start(limit=2, failures=0)
        recorded = cell.scheduler.state.recorded
        for version in range(2, 6):
            cell.put(version, 2)
        assert cell.scheduler.state.recorded == recorded
