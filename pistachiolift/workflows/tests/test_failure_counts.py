"""Jobs that are given up because a task or a gang has failed too often.

The cell knows which runs really ended as failed, and compares the state that callers
are told with that after every event.
"""

import random
from collections import defaultdict

import msgspec
import pytest

from pistachiolift.workflows import EndKind, JobStatus, ReportedEnd, TaskKey

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

QUEUE = make_queue()

# Callers are told of a decision one write later, and the store is silent for up to 1 s:
# for this time a verdict may rest on a limit that was replaced meanwhile.
LIMIT_CHANGE_S = 1.2


def with_limit(limit, queue=QUEUE):
    """Return a queue with another limit of failed runs."""
    return msgspec.structs.replace(queue, max_failures=limit)


class CountingCell(VirtualCell):
    """A cell in which chosen runs fail, and whose configuration changes.

    After every event it checks that a final state is never told without cause and
    never changes once it was told.
    """

    def __init__(self, *, queues=(QUEUE,), **options):
        self.table = list(queues)
        self.fails_run = lambda task, number: False
        # Share of the reports that repeat ends which are durable already.
        self.repeat_share = 0.0
        # Numbers of the runs that ended as failed, by task, or by step for a gang.
        self.failed_runs = defaultdict(set)
        self.told: dict = {}
        self.graphs: dict = {}
        self.queue_by_job: dict = {}
        # For each queue, its limits and the times from which they were in force.
        self.limits = {q.queue_id: [(0.0, q.max_failures)] for q in queues}
        self._compactions: dict = {}
        super().__init__(queues=queues, **options)

    def submit(self, job_id, queue, graph):
        """Submit a job now."""
        self.graphs.setdefault(job_id, graph)
        self.queue_by_job.setdefault(job_id, queue.queue_id)
        return super().submit(job_id, queue, graph)

    # Configuration and owners.

    def set_table(self, *queues):
        """Put a configuration into force."""
        self.table = list(queues)
        for queue in queues:
            known = self.limits.setdefault(queue.queue_id, [])
            known.append((self.now_s, queue.max_failures))
        self.scheduler.set_queues(queues)

    def replace_owner(self, directory=None):
        """Replace the owner by one that knows only the present configuration."""
        self.scheduler.state.queues_by_id = {q.queue_id: q for q in self.table}
        super().replace_owner(directory)
        self._compactions.clear()

    def compact_with_next_write(self, share=1.0):
        """Let the newest write that was not carried out compact the oldest records.

        Like those of the ledger, the compacted records precede the write's own ones.
        """
        if self._compactions:
            # The ledger carries out one write at a time.
            return
        count = int(len(self.committed) * share)
        kept = self.scheduler.compact(
            self.committed[:count], now_s=self.now_s, wall_ms=self.wall_ms
        )
        if self._unwritten:
            self._compactions[id(self._unwritten[-1])] = (count, kept)
        else:
            self.committed = self.committed[count:] + kept

    def _commit(self, scheduler):
        if self.store_up and scheduler is self.scheduler and self._unwritten:
            compaction = self._compactions.pop(id(self._unwritten[0]), None)
            if compaction is not None:
                count, kept = compaction
                self.committed = self.committed[count:] + kept
        super()._commit(scheduler)

    # Ends of runs.

    def _finish(self, fake, key):
        fake.fails = self.fails_run(*key)
        super()._finish(fake, key)
        fake.fails = False

    def _finish_gang(self, members):
        failing = [run for _, run in members if self.fails_run(*run)]
        if not failing:
            super()._finish_gang(members)
            return
        for fake, (task, number) in members:
            if fake.alive and fake.running.pop((task, number), None) is not None:
                failed = (task, number) in failing
                kind = EndKind.FAILED if failed else EndKind.MEMBER_ENDED
                self._end(fake, task, number, kind)

    def _end(self, fake, task, number, kind):
        if kind is EndKind.FAILED:
            self.failed_runs[self.unit_of(task)].add(number)
        super()._end(fake, task, number, kind)

    def _drop_acknowledged_ends(self, fake):
        if self.rng.random() >= self.repeat_share:
            super()._drop_acknowledged_ends(fake)

    # The workers know their tasks, also those of a job that the owner has forgotten.

    def step_of(self, task):
        """Return a task's step."""
        return self.graphs[task.job_id].steps[task.step]

    def size_of(self, task):
        """Return the resources that a task reserves."""
        return self.step_of(task).reserved

    def _percent(self, fake, key):
        step = self.step_of(key[0])
        duration_s = max(0.01, self.duration_of(key[0], step))
        percent = int(100 * (self.now_s - fake.running[key]) / duration_s)
        return min(100 if step.gang else 99, percent)

    def _done_gang(self, task):
        if self.step_of(task).gang:
            key = task.step_key
            members = range(self.step_of(task).count)
            self.done_tasks.update(key.task(index) for index in members)

    def unit_of(self, task):
        """Return what fails as a whole: the step of a gang, otherwise the task."""
        return task.step_key if self.step_of(task).gang else task

    def most_failures(self, job_id):
        """Return the largest number of failed runs of a task or a gang of a job."""
        return max(
            (
                len(runs)
                for unit, runs in self.failed_runs.items()
                if unit.job_id == job_id
            ),
            default=0,
        )

    # States that callers are told.

    def run(self, duration_s):
        """Advance the virtual time, and check the states after every event."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            super().run(self._events[0][0] - self.now_s)
            self.observe()
        super().run(end_s - self.now_s)

    def observe(self):
        """Check the states that callers are told now."""
        for job_id in self.submitted_s:
            status = self.status(job_id)
            before = self.told.get(job_id)
            if before is not None and before.final:
                assert status is before, f"{job_id} was {before}, and is {status}"
            if status is JobStatus.FAILED and before is not JobStatus.FAILED:
                failures = self.most_failures(job_id)
                limit = self.lowest_limit(job_id)
                assert failures >= limit, f"{job_id}: {failures} of {limit} runs failed"
            self.told[job_id] = status

    def lowest_limit(self, job_id):
        """Return the lowest limit that may just have decided about a job."""
        limits = self.limits[self.queue_by_job[job_id]]
        ends = [since_s for since_s, _ in limits[1:]] + [float("inf")]
        return min(
            limit
            for (_, limit), end_s in zip(limits, ends, strict=True)
            if end_s >= self.now_s - LIMIT_CHANGE_S
        )

    def deliver(self, worker_id, *ends):
        """Deliver a report of ends by a worker, beside the runs that it has."""
        fake = self.workers_by_id[worker_id]
        fake.unacknowledged_ends += ends
        self._send_report(fake)
        self._decide()
        self.observe()


def fail_first_runs(cell, count):
    """Let the first runs of each task or gang fail, as many as given."""

    def fails(task, number):
        failed = cell.failed_runs[cell.unit_of(task)]
        return number in failed or len(failed) < count

    cell.fails_run = fails


def run_until(cell, holds, step_s=0.05):
    """Advance the time until a condition holds, by ten seconds at most."""
    end_s = cell.now_s + 10.0
    while not holds():
        assert cell.now_s < end_s
        cell.run(step_s)


def run_until_failed(cell, job, count):
    """Advance the time until a task of the job has failed so often."""
    run_until(cell, lambda: cell.most_failures(job) >= count)
    cell.run(0.05)


class TestLimit:
    """Guards against a limit that is one too low or too high."""

    @pytest.mark.parametrize("limit", [1, 2, 3, 5])
    def test_one_failed_run_less_than_the_limit_is_allowed(self, limit):
        queue = with_limit(limit)
        cell = CountingCell(queues=[queue])
        fail_first_runs(cell, limit - 1)
        job = cell.submit("j", queue, make_graph(make_step(3, estimate_s=0.3)))
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert cell.most_failures(job) == limit - 1

    @pytest.mark.parametrize("limit", [1, 2, 3, 5])
    @pytest.mark.parametrize("gang", [False, True])
    def test_the_job_fails_with_the_last_allowed_run(self, limit, gang):
        queue = with_limit(limit)
        cell = CountingCell(queues=[queue])
        fail_first_runs(cell, limit)
        job = cell.submit(
            "j", queue, make_graph(make_step(3, estimate_s=0.3, gang=gang))
        )
        cell.run(20.0)
        assert cell.status(job) is JobStatus.FAILED
        assert cell.most_failures(job) == limit

    def test_failed_runs_of_different_tasks_are_not_added_up(self):
        cell = CountingCell()
        fail_first_runs(cell, 2)
        steps = [make_step(6, estimate_s=0.2), make_step(6, estimate_s=0.2, after=(0,))]
        job = cell.submit("j", QUEUE, make_graph(*steps))
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert sum(len(runs) for runs in cell.failed_runs.values()) == 24

    def test_failed_runs_of_different_occurrences_are_not_added_up(self):
        cell = CountingCell()
        fail_first_runs(cell, 2)
        graph = make_graph(
            make_step(1, estimate_s=0.2),
            occurrences=4,
            first_due_ms=cell.wall_ms,
            interval_ms=300,
        )
        job = cell.submit("j", QUEUE, graph)
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert len(cell.failed_runs) == 4

    def test_long_running_tasks_have_no_limit(self):
        cell = CountingCell()
        step = make_step(1, long_running=True)
        job = cell.submit("j", QUEUE, make_graph(step))
        task = TaskKey(job, 0, 0, 0)
        for _ in range(3 * QUEUE.max_failures):
            cell.run(2.0)
            worker_id, number = next(
                (w, run[1])
                for w, fake in cell.workers_by_id.items()
                for run in fake.running
            )
            del cell.workers_by_id[worker_id].running[task, number]
            cell.deliver(worker_id, ReportedEnd(task, number, EndKind.FAILED))
        cell.replace_owner()
        cell.run(2.0)
        assert cell.status(job) is JobStatus.RUNNING


class TestRepeatedEnds:
    """Guards against one failed run that counts several times."""

    def start(self, *, gang=False):
        """Return a cell in which a job has failed once less than the limit allows."""
        cell = CountingCell()
        fail_first_runs(cell, QUEUE.max_failures - 1)
        step = make_step(3, estimate_s=0.3, gang=gang)
        job = cell.submit("j", QUEUE, make_graph(step))
        cell.repeat_share = 0.8
        run_until_failed(cell, job, QUEUE.max_failures - 1)
        return cell, job

    @pytest.mark.parametrize("gang", [False, True])
    def test_an_end_that_is_reported_again_counts_once(self, gang):
        cell, job = self.start(gang=gang)
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED

    @pytest.mark.parametrize("gang", [False, True])
    @pytest.mark.parametrize("share", [0.0, 0.3, 0.7, 1.0])
    def test_also_after_a_compaction_and_a_takeover(self, gang, share):
        cell, job = self.start(gang=gang)
        cell.compact_with_next_write(share)
        cell.run(0.02)
        cell.replace_owner()
        cell.run(0.2)
        cell.replace_owner()
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_several_members_of_a_gang_fail_together_once(self):
        cell = CountingCell()
        cell.fails_run = lambda task, number: (
            len(cell.failed_runs[task.step_key] - {number}) < 2
        )
        step = make_step(6, estimate_s=0.3, gang=True)
        job = cell.submit("j", QUEUE, make_graph(step))
        cell.run(0.1)
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert cell.most_failures(job) == 2

    def test_another_process_under_the_same_identifier(self):
        """The process is replaced before its ends are acknowledged."""
        cell, job = self.start()
        for fake in list(cell.workers_by_id.values()):
            fake.running.clear()
            fake.alive = False
            cell._restart(fake)
        cell.run(0.3)
        cell.replace_owner()
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED

    @pytest.mark.parametrize(
        "kind",
        [
            EndKind.STOPPED,
            EndKind.LEASE_EXPIRED,
            EndKind.MEMBER_ENDED,
            EndKind.GANG_INCOMPLETE,
        ],
    )
    def test_ends_of_another_kind_do_not_count(self, kind):
        cell, job = self.start()
        task = TaskKey(job, 0, 0, 0)
        numbers = [500, 501, 502]
        cell.deliver("w0", *(ReportedEnd(task, number, kind) for number in numbers))
        cell.replace_owner()
        cell.run(10.0)
        assert cell.status(job) is JobStatus.COMPLETED


class TestChangedLimits:
    """Guards against a verdict by another limit than the one in force."""

    def start(self, *, limit, failures):
        """Return a cell with a job that failed so often and runs again."""
        queue = with_limit(limit)
        cell = CountingCell(queues=[queue])
        fail_first_runs(cell, failures)
        job = cell.submit("j", queue, make_graph(make_step(1, estimate_s=1.0)))
        return cell, job

    def test_a_raised_limit_holds_for_known_jobs(self):
        cell, job = self.start(limit=2, failures=3)
        cell.run(0.5)
        cell.set_table(with_limit(5))
        cell.run(1.0)
        cell.replace_owner()
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_renamed_queue_keeps_the_limit_of_its_jobs(self):
        cell, job = self.start(limit=4, failures=3)
        run_until_failed(cell, job, 2)
        cell.set_table(make_queue("renamed", max_failures=1))
        cell.replace_owner()
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_queue_that_is_removed_and_added_again(self):
        cell, job = self.start(limit=2, failures=3)
        cell.run(0.5)
        cell.set_table()
        cell.run(0.2)
        cell.set_table(with_limit(4))
        run_until_failed(cell, job, 2)
        cell.replace_owner()
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_job_keeps_the_last_limit_of_a_removed_queue(self):
        """The limit was raised between the acceptance and the removal."""
        cell, job = self.start(limit=2, failures=3)
        cell.run(0.5)
        cell.set_table(with_limit(5))
        run_until_failed(cell, job, 3)
        cell.set_table()
        cell.run(0.2)
        cell.replace_owner()
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_new_owner_that_has_read_an_older_configuration(self):
        """It reads the newer one, with a higher limit, soon after the takeover."""
        cell, job = self.start(limit=2, failures=3)
        cell.run(0.5)
        cell.set_table(with_limit(5))
        run_until_failed(cell, job, 3)
        cell.table = [with_limit(2)]
        cell.replace_owner()
        cell.scheduler.set_queues([with_limit(5)])
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_an_entry_instance_with_an_older_configuration(self):
        cell = CountingCell(queues=[with_limit(4)])
        fail_first_runs(cell, 3)
        job = cell.submit("j", with_limit(1), make_graph(make_step(estimate_s=0.3)))
        cell.run(20.0)
        assert cell.status(job) is JobStatus.COMPLETED


class TestToldStates:
    """Guards against a final state that callers were told and that changes later.

    The cell itself checks it after every event.
    """

    def fail(self, *, limit=2, count=1, estimate_s=0.3):
        queue = with_limit(limit)
        cell = CountingCell(queues=[queue])
        fail_first_runs(cell, limit)
        step = make_step(count, estimate_s=estimate_s)
        job = cell.submit("j", queue, make_graph(step))
        run_until(cell, lambda: cell.status(job) is JobStatus.FAILED)
        return cell, job

    def test_a_takeover_after_the_limit_was_raised(self):
        cell, job = self.fail(limit=2)
        cell.set_table(with_limit(5))
        cell.run(1.0)
        cell.replace_owner()
        cell.run(5.0)
        assert cell.status(job) is JobStatus.FAILED

    @pytest.mark.parametrize("final", [JobStatus.COMPLETED, JobStatus.CANCELLED])
    def test_a_takeover_after_the_limit_was_lowered(self, final):
        """The job had failed as often as the new limit allows before it finished."""
        queue = with_limit(4)
        cell = CountingCell(queues=[queue])
        fail_first_runs(cell, 2)
        job = cell.submit("j", queue, make_graph(make_step(1, estimate_s=0.5)))
        run_until_failed(cell, job, 2)
        if final is JobStatus.CANCELLED:
            cell.cancel(job)
        run_until(cell, lambda: cell.status(job) is final)
        cell.set_table(with_limit(2))
        cell.run(1.0)
        cell.replace_owner()
        cell.run(5.0)
        assert cell.status(job) is final

    def test_a_verdict_of_a_takeover_that_a_later_limit_would_not_give(self):
        queue = with_limit(4)
        cell = CountingCell(queues=[queue])
        fail_first_runs(cell, 2)
        job = cell.submit("j", queue, make_graph(make_step(1, estimate_s=2.0)))
        run_until_failed(cell, job, 2)
        cell.set_table(with_limit(2))
        cell.replace_owner()
        cell.run(0.5)
        assert cell.status(job) is JobStatus.FAILED
        cell.set_table(with_limit(5))
        cell.replace_owner()
        cell.run(5.0)
        assert cell.status(job) is JobStatus.FAILED

    @pytest.mark.parametrize("share", [0.5, 1.0])
    def test_a_takeover_after_a_compaction(self, share):
        cell, job = self.fail()
        cell.compact_with_next_write(share)
        cell.run(0.1)
        cell.replace_owner()
        cell.run(5.0)
        assert cell.status(job) is JobStatus.FAILED

    @pytest.mark.parametrize("final", [JobStatus.FAILED, JobStatus.CANCELLED])
    @pytest.mark.parametrize("kind", [EndKind.DONE, EndKind.FAILED])
    def test_a_run_that_ends_afterwards_while_the_store_is_silent(self, final, kind):
        """The job has another task, which is being stopped and ends by itself."""
        queue = with_limit(1)
        cell = CountingCell(queues=[queue])
        cell.duration_of = lambda task, step: 0.5 if task.index else 5.0
        cell.fails_run = lambda task, number: final is JobStatus.FAILED
        job = cell.submit("j", queue, make_graph(make_step(2)))
        cell.run(0.3)
        if final is JobStatus.CANCELLED:
            cell.cancel(job)
        run_until(cell, lambda: cell.status(job) is final, 0.002)
        run = next(
            (w, key)
            for w, fake in cell.workers_by_id.items()
            for key in fake.running
            if key[0].index == 0
        )
        worker_id, (task, number) = run
        cell.observe()
        cell.store_up = False
        del cell.workers_by_id[worker_id].running[task, number]
        cell.deliver(worker_id, ReportedEnd(task, number, kind))
        assert cell.status(job) is final
        cell.run(1.0)
        cell.store_up = True
        cell.run(1.0)
        cell.replace_owner()
        cell.run(1.0)
        assert cell.status(job) is final

    @pytest.mark.parametrize("kind", [EndKind.DONE, EndKind.FAILED])
    @pytest.mark.parametrize("told_s", [0.0, 0.01])
    def test_a_compaction_while_the_end_of_a_cancelled_job_is_written(
        self, told_s, kind
    ):
        """The end that follows the cancellation would have been the job's last."""
        queue = with_limit(1)
        cell = CountingCell(queues=[queue])
        job = cell.submit("j", queue, make_graph(make_step(1, estimate_s=5.0)))
        cell.run(0.5)
        cell.cancel(job)
        cell.run(told_s)
        worker_id, (task, number) = next(
            (w, key) for w, f in cell.workers_by_id.items() for key in f.running
        )
        del cell.workers_by_id[worker_id].running[task, number]
        fake = cell.workers_by_id[worker_id]
        fake.unacknowledged_ends.append(ReportedEnd(task, number, kind))
        cell._send_report(fake)
        cell._decide()
        cell.compact_with_next_write()
        cell.run(0.02)
        cell.replace_owner()
        cell.run(1.0)
        assert cell.status(job) is JobStatus.CANCELLED

    @pytest.mark.parametrize("final", list(JobStatus)[2:])
    def test_a_compaction_while_the_last_end_is_written(self, final):
        """The state is kept for its full time, which begins with the end of the job."""
        queue = with_limit(1)
        cell = CountingCell(queues=[queue])
        cell.fails_run = lambda task, number: final is JobStatus.FAILED
        job = cell.submit("j", queue, make_graph(make_step(1, estimate_s=70.0)))
        cell.run(69.5)
        if final is JobStatus.CANCELLED:
            cell.cancel(job)
        entry = cell.scheduler.state.jobs_by_id[job]
        run_until(cell, lambda: entry.status.final, 0.002)
        cell.compact_with_next_write()
        cell.run(0.1)
        assert cell.status(job) is final
        cell.replace_owner()
        cell.run(50.0)
        assert cell.status(job) is final

    def test_a_job_is_handed_in_again_after_it_failed(self):
        cell, job = self.fail()
        for _ in range(2):
            cell.submit("j", QUEUE, make_graph(make_step(1, estimate_s=0.3)))
            cell.run(1.0)
            cell.compact_with_next_write(1.0)
            cell.run(0.1)
            cell.replace_owner()
        cell.run(5.0)
        assert cell.status(job) is JobStatus.FAILED

    def test_the_job_stays_failed_although_its_task_is_done_elsewhere(self):
        """A success that is reported after the verdict changes nothing."""
        cell, job = self.fail()
        task = TaskKey(job, 0, 0, 0)
        cell.deliver("w1", ReportedEnd(task, 900, EndKind.DONE))
        cell.run(0.5)
        cell.replace_owner()
        cell.run(5.0)
        assert cell.status(job) is JobStatus.FAILED


class RandomPlay:
    """Half a minute of failing jobs with takeovers, compactions and configurations.

    :param limits_change: whether configurations change the limits.
    :param queues_leave: whether configurations remove queues and add them again.
    """

    def __init__(self, seed, *, limits_change=False, queues_leave=False):
        self.limits_change, self.queues_leave = limits_change, queues_leave
        self.rng = rng = random.Random(seed)
        self.queues = [
            make_queue("a", max_failures=rng.choice([2, 3, 4])),
            make_queue("b", priority=1, max_failures=rng.choice([1, 2, 5])),
        ]
        self.cell = cell = CountingCell(workers=5, seed=seed, queues=self.queues)
        cell.repeat_share = rng.choice([0.0, 0.5, 0.9])
        cell.fails_run = self._fails
        self.share_by_job = {}
        for number in range(30):
            cell.at(rng.uniform(0, 15), self._submit, f"j{number}")
        self._repeat(0.4, 3.0, cell.replace_owner)
        self._repeat(0.05, 1.0, self._compact)
        self._repeat(0.5, 3.0, self._restart)
        self._repeat(0.5, 4.0, self._silence_store)
        self._repeat(0.5, 3.0, self._cancel)
        if limits_change or queues_leave:
            self._repeat(0.5, 3.0, self._configure)

    def _repeat(self, shortest_s, longest_s, action):
        def act():
            if self.cell.now_s < 125.0:
                action()
                self.cell.at(self.rng.uniform(shortest_s, longest_s), act)

        self.cell.at(self.rng.uniform(0, longest_s), act)

    def _submit(self, job_id):
        rng = self.rng
        self.share_by_job[job_id] = rng.choice([0.0, 0.2, 0.5, 0.8, 1.0])
        steps = [
            make_step(
                rng.randint(1, 6),
                estimate_s=rng.uniform(0.05, 1.0),
                gang=rng.random() < 0.4,
                after=tuple(range(index)),
                checkpoints=rng.random() < 0.5,
            )
            for index in range(rng.randint(1, 3))
        ]
        graph = make_graph(*steps)
        queue = rng.choice(self.queues)
        self._hand_in(job_id, queue, graph)
        if rng.random() < 0.3:
            again_s = rng.uniform(0, 5)
            self.cell.at(again_s, self.cell.submit, job_id, queue, graph)

    def _hand_in(self, job_id, queue, graph):
        """Submit a job, again if its owner was replaced before it was durable."""
        if self.cell.told.get(job_id) is None:
            self.cell.submit(job_id, queue, graph)
            self.cell.at(3.0, self._hand_in, job_id, queue, graph)

    def _fails(self, task, number):
        draw = random.Random(f"{task} {number}").random()
        return draw < self.share_by_job[task.job_id]

    def _compact(self):
        self.cell.compact_with_next_write(self.rng.choice([0.1, 0.5, 1.0]))

    def _restart(self):
        """Replace a worker process whose runs have all survived their start.

        Ends that were not acknowledged are lost, unless one of them is a success.
        """
        cell = self.cell
        fake = self.rng.choice(list(cell.workers_by_id.values()))
        entry = cell.scheduler.state.workers_by_id.get(fake.worker.worker_id)
        VirtualCell._drop_acknowledged_ends(cell, fake)
        fake.last_report = (None, 0, 0)
        kinds = {end.kind for end in fake.unacknowledged_ends}
        if entry is None or entry.unproven or EndKind.DONE in kinds:
            return
        fake.running.clear()
        fake.alive = False
        cell._restart(fake)

    def _silence_store(self):
        self.cell.store_up = False
        self.cell.at(self.rng.uniform(0.05, 1.0), self._restore_store)

    def _restore_store(self):
        self.cell.store_up = True

    def _cancel(self):
        job_id = self.rng.choice([*self.cell.submitted_s, None])
        if job_id is not None and self.rng.random() < 0.3:
            self.cell.cancel(job_id)

    def _configure(self):
        present = []
        for number, queue in enumerate(self.queues):
            if self.limits_change and self.rng.random() < 0.5:
                limit = self.rng.choice([1, 2, 3, 4, 6])
                self.queues[number] = queue = with_limit(limit, queue)
            if not self.queues_leave or self.rng.random() < 0.7:
                present.append(queue)
        self.cell.set_table(*present)


class TestRandomPlays:
    """Guards against jobs given up without as many failed runs as their limit allows.

    Ends are reported again, owners and workers are replaced and the ledger is
    compacted at any time. The cell also checks that no final state changes.
    """

    def play(self, seed, **options):
        """Play one seed until all jobs are finished."""
        play = RandomPlay(seed, **options)
        play.cell.run(60.0)
        told = set(play.cell.told.values())
        assert {JobStatus.FAILED, JobStatus.COMPLETED} <= told
        assert all(status.final for status in told)
        return play.cell

    @pytest.mark.parametrize("seed", range(40))
    def test_the_limits_stay(self, seed):
        cell = self.play(seed)
        for job_id, status in cell.told.items():
            failures, limit = cell.most_failures(job_id), cell.lowest_limit(job_id)
            assert status is not JobStatus.COMPLETED or failures < limit
            assert failures <= limit

    @pytest.mark.parametrize("seed", range(20))
    def test_queues_are_removed_and_added_again(self, seed):
        self.play(seed, queues_leave=True)

    @pytest.mark.parametrize("seed", range(20))
    def test_the_limits_change(self, seed):
        self.play(seed, limits_change=True)
