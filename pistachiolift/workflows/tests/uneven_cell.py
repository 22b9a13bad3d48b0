"""A virtual cell whose workers fail, hang, leave and flap for some seconds."""

import random
from collections import defaultdict

import msgspec

from pistachiolift.common import WorkerId
from pistachiolift.workflows import EndKind, JobStatus, StartRun, WorkerState
from pistachiolift.workflows.state import JobEntry
from pistachiolift.workflows.urgency import LATE_LIMIT_FACTOR, objective_s

from .virtual_cell import (
    FakeWorker,
    VirtualCell,
    make_graph,
    make_queue,
    make_step,
)

SAVE_INTERVAL_S = 1.0
# Value of a result that is late but useful.
LATE_VALUE = 0.2

URGENT = make_queue("urgent", priority=0, stretch=1.0, target_s=0.7)
LARGE = make_queue("large", priority=1, stretch=1.5, target_s=4.0)
REBUILD = make_queue("rebuild", priority=2, stretch=2.0, target_s=10.2)


class UnevenCell(VirtualCell):
    """A virtual cell with checkpoints and with faults that pass.

    Checkpoints are saved every second and when a run is stopped.

    :param sizes: cores of each worker.
    :param zones: number of data centres; workers belong to them in turn.
    """

    def __init__(self, *, sizes=(64, 32) * 18, zones=3, seed=1):
        super().__init__(workers=0, seed=seed, queues=(URGENT, LARGE, REBUILD))
        self._zones = zones
        # As a waiting poll of a worker without ends.
        self.report_s = 0.8
        # Time until a run on a failing worker fails; ``None``: at its end.
        self.fail_after_s: float | None = None
        # Whether a run fails by the fault of its task, on any worker.
        self.faulty = lambda task, number: False
        # Work of each run in seconds, and its position at the start.
        self._work: dict = {}
        self._saved_by_run: dict = {}
        self._failing_runs: set = set()
        # Begin and end of each hang or slow time, and the share of the work lost.
        self._losses_by_worker: dict = defaultdict(list)
        self._leaves_s_by_worker: dict[WorkerId, float] = {}
        # Time until a new worker takes the place of one that has left.
        self.replace_after_s: float | None = None
        self._replacements = 0
        self.ends_by_kind: dict = defaultdict(int)
        self.counts: dict = defaultdict(int)
        for index, cores in enumerate(sizes):
            self.add_worker(index, cpu=cores * 1000, memory=500_000)

    def add_worker(self, index, **options):
        """Add a worker in the data centre of its index."""
        fake = super().add_worker(index, **options)
        zone = f"z{index % self._zones}"
        fake.worker = msgspec.structs.replace(fake.worker, zone=zone)
        self.scheduler.fleet.update_worker(fake.worker, now_s=self.now_s)
        return fake

    def _tick(self) -> None:
        super()._tick()
        take_counts = getattr(self.scheduler, "take_counts", dict)
        for name, count in take_counts().items():
            self.counts[name] += count

    # Runs.

    def _run_time_s(self, fake: FakeWorker, order: StartRun) -> float:
        work_s = super()._run_time_s(fake, order)
        done = float(order.checkpoint or 0) / 100
        key = (order.task, order.number)
        self._work[key] = (work_s, done)
        if fake.fails:
            self._failing_runs.add(key)
        if fake.fails and self.fail_after_s is not None:
            self._after(self.fail_after_s, self._fail, fake, key)
        if self.faulty(order.task, order.number):
            self._after(0.1, self._fail, fake, key)
        return work_s * (1 - done)

    def _fail(self, fake: FakeWorker, key) -> None:
        if fake.alive and fake.running.pop(key, None) is not None:
            self._end(fake, *key, EndKind.FAILED)

    def _paused_s(self, fake: FakeWorker, since_s: float) -> float:
        """Return the working time that a worker has lost since a time."""
        return sum(
            share * max(0.0, min(end_s, self.now_s) - max(begin_s, since_s))
            for begin_s, end_s, share in self._losses_by_worker[fake.worker.worker_id]
        )

    def _position(self, fake: FakeWorker, key, *, age_s: float | None = None) -> float:
        """Return the part of a run's work that is done."""
        work_s, done = self._work[key]
        started_s = fake.running[key]
        if age_s is None:
            age_s = self.now_s - started_s - self._paused_s(fake, started_s)
        return min(1.0, done + age_s / max(0.01, work_s))

    def _percent(self, fake: FakeWorker, key) -> int:
        if key not in self._work:
            return super()._percent(fake, key)
        return min(99, int(100 * self._position(fake, key)))

    def _saved(self, fake: FakeWorker, key) -> str:
        if key not in self._work or not self._step(key).checkpoints:
            return ""
        started_s = fake.running[key]
        age_s = self.now_s - started_s - self._paused_s(fake, started_s)
        saved_s = age_s // SAVE_INTERVAL_S * SAVE_INTERVAL_S
        return f"{100 * self._position(fake, key, age_s=saved_s):.3f}"

    def _stopped(self, fake: FakeWorker, key) -> None:
        saves = key in fake.running and key in self._work
        if saves and self._step(key).checkpoints:
            self._saved_by_run[key] = f"{100 * self._position(fake, key):.3f}"
        super()._stopped(fake, key)

    def _saved_at_end(self, task, number: int) -> str:
        return self._saved_by_run.get((task, number), "")

    def _step(self, key):
        job = self.scheduler.state.jobs_by_id[key[0].job_id]
        return job.graph.steps[key[0].step]

    def _finish(self, fake: FakeWorker, key) -> None:
        """End a run once its work is done; a hanging worker does none."""
        if key in fake.running and key in self._work:
            rest_s = (1 - self._position(fake, key)) * self._work[key][0]
            if rest_s > 1e-6:
                self._after(max(rest_s, 0.02), self._finish, fake, key)
                return
        # A run that was started before the fault succeeds.
        fails, fake.fails = fake.fails, key in self._failing_runs
        super()._finish(fake, key)
        fake.fails = fails

    def _end(self, fake: FakeWorker, task, number: int, kind: EndKind) -> None:
        self.ends_by_kind[kind] += 1
        super()._end(fake, task, number, kind)

    # Faults.

    def hang(self, worker_id: str, for_s: float) -> None:
        """Let the runs of a worker make no progress for a while."""
        self.slow(worker_id, for_s, factor=float("inf"))

    def fail(self, worker_id: str, for_s: float) -> None:
        """Let a worker fail what it starts for a while."""
        self.workers_by_id[WorkerId(worker_id)].fails = True
        self._after(for_s, self._recover, worker_id)

    def _recover(self, worker_id: str) -> None:
        self.workers_by_id[WorkerId(worker_id)].fails = False

    def slow(self, worker_id: str, for_s: float, *, factor: float = 8.0) -> None:
        """Let the runs of a worker take a multiple of their time for a while."""
        lost = (self.now_s, self.now_s + for_s, 1 - 1 / factor)
        self._losses_by_worker[WorkerId(worker_id)].append(lost)

    def flap(self, worker_id: str, for_s: float, period_s: float = 1.4) -> None:
        """Cut a worker off and let it return in turn."""
        fake = self.workers_by_id[WorkerId(worker_id)]
        for number in range(int(for_s / period_s)):
            self._after(number * period_s, setattr, fake, "cut", number % 2 == 0)
        self._after(for_s, setattr, fake, "cut", False)

    def leave(self, worker_id: str, *, notice_s=2.0, directory_s=0.5) -> None:
        """Let a worker leave after its notice period; it kills what it still runs.

        :param directory_s: time after which the owner sees the new directory entry.
        """
        fake = self.workers_by_id[WorkerId(worker_id)]
        self._leaves_s_by_worker[fake.worker.worker_id] = self.now_s + notice_s
        fake.worker = msgspec.structs.replace(fake.worker, state=WorkerState.DRAINING)
        self._after(directory_s, self._update_entry, fake)
        self._after(notice_s, self._kill, fake)

    def _kill(self, fake: FakeWorker) -> None:
        self.counts["runs_killed"] += len(fake.running)
        fake.alive = False
        fake.running.clear()
        self._forget_unacknowledged(fake)
        self._after(0.5, self._remove_entry, fake)
        if self.replace_after_s is not None:
            self._after(self.replace_after_s, self._replace, fake.worker)

    def _replace(self, worker) -> None:
        self._replacements += 1
        self.add_worker(
            1000 + self._replacements,
            cpu=worker.capacity.cpu_milli,
            memory=worker.capacity.memory_mb,
        )

    def _remaining_s(self, fake: FakeWorker) -> float | None:
        leaves_s = self._leaves_s_by_worker.get(fake.worker.worker_id)
        return None if leaves_s is None else max(0.0, leaves_s - self.now_s)

    # Load and results.

    def submit_mix(self, duration_s: float, *, scale: float = 1.0, seed: int = 1):
        """Submit urgent checks, large runs and rebuilds at random times.

        :param scale: factor of the rates; 1 uses about 0.7 of 1,728 cores.
        """
        rng = random.Random(seed)
        self.duration_of = lambda task, step: (
            step.estimate_s * random.Random(str(task)).lognormvariate(0, 0.25)
        )
        kinds = [
            (URGENT, 7.6, make_step(3, cpu=10_000, estimate_s=0.8)),
            (LARGE, 0.4, make_step(20, cpu=18_000, estimate_s=4.0, checkpoints=True)),
            (REBUILD, 0.94, make_step(25, cpu=7000, estimate_s=3.4)),
        ]
        for queue, rate, step in kinds:
            at_s, number = 0.0, 0
            while (at_s := at_s + rng.expovariate(rate * scale)) < duration_s:
                job_id = f"{queue.queue_id}{number}"
                self._after(at_s, self.submit, job_id, queue, make_graph(step))
                number += 1

    def worth_by_queue(self) -> dict[str, float]:
        """Return the mean value of the jobs of each queue."""
        values: dict[str, list[float]] = defaultdict(list)
        for job_id in self.submitted_s:
            job = self.scheduler.state.jobs_by_id[job_id]
            values[job.queue.queue_id].append(self._value(job))
        return {name: sum(each) / len(each) for name, each in sorted(values.items())}

    def _value(self, job: JobEntry) -> float:
        if self.status(job.job_id) is not JobStatus.COMPLETED:
            return 0.0
        took_s, limit_s = self.took_s(job.job_id), objective_s(job)
        if took_s <= limit_s:
            return 1.0
        return LATE_VALUE if took_s <= LATE_LIMIT_FACTOR * limit_s else 0.0
