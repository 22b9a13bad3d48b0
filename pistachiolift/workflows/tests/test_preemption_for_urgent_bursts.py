"""Runs that are stopped for urgent work.

Loads, on workers of 32 cores: rebuilds (priority 2, tasks of 7 cores and 3.4 s,
objective 17 s, with checkpoints) keep all workers full. Urgent checks (priority 0,
three tasks of 10 cores and 0.8 s, objective 1.5 s) arrive on top of that.
"""

import random
from types import SimpleNamespace

import pytest

from pistachiolift.common import CustomerId, JobId
from pistachiolift.workflows import Customer, EndKind, JobStatus, ReportedEnd
from pistachiolift.workflows.urgency import objective_s
from pistachiolift.workflows.victims import (
    JOB_PAUSE_S,
    MAX_STOPS_PER_JOB,
    MAX_STOPS_PER_TASK,
)

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

URGENT = make_queue("urgent", priority=0, stretch=1.5, target_s=0.3)
LARGE = make_queue("large", priority=1, stretch=2.0, target_s=2.0)
REBUILD = make_queue("rebuild", priority=2, stretch=4.0, target_s=3.4)
QUEUES = (URGENT, LARGE, REBUILD)
CUSTOMERS = (Customer(customer_id=CustomerId("a"), weight=1000.0),)


def urgent_step(count=3, **changes):
    """Return the step of an urgent check."""
    fields = {"cpu": 10_000, "memory": 100, "estimate_s": 0.8, **changes}
    return make_step(count, **fields)


def rebuild_step(count=25, **changes):
    """Return the step of a rebuild."""
    fields = {"cpu": 7000, "memory": 100, "estimate_s": 3.4, "checkpoints": True}
    return make_step(count, **{**fields, **changes})


class PreemptionCell(VirtualCell):
    """A cell whose workers save checkpoints when they stop a run."""

    def __init__(self, *, workers=4, customers=CUSTOMERS, **options):
        self.saved_share = {}
        self.stops = []
        super().__init__(
            workers=workers,
            cpu=32_000,
            memory=64_000,
            queues=QUEUES,
            customers=customers,
            **options,
        )
        self.duration_of = self._rest_s

    def _rest_s(self, task, step):
        return step.estimate_s * (1 - self.saved_share.get(task, 0.0))

    def _percent(self, fake, key):
        saved = self.saved_share.get(key[0], 0.0)
        return min(99, int(100 * saved + (1 - saved) * super()._percent(fake, key)))

    def replace_owner(self, directory=None):
        super().replace_owner(directory)
        self.scheduler.set_customers(CUSTOMERS)

    def _stop(self, order, scheduler=None):
        if order.reason == "preempted" and scheduler is None:
            self.stops.append((self.now_s, order))
        super()._stop(order, scheduler)

    def _stopped(self, fake, key):
        started_s = fake.running.pop(key, None)
        if started_s is None:
            return
        task, number = key
        step = self.scheduler.state.jobs_by_id[task.job_id].graph.steps[task.step]
        checkpoint = ""
        if step.checkpoints:
            saved = self.saved_share.get(task, 0.0)
            done = saved + (self.now_s - started_s) / step.estimate_s
            self.saved_share[task] = min(0.99, done)
            checkpoint = f"{done:.3f}"
        fake.blocked[task] = max(number, fake.blocked.get(task, 0))
        end = ReportedEnd(task, number, EndKind.STOPPED, checkpoint)
        fake.unacknowledged_ends.append(end)
        self._send_report(fake)
        self._decide()

    @property
    def totals(self):
        """The sums over the stops of the present owner."""
        counts = self.scheduler.state.counts
        return SimpleNamespace(
            stops=counts["preemption.stops"],
            steps=counts["preemption.steps"],
            unused=counts["preemption.unused"],
            lost_core_s=counts["preemption.lost_core_ms"] / 1000,
            gained_core_s=counts["preemption.gained_core_ms"] / 1000,
        )

    def fill(self, *, jobs, count=25, queue=REBUILD, **changes):
        """Submit rebuilds, and let them start."""
        for number in range(jobs):
            graph = make_graph(rebuild_step(count, **changes))
            self.submit(f"fill-{number}", queue, graph)
        self.run(0.5)

    def in_time(self, job_id):
        """Whether a job was completed within its objective."""
        job = self.scheduler.state.jobs_by_id[JobId(job_id)]
        done = self.status(JobId(job_id)) is JobStatus.COMPLETED
        return done and self.took_s(JobId(job_id)) <= objective_s(job)

    def stops_by_task(self):
        counts = {}
        for _, order in self.stops:
            counts[order.task] = counts.get(order.task, 0) + 1
        return counts


class TestUrgentJob:
    """Guards against urgent jobs that are late while rebuilds have time.

    Load: four workers full of rebuilds, 16 of 25 tasks of a job running.
    """

    def test_it_starts_in_the_room_of_stopped_runs(self):
        cell = PreemptionCell()
        cell.fill(jobs=2)
        cell.submit("u", URGENT, make_graph(urgent_step()))
        cell.run(20.0)
        assert cell.in_time("u")
        assert 3 <= cell.totals.stops <= 6
        assert cell.totals.lost_core_s <= cell.totals.gained_core_s
        assert all(cell.in_time(f"fill-{n}") for n in range(2))

    def test_without_customers_nothing_is_stopped(self):
        cell = PreemptionCell(customers=())
        cell.fill(jobs=2)
        cell.submit("u", URGENT, make_graph(urgent_step()))
        cell.run(20.0)
        assert not cell.stops

    def test_an_owner_that_knows_no_queue_stops_nothing(self):
        """Guards against an exception in the pass of such an owner."""
        cell = PreemptionCell()
        cell.fill(jobs=2)
        # Without customers, nothing is stopped when the job is submitted.
        cell.scheduler.set_customers(())
        cell.submit("u", URGENT, make_graph(urgent_step()))
        cell.scheduler.state.queues_by_id.clear()
        cell.scheduler.set_customers(CUSTOMERS)
        cell.run(1.0)
        assert not cell.stops

    def test_it_waits_for_runs_that_end_in_time(self):
        """Guards against stops that only move work."""
        cell = PreemptionCell()
        cell.fill(jobs=1, count=12, cpu=10_000, estimate_s=1.0)
        cell.run(0.2)
        cell.submit("u", URGENT, make_graph(urgent_step()))
        cell.run(20.0)
        assert cell.in_time("u")
        assert not cell.stops

    def test_it_is_not_helped_by_stops_that_come_too_late(self):
        cell = PreemptionCell()
        cell.fill(jobs=2)
        cell.submit("u", URGENT, make_graph(urgent_step(estimate_s=30.0)))
        cell.scheduler.state.jobs_by_id[JobId("u")].received_s -= 18.0
        cell.run(5.0)
        assert not cell.stops

    def test_no_stop_unless_all_its_tasks_get_room(self):
        cell = PreemptionCell(workers=1)
        cell.fill(jobs=1)
        cell.submit("u", URGENT, make_graph(urgent_step(5)))
        cell.run(5.0)
        assert not cell.stops

    def test_more_urgent_and_equal_queues_are_not_stopped(self):
        cell = PreemptionCell()
        cell.fill(jobs=1, queue=URGENT)
        cell.submit("u", URGENT, make_graph(urgent_step()))
        cell.submit("l", LARGE, make_graph(urgent_step()))
        cell.run(10.0)
        assert not cell.stops

    def test_a_gang_gets_room_for_all_its_tasks(self):
        cell = PreemptionCell()
        cell.fill(jobs=2)
        cell.submit("u", URGENT, make_graph(urgent_step(4, gang=True)))
        cell.run(20.0)
        assert cell.in_time("u")

    def test_the_freed_room_is_not_for_others(self):
        """A large run of more cores, and new rebuilds, wait beside it."""
        cell = PreemptionCell()
        cell.fill(jobs=2)
        cell.submit("u", URGENT, make_graph(urgent_step()))
        cell.submit("l", LARGE, make_graph(urgent_step(20, cpu=3000, estimate_s=4.0)))
        cell.submit("r", REBUILD, make_graph(rebuild_step(25, cpu=2000)))
        cell.run(20.0)
        assert cell.in_time("u")
        assert cell.totals.unused == 0


class TestVictims:
    """Guards against stops that cost more than they give."""

    def start(self, **changes):
        """Return a cell full of tasks with the changes, and an urgent job."""
        cell = PreemptionCell()
        cell.fill(jobs=2, **changes)
        cell.submit("u", URGENT, make_graph(urgent_step()))
        cell.run(1.0)
        return cell

    def test_runs_without_checkpoints_go_on(self):
        assert not self.start(checkpoints=False).stops

    def test_runs_that_have_just_started_are_stopped(self):
        cell = PreemptionCell()
        for number in range(2):
            graph = make_graph(rebuild_step(checkpoints=False))
            cell.submit(f"fill-{number}", REBUILD, graph)
        cell.run(0.05)
        cell.submit("u", URGENT, make_graph(urgent_step()))
        cell.run(20.0)
        assert cell.stops
        assert cell.in_time("u")

    def test_after_a_takeover_no_run_counts_as_just_started(self):
        cell = PreemptionCell()
        cell.fill(jobs=2, checkpoints=False)
        cell.run(1.0)
        cell.replace_owner()
        cell.run(0.05)
        cell.submit("u", URGENT, make_graph(urgent_step()))
        cell.run(1.0)
        assert not cell.stops

    def test_long_running_tasks_go_on(self):
        assert not self.start(long_running=True, may_miss=5).stops

    def test_jobs_that_would_become_late_go_on(self):
        cell = PreemptionCell()
        queue = make_queue("rebuild", priority=2, stretch=1.2)
        cell.scheduler.set_queues([queue])
        cell.fill(jobs=2, queue=queue)
        cell.submit("u", URGENT, make_graph(urgent_step()))
        cell.run(1.0)
        assert not cell.stops

    def test_a_gang_is_stopped_as_a_whole(self):
        """One of six members would be enough."""
        cell = PreemptionCell()
        for number in range(4):
            step = rebuild_step(4, gang=True)
            cell.submit(f"gang-{number}", REBUILD, make_graph(step))
        cell.run(0.5)
        cell.submit("u", URGENT, make_graph(urgent_step(1, cpu=10_000, estimate_s=3.0)))
        cell.run(1.9)
        cell.run(20.0)
        stopped = {}
        for _, order in cell.stops:
            stopped.setdefault(order.task.step_key, set()).add(order.task.index)
        assert stopped
        assert all(indices == {0, 1, 2, 3} for indices in stopped.values())

    def test_the_gain_exceeds_the_loss(self):
        """An urgent task of a moment is not worth the stop of a run."""
        cell = PreemptionCell()
        queue = make_queue("urgent", priority=0, stretch=1.0, target_s=0.8)
        cell.scheduler.set_queues([queue])
        cell.fill(jobs=2)
        cell.submit("u", queue, make_graph(urgent_step(estimate_s=0.01)))
        cell.run(1.0)
        assert not cell.stops


class Overload:
    """Thirty seconds of overload by urgent checks, rebuilds and large runs.

    :param shares: cores of 12 workers that the three kinds need, as shares of all.
    :param takeover_s: time of a takeover, ``None`` for none.
    """

    WORKERS = 12
    OBJECTIVE_S = {"urgent": 1.5, "rebuild": 17.0, "large": 10.0}

    def __init__(self, shares, *, seed, customers=CUSTOMERS, takeover_s=None):
        self.cell = PreemptionCell(workers=self.WORKERS, seed=seed, customers=customers)
        self.rng = random.Random(seed)
        self.names = {"urgent": [], "rebuild": [], "large": []}
        steps = [
            (URGENT, urgent_step()),
            (REBUILD, rebuild_step(8)),
            (LARGE, rebuild_step(4, cpu=18_000, estimate_s=4.0)),
        ]
        for share, (queue, step) in zip(shares, steps, strict=True):
            self._submit(share, queue, step)
        if takeover_s is not None:
            self.cell.at(takeover_s, self.cell.replace_owner)
        # Numbers of workers that were kept free at the same time.
        self.held = []
        self.cell.at(0.0, self._observe)
        self.cell.run(30.0)
        self.totals = self.cell.totals
        self.cell.run(60.0)

    def _submit(self, share, queue, step):
        work = step.count * step.size.cpu_milli / 1000 * step.estimate_s
        at_s = 0.0
        while share and at_s < 30.0:
            at_s += self.rng.expovariate(share * self.WORKERS * 32 / work)
            name = f"{queue.queue_id}-{len(self.names[queue.queue_id])}"
            self.names[queue.queue_id].append(name)
            self.cell.at(at_s, self.cell.submit, name, queue, make_graph(step))

    def _observe(self):
        self.held.append(len(self.cell.scheduler._dispatcher.preemptor.held))
        self.cell.at(0.05, self._observe)

    def in_time(self, kind):
        """Return the number of jobs of a kind that met their objective."""
        return sum(
            self.cell.took_s(name) <= self.OBJECTIVE_S[kind]
            for name in self.names[kind]
        )


class TestSustainedOverload:
    """Guards against thrashing, and against work that never ends.

    Load: urgent checks for 30% of the cores, rebuilds for 110%; or urgent checks for
    15%, rebuilds for 80% and large runs for 30%.
    """

    @pytest.mark.parametrize("shares", [(0.3, 1.1, 0.0), (0.15, 0.8, 0.3)])
    @pytest.mark.parametrize("takeover_s", [None, 15.0])
    def test_the_stops_are_bounded_and_all_work_ends(self, shares, takeover_s):
        play = Overload(shares, seed=1, takeover_s=takeover_s)
        cell, owners = play.cell, 1 if takeover_s is None else 2
        assert play.totals.stops > 0
        assert play.totals.lost_core_s <= play.totals.gained_core_s
        assert max(cell.stops_by_task().values()) <= owners * MAX_STOPS_PER_TASK
        times_by_job = {}
        for at_s, order in cell.stops:
            times_by_job.setdefault(order.task.job_id, []).append(at_s)
        for times in times_by_job.values():
            assert len(times) <= owners * MAX_STOPS_PER_JOB
            gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
            if owners == 1:
                assert all(gap < 0.001 or gap > JOB_PAUSE_S - 0.1 for gap in gaps)
        names = {name for each in play.names.values() for name in each}
        assert names <= cell.finished_s.keys()
        # An eighth of the workers is one; a step of three tasks may exceed it alone.
        assert max(play.held) <= 4

    @pytest.mark.parametrize("shares", [(0.3, 1.1, 0.0), (0.15, 0.8, 0.3)])
    def test_more_jobs_are_in_time_than_without_it(self, shares):
        """Three plays together: in one, a large run may take an urgent check's room."""
        urgent, others = [0, 0], [0, 0]
        for seed in (1, 2, 3):
            for which, customers in enumerate([(), CUSTOMERS]):
                play = Overload(shares, seed=seed, customers=customers)
                urgent[which] += play.in_time("urgent")
                others[which] += play.in_time("rebuild") + play.in_time("large")
        assert urgent[1] > urgent[0]
        assert urgent[1] + others[1] > urgent[0] + others[0]


class TestBounds:
    """Guards against stops of one job for several steps at once."""

    def test_a_gang_on_many_workers_is_stopped_for_one_step_only(self):
        """Its stop is counted once, and the other steps use the room of the first."""
        cell = PreemptionCell(workers=48)
        cell.submit("gang", REBUILD, make_graph(rebuild_step(192, gang=True)))
        cell.run(0.5)
        step = urgent_step(3, estimate_s=30.0)
        for number in range(6):
            job_id = JobId(f"u-{number}")
            cell.scheduler.submit(
                job_id,
                URGENT,
                make_graph(step),
                received_s=cell.now_s - 14.5,
                received_ms=cell.wall_ms - 14_500,
            )
        cell.run(1.0)
        assert (cell.totals.steps, cell.totals.stops) == (1, 192)
        started = {
            task.job_id
            for fake in cell.workers_by_id.values()
            for task, _ in fake.running
        }
        assert {f"u-{number}" for number in range(6)} <= started

    @pytest.mark.parametrize("seed", range(6))
    def test_with_crashes_lost_answers_and_takeovers(self, seed):
        """The cell checks that no task runs twice and no worker is overfilled."""
        cell = PreemptionCell(workers=8, seed=seed)
        rng = random.Random(seed)
        for fake in cell.workers_by_id.values():
            fake.late_share = 0.02
        names = []
        for number in range(120):
            queue, step = rng.choice(
                [
                    (URGENT, urgent_step(gang=rng.random() < 0.3)),
                    (REBUILD, rebuild_step(8, gang=rng.random() < 0.3)),
                    (LARGE, rebuild_step(4, cpu=18_000, checkpoints=False)),
                ]
            )
            names.append(f"j-{number}")
            at_s = rng.uniform(0, 15)
            cell.at(at_s, cell.submit, names[-1], queue, make_graph(step))
        for number in range(3):
            cell.at(3.0 + 4 * number, cell.replace_owner)
            cell.at(2.0 + 4 * number, self.crash_any, cell, rng)
        cell.run(120.0)
        assert cell.stops
        lost = [name for name in names if cell.scheduler.status(name) is None]
        # A job that was not durable at a takeover is unknown.
        assert set(names) - set(lost) <= cell.finished_s.keys()

    @staticmethod
    def crash_any(cell, rng):
        cell.crash_silently(rng.choice(list(cell.workers_by_id.values())))
