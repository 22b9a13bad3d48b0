"""Tests of worker health, quotas and validation."""

import pytest

from pistachiolift.common import InvalidInputError, QuotaTable, WorkerHealth
from pistachiolift.jobs import (
    EndReason,
    NoPlacementReason,
    PolicyName,
    ReportedState,
    Resources,
    validate_spec,
)

from .harness import Cell, make_spec


class TestWorkerHealth:
    def test_worker_that_fails_all_tasks(self):
        """Guards against a faulty worker that gets and fails most tasks."""
        health = WorkerHealth()
        for job_id in ("j1", "j2"):
            assert health.record_failure("w1", job_id, 0.0) == []
        assert health.record_failure("w1", "j3", 0.0) == ["w1"]
        assert not health.accepts("w1", 29.0)
        assert health.accepts("w1", 30.0)
        health.record_placement("w1")
        assert not health.accepts("w1", 30.0), "more than one probe"
        assert health.record_failure("w1", "j4", 30.0) == ["w1"]
        assert not health.accepts("w1", 89.0)
        health.record_placement("w1")
        health.record_success("w1", "j5")
        assert health.accepts("w1", 89.0)

    def test_jobs_that_fail_everywhere(self):
        """Guards against healthy workers quarantined because of faulty jobs."""
        health = WorkerHealth()
        for worker_id in ("w1", "w2", "w3"):
            for job_id in ("j1", "j2", "j3"):
                health.record_failure(worker_id, job_id, 0.0)
        assert all(health.job_fails_everywhere(job_id) for job_id in ("j1", "j2"))
        assert all(health.accepts(w, 0.0) for w in ("w1", "w2", "w3"))

    def test_release_keeps_the_failures_of_other_jobs(self):
        """Guards against a faulty worker that a faulty job's end clears.

        The worker fails every task. A job that fails everywhere is among the three
        that led to the quarantine, so this is lifted; the two others still count.
        """
        health = WorkerHealth()
        for job_id in ("faulty", "j1", "j2"):
            health.record_failure("w1", job_id, 0.0)
        assert health.is_quarantined("w1")
        assert health.record_failure("w2", "faulty", 1.0) == []
        assert health.record_failure("w3", "faulty", 2.0) == ["w1"]
        assert health.accepts("w1", 2.0)
        assert health.failing_job_count("w1") == 2
        assert health.record_failure("w1", "j2", 3.0) == []
        assert health.record_failure("w1", "j3", 3.0) == ["w1"]
        assert health.quarantined_until_s("w1") == 33.0, "the lifted one counts"

    def test_quarantine_lifted_in_a_cell(self):
        """Guards against a faulty worker that keeps its tasks after a release."""
        cell = Cell()
        for number in range(3):
            cell.add_worker(number)
        cell.settle()
        for job_id in ("faulty", "j1", "j2"):
            cell.call("submit_job", make_spec(job_id))
            cell.settle()
            assert cell.running()[f"{job_id}.0.1"] == "w0"
            cell.finish(f"{job_id}.0.1", ReportedState.FAILED)
        assert cell.scheduler.status().quarantined == ["w0"]
        for attempt in (2, 3):
            cell.advance(2)
            cell.finish(f"faulty.0.{attempt}", ReportedState.FAILED)
        cell.settle()
        assert cell.ended["faulty"].reason is EndReason.FAILED
        assert not cell.scheduler.status().quarantined
        cell.call("submit_job", make_spec("j3"))
        cell.settle()
        assert cell.running()["j3.0.1"] == "w0"
        cell.finish("j3.0.1", ReportedState.FAILED)
        assert cell.scheduler.status().quarantined == ["w0"]

    def test_quarantine_and_probe_in_a_cell(self):
        """Guards against a quarantined worker that is never used again."""
        cell = Cell()
        for number in range(3):
            cell.add_worker(number)
        cell.settle()
        for number in range(1, 7):
            cell.call("submit_job", make_spec(f"j{number}", size=(1900, 1, 0)))
        cell.settle()
        for number in range(7, 9):
            for task_id, worker_id in cell.running().items():
                if worker_id == "w0":
                    cell.finish(task_id, ReportedState.FAILED)
            cell.call("submit_job", make_spec(f"j{number}", size=(1900, 1, 0)))
            cell.advance(1)
        assert cell.scheduler.status().quarantined == ["w0"]
        cell.starts.clear()
        cell.call("submit_job", make_spec("next", tasks=2, size=(1000, 1, 0)))
        cell.advance(20)
        assert "w0" not in {start.worker_id for start in cell.starts}
        cell.advance(15)
        probes = [start for start in cell.starts if start.worker_id == "w0"]
        assert len(probes) == 1
        cell.finish(probes[0].task_id)
        assert not cell.scheduler.status().quarantined


class TestQuotaTable:
    def test_share_reduced_below_use(self):
        """Guards against a negative balance when a share shrinks."""
        quota = QuotaTable(Resources())
        quota.charge("c1", Resources(2000, 100, 1))
        quota.set_share("c1", Resources(2000, 500, 1))
        assert not quota.allows("c1", Resources(1, 1, 0))
        quota.release("c1", Resources(2000, 100, 1))
        assert quota.allows("c1", Resources(2000, 500, 1))
        assert not quota.allows("c1", Resources(1, 1, 2))

    def test_job_waits_for_its_quota(self):
        """Guards against a customer that exceeds its quota at the expense of others."""
        cell = Cell()
        cell.add_worker(0)
        cell.settle()
        cell.apply(cell.scheduler.set_quota("c1", Resources(1000, 4000, 0), cell.now_s))
        cell.call("submit_job", make_spec("j1", tasks=2))
        cell.call("submit_job", make_spec("j2", customer_id="c2"))
        cell.settle()
        assert set(cell.running()) == {"j1.0.1", "j2.0.1"}
        assert cell.scheduler.explain("j1").blocked_by is NoPlacementReason.QUOTA
        cell.apply(cell.scheduler.set_quota("c1", None, cell.now_s))
        cell.settle()
        assert "j1.1.1" in cell.running()


class TestValidation:
    @pytest.mark.parametrize(
        "options",
        [
            {"tasks": 0},
            {"tasks": 1.5},
            {"tasks": True},
            {"size": (-1, 1, 0)},
            {"size": (1, 0, 0)},
            {"size": (1, 1, -1)},
            {"size": (10**9, 1, 0)},
            {"policy": "lottery"},
            {"priority": 10},
            {"max_run_s": float("nan")},
            {"max_attempts": 0},
            {"job_id": ""},
            {"job_id": "a/b"},
            {"customer_id": "x" * 65},
        ],
    )
    def test_invalid_spec_is_rejected(self, options):
        """Guards against sizes and identifiers that break the accounting."""
        with pytest.raises(InvalidInputError):
            validate_spec(make_spec(**options))

    def test_valid_spec_is_accepted(self):
        """Guards against a check that rejects valid jobs."""
        for policy in PolicyName:
            validate_spec(make_spec(policy=policy, max_run_s=1))
