"""Tests of job graphs from submission to their end."""

import msgspec
import pytest

from pistachiolift.common import InvalidInputError, JobId
from pistachiolift.workflows import (
    AdvicePolicy,
    JobStatus,
    StartAnswer,
    validate_graph,
)
from pistachiolift.workflows.placement import eligible_workers

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step


class TestSteps:
    def test_a_job_of_one_task_completes(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph())
        cell.run(0.05)
        assert cell.status(job) is JobStatus.RUNNING
        cell.run(1.2)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_step_waits_for_all_tasks_of_its_predecessors(self):
        cell = VirtualCell()
        graph = make_graph(make_step(3), make_step(2), make_step(1, after=(0, 1)))
        job = cell.submit("a", make_queue(), graph)
        cell.run(1.0)
        assert not any(task.step == 2 for _, _, task in cell.runs_by_job[job])
        cell.run(2.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_resubmitted_job_runs_only_once(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph())
        cell.run(0.5)
        cell.submit("a", make_queue(), make_graph())
        cell.run(2.0)
        assert len(cell.runs_by_job[job]) == 1

    def test_max_per_worker_limits_the_tasks_on_a_worker(self):
        cell = VirtualCell(workers=3)
        job = cell.submit("a", make_queue(), make_graph(make_step(6, max_per_worker=1)))
        cell.run(0.5)
        assert len(cell.runs_by_job[job]) == 3
        cell.run(3.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_tasks_run_only_on_workers_with_the_required_label(self):
        cell = VirtualCell(workers=12)
        graph = make_graph(make_step(4, required_label="r1"))
        job = cell.submit("a", make_queue(), graph)
        cell.run(0.5)
        workers = {worker for _, worker, _ in cell.runs_by_job[job]}
        assert workers <= {f"w{i}" for i in range(6, 12)}

    @pytest.mark.parametrize(
        "graph",
        [
            make_graph(make_step(0)),
            make_graph(make_step(1, after=(0,))),
            make_graph(make_step(1, cpu=-1)),
            make_graph(occurrences=-1),
        ],
    )
    def test_a_malformed_job_is_rejected(self, graph):
        with pytest.raises(InvalidInputError):
            validate_graph(graph)


class TestGangs:
    def test_all_members_start_with_one_run_number(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph(make_step(8, gang=True)))
        cell.run(1.5)
        assert len(cell.runs_by_job[job]) == 8
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_gang_that_does_not_fit_starts_no_member(self):
        cell = VirtualCell(workers=1)
        job = cell.submit("a", make_queue(), make_graph(make_step(9, gang=True)))
        cell.run(1.0)
        assert not cell.runs_by_job[job]

    def test_a_same_rack_gang_stays_on_one_rack(self):
        cell = VirtualCell(workers=12)
        step = make_step(10, cpu=4000, gang=True, same_rack=True)
        job = cell.submit("a", make_queue(), make_graph(step))
        cell.run(0.5)
        racks = {int(worker[1:]) // 6 for _, worker, _ in cell.runs_by_job[job]}
        assert len(cell.runs_by_job[job]) == 10
        assert len(racks) == 1

    def test_the_loss_of_a_member_restarts_the_whole_gang(self):
        cell = VirtualCell()
        step = make_step(8, cpu=4000, gang=True, estimate_s=2.0)
        job = cell.submit("a", make_queue(), make_graph(step))
        cell.run(0.5)
        cell.crash(cell.runs_by_job[job][0][1])
        cell.add_worker(9)
        cell.run(4.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) == 16


class NoScan(dict):
    """A dictionary that raises an error when it is iterated."""

    def values(self):
        raise AssertionError("all entries were iterated")

    items = __iter__ = keys = values


class TestAdvice:
    QUEUE = make_queue(
        advice=AdvicePolicy(decide_s=0.4, each_s=0.005, valid_s=1.5),
    )

    def test_only_approved_workers_get_tasks(self):
        cell = VirtualCell(workers=8)
        cell.approve = lambda step, worker_id: worker_id in ("w2", "w5")
        job = cell.submit("a", self.QUEUE, make_graph(make_step(20)))
        cell.run(5.0)
        assert {worker for _, worker, _ in cell.runs_by_job[job]} == {"w2", "w5"}
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_failed_advice_call_is_repeated(self):
        cell = VirtualCell()
        answers = iter([None])
        real = cell.scheduler.handle_advice

        def lose_the_first(step, asked, tickets, **kwargs):
            real(step, asked, next(answers, tickets), **kwargs)

        cell.scheduler.handle_advice = lose_the_first
        job = cell.submit("a", self.QUEUE, make_graph())
        cell.run(3.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_expired_tickets_are_renewed_before_a_start(self):
        cell = VirtualCell(workers=1)
        cell.submit("first", make_queue(), make_graph(make_step(8, estimate_s=4.0)))
        cell.run(0.1)
        job = cell.submit("a", self.QUEUE, make_graph())
        cell.run(8.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_starts_delayed_by_the_store_are_sent_with_valid_tickets(self):
        """Guards against expired tickets after a store outage of more than 1.5 s."""
        cell = VirtualCell()
        job = cell.submit("a", self.QUEUE, make_graph(make_step(6)))
        cell.run(0.1)
        cell.store_up = False
        cell.run(4.0)
        assert not cell.runs_by_job[job]
        cell.store_up = True
        cell.run(3.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_workers_without_a_ticket_are_not_iterated(self):
        """Guards against a cost that grows with workers that may not run the step."""
        cell = VirtualCell(workers=60)
        cell.approve = lambda step, worker_id: worker_id in ("w2", "w5")
        job = cell.submit("a", self.QUEUE, make_graph(make_step(2)))
        cell.run(0.8)
        usable_by_id = NoScan(cell.scheduler.state.usable_workers("pool", cell.now_s))
        (occurrence,) = cell.scheduler.state.jobs_by_id[job].occurrences
        found = eligible_workers(occurrence.steps[0], usable_by_id, cell.now_s)
        assert {entry.worker_id for entry in found} == {"w2", "w5"}

    @pytest.mark.parametrize(("instances", "longest_s"), [(1, 2.0), (8, 1.2)])
    def test_a_long_advice_call_is_split_over_idle_instances(
        self, instances, longest_s
    ):
        """Guards against slow advice for a gang that few workers may run."""
        cell = VirtualCell(workers=8)
        cell.scheduler.advice.instances = instances
        cell.approve = lambda step, worker_id: worker_id in ("w2", "w7")
        queue = make_queue(
            advice=AdvicePolicy(decide_s=0.7, each_s=0.1, valid_s=1.5),
        )
        job = cell.submit("a", queue, make_graph(make_step(16, gang=True)))
        cell.run(4.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert cell.wait_s(job) < longest_s
        assert (cell.wait_s(job) > 1.4) is (instances == 1)


class TestFailures:
    def test_a_job_fails_after_max_failures_of_a_task(self):
        cell = VirtualCell()
        for fake in cell.workers_by_id.values():
            fake.fails = True
        job = cell.submit("a", make_queue(max_failures=2), make_graph())
        cell.run(5.0)
        assert cell.status(job) is JobStatus.FAILED
        assert len(cell.runs_by_job[job]) == 2

    def test_a_failed_task_is_retried_on_another_worker(self):
        cell = VirtualCell()
        cell.workers_by_id["w0"].fails = True
        jobs = [cell.submit(f"j{i}", make_queue(), make_graph()) for i in range(6)]
        cell.run(6.0)
        assert all(cell.status(job) is JobStatus.COMPLETED for job in jobs)

    def test_a_cancelled_job_is_stopped_and_never_started_again(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph(make_step(4, estimate_s=9.0)))
        cell.run(0.5)
        cell.cancel(job)
        cell.run(0.5)
        assert cell.status(job) is JobStatus.CANCELLED
        assert not any(fake.running for fake in cell.workers_by_id.values())
        cell.run(10.0)
        assert len(cell.runs_by_job[job]) == 4

    def test_tasks_of_a_crashed_worker_restart_elsewhere_immediately(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph(make_step(4, estimate_s=2.0)))
        cell.run(0.5)
        cell.crash(cell.runs_by_job[job][0][1])
        cell.run(3.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_tasks_of_an_unreachable_worker_wait_for_the_end_of_its_lease(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph(make_step(1, estimate_s=30.0)))
        cell.run(0.5)
        worker_id = cell.runs_by_job[job][0][1]
        fake = cell.workers_by_id[worker_id]
        fake.cut = True
        cell.run(4.0)
        assert len(cell.runs_by_job[job]) == 1
        fake.running.clear()
        cell.run(1.5)
        assert len(cell.runs_by_job[job]) == 2

    def test_a_completed_job_is_told_only_once_its_ends_are_durable(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph())
        cell.run(0.5)
        cell.store_up = False
        cell.run(2.0)
        assert cell.status(job) is JobStatus.RUNNING
        cell.store_up = True
        cell.run(0.5)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_an_unknown_job_has_no_state(self):
        assert VirtualCell().status(JobId("unknown")) is None


class TestTakeover:
    def test_running_tasks_are_adopted(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph(make_step(4, estimate_s=3.0)))
        cell.run(0.5)
        cell.replace_owner()
        cell.run(4.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) == 4

    def test_only_tasks_of_an_unreachable_worker_wait_for_its_lease(self):
        cell = VirtualCell(workers=2)
        job = cell.submit("a", make_queue(), make_graph(make_step(20, estimate_s=3.0)))
        cell.run(0.5)
        cut = cell.workers_by_id["w1"]
        placed_there = {task for task, _ in cut.running}
        cut.cut = True
        cell.replace_owner()
        cell.run(3.5)
        started_again = {
            task for time_s, worker, task in cell.runs_by_job[job] if time_s > 101.0
        }
        assert started_again
        assert not started_again & placed_there
        cut.running.clear()
        cut.cut = False
        cell.run(12.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_start_whose_placement_is_not_durable_is_never_sent(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph())
        cell.run(0.005)
        cell.store_up = False
        cell.run(2.0)
        assert not cell.runs_by_job[job]
        cell.cancel(job)
        cell.store_up = True
        cell.run(2.0)
        assert not cell.runs_by_job[job]

    def test_a_job_that_is_refused_before_it_is_durable_leaves_nothing_behind(self):
        cell = VirtualCell()
        cell.run(0.2)
        cell.store_up = False
        job = cell.submit("a", make_queue(), make_graph(make_step(3)))
        cell.run(0.5)
        assert any(e.runs for e in cell.scheduler.state.workers_by_id.values())
        cell.scheduler.withdraw(job)
        assert not any(e.runs for e in cell.scheduler.state.workers_by_id.values())
        cell.store_up = True
        cell.run(2.0)
        assert not cell.runs_by_job[job]
        assert cell.status(job) is None

    def test_acceptance_and_placement_share_one_write(self):
        cell = VirtualCell()
        cell.run(0.2)
        job = cell.submit("a", make_queue(), make_graph())
        cell.run(0.0095)
        assert cell.first_start_s[job] - cell.submitted_s[job] < 0.009

    def test_a_lost_start_of_an_earlier_owner_is_repeated(self):
        cell = VirtualCell()
        job = cell.submit("a", make_queue(), make_graph())
        cell.run(0.009)
        cell._events = [
            event for event in cell._events if event[2].__name__ != "_start"
        ]
        cell.replace_owner()
        cell.run(3.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_failures_are_counted_across_owners(self):
        cell = VirtualCell()
        for fake in cell.workers_by_id.values():
            fake.fails = True
        job = cell.submit("a", make_queue(max_failures=3), make_graph())
        cell.run(1.1)
        cell.replace_owner()
        cell.run(6.0)
        assert cell.status(job) is JobStatus.FAILED
        assert len(cell.runs_by_job[job]) == 3

    def test_a_compacted_log_rebuilds_the_same_state(self):
        cell = VirtualCell()
        graph = make_graph(make_step(3), make_step(2, after=(0,), estimate_s=5.0))
        job = cell.submit("a", make_queue(), graph)
        cell.run(1.5)
        done = cell.submit("b", make_queue(), make_graph(make_step(estimate_s=0.2)))
        cell.run(0.5)
        assert cell.status(done) is JobStatus.COMPLETED
        cell.committed[:] = cell.scheduler.compact(
            cell.committed, now_s=cell.now_s, wall_ms=cell.wall_ms
        )
        cell.replace_owner()
        cell.run(6.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) == 5
        assert cell.status(done) is JobStatus.COMPLETED

    def test_runs_placed_between_compacted_values_are_still_known(self):
        cell = VirtualCell(workers=2)
        early = cell.submit("early", make_queue(), make_graph())
        cell.run(2.0)
        old = len(cell.committed)
        job = cell.submit("a", make_queue(), make_graph(make_step(2, estimate_s=8.0)))
        cell.run(0.5)
        # The oldest values are compacted into one that follows the newest.
        compacted = cell.scheduler.compact(
            cell.committed[:old], now_s=cell.now_s, wall_ms=cell.wall_ms
        )
        cell.committed[:] = cell.committed[old:] + compacted
        for fake in cell.workers_by_id.values():
            fake.cut = True
        cell.replace_owner()
        cell.run(2.0)
        assert cell.status(early) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) == 2
        runs = [r for e in cell.scheduler.state.workers_by_id.values() for r in e.runs]
        assert len(runs) == 2


class TestUncertainStarts:
    def _placed(self, cell):
        job = cell.submit("a", make_queue(), make_graph())
        cell.run(0.0085)
        (run,) = [
            r for f in cell.scheduler.state.workers_by_id.values() for r in f.runs
        ]
        entry = next(e for e in cell.scheduler.state.workers_by_id.values() if e.runs)
        # The start was sent, but its answer is lost.
        entry.runs[run].sent = True
        return job, entry, run

    def _refuse_repeated(self, cell, entry, run, reason):
        answer = StartAnswer(started=False, reason=reason, repeated=True)
        cell.scheduler.handle_start_answer(
            entry.worker_id, *run, answer, now_s=cell.now_s
        )

    def test_a_repeated_start_of_an_ended_run_waits_for_its_report(self):
        cell = VirtualCell()
        job, entry, (task, number) = self._placed(cell)
        self._refuse_repeated(cell, entry, (task, number), "old")
        assert (task, number) in entry.runs
        cell.run(3.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.runs_by_job[job]) == 1

    def test_a_refusal_after_a_lost_answer_stops_the_run_first(self):
        cell = VirtualCell()
        job, entry, (task, number) = self._placed(cell)
        self._refuse_repeated(cell, entry, (task, number), "room")
        assert (task, number) in entry.runs
        cell.run(3.0)
        assert cell.status(job) is JobStatus.COMPLETED


class TestReplacedWorkers:
    def test_a_start_that_may_have_reached_the_next_process_is_not_repeated(self):
        cell = VirtualCell(workers=2)
        graph = make_graph(make_step(1, estimate_s=5.0))
        job = cell.submit("a", make_queue(), graph)
        cell.run(0.0145)
        ((task, number),) = [
            run for fake in cell.workers_by_id.values() for run in fake.running
        ]
        worker_id = cell.runs_by_job[job][0][1]
        # The directory names a replacement process, which received the last start.
        fake = cell.workers_by_id[worker_id]
        replacement = msgspec.structs.replace(fake.worker, incarnation=2)
        fake.worker = replacement
        cell.scheduler.fleet.update_worker(replacement, now_s=cell.now_s)
        cell.run(0.05)
        assert len(cell.runs_by_job[job]) == 1
        cell.run(7.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_runs_reported_by_the_old_process_restart_elsewhere_immediately(self):
        cell = VirtualCell(workers=2)
        job = cell.submit("a", make_queue(), make_graph(make_step(1, estimate_s=5.0)))
        cell.run(1.0)
        worker_id = cell.runs_by_job[job][0][1]
        fake = cell.workers_by_id[worker_id]
        fake.running.clear()
        fake.worker = msgspec.structs.replace(fake.worker, incarnation=2)
        cell.scheduler.fleet.update_worker(fake.worker, now_s=cell.now_s)
        cell.run(0.3)
        assert len(cell.runs_by_job[job]) == 2
