"""Tests of the job scheduler."""

import msgspec
import pytest

from pistachiolift.common import (
    IdempotencyMismatchError,
    InvalidInputError,
    NoOwnerError,
    NotFoundError,
    StoreUnavailableError,
    WaitReason,
)
from pistachiolift.jobs import (
    CheckpointTask,
    CommandStatus,
    EndReason,
    JobRefused,
    JobState,
    LedgerEntry,
    NoPlacementReason,
    PolicyName,
    ReportedState,
    StartTask,
    StopTask,
)

from .harness import Cell, make_spec


@pytest.fixture
def cell():
    cell = Cell()
    for number in range(4):
        cell.add_worker(number)
    cell.settle()
    return cell


class TestJobs:
    def test_accepted_and_started_only_after_the_write(self, cell):
        """Guards against an accepted job that is lost in a takeover."""
        cell.call("submit_job", make_spec(tasks=2))
        assert cell.write is not None
        assert not cell.accepted and not cell.starts and not cell.unsent
        cell.settle()
        assert cell.accepted == ["j1"]
        assert set(cell.running()) == {"j1.0.1", "j1.1.1"}

    def test_ends_when_all_tasks_succeeded(self, cell):
        """Guards against an end that is announced before it is durable."""
        cell.call("submit_job", make_spec(tasks=2))
        cell.settle()
        cell.finish("j1.0.1")
        cell.finish("j1.1.1")
        assert not cell.ended
        cell.settle()
        assert cell.ended["j1"].reason is EndReason.SUCCEEDED
        assert cell.entries["j1"].ended

    def test_same_identifier(self, cell):
        """Guards against a second run of a resubmitted job."""
        cell.call("submit_job", make_spec())
        cell.settle()
        cell.call("submit_job", make_spec())
        cell.settle()
        assert cell.accepted == ["j1", "j1"] and len(cell.starts) == 1
        with pytest.raises(IdempotencyMismatchError):
            cell.call("submit_job", make_spec(tasks=3))

    def test_cancel_waits_for_confirmed_stops(self, cell):
        """Guards against a cancelled job that still runs somewhere."""
        cell.call("submit_job", make_spec(tasks=4))
        cell.settle()
        with pytest.raises(NotFoundError):
            cell.call("cancel_job", "other", "j1")
        cell.call("cancel_job", "c1", "j1")
        cell.finish_write()
        assert cell.scheduler.explain("j1").state is JobState.ENDING
        cell.settle()
        assert cell.ended["j1"].reason is EndReason.CANCELLED
        assert not cell.running()

    def test_failing_task_ends_the_job_with_a_typed_error(self, cell):
        """Guards against a job that is retried forever."""
        cell.call("submit_job", make_spec(max_attempts=3))
        for attempt in (1, 2, 3):
            cell.advance(5)
            cell.finish(f"j1.0.{attempt}", ReportedState.FAILED)
        cell.settle()
        assert cell.ended["j1"].code.value == "retries_exhausted"
        assert len({start.worker_id for start in cell.starts}) == 3

    def test_never_fitting_job_is_rejected(self, cell):
        """Guards against a job that waits forever."""
        cell.advance(32, step_s=1.0)
        with pytest.raises(InvalidInputError, match="4 empty workers"):
            cell.call("submit_job", make_spec(size=(5000, 1, 0)))
        gang = make_spec(policy=PolicyName.GANG, tasks=17)
        with pytest.raises(InvalidInputError):
            cell.call("submit_job", gang)

    def test_never_fitting_job_submitted_before_workers_are_known(self, cell):
        """Guards against a job that waits forever without a stated reason."""
        cell.call("submit_job", make_spec(size=(5000, 1, 0)))
        cell.settle()
        explained = cell.scheduler.explain("j1")
        assert explained.blocked_by is NoPlacementReason.NEVER_FITS
        assert {t.waits_for for t in explained.listed_tasks} == {WaitReason.NEVER_FITS}

    def test_explains_each_task(self, cell):
        """Guards against details without the worker or the reason of a wait."""
        cell.call("submit_job", make_spec(tasks=2, max_attempts=9))
        [first, second] = cell.scheduler.explain("j1").listed_tasks
        assert first.worker_id and first.waits_for is WaitReason.LEDGER
        cell.settle()
        cell.finish("j1.0.1", ReportedState.FAILED)
        [first, second] = cell.scheduler.explain("j1").listed_tasks
        assert (first.index, first.worker_id) == (0, None)
        assert first.waits_for is WaitReason.RETRY_DELAY
        assert second.worker_id and second.waits_for is None

    def test_explanation_is_bounded(self, cell):
        """Guards against details that grow with the number of tasks."""
        cell.call("submit_job", make_spec(tasks=5000))
        assert len(cell.scheduler.explain("j1").listed_tasks) == 100

    def test_run_limit(self, cell):
        """Guards against a task that runs forever and one stopped too early."""
        cell.call("submit_job", make_spec(max_run_s=20, max_attempts=1))
        cell.advance(21)
        assert len(cell.running()) == 1
        cell.advance(10)
        assert cell.ended["j1"].reason is EndReason.FAILED and not cell.running()

    def test_ended_job_is_forgotten_and_may_be_resubmitted(self, cell):
        """Guards against a ledger that grows with every job that ever ran."""
        cell.call("submit_job", make_spec())
        cell.settle()
        cell.finish("j1.0.1")
        cell.advance(590, step_s=5)
        assert cell.entries["j1"].ended
        cell.advance(20, step_s=5)
        assert not cell.entries
        cell.call("submit_job", make_spec())
        cell.settle()
        assert len(cell.starts) == 2


class TestLedger:
    def test_small_entry(self, cell):
        """Guards against ledger entries above the storage budget of 300 bytes."""
        spec = make_spec("0123456789abcdef", customer_id="ogunleye", tasks=2)
        cell.call("submit_job", spec)
        cell.settle()
        encoded = msgspec.json.encode(cell.entries[spec.job_id])
        assert len(encoded) < 300
        assert msgspec.json.decode(encoded, type=LedgerEntry).running

    def test_failed_write_is_repeated_and_new_jobs_are_refused(self, cell):
        """Guards against a start whose placement is not durable."""
        cell.call("submit_job", make_spec("j1"))
        cell.call("submit_job", make_spec("j2"))
        cell.finish_write(stored=False)
        refused = [d for d in cell.log if isinstance(d, JobRefused)]
        assert [d.job_id for d in refused] == ["j2"]
        with pytest.raises(StoreUnavailableError):
            cell.call("submit_job", make_spec("j3"))
        assert not cell.starts
        cell.advance(2)
        assert cell.accepted == ["j1"] and len(cell.starts) == 1

    def test_takeover_keeps_running_tasks(self, cell):
        """Guards against a second start of tasks that the old owner started."""
        cell.call("submit_job", make_spec(tasks=3))
        cell.settle()
        before = cell.running()
        cell.take_over()
        for worker in cell.workers.values():
            cell.call("worker_joined", worker.spec)
        cell.advance(20)
        assert cell.running() == before and len(cell.starts) == 3


class TestWorkerFaults:
    def test_lost_start_answer(self, cell):
        """Guards against a second start while the first may have taken effect."""
        cell.call("submit_job", make_spec())
        cell.finish_write()
        cell.take(StartTask)
        cell.advance(1)
        assert not cell.running()
        cell.advance(5)
        assert list(cell.running()) == ["j1.0.2"]

    def test_stop_that_overtakes_the_start(self, cell):
        """Guards against room reused before a delayed start has expired."""
        cell.call("submit_job", make_spec(size=(4000, 1, 0)))
        cell.finish_write()
        late = (cell.epoch, cell.take(StartTask))
        cell.call("cancel_job", "c1", "j1")
        cell.call("submit_job", make_spec("j2", tasks=4, size=(4000, 1, 0)))
        cell.settle()
        cell.now_s += 0.9
        cell.unsent.insert(0, late)
        cell.settle()
        assert len(cell.starts) == 4
        cell.advance(5)
        assert {task[:2] for task in cell.running()} == {"j2"}

    def test_answers_to_a_stop_and_a_start_arrive_in_reverse_order(self, cell):
        """Guards against an old answer to a stop that ends a task started later."""
        cell.call("submit_job", make_spec(size=(4000, 1, 0)))
        cell.finish_write()
        start = cell.take(StartTask)
        cell.call("cancel_job", "c1", "j1")
        stop = cell.take(StopTask)
        stop_status = cell.run(stop)
        cell.call("command_result", start, cell.run(start))
        cell.call("command_result", stop, stop_status)
        assert cell.scheduler.status().tasks_placed == 1
        cell.advance(3)
        assert cell.scheduler.status().tasks_placed == 0 and not cell.running()

    def test_unanswered_start_that_took_effect(self, cell):
        """Guards against a second start while the first one runs."""
        cell.call("submit_job", make_spec())
        cell.finish_write()
        cell.run(cell.take(StartTask))
        for _ in range(4):
            cell.now_s += 1.0
            cell.call("tick")
            cell.finish_write()
        assert len(cell.starts) == 1 and cell.scheduler.status().tasks_placed == 1
        stop = cell.take(StopTask)
        cell.call("command_result", stop, cell.run(stop))
        cell.settle()
        cell.advance(8)
        assert len(cell.starts) == 2 and len(cell.running()) == 1

    def test_report_without_a_running_task(self, cell):
        """Guards against a late report that is mistaken for the end of a task."""
        cell.call("submit_job", make_spec())
        cell.settle()
        (worker_id,) = cell.running().values()
        for _ in range(3):
            cell.call("worker_report", worker_id, [])
            cell.now_s += 3.0
        cell.finish_write()
        assert cell.scheduler.status().tasks_placed == 1
        cell.settle()
        assert len(cell.running()) == 1

    def test_late_refusal_of_a_start_that_runs(self, cell):
        """Guards against a refusal that frees the room of a running task."""
        cell.call("submit_job", make_spec())
        cell.settle()
        cell.call("command_result", cell.starts[0], CommandStatus.TOO_LATE)
        assert cell.scheduler.status().tasks_placed == 1

    def test_no_task_before_the_first_report(self):
        """Guards against room reused while old tasks may still run."""
        cell = Cell()
        cell.add_worker(0)
        cell.call("submit_job", make_spec())
        cell.finish_write()
        assert not any(isinstance(c, StartTask) for _, c in cell.unsent)
        cell.settle()
        assert len(cell.running()) == 1

    def test_unreachable_worker(self, cell):
        """Guards against a restart before the leases have expired."""
        cell.call("submit_job", make_spec(policy=PolicyName.SERVICE))
        cell.settle()
        (worker_id,) = cell.running().values()
        cut_off = cell.workers[worker_id]
        cell.call("worker_lost", worker_id)
        cell.advance(29)
        assert len(cell.starts) == 1
        cell.advance(4)
        assert len(cell.starts) == 2 and not cut_off.running

    def test_leaving_worker(self, cell):
        """Guards against tasks that are lost when their worker is replaced."""
        cell.call("submit_job", make_spec("s", PolicyName.SERVICE, checkpointable=True))
        cell.settle()
        (worker_id,) = cell.running().values()
        cell.call("worker_leaving", worker_id)
        cell.advance(3)
        assert any(isinstance(d, CheckpointTask) for d in cell.log)
        assert list(cell.running().values()) not in ([], [worker_id])

    def test_stale_epoch(self, cell):
        """Guards against an owner that continues to decide after a takeover."""
        cell.call("submit_job", make_spec())
        cell.settle()
        cell.call("command_result", cell.starts[0], CommandStatus.STALE_EPOCH)
        assert cell.scheduler.status().superseded
        assert cell.scheduler.tick(cell.now_s + 60) == []
        with pytest.raises(NoOwnerError):
            cell.call("submit_job", make_spec("j2"))

    def test_gang_is_restarted_as_a_whole(self, cell):
        """Guards against a gang that runs with one task missing."""
        gang = make_spec(policy=PolicyName.GANG, tasks=3, size=(3000, 1, 0))
        cell.call("submit_job", gang)
        cell.settle()
        cell.finish("j1.0.1", ReportedState.FAILED)
        stops = [c.task_id for _, c in cell.unsent if isinstance(c, StopTask)]
        assert stops == ["j1.1.1", "j1.2.1"]
        cell.advance(5)
        assert set(cell.running()) == {"j1.0.2", "j1.1.2", "j1.2.2"}

    def test_unexpected_task_of_a_worker_after_takeover(self, cell):
        """Guards against room used twice while an unexpected task runs."""
        cell.call("submit_job", make_spec(size=(4000, 1, 0)))
        cell.settle()
        cell.entries.clear()
        cell.take_over()
        for worker in cell.workers.values():
            cell.call("worker_joined", worker.spec)
        while cell.unsent:
            cell.deliver()
            stop = [c for c in cell.unsent if isinstance(c[1], StopTask)]
            if stop:
                cell.unsent.remove(stop[0])
        cell.call("submit_job", make_spec("j2", tasks=4, size=(4000, 1, 0)))
        cell.settle()
        assert len(cell.starts) == 4, (
            "the unexpected task must keep its room on one worker"
        )
        assert cell.metrics.totals_by_name["jobs.foreign_task"] == 1
        cell.advance(5)
        assert {task[:2] for task in cell.running()} == {"j2"}
