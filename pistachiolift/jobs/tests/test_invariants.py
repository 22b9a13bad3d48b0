"""Stateful test of the placement invariants under faults.

No worker is overcommitted, and no task runs twice at the same time.
"""

from contextlib import suppress

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from pistachiolift.common import InvalidInputError
from pistachiolift.jobs import (
    JobScheduler,
    PolicyName,
    ReportedState,
    Resources,
    TaskLifecycle,
    TaskState,
    WorkerStatus,
)
from pistachiolift.jobs.fleet import Fleet

from .harness import Cell, InvariantError, make_spec

FOLLOW = st.sampled_from(["", "write", "settle"])


class FaultyCell(RuleBasedStateMachine):
    """Random events with lost and late commands, answers and reports."""

    scheduler_class = JobScheduler
    workers = 3

    @initialize(seed=st.integers(0, 3))
    def build(self, seed):
        self.cell = Cell(self.scheduler_class, seed)
        self.jobs = 0
        self.late_reports = []
        self.late_answers = []
        for number in range(self.workers):
            self.cell.add_worker(number, size=(2000, 2000, number % 2))
            worker = self.worker(number)
            worker.lease_drift = (1.0, 1.009, 0.991)[number]
            worker.clock_skew_s = (0.2, 0.0, -0.2)[number]
        self.cell.settle()

    def follow(self, how):
        """Complete nothing, the ledger writes or all pending actions after an event."""
        if how == "write":
            self.write_all()
        elif how == "settle":
            self.cell.settle(5)

    def write_all(self):
        for _ in range(3):
            self.cell.finish_write()

    def worker(self, number):
        return self.cell.workers[f"w{number % self.workers}"]

    @rule(
        policy=st.sampled_from(PolicyName),
        tasks=st.integers(1, 3),
        cpu_milli=st.sampled_from([700, 1000, 2000, 2000]),
        priority=st.integers(0, 2),
        checkpointable=st.booleans(),
        follow=FOLLOW,
    )
    def submit(self, policy, tasks, cpu_milli, priority, checkpointable, follow):
        if not self.cell.scheduler.status().ledger_available:
            return
        self.jobs += 1
        spec = make_spec(
            f"j{self.jobs}",
            policy,
            1 if cpu_milli == 2000 else tasks,
            (cpu_milli, 500, 0),
            priority=priority,
            checkpointable=checkpointable,
        )
        # A gang may be larger than the workers that are left.
        with suppress(InvalidInputError):
            self.cell.call("submit_job", spec)
        self.follow(follow)

    @precondition(lambda self: self.jobs)
    @rule(pick=st.integers(0, 2), follow=FOLLOW)
    def cancel(self, pick, follow):
        job_id = f"j{max(1, self.jobs - pick)}"
        if job_id in self.cell.accepted and job_id in self.cell.entries:
            self.cell.call("cancel_job", "c1", job_id)
            self.follow(follow)

    @precondition(lambda self: self.cell.write)
    @rule(stored=st.sampled_from([True, True, False]), answered=st.booleans())
    def end_write(self, stored, answered):
        self.cell.finish_write(stored=stored, answered=answered)

    @precondition(lambda self: self.cell.unsent)
    @rule(
        position=st.integers(0, 30),
        fault=st.sampled_from(["", "", "lost", "answer_lost", "no_report", "late"]),
    )
    def deliver(self, position, fault):
        position %= len(self.cell.unsent)
        if fault == "late":
            epoch, command = self.cell.unsent.pop(position)
            worker = self.cell.workers[command.worker_id]
            status = self.cell.execute(worker, epoch, command)
            self.late_answers.append((epoch, command, status))
            return
        self.cell.deliver(
            position,
            lost=fault == "lost",
            answer_lost=fault == "answer_lost",
            report=fault != "no_report",
        )

    @precondition(lambda self: self.cell.unsent)
    @rule(commands=st.integers(2, 6))
    def deliver_newest_first(self, commands):
        self.write_all()
        for _ in range(min(commands, len(self.cell.unsent))):
            self.cell.deliver(-1)

    @precondition(lambda self: self.late_answers)
    @rule(position=st.integers(0, 9))
    def deliver_late_answer(self, position):
        position %= len(self.late_answers)
        epoch, command, status = self.late_answers.pop(position)
        if epoch == self.cell.epoch:
            self.cell.call("command_result", command, status)

    @rule(rounds=st.sampled_from([1, 5]))
    def settle(self, rounds):
        self.cell.settle(rounds)

    @rule(interval_s=st.sampled_from([0.1, 0.6, 1.1, 2.5, 9.0]))
    def pass_time(self, interval_s):
        self.cell.now_s += interval_s
        self.cell.call("tick")

    @rule(interval_s=st.sampled_from([12.0, 29.0, 30.05, 31.0, 31.6, 40.0]))
    def pass_long_time(self, interval_s):
        self.cell.now_s += interval_s
        self.cell.call("tick")

    @rule(number=st.integers(0, 2), pick=st.integers(0, 5))
    def task_ends(self, number, pick):
        worker = self.worker(number)
        worker.expire(self.cell.now_s)
        if worker.running:
            task_ids = sorted(worker.running)
            state = (ReportedState.SUCCEEDED, ReportedState.FAILED)[pick % 2]
            worker.end(task_ids[pick % len(task_ids)], state)

    @rule(number=st.integers(0, 2))
    def take_report(self, number):
        worker = self.worker(number)
        report = (worker.spec.worker_id, worker.reports(self.cell.now_s))
        self.late_reports.append(report)

    @precondition(lambda self: self.late_reports)
    @rule(position=st.integers(0, 9))
    def deliver_late_report(self, position):
        position %= len(self.late_reports)
        self.cell.call("worker_report", *self.late_reports.pop(position))

    @rule(number=st.integers(0, 2), follow=FOLLOW)
    def worker_lost(self, number, follow):
        self.cell.call("worker_lost", self.worker(number).spec.worker_id)
        self.follow(follow)

    @rule(number=st.integers(0, 2), event=st.integers(0, 3), follow=FOLLOW)
    def worker_changes(self, number, event, follow):
        if event == 3:
            self.cell.call("worker_leaving", self.worker(number).spec.worker_id)
        else:
            self.cell.call("worker_joined", self.worker(number).spec)
        self.follow(follow)

    @rule(number=st.integers(0, 2))
    def worker_restarts(self, number):
        worker = self.worker(number)
        worker.running.clear()
        worker.ended.clear()

    @rule(stored=st.booleans(), rare=st.integers(0, 2))
    def take_over(self, stored, rare):
        if rare:
            return
        if self.cell.write is not None and stored:
            self.cell.entries.update(self.cell.write.entries)
        self.cell.take_over()

    @invariant()
    def reservations_match(self):
        """The reserved room is exactly that of the attempts that have not ended."""
        if not hasattr(self, "cell"):
            return
        state = self.cell.scheduler._state
        for worker in state.workers_by_id.values():
            used = Resources()
            for task in worker.tasks_by_id.values():
                assert task.state is not TaskState.ENDED
                used = used.plus(task.resources)
            for unexpected in worker.unexpected_by_id.values():
                used = used.plus(unexpected.resources)
            assert worker.free == worker.capacity.minus(used)

    def teardown(self):
        """Check that, without further faults, all accepted tasks run or end."""
        if not hasattr(self, "cell") or self.scheduler_class is not JobScheduler:
            return
        cell = self.cell
        cell.settle()
        for worker in cell.workers.values():
            cell.call("worker_joined", worker.spec)
        cell.advance(180, step_s=1.0)
        status = cell.scheduler.status()
        assert status.workers_by_status == {WorkerStatus.LIVE: self.workers}
        assert status.tasks_placed == len(cell.running())
        assert status.foreign_tasks == 0
        if not status.quarantined:
            assert not (status.jobs_waiting and not cell.running())


class FreeAtStop(TaskLifecycle):
    """Frees room when a stop is sent instead of when it is confirmed."""

    def stop(self, task, reason, now_s):
        super().stop(task, reason, now_s)
        if task.state is TaskState.STOPPING:
            self.end(task, reason, now_s)


class HastyFleet(Fleet):
    """Frees the room of a lost worker before its leases expire."""

    def lose(self, worker_id, now_s):
        worker = self.state.workers_by_id.get(worker_id)
        if worker is not None:
            worker.lease_until_s = now_s
        super().lose(worker_id, now_s)


class StopFreesRoom(JobScheduler):
    lifecycle_class = FreeAtStop


class LostFreesRoom(JobScheduler):
    fleet_class = HastyFleet


class IgnoresFailedWrite(JobScheduler):
    """Starts tasks although the write of their placements failed."""

    def ledger_failed(self, batch_id, now_s):
        return self.ledger_written(batch_id, now_s)


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


class TestInvariants:
    def test_invariants_hold_under_faults(self):
        """Guards against overcommitted workers and tasks that run twice."""
        run_state_machine_as_test(FaultyCell, settings=SETTINGS)

    @pytest.mark.parametrize(
        ("scheduler_class", "workers"),
        [(StopFreesRoom, 2), (LostFreesRoom, 2), (IgnoresFailedWrite, 2)],
    )
    def test_broken_scheduler_is_caught(self, scheduler_class, workers):
        """Guards against a stateful test that cannot find a violation."""

        class BrokenCell(FaultyCell):
            pass

        BrokenCell.scheduler_class = scheduler_class
        BrokenCell.workers = workers
        with pytest.raises(InvariantError):
            run_state_machine_as_test(
                BrokenCell, settings=settings(SETTINGS, max_examples=3000)
            )
